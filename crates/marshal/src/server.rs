//! The whole marshal: its threads, its start and its end.

use crate::admit::Gate;
use crate::book::{Book, Open};
use crate::buffers::Buffers;
use crate::clock::Clock;
use crate::config::Config;
use crate::crew::Crew;
use crate::discovery::{self, Caller, Watch};
use crate::intake::{self, Clients, Intake};
use crate::limits::Limits;
use crate::place::Place;
use crate::platform::Platform;
use crate::relay::Relays;
use crate::reload::Reload;
use crate::route::{Route, Tools};
use crate::send::{Pools, Senders};
use crate::stage::{Answering, Ask, Ballot, Carrier, Grouping, Note, Order, Out, Voting, Watching, Word};
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
pub struct Signs(Signals);

impl Signs {
    /// From here on they are kept for `Server::serve`.
    pub fn new() -> io::Result<Signs> {
        Signals::new([SIGTERM, SIGINT, SIGHUP]).map(Signs)
    }
}

/// A group of instances that judge as one, which a marshal is to join as it starts.
pub trait Joining: Send {
    /// What the module must know of it.
    fn settings(&self, decisions: &mut Settings);
    /// Joins. Gives who takes the module's votes, in place of the platform's connection, and who else is told.
    fn join(
        self: Box<Self>,
        decisions: &Settings,
        notes: Sender<Note>,
        ballots: Sender<Ballot>,
        platform: Arc<Place>,
    ) -> io::Result<(Box<dyn Voting>, Box<dyn Grouping>)>;
}

/// A gate that permits editions, which a marshal is to follow as it starts.
pub trait Gating: Send {
    /// What the module must know of it.
    fn settings(&self, decisions: &mut Settings);
    /// Begins to tell tables, the first one before this returns. Zones and tenants stand by the settings' names.
    fn join(
        self: Box<Self>,
        zones: &[String],
        tenants: &[String],
        notes: Sender<Note>,
    ) -> io::Result<Box<dyn Watching>>;
}

/// A further front: whoever asks there is answered by the same module and book, and carries the attempts itself.
pub trait Fronting: Send {
    /// What the module must know of it.
    fn settings(&self, decisions: &mut Settings);
    /// Begins to take requests. Gives who is told of attempts and answers for them.
    fn start(self: Box<Self>, around: Around) -> io::Result<(Box<dyn Carrier>, Box<dyn Answering>)>;
}

/// What a further front works with.
pub struct Around {
    /// The settings.
    pub settings: Settings,
    /// Their names.
    pub names: Names,
    /// The clock that the module goes by.
    pub clock: Clock,
    /// The counters.
    pub book: Arc<Book>,
    /// The way to the decision thread.
    pub notes: Sender<Note>,
}

/// Two fronts on one decision thread: requests on sockets of ours, and those that another proxy carries.
struct Both<T, U: ?Sized> {
    own: T,
    asked: Option<Box<U>>,
}

impl Carrier for Both<Pools, dyn Carrier> {
    fn begin(&mut self, order: Order) -> Option<Arc<dyn Out>> {
        match order.open.socket {
            Some(_) => self.own.begin(order),
            None => self.asked.as_mut()?.begin(order),
        }
    }
    fn fleet(&mut self, form: FleetUpdateKind, entries: &[(NodeEntry, SocketAddr)]) {
        self.own.fleet(form, entries);
        self.asked.iter_mut().for_each(|asked| asked.fleet(form, entries));
    }
    fn sweep(&mut self) {
        self.own.sweep();
        self.asked.iter_mut().for_each(|asked| asked.sweep());
    }
    fn report(&self) -> String {
        let asked = self.asked.as_ref().map(|asked| format!(", {}", asked.report()));
        format!("{}{}", self.own.report(), asked.unwrap_or_default())
    }
}

impl Answering for Both<Relays, dyn Answering> {
    fn hand(&self, open: Arc<Open>, word: Word) -> bool {
        match (&open.socket, &self.asked) {
            (None, Some(asked)) => asked.hand(open, word),
            _ => self.own.hand(open, word),
        }
    }
}

/// What a marshal joins as it starts, where its operators want that.
#[derive(Default)]
pub struct Extras {
    /// A group of instances that judge as one.
    pub group: Option<Box<dyn Joining>>,
    /// A gate that permits editions.
    pub gate: Option<Box<dyn Gating>>,
    /// A further front.
    pub front: Option<Box<dyn Fronting>>,
}

/// A marshal that runs.
pub struct Server {
    /// Where it listens.
    pub listen: SocketAddr,
    intake: Arc<Intake>,
    reload: Reload,
    discovery: Arc<Place>,
    platform: Arc<Place>,
    notes: Sender<Note>,
    limits: Limits,
    /// Kept so that discovery's thread ends with the marshal.
    _asks: Sender<Ask>,
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
        Server::start_in(config, limits, Extras::default())
    }

    /// Starts a marshal that joins what its operators want.
    pub fn start_in(mut config: Config, limits: Limits, extras: Extras) -> io::Result<Server> {
        let Extras { group, gate, front } = extras;
        gate.iter().for_each(|gate| gate.settings(&mut config.settings));
        front.iter().for_each(|front| front.settings(&mut config.settings));
        group.iter().for_each(|group| group.settings(&mut config.settings));
        let listener = TcpListener::bind(config.listen)?;
        let listen = listener.local_addr()?;
        let buffers = Buffers::new(limits.buffer, limits.spare_buffers);
        let book = Arc::new(Book::default());
        let (notes, inbox) = bounded(limits.notes);
        let (ballots, votes) = bounded(limits.votes);
        let (asks, asked) = bounded(limits.votes);
        let stopping = Arc::new(AtomicBool::new(false));

        let senders = Arc::new(Senders::new(&limits, &buffers, &book, notes.clone()));
        let pools = Pools::new(senders)?;
        let relays = Relays::new(&limits)?;

        let discovery = Arc::new(Place::new(config.discovery));
        let platform = Arc::new(Place::new(config.platform));
        let (casts, group): (Box<dyn Voting>, Option<Box<dyn Grouping>>) = match group {
            None => (Box::new(ballots), None),
            Some(group) => {
                let (casts, told) = group.join(&config.settings, notes.clone(), ballots, platform.clone())?;
                (casts, Some(told))
            }
        };
        let gate = gate.map(|gate| gate.join(&config.names.zones, &config.names.tenants, notes.clone()));
        let mut names = config.names.clone();
        let (known, _) = discovery::entries(&config.known, &mut names); // what can be read; the rest is asked for
        let clock = Clock::default();
        let front = front.map(|front| {
            let (settings, names) = (config.settings.clone(), config.names.clone());
            front.start(Around { settings, names, clock, book: book.clone(), notes: notes.clone() })
        });
        let (carrier, answers) = front.transpose()?.unzip();
        let tools = Tools {
            settings: config.settings.clone(),
            seed: config.seed,
            limits: limits.clone(),
            clock,
            book: book.clone(),
            carrier: Box::new(Both { own: pools, asked: carrier }),
            answers: Box::new(Both { own: relays, asked: answers }),
            votes: casts,
            lists: Box::new(asks.clone()),
            group,
            watcher: gate.transpose()?,
        };
        let (sign, began) = bounded(1);
        let news = config.news.clone();
        start("route", limits.route_stack, move || {
            let route = Route::new(tools, known, news);
            let _ = sign.send(()); // the starter waits for it
            route.run(&inbox);
        })?;
        let _ = began.recv(); // the module holds the list and the news before any request

        let reload = Reload::new(&config, &discovery, &platform);
        let reader = Arc::new(Platform::new(&platform, &limits, &config.names, notes.clone()));
        let writer = reader.clone();
        start("platform-read", limits.stack, move || reader.read())?;
        start("platform-write", limits.stack, move || writer.write(&votes))?;
        let watch = Watch {
            caller: Caller::new(&discovery, &limits),
            names,
            version: config.known.version,
            asked: config.settings.subscribe_to_discovery,
        };
        let told = notes.clone();
        start("discovery", limits.stack, move || watch.run(&asked, &told))?;

        let gate = Gate { settings: config.settings, names: config.names, limits: limits.clone(), buffers };
        let intake = Arc::new(Intake {
            gate,
            clients: Clients::default(),
            notes: notes.clone(),
            book,
            ready: AtomicBool::new(true),
            stopping,
            closed: AtomicBool::new(false),
            thinning: AtomicBool::new(false),
        });
        let shared = intake.clone();
        let most = limits.clients + limits.spare_clients;
        let crew = Crew::new("client", limits.crew(most, most), move |(number, client)| {
            intake::attend(&shared, number, &client);
        })?;
        let shared = intake.clone();
        start("accept", limits.stack, move || intake::accept(&shared, &listener, &crew))?;
        log::info!("{} listens at {listen}", config.name);
        Ok(Server { listen, intake, reload, discovery, platform, notes, limits, _asks: asks })
    }

    /// The counters.
    pub fn book(&self) -> &Book {
        &self.intake.book
    }

    /// Connections of clients.
    pub fn clients(&self) -> usize {
        self.intake.clients.len()
    }

    /// Ends the marshal: no more readiness at once; new connections for the stated time; each further answer
    /// closes its connection; then what is held is finished. True if all of it was.
    pub fn stop(self) -> bool {
        self.intake.stopping.store(true, SeqCst);
        std::thread::sleep(self.limits.accept_after_stop);
        self.intake.closed.store(true, SeqCst);
        drop(TcpStream::connect_timeout(&self.listen, Duration::from_millis(100))); // wakes the one who accepts
        self.intake.clients.part_idle();
        let until = Instant::now() + self.limits.finish;
        while self.intake.clients.busy() > 0 && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
            self.intake.clients.part_idle();
        }
        // Those that were told of the end by a close may still take what was written.
        let until = Instant::now() + self.limits.linger;
        while !self.intake.clients.is_empty() && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
        }
        let finished = self.intake.clients.busy() == 0;
        self.platform.end();
        self.discovery.end();
        let _ = self.notes.send(Note::Stop); // it may have ended before
        log::info!("stopped: {}", self.intake.book);
        finished
    }

    /// Takes on what may change while it runs, from a configuration read anew.
    pub fn reload(&self, read: Result<Config, String>) {
        self.reload.take(read);
    }

    /// Serves until the sign to stop, then ends the marshal; at a hang-up the configuration is read again. One that
    /// comes while it stops is heard by nobody, and ends nothing.
    pub fn serve(self, mut signs: Signs, again: impl Fn() -> Result<Config, String>) -> bool {
        for sign in signs.0.forever() {
            if sign != SIGHUP {
                log::info!("signal {sign}");
                break;
            }
            self.reload(again());
        }
        self.stop()
    }
}
