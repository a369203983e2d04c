//! What all parts of an edge share: the decisions, the view of what the core agreed, connections to marshals, the clock.

use crate::metrics::Metrics;
use crate::pool::{Dial, Pool};
use milletwing_config::{event, Settings};
use milletwing_drift_detection::{Digest, Reflection, Step};
use milletwing_replicated_state::{EdgeStatus, View};
use milletwing_routing::{Location, Router, Time};
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Milliseconds between two digests of the tables in use; with over a thousand marshals, one for each.
const REFLECT: Time = 1_000;

/// Milliseconds before this process ends by which a marshal is to be done: its answer still has to come back and go on.
const ANSWER_TRAVEL: Time = 250;

/// The time that a process has from SIGTERM to its end.
#[derive(Clone, Copy, Debug)]
pub struct Leaving {
    /// From here on only what is likely to be done by the end is taken.
    pub selective_from: Time,
    /// This process ends.
    pub ends: Time,
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
    pub leaving: Cell<Option<Leaving>>,
    /// It rests until the core finds that it routes by what was agreed.
    resting: Cell<bool>,
    /// The core has it end in order.
    pub end: Notify,
    /// What it routes by, to be told with the next beat; when that was made last; and whether it was asked for in whole.
    pub reflection: Cell<Option<Reflection>>,
    reflected: Cell<Time>,
    pub asked: Cell<bool>,
    /// Idle connections close.
    pub close: Notify,
    /// What it says of itself has changed.
    pub changed: Notify,
    revision: Cell<u64>,
    ingress: SocketAddrV4,
    life: u64,
    began: Instant,
}

impl Edge {
    /// Knows nothing yet. `dial`: how marshals are reached.
    pub fn new(settings: Settings, ingress: SocketAddrV4, dial: Dial) -> std::rc::Rc<Edge> {
        let place = Location {
            id: settings.id(),
            zone: settings.own.zone.clone(),
            region: settings.own.region.clone(),
            zone_regions: settings.network.zones.clone(),
        };
        let router = Router::new(place, settings.timers.guarantees.clone(), rand::random());
        std::rc::Rc::new(Edge {
            name: settings.own.node_name.clone(),
            settings: RefCell::new(settings),
            router: RefCell::new(router),
            view: RefCell::new(View::default()),
            pool: Pool::new(dial),
            metrics: Metrics::default(),
            connections: Cell::new(0),
            requests: Cell::new(0),
            leaving: Cell::new(None),
            resting: Cell::new(false),
            end: Notify::new(),
            reflection: Cell::new(None),
            reflected: Cell::new(0),
            asked: Cell::new(false),
            close: Notify::new(),
            changed: Notify::new(),
            revision: Cell::new(0),
            ingress,
            life: rand::random(),
            began: Instant::now(),
        })
    }

    /// Milliseconds since the process began; never 0.
    pub fn now(&self) -> Time {
        self.began.elapsed().as_millis() as Time + 1
    }

    /// Whether clients should come.
    pub fn ready(&self) -> bool {
        self.leaving.get().is_none() && !self.resting.get() && self.router.borrow().has_configuration()
    }

    /// What the core is told.
    pub fn heard(&self) -> EdgeStatus {
        let settings = self.settings.borrow();
        EdgeStatus {
            id: settings.id(),
            zone: settings.own.zone.clone(),
            region: settings.own.region.clone(),
            ingress: self.ingress,
            ready: self.ready(),
            life: self.life,
        }
    }

    /// No new client should come.
    pub fn leave(&self, leaving: Leaving) {
        self.leaving.set(Some(leaving));
        self.changed.notify_waiters();
    }

    /// Milliseconds that a marshal may work on a request, so that its own answer still passes here.
    pub fn time_to_work(&self, deadline: Time) -> Time {
        let leaving = self.leaving.get();
        let until =
            leaving.map_or(deadline, |leaving| deadline.min(leaving.ends.saturating_sub(ANSWER_TRAVEL)));
        until.saturating_sub(self.now())
    }

    /// Whether a request that is expected to take so many milliseconds comes too late to be taken.
    pub fn too_late(&self, expected: Time) -> bool {
        let now = self.now();
        self.leaving
            .get()
            .is_some_and(|leaving| now >= leaving.selective_from && now + expected > leaving.ends)
    }

    /// Makes the digest of the tables in use, where the last one is a second old; later where they are large, so that it
    /// takes no more than a few thousandths of the processor.
    pub fn reflect(&self, now: Time) {
        let due =
            self.reflected.get() + REFLECT.max(self.view.borrow().nodes.len() as Time * REFLECT / 1_000);
        if now < due {
            return;
        }
        self.reflected.set(now);
        let mut digest = Digest::default();
        self.router.borrow().export_state(&mut digest);
        self.reflection.set(Some(Reflection { index: self.view.borrow().index, digest }));
    }

    /// Does what the core has decided, to be brought back.
    pub fn repair(&self, step: Step) {
        event!(Repairs, "{}", step.word());
        match step {
            Step::Back | Step::Rest => {
                self.resting.set(step == Step::Rest);
                self.changed.notify_waiters();
            }
            Step::End => self.end.notify_one(),
            // The core's part: it sends again what lacks, or all.
            Step::Again | Step::Renew => {}
        }
    }

    /// The whole view has come anew: all tables are made from it.
    pub fn renew(&self) {
        event!(Repairs, "{}", Step::Renew.word());
        self.router.borrow_mut().rebuild(self.now(), &self.view.borrow());
        self.reflected.set(0);
        self.refresh();
    }

    /// The view has changed.
    pub fn refresh(&self) {
        let was = self.ready();
        let revision = self.view.borrow().revision;
        if self.revision.replace(revision) != revision {
            event!(Configured, "revision {revision}");
        }
        self.router.borrow_mut().refresh(self.now(), &self.view.borrow());
        self.pool.forget(|marshal| self.router.borrow().contains_marshal(marshal));
        if self.ready() != was {
            self.changed.notify_waiters();
        }
    }
}
