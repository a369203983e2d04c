//! The operator's configuration: `prost` messages that are read from JSON, as the protocol has it. What is invalid
//! stands in `validity`.

use crate::kind::ErrorKind;
use prost::Message;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};

/// Fields of the protocol that have one value at present, so that nothing is read from them.
const FIXED: [&str; 2] = ["targets.*.protocol", "targets.*.tls"];

/// A whole configuration.
#[derive(Clone, PartialEq, Message, Deserialize)]
pub struct Configuration {
    /// Its number; above that of the one it follows.
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
    /// What a client may send, and how long it may take.
    #[prost(message, optional, tag = "4")]
    pub thresholds: Option<Thresholds>,
    /// Tenants by name; none: requests need no key.
    #[prost(btree_map = "string, message", tag = "5")]
    #[serde(default, with = "serde_with::rust::maps_duplicate_key_is_error")]
    pub subscribers: BTreeMap<String, Subscriber>,
}

/// A tenant. Its text for logs leaves the keys out.
#[derive(Clone, PartialEq, Message, Deserialize)]
#[prost(skip_debug)]
#[serde(rename_all = "camelCase", default)]
pub struct Subscriber {
    /// Keys by which its requests are known.
    #[prost(string, repeated, tag = "1")]
    pub credentials: Vec<String>,
    /// Goes before that of the route, where it has one; 0 is highest.
    #[prost(int64, optional, tag = "2")]
    pub priority: Option<i64>,
    /// Regions in which its requests may be served; none: all.
    #[prost(string, repeated, tag = "3")]
    pub serving_regions: Vec<String>,
}

impl std::fmt::Debug for Subscriber {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        to.debug_struct("Subscriber")
            .field("credentials", &self.credentials.len())
            .field("priority", &self.priority)
            .field("serving_regions", &self.serving_regions)
            .finish()
    }
}

/// A route: where requests go whose host and path it fits.
#[derive(Clone, PartialEq, Message, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Route {
    /// The `Host`.
    #[prost(string, tag = "1")]
    pub domain: String,
    /// How the path begins.
    #[prost(string, tag = "2")]
    pub path_prefix: String,
    /// `idempotent`, `non_idempotent` or `downlink`.
    #[prost(string, tag = "3")]
    pub traffic_class: String,
    /// Seconds that a request may be held at most.
    #[prost(double, tag = "4")]
    pub guard_s: f64,
    /// Seconds inside which an answer earns its full worth.
    #[prost(double, tag = "5")]
    #[serde(default)]
    pub target_s: f64,
    /// 0 is highest.
    #[prost(int64, tag = "6")]
    #[serde(default)]
    pub priority: i64,
    /// The service, where there is one.
    #[prost(string, optional, tag = "7")]
    #[serde(default)]
    pub target: Option<String>,
    /// Or several, by share.
    #[prost(message, repeated, tag = "8")]
    #[serde(default)]
    pub distribution: Vec<Share>,
    /// How many marshals one request may be sent to.
    #[prost(uint32, tag = "9")]
    #[serde(default = "one")]
    pub max_tries: u32,
    /// Regions in which it may be served; none: all.
    #[prost(string, repeated, tag = "10")]
    #[serde(default)]
    pub serving_regions: Vec<String>,
    /// Its requests need no key.
    #[prost(bool, tag = "11")]
    #[serde(default)]
    pub keyless: bool,
}

fn one() -> u32 {
    1
}

/// A service's part of a route.
#[derive(Clone, PartialEq, Message, Deserialize)]
pub struct Share {
    /// The service.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Its part, in any unit.
    #[prost(double, tag = "2")]
    pub share: f64,
}

/// A service.
#[derive(Clone, PartialEq, Message, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Target {
    /// Where its marshals answer probes.
    #[prost(string, tag = "1")]
    pub probe_path: String,
    /// Connections that a marshal accepts from all callers together.
    #[prost(uint32, tag = "2")]
    pub max_sessions: u32,
    /// Seconds for which a marshal is cold after its start.
    #[prost(double, tag = "3")]
    pub warmup_s: f64,
    /// Requests a second that a cold marshal bears.
    #[prost(double, tag = "4")]
    pub warmup_per_s: f64,
}

/// What a client may send, and how long it may take.
#[derive(Clone, PartialEq, Message, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Thresholds {
    /// Bytes of a request's head.
    #[prost(uint64, tag = "1")]
    pub max_header_bytes: u64,
    /// Bytes of a request's body.
    #[prost(uint64, tag = "2")]
    pub max_body_bytes: u64,
    /// Seconds for a head to come in.
    #[prost(double, tag = "3")]
    pub header_guard_s: f64,
    /// Seconds that a connection may be idle.
    #[prost(double, tag = "4")]
    pub idle_guard_s: f64,
}

impl Configuration {
    /// Reads a configuration without checking it: one that was agreed holds, whatever is refused before it is agreed today.
    /// Errors: the bytes are none.
    pub fn decode(bytes: &[u8]) -> Result<Configuration, ErrorKind> {
        let text =
            std::str::from_utf8(bytes).map_err(|problem| ErrorKind::Unreadable(problem.to_string()))?;
        serde_json::from_str(text).map_err(|problem| ErrorKind::Unreadable(problem.to_string()))
    }

    /// Fields that the bytes hold and that are passed over here, each once, names of routes and services as `*`. Errors: the
    /// bytes can't be read.
    pub fn ignored_fields(bytes: &[u8]) -> Result<BTreeSet<String>, ErrorKind> {
        let mut found = BTreeSet::new();
        let mut note = |path: serde_ignored::Path<'_>| {
            let mut steps: Vec<String> = path.to_string().split('.').map(str::to_owned).collect();
            // Second comes the name of an entry of a table.
            if let Some(name) = steps.get_mut(1) {
                *name = "*".into();
            }
            found.insert(steps.join("."));
        };
        let mut reader = serde_json::Deserializer::from_slice(bytes);
        let read: Result<Configuration, _> = serde_ignored::deserialize(&mut reader, &mut note);
        read.map_err(|problem| ErrorKind::Unreadable(problem.to_string()))?;
        found.retain(|field| !FIXED.contains(&field.as_str()));
        Ok(found)
    }
}

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TrafficClass {
    /// May run more than once.
    Idempotent,
    /// At most once.
    NonIdempotent,
    /// Large answers; may run more than once.
    Downlink,
}

impl TrafficClass {
    /// Whether it may run more than once.
    pub fn is_retry_safe(self) -> bool {
        self != TrafficClass::NonIdempotent
    }
}

impl Route {
    /// Its class, if it is one of those named in the protocol.
    pub fn class(&self) -> Option<TrafficClass> {
        match self.traffic_class.as_str() {
            "idempotent" => Some(TrafficClass::Idempotent),
            "non_idempotent" => Some(TrafficClass::NonIdempotent),
            "downlink" => Some(TrafficClass::Downlink),
            _ => None,
        }
    }

    /// The host by which requests are known as its own: without a port, in small letters.
    pub fn normalized_host(&self) -> String {
        normalize_host(&self.domain)
    }

    /// Its services with their shares.
    pub fn shares(&self) -> Vec<(&str, f64)> {
        match &self.target {
            Some(target) => vec![(target.as_str(), 1.0)],
            None => self.distribution.iter().map(|part| (part.target.as_str(), part.share)).collect(),
        }
    }
}

/// A host as it is compared: without its port, in small letters.
pub fn normalize_host(given: &str) -> String {
    let name = given.rsplit_once(':').filter(|(_, port)| port.bytes().all(|it| it.is_ascii_digit()));
    name.map_or(given, |(name, _)| name).trim_end_matches('.').to_ascii_lowercase()
}
