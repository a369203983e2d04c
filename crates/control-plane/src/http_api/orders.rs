//! Operators' orders about zones and rollouts. Such an order may be read long after it was sent, when its
//! caller has gone on to other replicas and given newer orders there. It is therefore carried out only if the
//! caller still waits: a first call is redirected to the same path with the index of the last entry applied
//! here as its `basis`, and a call with a basis is void once a later entry concerns the same zone or service.

use super::{outcome_response, query_value, read_body, redirect, JsonResponse, ANSWER_TIMEOUT};
use crate::core::{Core, SharedCore};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::Request;
use milletwing_config::ErrorKind;
use milletwing_wire::Answer;
use serde::Deserialize;
use serde_json::json;
use std::net::SocketAddrV4;
use tokio::time::Instant;

/// The query parameter with the index of the entry up to which the caller knows the log.
const BASIS: &str = "basis";
/// The longest period of a rollout in seconds.
const MAX_PERIOD_S: f64 = 86_400.0;

/// A call that gives an order: where its caller reached this replica, and the basis that it was given.
struct OrderCall {
    authority: SocketAddrV4,
    path: String,
    basis: Option<u64>,
}

impl OrderCall {
    /// Errors: the basis is not a number, or this replica has no address to redirect to.
    fn read(core: &SharedCore, request: &Request<Incoming>) -> Result<OrderCall, ErrorKind> {
        let basis = match query_value(request, BASIS) {
            Some(text) => Some(text.parse().map_err(|_| ErrorKind::InvalidBasis(text.into()))?),
            None => None,
        };
        // The address that the caller used, since it may not reach this replica by any other.
        let host = request.headers().get(HOST).and_then(|host| host.to_str().ok()?.parse().ok());
        let authority = match host {
            Some(authority) => authority,
            None => core.borrow().settings.binding("controlPlane").map_err(|_| ErrorKind::NoLeader)?,
        };
        Ok(OrderCall { authority, path: request.uri().path().into(), basis })
    }

    /// The basis of the call, unless it has none or names an entry that this replica has not applied.
    fn known_basis(&self, core: &SharedCore) -> Option<u64> {
        self.basis.filter(|basis| *basis <= core.borrow().view.index)
    }

    /// Asks the caller to confirm that it still waits.
    fn ask_to_confirm(&self, basis: u64) -> JsonResponse {
        let location = format!("http://{}{}?{BASIS}={basis}", self.authority, self.path);
        redirect(location, json!({ BASIS: basis }).to_string())
    }

    /// Responds with the outcome of the order. A caller whose basis was too old gets a current one.
    async fn respond(
        &self,
        core: &SharedCore,
        answer: Answer,
        deadline: Instant,
    ) -> Result<JsonResponse, ErrorKind> {
        if answer != Answer::Superseded {
            return Ok(outcome_response(answer));
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        Ok(self.ask_to_confirm(Core::read_barrier(core, remaining).await?))
    }
}

/// The body of a request to start a rollout. Serde's error messages, which go to callers, contain the name
/// of this struct.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Order {
    target: String,
    target_revision: String,
    #[serde(default)]
    period_s: f64,
}

/// Starts a rollout.
pub(super) async fn post_rollout(
    core: &SharedCore,
    request: Request<Incoming>,
) -> Result<JsonResponse, ErrorKind> {
    let call = OrderCall::read(core, &request)?;
    let body = read_body(request, 16 << 10).await?;
    let order: Order = serde_json::from_slice(&body).map_err(|why| ErrorKind::Unreadable(why.to_string()))?;
    let Some(basis) = call.known_basis(core) else {
        return Ok(call.ask_to_confirm(core.borrow().view.index));
    };
    let period_ms = (order.period_s.clamp(0.0, MAX_PERIOD_S) * 1000.0) as u64;
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    let version = (order.target, order.target_revision);
    let answer = Core::start_rollout(core, version, period_ms, basis, ANSWER_TIMEOUT).await?;
    call.respond(core, answer, deadline).await
}

/// Evacuates a zone, or ends its evacuation.
pub(super) async fn set_evacuation(
    core: &SharedCore,
    zone: &str,
    on: bool,
    request: &Request<Incoming>,
) -> Result<JsonResponse, ErrorKind> {
    let call = OrderCall::read(core, request)?;
    let is_known = {
        let core = core.borrow();
        core.settings.network.zones.contains_key(zone)
            || core.view.nodes.values().any(|node| node.zone == zone)
    };
    if !is_known {
        return Err(ErrorKind::NotFound(format!("zone {zone}")));
    }
    let Some(basis) = call.known_basis(core) else {
        return Ok(call.ask_to_confirm(core.borrow().view.index));
    };
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    let answer = Core::set_evacuation(core, zone, on, basis, ANSWER_TIMEOUT).await;
    call.respond(core, answer, deadline).await
}
