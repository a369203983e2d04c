//! Carries one request from its head to its response. The router decides what to do; this module
//! does it: it sends bytes, checks responses and runs timers.

use crate::attempt::{client_response, send, time_left, FinishedAttempt, MarshalResponse, RequestBody};
use crate::body::{buffer_body, concat, BufferedBody, Upload};
use crate::client_stream::Exchange;
use crate::edge::Edge;
use crate::headers::{remove_hop_by_hop, set_tenant, tenant_key, ATTEMPT_ID, KEY_SCHEME, REMAINING_MS};
use crate::response_body::ResponseBody;
use crate::shutdown::RequestLimits;
use crate::validation::check_request;
use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use milletwing_config::configuration::TrafficClass;
use milletwing_config::{event, ErrorKind};
use milletwing_routing::table::Route;
use milletwing_routing::{Attempt, AttemptOutcome, RequestHead, RoutedRequest};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Seconds after which a client may retry at another edge when this one is shutting down and others
/// have capacity.
const RETRY_ELSEWHERE_S: f64 = 0.02;
/// Maximum number of requests in flight; more are refused, to bound memory use.
const MAX_REQUESTS: usize = 1_500;

struct RequestCount(Rc<Edge>);

impl Drop for RequestCount {
    fn drop(&mut self) {
        self.0.requests.set(self.0.requests.get().saturating_sub(1));
    }
}

/// Handles a request, and returns either a marshal's response or a refusal of this edge.
pub async fn handle_request(
    edge: Rc<Edge>,
    request: Request<Incoming>,
    exchange: &Rc<Exchange>,
) -> Response<ResponseBody> {
    edge.requests.set(edge.requests.get() + 1);
    let request_count = RequestCount(Rc::clone(&edge));
    let started = tokio::time::Instant::now();
    let result = relay(&edge, request, exchange).await;
    drop(request_count);
    let mut response = match result {
        Ok((response, class)) => {
            edge.metrics.answered(class, response.status().as_u16(), started.elapsed());
            response
        }
        Err(Refusal { kind, id, route }) => {
            event!(RequestEnded, "{id}: {kind}");
            edge.metrics.refused(route.as_ref().map(|route| route.class), &kind);
            refusal_response(&edge, &kind, route.as_deref())
        }
    };
    if edge.shutdown.get().is_some() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

struct Refusal {
    kind: ErrorKind,
    id: String,
    route: Option<Rc<Route>>,
}

fn refusal_response(edge: &Edge, kind: &ErrorKind, route: Option<&Route>) -> Response<ResponseBody> {
    let reply = kind.response();
    let mut response = Response::new(ResponseBody::Buffered(Some(Bytes::from(format!("{kind}\n")))));
    *response.status_mut() = StatusCode::from_u16(reply.status).unwrap_or_default();
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if reply.retryable {
        let retry_elsewhere = matches!(kind, ErrorKind::ShuttingDown);
        let retry_after = if retry_elsewhere {
            RETRY_ELSEWHERE_S
        } else {
            edge.router.borrow_mut().retry_after_seconds(route)
        };
        let retry_after = format!("{retry_after:.3}");
        if let Ok(retry_after) = HeaderValue::from_str(&retry_after) {
            headers.insert(header::RETRY_AFTER, retry_after);
        }
    }
    if matches!(kind, ErrorKind::Unauthorized) {
        headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static(KEY_SCHEME));
    }
    if matches!(kind, ErrorKind::BadRequest(_) | ErrorKind::BodyTooLarge | ErrorKind::HeadTooLarge) {
        // The rest of this request cannot be told apart from what follows on the connection.
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// A request that passed its checks and is ready to be sent.
struct PreparedRequest {
    parts: Parts,
    body: RequestBody,
    routed: RoutedRequest,
    host: String,
    id: String,
}

impl PreparedRequest {
    fn limits(&self) -> RequestLimits {
        let class = self.routed.route.class;
        RequestLimits {
            deadline: self.routed.deadline,
            retry_safe: class.is_retry_safe(),
            large_response: class == TrafficClass::Downlink,
        }
    }

    fn refuse(&self, kind: ErrorKind) -> Refusal {
        Refusal { kind, id: self.id.clone(), route: Some(Rc::clone(&self.routed.route)) }
    }
}

/// Checks a request, finds its route, and buffers the start of its body for the attempts.
async fn prepare(
    edge: &Rc<Edge>,
    request: Request<Incoming>,
    exchange: &Rc<Exchange>,
) -> Result<PreparedRequest, Refusal> {
    let (mut parts, body) = request.into_parts();
    let id = parts.headers.get(ATTEMPT_ID).and_then(|id| id.to_str().ok()).unwrap_or("").to_owned();
    let refuse =
        |kind: ErrorKind, route: Option<&Rc<Route>>| Refusal { kind, id: id.clone(), route: route.cloned() };
    let max_body = check_request(edge, &parts, &body, exchange.state()).map_err(|kind| refuse(kind, None))?;
    if edge.requests.get() > MAX_REQUESTS {
        return Err(refuse(ErrorKind::AtCapacity, None));
    }
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or(parts.uri.host()).unwrap_or("").to_owned();
    let remaining_ms =
        parts.headers.get(REMAINING_MS).and_then(|value| value.to_str().ok()?.trim().parse().ok());
    let routed = {
        let mut router = edge.router.borrow_mut();
        let head = RequestHead {
            host: &host,
            path: parts.uri.path(),
            remaining_ms,
            api_key: tenant_key(&parts.headers),
        };
        let routed = router.route_request(edge.now(), head).map_err(|kind| refuse(kind, None))?;
        // Before the tenant is set: a client may list that header field in its `Connection` header.
        remove_hop_by_hop(&mut parts.headers);
        // At once, with the configuration that the request was accepted by: a new one may come into
        // force while the body arrives.
        set_tenant(
            &mut parts.headers,
            routed.tenant.as_ref().map(|tenant| &*tenant.name),
            router.requires_keys(),
        );
        routed
    };
    let route = &routed.route;
    let time_left = time_left(edge, routed.deadline);
    let deadline = Instant::now() + time_left;
    exchange.state().unread.start_message(time_left);
    let reading = tokio::time::timeout_at(deadline, buffer_body(body));
    let read_body = match reading.await {
        Ok(Ok(read_body)) => read_body,
        Ok(Err(_)) => return Err(refuse(ErrorKind::BadRequest("the body broke off".into()), Some(route))),
        Err(_) => return Err(refuse(ErrorKind::DeadlineExceeded, Some(route))),
    };
    parts.headers.remove(header::CONTENT_LENGTH);
    parts.headers.remove(header::EXPECT);
    let buffered_bytes: u64 = read_body.buffered.iter().map(|bytes| bytes.len() as u64).sum();
    if buffered_bytes > max_body {
        return Err(refuse(ErrorKind::BodyTooLarge, Some(route)));
    }
    let body = match read_body {
        BufferedBody { buffered, rest: None } => RequestBody::Buffered(concat(buffered)),
        BufferedBody { buffered, rest: Some(rest) } => {
            RequestBody::Streaming(Some(Upload::new(buffered, rest, max_body, deadline, Rc::clone(exchange))))
        }
    };
    Ok(PreparedRequest { parts, body, routed, host, id })
}

/// Returns a marshal's response with the class of its route, or why this edge refuses the request.
async fn relay(
    edge: &Rc<Edge>,
    request: Request<Incoming>,
    exchange: &Rc<Exchange>,
) -> Result<(Response<ResponseBody>, TrafficClass), Refusal> {
    let mut prepared = prepare(edge, request, exchange).await?;
    log_admission(edge, &prepared);
    if !edge.admits(prepared.limits()) {
        return Err(prepared.refuse(ErrorKind::ShuttingDown));
    }
    let first = edge.router.borrow_mut().start_attempt(edge.now(), &mut prepared.routed);
    let first = first.map_err(|kind| prepared.refuse(kind))?;
    let request_info = [prepared.id.as_str(), prepared.host.as_str(), prepared.parts.uri.path()];
    edge.router.borrow_mut().record_sample(edge.now(), request_info, &prepared.routed, &first);
    try_marshals(edge, &mut prepared, first).await
}

/// Logs, during a shutdown, on what grounds a request is accepted or refused.
fn log_admission(edge: &Edge, prepared: &PreparedRequest) {
    let Some(shutdown) = edge.shutdown.get() else { return };
    let limits = prepared.limits();
    let verdict = if edge.admits(limits) { "accepted" } else { "refused" };
    let class = prepared.routed.route.class;
    let deadline = limits.deadline.saturating_sub(edge.now());
    let given = edge.processing_time_left(limits.deadline);
    let exit = shutdown.time_left(edge.now());
    event!(
        ShutdownAdmission,
        "{}: {verdict}, {class:?}, deadline in {deadline} ms, marshal gets {given} ms, exit in {exit} ms",
        prepared.id
    );
}

/// Sends a request to one marshal after another, with a hedged attempt at a second one if the first
/// is slow, until one has served it, no further attempt is allowed, or the deadline has passed.
async fn try_marshals(
    edge: &Rc<Edge>,
    prepared: &mut PreparedRequest,
    first: Attempt,
) -> Result<(Response<ResponseBody>, TrafficClass), Refusal> {
    let (limits, id) = (prepared.limits(), prepared.id.clone());
    let mut deadline_timer = std::pin::pin!(tokio::time::sleep(time_left(edge, limits.deadline)));
    let hedge_delay = edge.router.borrow().hedge_delay(&prepared.routed, &first);
    let mut hedge_timer = std::pin::pin!(tokio::time::sleep(Duration::from_millis(hedge_delay.unwrap_or(0))));
    let mut hedge_pending = hedge_delay.is_some() && prepared.body.can_send();
    let mut running = FuturesUnordered::new();
    let mut latest = first.clone();
    running.push(send(edge, &prepared.parts, &mut prepared.body, first, limits, &id));
    loop {
        tokio::select! {
            biased;
            Some(finished) = running.next() => {
                let (outcome, response) = record_outcome(edge, prepared, finished);
                if outcome == AttemptOutcome::Served && response.is_some() {
                    return final_response(edge, prepared, response, ErrorKind::MarshalDisconnected);
                }
                let may_retry = prepared.body.can_send()
                    && edge.admits(limits)
                    && edge.router.borrow().may_retry(edge.now(), &prepared.routed, outcome);
                if may_retry {
                    let next = edge.router.borrow_mut().start_attempt(edge.now(), &mut prepared.routed);
                    match next {
                        Ok(next) => {
                            // The hedge timer was set for the attempt that has ended; the new one
                            // gets its own delay.
                            let hedge_delay = edge.router.borrow().hedge_delay(&prepared.routed, &next);
                            if let Some(hedge_delay) = hedge_delay {
                                let until = tokio::time::Instant::now() + Duration::from_millis(hedge_delay);
                                hedge_timer.as_mut().reset(until);
                            }
                            latest = next.clone();
                            running.push(send(edge, &prepared.parts, &mut prepared.body, next, limits, &id));
                            hedge_pending = hedge_delay.is_some() && prepared.body.can_send();
                        }
                        Err(kind) if running.is_empty() => return final_response(edge, prepared, response, kind),
                        Err(_) => {}
                    }
                    continue;
                }
                if running.is_empty() {
                    let kind = refusal_kind(edge, prepared, outcome);
                    return final_response(edge, prepared, response, kind);
                }
            }
            _ = hedge_timer.as_mut(), if hedge_pending && edge.admits(limits) => {
                hedge_pending = false;
                edge.router.borrow_mut().record_timeout(edge.now(), &latest);
                let next = edge.router.borrow_mut().start_attempt(edge.now(), &mut prepared.routed);
                if let Ok(next) = next {
                    running.push(send(edge, &prepared.parts, &mut prepared.body, next, limits, &id));
                }
            }
            _ = deadline_timer.as_mut() => return Err(prepared.refuse(ErrorKind::ResponseTimeout)),
        }
    }
}

/// Reports the outcome of an attempt to the router, and returns it with the response.
fn record_outcome(
    edge: &Edge,
    prepared: &mut PreparedRequest,
    finished: FinishedAttempt,
) -> (AttemptOutcome, Option<MarshalResponse>) {
    let FinishedAttempt { guard, outcome, load, response } = finished;
    let attempt = guard.disarm();
    let now = edge.now();
    edge.metrics.attempt_ended(outcome);
    let avoided_ms =
        edge.router.borrow_mut().finish_attempt(now, &mut prepared.routed, &attempt, outcome, load);
    if let Some(span) = avoided_ms {
        event!(NodeAvoided, "{} for {span} ms: {outcome:?}", attempt.id);
    }
    if outcome != AttemptOutcome::Served {
        let duration_ms = now - attempt.started_at;
        event!(TryEnded, "{} at {}: {outcome:?} after {duration_ms} ms", prepared.id, attempt.id);
    }
    (outcome, response)
}

/// Returns the marshal's own response if there is one, and a refusal of this edge otherwise.
fn final_response(
    edge: &Rc<Edge>,
    prepared: &PreparedRequest,
    response: Option<MarshalResponse>,
    kind: ErrorKind,
) -> Result<(Response<ResponseBody>, TrafficClass), Refusal> {
    match response {
        Some(response) => {
            let route = &prepared.routed.route;
            Ok((client_response(edge, response, route, prepared.routed.deadline), route.class))
        }
        None => Err(prepared.refuse(kind)),
    }
}

/// The reason given to the client when there is no response of a marshal.
fn refusal_kind(edge: &Edge, prepared: &PreparedRequest, outcome: AttemptOutcome) -> ErrorKind {
    match outcome {
        AttemptOutcome::TimedOut => ErrorKind::ResponseTimeout,
        _ if prepared.routed.may_have_run => ErrorKind::MarshalDisconnected,
        _ if !edge.admits(prepared.limits()) => ErrorKind::ShuttingDown,
        AttemptOutcome::Rejected | AttemptOutcome::WrongInstance => ErrorKind::RejectedByMarshal,
        _ => ErrorKind::NoReachableMarshal,
    }
}
