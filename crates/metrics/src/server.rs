//! The HTTP server for a metrics page.

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

/// The maximum number of concurrent connections. Further ones are closed.
const MAX_CONNECTIONS: usize = 8;
/// The time limit for receiving the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// The delay before accepting again after an error of the listener.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The media type of the page.
const MEDIA_TYPE: HeaderValue =
    HeaderValue::from_static("application/openmetrics-text; version=1.0.0; charset=utf-8");

/// Serves a page at `path` until the future is dropped. `render` is called for each request.
pub async fn serve(listener: TcpListener, path: String, render: impl Fn() -> String + 'static) {
    let (render, path) = (Rc::new(render), Rc::<str>::from(path));
    let open_connections = Rc::new(Cell::new(0));
    loop {
        match listener.accept().await {
            Ok((stream, _)) if open_connections.get() < MAX_CONNECTIONS => {
                let (render, path, open_connections) =
                    (Rc::clone(&render), Rc::clone(&path), Rc::clone(&open_connections));
                open_connections.set(open_connections.get() + 1);
                tokio::task::spawn_local(async move {
                    serve_connection(stream, &path, render.as_ref()).await;
                    open_connections.set(open_connections.get() - 1);
                });
            }
            Ok(_) => {}
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Serves the requests of one connection.
pub async fn serve_connection(
    stream: impl AsyncRead + AsyncWrite + Unpin,
    path: &str,
    render: &(impl Fn() -> String + ?Sized),
) {
    let service = service_fn(|request: Request<hyper::body::Incoming>| {
        let status = match (request.uri().path() == path, request.method()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, &Method::GET | &Method::HEAD) => StatusCode::OK,
            (true, _) => StatusCode::METHOD_NOT_ALLOWED,
        };
        let body = if status == StatusCode::OK { Bytes::from(render()) } else { Bytes::new() };
        let mut response = Response::new(Full::new(body));
        *response.status_mut() = status;
        response.headers_mut().insert(CONTENT_TYPE, MEDIA_TYPE);
        async move { Ok::<_, Infallible>(response) }
    });
    let served = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(8 << 10)
        .serve_connection(TokioIo::new(stream), service);
    let _ = served.await; // an error only concerns the client
}
