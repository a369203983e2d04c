//! The control-plane server, one replica of the replicated control plane (the "core"). `core` holds the
//! consensus member, the state machine built from its log, and the status reports of marshals and edge
//! proxies. `drift` checks that edges route by the committed state, `disk` is the thread that writes the log,
//! `links` holds the connections to other replicas, `feeds` those of edges, `http_api` serves marshals,
//! operators and clients over HTTP, `metrics` holds the counters, and `route_shares` remembers what the
//! configurations have led to each service. Everything except the disk thread
//! runs on one thread.

pub mod core;
mod disk;
mod drift;
mod feeds;
pub mod forwarded_calls;
mod http_api;
mod links;
mod metrics;
mod metrics_page;
pub mod route_shares;

pub use http_api::ROUTES;

use crate::core::Core;
use milletwing_config::{event, Settings};
use milletwing_metrics::Endpoint;
use milletwing_wire::serve_metrics;
use std::future::Future;
use std::path::Path;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Completes when the process is to shut down gracefully.
pub type ShutdownSignal = Pin<Box<dyn Future<Output = ()>>>;

/// Runs until `shutdown` completes. `settings` is read again from `path` whenever that file changes.
/// Metrics are served at `endpoint`, if there is one. Errors are meant for operators: a missing or occupied
/// binding, or an unusable disk.
pub async fn run(
    settings: Settings,
    path: &Path,
    endpoint: Option<Endpoint>,
    shutdown: ShutdownSignal,
) -> Result<(), String> {
    let grace = Duration::from_secs_f64(settings.timers.guarantees.graceS.max(1.0));
    let listen = |name: &'static str, address| async move {
        TcpListener::bind(address).await.map_err(|problem| format!("{name} {address}: {problem}"))
    };
    let mut shutdown = shutdown;
    // Opened before any listener: while a disk that cannot be opened is being retried, callers are refused
    // at once.
    let (storage, disk_reports) = tokio::select! {
        opened = disk::open(&settings) => opened?,
        _ = shutdown.as_mut() => return Ok(()),
    };
    let internal = milletwing_wire::internal_address(settings.id(), settings.network.internal_ports.0);
    let internal = listen("internal", internal).await?;
    let control_plane = listen("controlPlane", settings.binding("controlPlane")?).await?;
    let directory = match settings.network.bindings.get("directoryPort") {
        Some(address) => Some(listen("directoryPort", *address).await?),
        None => None,
    };
    let core = Core::start(settings.clone(), storage, rand::random())?;
    event!(Started, "control-plane {} control {}", settings.own.node_name, settings.binding("controlPlane")?);
    let connections = Rc::new(http_api::OpenConnections::default());
    let tasks = [
        tokio::task::spawn_local(disk::forward_reports(Rc::clone(&core), disk_reports)),
        tokio::task::spawn_local(links::accept(Rc::clone(&core), internal)),
        tokio::task::spawn_local(links::dial(Rc::clone(&core))),
        tokio::task::spawn_local(core::run_clock(Rc::clone(&core))),
        tokio::task::spawn_local(core::watch_settings(Rc::clone(&core), path.to_path_buf())),
        tokio::task::spawn_local(http_api::serve(Rc::clone(&core), control_plane, Rc::clone(&connections))),
    ];
    if let Some(directory) = directory {
        tokio::task::spawn_local(http_api::serve(Rc::clone(&core), directory, Rc::clone(&connections)));
    }
    if let Some(endpoint) = endpoint {
        let (core, connections) = (Rc::clone(&core), Rc::clone(&connections));
        let render_metrics = move || metrics_page::page(&core.borrow(), &connections);
        tokio::task::spawn_local(serve_metrics(settings.id(), endpoint, render_metrics));
    }
    shutdown.await;
    event!(Term, "handing over to the other replicas");
    // Calls in progress are still answered; a new call fails and is retried by its caller at another
    // replica.
    connections.close();
    let deadline = tokio::time::Instant::now() + grace.mul_f64(0.5);
    Core::prepare_shutdown(&core, grace.mul_f64(0.4)).await;
    // Gives the last messages time to be sent.
    tokio::time::sleep(Duration::from_millis(300)).await;
    while connections.count() > 0 && tokio::time::Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    tasks.iter().for_each(|task| task.abort());
    event!(Ended, "control-plane {}", settings.own.node_name);
    Ok(())
}
