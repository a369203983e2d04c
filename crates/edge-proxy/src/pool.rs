//! Connections to marshals: one request at a time on each, the one used last first, none that its marshal may be about
//! to close.

use crate::body::OutgoingBody;
use crate::user_timeout::{AdaptiveTimeoutStream, UnreadTracker};
use ahash::RandomState;
use futures_util::future::LocalBoxFuture;
use hashbrown::HashMap;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use milletwing_routing::Sending;
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::Instant;

/// A marshal's host that acknowledges nothing for so long has no power, or is cut off.
const SILENT_HOST_TIMEOUT: Duration = Duration::from_millis(700);
/// A connection that doesn't come up in this time is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Idle connections are used no longer than this, or than half of what the marshal tells: what is sent on one that was
/// just closed may have run.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// Bytes of the head of a marshal's answer, at most.
const MAX_RESPONSE_HEAD: usize = 32 << 10;

struct IdleConnection {
    sender: SendRequest<OutgoingBody>,
    unread: Rc<UnreadTracker>,
    usable_until: Instant,
}

#[derive(Default)]
struct MarshalConnections {
    idle: Vec<IdleConnection>,
    open_count: Rc<Cell<usize>>,
}

/// What a connection runs on.
pub trait Transport: AsyncRead + AsyncWrite + Unpin {}
impl<S: AsyncRead + AsyncWrite + Unpin> Transport for S {}

/// Makes a connection to an address, or gives up in its time. What its peer may not have read is noted for it.
pub type Connector = Box<
    dyn Fn(SocketAddrV4, Rc<UnreadTracker>) -> LocalBoxFuture<'static, std::io::Result<Box<dyn Transport>>>,
>;

/// All connections, by marshal.
pub struct Pool {
    by_marshal: RefCell<HashMap<u64, MarshalConnections, RandomState>>,
    connect: Connector,
}

/// A connection in use; it goes back to the pool by [`Pool::give_back`], or is closed when dropped.
pub struct Lease {
    pub sender: SendRequest<OutgoingBody>,
    pub marshal: u64,
    /// What the marshal may not have read yet.
    pub unread: Rc<UnreadTracker>,
    /// It has carried a request before.
    pub reused: bool,
}

/// Why there is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcquireError {
    /// None came up.
    ConnectFailed,
    /// As many as this edge may hold are in use.
    AtLimit,
}

/// Connections over TCP.
pub fn tcp_connector() -> Connector {
    Box::new(|address, unread| {
        Box::pin(async move {
            let stream = milletwing_wire::dial(address, CONNECT_TIMEOUT).await?;
            Ok(Box::new(AdaptiveTimeoutStream::new(stream, unread)?) as Box<dyn Transport>)
        })
    })
}

impl Pool {
    /// No connections yet; `connect` makes them.
    pub fn new(connect: Connector) -> Pool {
        Pool { by_marshal: RefCell::default(), connect }
    }

    /// A connection to a marshal. `new_only`: a new one.
    pub async fn acquire(&self, sending: &Sending, new_only: bool) -> Result<Lease, AcquireError> {
        let open_count = {
            let mut by_marshal = self.by_marshal.borrow_mut();
            let connections = by_marshal.entry(sending.marshal).or_default();
            let now = Instant::now();
            while let Some(idle) = connections.idle.pop() {
                if !new_only && now < idle.usable_until && idle.sender.is_ready() {
                    let IdleConnection { sender, unread, .. } = idle;
                    return Ok(Lease { sender, marshal: sending.marshal, unread, reused: true });
                }
            }
            if connections.open_count.get() >= sending.connections {
                return Err(AcquireError::AtLimit);
            }
            connections.open_count.set(connections.open_count.get() + 1);
            Rc::clone(&connections.open_count)
        };
        let open_guard = OpenCount(open_count);
        let unread = UnreadTracker::new(SILENT_HOST_TIMEOUT);
        let stream = (self.connect)(sending.address, Rc::clone(&unread))
            .await
            .map_err(|_| AcquireError::ConnectFailed)?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_RESPONSE_HEAD).writev(false);
        let (sender, connection) =
            builder.handshake(TokioIo::new(stream)).await.map_err(|_| AcquireError::ConnectFailed)?;
        tokio::task::spawn_local(async move {
            let _ = connection.await; // whoever uses it hears of its end
            drop(open_guard);
        });
        Ok(Lease { sender, marshal: sending.marshal, unread, reused: false })
    }

    /// A connection whose answer has ended whole. `keep_alive`: for how long its marshal says that it keeps it.
    ///
    /// A marshal may answer a large request before it has read its body, and the next one would wait behind that.
    pub fn release(&self, lease: Lease, keep_alive: Option<Duration>) {
        if lease.sender.is_closed() || lease.unread.may_exceed_window() {
            return;
        }
        let usable_until =
            Instant::now() + keep_alive.map_or(MAX_IDLE, |keep_alive| (keep_alive / 2).min(MAX_IDLE));
        if let Some(connections) = self.by_marshal.borrow_mut().get_mut(&lease.marshal) {
            // The newest is used first; what the load no longer needs runs out of time at the bottom.
            let now = Instant::now();
            connections.idle.retain(|idle| idle.usable_until > now && !idle.sender.is_closed());
            connections.idle.push(IdleConnection {
                sender: lease.sender,
                unread: lease.unread,
                usable_until,
            });
        }
    }

    /// Drops what belongs to marshals that are gone.
    pub fn retain_marshals(&self, is_known: impl Fn(u64) -> bool) {
        self.by_marshal.borrow_mut().retain(|marshal, _| is_known(*marshal));
    }
}

/// Counts a connection for as long as it lives.
struct OpenCount(Rc<Cell<usize>>);

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}
