//! What all parts of an edge share: the decisions, the view of what the core agreed, connections to marshals, the clock.

use crate::metrics::Metrics;
use crate::pool::{Connector, Pool};
use milletwing_config::{event, Settings};
use milletwing_drift_detection::{Digest, Reflection, Step};
use milletwing_replicated_state::{EdgeStatus, View};
use milletwing_routing::{Place, Router, Time};
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Milliseconds between two digests of the tables in use; with over a thousand marshals, one for each.
const DIGEST_INTERVAL_MS: Time = 1_000;

/// Milliseconds before this process ends by which a marshal is to be done: its answer still has to come back and go on.
const RESPONSE_RETURN_MS: Time = 250;

/// The time that a process has from SIGTERM to its end.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownSchedule {
    /// From here on only what is likely to be done by the end is taken.
    pub selective_from: Time,
    /// This process ends.
    pub exits_at: Time,
}

/// Shared by all tasks of the one thread; no borrow lives across an await.
pub struct Edge {
    pub name: String,
    pub settings: RefCell<Settings>,
    pub router: RefCell<Router>,
    pub view: RefCell<View>,
    pub pool: Pool,
    pub metrics: Metrics,
    /// Clients' connections, and requests under way.
    pub connections: Cell<usize>,
    pub requests: Cell<usize>,
    /// It leaves: no new client should come, and what comes is done by its end.
    pub shutdown: Cell<Option<ShutdownSchedule>>,
    /// It rests until the core finds that it routes by what was agreed.
    quarantined: Cell<bool>,
    /// The core has it end in order.
    pub restart_requested: Notify,
    /// What it routes by, to be told with the next beat; when that was made last; and whether it was asked for in whole.
    pub pending_digest: Cell<Option<Reflection>>,
    digest_made_at: Cell<Time>,
    pub names_requested: Cell<bool>,
    /// Idle connections close.
    pub close_connections: Notify,
    /// What it says of itself has changed.
    pub status_changed: Notify,
    revision: Cell<u64>,
    ingress: SocketAddrV4,
    incarnation: u64,
    started: Instant,
}

impl Edge {
    /// Knows nothing yet. `connector`: how marshals are reached.
    pub fn new(settings: Settings, ingress: SocketAddrV4, connector: Connector) -> std::rc::Rc<Edge> {
        let location = Place {
            id: settings.id(),
            zone: settings.own.zone.clone(),
            region: settings.own.region.clone(),
            zones: settings.network.zones.clone(),
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

    /// Milliseconds since the process began; never 0.
    pub fn now(&self) -> Time {
        self.started.elapsed().as_millis() as Time + 1
    }

    /// Whether clients should come.
    pub fn ready(&self) -> bool {
        self.shutdown.get().is_none() && !self.quarantined.get() && self.router.borrow().ready()
    }

    /// What the core is told.
    pub fn status(&self) -> EdgeStatus {
        let settings = self.settings.borrow();
        EdgeStatus {
            id: settings.id(),
            zone: settings.own.zone.clone(),
            region: settings.own.region.clone(),
            ingress: self.ingress,
            ready: self.ready(),
            life: self.incarnation,
        }
    }

    /// No new client should come.
    pub fn begin_shutdown(&self, shutdown: ShutdownSchedule) {
        self.shutdown.set(Some(shutdown));
        self.status_changed.notify_waiters();
    }

    /// Milliseconds that a marshal may work on a request, so that its own answer still passes here.
    pub fn processing_time_left(&self, deadline: Time) -> Time {
        let shutdown = self.shutdown.get();
        let work_deadline = shutdown
            .map_or(deadline, |shutdown| deadline.min(shutdown.exits_at.saturating_sub(RESPONSE_RETURN_MS)));
        work_deadline.saturating_sub(self.now())
    }

    /// Whether a request that is expected to take so many milliseconds comes too late to be taken.
    pub fn is_too_late(&self, expected: Time) -> bool {
        let now = self.now();
        self.shutdown
            .get()
            .is_some_and(|shutdown| now >= shutdown.selective_from && now + expected > shutdown.exits_at)
    }

    /// Makes the digest of the tables in use, where the last one is a second old; later where they are large, so that it
    /// takes no more than a few thousandths of the processor.
    pub fn update_digest(&self, now: Time) {
        let due = self.digest_made_at.get()
            + DIGEST_INTERVAL_MS.max(self.view.borrow().nodes.len() as Time * DIGEST_INTERVAL_MS / 1_000);
        if now < due {
            return;
        }
        self.digest_made_at.set(now);
        let mut digest = Digest::default();
        self.router.borrow().reflect(&mut digest);
        self.pending_digest.set(Some(Reflection { index: self.view.borrow().index, digest }));
    }

    /// Does what the core has decided, to be brought back.
    pub fn apply_repair(&self, step: Step) {
        event!(Repairs, "{}", step.word());
        match step {
            Step::Back | Step::Rest => {
                self.quarantined.set(step == Step::Rest);
                self.status_changed.notify_waiters();
            }
            Step::End => self.restart_requested.notify_one(),
            // The core's part: it sends again what lacks, or all.
            Step::Again | Step::Renew => {}
        }
    }

    /// The whole view has come anew: all tables are made from it.
    pub fn rebuild(&self) {
        event!(Repairs, "{}", Step::Renew.word());
        self.router.borrow_mut().renew(self.now(), &self.view.borrow());
        self.digest_made_at.set(0);
        self.apply_view();
    }

    /// The view has changed.
    pub fn apply_view(&self) {
        let was_ready = self.ready();
        let revision = self.view.borrow().revision;
        if self.revision.replace(revision) != revision {
            event!(Configured, "revision {revision}");
        }
        self.router.borrow_mut().refresh(self.now(), &self.view.borrow());
        self.pool.retain_marshals(|marshal| self.router.borrow().knows(marshal));
        if self.ready() != was_ready {
            self.status_changed.notify_waiters();
        }
    }
}
