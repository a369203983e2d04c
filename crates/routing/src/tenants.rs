//! Tenants, found by their API keys, which are stored only as salted digests.

use ahash::RandomState;
use hashbrown::HashMap;
use milletwing_config::configuration::Subscriber;
use milletwing_config::Configuration;
use milletwing_drift_detection::{LeafSink, Part};
use sha2::{Digest, Sha256};
use std::rc::Rc;

/// Random salt of a process for its key digests, so that an outsider cannot predict how a key is
/// compared.
pub type Salt = [u8; 16];

/// Stored form of a key: half of a SHA-256 over the salt and the key. Two keys collide with a
/// probability of 1 in 2^64.
type KeyDigest = [u8; 16];

/// A tenant.
#[derive(Debug, PartialEq)]
pub struct Tenant {
    /// Name, as sent to marshals.
    pub name: Rc<str>,
    /// Number of distinct priorities that rank before this tenant's, if it has a priority.
    pub priority_rank: Option<u32>,
    /// Regions in which its requests may be served; empty means all.
    pub serving_regions: Vec<String>,
    /// Unsalted digest of its keys, the same on every machine.
    keys_digest: [u8; 32],
}

/// All tenants of a configuration.
#[derive(Debug, Default)]
pub struct Tenants {
    salt: Salt,
    all: Vec<Rc<Tenant>>,
    by_key: HashMap<KeyDigest, Rc<Tenant>, RandomState>,
}

impl Tenants {
    /// Builds the tenants of a configuration. `rank` gives the number of priorities that rank
    /// before a given one.
    pub fn new(configuration: &Configuration, salt: Salt, rank: impl Fn(i64) -> u32) -> Tenants {
        let mut tenants = Tenants { salt, ..Tenants::default() };
        for (name, subscriber) in &configuration.subscribers {
            let tenant = Rc::new(Tenant {
                name: Rc::from(name.as_str()),
                priority_rank: subscriber.priority.map(&rank),
                serving_regions: subscriber.serving_regions.clone(),
                keys_digest: digest_of_keys(subscriber),
            });
            for key in &subscriber.credentials {
                tenants.by_key.insert(digest(&salt, key), Rc::clone(&tenant));
            }
            tenants.all.push(tenant);
        }
        tenants
    }

    /// Whether requests need an API key.
    pub fn key_required(&self) -> bool {
        !self.all.is_empty()
    }

    /// Finds the tenant of a key.
    pub fn find(&self, key: &str) -> Option<&Rc<Tenant>> {
        self.by_key.get(&digest(&self.salt, key))
    }

    /// Exports the content of each tenant, without its keys.
    pub fn export_state(&self, sink: &mut impl LeafSink) {
        for tenant in &self.all {
            let rank = tenant.priority_rank.map_or([0xff; 4], u32::to_be_bytes);
            let mut fields: Vec<&[u8]> = vec![&rank, &tenant.keys_digest];
            fields.extend(tenant.serving_regions.iter().map(|region| region.as_bytes()));
            sink.leaf(Part::Tenants, &tenant.name, &fields);
        }
    }
}

fn digest(salt: &Salt, key: &str) -> KeyDigest {
    let hash: [u8; 32] = Sha256::new().chain_update(salt).chain_update(key).finalize().into();
    std::array::from_fn(|at| hash[at])
}

/// Digest over all keys in byte order, each preceded by its length.
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
