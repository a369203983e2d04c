//! Verdicts for calling proxies, which carry requests themselves: exactly one verdict for each try of a request, however
//! often and over whatever stream it is asked, and never a second node for what may have run. No I/O, no clock: time is
//! handed in. A front on sockets is still to come; `docs/processor-design.md` tells what stands.

pub mod table;

pub use table::{Ask, Earlier, Outcome, Output, Refusal, Table, Verdict};
