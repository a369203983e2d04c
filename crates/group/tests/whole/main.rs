//! The failures a group is for, each caused here.

mod cluster;
mod parts;

use cluster::*;
use milletwing_decision::interface::{Build, Phase, Vote};
use milletwing_group::grant::PeerNote;
use milletwing_group::log::StoredState;
use protobuf::Message as _;
use raft::eraftpb::MessageType;
use raft::prelude::Message;
use rand::Rng;

#[test]
fn one_leads_and_takes_a_good_build_to_its_release() {
    for size in [1, 3, 5] {
        let mut c = Cluster::new(size, 1);
        c.until("it is released", |c| c.platform.standing.phase == Phase::Released);
        c.run(2000);
        assert_eq!(c.platform.calls.len(), 4, "{:?}", c.platform.calls);
        c.check("good build");
    }
}

#[test]
fn a_leader_cut_off_both_ways_or_one_way_acts_no_more_while_another_leads() {
    for way in 0..3 {
        let mut c = Cluster::new(3, 20 + way);
        c.verdict = Vote::None;
        let old = c.leader();
        c.run(500);
        for other in c.places.keys().copied().filter(|id| *id != old).collect::<Vec<_>>() {
            if way != 1 {
                c.cut.insert((old, other));
            }
            if way != 2 {
                c.cut.insert((other, old));
            }
        }
        c.verdict = Vote::Revert;
        c.until("another one acts", |c| c.platform.standing.phase == Phase::Withdrawn);
        assert_ne!(c.platform.calls[0].0, old);
        // What a deposed leader must not do: answer an operator as leader.
        let now = c.clock(old);
        assert!(c.member(old).transfer(now, 1 + old % 3).unwrap_err().contains("does not lead"));
        assert!(c.member(old).add(now, 9, "x").is_err() && c.member(old).remove(now, 1 + old % 3).is_err());
        // Nor grant anything.
        c.member(old).outputs();
        c.member(old).peer(now, 1 + old % 3, &PeerNote::Ask(1));
        assert!(c.member(old).outputs().is_empty());
        c.run(1500);
        // Its grant has run out and stays so, until it hears again: of a build that has gone back, nothing.
        assert_eq!(c.places[&old].grant, Some((Build(2), 0.0)));
        c.heal();
        c.run(2000);
        assert_eq!(c.places[&old].decided, Some((Build(2), 0, Vote::Revert)));
        c.check("cut off");
    }
}

#[test]
fn a_paused_leader_that_wakes_past_its_lease_goes_on_with_nothing() {
    let mut c = Cluster::new(3, 31);
    c.call_takes = 40;
    for _ in 0..4 {
        let old = c.leader();
        c.until("a call is out", |c| !c.platform.calls.is_empty() || c.leaders() != [old]);
        c.places.get_mut(&old).unwrap().paused = true;
        c.run(1500);
        c.places.get_mut(&old).unwrap().paused = false;
        c.run(300);
    }
    c.until("it is released", |c| c.platform.standing.phase == Phase::Released);
    c.check("paused");
}

#[test]
fn leadership_is_handed_over_cleanly_also_in_the_middle_of_a_vote() {
    // From before the intent to long after the call, in steps of five milliseconds.
    for after in 0..40 {
        let mut c = Cluster::new(3, 100 + after);
        c.verdict = Vote::None;
        c.call_takes = 60;
        let old = c.leader();
        c.run(400);
        c.verdict = Vote::Revert;
        c.run(after * 5);
        let (now, to) = (c.clock(old), 1 + old % 3);
        c.member(old).transfer(now, to).unwrap();
        c.until("it is sent back", |c| c.platform.standing.phase == Phase::Withdrawn);
        c.run(1500);
        assert_eq!(c.leaders(), [to], "{:#?}", c.log);
        assert_eq!(c.platform.calls.len(), 1, "{:?}", c.platform.calls);
        c.check("hand-over");
    }
}

/// The leader dies at every moment of a vote; whoever follows reads the platform first.
#[test]
fn a_leader_that_dies_between_intent_call_and_outcome_leaves_nothing_to_be_done_twice() {
    let mut settled = 0;
    for after in 0..50 {
        for takes in [10, 450] {
            let mut c = Cluster::new(3, 300 + after);
            c.verdict = Vote::None;
            c.call_takes = takes;
            let old = c.leader();
            c.run(400);
            c.verdict = Vote::Advance;
            c.run(after * 5);
            c.kill(old);
            c.until("it is released", |c| c.platform.standing.phase == Phase::Released);
            c.start(old);
            c.run(1500);
            settled += usize::from(c.platform.calls.iter().any(|(by, _)| *by == old));
            assert_eq!(c.platform.calls.len(), 4, "{:?}", c.platform.calls);
            c.check("killed in a vote");
        }
    }
    assert!(settled > 20, "the old leader's call was out in {settled} runs only");
}

#[test]
fn clocks_one_percent_apart_keep_leases_apart() {
    for seed in 0..6 {
        let mut c = Cluster::new(3, 400 + seed);
        for (id, place) in &mut c.places {
            place.rate = [0.99, 1.0, 1.01][(*id as usize + seed as usize) % 3];
        }
        for _ in 0..6 {
            let old = c.leader();
            c.split(&[old]);
            c.run(900);
            c.heal();
            c.run(300);
        }
        c.check("drift");
    }
}

#[test]
fn five_split_two_two_and_one_come_together_in_any_order() {
    for order in 0..6 {
        let mut c = Cluster::new(5, 500 + order);
        c.leader();
        let parts: [&[u64]; 3] = [&[1, 2], &[3, 4], &[5]];
        parts.iter().for_each(|part| c.split(part));
        c.run(2000);
        assert!(c.leaders().is_empty(), "nobody has three of five");
        let calls = c.platform.calls.len();
        c.run(1000);
        assert_eq!(c.platform.calls.len(), calls);
        let [a, b] = [[0, 1], [1, 2], [0, 2], [1, 0], [2, 1], [2, 0]][order as usize];
        c.cut.retain(|(x, y)| {
            let within = |part: &[u64], id: &u64| part.contains(id);
            !((within(parts[a], x) && within(parts[b], y)) || (within(parts[b], x) && within(parts[a], y)))
        });
        c.run(2000);
        c.heal();
        c.until("it is released", |c| c.platform.standing.phase == Phase::Released);
        c.check("split in three");
    }
}

#[test]
fn two_of_three_killed_come_back_from_their_stores() {
    let mut c = Cluster::new(3, 600);
    let old = c.leader();
    c.run(700);
    let others: Vec<u64> = c.places.keys().copied().filter(|id| *id != old).collect();
    others.iter().for_each(|id| c.kill(*id));
    c.run(1500);
    assert!(c.leaders().is_empty());
    others.iter().for_each(|id| c.start(*id));
    c.until("it is released", |c| c.platform.standing.phase == Phase::Released);
    c.check("two killed");
}

/// Guards against a restart that forgets a promise: the receiver of a heartbeat listened to that leader alone. One member
/// has lost the leader long ago and asks for votes all the time; the other one is restarted as it loses it too.
#[test]
fn a_member_restarted_within_the_lease_elects_nobody() {
    for seed in 0..40 {
        let mut c = Cluster::new(3, 700 + seed);
        c.verdict = Vote::None;
        let old = c.leader();
        let [asks, restarted] = [1 + old % 3, 1 + (old + 1) % 3];
        // Whose log is behind is elected by nobody: the log stands still.
        c.run(400);
        c.still = true;
        c.run(400);
        c.cut.extend([(old, asks), (asks, old)]);
        c.run(1500 + seed * 7);
        assert_eq!(c.leaders(), [old], "the others still hear it");
        c.cut.extend([(old, restarted), (restarted, old)]);
        c.kill(restarted);
        c.start(restarted);
        c.until("the one that asks leads", |c| c.leaders() == [asks] || c.leaders() == [restarted]);
        c.check("restarted within the lease");
    }
}

#[test]
fn members_join_as_learners_are_removed_for_good_and_catch_up_by_snapshots() {
    let mut c = Cluster::new(3, 800);
    c.verdict = Vote::None;
    let leader = c.leader();
    c.run(15_000); // long enough for the log to be cut
    c.place(4, StoredState::default());
    let now = c.clock(leader);
    assert!(c.member(leader).add(now, 1, "y").unwrap_err().contains("there already"));
    c.member(leader).add(now, 4, "place-4").unwrap();
    // The receiver is killed again and again while its snapshot is on the way.
    for _ in 0..10 {
        c.run(25);
        c.kill(4);
        c.start(4);
    }
    c.until("it votes", |c| {
        c.places[&1].member.as_ref().unwrap().record().members.get(&4).is_some_and(|member| member.votes)
    });
    c.run(1000);
    let gone = 1 + leader % 3;
    let now = c.clock(leader);
    assert!(c.member(leader).remove(now, leader).unwrap_err().contains("hand leadership over"));
    c.member(leader).remove(now, gone).unwrap();
    c.run(500);
    // It goes on talking, with everything it has and a term far ahead; the others go on without it.
    c.run(4000);
    let term = c.status(leader).unwrap().term;
    for kind in [MessageType::MsgHeartbeat, MessageType::MsgAppendResponse, MessageType::MsgRequestVote] {
        let mut stray = Message { from: gone, to: leader, term: term + 9, ..Message::default() };
        stray.set_msg_type(kind);
        let now = c.clock(leader);
        c.member(leader).receive(now, gone, &stray.write_to_bytes().unwrap()).unwrap();
    }
    c.run(500);
    assert_eq!((c.leaders(), c.status(leader).unwrap().term), (vec![leader], term), "{:#?}", c.log);
    // Nor does anybody speak for another.
    let mut foreign = Message { from: 9, to: leader, ..Message::default() };
    foreign.set_msg_type(MessageType::MsgHeartbeat);
    let now = c.clock(leader);
    assert!(c.member(leader).receive(now, 4, &foreign.write_to_bytes().unwrap()).is_err());
    assert!(c.member(leader).receive(now, 4, b"\xff\xff").is_err());
    let now = c.clock(leader);
    let again = c.member(leader).add(now, gone, "place-9").unwrap_err();
    assert!(again.contains("used before"), "{again}");
    // A newcomer at the removed one's address is another member.
    c.member(leader).add(now, 9, &format!("place-{gone}")).unwrap();
    c.place(9, StoredState::default());
    c.until("the newcomer votes", |c| {
        c.places[&9].member.as_ref().unwrap().record().members.get(&9).is_some_and(|member| member.votes)
    });
    c.verdict = Vote::Advance;
    c.until("it is released", |c| c.platform.standing.phase == Phase::Released);
    c.check("members");
}

/// Guards against a snapshot that is on the disk while the word of its commit is not.
#[test]
fn a_member_killed_right_after_a_snapshot_starts_from_it() {
    let mut c = Cluster::new(1, 830);
    c.verdict = Vote::None;
    c.leader();
    for number in 5..12 {
        let now = c.clock(1);
        c.member(1).add(now, number, "place").unwrap();
        c.until("it is there", |c| {
            c.places[&1].member.as_ref().unwrap().record().members.contains_key(&number)
        });
        c.kill(1);
        c.start(1);
        c.leader();
    }
}

/// Long before the log has grown enough for a snapshot of its own accord.
#[test]
fn a_newcomer_of_a_young_group_is_let_in_at_once() {
    for size in [1, 3] {
        let mut c = Cluster::new(size, 820 + size);
        c.verdict = Vote::None;
        let leader = c.leader();
        let now = c.clock(leader);
        c.place(9, StoredState::default());
        c.member(leader).add(now, 9, "place-9").unwrap();
        c.run(2000);
        assert!(c.places[&9]
            .member
            .as_ref()
            .unwrap()
            .record()
            .members
            .get(&9)
            .is_some_and(|member| member.votes));
    }
}

#[test]
fn a_platform_that_is_silent_is_not_called_again_until_it_has_been_read() {
    let mut c = Cluster::new(3, 900);
    c.verdict = Vote::None;
    let old = c.leader();
    c.run(400);
    c.verdict = Vote::Advance;
    c.until("a call is out", |c| c.calls_out(old) > 0);
    c.platform.silent = true;
    c.kill(old);
    c.run(6000);
    assert_eq!(c.platform.calls.len(), 1, "nothing is said while nothing is known");
    c.platform.silent = false;
    c.until("it is released", |c| c.platform.standing.phase == Phase::Released);
    c.check("silent");
}

#[test]
fn a_platform_that_is_busy_is_called_again_until_it_takes_the_call() {
    let mut c = Cluster::new(3, 950);
    c.platform.busy = true;
    c.run(3000);
    assert!(c.platform.calls.is_empty());
    c.platform.busy = false;
    c.until("it is released", |c| c.platform.standing.phase == Phase::Released);
    assert_eq!(c.platform.calls.len(), 4);
    c.check("busy");
}

#[test]
fn a_build_withdrawn_while_its_advance_is_being_decided_is_not_advanced() {
    for after in 0..20 {
        let mut c = Cluster::new(3, 1000 + after);
        c.verdict = Vote::None;
        c.leader();
        c.run(400);
        c.verdict = Vote::Advance;
        c.run(after * 5);
        let calls = c.platform.calls.len();
        c.platform.standing.phase = Phase::Withdrawn;
        c.run(100); // what has left is out
        let out = c.platform.calls.len();
        assert!(out <= calls + 1);
        c.platform.standing.phase = Phase::Withdrawn;
        c.run(2000);
        assert_eq!(c.platform.calls.len(), out);
    }
}

/// What another part keeps: by the one that leads, each in place of the one before, the same at all, also by snapshots.
#[test]
fn what_is_kept_for_others_is_one_and_the_same_everywhere() {
    let mut c = Cluster::new(3, 970);
    c.verdict = Vote::None;
    let leader = c.leader();
    c.run(400);
    let keep = |c: &mut Cluster, by: u64, after: u64, number: u64| {
        let now = c.clock(by);
        let kept = c.member(by).keep(now, after, number, vec![number as u8]);
        c.run(200);
        kept
    };
    assert!(keep(&mut c, leader, 0, 1) && keep(&mut c, leader, 1, 2));
    assert!(keep(&mut c, leader, 1, 3), "proposed, and not taken: it does not replace the last one");
    assert!(!keep(&mut c, 1 + leader % 3, 2, 3), "it does not lead");
    let now = c.clock(leader);
    assert!(!c.member(leader).keep(now, 2, 3, vec![0; 2 << 20]), "too large");
    let all = |c: &Cluster| c.places.values().map(|place| place.kept.clone()).collect::<Vec<_>>();
    assert_eq!(all(&c), vec![(2, vec![2]); 3]);
    c.run(15_000);
    c.kill(leader);
    c.start(leader);
    c.run(500);
    assert_eq!(all(&c), vec![(2, vec![2]); 3]);
}

#[test]
fn drawn_faults_break_nothing() {
    for seed in 0..12 {
        let size = 3 + 2 * (seed % 3);
        let mut c = Cluster::new(size, 5000 + seed);
        c.verdict = if seed % 2 == 0 { Vote::Advance } else { Vote::Revert };
        c.call_takes = 30;
        for _ in 0..12 {
            let id = c.dice.random_range(1..=size);
            match c.dice.random_range(0..6) {
                0 => c.split(&[id]),
                1 => c.places.get_mut(&id).unwrap().paused ^= true,
                2 if c.places[&id].member.is_some() => c.kill(id),
                3 if c.places[&id].member.is_none() => c.start(id),
                4 => {
                    let now = c.clock(id);
                    if let Some(member) = c.places.get_mut(&id).unwrap().member.as_mut() {
                        let _ = member.transfer(now, 1 + id % size); // refused where it does not lead
                    }
                }
                _ => c.heal(),
            }
            let ms = c.dice.random_range(50..900);
            c.run(ms);
        }
        c.heal();
        for id in 1..=size {
            c.places.get_mut(&id).unwrap().paused = false;
            if c.places[&id].member.is_none() {
                c.start(id);
            }
        }
        c.until("it ends", |c| c.platform.standing.phase != Phase::Trial);
        c.check(&format!("seed {seed}"));
    }
}
