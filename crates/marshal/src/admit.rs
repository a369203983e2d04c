//! Admission of requests: determines a request's class, tenant, key, deadline and allowed method from its head, and
//! builds the message for nodes.

use crate::accounting::PendingRequest;
use crate::buffers::BufferPool;
use crate::client::Client;
use crate::http::{Head, Malformed};
use crate::limits::Limits;
use crate::ports::AdmittedRequest;
use crate::wire;
use milletwing_decision::interface::{ClassId, Key, Ms, RequestId, RetrySafety, Settings, TenantId};
use milletwing_profile::{index_of, Names};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The configuration and buffers for admitting requests.
pub struct AdmissionContext {
    /// The module's settings.
    pub settings: Settings,
    /// The names of the classes and tenants in the settings.
    pub names: Names,
    /// The limits on ids and waiting times.
    pub limits: Limits,
    /// The pool for the messages to nodes.
    pub buffers: BufferPool,
}

fn bad_request<T>() -> Result<T, Malformed> {
    Err(Malformed(400))
}

/// Validates one request. The client's waiting time counts from `received_at`, the time at which the last byte of the
/// request arrived, however slowly it was sent.
pub fn admit(
    context: &AdmissionContext,
    head: &Head<'_>,
    body: &[&[u8]],
    client: &Arc<Client>,
    received_at: Instant,
) -> Result<AdmittedRequest, Malformed> {
    let id = head.get(wire::REQUEST_ID_HEADER).unwrap_or("");
    if id.is_empty()
        || id.len() > context.limits.max_request_id_bytes
        || !id.bytes().all(|b| b.is_ascii_graphic())
    {
        return bad_request();
    }
    let class_name = head.get(wire::CLASS_HEADER).unwrap_or("");
    let Some(class) = index_of(&context.names.classes, class_name) else { return bad_request() };
    let class = ClassId(class as usize);
    let retry_safety = context.settings.classes[class.0].retry_safety;
    // The class determines the method; another method would promise nodes semantics that the class does not have.
    let fits = match retry_safety {
        // A GET with a body is ambiguous: not all HTTP implementations read its body.
        RetrySafety::Idempotent => head.method == "GET" && body.iter().all(|part| part.is_empty()),
        RetrySafety::Deduplicated => head.method == "POST" && head.get("Idempotency-Key").is_some(),
        RetrySafety::AtMostOnce => head.method == "POST",
    };
    if !fits {
        return bad_request();
    }
    let client_wait = match head.get(wire::REMAINING_HEADER) {
        Some(text) => wire::parse_remaining(text).ok_or(Malformed(400))?.min(context.limits.max_client_wait),
        None => Duration::from_secs_f64(context.settings.classes[class.0].client_timeout.0.max(0.0) / 1000.0),
    };
    let key = head.get("Cookie").and_then(|cookies| wire::cookie(cookies, wire::KEY_COOKIE));
    let tenant = head.get(wire::TENANT_HEADER).and_then(|name| index_of(&context.names.tenants, name));
    let mut message = context.buffers.take();
    let mut fits = message.append(head.method.as_bytes())
        && message.append(b" ")
        && message.append(head.target.as_bytes())
        && message.append(b" HTTP/1.1\r\n");
    for (name, value) in
        head.passed_on().filter(|(name, _)| !name.eq_ignore_ascii_case(wire::REMAINING_HEADER))
    {
        fits = fits
            && message.append(name.as_bytes())
            && message.append(b": ")
            && message.append(value)
            && message.append(b"\r\n");
    }
    let size: usize = body.iter().map(|part| part.len()).sum();
    if size > 0 || head.method != "GET" {
        fits = fits && message.append(format!("Content-Length: {size}\r\n").as_bytes());
    }
    let body_at = message.bytes().len();
    fits = fits && body.iter().all(|part| message.append(part));
    if !fits {
        return Err(Malformed(413));
    }
    let mut request = PendingRequest::new(
        RequestId(Arc::from(id)),
        client.clone(),
        message,
        body_at,
        received_at + client_wait,
    );
    request.at_most_once = retry_safety == RetrySafety::AtMostOnce;
    Ok(AdmittedRequest {
        request: Arc::new(request),
        class,
        key: key.filter(|key| !key.is_empty()).map(|key| Key(Arc::from(key))),
        tenant: tenant.map(|at| TenantId(at as usize)),
        work_hint: head
            .get(wire::LABELS_HEADER)
            .and_then(|text| wire::label(text, wire::WORK_HINT_LABEL))
            .map(Ms),
        is_retry: head.get(wire::RETRY_HEADER) == Some("1"),
    })
}
