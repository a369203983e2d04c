//! The edge proxy: accepts client requests and forwards them to marshals, using the state that it
//! receives from the core. All tasks run on one thread.
//!
//! - `server` accepts client connections and answers readiness checks; `client_stream` wraps one
//!   client connection, and `framing` finds where its request heads begin and end.
//! - `validation` checks a request, `relay` carries it from its head to its response by the
//!   decisions of the routing crate, and `attempt` sends it to one marshal.
//! - `headers` holds the header fields of the protocol; `body` and `response_body` carry request
//!   and response bodies.
//! - `shutdown` decides which requests are still sent to marshals after SIGTERM.
//! - `pool` keeps connections to marshals, and `user_timeout` sets their TCP user timeout.
//!   `health_probes` queries the health of marshals while the core is unreachable.
//! - `core_feed` follows the core; `metrics` and `metrics_page` count and publish metrics.
//! - `edge` is the state that all of them share.

mod attempt;
mod body;
mod client_stream;
mod core_feed;
mod edge;
mod framing;
mod headers;
mod health_probes;
mod metrics;
mod metrics_page;
mod pool;
mod relay;
mod response_body;
mod server;
mod shutdown;
mod user_timeout;
mod validation;

#[cfg(test)]
mod tests;

use crate::edge::Edge;
use milletwing_config::{event, Settings};
use milletwing_metrics::Endpoint;
use milletwing_wire::serve_metrics;
use std::future::Future;
use std::path::Path;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Fractions of the grace period after SIGTERM: connections are accepted until the first at least,
/// and until the second while there are open ones.
const ACCEPT_FRACTIONS: (f64, f64) = (0.75, 0.8);

/// Completes when the process is to shut down gracefully.
pub type ShutdownSignal = Pin<Box<dyn Future<Output = ()>>>;

/// Runs an edge until `shutdown` completes and the requests in flight have finished.
///
/// Metrics are served at `endpoint`, if there is one. Returns an error message for operators if an
/// address binding is missing or already in use.
pub async fn run(
    settings: Settings,
    path: &Path,
    endpoint: Option<Endpoint>,
    shutdown: ShutdownSignal,
) -> Result<(), String> {
    let ingress = settings.binding("ingress")?;
    let listener = TcpListener::bind(ingress).await.map_err(|error| format!("ingress {ingress}: {error}"))?;
    let readiness = match settings.network.bindings.get("readiness") {
        Some(address) => {
            Some(TcpListener::bind(address).await.map_err(|error| format!("readiness {address}: {error}"))?)
        }
        None => None,
    };
    let grace = settings.timers.guarantees.graceS.max(1.0);
    let edge = Edge::new(settings, ingress, pool::tcp_connector());
    event!(Started, "edge-proxy {} ingress {ingress}", edge.name);
    tokio::task::spawn_local(core_feed::follow(Rc::clone(&edge)));
    tokio::task::spawn_local(core_feed::watch_settings(Rc::clone(&edge), path.to_path_buf()));
    tokio::task::spawn_local(health_probes::run(Rc::clone(&edge)));
    if let Some(endpoint) = endpoint {
        let edge = Rc::clone(&edge);
        let edge_id = edge.settings.borrow().id();
        tokio::task::spawn_local(serve_metrics(edge_id, endpoint, move || metrics_page::page(&edge)));
    }
    let accept_task = tokio::task::spawn_local(server::serve(Rc::clone(&edge), listener));
    if let Some(readiness) = readiness {
        tokio::task::spawn_local(server::serve_readiness(Rc::clone(&edge), readiness));
    }
    tokio::select! {
        _ = shutdown => {}
        // The last repair step of the core for an inconsistent edge: it exits, and the platform
        // restarts it.
        _ = edge.restart_requested.notified() => {}
    }
    event!(Term, "{} connections, {} requests", edge.connections.get(), edge.requests.get());
    // The edge leaves the directory and stops being ready at once. Clients that still connect are
    // served, with `Connection: close`.
    let grace = Duration::from_secs_f64(grace);
    edge.begin_shutdown(grace.as_millis() as u64);
    let started = tokio::time::Instant::now();
    // Clients cache a name resolution for some time, and some clients three times as long as
    // others, so new connections are accepted for most of the grace period.
    while started.elapsed() < grace.mul_f64(ACCEPT_FRACTIONS.0)
        || (started.elapsed() < grace.mul_f64(ACCEPT_FRACTIONS.1) && edge.connections.get() > 0)
    {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    accept_task.abort();
    edge.close_connections.notify_waiters();
    // A request in progress is not ended by this process: it has until the platform kills it.
    while started.elapsed() < grace && edge.connections.get() > 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    event!(Ended, "{} requests left", edge.requests.get());
    Ok(())
}
