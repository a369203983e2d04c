//! What one edge met at one host since its last beat.

use serde::{Deserialize, Serialize};

/// Counts of answers and of ends without one, and the host's last word on its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostObservation {
    /// The host's life, as a number that all make the same way.
    pub host: u32,
    /// Requests there, running and waiting, where it told.
    pub load: Option<u16>,
    /// Whole answers, and refusals of its own: it is there and does its work.
    pub answered: u16,
    /// Failures of its own and bytes that are no answer.
    pub failed: u16,
    /// No connection, or silence.
    pub unreachable: u16,
}

/// A life's id as a number (FNV-1a, 32 bits). Two lives that share one are taken for each other: among a thousand that
/// happens once in some ten thousand fleets, and costs a wrong guess of a load, never a wrong address.
pub fn host_key(id: &str) -> u32 {
    id.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}
