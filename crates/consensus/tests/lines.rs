//! Tests of individual safety rules that randomized runs seldom exercise. Each drives a replica to the state
//! in which its rule matters.

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

/// A founding member at the first start of the cluster.
fn founder(id: u32) -> Member {
    Member::new(options(id), &StoredState::default(), Some(&FOUNDERS), &FOUNDERS, 0).unwrap()
}

/// Takes the pending output and reports it as persisted at once.
fn persist_pending(member: &mut Member, now: u64) -> (Batch, Vec<(u32, Message)>) {
    match member.take_ready() {
        Some(Ready { batch, messages, last }) => {
            member.on_persisted(now, last);
            (batch, messages)
        }
        None => Default::default(),
    }
}

/// A replica that has just won its first election and sent its first entry.
fn leader() -> (Member, u64) {
    let mut member = founder(1);
    let mut now = 0;
    while member.role() != Role::Leader {
        now += 25;
        member.tick(now);
        for (to, message) in persist_pending(&mut member, now).1 {
            if let Message::RequestVote { term, pre_vote, .. } = message {
                member.step(now, to, Message::VoteResponse { term, pre_vote, granted: true });
            }
        }
    }
    (member, now)
}

/// An acknowledgement for the leader `member`.
fn append_response(member: &Member, match_index: u64, quorum_eligible: bool) -> Message {
    Message::AppendResponse { term: member.term(), accepted: true, match_index, round: 0, quorum_eligible }
}

#[test]
fn vote_is_on_disk_before_it_is_sent() {
    let mut member = founder(1);
    persist_pending(&mut member, 0);
    // The term is known already, so that the vote is the only change.
    member.step(
        0,
        2,
        Message::AppendEntries { term: 5, previous: (1, 1), entries: Vec::new(), commit: 0, round: 0 },
    );
    persist_pending(&mut member, 0);
    member.step(9_000, 3, Message::RequestVote { term: 5, pre_vote: false, last: (9, 9) });
    let (batch, messages) = persist_pending(&mut member, 9_000);
    assert!(matches!(messages[..], [(3, Message::VoteResponse { granted: true, .. })]));
    let stored = StoredState { hard_state: batch.hard_state, snapshot: None, entries: Vec::new() };
    assert!(stored.hard_state.is_some(), "the vote was sent but is not on disk");
    // After a restart, no second vote is granted in the same term.
    let mut restarted = Member::new(options(1), &stored, None, &FOUNDERS, 0).unwrap();
    restarted.step(9_000, 2, Message::RequestVote { term: 5, pre_vote: false, last: (9, 9) });
    let responses = persist_pending(&mut restarted, 9_000).1;
    assert!(
        responses.iter().all(|(_, message)| !matches!(message, Message::VoteResponse { granted: true, .. })),
        "{responses:?}"
    );
}

#[test]
fn leader_counts_its_own_copy_only_once_on_disk() {
    let (mut member, now) = leader();
    persist_pending(&mut member, now);
    member.propose(now, b"x".to_vec());
    let Ready { last, .. } = member.take_ready().unwrap();
    let commit_before = member.commit_and_last().0;
    // No other replica has the entry: one copy is not a majority, whether it is on disk or not.
    member.on_persisted(now, last);
    assert_eq!(member.commit_and_last().0, commit_before);
    member.propose(now, b"y".to_vec());
    let ready = member.take_ready().unwrap();
    let index = ready.last.1;
    member.step(now, 2, append_response(&member, index, true));
    assert!(
        member.commit_and_last().0 < index,
        "committed with one copy on disk and one that is not on disk yet"
    );
    member.on_persisted(now, ready.last);
    assert_eq!(member.commit_and_last().0, index);
}

#[test]
fn copies_on_a_lost_disk_do_not_count() {
    let (mut member, now) = leader();
    persist_pending(&mut member, now);
    // The other replica has the entry but does not count: its disk was lost, and its earlier acknowledgement
    // is void.
    member.propose(now, b"x".to_vec());
    let ready = member.take_ready().unwrap();
    member.step(now, 2, append_response(&member, ready.last.1, true));
    member.step(now, 2, append_response(&member, 0, false));
    member.on_persisted(now, ready.last);
    assert!(member.commit_and_last().0 < ready.last.1, "committed with a copy that is lost");
    member.step(now, 2, append_response(&member, ready.last.1, false));
    assert!(member.commit_and_last().0 < ready.last.1, "committed with a replica that does not count yet");
    member.step(now, 3, append_response(&member, ready.last.1, true));
    assert_eq!(member.commit_and_last().0, ready.last.1);
}

#[test]
fn entries_of_earlier_terms_are_committed_only_with_one_of_the_current_term() {
    // The log of this replica ends with an entry of an earlier term, which a majority may hold but a later
    // leader may still replace.
    let mut member = founder(1);
    persist_pending(&mut member, 0);
    let entry = Entry { term: 2, index: 2, payload: Payload::Data(b"old".to_vec()) };
    member.step(
        0,
        2,
        Message::AppendEntries { term: 2, previous: (1, 1), entries: vec![entry], commit: 1, round: 0 },
    );
    persist_pending(&mut member, 0);
    let mut now = 0;
    while member.role() != Role::Leader {
        now += 25;
        member.tick(now);
        for (to, message) in persist_pending(&mut member, now).1 {
            if let Message::RequestVote { term, pre_vote, .. } = message {
                member.step(now, to, Message::VoteResponse { term, pre_vote, granted: true });
            }
        }
    }
    persist_pending(&mut member, now);
    member.step(now, 2, append_response(&member, 2, true));
    assert_eq!(
        member.commit_and_last().0,
        1,
        "an entry of an earlier term was committed by counting replicas"
    );
    member.step(now, 2, append_response(&member, 3, true));
    assert_eq!(member.commit_and_last().0, 3);
}

/// A snapshot chunk from a leader of term 4.
fn chunk(offset: u64, bytes: &[u8], total: u64, checksum: u32) -> Message {
    let (last, members, chunk) = ((1, 1), FOUNDERS.to_vec(), bytes.to_vec());
    Message::InstallSnapshot { term: 4, last, members, offset, chunk, total, checksum, round: 0 }
}

#[test]
fn snapshot_transfer_is_chunked_resumed_and_checked() {
    let mut member = Member::new(options(4), &StoredState::default(), None, &FOUNDERS, 0).unwrap();
    member.tick(25);
    let queries = persist_pending(&mut member, 25).1;
    let Some((_, Message::QueryState { query_id })) = queries.first() else {
        panic!("no state query was sent")
    };
    for from in [2, 3] {
        let report = Message::StateReport {
            query_id: *query_id,
            term: 4,
            last: (1, 1),
            members: FOUNDERS.to_vec(),
            integrity: StateIntegrity::Complete,
        };
        member.step(30, from, report);
    }
    let checksum = crc32fast::hash(b"abcdef");
    let mut install_chunk = |message: Message| {
        member.step(40, 2, message);
        let out = persist_pending(&mut member, 40).1;
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
    assert_eq!(install_chunk(chunk(0, b"abc", 6, checksum)), (Some(3), 0));
    assert_eq!(install_chunk(chunk(0, b"abc", 6, checksum)), (Some(3), 0), "repeating a chunk adds nothing");
    assert_eq!(install_chunk(chunk(4, b"ef", 6, checksum)), (Some(3), 0), "a chunk is missing");
    assert_eq!(
        install_chunk(chunk(3, b"deX", 6, checksum)),
        (Some(0), 0),
        "the checksum does not match, so the transfer starts over"
    );
    assert_eq!(install_chunk(chunk(0, b"abcd", 6, checksum)), (Some(4), 0));
    assert_eq!(install_chunk(chunk(4, b"ef", 6, checksum)), (None, 1));
    assert_eq!(member.snapshot().data, b"abcdef");
}

#[test]
fn recovering_replica_does_not_vote_in_a_term_it_may_have_voted_in() {
    let mut member = Member::new(options(1), &StoredState::default(), None, &FOUNDERS, 0).unwrap();
    member.tick(25);
    let queries = persist_pending(&mut member, 25).1;
    let query_id = queries.iter().find_map(|(_, message)| match message {
        Message::QueryState { query_id } => Some(*query_id),
        _ => None,
    });
    let query_id = query_id.expect("no state query was sent");
    let report = |last| Message::StateReport {
        query_id,
        term: 4,
        last,
        members: FOUNDERS.to_vec(),
        integrity: StateIntegrity::Complete,
    };
    member.step(30, 2, report((1, 1)));
    assert!(member.has_lost_state(), "one report of two is not enough");
    // A report that answers another query, or comes from a replica that lost its own disk, does not count.
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
    member.step(30, 3, report((0, 0)));
    member.step(40, 2, chunk(0, b"", 0, 0));
    persist_pending(&mut member, 40);
    assert!(!member.has_lost_state(), "the log holds everything that the others reported");
    member.step(9_000, 3, Message::RequestVote { term: 4, pre_vote: false, last: (9, 9) });
    let responses = persist_pending(&mut member, 9_000).1;
    assert!(
        responses.iter().all(|(_, message)| !matches!(message, Message::VoteResponse { granted: true, .. })),
        "{responses:?}"
    );
    member.step(9_000, 3, Message::RequestVote { term: 5, pre_vote: false, last: (9, 9) });
    let responses = persist_pending(&mut member, 9_000).1;
    assert!(
        responses.iter().any(|(_, message)| matches!(message, Message::VoteResponse { granted: true, .. })),
        "{responses:?}"
    );
}

/// The leader's heartbeats arrive, but the entries that they announce do not, so the state served to others
/// is stale.
#[test]
fn follower_that_receives_heartbeats_but_no_entries_is_stale() {
    let mut member = founder(2);
    persist_pending(&mut member, 0);
    let heartbeat =
        |commit| Message::AppendEntries { term: 2, previous: (1, 1), entries: Vec::new(), commit, round: 0 };
    for now in (100..2_000).step_by(100) {
        member.step(now, 1, heartbeat(1));
        assert!(member.has_recent_state(now, 700));
    }
    for now in (2_000..4_000).step_by(100) {
        member.step(now, 1, heartbeat(3));
        assert_eq!(member.has_recent_state(now, 700), now < 2_400, "at {now}");
    }
    let entries = (2..=3).map(|index| Entry { term: 2, index, payload: Payload::Data(Vec::new()) }).collect();
    member.step(4_000, 1, Message::AppendEntries { term: 2, previous: (1, 1), entries, commit: 3, round: 0 });
    assert!(member.has_recent_state(4_000, 700));
}

#[test]
fn replica_with_suspended_writes_promises_nothing_and_keeps_following() {
    let (mut member, now) = leader();
    member.step(now, 2, append_response(&member, 2, true));
    member.step(now, 3, append_response(&member, 1, true));
    persist_pending(&mut member, now);
    let term = member.term();
    member.suspend_writes(now);
    assert_eq!(member.role(), Role::Follower, "a leader must step down when its writes are suspended");
    assert_eq!(
        member.take_immediate_messages(),
        [(2, Message::TransferLeadership { term })],
        "leadership goes to the member that holds the most entries"
    );
    // It grants no vote or pre-vote, however long it waits, and starts no election.
    for pre_vote in [true, false] {
        member.step(now + 5_000, 3, Message::RequestVote { term: term + 1, pre_vote, last: (term, 9) });
        let is_refusal = |(to, message): &(u32, Message)| {
            *to == 3 && matches!(message, Message::VoteResponse { granted: false, .. })
        };
        assert!(member.take_immediate_messages().iter().all(is_refusal));
    }
    member.tick(now + 50_000);
    member.step(now + 50_000, 2, Message::TransferLeadership { term: member.term() });
    assert_eq!((member.role(), member.take_immediate_messages()), (Role::Follower, Vec::new()));
    // It follows in memory, and reports that it does not count.
    let term = member.term();
    let entry = Entry { term, index: 3, payload: Payload::Data(vec![1]) };
    let (previous, last) = (member.commit_and_last().1, entry.index);
    assert_eq!(previous.1, 2);
    let message = Message::AppendEntries { term, previous, entries: vec![entry], commit: last, round: 7 };
    member.step(now + 50_000, 2, message);
    let answer =
        Message::AppendResponse { term, accepted: true, match_index: last, round: 7, quorum_eligible: false };
    assert_eq!(member.take_immediate_messages(), [(2, answer)]);
    assert_eq!(
        member.take_committed().last().map(|it| it.index),
        Some(last),
        "entries are applied from memory"
    );
    // Once the disk is back, the entries received meanwhile are written before any acknowledgement that
    // counts.
    member.on_persisted(now + 60_000, previous);
    let message =
        Message::AppendEntries { term, previous: (term, last), entries: Vec::new(), commit: last, round: 8 };
    member.step(now + 60_000, 2, message);
    let (batch, messages) = persist_pending(&mut member, now + 60_000);
    assert_eq!(batch.entries.last().map(|(index, _)| *index), Some(last));
    assert!(
        matches!(messages[..], [(2, Message::AppendResponse { quorum_eligible: true, round: 8, .. })]),
        "{messages:?}"
    );
}

#[test]
fn entries_waiting_for_the_disk_are_bounded() {
    let mut member = founder(1);
    persist_pending(&mut member, 0);
    member.suspend_writes(0);
    let (mut accepted_count, mut previous) = (0, (1, 1));
    for index in 2..40 {
        let entry = Entry { term: 1, index, payload: Payload::Data(vec![0; 1 << 20]) };
        member.step(
            0,
            2,
            Message::AppendEntries { term: 1, previous, entries: vec![entry], commit: 1, round: index },
        );
        let accepted =
            |(_, message): &(u32, Message)| matches!(message, Message::AppendResponse { accepted: true, .. });
        accepted_count += member.take_immediate_messages().into_iter().filter(accepted).count();
        previous = (1, index);
    }
    assert!((8..10).contains(&accepted_count), "{accepted_count} entries of a megabyte wait in memory");
}

#[test]
fn silent_learner_is_not_promoted() {
    for (silent, promoted) in [(0, true), (400, false)] {
        let (mut member, now) = leader();
        member.step(now, 2, append_response(&member, 2, true));
        persist_pending(&mut member, now);
        assert!(member.add_learner(now, 4));
        member.step(now, 4, append_response(&member, 2, true));
        member.step(now + silent, 2, append_response(&member, 2, true));
        member.step(now + silent, 3, append_response(&member, 2, true));
        // The second tick completes any catch-up round that began with the first. Such a round would be short
        // enough, whoever is silent.
        member.tick(now + silent);
        member.tick(now + silent + 25);
        assert_eq!(member.members().contains(&4), promoted, "silent for {silent} ms");
    }
}

/// A member's disk is replaced by last week's copy, while the leader that received its newer acknowledgements
/// still leads.
#[test]
fn rolled_back_disk_does_not_count_and_queries_the_others() {
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
        persist_pending(&mut member, now);
    }
    let acknowledgement = answer(&member, 20, true, 8);
    member.step(now, 2, acknowledgement);
    assert_eq!(member.commit_and_last().0, 8);
    persist_pending(&mut member, now);
    // A delayed rejection proves nothing: it is older than the acknowledgement.
    let delayed = answer(&member, 19, false, 3);
    member.step(now, 2, delayed);
    assert!(persist_pending(&mut member, now)
        .1
        .iter()
        .all(|(_, it)| !matches!(it, Message::DistrustDisk { .. })));
    let lower_match = answer(&member, 21, false, 3);
    member.step(now, 2, lower_match);
    let term = member.term();
    assert_eq!(persist_pending(&mut member, now).1, [(2, Message::DistrustDisk { term })]);
    // Its responses no longer count: while the third replica is silent, nothing is committed.
    member.propose(now, vec![9]);
    persist_pending(&mut member, now);
    assert_eq!(member.commit_and_last().0, 8);

    // The replica itself queries all others, and grants no vote before that.
    let mut follower = founder(2);
    persist_pending(&mut follower, 0);
    let previous = follower.commit_and_last().1;
    follower.step(0, 1, Message::AppendEntries { term, previous, entries: Vec::new(), commit: 0, round: 21 });
    persist_pending(&mut follower, 0);
    follower.step(0, 1, Message::DistrustDisk { term });
    follower.step(0, 3, Message::RequestVote { term: term + 1, pre_vote: false, last: (term, 8) });
    follower.tick(25);
    let (_, queries) = persist_pending(&mut follower, 25);
    assert!(
        follower.has_lost_state() && queries.iter().all(|(_, it)| matches!(it, Message::QueryState { .. })),
        "{queries:?}"
    );
    assert_eq!(queries.iter().map(|(to, _)| *to).collect::<Vec<_>>(), [1, 3]);
}

/// A replica that restarts in term 4 with a log up to `(1, 3)`, and the ID of its state query.
fn restarted_member(now: u64) -> (Member, u64) {
    let mut member = founder(1);
    persist_pending(&mut member, 0);
    let entry = |index| Entry { term: 1, index, payload: Payload::Data(vec![index as u8]) };
    let entries = vec![entry(2), entry(3)];
    member.step(0, 2, Message::AppendEntries { term: 4, previous: (1, 1), entries, commit: 1, round: 0 });
    let mut new_founder = founder(1);
    let snapshot = persist_pending(&mut new_founder, 0).0.snapshot.map(|(bytes, _)| bytes);
    let batch = persist_pending(&mut member, 0).0;
    let entries = batch.entries.into_iter().map(|(_, bytes)| bytes).collect();
    let stored = StoredState { hard_state: batch.hard_state, entries, snapshot };
    let mut restarted = Member::new(options(1), &stored, None, &FOUNDERS, now).unwrap();
    restarted.tick(now);
    let queries = persist_pending(&mut restarted, now).1;
    let Some((_, Message::QueryState { query_id })) = queries.first() else {
        panic!("no state query was sent: {queries:?}")
    };
    (restarted, *query_id)
}

/// The report of a replica that has restarted too.
fn report(query_id: u64, term: u64, last: (u64, u64)) -> Message {
    Message::StateReport {
        query_id,
        term,
        last,
        members: FOUNDERS.to_vec(),
        integrity: StateIntegrity::Unconfirmed,
    }
}

/// Whether a replica votes for a candidate.
fn grants_vote(member: &mut Member, now: u64, term: u64, last: (u64, u64)) -> bool {
    member.step(now, 3, Message::RequestVote { term, pre_vote: false, last });
    let responses = persist_pending(member, now).1;
    responses.iter().any(|(_, message)| matches!(message, Message::VoteResponse { granted: true, .. }))
}

#[test]
fn restarted_replica_does_not_vote_in_terms_known_to_the_others() {
    let now = 5_000;
    let (mut member, query_id) = restarted_member(now);
    assert!(!grants_vote(&mut member, now, 4, (4, 9)), "no reports have arrived yet");
    member.step(now, 2, report(query_id, 6, (1, 3)));
    member.step(now, 3, report(query_id, 5, (1, 2)));
    assert!(member.start_confirmed() && member.term() == 6);
    assert!(
        !grants_vote(&mut member, now, 6, (4, 9)),
        "its disk may have been rolled back to before its vote in this term"
    );
    assert!(grants_vote(&mut member, now, 7, (4, 9)));
}

#[test]
fn restarted_replica_votes_only_for_logs_that_hold_what_the_others_reported() {
    let now = 5_000;
    let (mut member, query_id) = restarted_member(now);
    member.step(now, 2, report(query_id, 4, (4, 8)));
    member.step(now, 3, report(query_id, 4, (1, 3)));
    assert!(!member.start_confirmed(), "it lacks entries that it may have helped to acknowledge");
    assert!(!grants_vote(&mut member, now, 5, (4, 7)));
    assert!(grants_vote(&mut member, now, 5, (4, 8)));
}

#[test]
fn restarted_replica_ignores_reports_for_another_query() {
    let now = 5_000;
    let (mut member, query_id) = restarted_member(now);
    member.step(now, 2, report(query_id ^ 1, 4, (1, 3)));
    member.step(now, 3, report(query_id ^ 1, 4, (1, 3)));
    assert!(!member.start_confirmed());
}
