//! Endpoints as the registry lists them, with the orders under way that this host knows of.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use jacinthrock::{DomainName, EndpointName, ServiceName};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::notices::EndpointStart;
use crate::version::RegistryVersion;

/// A contiguous range of a model's layers, excluding its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
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

    /// Whether the spans have a layer in common.
    pub fn overlaps(self, other: Self) -> bool {
        self.from.max(other.from) < self.to.min(other.to)
    }
}

/// An endpoint's entry in the registry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Name of the endpoint; a later start may have the same one.
    pub name: EndpointName,
    /// Service that it serves.
    pub service: ServiceName,
    /// Address for requests, orders and reports.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it has announced that it is leaving.
    pub is_draining: bool,
    /// Number of orders that it has accepted, as last written to the registry.
    pub orders: u64,
    /// Start time of the endpoint, in ms since the Unix epoch; 0 if it reports none.
    #[serde(rename = "born")]
    pub start_unix_ms: u64,
    /// Kind of card, for endpoints that hold layers.
    pub card: Option<Box<str>>,
    /// Layers that it holds.
    pub layers: Option<LayerSpan>,
    /// Span of an order under way, whose layers take memory in addition to `layers`: the span that
    /// is being loaded, or the previous span while some of its layers are being released. Layers
    /// are released once no stream passes through them.
    #[serde(default)]
    pub under_way: Option<LayerSpan>,
}

impl EndpointEntry {
    /// This start of the endpoint.
    pub fn start(&self) -> EndpointStart<'_> {
        EndpointStart { name: &self.name, start_unix_ms: self.start_unix_ms }
    }

    /// Whether this entry claims that another endpoint has ended: it is of a later start of the same
    /// service at the same address. An address may pass to another service as well, but such an
    /// entry is no reason to stop using an endpoint that replies.
    pub fn has_replaced(&self, other: &EndpointEntry) -> bool {
        self.address == other.address
            && self.service == other.service
            && self.start_unix_ms > other.start_unix_ms
            && other.start_unix_ms > 0
    }

    /// Number of layers whose weights take memory, including an order under way.
    pub fn weight_layers(&self) -> u16 {
        let [held, under_way] = [self.layers, self.under_way].map(Option::unwrap_or_default);
        let shared = held.to.min(under_way.to).saturating_sub(held.from.max(under_way.from));
        held.count() + under_way.count() - shared
    }
}

/// A change of one entry in the registry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EndpointChange {
    /// The entry was written.
    Put(EndpointEntry),
    /// The entry was removed.
    Gone(EndpointName),
}

/// Time after a registry outage for which entries that have disappeared are kept. The platform
/// guarantees that live endpoints are listed again within two seconds.
pub(crate) const RETURN_GRACE: Duration = Duration::from_millis(2_000);

/// Time after a restore of the registry for which endpoints that had announced their leave, or had
/// left, get no work although the restored copy lists them as ready. The registry itself removes
/// the entry of a dead endpoint within this time.
const LEAVER_MEMORY: Duration = Duration::from_secs(10);

/// Time for which an endpoint that was removed is not taken from the table of a host that does not
/// say which entries it keeps for `RETURN_GRACE`.
const REMOVAL_MEMORY: Duration = Duration::from_secs(3);

/// Interval between two looks at an endpoint whose address another entry claims, if it does not
/// reply.
const CLAIM_INTERVAL: Duration = Duration::from_secs(2);

/// Number of changes kept for other hosts; a host that needs older ones gets the whole table.
const MAX_KEPT_CHANGES: usize = 512;

/// Sequence number of a change within one host's table.
pub type ChangeNumber = u64;

/// The update that brings a host up to date with another host's table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EndpointUpdate {
    /// The whole table.
    Whole(Vec<EndpointEntry>),
    /// Changes since the sequence number that the host has seen.
    Changes(Vec<EndpointChange>),
}

/// Entries of another host's table that the registry no longer lists; the host keeps them for
/// `RETURN_GRACE`. None if the host is of a release that does not report them.
pub type UnlistedNames = Option<BTreeSet<EndpointName>>;

/// An update with the entries of the sender's table that the registry no longer lists.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerUpdate {
    /// The update.
    pub update: EndpointUpdate,
    /// All entries of the sender that the registry no longer lists.
    pub unlisted: UnlistedNames,
}

/// An update of a host that does not report which of its entries are no longer listed.
impl From<EndpointUpdate> for PeerUpdate {
    fn from(update: EndpointUpdate) -> Self {
        Self { update, unlisted: None }
    }
}

/// Where entries come from, which decides whether they are evidence that the registry lists them.
#[derive(Clone, Debug)]
enum EntrySource {
    Registry,
    Peer(UnlistedNames),
}

impl EntrySource {
    /// Whether the registry lists the entry; none if the source does not tell.
    fn is_listed(&self, name: &EndpointName) -> Option<bool> {
        match self {
            Self::Registry => Some(true),
            Self::Peer(unlisted) => unlisted.as_ref().map(|names| !names.contains(name)),
        }
    }
}

/// The endpoints that are listed, and those that may be listed again after a registry outage.
#[derive(Debug, Default)]
pub struct EndpointTable {
    version: RegistryVersion,
    changes: VecDeque<EndpointChange>,
    change_count: ChangeNumber,
    entries: BTreeMap<EndpointName, EndpointEntry>,
    /// Entries that are still listed although another endpoint has started at their address since.
    replaced: BTreeMap<EndpointName, EndpointEntry>,
    /// Replaced entries of which it is open whether the endpoint has ended, with the time of the
    /// next look at it; none if it is due.
    claims: BTreeMap<EndpointName, Option<Instant>>,
    /// Entries, with their start time, that claim the address of an endpoint which replied since.
    refuted: BTreeMap<EndpointName, u64>,
    /// Endpoints of which a later start was listed, until they are taken by `take_ended`.
    ended: Vec<EndpointName>,
    vanished: BTreeMap<EndpointName, Instant>,
    /// Entries that the host whose table was applied last keeps although they are not listed.
    unlisted: BTreeSet<EndpointName>,
    /// Endpoints that were not added from another host's table, until `take_unrestored`.
    unrestored: Vec<EndpointName>,
    grace_until: Option<Instant>,
    /// Endpoints that were removed, with their start time and the time of their removal.
    removed: BTreeMap<EndpointName, (u64, Instant)>,
    /// Endpoints that had left or were draining when the registry was restored, with their start
    /// time. They count as draining until they write their entry again.
    leavers: BTreeMap<EndpointName, (u64, Instant)>,
}

impl EndpointTable {
    /// Version of the registry that the table reflects.
    pub fn version(&self) -> RegistryVersion {
        self.version
    }

    /// Entries in order of their names.
    pub fn entries(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.entries.values()
    }

    /// Endpoints that have ended since the last call, as a later start under their name or at their
    /// address shows.
    pub fn take_ended(&mut self) -> Vec<EndpointName> {
        std::mem::take(&mut self.ended)
    }

    /// Endpoints whose address another entry claims and that are due for a look.
    pub fn take_due_claims(&mut self, now: Instant) -> Vec<EndpointEntry> {
        let replaced = &self.replaced;
        self.claims.retain(|name, _| replaced.contains_key(name));
        let due = self.claims.iter_mut().filter(|(_, next)| next.is_none_or(|next| next <= now));
        let due = due.filter_map(|(name, next)| {
            *next = Some(now + CLAIM_INTERVAL);
            replaced.get(name).cloned()
        });
        due.collect()
    }

    /// Records that another start replies at the address of an endpoint.
    pub fn confirm_claim(&mut self, name: &str) {
        self.claims.remove(name);
    }

    /// Records that an endpoint replies at its address, which another entry claims; returns the name
    /// of that entry. It is not used until the endpoint is no longer listed.
    pub fn refute_claim(&mut self, endpoint: &EndpointEntry) -> Option<EndpointName> {
        let known = self.replaced.get(&endpoint.name)?;
        if known.start_unix_ms != endpoint.start_unix_ms {
            return None;
        }
        let claimant = self.entries.values().find(|other| other.has_replaced(known))?.name.clone();
        let entry = self.entries.remove(&claimant)?;
        self.refuted.insert(claimant.clone(), entry.start_unix_ms);
        self.replaced.insert(claimant.clone(), entry);
        self.restore(&endpoint.name);
        Some(claimant)
    }

    /// Endpoints that were in another host's table since the last call and were not added, because
    /// this host has read their removal and that table only keeps them.
    pub fn take_unrestored(&mut self) -> Vec<EndpointName> {
        std::mem::take(&mut self.unrestored)
    }

    /// Entries that the registry no longer lists, for hosts that get this table.
    pub fn unlisted(&self) -> BTreeSet<EndpointName> {
        let names = self.vanished.keys().chain(&self.unlisted);
        let known = |name: &&EndpointName| {
            self.entries.contains_key(*name) || self.replaced.contains_key(*name)
        };
        names.filter(known).cloned().collect()
    }

    /// Entry of one endpoint.
    pub fn get(&self, name: &str) -> Option<&EndpointEntry> {
        self.entries.get(name)
    }

    /// Records that the registry does not reply, or has only just recovered: entries that disappear
    /// within `RETURN_GRACE` from now are kept until that time is over.
    pub fn record_registry_outage(&mut self, now: Instant) {
        self.grace_until = Some(now + RETURN_GRACE);
    }

    /// Replaces the table with a complete listing of the registry, unless the table is newer.
    pub fn replace(
        &mut self,
        version: impl Into<RegistryVersion>,
        entries: impl IntoIterator<Item = EndpointEntry>,
        now: Instant,
    ) {
        let version = version.into();
        if version < self.version {
            return;
        }
        self.replace_from(EntrySource::Registry, version, entries, now);
    }

    /// Replaces the table with that of another host, unless this one is newer. The other host may
    /// still keep an endpoint that this one knows to have left.
    pub fn replace_from_peer(
        &mut self,
        version: impl Into<RegistryVersion>,
        entries: impl IntoIterator<Item = EndpointEntry>,
        now: Instant,
    ) {
        self.replace_from_snapshot(version, entries, None, now);
    }

    /// Replaces the table with that of another host, which reports the entries that it only keeps,
    /// unless this one is newer.
    pub fn replace_from_snapshot(
        &mut self,
        version: impl Into<RegistryVersion>,
        entries: impl IntoIterator<Item = EndpointEntry>,
        unlisted: UnlistedNames,
        now: Instant,
    ) {
        let version = version.into();
        if version >= self.version {
            self.replace_from(EntrySource::Peer(unlisted), version, entries, now);
        }
    }

    fn replace_from(
        &mut self,
        source: EntrySource,
        version: RegistryVersion,
        entries: impl IntoIterator<Item = EndpointEntry>,
        now: Instant,
    ) {
        let entries: Vec<_> =
            entries.into_iter().map(|entry| self.with_known_order(entry)).collect();
        self.replace_all(source, version, entries, now);
    }

    /// Prepares for the first content of a restored registry. Endpoints whose entries the copy
    /// lacks have the same time to write them again as after an outage.
    fn enter_era(&mut self, version: RegistryVersion, now: Instant) {
        if version.era <= self.version.era {
            return;
        }
        if self.version.revision > 0 {
            self.record_registry_outage(now);
        }
        let until = now + LEAVER_MEMORY;
        let draining = self.entries.values().filter(|entry| entry.is_draining);
        let draining = draining.map(|entry| (entry.name.clone(), (entry.start_unix_ms, until)));
        let left = self.removed.iter().filter(|(_, (_, at))| now - *at < LEAVER_MEMORY);
        let left = left.map(|(name, (start, _))| (name.clone(), (*start, until)));
        let leavers: Vec<_> = draining.chain(left).collect();
        self.leavers.extend(leavers);
    }

    /// Entry of the registry's or another host's table as this table takes it; none if the other
    /// table only keeps it and this host has read its removal. An endpoint that had left before
    /// the registry was restored, or was removed a moment ago and may only be kept, is marked as
    /// draining.
    fn admit(
        &mut self,
        source: &EntrySource,
        entry: EndpointEntry,
        now: Instant,
    ) -> Option<EndpointEntry> {
        let is_leaver = self
            .leavers
            .get(&entry.name)
            .is_some_and(|(start, until)| *start == entry.start_unix_ms && now < *until);
        let removed = self.removed.get(&entry.name).copied();
        let is_removed = match source.is_listed(&entry.name) {
            // The table is no older than the removal: the entry was written again since.
            Some(true) => {
                self.removed.remove(&entry.name);
                false
            }
            Some(false) => {
                if removed.is_some_and(|(start, _)| entry.start_unix_ms <= start) {
                    self.unrestored.push(entry.name);
                    return None;
                }
                false
            }
            None => removed.is_some_and(|(start, at)| {
                start == entry.start_unix_ms && now - at < REMOVAL_MEMORY
            }),
        };
        Some(EndpointEntry { is_draining: entry.is_draining || is_leaver || is_removed, ..entry })
    }

    /// Records whether the registry lists an entry that is taken; returns whether it had not.
    fn record_listing(&mut self, source: &EntrySource, name: &EndpointName) -> bool {
        if source.is_listed(name) == Some(false) {
            self.unlisted.insert(name.clone());
            return false;
        }
        let was_kept = self.unlisted.remove(name);
        self.vanished.remove(name).is_some() || was_kept
    }

    fn replace_all(
        &mut self,
        source: EntrySource,
        version: RegistryVersion,
        entries: Vec<EndpointEntry>,
        now: Instant,
    ) {
        self.enter_era(version, now);
        let admitted = entries.into_iter().filter_map(|entry| self.admit(&source, entry, now));
        let fresh: BTreeMap<_, _> = admitted.map(|entry| (entry.name.clone(), entry)).collect();
        let known = self.entries.keys().chain(self.replaced.keys());
        let missing: Vec<_> = known.filter(|name| !fresh.contains_key(*name)).cloned().collect();
        for name in missing {
            self.remove(name, now);
        }
        for (name, entry) in fresh {
            // Hosts that were told that the entry is only kept must learn that it is listed again.
            let is_listed_again = self.record_listing(&source, &name);
            let known = self.entries.get(&name).or_else(|| self.replaced.get(&name));
            if is_listed_again || known != Some(&entry) {
                self.put(entry);
            }
        }
        self.version = version;
    }

    /// Applies the changes of the registry up to a version, unless they are of a former era.
    pub fn apply(
        &mut self,
        version: impl Into<RegistryVersion>,
        changes: impl IntoIterator<Item = EndpointChange>,
        now: Instant,
    ) {
        let version = version.into();
        if version.era < self.version.era {
            return;
        }
        let changes = changes.into_iter().map(|change| match change {
            EndpointChange::Put(entry) => EndpointChange::Put(self.with_known_order(entry)),
            EndpointChange::Gone(name) => EndpointChange::Gone(name),
        });
        let changes: Vec<_> = changes.collect();
        for change in &changes {
            if let EndpointChange::Put(entry) = change {
                // The endpoint has written its entry since the restore, or since its removal.
                self.leavers.remove(&entry.name);
                self.removed.remove(&entry.name);
            }
        }
        self.apply_all(EntrySource::Registry, version, changes, now);
    }

    fn apply_all(
        &mut self,
        source: EntrySource,
        version: RegistryVersion,
        changes: Vec<EndpointChange>,
        now: Instant,
    ) {
        self.enter_era(version, now);
        for change in changes {
            match change {
                EndpointChange::Put(entry) => {
                    if let Some(entry) = self.admit(&source, entry, now) {
                        self.record_listing(&source, &entry.name);
                        self.put(entry);
                    }
                }
                EndpointChange::Gone(name) => self.remove(name, now),
            }
        }
        self.version = self.version.max(version);
    }

    /// Sets the layers that an endpoint itself reports, before its registry entry shows them.
    pub fn confirm_layers(&mut self, name: &str, span: LayerSpan) {
        self.edit(name, |entry| {
            entry.layers = Some(span);
            entry.under_way = None;
        });
    }

    /// Records that an endpoint has started to load a span.
    pub fn mark_loading(&mut self, name: &str, span: LayerSpan) {
        self.edit(name, |entry| entry.under_way = Some(span));
    }

    /// Records that an endpoint is releasing its layers outside a span.
    pub fn mark_releasing(&mut self, name: &str, span: LayerSpan) {
        self.edit(name, |entry| entry.under_way = entry.layers.replace(span));
    }

    /// Records that no order to an endpoint is under way.
    pub fn clear_order(&mut self, name: &str) {
        self.edit(name, |entry| entry.under_way = None);
    }

    /// Removes entries that were not listed again in time; returns their names.
    pub fn expire(&mut self, now: Instant) -> Vec<EndpointName> {
        let due: Vec<_> = self
            .vanished
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(n, _)| n.clone())
            .collect();
        for name in &due {
            self.vanished.remove(name);
            if let Some(entry) = self.entries.remove(name) {
                self.restore_former(&entry);
                self.record_removal(entry, now);
            } else if let Some(entry) = self.replaced.remove(name) {
                self.record_removal(entry, now);
            }
        }
        self.leavers.retain(|_, (_, until)| now < *until);
        self.removed.retain(|_, (_, at)| now - *at < LEAVER_MEMORY);
        due
    }

    /// Returns the current sequence number, and the update for a host that has seen the changes up
    /// to `seen`; none if the host is up to date.
    pub fn update_since(
        &self,
        seen: Option<ChangeNumber>,
    ) -> (ChangeNumber, Option<EndpointUpdate>) {
        let kept_from = self.change_count - self.changes.len() as u64;
        let update = match seen.filter(|seen| (kept_from..=self.change_count).contains(seen)) {
            Some(seen) if seen == self.change_count => None,
            Some(seen) => {
                let skip = (seen - kept_from) as usize;
                Some(EndpointUpdate::Changes(self.changes.iter().skip(skip).cloned().collect()))
            }
            None => {
                let known = self.entries.values().chain(self.replaced.values());
                Some(EndpointUpdate::Whole(known.cloned().collect()))
            }
        };
        (self.change_count, update)
    }

    /// Applies an update from another host's table, unless the registry has not confirmed that
    /// table recently or this table is newer; returns whether it was applied. The table of a host
    /// that has just started is empty and must not replace this one.
    ///
    /// An endpoint whose removal this host has read is not added again while the other table only
    /// keeps it.
    pub fn apply_update(
        &mut self,
        version: impl Into<RegistryVersion>,
        update: impl Into<PeerUpdate>,
        is_confirmed: bool,
        now: Instant,
    ) -> bool {
        let version = version.into();
        if !is_confirmed || version < self.version {
            return false;
        }
        let PeerUpdate { update, unlisted } = update.into();
        let names = unlisted.clone().unwrap_or_default();
        let source = EntrySource::Peer(unlisted);
        match update {
            EndpointUpdate::Whole(entries) => self.replace_all(source, version, entries, now),
            EndpointUpdate::Changes(changes) => self.apply_all(source, version, changes, now),
        }
        self.unlisted = names;
        true
    }

    /// Adds the order under way that this table knows of to an entry; the registry lists no orders.
    fn with_known_order(&self, entry: EndpointEntry) -> EndpointEntry {
        let known = self
            .entries
            .get(&entry.name)
            .filter(|known| known.start_unix_ms == entry.start_unix_ms);
        EndpointEntry { under_way: known.and_then(|known| known.under_way), ..entry }
    }

    fn edit(&mut self, name: &str, change: impl FnOnce(&mut EndpointEntry)) {
        if let Some(mut entry) = self.entries.get(name).cloned() {
            change(&mut entry);
            self.put(entry);
        }
    }

    fn put(&mut self, entry: EndpointEntry) {
        self.record_change(EndpointChange::Put(entry.clone()));
        let is_same_start = self.entries.get(&entry.name).is_some_and(|known| {
            known.start_unix_ms == entry.start_unix_ms && known.address == entry.address
        });
        if !is_same_start && !self.replace_former_starts(&entry) {
            let name = entry.name.clone();
            let known = self.replaced.insert(name.clone(), entry);
            if known.is_none() && !self.refuted.contains_key(&name) {
                self.claims.insert(name, None);
            }
            return;
        }
        self.replaced.remove(&entry.name);
        self.entries.insert(entry.name.clone(), entry);
    }

    /// Ends the entries that had the name or the address of a start before it; returns whether this
    /// start is the latest at its address. Under one name the registry lists the latest.
    fn replace_former_starts(&mut self, entry: &EndpointEntry) -> bool {
        let refuted = self.refuted.get(&entry.name);
        if refuted == Some(&entry.start_unix_ms) && self.replaced.contains_key(&entry.name) {
            return false;
        }
        let mut others = self.entries.values().filter(|other| other.name != entry.name);
        if others.any(|other| other.has_replaced(entry)) {
            return false;
        }
        let ended = |other: &&EndpointEntry| other.name == entry.name || entry.has_replaced(other);
        let ended = self.entries.values().filter(ended).map(|other| other.name.clone());
        let ended: Vec<_> = ended.collect();
        for name in &ended {
            if let Some(other) = self.entries.remove(name) {
                self.replaced.insert(name.clone(), other);
                self.claims.insert(name.clone(), None);
            }
        }
        self.ended.extend(ended);
        true
    }

    /// Lists the endpoint again that had the address of a removed one before it.
    fn restore_former(&mut self, removed: &EndpointEntry) {
        let former = self
            .replaced
            .values()
            .filter(|entry| entry.address == removed.address && entry.service == removed.service);
        let latest = former.max_by_key(|entry| entry.start_unix_ms);
        if let Some(name) = latest.map(|entry| entry.name.clone()) {
            self.restore(&name);
        }
    }

    /// Lists a replaced endpoint again.
    fn restore(&mut self, name: &EndpointName) {
        self.claims.remove(name);
        if let Some(entry) = self.replaced.remove(name) {
            self.entries.insert(name.clone(), entry);
        }
    }

    fn record_change(&mut self, change: EndpointChange) {
        self.change_count += 1;
        self.changes.push_back(change);
        if self.changes.len() > MAX_KEPT_CHANGES {
            self.changes.pop_front();
        }
    }

    fn remove(&mut self, name: EndpointName, now: Instant) {
        if let Some(entry) = self.replaced.remove(&name) {
            self.record_removal(entry, now);
            return;
        }
        let Some(entry) = self.entries.remove(&name) else { return };
        if self.defer_removal(&name, &entry, now) {
            self.entries.insert(name, entry);
        } else {
            self.restore_former(&entry);
            self.record_removal(entry, now);
        }
    }

    fn record_removal(&mut self, entry: EndpointEntry, now: Instant) {
        self.refuted.remove(&entry.name);
        self.removed.insert(entry.name.clone(), (entry.start_unix_ms, now));
        self.record_change(EndpointChange::Gone(entry.name));
    }

    /// Whether to keep an entry that has disappeared; also records until when. A draining endpoint
    /// is not expected to be listed again.
    fn defer_removal(&mut self, name: &str, entry: &EndpointEntry, now: Instant) -> bool {
        let Some(until) = self.grace_until.filter(|until| now < *until) else { return false };
        if entry.is_draining {
            return false;
        }
        let until = *self.vanished.entry(name.into()).or_insert(until);
        now < until
    }
}
