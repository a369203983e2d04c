//! An embeddable marshal on real sockets: it accepts requests, lets the decision module route them, and executes the
//! actions that the module returns. All routing, ranking, timing and health decisions are made by the module.
//!
//! A request passes `intake` (accept, read), `admit` (validation and conversion to an event), `route` (the single
//! decision thread), `send` (one attempt at a node), `relay` (the response to the client) and `accounting` (which
//! requests still need a response, and the counters). The messages between these stages, and the traits that another
//! host can implement, are in `ports`; imports form no cycles. `discovery` and `platform` communicate with the external
//! services, each at an `endpoint` that `reload` may move; `wire` holds the names and formats used by the site.

pub mod accounting;
pub mod admit;
pub mod buffers;
pub mod client;
pub mod clock;
pub mod config;
pub mod discovery;
pub mod endpoint;
pub mod http;
pub mod intake;
pub mod limits;
pub mod platform;
pub mod ports;
pub mod relay;
pub mod reload;
pub mod route;
pub mod send;
pub mod server;
pub mod wire;
pub mod worker_pool;

pub use config::Config;
pub use limits::Limits;
pub use server::{ProcessSignals, Server};
