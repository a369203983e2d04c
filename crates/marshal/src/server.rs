//! The whole marshal: its threads, startup and shutdown.

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

/// The signals sent to the process. Registered before a marshal starts, so that none of them terminates the process
/// unexpectedly.
pub struct ProcessSignals(Signals);

impl ProcessSignals {
    /// Registers the signals, which are then kept for `Server::serve`.
    pub fn new() -> io::Result<ProcessSignals> {
        Signals::new([SIGTERM, SIGINT, SIGHUP]).map(ProcessSignals)
    }
}

/// A group of instances that decide as one, which a marshal joins as it starts.
pub trait GroupJoiner: Send {
    /// Adjusts the module's settings.
    fn settings(&self, decisions: &mut Settings);
    /// Joins the group. Returns the sender for the module's votes, in place of the platform's connection, and the
    /// observer of the module's decisions.
    fn join(
        self: Box<Self>,
        decisions: &Settings,
        inputs: Sender<DecisionInput>,
        ballots: Sender<VoteRequest>,
        platform: Arc<Endpoint>,
    ) -> io::Result<(Box<dyn VoteSender>, Box<dyn GroupObserver>)>;
}

/// A gate that permits editions, which a marshal follows from its start.
pub trait ReleaseGate: Send {
    /// Adjusts the module's settings.
    fn settings(&self, decisions: &mut Settings);
    /// Starts to send permit tables, the first before this returns. Zones and tenants are identified by their index in
    /// the settings' names.
    fn join(
        self: Box<Self>,
        zones: &[String],
        tenants: &[String],
        inputs: Sender<DecisionInput>,
    ) -> io::Result<Box<dyn RolloutObserver>>;
}

/// A further front end: its requests are decided by the same module and counted by the same counters, and it sends the
/// attempts itself.
pub trait FrontEnd: Send {
    /// Adjusts the module's settings.
    fn settings(&self, decisions: &mut Settings);
    /// Starts to accept requests. Returns the components that send its attempts and its responses.
    fn start(
        self: Box<Self>,
        context: FrontEndContext,
    ) -> io::Result<(Box<dyn AttemptSender>, Box<dyn ResponseSender>)>;
}

/// The configuration and components that a further front end works with.
pub struct FrontEndContext {
    /// The module's settings.
    pub settings: Settings,
    /// The names that the settings refer to.
    pub names: Names,
    /// The clock that the module's times refer to.
    pub clock: Clock,
    /// The counters.
    pub counters: Arc<Counters>,
    /// The input queue of the decision thread.
    pub inputs: Sender<DecisionInput>,
}

/// Two front ends on one decision thread: requests on the marshal's own sockets, and those that another proxy carries.
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

/// The optional components that a marshal starts with.
#[derive(Default)]
pub struct Extensions {
    /// A group of instances that decide as one.
    pub group: Option<Box<dyn GroupJoiner>>,
    /// A gate that permits editions.
    pub gate: Option<Box<dyn ReleaseGate>>,
    /// A further front end.
    pub front: Option<Box<dyn FrontEnd>>,
}

/// A running marshal.
pub struct Server {
    /// The address that it listens on.
    pub listen: SocketAddr,
    intake: Arc<Intake>,
    reload: Reloader,
    discovery: Arc<Endpoint>,
    platform: Arc<Endpoint>,
    inputs: Sender<DecisionInput>,
    limits: Limits,
    /// Held so that discovery's thread ends with the marshal.
    _discovery_requests: Sender<DiscoveryRequest>,
}

fn spawn_thread(name: &str, stack: usize, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    std::thread::Builder::new().name(name.into()).stack_size(stack).spawn(work).map(drop)
}

impl Server {
    /// Starts a marshal with the limits that follow from its grant and settings.
    pub fn start(config: Config) -> io::Result<Server> {
        let limits = Limits::new(config.grant, &config.transport);
        Server::start_with(config, limits)
    }

    /// Starts a marshal with the caller's own limits.
    pub fn start_with(config: Config, limits: Limits) -> io::Result<Server> {
        Server::start_with_extensions(config, limits, Extensions::default())
    }

    /// Starts a marshal with the caller's own limits and with extensions.
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
        let (requests, discovery_requests) = bounded(limits.vote_queue_capacity);
        let stopping = Arc::new(AtomicBool::new(false));

        let senders = Arc::new(AttemptExecutor::new(&limits, &buffers, &counters, inputs.clone()));
        let pools = NodePools::new(senders)?;
        let relays = ResponseWriters::new(&limits)?;

        let discovery = Arc::new(Endpoint::new(config.discovery));
        let platform = Arc::new(Endpoint::new(config.platform));
        let (vote_sender, group): (Box<dyn VoteSender>, Option<Box<dyn GroupObserver>>) = match group {
            None => (Box::new(ballots), None),
            Some(group) => {
                let (vote_sender, observer) =
                    group.join(&config.settings, inputs.clone(), ballots, platform.clone())?;
                (vote_sender, Some(observer))
            }
        };
        let gate = gate.map(|gate| gate.join(&config.names.zones, &config.names.tenants, inputs.clone()));
        let mut names = config.names.clone();
        let (known, _) = discovery::entries(&config.known, &mut names); // the valid entries; discovery supplies the rest
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
            vote_sender,
            discovery: Box::new(requests.clone()),
            group,
            rollout_observer: gate.transpose()?,
        };
        let (ready, started) = bounded(1);
        let initial_stage = config.initial_stage.clone();
        spawn_thread("route", limits.decision_stack_bytes, move || {
            let thread = DecisionThread::new(tools, known, initial_stage);
            let _ = ready.send(()); // the starting thread waits for it
            thread.run(&inbox);
        })?;
        let _ = started.recv(); // the module has the node list and the stage before any request

        let reload = Reloader::new(&config, &discovery, &platform);
        let reader = Arc::new(Platform::new(&platform, &limits, &config.names, inputs.clone()));
        let writer = reader.clone();
        spawn_thread("platform-read", limits.thread_stack_bytes, move || reader.read())?;
        spawn_thread("platform-write", limits.thread_stack_bytes, move || writer.write(&votes))?;
        let watch = DiscoveryWatch {
            client: DiscoveryClient::new(&discovery, &limits),
            names,
            version: config.known.version,
            on_request: config.settings.subscribe_to_discovery,
        };
        let discovery_inputs = inputs.clone();
        spawn_thread("discovery", limits.thread_stack_bytes, move || {
            watch.run(&discovery_requests, &discovery_inputs)
        })?;

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
        let max_threads = limits.max_clients + limits.max_excess_clients;
        let workers = WorkerPool::new(
            "client",
            limits.pool_options(max_threads, max_threads),
            move |(number, client)| {
                intake::serve_connection(&shared, number, &client);
            },
        )?;
        let shared = intake.clone();
        spawn_thread("accept", limits.thread_stack_bytes, move || {
            intake::accept(&shared, &listener, &workers)
        })?;
        log::info!("{} listens at {listen}", config.name);
        Ok(Server {
            listen,
            intake,
            reload,
            discovery,
            platform,
            inputs,
            limits,
            _discovery_requests: requests,
        })
    }

    /// The counters.
    pub fn counters(&self) -> &Counters {
        &self.intake.counters
    }

    /// The number of client connections.
    pub fn clients(&self) -> usize {
        self.intake.clients.len()
    }

    /// Stops the marshal: it reports not ready at once, accepts new connections for the configured time, closes each
    /// connection with its next response, and then completes the requests in progress. True if all of them were
    /// completed.
    pub fn stop(self) -> bool {
        self.intake.stopping.store(true, SeqCst);
        std::thread::sleep(self.limits.stop_accept_period);
        self.intake.accepting_closed.store(true, SeqCst);
        drop(TcpStream::connect_timeout(&self.listen, Duration::from_millis(100))); // wakes the accepting thread
        self.intake.clients.shutdown_idle();
        let until = Instant::now() + self.limits.finish_timeout;
        while self.intake.clients.busy() > 0 && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
            self.intake.clients.shutdown_idle();
        }
        // Clients whose connection was closed may still read what was written.
        let until = Instant::now() + self.limits.linger_timeout;
        while !self.intake.clients.is_empty() && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
        }
        let finished = self.intake.clients.busy() == 0;
        self.platform.close();
        self.discovery.close();
        let _ = self.inputs.send(DecisionInput::Stop); // the decision thread may already have ended
        log::info!("stopped: {}", self.intake.counters);
        finished
    }

    /// Applies the changeable part of a configuration that was read again.
    pub fn reload(&self, read: Result<Config, String>) {
        self.reload.apply(read);
    }

    /// Serves until a signal to stop, then stops the marshal; at SIGHUP the configuration is read again. A signal
    /// during the shutdown is ignored.
    pub fn serve(
        self,
        mut signals: ProcessSignals,
        reread_config: impl Fn() -> Result<Config, String>,
    ) -> bool {
        for signal in signals.0.forever() {
            if signal != SIGHUP {
                log::info!("signal {signal}");
                break;
            }
            self.reload(reread_config());
        }
        self.stop()
    }
}
