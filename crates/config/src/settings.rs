//! The settings file, by which the platform configures a process. Unknown fields are ignored.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

/// The contents of the settings file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Settings {
    /// Settings of the process and its machine.
    #[serde(rename = "self")]
    pub own: ProcessSettings,
    /// Network addresses.
    pub network: Network,
    /// How marshals register.
    #[serde(default)]
    pub provider: Provider,
    /// Fault tolerance and service guarantees.
    #[serde(default)]
    pub timers: Timers,
}

/// Settings of the process and its machine.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ProcessSettings {
    /// The name of the machine.
    pub node_name: String,
    /// The roles it serves: `edge`, `control`, `directory`.
    #[serde(default)]
    pub served_planes: Vec<String>,
    /// The address of the machine.
    pub ip_address: Ipv4Addr,
    /// The zone of the machine.
    pub zone: String,
    /// The region of the machine.
    pub region: String,
    /// Whether this is the very first start of the whole system.
    #[serde(default)]
    pub initial_attach: bool,
    /// The directory for persistent state, if the machine has a disk.
    #[serde(default)]
    pub state_dir: Option<String>,
    /// Resource limits of the process.
    #[serde(default)]
    pub thresholds: Thresholds,
}

/// Resource limits of the process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Thresholds {
    /// The CPU limit in cores.
    pub cpu_quota: f64,
    /// The memory limit in megabytes.
    pub memory_mb: f64,
    /// The maximum number of file descriptors.
    pub max_files: u64,
}

impl Default for Thresholds {
    fn default() -> Thresholds {
        Thresholds { cpu_quota: 0.1, memory_mb: 128.0, max_files: 1024 }
    }
}

/// Network addresses.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Network {
    /// The first and the last port for connections between processes of the system.
    pub internal_ports: (u16, u16),
    /// `controlPlane` addresses of some core machines.
    #[serde(default)]
    pub seed_list: Vec<SocketAddrV4>,
    /// Listening addresses of this process by purpose.
    #[serde(default)]
    pub bindings: BTreeMap<String, SocketAddrV4>,
    /// The region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
}

/// How marshals register.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Provider {
    /// The heartbeat interval of marshals in seconds.
    pub report_s: f64,
}

impl Default for Provider {
    fn default() -> Provider {
        Provider { report_s: 1.5 }
    }
}

/// Fault tolerance and service guarantees.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Timers {
    /// The failures to be tolerated.
    pub resilience: Resilience,
    /// The service guarantees.
    pub guarantees: Guarantees,
}

/// The failures to be tolerated.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Resilience {
    /// The number of voting core machines that may be lost at the same time.
    pub machine_losses: usize,
}

impl Default for Resilience {
    fn default() -> Resilience {
        Resilience { machine_losses: 1 }
    }
}

/// The service guarantees. Absent values default to those of the documented example.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
#[allow(non_snake_case)]
pub struct Guarantees {
    /// Seconds until edges that are connected to the core send nothing more to a draining marshal.
    pub drainS: f64,
    /// Seconds from SIGTERM to SIGKILL.
    pub graceS: f64,
    /// Seconds within which a call of a marshal or an operator should be acknowledged.
    pub ackS: f64,
    /// Seconds until a configuration is in force on edges that are connected to the core.
    pub applyS: f64,
    /// Seconds after which a new or returning core machine votes.
    pub syncS: f64,
    /// Retries allowed per request of a service.
    pub retryBudgetRatio: f64,
    /// The window in seconds over which retries are counted.
    pub retryWindowS: f64,
    /// Retries allowed beyond the ratio, over all machines.
    pub retrySlack: f64,
    /// The request rate that a cold marshal may receive, as a multiple of `warmupPerS`.
    pub warmupExcess: f64,
    /// Requests that a cold marshal may receive beyond that rate.
    pub warmupSlack: f64,
    /// The fraction of the requests of a service that a bad version may receive.
    pub exposureShare: f64,
    /// Requests that a bad version may receive beyond that fraction.
    pub exposureSlack: f64,
    /// Seconds until edges that are connected to the core send nothing more to an evacuated zone.
    pub evacuationS: f64,
    /// The longest time for which a resolution may be cached, in seconds.
    pub ttl_max_s: f64,
}

impl Default for Guarantees {
    fn default() -> Guarantees {
        Guarantees {
            drainS: 2.0,
            graceS: 6.0,
            ackS: 6.0,
            applyS: 2.0,
            syncS: 4.0,
            retryBudgetRatio: 0.2,
            retryWindowS: 10.0,
            retrySlack: 50.0,
            warmupExcess: 1.5,
            warmupSlack: 5.0,
            exposureShare: 0.1,
            exposureSlack: 50.0,
            evacuationS: 5.0,
            ttl_max_s: 5.0,
        }
    }
}

impl Settings {
    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// Names the invalid field or line.
    pub fn parse(text: &str) -> Result<Settings, String> {
        let document: toml::Value = toml::from_str(text).map_err(|error| error.to_string())?;
        check_finite("", &document)?;
        let settings: Settings = toml::from_str(text).map_err(|error| error.to_string())?;
        let (first, last) = settings.network.internal_ports;
        if first == 0 || last < first {
            return Err(format!("network.internalPorts: {first} to {last} is not a range of ports"));
        }
        if settings.own.ip_address.is_unspecified() {
            return Err("self.ipAddress: must be an address of this machine".into());
        }
        Ok(settings)
    }

    /// Returns the address to listen on for a purpose.
    ///
    /// # Errors
    ///
    /// Names the missing field.
    pub fn binding(&self, name: &str) -> Result<SocketAddrV4, String> {
        self.network.bindings.get(name).copied().ok_or_else(|| format!("network.bindings.{name} is missing"))
    }

    /// Returns the id of this machine: its address as a number.
    pub fn id(&self) -> u32 {
        self.own.ip_address.to_bits()
    }

    /// Returns the ids of the machines in the seed list, in order.
    pub fn seeds(&self) -> Vec<u32> {
        self.network.seed_list.iter().map(|seed| seed.ip().to_bits()).collect()
    }

    /// Returns the region of a zone, or the name of the zone if it is not listed.
    pub fn region<'a>(&'a self, zone: &'a str) -> &'a str {
        self.network.zones.get(zone).map_or(zone, String::as_str)
    }
}

/// Checks that all numbers are finite, since no limit or time can be NaN or infinite.
///
/// # Errors
///
/// Names the invalid field.
fn check_finite(path: &str, value: &toml::Value) -> Result<(), String> {
    let child = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        toml::Value::Float(number) if !number.is_finite() => Err(format!("{path}: must be a finite number")),
        toml::Value::Table(table) => {
            table.iter().try_for_each(|(name, value)| check_finite(&child(name), value))
        }
        toml::Value::Array(values) => values.iter().try_for_each(|value| check_finite(path, value)),
        _ => Ok(()),
    }
}
