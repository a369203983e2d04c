//! What edges meet at hosts, told by their beats and added up at the core. `observed` is what one edge met, `board` the newest
//! load of each host as any edge was told it, `tally` which hosts are taken out by agreement. No I/O: time is handed in.

pub mod board;
pub mod observed;
pub mod tally;

pub use board::LoadBoard;
pub use observed::{host_key, HostObservation};
pub use tally::{HostAction, KnownHost, OutlierDetector};

/// Milliseconds of a steady clock that is the user's.
pub type Time = u64;
