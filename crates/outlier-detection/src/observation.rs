//! Observations of one host by one edge since its last heartbeat.

use serde::{Deserialize, Serialize};

/// Counts of the outcomes of attempts at a host, and the last load that it reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostObservation {
    /// Numeric key of the host instance, see [`host_key`].
    pub host: u32,
    /// Requests running and waiting there, if reported.
    pub load: Option<u16>,
    /// Complete responses, and rejections by the host itself: it is reachable and works.
    pub answered: u16,
    /// Server errors and invalid responses.
    pub failed: u16,
    /// Connection failures and time-outs.
    pub unreachable: u16,
}

/// Numeric key of a host instance (32-bit FNV-1a of its id). Two instances with the same key are
/// confused: among a thousand instances that happens in about one of ten thousand fleets. It leads
/// to a wrong estimate of a load, never to a wrong address.
pub fn host_key(id: &str) -> u32 {
    id.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}
