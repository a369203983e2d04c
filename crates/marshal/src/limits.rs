//! Every size, count and time of the marshal, filled once at start and handed down.

use crate::crew::Size;
use milletwing_profile::TransportSettings;
use std::time::Duration;

/// The limits of one marshal.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Longest head of a message.
    pub head: usize,
    /// Longest body of a message.
    pub body: usize,
    /// Longest answer of a node: above `body` it is passed on as it comes.
    pub answer: usize,
    /// Longest list of discovery.
    pub list: usize,
    /// Size of every buffer: a head, a body and what frames it.
    pub buffer: usize,
    /// Buffers kept for use again.
    pub spare_buffers: usize,
    /// Longest id of a request.
    pub id: usize,
    /// Longest line of the platform.
    pub line: usize,
    /// Connections of clients held at once.
    pub clients: usize,
    /// Connections of clients from which on idle ones are ended.
    pub crowd: usize,
    /// How long one must have stood idle for that.
    pub crowd_idle: Duration,
    /// Time between looks for such ones.
    pub crowd_look: Duration,
    /// Connections of clients above that, whose requests are turned away.
    pub spare_clients: usize,
    /// Connections to nodes held at once; also attempts out at once.
    pub node_connections: usize,
    /// Idle connections kept to one node.
    pub idle_per_node: usize,
    /// Threads that write answers that no node made, at most.
    pub relays: usize,
    /// A thread that finds no work for this long goes, but for the last of its crew.
    pub rest: Duration,
    /// Notes that may wait for the decision thread.
    pub notes: usize,
    /// Votes that may wait for the platform's connection.
    pub votes: usize,
    /// Stack of a thread.
    pub stack: usize,
    /// Stack of the decision thread, which also holds the module.
    pub route_stack: usize,
    /// A connection that is not up by then never comes up.
    pub connect: Duration,
    /// A connection of a client on which no request begins for this long is closed.
    pub client_idle: Duration,
    /// From connecting, time for the first whole request to come.
    pub client_first: Duration,
    /// Who has begun a first request stays for this long before giving way to others.
    pub first_bytes: Duration,
    /// From a request's first byte, time for all of it to come.
    pub client_read: Duration,
    /// An answer that a client doesn't take within this ends its connection.
    pub client_write: Duration,
    /// After an answer that closes, how long a client may take to close its side.
    pub linger: Duration,
    /// Bytes that are read meanwhile.
    pub linger_bytes: usize,
    /// A request that doesn't leave within this ends the attempt's connection.
    pub node_write: Duration,
    /// Kept connections that an attempt tries before it makes a new one.
    pub kept_tries: usize,
    /// How long the last byte of a request is held, where it is: longer than a round trip to a node.
    pub hold_last: Duration,
    /// Share, in thousandths, of kept connections that break before any answer, above which every request's is.
    pub broken_share: usize,
    /// Share, in thousandths, of connections kept for as long that break before any answer, above which none is kept
    /// for so long.
    pub worn_share: usize,
    /// Interim answers of a node that are read before its answer.
    pub interim: usize,
    /// A connection to a node that was used this lately is used again only where no other stands idle.
    pub node_quiet: Duration,
    /// An idle connection to a node is not used after this.
    pub node_idle: Duration,
    /// Longest time that a client may ask us to wait.
    pub longest_wait: Duration,
    /// After a client's deadline, the book fails what is still unanswered.
    pub overdue: Duration,
    /// How long one call to discovery may wait for news.
    pub watch: Duration,
    /// How long past that wait its answer may take.
    pub watch_margin: Duration,
    /// From the first byte of an answer of discovery, or of a line of the platform, time for the rest of it.
    pub rest_of_answer: Duration,
    /// First and longest pause before asking discovery or the platform anew.
    pub retry_first: Duration,
    /// The longest such pause.
    pub retry_longest: Duration,
    /// Longest silence of the platform on a connection that asked to be told.
    pub platform_silence: Duration,
    /// After the sign to stop, how long new connections are taken.
    pub accept_after_stop: Duration,
    /// Longest time for finishing what is held after that.
    pub finish: Duration,
    /// Pause of accepting when no descriptor is left.
    pub accept_pause: Duration,
    /// Time between looks at what stands idle.
    pub sweep: Duration,
    /// Time between lines of counters in the log.
    pub report: Duration,
}

/// What the platform grants a marshal.
#[derive(Clone, Copy, Debug)]
pub struct Grant {
    /// Memory, in MiB.
    pub memory_mb: u64,
    /// Descriptors.
    pub sockets: usize,
}

fn span(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1000.0)
}

impl Limits {
    /// A crew of at most so many threads, and so many pieces of work that wait.
    pub fn crew(&self, most: usize, waiting: usize) -> Size {
        Size { most, waiting, stack: self.stack, rest: self.rest }
    }

    /// The limits under a grant and the settings.
    pub fn new(grant: Grant, transport: &TransportSettings) -> Limits {
        // Files, the listener, discovery and the platform; and as many for connections above the limit.
        let rest = 64.min(grant.sockets / 4);
        let open = grant.sockets - rest;
        // A request in the works takes a thread on either side and two buffers: at most about 160 KiB.
        let by_memory = (grant.memory_mb as usize * 1024 / 2 / 160).max(16);
        let node_connections = (open * 2 / 5).min(by_memory).max(2);
        let clients = (open - open * 2 / 5).min(by_memory * 3 / 2).max(2);
        let (head, body) = (16 << 10, 64 << 10);
        Limits {
            head,
            body,
            answer: 16 << 20,
            list: 1 << 20,
            // Above the allocator's bar for pages of their own, so that only what is written takes memory.
            buffer: (head + body + (60 << 10)).next_multiple_of(4 << 10),
            spare_buffers: clients + node_connections,
            id: 128,
            line: 8 << 10,
            clients,
            // Clients hold at most a third of the descriptors: half of it is left for new connections.
            crowd: (grant.sockets / 6).min(clients),
            crowd_idle: Duration::from_millis(100),
            crowd_look: Duration::from_millis(25),
            spare_clients: rest / 2,
            node_connections,
            idle_per_node: node_connections,
            relays: 16,
            rest: Duration::from_millis(500),
            notes: 4096,
            votes: 64,
            stack: 96 << 10,
            route_stack: 1 << 20,
            connect: span(transport.connect_timeout.0),
            // The users' page lets a connection go after 2 s. Guards against clients that ask once and stay: they
            // hold what other clients may have.
            client_idle: Duration::from_millis(2100),
            client_first: Duration::from_millis(2000),
            first_bytes: Duration::from_millis(200),
            client_read: Duration::from_millis(2500),
            client_write: Duration::from_secs(1),
            linger: Duration::from_millis(300),
            linger_bytes: 256 << 10,
            node_write: Duration::from_secs(1),
            kept_tries: 2,
            hold_last: Duration::from_millis(1),
            broken_share: 20,
            worn_share: 150,
            interim: 16,
            node_quiet: Duration::from_millis(2),
            node_idle: span(transport.idle_timeout.0 * 0.8),
            longest_wait: Duration::from_secs(300),
            overdue: span(transport.late_answer_grace.0 + 30.0),
            watch: Duration::from_secs(2),
            watch_margin: Duration::from_millis(500),
            rest_of_answer: Duration::from_millis(300),
            retry_first: Duration::from_millis(20),
            // A watch goes on only if the next call comes within 200 ms of the last answer.
            retry_longest: Duration::from_millis(160),
            platform_silence: Duration::from_millis(3200),
            accept_after_stop: Duration::from_millis(600),
            finish: Duration::from_secs(20),
            accept_pause: Duration::from_millis(5),
            sweep: Duration::from_secs(1),
            report: Duration::from_secs(10),
        }
    }
}
