//! Edges that route by something else than what was agreed: a core's checker and repairer and many edges in one process, whose
//! tables are turned wrong by hand. Judged after the fact: who was named when, and what was done to whom.

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

fn node(at: usize, life: u64, phase: Phase) -> Node {
    Node {
        id: format!("i-{at}-{life}"),
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
    life: u64,
    reflected: Time,
    resting: bool,
    /// Its tables are wrong since then, until they are made anew; and whether that alone does not help.
    wrong: Option<(Time, u32)>,
}

/// A core and its edges; entries reach every edge at once, but where a trouble is drawn.
struct World {
    now: Time,
    chance: Pcg64Mcg,
    view: View,
    table: RouteTable,
    checker: Checker,
    repairer: Repairer,
    edges: BTreeMap<u32, Edge>,
    /// Who was named first when, as what; and every step that was taken.
    named: BTreeMap<u32, (Time, Finding)>,
    steps: Vec<(Time, u32, Step)>,
    most_resting: usize,
}

impl World {
    fn new(seed: u64, edges: u32) -> World {
        let mut world = World {
            now: 1,
            chance: Pcg64Mcg::seed_from_u64(seed),
            view: View::default(),
            table: RouteTable::default(),
            checker: Checker::new(LAG),
            repairer: Repairer::default(),
            edges: BTreeMap::new(),
            named: BTreeMap::new(),
            steps: Vec::new(),
            most_resting: 0,
        };
        for id in 1..=edges {
            let zone = ["a", "b", "c"][id as usize % 3].to_owned();
            let place =
                Location { id, zone: zone.clone(), region: "north".into(), zone_regions: BTreeMap::new() };
            let router = Router::new(place, Guarantees::default(), u64::from(id));
            let edge = Edge {
                router,
                view: View::default(),
                zone,
                life: 1,
                reflected: 0,
                resting: false,
                wrong: None,
            };
            world.edges.insert(id, edge);
            world.checker.attach(1, id, 1);
        }
        let command = world.view.configure_command(1, &body(1, 90)).unwrap();
        world.enter(command, &[]);
        for at in 0..24 {
            world.enter(Command::NodeUp(node(at, 0, Phase::Warm)), &[]);
        }
        world
    }

    /// An entry is agreed, and reaches all edges but these.
    fn enter(&mut self, command: Command, lost: &[u32]) {
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

    /// Something happens that is no drift.
    fn live(&mut self) {
        let at = self.chance.random_range(0..24);
        let life = self.now;
        let command = match self.chance.random_range(0..7) {
            0 => Command::NodeUp(node(at, life, Phase::Cold(vec![(1, 3), (2, 1)]))),
            1 => Command::NodeUp(node(at, life, Phase::Warm)),
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
        self.enter(command, &[]);
    }

    /// An edge's tables are turned wrong, in one way of several, without its view knowing.
    fn turn(&mut self, id: u32, way: u32) {
        let (now, core) = (self.now, &self.view);
        let edge = self.edges.get_mut(&id).unwrap();
        let mut other = edge.view.clone();
        let first = core.nodes.values().find(|node| core.eligibility(node).0).unwrap().clone();
        let index = other.index;
        match way % 5 {
            // A marshal is missing.
            0 => drop(other.apply(index, &Command::NodeGone { id: first.id, silent: true })),
            // One that drains still gets requests; or one that is open does not.
            1 => drop(other.apply(index, &Command::NodeDrains { id: first.id })),
            // A share of a route is another.
            2 => {
                let command =
                    other.configure_command(other.revision + 1, &body(other.revision + 1, 7)).unwrap();
                drop(other.apply(index, &command));
            }
            // A marshal has another's address.
            3 => {
                let moved = Node { address: "10.9.9.9:80".parse().unwrap(), ..first };
                drop(other.apply(index, &Command::NodeUp(moved)));
            }
            // A zone that was never emptied is.
            _ => {
                let zone = first.zone;
                drop(
                    other.apply(index, &Command::Evacuate { zone, on: true, sure: false, deals: Vec::new() }),
                );
            }
        }
        edge.router.rebuild(now, &other);
        edge.wrong = Some((now, way));
    }

    /// A tenth of a second: pulses, beats, checks, and what is decided.
    fn tick(&mut self, mend: bool) {
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
            let older = self.checker.record_heartbeat(now, id, edge.view.index, true);
            if let Some(finding) = older {
                self.named.entry(id).or_insert((now, finding.clone()));
                self.repairer.record_finding(now, id, edge.life, &edge.zone, finding);
            }
            if now < edge.reflected + 1_000 || self.checker.last_index() != Some(self.view.index) {
                continue;
            }
            edge.reflected = now;
            let mut digest = Digest::default();
            edge.router.export_state(&mut digest);
            let table_digest = TableDigest { index: edge.view.index, digest };
            let wanted = self.checker.core_digest(edge.view.index).copied().map(|mut wanted| {
                if edge.view.index != self.view.index {
                    return wanted.with_part_of(&digest, Part::Deals);
                }
                expected_state::export_cold_limits(&self.view, id, &mut wanted);
                wanted
            });
            let finding = self.checker.check(now, id, &table_digest, wanted, true);
            if finding.is_drift() {
                self.named.entry(id).or_insert((now, finding.clone()));
            }
            self.repairer.record_finding(now, id, edge.life, &edge.zone, finding);
        }
        let ready: Vec<(u32, String)> =
            self.edges.iter().filter(|(_, it)| !it.resting).map(|(id, it)| (*id, it.zone.clone())).collect();
        for order in self.repairer.next_orders(now, &ready) {
            self.steps.push((now, order.edge, order.step));
            let edge = self.edges.get_mut(&order.edge).unwrap();
            match order.step {
                Step::Again => {}
                Step::Renew if mend => {
                    edge.view = self.view.clone();
                    edge.router.rebuild(now, &edge.view);
                    edge.wrong = None;
                }
                Step::Renew => {}
                Step::Rest => edge.resting = true,
                Step::Back => edge.resting = false,
                Step::End => {
                    let place = Location {
                        id: order.edge,
                        zone: edge.zone.clone(),
                        region: "north".into(),
                        zone_regions: BTreeMap::new(),
                    };
                    edge.router = Router::new(place, Guarantees::default(), now);
                    edge.view = self.view.clone();
                    edge.router.refresh(now, &edge.view);
                    (edge.life, edge.resting, edge.wrong) = (edge.life + 1, false, None);
                    self.checker.attach(now, order.edge, edge.life);
                }
            }
        }
        self.most_resting = self.most_resting.max(self.edges.values().filter(|it| it.resting).count());
    }
}

/// Whatever is agreed, in whatever order: an edge that folds it is never named.
#[test]
fn nobody_is_named_who_follows() {
    for seed in 0..20 {
        let mut world = World::new(seed, 12);
        for step in 0..1_000 {
            // Storms of entries, and quiet.
            if step % 100 < 60 && world.chance.random_range(0..3) == 0 {
                world.live();
            }
            world.tick(true);
        }
        assert!(world.named.is_empty(), "seed {seed}: {:?}", world.named);
        assert!(world.checker.checked > 500, "{}", world.checker.checked);
    }
}

/// 200 drawn drifts of one edge among 40: named within a report's time and a half, as what it is, and brought back without
/// any other being touched.
#[test]
fn a_drifted_edge_is_named_soon_and_brought_back() {
    let mut times = Vec::new();
    for seed in 0..200 {
        let mut world = World::new(seed, 40);
        for step in 0..30 {
            if step % 7 == 0 {
                world.live();
            }
            world.tick(true);
        }
        let id = world.chance.random_range(1..=40);
        world.turn(id, seed as u32);
        let turned = world.now;
        for _ in 0..80 {
            world.tick(true);
        }
        let (at, finding) =
            world.named.get(&id).unwrap_or_else(|| panic!("seed {seed}: nobody named")).clone();
        let part = if seed % 5 == 2 { Part::Routes } else { Part::Hosts };
        assert!(
            matches!(&finding, Finding::Mismatch(parts) if parts.contains(&part)),
            "seed {seed}: {finding:?}"
        );
        times.push(at - turned);
        assert_eq!(world.named.len(), 1, "seed {seed}: {:?}", world.named);
        let steps: Vec<Step> = world.steps.iter().map(|(_, _, step)| *step).collect();
        assert_eq!(steps, [Step::Again, Step::Renew], "seed {seed}");
        assert!(world.steps.iter().all(|(_, whom, _)| *whom == id));
        assert!(world.edges[&id].wrong.is_none());
    }
    times.sort_unstable();
    assert!(times[190] <= 1_500, "95 of 100 within a report's time: {} ms", times[190]);
}

/// An entry that never came shows as of the next one, an edge that goes on with an old state as older, a state that nobody
/// agreed as too new; and a machine that is only late within its bound as nothing.
#[test]
fn each_kind_of_drift_has_its_name() {
    let kind = |trouble: &dyn Fn(&mut World)| {
        let mut world = World::new(1, 9);
        (0..20).for_each(|_| world.tick(true));
        trouble(&mut world);
        (0..40).for_each(|_| world.tick(false));
        world.named.get(&4).map(|(_, finding)| finding.clone())
    };
    let gone = |world: &mut World, lost: &[u32]| {
        let id = world.view.nodes.keys().next().unwrap().clone();
        world.enter(Command::NodeGone { id, silent: false }, lost);
    };
    let lost = kind(&|world| {
        gone(world, &[4]);
        gone(world, &[]);
    });
    assert_eq!(lost, Some(Finding::Mismatch(vec![Part::Hosts])));
    assert_eq!(kind(&|world| gone(world, &[4])), Some(Finding::Stale));
    let ahead = kind(&|world| {
        let edge = world.edges.get_mut(&4).unwrap();
        let command = edge.view.configure_command(99, &body(99, 3)).unwrap();
        let index = edge.view.index + 1;
        edge.view.apply(index, &command);
        edge.router.refresh(world.now, &edge.view);
    });
    assert_eq!(ahead, Some(Finding::Ahead));
    // The same tables made in another order are the same.
    let order = kind(&|world| {
        let edge = world.edges.get_mut(&4).unwrap();
        let empty = View::default();
        edge.router.rebuild(world.now, &empty);
        edge.router.rebuild(world.now, &edge.view);
    });
    assert_eq!(order, None);
    // Beats without a word on what it routes by; and one that is not heard at all is unknown, not drifted.
    let mut checker = Checker::new(LAG);
    checker.record_core_digest(0, 7, Digest::default());
    checker.attach(0, 4, 1);
    checker.attach(0, 5, 1);
    let named: Vec<Vec<(u32, u64)>> = (1..60)
        .map(|step| {
            checker.record_heartbeat(step * 100, 4, 7, true);
            checker.unreporting_edges(step * 100)
        })
        .collect();
    assert!(named[..30].iter().all(Vec::is_empty) && named[58] == [(4, 1)], "{named:?}");
    // Frozen for long, it has its time anew.
    checker.record_heartbeat(20_000, 4, 7, true);
    assert!(checker.unreporting_edges(20_100).is_empty());
}

/// What can't be mended by new tables: it leaves the directory, then ends; one at a time, never the last of its zone, and
/// nobody at all where most have drifted.
#[test]
fn healing_never_takes_more_than_the_rest_can_carry() {
    for seed in 0..12 {
        let mut world = World::new(seed, 12);
        (0..20).for_each(|_| world.tick(false));
        let some: BTreeSet<u32> = (0..4).map(|_| world.chance.random_range(1..=12)).collect();
        some.iter().for_each(|id| world.turn(*id, 0));
        for _ in 0..1_500 {
            world.tick(false);
        }
        assert!(world.most_resting <= 1, "seed {seed}: {}", world.most_resting);
        assert!(world.edges.values().all(|edge| edge.wrong.is_none() && !edge.resting), "seed {seed}");
        assert!(world.steps.iter().all(|(_, id, _)| some.contains(id)), "seed {seed}");
        let ends: Vec<Time> =
            world.steps.iter().filter(|(_, _, step)| *step == Step::End).map(|(at, ..)| *at).collect();
        assert_eq!(ends.len(), some.len(), "seed {seed}");
        assert!(ends.windows(2).all(|pair| pair[1] - pair[0] >= 30_000), "seed {seed}: {ends:?}");
    }
    // The last of a zone stays.
    let mut world = World::new(1, 3);
    (0..20).for_each(|_| world.tick(false));
    world.turn(2, 0);
    (0..200).for_each(|_| world.tick(false));
    assert!(
        world.steps.iter().all(|(_, _, step)| matches!(step, Step::Again | Step::Renew)),
        "{:?}",
        world.steps
    );
    // Most of them: the core's own view is in doubt.
    let mut world = World::new(2, 12);
    (0..20).for_each(|_| world.tick(false));
    (1..=7).for_each(|id| world.turn(id, 0));
    let before = world.steps.len();
    (0..200).for_each(|_| world.tick(false));
    assert!(world.repairer.most_drifted);
    let later: Vec<_> = world.steps[before..].iter().filter(|(_, _, step)| *step != Step::Again).collect();
    assert!(later.is_empty(), "{later:?}");
}

#[test]
fn what_differs_is_named() {
    let mut world = World::new(1, 3);
    world.turn(2, 3);
    let (mut wanted, mut have) = (LeafHashes::default(), LeafHashes::default());
    world.table.export_state(&mut wanted);
    expected_state::export_shared(&world.view, &mut wanted);
    expected_state::export_cold_limits(&world.view, 2, &mut wanted);
    world.edges[&2].router.export_state(&mut have);
    assert_eq!(wanted.differences(&have, 8), ["hosts i-0-0 differs"]);
    world.edges[&1].router.export_state(&mut LeafHashes::default());
    let mut same = LeafHashes::default();
    world.edges[&1].router.export_state(&mut same);
    assert!(wanted.differences(&same, 8).is_empty());
}
