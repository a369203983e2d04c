//! What edges meet at hosts, told by their beats and added up at the core. `felt` is what one edge met, `board` the newest
//! load of each host as any edge was told it. No I/O: time is handed in.

pub mod board;
pub mod felt;

pub use board::Board;
pub use felt::{key, Felt};

/// Milliseconds of a steady clock that is the user's.
pub type Time = u64;
