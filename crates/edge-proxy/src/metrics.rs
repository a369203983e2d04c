//! The metrics that an edge counts (`docs/metrics.md`).

use milletwing_config::configuration::TrafficClass;
use milletwing_config::ErrorKind;
use milletwing_metrics::{exponential_buckets, Histogram};
use milletwing_routing::AttemptOutcome;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

/// Upper bound of the first histogram bucket in seconds, and the number of buckets. Each bound is
/// twice the one before, up to 16 s.
const FIRST_BUCKET_S: f64 = 0.002;
const BUCKET_COUNT: u16 = 14;

/// Counters of an edge since its process started.
pub struct Metrics {
    pub requests: RefCell<BTreeMap<(&'static str, &'static str), u64>>,
    pub tries: RefCell<BTreeMap<&'static str, u64>>,
    pub durations: Histogram,
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics {
            requests: RefCell::default(),
            tries: RefCell::default(),
            durations: Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKET_COUNT)),
        }
    }
}

impl Metrics {
    /// Counts a request that received a marshal's response with this status after `duration`.
    pub fn answered(&self, class: TrafficClass, status: u16, duration: Duration) {
        let outcome = match status {
            ..=299 => "answered_2xx",
            300..=399 => "answered_3xx",
            400..=499 => "answered_4xx",
            500.. => "answered_5xx",
        };
        *self.requests.borrow_mut().entry((class_label(Some(class)), outcome)).or_default() += 1;
        self.durations.observe(duration.as_secs_f64());
    }

    /// Counts a request that this edge answered itself.
    pub fn refused(&self, class: Option<TrafficClass>, kind: &ErrorKind) {
        *self.requests.borrow_mut().entry((class_label(class), reason_label(kind))).or_default() += 1;
    }

    /// Counts a finished attempt.
    pub fn attempt_ended(&self, outcome: AttemptOutcome) {
        *self.tries.borrow_mut().entry(outcome_label(outcome)).or_default() += 1;
    }
}

fn class_label(class: Option<TrafficClass>) -> &'static str {
    match class {
        Some(TrafficClass::Idempotent) => "idempotent",
        Some(TrafficClass::NonIdempotent) => "non_idempotent",
        Some(TrafficClass::Downlink) => "downlink",
        None => "unknown",
    }
}

/// Label of a refusal. The set of labels is bounded: kinds that clients of an edge do not encounter
/// share one.
fn reason_label(kind: &ErrorKind) -> &'static str {
    match kind {
        ErrorKind::NoRoute => "no_route",
        ErrorKind::Unauthorized => "unknown_key",
        ErrorKind::CoreUnreachable => "out_of_touch",
        ErrorKind::BadRequest(_) => "bad_request",
        ErrorKind::HeadTooLarge => "head_too_large",
        ErrorKind::BodyTooLarge => "body_too_large",
        ErrorKind::NotConfigured => "not_ready",
        ErrorKind::ShuttingDown => "leaving",
        ErrorKind::AtCapacity => "full",
        ErrorKind::NoReachableMarshal => "no_marshal",
        ErrorKind::RejectedByMarshal => "turned_away",
        ErrorKind::DeadlineExceeded => "expired",
        ErrorKind::MarshalDisconnected => "broken",
        ErrorKind::ResponseTimeout => "silent",
        _ => "other",
    }
}

fn outcome_label(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Served => "served",
        AttemptOutcome::Failed => "failed",
        AttemptOutcome::Rejected => "turned_away",
        AttemptOutcome::WrongInstance => "moved",
        AttemptOutcome::ConnectFailed => "unreached",
        AttemptOutcome::NotSent => "unsent",
        AttemptOutcome::ConnectionBroken => "broken",
        AttemptOutcome::TimedOut => "silent",
        AttemptOutcome::Cancelled => "dropped",
    }
}
