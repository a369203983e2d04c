//! The operator's model: services and their editions, buildings, customers by tranche, dependencies, budgets, freezes.

use crate::calendar::{Exemption, Freeze};
pub use crate::names::{BuildingId, CustomerId, Edition, ServiceId};
use std::collections::BTreeMap;

/// Where a dependency must have been released.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum DependencyScope {
    /// In the same building as the dependent edition.
    #[default]
    Building,
    /// In all buildings.
    Everywhere,
}

/// A dependency of an edition on any build of another service within a range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dependency {
    /// The service depended on.
    pub service: ServiceId,
    /// Lowest build that satisfies the dependency.
    pub min_build: u32,
    /// Highest build that satisfies the dependency.
    pub max_build: u32,
    /// Where it must have been released.
    pub scope: DependencyScope,
}

impl Dependency {
    /// Whether an edition satisfies this dependency.
    pub fn is_satisfied_by(&self, edition: Edition) -> bool {
        edition.service == self.service && (self.min_build..=self.max_build).contains(&edition.build)
    }
}

/// An edition that is to be released, or has been.
#[derive(Clone, Debug, Default)]
pub struct EditionSpec {
    /// What it depends on.
    pub dependencies: Vec<Dependency>,
    /// It was released in all buildings before the plan began.
    pub released: bool,
}

/// How many editions may be in rollout at the same time.
#[derive(Clone, Copy, Debug)]
pub struct Budgets {
    /// Over all buildings; an edition counts once for each building in which it is in rollout.
    pub overall: usize,
    /// In one building.
    pub building: usize,
}

/// Everything that may be released, where, in which order and when not.
#[derive(Clone, Debug)]
pub struct Model {
    /// Names of services.
    pub services: Vec<String>,
    /// Names of buildings, in the order in which editions are released to them.
    pub buildings: Vec<String>,
    /// Names of customers.
    pub customers: Vec<String>,
    /// The customers of each tranche; each customer is in exactly one.
    pub tranches: Vec<Vec<CustomerId>>,
    /// The buildings that serve each customer; an empty list means all buildings.
    pub customer_buildings: Vec<Vec<BuildingId>>,
    /// Minimum duration of a tranche, in seconds.
    pub min_tranche_s: i64,
    /// An edition enters a building only once it has been released in the building before.
    pub one_by_one: bool,
    /// Editions by service and build.
    pub editions: BTreeMap<Edition, EditionSpec>,
    /// Limits on concurrent rollouts.
    pub budgets: Budgets,
    /// Times in which releases are restricted.
    pub freezes: Vec<Freeze>,
    /// Exemptions of single editions from freezes.
    pub exemptions: Vec<Exemption>,
}

impl Model {
    /// Display name of an edition: service and build.
    pub fn edition_name(&self, edition: Edition) -> String {
        format!("{} {}", self.services.get(edition.service).map_or("?", String::as_str), edition.build)
    }

    /// Whether a customer is served in a building.
    pub fn is_served_in(&self, customer: CustomerId, building: BuildingId) -> bool {
        self.customer_buildings[customer].is_empty() || self.customer_buildings[customer].contains(&building)
    }

    /// Editions of the model that satisfy a dependency, lowest build first.
    pub fn editions_satisfying(&self, dependency: Dependency) -> impl Iterator<Item = Edition> + '_ {
        let from = Edition { service: dependency.service, build: dependency.min_build };
        let to = Edition { service: dependency.service, build: dependency.max_build };
        self.editions.range(from..=to).map(|(edition, _)| *edition)
    }
}
