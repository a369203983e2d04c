//! Guarding lines that drawn worlds seldom need, each driven to where it matters.

use milletwing_consensus::{
    Batch, Entry, Member, Message, Options, Payload, Ready, Role, StateIntegrity, StoredState,
};

const FOUNDERS: [u32; 3] = [1, 2, 3];

fn options(id: u32) -> Options {
    Options {
        id,
        election_timeout: 300,
        heartbeat_interval: 50,
        tolerated_losses: 1,
        snapshot_after_entries: 1_000,
        snapshot_after_bytes: 1 << 20,
        snapshot_chunk_bytes: 64,
        seed: u64::from(id),
    }
}

fn founder(id: u32) -> Member {
    Member::new(options(id), &StoredState::default(), Some(&FOUNDERS), &FOUNDERS, 0).unwrap()
}

/// Takes the work and has it on disk at once.
fn settle(member: &mut Member, now: u64) -> (Batch, Vec<(u32, Message)>) {
    match member.take_ready() {
        Some(Ready { batch, messages, last }) => {
            member.on_persisted(now, last);
            (batch, messages)
        }
        None => Default::default(),
    }
}

/// A leader of the first election, its first entry sent.
fn leader() -> (Member, u64) {
    let mut member = founder(1);
    let mut now = 0;
    while member.role() != Role::Leader {
        now += 25;
        member.tick(now);
        for (to, message) in settle(&mut member, now).1 {
            if let Message::RequestVote { term, pre_vote, .. } = message {
                member.step(now, to, Message::VoteResponse { term, pre_vote, granted: true });
            }
        }
    }
    (member, now)
}

fn appended(member: &Member, match_index: u64, quorum_eligible: bool) -> Message {
    Message::AppendResponse { term: member.term(), accepted: true, match_index, round: 0, quorum_eligible }
}

#[test]
fn a_vote_is_on_disk_before_it_is_told() {
    let mut member = founder(1);
    settle(&mut member, 0);
    // The term is known already, so that nothing but the vote is new.
    member.step(
        0,
        2,
        Message::AppendEntries { term: 5, previous: (1, 1), entries: Vec::new(), commit: 0, round: 0 },
    );
    settle(&mut member, 0);
    member.step(9_000, 3, Message::RequestVote { term: 5, pre_vote: false, last: (9, 9) });
    let (batch, messages) = settle(&mut member, 9_000);
    assert!(matches!(messages[..], [(3, Message::VoteResponse { granted: true, .. })]));
    let stored = StoredState { hard_state: batch.hard_state, snapshot: None, entries: Vec::new() };
    assert!(stored.hard_state.is_some(), "the vote is told, and not on disk");
    // After a restart the same term has no second vote.
    let mut again = Member::new(options(1), &stored, None, &FOUNDERS, 0).unwrap();
    again.step(9_000, 2, Message::RequestVote { term: 5, pre_vote: false, last: (9, 9) });
    let said = settle(&mut again, 9_000).1;
    assert!(
        said.iter().all(|(_, message)| !matches!(message, Message::VoteResponse { granted: true, .. })),
        "{said:?}"
    );
}

#[test]
fn a_leader_counts_its_own_copy_only_from_the_disk() {
    let (mut member, now) = leader();
    settle(&mut member, now);
    member.propose(now, b"x".to_vec());
    let Ready { last, .. } = member.take_ready().unwrap();
    let previous = member.commit_and_last().0;
    // No other has it: one copy on disk is no majority, nor is the one that is not down yet with none.
    member.on_persisted(now, last);
    assert_eq!(member.commit_and_last().0, previous);
    member.propose(now, b"y".to_vec());
    let work = member.take_ready().unwrap();
    let index = work.last.1;
    member.step(now, 2, appended(&member, index, true));
    assert!(member.commit_and_last().0 < index, "committed by one copy on disk and one that is not down yet");
    member.on_persisted(now, work.last);
    assert_eq!(member.commit_and_last().0, index);
}

#[test]
fn copies_on_a_lost_disk_count_no_more() {
    let (mut member, now) = leader();
    settle(&mut member, now);
    // The other has all but is not counted: its disk is lost, and what it told before is void.
    member.propose(now, b"x".to_vec());
    let work = member.take_ready().unwrap();
    member.step(now, 2, appended(&member, work.last.1, true));
    member.step(now, 2, appended(&member, 0, false));
    member.on_persisted(now, work.last);
    assert!(member.commit_and_last().0 < work.last.1, "committed by a copy that is lost");
    member.step(now, 2, appended(&member, work.last.1, false));
    assert!(member.commit_and_last().0 < work.last.1, "committed by a machine that does not count yet");
    member.step(now, 3, appended(&member, work.last.1, true));
    assert_eq!(member.commit_and_last().0, work.last.1);
}

#[test]
fn entries_of_earlier_terms_are_committed_only_with_one_of_the_own() {
    // A machine whose log ends with an entry of an earlier term that a majority may hold and a later leader may replace.
    let mut first = founder(1);
    settle(&mut first, 0);
    let old = Entry { term: 2, index: 2, payload: Payload::Data(b"old".to_vec()) };
    first.step(
        0,
        2,
        Message::AppendEntries { term: 2, previous: (1, 1), entries: vec![old], commit: 1, round: 0 },
    );
    settle(&mut first, 0);
    let mut now = 0;
    while first.role() != Role::Leader {
        now += 25;
        first.tick(now);
        for (to, message) in settle(&mut first, now).1 {
            if let Message::RequestVote { term, pre_vote, .. } = message {
                first.step(now, to, Message::VoteResponse { term, pre_vote, granted: true });
            }
        }
    }
    settle(&mut first, now);
    first.step(now, 2, appended(&first, 2, true));
    assert_eq!(first.commit_and_last().0, 1, "an earlier term's entry is committed by count");
    first.step(now, 2, appended(&first, 3, true));
    assert_eq!(first.commit_and_last().0, 3);
}

fn chunk(offset: u64, bytes: &[u8], total: u64, checksum: u32) -> Message {
    let (last, members, chunk) = ((1, 1), FOUNDERS.to_vec(), bytes.to_vec());
    Message::InstallSnapshot { term: 4, last, members, offset, chunk, total, checksum, round: 0 }
}

#[test]
fn a_snapshot_comes_in_parts_is_resumed_and_checked() {
    let mut member = Member::new(options(4), &StoredState::default(), None, &FOUNDERS, 0).unwrap();
    member.tick(25);
    let asked = settle(&mut member, 25).1;
    let Some((_, Message::QueryState { query_id })) = asked.first() else { panic!("it asks the others") };
    for from in [2, 3] {
        let told = Message::StateReport {
            query_id: *query_id,
            term: 4,
            last: (1, 1),
            members: FOUNDERS.to_vec(),
            integrity: StateIntegrity::Complete,
        };
        member.step(30, from, told);
    }
    let checksum = crc32fast::hash(b"abcdef");
    let mut said = |message: Message| {
        member.step(40, 2, message);
        let out = settle(&mut member, 40).1;
        (
            out.iter().find_map(|(_, it)| {
                if let Message::SnapshotChunkResponse { received, .. } = it {
                    Some(*received)
                } else {
                    None
                }
            }),
            member.commit_and_last().0,
        )
    };
    assert_eq!(said(chunk(0, b"abc", 6, checksum)), (Some(3), 0));
    assert_eq!(said(chunk(0, b"abc", 6, checksum)), (Some(3), 0), "the same part again adds nothing");
    assert_eq!(said(chunk(4, b"ef", 6, checksum)), (Some(3), 0), "a part is missing");
    assert_eq!(
        said(chunk(3, b"deX", 6, checksum)),
        (Some(0), 0),
        "it is not what the leader has: from the beginning"
    );
    assert_eq!(said(chunk(0, b"abcd", 6, checksum)), (Some(4), 0));
    assert_eq!(said(chunk(4, b"ef", 6, checksum)), (None, 1));
    assert_eq!(member.snapshot().data, b"abcdef");
}

#[test]
fn a_lost_disk_lends_no_vote_in_a_term_that_it_may_have_voted_in() {
    let mut member = Member::new(options(1), &StoredState::default(), None, &FOUNDERS, 0).unwrap();
    member.tick(25);
    let asked = settle(&mut member, 25).1;
    let query_id = asked.iter().find_map(|(_, message)| match message {
        Message::QueryState { query_id } => Some(*query_id),
        _ => None,
    });
    let query_id = query_id.expect("it asks the others");
    let told = |last| Message::StateReport {
        query_id,
        term: 4,
        last,
        members: FOUNDERS.to_vec(),
        integrity: StateIntegrity::Complete,
    };
    member.step(30, 2, told((1, 1)));
    assert!(member.has_lost_state(), "one answer of two is not enough");
    // An answer to another life, or of one that has lost its disk itself, is none.
    member.step(
        30,
        3,
        Message::StateReport {
            query_id: query_id + 1,
            term: 9,
            last: (1, 1),
            members: FOUNDERS.to_vec(),
            integrity: StateIntegrity::Complete,
        },
    );
    member.step(
        30,
        3,
        Message::StateReport {
            query_id,
            term: 9,
            last: (1, 1),
            members: FOUNDERS.to_vec(),
            integrity: StateIntegrity::Lost,
        },
    );
    assert!(member.has_lost_state());
    member.step(30, 3, told((0, 0)));
    member.step(40, 2, chunk(0, b"", 0, 0));
    settle(&mut member, 40);
    assert!(!member.has_lost_state(), "it holds what the others told");
    member.step(9_000, 3, Message::RequestVote { term: 4, pre_vote: false, last: (9, 9) });
    let said = settle(&mut member, 9_000).1;
    assert!(
        said.iter().all(|(_, message)| !matches!(message, Message::VoteResponse { granted: true, .. })),
        "{said:?}"
    );
    member.step(9_000, 3, Message::RequestVote { term: 5, pre_vote: false, last: (9, 9) });
    let said = settle(&mut member, 9_000).1;
    assert!(
        said.iter().any(|(_, message)| matches!(message, Message::VoteResponse { granted: true, .. })),
        "{said:?}"
    );
}

/// Its leader's calls come, the entries that these tell of do not: what it tells others is stale.
#[test]
fn one_that_hears_its_leader_and_gets_nothing_is_stale() {
    let mut member = founder(2);
    settle(&mut member, 0);
    let query_id =
        |commit| Message::AppendEntries { term: 2, previous: (1, 1), entries: Vec::new(), commit, round: 0 };
    for now in (100..2_000).step_by(100) {
        member.step(now, 1, query_id(1));
        assert!(member.has_recent_state(now, 700));
    }
    for now in (2_000..4_000).step_by(100) {
        member.step(now, 1, query_id(3));
        assert_eq!(member.has_recent_state(now, 700), now < 2_400, "at {now}");
    }
    let entries = (2..=3).map(|index| Entry { term: 2, index, payload: Payload::Data(Vec::new()) }).collect();
    member.step(4_000, 1, Message::AppendEntries { term: 2, previous: (1, 1), entries, commit: 3, round: 0 });
    assert!(member.has_recent_state(4_000, 700));
}

#[test]
fn a_machine_whose_disk_takes_nothing_promises_nothing_and_goes_on_following() {
    let (mut member, now) = leader();
    member.step(now, 2, appended(&member, 2, true));
    member.step(now, 3, appended(&member, 1, true));
    settle(&mut member, now);
    let term = member.term();
    member.suspend_writes(now);
    assert_eq!(member.role(), Role::Follower, "it leads no longer");
    assert_eq!(
        member.take_immediate_messages(),
        [(2, Message::TransferLeadership { term })],
        "the one that holds most is to lead"
    );
    // No vote, early or not, however long it waits; and it does not stand itself.
    for pre_vote in [true, false] {
        member.step(now + 5_000, 3, Message::RequestVote { term: term + 1, pre_vote, last: (term, 9) });
        let refused = |(to, message): &(u32, Message)| {
            *to == 3 && matches!(message, Message::VoteResponse { granted: false, .. })
        };
        assert!(member.take_immediate_messages().iter().all(refused));
    }
    member.tick(now + 50_000);
    member.step(now + 50_000, 2, Message::TransferLeadership { term: member.term() });
    assert_eq!((member.role(), member.take_immediate_messages()), (Role::Follower, Vec::new()));
    // It follows in memory, and says that it doesn't count.
    let term = member.term();
    let entry = Entry { term, index: 3, payload: Payload::Data(vec![1]) };
    let (previous, last) = (member.commit_and_last().1, entry.index);
    assert_eq!(previous.1, 2);
    let message = Message::AppendEntries { term, previous, entries: vec![entry], commit: last, round: 7 };
    member.step(now + 50_000, 2, message);
    let answer =
        Message::AppendResponse { term, accepted: true, match_index: last, round: 7, quorum_eligible: false };
    assert_eq!(member.take_immediate_messages(), [(2, answer)]);
    assert_eq!(member.take_committed().last().map(|it| it.index), Some(last), "what it serves is not old");
    // Once the disk is back, what came meanwhile is written before anything that counts is told.
    member.on_persisted(now + 60_000, previous);
    let message =
        Message::AppendEntries { term, previous: (term, last), entries: Vec::new(), commit: last, round: 8 };
    member.step(now + 60_000, 2, message);
    let (batch, messages) = settle(&mut member, now + 60_000);
    assert_eq!(batch.entries.last().map(|(index, _)| *index), Some(last));
    assert!(
        matches!(messages[..], [(2, Message::AppendResponse { quorum_eligible: true, round: 8, .. })]),
        "{messages:?}"
    );
}

#[test]
fn what_waits_for_a_disk_is_bounded() {
    let mut member = founder(1);
    settle(&mut member, 0);
    member.suspend_writes(0);
    let (mut taken, mut previous) = (0, (1, 1));
    for index in 2..40 {
        let entry = Entry { term: 1, index, payload: Payload::Data(vec![0; 1 << 20]) };
        member.step(
            0,
            2,
            Message::AppendEntries { term: 1, previous, entries: vec![entry], commit: 1, round: index },
        );
        let accepted =
            |(_, message): &(u32, Message)| matches!(message, Message::AppendResponse { accepted: true, .. });
        taken += member.take_immediate_messages().into_iter().filter(accepted).count();
        previous = (1, index);
    }
    assert!((8..10).contains(&taken), "{taken} entries of a megabyte wait in memory");
}

#[test]
fn a_newcomer_that_went_silent_again_gets_no_vote() {
    for (silent, votes) in [(0, true), (400, false)] {
        let (mut member, now) = leader();
        member.step(now, 2, appended(&member, 2, true));
        settle(&mut member, now);
        assert!(member.add_learner(now, 4));
        member.step(now, 4, appended(&member, 2, true));
        member.step(now + silent, 2, appended(&member, 2, true));
        member.step(now + silent, 3, appended(&member, 2, true));
        // The second look: a round of catching up that began with the first would be short, whoever is silent.
        member.tick(now + silent);
        member.tick(now + silent + 25);
        assert_eq!(member.members().contains(&4), votes, "silent for {silent} ms");
    }
}

/// Last week's file under a member's name, while the leader that heard its newer word still leads.
#[test]
fn a_disk_that_was_put_back_counts_for_nothing_and_asks_the_others() {
    let (mut member, now) = leader();
    let answer = |member: &Member, round: u64, accepted: bool, match_index: u64| Message::AppendResponse {
        term: member.term(),
        accepted,
        match_index,
        round,
        quorum_eligible: true,
    };
    for number in 0..6 {
        member.propose(now, vec![number]);
        settle(&mut member, now);
    }
    let told = answer(&member, 20, true, 8);
    member.step(now, 2, told);
    assert_eq!(member.commit_and_last().0, 8);
    settle(&mut member, now);
    // A refusal that was held up says nothing: it is older than what was told.
    let late = answer(&member, 19, false, 3);
    member.step(now, 2, late);
    assert!(settle(&mut member, now).1.iter().all(|(_, it)| !matches!(it, Message::DistrustDisk { .. })));
    let shrunk = answer(&member, 21, false, 3);
    member.step(now, 2, shrunk);
    let term = member.term();
    assert_eq!(settle(&mut member, now).1, [(2, Message::DistrustDisk { term })]);
    // What it says now counts no more: with the third machine silent nothing is committed.
    member.propose(now, vec![9]);
    settle(&mut member, now);
    assert_eq!(member.commit_and_last().0, 8);

    // The machine itself asks all others but one, and lends no vote before that.
    let mut back = founder(2);
    settle(&mut back, 0);
    let previous = back.commit_and_last().1;
    back.step(0, 1, Message::AppendEntries { term, previous, entries: Vec::new(), commit: 0, round: 21 });
    settle(&mut back, 0);
    back.step(0, 1, Message::DistrustDisk { term });
    back.step(0, 3, Message::RequestVote { term: term + 1, pre_vote: false, last: (term, 8) });
    back.tick(25);
    let (_, asks) = settle(&mut back, 25);
    assert!(
        back.has_lost_state() && asks.iter().all(|(_, it)| matches!(it, Message::QueryState { .. })),
        "{asks:?}"
    );
    assert_eq!(asks.iter().map(|(to, _)| *to).collect::<Vec<_>>(), [1, 3]);
}

/// A machine that starts again with a log up to `(1, 3)`, in term 4, and its question to the others.
fn started_again(now: u64) -> (Member, u64) {
    let mut first = founder(1);
    settle(&mut first, 0);
    let entry = |index| Entry { term: 1, index, payload: Payload::Data(vec![index as u8]) };
    let entries = vec![entry(2), entry(3)];
    first.step(0, 2, Message::AppendEntries { term: 4, previous: (1, 1), entries, commit: 1, round: 0 });
    let mut begun = founder(1);
    let snapshot = settle(&mut begun, 0).0.snapshot.map(|(bytes, _)| bytes);
    let batch = settle(&mut first, 0).0;
    let entries = batch.entries.into_iter().map(|(_, bytes)| bytes).collect();
    let stored = StoredState { hard_state: batch.hard_state, entries, snapshot };
    let mut again = Member::new(options(1), &stored, None, &FOUNDERS, now).unwrap();
    again.tick(now);
    let asked = settle(&mut again, now).1;
    let Some((_, Message::QueryState { query_id })) = asked.first() else {
        panic!("it asks the others: {asked:?}")
    };
    (again, *query_id)
}

fn told(query_id: u64, term: u64, last: (u64, u64)) -> Message {
    Message::StateReport {
        query_id,
        term,
        last,
        members: FOUNDERS.to_vec(),
        integrity: StateIntegrity::Unconfirmed,
    }
}

/// Whether a machine votes for a candidate.
fn votes(member: &mut Member, now: u64, term: u64, last: (u64, u64)) -> bool {
    member.step(now, 3, Message::RequestVote { term, pre_vote: false, last });
    let said = settle(member, now).1;
    said.iter().any(|(_, message)| matches!(message, Message::VoteResponse { granted: true, .. }))
}

#[test]
fn after_a_start_no_vote_is_given_in_a_term_that_the_others_have_heard_of() {
    let now = 5_000;
    let (mut member, query_id) = started_again(now);
    assert!(!votes(&mut member, now, 4, (4, 9)), "before it has asked the others");
    member.step(now, 2, told(query_id, 6, (1, 3)));
    member.step(now, 3, told(query_id, 5, (1, 2)));
    assert!(member.start_confirmed() && member.term() == 6);
    assert!(
        !votes(&mut member, now, 6, (4, 9)),
        "its disk may be an earlier state, from before its vote in this term"
    );
    assert!(votes(&mut member, now, 7, (4, 9)));
}

#[test]
fn after_a_start_a_vote_goes_only_to_a_log_that_holds_what_the_others_told() {
    let now = 5_000;
    let (mut member, query_id) = started_again(now);
    member.step(now, 2, told(query_id, 4, (4, 8)));
    member.step(now, 3, told(query_id, 4, (1, 3)));
    assert!(!member.start_confirmed(), "it lacks entries that it may have helped to acknowledge");
    assert!(!votes(&mut member, now, 5, (4, 7)));
    assert!(votes(&mut member, now, 5, (4, 8)));
}

#[test]
fn after_a_start_answers_to_another_question_count_for_nothing() {
    let now = 5_000;
    let (mut member, query_id) = started_again(now);
    member.step(now, 2, told(query_id ^ 1, 4, (1, 3)));
    member.step(now, 3, told(query_id ^ 1, 4, (1, 3)));
    assert!(!member.start_confirmed());
}
