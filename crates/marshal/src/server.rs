//! The whole marshal: its threads, its start and its end.

use crate::accounting::{Counters, PendingRequest};
use crate::admit::AdmissionContext;
use crate::buffers::BufferPool;
use crate::clock::Clock;
use crate::config::Config;
use crate::discovery::{self, DiscoveryClient, DiscoveryWatch};
use crate::endpoint::Endpoint;
use crate::intake::{self, ClientConnections, Intake};
use crate::limits::Limits;
use crate::platform::Platform;
use crate::ports::{
    AttemptHandle, AttemptOrder, AttemptSender, DecisionInput, DiscoveryRequest, GroupObserver,
    LocalResponse, ResponseSender, RolloutObserver, VoteRequest, VoteSender,
};
use crate::relay::ResponseWriters;
use crate::reload::Reloader;
use crate::route::{DecisionContext, DecisionThread};
use crate::send::{AttemptExecutor, NodePools};
use crate::worker_pool::WorkerPool;
use crossbeam_channel::{bounded, Sender};
use milletwing_decision::interface::{FleetUpdateKind, NodeEntry, Settings};
use milletwing_profile::Names;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The signs that the program is sent. Taken before a marshal starts, so that none of them ends it unawares.
pub struct ProcessSignals(Signals);

impl ProcessSignals {
    /// From here on they are kept for `Server::serve`.
    pub fn new() -> io::Result<ProcessSignals> {
        Signals::new([SIGTERM, SIGINT, SIGHUP]).map(ProcessSignals)
    }
}

/// A group of instances that judge as one, which a marshal is to join as it starts.
pub trait GroupJoiner: Send {
    /// What the module must know of it.
    fn settings(&self, decisions: &mut Settings);
    /// Joins. Gives who takes the module's votes, in place of the platform's connection, and who else is told.
    fn join(
        self: Box<Self>,
        decisions: &Settings,
        inputs: Sender<DecisionInput>,
        ballots: Sender<VoteRequest>,
        platform: Arc<Endpoint>,
    ) -> io::Result<(Box<dyn VoteSender>, Box<dyn GroupObserver>)>;
}

/// A gate that permits editions, which a marshal is to follow as it starts.
pub trait ReleaseGate: Send {
    /// What the module must know of it.
    fn settings(&self, decisions: &mut Settings);
    /// Begins to tell tables, the first one before this returns. Zones and tenants stand by the settings' names.
    fn join(
        self: Box<Self>,
        zones: &[String],
        tenants: &[String],
        inputs: Sender<DecisionInput>,
    ) -> io::Result<Box<dyn RolloutObserver>>;
}

/// A further front: whoever asks there is answered by the same module and book, and carries the attempts itself.
pub trait FrontEnd: Send {
    /// What the module must know of it.
    fn settings(&self, decisions: &mut Settings);
    /// Begins to take requests. Gives who is told of attempts and answers for them.
    fn start(
        self: Box<Self>,
        around: FrontEndContext,
    ) -> io::Result<(Box<dyn AttemptSender>, Box<dyn ResponseSender>)>;
}

/// What a further front works with.
pub struct FrontEndContext {
    /// The settings.
    pub settings: Settings,
    /// Their names.
    pub names: Names,
    /// The clock that the module goes by.
    pub clock: Clock,
    /// The counters.
    pub counters: Arc<Counters>,
    /// The way to the decision thread.
    pub inputs: Sender<DecisionInput>,
}

/// Two fronts on one decision thread: requests on sockets of ours, and those that another proxy carries.
struct CombinedFrontEnds<T, U: ?Sized> {
    own: T,
    external: Option<Box<U>>,
}

impl AttemptSender for CombinedFrontEnds<NodePools, dyn AttemptSender> {
    fn start(&mut self, order: AttemptOrder) -> Option<Arc<dyn AttemptHandle>> {
        match order.request.origin {
            Some(_) => self.own.start(order),
            None => self.external.as_mut()?.start(order),
        }
    }
    fn update_fleet(&mut self, kind: FleetUpdateKind, entries: &[(NodeEntry, SocketAddr)]) {
        self.own.update_fleet(kind, entries);
        self.external.iter_mut().for_each(|external| external.update_fleet(kind, entries));
    }
    fn sweep(&mut self) {
        self.own.sweep();
        self.external.iter_mut().for_each(|external| external.sweep());
    }
    fn report(&self) -> String {
        let asked = self.external.as_ref().map(|external| format!(", {}", external.report()));
        format!("{}{}", self.own.report(), asked.unwrap_or_default())
    }
}

impl ResponseSender for CombinedFrontEnds<ResponseWriters, dyn ResponseSender> {
    fn enqueue(&self, request: Arc<PendingRequest>, response: LocalResponse) -> bool {
        match (&request.origin, &self.external) {
            (None, Some(external)) => external.enqueue(request, response),
            _ => self.own.enqueue(request, response),
        }
    }
}

/// What a marshal joins as it starts, where its operators want that.
#[derive(Default)]
pub struct Extensions {
    /// A group of instances that judge as one.
    pub group: Option<Box<dyn GroupJoiner>>,
    /// A gate that permits editions.
    pub gate: Option<Box<dyn ReleaseGate>>,
    /// A further front.
    pub front: Option<Box<dyn FrontEnd>>,
}

/// A marshal that runs.
pub struct Server {
    /// Where it listens.
    pub listen: SocketAddr,
    intake: Arc<Intake>,
    reload: Reloader,
    discovery: Arc<Endpoint>,
    platform: Arc<Endpoint>,
    inputs: Sender<DecisionInput>,
    limits: Limits,
    /// Kept so that discovery's thread ends with the marshal.
    _asks: Sender<DiscoveryRequest>,
}

fn start(name: &str, stack: usize, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    std::thread::Builder::new().name(name.into()).stack_size(stack).spawn(work).map(drop)
}

impl Server {
    /// Starts a marshal under the limits that its grant and settings give.
    pub fn start(config: Config) -> io::Result<Server> {
        let limits = Limits::new(config.grant, &config.transport);
        Server::start_with(config, limits)
    }

    /// Starts a marshal under limits of the caller's own.
    pub fn start_with(config: Config, limits: Limits) -> io::Result<Server> {
        Server::start_with_extensions(config, limits, Extensions::default())
    }

    /// Starts a marshal that joins what its operators want.
    pub fn start_with_extensions(
        mut config: Config,
        limits: Limits,
        extras: Extensions,
    ) -> io::Result<Server> {
        let Extensions { group, gate, front } = extras;
        gate.iter().for_each(|gate| gate.settings(&mut config.settings));
        front.iter().for_each(|front| front.settings(&mut config.settings));
        group.iter().for_each(|group| group.settings(&mut config.settings));
        let listener = TcpListener::bind(config.listen)?;
        let listen = listener.local_addr()?;
        let buffers = BufferPool::new(limits.buffer_bytes, limits.max_pooled_buffers);
        let counters = Arc::new(Counters::default());
        let (inputs, inbox) = bounded(limits.decision_queue_capacity);
        let (ballots, votes) = bounded(limits.vote_queue_capacity);
        let (asks, asked) = bounded(limits.vote_queue_capacity);
        let stopping = Arc::new(AtomicBool::new(false));

        let senders = Arc::new(AttemptExecutor::new(&limits, &buffers, &counters, inputs.clone()));
        let pools = NodePools::new(senders)?;
        let relays = ResponseWriters::new(&limits)?;

        let discovery = Arc::new(Endpoint::new(config.discovery));
        let platform = Arc::new(Endpoint::new(config.platform));
        let (casts, group): (Box<dyn VoteSender>, Option<Box<dyn GroupObserver>>) = match group {
            None => (Box::new(ballots), None),
            Some(group) => {
                let (casts, told) =
                    group.join(&config.settings, inputs.clone(), ballots, platform.clone())?;
                (casts, Some(told))
            }
        };
        let gate = gate.map(|gate| gate.join(&config.names.zones, &config.names.tenants, inputs.clone()));
        let mut names = config.names.clone();
        let (known, _) = discovery::entries(&config.known, &mut names); // what can be read; the rest is asked for
        let clock = Clock::default();
        let front = front.map(|front| {
            let (settings, names) = (config.settings.clone(), config.names.clone());
            front.start(FrontEndContext {
                settings,
                names,
                clock,
                counters: counters.clone(),
                inputs: inputs.clone(),
            })
        });
        let (carrier, answers) = front.transpose()?.unzip();
        let tools = DecisionContext {
            settings: config.settings.clone(),
            seed: config.seed,
            limits: limits.clone(),
            clock,
            counters: counters.clone(),
            attempt_sender: Box::new(CombinedFrontEnds { own: pools, external: carrier }),
            responses: Box::new(CombinedFrontEnds { own: relays, external: answers }),
            vote_sender: casts,
            discovery: Box::new(asks.clone()),
            group,
            rollout_observer: gate.transpose()?,
        };
        let (signal, began) = bounded(1);
        let news = config.news.clone();
        start("route", limits.decision_stack_bytes, move || {
            let route = DecisionThread::new(tools, known, news);
            let _ = signal.send(()); // the starter waits for it
            route.run(&inbox);
        })?;
        let _ = began.recv(); // the module holds the list and the news before any request

        let reload = Reloader::new(&config, &discovery, &platform);
        let reader = Arc::new(Platform::new(&platform, &limits, &config.names, inputs.clone()));
        let writer = reader.clone();
        start("platform-read", limits.thread_stack_bytes, move || reader.read())?;
        start("platform-write", limits.thread_stack_bytes, move || writer.write(&votes))?;
        let watch = DiscoveryWatch {
            client: DiscoveryClient::new(&discovery, &limits),
            names,
            version: config.known.version,
            on_request: config.settings.subscribe_to_discovery,
        };
        let told = inputs.clone();
        start("discovery", limits.thread_stack_bytes, move || watch.run(&asked, &told))?;

        let gate = AdmissionContext {
            settings: config.settings,
            names: config.names,
            limits: limits.clone(),
            buffers,
        };
        let intake = Arc::new(Intake {
            admission: gate,
            clients: ClientConnections::default(),
            inputs: inputs.clone(),
            counters,
            ready: AtomicBool::new(true),
            stopping,
            accepting_closed: AtomicBool::new(false),
            evicting: AtomicBool::new(false),
        });
        let shared = intake.clone();
        let most = limits.max_clients + limits.max_excess_clients;
        let workers = WorkerPool::new("client", limits.pool_options(most, most), move |(number, client)| {
            intake::serve_connection(&shared, number, &client);
        })?;
        let shared = intake.clone();
        start("accept", limits.thread_stack_bytes, move || intake::accept(&shared, &listener, &workers))?;
        log::info!("{} listens at {listen}", config.name);
        Ok(Server { listen, intake, reload, discovery, platform, inputs, limits, _asks: asks })
    }

    /// The counters.
    pub fn counters(&self) -> &Counters {
        &self.intake.counters
    }

    /// Connections of clients.
    pub fn clients(&self) -> usize {
        self.intake.clients.len()
    }

    /// Ends the marshal: no more readiness at once; new connections for the stated time; each further answer
    /// closes its connection; then what is held is finished. True if all of it was.
    pub fn stop(self) -> bool {
        self.intake.stopping.store(true, SeqCst);
        std::thread::sleep(self.limits.stop_accept_period);
        self.intake.accepting_closed.store(true, SeqCst);
        drop(TcpStream::connect_timeout(&self.listen, Duration::from_millis(100))); // wakes the one who accepts
        self.intake.clients.shutdown_idle();
        let until = Instant::now() + self.limits.finish_timeout;
        while self.intake.clients.busy() > 0 && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
            self.intake.clients.shutdown_idle();
        }
        // Those that were told of the end by a close may still take what was written.
        let until = Instant::now() + self.limits.linger_timeout;
        while !self.intake.clients.is_empty() && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
        }
        let finished = self.intake.clients.busy() == 0;
        self.platform.close();
        self.discovery.close();
        let _ = self.inputs.send(DecisionInput::Stop); // it may have ended before
        log::info!("stopped: {}", self.intake.counters);
        finished
    }

    /// Takes on what may change while it runs, from a configuration read anew.
    pub fn reload(&self, read: Result<Config, String>) {
        self.reload.apply(read);
    }

    /// Serves until the sign to stop, then ends the marshal; at a hang-up the configuration is read again. One that
    /// comes while it stops is heard by nobody, and ends nothing.
    pub fn serve(self, mut signals: ProcessSignals, again: impl Fn() -> Result<Config, String>) -> bool {
        for signal in signals.0.forever() {
            if signal != SIGHUP {
                log::info!("signal {signal}");
                break;
            }
            self.reload(again());
        }
        self.stop()
    }
}
