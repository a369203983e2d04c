//! What stand-ins of marshals have in common: they listen, serve connections and report to the core.

use crate::soak::{call, Site, CONTROL};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::JoinSet;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Listens at an address that an earlier marshal may have left a moment ago.
pub async fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves connections until the task is aborted. `answer` answers a request of the marshal's callers.
pub async fn serve<Node, Answer, Answering>(listener: TcpListener, node: Arc<Node>, answer: Answer)
where
    Node: Send + Sync + 'static,
    Answer: Fn(Arc<Node>, Request<Incoming>) -> Answering + Copy + Send + 'static,
    Answering: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let node = Arc::clone(&node);
        let service = service_fn(move |request| {
            let answering = answer(Arc::clone(&node), request);
            async move { Ok::<_, Infallible>(answering.await) }
        });
        connections.spawn(async move {
            let connection =
                hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            let _ = connection.await; // a broken connection is its caller's concern
        });
        while connections.try_join_next().is_some() {}
    }
}

/// Sends a marshal's report to one core machine after the other until it is acknowledged, twice round at most.
/// `report` is its body up to the state.
pub async fn send_report(site: &Site, id: &str, report: &str, state: &str, counter: u64) {
    let body = format!("{report}\"{state}\",\"callCounter\":{counter}}}");
    let path = format!("/milletwing/nodes/{id}");
    let hosts = site.core_hosts();
    let first = counter as usize % hosts.len();
    for core in hosts.iter().cycle().skip(first).take(hosts.len() * 2) {
        let to = site.at(*core, CONTROL);
        let answer = call(to, "PUT", &path, "Content-Type: application/json\r\n", &body).await;
        if answer.is_some_and(|(status, _)| status < 300) {
            return;
        }
    }
}

/// Deregisters a marshal at one core machine after the other until it is acknowledged.
pub async fn deregister(site: &Site, id: &str) {
    let path = format!("/milletwing/nodes/{id}");
    for core in site.core_hosts() {
        let answer = call(site.at(core, CONTROL), "DELETE", &path, "", "").await;
        if answer.is_some_and(|(status, _)| status < 300) {
            return;
        }
    }
}
