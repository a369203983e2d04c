//! Calls over HTTP: marshals' beats, operators' orders, clients' look-ups. The table of routes is held against
//! `api/control.json` by a test.

use crate::core::{Core, Shared};
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
use serde::Deserialize;
use serde_json::json;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// Method and path of every call, as the API's file has them.
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

/// How long a caller waits before it goes elsewhere, less the way back.
const WITHIN: Duration = Duration::from_millis(900);
/// And where the body is large.
const WITHIN_LARGE: Duration = Duration::from_millis(2_500);
/// Part of the descriptors that callers' connections may take: a marshal keeps one between its beats.
const SHARE: f64 = 0.6;
/// Connections at once where the settings grant few descriptors.
const LEAST: usize = 768;
/// Connections that are open, and the word to close them.
#[derive(Default)]
pub struct Open {
    count: Cell<usize>,
    closing: Cell<bool>,
    close: Notify,
}

impl Open {
    /// How many there are.
    pub fn count(&self) -> usize {
        self.count.get()
    }
    /// Each is closed after the answer under way.
    pub fn close(&self) {
        self.closing.set(true);
        self.close.notify_waiters();
    }
}

/// Serves a listener.
pub async fn serve(core: Shared, listener: TcpListener, open: Rc<Open>) {
    let granted = core.borrow().settings.own.thresholds.max_files as f64;
    let most = LEAST.max((granted * SHARE) as usize);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) if open.count() < most => stream,
            Ok(_) => continue,
            Err(_) => {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        let _ = milletwing_wire::configure_stream(&stream, Duration::from_secs(5));
        let (core, open) = (Rc::clone(&core), Rc::clone(&open));
        open.count.set(open.count() + 1);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let core = Rc::clone(&core);
                async move { Ok::<_, std::convert::Infallible>(answer(core, request).await) }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_secs(20))
                .max_buf_size(16 << 10)
                .serve_connection(TokioIo::new(stream), service);
            let mut connection = std::pin::pin!(connection);
            tokio::select! {
                _ = connection.as_mut() => {}
                _ = open.close.notified() => {
                    connection.as_mut().graceful_shutdown();
                    let _ = connection.await; // the caller's concern: it has had its answer
                }
            }
            open.count.set(open.count() - 1);
        });
    }
}

type Reply = Response<Full<Bytes>>;

fn reply(status: u16, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

fn refuse(status: u16, why: &str) -> Reply {
    let mut reply = reply(status, json!({ "error": why }).to_string());
    if status == 503 {
        reply.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("0.2"));
    }
    reply
}

fn refused(kind: &ErrorKind) -> Reply {
    refuse(kind.response().status, &kind.to_string())
}

/// An order's end as its caller sees it.
fn ended(answer: Answer) -> Reply {
    match answer {
        Answer::Done(_) => reply(200, "{}"),
        Answer::Refused(status, why) => refuse(status, &why),
        Answer::Unknown => refused(&ErrorKind::OutcomeUnknown),
        Answer::NotAccepted => refused(&ErrorKind::NoLeader),
        Answer::Superseded => refused(&ErrorKind::Superseded),
    }
}

async fn body(request: Request<Incoming>, most: usize) -> Result<Bytes, ErrorKind> {
    // What says that it is too long is refused before it is taken.
    if request.body().size_hint().lower() > most as u64 {
        return Err(ErrorKind::BodyTooLarge);
    }
    let read = Limited::new(request.into_body(), most).collect();
    let read = tokio::time::timeout(Duration::from_secs(5), read).await;
    match read {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(problem)) if problem.is::<LengthLimitError>() => Err(ErrorKind::BodyTooLarge),
        Ok(Err(problem)) => Err(ErrorKind::Unreadable(problem.to_string())),
        // Not 400, which would end the call for good: a narrow link is no fault of its caller's.
        Err(_) => Err(ErrorKind::BodyTimeout),
    }
}

/// The query's value of a name, percent signs resolved as far as names of zones and regions need it.
fn query<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    let pairs = request.uri().query()?.split('&');
    pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, value)| value)
}

async fn answer(core: Shared, request: Request<Incoming>) -> Reply {
    let path = request.uri().path().to_owned();
    let Some(rest) = path.strip_prefix("/milletwing/") else { return refused(&ErrorKind::UnknownPath) };
    let parts: Vec<&str> = rest.split('/').collect();
    let method = request.method().clone();
    let result = match (&method, parts.as_slice()) {
        (&Method::PUT, ["nodes", id]) if !id.is_empty() => beat(&core, id, request).await,
        (&Method::DELETE, ["nodes", id]) if !id.is_empty() => leave(&core, id).await,
        (&Method::GET, ["nodes"]) => Ok(nodes(&core)),
        (&Method::PUT, ["configuration"]) => configure(&core, request).await,
        (&Method::GET, ["configuration"]) => configuration(&core).await,
        (&Method::POST, ["rollouts"]) => roll_out(&core, request).await,
        (&Method::GET, ["rollouts", service]) => rollout(&core, service).await,
        (&Method::POST, ["evacuation", zone]) => evacuate(&core, zone, true).await,
        (&Method::DELETE, ["evacuation", zone]) => evacuate(&core, zone, false).await,
        (&Method::GET, ["resolution"]) => Ok(resolve(&core, &request)),
        (&Method::GET, ["members"]) => Ok(members(&core)),
        (&Method::GET, ["trials"]) => Ok(at_leader(&core, "trials", core.borrow().trials())),
        (&Method::GET, ["drift"]) => Ok(at_leader(&core, "drift", core.borrow().drifted())),
        (&Method::GET, ["suspects"]) => Ok(at_leader(&core, "suspects", core.borrow().suspected())),
        (&Method::GET, ["decisions", attempt]) if !attempt.is_empty() => Ok(decisions(&core, attempt)),
        _ => Err(other_method(&parts)),
    };
    let mut reply = result.unwrap_or_else(|kind| refused(&kind));
    core.borrow().metrics.answered(parts.first().unwrap_or(&""), reply.status().as_u16());
    if reply.status() == 405 {
        reply.headers_mut().insert(ALLOW, HeaderValue::from_static("GET, PUT, POST, DELETE"));
    }
    reply
}

/// A path that exists under another method, or not at all.
fn other_method(parts: &[&str]) -> ErrorKind {
    let fits = |path: &str| {
        let known: Vec<&str> = path.trim_start_matches("/milletwing/").split('/').collect();
        known.len() == parts.len()
            && known
                .iter()
                .zip(parts)
                .all(|(known, part)| known == part || (known.starts_with('{') && !part.is_empty()))
    };
    if ROUTES.iter().any(|(_, path)| fits(path)) {
        ErrorKind::MethodNotAllowed
    } else {
        ErrorKind::UnknownPath
    }
}

async fn beat(core: &Shared, id: &str, request: Request<Incoming>) -> Result<Reply, ErrorKind> {
    if id.len() > 128 {
        return Err(ErrorKind::InvalidBeat("the id is over 128 bytes".into()));
    }
    let beat = Beat::parse(&body(request, 16 << 10).await?)?;
    Ok(ended(Core::beat(core, id.into(), beat, WITHIN).await))
}

async fn leave(core: &Shared, id: &str) -> Result<Reply, ErrorKind> {
    Ok(ended(Core::order(core, CoreRequest::Leave { id: id.into() }, WITHIN).await))
}

fn nodes(core: &Shared) -> Reply {
    let core = core.borrow();
    let nodes = core.view.nodes.values().map(|node| {
        json!({"id": node.id, "target": node.target, "address": node.address, "zone": node.zone,
            "revision": node.revision, "capacity": node.capacity, "phase": format!("{:?}", node.phase),
            "inService": core.view.in_service(node)})
    });
    reply(200, json!({ "index": core.view.index, "nodes": nodes.collect::<Vec<_>>() }).to_string())
}

async fn configure(core: &Shared, request: Request<Incoming>) -> Result<Reply, ErrorKind> {
    let given = request.headers().get("if-match").and_then(|value| value.to_str().ok());
    let if_match: Option<u64> = given.and_then(|value| value.trim().trim_matches('"').parse().ok());
    let body = body(request, MAX_CONFIGURATION_BYTES).await?;
    let within = if body.len() > 64 << 10 { WITHIN_LARGE } else { WITHIN };
    let answer = Core::configure(core, if_match, &body, within).await;
    match &answer {
        Ok(Answer::Done(_)) => warn_of_unread(&body),
        Ok(Answer::Refused(..) | Answer::NotAccepted | Answer::Unknown | Answer::Superseded) => {} // what is agreed is noted as it is folded
        Err(kind) => event!(Refused, "configuration on {if_match:?}: {kind}"),
    }
    answer.map(ended)
}

/// Says which fields of a configuration that was taken are passed over.
fn warn_of_unread(body: &[u8]) {
    let fields = Configuration::ignored_fields(body).unwrap_or_default(); // it was read before it was taken
    if !fields.is_empty() {
        let fields: Vec<String> = fields.into_iter().collect();
        event!(PassedOver, "{}", fields.join(", "));
    }
}

async fn configuration(core: &Shared) -> Result<Reply, ErrorKind> {
    Core::read(core, WITHIN).await?;
    let core = core.borrow();
    if core.view.revision == 0 {
        return Err(ErrorKind::NotFound("configuration".into()));
    }
    Ok(reply(200, core.view.body.as_ref().clone()))
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Order {
    target: String,
    target_revision: String,
    #[serde(default)]
    period_s: f64,
}

async fn roll_out(core: &Shared, request: Request<Incoming>) -> Result<Reply, ErrorKind> {
    let body = body(request, 16 << 10).await?;
    let order: Order = serde_json::from_slice(&body).map_err(|why| ErrorKind::Unreadable(why.to_string()))?;
    let period_ms = (order.period_s.clamp(0.0, 86_400.0) * 1000.0) as u64;
    Core::rollout(core, order.target, order.target_revision, period_ms, WITHIN).await.map(ended)
}

async fn rollout(core: &Shared, service: &str) -> Result<Reply, ErrorKind> {
    Core::read(core, WITHIN).await?;
    let core = core.borrow();
    let roll = core
        .view
        .rollouts
        .get(service)
        .ok_or_else(|| ErrorKind::NotFound(format!("roll-out of {service}")))?;
    Ok(reply(200, json!({ "state": roll.state.as_str(), "targetRevision": roll.to }).to_string()))
}

async fn evacuate(core: &Shared, zone: &str, on: bool) -> Result<Reply, ErrorKind> {
    let known = {
        let core = core.borrow();
        core.settings.network.zones.contains_key(zone)
            || core.view.nodes.values().any(|node| node.zone == zone)
    };
    if !known {
        return Err(ErrorKind::NotFound(format!("zone {zone}")));
    }
    Ok(ended(Core::evacuation(core, zone, on, WITHIN).await))
}

fn resolve(core: &Shared, request: &Request<Incoming>) -> Reply {
    let core = core.borrow();
    let zone = query(request, "zone").unwrap_or("");
    let region = query(request, "region").unwrap_or_else(|| core.settings.region(zone));
    let resolution = core.resolve(query(request, "name").unwrap_or(""), region);
    if resolution.edges.is_empty() {
        return refuse(503, "no edge is known");
    }
    reply(200, json!({ "addresses": resolution.edges, "ttlS": resolution.hold_s }).to_string())
}

/// What the leader knows best: others say where it is, with what they know. All machines use the same ports.
fn at_leader(core: &Shared, what: &str, known: serde_json::Value) -> Reply {
    let core = core.borrow();
    let leader = core.member.leader().filter(|leader| *leader != core.settings.id());
    match (leader, core.settings.binding("controlPlane")) {
        (Some(leader), Ok(own)) => {
            let place = milletwing_wire::internal_address(leader, own.port());
            let mut reply = reply(307, known.to_string());
            if let Ok(place) = HeaderValue::from_str(&format!("http://{place}/milletwing/{what}")) {
                reply.headers_mut().insert(LOCATION, place);
            }
            reply
        }
        _ => reply(200, known.to_string()),
    }
}

/// Each machine knows the decisions that its own edges told it.
fn decisions(core: &Shared, attempt: &str) -> Reply {
    let core = core.borrow();
    reply(200, json!({ "decisions": core.drift.explain(core.now(), attempt) }).to_string())
}

fn members(core: &Shared) -> Reply {
    let core = core.borrow();
    let now = core.now();
    let name = |id: u32| std::net::Ipv4Addr::from_bits(id).to_string();
    let (commit, last) = core.member.commit_and_last();
    let peers = core.member.peers().map(|(id, heard, matched, counts)| {
        json!({"address": name(id), "silentMs": now.saturating_sub(heard), "holds": matched, "counts": counts})
    });
    let edges = core.registry.edges(now).map(|(edge, ago)| {
        json!({"address": name(edge.id), "zone": edge.zone, "ready": edge.ready, "silentMs": ago})
    });
    reply(
        200,
        json!({"self": name(core.settings.id()), "role": format!("{:?}", core.member.role()),
            "leader": core.member.leader().map(name), "term": core.member.term(), "lost": core.member.has_lost_state(),
            "members": core.member.members().iter().map(|id| name(*id)).collect::<Vec<_>>(),
            "furtherLosses": core.member.further_losses(now), "diskSuspended": core.member.writes_suspended(),
            "commit": commit, "last": last.1, "folded": core.view.index, "revision": core.view.revision,
            "peers": peers.collect::<Vec<_>>(), "edges": edges.collect::<Vec<_>>()})
        .to_string(),
    )
}
