//! The placement lease, whose holder plans the layout and orders endpoints to hold layers.
//!
//! The holder renews a record in the registry, and another host takes over when the renewals stop.
//! Two holders at the same time do no harm: each order states how many orders the endpoint must
//! have accepted before, so that one of two concurrent orders fails.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use jacinthrock::{MetricName, ServiceName};
use rand::Rng;
use rand::seq::IteratorRandom;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::adapter::{RecordGroup, RegistryError, RegistryRecord};
use crate::endpoints::LayerSpan;
use crate::forward::probe_service;
use crate::peers;
use crate::placement::run_planner;
use crate::state::{EntryState, PlacementHolder};
use crate::takeover::{LeaseInputs, LeaseText, TAKEOVER_AFTER, TakeReason};
use crate::version::RegistryVersion;

/// Name of the lease and of its record in the registry.
const PLACEMENT_LEASE: &str = "placement";
/// Interval between two renewals of the lease.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_000);
/// Pause before a renewal is tried again, short enough for several tries before the lease runs out,
/// or before this host looks again at the lease of a process that has ended.
const RENEW_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Interval between two checks that the holder still replies to this host's load reports.
const HOLDER_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two checks that the holder still reaches endpoints.
const LINK_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a holder that has lost a service probes services of which it knows nothing.
const LINK_PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time since the start of its last renewal after which a holder stops placing, shorter than the
/// time after which others take over.
const LEASE_TIME: Duration = Duration::from_millis(2_300);
/// Time over which the weakest hosts spread their attempts to take the lease.
const TAKE_SPREAD: Duration = Duration::from_millis(500);
/// The same for the lease of a holder that has ended. Hosts find that out over 200 ms as they
/// exchange loads, and the lease must be held within a second of the end.
const ENDED_TAKE_SPREAD: Duration = Duration::from_millis(150);
/// Capacity of a host that waits for the whole spread: an eighth of a core.
const WEAK_CAPACITY: f64 = 125.0;
/// Most hosts with a lower name, and most with a higher one, that a host asks for the holder before
/// it acts as holder itself.
const MAX_ASKED_HOSTS: usize = 3;
/// Acquires the lease whenever no other host holds it, until the process ends.
pub(crate) async fn run(state: Rc<EntryState>) {
    let mut unavailable_since: Option<Instant> = None;
    // Text of a write whose reply was lost.
    let mut unanswered: Option<Box<str>> = None;
    loop {
        if state.is_following_holder() && !has_holder_ended(&state) {
            // The holder replies, so that no takeover is needed.
            wait_for_holder_end(&state, HOLDER_CHECK_INTERVAL).await;
            if state.is_following_holder() && !has_holder_ended(&state) {
                continue;
            }
        }
        let found = match state.registry.records(RecordGroup::Leases).await {
            // A stale reply may show the registry before it was restored.
            Ok((listed, _)) if listed.era < state.registry_era() => None,
            Ok((listed, records)) => {
                unavailable_since = None;
                find_reason(&state, listed, &records, unanswered.as_deref())
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
        let may_take = !state.is_leaving() && state.rules().is_some() && !is_barred(&state);
        if let Some((version, reason)) = found.filter(|_| may_take)
            && is_still_free(&state, version, reason).await
        {
            unanswered = take_lease(&state, version, reason).await;
        }
        let is_own = found.is_some_and(|(_, reason)| reason == TakeReason::OwnRecord);
        let is_urgent = is_own || has_holder_ended(&state);
        // In a longer outage, hosts ask the registry as rarely as they do without an ended holder.
        let is_away = unavailable_since.is_some_and(|at| at.elapsed() >= RENEW_INTERVAL);
        let pause = if is_urgent && !is_away { RENEW_RETRY_PAUSE } else { RENEW_INTERVAL };
        wait_for_holder_end(&state, pause).await;
    }
}

/// Whether exchanges show that the process of the placement holder has ended.
fn has_holder_ended(state: &EntryState) -> bool {
    let holder = state.placement_holder.borrow();
    let has_ended = |it: &PlacementHolder| state.takeover.borrow().has_ended(it, Instant::now());
    holder.as_ref().is_some_and(has_ended)
}

/// Waits until the process of the placement holder is found to have ended, but not for longer than
/// a limit.
async fn wait_for_holder_end(state: &EntryState, limit: Duration) {
    let _ = timeout(limit, state.holder_ended.notified()).await;
}

/// Records what the registry lists, and returns whether this host may take the lease: over which
/// version, and why.
fn find_reason(
    state: &EntryState,
    listed: RegistryVersion,
    records: &[RegistryRecord],
    unanswered: Option<&str>,
) -> Option<(Option<RegistryVersion>, TakeReason)> {
    state.record_registry_reply(listed);
    let record = lease_record(records);
    *state.placement_holder.borrow_mut() = record.and_then(|record| parse_holder(&record.text));
    let inputs = LeaseInputs {
        era: listed.era,
        record,
        own: &own_holder(state),
        boot_id: state.boot_id,
        unanswered,
        may_be_restored: may_be_restored(state),
        hears_holder: state.has_heard_holder(),
    };
    let reason = state.takeover.borrow_mut().take_reason(inputs, Instant::now());
    reason.map(|reason| (record.map(|record| record.version), reason))
}

/// Takes the lease over a version of its record, and holds it until it is lost. Returns the text of
/// a write whose reply was lost.
async fn take_lease(
    state: &Rc<EntryState>,
    version: Option<RegistryVersion>,
    reason: TakeReason,
) -> Option<Box<str>> {
    // The text names the era, which shows after a restore that the record is of a former one.
    let first = RegistryVersion { era: state.registry_era(), revision: 0 };
    let text = record_text(state, version.unwrap_or(first));
    let taken = state.registry.write_record(
        RecordGroup::Leases,
        PLACEMENT_LEASE.into(),
        version,
        text.clone(),
    );
    match taken.await {
        Ok(version) => {
            state.record_registry_reply(version);
            state.takeover.borrow_mut().record_taken(reason, Instant::now());
            let end = hold_lease(state, version, reason).await;
            if end == LeaseEnd::Unreachable {
                act_as_holder(state, false).await;
            }
            None
        }
        Err(RegistryError::Ambiguous(error)) => {
            log::info!(
                event = "duty_unconfirmed", duty = PLACEMENT_LEASE, reason = &*error;
                "no reply to the write of the placement lease"
            );
            Some(text)
        }
        Err(error) => {
            log::info!(
                event = "duty_untaken", duty = PLACEMENT_LEASE, reason = reason.name(),
                error:% = error; "could not acquire the placement lease"
            );
            None
        }
    }
}

/// Waits for a random time, shorter on hosts with more capacity, and returns whether no host has
/// taken the lease meanwhile. All hosts find a lapsed lease at about the same time. A host does not
/// wait before it takes its own record, since its write fails if another host was faster.
async fn is_still_free(
    state: &EntryState,
    version: Option<RegistryVersion>,
    reason: TakeReason,
) -> bool {
    let spread = match reason {
        TakeReason::OwnRecord => return true,
        TakeReason::HolderEnded => ENDED_TAKE_SPREAD,
        TakeReason::Free | TakeReason::Lapsed => TAKE_SPREAD,
    };
    let weakness = (WEAK_CAPACITY / f64::from(state.options.capacity.max(1))).min(1.0);
    let draw = rand::rng().random_range(0.0..1.0);
    sleep(spread.mul_f64(weakness * draw)).await;
    if reason == TakeReason::HolderEnded && !has_holder_ended(state) {
        return false;
    }
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
    /// This host reaches no endpoint, and another one does.
    Unreached,
}

/// Waits for a pause and renews the lease.
async fn renew(state: &Rc<EntryState>, version: RegistryVersion, pause: Duration) -> LeaseRenewal {
    // The rules and endpoints that this host follows may show a restore before a renewal does.
    let restored = tokio::select! {
        () = state.registry_restored.notified() => true,
        () = endpoints_unreached(state) => return LeaseRenewal::Unreached,
        () = sleep(pause) => false,
    };
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
async fn hold_lease(
    state: &Rc<EntryState>,
    mut version: RegistryVersion,
    reason: TakeReason,
) -> LeaseEnd {
    log::info!(
        event = "duty_taken", duty = PLACEMENT_LEASE, version:% = version, reason = reason.name();
        "acquired the placement lease"
    );
    state.metrics.set(MetricName::LeaseHeld, &[], 1);
    let guard = HolderGuard::new(state);
    let mut renewed = Instant::now();
    let mut end = LeaseEnd::Lost;
    let mut pause = RENEW_INTERVAL;
    let mut is_unreached = false;
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
            LeaseRenewal::Unreached => {
                is_unreached = true;
                break;
            }
        }
    }
    guard.planning.abort();
    if is_unreached {
        state.takeover.borrow_mut().record_released();
        log::warn!(
            event = "duty_released", duty = PLACEMENT_LEASE, reason = "no_endpoint_reached";
            "this host reaches no endpoint and another one does; releasing the placement lease"
        );
    }
    if is_unreached || state.is_leaving() {
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

/// Waits until this host, as the holder, has reached no endpoint for some time while another host
/// reaches some.
async fn endpoints_unreached(state: &Rc<EntryState>) {
    let mut probed = Instant::now();
    loop {
        let is_doubtful = check_links(state);
        // Without the registry, no other host could take the lease.
        if state.takeover.borrow().should_release(Instant::now()) && state.can_reach_registry() {
            return;
        }
        if is_doubtful && probed.elapsed() >= LINK_PROBE_INTERVAL {
            probed = Instant::now();
            probe_other_services(state);
        }
        sleep(LINK_CHECK_INTERVAL).await;
    }
}

/// Services that have endpoints.
fn listed_services(state: &EntryState) -> BTreeSet<ServiceName> {
    state.endpoints.borrow().entries().map(|entry| entry.service.clone()).collect()
}

/// Records whether this host has lost all services that have endpoints; returns whether it has lost
/// any.
fn check_links(state: &EntryState) -> bool {
    let (reach, now) = (state.reach.borrow(), Instant::now());
    let services = listed_services(state);
    let lost = services.iter().filter(|service| reach.is_lost(service, now)).count();
    state.takeover.borrow_mut().record_links(lost > 0 && lost == services.len(), now);
    lost > 0
}

/// Probes endpoints of services without failed connections. A host without callers of a service does
/// not know whether it reaches it.
fn probe_other_services(state: &Rc<EntryState>) {
    let mut services = listed_services(state);
    services.retain(|service| !state.reach.borrow().is_doubtful(service));
    services.iter().for_each(|service| probe_service(state, service));
}

/// Whether this host has released the lease since it reached no endpoint, and still reaches none.
fn is_barred(state: &EntryState) -> bool {
    check_links(state);
    state.takeover.borrow().is_barred()
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

/// Text of the lease's record as this process writes it over the one of a version.
fn record_text(state: &EntryState, version: RegistryVersion) -> Box<str> {
    LeaseText::format(&own_holder(state), version, state.boot_id)
}

/// Parses the holder from the text of the lease's record; none if the lease was released.
fn parse_holder(text: &str) -> Option<PlacementHolder> {
    LeaseText::parse(text).map(|lease| lease.holder)
}
