//! All sizes, counts and durations of a marshal, computed once at start.

use crate::worker_pool::PoolOptions;
use milletwing_profile::TransportSettings;
use std::time::Duration;

/// The limits of one marshal.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Longest head of a message.
    pub max_head_bytes: usize,
    /// Longest body of a request; a node's response with a longer body is streamed to the client.
    pub max_body_bytes: usize,
    /// Longest body of a node's response.
    pub max_response_bytes: usize,
    /// Longest node list from discovery.
    pub max_list_bytes: usize,
    /// Size of every buffer: a head, a body and its framing.
    pub buffer_bytes: usize,
    /// Buffers kept for reuse.
    pub max_pooled_buffers: usize,
    /// Longest id of a request.
    pub max_request_id_bytes: usize,
    /// Longest line from the platform.
    pub max_platform_line_bytes: usize,
    /// Client connections held at once.
    pub max_clients: usize,
    /// Number of client connections from which on idle ones are closed.
    pub idle_eviction_threshold: usize,
    /// How long a connection must have been idle to be closed for that reason.
    pub idle_eviction_age: Duration,
    /// Interval of the search for such connections.
    pub idle_eviction_interval: Duration,
    /// Client connections accepted above `max_clients`, whose requests are refused.
    pub max_excess_clients: usize,
    /// Connections to nodes held at once; also the most attempts in progress at once.
    pub max_node_connections: usize,
    /// Idle connections kept to one node.
    pub max_idle_per_node: usize,
    /// Most threads that write the marshal's own responses.
    pub max_response_writers: usize,
    /// A worker thread that gets no job for this long exits, unless it is the last of its pool.
    pub worker_idle_timeout: Duration,
    /// Inputs that may wait for the decision thread.
    pub decision_queue_capacity: usize,
    /// Votes that may wait for the platform's connection, and requests that may wait for discovery.
    pub vote_queue_capacity: usize,
    /// Stack of a thread.
    pub thread_stack_bytes: usize,
    /// Stack of the decision thread, which also holds the module.
    pub decision_stack_bytes: usize,
    /// Timeout for connecting to a node, to discovery or to the platform.
    pub connect_timeout: Duration,
    /// A client connection on which no request begins for this long is closed.
    pub client_idle_timeout: Duration,
    /// Timeout for the first whole request, from the time of connecting.
    pub first_request_timeout: Duration,
    /// A connection that has sent part of its first request is not closed for others before this time.
    pub partial_request_grace: Duration,
    /// Timeout for the whole request, from its first byte.
    pub client_read_timeout: Duration,
    /// A client that doesn't read its response within this time is disconnected.
    pub client_write_timeout: Duration,
    /// How long a client may take to close its side after a response that ends the connection.
    pub linger_timeout: Duration,
    /// Bytes that are read and discarded meanwhile.
    pub max_linger_bytes: usize,
    /// Timeout for writing to a node, to discovery or to the platform.
    pub node_write_timeout: Duration,
    /// Idle connections that an attempt tries before it makes a new one.
    pub max_reuse_attempts: usize,
    /// How long the last byte of a request is delayed, where it is: longer than a round trip to a node.
    pub last_byte_delay: Duration,
    /// If more than this share of reused connections (per mille) break before any response, the last byte of every
    /// request is delayed.
    pub max_broken_per_mille: usize,
    /// If more than this share (per mille) of the connections that were idle for some time break before any response,
    /// none is kept idle for that long.
    pub max_stale_per_mille: usize,
    /// Interim responses (1xx) that are read before a node's final response.
    pub max_interim_responses: usize,
    /// A connection to a node that was used more recently than this is reused only if no other is idle.
    pub node_quiet_time: Duration,
    /// An idle connection to a node is not reused after this time.
    pub node_idle_timeout: Duration,
    /// Longest waiting time that a client may ask for.
    pub max_client_wait: Duration,
    /// A request without a response this long after its client's deadline is failed.
    pub response_overdue_after: Duration,
    /// How long one call to discovery may wait for changes.
    pub watch_wait: Duration,
    /// How much longer than that the response may take.
    pub watch_margin: Duration,
    /// Timeout for the rest of a response from discovery, or of a line from the platform, from its first byte.
    pub partial_response_timeout: Duration,
    /// First delay before discovery or the platform is tried again.
    pub first_retry_delay: Duration,
    /// Longest such delay.
    pub max_retry_delay: Duration,
    /// Longest time without any data on the platform's subscribed connection.
    pub platform_silence_timeout: Duration,
    /// How long new connections are accepted after the signal to stop.
    pub stop_accept_period: Duration,
    /// Longest time after that for completing the requests in progress.
    pub finish_timeout: Duration,
    /// Pause of accepting when no file descriptor is left.
    pub accept_pause: Duration,
    /// Interval of the search for idle connections to nodes.
    pub sweep_interval: Duration,
    /// Interval of the log line with the counters.
    pub report_interval: Duration,
}

/// The resources that the platform grants a marshal.
#[derive(Clone, Copy, Debug)]
pub struct Grant {
    /// Memory, in MiB.
    pub memory_mb: u64,
    /// File descriptors.
    pub sockets: usize,
}

fn to_duration(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1000.0)
}

impl Limits {
    /// The options of a pool with at most `max_threads` threads and `queue_capacity` waiting jobs.
    pub fn pool_options(&self, max_threads: usize, queue_capacity: usize) -> PoolOptions {
        PoolOptions {
            max_threads,
            queue_capacity,
            stack_bytes: self.thread_stack_bytes,
            idle_timeout: self.worker_idle_timeout,
        }
    }

    /// The limits that follow from a grant and the settings.
    pub fn new(grant: Grant, transport: &TransportSettings) -> Limits {
        // Files, the listener, discovery and the platform; and as many for connections above the limit.
        let reserved = 64.min(grant.sockets / 4);
        let available = grant.sockets - reserved;
        // A request in progress takes a thread on either side and two buffers: at most about 160 KiB.
        let by_memory = (grant.memory_mb as usize * 1024 / 2 / 160).max(16);
        let max_node_connections = (available * 2 / 5).min(by_memory).max(2);
        let max_clients = (available - available * 2 / 5).min(by_memory * 3 / 2).max(2);
        let (max_head_bytes, max_body_bytes) = (16 << 10, 64 << 10);
        Limits {
            max_head_bytes,
            max_body_bytes,
            max_response_bytes: 16 << 20,
            max_list_bytes: 1 << 20,
            // Above the allocator's threshold for a separate memory mapping, so that only pages that are written take
            // memory.
            buffer_bytes: (max_head_bytes + max_body_bytes + (60 << 10)).next_multiple_of(4 << 10),
            max_pooled_buffers: max_clients + max_node_connections,
            max_request_id_bytes: 128,
            max_platform_line_bytes: 8 << 10,
            max_clients,
            // The clients together hold at most a third of the descriptors: half of that is left for new connections.
            idle_eviction_threshold: (grant.sockets / 6).min(max_clients),
            idle_eviction_age: Duration::from_millis(100),
            idle_eviction_interval: Duration::from_millis(25),
            max_excess_clients: reserved / 2,
            max_node_connections,
            max_idle_per_node: max_node_connections,
            max_response_writers: 16,
            worker_idle_timeout: Duration::from_millis(500),
            decision_queue_capacity: 4096,
            vote_queue_capacity: 64,
            thread_stack_bytes: 96 << 10,
            decision_stack_bytes: 1 << 20,
            connect_timeout: to_duration(transport.connect_timeout.0),
            // The site allows the marshal to close a client connection after 2 s without an open request. This timeout
            // guards against clients that send one request and keep the connection: they hold what other clients could
            // use.
            client_idle_timeout: Duration::from_millis(2100),
            first_request_timeout: Duration::from_millis(2000),
            partial_request_grace: Duration::from_millis(200),
            client_read_timeout: Duration::from_millis(2500),
            client_write_timeout: Duration::from_secs(1),
            linger_timeout: Duration::from_millis(300),
            max_linger_bytes: 256 << 10,
            node_write_timeout: Duration::from_secs(1),
            max_reuse_attempts: 2,
            last_byte_delay: Duration::from_millis(1),
            max_broken_per_mille: 20,
            max_stale_per_mille: 150,
            max_interim_responses: 16,
            node_quiet_time: Duration::from_millis(2),
            node_idle_timeout: to_duration(transport.idle_timeout.0 * 0.8),
            max_client_wait: Duration::from_secs(300),
            response_overdue_after: to_duration(transport.late_answer_grace.0 + 30.0),
            watch_wait: Duration::from_secs(2),
            watch_margin: Duration::from_millis(500),
            partial_response_timeout: Duration::from_millis(300),
            first_retry_delay: Duration::from_millis(20),
            // A watch continues only if the next call comes within 200 ms of the last response.
            max_retry_delay: Duration::from_millis(160),
            platform_silence_timeout: Duration::from_millis(3200),
            stop_accept_period: Duration::from_millis(600),
            finish_timeout: Duration::from_secs(20),
            accept_pause: Duration::from_millis(5),
            sweep_interval: Duration::from_secs(1),
            report_interval: Duration::from_secs(10),
        }
    }
}
