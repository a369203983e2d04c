//! Queries the health of marshals, only while the core is unreachable: during that time, nothing
//! else tells an edge that a marshal has become cold.

use crate::body::{buffer_body, OutgoingBody};
use crate::edge::Edge;
use hyper::header::{HeaderMap, HeaderValue, HOST};
use hyper::{Request, StatusCode};
use milletwing_routing::Probe;
use std::rc::Rc;
use std::time::Duration;

const NODE_ID: &str = "x-milletwing-node-id";
const WARMUP_MS: &str = "x-milletwing-warmup-ms";
/// Interval between two checks for due probes.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of probes started per check.
const MAX_PROBES_PER_POLL: usize = 8;
/// A health response that takes longer is ignored, because it would be out of date.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Sends probes for as long as the process runs.
pub async fn run(edge: Rc<Edge>) {
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let due = edge.router.borrow_mut().due_probes(edge.now(), MAX_PROBES_PER_POLL);
        for probe in due {
            let edge = Rc::clone(&edge);
            tokio::task::spawn_local(async move {
                let warm =
                    tokio::time::timeout(PROBE_TIMEOUT, query_health(&edge, &probe)).await.unwrap_or(None);
                edge.router.borrow_mut().record_probe_result(edge.now(), &probe, warm);
            });
        }
    }
}

/// Queries one marshal: whether it is warm, or `None` if there is no reliable response.
async fn query_health(edge: &Rc<Edge>, probe: &Probe) -> Option<bool> {
    let mut lease = edge.pool.acquire(&probe.attempt, false).await.ok()?;
    lease.sender.ready().await.ok()?;
    let mut request = Request::new(OutgoingBody::Buffered(None));
    *request.uri_mut() = probe.path.parse().ok()?;
    let host = HeaderValue::from_str(&probe.attempt.address.to_string()).ok()?;
    request.headers_mut().insert(HOST, host);
    let response = lease.sender.send_request(request).await.ok()?;
    let (status, headers) = (response.status(), response.headers().clone());
    let body = buffer_body(response.into_body()).await.ok()?;
    if body.rest.is_none() {
        edge.pool.release(lease, Some(Duration::ZERO));
    }
    (status == StatusCode::OK).then(|| is_warm(&headers, &probe.attempt.id))?
}

/// Whether a health response says that the marshal is warm; `None` if it cannot be parsed or comes
/// from another incarnation at the same address.
fn is_warm(headers: &HeaderMap, id: &str) -> Option<bool> {
    let id_matches = headers.get(NODE_ID)?.as_bytes() == id.as_bytes();
    let warmup_ms = headers
        .get(WARMUP_MS)
        .map_or(Some(0.0), |warmup_ms| warmup_ms.to_str().ok()?.trim().parse::<f64>().ok())?;
    id_matches.then_some(warmup_ms <= 0.0)
}
