//! Which configuration a host has in force, and whom it asks for a newer one.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

use crate::codes::ResultCode;
use crate::effective::EffectiveConfig;
use crate::ids::{ConfigRevision, HostName, ObjectVersion};
use crate::peer::{ConfigSnapshot, PeerError};
use crate::platform::{StoreChange, StoreError, StoreListing, StoredObject};
use crate::revision::{ROOT_KEY, resolve_value};

/// Rejected revisions that are remembered, so that none is fetched again and again.
const MAX_REJECTED: usize = 16;

/// A protection that only tests of the checks turn off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TrackerGuard {
    /// The protection works.
    #[default]
    On,
    /// The protection is off.
    Off,
}

/// Times and protections of a [`RevisionTracker`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrackerOptions {
    /// Hosts of each failure domain that watch the platform.
    pub watchers_per_domain: usize,
    /// Time between two polls by the hosts of one failure domain that do not watch.
    pub poll_spacing: Duration,
    /// Pause after a call that failed; doubles up to [`TrackerOptions::longest_pause`].
    pub retry_pause: Duration,
    /// Longest pause after calls to the platform that failed.
    pub longest_pause: Duration,
    /// Time after its start in which a host waits for the platform before it believes peers.
    pub platform_grace: Duration,
    /// Time without an answer from the platform after which the configuration is unconfirmed.
    pub confirmed_for: Duration,
    /// Refuses revisions lower than the one held.
    pub order_guard: TrackerGuard,
    /// Lists the objects again after a gap in a watch.
    pub resync_guard: TrackerGuard,
}

impl Default for TrackerOptions {
    fn default() -> Self {
        Self {
            watchers_per_domain: 2,
            poll_spacing: Duration::from_millis(500),
            retry_pause: Duration::from_millis(250),
            longest_pause: Duration::from_secs(1),
            platform_grace: Duration::from_secs(2),
            confirmed_for: Duration::from_secs(10),
            order_guard: TrackerGuard::On,
            resync_guard: TrackerGuard::On,
        }
    }
}

/// A host's place among the live hosts of its failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DomainPlace {
    /// Place in an order that every host computes alike, starting at 0.
    pub rank: usize,
    /// Live hosts of the failure domain, this one included.
    pub members: usize,
}

/// What happened, as the keeper learns it.
#[derive(Debug)]
pub enum TrackerEvent {
    /// Time passed; the host's place and the newest revision that peers announce, with its host.
    Ticked {
        /// The host's place.
        place: DomainPlace,
        /// Newest revision heard of.
        newest: Option<(HostName, ConfigRevision)>,
        /// Other live hosts.
        live: Vec<HostName>,
    },
    /// A listing of the root object ended.
    Listed(Result<StoreListing, StoreError>),
    /// A watch of the root object ended.
    Watched(Result<(ObjectVersion, Vec<StoreChange>), StoreError>),
    /// A fetch from a peer ended.
    Fetched(Result<ConfigSnapshot, PeerError>),
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrackerAction {
    /// List the root object.
    ListRoot,
    /// Watch the root object.
    WatchRoot {
        /// Version after which changes are wanted.
        after: ObjectVersion,
    },
    /// Fetch the configuration of a peer.
    FetchFrom(HostName),
    /// Tell peers and this host's own parts that a revision is in force.
    Announce(ConfigRevision),
    /// Count a revision taken from a source.
    CountAdopted(RevisionSource),
    /// Count a revision that failed its checks.
    CountRejected(ResultCode),
}

/// Where a revision came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RevisionSource {
    /// The platform's store.
    Platform,
    /// Another host.
    Peer,
}

impl RevisionSource {
    /// Name of the source, used as a metric label.
    pub fn name(self) -> &'static str {
        match self {
            Self::Platform => "platform",
            Self::Peer => "peer",
        }
    }
}

/// How far a host's configuration can be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrackerState {
    /// No configuration is in force; the host serves nothing.
    Starting,
    /// The platform answered lately.
    Confirmed,
    /// The platform has not answered lately; the host serves with what it has.
    Unconfirmed,
}

impl TrackerState {
    /// Name of the state on status pages.
    pub fn name(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Confirmed => "confirmed",
            Self::Unconfirmed => "unconfirmed",
        }
    }
}

/// A revision that failed its checks on this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedRevision {
    /// The revision.
    pub revision: ConfigRevision,
    /// Result code of its first fault.
    pub code: ResultCode,
    /// Its faults, for operators.
    pub problem: Box<str>,
}

struct HeldConfig {
    config: Rc<EffectiveConfig>,
    snapshot: ConfigSnapshot,
}

/// The calls to the platform, at most one at a time.
struct PlatformCursor {
    in_flight: bool,
    not_before: Instant,
    poll_at: Instant,
    /// Version to watch from; `None` where the objects must be listed first.
    watch_from: Option<ObjectVersion>,
    last_answer: Option<Instant>,
    failures: u32,
    /// Whether the next listing follows a gap.
    after_gap: bool,
}

/// The fetches from peers, at most one at a time.
struct FetchCursor {
    in_flight: bool,
    not_before: Instant,
    failures: usize,
}

/// Decides which revision a host has in force.
///
/// A host moves only to higher revisions and keeps the one it has where a newer one fails its
/// checks. It takes the first of platform and peers that has a newer revision. After a start it
/// serves once the platform has answered, or once [`TrackerOptions::platform_grace`] has passed
/// and a peer has given the configuration that it has in force.
pub struct RevisionTracker {
    options: TrackerOptions,
    started: Instant,
    held: Option<HeldConfig>,
    serving: bool,
    rejected: BTreeMap<ConfigRevision, RejectedRevision>,
    platform: PlatformCursor,
    fetch: FetchCursor,
    newest: Option<(HostName, ConfigRevision)>,
    confirmed_for: Duration,
}

impl RevisionTracker {
    /// A keeper on a host that starts now and holds nothing.
    pub fn new(options: TrackerOptions, now: Instant) -> Self {
        Self {
            started: now,
            held: None,
            serving: false,
            rejected: BTreeMap::new(),
            platform: PlatformCursor {
                in_flight: false,
                not_before: now,
                poll_at: now,
                watch_from: None,
                last_answer: None,
                failures: 0,
                after_gap: false,
            },
            fetch: FetchCursor { in_flight: false, not_before: now, failures: 0 },
            newest: None,
            confirmed_for: options.confirmed_for,
            options,
        }
    }

    /// The configuration in force; `None` while the host may serve nothing.
    pub fn current(&self) -> Option<Rc<EffectiveConfig>> {
        self.in_force().map(|held| held.config.clone())
    }

    /// The configuration in force as the platform holds it, for peers.
    pub fn snapshot(&self) -> Option<ConfigSnapshot> {
        self.in_force().map(|held| held.snapshot.clone())
    }

    /// Revision in force, 0 while the host may serve nothing.
    pub fn revision(&self) -> ConfigRevision {
        self.in_force().map_or(0, |held| held.snapshot.revision)
    }

    /// How far the configuration can be relied on.
    pub fn state(&self, now: Instant) -> TrackerState {
        if !self.serving {
            return TrackerState::Starting;
        }
        let age = self.platform.last_answer.map(|answer| now.saturating_duration_since(answer));
        if age.is_some_and(|age| age <= self.confirmed_for) {
            return TrackerState::Confirmed;
        }
        TrackerState::Unconfirmed
    }

    /// The highest revision that failed its checks and is newer than the one in force.
    pub fn rejected(&self) -> Option<&RejectedRevision> {
        let (revision, rejected) = self.rejected.last_key_value()?;
        (*revision > self.held_revision()).then_some(rejected)
    }

    /// Takes an event and returns what to do, in order.
    pub fn handle(&mut self, now: Instant, event: TrackerEvent) -> Vec<TrackerAction> {
        let mut actions = Vec::new();
        match event {
            TrackerEvent::Ticked { place, newest, live } => {
                self.newest = newest;
                self.call_platform(now, place, &mut actions);
                self.ask_peer(now, &live, &mut actions);
            }
            TrackerEvent::Listed(result) => self.learn_listing(now, result, &mut actions),
            TrackerEvent::Watched(result) => self.learn_watch(now, result, &mut actions),
            TrackerEvent::Fetched(result) => self.learn_fetch(now, result, &mut actions),
        }
        self.begin_serving(now, &mut actions);
        actions
    }

    fn in_force(&self) -> Option<&HeldConfig> {
        self.held.as_ref().filter(|_| self.serving)
    }

    fn held_revision(&self) -> ConfigRevision {
        self.held.as_ref().map_or(0, |held| held.snapshot.revision)
    }

    /// Whether a revision may replace the one held.
    fn supersedes(&self, revision: ConfigRevision) -> bool {
        let held = self.held_revision();
        let is_newer = match self.options.order_guard {
            TrackerGuard::On => revision > held,
            TrackerGuard::Off => revision != held,
        };
        is_newer && !self.rejected.contains_key(&revision)
    }

    fn call_platform(
        &mut self,
        now: Instant,
        place: DomainPlace,
        actions: &mut Vec<TrackerAction>,
    ) {
        let poll_period = self.options.poll_spacing * place.members.max(1) as u32;
        self.confirmed_for = self.options.confirmed_for + poll_period * 2;
        if self.platform.in_flight || now < self.platform.not_before {
            return;
        }
        let watches = place.rank < self.options.watchers_per_domain;
        if let Some(after) = self.platform.watch_from.filter(|_| watches) {
            self.platform.in_flight = true;
            actions.push(TrackerAction::WatchRoot { after });
            return;
        }
        if watches || now >= self.platform.poll_at {
            self.platform.in_flight = true;
            let first = self.platform.last_answer.is_none();
            let until_slot = self.options.poll_spacing * (place.rank + 1) as u32;
            self.platform.poll_at = now + if first { until_slot } else { poll_period };
            actions.push(TrackerAction::ListRoot);
        }
    }

    fn ask_peer(&mut self, now: Instant, live: &[HostName], actions: &mut Vec<TrackerAction>) {
        if self.fetch.in_flight || now < self.fetch.not_before {
            return;
        }
        let Some((host, revision)) = &self.newest else { return };
        if !self.supersedes(*revision) {
            return;
        }
        // The host that has it may be out of reach from here: every other try asks another one.
        let other = self.fetch.failures / 2;
        let host = match live.get(other % live.len().max(1)) {
            Some(live) if self.fetch.failures % 2 == 1 => live,
            _ => host,
        };
        self.fetch.in_flight = true;
        actions.push(TrackerAction::FetchFrom(host.clone()));
    }

    fn learn_listing(
        &mut self,
        now: Instant,
        result: Result<StoreListing, StoreError>,
        actions: &mut Vec<TrackerAction>,
    ) {
        self.platform.in_flight = false;
        let listing = match result {
            Ok(listing) => listing,
            Err(error) => return self.pause_platform(now, &error),
        };
        self.answered(now, listing.version);
        let after_gap = std::mem::take(&mut self.platform.after_gap);
        if after_gap && self.options.resync_guard == TrackerGuard::Off {
            return;
        }
        for object in listing.objects {
            self.learn_object(object, actions);
        }
    }

    fn learn_watch(
        &mut self,
        now: Instant,
        result: Result<(ObjectVersion, Vec<StoreChange>), StoreError>,
        actions: &mut Vec<TrackerAction>,
    ) {
        self.platform.in_flight = false;
        let (version, changes) = match result {
            Ok(watched) => watched,
            Err(StoreError::Gap) => {
                self.platform.watch_from = None;
                self.platform.after_gap = true;
                self.platform.poll_at = now;
                return;
            }
            Err(error) => return self.pause_platform(now, &error),
        };
        self.answered(now, version);
        for change in changes {
            // A deleted root object leaves the last accepted configuration in force.
            if let StoreChange::Put(object) = change {
                self.learn_object(object, actions);
            }
        }
    }

    fn answered(&mut self, now: Instant, version: ObjectVersion) {
        self.platform.last_answer = Some(now);
        self.platform.watch_from = Some(version);
        self.platform.failures = 0;
    }

    /// Pauses after a failed call. A host that serves and does not watch tries once more and then
    /// waits for its next poll, so that an outage does not multiply the calls.
    fn pause_platform(&mut self, now: Instant, error: &StoreError) {
        let doubled = self.options.retry_pause * (1 << self.platform.failures.min(8));
        self.platform.failures += 1;
        let pause = match error {
            StoreError::Throttled { retry_after } => doubled.max(*retry_after),
            _ => doubled,
        };
        self.platform.not_before = now + pause.min(self.options.longest_pause);
        if !self.serving || self.platform.failures == 1 {
            self.platform.poll_at = self.platform.not_before;
        }
    }

    fn learn_object(&mut self, object: StoredObject, actions: &mut Vec<TrackerAction>) {
        if &*object.key != ROOT_KEY {
            return;
        }
        let snapshot = ConfigSnapshot { revision: object.version, value: object.value };
        self.consider(snapshot, RevisionSource::Platform, actions);
    }

    fn learn_fetch(
        &mut self,
        now: Instant,
        result: Result<ConfigSnapshot, PeerError>,
        actions: &mut Vec<TrackerAction>,
    ) {
        self.fetch.in_flight = false;
        let before = self.held_revision();
        if let Ok(snapshot) = result {
            self.consider(snapshot, RevisionSource::Peer, actions);
        }
        if self.held_revision() > before {
            self.fetch.failures = 0;
            return;
        }
        self.fetch.failures += 1;
        self.fetch.not_before = now + self.options.retry_pause;
    }

    fn consider(
        &mut self,
        snapshot: ConfigSnapshot,
        source: RevisionSource,
        actions: &mut Vec<TrackerAction>,
    ) {
        let revision = snapshot.revision;
        if !self.supersedes(revision) {
            return;
        }
        match resolve_value(revision, &snapshot.value) {
            Ok(config) => {
                self.held = Some(HeldConfig { config: Rc::new(config), snapshot });
                actions.push(TrackerAction::CountAdopted(source));
                if self.serving {
                    actions.push(TrackerAction::Announce(revision));
                }
            }
            Err(error) => {
                let code = error.code();
                let problem = error.to_string().into();
                self.rejected.insert(revision, RejectedRevision { revision, code, problem });
                if self.rejected.len() > MAX_REJECTED {
                    self.rejected.pop_first();
                }
                actions.push(TrackerAction::CountRejected(code));
            }
        }
    }

    /// Lets the host serve once the configuration that it holds is current.
    fn begin_serving(&mut self, now: Instant, actions: &mut Vec<TrackerAction>) {
        if self.serving || self.held.is_none() {
            return;
        }
        let held = self.held_revision();
        let newer = self
            .newest
            .as_ref()
            .filter(|(_, revision)| *revision > held && !self.rejected.contains_key(revision));
        let grace_over = now >= self.started + self.options.platform_grace;
        let answered = self.platform.last_answer.is_some();
        if newer.is_some() || !(answered || grace_over) {
            return;
        }
        self.serving = true;
        actions.push(TrackerAction::Announce(held));
    }
}
