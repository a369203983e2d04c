//! The thread that owns the table of verdicts, between the streams and the decision thread.

use crate::service;
use crate::settings::Settings;
use crate::told::Told;
use crate::wire::{self, from_proxy, to_proxy, verdict, FromProxy, How, ToProxy};
use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender};
use milletwing_decision::interface::{
    ClassId, FleetUpdateKind, Key, Ms, NodeEntry, NodeId, NodeState, Outcome as End, RequestId, RetrySafety,
    Settings as Decisions, TenantId,
};
use milletwing_marshal::accounting::{increment, PendingRequest};
use milletwing_marshal::clock::to_duration;
use milletwing_marshal::ports::{
    AdmittedRequest, AttemptHandle, AttemptOrder, AttemptSender, DecisionInput, LocalResponse, ResponseSender,
};
use milletwing_marshal::server::{FrontEnd, FrontEndContext};
use milletwing_processor::table::{Class, Decision};
use milletwing_processor::{Ask, Earlier, Outcome, Output, Refusal, Table, Verdict};
use milletwing_profile::index_of;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Between looks at the time.
const LOOK: Duration = Duration::from_millis(20);
/// How long after a request's deadline its verdicts are told again.
const GRACE: Ms = Ms(1000.0);
/// Words that may wait for the thread.
const WORDS: usize = 8192;

/// A front for other proxies that is to start with its marshal.
pub struct Front {
    /// The operator's file.
    pub settings: Settings,
}

/// Where nodes listen, as the decision thread follows the list.
type Addresses = Arc<RwLock<HashMap<NodeId, SocketAddr>>>;

struct Ports(Sender<Told>, Addresses);

/// An attempt that a proxy carries.
struct Carried {
    id: RequestId,
    copy: u32,
    words: Sender<Told>,
}

impl AttemptHandle for Carried {
    fn cancel(&self) {
        let _ = self.words.send(Told::GiveUp(self.id.clone(), self.copy, End::Cancelled));
        // it ends only with us
    }
    fn time_out(&self) {
        let _ = self.words.send(Told::GiveUp(self.id.clone(), self.copy, End::Timeout));
        // it ends only with us
    }
    fn is_streaming(&self) -> bool {
        false
    }
    fn describe(&self) -> String {
        "with another proxy".into()
    }
}

impl AttemptSender for Ports {
    fn start(&mut self, order: AttemptOrder) -> Option<Arc<dyn AttemptHandle>> {
        let (id, copy, words) = (order.request.id.clone(), order.attempt, self.0.clone());
        // Guards against a decision thread that waits for a full queue: the attempt never began.
        self.0.try_send(Told::Begin(order)).ok()?;
        Some(Arc::new(Carried { id, copy, words }))
    }
    fn update_fleet(&mut self, kind: FleetUpdateKind, entries: &[(NodeEntry, SocketAddr)]) {
        let mut nodes = self.1.write().unwrap_or_else(PoisonError::into_inner);
        if matches!(kind, FleetUpdateKind::Replace | FleetUpdateKind::Restored) {
            nodes.clear();
        }
        for (entry, at) in entries {
            if entry.state == NodeState::Terminated {
                nodes.remove(&entry.node);
            } else {
                nodes.insert(entry.node.clone(), *at);
            }
        }
    }
    fn sweep(&mut self) {}
    fn report(&self) -> String {
        format!("{} words wait for the processor", self.0.len())
    }
}

impl ResponseSender for Ports {
    fn enqueue(&self, request: Arc<PendingRequest>, response: LocalResponse) -> bool {
        self.0.try_send(Told::Word(request, response)).is_ok()
    }
}

impl FrontEnd for Front {
    /// A verdict may be used so much later than it was given: the module's margins (of windows of exposure on either side,
    /// and of the time for which nodes drop repeats) are at least as wide.
    fn settings(&self, decisions: &mut Decisions) {
        decisions.tick = decisions.tick.max(Ms(self.settings.begin_within_ms));
    }
    fn start(
        self: Box<Self>,
        around: FrontEndContext,
    ) -> io::Result<(Box<dyn AttemptSender>, Box<dyn ResponseSender>)> {
        let wrong = |why: String| io::Error::other(format!("processor: {why}"));
        let settings = self.settings;
        // A verdict used at its last moment must still be within the grace for drains, with room for its way.
        if settings.begin_within_ms > around.settings.drain_grace.0 * 0.5 {
            let most = around.settings.drain_grace.0 * 0.5;
            return Err(wrong(format!("begin_within_ms: more than {most}, half of the grace for drains")));
        }
        let (words, told) = bounded(WORDS);
        service::start(&settings, words.clone())
            .map_err(|why| wrong(format!("listen {}: {why}", settings.listen)))?;
        let class = |class: &milletwing_decision::interface::Class| Class {
            effect: class.retry_safety,
            scope: class.dedup_scope,
            memory: class.dedup_window,
        };
        let classes = around.settings.classes.iter().map(class).collect();
        let table = Table::new(classes, Ms(settings.begin_within_ms), GRACE, settings.requests);
        log::info!("processor: listens at {}", settings.listen);
        let (open, streams, nodes) = (HashMap::new(), BTreeMap::new(), Addresses::default());
        let thread = Thread { around, table, open, streams, nodes: nodes.clone(), asks: HashMap::new() };
        let thread_name = std::thread::Builder::new().name("processor".into()).stack_size(1 << 20);
        thread_name.spawn(move || thread.run(&told))?;
        Ok((Box::new(Ports(words.clone(), nodes.clone())), Box::new(Ports(words, nodes))))
    }
}

struct Thread {
    around: FrontEndContext,
    table: Table,
    /// Requests that owe their answer.
    open: HashMap<RequestId, Arc<PendingRequest>>,
    streams: BTreeMap<u64, mpsc::Sender<Result<ToProxy, tonic::Status>>>,
    nodes: Addresses,
    /// What a first ask tells beyond what the table needs, until the module is told.
    asks: HashMap<RequestId, (Option<TenantId>, Option<Key>)>,
}

impl Thread {
    fn now(&self) -> Ms {
        self.around.clock.ms(Instant::now())
    }

    fn run(mut self, told: &Receiver<Told>) {
        let mut next = Instant::now() + LOOK;
        loop {
            let mut out = Vec::new();
            match told.recv_deadline(next) {
                Ok(word) => self.word(word, &mut out),
                Err(RecvTimeoutError::Timeout) => {
                    next = Instant::now() + LOOK;
                    let now = self.now();
                    self.table.tick(now, &mut out);
                    self.open.retain(|_, open| {
                        !open.answered() || open.deadline + Duration::from_secs(2) > Instant::now()
                    });
                }
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for output in out {
                if !self.output(output) {
                    return;
                }
            }
        }
    }

    fn word(&mut self, word: Told, out: &mut Vec<Output>) {
        let now = self.now();
        match word {
            Told::Began(stream, to) => drop(self.streams.insert(stream, to)),
            Told::Closed(stream) => {
                self.streams.remove(&stream);
                self.table.closed(stream);
            }
            Told::Came(stream, message) => self.came(now, stream, message, out),
            Told::Begin(order) => {
                let until = self.around.clock.ms(order.deadline);
                if !self.table.decided(now, &order.request.id, Decision::Send(order.node, until), out) {
                    let (id, attempt, ended_at) = (order.request.id.clone(), order.attempt, Instant::now());
                    let _ = self.around.inputs.send(DecisionInput::AttemptEnded {
                        id,
                        attempt,
                        outcome: End::NotSent,
                        ended_at,
                    });
                    // it ends only with us
                }
            }
            Told::GiveUp(id, copy, end) => self.table.give_up(now, &id, copy, end, out),
            Told::Word(open, word) => {
                let decision = match word {
                    LocalResponse::Refused(wait) => Decision::Refused(wait),
                    LocalResponse::Failed | LocalResponse::Status(_) => Decision::Failed,
                };
                self.table.decided(now, &open.id, decision, out);
            }
        }
    }

    fn came(&mut self, now: Ms, stream: u64, message: FromProxy, out: &mut Vec<Output>) {
        let (name, taken) = match message.what {
            None => (String::new(), Err("an empty message")),
            Some(from_proxy::What::Cancel(cancel)) => {
                self.table.cancel(now, &RequestId(Arc::from(cancel.request.as_str())), out);
                return;
            }
            Some(from_proxy::What::Outcome(said)) => {
                let id = RequestId(Arc::from(said.request.as_str()));
                let took = Ms(f64::from(said.took_ms));
                let outcome = match How::try_from(said.how).unwrap_or(How::Unset) {
                    How::Unset => None,
                    How::Ok => Some(Outcome::Ended(End::Ok, took)),
                    How::Error => Some(Outcome::Ended(End::Error, took)),
                    How::Full => Some(Outcome::Ended(End::Rejected, took)),
                    How::Timeout => Some(Outcome::Ended(End::Timeout, took)),
                    How::Reset => Some(Outcome::Ended(End::Reset, took)),
                    How::Never => Some(Outcome::Never),
                    How::Cancelled => Some(Outcome::Ended(End::Cancelled, took)),
                };
                let taken = match outcome {
                    None => Err("an outcome without `how`"),
                    Some(outcome) => {
                        self.table.report(now, &id, said.r#try as usize, outcome, out).map_err(why)
                    }
                };
                (said.request, taken)
            }
            Some(from_proxy::What::Ask(ask)) => (ask.request.clone(), self.ask(now, stream, ask, out)),
        };
        if let Err(why) = taken {
            let trouble = wire::Trouble { request: name, why: why.into() };
            self.tell(stream, to_proxy::What::Trouble(trouble));
        }
    }

    fn ask(
        &mut self,
        now: Ms,
        stream: u64,
        ask: wire::Ask,
        out: &mut Vec<Output>,
    ) -> Result<(), &'static str> {
        if ask.request.is_empty() || ask.request.len() > 128 {
            return Err("an id of 1 to 128 bytes is wanted");
        }
        let class = index_of(&self.around.names.classes, &ask.class).ok_or("no such class")? as usize;
        let tenant = match ask.tenant.as_str() {
            "" => None,
            name => {
                Some(TenantId(index_of(&self.around.names.tenants, name).ok_or("no such tenant")? as usize))
            }
        };
        let key = (!ask.key.is_empty()).then(|| Key(Arc::from(ask.key.as_str())));
        let id = RequestId(Arc::from(ask.request.as_str()));
        let earlier = ask.earlier.iter().map(|earlier| Earlier {
            node: NodeId(Arc::from(earlier.node.as_str())),
            never: earlier.never,
            age: Ms(f64::from(earlier.age_ms)),
        });
        let left = Ms(f64::from(ask.left_ms).min(300_000.0));
        let asked =
            Ask { id: id.clone(), class, number: ask.r#try as usize, left, earlier: earlier.collect() };
        self.table.ask(now, stream, &asked, out).map_err(why)?;
        if out.iter().any(|output| matches!(output, Output::Taken(..))) {
            self.asks.insert(id, (tenant, key));
        }
        Ok(())
    }

    fn tell(&mut self, stream: u64, what: to_proxy::What) {
        let Some(to) = self.streams.get(&stream) else { return };
        if to.try_send(Ok(ToProxy { what: Some(what) })).is_err() {
            // Guards against one that reads slowly, or not at all: its verdicts stand, and are told again elsewhere.
            log::info!("processor: stream {stream} does not read, and ends");
            self.streams.remove(&stream);
            self.table.closed(stream);
        }
    }

    /// False where the decision thread has ended.
    fn output(&mut self, output: Output) -> bool {
        match output {
            Output::Tell(stream, id, number, verdict) => {
                let now = self.now();
                let address = |node: &NodeId| {
                    let nodes = self.nodes.read().unwrap_or_else(PoisonError::into_inner);
                    nodes.get(node).map(SocketAddr::to_string).unwrap_or_default()
                };
                let what = match verdict {
                    Verdict::Send { node, begin_by, until } => verdict::What::Send(wire::Send {
                        address: address(&node),
                        node: node.0.to_string(),
                        begin_within_ms: (begin_by - now).0.max(0.0) as u32,
                        give_up_ms: (until - now).0.max(0.0) as u32,
                    }),
                    Verdict::Refused(wait) => verdict::What::Refused(wire::Refused {
                        retry_after_ms: wait.map_or(0, |wait| wait.0.max(1.0) as u32),
                    }),
                    Verdict::Failed => verdict::What::Failed(wire::Failed {}),
                };
                let (request, r#try) = (id.0.to_string(), number as u32);
                self.tell(
                    stream,
                    to_proxy::What::Verdict(wire::Verdict { request, r#try, what: Some(what) }),
                );
                true
            }
            Output::Taken(id, class, left) => {
                let (tenant, key) = self.asks.remove(&id).unwrap_or_default();
                let once = self.around.settings.classes[class].retry_safety == RetrySafety::AtMostOnce;
                let open = Arc::new(PendingRequest::carried_elsewhere(
                    id.clone(),
                    once,
                    Instant::now() + to_duration(left),
                ));
                increment(&self.around.counters.taken);
                self.open.insert(id, open.clone());
                let (class, work_hint, is_retry) = (ClassId(class), None, false);
                let admitted = AdmittedRequest { request: open, class, key, tenant, work_hint, is_retry };
                self.around.inputs.send(DecisionInput::RequestAdmitted(Box::new(admitted))).is_ok()
            }
            Output::Ended(id, attempt, _, outcome, took) => {
                let served = outcome == End::Ok && self.open.get(&id).is_some_and(|open| open.claim());
                if served {
                    increment(&self.around.counters.served);
                }
                // The attempt's time is its own, not that of its report's way here.
                let ended_at = Instant::now();
                let _ = took;
                self.around
                    .inputs
                    .send(DecisionInput::AttemptEnded { id, attempt, outcome, ended_at })
                    .is_ok()
            }
            Output::Gone(id) => match self.open.get(&id) {
                Some(open) => self.around.inputs.send(DecisionInput::ClientLeft(open.clone())).is_ok(),
                None => true,
            },
        }
    }
}

fn why(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::Invalid => "another class than before under this id, or a try that was not to be sent",
        Refusal::Ahead => "a try ahead of its time",
        Refusal::Full => "as many requests as are allowed are open; come back",
        Refusal::Unknown => "nothing is known of this request",
    }
}
