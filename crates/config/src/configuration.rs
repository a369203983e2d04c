//! The configuration that operators send: `prost` messages that are read from the JSON of the control API. The module
//! `validity` validates it.

use crate::kind::ErrorKind;
use prost::Message;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};

/// Fields of the API that have only one possible value at present and are therefore not read.
const FIXED: [&str; 2] = ["targets.*.protocol", "targets.*.tls"];

/// A complete configuration.
#[derive(Clone, PartialEq, Message, Deserialize)]
pub struct Configuration {
    /// The revision number, which is higher than that of the previous configuration.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Routes by name.
    #[prost(btree_map = "string, message", tag = "2")]
    #[serde(with = "serde_with::rust::maps_duplicate_key_is_error")]
    pub routing: BTreeMap<String, Route>,
    /// Services by name.
    #[prost(btree_map = "string, message", tag = "3")]
    #[serde(with = "serde_with::rust::maps_duplicate_key_is_error")]
    pub targets: BTreeMap<String, Target>,
    /// Limits for requests of clients.
    #[prost(message, optional, tag = "4")]
    pub thresholds: Option<Thresholds>,
    /// Tenants by name. If there are none, requests need no key.
    #[prost(btree_map = "string, message", tag = "5")]
    #[serde(default, with = "serde_with::rust::maps_duplicate_key_is_error")]
    pub subscribers: BTreeMap<String, Subscriber>,
}

/// A tenant. Its `Debug` output omits the keys.
#[derive(Clone, PartialEq, Message, Deserialize)]
#[prost(skip_debug)]
#[serde(rename_all = "camelCase", default)]
pub struct Subscriber {
    /// The keys that identify its requests.
    #[prost(string, repeated, tag = "1")]
    pub credentials: Vec<String>,
    /// Overrides the priority of the route if set. 0 is the highest priority.
    #[prost(int64, optional, tag = "2")]
    pub priority: Option<i64>,
    /// Regions in which its requests may be served. An empty list allows all.
    #[prost(string, repeated, tag = "3")]
    pub serving_regions: Vec<String>,
}

impl std::fmt::Debug for Subscriber {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Subscriber")
            .field("credentials", &self.credentials.len())
            .field("priority", &self.priority)
            .field("serving_regions", &self.serving_regions)
            .finish()
    }
}

/// A route: the destination of requests whose host and path match.
#[derive(Clone, PartialEq, Message, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Route {
    /// The value of `Host` that it matches.
    #[prost(string, tag = "1")]
    pub domain: String,
    /// The path prefix that it matches.
    #[prost(string, tag = "2")]
    pub path_prefix: String,
    /// `idempotent`, `non_idempotent` or `downlink`.
    #[prost(string, tag = "3")]
    pub traffic_class: String,
    /// The time limit for a request, in seconds.
    #[prost(double, tag = "4")]
    pub guard_s: f64,
    /// The response time in seconds up to which a response has its full value.
    #[prost(double, tag = "5")]
    #[serde(default)]
    pub target_s: f64,
    /// The priority. 0 is the highest.
    #[prost(int64, tag = "6")]
    #[serde(default)]
    pub priority: i64,
    /// The service, if there is only one.
    #[prost(string, optional, tag = "7")]
    #[serde(default)]
    pub target: Option<String>,
    /// Several services with their shares, used if `target` is not set.
    #[prost(message, repeated, tag = "8")]
    #[serde(default)]
    pub distribution: Vec<Share>,
    /// The maximum number of marshals to which one request may be sent.
    #[prost(uint32, tag = "9")]
    #[serde(default = "one")]
    pub max_tries: u32,
    /// Regions in which its requests may be served. An empty list allows all.
    #[prost(string, repeated, tag = "10")]
    #[serde(default)]
    pub serving_regions: Vec<String>,
    /// Whether its requests need no key.
    #[prost(bool, tag = "11")]
    #[serde(default)]
    pub keyless: bool,
}

fn one() -> u32 {
    1
}

/// The share of a service in a route.
#[derive(Clone, PartialEq, Message, Deserialize)]
pub struct Share {
    /// The service.
    #[prost(string, tag = "1")]
    pub target: String,
    /// The weight relative to the other shares of the route.
    #[prost(double, tag = "2")]
    pub share: f64,
}

/// A service.
#[derive(Clone, PartialEq, Message, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Target {
    /// The path on which its marshals answer probes.
    #[prost(string, tag = "1")]
    pub probe_path: String,
    /// The number of connections that a marshal accepts in total.
    #[prost(uint32, tag = "2")]
    pub max_sessions: u32,
    /// The warm-up time after the start of a marshal, in seconds.
    #[prost(double, tag = "3")]
    pub warmup_s: f64,
    /// The number of requests per second that a cold marshal can handle.
    #[prost(double, tag = "4")]
    pub warmup_per_s: f64,
}

/// Limits for requests of clients.
#[derive(Clone, PartialEq, Message, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Thresholds {
    /// The maximum size of a request head in bytes.
    #[prost(uint64, tag = "1")]
    pub max_header_bytes: u64,
    /// The maximum size of a request body in bytes.
    #[prost(uint64, tag = "2")]
    pub max_body_bytes: u64,
    /// The time limit for receiving a request head, in seconds.
    #[prost(double, tag = "3")]
    pub header_guard_s: f64,
    /// The time after which an idle connection is closed, in seconds.
    #[prost(double, tag = "4")]
    pub idle_guard_s: f64,
}

impl Configuration {
    /// Decodes a configuration without validating it. One that was committed earlier stays in force even if validation has
    /// become stricter since.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unreadable`] if the bytes are not a configuration.
    pub fn decode(bytes: &[u8]) -> Result<Configuration, ErrorKind> {
        let text = std::str::from_utf8(bytes).map_err(|error| ErrorKind::Unreadable(error.to_string()))?;
        serde_json::from_str(text).map_err(|error| ErrorKind::Unreadable(error.to_string()))
    }

    /// Returns the paths of all fields that are present but unknown to this version. The names of routes, services and tenants
    /// are replaced by `*`, and each path is listed once.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unreadable`] if the bytes are not a configuration.
    pub fn ignored_fields(bytes: &[u8]) -> Result<BTreeSet<String>, ErrorKind> {
        let mut found = BTreeSet::new();
        let mut record = |path: serde_ignored::Path<'_>| {
            let mut segments: Vec<String> = path.to_string().split('.').map(str::to_owned).collect();
            // The second segment is the name of a route, service or tenant.
            if let Some(name) = segments.get_mut(1) {
                *name = "*".into();
            }
            found.insert(segments.join("."));
        };
        let mut deserializer = serde_json::Deserializer::from_slice(bytes);
        let parsed: Result<Configuration, _> = serde_ignored::deserialize(&mut deserializer, &mut record);
        parsed.map_err(|error| ErrorKind::Unreadable(error.to_string()))?;
        found.retain(|field| !FIXED.contains(&field.as_str()));
        Ok(found)
    }
}

/// The traffic class of a route: how its requests may be handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TrafficClass {
    /// A request may be executed more than once.
    Idempotent,
    /// A request may be executed at most once.
    NonIdempotent,
    /// Responses are large. A request may be executed more than once.
    Downlink,
}

impl TrafficClass {
    /// Whether a request may be executed more than once.
    pub fn is_retry_safe(self) -> bool {
        self != TrafficClass::NonIdempotent
    }
}

impl Route {
    /// Returns the traffic class, or `None` if the control API does not define it.
    pub fn class(&self) -> Option<TrafficClass> {
        match self.traffic_class.as_str() {
            "idempotent" => Some(TrafficClass::Idempotent),
            "non_idempotent" => Some(TrafficClass::NonIdempotent),
            "downlink" => Some(TrafficClass::Downlink),
            _ => None,
        }
    }

    /// Returns the host with which the hosts of requests are compared, as [`normalize_host`] gives it.
    pub fn normalized_host(&self) -> String {
        normalize_host(&self.domain)
    }

    /// Returns the services of the route with their shares.
    pub fn shares(&self) -> Vec<(&str, f64)> {
        match &self.target {
            Some(target) => vec![(target.as_str(), 1.0)],
            None => self.distribution.iter().map(|part| (part.target.as_str(), part.share)).collect(),
        }
    }
}

/// Normalizes a host for comparison: without port and trailing dots, in lower case.
pub fn normalize_host(host: &str) -> String {
    let name = host.rsplit_once(':').filter(|(_, port)| port.bytes().all(|byte| byte.is_ascii_digit()));
    name.map_or(host, |(name, _)| name).trim_end_matches('.').to_ascii_lowercase()
}
