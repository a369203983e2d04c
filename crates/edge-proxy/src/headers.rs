//! The protocol's header fields, and what concerns one connection only.

use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use std::time::Duration;

/// The id of one try of a client.
pub const ATTEMPT: HeaderName = HeaderName::from_static("x-milletwing-attempt-id");
/// Milliseconds for which the client waits.
pub const REMAINING: HeaderName = HeaderName::from_static("x-milletwing-remaining-ms");
/// The marshal that alone may run the request.
pub const TARGET: HeaderName = HeaderName::from_static("x-milletwing-target-node");
/// The marshal's stamp on its answer.
pub const SEAL: HeaderName = HeaderName::from_static("x-milletwing-server-seal");
/// The tenant whose key the client sent; set by the system alone.
pub const SUBSCRIBER: HeaderName = HeaderName::from_static("x-milletwing-subscriber");
/// The marshal did not run the request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-milletwing-not-executed");
/// The marshal's load, as it tells it.
pub const LOAD: HeaderName = HeaderName::from_static("x-milletwing-node-load");
/// How long an idle connection is kept.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Headers that concern one connection only (RFC 9110, 7.6.1); framing is made anew on each side.
pub const HOP: [HeaderName; 9] = [
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

/// Takes away what concerns one connection only.
pub fn strip(headers: &mut HeaderMap) {
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

/// How a key is given in `Authorization`; schemes are compared without case (RFC 9110, 11.1).
pub const KEY_SCHEME: &str = "Token";

/// The key of a request. Two fields, or another scheme, give none.
pub fn key(headers: &HeaderMap) -> Option<&str> {
    let mut fields = headers.get_all(header::AUTHORIZATION).iter();
    let field = fields.next().filter(|_| fields.next().is_none())?;
    let (scheme, key) = field.to_str().ok()?.trim().split_once(' ')?;
    scheme.eq_ignore_ascii_case(KEY_SCHEME).then(|| key.trim())
}

/// Makes a request's head say whose it is, whatever its client wrote there. `tenant`: the tenant's name, where the request
/// bore its key. `keyed`: the configuration has tenants, so that keys are this system's and not the marshals'.
pub fn introduce(headers: &mut HeaderMap, tenant: Option<&str>, keyed: bool) {
    headers.remove(SUBSCRIBER);
    if keyed {
        headers.remove(header::AUTHORIZATION);
    }
    if let Some(name) = tenant.and_then(|name| HeaderValue::from_bytes(name.as_bytes()).ok()) {
        headers.insert(SUBSCRIBER, name);
    }
}

/// Whether the connection ends with this message.
pub fn closes(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|word| word.trim().eq_ignore_ascii_case("close"))
}

/// For how long a marshal says that it keeps an idle connection.
pub fn told_keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
