//! Identifiers of services, buildings, customers and editions.

/// Index of a service in the model's list.
pub type ServiceId = usize;
/// Index of a building in the model's list.
pub type BuildingId = usize;
/// Index of a customer in the model's list.
pub type CustomerId = usize;

/// A build of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct Edition {
    /// The service.
    pub service: ServiceId,
    /// Build number; later builds have higher numbers.
    pub build: u32,
}
