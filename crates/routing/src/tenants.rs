//! Tenants as requests need them: found by their keys, which are kept as keyed digests only.

use ahash::RandomState;
use hashbrown::HashMap;
use milletwing_config::configuration::Subscriber;
use milletwing_config::Configuration;
use milletwing_drift_detection::{LeafSink, Part};
use sha2::{Digest, Sha256};
use std::rc::Rc;

/// Bytes drawn by a process for its digests of keys, so that nobody outside can tell how a key is compared.
pub type Salt = [u8; 16];

/// A key as it is kept: half of a SHA-256 over the salt and the key. Two keys share one once in 2^64 keys.
type KeyDigest = [u8; 16];

/// A tenant.
#[derive(Debug, PartialEq)]
pub struct Tenant {
    /// Its name, as marshals are told it.
    pub name: Rc<str>,
    /// How many priorities of the configuration go before its own, where it has one.
    pub rank: Option<u32>,
    /// Regions in which its requests may be served; none: all.
    pub regions: Vec<String>,
    /// Digest of its keys without a salt: the same at every machine.
    keys: [u8; 32],
}

/// All tenants of a configuration.
#[derive(Debug, Default)]
pub struct Tenants {
    salt: Salt,
    all: Vec<Rc<Tenant>>,
    by_key: HashMap<KeyDigest, Rc<Tenant>, RandomState>,
}

impl Tenants {
    /// Of a configuration. `rank`: how many of its priorities go before a given one.
    pub fn new(configuration: &Configuration, salt: Salt, rank: impl Fn(i64) -> u32) -> Tenants {
        let mut tenants = Tenants { salt, ..Tenants::default() };
        for (name, subscriber) in &configuration.subscribers {
            let tenant = Rc::new(Tenant {
                name: Rc::from(name.as_str()),
                rank: subscriber.priority.map(&rank),
                regions: subscriber.serving_regions.clone(),
                keys: digest_of_keys(subscriber),
            });
            for key in &subscriber.credentials {
                tenants.by_key.insert(digest(&salt, key), Rc::clone(&tenant));
            }
            tenants.all.push(tenant);
        }
        tenants
    }

    /// Whether requests need a key at all.
    pub fn any(&self) -> bool {
        !self.all.is_empty()
    }

    /// Whose key it is.
    pub fn find(&self, key: &str) -> Option<&Rc<Tenant>> {
        self.by_key.get(&digest(&self.salt, key))
    }

    /// All that matters about each, without its keys.
    pub fn export_state(&self, sink: &mut impl LeafSink) {
        for tenant in &self.all {
            let rank = tenant.rank.map_or([0xff; 4], u32::to_be_bytes);
            let mut about: Vec<&[u8]> = vec![&rank, &tenant.keys];
            about.extend(tenant.regions.iter().map(|region| region.as_bytes()));
            sink.leaf(Part::Tenants, &tenant.name, &about);
        }
    }
}

fn digest(salt: &Salt, key: &str) -> KeyDigest {
    let whole: [u8; 32] = Sha256::new().chain_update(salt).chain_update(key).finalize().into();
    std::array::from_fn(|at| whole[at])
}

/// Over all keys in the order of their bytes, their lengths before them.
fn digest_of_keys(subscriber: &Subscriber) -> [u8; 32] {
    let mut keys: Vec<&String> = subscriber.credentials.iter().collect();
    keys.sort_unstable();
    let mut hasher = Sha256::new();
    for key in keys {
        hasher.update((key.len() as u64).to_be_bytes());
        hasher.update(key);
    }
    hasher.finalize().into()
}
