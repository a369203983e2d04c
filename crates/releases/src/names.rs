//! What services, buildings, customers and editions are known by.

/// A service, a building and a customer, by position in the model's lists.
pub type ServiceId = usize;
/// A building.
pub type BuildingId = usize;
/// A customer.
pub type CustomerId = usize;

/// An edition: its service and build.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct Edition {
    /// The service.
    pub service: ServiceId,
    /// The build; a later one is higher.
    pub build: u32,
}
