//! Header fields of the protocol, and the handling of hop-by-hop fields.

use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use std::time::Duration;

/// Identifies one attempt of a client.
pub const ATTEMPT_ID: HeaderName = HeaderName::from_static("x-milletwing-attempt-id");
/// Milliseconds for which the client still waits.
pub const REMAINING_MS: HeaderName = HeaderName::from_static("x-milletwing-remaining-ms");
/// The only marshal that may execute the request.
pub const TARGET_NODE: HeaderName = HeaderName::from_static("x-milletwing-target-node");
/// Set by the marshal on each of its responses.
pub const SERVER_SEAL: HeaderName = HeaderName::from_static("x-milletwing-server-seal");
/// Name of the tenant whose key the client sent; set only by this system.
pub const SUBSCRIBER: HeaderName = HeaderName::from_static("x-milletwing-subscriber");
/// The marshal did not execute the request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-milletwing-not-executed");
/// The load that the marshal reports.
pub const NODE_LOAD: HeaderName = HeaderName::from_static("x-milletwing-node-load");
/// How long an idle connection is kept open.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Hop-by-hop header fields (RFC 9110, 7.6.1); each side of the proxy has its own message framing.
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

/// Removes the hop-by-hop header fields, including those that `Connection` names.
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

/// The `Authorization` scheme for keys; schemes are compared case-insensitively (RFC 9110, 11.1).
pub const KEY_SCHEME: &str = "Token";

/// The tenant key of a request; `None` if there are two `Authorization` fields or the scheme is
/// another.
pub fn tenant_key(headers: &HeaderMap) -> Option<&str> {
    let mut fields = headers.get_all(header::AUTHORIZATION).iter();
    let field = fields.next().filter(|_| fields.next().is_none())?;
    let (scheme, key) = field.to_str().ok()?.trim().split_once(' ')?;
    scheme.eq_ignore_ascii_case(KEY_SCHEME).then(|| key.trim())
}

/// Sets the tenant name in the head of a request, overriding any value from the client.
///
/// `tenant` is the name of the tenant whose key the request carries, if any. `requires_keys` says
/// that the configuration has tenants: `Authorization` is then meant for this system and is not
/// forwarded to marshals.
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

/// How long a marshal announces to keep an idle connection open.
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
