//! Endpoints as the registry lists them, with what this host believes of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use jacinthrock::{DomainName, EndpointName, ServiceName};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Version of the registry: rises with each change of any entry.
pub type RegistryVersion = u64;

/// Layers of a model, the end excluded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LayerSpan {
    /// First layer.
    pub from: u16,
    /// Layer after the last.
    pub to: u16,
}

impl LayerSpan {
    /// Number of layers.
    pub fn count(self) -> u16 {
        self.to.saturating_sub(self.from)
    }

    /// Whether the span holds the layer.
    pub fn holds(self, layer: u16) -> bool {
        self.from <= layer && layer < self.to
    }
}

/// One endpoint as it registered itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Name of this start of the endpoint.
    pub name: EndpointName,
    /// Service that it serves.
    pub service: ServiceName,
    /// Address of requests, orders and reports.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it has announced that it leaves.
    pub is_draining: bool,
    /// Orders that it has accepted, as last written.
    pub orders: u64,
    /// Start of the endpoint, in ms since the Unix epoch; 0 where it does not say.
    pub born: u64,
    /// Kind of card, for endpoints that hold layers.
    pub card: Option<Box<str>>,
    /// Layers that it holds.
    pub layers: Option<LayerSpan>,
}

/// One change of the registry.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointChange {
    /// The entry was written.
    Put(EndpointEntry),
    /// The entry is gone.
    Gone(EndpointName),
}

/// Time after the store's return for which an entry that vanished meanwhile is kept: live
/// endpoints are back within two seconds, by the platform's promise.
pub(crate) const RETURN_GRACE: Duration = Duration::from_millis(2_000);

/// Every endpoint that may be used, and those whose entry may come back.
#[derive(Debug, Default)]
pub struct EndpointTable {
    version: RegistryVersion,
    entries: BTreeMap<EndpointName, EndpointEntry>,
    vanished: BTreeMap<EndpointName, Instant>,
    unsettled_until: Option<Instant>,
}

impl EndpointTable {
    /// Version of the registry up to which the table is complete.
    pub fn version(&self) -> RegistryVersion {
        self.version
    }

    /// Entries in the order of their names.
    pub fn entries(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.entries.values()
    }

    /// Entry of one endpoint.
    pub fn get(&self, name: &str) -> Option<&EndpointEntry> {
        self.entries.get(name)
    }

    /// Records that the store does not answer, or has only just answered again: entries that
    /// vanish until `RETURN_GRACE` after its return are kept until then.
    pub fn store_was_away(&mut self, now: Instant) {
        self.unsettled_until = Some(now + RETURN_GRACE);
    }

    /// Replaces the table by a whole listing.
    pub fn replace(
        &mut self,
        version: RegistryVersion,
        entries: impl IntoIterator<Item = EndpointEntry>,
        now: Instant,
    ) {
        let mut fresh: BTreeMap<_, _> =
            entries.into_iter().map(|entry| (entry.name.clone(), entry)).collect();
        let previous = std::mem::take(&mut self.entries);
        for (name, entry) in previous {
            if !fresh.contains_key(&name) && self.keeps_vanished(&name, &entry, now) {
                fresh.insert(name, entry);
            }
        }
        self.vanished.retain(|name, _| fresh.contains_key(name));
        self.entries = fresh;
        self.version = version;
    }

    /// Applies changes that lead up to a version.
    pub fn apply(
        &mut self,
        version: RegistryVersion,
        changes: impl IntoIterator<Item = EndpointChange>,
        now: Instant,
    ) {
        for change in changes {
            match change {
                EndpointChange::Put(entry) => {
                    self.vanished.remove(&entry.name);
                    self.entries.insert(entry.name.clone(), entry);
                }
                EndpointChange::Gone(name) => self.remove(name, now),
            }
        }
        self.version = self.version.max(version);
    }

    /// Drops entries that did not come back in time; returns their names.
    pub fn expire(&mut self, now: Instant) -> Vec<EndpointName> {
        let due: Vec<_> = self
            .vanished
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(n, _)| n.clone())
            .collect();
        for name in &due {
            self.vanished.remove(name);
            self.entries.remove(name);
        }
        due
    }

    fn remove(&mut self, name: EndpointName, now: Instant) {
        let Some(entry) = self.entries.remove(&name) else { return };
        if self.keeps_vanished(&name, &entry, now) {
            self.entries.insert(name, entry);
        }
    }

    /// An endpoint that had announced its leaving is not expected back.
    fn keeps_vanished(&mut self, name: &str, entry: &EndpointEntry, now: Instant) -> bool {
        let Some(until) = self.unsettled_until.filter(|until| now < *until) else { return false };
        if entry.is_draining {
            return false;
        }
        let until = *self.vanished.entry(name.into()).or_insert(until);
        now < until
    }
}
