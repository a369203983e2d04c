//! Reload: at a sign the configuration is read again and checked; new addresses of discovery and the platform are
//! handed on. Nothing else changes while the marshal runs: requests notice nothing.

use crate::config::Config;
use crate::endpoint::Endpoint;
use std::net::SocketAddr;
use std::sync::Arc;

/// What the running marshal was told, and who follows new addresses.
pub struct Reloader {
    listen: SocketAddr,
    fixed_settings: String,
    discovery: Arc<Endpoint>,
    platform: Arc<Endpoint>,
}

impl Reloader {
    /// Of the configuration that the marshal started with.
    pub fn new(config: &Config, discovery: &Arc<Endpoint>, platform: &Arc<Endpoint>) -> Reloader {
        let (discovery, platform) = (discovery.clone(), platform.clone());
        Reloader { listen: config.listen, fixed_settings: fixed_settings(config), discovery, platform }
    }

    /// Takes on a configuration that was read anew; what is wrong with it leaves all as it is, with one line.
    pub fn apply(&self, read: Result<Config, String>) {
        let config = match read {
            Ok(config) => config,
            Err(problem) => return log::error!("reload: {problem}; the running configuration stays"),
        };
        if config.listen != self.listen || fixed_settings(&config) != self.fixed_settings {
            log::warn!(
                "reload: listen, limits and settings count from the next start on, and stay as they are"
            );
        }
        let discovery = self.discovery.move_to(config.discovery);
        let platform = self.platform.move_to(config.platform);
        let label = |moved: bool| if moved { "now" } else { "still" };
        log::info!(
            "reload: discovery {} at {}, the platform {} at {}",
            label(discovery),
            config.discovery,
            label(platform),
            config.platform
        );
    }
}

/// What can't change while a marshal runs, as text to compare.
fn fixed_settings(config: &Config) -> String {
    format!("{:?} {:?} {:?}", config.grant, config.transport, config.settings)
}
