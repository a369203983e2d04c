//! The configuration: a JSON file, and the environment variables that name it and may override parts of it.

use crate::discovery::NodeList;
use crate::limits::Grant;
use crate::wire;
use milletwing_decision::interface::{Settings, StageReport};
use milletwing_profile::{Names, TransportSettings};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;

/// The configuration of a marshal.
#[derive(Debug)]
pub struct Config {
    /// The marshal's name, for the log.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The address of the platform.
    pub platform: SocketAddr,
    /// The platform's stage at the start, if the configuration has it.
    pub initial_stage: Option<StageReport>,
    /// The node list that was known last.
    pub known: NodeList,
    /// The resources granted to the marshal.
    pub grant: Grant,
    /// The seed for random numbers.
    pub seed: u64,
    /// The module's settings.
    pub settings: Settings,
    /// The names that the settings refer to.
    pub names: Names,
    /// The part of the settings that concerns connections.
    pub transport: TransportSettings,
}

#[derive(Deserialize)]
struct ConfigText {
    #[serde(default)]
    name: String,
    listen: Option<String>,
    discovery: Option<String>,
    seed: String,
    limits: LimitsText,
    platform: PlatformText,
    #[serde(default)]
    known: NodeList,
    settings: Box<RawValue>,
}

#[derive(Deserialize)]
struct LimitsText {
    #[serde(default = "default_memory_mb")]
    memory_mb: u64,
    #[serde(default = "default_sockets")]
    sockets: usize,
}

fn default_memory_mb() -> u64 {
    192
}

fn default_sockets() -> usize {
    1024
}

#[derive(Deserialize)]
struct PlatformText {
    address: String,
    news: Option<StageText>,
}

#[derive(Deserialize)]
struct StageText {
    image: f64,
    ring: f64,
    progress: String,
    ceiling: f64,
    #[serde(default)]
    lag_ms: f64,
}

fn parse_address(field: &str, text: Option<String>) -> Result<SocketAddr, String> {
    let text = text.ok_or_else(|| format!("{field}: missing"))?;
    text.parse().map_err(|_| format!("{field}: `{}` is no address and port", text.escape_debug()))
}

impl Config {
    /// The path of the file that `GW_CONFIG` names.
    pub fn path() -> Result<String, String> {
        std::env::var("GW_CONFIG").map_err(|_| "GW_CONFIG: missing".to_string())
    }

    /// Reads a file and the environment variables.
    pub fn from_file(path: &str) -> Result<Config, String> {
        Config::read(&read_to_string(path)?, |name| std::env::var(name).ok())
    }

    /// Parses the JSON text; a variable takes precedence over the field of the same name.
    pub fn read(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        Config::parse(text, &variable, |field| variable("GW_DISCOVERY").or(field))
    }

    /// Reads the file again while a marshal runs. Its `discovery` field takes precedence over the variable, which still
    /// holds the address from the start; without the field, the variable stays in effect.
    pub fn again(path: &str) -> Result<Config, String> {
        let variable = |name: &str| std::env::var(name).ok();
        Config::parse(&read_to_string(path)?, &variable, |field| field.or_else(|| variable("GW_DISCOVERY")))
    }

    fn parse(
        text: &str,
        variable: &dyn Fn(&str) -> Option<String>,
        discovery: impl FnOnce(Option<String>) -> Option<String>,
    ) -> Result<Config, String> {
        let text: ConfigText =
            serde_json::from_str(text).map_err(|problem| one_line(&problem.to_string()))?;
        let (settings, names, transport) = milletwing_profile::parse_settings(text.settings.get())
            .map_err(|problem| format!("settings: {}", one_line(&problem)))?;
        let initial_stage = match &text.platform.news {
            None => None,
            Some(news) => {
                let phase = wire::phase(&news.progress)
                    .ok_or_else(|| format!("platform.news.progress: `{}`", news.progress.escape_debug()))?;
                Some(wire::stage_report([news.image, news.ring, news.ceiling, news.lag_ms], phase, false))
            }
        };
        let seed = u64::from_str_radix(text.seed.trim_start_matches("0x"), 16)
            .map_err(|_| format!("seed: `{}` is no hexadecimal number", text.seed.escape_debug()))?;
        let (memory_mb, sockets) = (text.limits.memory_mb, text.limits.sockets);
        if memory_mb < 16 || sockets < 32 {
            return Err("limits: less than 16 MiB or 32 sockets".to_string());
        }
        Ok(Config {
            name: variable("GW_NAME").unwrap_or(text.name),
            listen: parse_address("listen", variable("GW_LISTEN").or(text.listen))?,
            discovery: parse_address("discovery", discovery(text.discovery))?,
            platform: parse_address("platform.address", Some(text.platform.address))?,
            initial_stage,
            known: text.known,
            grant: Grant { memory_mb, sockets },
            seed,
            settings,
            names,
            transport,
        })
    }
}

fn read_to_string(path: &str) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|problem| format!("configuration {path}: {problem}"))
}

fn one_line(text: &str) -> String {
    text.replace(['\n', '\r'], " ")
}

impl Config {
    /// A summary of what a marshal would do with this configuration, for people.
    pub fn summary(&self) -> String {
        let limits = crate::Limits::new(self.grant, &self.transport);
        format!(
            "{} would listen at {}, ask discovery at {} and the platform at {}; {} classes, {} tenants, \
             {} nodes known; at most {} connections of clients and {} to nodes; at SIGHUP it would read discovery \
             and platform.address again, and nothing else",
            self.name,
            self.listen,
            self.discovery,
            self.platform,
            self.names.classes.len(),
            self.names.tenants.len(),
            self.known.servers.len(),
            limits.max_clients,
            limits.max_node_connections
        )
    }
}
