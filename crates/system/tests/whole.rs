//! The real programs on loopback: three machines of the core, edges, stand-ins of marshals, an operator. What is waited
//! for is a numbered event or an answer; nothing sleeps.

mod cluster;

use cluster::*;
use std::collections::BTreeMap;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;

#[test]
fn requests_pass_and_what_is_none_is_told() {
    let cluster = Cluster::new("pass");
    let _core = cluster.core();
    assert_eq!(cluster.configure(&[1, 2, 3], 0, 3), 200);
    let (first, runs) = marshal(cluster.at(100, 0), "i-1");
    assert_eq!(cluster.beat(&[2], "i-1", first), 200);
    let edge = cluster.start("edge-proxy", 20, true);
    edge.until("M130");
    let to = cluster.at(20, 8548);
    served(to);
    let ask = |text: &str| raw(to, text.as_bytes());
    let (status, head, said) = ask(&request("GET", "/look/a?b=%20c", "id-1", "", "")).unwrap();
    assert_eq!((status, said.as_str()), (200, "/look/a?b=%20c GET "));
    assert!(head.to_ascii_lowercase().contains("x-milletwing-server-seal: seal"), "{head}");
    let chunked = "Transfer-Encoding: chunked\r\n";
    let (status, _, said) =
        ask(&request("POST", "/order/a", "id-2", chunked, "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")).unwrap();
    assert_eq!((status, said.as_str()), (200, "/order/a POST abcde"));

    // More than is gathered streams, in both directions.
    let large = "y".repeat(60_000);
    let length = format!("Content-Length: {}\r\n", large.len());
    let (status, _, said) = ask(&request("POST", "/order/large", "id-large", &length, &large)).unwrap();
    assert_eq!((status, said.len()), (200, "/order/large POST ".len() + large.len()));

    // What is no request, or goes nowhere, never reaches a marshal.
    let both = request(
        "POST",
        "/order/b",
        "id-3",
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "0\r\n\r\nGET /look/smuggled HTTP/1.1\r\n\r\n",
    );
    let large = format!("X-Large: {}\r\n", "x".repeat(5_000));
    for (text, wanted) in [
        (request("GET", "/nowhere/", "id-4", "", ""), 404),
        (both, 400),
        (request("GET", "/look/a", "id-5", &large, ""), 431),
        (request("POST", "/order/a", "id-6", "Content-Length: 100001\r\n", ""), 413),
        (request("GET", "/look/a", "id-7", "X-Milletwing-Attempt-Id: id-8\r\n", ""), 400),
        ("GET /look/a HTTP/1.1\r\nHost: h.example\r\n\r\n".into(), 400),
        (request("GET", "/look/a", "id-9", "Host: g.example\r\n", ""), 400),
        ("GET /look/a HTTP/1.1\r\nHo st: h\r\n\r\n".into(), 400),
        ("GARBAGE\r\n\r\n".into(), 400),
        (request("GET", "/look/a", "id-10", "X-Bare: 1\nX-Behind: 2\r\n", ""), 400),
    ] {
        assert_eq!(ask(&text).map(|(status, ..)| status), Some(wanted), "{text}");
    }
    // A head that comes too slowly ends with its connection: this read returns only because the edge closes.
    let mut slow = TcpStream::connect(to).unwrap();
    slow.set_read_timeout(Some(PATIENCE)).unwrap();
    slow.write_all(b"GET /look/slow HTTP/1.1\r\nHost: h.exa").unwrap();
    let mut rest = Vec::new();
    let _ = slow.read_to_end(&mut rest);
    assert!(!String::from_utf8_lossy(&rest).contains(" 200 "));
    let ran: Vec<String> =
        runs.lock().unwrap().keys().filter(|id| !id.starts_with("ready")).cloned().collect();
    assert_eq!(ran, ["id-1", "id-2", "id-large"]);
}

#[test]
fn what_is_no_whole_answer_never_looks_like_one() {
    let cluster = Cluster::new("answers");
    let _core = cluster.core();
    assert_eq!(cluster.configure(&[3, 1], 0, 3), 200);
    let (first, runs) = marshal(cluster.at(100, 0), "i-1");
    let (second, more) = marshal(cluster.at(101, 0), "i-2");
    assert_eq!(cluster.beat(&[1], "i-1", first), 200);
    assert_eq!(cluster.beat(&[1], "i-2", second), 200);
    let edge = cluster.start("edge-proxy", 20, true);
    edge.until("M130");
    let to = cluster.at(20, 8548);
    served(to);
    let runs_of = |id: &str| {
        [&runs, &more].iter().filter_map(|runs| runs.lock().unwrap().get(id).copied()).sum::<u32>()
    };
    for (at, kind) in ["other", "packed", "unsealed", "short", "garbage"].iter().enumerate() {
        let id = format!("order-{at}");
        let (status, ..) =
            raw(to, request("POST", &format!("/order/{kind}"), &id, "Content-Length: 1\r\n", "x").as_bytes())
                .unwrap();
        assert_eq!((status, runs_of(&id)), (502, 1), "{kind}: an order runs once, and nothing is promised");
    }
    // Turned away by both: it has not run, and the answer says so and when to come back.
    let (status, head, _) =
        raw(to, request("POST", "/order/full", "order-full", "Content-Length: 1\r\n", "x").as_bytes())
            .unwrap();
    assert_eq!((status, runs_of("order-full")), (503, 0));
    assert!(head.to_ascii_lowercase().contains("retry-after: "), "{head}");
    // After an answer with a second one behind it, the next ones are their own.
    let mut stream = BufReader::new(TcpStream::connect(to).unwrap());
    for at in 0..40 {
        let path = if at % 2 == 0 { "/look/extra".to_owned() } else { format!("/look/{at}") };
        stream.get_mut().write_all(request("GET", &path, &format!("look-{at}"), "", "").as_bytes()).unwrap();
        let (status, _, said) = answer(&mut stream).unwrap();
        assert_eq!((status, said), (200, format!("{path} GET ")));
    }
}

#[test]
fn the_core_outlives_its_leader_and_a_lost_disk() {
    let cluster = Cluster::new("core");
    let mut core: BTreeMap<u32, Process> = (1..).zip(cluster.core()).collect();
    assert_eq!(cluster.configure(&[1, 2, 3], 0, 3), 200);
    assert_eq!(cluster.configure(&[1, 2, 3], 0, 4), 412, "another version is in cluster");
    assert_eq!(cluster.configure(&[2], 0, 3), 200, "the same again");
    assert_eq!(
        cluster.order(&[1], "PUT", "/milletwing/configuration", "If-Match: 3\r\n", &body(5)[..100]).0,
        400
    );
    let read = |hosts: &[u32]| cluster.order(hosts, "GET", "/milletwing/configuration", "", "");
    assert_eq!(read(&[3]), (200, body(3)));
    // 64 MiB are refused by their announced length, before they are taken; the wrong encoding by the byte.
    let large = "PUT /milletwing/configuration HTTP/1.1\r\nHost: core\r\nIf-Match: 3\r\nContent-Length: 67108864\r\n\r\n{";
    assert_eq!(raw(cluster.at(1, 8544), large.as_bytes()).map(|(status, ..)| status), Some(413));
    let wide: Vec<u8> = body(5).encode_utf16().flat_map(u16::to_le_bytes).collect();
    let head = format!(
        "PUT /milletwing/configuration HTTP/1.1\r\nHost: core\r\nIf-Match: 3\r\nContent-Length: {}\r\n\r\n",
        wide.len()
    );
    assert_eq!(
        raw(cluster.at(1, 8544), &[head.as_bytes(), &wide].concat()).map(|(status, ..)| status),
        Some(400)
    );
    assert_eq!(read(&[1]), (200, body(3)));
    // The leader ends at once; whoever is left goes on.
    let (_, members) = cluster.order(&[1], "GET", "/milletwing/members", "", "");
    let leader = (1..=3)
        .find(|host| members.contains(&format!("\"leader\":\"{}\"", cluster.ip(*host))))
        .expect("a leader");
    drop(core.remove(&leader));
    let rest: Vec<u32> = core.keys().copied().collect();
    assert_eq!(cluster.configure(&rest, 3, 7), 200);
    // It comes back without its disk, and counts only once it has all of it.
    std::fs::remove_dir_all(cluster.folder.join(format!("disk{leader}"))).unwrap();
    let back = cluster.start("control-plane", leader, false);
    back.until("M110");
    back.until("M122");
    assert_eq!(read(&[leader]), (200, body(7)));
    let file = cluster.folder.join(format!("disk{leader}/core.redb")).display().to_string();
    drop(back);
    let said = cluster.command(&["disk", "check", &file]);
    assert!(said.0 && said.1.contains("revision 7"), "{}", said.1);
    assert!(cluster.command(&["disk", "dump", &file]).1.contains("\"revision\": 7"));
    assert!(!cluster.command(&["disk", "check", "/nowhere"]).0);
    let back = cluster.start("control-plane", leader, false);
    back.until("M121");
    // A file that is none is told by name, and stays beside the new one.
    drop(core.remove(&rest[0]));
    let file = cluster.folder.join(format!("disk{}/core.redb", rest[0]));
    std::fs::write(&file, b"no database").unwrap();
    let torn = cluster.start("control-plane", rest[0], false);
    assert!(torn.until("M110").contains("core.redb"));
    torn.until("M122");
    assert!(file.with_extension("redb.damaged").exists());
    assert_eq!(read(&[rest[0]]), (200, body(7)));
}

#[test]
fn an_old_disk_put_back_never_undoes_what_was_acknowledged_since() {
    let cluster = Cluster::new("old");
    let mut core: BTreeMap<u32, Process> = (1..).zip(cluster.core()).collect();
    assert_eq!(cluster.configure(&[1, 2, 3], 0, 3), 200);
    // A copy of a stopped machine's file, as an operator would keep one.
    drop(core.remove(&1));
    let file = cluster.folder.join("disk1/core.redb");
    let copy = cluster.folder.join("copy.redb");
    std::fs::copy(&file, &copy).unwrap();
    let back = cluster.start("control-plane", 1, false);
    back.until("M126");
    // What follows is acknowledged by machines 1 and 2 alone.
    drop(core.remove(&3));
    assert_eq!(cluster.configure(&[1, 2], 3, 7), 200);
    drop(back);
    drop(core.remove(&2));
    std::fs::copy(&copy, &file).unwrap();
    // The old disk and the machine that knows nothing of it start first.
    let old = cluster.start("control-plane", 1, false);
    let third = cluster.start("control-plane", 3, false);
    let second = cluster.start("control-plane", 2, false);
    assert!(old.until("M127").contains("its log ends at"));
    old.until("M126");
    for host in [3, 1, 2] {
        assert_eq!(cluster.order(&[host], "GET", "/milletwing/configuration", "", ""), (200, body(7)));
    }
    drop((old, third, second));
}

#[test]
fn a_majority_that_starts_without_the_third_serves() {
    let cluster = Cluster::new("majority");
    let core = cluster.core();
    assert_eq!(cluster.configure(&[1, 2, 3], 0, 3), 200);
    drop(core);
    let first = cluster.start("control-plane", 1, false);
    let second = cluster.start("control-plane", 2, false);
    // The third is taken for absent.
    first.until("M126");
    second.until("M126");
    assert_eq!(cluster.configure(&[1, 2], 3, 4), 200);
    assert_eq!(cluster.order(&[2], "GET", "/milletwing/configuration", "", ""), (200, body(4)));
    drop((first, second));
}

#[test]
fn each_role_serves_its_metrics_and_goes_on_where_the_port_is_taken() {
    let cluster = Cluster::new("metrics");
    // Somebody else has the port on the third machine.
    let _taken = std::net::TcpListener::bind(cluster.at(3, METRICS)).unwrap();
    let core = cluster.core();
    core[2].until("M105");
    assert_eq!(cluster.configure(&[3], 0, 3), 200);
    let (first, _) = marshal(cluster.at(100, 0), "i-1");
    assert_eq!(cluster.beat(&[1], "i-1", first), 200);
    let edge = cluster.start("edge-proxy", 20, true);
    edge.until("M130");
    served(cluster.at(20, 8548));
    let missing = request("GET", "/nowhere/x", "missing", "", "");
    assert_eq!(raw(cluster.at(20, 8548), missing.as_bytes()).unwrap().0, 404);
    let page = |host: u32, path: &str| {
        let text = format!("GET {path} HTTP/1.1\r\nHost: metrics\r\nConnection: close\r\n\r\n");
        raw(cluster.at(host, METRICS), text.as_bytes()).unwrap()
    };
    let (status, head, edges) = page(20, "/metrics");
    assert!(status == 200 && head.contains("application/openmetrics-text"), "{head}");
    for line in [
        "milletwing_edge_requests_total{class=\"idempotent\",outcome=\"answered_2xx\"} ",
        "milletwing_edge_requests_total{class=\"unknown\",outcome=\"no_route\"} 1",
        "milletwing_edge_tries_total{result=\"served\"} ",
        "milletwing_edge_configuration_revision 3.0",
        "milletwing_edge_marshals{phase=\"warm\"} 1.0",
        "milletwing_edge_answer_seconds_count ",
        "# EOF",
    ] {
        assert!(edges.lines().any(|found| found.starts_with(line)), "{line} is not in\n{edges}");
    }
    assert_eq!(page(20, "/other").0, 404);
    let told: Vec<String> = [1, 2].map(|host| page(host, "/metrics").2).into();
    for line in ["milletwing_control_configuration_revision 3.0", "milletwing_control_start_confirmed 1.0"] {
        assert!(
            told.iter().any(|page| page.lines().any(|found| found == line)),
            "{line} is not in\n{told:?}"
        );
    }
    assert!(told.iter().all(|page| page.contains("milletwing_control_has_leader 1.0")), "{told:?}");
}

#[test]
fn an_edge_leaves_in_order_and_operators_have_their_calls() {
    let cluster = Cluster::new("leave");
    let _core = cluster.core();
    let file = cluster.folder.join("configuration.json");
    std::fs::write(&file, body(3)).unwrap();
    let (file, core) = (file.display().to_string(), cluster.at(2, 8544).to_string());
    assert!(cluster.command(&["configuration", "check", &file]).1.contains("2 routes, 1 services"));
    let mut put = (false, String::new());
    for _ in 0..50 {
        put = cluster.command(&["configuration", "put", "--core", &core, "--on", "0", &file]);
        if put.0 {
            break;
        }
    }
    assert!(put.0, "{}", put.1);
    let again = cluster.command(&[
        "configuration",
        "put",
        "--core",
        &core,
        "--on",
        "9",
        &file.replace("configuration.json", "none"),
    ]);
    assert!(!again.0 && again.1.contains("none"), "{}", again.1);
    assert_eq!(cluster.command(&["configuration", "get", "--core", &core]).1.trim(), body(3));
    assert!(
        cluster.command(&["evacuate", "--core", &core, "a"]).0
            && cluster.command(&["evacuate", "--core", &core, "a", "--back"]).0
    );
    assert!(cluster
        .command(&["evacuate", "--core", &core, "nowhere"])
        .1
        .contains("there is no zone nowhere"));
    assert!(cluster.command(&["members", "--core", &core]).1.contains("\"folded\""));
    assert!(cluster.command(&["rollout", "--core", &core, "s", "--to", "v2"]).0);
    assert!(
        cluster.command(&["trial", "--core", &core]).1.contains("\"to\":\"v2\""),
        "sent on to the leader"
    );
    // Settings that are missing or half written end a role at once, with the file's name.
    for role in ["edge-proxy", "control-plane"] {
        let half = cluster.folder.join("half.toml").display().to_string();
        std::fs::write(&half, "[self]\nnodeName = \"x\"\nipAddr").unwrap();
        for path in ["/nowhere/settings.toml", half.as_str()] {
            let said = cluster.command(&[role, "--settings", path]);
            assert!(!said.0 && said.1.contains(path), "{}", said.1);
        }
    }
    assert!(cluster.command(&["suspects", "list", "--core", &core]).0);
    assert!(cluster
        .command(&["suspects", "show", "--core", &core, "i-none"])
        .1
        .contains("nobody suspects i-none"));
    assert!(cluster.command(&["drift", "list", "--core", &core]).1.contains("digests:"));
    assert!(cluster
        .command(&["drift", "show", "--core", &core, "10.9.9.9"])
        .1
        .contains("there is no edge 10.9.9.9"));
    assert!(cluster.command(&["drift", "explain", "--core", &core, "nobody"]).1.contains("was not sampled"));
    let deploy = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/system.toml");
    assert!(cluster.command(&["check-system", deploy]).0);

    let (first, _) = marshal(cluster.at(100, 0), "i-1");
    assert_eq!(cluster.beat(&[1], "i-1", first), 200);
    let mut edge = cluster.start("edge-proxy", 20, true);
    edge.until("M130");
    let ready = || {
        raw(cluster.at(20, 8542), b"GET /milletwing/readiness HTTP/1.1\r\nHost: e\r\n\r\n")
            .map(|(status, ..)| status)
    };
    assert_eq!(ready(), Some(200));
    served(cluster.at(20, 8548));
    let mut stream = BufReader::new(TcpStream::connect(cluster.at(20, 8548)).unwrap());
    stream.get_mut().write_all(request("GET", "/look/1", "id-1", "", "").as_bytes()).unwrap();
    assert_eq!(answer(&mut stream).unwrap().0, 200);
    edge.signal("TERM");
    edge.until("M103");
    assert_eq!(ready(), Some(503));
    // What still comes on an open connection is served, and told to come no more.
    stream.get_mut().write_all(request("GET", "/look/2", "id-2", "", "").as_bytes()).unwrap();
    let (status, head, _) = answer(&mut stream).unwrap();
    assert!(status == 200 && head.to_ascii_lowercase().contains("connection: close"), "{head}");
    edge.until("M104");
    assert!(edge.child.wait().unwrap().success());
}

/// An entry is lost on its way to an edge, and the next one comes: the edge goes on sending to a marshal that has left. It is
/// named on what it routes by, and its tables are made anew while it serves.
/// An edge that has left the machine behind which an entry is to be lost, for a slow disk of this box, has lost none: the case is made
/// anew then.
#[test]
fn an_edge_that_lost_an_entry_is_named_and_mended() {
    assert!((0..4).any(lost_entry_is_named_and_mended), "the edge left its core machine in each case");
}

/// False where the edge left before the entry was lost, or before that was found.
fn lost_entry_is_named_and_mended(turn: u32) -> bool {
    let cluster = Cluster::new(&format!("drift{turn}"));
    let core = cluster.core();
    assert_eq!(cluster.configure(&[1, 2, 3], 0, 3), 200);
    let (first, _) = marshal(cluster.at(100, 0), "i-1");
    let (second, _) = marshal(cluster.at(101, 0), "i-2");
    assert_eq!(cluster.beat(&[1], "i-1", first), 200);
    assert_eq!(cluster.beat(&[1], "i-2", second), 200);
    let drops = cluster.between(9, 1);
    let edge = cluster.start_by("edge-proxy", 20, true, &[9]);
    edge.until("M150");
    served(cluster.at(20, 8548));
    drops.store(1, Ordering::SeqCst);
    assert_eq!(cluster.order(&[1], "DELETE", "/milletwing/nodes/i-2", "", "").0, 200);
    // Each change is told as it is folded: once the lost one is gone, others pass.
    let left = || edge.lines.try_iter().any(|line| line.contains("M151"));
    while drops.load(Ordering::SeqCst) > 0 {
        if left() {
            return false;
        }
        std::thread::yield_now();
    }
    let (third, _) = marshal(cluster.at(102, 0), "i-3");
    assert_eq!(cluster.beat(&[1], "i-3", third), 200);
    // Named at the machine that tells it, thing by thing.
    // One that leaves before it is named has been sent what it lacked by another.
    let Some(named) = until_any(&core, "too many", left) else { return false };
    assert!(
        named.contains("M170") && named.contains(&format!("{}: hosts i-2 is too many", cluster.ip(20))),
        "{named}"
    );
    edge.until("M171 renew");
    let well =
        |said: &str| said.contains("\"state\":\"well\"") && said.contains("\"step\":\"renew\",\"why\"");
    let mended = (0..20_000).any(|_| {
        let said = cluster.command(&[
            "drift",
            "show",
            "--json",
            "--core",
            &cluster.at(1, 8544).to_string(),
            &cluster.ip(20).to_string(),
        ]);
        well(&said.1.replace([' ', '\n'], ""))
    });
    assert!(mended);
    served(cluster.at(20, 8548));
    true
}
