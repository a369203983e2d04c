//! Replicas that were down for many entries catch up while new entries keep arriving, even if the leader
//! changes or they restart on the way. Logs stay bounded.

mod simulation;

use milletwing_consensus::{Entry, Member, Message, Options, Payload, Role, StoredState};
use simulation::Cluster;

/// Silence after which a member is removed, in milliseconds.
const REMOVAL_SILENCE_MS: u64 = 2_000;

/// Runs the cluster for a time, with client calls at an interval.
fn run_for(cluster: &mut Cluster, duration: u64, interval: u64) {
    let end = cluster.now + duration;
    while cluster.now < end {
        cluster.step();
        if cluster.now.is_multiple_of(interval) {
            cluster.propose_and_read();
        }
    }
}

/// One of three replicas is down for a thousand entries and fifty snapshots, then returns while a hundred
/// entries are proposed each second.
#[test]
fn replica_that_missed_a_thousand_entries_catches_up_while_more_arrive() {
    for seed in 0..24 {
        let mut cluster = Cluster::new(seed, 3);
        // The missing data takes over a second to arrive. Leaders would otherwise take several snapshots in
        // that time.
        cluster.snapshot_chunk_bytes = 1_024;
        while !(cluster.all_joined() && cluster.leader().is_some()) {
            cluster.step();
            cluster.update_membership(REMOVAL_SILENCE_MS);
        }
        let absent = cluster.leader().map_or(1, |leader| leader % 3 + 1);
        cluster.kill(absent, seed % 4 == 3, 1_000_000);
        run_for(&mut cluster, 8_000, 5);
        cluster.replicas.get_mut(&absent).unwrap().restart_at = cluster.now;
        let mut caught_up = false;
        for round in 0..60 {
            run_for(&mut cluster, 250, 10);
            // The leader changes halfway, or the returning replica restarts in the middle.
            if round == 4 && seed % 3 == 0 {
                let leader = cluster.leader().unwrap_or(1);
                cluster.kill(leader, false, 700);
            }
            if round == 5 && seed % 3 == 1 {
                cluster.kill(absent, false, 50);
            }
            let last_acked = cluster.acked.keys().last().copied().unwrap_or(0);
            let has_caught_up =
                |member: &Member| !member.has_lost_state() && member.commit_and_last().0 + 60 >= last_acked;
            caught_up = round > 8 && cluster.replicas[&absent].member.as_ref().is_some_and(has_caught_up);
            if caught_up {
                break;
            }
        }
        assert!(cluster.acked.len() > 1_000, "seed {seed}: {} entries acknowledged", cluster.acked.len());
        assert!(caught_up, "seed {seed}: replica {absent} never caught up");
    }
}

/// A founding member that compacts its log by size.
fn follower(snapshot_after_bytes: usize) -> Member {
    let options = Options {
        id: 1,
        election_timeout: 300,
        heartbeat_interval: 50,
        tolerated_losses: 1,
        snapshot_after_entries: 1_000,
        snapshot_after_bytes,
        snapshot_chunk_bytes: 64,
        seed: 1,
    };
    Member::new(options, &StoredState::default(), Some(&[1, 2, 3]), &[1, 2, 3], 0).unwrap()
}

/// Reports all pending output as persisted.
fn persist_pending(member: &mut Member) {
    while let Some(ready) = member.take_ready() {
        member.on_persisted(0, ready.last);
    }
}

#[test]
fn log_is_compacted_by_size_as_well() {
    const MAX_BYTES: usize = 1 << 20;
    let mut member = follower(MAX_BYTES);
    persist_pending(&mut member);
    let mut snapshots = 0;
    for index in 2..400 {
        let entry = Entry { term: 1, index, payload: Payload::Data(vec![0; 50_000]) };
        let previous = (1, index - 1);
        member.step(
            0,
            2,
            Message::AppendEntries { term: 1, previous, entries: vec![entry], commit: index, round: index },
        );
        persist_pending(&mut member);
        member.take_committed();
        if member.should_snapshot() {
            member.save_snapshot(vec![1; 10]);
            snapshots += 1;
            persist_pending(&mut member);
        }
        let kept = member.commit_and_last().1 .1 - member.first_index();
        assert!(kept * 50_000 <= 2 * MAX_BYTES as u64, "{kept} entries kept after the snapshot");
    }
    assert!((10..60).contains(&snapshots), "{snapshots} snapshots of 20 MB of entries");
}

#[test]
fn snapshot_of_known_entries_drops_no_later_entries() {
    let mut member = follower(1 << 20);
    persist_pending(&mut member);
    let entries = (2..=9).map(|index| Entry { term: 1, index, payload: Payload::Data(vec![index as u8]) });
    let entries: Vec<Entry> = entries.collect();
    member.step(0, 2, Message::AppendEntries { term: 1, previous: (1, 1), entries, commit: 1, round: 1 });
    persist_pending(&mut member);
    // A leader that received a delayed response takes this replica for one that is far behind.
    member.step(
        0,
        2,
        Message::InstallSnapshot {
            term: 1,
            last: (1, 5),
            members: vec![1, 2, 3],
            offset: 0,
            chunk: vec![7],
            total: 1,
            checksum: crc32fast::hash(&[7]),
            round: 2,
        },
    );
    assert_eq!(member.commit_and_last(), (5, (1, 9)), "entries that it had acknowledged were dropped");
    assert_eq!(member.role(), Role::Follower);
}
