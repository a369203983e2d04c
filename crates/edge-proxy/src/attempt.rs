//! One attempt to send a request to a marshal: it gets a connection, sends the request, checks the
//! response and builds the response for the client.

use crate::body::{buffer_body, concat, BodyError, BufferedBody, OutgoingBody, Upload};
use crate::edge::Edge;
use crate::headers::{
    closes_connection, keep_alive_timeout, remove_hop_by_hop, ATTEMPT_ID, NODE_LOAD, NOT_EXECUTED,
    REMAINING_MS, SERVER_SEAL, TARGET_NODE,
};
use crate::pool::{AcquireError, Lease};
use crate::response_body::{ResponseBody, StallTimer, StreamedBody};
use crate::shutdown::RequestLimits;
use bytes::Bytes;
use hyper::body::Body;
use hyper::header::{self, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, Uri, Version};
use milletwing_config::event;
use milletwing_routing::table::Route;
use milletwing_routing::{Attempt, AttemptOutcome, Load, Time};
use std::error::Error;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The time left until a deadline.
pub fn time_left(edge: &Edge, deadline: Time) -> Duration {
    Duration::from_millis(deadline.saturating_sub(edge.now()))
}

/// A request body that can be sent in several attempts if it is buffered, and in only one if it is
/// streamed.
pub enum RequestBody {
    Buffered(Bytes),
    Streaming(Option<Box<Upload>>),
}

impl RequestBody {
    /// Whether the body can still be sent in a further attempt.
    pub fn can_send(&self) -> bool {
        !matches!(self, RequestBody::Streaming(None))
    }

    fn take(&mut self) -> Option<OutgoingBody> {
        match self {
            RequestBody::Buffered(bytes) => {
                Some(OutgoingBody::Buffered((!bytes.is_empty()).then(|| bytes.clone())))
            }
            RequestBody::Streaming(upload) => upload.take().map(OutgoingBody::Streaming),
        }
    }
}

/// An attempt in progress. If it is dropped, the router stops counting it at its marshal.
pub struct AttemptGuard {
    edge: Rc<Edge>,
    attempt: Option<Attempt>,
}

impl AttemptGuard {
    /// Releases the attempt without reporting it as dropped: its outcome is reported by the caller.
    pub fn disarm(mut self) -> Attempt {
        self.attempt.take().unwrap_or_else(|| unreachable!("a guard is disarmed once"))
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if let Some(attempt) = &self.attempt {
            self.edge.router.borrow_mut().cancel_attempt(self.edge.now(), attempt);
        }
    }
}

/// A finished attempt, with its outcome and the response, if one was accepted.
pub struct FinishedAttempt {
    pub guard: AttemptGuard,
    pub outcome: AttemptOutcome,
    pub load: Option<Load>,
    pub response: Option<MarshalResponse>,
}

/// A marshal's response that has passed its checks, with the start of its body.
pub struct MarshalResponse {
    response: Response<()>,
    body: BufferedBody,
    lease: Lease,
    keep_alive: Option<Duration>,
    exact_size: Option<u64>,
}

/// Sends a request to a marshal and waits for the response until the deadline.
///
/// The outcome is [`AttemptOutcome::NotSent`] if this process has begun to shut down meanwhile and
/// the request is no longer admitted.
pub fn send<'a>(
    edge: &Rc<Edge>,
    parts: &Parts,
    request_body: &mut RequestBody,
    attempt: Attempt,
    limits: RequestLimits,
    id: &'a str,
) -> impl std::future::Future<Output = FinishedAttempt> + 'a {
    let edge = Rc::clone(edge);
    let body = request_body.take();
    let target = parts.uri.path_and_query().map_or("/", |path| path.as_str()).parse::<Uri>();
    let mut headers = parts.headers.clone();
    let method = parts.method.clone();
    if let Ok(node_id) = HeaderValue::from_str(&attempt.id) {
        headers.insert(TARGET_NODE, node_id);
    }
    let guard = AttemptGuard { edge: Rc::clone(&edge), attempt: Some(attempt.clone()) };
    async move {
        let mut load = None;
        let (outcome, response) = match (body, target) {
            (Some(body), Ok(target)) => {
                if body.size_hint().exact().is_none() {
                    // Without it the client library sends no body with GET and HEAD.
                    headers.insert(header::TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
                }
                let mut request = Request::new(body);
                *request.method_mut() = method;
                *request.uri_mut() = target;
                *request.headers_mut() = headers;
                let timeout = time_left(&edge, limits.deadline);
                let exchange = send_and_check(&edge, &attempt, request, limits, id, &mut load);
                match tokio::time::timeout(timeout, exchange).await {
                    Ok(Ok((outcome, response))) => (outcome, Some(response)),
                    Ok(Err(outcome)) => (outcome, None),
                    Err(_) => (AttemptOutcome::TimedOut, None),
                }
            }
            _ => (AttemptOutcome::NotSent, None),
        };
        FinishedAttempt { guard, outcome, load, response }
    }
}

/// Sends a request on a pooled or new connection, and checks the head of the response and the start
/// of its body.
async fn send_and_check(
    edge: &Rc<Edge>,
    attempt: &Attempt,
    mut request: Request<OutgoingBody>,
    limits: RequestLimits,
    id: &str,
    load: &mut Option<Load>,
) -> Result<(AttemptOutcome, MarshalResponse), AttemptOutcome> {
    let mut new_only = false;
    let (mut lease, response) = loop {
        let lease = edge.pool.acquire(attempt, new_only).await;
        let mut lease = lease.map_err(|error| match error {
            AcquireError::ConnectFailed => AttemptOutcome::ConnectFailed,
            AcquireError::AtLimit => AttemptOutcome::NotSent,
        })?;
        let remaining = edge.processing_time_left(limits.deadline);
        request.headers_mut().insert(REMAINING_MS, HeaderValue::from(remaining));
        lease.unread.start_message(time_left(edge, limits.deadline));
        if lease.sender.ready().await.is_err() {
            if lease.reused {
                new_only = true;
                continue;
            }
            return Err(AttemptOutcome::ConnectFailed);
        }
        // The shutdown may have begun while a connection was opened.
        if !edge.admits(limits) {
            edge.pool.release(lease, None);
            return Err(AttemptOutcome::NotSent);
        }
        match lease.sender.try_send_request(request).await {
            Ok(response) => break (lease, response),
            Err(mut error) => match error.take_message() {
                // The request was returned by the client library: not a byte of it was written.
                Some(returned) if lease.reused => {
                    request = returned;
                    new_only = true;
                }
                Some(_) => return Err(AttemptOutcome::ConnectFailed),
                None => {
                    event!(ConnectionBroken, "{id} at {}: {}", attempt.id, root_cause(error.error()));
                    return Err(AttemptOutcome::ConnectionBroken);
                }
            },
        }
    };
    let (parts, body) = response.into_parts();
    let headers = &parts.headers;
    *load = headers.get(NODE_LOAD).and_then(|value| Load::parse(value.to_str().ok()?));
    let id_matches = headers.get(ATTEMPT_ID).map(|echoed_id| echoed_id.as_bytes() == id.as_bytes());
    let not_executed = headers.contains_key(NOT_EXECUTED);
    if id_matches == Some(false) || (id_matches.is_none() && !not_executed && parts.status != 421) {
        return Err(AttemptOutcome::ConnectionBroken); // the response belongs to another request, or to none
    }
    lease.unread.on_response();
    if parts.status == 421 {
        return Err(AttemptOutcome::WrongInstance);
    }
    if not_executed && parts.status != 400 {
        // The connection can be reused once the whole body has been received.
        let keep_alive = keep_alive_timeout(headers);
        let complete = buffer_body(body).await.is_ok_and(|body| body.rest.is_none());
        if complete && !closes_connection(headers) {
            lease.reused = true;
            edge.pool.release(lease, keep_alive);
        }
        return Err(AttemptOutcome::Rejected);
    }
    if !has_one_length(headers) {
        return Err(AttemptOutcome::ConnectionBroken);
    }
    let exact_size = body.size_hint().exact();
    // The body of a response without a length ends when its connection closes. A reset is then an
    // error of the body, not its end.
    let framed = exact_size.is_some() || headers.contains_key(header::TRANSFER_ENCODING);
    let sealed = headers.contains_key(SERVER_SEAL) || !parts.status.is_success();
    if headers.contains_key(header::CONTENT_ENCODING) || !sealed {
        return Err(AttemptOutcome::ConnectionBroken); // the body is not as the marshal sent it
    }
    let keep_alive = if closes_connection(headers) || !framed {
        Some(Duration::ZERO)
    } else {
        keep_alive_timeout(headers)
    };
    let outcome =
        if parts.status.is_server_error() { AttemptOutcome::Failed } else { AttemptOutcome::Served };
    let body = buffer_body(body).await.map_err(|_: BodyError| AttemptOutcome::ConnectionBroken)?;
    let response = Response::from_parts(parts, ());
    Ok((outcome, MarshalResponse { response, body, lease, keep_alive, exact_size }))
}

/// Whether the header fields of a response leave no doubt where its body ends: no transfer coding, or
/// `chunked` alone and no length beside it.
fn has_one_length(headers: &header::HeaderMap) -> bool {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else { return true };
    let is_chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked") && codings.next().is_none();
    is_chunked && !headers.contains_key(header::CONTENT_LENGTH)
}

/// The innermost cause of an error: "timed out" comes from this host's own timer, "reset" from the
/// peer.
fn root_cause(error: &dyn Error) -> &dyn Error {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause
}

/// Builds the response for the client from a marshal's response, with its status and body
/// unchanged.
///
/// `deadline` is the deadline of the request.
pub fn client_response(
    edge: &Rc<Edge>,
    response: MarshalResponse,
    route: &Rc<Route>,
    deadline: Time,
) -> Response<ResponseBody> {
    let MarshalResponse { response, body, lease, keep_alive, exact_size } = response;
    let (mut parts, ()) = response.into_parts();
    remove_hop_by_hop(&mut parts.headers);
    parts.version = Version::HTTP_11;
    let response_body = match body.rest {
        None => {
            let bytes = concat(body.buffered);
            edge.router.borrow_mut().record_response_size(route, bytes.len() as u64);
            edge.pool.release(lease, keep_alive);
            ResponseBody::Buffered((!bytes.is_empty()).then_some(bytes))
        }
        Some(rest) => {
            let (recorder, route) = (Rc::clone(edge), Rc::clone(route));
            let on_end = move |complete: bool| {
                if let (true, Some(exact_size)) = (complete, exact_size) {
                    recorder.router.borrow_mut().record_response_size(&route, exact_size);
                }
            };
            ResponseBody::Streaming(Box::new(StreamedBody {
                buffered: body.buffered,
                rest,
                stall: StallTimer::new(Instant::now() + time_left(edge, deadline)),
                lease: Some(lease),
                keep_alive,
                edge: Rc::clone(edge),
                on_end: Some(Box::new(on_end)),
            }))
        }
    };
    Response::from_parts(parts, response_body)
}
