//! The settings file: what the platform tells a process (DEPLOY). Fields that are not known are passed over.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

/// The whole file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Settings {
    /// The process and its machine.
    #[serde(rename = "self")]
    pub own: ProcessSettings,
    /// Addresses.
    pub network: Network,
    /// How marshals become known.
    #[serde(default)]
    pub provider: Provider,
    /// What may be lost, and the bounds of the rules.
    #[serde(default)]
    pub timers: Timers,
}

/// The process and its machine.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ProcessSettings {
    /// The machine's name.
    pub node_name: String,
    /// What it serves: `edge`, `control`, `directory`.
    #[serde(default)]
    pub served_planes: Vec<String>,
    /// Its address.
    pub ip_address: Ipv4Addr,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// True only at the very first start of the whole system.
    #[serde(default)]
    pub initial_attach: bool,
    /// Where its disk is, if it has one.
    #[serde(default)]
    pub state_dir: Option<String>,
    /// What the machine grants.
    #[serde(default)]
    pub thresholds: Thresholds,
}

/// What the machine grants.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Thresholds {
    /// Cores.
    pub cpu_quota: f64,
    /// Megabytes of memory.
    pub memory_mb: f64,
    /// Descriptors.
    pub max_files: u64,
}

impl Default for Thresholds {
    fn default() -> Thresholds {
        Thresholds { cpu_quota: 0.1, memory_mb: 128.0, max_files: 1024 }
    }
}

/// Addresses.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Network {
    /// First and last port that processes of the system may use among themselves.
    pub internal_ports: (u16, u16),
    /// `controlPlane` addresses of some machines.
    #[serde(default)]
    pub seed_list: Vec<SocketAddrV4>,
    /// What this process listens on, by name.
    #[serde(default)]
    pub bindings: BTreeMap<String, SocketAddrV4>,
    /// The region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
}

/// How marshals become known.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Provider {
    /// Seconds between the beats of a marshal.
    pub report_s: f64,
}

impl Default for Provider {
    fn default() -> Provider {
        Provider { report_s: 1.5 }
    }
}

/// What may be lost, and the bounds of the rules.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Timers {
    /// What may be lost at once.
    pub resilience: Resilience,
    /// The rules' figures.
    pub guarantees: Guarantees,
}

/// What may be lost at once.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Resilience {
    /// Machines that count.
    pub machine_losses: usize,
}

impl Default for Resilience {
    fn default() -> Resilience {
        Resilience { machine_losses: 1 }
    }
}

/// The rules' figures. What is absent has the value of the pages' example.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
#[allow(non_snake_case)]
pub struct Guarantees {
    /// Seconds until edges in touch no longer send to one that drains.
    pub drainS: f64,
    /// Seconds from SIGTERM to SIGKILL.
    pub graceS: f64,
    /// Seconds in which a call of marshals or operators should be acknowledged.
    pub ackS: f64,
    /// Seconds until a configuration is in force on edges in touch.
    pub applyS: f64,
    /// Seconds after which a machine that is back, or new, counts again.
    pub syncS: f64,
    /// Further tries for each request of a service.
    pub retryBudgetRatio: f64,
    /// Seconds over which further tries are counted.
    pub retryWindowS: f64,
    /// Further tries beyond the ratio, over all machines.
    pub retrySlack: f64,
    /// What a cold marshal may get, as a multiple of `warmupPerS`.
    pub warmupExcess: f64,
    /// And beyond that, in requests.
    pub warmupSlack: f64,
    /// Part of a service's requests that a bad version may get.
    pub exposureShare: f64,
    /// And beyond that, in requests.
    pub exposureSlack: f64,
    /// Seconds until edges in touch send nothing more to an evacuated zone.
    pub evacuationS: f64,
    /// The longest time that a resolution may be held, in seconds.
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
    /// Reads the file's text. The error names the field or the line.
    pub fn parse(text: &str) -> Result<Settings, String> {
        let whole: toml::Value = toml::from_str(text).map_err(|problem| problem.to_string())?;
        finite("", &whole)?;
        let settings: Settings = toml::from_str(text).map_err(|problem| problem.to_string())?;
        let (first, last) = settings.network.internal_ports;
        if first == 0 || last < first {
            return Err(format!("network.internalPorts: {first} to {last} is no span of ports"));
        }
        if settings.own.ip_address.is_unspecified() {
            return Err("self.ipAddress: an address of this machine is wanted".into());
        }
        Ok(settings)
    }

    /// The address to listen on for a purpose. The error names the field.
    pub fn binding(&self, name: &str) -> Result<SocketAddrV4, String> {
        self.network.bindings.get(name).copied().ok_or_else(|| format!("network.bindings.{name} is missing"))
    }

    /// This machine as a number.
    pub fn id(&self) -> u32 {
        self.own.ip_address.to_bits()
    }

    /// Machines of the seeds, in order.
    pub fn seeds(&self) -> Vec<u32> {
        self.network.seed_list.iter().map(|seed| seed.ip().to_bits()).collect()
    }

    /// The region of a zone; the zone's own name where it isn't listed.
    pub fn region<'a>(&'a self, zone: &'a str) -> &'a str {
        self.network.zones.get(zone).map_or(zone, String::as_str)
    }
}

/// Refuses numbers that are none or without end, which no bound or time can be. The error names the field.
fn finite(path: &str, value: &toml::Value) -> Result<(), String> {
    let at = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        toml::Value::Float(number) if !number.is_finite() => {
            Err(format!("{path}: a finite number is wanted"))
        }
        toml::Value::Table(table) => table.iter().try_for_each(|(name, value)| finite(&at(name), value)),
        toml::Value::Array(values) => values.iter().try_for_each(|value| finite(path, value)),
        _ => Ok(()),
    }
}
