//! The HTTP server of a metrics page.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpListener;

/// Connections at once; further ones are closed.
const MOST_CONNECTIONS: usize = 8;
/// How long a caller may take for the head of a request.
const HEAD: Duration = Duration::from_secs(5);
/// Before a listener that has failed is asked again.
const PAUSE: Duration = Duration::from_millis(100);
/// The media type of the page.
const TEXT: HeaderValue =
    HeaderValue::from_static("application/openmetrics-text; version=1.0.0; charset=utf-8");

/// Serves a page at `path` until it is dropped. `text` makes the page, once for each request.
pub async fn serve(listener: TcpListener, path: String, text: impl Fn() -> String + 'static) {
    let (text, path) = (Rc::new(text), Rc::<str>::from(path));
    let open = Rc::new(Cell::new(0));
    loop {
        match listener.accept().await {
            Ok((stream, _)) if open.get() < MOST_CONNECTIONS => {
                let (text, path, open) = (Rc::clone(&text), Rc::clone(&path), Rc::clone(&open));
                open.set(open.get() + 1);
                tokio::task::spawn_local(async move {
                    connection(stream, &path, text.as_ref()).await;
                    open.set(open.get() - 1);
                });
            }
            Ok(_) => {}
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
    }
}

/// Answers the requests of one connection.
pub async fn connection(
    stream: impl AsyncRead + AsyncWrite + Unpin,
    path: &str,
    text: &(impl Fn() -> String + ?Sized),
) {
    let service = service_fn(|request: Request<hyper::body::Incoming>| {
        let status = match (request.uri().path() == path, request.method()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, &Method::GET | &Method::HEAD) => StatusCode::OK,
            (true, _) => StatusCode::METHOD_NOT_ALLOWED,
        };
        let body = if status == StatusCode::OK { Bytes::from(text()) } else { Bytes::new() };
        let mut response = Response::new(Full::new(body));
        *response.status_mut() = status;
        response.headers_mut().insert(CONTENT_TYPE, TEXT);
        async move { Ok::<_, Infallible>(response) }
    });
    let served = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD)
        .max_buf_size(8 << 10)
        .serve_connection(TokioIo::new(stream), service);
    let _ = served.await; // the caller's concern
}
