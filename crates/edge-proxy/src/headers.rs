//! The protocol's header fields, and what concerns one connection only.

use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use std::time::Duration;

/// The id of one try of a client.
pub const ATTEMPT_ID: HeaderName = HeaderName::from_static("x-milletwing-attempt-id");
/// Milliseconds for which the client waits.
pub const REMAINING_MS: HeaderName = HeaderName::from_static("x-milletwing-remaining-ms");
/// The marshal that alone may run the request.
pub const TARGET_NODE: HeaderName = HeaderName::from_static("x-milletwing-target-node");
/// The marshal's stamp on its answer.
pub const SERVER_SEAL: HeaderName = HeaderName::from_static("x-milletwing-server-seal");
/// The tenant whose key the client sent; set by the system alone.
pub const SUBSCRIBER: HeaderName = HeaderName::from_static("x-milletwing-subscriber");
/// The marshal did not run the request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-milletwing-not-executed");
/// The marshal's load, as it tells it.
pub const NODE_LOAD: HeaderName = HeaderName::from_static("x-milletwing-node-load");
/// How long an idle connection is kept.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Headers that concern one connection only (RFC 9110, 7.6.1); framing is made anew on each side.
pub const HOP_BY_HOP: [HeaderName; 9] = [
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
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(HOP_BY_HOP.iter()) {
        headers.remove(name);
    }
}

/// How a key is given in `Authorization`; schemes are compared without case (RFC 9110, 11.1).
pub const KEY_SCHEME: &str = "Token";

/// The key of a request. Two fields, or another scheme, give none.
pub fn tenant_key(headers: &HeaderMap) -> Option<&str> {
    let mut fields = headers.get_all(header::AUTHORIZATION).iter();
    let field = fields.next().filter(|_| fields.next().is_none())?;
    let (scheme, key) = field.to_str().ok()?.trim().split_once(' ')?;
    scheme.eq_ignore_ascii_case(KEY_SCHEME).then(|| key.trim())
}

/// Makes a request's head say whose it is, whatever its client wrote there. `tenant`: the tenant's name, where the request
/// bore its key. `keyed`: the configuration has tenants, so that keys are this system's and not the marshals'.
pub fn set_tenant(headers: &mut HeaderMap, tenant: Option<&str>, requires_keys: bool) {
    headers.remove(SUBSCRIBER);
    if requires_keys {
        headers.remove(header::AUTHORIZATION);
    }
    if let Some(name) = tenant.and_then(|name| HeaderValue::from_bytes(name.as_bytes()).ok()) {
        headers.insert(SUBSCRIBER, name);
    }
}

/// Whether the connection ends with this message.
pub fn closes_connection(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|token| token.trim().eq_ignore_ascii_case("close"))
}

/// For how long a marshal says that it keeps an idle connection.
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
