//! Small models.

use milletwing_releases::calendar::{Freeze, FreezeMode, FreezePeriod, FreezeScope};
use milletwing_releases::model::{Budgets, Dependency, DependencyScope, Edition, EditionSpec, Model};
use milletwing_releases::Time;

pub fn edition(service: usize, build: u32) -> Edition {
    Edition { service, build }
}

pub fn need(service: usize, from: u32, to: u32, scope: DependencyScope) -> Dependency {
    Dependency { service, min_build: from, max_build: to, scope }
}

/// So many services, each with build 1 out and build 2 to go, two customers in two tranches of ten minutes.
pub fn model(services: usize, buildings: usize) -> Model {
    let mut model = Model {
        services: (0..services).map(|at| format!("s{at}")).collect(),
        buildings: (0..buildings).map(|at| format!("b{at}")).collect(),
        customers: vec!["c0".into(), "c1".into()],
        tranches: vec![vec![0], vec![1]],
        customer_buildings: vec![Vec::new(), Vec::new()],
        min_tranche_s: 600,
        one_by_one: false,
        editions: Default::default(),
        budgets: Budgets { overall: 100, building: 100 },
        freezes: Vec::new(),
        exemptions: Vec::new(),
    };
    for service in 0..services {
        model.editions.insert(edition(service, 1), EditionSpec { released: true, ..EditionSpec::default() });
        model.editions.insert(edition(service, 2), EditionSpec::default());
    }
    model
}

pub fn add_dependency(model: &mut Model, who: Edition, what: Dependency) {
    model.editions.get_mut(&who).unwrap().dependencies.push(what);
}

/// A freeze for all, between two moments of Unix time, in UTC.
pub fn freeze(name: &str, from: Time, to: Time, mode: FreezeMode) -> Freeze {
    let at = |time| jiff::Timestamp::from_second(time).unwrap().to_zoned(jiff::tz::TimeZone::UTC).datetime();
    let period = FreezePeriod::Once(at(from), at(to));
    Freeze { name: name.into(), scope: FreezeScope::default(), period, mode, zone: jiff::tz::TimeZone::UTC }
}
