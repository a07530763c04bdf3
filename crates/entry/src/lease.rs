//! The placement lease, whose holder plans the layout and orders endpoints to hold layers.
//!
//! The holder renews a record in the registry, and another host takes over when the renewals stop.
//! Two holders at the same time do no harm: each order states how many orders the endpoint must
//! have accepted before, so that one of two concurrent orders fails.

use std::rc::Rc;
use std::time::Duration;

use jacinthrock::MetricName;
use rand::Rng;
use rand::seq::IteratorRandom;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::adapter::{RecordGroup, RegistryError, RegistryRecord};
use crate::endpoints::LayerSpan;
use crate::peers;
use crate::placement::run_planner;
use crate::state::{EntryState, PlacementHolder};
use crate::version::RegistryVersion;

/// Name of the lease and of its record in the registry.
const PLACEMENT_LEASE: &str = "placement";
/// Interval between two renewals of the lease.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_000);
/// Pause before a renewal is tried again, short enough for several tries before the lease runs out.
const RENEW_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Interval between two checks that the holder still replies to this host's load reports.
const HOLDER_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a renewal after which another host takes over the lease.
const TAKEOVER_AFTER: Duration = Duration::from_millis(2_500);
/// Time since the start of its last renewal after which a holder stops placing, shorter than the
/// time after which others take over.
const LEASE_TIME: Duration = Duration::from_millis(2_300);
/// Time over which the weakest hosts spread their attempts to take the lease.
const TAKE_SPREAD: Duration = Duration::from_millis(500);
/// Capacity of a host that waits for the whole of `TAKE_SPREAD`: an eighth of a core.
const WEAK_CAPACITY: f64 = 125.0;
/// Most hosts with a lower name, and most with a higher one, that a host asks for the holder before
/// it acts as holder itself.
const MAX_ASKED_HOSTS: usize = 3;
/// Acquires the lease whenever no other host holds it, until the process ends.
pub(crate) async fn run(state: Rc<EntryState>) {
    let mut last_seen: Option<(Option<RegistryVersion>, Instant)> = None;
    let mut unavailable_since: Option<Instant> = None;
    // Text of a write whose reply was lost.
    let mut unanswered: Option<Box<str>> = None;
    loop {
        if state.is_following_holder() {
            // The holder replies, so that no takeover is needed.
            sleep(HOLDER_CHECK_INTERVAL).await;
            if state.is_following_holder() {
                continue;
            }
        }
        let free_version = match state.registry.records(RecordGroup::Leases).await {
            // A stale reply may show the registry before it was restored.
            Ok((listed, _)) if listed.era < state.registry_era() => None,
            Ok((listed, records)) => {
                state.record_registry_reply(listed);
                let record = lease_record(&records);
                let version = record.map(|record| record.version);
                let now = Instant::now();
                let since = match last_seen {
                    Some((known, since)) if known == version => since,
                    _ => now,
                };
                last_seen = Some((version, since));
                unavailable_since = None;
                *state.placement_holder.borrow_mut() =
                    record.and_then(|record| parse_holder(&record.text));
                let is_free = record.is_none_or(|record| record.text.is_empty());
                let is_written =
                    record.is_some_and(|record| Some(&record.text) == unanswered.as_ref());
                let may_take = is_written || is_free && !may_be_restored(&state);
                // A holder that replies without a renewal acts for an outage, and ends by itself.
                let is_lapsed = now - since >= TAKEOVER_AFTER && !state.has_heard_holder();
                (may_take || is_lapsed).then_some(version)
            }
            Err(_) => {
                let outage_start = *unavailable_since.get_or_insert_with(Instant::now);
                let is_alone = !state.is_following_holder()
                    && !state.has_heard_holder()
                    && !state.is_leaving();
                if outage_start.elapsed() >= TAKEOVER_AFTER && is_alone {
                    act_as_holder(&state, true).await;
                }
                None
            }
        };
        let free_version = free_version.filter(|_| !state.is_leaving() && state.rules().is_some());
        if let Some(version) = free_version
            && is_still_free(&state, version).await
        {
            let text = record_text(&state, version.unwrap_or_default());
            let taken = state.registry.write_record(
                RecordGroup::Leases,
                PLACEMENT_LEASE.into(),
                version,
                text.clone(),
            );
            unanswered = None;
            match taken.await {
                Ok(version) => {
                    state.record_registry_reply(version);
                    let end = hold_lease(&state, version).await;
                    last_seen = None;
                    if end == LeaseEnd::Unreachable {
                        act_as_holder(&state, false).await;
                    }
                }
                Err(RegistryError::Ambiguous(reason)) => {
                    log::info!(
                        event = "duty_unconfirmed", duty = PLACEMENT_LEASE, reason = &*reason;
                        "no reply to the write of the placement lease"
                    );
                    unanswered = Some(text);
                }
                Err(error) => log::info!(
                    event = "duty_untaken", duty = PLACEMENT_LEASE, error:% = error;
                    "could not acquire the placement lease"
                ),
            }
        }
        sleep(RENEW_INTERVAL).await;
    }
}

/// Waits for a random time, shorter on hosts with more capacity, and returns whether no host has
/// taken the lease meanwhile. All hosts find a lapsed lease at about the same time.
async fn is_still_free(state: &EntryState, version: Option<RegistryVersion>) -> bool {
    let weakness = (WEAK_CAPACITY / f64::from(state.options.capacity.max(1))).min(1.0);
    let draw = rand::rng().random_range(0.0..1.0);
    sleep(TAKE_SPREAD.mul_f64(weakness * draw)).await;
    match state.registry.records(RecordGroup::Leases).await {
        Ok((_, records)) => {
            let record = lease_record(&records);
            let is_free = record.map(|record| record.version) == version;
            if !is_free {
                *state.placement_holder.borrow_mut() =
                    record.and_then(|record| parse_holder(&record.text));
            }
            is_free
        }
        Err(error) => {
            log::info!(
                event = "store_lost", what = "leases", error:% = error;
                "could not read the placement lease"
            );
            false
        }
    }
}

/// Whether the listed lease may be one that a restored registry has brought back, while its last
/// holder still places models: a holder that cannot renew stops within `TAKEOVER_AFTER`. Endpoints
/// that hold no layers have had no holder.
fn may_be_restored(state: &EntryState) -> bool {
    let holds_layers = |span: LayerSpan| span.count() > 0;
    let endpoints = state.endpoints.borrow();
    let is_placed = endpoints.entries().any(|entry| entry.layers.is_some_and(holds_layers));
    is_placed && state.era_age() < TAKEOVER_AFTER
}

/// While this guard exists, this host runs the planner and is recorded as the holder.
struct HolderGuard {
    state: Rc<EntryState>,
    planning: JoinHandle<()>,
}

impl HolderGuard {
    fn new(state: &Rc<EntryState>) -> Self {
        *state.placement_holder.borrow_mut() = Some(own_holder(state));
        state.is_placing.set(true);
        Self {
            state: state.clone(),
            planning: tokio::task::spawn_local(run_planner(state.clone())),
        }
    }
}

impl Drop for HolderGuard {
    fn drop(&mut self) {
        self.planning.abort();
        self.state.is_placing.set(false);
        *self.state.placement_holder.borrow_mut() = None;
    }
}

/// Outcome of one renewal of the lease.
enum LeaseRenewal {
    /// The lease has this version, since a time.
    Renewed(RegistryVersion, Instant),
    /// The record names this host, at this version; the reply to an earlier renewal was lost.
    Unconfirmed(RegistryVersion),
    /// The registry did not reply.
    Failed(RegistryError),
    /// The lease is void, or another host has it.
    Lost,
}

/// Waits for a pause and renews the lease.
async fn renew(state: &EntryState, version: RegistryVersion, pause: Duration) -> LeaseRenewal {
    // The rules and endpoints that this host follows may show a restore before a renewal does.
    let restored = timeout(pause, state.registry_restored.notified()).await.is_ok();
    if restored || state.registry_era() > version.era {
        return LeaseRenewal::Lost;
    }
    let started = Instant::now();
    let text = record_text(state, version);
    let write = state.registry.write_record(
        RecordGroup::Leases,
        PLACEMENT_LEASE.into(),
        Some(version),
        text,
    );
    match write.await {
        Ok(next) if is_other_era(state, version, next) => LeaseRenewal::Lost,
        Ok(next) => LeaseRenewal::Renewed(next, started),
        // A conflict also follows a renewal by this host whose reply was lost.
        Err(RegistryError::Conflict) => match own_record_version(state).await {
            // A list of a former era is stale.
            Ok(Some(current)) if current.era < version.era => LeaseRenewal::Unconfirmed(version),
            Ok(Some(current)) if is_other_era(state, version, current) => LeaseRenewal::Lost,
            Ok(Some(current)) => LeaseRenewal::Unconfirmed(current),
            Ok(None) => LeaseRenewal::Lost,
            Err(error) => LeaseRenewal::Failed(error),
        },
        Err(error) => LeaseRenewal::Failed(error),
    }
}

/// How the lease of this host ended.
#[derive(Debug, PartialEq, Eq)]
enum LeaseEnd {
    /// It was released, or another host may have it.
    Lost,
    /// It ran out because the registry did not reply.
    Unreachable,
}

/// Holds the lease until it is lost or the process ends.
async fn hold_lease(state: &Rc<EntryState>, mut version: RegistryVersion) -> LeaseEnd {
    log::info!(
        event = "duty_taken", duty = PLACEMENT_LEASE, version:% = version; "acquired the placement lease"
    );
    state.metrics.set(MetricName::LeaseHeld, &[], 1);
    let guard = HolderGuard::new(state);
    let mut renewed = Instant::now();
    let mut end = LeaseEnd::Lost;
    let mut pause = RENEW_INTERVAL;
    while !state.is_leaving() {
        // Without a renewal in time, other hosts take the lease.
        let renewal = timeout_at(renewed + LEASE_TIME, renew(state, version, pause)).await;
        let Ok(renewal) = renewal else {
            end = LeaseEnd::Unreachable;
            break;
        };
        pause = match &renewal {
            LeaseRenewal::Renewed(..) => RENEW_INTERVAL,
            _ => RENEW_RETRY_PAUSE,
        };
        match renewal {
            LeaseRenewal::Renewed(next, at) => (version, renewed) = (next, at),
            LeaseRenewal::Unconfirmed(current) => version = version.max(current),
            LeaseRenewal::Failed(error) => log::info!(
                event = "duty_unrenewed", age_ms = renewed.elapsed().as_millis() as u64,
                error:% = error; "could not renew the placement lease"
            ),
            LeaseRenewal::Lost => break,
        }
    }
    guard.planning.abort();
    if state.is_leaving() {
        let released = state.registry.write_record(
            RecordGroup::Leases,
            PLACEMENT_LEASE.into(),
            Some(version),
            "".into(),
        );
        if let Err(error) = released.await {
            log::info!(
                event = "duty_kept", error:% = error; "could not release the placement lease"
            );
        }
    }
    drop(guard);
    state.metrics.set(MetricName::LeaseHeld, &[], 0);
    log::info!(event = "duty_left", duty = PLACEMENT_LEASE; "no longer holds the placement lease");
    end
}

/// Plans without the lease while the registry is unavailable to all hosts and no other holder
/// replies. The host that held the lease goes on; without it, `yields_to_lower` is set, and of the
/// hosts that reply, the one with the lowest name acts as holder. Two that act at the same time do
/// no harm.
async fn act_as_holder(state: &Rc<EntryState>, yields_to_lower: bool) {
    let answer = ask_for_holder(state, yields_to_lower).await;
    if answer != HolderAnswer::Unknown {
        if let HolderAnswer::Known(holder) = answer {
            *state.placement_holder.borrow_mut() = Some(holder);
        }
        return;
    }
    log::info!(
        event = "duty_acting", duty = PLACEMENT_LEASE;
        "registry unavailable; acting as placement holder without the lease"
    );
    let guard = HolderGuard::new(state);
    let mut answer = HolderAnswer::Unknown;
    while !state.is_leaving()
        && answer == HolderAnswer::Unknown
        && state.registry.records(RecordGroup::Leases).await.is_err()
    {
        sleep(RENEW_INTERVAL).await;
        answer = ask_for_holder(state, yields_to_lower).await;
    }
    drop(guard);
    if let HolderAnswer::Known(holder) = answer {
        *state.placement_holder.borrow_mut() = Some(holder);
    }
    log::info!(
        event = "duty_left", duty = PLACEMENT_LEASE; "no longer acting as placement holder"
    );
}

/// What other hosts say about the placement holder.
#[derive(Debug, PartialEq, Eq)]
enum HolderAnswer {
    /// Another host is the holder, or is to act as holder because its name is lower.
    Known(PlacementHolder),
    /// Another host can reach the registry and take the lease.
    Pending,
    /// No host that replies knows more than this one.
    Unknown,
}

/// Asks some hosts for the placement holder.
async fn ask_for_holder(state: &EntryState, yields_to_lower: bool) -> HolderAnswer {
    let own = &state.options.host;
    let peers: Vec<_> = {
        let peers = state.peers.borrow();
        peers.iter().map(|(name, peer)| (name.clone(), peer.address)).collect()
    };
    let mut asked: Vec<_> =
        peers.iter().filter(|(name, _)| name < own).take(MAX_ASKED_HOSTS).collect();
    let others = peers.iter().filter(|(name, _)| name > own);
    asked.extend(others.choose_multiple(&mut rand::rng(), MAX_ASKED_HOSTS));
    for (name, address) in asked {
        let Some(status) = peers::fetch_status(state, *address).await else { continue };
        let is_lower = yields_to_lower && name < own && status.is_serving;
        let may_take = status.is_serving && status.can_reach_registry;
        if let Some(holder) = status.holder().filter(|holder| holder.host != *own) {
            return HolderAnswer::Known(holder);
        }
        if may_take {
            return HolderAnswer::Pending;
        }
        if is_lower {
            return HolderAnswer::Known(PlacementHolder { host: name.clone(), address: *address });
        }
    }
    HolderAnswer::Unknown
}

/// Whether the registry was restored since it sent `version`. The lease of the former era is then
/// void, even if the restored copy or a late write names this host: another host may hold it.
fn is_other_era(state: &EntryState, version: RegistryVersion, newer: RegistryVersion) -> bool {
    state.record_registry_reply(newer);
    if newer.era == version.era {
        return false;
    }
    log::warn!(
        event = "duty_void", duty = PLACEMENT_LEASE, held:% = version, registry:% = newer;
        "registry was restored; the placement lease is void"
    );
    true
}

/// Version of the lease's record if it names this host.
async fn own_record_version(state: &EntryState) -> Result<Option<RegistryVersion>, RegistryError> {
    let (_, records) = state.registry.records(RecordGroup::Leases).await?;
    let record = lease_record(&records).filter(|record| {
        parse_holder(&record.text).is_some_and(|holder| holder.host == state.options.host)
    });
    Ok(record.map(|record| record.version))
}

/// The record of the placement lease among the records of all leases.
fn lease_record(records: &[RegistryRecord]) -> Option<&RegistryRecord> {
    records.iter().find(|record| &*record.name == PLACEMENT_LEASE)
}

fn own_holder(state: &EntryState) -> PlacementHolder {
    PlacementHolder { host: state.options.host.clone(), address: state.options.peer }
}

/// Text of the lease's record. It contains the version so that each renewal changes the record.
fn record_text(state: &EntryState, version: RegistryVersion) -> Box<str> {
    format!("{} {} {version}", state.options.host, state.options.peer).into()
}

/// Parses the holder from the text of the lease's record; none if the lease was released.
fn parse_holder(text: &str) -> Option<PlacementHolder> {
    let mut words = text.split(' ');
    let (host, address) = (words.next()?, words.next()?);
    Some(PlacementHolder { host: host.into(), address: address.parse().ok()? })
}
