//! Decides which configuration revision a host has in force and where it fetches a newer one.

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

/// Rejected revisions that are kept, so that the host does not fetch them again.
const MAX_REJECTED_REVISIONS: usize = 16;

/// Switch of a safety rule that a test disables to prove that its checker detects the violation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RuleSwitch {
    /// The rule is enforced.
    #[default]
    On,
    /// The rule is ignored.
    Off,
}

/// Timing and safety rules of a [`RevisionTracker`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrackerOptions {
    /// Hosts of each failure domain that watch the platform.
    pub watchers_per_domain: usize,
    /// Time between the polls of two hosts of one failure domain that do not watch. A host's poll
    /// period is this times the number of live hosts in the domain.
    pub poll_spacing: Duration,
    /// Delay after the first failed call. It doubles with each further failed platform call up to
    /// [`TrackerOptions::max_backoff`] and stays the same for fetches from peers.
    pub initial_backoff: Duration,
    /// Longest delay after failed platform calls.
    pub max_backoff: Duration,
    /// Time after its start for which a host waits for the platform before it trusts peers alone.
    pub platform_grace: Duration,
    /// Time without an answer from the platform after which the configuration is unconfirmed; two
    /// poll periods are added.
    pub unconfirmed_after: Duration,
    /// Ignores revisions lower than the one held.
    pub downgrade_rule: RuleSwitch,
    /// Applies the listing that follows a gap in a watch.
    pub resync_rule: RuleSwitch,
}

impl Default for TrackerOptions {
    fn default() -> Self {
        Self {
            watchers_per_domain: 2,
            poll_spacing: Duration::from_millis(500),
            initial_backoff: Duration::from_millis(250),
            max_backoff: Duration::from_secs(1),
            platform_grace: Duration::from_secs(2),
            unconfirmed_after: Duration::from_secs(10),
            downgrade_rule: RuleSwitch::On,
            resync_rule: RuleSwitch::On,
        }
    }
}

/// Position of a host among the live hosts of its failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DomainPosition {
    /// Rank in an ordering that is the same on every host, starting at 0.
    pub rank: usize,
    /// Number of live hosts in the failure domain, including this one.
    pub members: usize,
}

/// Input of a [`RevisionTracker`].
#[derive(Debug)]
pub enum TrackerEvent {
    /// A periodic tick with the current view of the peers.
    Ticked {
        /// Position of this host in its failure domain.
        position: DomainPosition,
        /// Newest revision that a peer announced, and that peer.
        newest: Option<(HostName, ConfigRevision)>,
        /// Other live hosts.
        live: Vec<HostName>,
    },
    /// A listing of the root object finished.
    Listed(Result<StoreListing, StoreError>),
    /// A watch of the root object finished.
    Watched(Result<(ObjectVersion, Vec<StoreChange>), StoreError>),
    /// A fetch from a peer finished.
    Fetched(Result<ConfigSnapshot, PeerError>),
}

/// What the caller of a [`RevisionTracker`] must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrackerAction {
    /// List the root object.
    ListRoot,
    /// Watch the root object.
    WatchRoot {
        /// Version after which to report changes.
        after: ObjectVersion,
    },
    /// Fetch the configuration from this peer.
    FetchFrom(HostName),
    /// Announce to peers and to this process that a revision is in force.
    Announce(ConfigRevision),
    /// Count a revision adopted from this source.
    CountAdopted(RevisionSource),
    /// Count a revision that failed validation with this code.
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
    /// Name of the source as a metric label.
    pub fn name(self) -> &'static str {
        match self {
            Self::Platform => "platform",
            Self::Peer => "peer",
        }
    }
}

/// Whether a host has a configuration in force and how recently the platform confirmed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrackerState {
    /// No configuration is in force; the host does not serve.
    Starting,
    /// The platform answered recently.
    Confirmed,
    /// The platform has not answered recently; the host serves with the configuration it holds.
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

/// A revision that failed validation on this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedRevision {
    /// The revision.
    pub revision: ConfigRevision,
    /// Result code of the first error.
    pub code: ResultCode,
    /// Description of the errors, for operators.
    pub problem: Box<str>,
}

struct HeldConfig {
    config: Rc<EffectiveConfig>,
    snapshot: ConfigSnapshot,
}

/// State of the platform calls, of which at most one is in flight.
struct PlatformCalls {
    is_in_flight: bool,
    not_before: Instant,
    poll_at: Instant,
    /// Version to watch from; `None` if the root object must be listed first.
    watch_from: Option<ObjectVersion>,
    last_answer: Option<Instant>,
    failures: u32,
    /// Whether the next listing follows a gap in the watch.
    follows_gap: bool,
}

/// State of the fetches from peers, of which at most one is in flight.
struct FetchCalls {
    is_in_flight: bool,
    not_before: Instant,
    failures: usize,
}

/// State machine that decides which revision a host has in force; it does no I/O.
///
/// A host moves only to higher revisions and keeps the current one if a newer one fails
/// validation. It adopts a newer revision from whichever of the platform and the peers delivers it
/// first. After a start it serves once the platform has answered, or once
/// [`TrackerOptions::platform_grace`] has passed and a peer has sent the configuration that it has
/// in force.
pub struct RevisionTracker {
    options: TrackerOptions,
    started: Instant,
    held: Option<HeldConfig>,
    is_serving: bool,
    rejected: BTreeMap<ConfigRevision, RejectedRevision>,
    platform: PlatformCalls,
    fetch: FetchCalls,
    newest: Option<(HostName, ConfigRevision)>,
    unconfirmed_after: Duration,
}

impl RevisionTracker {
    /// Creates the tracker of a host that starts at `now` without a configuration.
    pub fn new(options: TrackerOptions, now: Instant) -> Self {
        Self {
            started: now,
            held: None,
            is_serving: false,
            rejected: BTreeMap::new(),
            platform: PlatformCalls {
                is_in_flight: false,
                not_before: now,
                poll_at: now,
                watch_from: None,
                last_answer: None,
                failures: 0,
                follows_gap: false,
            },
            fetch: FetchCalls { is_in_flight: false, not_before: now, failures: 0 },
            newest: None,
            unconfirmed_after: options.unconfirmed_after,
            options,
        }
    }

    /// Returns the configuration in force; `None` while the host must not serve.
    pub fn current(&self) -> Option<Rc<EffectiveConfig>> {
        self.in_force().map(|held| held.config.clone())
    }

    /// Returns the configuration in force as stored on the platform, to send to peers.
    pub fn snapshot(&self) -> Option<ConfigSnapshot> {
        self.in_force().map(|held| held.snapshot.clone())
    }

    /// Returns the revision in force, or 0 while the host must not serve.
    pub fn revision(&self) -> ConfigRevision {
        self.in_force().map_or(0, |held| held.snapshot.revision)
    }

    /// Returns whether the host serves and the platform has confirmed its configuration recently.
    pub fn state(&self, now: Instant) -> TrackerState {
        if !self.is_serving {
            return TrackerState::Starting;
        }
        let age = self.platform.last_answer.map(|answer| now.saturating_duration_since(answer));
        if age.is_some_and(|age| age <= self.unconfirmed_after) {
            return TrackerState::Confirmed;
        }
        TrackerState::Unconfirmed
    }

    /// Returns the highest revision that failed validation, if it is newer than the one held.
    pub fn rejected(&self) -> Option<&RejectedRevision> {
        let (revision, rejected) = self.rejected.last_key_value()?;
        (*revision > self.held_revision()).then_some(rejected)
    }

    /// Processes an event and returns the actions to perform, in order.
    pub fn handle(&mut self, now: Instant, event: TrackerEvent) -> Vec<TrackerAction> {
        let mut actions = Vec::new();
        match event {
            TrackerEvent::Ticked { position, newest, live } => {
                self.newest = newest;
                self.start_platform_call(now, position, &mut actions);
                self.start_fetch(now, &live, &mut actions);
            }
            TrackerEvent::Listed(result) => self.handle_listing(now, result, &mut actions),
            TrackerEvent::Watched(result) => self.handle_watch(now, result, &mut actions),
            TrackerEvent::Fetched(result) => self.handle_fetch(now, result, &mut actions),
        }
        self.try_start_serving(now, &mut actions);
        actions
    }

    fn in_force(&self) -> Option<&HeldConfig> {
        self.held.as_ref().filter(|_| self.is_serving)
    }

    fn held_revision(&self) -> ConfigRevision {
        self.held.as_ref().map_or(0, |held| held.snapshot.revision)
    }

    /// Whether a revision may replace the one held: newer and not rejected before.
    fn supersedes(&self, revision: ConfigRevision) -> bool {
        let held = self.held_revision();
        let is_newer = match self.options.downgrade_rule {
            RuleSwitch::On => revision > held,
            RuleSwitch::Off => revision != held,
        };
        is_newer && !self.rejected.contains_key(&revision)
    }

    fn start_platform_call(
        &mut self,
        now: Instant,
        position: DomainPosition,
        actions: &mut Vec<TrackerAction>,
    ) {
        let poll_period = self.options.poll_spacing * position.members.max(1) as u32;
        self.unconfirmed_after = self.options.unconfirmed_after + poll_period * 2;
        if self.platform.is_in_flight || now < self.platform.not_before {
            return;
        }
        let is_watcher = position.rank < self.options.watchers_per_domain;
        if let Some(after) = self.platform.watch_from.filter(|_| is_watcher) {
            self.platform.is_in_flight = true;
            actions.push(TrackerAction::WatchRoot { after });
            return;
        }
        if is_watcher || now >= self.platform.poll_at {
            self.platform.is_in_flight = true;
            let is_first = self.platform.last_answer.is_none();
            let until_slot = self.options.poll_spacing * (position.rank + 1) as u32;
            self.platform.poll_at = now + if is_first { until_slot } else { poll_period };
            actions.push(TrackerAction::ListRoot);
        }
    }

    fn start_fetch(&mut self, now: Instant, live: &[HostName], actions: &mut Vec<TrackerAction>) {
        if self.fetch.is_in_flight || now < self.fetch.not_before {
            return;
        }
        let Some((host, revision)) = &self.newest else { return };
        if !self.supersedes(*revision) {
            return;
        }
        // The announcing host may be unreachable from here: every second attempt asks another live
        // host.
        let rotation = self.fetch.failures / 2;
        let host = match live.get(rotation % live.len().max(1)) {
            Some(live) if self.fetch.failures % 2 == 1 => live,
            _ => host,
        };
        self.fetch.is_in_flight = true;
        actions.push(TrackerAction::FetchFrom(host.clone()));
    }

    fn handle_listing(
        &mut self,
        now: Instant,
        result: Result<StoreListing, StoreError>,
        actions: &mut Vec<TrackerAction>,
    ) {
        self.platform.is_in_flight = false;
        let listing = match result {
            Ok(listing) => listing,
            Err(error) => return self.back_off_platform(now, &error),
        };
        self.record_answer(now, listing.version);
        let follows_gap = std::mem::take(&mut self.platform.follows_gap);
        if follows_gap && self.options.resync_rule == RuleSwitch::Off {
            return;
        }
        for object in listing.objects {
            self.handle_object(object, actions);
        }
    }

    fn handle_watch(
        &mut self,
        now: Instant,
        result: Result<(ObjectVersion, Vec<StoreChange>), StoreError>,
        actions: &mut Vec<TrackerAction>,
    ) {
        self.platform.is_in_flight = false;
        let (version, changes) = match result {
            Ok(watched) => watched,
            Err(StoreError::Gap) => {
                self.platform.watch_from = None;
                self.platform.follows_gap = true;
                self.platform.poll_at = now;
                return;
            }
            Err(error) => return self.back_off_platform(now, &error),
        };
        self.record_answer(now, version);
        for change in changes {
            // Deleting the root object keeps the last accepted configuration in force.
            if let StoreChange::Put(object) = change {
                self.handle_object(object, actions);
            }
        }
    }

    fn record_answer(&mut self, now: Instant, version: ObjectVersion) {
        self.platform.last_answer = Some(now);
        self.platform.watch_from = Some(version);
        self.platform.failures = 0;
    }

    /// Backs off after a failed platform call. A host that serves and does not watch retries once
    /// and then waits for its next poll, so that an outage does not multiply the calls.
    fn back_off_platform(&mut self, now: Instant, error: &StoreError) {
        let backoff = self.options.initial_backoff * (1 << self.platform.failures.min(8));
        self.platform.failures += 1;
        let delay = match error {
            StoreError::Throttled { retry_after } => backoff.max(*retry_after),
            _ => backoff,
        };
        self.platform.not_before = now + delay.min(self.options.max_backoff);
        if !self.is_serving || self.platform.failures == 1 {
            self.platform.poll_at = self.platform.not_before;
        }
    }

    fn handle_object(&mut self, object: StoredObject, actions: &mut Vec<TrackerAction>) {
        if &*object.key != ROOT_KEY {
            return;
        }
        let snapshot = ConfigSnapshot { revision: object.version, value: object.value };
        self.evaluate(snapshot, RevisionSource::Platform, actions);
    }

    fn handle_fetch(
        &mut self,
        now: Instant,
        result: Result<ConfigSnapshot, PeerError>,
        actions: &mut Vec<TrackerAction>,
    ) {
        self.fetch.is_in_flight = false;
        let before = self.held_revision();
        if let Ok(snapshot) = result {
            self.evaluate(snapshot, RevisionSource::Peer, actions);
        }
        if self.held_revision() > before {
            self.fetch.failures = 0;
            return;
        }
        self.fetch.failures += 1;
        self.fetch.not_before = now + self.options.initial_backoff;
    }

    fn evaluate(
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
                if self.is_serving {
                    actions.push(TrackerAction::Announce(revision));
                }
            }
            Err(error) => {
                let code = error.code();
                let problem = error.to_string().into();
                self.rejected.insert(revision, RejectedRevision { revision, code, problem });
                if self.rejected.len() > MAX_REJECTED_REVISIONS {
                    self.rejected.pop_first();
                }
                actions.push(TrackerAction::CountRejected(code));
            }
        }
    }

    /// Starts serving if the held configuration is current as far as the host can know.
    fn try_start_serving(&mut self, now: Instant, actions: &mut Vec<TrackerAction>) {
        if self.is_serving || self.held.is_none() {
            return;
        }
        let held = self.held_revision();
        let newer = self
            .newest
            .as_ref()
            .filter(|(_, revision)| *revision > held && !self.rejected.contains_key(revision));
        let is_grace_over = now >= self.started + self.options.platform_grace;
        let has_answered = self.platform.last_answer.is_some();
        if newer.is_some() || !(has_answered || is_grace_over) {
            return;
        }
        self.is_serving = true;
        actions.push(TrackerAction::Announce(held));
    }
}
