//! Planned and unplanned replacement of replicas, followed immediately by further losses: the remaining
//! replicas must still include a working majority.

mod simulation;

use milletwing_consensus::{MemberId, Role};
use simulation::Cluster;

/// Milliseconds within which a replaced replica's successor counts, as promised to operators.
const SUCCESSOR_TIMEOUT_MS: u64 = 4_000;
/// Silence after which a replaced replica is removed: half of that.
const REMOVAL_SILENCE_MS: u64 = 2_000;
/// Milliseconds after a loss within which a new entry must be acknowledged.
const PROGRESS_TIMEOUT_MS: u64 = 3_000;

/// A cluster in which all replicas are members and one of them leads.
fn new_cluster(seed: u64, count: u32) -> Cluster {
    let mut cluster = Cluster::new(seed, count);
    while !(cluster.all_joined() && cluster.leader().is_some()) {
        cluster.step();
        cluster.update_membership(REMOVAL_SILENCE_MS);
        assert!(cluster.now < 10_000, "seed {seed}: the cluster never agreed on its members");
    }
    run_for(&mut cluster, 1_000);
    cluster
}

/// Runs the cluster for a time, with client calls.
fn run_for(cluster: &mut Cluster, duration: u64) {
    let end = cluster.now + duration;
    while cluster.now < end {
        cluster.step();
        cluster.update_membership(REMOVAL_SILENCE_MS);
        if cluster.now.is_multiple_of(100) {
            cluster.propose_and_read();
        }
    }
}

/// Whether an entry that is proposed from now on is acknowledged in time.
fn makes_progress(cluster: &mut Cluster) -> bool {
    let before = cluster.acked.keys().last().copied().unwrap_or(0);
    let end = cluster.now + PROGRESS_TIMEOUT_MS;
    while cluster.now < end {
        run_for(cluster, 100);
        if cluster.acked.keys().last().is_some_and(|index| *index > before + 2) {
            return true;
        }
    }
    false
}

/// Stops the tolerated number of replicas, the oldest first.
fn stop_replicas(cluster: &mut Cluster, tolerated_losses: usize) {
    let oldest: Vec<MemberId> = cluster.replicas.keys().copied().take(tolerated_losses).collect();
    for id in oldest {
        cluster.kill(id, false, 1_000_000);
    }
}

#[test]
fn planned_replacement_leaves_a_majority_once_the_old_replica_stops() {
    for seed in 0..120 {
        let count = if seed % 2 == 0 { 3 } else { 5 };
        let mut cluster = new_cluster(seed, count);
        let old = 1 + (seed as MemberId / 2) % count;
        cluster.newest_id += 1;
        let new_replica = cluster.new_replica(cluster.now, false);
        cluster.replicas.insert(cluster.newest_id, new_replica);
        let started = cluster.now;
        // SIGTERM may come at any time after the new replica's start. The old one asks for permission to stop
        // for as long as it can.
        run_for(&mut cluster, 100 * (seed % 60));
        while !cluster.may_stop(old) {
            run_for(&mut cluster, 50);
            assert!(cluster.now < started + 10_000, "seed {seed}: the old replica was never allowed to stop");
        }
        cluster.kill(old, true, 0);
        cluster.replicas.remove(&old);
        // The new replica has this much time. After that the loss comes as soon as the old replica has
        // stopped.
        let left = (started + SUCCESSOR_TIMEOUT_MS).saturating_sub(cluster.now);
        run_for(&mut cluster, left);
        let tolerated_losses = cluster.tolerated_losses;
        stop_replicas(&mut cluster, tolerated_losses);
        assert!(makes_progress(&mut cluster), "seed {seed}: no working majority is left");
    }
}

#[test]
fn lost_replica_does_not_weaken_the_majority_once_its_successor_counts() {
    for seed in 0..60 {
        let count = if seed % 2 == 0 { 3 } else { 5 };
        let mut cluster = new_cluster(seed, count);
        let old = 1 + (seed as MemberId / 2) % count;
        cluster.replace(old, 1 + 40 * (seed % 25));
        let new_id = cluster.newest_id;
        while cluster.replicas[&new_id].member.is_none() {
            run_for(&mut cluster, 5);
        }
        run_for(&mut cluster, SUCCESSOR_TIMEOUT_MS);
        let tolerated_losses = cluster.tolerated_losses;
        stop_replicas(&mut cluster, tolerated_losses);
        assert!(makes_progress(&mut cluster), "seed {seed}: no working majority is left");
    }
}

#[test]
fn new_replica_votes_only_once_it_holds_the_log() {
    for seed in 0..20 {
        let mut cluster = new_cluster(seed, 3);
        run_for(&mut cluster, 3_000);
        cluster.newest_id += 1;
        let new_id = cluster.newest_id;
        let new_replica = cluster.new_replica(cluster.now, false);
        cluster.replicas.insert(new_id, new_replica);
        let mut joined = false;
        for _ in 0..600 {
            run_for(&mut cluster, 5);
            let leader = cluster.replicas.values().filter_map(|it| it.member.as_ref());
            let Some(leader) = leader.into_iter().find(|it| it.role() == Role::Leader) else { continue };
            if leader.members().contains(&new_id) && !joined {
                joined = true;
                let (commit, _) = leader.commit_and_last();
                let last_index =
                    cluster.replicas[&new_id].member.as_ref().map_or(0, |it| it.commit_and_last().1 .1);
                // At most the entries proposed within an election timeout are still in flight.
                assert!(
                    last_index + 20 >= commit,
                    "seed {seed}: new member holds only {last_index} of {commit} entries"
                );
            }
        }
        assert!(joined, "seed {seed}: the new replica never became a member");
    }
}
