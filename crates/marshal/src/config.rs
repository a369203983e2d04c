//! The configuration: a JSON file, and the variables that name it and may stand in for parts of it.

use crate::discovery::NodeList;
use crate::limits::Grant;
use crate::wire;
use milletwing_decision::interface::{Settings, StageReport};
use milletwing_profile::{Names, TransportSettings};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;

/// What a marshal is told at its start.
#[derive(Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// Where the platform listens.
    pub platform: SocketAddr,
    /// The platform's state at the start, where it is told.
    pub news: Option<StageReport>,
    /// The list as last held.
    pub known: NodeList,
    /// The grant.
    pub grant: Grant,
    /// For random numbers.
    pub seed: u64,
    /// The module's settings.
    pub settings: Settings,
    /// Names that they refer to.
    pub names: Names,
    /// What they say of connections.
    pub transport: TransportSettings,
}

#[derive(Deserialize)]
struct Text {
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
    #[serde(default = "memory")]
    memory_mb: u64,
    #[serde(default = "sockets")]
    sockets: usize,
}

fn memory() -> u64 {
    192
}

fn sockets() -> usize {
    1024
}

#[derive(Deserialize)]
struct PlatformText {
    address: String,
    news: Option<NewsText>,
}

#[derive(Deserialize)]
struct NewsText {
    image: f64,
    ring: f64,
    progress: String,
    ceiling: f64,
    #[serde(default)]
    lag_ms: f64,
}

fn address(field: &str, text: Option<String>) -> Result<SocketAddr, String> {
    let text = text.ok_or_else(|| format!("{field}: missing"))?;
    text.parse().map_err(|_| format!("{field}: `{}` is no address and port", text.escape_debug()))
}

impl Config {
    /// The file that `GW_CONFIG` names.
    pub fn path() -> Result<String, String> {
        std::env::var("GW_CONFIG").map_err(|_| "GW_CONFIG: missing".to_string())
    }

    /// Reads a file, and the variables beside it.
    pub fn from_file(path: &str) -> Result<Config, String> {
        Config::read(&contents(path)?, |name| std::env::var(name).ok())
    }

    /// Reads the JSON text; a variable stands before the field of the same name.
    pub fn read(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        Config::parse(text, &variable, |field| variable("GW_DISCOVERY").or(field))
    }

    /// Reads a file again while a marshal runs. Its `discovery` stands before the variable, which still holds the
    /// address of the start; without the field, the variable counts on.
    pub fn again(path: &str) -> Result<Config, String> {
        let variable = |name: &str| std::env::var(name).ok();
        Config::parse(&contents(path)?, &variable, |field| field.or_else(|| variable("GW_DISCOVERY")))
    }

    fn parse(
        text: &str,
        variable: &dyn Fn(&str) -> Option<String>,
        discovery: impl FnOnce(Option<String>) -> Option<String>,
    ) -> Result<Config, String> {
        let text: Text = serde_json::from_str(text).map_err(|problem| one_line(&problem.to_string()))?;
        let (settings, names, transport) = milletwing_profile::parse_settings(text.settings.get())
            .map_err(|problem| format!("settings: {}", one_line(&problem)))?;
        let news = match &text.platform.news {
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
            listen: address("listen", variable("GW_LISTEN").or(text.listen))?,
            discovery: address("discovery", discovery(text.discovery))?,
            platform: address("platform.address", Some(text.platform.address))?,
            news,
            known: text.known,
            grant: Grant { memory_mb, sockets },
            seed,
            settings,
            names,
            transport,
        })
    }
}

fn contents(path: &str) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|problem| format!("configuration {path}: {problem}"))
}

fn one_line(text: &str) -> String {
    text.replace(['\n', '\r'], " ")
}

impl Config {
    /// What a marshal would do with it, for people.
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
