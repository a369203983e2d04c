//! The internal protocol between core machines and edges, over TCP to the first internal port of a core machine.
//!
//! A connection starts with a [`Greeting`]. A core machine then sends [`PeerMessage`]s, in one direction only; an edge sends
//! [`FromEdge`] messages and receives [`ToEdge`] messages. Each message is a frame: its length in four bytes, followed by
//! its `postcard` encoding.

use milletwing_config::{event, Settings};
use milletwing_consensus::{MemberId, Message};
use milletwing_drift_detection::{Digest, Finding, LeafHashes, Sample, Step, TableDigest};
use milletwing_metrics::Endpoint;
use milletwing_outlier_detection::HostObservation;
use milletwing_replicated_state::{Beat, Command, EdgeHeartbeat, EdgeStatus};
use milletwing_sequential_test::TrialReport;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::io::{Error, ErrorKind};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The largest frame in bytes. It holds a state with the largest configuration and several thousand marshals.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// The first message on a connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Greeting {
    /// The sender is the core machine with this id.
    Core(MemberId),
    /// The sender is an edge, which has applied the log up to this entry.
    Edge(EdgeStatus, u64),
}

/// A message between core machines.
#[allow(missing_docs)] // the doc comment of each variant explains its fields
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A message of the consensus protocol.
    Consensus(Message),
    /// Marshals and edges that the sender has heard recently. An edge that has changed is sent with its full status and the
    /// milliseconds since it was heard, any other as a heartbeat.
    Gossip { nodes: Vec<String>, edges: Vec<(EdgeStatus, u64)>, heartbeats: Vec<EdgeHeartbeat> },
    /// A request that the sender forwards to the leader.
    Call { call: CallId, request: CoreRequest },
    /// The leader's answer to a forwarded request.
    Reply { call: CallId, answer: Answer },
    /// The sender is not a member and asks to become one.
    Join,
    /// What an edge observed of the active trials.
    Reports { edge: u32, incarnation: u64, reports: Vec<TrialReport> },
    /// The result of a drift check of an edge that is connected to the sender.
    Drift { edge: u32, incarnation: u64, zone: String, finding: Finding },
    /// The digest of the routing state as of a log entry.
    ViewDigest(u64, Digest),
    /// What the edges that are connected to the sender observed of marshals since its last message: the id of each edge, the
    /// milliseconds since its report, and its observations.
    Observed(Vec<(u32, u64, Vec<HostObservation>)>),
}

/// Identifies a request between core machines, so that its answer can be matched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallId {
    /// The incarnation of the calling process: a number drawn at its start.
    pub incarnation: u64,
    /// The number of the request within that incarnation.
    pub number: u64,
}

/// A request that is decided by the leader.
#[allow(missing_docs)] // the doc comment of each variant explains its fields
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CoreRequest {
    /// A heartbeat of a marshal that changes the state.
    Beat { id: String, beat: Beat },
    /// The deregistration of a marshal.
    Leave { id: String },
    /// A new configuration, as a [`Command::Configure`].
    Configure(Command),
    /// Starts a roll-out. `basis` is the last entry that the caller knew of, as a core machine had told it. A later
    /// entry about the same service makes the call void.
    RollOut { basis: u64, service: String, revision: String, period_ms: u64 },
    /// Evacuates a zone or ends its evacuation. `order` is drawn for each call of an operator and remains the same when the
    /// call is forwarded again. `basis` has the same meaning as for a roll-out.
    Evacuate { order: u64, basis: u64, zone: String, on: bool },
    /// Asks for an index that covers all entries committed so far, for a linearizable read.
    ReadIndex,
    /// Asks for permission to stop this core machine.
    RequestStop { id: MemberId },
}

/// The result of a [`CoreRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The request is in effect as of this entry.
    Done(u64),
    /// The request was refused, with an HTTP status and a reason.
    Refused(u16, String),
    /// The outcome is unknown: the request may be in effect now, later or never.
    Unknown,
    /// The request has not been accepted and never will be, because there was no leader.
    NotAccepted,
    /// The request has not been accepted and never will be: it was delayed, and a later order is in effect.
    Superseded,
}

impl std::fmt::Display for Answer {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Answer::Done(index) => write!(formatter, "in effect as of entry {index}"),
            Answer::Refused(status, reason) => write!(formatter, "refused with {status}: {reason}"),
            Answer::Unknown => formatter.write_str("outcome unknown"),
            Answer::NotAccepted => formatter.write_str("not accepted"),
            Answer::Superseded => formatter.write_str("superseded by a later order"),
        }
    }
}

impl Answer {
    /// Whether it is certain that the request has had no effect and never will.
    pub fn not_applied(&self) -> bool {
        matches!(self, Answer::NotAccepted | Answer::Superseded)
    }
}

/// A message from an edge.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromEdge {
    /// A heartbeat with a report.
    Report(Box<EdgeReport>),
    /// The hash of each item in its routing state, sent on request.
    LeafHashes(LeafHashes),
}

/// The report in a heartbeat of an edge.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EdgeReport {
    /// The status of the edge.
    pub edge: EdgeStatus,
    /// The last log entry that it has applied.
    pub index: u64,
    /// What it observed of the active trials.
    pub reports: Vec<TrialReport>,
    /// What it observed of marshals.
    pub observed: Vec<HostObservation>,
    /// The digest of its routing state, about once per second.
    pub table_digest: Option<TableDigest>,
    /// An occasional sample of its routing decisions.
    pub sample: Option<Sample>,
}

/// A message to an edge.
#[allow(missing_docs)] // the doc comment of each variant explains its fields
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToEdge {
    /// The whole state, compressed without a reference.
    Snapshot(Vec<u8>),
    /// The whole state, with which the edge replaces its own and rebuilds all tables.
    Rebuild(Vec<u8>),
    /// Another repair step.
    Repair(Step),
    /// Asks for the hash of each item in its routing state.
    LeafHashes,
    /// Log entries in order, each with its index.
    Entries(Vec<(u64, Vec<u8>)>),
    /// A heartbeat of the core machine. `leader_contact` tells whether it hears its leader, `cores` lists all core machines,
    /// `edges` is the number of edges that accept traffic, and `loads` holds the loads of marshals that have changed.
    Heartbeat { leader_contact: bool, index: u64, cores: Vec<MemberId>, edges: u32, loads: Vec<(u32, u16)> },
}

/// Returns the internal address of a core machine.
pub fn internal_address(id: MemberId, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from_bits(id), port)
}

/// Connects to `to` within `timeout`, and configures the connection with [`configure_stream`].
pub async fn connect(to: SocketAddrV4, timeout: Duration) -> Result<TcpStream, Error> {
    let stream =
        tokio::time::timeout(timeout, TcpStream::connect(to)).await.map_err(|_| ErrorKind::TimedOut)??;
    configure_stream(&stream, timeout)?;
    Ok(stream)
}

/// Sets the options that all connections of the system have: no delay, keep-alive probes, and `timeout` as the limit for
/// unacknowledged bytes.
pub fn configure_stream(stream: &TcpStream, timeout: Duration) -> Result<(), Error> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    // The probes detect a peer that has lost power while no bytes are in flight, for example while waiting for an answer.
    let probes =
        socket2::TcpKeepalive::new().with_time(Duration::from_secs(1)).with_interval(Duration::from_secs(1));
    socket.set_tcp_keepalive(&probes)?;
    set_unacknowledged_timeout(stream, timeout)
}

/// Closes a connection once sent bytes remain unacknowledged for `timeout`. The time during which the window of a live peer is
/// closed, because it does not read, counts as well.
pub fn set_unacknowledged_timeout(stream: &TcpStream, timeout: Duration) -> Result<(), Error> {
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(timeout))
}

/// Serves the metrics of a process on the address of its machine. If the port cannot be bound, the process runs without
/// metrics.
pub async fn serve_metrics(own: MemberId, endpoint: Endpoint, text: impl Fn() -> String + 'static) {
    match TcpListener::bind(internal_address(own, endpoint.port)).await {
        Ok(listener) => milletwing_metrics::serve(listener, endpoint.path, text).await,
        Err(error) => event!(MetricsUnavailable, "{endpoint}: {error}"),
    }
}

/// Encodes a message as a frame: its length in four bytes, followed by the message.
pub fn encode_frame<T: Serialize>(message: &T) -> Vec<u8> {
    let mut out = postcard::to_extend(message, vec![0; 4]).unwrap_or_default(); // encoding plain values into memory cannot fail
    let length = (out.len().saturating_sub(4)) as u32;
    if let Some(head) = out.get_mut(..4) {
        head.copy_from_slice(&length.to_be_bytes());
    }
    out
}

/// Reads a frame. Not cancellation-safe: a dropped future loses the bytes it has read.
///
/// # Errors
///
/// Errors of the connection; `InvalidData` if the frame is too long or is not a message of type `T`.
pub async fn read_frame<T: DeserializeOwned>(from: &mut (impl AsyncRead + Unpin)) -> Result<T, Error> {
    let length = from.read_u32().await? as usize;
    if length > MAX_FRAME_BYTES {
        return Err(ErrorKind::InvalidData.into());
    }
    let mut bytes = Vec::new();
    // The buffer grows as bytes arrive, so that a peer cannot reserve memory by sending a length alone.
    from.take(length as u64).read_to_end(&mut bytes).await?;
    if bytes.len() < length {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    postcard::from_bytes(&bytes).map_err(|_| ErrorKind::InvalidData.into())
}

/// Writes a frame made by [`encode_frame`].
pub async fn write_frame(to: &mut (impl AsyncWrite + Unpin), frame: &[u8]) -> Result<(), Error> {
    to.write_all(frame).await?;
    to.flush().await
}

/// Reads the settings file once per second and calls `apply` with new settings whenever the file has changed. A file that is
/// missing or invalid leaves the current settings in place.
pub async fn watch_settings(path: PathBuf, mut apply: impl FnMut(Settings)) {
    let mut previous = std::fs::read_to_string(&path).ok();
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let text = std::fs::read_to_string(&path).ok();
        if text == previous {
            continue;
        }
        match text.as_deref().map(Settings::parse) {
            Some(Ok(settings)) => {
                apply(settings);
                event!(SettingsRead, "{}", path.display());
            }
            Some(Err(error)) => {
                event!(BadSettings, "{}: {error}; keeping the current settings", path.display())
            }
            None => {
                event!(BadSettings, "{}: cannot read the file; keeping the current settings", path.display())
            }
        }
        previous = text;
    }
}
