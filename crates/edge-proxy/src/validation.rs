//! Checks whether a client's request is valid HTTP and within the configured limits.

use crate::client_stream::ConnectionState;
use crate::edge::Edge;
use crate::headers::ATTEMPT_ID;
use hyper::body::{Body, Incoming};
use hyper::header;
use hyper::http::request::Parts;
use hyper::{Method, Version};
use milletwing_config::ErrorKind;

/// Checks whether a request is valid and within the configured limits. Returns the largest body
/// allowed.
pub fn check_request(
    edge: &Edge,
    parts: &Parts,
    body: &Incoming,
    state: &ConnectionState,
) -> Result<u64, ErrorKind> {
    let bad = |what: &str| Err(ErrorKind::BadRequest(what.into()));
    let Some(findings) = state.framing.borrow_mut().next_findings() else {
        return bad("what came before it has no end that can be told");
    };
    if findings.bare_line_feed {
        return bad("a line of the head ends without a carriage return");
    }
    if findings.conflicting_framing {
        return bad("both Content-Length and Transfer-Encoding");
    }
    if parts.method == Method::CONNECT || !parts.uri.path().starts_with('/') {
        return bad("the target is no path");
    }
    let host_count = parts.headers.get_all(header::HOST).iter().count();
    if host_count > 1 || (host_count == 0 && parts.version != Version::HTTP_10 && parts.uri.host().is_none())
    {
        return bad("one Host is wanted");
    }
    if parts.headers.get_all(ATTEMPT_ID).iter().count() != 1 {
        return bad("one X-Milletwing-Attempt-Id is wanted");
    }
    let router = edge.router.borrow();
    let thresholds = router.configuration().and_then(|configuration| configuration.thresholds.as_ref());
    let (max_head, max_body) =
        thresholds.map_or((0, 0), |thresholds| (thresholds.max_header_bytes, thresholds.max_body_bytes));
    let target_bytes = parts.uri.path_and_query().map_or(0, |path| path.as_str().len());
    let head_bytes: usize =
        parts.headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum();
    if max_head > 0 && (head_bytes + target_bytes + 16) as u64 > max_head {
        return Err(ErrorKind::HeadTooLarge);
    }
    let max_body = if max_body > 0 { max_body } else { u64::MAX };
    if body.size_hint().lower() > max_body {
        return Err(ErrorKind::BodyTooLarge);
    }
    Ok(max_body)
}
