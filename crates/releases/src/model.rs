//! What operators describe: services and their editions, buildings, customers by tranche, needs, budgets, freezes.

use crate::calendar::{Exemption, Freeze};
pub use crate::names::{BuildingId, CustomerId, Edition, ServiceId};
use std::collections::BTreeMap;

/// Where what an edition needs must be out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum DependencyScope {
    /// In the same building.
    #[default]
    Building,
    /// In all buildings.
    Everywhere,
}

/// An edition needs another service's, of a range of builds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dependency {
    /// The other service.
    pub service: ServiceId,
    /// Its least build.
    pub min_build: u32,
    /// Its highest build.
    pub max_build: u32,
    /// Where.
    pub scope: DependencyScope,
}

impl Dependency {
    /// Whether an edition would do.
    pub fn is_satisfied_by(&self, edition: Edition) -> bool {
        edition.service == self.service && (self.min_build..=self.max_build).contains(&edition.build)
    }
}

/// An edition that is to be released, or was.
#[derive(Clone, Debug, Default)]
pub struct EditionSpec {
    /// What it needs.
    pub dependencies: Vec<Dependency>,
    /// It was out before the plan began, everywhere.
    pub released: bool,
}

/// How many editions may be in motion at a time.
#[derive(Clone, Copy, Debug)]
pub struct Budgets {
    /// Over all buildings, each edition counted in each building that it moves in.
    pub overall: usize,
    /// In one building.
    pub building: usize,
}

/// The model.
#[derive(Clone, Debug)]
pub struct Model {
    /// Names of services.
    pub services: Vec<String>,
    /// Names of buildings, in the order in which releases enter them.
    pub buildings: Vec<String>,
    /// Names of customers.
    pub customers: Vec<String>,
    /// The customers of each tranche; each customer in one.
    pub tranches: Vec<Vec<CustomerId>>,
    /// Where a customer is served; more than one building, or all where it is empty.
    pub customer_buildings: Vec<Vec<BuildingId>>,
    /// Seconds that a tranche takes at least.
    pub min_tranche_s: i64,
    /// A building is entered only once the one before is done with an edition.
    pub one_by_one: bool,
    /// The editions.
    pub editions: BTreeMap<Edition, EditionSpec>,
    /// Budgets.
    pub budgets: Budgets,
    /// Freezes.
    pub freezes: Vec<Freeze>,
    /// Exemptions.
    pub exemptions: Vec<Exemption>,
}

impl Model {
    /// An edition's name.
    pub fn edition_name(&self, edition: Edition) -> String {
        format!("{} {}", self.services.get(edition.service).map_or("?", String::as_str), edition.build)
    }

    /// Whether a customer is served in a building.
    pub fn is_served_in(&self, customer: CustomerId, building: BuildingId) -> bool {
        self.customer_buildings[customer].is_empty() || self.customer_buildings[customer].contains(&building)
    }

    /// Editions of the model that a need could be met by.
    pub fn editions_satisfying(&self, need: Dependency) -> impl Iterator<Item = Edition> + '_ {
        let from = Edition { service: need.service, build: need.min_build };
        let to = Edition { service: need.service, build: need.max_build };
        self.editions.range(from..=to).map(|(edition, _)| *edition)
    }
}
