//! State shared by all parts of an edge: the router, the replicated view, the connection pool and
//! the clock.

use crate::metrics::Metrics;
use crate::pool::{Connector, Pool};
use crate::shutdown::{RequestLimits, ShutdownSchedule};
use milletwing_config::{event, Settings};
use milletwing_drift_detection::{Digest, Step, TableDigest};
use milletwing_replicated_state::{EdgeStatus, View};
use milletwing_routing::{Location, Router, Time};
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Interval between two digests of the routing tables. With more than a thousand marshals, one
/// millisecond per marshal.
const DIGEST_INTERVAL_MS: Time = 1_000;

/// State shared by all tasks. They run on one thread, and no borrow is held across an await.
pub struct Edge {
    pub name: String,
    pub settings: RefCell<Settings>,
    pub router: RefCell<Router>,
    pub view: RefCell<View>,
    pub pool: Pool,
    pub metrics: Metrics,
    /// Open client connections.
    pub connections: Cell<usize>,
    /// Requests in flight.
    pub requests: Cell<usize>,
    /// Set once a shutdown has begun: the edge attracts no new clients, and accepts only requests
    /// whose outcome is not lost with the process.
    pub shutdown: Cell<Option<ShutdownSchedule>>,
    /// Out of service by order of the core, until the core finds that the edge routes by the agreed
    /// state.
    quarantined: Cell<bool>,
    /// Notified when the core orders the process to shut down, to be restarted by the platform.
    pub restart_requested: Notify,
    /// The digest of the routing tables for the next report.
    pub pending_digest: Cell<Option<TableDigest>>,
    /// When the last digest was made.
    digest_made_at: Cell<Time>,
    /// Set when the core has requested the names that the digest is made of.
    pub names_requested: Cell<bool>,
    /// Notified when client connections are to close after the response in flight.
    pub close_connections: Notify,
    /// Notified when the status that the edge reports has changed.
    pub status_changed: Notify,
    /// Revision of the last configuration that was applied.
    revision: Cell<u64>,
    ingress: SocketAddrV4,
    /// Random number that identifies this run of the process.
    incarnation: u64,
    started: Instant,
}

impl Edge {
    /// Creates an edge without a configuration. `connector` opens connections to marshals.
    pub fn new(settings: Settings, ingress: SocketAddrV4, connector: Connector) -> std::rc::Rc<Edge> {
        let location = Location {
            id: settings.id(),
            zone: settings.own.zone.clone(),
            region: settings.own.region.clone(),
            zone_regions: settings.network.zones.clone(),
        };
        let router = Router::new(location, settings.timers.guarantees.clone(), rand::random());
        std::rc::Rc::new(Edge {
            name: settings.own.node_name.clone(),
            settings: RefCell::new(settings),
            router: RefCell::new(router),
            view: RefCell::new(View::default()),
            pool: Pool::new(connector),
            metrics: Metrics::default(),
            connections: Cell::new(0),
            requests: Cell::new(0),
            shutdown: Cell::new(None),
            quarantined: Cell::new(false),
            restart_requested: Notify::new(),
            pending_digest: Cell::new(None),
            digest_made_at: Cell::new(0),
            names_requested: Cell::new(false),
            close_connections: Notify::new(),
            status_changed: Notify::new(),
            revision: Cell::new(0),
            ingress,
            incarnation: rand::random(),
            started: Instant::now(),
        })
    }

    /// Milliseconds since the process started; never 0.
    pub fn now(&self) -> Time {
        self.started.elapsed().as_millis() as Time + 1
    }

    /// Whether clients should be sent to this edge.
    pub fn ready(&self) -> bool {
        self.shutdown.get().is_none() && !self.quarantined.get() && self.router.borrow().has_configuration()
    }

    /// The status of this edge as reported to the core.
    pub fn status(&self) -> EdgeStatus {
        let settings = self.settings.borrow();
        EdgeStatus {
            id: settings.id(),
            zone: settings.own.zone.clone(),
            region: settings.own.region.clone(),
            ingress: self.ingress,
            ready: self.ready(),
            incarnation: self.incarnation,
        }
    }

    /// Takes the edge out of service; the process ends after the given grace period, in
    /// milliseconds.
    pub fn begin_shutdown(&self, grace: Time) {
        self.shutdown.set(Some(ShutdownSchedule::new(self.now(), grace)));
        self.status_changed.notify_waiters();
    }

    /// Milliseconds that a marshal may spend on a request so that its response can still be
    /// forwarded before the deadline and before this process ends.
    pub fn processing_time_left(&self, deadline: Time) -> Time {
        let shutdown = self.shutdown.get();
        let work_deadline = shutdown.map_or(deadline, |shutdown| shutdown.work_deadline(deadline));
        work_deadline.saturating_sub(self.now())
    }

    /// Whether a request may be sent to a marshal: always, unless this process ends so soon that
    /// the outcome could be lost.
    pub fn admits(&self, limits: RequestLimits) -> bool {
        self.shutdown.get().is_none_or(|shutdown| shutdown.admits(self.now(), limits))
    }

    /// Makes a new digest of the routing tables if the last one is a second old. With large tables
    /// it is made less often, so that it uses no more than a few thousandths of a processor.
    pub fn update_digest(&self, now: Time) {
        let due = self.digest_made_at.get()
            + DIGEST_INTERVAL_MS.max(self.view.borrow().nodes.len() as Time * DIGEST_INTERVAL_MS / 1_000);
        if now < due {
            return;
        }
        self.digest_made_at.set(now);
        let mut digest = Digest::default();
        self.router.borrow().export_state(&mut digest);
        self.pending_digest.set(Some(TableDigest { index: self.view.borrow().index, digest }));
    }

    /// Applies a repair step that the core has ordered because this edge had drifted from the
    /// agreed state.
    pub fn apply_repair(&self, step: Step) {
        event!(Repairs, "{}", step.as_str());
        match step {
            Step::Back | Step::Rest => {
                self.quarantined.set(step == Step::Rest);
                self.status_changed.notify_waiters();
            }
            Step::End => self.restart_requested.notify_one(),
            // Done by the core: it resends the missing entries, or the whole state.
            Step::Again | Step::Renew => {}
        }
    }

    /// Rebuilds all routing tables from a view that the core has sent in full.
    pub fn rebuild(&self) {
        event!(Repairs, "{}", Step::Renew.as_str());
        self.router.borrow_mut().rebuild(self.now(), &self.view.borrow());
        self.digest_made_at.set(0);
        self.apply_view();
    }

    /// Updates the routing tables and the connection pool after a change of the view.
    pub fn apply_view(&self) {
        let was_ready = self.ready();
        let revision = self.view.borrow().revision;
        if self.revision.replace(revision) != revision {
            event!(Configured, "revision {revision}");
        }
        self.router.borrow_mut().refresh(self.now(), &self.view.borrow());
        self.pool.retain_marshals(|marshal| self.router.borrow().contains_marshal(marshal));
        if self.ready() != was_ready {
            self.status_changed.notify_waiters();
        }
    }
}
