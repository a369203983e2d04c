//! Whether a client's request is one at all, and within the bounds of the configuration.

use crate::edge::Edge;
use crate::headers::ATTEMPT;
use crate::watched::Notes;
use hyper::body::{Body, Incoming};
use hyper::header;
use hyper::http::request::Parts;
use hyper::{Method, Version};
use milletwing_config::ErrorKind;

/// Whether a request is one at all, and within bounds. Gives the largest body.
pub fn check(edge: &Edge, parts: &Parts, body: &Incoming, notes: &Notes) -> Result<u64, ErrorKind> {
    let bad = |what: &str| Err(ErrorKind::BadRequest(what.into()));
    let Some(head) = notes.framing.borrow_mut().next_head() else {
        return bad("what came before it has no end that can be told");
    };
    if head.bare_line {
        return bad("a line of the head ends without a carriage return");
    }
    if head.two_framings {
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
        return Err(ErrorKind::HeadTooLarge);
    }
    let most_body = if most_body > 0 { most_body } else { u64::MAX };
    if body.size_hint().lower() > most_body {
        return Err(ErrorKind::BodyTooLarge);
    }
    Ok(most_body)
}
