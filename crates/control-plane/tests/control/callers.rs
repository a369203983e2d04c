//! Operators, marshals and edges of the simulated world. They call as the protocol has it: any machine, again after an answer that
//! is not clear, at times twice at once; answers are lost on their way.

use crate::history::{Change, History, Outcome, Read, Version};
use crate::machines::{id, ms, Net, MACHINES};
use milletwing_config::ErrorKind;
use milletwing_control_plane::core::Core;
use milletwing_replicated_state::view::configuration_digest;
use milletwing_replicated_state::{Beat, Command, EdgeStatus, Phase, View};
use milletwing_wire::{self as wire, Answer, CoreRequest, ToEdge};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout, Instant};

/// How long a caller waits before it goes elsewhere.
const SILENT: Duration = Duration::from_millis(1_000);
const WITHIN: Duration = Duration::from_millis(900);
/// Calls of one order at most.
const TRIES: usize = 8;
/// The zone that is emptied, and the service that is rolled out.
pub const ZONE: &str = "b";
pub const SERVICE: &str = "s";

pub struct Callers {
    pub net: Net,
    pub history: RefCell<History>,
    /// Part of the answers that are lost.
    pub loss: Cell<f64>,
    /// No further orders are begun.
    pub done: Cell<bool>,
    /// Orders to empty the zone, and to take it back, as they were acknowledged.
    pub emptied: Cell<Option<bool>>,
    pub rolled: Cell<u64>,
    /// Marshals of which it was acknowledged that they leave.
    pub left: RefCell<Vec<String>>,
    /// The state as of an entry, wherever it was folded.
    pub states: RefCell<BTreeMap<u64, [u8; 32]>>,
}

/// The bytes of a version.
pub fn body(version: Version) -> Vec<u8> {
    let (revision, idle) = version;
    format!(
        r#"{{"revision":{revision},"routing":{{"r":{{"domain":"h.example","pathPrefix":"/a/","trafficClass":"idempotent","guardS":5,
        "targetS":0.3,"target":"{SERVICE}","maxTries":2}}}},"targets":{{"{SERVICE}":{{"maxSessions":110,"warmupS":3,"warmupPerS":26}}}},
        "thresholds":{{"idleGuardS":{idle}}}}}"#
    )
    .into_bytes()
}

pub fn version(view: &View) -> Option<Version> {
    let configuration = view.configuration()?;
    Some((configuration.revision, configuration.thresholds.as_ref()?.idle_guard_s as u64))
}

fn outcome(answer: Result<Answer, ErrorKind>) -> Outcome {
    match answer {
        Ok(Answer::Done(_)) => Outcome::Acknowledged,
        Ok(Answer::Refused(..)) => Outcome::Refused,
        Ok(Answer::Unknown | Answer::NotAccepted | Answer::Superseded) => Outcome::Unknown,
        Err(kind) if kind.response().status < 500 => Outcome::Refused,
        Err(_) => Outcome::Unknown,
    }
}

impl Callers {
    /// Makes a call at any machine, again while it is not clear what became of it.
    async fn insist<F: Future<Output = Outcome> + 'static>(
        self: &Rc<Self>,
        call: impl Fn(Rc<Self>, u32) -> F,
    ) -> Outcome {
        for _ in 0..TRIES {
            let at = 1 + self.net.draw(0..u64::from(MACHINES)) as u32;
            if self.net.odds(0.2) {
                // The same call twice at once, the second to any machine.
                let other = 1 + self.net.draw(0..u64::from(MACHINES)) as u32;
                tokio::task::spawn_local(call(Rc::clone(self), other));
            }
            let answer = timeout(SILENT, call(Rc::clone(self), at)).await.unwrap_or(Outcome::Unknown);
            if answer != Outcome::Unknown && !self.net.odds(self.loss.get()) {
                return answer;
            }
            sleep(ms(self.net.draw(20..400))).await;
        }
        Outcome::Unknown
    }

    async fn configure(self: Rc<Self>, at: u32, version: Version, expected: u64) -> Outcome {
        let Some(core) = self.net.core(at) else { return Outcome::Unknown };
        outcome(Core::configure(&core, Some(expected), &body(version), WITHIN).await)
    }

    async fn ask(self: Rc<Self>, at: u32, ask: CoreRequest) -> Outcome {
        let Some(core) = self.net.core(at) else { return Outcome::Unknown };
        outcome(Ok(Core::order(&core, ask, WITHIN).await))
    }

    /// An operator that changes the configuration, and reads it, on top of what it saw last.
    pub async fn operator(self: Rc<Self>, number: u64) {
        let (mut seen, mut made) = (0, 0);
        while !self.done.get() {
            sleep(ms(self.net.draw(50..1_500))).await;
            let begun = Instant::now();
            if self.net.odds(0.3) {
                if let Some(version) = self.read(begun).await {
                    seen = version;
                }
                continue;
            }
            made += 1;
            let (version, expected) = ((seen + self.net.draw(1..4), number * 10_000 + made), seen);
            let call = move |callers: Rc<Self>, at| callers.configure(at, version, expected);
            let outcome = self.insist(call).await;
            let ended = Instant::now();
            self.history.borrow_mut().changes.push(Change { version, expected, begun, ended, outcome });
            match outcome {
                Outcome::Acknowledged => seen = version.0,
                _ => seen = self.read(Instant::now()).await.unwrap_or(seen),
            }
        }
    }

    async fn read(&self, begun: Instant) -> Option<u64> {
        let core = self.net.core(1 + self.net.draw(0..u64::from(MACHINES)) as u32)?;
        let (emptied, rolled, left) = (self.emptied.get(), self.rolled.get(), self.left.borrow().clone());
        timeout(SILENT, Core::read(&core, WITHIN)).await.ok()?.ok()?;
        let core = core.borrow();
        let version = version(&core.view);
        let ended = Instant::now();
        self.history.borrow_mut().reads.push(Read { version, begun, ended });
        if emptied == Some(true) && self.emptied.get() == emptied {
            assert!(core.view.evacuated.contains_key(ZONE), "an acknowledged order to empty a zone is gone");
        }
        if rolled > 0 {
            assert!(core.view.rollouts.contains_key(SERVICE), "an acknowledged roll-out is gone");
        }
        for id in left {
            let open = core.view.nodes.get(&id).is_some_and(|node| node.phase != Phase::Draining);
            assert!(!open, "{id} leaves, as was acknowledged, and takes requests again");
        }
        Some(version.map_or(0, |version| version.0))
    }

    /// An operator that empties a zone and takes it back.
    pub async fn evacuations(self: Rc<Self>) {
        for turn in 0u64.. {
            sleep(ms(self.net.draw(500..3_000))).await;
            if self.done.get() && turn % 2 == 0 {
                return;
            }
            let on = turn % 2 == 0;
            if !on {
                self.emptied.set(None);
            }
            loop {
                let call = move |callers: Rc<Self>, at| async move {
                    let Some(core) = callers.net.core(at) else { return Outcome::Unknown };
                    outcome(Ok(Core::evacuation(&core, ZONE, on, WITHIN).await))
                };
                let outcome = self.insist(call).await;
                assert_ne!(outcome, Outcome::Refused, "an evacuation is refused");
                if outcome == Outcome::Acknowledged {
                    break;
                }
            }
            self.emptied.set(Some(on));
        }
    }

    /// An operator that brings in versions.
    pub async fn rollouts(self: Rc<Self>) {
        while !self.done.get() {
            sleep(ms(self.net.draw(1_000..8_000))).await;
            let revision = format!("v{}", self.rolled.get() + 2);
            let call = move |callers: Rc<Self>, at| {
                let revision = revision.clone();
                async move {
                    let Some(core) = callers.net.core(at) else { return Outcome::Unknown };
                    outcome(Core::rollout(&core, SERVICE.into(), revision, 4_000, WITHIN).await)
                }
            };
            let outcome = self.insist(call).await;
            self.rolled.set(self.rolled.get() + u64::from(outcome == Outcome::Acknowledged));
        }
    }

    /// Marshals that come, drain, and leave, one after the other.
    pub async fn marshals(self: Rc<Self>, number: u32) {
        for life in 0u32.. {
            if self.done.get() {
                return;
            }
            let name = format!("i-{number}-{life}");
            let mut counter = 0;
            for _ in 0..self.net.draw(2..6) {
                self.beat(&name, number, "available", &mut counter).await;
                sleep(ms(1_500)).await;
            }
            if self.beat(&name, number, "draining", &mut counter).await == Outcome::Acknowledged {
                self.left.borrow_mut().push(name.clone());
            }
            sleep(ms(1_000)).await;
            let ask = CoreRequest::Leave { id: name.clone() };
            if self.insist(move |callers: Rc<Self>, at| callers.ask(at, ask.clone())).await
                == Outcome::Acknowledged
            {
                self.left.borrow_mut().push(name);
            }
        }
    }

    async fn beat(self: &Rc<Self>, name: &str, number: u32, state: &str, counter: &mut u64) -> Outcome {
        *counter += 1;
        let beat = Beat {
            target: SERVICE.into(),
            address: format!("10.1.0.{number}:80").parse().unwrap(),
            zone: "a".into(),
            revision: "v1".into(),
            capacity: 2,
            state: state.into(),
            warmup_left_s: 0.0,
            call_counter: *counter,
        };
        let name = name.to_owned();
        self.insist(move |callers: Rc<Self>, at| {
            let (name, beat) = (name.clone(), beat.clone());
            async move {
                let Some(core) = callers.net.core(at) else { return Outcome::Unknown };
                outcome(Ok(Core::beat(&core, name, beat, WITHIN).await))
            }
        })
        .await
    }

    /// An edge that follows any machine, and another after a while: what it folds never goes back.
    pub async fn edge(self: Rc<Self>, number: u32) {
        let mut view = View::default();
        while !self.done.get() {
            let at = 1 + self.net.draw(0..u64::from(MACHINES)) as u32;
            let Some(core) = self.net.core(at) else {
                sleep(ms(50)).await;
                continue;
            };
            let edge = EdgeStatus {
                id: id(100 + number),
                zone: "a".into(),
                region: "north".into(),
                ingress: format!("10.2.0.{number}:80").parse().unwrap(),
                ready: true,
                incarnation: 1,
            };
            let (feed, mut queue) = core.borrow_mut().attach(edge, view.index);
            let until = Instant::now() + ms(self.net.draw(300..4_000));
            while let Ok(Some((_, bytes))) = tokio::time::timeout_at(until, queue.recv()).await {
                let down = wire::read_frame::<ToEdge>(&mut bytes.as_slice()).await.unwrap();
                self.follow(&mut view, down);
            }
            core.borrow_mut().detach(feed);
        }
    }

    /// As the edge's program folds it.
    fn follow(&self, view: &mut View, down: ToEdge) {
        match down {
            ToEdge::Snapshot(packed) | ToEdge::Rebuild(packed) => {
                let whole = View::from_compressed(&packed).unwrap();
                if whole.index > view.index {
                    *view = whole;
                }
            }
            ToEdge::Entries(entries) => {
                for (index, bytes) in
                    entries.into_iter().filter(|(index, _)| *index > view.index).collect::<Vec<_>>()
                {
                    view.apply(index, &Command::from_bytes(&bytes).unwrap());
                }
            }
            ToEdge::Heartbeat { index, .. } if index > view.index => view.index = index,
            _ => {}
        }
        self.same(view);
    }

    /// The same entries make the same state everywhere.
    pub fn same(&self, view: &View) {
        let state = configuration_digest(&view.to_compressed());
        let known = *self.states.borrow_mut().entry(view.index).or_insert(state);
        assert_eq!(known, state, "two states as of entry {}", view.index);
    }
}
