//! Health of marshals, asked for only while the core is out of reach: nobody else tells an edge then that one has turned cold.

use crate::body::{gather, Carry};
use crate::edge::Edge;
use hyper::header::{HeaderMap, HeaderValue, HOST};
use hyper::{Request, StatusCode};
use milletwing_routing::Probe;
use std::rc::Rc;
use std::time::Duration;

const NODE_ID: &str = "x-milletwing-node-id";
const WARMUP: &str = "x-milletwing-warmup-ms";
/// Between two looks at what is due.
const EVERY: Duration = Duration::from_millis(100);
/// Probes begun in one of them at most.
const MOST: usize = 8;
/// A health answer that takes longer says nothing: it would be old.
const PATIENCE: Duration = Duration::from_millis(400);

/// Asks for as long as the program runs.
pub async fn run(edge: Rc<Edge>) {
    loop {
        tokio::time::sleep(EVERY).await;
        let due = edge.router.borrow_mut().due_probes(edge.now(), MOST);
        for probe in due {
            let edge = Rc::clone(&edge);
            tokio::task::spawn_local(async move {
                let warm = tokio::time::timeout(PATIENCE, ask(&edge, &probe)).await.unwrap_or(None);
                edge.router.borrow_mut().record_probe_result(edge.now(), &probe, warm);
            });
        }
    }
}

/// Asks one marshal: warm, cold, or nothing that can be relied on.
async fn ask(edge: &Rc<Edge>, probe: &Probe) -> Option<bool> {
    let mut lease = edge.pool.lease(&probe.attempt, false).await.ok()?;
    lease.sender.ready().await.ok()?;
    let mut request = Request::new(Carry::Whole(None));
    *request.uri_mut() = probe.path.parse().ok()?;
    let host = HeaderValue::from_str(&probe.attempt.address.to_string()).ok()?;
    request.headers_mut().insert(HOST, host);
    let response = lease.sender.send_request(request).await.ok()?;
    let (status, headers) = (response.status(), response.headers().clone());
    let body = gather(response.into_body()).await.ok()?;
    if body.rest.is_none() {
        edge.pool.give_back(lease, Some(Duration::ZERO));
    }
    (status == StatusCode::OK).then(|| warm(&headers, &probe.attempt.id))?
}

/// What a health answer says of this life; nothing where it is another's.
fn warm(headers: &HeaderMap, id: &str) -> Option<bool> {
    let own = headers.get(NODE_ID)?.as_bytes() == id.as_bytes();
    let left =
        headers.get(WARMUP).map_or(Some(0.0), |left| left.to_str().ok()?.trim().parse::<f64>().ok())?;
    own.then_some(left <= 0.0)
}
