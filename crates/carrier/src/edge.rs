//! What all parts of an edge share: the decisions, the view of what the core agreed, connections to marshals, the clock.

use crate::pool::Pool;
use milletwing_course::{Course, Place, Time};
use milletwing_ledger::{Heard, View};
use milletwing_tenet::{tell, Settings};
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::time::Instant;
use tokio::sync::Notify;

/// Shared by all tasks of the one thread; no borrow lives across an await.
pub struct Edge {
    pub name: String,
    pub settings: RefCell<Settings>,
    pub course: RefCell<Course>,
    pub view: RefCell<View>,
    pub pool: Pool,
    /// Clients' connections, and requests under way.
    pub connections: Cell<usize>,
    pub requests: Cell<usize>,
    /// It leaves: no new client should come.
    pub leaving: Cell<bool>,
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
    /// Knows nothing yet.
    pub fn new(settings: Settings, ingress: SocketAddrV4) -> std::rc::Rc<Edge> {
        let place = Place {
            id: settings.id(),
            zone: settings.own.zone.clone(),
            region: settings.own.region.clone(),
            zones: settings.network.zones.clone(),
        };
        let course = Course::new(place, settings.timers.guarantees.clone(), rand::random());
        std::rc::Rc::new(Edge {
            name: settings.own.node_name.clone(),
            settings: RefCell::new(settings),
            course: RefCell::new(course),
            view: RefCell::new(View::default()),
            pool: Pool::default(),
            connections: Cell::new(0),
            requests: Cell::new(0),
            leaving: Cell::new(false),
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
        !self.leaving.get() && self.course.borrow().ready()
    }

    /// What the core is told.
    pub fn heard(&self) -> Heard {
        let settings = self.settings.borrow();
        Heard {
            id: settings.id(),
            zone: settings.own.zone.clone(),
            region: settings.own.region.clone(),
            ingress: self.ingress,
            ready: self.ready(),
            life: self.life,
        }
    }

    /// No new client should come.
    pub fn leave(&self) {
        self.leaving.set(true);
        self.changed.notify_waiters();
    }

    /// The view has changed.
    pub fn refresh(&self) {
        let was = self.ready();
        let revision = self.view.borrow().revision;
        if self.revision.replace(revision) != revision {
            tell!(Configured, "revision {revision}");
        }
        self.course.borrow_mut().refresh(self.now(), &self.view.borrow());
        self.pool.forget(|marshal| self.course.borrow().knows(marshal));
        if self.ready() != was {
            self.changed.notify_waiters();
        }
    }
}
