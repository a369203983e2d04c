//! Accepts client connections, and answers the platform's readiness checks.

use crate::body::BodyError;
use crate::client_stream::{ClientStream, ConnectionState, Exchange};
use crate::edge::Edge;
use crate::relay;
use crate::response_body::ResponseBody;
use crate::user_timeout::{AdaptiveTimeoutStream, UnreadTracker};
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

/// Share of the process's file descriptors that client connections may use; the others are for
/// connections to marshals.
const CLIENT_FILE_SHARE: f64 = 0.5;
/// Size of the read buffer beyond the largest head that the configuration allows, in bytes. A head
/// that exceeds the whole buffer is refused with 431 before it has been read completely.
const BUFFER_MARGIN: usize = 8 << 10;
/// Lower and upper bound of the configured maximum size of a request head, in bytes. The lower
/// bound is also the default.
const HEAD_SIZE_RANGE: (usize, usize) = (16 << 10, 256 << 10);
/// A client that acknowledges nothing of a short response for this long is disconnected. For a
/// longer response, the time limit is that of its request.
const SILENT_CLIENT_TIMEOUT: Duration = Duration::from_secs(10);
/// The `Keep-Alive` value sent to clients, and when an idle connection closes. Clients are told to
/// reuse an idle connection within two seconds only, since it uses memory until it closes. It
/// closes a second later, so that a request already on its way is still accepted.
const KEEP_ALIVE: (&str, Duration) = ("timeout=2", Duration::from_secs(3));

/// A response body. The connection waits for the next request head once this body and that of the
/// request have been dropped.
struct ExchangeBody {
    body: ResponseBody,
    _exchange: Rc<Exchange>,
}

impl Body for ExchangeBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }
    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

struct ConnectionCount(Rc<Edge>);

impl ConnectionCount {
    fn new(edge: &Rc<Edge>) -> ConnectionCount {
        edge.connections.set(edge.connections.get() + 1);
        ConnectionCount(Rc::clone(edge))
    }
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get().saturating_sub(1));
    }
}

/// Accepts client connections.
pub async fn serve(edge: Rc<Edge>, listener: TcpListener) {
    let max_connections =
        (edge.settings.borrow().own.thresholds.max_files as f64 * CLIENT_FILE_SHARE) as usize;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) if edge.connections.get() < max_connections => stream,
            Ok(_) => continue,
            Err(_) => {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        let unread = UnreadTracker::new(SILENT_CLIENT_TIMEOUT);
        if let Ok(stream) = AdaptiveTimeoutStream::new(stream, Rc::clone(&unread)) {
            tokio::task::spawn_local(serve_connection(Rc::clone(&edge), stream, unread));
        }
    }
}

/// Serves one client connection until either side ends it. It is counted as open from the call on,
/// not from the first poll. `unread` tracks what the client may not have read of its responses.
pub fn serve_connection(
    edge: Rc<Edge>,
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
    unread: Rc<UnreadTracker>,
) -> impl Future<Output = ()> {
    let connection_count = ConnectionCount::new(&edge);
    serve_client(edge, stream, unread, connection_count)
}

async fn serve_client(
    edge: Rc<Edge>,
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
    unread: Rc<UnreadTracker>,
    connection_count: ConnectionCount,
) {
    let (idle_timeout, head_timeout, max_head) = {
        let router = edge.router.borrow();
        let thresholds = router.configuration().and_then(|configuration| configuration.thresholds.as_ref());
        let max_head =
            thresholds.map_or(HEAD_SIZE_RANGE.0, |thresholds| thresholds.max_header_bytes as usize);
        let idle_timeout = thresholds
            .map_or(15.0, |thresholds| thresholds.idle_guard_s)
            .clamp(1.0, KEEP_ALIVE.1.as_secs_f64());
        let head_timeout = thresholds.map_or(3.0, |thresholds| thresholds.header_guard_s).clamp(0.5, 600.0);
        (
            Duration::from_secs_f64(idle_timeout),
            Duration::from_secs_f64(head_timeout),
            max_head.clamp(HEAD_SIZE_RANGE.0, HEAD_SIZE_RANGE.1),
        )
    };
    let state = ConnectionState::new(unread);
    let client_stream = ClientStream::new(stream, Rc::clone(&state), idle_timeout, head_timeout);
    let service_edge = Rc::clone(&edge);
    let service = service_fn(move |request| {
        let (edge, state) = (Rc::clone(&service_edge), Rc::clone(&state));
        let exchange = Exchange::begin(&state);
        // Boxed, so that an idle connection holds a pointer instead of space for the whole state of
        // a request.
        Box::pin(async move {
            let mut response = relay::handle_request(edge, request, &exchange).await;
            // Omitted if the configured `idleGuardS` is shorter still, or if the connection ends
            // with this response.
            if idle_timeout >= KEEP_ALIVE.1 && !response.headers().contains_key(header::CONNECTION) {
                response
                    .headers_mut()
                    .insert(HeaderName::from_static("keep-alive"), HeaderValue::from_static(KEEP_ALIVE.0));
            }
            Ok::<_, Infallible>(response.map(|body| ExchangeBody { body, _exchange: exchange }))
        })
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        // A fallback in case `ClientStream` is not polled.
        .header_read_timeout(idle_timeout + head_timeout + Duration::from_secs(1))
        .max_buf_size(max_head + BUFFER_MARGIN)
        .serve_connection(TokioIo::new(client_stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => {}
        _ = edge.close_connections.notified() => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await; // an error here concerns only the client: it has had its response
        }
    }
    drop(connection_count);
}

/// Answers the platform's readiness checks.
pub async fn serve_readiness(edge: Rc<Edge>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let edge = Rc::clone(&edge);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: Request<hyper::body::Incoming>| {
                let path_matches = request.uri().path() == "/milletwing/readiness";
                let status = match (path_matches, edge.ready()) {
                    (false, _) => 404,
                    (true, true) => 200,
                    (true, false) => 503,
                };
                let mut response = Response::new(ResponseBody::Buffered(None));
                *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
                async move { Ok::<_, Infallible>(response) }
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
