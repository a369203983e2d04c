//! Connections to marshals: one request at a time on each, the one used last first, none that its marshal may be about
//! to close.

use crate::body::Carry;
use crate::unread::{BoundedStream, Unread};
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

/// A marshal's host that acknowledges nothing for so long has no power, or is cut off.
const SILENCE: Duration = Duration::from_millis(700);
/// A connection that doesn't come up in this time is given up.
const DIAL: Duration = Duration::from_millis(350);
/// Idle connections are used no longer than this, or than half of what the marshal tells: what is sent on one that was
/// just closed may have run.
const IDLE: Duration = Duration::from_secs(4);

/// Bytes of the head of a marshal's answer, at most.
const MOST_HEAD: usize = 32 << 10;

struct Idle {
    sender: SendRequest<Carry>,
    unread: Rc<Unread>,
    until: Instant,
}

#[derive(Default)]
struct Host {
    idle: Vec<Idle>,
    open: Rc<Cell<usize>>,
}

/// What a connection runs on.
pub trait Wire: AsyncRead + AsyncWrite + Unpin {}
impl<S: AsyncRead + AsyncWrite + Unpin> Wire for S {}

/// Makes a connection to an address, or gives up in its time. What its peer may not have read is noted for it.
pub type Dial =
    Box<dyn Fn(SocketAddrV4, Rc<Unread>) -> LocalBoxFuture<'static, std::io::Result<Box<dyn Wire>>>>;

/// All connections, by marshal.
pub struct Pool {
    hosts: RefCell<HashMap<u64, Host, RandomState>>,
    dial: Dial,
}

/// A connection in use; it goes back to the pool by [`Pool::give_back`], or is closed when dropped.
pub struct Lease {
    pub sender: SendRequest<Carry>,
    pub marshal: u64,
    /// What the marshal may not have read yet.
    pub unread: Rc<Unread>,
    /// It has carried a request before.
    pub used: bool,
}

/// Why there is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoLease {
    /// None came up.
    Unreached,
    /// As many as this edge may hold are in use.
    Busy,
}

/// Connections over TCP.
pub fn tcp() -> Dial {
    Box::new(|to, unread| {
        Box::pin(async move {
            let stream = milletwing_wire::dial(to, DIAL).await?;
            Ok(Box::new(BoundedStream::new(stream, unread)?) as Box<dyn Wire>)
        })
    })
}

impl Pool {
    /// No connections yet; `dial` makes them.
    pub fn new(dial: Dial) -> Pool {
        Pool { hosts: RefCell::default(), dial }
    }

    /// A connection to a marshal. `fresh`: a new one.
    pub async fn lease(&self, sending: &Attempt, fresh: bool) -> Result<Lease, NoLease> {
        let open = {
            let mut hosts = self.hosts.borrow_mut();
            let host = hosts.entry(sending.marshal_key).or_default();
            let now = Instant::now();
            while let Some(idle) = host.idle.pop() {
                if !fresh && now < idle.until && idle.sender.is_ready() {
                    let Idle { sender, unread, .. } = idle;
                    return Ok(Lease { sender, marshal: sending.marshal_key, unread, used: true });
                }
            }
            if host.open.get() >= sending.max_connections {
                return Err(NoLease::Busy);
            }
            host.open.set(host.open.get() + 1);
            Rc::clone(&host.open)
        };
        let count = Count(open);
        let unread = Unread::new(SILENCE);
        let stream =
            (self.dial)(sending.address, Rc::clone(&unread)).await.map_err(|_| NoLease::Unreached)?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MOST_HEAD).writev(false);
        let (sender, connection) =
            builder.handshake(TokioIo::new(stream)).await.map_err(|_| NoLease::Unreached)?;
        tokio::task::spawn_local(async move {
            let _ = connection.await; // whoever uses it hears of its end
            drop(count);
        });
        Ok(Lease { sender, marshal: sending.marshal_key, unread, used: false })
    }

    /// A connection whose answer has ended whole. `keep`: for how long its marshal says that it keeps it.
    ///
    /// A marshal may answer a large request before it has read its body, and the next one would wait behind that.
    pub fn give_back(&self, lease: Lease, keep: Option<Duration>) {
        if lease.sender.is_closed() || lease.unread.is_large() {
            return;
        }
        let until = Instant::now() + keep.map_or(IDLE, |keep| (keep / 2).min(IDLE));
        if let Some(host) = self.hosts.borrow_mut().get_mut(&lease.marshal) {
            // The newest is used first; what the load no longer needs runs out of time at the bottom.
            let now = Instant::now();
            host.idle.retain(|idle| idle.until > now && !idle.sender.is_closed());
            host.idle.push(Idle { sender: lease.sender, unread: lease.unread, until });
        }
    }

    /// Drops what belongs to marshals that are gone.
    pub fn forget(&self, known: impl Fn(u64) -> bool) {
        self.hosts.borrow_mut().retain(|marshal, _| known(*marshal));
    }
}

/// Counts a connection for as long as it lives.
struct Count(Rc<Cell<usize>>);

impl Drop for Count {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}
