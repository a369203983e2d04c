//! What edges meet at hosts, told by their beats and added up at the core. `felt` is what one edge met, `board` the newest
//! load of each host as any edge was told it, `tally` which hosts are taken out by agreement. No I/O: time is handed in.

pub mod board;
pub mod felt;
pub mod tally;

pub use board::Board;
pub use felt::{key, Felt};
pub use tally::{Known, Move, Tally};

/// Milliseconds of a steady clock that is the user's.
pub type Time = u64;
