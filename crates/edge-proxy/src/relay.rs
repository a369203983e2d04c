//! One request from its head to its answer. What to do is `router`'s word; here it is done: bytes are sent, answers are
//! checked, clocks run.

use crate::body::{gather, join, Carry, Cut, Gathered};
use crate::edge::Edge;
use crate::out::{Out, Streamed};
use crate::pool::{Lease, NoLease};
use crate::watched::Notes;
use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode, Uri, Version};
use milletwing_config::configuration::Class;
use milletwing_config::{event, Kind};
use milletwing_routing::table::Route;
use milletwing_routing::{Load, Result as Ended, Sending, Ticket, Time};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

const ATTEMPT: HeaderName = HeaderName::from_static("x-milletwing-attempt-id");
const REMAINING: HeaderName = HeaderName::from_static("x-milletwing-remaining-ms");
const TARGET: HeaderName = HeaderName::from_static("x-milletwing-target-node");
const SEAL: HeaderName = HeaderName::from_static("x-milletwing-server-seal");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-milletwing-not-executed");
const LOAD: HeaderName = HeaderName::from_static("x-milletwing-node-load");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Headers that concern one connection only (RFC 9110, 7.6.1); framing is made anew on each side.
const HOP: [HeaderName; 9] = [
    header::CONNECTION,
    KEEP_ALIVE,
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Seconds after which a client may come back elsewhere, where other machines have room.
const ELSEWHERE_S: f64 = 0.02;
/// Requests under way at once; more are refused, so that their memory is bounded.
const MOST: usize = 1_500;

struct Counted(Rc<Edge>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.requests.set(self.0.requests.get().saturating_sub(1));
    }
}

/// Answers a request. `notes`: what was noticed of its bytes.
pub async fn answer(edge: Rc<Edge>, request: Request<Incoming>, notes: &Notes) -> Response<Out> {
    edge.requests.set(edge.requests.get() + 1);
    let counted = Counted(Rc::clone(&edge));
    let begun = tokio::time::Instant::now();
    let result = relay(&edge, request, notes).await;
    drop(counted);
    let mut response = match result {
        Ok((response, class)) => {
            edge.metrics.answered(class, response.status().as_u16(), begun.elapsed());
            response
        }
        Err(Refusal { kind, id, route }) => {
            event!(RequestEnded, "{id}: {kind}");
            edge.metrics.refused(route.as_ref().map(|route| route.class), &kind);
            refused(&edge, &kind, route.as_deref())
        }
    };
    if edge.leaving.get() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

struct Refusal {
    kind: Kind,
    id: String,
    route: Option<Rc<Route>>,
}

fn refused(edge: &Edge, kind: &Kind, route: Option<&Route>) -> Response<Out> {
    let answer = kind.answer();
    let mut response = Response::new(Out::Whole(Some(Bytes::from(format!("{kind}\n")))));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or_default();
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if answer.again {
        let elsewhere = matches!(kind, Kind::Leaving);
        let wait = if elsewhere { ELSEWHERE_S } else { edge.router.borrow_mut().back(route) };
        let wait = format!("{wait:.3}");
        if let Ok(wait) = HeaderValue::from_str(&wait) {
            headers.insert(header::RETRY_AFTER, wait);
        }
    }
    if matches!(kind, Kind::BadRequest(_) | Kind::BodyTooLarge | Kind::HeadTooLarge) {
        // What may follow on this connection can't be told from the rest of this request.
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Takes away what concerns one connection only.
fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(HOP.iter()) {
        headers.remove(name);
    }
}

/// A marshal's answer with the class of its route, or the kind of this edge's own.
async fn relay(
    edge: &Rc<Edge>,
    request: Request<Incoming>,
    notes: &Notes,
) -> Result<(Response<Out>, Class), Refusal> {
    let (mut parts, body) = request.into_parts();
    let id = parts.headers.get(ATTEMPT).and_then(|id| id.to_str().ok()).unwrap_or("").to_owned();
    let refuse =
        |kind: Kind, route: Option<&Rc<Route>>| Refusal { kind, id: id.clone(), route: route.cloned() };
    let most_body = check(edge, &parts, &body, notes).map_err(|kind| refuse(kind, None))?;
    if edge.requests.get() > MOST {
        return Err(refuse(Kind::Full, None));
    }
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or(parts.uri.host()).unwrap_or("").to_owned();
    let remaining = parts.headers.get(REMAINING).and_then(|left| left.to_str().ok()?.trim().parse().ok());
    let mut ticket = {
        let now = edge.now();
        let ticket = edge.router.borrow_mut().arrive(now, &host, parts.uri.path(), remaining);
        ticket.map_err(|kind| refuse(kind, None))?
    };
    let route = Rc::clone(&ticket.route);
    let gathering = tokio::time::timeout(left(edge, ticket.deadline), gather(body));
    let gathered = match gathering.await {
        Ok(Ok(gathered)) => gathered,
        Ok(Err(_)) => return Err(refuse(Kind::BadRequest("the body broke off".into()), Some(&route))),
        Err(_) => return Err(refuse(Kind::Expired, Some(&route))),
    };
    strip(&mut parts.headers);
    parts.headers.remove(header::CONTENT_LENGTH);
    parts.headers.remove(header::EXPECT);
    let sized: u64 = gathered.head.iter().map(|bytes| bytes.len() as u64).sum();
    if sized > most_body {
        return Err(refuse(Kind::BodyTooLarge, Some(&route)));
    }
    let mut source = match gathered {
        Gathered { head, rest: None } => Source::Whole(join(head)),
        Gathered { head, rest: Some(rest) } => Source::Once(Some((head, rest, most_body))),
    };
    let first =
        edge.router.borrow_mut().pick(edge.now(), &mut ticket).map_err(|kind| refuse(kind, Some(&route)))?;
    // Guards against taking what may not be done before this process ends.
    let late = edge
        .ends
        .get()
        .is_some_and(|ends| edge.now() + edge.router.borrow().may_take(edge.now(), &ticket, &first) > ends);
    if late {
        edge.router.borrow_mut().ended(edge.now(), &mut ticket, &first, Ended::Unsent, None);
        return Err(refuse(Kind::Leaving, Some(&route)));
    }
    edge.router.borrow_mut().note(edge.now(), [&id, &host, parts.uri.path()], &ticket, &first);
    let deadline = tokio::time::sleep(left(edge, ticket.deadline));
    let mut deadline = std::pin::pin!(deadline);
    let patience = edge.router.borrow().patience(&ticket, &first);
    let hedge = tokio::time::sleep(Duration::from_millis(patience.unwrap_or(0)));
    let mut hedge = std::pin::pin!(hedge);
    let mut hedging = patience.is_some() && source.again();
    let mut running = FuturesUnordered::new();
    let mut waiting = first.clone();
    running.push(send(edge, &parts, &mut source, first, ticket.deadline, &id));
    loop {
        tokio::select! {
            biased;
            Some(done) = running.next() => {
                let Done { guard, result, load, answer } = done;
                let sending = guard.disarm();
                let now = edge.now();
                edge.metrics.try_ended(result);
                let avoided = edge.router.borrow_mut().ended(now, &mut ticket, &sending, result, load);
                if let Some(span) = avoided {
                    event!(NodeAvoided, "{} for {span} ms: {result:?}", sending.id);
                }
                if result != Ended::Served {
                    event!(TryEnded, "{id} at {}: {result:?} after {} ms", sending.id, now - sending.at);
                }
                let answer = match answer {
                    Some(answer) if result == Ended::Served => return Ok((deliver(edge, answer, &route), route.class)),
                    other => other,
                };
                let more = source.again() && edge.router.borrow().again(now, &ticket, result);
                if more {
                    let next = edge.router.borrow_mut().pick(now, &mut ticket);
                    match next {
                        Ok(next) => {
                            // The timer of the sending that has ended says nothing of this one.
                            let patience = edge.router.borrow().patience(&ticket, &next);
                            if let Some(patience) = patience {
                                let until = tokio::time::Instant::now() + Duration::from_millis(patience);
                                hedge.as_mut().reset(until);
                            }
                            waiting = next.clone();
                            running.push(send(edge, &parts, &mut source, next, ticket.deadline, &id));
                            hedging = patience.is_some() && source.again();
                            continue;
                        }
                        Err(kind) if running.is_empty() => {
                            // A marshal's own word goes before ours.
                            return match answer {
                                Some(answer) => Ok((deliver(edge, answer, &route), route.class)),
                                None => Err(refuse(kind, Some(&route))),
                            };
                        }
                        Err(_) => continue,
                    }
                }
                if running.is_empty() {
                    return match answer {
                        Some(answer) => Ok((deliver(edge, answer, &route), route.class)),
                        None => Err(refuse(last_word(&ticket, result), Some(&route))),
                    };
                }
            }
            _ = hedge.as_mut(), if hedging => {
                hedging = false;
                edge.router.borrow_mut().impatient(edge.now(), &waiting);
                let next = edge.router.borrow_mut().pick(edge.now(), &mut ticket);
                if let Ok(next) = next {
                    running.push(send(edge, &parts, &mut source, next, ticket.deadline, &id));
                }
            }
            _ = deadline.as_mut() => {
                return Err(refuse(Kind::Silent, Some(&route)));
            }
        }
    }
}

/// What a client is told where no marshal's answer can be.
fn last_word(ticket: &Ticket, result: Ended) -> Kind {
    match result {
        Ended::Silent => Kind::Silent,
        _ if ticket.ran => Kind::Broken,
        Ended::TurnedAway | Ended::Moved => Kind::TurnedAway,
        _ => Kind::NoMarshal,
    }
}

fn left(edge: &Edge, deadline: Time) -> Duration {
    Duration::from_millis(deadline.saturating_sub(edge.now()))
}

/// Whether a request is one at all, and within bounds. Gives the largest body.
fn check(edge: &Edge, parts: &Parts, body: &Incoming, notes: &Notes) -> Result<u64, Kind> {
    let bad = |what: &str| Err(Kind::BadRequest(what.into()));
    let (length, bare) = (notes.length.replace(false), notes.bare.replace(false));
    if bare {
        return bad("a line of the head ends without a carriage return");
    }
    if parts.headers.contains_key(header::TRANSFER_ENCODING) && length {
        return bad("both Content-Length and Transfer-Encoding");
    }
    if parts.method == Method::CONNECT || !parts.uri.path().starts_with('/') {
        return bad("the target is no path");
    }
    let hosts = parts.headers.get_all(header::HOST).iter().count();
    if hosts > 1 || (hosts == 0 && parts.version != Version::HTTP_10 && parts.uri.host().is_none()) {
        return bad("one Host is wanted");
    }
    if parts.headers.get_all(ATTEMPT).iter().count() != 1 {
        return bad("one X-Milletwing-Attempt-Id is wanted");
    }
    let router = edge.router.borrow();
    let thresholds = router.configuration().and_then(|it| it.thresholds.as_ref());
    let (most_head, most_body) = thresholds.map_or((0, 0), |it| (it.max_header_bytes, it.max_body_bytes));
    let target = parts.uri.path_and_query().map_or(0, |it| it.as_str().len());
    let head: usize = parts.headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum();
    if most_head > 0 && (head + target + 16) as u64 > most_head {
        return Err(Kind::HeadTooLarge);
    }
    let most_body = if most_body > 0 { most_body } else { u64::MAX };
    if body.size_hint().lower() > most_body {
        return Err(Kind::BodyTooLarge);
    }
    Ok(most_body)
}

/// A request's body, for one sending or for several.
enum Source {
    Whole(Bytes),
    Once(Option<(VecDeque<Bytes>, Incoming, u64)>),
}

impl Source {
    fn again(&self) -> bool {
        !matches!(self, Source::Once(None))
    }

    fn carry(&mut self) -> Option<Carry> {
        match self {
            Source::Whole(bytes) => Some(Carry::Whole((!bytes.is_empty()).then(|| bytes.clone()))),
            Source::Once(parts) => parts.take().map(|(head, rest, room)| Carry::Stream { head, rest, room }),
        }
    }
}

/// A sending that is out: dropped with it, the marshal is free again.
struct Guard {
    edge: Rc<Edge>,
    sending: Option<Sending>,
}

impl Guard {
    fn disarm(mut self) -> Sending {
        self.sending.take().unwrap_or_else(|| unreachable!("a guard is disarmed once"))
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if let Some(sending) = &self.sending {
            self.edge.router.borrow_mut().dropped(self.edge.now(), sending);
        }
    }
}

struct Done {
    guard: Guard,
    result: Ended,
    load: Option<Load>,
    answer: Option<Answer>,
}

/// A marshal's answer, checked, its beginning here.
struct Answer {
    response: Response<()>,
    body: Gathered,
    lease: Lease,
    keep: Option<Duration>,
    exact: Option<u64>,
}

fn send<'a>(
    edge: &Rc<Edge>,
    parts: &Parts,
    source: &mut Source,
    sending: Sending,
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
                    Err(_) => (Ended::Silent, None),
                }
            }
            _ => (Ended::Unsent, None),
        };
        Done { guard, result, load, answer }
    }
}

/// Sends a request on a connection, and checks the answer's head and beginning.
async fn ask(
    edge: &Rc<Edge>,
    sending: &Sending,
    mut request: Request<Carry>,
    deadline: Time,
    id: &str,
    load: &mut Option<Load>,
) -> Result<(Ended, Answer), Ended> {
    let mut fresh = false;
    let (mut lease, response) = loop {
        let lease = edge.pool.lease(sending, fresh).await;
        let mut lease = lease.map_err(|why| match why {
            NoLease::Unreached => Ended::Unreached,
            NoLease::Busy => Ended::Unsent,
        })?;
        let remaining = deadline.saturating_sub(edge.now());
        request.headers_mut().insert(REMAINING, HeaderValue::from(remaining));
        if lease.sender.ready().await.is_err() {
            if lease.used {
                fresh = true;
                continue;
            }
            return Err(Ended::Unreached);
        }
        match lease.sender.try_send_request(request).await {
            Ok(response) => break (lease, response),
            Err(mut problem) => match problem.take_message() {
                // Given back: not a byte of it was written.
                Some(back) if lease.used => {
                    request = back;
                    fresh = true;
                }
                Some(_) => return Err(Ended::Unreached),
                None => return Err(Ended::Broken),
            },
        }
    };
    let (parts, body) = response.into_parts();
    let headers = &parts.headers;
    *load = headers.get(LOAD).and_then(|value| Load::read(value.to_str().ok()?));
    let own = headers.get(ATTEMPT).map(|echo| echo.as_bytes() == id.as_bytes());
    let refused = headers.contains_key(NOT_EXECUTED);
    if own == Some(false) || (own.is_none() && !refused && parts.status != 421) {
        return Err(Ended::Broken); // another request's answer, or bytes that belong to none
    }
    if parts.status == 421 {
        return Err(Ended::Moved);
    }
    if refused && parts.status != 400 {
        // The connection may be used again once the rest has come.
        let keep = told(headers);
        let whole = gather(body).await.is_ok_and(|gathered| gathered.rest.is_none());
        if whole && !closes(headers) {
            lease.used = true;
            edge.pool.give_back(lease, keep);
        }
        return Err(Ended::TurnedAway);
    }
    let exact = body.size_hint().exact();
    // An answer without a length ends with its connection: one that is reset is an error of the body, not its end.
    let framed = exact.is_some() || headers.contains_key(header::TRANSFER_ENCODING);
    let sealed = headers.contains_key(SEAL) || !parts.status.is_success();
    if headers.contains_key(header::CONTENT_ENCODING) || !sealed {
        return Err(Ended::Broken); // not the marshal's bytes
    }
    let keep = if closes(headers) || !framed { Some(Duration::ZERO) } else { told(headers) };
    let result = if parts.status.is_server_error() { Ended::Failed } else { Ended::Served };
    let body = gather(body).await.map_err(|_: Cut| Ended::Broken)?;
    let response = Response::from_parts(parts, ());
    Ok((result, Answer { response, body, lease, keep, exact }))
}

fn closes(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|word| word.trim().eq_ignore_ascii_case("close"))
}

/// For how long a marshal says that it keeps an idle connection.
fn told(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Gives a marshal's answer to the client, as it is.
fn deliver(edge: &Rc<Edge>, answer: Answer, route: &Rc<Route>) -> Response<Out> {
    let Answer { response, body, lease, keep, exact } = answer;
    let (mut parts, ()) = response.into_parts();
    strip(&mut parts.headers);
    parts.version = Version::HTTP_11;
    let out = match body.rest {
        None => {
            let bytes = join(body.head);
            edge.router.borrow_mut().weighed(route, bytes.len() as u64);
            edge.pool.give_back(lease, keep);
            Out::Whole((!bytes.is_empty()).then_some(bytes))
        }
        Some(rest) => {
            let (noting, route) = (Rc::clone(edge), Rc::clone(route));
            let at_end = move |whole: bool| {
                if let (true, Some(exact)) = (whole, exact) {
                    noting.router.borrow_mut().weighed(&route, exact);
                }
            };
            Out::Stream(Box::new(Streamed {
                head: body.head,
                rest,
                lease: Some(lease),
                keep,
                edge: Rc::clone(edge),
                at_end: Some(Box::new(at_end)),
            }))
        }
    };
    Response::from_parts(parts, out)
}
