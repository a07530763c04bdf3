//! Registry in memory that can fail, and come back from a copy of an earlier time.
#![allow(dead_code)]

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use jacinthrock_entry::{
    EndpointChange, EndpointEntry, RecordGroup, RegistryClient, RegistryEra, RegistryError,
    RegistryRecord, RegistryResult, RegistryRevision, RegistryVersion, ServingRules,
};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

/// Time that the registry takes for a call.
const CALL_TIME: Duration = Duration::from_millis(4);
/// Time after which the registry's client gives up a call, in addition to the wait of a watch.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What the registry stores, as far as a copy contains it.
#[derive(Clone, Default)]
struct Content {
    revision: RegistryRevision,
    rules: Option<(RegistryRevision, ServingRules)>,
    endpoints: BTreeMap<Box<str>, EndpointEntry>,
    records: BTreeMap<(RecordGroup, Box<str>), (RegistryRevision, Box<str>)>,
    /// Endpoint changes with their revisions.
    history: Vec<(RegistryRevision, EndpointChange)>,
}

/// A registry that several hosts share.
#[derive(Default)]
pub(crate) struct FakeRegistry {
    era: Cell<RegistryEra>,
    content: RefCell<Content>,
    changed: Notify,
    is_down: Cell<bool>,
    /// Number of times that all pending watches were cut off.
    watch_cuts: Cell<u64>,
    /// Hosts whose calls get no reply, not even an error.
    silent_hosts: RefCell<BTreeSet<Box<str>>>,
    /// Next calls that get no reply, by host and kind.
    swallowed: RefCell<BTreeSet<(Box<str>, &'static str)>>,
    cut_hosts: RefCell<BTreeSet<Box<str>>>,
    /// Renewals whose next reply is lost, by host.
    lost_replies: RefCell<BTreeSet<Box<str>>>,
    calls: RefCell<BTreeMap<(Box<str>, &'static str), u64>>,
    /// Texts of the leases as they were written, with the time of each write.
    lease_writes: RefCell<Vec<(Instant, Box<str>)>>,
}

/// A copy of a registry's content.
pub(crate) struct RegistryCopy(Content);

impl FakeRegistry {
    /// Client of the registry for one host.
    pub(crate) fn client(self: &Rc<Self>, host: &str) -> Box<dyn RegistryClient> {
        Box::new(HostClient { registry: self.clone(), host: host.into() })
    }

    /// Copies the content.
    pub(crate) fn copy(&self) -> RegistryCopy {
        RegistryCopy(self.content.borrow().clone())
    }

    /// Replaces the content by a copy of an earlier time.
    pub(crate) fn restore(&self, copy: RegistryCopy) {
        *self.content.borrow_mut() = copy.0;
        self.era.set(self.era.get() + 1);
        self.changed.notify_waiters();
    }

    /// Sets whether the registry replies to nobody.
    pub(crate) fn set_down(&self, is_down: bool) {
        self.is_down.set(is_down);
        self.changed.notify_waiters();
    }

    /// Cuts off all pending watches; calls that are sent afterwards are served.
    pub(crate) fn cut_watches(&self) {
        self.watch_cuts.set(self.watch_cuts.get() + 1);
        self.changed.notify_waiters();
    }

    /// Makes the registry silent towards some hosts, or towards none. Calls that it gets from them
    /// meanwhile are never answered; watches that were pending before are answered afterwards.
    pub(crate) fn set_silent(&self, hosts: &[&str]) {
        *self.silent_hosts.borrow_mut() = hosts.iter().map(|host| (*host).into()).collect();
        self.changed.notify_waiters();
    }

    /// Never answers the host's next call of a kind.
    pub(crate) fn swallow_next(&self, host: &str, kind: &'static str) {
        self.swallowed.borrow_mut().insert((host.into(), kind));
    }

    /// Whether the call that `swallow_next` named has been made.
    pub(crate) fn has_swallowed(&self, host: &str, kind: &'static str) -> bool {
        !self.swallowed.borrow().contains(&(host.into(), kind))
    }

    /// Cuts a host off from the registry, or connects it again.
    pub(crate) fn set_cut(&self, host: &str, is_cut: bool) {
        if is_cut {
            self.cut_hosts.borrow_mut().insert(host.into());
        } else {
            self.cut_hosts.borrow_mut().remove(host);
        }
        self.changed.notify_waiters();
    }

    /// Loses the reply to the host's next write.
    pub(crate) fn lose_reply(&self, host: &str) {
        self.lost_replies.borrow_mut().insert(host.into());
    }

    /// Writes the operator's rules.
    pub(crate) fn write_rules(&self, rules: ServingRules) {
        let mut content = self.content.borrow_mut();
        content.revision += 1;
        content.rules = Some((content.revision, rules));
        self.changed.notify_waiters();
    }

    /// Version number of the operator's rules.
    pub(crate) fn rules_version(&self) -> Option<u64> {
        self.content.borrow().rules.as_ref().map(|(_, rules)| rules.version)
    }

    /// Writes an endpoint's entry; nothing happens if it is unchanged.
    pub(crate) fn write_endpoint(&self, entry: EndpointEntry) {
        let mut content = self.content.borrow_mut();
        if content.endpoints.get(&entry.name) == Some(&entry) {
            return;
        }
        content.revision += 1;
        let revision = content.revision;
        content.endpoints.insert(entry.name.clone(), entry.clone());
        content.history.push((revision, EndpointChange::Put(entry)));
        self.changed.notify_waiters();
    }

    /// Removes an endpoint's entry.
    pub(crate) fn remove_endpoint(&self, name: &str) {
        let mut content = self.content.borrow_mut();
        if content.endpoints.remove(name).is_some() {
            content.revision += 1;
            let revision = content.revision;
            content.history.push((revision, EndpointChange::Gone(name.into())));
            self.changed.notify_waiters();
        }
    }

    /// Text of a record.
    pub(crate) fn record(&self, group: RecordGroup, name: &str) -> Option<Box<str>> {
        let content = self.content.borrow();
        content.records.get(&(group, name.into())).map(|(_, text)| text.clone())
    }

    /// Text of the lease that was last written until a time, and when.
    pub(crate) fn lease_at(&self, at: Instant) -> Option<(Instant, Box<str>)> {
        let writes = self.lease_writes.borrow();
        writes.iter().rev().find(|(written, _)| *written <= at).cloned()
    }

    /// Number of calls by kind, over all hosts.
    pub(crate) fn calls_by_kind(&self) -> BTreeMap<&'static str, u64> {
        let mut sums = BTreeMap::new();
        for ((_, kind), count) in self.calls.borrow().iter() {
            *sums.entry(*kind).or_default() += count;
        }
        sums
    }

    /// Writes of the leases, for failure messages.
    pub(crate) fn lease_writes(&self) -> Vec<(Instant, Box<str>)> {
        self.lease_writes.borrow().clone()
    }

    fn version(&self) -> RegistryVersion {
        RegistryVersion { era: self.era.get(), revision: self.content.borrow().revision }
    }
}

struct HostClient {
    registry: Rc<FakeRegistry>,
    host: Box<str>,
}

impl HostClient {
    async fn begin(&self, kind: &'static str) -> Result<(), RegistryError> {
        self.begin_watch(kind, Duration::ZERO).await
    }

    /// Begins a call that the client gives up after `wait` and the timeout of a call.
    async fn begin_watch(&self, kind: &'static str, wait: Duration) -> Result<(), RegistryError> {
        *self.registry.calls.borrow_mut().entry((self.host.clone(), kind)).or_default() += 1;
        sleep(CALL_TIME).await;
        self.check_reachable()?;
        let is_swallowed = self.registry.swallowed.borrow_mut().remove(&(self.host.clone(), kind));
        if is_swallowed || self.is_silent() {
            sleep(wait + CALL_TIMEOUT).await;
            return Err(RegistryError::Unavailable("timed out".into()));
        }
        Ok(())
    }

    fn is_silent(&self) -> bool {
        self.registry.silent_hosts.borrow().contains(&self.host)
    }

    fn check_reachable(&self) -> Result<(), RegistryError> {
        let is_cut = self.registry.cut_hosts.borrow().contains(&self.host);
        if is_cut || self.registry.is_down.get() {
            return Err(RegistryError::Unavailable("no reply".into()));
        }
        Ok(())
    }

    /// Waits until `find` has a result, a fault, or the end of the wait.
    async fn watch<T>(
        &self,
        after: RegistryVersion,
        wait: Duration,
        find: impl Fn(&Content) -> Option<T>,
    ) -> Result<(RegistryVersion, Option<T>), RegistryError> {
        let cuts = self.registry.watch_cuts.get();
        let found = timeout(wait, async {
            loop {
                let changed = self.registry.changed.notified();
                self.check_reachable()?;
                if self.registry.watch_cuts.get() != cuts {
                    return Err(RegistryError::Unavailable("cut off".into()));
                }
                let version = self.registry.version();
                if version.era != after.era || version.revision < after.revision {
                    return Err(RegistryError::Gap);
                }
                let found = find(&self.registry.content.borrow());
                if let Some(found) = found.filter(|_| !self.is_silent()) {
                    return Ok((version, Some(found)));
                }
                changed.await;
            }
        });
        found.await.unwrap_or_else(|_| Ok((self.registry.version(), None)))
    }
}

impl RegistryClient for HostClient {
    fn rules(&self) -> RegistryResult<'_, (RegistryVersion, Option<ServingRules>)> {
        async move {
            self.begin("rules").await?;
            let rules = self.registry.content.borrow().rules.clone();
            Ok((self.registry.version(), rules.map(|(_, rules)| rules)))
        }
        .boxed_local()
    }

    fn watch_rules(
        &self,
        after: RegistryVersion,
        wait: Duration,
    ) -> RegistryResult<'_, (RegistryVersion, Option<ServingRules>)> {
        async move {
            self.begin_watch("watch_rules", wait).await?;
            self.watch(after, wait, |content| {
                let newer = content.rules.clone().filter(|(at, _)| *at > after.revision)?;
                Some(newer.1)
            })
            .await
        }
        .boxed_local()
    }

    fn endpoints(&self) -> RegistryResult<'_, (RegistryVersion, Vec<EndpointEntry>)> {
        async move {
            self.begin("endpoints").await?;
            let entries = self.registry.content.borrow().endpoints.values().cloned().collect();
            Ok((self.registry.version(), entries))
        }
        .boxed_local()
    }

    fn watch_endpoints(
        &self,
        after: RegistryVersion,
        wait: Duration,
    ) -> RegistryResult<'_, (RegistryVersion, Vec<EndpointChange>)> {
        async move {
            self.begin_watch("watch_endpoints", wait).await?;
            let (version, changes) = self
                .watch(after, wait, |content| {
                    let newer = content.history.iter().filter(|(at, _)| *at > after.revision);
                    let changes: Vec<_> = newer.map(|(_, change)| change.clone()).collect();
                    (!changes.is_empty()).then_some(changes)
                })
                .await?;
            Ok((version, changes.unwrap_or_default()))
        }
        .boxed_local()
    }

    fn records(
        &self,
        group: RecordGroup,
    ) -> RegistryResult<'_, (RegistryVersion, Vec<RegistryRecord>)> {
        async move {
            self.begin("records").await?;
            let content = self.registry.content.borrow();
            let records = content.records.iter().filter(|((of, _), _)| *of == group);
            let era = self.registry.era.get();
            let records = records.map(|((_, name), (revision, text))| RegistryRecord {
                name: name.clone(),
                version: RegistryVersion { era, revision: *revision },
                text: text.clone(),
            });
            Ok((RegistryVersion { era, revision: content.revision }, records.collect()))
        }
        .boxed_local()
    }

    fn write_record(
        &self,
        group: RecordGroup,
        name: Box<str>,
        expected: Option<RegistryVersion>,
        text: Box<str>,
    ) -> RegistryResult<'_, RegistryVersion> {
        async move {
            self.begin("write_record").await?;
            {
                let mut content = self.registry.content.borrow_mut();
                let key = (group, name);
                // The registry compares revisions alone, as it gives them out again after a
                // restore.
                let current = content.records.get(&key).map(|(revision, _)| *revision);
                if current != expected.map(|version| version.revision) {
                    return Err(RegistryError::Conflict);
                }
                content.revision += 1;
                let revision = content.revision;
                if group == RecordGroup::Leases {
                    self.registry.lease_writes.borrow_mut().push((Instant::now(), text.clone()));
                }
                content.records.insert(key, (revision, text));
            }
            if self.registry.lost_replies.borrow_mut().remove(&self.host) {
                return Err(RegistryError::Ambiguous("reply lost".into()));
            }
            Ok(self.registry.version())
        }
        .boxed_local()
    }

    fn delete_record(&self, group: RecordGroup, name: Box<str>) -> RegistryResult<'_, ()> {
        async move {
            self.begin("delete_record").await?;
            let mut content = self.registry.content.borrow_mut();
            content.revision += 1;
            content.records.remove(&(group, name));
            Ok(())
        }
        .boxed_local()
    }
}
