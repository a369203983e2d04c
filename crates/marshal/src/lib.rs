//! A marshal on real sockets, to be embedded: it takes requests in, lets the decision module route them, and
//! carries out what the module says. It chooses, ranks, times and judges nothing itself.
//!
//! A request passes `intake` (accept, read), `admit` (its event), `route` (the one decision thread), `send`
//! (one attempt at a node), `relay` (the client's answer) and `book` (who is owed what). What passes between them, and the ports that another host could fill,
//! stand in `stage`; imports run one way. `discovery` and `platform` speak with the outside, at a `place` that `reload` may move; `wire` holds the users' names and forms.

pub mod admit;
pub mod book;
pub mod buffers;
pub mod client;
pub mod clock;
pub mod config;
pub mod crew;
pub mod discovery;
pub mod http;
pub mod intake;
pub mod limits;
pub mod place;
pub mod platform;
pub mod relay;
pub mod reload;
pub mod route;
pub mod send;
pub mod server;
pub mod stage;
pub mod wire;

pub use config::Config;
pub use limits::Limits;
pub use server::{Server, Signs};
