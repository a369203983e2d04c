//! Machines that were away for many changes: they catch up while changes go on, whoever leads meanwhile and wherever they are
//! started again; and logs stay bounded.

mod simulation;

use milletwing_consensus::{Entry, Member, Message, Options, Payload, Role, StoredState};
use simulation::World;

const SILENCE: u64 = 2_000;

fn pass(world: &mut World, time: u64, every: u64) {
    let end = world.now + time;
    while world.now < end {
        world.step();
        if world.now.is_multiple_of(every) {
            world.call();
        }
    }
}

/// One of three is away for a thousand changes and fifty snapshots, then comes back while a hundred changes come each second.
#[test]
fn one_that_was_away_for_a_thousand_changes_catches_up_while_more_come() {
    for seed in 0..24 {
        let mut world = World::new(seed, 3);
        // What it lacks takes over a second to arrive, in which leaders would take several snapshots.
        world.part = 1_024;
        while !(world.joined() && world.leader().is_some()) {
            world.step();
            world.join(SILENCE);
        }
        let away = world.leader().map_or(1, |leader| leader % 3 + 1);
        world.kill(away, seed % 4 == 3, 1_000_000);
        pass(&mut world, 8_000, 5);
        world.machines.get_mut(&away).unwrap().back = world.now;
        let mut caught_up = false;
        for round in 0..60 {
            pass(&mut world, 250, 10);
            // Another leads half way, or the one that comes back is started again in the middle.
            if round == 4 && seed % 3 == 0 {
                let leader = world.leader().unwrap_or(1);
                world.kill(leader, false, 700);
            }
            if round == 5 && seed % 3 == 1 {
                world.kill(away, false, 50);
            }
            let newest = world.acked.keys().last().copied().unwrap_or(0);
            let holds =
                |member: &Member| !member.has_lost_state() && member.commit_and_last().0 + 60 >= newest;
            caught_up = round > 8 && world.machines[&away].member.as_ref().is_some_and(holds);
            if caught_up {
                break;
            }
        }
        assert!(world.acked.len() > 1_000, "seed {seed}: {} changes", world.acked.len());
        assert!(caught_up, "seed {seed}: machine {away} never caught up");
    }
}

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

fn settle(member: &mut Member) {
    while let Some(work) = member.take_ready() {
        member.on_persisted(0, work.last);
    }
}

#[test]
fn a_log_is_cut_by_its_bytes_as_well() {
    const LARGEST: usize = 1 << 20;
    let mut member = follower(LARGEST);
    settle(&mut member);
    let mut snapshots = 0;
    for index in 2..400 {
        let entry = Entry { term: 1, index, payload: Payload::Data(vec![0; 50_000]) };
        let previous = (1, index - 1);
        member.step(
            0,
            2,
            Message::AppendEntries { term: 1, previous, entries: vec![entry], commit: index, round: index },
        );
        settle(&mut member);
        member.take_committed();
        if member.should_snapshot() {
            member.save_snapshot(vec![1; 10]);
            snapshots += 1;
            settle(&mut member);
        }
        let held = member.commit_and_last().1 .1 - member.first_index();
        assert!(held * 50_000 <= 2 * LARGEST as u64, "{held} entries are kept");
    }
    assert!((10..60).contains(&snapshots), "{snapshots} snapshots of 20 MB of entries");
}

#[test]
fn a_snapshot_of_what_is_there_drops_nothing_behind_it() {
    let mut member = follower(1 << 20);
    settle(&mut member);
    let entries = (2..=9).map(|index| Entry { term: 1, index, payload: Payload::Data(vec![index as u8]) });
    let entries: Vec<Entry> = entries.collect();
    member.step(0, 2, Message::AppendEntries { term: 1, previous: (1, 1), entries, commit: 1, round: 1 });
    settle(&mut member);
    // A leader that takes this machine for one far behind, by an answer that was held up.
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
    assert_eq!(member.commit_and_last(), (5, (1, 9)), "entries that it had acknowledged are gone");
    assert_eq!(member.role(), Role::Follower);
}
