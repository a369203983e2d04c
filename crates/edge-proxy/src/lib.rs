//! The program of an edge. `front` takes clients' connections, `watched` is one of them, `framing` tells where its heads begin and end, `validation` checks a request, `relay` takes it through `routing`'s decisions to its
//! answer, `attempt` is one sending of it, `headers` the protocol's fields, `pool` keeps connections to marshals, `unread` bounds what a peer leaves unread, `probes` asks for their health while the core is out of reach, `body` and `out` what flows through, `feed` follows the core, `metrics` counts. One thread.

mod attempt;
mod body;
mod edge;
mod feed;
mod framing;
mod front;
mod headers;
mod metrics;
mod metrics_page;
mod out;
mod pool;
mod probes;
mod relay;
mod unread;
mod validation;
mod watched;

#[cfg(test)]
mod tests;

use crate::edge::{Edge, Leaving};
use milletwing_config::{event, Settings};
use milletwing_metrics::Endpoint;
use milletwing_wire::serve_metrics;
use std::future::Future;
use std::path::Path;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Part of the time from SIGTERM to the end in which any new request is taken; later only what is likely to be done by the end, and the
/// rest is told at once to go elsewhere.
const SERVES: f64 = 0.5;
/// Seconds before the time from SIGTERM is over at which this process ends by itself.
const LAST_S: f64 = 0.25;

/// Completes when the process is to shut down gracefully.
pub type ShutdownSignal = Pin<Box<dyn Future<Output = ()>>>;

/// Runs an edge until `shutdown` completes and the requests in flight have finished. `endpoint`: where metrics are served, if anywhere. Errors are for
/// operators: a binding that is missing or taken.
pub async fn run(
    settings: Settings,
    path: &Path,
    endpoint: Option<Endpoint>,
    shutdown: ShutdownSignal,
) -> Result<(), String> {
    let ingress = settings.binding("ingress")?;
    let listener =
        TcpListener::bind(ingress).await.map_err(|problem| format!("ingress {ingress}: {problem}"))?;
    let readiness = match settings.network.bindings.get("readiness") {
        Some(to) => {
            Some(TcpListener::bind(to).await.map_err(|problem| format!("readiness {to}: {problem}"))?)
        }
        None => None,
    };
    let grace = settings.timers.guarantees.graceS.max(1.0);
    let edge = Edge::new(settings, ingress, pool::tcp());
    event!(Started, "edge-proxy {} ingress {ingress}", edge.name);
    tokio::task::spawn_local(feed::follow(Rc::clone(&edge)));
    tokio::task::spawn_local(feed::watch(Rc::clone(&edge), path.to_path_buf()));
    tokio::task::spawn_local(probes::run(Rc::clone(&edge)));
    if let Some(endpoint) = endpoint {
        let edge = Rc::clone(&edge);
        let own = edge.settings.borrow().id();
        tokio::task::spawn_local(serve_metrics(own, endpoint, move || metrics_page::page(&edge)));
    }
    let accepting = tokio::task::spawn_local(front::serve(Rc::clone(&edge), listener));
    if let Some(readiness) = readiness {
        tokio::task::spawn_local(front::readiness(Rc::clone(&edge), readiness));
    }
    tokio::select! {
        _ = shutdown => {}
        // The core's last step to bring it back: the platform starts it again.
        _ = edge.end.notified() => {}
    }
    event!(Term, "{} connections, {} requests", edge.connections.get(), edge.requests.get());
    // Out of the directory and readiness at once; who still comes is served, and told to come no more.
    let after = |seconds: f64| edge.now() + (seconds * 1_000.0) as u64;
    edge.leave(Leaving { selective_from: after(grace * SERVES), ends: after(grace - LAST_S) });
    let begun = tokio::time::Instant::now();
    let at = |part: f64| begun + Duration::from_secs_f64(part);
    // Clients hold a resolution for a while, some for three times as long.
    while tokio::time::Instant::now() < at(grace * 0.8)
        && (edge.connections.get() > 0 || begun.elapsed() < Duration::from_secs_f64(grace * 0.75))
    {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    accepting.abort();
    edge.close.notify_waiters();
    while tokio::time::Instant::now() < at(grace - LAST_S) && edge.connections.get() > 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    event!(Ended, "{} requests left", edge.requests.get());
    Ok(())
}
