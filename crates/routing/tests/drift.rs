//! Edges whose routing state differs from the agreed state: a control plane's checker and repairer
//! with many edges in one process, whose tables are changed by hand. Checked afterwards: which
//! edges were reported, when, and which repairs were made.

use milletwing_config::settings::Guarantees;
use milletwing_drift_detection::{Checker, Digest, Finding, LeafHashes, Part, Repairer, Step, TableDigest};
use milletwing_replicated_state::{Command, Node, Phase, View};
use milletwing_routing::table::RouteTable;
use milletwing_routing::{expected_state, Location, Router, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

const LAG: Time = 1_000;

fn body(revision: u64, share: u32) -> Vec<u8> {
    let route = |at: u32| {
        format!(
            r#""r{at}":{{"domain":"h{at}.example","pathPrefix":"/p/","trafficClass":"idempotent","guardS":5,"targetS":0.3,
            "distribution":[{{"target":"s","share":{share}}},{{"target":"t","share":10}}],"maxTries":2}}"#
        )
    };
    let routes: Vec<String> = (0..8).map(route).collect();
    format!(
        r#"{{"revision":{revision},"routing":{{{}}},"targets":{{"s":{{"maxSessions":110,"warmupS":3,"warmupPerS":20}},"t":{{}}}},"thresholds":{{}}}}"#,
        routes.join(",")
    )
    .into_bytes()
}

fn node(at: usize, incarnation: u64, phase: Phase) -> Node {
    Node {
        id: format!("i-{at}-{incarnation}"),
        target: if at.is_multiple_of(3) { "t" } else { "s" }.into(),
        address: format!("10.0.0.{}:80", at + 1).parse().unwrap(),
        zone: ["a", "b", "c"][at % 3].into(),
        revision: "v1".into(),
        capacity: 2,
        phase,
    }
}

struct Edge {
    router: Router,
    view: View,
    zone: String,
    incarnation: u64,
    exported_at: Time,
    resting: bool,
    /// When its tables were corrupted, and in which way.
    corrupted: Option<(Time, u32)>,
}

/// A control plane and its edges. Log entries reach every edge at once, unless the test drops them.
struct World {
    now: Time,
    rng: Pcg64Mcg,
    view: View,
    table: RouteTable,
    checker: Checker,
    repairer: Repairer,
    edges: BTreeMap<u32, Edge>,
    /// The first finding on each edge, with its time; and all repair steps.
    findings: BTreeMap<u32, (Time, Finding)>,
    steps: Vec<(Time, u32, Step)>,
    max_resting: usize,
}

impl World {
    fn new(seed: u64, edges: u32) -> World {
        let mut world = World {
            now: 1,
            rng: Pcg64Mcg::seed_from_u64(seed),
            view: View::default(),
            table: RouteTable::default(),
            checker: Checker::new(LAG),
            repairer: Repairer::default(),
            edges: BTreeMap::new(),
            findings: BTreeMap::new(),
            steps: Vec::new(),
            max_resting: 0,
        };
        for id in 1..=edges {
            let zone = ["a", "b", "c"][id as usize % 3].to_owned();
            let location =
                Location { id, zone: zone.clone(), region: "north".into(), zone_regions: BTreeMap::new() };
            let router = Router::new(location, Guarantees::default(), u64::from(id));
            let edge = Edge {
                router,
                view: View::default(),
                zone,
                incarnation: 1,
                exported_at: 0,
                resting: false,
                corrupted: None,
            };
            world.edges.insert(id, edge);
            world.checker.attach(1, id, 1);
        }
        let command = world.view.configure_command(1, &body(1, 90)).unwrap();
        world.apply(command, &[]);
        for at in 0..24 {
            world.apply(Command::NodeUp(node(at, 0, Phase::Warm)), &[]);
        }
        world
    }

    /// Applies an entry and delivers it to all edges but those in `lost`.
    fn apply(&mut self, command: Command, lost: &[u32]) {
        let index = self.view.index + 1;
        self.view.apply(index, &command);
        if let Some(configuration) = self.view.configuration() {
            self.table = RouteTable::new(configuration, Default::default());
        }
        for (id, edge) in &mut self.edges {
            if !lost.contains(id) {
                edge.view.apply(index, &command);
                edge.router.refresh(self.now, &edge.view);
            }
        }
    }

    /// Applies a random change that causes no drift.
    fn apply_random_change(&mut self) {
        let at = self.rng.random_range(0..24);
        let incarnation = self.now;
        let command = match self.rng.random_range(0..7) {
            0 => Command::NodeUp(node(at, incarnation, Phase::Cold(vec![(1, 3), (2, 1)]))),
            1 => Command::NodeUp(node(at, incarnation, Phase::Warm)),
            2 => Command::Evacuate { zone: "b".into(), on: true, sure: false, deals: Vec::new() },
            3 => Command::Evacuate { zone: "b".into(), on: false, sure: false, deals: Vec::new() },
            4 => {
                let revision = self.view.revision + 1;
                self.view.configure_command(revision, &body(revision, 50 + at as u32)).unwrap()
            }
            5 => Command::RollOut { service: "s".into(), revision: "v2".into(), period_ms: 12_000 },
            _ => {
                let ids: Vec<String> = self.view.nodes.keys().cloned().collect();
                Command::NodeDrains { id: ids[at % ids.len()].clone() }
            }
        };
        self.apply(command, &[]);
    }

    /// Corrupts an edge's tables in one of several ways, while its view stays as it was.
    fn corrupt(&mut self, id: u32, kind: u32) {
        let (now, agreed) = (self.now, &self.view);
        let edge = self.edges.get_mut(&id).unwrap();
        let mut other = edge.view.clone();
        let first = agreed.nodes.values().find(|node| agreed.eligibility(node).0).unwrap().clone();
        let index = other.index;
        match kind % 5 {
            // A marshal is missing.
            0 => drop(other.apply(index, &Command::NodeGone { id: first.id, silent: true })),
            // A marshal is wrongly taken to be draining.
            1 => drop(other.apply(index, &Command::NodeDrains { id: first.id })),
            // A route has different traffic shares.
            2 => {
                let command =
                    other.configure_command(other.revision + 1, &body(other.revision + 1, 7)).unwrap();
                drop(other.apply(index, &command));
            }
            // A marshal has another one's address.
            3 => {
                let moved = Node { address: "10.9.9.9:80".parse().unwrap(), ..first };
                drop(other.apply(index, &Command::NodeUp(moved)));
            }
            // A zone is wrongly taken to be evacuated.
            _ => {
                let zone = first.zone;
                drop(
                    other.apply(index, &Command::Evacuate { zone, on: true, sure: false, deals: Vec::new() }),
                );
            }
        }
        edge.router.rebuild(now, &other);
        edge.corrupted = Some((now, kind));
    }

    /// Advances by 100 ms: heartbeats, reports, checks and repair decisions. `repairable`: a rebuild
    /// repairs corrupted tables.
    fn tick(&mut self, repairable: bool) {
        self.now += 100;
        let now = self.now;
        if now % 200 < 100 && self.checker.last_index() != Some(self.view.index) {
            let mut digest = Digest::default();
            self.table.export_state(&mut digest);
            expected_state::export_shared(&self.view, &mut digest);
            self.checker.record_core_digest(now, self.view.index, digest);
        }
        let ids: Vec<u32> = self.edges.keys().copied().collect();
        for id in ids {
            let edge = self.edges.get_mut(&id).unwrap();
            let finding = self.checker.record_heartbeat(now, id, edge.view.index, true);
            if let Some(finding) = finding {
                self.findings.entry(id).or_insert((now, finding.clone()));
                self.repairer.record_finding(now, id, edge.incarnation, &edge.zone, finding);
            }
            if now < edge.exported_at + 1_000 || self.checker.last_index() != Some(self.view.index) {
                continue;
            }
            edge.exported_at = now;
            let mut digest = Digest::default();
            edge.router.export_state(&mut digest);
            let table_digest = TableDigest { index: edge.view.index, digest };
            let expected = self.checker.core_digest(edge.view.index).copied().map(|mut expected| {
                if edge.view.index != self.view.index {
                    return expected.with_part_of(&digest, Part::Deals);
                }
                expected_state::export_cold_limits(&self.view, id, &mut expected);
                expected
            });
            let finding = self.checker.check(now, id, &table_digest, expected, true);
            if finding.is_drift() {
                self.findings.entry(id).or_insert((now, finding.clone()));
            }
            self.repairer.record_finding(now, id, edge.incarnation, &edge.zone, finding);
        }
        let ready: Vec<(u32, String)> =
            self.edges.iter().filter(|(_, it)| !it.resting).map(|(id, it)| (*id, it.zone.clone())).collect();
        for order in self.repairer.next_orders(now, &ready) {
            self.steps.push((now, order.edge, order.step));
            let edge = self.edges.get_mut(&order.edge).unwrap();
            match order.step {
                Step::Again => {}
                Step::Renew if repairable => {
                    edge.view = self.view.clone();
                    edge.router.rebuild(now, &edge.view);
                    edge.corrupted = None;
                }
                Step::Renew => {}
                Step::Rest => edge.resting = true,
                Step::Back => edge.resting = false,
                Step::End => {
                    let location = Location {
                        id: order.edge,
                        zone: edge.zone.clone(),
                        region: "north".into(),
                        zone_regions: BTreeMap::new(),
                    };
                    edge.router = Router::new(location, Guarantees::default(), now);
                    edge.view = self.view.clone();
                    edge.router.refresh(now, &edge.view);
                    (edge.incarnation, edge.resting, edge.corrupted) = (edge.incarnation + 1, false, None);
                    self.checker.attach(now, order.edge, edge.incarnation);
                }
            }
        }
        self.max_resting = self.max_resting.max(self.edges.values().filter(|it| it.resting).count());
    }
}

/// No false positives: whatever entries are applied in whatever order, an edge that applies them
/// all is never reported.
#[test]
fn edges_that_apply_all_entries_are_never_reported() {
    for seed in 0..20 {
        let mut world = World::new(seed, 12);
        for step in 0..1_000 {
            // Bursts of entries, then none.
            if step % 100 < 60 && world.rng.random_range(0..3) == 0 {
                world.apply_random_change();
            }
            world.tick(true);
        }
        assert!(world.findings.is_empty(), "seed {seed}: {:?}", world.findings);
        assert!(world.checker.checked > 500, "{}", world.checker.checked);
    }
}

/// In 200 random drifts of one edge among 40, the edge is reported within one and a half report
/// intervals with the right finding, and repaired without any other edge being touched.
#[test]
fn drifted_edge_is_reported_soon_and_repaired() {
    let mut times = Vec::new();
    for seed in 0..200 {
        let mut world = World::new(seed, 40);
        for step in 0..30 {
            if step % 7 == 0 {
                world.apply_random_change();
            }
            world.tick(true);
        }
        let id = world.rng.random_range(1..=40);
        world.corrupt(id, seed as u32);
        let corrupted_at = world.now;
        for _ in 0..80 {
            world.tick(true);
        }
        let (at, finding) =
            world.findings.get(&id).unwrap_or_else(|| panic!("seed {seed}: no finding")).clone();
        let part = if seed % 5 == 2 { Part::Routes } else { Part::Hosts };
        assert!(
            matches!(&finding, Finding::Mismatch(parts) if parts.contains(&part)),
            "seed {seed}: {finding:?}"
        );
        times.push(at - corrupted_at);
        assert_eq!(world.findings.len(), 1, "seed {seed}: {:?}", world.findings);
        let steps: Vec<Step> = world.steps.iter().map(|(_, _, step)| *step).collect();
        assert_eq!(steps, [Step::Again, Step::Renew], "seed {seed}");
        assert!(world.steps.iter().all(|(_, edge, _)| *edge == id));
        assert!(world.edges[&id].corrupted.is_none());
    }
    times.sort_unstable();
    assert!(times[190] <= 1_500, "95th percentile of the time until the report: {} ms", times[190]);
}

/// A lost entry shows once the next one is applied, an edge that keeps an old state is reported as
/// older, and a state that was never agreed as ahead. An edge that is late within the allowed lag
/// is not reported.
#[test]
fn each_kind_of_drift_is_told_apart() {
    let kind = |cause_drift: &dyn Fn(&mut World)| {
        let mut world = World::new(1, 9);
        (0..20).for_each(|_| world.tick(true));
        cause_drift(&mut world);
        (0..40).for_each(|_| world.tick(false));
        world.findings.get(&4).map(|(_, finding)| finding.clone())
    };
    let remove_node = |world: &mut World, lost: &[u32]| {
        let id = world.view.nodes.keys().next().unwrap().clone();
        world.apply(Command::NodeGone { id, silent: false }, lost);
    };
    let lost = kind(&|world| {
        remove_node(world, &[4]);
        remove_node(world, &[]);
    });
    assert_eq!(lost, Some(Finding::Mismatch(vec![Part::Hosts])));
    assert_eq!(kind(&|world| remove_node(world, &[4])), Some(Finding::Stale));
    let ahead = kind(&|world| {
        let edge = world.edges.get_mut(&4).unwrap();
        let command = edge.view.configure_command(99, &body(99, 3)).unwrap();
        let index = edge.view.index + 1;
        edge.view.apply(index, &command);
        edge.router.refresh(world.now, &edge.view);
    });
    assert_eq!(ahead, Some(Finding::Ahead));
    // The same tables built in a different order count as equal.
    let order = kind(&|world| {
        let edge = world.edges.get_mut(&4).unwrap();
        let empty = View::default();
        edge.router.rebuild(world.now, &empty);
        edge.router.rebuild(world.now, &edge.view);
    });
    assert_eq!(order, None);
    // Heartbeats without a state digest are reported as silent. An edge that is not heard at all is
    // unknown, not drifted.
    let mut checker = Checker::new(LAG);
    checker.record_core_digest(0, 7, Digest::default());
    checker.attach(0, 4, 1);
    checker.attach(0, 5, 1);
    let unreporting: Vec<Vec<(u32, u64)>> = (1..60)
        .map(|step| {
            checker.record_heartbeat(step * 100, 4, 7, true);
            checker.unreporting_edges(step * 100)
        })
        .collect();
    assert!(unreporting[..30].iter().all(Vec::is_empty) && unreporting[58] == [(4, 1)], "{unreporting:?}");
    // After a long pause the edge gets the full time again.
    checker.record_heartbeat(20_000, 4, 7, true);
    assert!(checker.unreporting_edges(20_100).is_empty());
}

/// Guards against a repair that takes out too many edges. An edge that a rebuild cannot repair
/// leaves the directory and then restarts: one at a time, never the last of its zone, and none at
/// all when most edges have drifted.
#[test]
fn repairs_take_out_only_few_edges_at_a_time() {
    for seed in 0..12 {
        let mut world = World::new(seed, 12);
        (0..20).for_each(|_| world.tick(false));
        let corrupted_edges: BTreeSet<u32> = (0..4).map(|_| world.rng.random_range(1..=12)).collect();
        corrupted_edges.iter().for_each(|id| world.corrupt(*id, 0));
        for _ in 0..1_500 {
            world.tick(false);
        }
        assert!(world.max_resting <= 1, "seed {seed}: {}", world.max_resting);
        assert!(world.edges.values().all(|edge| edge.corrupted.is_none() && !edge.resting), "seed {seed}");
        assert!(world.steps.iter().all(|(_, id, _)| corrupted_edges.contains(id)), "seed {seed}");
        let ends: Vec<Time> =
            world.steps.iter().filter(|(_, _, step)| *step == Step::End).map(|(at, ..)| *at).collect();
        assert_eq!(ends.len(), corrupted_edges.len(), "seed {seed}");
        assert!(ends.windows(2).all(|pair| pair[1] - pair[0] >= 30_000), "seed {seed}: {ends:?}");
    }
    // The last edge of a zone stays.
    let mut world = World::new(1, 3);
    (0..20).for_each(|_| world.tick(false));
    world.corrupt(2, 0);
    (0..200).for_each(|_| world.tick(false));
    assert!(
        world.steps.iter().all(|(_, _, step)| matches!(step, Step::Again | Step::Renew)),
        "{:?}",
        world.steps
    );
    // When most edges differ, the control plane's own view is in doubt.
    let mut world = World::new(2, 12);
    (0..20).for_each(|_| world.tick(false));
    (1..=7).for_each(|id| world.corrupt(id, 0));
    let before = world.steps.len();
    (0..200).for_each(|_| world.tick(false));
    assert!(world.repairer.most_drifted);
    let later: Vec<_> = world.steps[before..].iter().filter(|(_, _, step)| *step != Step::Again).collect();
    assert!(later.is_empty(), "{later:?}");
}

#[test]
fn differing_entries_are_listed() {
    let mut world = World::new(1, 3);
    world.corrupt(2, 3);
    let (mut expected, mut actual) = (LeafHashes::default(), LeafHashes::default());
    world.table.export_state(&mut expected);
    expected_state::export_shared(&world.view, &mut expected);
    expected_state::export_cold_limits(&world.view, 2, &mut expected);
    world.edges[&2].router.export_state(&mut actual);
    assert_eq!(expected.differences(&actual, 8), ["hosts i-0-0 differs"]);
    world.edges[&1].router.export_state(&mut LeafHashes::default());
    let mut same = LeafHashes::default();
    world.edges[&1].router.export_state(&mut same);
    assert!(expected.differences(&same, 8).is_empty());
}
