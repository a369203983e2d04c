//! Earlier states of disks that are put back, as by a restored copy. What they had helped to acknowledge stays, whatever the order in
//! which the machines start, and a majority that starts without the rest serves.

mod simulation;

use milletwing_consensus::{MemberId, Millis, Role};
use rand::Rng;
use simulation::{Disk, World};

/// Longer than any test plays: a machine that stays down.
const NEVER: Millis = 1 << 40;
/// Milliseconds between two starts. Five machines are up within this times four, sooner than a silent one is taken for absent.
const GAP: Millis = 120;

fn until(world: &mut World, within: Millis, done: impl Fn(&World) -> bool) -> bool {
    let end = world.now + within;
    while world.now < end && !done(world) {
        world.step();
        if world.now.is_multiple_of(100) {
            world.join(1_000);
        }
    }
    done(world)
}

/// Calls until so many further entries are acknowledged.
fn acknowledge(world: &mut World, count: usize) {
    let wanted = world.acked.len() + count;
    for _ in 0..400 {
        if world.acked.len() >= wanted {
            return;
        }
        world.call();
        (0..10).for_each(|_| world.step());
    }
    panic!("{} of {wanted} entries are acknowledged", world.acked.len());
}

/// All machines are members and hold some entries.
fn begun(seed: u64, count: u32) -> World {
    let mut world = World::new(seed, count);
    assert!(until(&mut world, 20_000, |world| world.joined() && world.leader().is_some()));
    acknowledge(&mut world, 3);
    world
}

fn copies(world: &World, of: &[MemberId]) -> Vec<(MemberId, Disk)> {
    of.iter().map(|id| (*id, world.machines[id].disk.clone())).collect()
}

/// All lose power; those of `old` get an earlier state of their disk; each starts at its place in `order`, the others never.
fn restart(world: &mut World, old: &[(MemberId, Disk)], order: &[MemberId]) {
    let all: Vec<MemberId> = world.machines.keys().copied().collect();
    for id in &all {
        world.kill(*id, false, NEVER);
    }
    world.wire.clear();
    for (id, disk) in old {
        world.machines.get_mut(id).unwrap().disk = disk.clone();
        world.ever_lost.insert(*id);
    }
    for (place, id) in order.iter().enumerate() {
        world.machines.get_mut(id).unwrap().back = world.now + 1 + GAP * place as Millis;
    }
}

fn holds_all(world: &World) -> bool {
    world.machines.values().filter(|it| it.member.is_some()).all(|it| {
        world.acked.iter().all(|(index, value)| it.state.contains(&(*index, *value)))
            && it.member.as_ref().is_some_and(|member| member.start_confirmed() && !member.has_lost_state())
    })
}

fn orders(of: &[MemberId]) -> Vec<Vec<MemberId>> {
    if of.len() <= 1 {
        return vec![of.to_vec()];
    }
    let mut all = Vec::new();
    for first in of {
        let rest: Vec<MemberId> = of.iter().copied().filter(|id| id != first).collect();
        for mut order in orders(&rest) {
            order.insert(0, *first);
            all.push(order);
        }
    }
    all
}

/// What the disks that are put back have helped to acknowledge stands on one other disk only.
fn put_back_in_order(seed: u64, count: u32, old: u32, order: &[MemberId]) {
    let mut world = begun(seed, count);
    let holder = old + 1;
    let before = copies(&world, &(1..=old).collect::<Vec<_>>());
    let absent: Vec<MemberId> = (1..=count).filter(|id| *id > holder).take(world.losses).collect();
    for id in &absent {
        world.kill(*id, false, NEVER);
    }
    acknowledge(&mut world, 5);
    restart(&mut world, &before, order);
    let done = |world: &World| world.leader().is_some() && holds_all(world);
    assert!(until(&mut world, 20_000, done), "{count} machines, {old} old disks, order {order:?}");
    acknowledge(&mut world, 1);
    assert!(until(&mut world, 5_000, holds_all), "{count} machines, {old} old disks, order {order:?}");
}

#[test]
fn nothing_acknowledged_is_lost_with_old_disks_in_any_order_of_starts() {
    for (count, old) in [(3, 1), (5, 1), (5, 2)] {
        let ids: Vec<MemberId> = (1..=count).collect();
        for (seed, order) in orders(&ids).iter().enumerate() {
            put_back_in_order(seed as u64, count, old, order);
        }
    }
}

#[test]
fn a_majority_that_starts_without_the_rest_serves() {
    for count in [3, 5] {
        let ids: Vec<MemberId> = (1..=count).collect();
        let majority = count as usize / 2 + 1;
        for (seed, order) in orders(&ids).iter().enumerate() {
            let mut world = begun(seed as u64, count);
            acknowledge(&mut world, 2);
            restart(&mut world, &[], &order[..majority]);
            // Silent ones are taken for absent after two and a half election times; then an election, and another where
            // votes were split.
            let led = until(&mut world, 6_000, |world| world.leader().is_some());
            assert!(led, "{count} machines, order {order:?}");
            acknowledge(&mut world, 1);
        }
    }
}

#[test]
fn a_majority_serves_however_few_losses_are_to_be_borne() {
    for (count, losses) in [(3, 0), (5, 0), (5, 1)] {
        let ids: Vec<MemberId> = (1..=count).collect();
        for (seed, order) in orders(&ids).iter().enumerate().step_by(7) {
            let mut world = begun(seed as u64, count);
            world.losses = losses;
            restart(&mut world, &[], &order[..count as usize / 2 + 1]);
            let led = until(&mut world, 6_000, |world| world.leader().is_some());
            assert!(led, "{count} machines, {losses} losses, order {order:?}");
            acknowledge(&mut world, 1);
        }
    }
}

#[test]
fn an_old_disk_counts_for_nothing_under_a_leader_elected_since() {
    for seed in 0..60 {
        let mut world = begun(seed, 3);
        let before = copies(&world, &[1]);
        // Machine 1 and one other acknowledge what the third lacks.
        world.kill(3, false, NEVER);
        acknowledge(&mut world, 4);
        world.kill(1, false, NEVER);
        world.machines.get_mut(&3).unwrap().back = world.now;
        // A leader of a later term, that has never heard of machine 1.
        assert!(until(&mut world, 10_000, |world| world.leader().is_some_and(|id| id != 1)), "seed {seed}");
        acknowledge(&mut world, 1);
        let machine = world.machines.get_mut(&1).unwrap();
        (machine.disk, machine.back) = (before[0].1.clone(), world.now);
        world.ever_lost.insert(1);
        let wait = world.chance.random_range(0..600);
        until(&mut world, wait, |_| false);
        // Whoever leads stops: the old disk must not elect one that lacks what was acknowledged.
        if let Some(leader) = world.leader() {
            world.kill(leader, false, 700);
        }
        assert!(until(&mut world, 20_000, |it| it.leader().is_some() && holds_all(it)), "seed {seed}");
        acknowledge(&mut world, 1);
    }
}

#[test]
fn drawn_copies_put_back_at_drawn_moments_lose_nothing() {
    for seed in 0..400_u64 {
        let count = if seed.is_multiple_of(2) { 3 } else { 5 };
        let mut world = begun(seed, count);
        for _ in 0..4 {
            let ids: Vec<MemberId> = world.machines.keys().copied().collect();
            let old = world.chance.random_range(1..=world.losses);
            let of: Vec<MemberId> =
                ids.iter().copied().filter(|_| world.chance.random_bool(0.7)).take(old).collect();
            let before = copies(&world, &of);
            let absent = ids.iter().copied().find(|id| !of.contains(id) && world.chance.random_bool(0.7));
            if let Some(id) = absent {
                world.kill(id, false, NEVER);
            }
            let entries = world.chance.random_range(1..30);
            acknowledge(&mut world, entries);
            if world.chance.random_bool(0.5) {
                let mut order = ids.clone();
                order.sort_by_key(|_| world.chance.random::<u32>());
                restart(&mut world, &before, &order);
            } else {
                // One after the other, while the rest goes on.
                if let Some(id) = absent {
                    world.machines.get_mut(&id).unwrap().back = world.now;
                }
                until(&mut world, 200, |_| false);
                for (id, disk) in &before {
                    let back = world.chance.random_range(10..600);
                    world.kill(*id, false, back);
                    world.machines.get_mut(id).unwrap().disk = disk.clone();
                    world.ever_lost.insert(*id);
                }
            }
            let done = |world: &World| world.leader().is_some() && holds_all(world);
            assert!(until(&mut world, 20_000, done), "seed {seed}");
            acknowledge(&mut world, 1);
        }
    }
}

#[test]
fn a_machine_that_has_not_asked_the_others_neither_votes_nor_stands() {
    let mut world = begun(1, 3);
    let leader = world.leader().unwrap();
    let other = world.machines.keys().copied().find(|id| *id != leader).unwrap();
    restart(&mut world, &[], &[other]);
    until(&mut world, 10_000, |_| false);
    let member = world.machines[&other].member.as_ref().unwrap();
    assert!(
        !member.start_confirmed() && member.role() == Role::Follower,
        "alone it can't know what its disk lacks"
    );
}
