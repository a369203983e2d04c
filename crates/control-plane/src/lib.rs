//! The program of the core. `core` owns the agreement, the state folded from its log and what was heard of marshals and
//! edges; `drift` whether edges route by it, `disk` is the thread that writes, `links` the connections to other core machines, `feeds` those of edges, and
//! `front` the calls of marshals, operators and clients, `metrics` what is counted. All but the disk share one thread.

pub mod calls;
pub mod core;
mod disk;
mod drift;
mod feeds;
mod front;
mod links;
mod metrics;
mod metrics_page;

pub use front::ROUTES;

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

/// Tells the program to leave in order.
pub type Leave = Pin<Box<dyn Future<Output = ()>>>;

/// Runs until `leave` says so. `settings` is read anew from `path` whenever that changes. `endpoint`: where metrics are served, if
/// anywhere. Errors are for operators: a binding that is missing or taken, a disk that can't be used.
pub async fn run(
    settings: Settings,
    path: &Path,
    endpoint: Option<Endpoint>,
    leave: Leave,
) -> Result<(), String> {
    let grace = Duration::from_secs_f64(settings.timers.guarantees.graceS.max(1.0));
    let bind = |what: &'static str, to| async move {
        TcpListener::bind(to).await.map_err(|problem| format!("{what} {to}: {problem}"))
    };
    let mut leave = leave;
    // Before anything is listened on: callers are refused at once while a disk that can't be opened is asked again.
    let (writes, written) = tokio::select! {
        opened = disk::open(&settings) => opened?,
        _ = leave.as_mut() => return Ok(()),
    };
    let inner = milletwing_wire::internal_address(settings.id(), settings.network.internal_ports.0);
    let inner = bind("internal", inner).await?;
    let control = bind("controlPlane", settings.binding("controlPlane")?).await?;
    let directory = match settings.network.bindings.get("directoryPort") {
        Some(to) => Some(bind("directoryPort", *to).await?),
        None => None,
    };
    let core = Core::start(settings.clone(), writes, rand::random())?;
    event!(Started, "control-plane {} control {}", settings.own.node_name, settings.binding("controlPlane")?);
    let open = Rc::new(front::Open::default());
    let tasks = [
        tokio::task::spawn_local(disk::listen(Rc::clone(&core), written)),
        tokio::task::spawn_local(links::accept(Rc::clone(&core), inner)),
        tokio::task::spawn_local(links::dial(Rc::clone(&core))),
        tokio::task::spawn_local(core::ticks(Rc::clone(&core))),
        tokio::task::spawn_local(core::watch(Rc::clone(&core), path.to_path_buf())),
        tokio::task::spawn_local(front::serve(Rc::clone(&core), control, Rc::clone(&open))),
    ];
    if let Some(directory) = directory {
        tokio::task::spawn_local(front::serve(Rc::clone(&core), directory, Rc::clone(&open)));
    }
    if let Some(endpoint) = endpoint {
        let (core, open) = (Rc::clone(&core), Rc::clone(&open));
        let text = move || metrics_page::page(&core.borrow(), &open);
        tokio::task::spawn_local(serve_metrics(settings.id(), endpoint, text));
    }
    leave.await;
    event!(Term, "handing over");
    // Calls under way have their answers; new ones go elsewhere after a failure.
    open.close();
    let end = tokio::time::Instant::now() + grace.mul_f64(0.5);
    Core::leave(&core, grace.mul_f64(0.4)).await;
    // What went out last is on its way.
    tokio::time::sleep(Duration::from_millis(300)).await;
    while open.count() > 0 && tokio::time::Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    tasks.iter().for_each(|task| task.abort());
    event!(Ended, "control-plane {}", settings.own.node_name);
    Ok(())
}
