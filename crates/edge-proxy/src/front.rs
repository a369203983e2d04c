//! Clients' connections, and the platform's question whether this edge is ready.

use crate::body::Cut;
use crate::edge::Edge;
use crate::out::Out;
use crate::relay;
use crate::unread::{BoundedStream, Unread};
use crate::watched::{Exchange, Notes, Watched};
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpListener;

/// Clients' connections for each descriptor that the machine grants: the others are for marshals.
const SHARE: f64 = 0.5;
/// Bytes of a buffer beyond the largest head that the configuration allows; what is larger ends with 431 unread.
const ROOM: usize = 8 << 10;
/// The largest head without a configuration, and the largest at all.
const HEAD: (usize, usize) = (16 << 10, 256 << 10);
/// A client that takes nothing of a short answer is given up after this; one of a longer answer has the time of its request.
const SILENCE: Duration = Duration::from_secs(10);
/// Clients are told to use an idle connection again within two seconds, since it costs memory until it closes. A second
/// later it does, so that a request already on its way is still taken.
const KEEP: (&str, Duration) = ("timeout=2", Duration::from_secs(3));

/// An answer's body; once it is gone, and the request's too, the connection waits for the next head.
struct Until {
    out: Out,
    _exchange: Rc<Exchange>,
}

impl Body for Until {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        Pin::new(&mut self.out).poll_frame(context)
    }
    fn is_end_stream(&self) -> bool {
        self.out.is_end_stream()
    }
    fn size_hint(&self) -> SizeHint {
        self.out.size_hint()
    }
}

struct Counted(Rc<Edge>);

impl Counted {
    fn new(edge: &Rc<Edge>) -> Counted {
        edge.connections.set(edge.connections.get() + 1);
        Counted(Rc::clone(edge))
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get().saturating_sub(1));
    }
}

/// Serves clients.
pub async fn serve(edge: Rc<Edge>, listener: TcpListener) {
    let most = (edge.settings.borrow().own.thresholds.max_files as f64 * SHARE) as usize;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) if edge.connections.get() < most => stream,
            Ok(_) => continue,
            Err(_) => {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        let unread = Unread::new(SILENCE);
        if let Ok(stream) = BoundedStream::new(stream, Rc::clone(&unread)) {
            tokio::task::spawn_local(connection(Rc::clone(&edge), stream, unread));
        }
    }
}

/// Serves one client's connection until either side ends it. It counts from the call on. `unread`: what the client may not
/// have read of its answers.
pub fn connection(
    edge: Rc<Edge>,
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
    unread: Rc<Unread>,
) -> impl Future<Output = ()> {
    let counted = Counted::new(&edge);
    serve_client(edge, stream, unread, counted)
}

async fn serve_client(
    edge: Rc<Edge>,
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
    unread: Rc<Unread>,
    counted: Counted,
) {
    let (idle, guard, head) = {
        let router = edge.router.borrow();
        let thresholds = router.configuration().and_then(|it| it.thresholds.as_ref());
        let head = thresholds.map_or(HEAD.0, |it| it.max_header_bytes as usize);
        let idle = thresholds.map_or(15.0, |it| it.idle_guard_s).clamp(1.0, KEEP.1.as_secs_f64());
        let guard = thresholds.map_or(3.0, |it| it.header_guard_s).clamp(0.5, 600.0);
        (Duration::from_secs_f64(idle), Duration::from_secs_f64(guard), head.clamp(HEAD.0, HEAD.1))
    };
    let notes = Notes::new(unread);
    let watched = Watched::new(stream, Rc::clone(&notes), idle, guard);
    let serving = Rc::clone(&edge);
    let service = service_fn(move |request| {
        let (edge, notes) = (Rc::clone(&serving), Rc::clone(&notes));
        let exchange = Exchange::begin(&notes);
        // On the heap: a connection that waits holds a pointer, not room for a whole request's states.
        Box::pin(async move {
            let mut answer = relay::answer(edge, request, &exchange).await;
            // Not where the operator's `idleGuardS` is shorter still, or the connection ends with this answer.
            if idle >= KEEP.1 && !answer.headers().contains_key(header::CONNECTION) {
                answer
                    .headers_mut()
                    .insert(HeaderName::from_static("keep-alive"), HeaderValue::from_static(KEEP.0));
            }
            Ok::<_, Infallible>(answer.map(|out| Until { out, _exchange: exchange }))
        })
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle + guard + Duration::from_secs(1)) // in case `Watched` is not asked
        .max_buf_size(head + ROOM)
        .serve_connection(TokioIo::new(watched), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => {}
        _ = edge.close.notified() => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await; // the client's concern: it has had its answer
        }
    }
    drop(counted);
}

/// Answers the platform's question.
pub async fn readiness(edge: Rc<Edge>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let edge = Rc::clone(&edge);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: Request<hyper::body::Incoming>| {
                let known = request.uri().path() == "/milletwing/readiness";
                let status = match (known, edge.ready()) {
                    (false, _) => 404,
                    (true, true) => 200,
                    (true, false) => 503,
                };
                let mut answer = Response::new(Out::Whole(None));
                *answer.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
                async move { Ok::<_, Infallible>(answer) }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_secs(10))
                .max_buf_size(8 << 10)
                .serve_connection(TokioIo::new(stream), service);
            let _ = connection.await; // the platform asks again
        });
    }
}
