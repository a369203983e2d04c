//! Disks rolled back to an earlier state, as by restoring a copy. Whatever they had helped to acknowledge is
//! kept, in whatever order the replicas start, and a majority that starts without the rest still serves.

mod simulation;

use milletwing_consensus::{MemberId, Millis, Role};
use rand::Rng;
use simulation::{Cluster, Disk};

/// A delay longer than any test, for a replica that stays down.
const NEVER: Millis = 1 << 40;
/// Milliseconds between two starts. Five replicas are up within four times this, before a silent one is
/// considered absent.
const START_INTERVAL_MS: Millis = 120;

/// Runs the cluster until a condition holds, or for the given time. Returns whether the condition holds.
fn run_until(cluster: &mut Cluster, timeout: Millis, condition: impl Fn(&Cluster) -> bool) -> bool {
    let end = cluster.now + timeout;
    while cluster.now < end && !condition(cluster) {
        cluster.step();
        if cluster.now.is_multiple_of(100) {
            cluster.update_membership(1_000);
        }
    }
    condition(cluster)
}

/// Proposes until the given number of further entries is acknowledged.
fn acknowledge(cluster: &mut Cluster, count: usize) {
    let target = cluster.acked.len() + count;
    for _ in 0..400 {
        if cluster.acked.len() >= target {
            return;
        }
        cluster.propose_and_read();
        (0..10).for_each(|_| cluster.step());
    }
    panic!("only {} of {target} entries were acknowledged", cluster.acked.len());
}

/// A cluster in which all replicas are members and hold some entries.
fn new_cluster(seed: u64, count: u32) -> Cluster {
    let mut cluster = Cluster::new(seed, count);
    assert!(run_until(&mut cluster, 20_000, |cluster| cluster.all_joined() && cluster.leader().is_some()));
    acknowledge(&mut cluster, 3);
    cluster
}

/// Copies of the disks of some replicas.
fn copy_disks(cluster: &Cluster, of: &[MemberId]) -> Vec<(MemberId, Disk)> {
    of.iter().map(|id| (*id, cluster.replicas[id].disk.clone())).collect()
}

/// Cuts the power of all replicas and replaces the disks listed in `rolled_back` by earlier copies. The
/// replicas in `order` start one after the other, all others stay down.
fn restart(cluster: &mut Cluster, rolled_back: &[(MemberId, Disk)], order: &[MemberId]) {
    let all: Vec<MemberId> = cluster.replicas.keys().copied().collect();
    for id in &all {
        cluster.kill(*id, false, NEVER);
    }
    cluster.in_flight.clear();
    for (id, disk) in rolled_back {
        cluster.replicas.get_mut(id).unwrap().disk = disk.clone();
        cluster.ever_lost.insert(*id);
    }
    for (place, id) in order.iter().enumerate() {
        cluster.replicas.get_mut(id).unwrap().restart_at =
            cluster.now + 1 + START_INTERVAL_MS * place as Millis;
    }
}

/// Whether all running replicas are confirmed and hold all acknowledged entries.
fn holds_all(cluster: &Cluster) -> bool {
    cluster.replicas.values().filter(|it| it.member.is_some()).all(|it| {
        cluster.acked.iter().all(|(index, value)| it.state.contains(&(*index, *value)))
            && it.member.as_ref().is_some_and(|member| member.start_confirmed() && !member.has_lost_state())
    })
}

/// All orders of the replicas.
fn permutations(of: &[MemberId]) -> Vec<Vec<MemberId>> {
    if of.len() <= 1 {
        return vec![of.to_vec()];
    }
    let mut all = Vec::new();
    for first in of {
        let rest: Vec<MemberId> = of.iter().copied().filter(|id| id != first).collect();
        for mut order in permutations(&rest) {
            order.insert(0, *first);
            all.push(order);
        }
    }
    all
}

/// Rolls disks back, where everything that they had helped to acknowledge is on only one other disk, and checks
/// that nothing is lost.
fn check_rollback_with_start_order(seed: u64, count: u32, rollback_count: u32, order: &[MemberId]) {
    let mut cluster = new_cluster(seed, count);
    let holder = rollback_count + 1;
    let old_disks = copy_disks(&cluster, &(1..=rollback_count).collect::<Vec<_>>());
    let absent: Vec<MemberId> =
        (1..=count).filter(|id| *id > holder).take(cluster.tolerated_losses).collect();
    for id in &absent {
        cluster.kill(*id, false, NEVER);
    }
    acknowledge(&mut cluster, 5);
    restart(&mut cluster, &old_disks, order);
    let condition = |cluster: &Cluster| cluster.leader().is_some() && holds_all(cluster);
    assert!(
        run_until(&mut cluster, 20_000, condition),
        "{count} replicas, {rollback_count} rolled-back disks, order {order:?}"
    );
    acknowledge(&mut cluster, 1);
    assert!(
        run_until(&mut cluster, 5_000, holds_all),
        "{count} replicas, {rollback_count} rolled-back disks, order {order:?}"
    );
}

#[test]
fn acknowledged_entries_survive_rolled_back_disks_in_any_start_order() {
    for (count, rollback_count) in [(3, 1), (5, 1), (5, 2)] {
        let ids: Vec<MemberId> = (1..=count).collect();
        for (seed, order) in permutations(&ids).iter().enumerate() {
            check_rollback_with_start_order(seed as u64, count, rollback_count, order);
        }
    }
}

#[test]
fn majority_that_starts_alone_serves() {
    for count in [3, 5] {
        let ids: Vec<MemberId> = (1..=count).collect();
        let majority = count as usize / 2 + 1;
        for (seed, order) in permutations(&ids).iter().enumerate() {
            let mut cluster = new_cluster(seed as u64, count);
            acknowledge(&mut cluster, 2);
            restart(&mut cluster, &[], &order[..majority]);
            // Silent replicas are considered absent after two and a half election timeouts. Then there is an
            // election, and another one if votes were split.
            let has_leader = run_until(&mut cluster, 6_000, |cluster| cluster.leader().is_some());
            assert!(has_leader, "{count} replicas, order {order:?}");
            acknowledge(&mut cluster, 1);
        }
    }
}

#[test]
fn a_majority_serves_however_few_losses_are_to_be_borne() {
    for (count, tolerated_losses) in [(3, 0), (5, 0), (5, 1)] {
        let ids: Vec<MemberId> = (1..=count).collect();
        for (seed, order) in permutations(&ids).iter().enumerate().step_by(7) {
            let mut cluster = new_cluster(seed as u64, count);
            cluster.tolerated_losses = tolerated_losses;
            restart(&mut cluster, &[], &order[..count as usize / 2 + 1]);
            let has_leader = run_until(&mut cluster, 6_000, |cluster| cluster.leader().is_some());
            assert!(has_leader, "{count} replicas, {tolerated_losses} tolerated losses, order {order:?}");
            acknowledge(&mut cluster, 1);
        }
    }
}

#[test]
fn rolled_back_disk_does_not_count_under_a_later_leader() {
    for seed in 0..60 {
        let mut cluster = new_cluster(seed, 3);
        let old_disks = copy_disks(&cluster, &[1]);
        // Replica 1 and one other acknowledge entries that the third lacks.
        cluster.kill(3, false, NEVER);
        acknowledge(&mut cluster, 4);
        cluster.kill(1, false, NEVER);
        cluster.replicas.get_mut(&3).unwrap().restart_at = cluster.now;
        // A leader of a later term, which has never heard from replica 1.
        assert!(
            run_until(&mut cluster, 10_000, |cluster| cluster.leader().is_some_and(|id| id != 1)),
            "seed {seed}"
        );
        acknowledge(&mut cluster, 1);
        let replica = cluster.replicas.get_mut(&1).unwrap();
        (replica.disk, replica.restart_at) = (old_disks[0].1.clone(), cluster.now);
        cluster.ever_lost.insert(1);
        let wait = cluster.rng.random_range(0..600);
        run_until(&mut cluster, wait, |_| false);
        // The leader stops. The rolled-back disk must not help to elect a replica that lacks acknowledged
        // entries.
        if let Some(leader) = cluster.leader() {
            cluster.kill(leader, false, 700);
        }
        assert!(run_until(&mut cluster, 20_000, |it| it.leader().is_some() && holds_all(it)), "seed {seed}");
        acknowledge(&mut cluster, 1);
    }
}

#[test]
fn random_rollbacks_at_random_times_lose_nothing() {
    for seed in 0..400_u64 {
        let count = if seed.is_multiple_of(2) { 3 } else { 5 };
        let mut cluster = new_cluster(seed, count);
        for _ in 0..4 {
            let ids: Vec<MemberId> = cluster.replicas.keys().copied().collect();
            let rollback_count = cluster.rng.random_range(1..=cluster.tolerated_losses);
            let of: Vec<MemberId> =
                ids.iter().copied().filter(|_| cluster.rng.random_bool(0.7)).take(rollback_count).collect();
            let old_disks = copy_disks(&cluster, &of);
            let absent = ids.iter().copied().find(|id| !of.contains(id) && cluster.rng.random_bool(0.7));
            if let Some(id) = absent {
                cluster.kill(id, false, NEVER);
            }
            let entries = cluster.rng.random_range(1..30);
            acknowledge(&mut cluster, entries);
            if cluster.rng.random_bool(0.5) {
                let mut order = ids.clone();
                order.sort_by_key(|_| cluster.rng.random::<u32>());
                restart(&mut cluster, &old_disks, &order);
            } else {
                // The disks are rolled back one after the other, while the other replicas keep running.
                if let Some(id) = absent {
                    cluster.replicas.get_mut(&id).unwrap().restart_at = cluster.now;
                }
                run_until(&mut cluster, 200, |_| false);
                for (id, disk) in &old_disks {
                    let downtime = cluster.rng.random_range(10..600);
                    cluster.kill(*id, false, downtime);
                    cluster.replicas.get_mut(id).unwrap().disk = disk.clone();
                    cluster.ever_lost.insert(*id);
                }
            }
            let condition = |cluster: &Cluster| cluster.leader().is_some() && holds_all(cluster);
            assert!(run_until(&mut cluster, 20_000, condition), "seed {seed}");
            acknowledge(&mut cluster, 1);
        }
    }
}

#[test]
fn unconfirmed_replica_starts_no_election() {
    let mut cluster = new_cluster(1, 3);
    let leader = cluster.leader().unwrap();
    let other = cluster.replicas.keys().copied().find(|id| *id != leader).unwrap();
    restart(&mut cluster, &[], &[other]);
    run_until(&mut cluster, 10_000, |_| false);
    let member = cluster.replicas[&other].member.as_ref().unwrap();
    assert!(
        !member.start_confirmed() && member.role() == Role::Follower,
        "a replica alone cannot know whether its disk was rolled back"
    );
}
