//! The codec and the hosting, on short scripts.

use milletwing_decision::interface::{Action, Build, Ms, NodeId, Outcome, RequestId, Vote};
use milletwing_simhost::codec::{write_action, Line};
use milletwing_simhost::host::Host;
use std::io::Write;
use std::process::{Command, Stdio};

const PROFILE: &str = r#"{"balancers":2,"novelty":{"x":1},"classes":[{"aim-ms":300.0,"effect":"idempotent","give-up-ms":1000.0,"name":"look","worth":2.0},{"aim-ms":250.0,"effect":"deduplicated","give-up-ms":750.0,"key-scope":"zone","memory-span-ms":500.0,"name":"change","worth":2.0},{"aim-ms":300.0,"effect":"at_most_once","give-up-ms":1000.0,"name":"fire","worth":3.0}],"discovery":"pushed","domain":{"allowance":3.0,"answer-wait-ms":2000.0,"ballot-ttl-ms":6000.0,"calls-per-s":300.0,"decided-by":"majority","exposure-window-ms":6000.0,"news-period-ms":4000.0,"per":"all","soak-ms":1500.0,"stage-cap":[0.1,1.0],"stage-share":[0.05,1.0],"style":"rolling","to-advance":1,"votes-to-revert":1},"flavors":["big"],"locality":"east","me":0,"permissions":{"may-cancel":true,"max-retry-after-ms":1000.0,"peers":false,"probes":false,"retry-after":true,"second-copies":false,"try-limit":6},"rules":{"ask-within-ms":10000.0,"cold-from":0.38,"cold-ms":3800.0,"drain-grace-ms":500.0,"fall-multiple":3.0,"tip-after-ms":3000.0},"tick-ms":5.0,"zones":["east","west"]}"#;

fn play(host: &mut Host, script: &str) -> Result<String, String> {
    let mut replies = String::new();
    for line in script.split_inclusive('\n') {
        if let Some(reply) = host.line(line.as_bytes()).map_err(|p| p.to_string())? {
            replies.push_str(&reply);
        }
    }
    host.end().map_err(|p| p.to_string())?;
    Ok(replies)
}

fn start(instance: u32, node: &str) -> String {
    format!(
        "SWITCH_TO\tmarshal-id={instance}\nSPAWN\tsalt=9\tprofile-data={PROFILE}\nPAGE\tslot=0\tmembers=1\n\
         ROW\tnode={node}\thall=east\tmachine=big\tcluster=0\tstate=in_service\tcapacity-hint=1\trelease=41\n\
         FLEET\tform=restored\tslot=0\tversion=1\n\
         PROMOTION\tbuild-no=41\tstage=1\tprogress=2\tmark=0\tverdict=0\tlimit-share=1\tlateness-ms=0\n"
    )
}

fn batch(round: u32, lines: &str) -> String {
    format!("CLOCK\tclock-ms={}.25\tround={round}\n{lines}COMMIT\n", 8000 + round * 5)
}

const ASK: &str = "INBOUND\ttxn=r-1\texpires-in-ms=240.0\tentity=k\trealm=none\tservice=look\tnovel=1\n";

#[test]
fn an_empty_batch_has_an_empty_reply() {
    let reply = play(&mut Host::default(), &batch(1, "")).unwrap();
    assert_eq!(reply, "EOR\tround=1\n");
}

#[test]
fn every_event_is_taken_and_unknown_ones_are_skipped() {
    let mut host = Host::default();
    let events = format!(
        "{}{ASK}NOVELTY\tx=1\nSTARTED\ttxn=r-1\tcopy=0\tnode=a:1\tlatency-ms=3\n\
         CHECK_RESULT\tnode=a:1\tverdict=0\tlatency-ms=1.4\tmetrics=busy_reqs:2,odd:3,cpu_share:0.5\n\
         SCORECARD\tlateness-ms=1\tlatency-ms=2\tservice=look\tbuild-no=41\tattempts=180\tfailed=4\n\
         COMPLAINT\tnode=a:1\tservice=look\tlateness-ms=2400\nWHISPER\tneighbour=1\tdata=aGkgNw==\n\
         REMINDER\tkey-back=beat\nPROMOTION\tmark=1\tverdict=4\n\
         FLEET\tform=unavailable\nCLIENT_GONE\ttxn=r-1\n\
         COMPLETED\ttxn=r-1\tcopy=0\tlatency-ms=18.5\tnode=a:1\tverdict=0\tsettled=1\n",
        start(3, "a:1")
    );
    let reply = play(&mut host, &batch(1, &events)).unwrap();
    assert!(reply.starts_with("INSTANCE\tmarshal-id=3\n"), "{reply}");
    assert!(reply.contains("ATTEMPT\ttxn=r-1\t") && reply.contains("node=a:1"), "{reply}");
    assert!(reply.ends_with("EOR\tround=1\n"));
}

#[test]
fn every_outcome_is_known_and_others_are_not() {
    let known = [
        (0, Outcome::Ok),
        (13, Outcome::Error),
        (8, Outcome::Rejected),
        (4, Outcome::Timeout),
        (14, Outcome::ConnectFailed),
        (10, Outcome::Reset),
        (1, Outcome::Cancelled),
        (9, Outcome::NotSent),
    ];
    for (code, verdict) in known {
        assert_eq!(Line::new(&format!("X\tverdict={code}")).verdict("verdict"), Ok(verdict));
    }
    assert!(Line::new("X\tverdict=77").verdict("verdict").is_err());
}

#[test]
fn every_action_is_written() {
    let (id, node) = (RequestId("r-1".into()), NodeId("a:1".into()));
    let cases = [
        (Action::Attempt { id: id.clone(), node: node.clone(), timeout: None }, "ATTEMPT\ttxn=r-1\tnode=a:1"),
        (
            Action::Attempt { id: id.clone(), node: node.clone(), timeout: Some(Ms(80.5)) },
            "ATTEMPT\ttxn=r-1\tgive-up-after-ms=80.5\tnode=a:1",
        ),
        (Action::Refuse(id.clone(), None), "OVERLOAD_REPLY\ttxn=r-1"),
        (Action::Refuse(id.clone(), Some(Ms(250.0))), "OVERLOAD_REPLY\ttxn=r-1\tretry-in-ms=250"),
        (Action::Fail(id.clone()), "ABORT\ttxn=r-1"),
        (Action::Cancel(id, 2), "RECALL\ttxn=r-1\tcopy=2"),
        (
            Action::CastVote { build: Build(42), stage: 2, vote: Vote::Revert },
            "VERDICT\tstage=2\tmark=3\tbuild-no=42",
        ),
        (
            Action::CastVote { build: Build(42), stage: 2, vote: Vote::Advance },
            "VERDICT\tstage=2\tmark=1\tbuild-no=42",
        ),
        (
            Action::CastVote { build: Build(4), stage: 0, vote: Vote::Hold },
            "VERDICT\tstage=0\tmark=2\tbuild-no=4",
        ),
        (
            Action::CastVote { build: Build(4), stage: 0, vote: Vote::None },
            "VERDICT\tstage=0\tmark=0\tbuild-no=4",
        ),
        (Action::Subscribe, "TAIL\tactive=1"),
        (Action::FetchFleet, "QUERY_ALL"),
        (Action::Probe(node), "POLL\tnode=a:1"),
        (Action::BroadcastToPeers(b"hi 7".to_vec()), "MEMO_TO\ttarget=all\tdata=aGkgNw=="),
        (Action::BroadcastToPeers(Vec::new()), "MEMO_TO\ttarget=all\tdata=-"),
        (Action::SetTimer("beat".into(), Ms(8912.25)), "SET_ALARM\tkey-back=beat\tinstant-ms=8912.25"),
        (Action::Log("two\nlines".into()), "RECORD\tnote-text=two lines"),
    ];
    for (action, line) in cases {
        let mut out = String::new();
        write_action(&mut out, &action);
        assert_eq!(out, format!("{line}\n"));
    }
}

#[test]
fn a_list_with_a_reused_number_is_the_later_one() {
    let again = "PAGE\tslot=0\tmembers=1\nROW\tnode=b:2\thall=east\tstate=in_service\trelease=41\n\
                 FLEET\tform=replace\tslot=0\tversion=2\n";
    let script = batch(1, &format!("{}{again}{ASK}", start(3, "a:1")));
    let reply = play(&mut Host::default(), &script).unwrap();
    assert!(reply.contains("node=b:2") && !reply.contains("node=a:1"), "{reply}");
}

#[test]
fn a_killed_instance_starts_empty_in_the_same_batch() {
    let mut host = Host::default();
    play(&mut host, &batch(1, &start(3, "a:1"))).unwrap();
    let again = format!("SWITCH_TO\tmarshal-id=3\nKILLED\n{}{ASK}", start(3, "c:3"));
    let reply = play(&mut host, &batch(2, &again)).unwrap();
    assert!(reply.contains("node=c:3") && !reply.contains("node=a:1"), "{reply}");
}

#[test]
fn instances_act_the_same_together_and_apart() {
    let asks: String = (0..40)
        .map(|i| format!("INBOUND\ttxn=r-{i}\texpires-in-ms=900\tentity=k{i}\tservice=fire\n"))
        .collect();
    let one = |i: u32| format!("{}{asks}", start(i, "a:1"));
    let mut apart = String::new();
    for i in 0..3 {
        let reply = play(&mut Host::default(), &batch(1, &one(i))).unwrap();
        apart.push_str(reply.strip_suffix("EOR\tround=1\n").unwrap());
    }
    let all: String = (0..3).map(one).collect();
    assert_eq!(play(&mut Host::default(), &batch(1, &all)).unwrap(), format!("{apart}EOR\tround=1\n"));
}

#[test]
fn bad_input_names_batch_line_and_field() {
    let spawned = start(3, "a:1");
    let cases = [
        ("INBOUND\ttxn=r-1\tservice=look\n", "batch 7 line 8 field expires-in-ms: missing"),
        (
            "INBOUND\ttxn=r-1\texpires-in-ms=x\tservice=look\n",
            "batch 7 line 8 field expires-in-ms: not a number",
        ),
        ("INBOUND\ttxn=r-1\texpires-in-ms=5\tservice=odd\n", "batch 7 line 8 field service: no such class"),
        ("FLEET\tform=replace\tslot=9\n", "batch 7 line 8 field slot: no such PAGE"),
        ("PAGE\tslot=1\tmembers=1\nCOMMIT\n", "batch 7 line 9 field members: fewer ROW lines than stated"),
        ("CLOCK\tclock-ms=1\tround=8\n", "batch 7 line 8 field CLOCK: a batch is open already"),
        ("PROMOTION\tverdict=0\n", "batch 7 line 8 field build-no: missing"),
    ];
    for (line, expected) in cases {
        let script = format!("CLOCK\tclock-ms=1\tround=7\n{spawned}{line}COMMIT\n");
        assert_eq!(play(&mut Host::default(), &script).unwrap_err(), expected);
    }
    assert!(play(&mut Host::default(), "COMMIT\n").unwrap_err().contains("outside a batch"));
}

fn run(input: &str) -> (Option<i32>, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_milletwing-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
    let out = child.wait_with_output().unwrap();
    (out.status.code(), String::from_utf8(out.stderr).unwrap())
}

#[test]
fn the_end_between_batches_is_fine_and_within_one_is_not() {
    assert_eq!(run(&batch(1, "")), (Some(0), String::new()));
    let (code, text) = run("CLOCK\tclock-ms=1\tround=4\n");
    assert_eq!(code, Some(1));
    assert_eq!(text.lines().count(), 1);
    assert!(text.contains("batch 4 line 1 field COMMIT"), "{text}");
    assert_eq!(run("CLOCK\tclock-ms=1\tround=4\nCOM").0, Some(1));
}

#[test]
fn each_control_style_and_permission_is_read_and_unknown_ones_are_named() {
    use milletwing_decision::interface::StageControl;
    use milletwing_profile::parse_settings;
    for (word, control) in
        [("single", StageControl::Votes), ("majority", StageControl::Votes), ("clocked", StageControl::Timed)]
    {
        let (settings, ..) = parse_settings(&PROFILE.replace("majority", word)).unwrap();
        assert_eq!(settings.control, control);
    }
    assert!(parse_settings(&PROFILE.replace("majority", "lottery")).unwrap_err().contains("decided-by"));
    let text = PROFILE
        .replace("\"peers\":false", "\"peers\":true")
        .replace("\"second-copies\":false", "\"second-copies\":true");
    let (settings, names, _) = parse_settings(&text).unwrap();
    assert!(settings.peers && settings.hedging && settings.tenants.is_empty());
    assert_eq!((names.classes.len(), settings.zone.map(|zone| zone.0)), (3, Some(0)));
}
