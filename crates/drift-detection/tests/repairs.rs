//! Tests the repair of drifted edges: which steps are taken, when, and for how many edges at once.

use milletwing_drift_detection::{Finding, Part, RepairOrder, Repairer, Step};
use std::collections::BTreeMap;

const INCARNATION: u64 = 1;

fn ready(count: u32) -> Vec<(u32, String)> {
    (1..=count).map(|edge| (edge, ["a", "b", "c"][edge as usize % 3].to_owned())).collect()
}

fn drifted() -> Finding {
    Finding::Mismatch(vec![Part::Hosts])
}

/// Reports a finding of every edge ten times per second, drift for some and none for the others. Returns the repair steps with their
/// times.
fn simulate(
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
fn an_edge_that_stays_drifted_goes_through_all_steps_with_pauses() {
    let edges = ready(24);
    let orders = simulate(&mut Repairer::default(), &edges, 1_000..30_000, |_, edge| edge == 4);
    let steps = steps(&orders, 4);
    assert_eq!(
        steps.iter().map(|it| it.1).collect::<Vec<_>>(),
        [Step::Again, Step::Renew, Step::Rest, Step::End]
    );
    assert!(steps[1].0 - steps[0].0 >= 1_500 && steps[2].0 - steps[1].0 >= 1_500);
    assert!(steps[3].0 - steps[2].0 >= 6_000, "it must be out of service for a while before it is restarted");
    assert_eq!(orders.len(), 4, "no other edge may be repaired");
    assert!(orders
        .iter()
        .all(|(_, order)| order.incarnation == INCARNATION && order.why == "partial: hosts"));
}

#[test]
fn a_recovered_edge_is_left_alone_or_returns_to_service() {
    let edges = ready(24);
    // The edge recovers after the missing entries were sent again.
    let orders =
        simulate(&mut Repairer::default(), &edges, 1_000..9_000, |now, edge| edge == 4 && now < 1_500);
    assert_eq!(steps(&orders, 4).iter().map(|it| it.1).collect::<Vec<_>>(), [Step::Again]);
    // The edge recovers only after it was taken out of service.
    let orders =
        simulate(&mut Repairer::default(), &edges, 1_000..12_000, |now, edge| edge == 4 && now < 5_000);
    let last = steps(&orders, 4);
    assert_eq!(
        last.iter().map(|it| it.1).collect::<Vec<_>>(),
        [Step::Again, Step::Renew, Step::Rest, Step::Back]
    );
}

#[test]
fn at_most_one_edge_in_eight_is_out_of_service_and_never_the_last_of_a_zone() {
    let edges = ready(24);
    let orders = simulate(&mut Repairer::default(), &edges, 1_000..9_000, |_, edge| edge <= 10);
    let resting = orders.iter().filter(|(_, order)| order.step == Step::Rest).count();
    assert_eq!(resting, 24 / 8);
    let single_in_zone =
        vec![(1, "a".to_owned()), (2, "b".to_owned()), (3, "b".to_owned()), (4, "b".to_owned())];
    let orders = simulate(&mut Repairer::default(), &single_in_zone, 1_000..30_000, |_, edge| edge == 1);
    assert_eq!(steps(&orders, 1).iter().map(|it| it.1).collect::<Vec<_>>(), [Step::Again, Step::Renew]);
}

#[test]
fn no_edge_is_repaired_while_most_seem_to_have_drifted() {
    let edges = ready(24);
    let mut repairer = Repairer::default();
    let orders = simulate(&mut repairer, &edges, 1_000..9_000, |_, edge| edge <= 13);
    assert!(orders.is_empty() && repairer.most_drifted, "{orders:?}");
    // Repair starts once only a few edges seem to have drifted.
    let orders = simulate(&mut repairer, &edges, 9_000..12_000, |_, edge| edge <= 2);
    assert!(!repairer.most_drifted && !steps(&orders, 1).is_empty());
}

#[test]
fn restarts_are_far_apart_and_old_findings_are_ignored() {
    let edges = ready(24);
    let orders = simulate(&mut Repairer::default(), &edges, 1_000..60_000, |_, edge| edge <= 2);
    let restarts: Vec<u64> =
        orders.iter().filter(|(_, order)| order.step == Step::End).map(|(now, _)| *now).collect();
    assert!(restarts.len() == 2 && restarts[1] - restarts[0] >= 30_000, "{restarts:?}");
    let mut repairer = Repairer::default();
    repairer.record_finding(1_000, 4, INCARNATION, "b", drifted());
    assert!(repairer.next_orders(6_000, &edges).is_empty(), "a finding of five seconds ago must be ignored");
}

#[test]
fn a_new_incarnation_starts_with_the_first_step() {
    let edges = ready(24);
    let mut repairer = Repairer::default();
    simulate(&mut repairer, &edges, 1_000..4_000, |_, edge| edge == 4);
    repairer.record_finding(4_000, 4, INCARNATION + 1, "b", drifted());
    let orders = repairer.next_orders(4_000, &edges);
    let first_steps: BTreeMap<u32, (u64, Step)> =
        orders.iter().map(|it| (it.edge, (it.incarnation, it.step))).collect();
    assert_eq!(first_steps.get(&4), Some(&(INCARNATION + 1, Step::Again)));
}
