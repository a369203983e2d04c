//! What the judge of a day finds, and which plans can be played.

use milletwing_trials::day::{
    judge, Arrival, Bounds, Disturbance, EvacuationRecord, Observations, Plan, RolloutEnd, RolloutRecord,
};
use std::time::Duration;

const ORDERED_AT: Duration = Duration::from_secs(10);
const PERIOD: Duration = Duration::from_secs(16);

fn rollout(bad: bool, end: RolloutEnd, ended_after_s: u64) -> RolloutRecord {
    RolloutRecord {
        service: "s".into(),
        version: "v2".into(),
        bad,
        ordered_at: ORDERED_AT,
        period: PERIOD,
        end,
        ended_at: Some(ORDERED_AT + Duration::from_secs(ended_after_s)),
    }
}

/// Requests of a version, one each 10 ms from so many milliseconds after the order on.
fn arrivals(version: &str, from_ms: u64, count: u64, bad: bool) -> impl Iterator<Item = Arrival> + '_ {
    (0..count).map(move |number| {
        let at = ORDERED_AT + Duration::from_millis(from_ms + 10 * number);
        Arrival {
            id: number.to_string(),
            sent_at: at,
            arrived_at: at,
            edge: 20,
            service: "s".into(),
            version: version.into(),
            zone: "a".into(),
            bad,
            answered_at: at,
        }
    })
}

fn rules(observations: &Observations) -> Vec<&'static str> {
    judge(observations, &Bounds::default()).into_iter().map(|violation| violation.rule).collect()
}

/// 1,000 requests to the earlier version, and so many to a bad one that is sent back.
fn exposed(count: u64) -> Observations {
    let arrivals = arrivals("v1", 0, 1_000, false).chain(arrivals("v2", 0, count, false));
    let rollouts = vec![rollout(true, RolloutEnd::Reverted, 12)];
    Observations { arrivals: arrivals.collect(), rollouts, ..Observations::default() }
}

#[test]
fn a_bad_version_may_get_a_tenth_and_fifty_by_its_term() {
    assert!(rules(&exposed(166)).is_empty());
    assert_eq!(rules(&exposed(167)), ["EXPOSURE"]);
    let good = Observations { rollouts: vec![rollout(false, RolloutEnd::Completed, 12)], ..exposed(500) };
    assert!(rules(&good).is_empty());
}

#[test]
fn requests_of_edges_out_of_touch_do_not_count_as_exposed() {
    let disturbed = |host, core| {
        let disturbances = vec![Disturbance { host, core, at: ORDERED_AT - Duration::from_secs(2) }];
        rules(&Observations { disturbances, ..exposed(200) })
    };
    assert!(disturbed(20, false).is_empty() && disturbed(1, true).is_empty());
    assert_eq!(disturbed(21, false), ["EXPOSURE"], "another edge was disturbed");
}

#[test]
fn a_version_gets_nothing_later_than_five_seconds_after_its_fiftieth_bad_answer() {
    let after_term = 20_000;
    let with_late = |late_ms: u64| {
        let bad = arrivals("v2", after_term, 50, true);
        let late = arrivals("v2", after_term + 490 + late_ms, 1, false);
        let rollouts = vec![rollout(true, RolloutEnd::Reverted, 12)];
        rules(&Observations { arrivals: bad.chain(late).collect(), rollouts, ..Observations::default() })
    };
    assert!(with_late(5_000).is_empty());
    assert_eq!(with_late(5_001), ["EXPOSURE"]);
}

#[test]
fn verdicts_are_due_by_the_term() {
    let duty = |rollout| rules(&Observations { rollouts: vec![rollout], ..Observations::default() });
    assert!(duty(rollout(false, RolloutEnd::Completed, 16)).is_empty());
    assert_eq!(duty(rollout(false, RolloutEnd::Completed, 17)), ["Duty"]);
    assert_eq!(duty(rollout(false, RolloutEnd::Reverted, 9)), ["Duty"]);
    assert_eq!(duty(rollout(true, RolloutEnd::Completed, 9)), ["Duty"]);
}

#[test]
fn an_evacuated_zone_gets_nothing_after_its_bound() {
    let with_end = |withdrawn_at| {
        let evacuation = EvacuationRecord { zone: "a".into(), acknowledged_at: ORDERED_AT, withdrawn_at };
        let arrivals = arrivals("v1", 5_500, 1, false).collect();
        rules(&Observations { arrivals, evacuations: vec![evacuation], ..Observations::default() })
    };
    assert_eq!(with_end(None), ["EVAC"]);
    assert!(with_end(Some(ORDERED_AT + Duration::from_secs(5))).is_empty());
}

#[test]
fn plans_are_checked_and_drawn_alike_for_a_seed() {
    for text in
        [include_str!("../days/route-away.toml"), include_str!("../days/route-away-beside-healthy.toml")]
    {
        Plan::from_toml(text).unwrap();
        let unknown = text.replace("class = \"download\"", "class = \"nobody\"");
        assert!(Plan::from_toml(&unknown).unwrap_err().contains("nobody"));
    }
    for seed in 0..200 {
        let drawn = Plan::draw(seed);
        assert_eq!(format!("{drawn:?}"), format!("{:?}", Plan::draw(seed)));
        assert!(drawn.plan.is_sorted_by(|a, b| a.at <= b.at));
    }
}
