//! Endpoints as the registry lists them, with what this host believes of them.

use std::collections::{BTreeMap, VecDeque};
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
    /// Layers whose weights take memory beside those while an order is under way: ones that are
    /// being loaded, or ones that are given up once no stream passes through them any more.
    #[serde(default)]
    pub under_way: Option<LayerSpan>,
}

impl EndpointEntry {
    /// Number of layers whose weights take memory.
    pub fn weight_layers(&self) -> u16 {
        let spans = [self.layers, self.under_way].into_iter().flatten().filter(|s| s.count() > 0);
        let from = spans.clone().map(|span| span.from).min().unwrap_or(0);
        spans.map(|span| span.to).max().unwrap_or(0) - from
    }
}

/// One change of the registry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EndpointChange {
    /// The entry was written.
    Put(EndpointEntry),
    /// The entry is gone.
    Gone(EndpointName),
}

/// Time after the store's return for which an entry that vanished meanwhile is kept: live
/// endpoints are back within two seconds, by the platform's promise.
pub(crate) const RETURN_GRACE: Duration = Duration::from_millis(2_000);

/// Changes that are kept for other hosts; a host that asks for older ones gets the whole table.
const KEPT_CHANGES: usize = 512;

/// Number of a change within one table.
pub type ChangeNumber = u64;

/// What a host that follows another one's table lacks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EndpointUpdate {
    /// The whole table.
    Whole(Vec<EndpointEntry>),
    /// Changes since the number that the host named.
    Changes(Vec<EndpointChange>),
}

/// Every endpoint that may be used, and those whose entry may come back.
#[derive(Debug, Default)]
pub struct EndpointTable {
    version: RegistryVersion,
    changes: VecDeque<EndpointChange>,
    change_count: ChangeNumber,
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

    /// Replaces the table by a whole listing of the registry.
    pub fn replace(
        &mut self,
        version: RegistryVersion,
        entries: impl IntoIterator<Item = EndpointEntry>,
        now: Instant,
    ) {
        let entries: Vec<_> = entries.into_iter().map(|entry| self.with_order(entry)).collect();
        self.replace_all(version, entries, now);
    }

    fn replace_all(&mut self, version: RegistryVersion, entries: Vec<EndpointEntry>, now: Instant) {
        let fresh: BTreeMap<_, _> =
            entries.into_iter().map(|entry| (entry.name.clone(), entry)).collect();
        let missing: Vec<_> =
            self.entries.keys().filter(|name| !fresh.contains_key(*name)).cloned().collect();
        for name in missing {
            self.remove(name, now);
        }
        for (name, entry) in fresh {
            if self.entries.get(&name) != Some(&entry) {
                self.put(entry);
            }
            self.vanished.remove(&name);
        }
        self.version = version;
    }

    /// Applies changes of the registry that lead up to a version.
    pub fn apply(
        &mut self,
        version: RegistryVersion,
        changes: impl IntoIterator<Item = EndpointChange>,
        now: Instant,
    ) {
        let changes = changes.into_iter().map(|change| match change {
            EndpointChange::Put(entry) => EndpointChange::Put(self.with_order(entry)),
            EndpointChange::Gone(name) => EndpointChange::Gone(name),
        });
        let changes = changes.collect();
        self.apply_all(version, changes, now);
    }

    fn apply_all(&mut self, version: RegistryVersion, changes: Vec<EndpointChange>, now: Instant) {
        for change in changes {
            match change {
                EndpointChange::Put(entry) => {
                    self.vanished.remove(&entry.name);
                    self.put(entry);
                }
                EndpointChange::Gone(name) => self.remove(name, now),
            }
        }
        self.version = self.version.max(version);
    }

    /// Takes an endpoint's own word for the layers that it holds, ahead of its entry.
    pub fn take_layers(&mut self, name: &str, span: LayerSpan) {
        self.edit(name, |entry| {
            entry.layers = Some(span);
            entry.under_way = None;
        });
    }

    /// Records that an endpoint has begun to load layers.
    pub fn loading(&mut self, name: &str, span: LayerSpan) {
        self.edit(name, |entry| entry.under_way = Some(span));
    }

    /// Records that an endpoint gives up its layers beyond a span.
    pub fn giving_up(&mut self, name: &str, span: LayerSpan) {
        self.edit(name, |entry| entry.under_way = entry.layers.replace(span));
    }

    /// Records that no order to an endpoint is under way any more.
    pub fn order_over(&mut self, name: &str) {
        self.edit(name, |entry| entry.under_way = None);
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
            self.note(EndpointChange::Gone(name.clone()));
        }
        due
    }

    /// What a host lacks that has seen the changes up to a number, and the number to name next.
    pub fn news(&self, seen: Option<ChangeNumber>) -> (ChangeNumber, Option<EndpointUpdate>) {
        let kept_from = self.change_count - self.changes.len() as u64;
        let news = match seen.filter(|seen| (kept_from..=self.change_count).contains(seen)) {
            Some(seen) if seen == self.change_count => None,
            Some(seen) => {
                let skip = (seen - kept_from) as usize;
                Some(EndpointUpdate::Changes(self.changes.iter().skip(skip).cloned().collect()))
            }
            None => Some(EndpointUpdate::Whole(self.entries.values().cloned().collect())),
        };
        (self.change_count, news)
    }

    /// Takes what another host's table tells, unless the registry has not confirmed that table
    /// lately or this one is newer. A host that has just started tells an empty table.
    pub fn take_news(
        &mut self,
        version: RegistryVersion,
        news: EndpointUpdate,
        is_confirmed: bool,
        now: Instant,
    ) -> bool {
        if !is_confirmed || version < self.version {
            return false;
        }
        match news {
            EndpointUpdate::Whole(entries) => self.replace_all(version, entries, now),
            EndpointUpdate::Changes(changes) => self.apply_all(version, changes, now),
        }
        true
    }

    /// The entry with the order under way that this table knows of: the registry tells of none.
    fn with_order(&self, entry: EndpointEntry) -> EndpointEntry {
        let known = self.entries.get(&entry.name).filter(|known| known.born == entry.born);
        EndpointEntry { under_way: known.and_then(|known| known.under_way), ..entry }
    }

    fn edit(&mut self, name: &str, change: impl FnOnce(&mut EndpointEntry)) {
        if let Some(mut entry) = self.entries.get(name).cloned() {
            change(&mut entry);
            self.put(entry);
        }
    }

    fn put(&mut self, entry: EndpointEntry) {
        self.note(EndpointChange::Put(entry.clone()));
        self.entries.insert(entry.name.clone(), entry);
    }

    fn note(&mut self, change: EndpointChange) {
        self.change_count += 1;
        self.changes.push_back(change);
        if self.changes.len() > KEPT_CHANGES {
            self.changes.pop_front();
        }
    }

    fn remove(&mut self, name: EndpointName, now: Instant) {
        let Some(entry) = self.entries.remove(&name) else { return };
        if self.keeps_vanished(&name, &entry, now) {
            self.entries.insert(name, entry);
        } else {
            self.note(EndpointChange::Gone(name));
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
