//! Clients' connections, and the platform's question whether this edge is ready.

use crate::body::Out;
use crate::edge::Edge;
use crate::relay;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

/// Clients' connections for each descriptor that the machine grants: the others are for marshals.
const SHARE: f64 = 0.5;
/// Bytes of a buffer beyond the largest head that the configuration allows; what is larger ends with 431 unread.
const ROOM: usize = 8 << 10;
/// The largest head without a configuration, and the largest at all.
const HEAD: (usize, usize) = (16 << 10, 256 << 10);
/// What a client that takes nothing is given up after.
const PATIENCE: Duration = Duration::from_secs(10);

/// A client's connection, and what was noticed of the bytes that came.
pub struct Watched {
    stream: TcpStream,
    /// A `Content-Length` came since the last request: beside a `Transfer-Encoding`, nobody can say where it ends.
    length: Rc<Cell<bool>>,
    tail: Vec<u8>,
}

const LENGTH: &[u8] = b"content-length";

impl Watched {
    fn notice(&mut self, bytes: &[u8]) {
        self.tail.extend_from_slice(bytes);
        let found = memchr::memchr_iter(b'-', &self.tail).any(|at| {
            at.checked_sub(7)
                .and_then(|from| self.tail.get(from..from + LENGTH.len()))
                .is_some_and(|word| word.eq_ignore_ascii_case(LENGTH))
        });
        if found {
            self.length.set(true);
        }
        let keep = if found { 0 } else { (LENGTH.len() - 1).min(self.tail.len()) };
        self.tail.drain(..self.tail.len() - keep);
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if polled.is_ready() {
            self.notice(buffer.filled().get(before..).unwrap_or_default());
        }
        polled
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, bytes)
    }
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

struct Counted(Rc<Edge>);

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
        let _ = milletwing_tidings::groom(&stream, PATIENCE);
        edge.connections.set(edge.connections.get() + 1);
        let counted = Counted(Rc::clone(&edge));
        tokio::task::spawn_local(connection(Rc::clone(&edge), stream, counted));
    }
}

async fn connection(edge: Rc<Edge>, stream: TcpStream, counted: Counted) {
    let length = Rc::new(Cell::new(false));
    let watched = Watched { stream, length: Rc::clone(&length), tail: Vec::new() };
    let (idle, head) = {
        let course = edge.course.borrow();
        let thresholds = course.configuration().and_then(|it| it.thresholds.as_ref());
        let head = thresholds.map_or(HEAD.0, |it| it.max_header_bytes as usize);
        (thresholds.map_or(15.0, |it| it.idle_guard_s).clamp(1.0, 600.0), head.clamp(HEAD.0, HEAD.1))
    };
    let serving = Rc::clone(&edge);
    let service = service_fn(move |request| {
        let (edge, both) = (Rc::clone(&serving), length.replace(false));
        // On the heap: a connection that waits holds a pointer, not room for a whole request's states.
        Box::pin(async move { Ok::<_, Infallible>(relay::answer(edge, request, both).await) })
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_secs_f64(idle))
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
