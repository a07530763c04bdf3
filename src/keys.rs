//! Bearer keys: which customer a request comes from.

use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

use crate::effective::EffectiveConfig;
use crate::hex::encode_hex;
use crate::ids::{ConfigRevision, CustomerName};

/// Customers by the hash of their bearer keys, for one revision of the configuration.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyIndex {
    revision: ConfigRevision,
    customers: BTreeMap<Box<str>, CustomerName>,
}

impl KeyIndex {
    /// Indexes the keys of every customer.
    pub(crate) fn new(config: &EffectiveConfig) -> Self {
        let mut customers = BTreeMap::new();
        for customer in config.customers.values() {
            let entries =
                customer.key_hashes.iter().map(|hash| (hash.clone(), customer.name.clone()));
            customers.extend(entries);
        }
        Self { revision: config.revision, customers }
    }

    /// Revision that the index was made from.
    pub(crate) fn revision(&self) -> ConfigRevision {
        self.revision
    }

    /// Finds the customer that holds a key.
    pub(crate) fn customer(&self, key: &str) -> Option<&CustomerName> {
        self.customers.get(&*encode_hex(&Sha256::digest(key.as_bytes())))
    }
}
