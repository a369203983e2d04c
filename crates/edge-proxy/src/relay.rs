//! One request from its head to its answer. What to do is `router`'s word; here it is done: bytes are sent, answers are
//! checked, clocks run.

use crate::attempt::{deliver, left, send, Answer, Done, Source};
use crate::body::{gather, join, Gathered, Upload};
use crate::edge::Edge;
use crate::headers::{introduce, key, strip, ATTEMPT, KEY_SCHEME, REMAINING};
use crate::out::Out;
use crate::validation::check;
use crate::watched::Exchange;
use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use milletwing_config::configuration::Class;
use milletwing_config::{event, Kind};
use milletwing_routing::table::Route;
use milletwing_routing::{Attempt, AttemptOutcome, RequestHead, RoutedRequest};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

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

/// Answers a request.
pub async fn answer(edge: Rc<Edge>, request: Request<Incoming>, exchange: &Rc<Exchange>) -> Response<Out> {
    edge.requests.set(edge.requests.get() + 1);
    let counted = Counted(Rc::clone(&edge));
    let begun = tokio::time::Instant::now();
    let result = relay(&edge, request, exchange).await;
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
    if edge.leaving.get().is_some() {
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
        let wait = if elsewhere { ELSEWHERE_S } else { edge.router.borrow_mut().retry_after_seconds(route) };
        let wait = format!("{wait:.3}");
        if let Ok(wait) = HeaderValue::from_str(&wait) {
            headers.insert(header::RETRY_AFTER, wait);
        }
    }
    if matches!(kind, Kind::UnknownKey) {
        headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static(KEY_SCHEME));
    }
    if matches!(kind, Kind::BadRequest(_) | Kind::BodyTooLarge | Kind::HeadTooLarge) {
        // What may follow on this connection can't be told from the rest of this request.
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// A request that was read, and may be sent.
struct Prepared {
    parts: Parts,
    source: Source,
    ticket: RoutedRequest,
    host: String,
    id: String,
}

impl Prepared {
    fn refuse(&self, kind: Kind) -> Refusal {
        Refusal { kind, id: self.id.clone(), route: Some(Rc::clone(&self.ticket.route)) }
    }
}

/// Checks a request, finds its route, and takes its body as far as it is kept for further sendings.
async fn prepare(
    edge: &Rc<Edge>,
    request: Request<Incoming>,
    exchange: &Rc<Exchange>,
) -> Result<Prepared, Refusal> {
    let (mut parts, body) = request.into_parts();
    let id = parts.headers.get(ATTEMPT).and_then(|id| id.to_str().ok()).unwrap_or("").to_owned();
    let refuse =
        |kind: Kind, route: Option<&Rc<Route>>| Refusal { kind, id: id.clone(), route: route.cloned() };
    let most_body = check(edge, &parts, &body, exchange.notes()).map_err(|kind| refuse(kind, None))?;
    if edge.requests.get() > MOST {
        return Err(refuse(Kind::Full, None));
    }
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or(parts.uri.host()).unwrap_or("").to_owned();
    let remaining = parts.headers.get(REMAINING).and_then(|left| left.to_str().ok()?.trim().parse().ok());
    let ticket = {
        let mut router = edge.router.borrow_mut();
        let head = RequestHead {
            host: &host,
            path: parts.uri.path(),
            remaining_ms: remaining,
            api_key: key(&parts.headers),
        };
        let ticket = router.route_request(edge.now(), head).map_err(|kind| refuse(kind, None))?;
        // Before what is told of the tenant: a client may name that field as one of its connection.
        strip(&mut parts.headers);
        // At once, by the configuration that the request was let in by: while its body comes, another may take its place.
        introduce(
            &mut parts.headers,
            ticket.tenant.as_ref().map(|tenant| &*tenant.name),
            router.requires_keys(),
        );
        ticket
    };
    let route = &ticket.route;
    let time_left = left(edge, ticket.deadline);
    let over = Instant::now() + time_left;
    exchange.notes().unread.begin(time_left);
    let gathering = tokio::time::timeout_at(over, gather(body));
    let gathered = match gathering.await {
        Ok(Ok(gathered)) => gathered,
        Ok(Err(_)) => return Err(refuse(Kind::BadRequest("the body broke off".into()), Some(route))),
        Err(_) => return Err(refuse(Kind::Expired, Some(route))),
    };
    parts.headers.remove(header::CONTENT_LENGTH);
    parts.headers.remove(header::EXPECT);
    let sized: u64 = gathered.head.iter().map(|bytes| bytes.len() as u64).sum();
    if sized > most_body {
        return Err(refuse(Kind::BodyTooLarge, Some(route)));
    }
    let source = match gathered {
        Gathered { head, rest: None } => Source::Whole(join(head)),
        Gathered { head, rest: Some(rest) } => {
            Source::Once(Some(Upload::new(head, rest, most_body, over, Rc::clone(exchange))))
        }
    };
    Ok(Prepared { parts, source, ticket, host, id })
}

/// A marshal's answer with the class of its route, or the kind of this edge's own.
async fn relay(
    edge: &Rc<Edge>,
    request: Request<Incoming>,
    exchange: &Rc<Exchange>,
) -> Result<(Response<Out>, Class), Refusal> {
    let mut prepared = prepare(edge, request, exchange).await?;
    let first = edge.router.borrow_mut().start_attempt(edge.now(), &mut prepared.ticket);
    let first = first.map_err(|kind| prepared.refuse(kind))?;
    // Guards against taking what may not be done before this process ends.
    let expected = edge.router.borrow().expected_duration_bound(edge.now(), &prepared.ticket, &first);
    if edge.too_late(expected) {
        edge.router.borrow_mut().finish_attempt(
            edge.now(),
            &mut prepared.ticket,
            &first,
            AttemptOutcome::NotSent,
            None,
        );
        return Err(prepared.refuse(Kind::Leaving));
    }
    let about = [prepared.id.as_str(), prepared.host.as_str(), prepared.parts.uri.path()];
    edge.router.borrow_mut().record_sample(edge.now(), about, &prepared.ticket, &first);
    try_marshals(edge, &mut prepared, first).await
}

/// Sends a request to one marshal after the other, and to a second beside the first where that is slow, until one has served it,
/// no further one may be tried, or its time is over.
async fn try_marshals(
    edge: &Rc<Edge>,
    prepared: &mut Prepared,
    first: Attempt,
) -> Result<(Response<Out>, Class), Refusal> {
    let (deadline, id) = (prepared.ticket.deadline, prepared.id.clone());
    let mut over = std::pin::pin!(tokio::time::sleep(left(edge, deadline)));
    let patience = edge.router.borrow().hedge_delay(&prepared.ticket, &first);
    let mut hedge = std::pin::pin!(tokio::time::sleep(Duration::from_millis(patience.unwrap_or(0))));
    let mut hedging = patience.is_some() && prepared.source.again();
    let mut running = FuturesUnordered::new();
    let mut waiting = first.clone();
    running.push(send(edge, &prepared.parts, &mut prepared.source, first, deadline, &id));
    loop {
        tokio::select! {
            biased;
            Some(done) = running.next() => {
                let (result, answer) = settle(edge, prepared, done);
                if result == AttemptOutcome::Served && answer.is_some() {
                    return end(edge, prepared, answer, Kind::Broken);
                }
                if prepared.source.again() && edge.router.borrow().may_retry(edge.now(), &prepared.ticket, result) {
                    let next = edge.router.borrow_mut().start_attempt(edge.now(), &mut prepared.ticket);
                    match next {
                        Ok(next) => {
                            // The timer of the sending that has ended says nothing of this one.
                            let patience = edge.router.borrow().hedge_delay(&prepared.ticket, &next);
                            if let Some(patience) = patience {
                                let until = tokio::time::Instant::now() + Duration::from_millis(patience);
                                hedge.as_mut().reset(until);
                            }
                            waiting = next.clone();
                            running.push(send(edge, &prepared.parts, &mut prepared.source, next, deadline, &id));
                            hedging = patience.is_some() && prepared.source.again();
                        }
                        Err(kind) if running.is_empty() => return end(edge, prepared, answer, kind),
                        Err(_) => {}
                    }
                    continue;
                }
                if running.is_empty() {
                    let kind = last_word(&prepared.ticket, result);
                    return end(edge, prepared, answer, kind);
                }
            }
            _ = hedge.as_mut(), if hedging => {
                hedging = false;
                edge.router.borrow_mut().record_timeout(edge.now(), &waiting);
                let next = edge.router.borrow_mut().start_attempt(edge.now(), &mut prepared.ticket);
                if let Ok(next) = next {
                    running.push(send(edge, &prepared.parts, &mut prepared.source, next, deadline, &id));
                }
            }
            _ = over.as_mut() => return Err(prepared.refuse(Kind::Silent)),
        }
    }
}

/// Counts the end of a sending for the marshal, and gives what came of it.
fn settle(edge: &Edge, prepared: &mut Prepared, done: Done) -> (AttemptOutcome, Option<Answer>) {
    let Done { guard, result, load, answer } = done;
    let sending = guard.disarm();
    let now = edge.now();
    edge.metrics.try_ended(result);
    let avoided = edge.router.borrow_mut().finish_attempt(now, &mut prepared.ticket, &sending, result, load);
    if let Some(span) = avoided {
        event!(NodeAvoided, "{} for {span} ms: {result:?}", sending.id);
    }
    if result != AttemptOutcome::Served {
        let took = now - sending.started_at;
        event!(TryEnded, "{} at {}: {result:?} after {took} ms", prepared.id, sending.id);
    }
    (result, answer)
}

/// A marshal's own word goes before ours.
fn end(
    edge: &Rc<Edge>,
    prepared: &Prepared,
    answer: Option<Answer>,
    kind: Kind,
) -> Result<(Response<Out>, Class), Refusal> {
    match answer {
        Some(answer) => {
            let route = &prepared.ticket.route;
            Ok((deliver(edge, answer, route, prepared.ticket.deadline), route.class))
        }
        None => Err(prepared.refuse(kind)),
    }
}

/// What a client is told where no marshal's answer can be.
fn last_word(ticket: &RoutedRequest, result: AttemptOutcome) -> Kind {
    match result {
        AttemptOutcome::TimedOut => Kind::Silent,
        _ if ticket.may_have_run => Kind::Broken,
        AttemptOutcome::Rejected | AttemptOutcome::WrongInstance => Kind::TurnedAway,
        _ => Kind::NoMarshal,
    }
}
