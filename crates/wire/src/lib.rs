//! What the system's processes say to each other over TCP, on the first of the internal ports of a core machine. A
//! connection begins with a [`Greeting`]; a core machine then sends [`PeerMessage`]s one way, an edge [`Up`]s and gets [`Down`]s.

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

/// Bytes of a frame: a state with such a configuration and some thousand marshals.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// How a connection begins.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Greeting {
    /// A machine of the core.
    Core(MemberId),
    /// An edge, and the last entry that it has folded.
    Edge(EdgeStatus, u64),
}

/// Between machines of the core.
#[allow(missing_docs)] // each variant's line says what its fields are
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The agreement's.
    Consensus(Message),
    /// Marshals and edges heard of, with the milliseconds since; edges in whole where something about them is new, else by
    /// number.
    Gossip { nodes: Vec<String>, edges: Vec<(EdgeStatus, u64)>, heartbeats: Vec<EdgeHeartbeat> },
    /// To the leader, for one who called here.
    Call { call: CallId, request: CoreRequest },
    /// The leader's answer.
    Reply { call: CallId, answer: Answer },
    /// One that isn't a member would be.
    Join,
    /// What an edge told of the trials under way: its number and life.
    Reports { edge: u32, incarnation: u64, reports: Vec<TrialReport> },
    /// What a machine found of an edge that it tells, in this life and zone of it.
    Drift { edge: u32, incarnation: u64, zone: String, finding: Finding },
    /// The digest of what the entries up to this one make.
    ViewDigest(u64, Digest),
    /// What the edges of this machine met at hosts since it told last, by edge, each with the milliseconds since.
    Observed(Vec<(u32, u64, Vec<HostObservation>)>),
}

/// A call among core machines, as its answer names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallId {
    /// The life of the caller's process: drawn at its start.
    pub incarnation: u64,
    /// The call's number in that life.
    pub number: u64,
}

/// What a member passes on to the leader.
#[allow(missing_docs)] // each variant's line says what its fields are
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CoreRequest {
    /// A beat that changes something.
    Beat { id: String, beat: Beat },
    /// A marshal's leave.
    Leave { id: String },
    /// A configuration, packed.
    Configure(Command),
    /// A roll-out. `seen`: the last entry that was known where the call came, when it came; a later one about this service voids
    /// the call.
    RollOut { seen: u64, service: String, revision: String, period_ms: u64 },
    /// A zone to be emptied or taken back. `order`: drawn for each call of an operator, the same however often it is passed on;
    /// `seen` as for a roll-out.
    Evacuate { order: u64, seen: u64, zone: String, on: bool },
    /// How far is the log, for certain?
    ReadIndex,
    /// This machine is to stop: may it?
    RequestStop { id: MemberId },
}

/// How it ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// It holds, as of this entry.
    Done(u64),
    /// It was refused: the status and the reason.
    Refused(u16, String),
    /// Nobody can say: it may hold now, or later, or never.
    Unknown,
    /// It was not taken, and never will be: no leader was there to take it.
    NotAccepted,
    /// It was not taken, and never will be: it was held up, and a later order stands.
    Superseded,
}

impl Answer {
    /// Whether it is certain that nothing was taken, and that nothing will be.
    pub fn not_applied(&self) -> bool {
        matches!(self, Answer::NotAccepted | Answer::Superseded)
    }
}

/// From an edge.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromEdge {
    /// It lives.
    Report(Box<EdgeReport>),
    /// What it routes by, thing by thing, as it was asked for.
    LeafHashes(LeafHashes),
}

/// What an edge says of itself with a beat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EdgeReport {
    /// Who it is.
    pub edge: EdgeStatus,
    /// The last entry that it has folded.
    pub index: u64,
    /// What it sees of the trials under way.
    pub reports: Vec<TrialReport>,
    /// What it met at hosts.
    pub observed: Vec<HostObservation>,
    /// What it routes by, about once a second.
    pub table_digest: Option<TableDigest>,
    /// A decision of its own, now and then.
    pub sample: Option<Sample>,
}

/// To an edge.
#[allow(missing_docs)] // each variant's line says what its fields are
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToEdge {
    /// The whole state, packed against nothing.
    Snapshot(Vec<u8>),
    /// The whole state in place of the one it has, to make all tables anew.
    Rebuild(Vec<u8>),
    /// Another step to bring it back.
    Repair(Step),
    /// What does it route by, thing by thing?
    LeafHashes,
    /// Entries in order, each with its index.
    Entries(Vec<(u64, Vec<u8>)>),
    /// The core lives. `leader_contact`: it hears its leader; `cores`: all machines of the core; `edges`: how many take traffic;
    /// `loads`: of hosts, as far as they are new.
    Heartbeat { leader_contact: bool, index: u64, cores: Vec<MemberId>, edges: u32, loads: Vec<(u32, u16)> },
}

/// The internal address of a core machine.
pub fn internal_address(id: MemberId, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from_bits(id), port)
}

/// A connection that notices a peer that says nothing: unacknowledged bytes end it after `patience`.
pub async fn connect(to: SocketAddrV4, patience: Duration) -> Result<TcpStream, Error> {
    let stream =
        tokio::time::timeout(patience, TcpStream::connect(to)).await.map_err(|_| ErrorKind::TimedOut)??;
    configure_stream(&stream, patience)?;
    Ok(stream)
}

/// Sets what every connection of the system has: no delay, and an end when a peer says nothing.
pub fn configure_stream(stream: &TcpStream, patience: Duration) -> Result<(), Error> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    // Also while nothing is on its way: a peer without power is noticed by whoever waits for its answer.
    let probes =
        socket2::TcpKeepalive::new().with_time(Duration::from_secs(1)).with_interval(Duration::from_secs(1));
    socket.set_tcp_keepalive(&probes)?;
    set_unacknowledged_timeout(stream, patience)
}

/// Ends a connection whose sent bytes its peer has not acknowledged for so long. The time in which a live peer's window is
/// closed, since it does not read, counts as well.
pub fn set_unacknowledged_timeout(stream: &TcpStream, bound: Duration) -> Result<(), Error> {
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(bound))
}

/// Serves a process's metrics on the machine's own address. Where the port can't be had, the process goes on without them.
pub async fn serve_metrics(own: MemberId, endpoint: Endpoint, text: impl Fn() -> String + 'static) {
    match TcpListener::bind(internal_address(own, endpoint.port)).await {
        Ok(listener) => milletwing_metrics::serve(listener, endpoint.path, text).await,
        Err(problem) => event!(MetricsUnavailable, "{endpoint}: {problem}"),
    }
}

/// A message as a frame: its length in four bytes, then the message.
pub fn encode_frame<T: Serialize>(message: &T) -> Vec<u8> {
    let mut out = postcard::to_extend(message, vec![0; 4]).unwrap_or_default(); // plain values can't fail
    let length = (out.len().saturating_sub(4)) as u32;
    if let Some(head) = out.get_mut(..4) {
        head.copy_from_slice(&length.to_be_bytes());
    }
    out
}

/// Reads a frame. Not to be given up half way. Errors: the connection's, or `InvalidData`.
pub async fn read_frame<T: DeserializeOwned>(from: &mut (impl AsyncRead + Unpin)) -> Result<T, Error> {
    let length = from.read_u32().await? as usize;
    if length > MAX_FRAME_BYTES {
        return Err(ErrorKind::InvalidData.into());
    }
    let mut bytes = Vec::new();
    // Grows as bytes come: a length alone reserves nothing.
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

/// Looks at the settings file once a second, and hands it over whenever it has changed, with a signal or without one. One
/// that is missing or can't be read changes nothing.
pub async fn watch_settings(path: PathBuf, mut take: impl FnMut(Settings)) {
    let mut before = std::fs::read_to_string(&path).ok();
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let text = std::fs::read_to_string(&path).ok();
        if text == before {
            continue;
        }
        match text.as_deref().map(Settings::parse) {
            Some(Ok(settings)) => {
                take(settings);
                event!(SettingsRead, "{}", path.display());
            }
            Some(Err(problem)) => event!(BadSettings, "{}: {problem}; the earlier ones stay", path.display()),
            None => event!(BadSettings, "{}: it can't be read; the earlier ones stay", path.display()),
        }
        before = text;
    }
}
