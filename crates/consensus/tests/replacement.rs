//! Machines that are replaced, planned or not, and a second loss right after: a majority must be left that goes on.

mod simulation;

use milletwing_consensus::{MemberId, Role};
use simulation::World;

/// Milliseconds after which a replaced machine's successor counts, as operators are promised it.
const SUCCESSOR: u64 = 4_000;
/// Silence after which a replaced machine is taken out: half of that.
const SILENCE: u64 = 2_000;
/// Within this time of a loss a new entry must be acknowledged.
const GOES_ON: u64 = 3_000;

fn settled(seed: u64, count: u32) -> World {
    let mut world = World::new(seed, count);
    while !(world.joined() && world.leader().is_some()) {
        world.step();
        world.join(SILENCE);
        assert!(world.now < 10_000, "seed {seed}: the machines never agreed on who votes");
    }
    pass(&mut world, 1_000);
    world
}

fn pass(world: &mut World, time: u64) {
    let end = world.now + time;
    while world.now < end {
        world.step();
        world.join(SILENCE);
        if world.now.is_multiple_of(100) {
            world.call();
        }
    }
}

/// Whether an entry that is proposed from now on is acknowledged in time.
fn goes_on(world: &mut World) -> bool {
    let before = world.acked.keys().last().copied().unwrap_or(0);
    let end = world.now + GOES_ON;
    while world.now < end {
        pass(world, 100);
        if world.acked.keys().last().is_some_and(|index| *index > before + 2) {
            return true;
        }
    }
    false
}

/// Loses as many machines as may be lost at once, the newcomers last.
fn lose(world: &mut World, losses: usize) {
    let oldest: Vec<MemberId> = world.machines.keys().copied().take(losses).collect();
    for id in oldest {
        world.kill(id, false, 1_000_000);
    }
}

#[test]
fn a_planned_replacement_leaves_a_majority_the_moment_that_the_old_machine_stops() {
    for seed in 0..120 {
        let count = if seed % 2 == 0 { 3 } else { 5 };
        let mut world = settled(seed, count);
        let old = 1 + (seed as MemberId / 2) % count;
        world.newest += 1;
        let newcomer = world.machine(world.now, false);
        world.machines.insert(world.newest, newcomer);
        let started = world.now;
        // SIGTERM comes any time after the newcomer's start; the old machine asks for as long as it may.
        pass(&mut world, 100 * (seed % 60));
        while !world.retired(old) {
            pass(&mut world, 50);
            assert!(world.now < started + 10_000, "seed {seed}: the old machine may never stop");
        }
        world.kill(old, true, 0);
        world.machines.remove(&old);
        // A newcomer has this time; after that the loss comes the moment that the old machine has stopped.
        let left = (started + SUCCESSOR).saturating_sub(world.now);
        pass(&mut world, left);
        let losses = world.losses;
        lose(&mut world, losses);
        assert!(goes_on(&mut world), "seed {seed}: no majority is left");
    }
}

#[test]
fn a_machine_that_is_gone_for_good_weighs_on_no_majority_once_its_successor_counts() {
    for seed in 0..60 {
        let count = if seed % 2 == 0 { 3 } else { 5 };
        let mut world = settled(seed, count);
        let old = 1 + (seed as MemberId / 2) % count;
        world.replace(old, 1 + 40 * (seed % 25));
        let newest = world.newest;
        while world.machines[&newest].member.is_none() {
            pass(&mut world, 5);
        }
        pass(&mut world, SUCCESSOR);
        let losses = world.losses;
        lose(&mut world, losses);
        assert!(goes_on(&mut world), "seed {seed}: no majority is left");
    }
}

#[test]
fn a_newcomer_votes_only_once_it_holds_the_log() {
    for seed in 0..20 {
        let mut world = settled(seed, 3);
        pass(&mut world, 3_000);
        world.newest += 1;
        let newest = world.newest;
        let newcomer = world.machine(world.now, false);
        world.machines.insert(newest, newcomer);
        let mut joined = false;
        for _ in 0..600 {
            pass(&mut world, 5);
            let leader = world.machines.values().filter_map(|it| it.member.as_ref());
            let Some(leader) = leader.into_iter().find(|it| it.role() == Role::Leader) else { continue };
            if leader.members().contains(&newest) && !joined {
                joined = true;
                let (commit, _) = leader.commit_and_last();
                let holds = world.machines[&newest].member.as_ref().map_or(0, |it| it.commit_and_last().1 .1);
                // At most what was proposed within an election time is on its way.
                assert!(holds + 20 >= commit, "seed {seed}: it votes with {holds} of {commit} entries");
            }
        }
        assert!(joined, "seed {seed}: the newcomer never votes");
    }
}
