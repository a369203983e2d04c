//! What the core has agreed. `command` is what an entry of the log says, `view` the state folded from all of them, on core
//! and edge by the same code, `pack` how bytes shrink, and `registry` how beats of marshals become entries. No I/O: time is handed in.

pub mod command;
pub mod pack;
pub mod registry;
pub mod view;

pub use command::{Command, Deal, Node, Phase};
pub use registry::{Beat, EdgeHeartbeat, EdgeStatus, Registry};
pub use view::{Outcome, Repair, RollOut, RollOutState, View, ZoneEvacuation};
