//! The HTTP API: marshals' heartbeats, operators' requests, clients' lookups. A test checks the table of
//! routes against `api/control.json`.

mod orders;

use crate::core::{Core, SharedCore};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE, LOCATION, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use milletwing_config::{event, Configuration, ErrorKind};
use milletwing_replicated_state::view::MAX_CONFIGURATION_BYTES;
use milletwing_replicated_state::Beat;
use milletwing_wire::{Answer, CoreRequest};
use serde_json::json;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// Method and path of every call, as in the API description.
pub const ROUTES: &[(&str, &str)] = &[
    ("PUT", "/milletwing/nodes/{id}"),
    ("DELETE", "/milletwing/nodes/{id}"),
    ("GET", "/milletwing/nodes"),
    ("PUT", "/milletwing/configuration"),
    ("GET", "/milletwing/configuration"),
    ("POST", "/milletwing/rollouts"),
    ("GET", "/milletwing/rollouts/{service}"),
    ("POST", "/milletwing/evacuation/{zone}"),
    ("DELETE", "/milletwing/evacuation/{zone}"),
    ("GET", "/milletwing/resolution"),
    ("GET", "/milletwing/members"),
    ("GET", "/milletwing/trials"),
    ("GET", "/milletwing/drift"),
    ("GET", "/milletwing/suspects"),
    ("GET", "/milletwing/decisions/{attempt}"),
];

/// Time to answer a call: how long a caller waits before it tries another replica, less the time for the
/// answer to travel.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// The same for a call with a large body.
const ANSWER_TIMEOUT_LARGE_BODY: Duration = Duration::from_millis(2_500);
/// Share of the file descriptors that callers' connections may take: a marshal keeps one open between its
/// heartbeats.
const CONNECTION_SHARE: f64 = 0.6;
/// Number of connections that is always allowed, even if the settings grant few file descriptors.
const MIN_CONNECTION_LIMIT: usize = 768;

/// Open connections of callers, and the signal to close them.
#[derive(Default)]
pub struct OpenConnections {
    count: Cell<usize>,
    closing: Cell<bool>,
    close: Notify,
}

impl OpenConnections {
    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.count.get()
    }
    /// Closes each connection after the answer in progress.
    pub fn close(&self) {
        self.closing.set(true);
        self.close.notify_waiters();
    }
}

/// Serves a listener.
pub async fn serve(core: SharedCore, listener: TcpListener, open_connections: Rc<OpenConnections>) {
    let max_files = core.borrow().settings.own.thresholds.max_files as f64;
    let max_connections = MIN_CONNECTION_LIMIT.max((max_files * CONNECTION_SHARE) as usize);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) if open_connections.count() < max_connections => stream,
            Ok(_) => continue,
            Err(_) => {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        let _ = milletwing_wire::configure_stream(&stream, Duration::from_secs(5));
        let (core, open_connections) = (Rc::clone(&core), Rc::clone(&open_connections));
        open_connections.count.set(open_connections.count() + 1);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let core = Rc::clone(&core);
                async move { Ok::<_, std::convert::Infallible>(handle(core, request).await) }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_secs(20))
                .max_buf_size(16 << 10)
                .serve_connection(TokioIo::new(stream), service);
            let mut connection = std::pin::pin!(connection);
            tokio::select! {
                _ = connection.as_mut() => {}
                _ = open_connections.close.notified() => {
                    connection.as_mut().graceful_shutdown();
                    let _ = connection.await; // an error concerns only the caller, which has had its answer
                }
            }
            open_connections.count.set(open_connections.count() - 1);
        });
    }
}

type JsonResponse = Response<Full<Bytes>>;

fn json_response(status: u16, body: impl Into<Bytes>) -> JsonResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn error_response(status: u16, why: &str) -> JsonResponse {
    let mut response = json_response(status, json!({ "error": why }).to_string());
    if status == 503 {
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("0.2"));
    }
    response
}

/// A redirect that keeps the method and the body of the request.
fn redirect(location: String, body: String) -> JsonResponse {
    let mut response = json_response(307, body);
    if let Ok(location) = HeaderValue::from_str(&location) {
        response.headers_mut().insert(LOCATION, location);
    }
    response
}

/// The response to an error.
fn response_for_kind(kind: &ErrorKind) -> JsonResponse {
    error_response(kind.response().status, &kind.to_string())
}

/// Maps the outcome of a request to its HTTP response.
fn outcome_response(answer: Answer) -> JsonResponse {
    match answer {
        Answer::Done(_) => json_response(200, "{}"),
        Answer::Refused(status, why) => error_response(status, &why),
        Answer::Unknown => response_for_kind(&ErrorKind::OutcomeUnknown),
        Answer::NotAccepted => response_for_kind(&ErrorKind::NoLeader),
        Answer::Superseded => response_for_kind(&ErrorKind::Superseded),
    }
}

async fn read_body(request: Request<Incoming>, max_bytes: usize) -> Result<Bytes, ErrorKind> {
    // A body whose declared length is too large is refused before it is read.
    if request.body().size_hint().lower() > max_bytes as u64 {
        return Err(ErrorKind::BodyTooLarge);
    }
    let reading = Limited::new(request.into_body(), max_bytes).collect();
    let result = tokio::time::timeout(Duration::from_secs(5), reading).await;
    match result {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(problem)) if problem.is::<LengthLimitError>() => Err(ErrorKind::BodyTooLarge),
        Ok(Err(problem)) => Err(ErrorKind::Unreadable(problem.to_string())),
        // Not 400, after which the caller would not retry: a slow link is not the caller's fault.
        Err(_) => Err(ErrorKind::BodyTimeout),
    }
}

/// Returns the raw value of a query parameter. Names of zones and regions need no percent-decoding.
fn query_value<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    let pairs = request.uri().query()?.split('&');
    pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Handles one HTTP request.
async fn handle(core: SharedCore, request: Request<Incoming>) -> JsonResponse {
    let path = request.uri().path().to_owned();
    let Some(rest) = path.strip_prefix("/milletwing/") else {
        return response_for_kind(&ErrorKind::UnknownPath);
    };
    let segments: Vec<&str> = rest.split('/').collect();
    let method = request.method().clone();
    let result = match (&method, segments.as_slice()) {
        (&Method::PUT, ["nodes", id]) if !id.is_empty() => heartbeat(&core, id, request).await,
        (&Method::DELETE, ["nodes", id]) if !id.is_empty() => deregister(&core, id).await,
        (&Method::GET, ["nodes"]) => Ok(nodes(&core)),
        (&Method::PUT, ["configuration"]) => configure(&core, request).await,
        (&Method::GET, ["configuration"]) => configuration(&core).await,
        (&Method::POST, ["rollouts"]) => orders::post_rollout(&core, request).await,
        (&Method::GET, ["rollouts", service]) => get_rollout(&core, service).await,
        (&Method::POST, ["evacuation", zone]) => orders::set_evacuation(&core, zone, true, &request).await,
        (&Method::DELETE, ["evacuation", zone]) => orders::set_evacuation(&core, zone, false, &request).await,
        (&Method::GET, ["resolution"]) => Ok(resolve(&core, &request)),
        (&Method::GET, ["members"]) => Ok(members(&core)),
        (&Method::GET, ["trials"]) => Ok(answer_at_leader(&core, "trials", core.borrow().trials_json())),
        (&Method::GET, ["drift"]) => Ok(answer_at_leader(&core, "drift", core.borrow().drift_json())),
        (&Method::GET, ["suspects"]) => {
            Ok(answer_at_leader(&core, "suspects", core.borrow().suspects_json()))
        }
        (&Method::GET, ["decisions", attempt]) if !attempt.is_empty() => Ok(decisions(&core, attempt)),
        _ => Err(route_error(&segments)),
    };
    let mut response = result.unwrap_or_else(|kind| response_for_kind(&kind));
    core.borrow().metrics.record_call(segments.first().unwrap_or(&""), response.status().as_u16());
    if response.status() == 405 {
        response.headers_mut().insert(ALLOW, HeaderValue::from_static("GET, PUT, POST, DELETE"));
    }
    response
}

/// Distinguishes a path that exists with another method from an unknown path.
fn route_error(segments: &[&str]) -> ErrorKind {
    let matches = |path: &str| {
        let known: Vec<&str> = path.trim_start_matches("/milletwing/").split('/').collect();
        known.len() == segments.len()
            && known
                .iter()
                .zip(segments)
                .all(|(known, segment)| known == segment || (known.starts_with('{') && !segment.is_empty()))
    };
    if ROUTES.iter().any(|(_, path)| matches(path)) {
        ErrorKind::MethodNotAllowed
    } else {
        ErrorKind::UnknownPath
    }
}

async fn heartbeat(
    core: &SharedCore,
    id: &str,
    request: Request<Incoming>,
) -> Result<JsonResponse, ErrorKind> {
    if id.len() > 128 {
        return Err(ErrorKind::InvalidBeat("the id is over 128 bytes".into()));
    }
    let beat = Beat::parse(&read_body(request, 16 << 10).await?)?;
    Ok(outcome_response(Core::heartbeat(core, id.into(), beat, ANSWER_TIMEOUT).await))
}

async fn deregister(core: &SharedCore, id: &str) -> Result<JsonResponse, ErrorKind> {
    Ok(outcome_response(Core::submit(core, CoreRequest::Leave { id: id.into() }, ANSWER_TIMEOUT).await))
}

fn nodes(core: &SharedCore) -> JsonResponse {
    let core = core.borrow();
    let nodes = core.view.nodes.values().map(|node| {
        json!({"id": node.id, "target": node.target, "address": node.address, "zone": node.zone,
            "revision": node.revision, "capacity": node.capacity, "phase": format!("{:?}", node.phase),
            "inService": core.view.in_service(node)})
    });
    let evacuated: Vec<&String> = core.view.evacuated.keys().collect();
    let body = json!({"index": core.view.index, "nodes": nodes.collect::<Vec<_>>(), "evacuated": evacuated});
    json_response(200, body.to_string())
}

async fn configure(core: &SharedCore, request: Request<Incoming>) -> Result<JsonResponse, ErrorKind> {
    let header = request.headers().get("if-match").and_then(|value| value.to_str().ok());
    let if_match: Option<u64> = header.and_then(|value| value.trim().trim_matches('"').parse().ok());
    let body = read_body(request, MAX_CONFIGURATION_BYTES).await?;
    let timeout = if body.len() > 64 << 10 { ANSWER_TIMEOUT_LARGE_BODY } else { ANSWER_TIMEOUT };
    let answer = Core::configure(core, if_match, &body, timeout).await;
    match &answer {
        Ok(Answer::Done(_)) => log_ignored_fields(&body),
        // Committed entries are logged when they are applied.
        Ok(Answer::Refused(..) | Answer::NotAccepted | Answer::Unknown | Answer::Superseded) => {}
        Err(kind) => event!(Refused, "configuration on {if_match:?}: {kind}"),
    }
    answer.map(outcome_response)
}

/// Logs the fields of an accepted configuration that this version ignores.
fn log_ignored_fields(body: &[u8]) {
    // Cannot fail: the body was parsed before it was accepted.
    let fields = Configuration::ignored_fields(body).unwrap_or_default();
    if !fields.is_empty() {
        let fields: Vec<String> = fields.into_iter().collect();
        event!(PassedOver, "{}", fields.join(", "));
    }
}

async fn configuration(core: &SharedCore) -> Result<JsonResponse, ErrorKind> {
    Core::read_barrier(core, ANSWER_TIMEOUT).await?;
    let core = core.borrow();
    if core.view.revision == 0 {
        return Err(ErrorKind::NotFound("configuration".into()));
    }
    Ok(json_response(200, core.view.body.as_ref().clone()))
}

async fn get_rollout(core: &SharedCore, service: &str) -> Result<JsonResponse, ErrorKind> {
    Core::read_barrier(core, ANSWER_TIMEOUT).await?;
    let core = core.borrow();
    let rollout = core
        .view
        .rollouts
        .get(service)
        .ok_or_else(|| ErrorKind::NotFound(format!("roll-out of {service}")))?;
    Ok(json_response(
        200,
        json!({ "state": rollout.state.as_str(), "targetRevision": rollout.to }).to_string(),
    ))
}

fn resolve(core: &SharedCore, request: &Request<Incoming>) -> JsonResponse {
    let core = core.borrow();
    let zone = query_value(request, "zone").unwrap_or("");
    let region = query_value(request, "region").unwrap_or_else(|| core.settings.region(zone));
    let resolution = core.resolve(query_value(request, "name").unwrap_or(""), region);
    if resolution.edges.is_empty() {
        return error_response(503, "no edge is known");
    }
    json_response(200, json!({ "addresses": resolution.edges, "ttlS": resolution.ttl_s }).to_string())
}

/// Answers with data that is complete only at the leader: other replicas redirect there, with what they
/// know in the body. All replicas use the same ports.
fn answer_at_leader(core: &SharedCore, resource: &str, body: serde_json::Value) -> JsonResponse {
    let core = core.borrow();
    let leader = core.member.leader().filter(|leader| *leader != core.settings.id());
    match (leader, core.settings.binding("controlPlane")) {
        (Some(leader), Ok(own)) => {
            let address = milletwing_wire::internal_address(leader, own.port());
            redirect(format!("http://{address}/milletwing/{resource}"), body.to_string())
        }
        _ => json_response(200, body.to_string()),
    }
}

/// Each replica knows the decisions that were reported by its own edges.
fn decisions(core: &SharedCore, attempt: &str) -> JsonResponse {
    let core = core.borrow();
    json_response(200, json!({ "decisions": core.drift.decisions_on(core.now(), attempt) }).to_string())
}

fn members(core: &SharedCore) -> JsonResponse {
    let core = core.borrow();
    let now = core.now();
    let address = |id: u32| std::net::Ipv4Addr::from_bits(id).to_string();
    let (commit, last) = core.member.commit_and_last();
    let peers = core.member.peers().map(|(id, heard, matched, counts)| {
        json!({"address": address(id), "silentMs": now.saturating_sub(heard), "holds": matched, "counts": counts})
    });
    let edges = core.registry.edges(now).map(|(edge, ago)| {
        json!({"address": address(edge.id), "zone": edge.zone, "ready": edge.ready, "silentMs": ago})
    });
    json_response(
        200,
        json!({"self": address(core.settings.id()), "role": format!("{:?}", core.member.role()),
            "leader": core.member.leader().map(address), "term": core.member.term(), "lost": core.member.has_lost_state(),
            "members": core.member.members().iter().map(|id| address(*id)).collect::<Vec<_>>(),
            "furtherLosses": core.member.further_losses(now), "diskSuspended": core.member.writes_suspended(),
            "commit": commit, "last": last.1, "folded": core.view.index, "revision": core.view.revision,
            "peers": peers.collect::<Vec<_>>(), "edges": edges.collect::<Vec<_>>()})
        .to_string(),
    )
}
