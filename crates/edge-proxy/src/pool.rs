//! Connection pool for marshals. A connection carries one request at a time. The most recently used
//! connection is reused first; one that its marshal may be about to close is not reused.

use crate::body::OutgoingBody;
use crate::user_timeout::{AdaptiveTimeoutStream, UnreadTracker};
use ahash::RandomState;
use futures_util::future::LocalBoxFuture;
use hashbrown::HashMap;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use milletwing_routing::Attempt;
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::Instant;

/// A host that acknowledges nothing for this long has lost power or is unreachable.
const SILENT_HOST_TIMEOUT: Duration = Duration::from_millis(700);
/// Time allowed for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// A connection is not reused after it has been idle for this long, or for half of the keep-alive
/// time that the marshal announces: a request sent on a connection that was just closed may have
/// been executed.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// Maximum size of the head of a marshal's response, in bytes.
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

/// The byte stream of a connection.
pub trait Transport: AsyncRead + AsyncWrite + Unpin {}
impl<S: AsyncRead + AsyncWrite + Unpin> Transport for S {}

/// Opens a connection to an address, with its own time limit, and records in the tracker what its
/// peer may not have read yet.
pub type Connector = Box<
    dyn Fn(SocketAddrV4, Rc<UnreadTracker>) -> LocalBoxFuture<'static, std::io::Result<Box<dyn Transport>>>,
>;

/// Idle connections and the number of open ones, by marshal.
pub struct Pool {
    by_marshal: RefCell<HashMap<u64, MarshalConnections, RandomState>>,
    connect: Connector,
}

/// A connection in use. It returns to the pool by [`Pool::release`], and is closed if it is
/// dropped.
pub struct Lease {
    pub sender: SendRequest<OutgoingBody>,
    pub marshal: u64,
    /// Tracks what the marshal may not have read yet.
    pub unread: Rc<UnreadTracker>,
    /// The connection has carried a request before.
    pub reused: bool,
}

/// Why there is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcquireError {
    /// No connection could be opened.
    ConnectFailed,
    /// This edge already has as many connections to the marshal as it may hold.
    AtLimit,
}

/// Opens connections over TCP.
pub fn tcp_connector() -> Connector {
    Box::new(|address, unread| {
        Box::pin(async move {
            let stream = milletwing_wire::connect(address, CONNECT_TIMEOUT).await?;
            Ok(Box::new(AdaptiveTimeoutStream::new(stream, unread)?) as Box<dyn Transport>)
        })
    })
}

impl Pool {
    /// Creates an empty pool; `connect` opens its connections.
    pub fn new(connect: Connector) -> Pool {
        Pool { by_marshal: RefCell::default(), connect }
    }

    /// Returns an idle or new connection to a marshal; always a new one if `new_only` is set.
    pub async fn acquire(&self, attempt: &Attempt, new_only: bool) -> Result<Lease, AcquireError> {
        let open_count = {
            let mut by_marshal = self.by_marshal.borrow_mut();
            let connections = by_marshal.entry(attempt.marshal_key).or_default();
            let now = Instant::now();
            while let Some(idle) = connections.idle.pop() {
                if !new_only && now < idle.usable_until && idle.sender.is_ready() {
                    let IdleConnection { sender, unread, .. } = idle;
                    return Ok(Lease { sender, marshal: attempt.marshal_key, unread, reused: true });
                }
            }
            if connections.open_count.get() >= attempt.max_connections {
                return Err(AcquireError::AtLimit);
            }
            connections.open_count.set(connections.open_count.get() + 1);
            Rc::clone(&connections.open_count)
        };
        let open_guard = OpenCount(open_count);
        let unread = UnreadTracker::new(SILENT_HOST_TIMEOUT);
        let stream = (self.connect)(attempt.address, Rc::clone(&unread))
            .await
            .map_err(|_| AcquireError::ConnectFailed)?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_RESPONSE_HEAD).writev(false);
        let (sender, connection) =
            builder.handshake(TokioIo::new(stream)).await.map_err(|_| AcquireError::ConnectFailed)?;
        tokio::task::spawn_local(async move {
            let _ = connection.await; // the sender of the connection sees its end
            drop(open_guard);
        });
        Ok(Lease { sender, marshal: attempt.marshal_key, unread, reused: false })
    }

    /// Returns a connection to the pool after a complete response. `keep_alive` is how long the
    /// marshal announces to keep it open.
    ///
    /// The connection is not reused if the marshal may not have read everything yet: it may respond
    /// to a large request before it has read the body, and the next request would wait behind that
    /// body.
    pub fn release(&self, lease: Lease, keep_alive: Option<Duration>) {
        if lease.sender.is_closed() || lease.unread.may_exceed_window() {
            return;
        }
        let usable_until =
            Instant::now() + keep_alive.map_or(MAX_IDLE, |keep_alive| (keep_alive / 2).min(MAX_IDLE));
        if let Some(connections) = self.by_marshal.borrow_mut().get_mut(&lease.marshal) {
            // The most recently returned connection is used first, so that the surplus ones at the
            // bottom of the stack expire.
            let now = Instant::now();
            connections.idle.retain(|idle| idle.usable_until > now && !idle.sender.is_closed());
            connections.idle.push(IdleConnection {
                sender: lease.sender,
                unread: lease.unread,
                usable_until,
            });
        }
    }

    /// Drops the idle connections to marshals that no longer exist.
    pub fn retain_marshals(&self, is_known: impl Fn(u64) -> bool) {
        self.by_marshal.borrow_mut().retain(|marshal, _| is_known(*marshal));
    }
}

/// Counts a connection as open until it is dropped.
struct OpenCount(Rc<Cell<usize>>);

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}
