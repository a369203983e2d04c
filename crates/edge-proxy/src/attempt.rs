//! One sending of a request to a marshal: its connection, the checks of the answer, and the answer's way to the client.

use crate::body::{gather, join, Carry, Cut, Gathered, Upload};
use crate::edge::Edge;
use crate::headers::{closes, strip, told_keep_alive, ATTEMPT, LOAD, NOT_EXECUTED, REMAINING, SEAL, TARGET};
use crate::out::{Out, StallTimer, Streamed};
use crate::pool::{Lease, NoLease};
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

/// What is left until a deadline.
pub fn left(edge: &Edge, deadline: Time) -> Duration {
    Duration::from_millis(deadline.saturating_sub(edge.now()))
}

/// A request's body, for one sending or for several.
pub enum Source {
    Whole(Bytes),
    Once(Option<Box<Upload>>),
}

impl Source {
    /// Whether it can be sent once more.
    pub fn again(&self) -> bool {
        !matches!(self, Source::Once(None))
    }

    fn carry(&mut self) -> Option<Carry> {
        match self {
            Source::Whole(bytes) => Some(Carry::Whole((!bytes.is_empty()).then(|| bytes.clone()))),
            Source::Once(upload) => upload.take().map(Carry::Stream),
        }
    }
}

/// A sending that is out: dropped with it, the marshal is free again.
pub struct Guard {
    edge: Rc<Edge>,
    sending: Option<Attempt>,
}

impl Guard {
    /// The sending has ended, and its end is told otherwise.
    pub fn disarm(mut self) -> Attempt {
        self.sending.take().unwrap_or_else(|| unreachable!("a guard is disarmed once"))
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if let Some(sending) = &self.sending {
            self.edge.router.borrow_mut().cancel_attempt(self.edge.now(), sending);
        }
    }
}

/// How a sending ended.
pub struct Done {
    pub guard: Guard,
    pub result: AttemptOutcome,
    pub load: Option<Load>,
    pub answer: Option<Answer>,
}

/// A marshal's answer, checked, its beginning here.
pub struct Answer {
    response: Response<()>,
    body: Gathered,
    lease: Lease,
    keep: Option<Duration>,
    exact: Option<u64>,
}

/// Sends a request to a marshal, until its deadline.
pub fn send<'a>(
    edge: &Rc<Edge>,
    parts: &Parts,
    source: &mut Source,
    sending: Attempt,
    deadline: Time,
    id: &'a str,
) -> impl std::future::Future<Output = Done> + 'a {
    let edge = Rc::clone(edge);
    let carry = source.carry();
    let target = parts.uri.path_and_query().map_or("/", |it| it.as_str()).parse::<Uri>();
    let mut headers = parts.headers.clone();
    let method = parts.method.clone();
    if let Ok(node) = HeaderValue::from_str(&sending.id) {
        headers.insert(TARGET, node);
    }
    let guard = Guard { edge: Rc::clone(&edge), sending: Some(sending.clone()) };
    async move {
        let mut load = None;
        let (result, answer) = match (carry, target) {
            (Some(carry), Ok(target)) => {
                let mut request = Request::new(carry);
                *request.method_mut() = method;
                *request.uri_mut() = target;
                *request.headers_mut() = headers;
                let within = left(&edge, deadline);
                let asking = ask(&edge, &sending, request, deadline, id, &mut load);
                match tokio::time::timeout(within, asking).await {
                    Ok(Ok((result, answer))) => (result, Some(answer)),
                    Ok(Err(result)) => (result, None),
                    Err(_) => (AttemptOutcome::TimedOut, None),
                }
            }
            _ => (AttemptOutcome::NotSent, None),
        };
        Done { guard, result, load, answer }
    }
}

/// Sends a request on a connection, and checks the answer's head and beginning.
async fn ask(
    edge: &Rc<Edge>,
    sending: &Attempt,
    mut request: Request<Carry>,
    deadline: Time,
    id: &str,
    load: &mut Option<Load>,
) -> Result<(AttemptOutcome, Answer), AttemptOutcome> {
    let mut fresh = false;
    let (mut lease, response) = loop {
        let lease = edge.pool.lease(sending, fresh).await;
        let mut lease = lease.map_err(|why| match why {
            NoLease::Unreached => AttemptOutcome::ConnectFailed,
            NoLease::Busy => AttemptOutcome::NotSent,
        })?;
        let remaining = edge.time_to_work(deadline);
        request.headers_mut().insert(REMAINING, HeaderValue::from(remaining));
        lease.unread.begin(left(edge, deadline));
        if lease.sender.ready().await.is_err() {
            if lease.used {
                fresh = true;
                continue;
            }
            return Err(AttemptOutcome::ConnectFailed);
        }
        match lease.sender.try_send_request(request).await {
            Ok(response) => break (lease, response),
            Err(mut problem) => match problem.take_message() {
                // Given back: not a byte of it was written.
                Some(back) if lease.used => {
                    request = back;
                    fresh = true;
                }
                Some(_) => return Err(AttemptOutcome::ConnectFailed),
                None => {
                    event!(ConnectionBroken, "{id} at {}: {}", sending.id, root_cause(problem.error()));
                    return Err(AttemptOutcome::ConnectionBroken);
                }
            },
        }
    };
    let (parts, body) = response.into_parts();
    let headers = &parts.headers;
    *load = headers.get(LOAD).and_then(|value| Load::parse(value.to_str().ok()?));
    let own = headers.get(ATTEMPT).map(|echo| echo.as_bytes() == id.as_bytes());
    let refused = headers.contains_key(NOT_EXECUTED);
    if own == Some(false) || (own.is_none() && !refused && parts.status != 421) {
        return Err(AttemptOutcome::ConnectionBroken); // another request's answer, or bytes that belong to none
    }
    lease.unread.answered();
    if parts.status == 421 {
        return Err(AttemptOutcome::WrongInstance);
    }
    if refused && parts.status != 400 {
        // The connection may be used again once the rest has come.
        let keep = told_keep_alive(headers);
        let whole = gather(body).await.is_ok_and(|gathered| gathered.rest.is_none());
        if whole && !closes(headers) {
            lease.used = true;
            edge.pool.give_back(lease, keep);
        }
        return Err(AttemptOutcome::Rejected);
    }
    let exact = body.size_hint().exact();
    // An answer without a length ends with its connection: one that is reset is an error of the body, not its end.
    let framed = exact.is_some() || headers.contains_key(header::TRANSFER_ENCODING);
    let sealed = headers.contains_key(SEAL) || !parts.status.is_success();
    if headers.contains_key(header::CONTENT_ENCODING) || !sealed {
        return Err(AttemptOutcome::ConnectionBroken); // not the marshal's bytes
    }
    let keep = if closes(headers) || !framed { Some(Duration::ZERO) } else { told_keep_alive(headers) };
    let result = if parts.status.is_server_error() { AttemptOutcome::Failed } else { AttemptOutcome::Served };
    let body = gather(body).await.map_err(|_: Cut| AttemptOutcome::ConnectionBroken)?;
    let response = Response::from_parts(parts, ());
    Ok((result, Answer { response, body, lease, keep, exact }))
}

/// The error below all others: "timed out" is this machine's own verdict, "reset" its peer's.
fn root_cause(problem: &dyn Error) -> &dyn Error {
    let mut cause = problem;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause
}

/// Gives a marshal's answer to the client, as it is.
///
/// `deadline`: the end of its request's time.
pub fn deliver(edge: &Rc<Edge>, answer: Answer, route: &Rc<Route>, deadline: Time) -> Response<Out> {
    let Answer { response, body, lease, keep, exact } = answer;
    let (mut parts, ()) = response.into_parts();
    strip(&mut parts.headers);
    parts.version = Version::HTTP_11;
    let out = match body.rest {
        None => {
            let bytes = join(body.head);
            edge.router.borrow_mut().record_response_size(route, bytes.len() as u64);
            edge.pool.give_back(lease, keep);
            Out::Whole((!bytes.is_empty()).then_some(bytes))
        }
        Some(rest) => {
            let (noting, route) = (Rc::clone(edge), Rc::clone(route));
            let at_end = move |whole: bool| {
                if let (true, Some(exact)) = (whole, exact) {
                    noting.router.borrow_mut().record_response_size(&route, exact);
                }
            };
            Out::Stream(Box::new(Streamed {
                head: body.head,
                rest,
                stall: StallTimer::new(Instant::now() + left(edge, deadline)),
                lease: Some(lease),
                keep,
                edge: Rc::clone(edge),
                at_end: Some(Box::new(at_end)),
            }))
        }
    };
    Response::from_parts(parts, out)
}
