//! Follows the rules, the endpoints and the other hosts in the registry.
//!
//! While the registry is unavailable to this host, it fetches snapshots from other hosts instead.

use std::rc::Rc;
use std::time::Duration;

use jacinthrock::MetricName;
use rand::Rng;
use tokio::time::{Instant, sleep, timeout};

use crate::adapter::{RecordGroup, RegistryError};
use crate::endpoints::EndpointChange;
use crate::freshness::RulesEvidence;
use crate::peers;
use crate::state::{EntryState, PeerHost};
use crate::version::RegistryVersion;

/// Longest wait of a watch for rules while other hosts confirm the rules.
const WATCH_WAIT: Duration = Duration::from_secs(25);
/// Longest wait of a watch for rules otherwise, as on the placement holder, which confirms the
/// rules to the other hosts.
const UNCONFIRMED_WATCH_WAIT: Duration = Duration::from_secs(1);
/// Interval between two checks that other hosts still confirm the rules.
const EVIDENCE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait of a watch for endpoints on the placement holder and on relays: each reply confirms
/// the table that they send to other hosts.
const HOLDER_WATCH_WAIT: Duration = Duration::from_millis(500);
/// Longest wait of a watch for endpoints on other hosts, which stop watching once the holder's
/// table is fresh. With the timeout of a call, a lost watch ends within the three seconds after
/// which a host counts as stable again, and before its silence counts as an outage.
const FALLBACK_WATCH_WAIT: Duration = Duration::from_millis(800);
/// Interval between two checks that the table received from the holder is fresh.
const FRESHNESS_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for a holder when all hosts start for the first time.
const FIRST_START_WAIT: Duration = Duration::from_millis(1_500);
/// Pause of the holder and of relays after a watch has returned changes, to batch those in quick
/// succession.
const HOLDER_READ_PAUSE: Duration = Duration::from_millis(100);
/// Pause after a watch has returned changes of rules, or changes of endpoints on other hosts; such
/// changes must be in force within two seconds.
const DIRECT_READ_PAUSE: Duration = Duration::from_millis(400);
/// First backoff after a failed request to the registry.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// Longest backoff, shorter than the time within which rules must be in force.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Longest backoff with many hosts, whose retries in an outage add up; rules must be in force
/// within three seconds there.
const MANY_HOSTS_MAX_BACKOFF: Duration = Duration::from_millis(1_600);
/// Interval between two reads of the list of hosts.
const HOSTS_INTERVAL: Duration = Duration::from_secs(3);
/// Number of hosts from which the list is read less often, because one host more or less changes
/// little.
const MANY_HOSTS: usize = 16;
/// Interval between two reads of the list with many hosts.
const MANY_HOSTS_INTERVAL: Duration = Duration::from_secs(9);
/// Time over which hosts spread their first calls after a restore of the registry.
const RESTORE_SPREAD: Duration = Duration::from_secs(1);
/// Interval between two removals of expired endpoints, and of idle and overdue connections.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);
/// Idle time after which a connection is closed.
const MAX_IDLE: Duration = Duration::from_secs(3);

/// Exponential backoff between requests to the registry.
struct RetryBackoff {
    next: Duration,
}

impl RetryBackoff {
    fn new() -> Self {
        Self { next: FIRST_BACKOFF }
    }

    async fn wait(&mut self, hosts: usize) {
        sleep(self.next).await;
        let max_backoff = if hosts >= MANY_HOSTS { MANY_HOSTS_MAX_BACKOFF } else { MAX_BACKOFF };
        self.next = (self.next * 2).min(max_backoff);
    }
}

/// Follows the rules until the process ends.
pub(crate) async fn follow_rules(state: Rc<EntryState>) {
    let mut backoff = RetryBackoff::new();
    loop {
        match state.registry.rules().await {
            Ok((version, rules)) => {
                backoff = RetryBackoff::new();
                count_rules_call(&state, "rules", "listed");
                state.record_registry_reply(version);
                if let Some(rules) = rules {
                    state.apply_rules(version, rules, "list");
                }
                state.rules_freshness.borrow_mut().record_registry(Instant::now());
                watch_rules(&state, version).await;
            }
            Err(error) => {
                count_rules_call(&state, "rules", "failed");
                log::warn!(
                    event = "store_lost", what = "rules", error:% = error;
                    "could not read the rules"
                );
                peers::pull_from_peer(&state).await;
                backoff.wait(state.host_count()).await;
            }
        }
    }
}

fn count_rules_call(state: &EntryState, call: &str, result: &str) {
    state.metrics.count(MetricName::StoreCalls, &[call, result]);
}

async fn watch_rules(state: &EntryState, mut version: RegistryVersion) {
    log::info!(
        event = "watch_started", what = "rules", registry:% = version; "watching the rules"
    );
    loop {
        let is_confirmed = rules_evidence(state) == RulesEvidence::Confirmed;
        let wait = if is_confirmed { WATCH_WAIT } else { UNCONFIRMED_WATCH_WAIT };
        let watched = tokio::select! {
            watched = state.registry.watch_rules(version, wait) => watched,
            evidence = lost_confirmation(state), if is_confirmed => {
                log::info!(
                    event = "watch_abandoned", what = "rules", registry:% = version, evidence:?,
                    in_force = state.rules_number();
                    "other hosts no longer confirm the rules; watching again"
                );
                if evidence == RulesEvidence::Outdated {
                    peers::pull_from_upstream(state).await;
                }
                continue;
            }
        };
        let is_unconfirmed = state.rules_freshness.borrow().is_unconfirmed(Instant::now());
        state.metrics.set(MetricName::ConfigUnconfirmed, &[], i64::from(is_unconfirmed));
        match watched {
            Ok((next, rules)) => {
                version = version.max(next);
                state.record_registry_reply(next);
                let result = if rules.is_some() { "changed" } else { "unchanged" };
                count_rules_call(state, "watch_rules", result);
                state.rules_freshness.borrow_mut().record_registry(Instant::now());
                if let Some(rules) = rules {
                    state.apply_rules(version, rules, "watch");
                    sleep(DIRECT_READ_PAUSE).await;
                }
            }
            Err(error) => {
                count_rules_call(state, "watch_rules", "failed");
                log::info!(
                    event = "watch_ended", what = "rules", error:% = error; "watch of rules ended"
                );
                return;
            }
        }
    }
}

fn rules_evidence(state: &EntryState) -> RulesEvidence {
    state.rules_freshness.borrow().evidence(state.rules_number(), Instant::now())
}

/// Waits until other hosts no longer confirm the rules; returns what they say instead.
async fn lost_confirmation(state: &EntryState) -> RulesEvidence {
    loop {
        sleep(EVIDENCE_POLL_INTERVAL).await;
        let evidence = rules_evidence(state);
        if evidence != RulesEvidence::Confirmed {
            return evidence;
        }
    }
}

/// Follows the endpoints until the process ends. The holder of the placement lease reads them from
/// the registry; other hosts get them from the holder while it replies and the registry has
/// confirmed its table recently.
pub(crate) async fn follow_endpoints(state: Rc<EntryState>) {
    let mut backoff = RetryBackoff::new();
    let mut was_unavailable = false;
    let started = Instant::now();
    if state.options.is_first_start {
        wait_for_holder(&state).await;
    }
    loop {
        if state.is_following_holder() {
            sleep(FRESHNESS_POLL_INTERVAL).await;
            continue;
        }
        match state.registry.endpoints().await {
            Ok((version, entries)) => {
                backoff = RetryBackoff::new();
                let was_outage = record_outage(&state, started);
                state.record_registry_reply(version);
                if std::mem::take(&mut was_unavailable) {
                    log::info!(
                        event = "store_regained", registry:% = version, was_outage;
                        "registry answers again"
                    );
                }
                let count = entries.len();
                state.endpoints.borrow_mut().replace(version, entries, Instant::now());
                state.endpoints_confirmed.set(Some(Instant::now()));
                log::info!(event = "endpoints", registry:% = version, count; "listed the endpoints");
                endpoints_changed(&state);
                let ended = watch_endpoints(&state, version).await;
                was_unavailable = ended.is_err_and(|error| error != RegistryError::Gap);
            }
            Err(error) => {
                was_unavailable = true;
                log::warn!(
                    event = "store_lost", what = "endpoints", error:% = error;
                    "could not list the endpoints"
                );
                record_outage(&state, started);
                peers::pull_from_peer(&state).await;
                backoff.wait(state.host_count()).await;
            }
        }
    }
}

/// Records an outage of the registry if it has not replied for so long that entries of live endpoints
/// may have lapsed; returns whether it has. A call that fails shows no outage by itself: a watch may
/// be cut off, and connections may fall silent, while the registry serves others.
fn record_outage(state: &EntryState, started: Instant) -> bool {
    let last_reply = state.last_registry_reply().unwrap_or(started);
    let is_outage = last_reply.elapsed() >= state.options.min_lapse_time();
    if is_outage {
        state.endpoints.borrow_mut().record_registry_outage(Instant::now());
    }
    is_outage
}

/// Gives a holder the time to take the lease when all hosts start at once, so that not all of them
/// list the endpoints while these register and load their layers.
async fn wait_for_holder(state: &EntryState) {
    let started = Instant::now();
    while started.elapsed() < FIRST_START_WAIT && !state.is_following_holder() && !state.is_holder()
    {
        sleep(FRESHNESS_POLL_INTERVAL).await;
    }
}

/// Watches the endpoints until a request fails or the holder's table is fresh.
async fn watch_endpoints(
    state: &EntryState,
    mut version: RegistryVersion,
) -> Result<(), RegistryError> {
    loop {
        let serves_others =
            state.is_holder() || state.relay_loads.borrow_mut().has_members(Instant::now());
        let wait = if serves_others { HOLDER_WATCH_WAIT } else { FALLBACK_WATCH_WAIT };
        let watched = state.registry.watch_endpoints(version, wait).await;
        let (next, changes) = watched.inspect_err(|error| {
            log::info!(
                event = "watch_ended", what = "endpoints", error:% = error;
                "watch of endpoints ended"
            );
        })?;
        version = version.max(next);
        state.endpoints_confirmed.set(Some(Instant::now()));
        if !changes.is_empty() {
            changes.iter().for_each(|change| log_change(version, change));
            state.endpoints.borrow_mut().apply(version, changes, Instant::now());
            endpoints_changed(state);
            sleep(if serves_others { HOLDER_READ_PAUSE } else { DIRECT_READ_PAUSE }).await;
        }
        if state.is_following_holder() {
            return Ok(());
        }
    }
}

fn log_change(version: RegistryVersion, change: &EndpointChange) {
    match change {
        EndpointChange::Put(entry) => log::info!(
            event = "endpoint_listed", registry:% = version, endpoint = &*entry.name,
            draining = entry.is_draining, layers:? = entry.layers, born = entry.start_unix_ms;
            "entry of an endpoint was written"
        ),
        EndpointChange::Gone(name) => log::info!(
            event = "endpoint_unlisted", registry:% = version, endpoint = &**name;
            "entry of an endpoint was removed"
        ),
    }
}

/// Drops state of endpoints that are no longer listed, and wakes requests that wait for a change.
pub(crate) fn endpoints_changed(state: &EntryState) {
    state.forget_ended();
    let endpoints = state.endpoints.borrow();
    state.empty_endpoints.borrow_mut().update(endpoints.entries(), Instant::now());
    state.health.borrow_mut().retain(|name| endpoints.get(name).is_some());
    drop(endpoints);
    state.prune_unlisted();
    state.path_changed.notify_waiters();
}

/// Removes endpoints that were not listed again after an outage, and closes idle connections.
pub(crate) async fn expire(state: Rc<EntryState>) {
    loop {
        sleep(EXPIRY_INTERVAL).await;
        state.pool.prune(MAX_IDLE);
        let overdue = state.callers.close_overdue(Instant::now());
        if overdue > 0 {
            log::info!(
                event = "callers_overdue", connections = overdue;
                "closed connections whose callers did not read their answers in time"
            );
        }
        let gone = state.endpoints.borrow_mut().expire(Instant::now());
        if !gone.is_empty() {
            log::info!(
                event = "endpoints_gone", names:? = gone; "endpoints were not listed again in time"
            );
            endpoints_changed(&state);
        }
    }
}

/// Registers this host and follows the list of the other hosts, until the process ends.
pub(crate) async fn follow_hosts(state: Rc<EntryState>) {
    let name = &state.options.host;
    let mut registered = register(&state).await;
    // Hosts that start at the same time are not yet in the first list.
    let mut is_first_read = true;
    loop {
        match state.registry.records(RecordGroup::Hosts).await {
            // A stale reply may show the registry before it was restored.
            Ok((version, _)) if version.era < state.registry_era() => {}
            Ok((version, records)) => {
                state.record_registry_reply(version);
                // A list that is older than the registration need not contain it.
                let is_lost = version >= registered
                    && !state.is_leaving()
                    && !records.iter().any(|record| record.name == *name);
                let others = records.into_iter().filter(|record| record.name != *name);
                let hosts =
                    others.filter_map(|record| Some((record.name, peer_host(&record.text)?)));
                *state.peers.borrow_mut() = hosts.collect();
                if is_lost {
                    log::info!(
                        event = "registration_lost", registry:% = version;
                        "the registry no longer lists this host; registering again"
                    );
                    registered = register(&state).await;
                }
            }
            Err(error) => {
                log::info!(
                    event = "store_lost", what = "hosts", error:% = error;
                    "could not list the hosts"
                );
            }
        }
        let is_many = state.host_count() >= MANY_HOSTS && !is_first_read;
        is_first_read = false;
        let interval = if is_many { MANY_HOSTS_INTERVAL } else { HOSTS_INTERVAL };
        if timeout(interval, state.registry_restored.notified()).await.is_ok() {
            // Spreads the calls of all hosts that notice the restore at the same time.
            sleep(RESTORE_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0))).await;
        }
    }
}

/// Writes the record of this host; returns the version of the registry that contains it.
async fn register(state: &EntryState) -> RegistryVersion {
    let options = &state.options;
    let text: Box<str> = format!("{} {} {}", options.peer, options.domain, options.capacity).into();
    let mut backoff = RetryBackoff::new();
    loop {
        let written = state.registry.write_record(
            RecordGroup::Hosts,
            options.host.clone(),
            None,
            text.clone(),
        );
        match written.await {
            Ok(version) => return version,
            // The record from an earlier start of this host contains the same address.
            Err(RegistryError::Conflict) => return RegistryVersion::default(),
            Err(error) => {
                log::info!(
                    event = "store_lost", what = "hosts", error:% = error;
                    "could not register this host"
                );
                backoff.wait(state.host_count()).await;
            }
        }
    }
}

/// Parses the address, the failure domain and the capacity in the record of a host. Records of
/// earlier releases have no capacity.
fn peer_host(text: &str) -> Option<PeerHost> {
    let mut words = text.split(' ');
    let (address, domain) = (words.next()?, words.next()?);
    let capacity = words.next().and_then(|word| word.parse().ok()).unwrap_or(0);
    Some(PeerHost { address: address.parse().ok()?, domain: domain.into(), capacity })
}
