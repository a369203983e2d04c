//! How a drifted edge is brought back: which steps, when, and to how many at once.

use milletwing_drift_detection::{Finding, Part, RepairOrder, Repairer, Step};
use std::collections::BTreeMap;

const INCARNATION: u64 = 1;

fn ready(count: u32) -> Vec<(u32, String)> {
    (1..=count).map(|edge| (edge, ["a", "b", "c"][edge as usize % 3].to_owned())).collect()
}

fn drifted() -> Finding {
    Finding::Mismatch(vec![Part::Hosts])
}

/// Tells of all edges ten times a second: some drift, the rest is well. Gives the steps by time.
fn play(
    repairer: &mut Repairer,
    edges: &[(u32, String)],
    span: std::ops::Range<u64>,
    drifts: impl Fn(u64, u32) -> bool,
) -> Vec<(u64, RepairOrder)> {
    let mut out = Vec::new();
    for now in span.step_by(100) {
        for (edge, zone) in edges {
            let finding = if drifts(now, *edge) { drifted() } else { Finding::InSync };
            repairer.record_finding(now, *edge, INCARNATION, zone, finding);
        }
        out.extend(repairer.next_orders(now, edges).into_iter().map(|order| (now, order)));
    }
    out
}

fn steps(orders: &[(u64, RepairOrder)], edge: u32) -> Vec<(u64, Step)> {
    orders.iter().filter(|(_, order)| order.edge == edge).map(|(now, order)| (*now, order.step)).collect()
}

#[test]
fn one_that_stays_wrong_goes_through_all_steps_with_pauses() {
    let edges = ready(24);
    let orders = play(&mut Repairer::default(), &edges, 1_000..30_000, |_, edge| edge == 4);
    let steps = steps(&orders, 4);
    assert_eq!(
        steps.iter().map(|it| it.1).collect::<Vec<_>>(),
        [Step::Again, Step::Renew, Step::Rest, Step::End]
    );
    assert!(steps[1].0 - steps[0].0 >= 1_500 && steps[2].0 - steps[1].0 >= 1_500);
    assert!(steps[3].0 - steps[2].0 >= 6_000, "it rests before it is ended");
    assert_eq!(orders.len(), 4, "nothing is done to others");
    assert!(orders
        .iter()
        .all(|(_, order)| order.incarnation == INCARNATION && order.why == "partial: hosts"));
}

#[test]
fn one_that_is_well_again_is_left_alone_and_comes_back_from_its_rest() {
    let edges = ready(24);
    // Sent again what it lacked, it is well.
    let orders = play(&mut Repairer::default(), &edges, 1_000..9_000, |now, edge| edge == 4 && now < 1_500);
    assert_eq!(steps(&orders, 4).iter().map(|it| it.1).collect::<Vec<_>>(), [Step::Again]);
    // Well only while it rests.
    let orders = play(&mut Repairer::default(), &edges, 1_000..12_000, |now, edge| edge == 4 && now < 5_000);
    let last = steps(&orders, 4);
    assert_eq!(
        last.iter().map(|it| it.1).collect::<Vec<_>>(),
        [Step::Again, Step::Renew, Step::Rest, Step::Back]
    );
}

#[test]
fn no_more_rest_at_once_than_one_in_eight_and_never_the_last_of_a_zone() {
    let edges = ready(24);
    let orders = play(&mut Repairer::default(), &edges, 1_000..9_000, |_, edge| edge <= 10);
    let resting = orders.iter().filter(|(_, order)| order.step == Step::Rest).count();
    assert_eq!(resting, 24 / 8);
    let lone = vec![(1, "a".to_owned()), (2, "b".to_owned()), (3, "b".to_owned()), (4, "b".to_owned())];
    let orders = play(&mut Repairer::default(), &lone, 1_000..30_000, |_, edge| edge == 1);
    assert_eq!(steps(&orders, 1).iter().map(|it| it.1).collect::<Vec<_>>(), [Step::Again, Step::Renew]);
}

#[test]
fn where_most_seem_to_drift_nothing_is_done_and_it_is_said() {
    let edges = ready(24);
    let mut repairer = Repairer::default();
    let orders = play(&mut repairer, &edges, 1_000..9_000, |_, edge| edge <= 13);
    assert!(orders.is_empty() && repairer.most_drifted, "{orders:?}");
    // Once few are left of them the steps begin.
    let orders = play(&mut repairer, &edges, 9_000..12_000, |_, edge| edge <= 2);
    assert!(!repairer.most_drifted && !steps(&orders, 1).is_empty());
}

#[test]
fn ends_are_far_apart_and_an_old_finding_says_nothing() {
    let edges = ready(24);
    let orders = play(&mut Repairer::default(), &edges, 1_000..60_000, |_, edge| edge <= 2);
    let ends: Vec<u64> =
        orders.iter().filter(|(_, order)| order.step == Step::End).map(|(now, _)| *now).collect();
    assert!(ends.len() == 2 && ends[1] - ends[0] >= 30_000, "{ends:?}");
    let mut repairer = Repairer::default();
    repairer.record_finding(1_000, 4, INCARNATION, "b", drifted());
    assert!(repairer.next_orders(6_000, &edges).is_empty(), "what was found five seconds ago");
}

#[test]
fn a_new_life_begins_with_the_first_step() {
    let edges = ready(24);
    let mut repairer = Repairer::default();
    play(&mut repairer, &edges, 1_000..4_000, |_, edge| edge == 4);
    repairer.record_finding(4_000, 4, INCARNATION + 1, "b", drifted());
    let orders = repairer.next_orders(4_000, &edges);
    let begun: BTreeMap<u32, (u64, Step)> =
        orders.iter().map(|it| (it.edge, (it.incarnation, it.step))).collect();
    assert_eq!(begun.get(&4), Some(&(INCARNATION + 1, Step::Again)));
}
