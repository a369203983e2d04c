//! Reloading: on a signal the configuration is read and validated again, and new addresses of discovery and the
//! platform take effect. Nothing else changes while the marshal runs, and requests are not affected.

use crate::config::Config;
use crate::endpoint::Endpoint;
use std::net::SocketAddr;
use std::sync::Arc;

/// The configuration in effect, and the endpoints whose addresses may change.
pub struct Reloader {
    listen: SocketAddr,
    fixed_settings: String,
    discovery: Arc<Endpoint>,
    platform: Arc<Endpoint>,
}

impl Reloader {
    /// Creates a reloader for the configuration that the marshal started with.
    pub fn new(config: &Config, discovery: &Arc<Endpoint>, platform: &Arc<Endpoint>) -> Reloader {
        let (discovery, platform) = (discovery.clone(), platform.clone());
        Reloader { listen: config.listen, fixed_settings: fixed_settings(config), discovery, platform }
    }

    /// Applies a configuration that was read again; an invalid one is logged in one line and changes nothing.
    pub fn apply(&self, read: Result<Config, String>) {
        let config = match read {
            Ok(config) => config,
            Err(problem) => {
                return log::error!("reload: {problem}; the running configuration stays in effect")
            }
        };
        if config.listen != self.listen || fixed_settings(&config) != self.fixed_settings {
            log::warn!("reload: changes of listen, limits and settings take effect at the next start only");
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

/// The part of the configuration that cannot change while the marshal runs, as text for comparison.
fn fixed_settings(config: &Config) -> String {
    format!("{:?} {:?} {:?}", config.grant, config.transport, config.settings)
}
