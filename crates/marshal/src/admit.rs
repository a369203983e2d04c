//! Admission: from a request's head, its class, tenant, key, deadline and method; and the message for nodes.

use crate::book::Open;
use crate::buffers::Buffers;
use crate::client::Client;
use crate::http::{Head, Malformed};
use crate::limits::Limits;
use crate::stage::Admitted;
use crate::wire;
use milletwing_decision::interface::{ClassId, Key, Ms, RequestId, RetrySafety, Settings, TenantId};
use milletwing_profile::{index_of, Names};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What admission needs.
pub struct Gate {
    /// The settings.
    pub settings: Settings,
    /// Their names.
    pub names: Names,
    /// The limits.
    pub limits: Limits,
    /// The pool.
    pub buffers: Buffers,
}

fn bad<T>() -> Result<T, Malformed> {
    Err(Malformed(400))
}

/// Reads one request. `came` is when its last byte was there: from then on its time counts, however slowly it came.
pub fn admit(
    gate: &Gate,
    head: &Head<'_>,
    body: &[&[u8]],
    client: &Arc<Client>,
    came: Instant,
) -> Result<Admitted, Malformed> {
    let id = head.get(wire::ID).unwrap_or("");
    if id.is_empty() || id.len() > gate.limits.id || !id.bytes().all(|b| b.is_ascii_graphic()) {
        return bad();
    }
    let lane = head.get(wire::CLASS).unwrap_or("");
    let Some(class) = index_of(&gate.names.classes, lane) else { return bad() };
    let class = ClassId(class as usize);
    let effect = gate.settings.classes[class.0].retry_safety;
    // The class decides the method; another one would promise nodes what the class doesn't.
    let fits = match effect {
        // One with a body is doubtful: not all machines read a body there.
        RetrySafety::Idempotent => head.method == "GET" && body.iter().all(|part| part.is_empty()),
        RetrySafety::Deduplicated => head.method == "POST" && head.get("Idempotency-Key").is_some(),
        RetrySafety::AtMostOnce => head.method == "POST",
    };
    if !fits {
        return bad();
    }
    let wait = match head.get(wire::REMAINING) {
        Some(text) => wire::remaining(text).ok_or(Malformed(400))?.min(gate.limits.longest_wait),
        None => Duration::from_secs_f64(gate.settings.classes[class.0].client_timeout.0.max(0.0) / 1000.0),
    };
    let key = head.get("Cookie").and_then(|cookies| wire::cookie(cookies, wire::KEY_COOKIE));
    let tenant = head.get(wire::TENANT).and_then(|name| index_of(&gate.names.tenants, name));
    let mut message = gate.buffers.take();
    let mut fits = message.put(head.method.as_bytes())
        && message.put(b" ")
        && message.put(head.target.as_bytes())
        && message.put(b" HTTP/1.1\r\n");
    for (name, value) in head.passed_on().filter(|(name, _)| !name.eq_ignore_ascii_case(wire::REMAINING)) {
        fits = fits
            && message.put(name.as_bytes())
            && message.put(b": ")
            && message.put(value)
            && message.put(b"\r\n");
    }
    let size: usize = body.iter().map(|part| part.len()).sum();
    if size > 0 || head.method != "GET" {
        fits = fits && message.put(format!("Content-Length: {size}\r\n").as_bytes());
    }
    let body_at = message.bytes().len();
    fits = fits && body.iter().all(|part| message.put(part));
    if !fits {
        return Err(Malformed(413));
    }
    let mut open = Open::new(RequestId(Arc::from(id)), client.clone(), message, body_at, came + wait);
    open.once = effect == RetrySafety::AtMostOnce;
    Ok(Admitted {
        open: Arc::new(open),
        class,
        key: key.filter(|key| !key.is_empty()).map(|key| Key(Arc::from(key))),
        tenant: tenant.map(|at| TenantId(at as usize)),
        work_hint: head.get(wire::LABELS).and_then(|text| wire::label(text, wire::LABEL_WORK)).map(Ms),
        is_retry: head.get(wire::RETRY) == Some("1"),
    })
}
