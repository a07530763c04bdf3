//! Requests between hosts: load exchange with the holder of the placement lease or with a relay,
//! which also distributes the endpoint table, and registry snapshots for hosts that cannot reach
//! the registry.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode, Uri};
use jacinthrock::{HostName, MetricName};
use rand::Rng;
use rand::seq::IteratorRandom;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

use crate::down_reports::DownReport;
use crate::endpoints::{
    ChangeNumber, EndpointEntry, EndpointTable, EndpointUpdate, PeerUpdate, UnlistedNames,
};
use crate::exclusions::SharedExclusion;
use crate::follow::endpoints_changed;
use crate::forward;
use crate::front::serve_internal;
use crate::levels::update_levels;
use crate::loads::LoadSum;
use crate::poison::PoisonReport;
use crate::pool::{SendError, SendOptions, build_request};
use crate::rates::{PermitDraw, PermitGrant, SharedRate};
use crate::reach::{HeardAges, ReachReport};
use crate::relay::EXCHANGE_INTERVAL;
use crate::response::{ResponseBody, full_body};
use crate::rules::{RulesVersion, ServingRules};
use crate::sending;
use crate::shutdown::OtherHosts;
use crate::state::{EntryState, MAX_CONFIRMED_AGE, PlacementHolder};
use crate::version::{RegistryEra, RegistryRevision, RegistryVersion};

/// Path of a host's registry snapshot.
const SNAPSHOT_PATH: &str = "/knowledge";
/// Path of the load exchange.
const LOADS_PATH: &str = "/loads";
/// Path of a host's status.
const STATUS_PATH: &str = "/word";
/// Idle time after which a connection to another host is not reused.
const MAX_IDLE: Duration = Duration::from_secs(1);
/// Timeout of a request to another host.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of hosts that a stopping host asks whether they take calls.
const MAX_ASKED_HOSTS: usize = 8;
/// Time within which a host that starts asks others what they know, if it learns of any.
const START_TIME: Duration = Duration::from_secs(1);
/// Interval at which it looks for others to ask.
const START_ASK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum size of a host's load report, in bytes.
const MAX_REPORT_BYTES: usize = 1 << 20;

/// Maximum size of a reply of another host, in bytes: rules and the table of endpoints.
const MAX_REPLY_BYTES: usize = 4 << 20;

/// Load report of a host to the holder of the placement lease or to a relay.
#[derive(Debug, Serialize, Deserialize)]
struct HostReport {
    host: HostName,
    /// Load of the host and of the hosts that exchange through it.
    sum: LoadSum,
    /// `boot_id` of the other host, and the last change of its table that this host has seen.
    seen: Option<(u64, ChangeNumber)>,
    /// Endpoints that accept no work, as the host knows.
    #[serde(default)]
    excluded: Vec<SharedExclusion>,
    /// Endpoints that the host, or one that exchanges through it, has found down.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    down: Vec<DownReport>,
    /// Services that the host, or one that exchanges through it, cannot reach.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    unreachable: Vec<ReachReport>,
    /// When a relay has heard its members, while some host cannot reach a service.
    #[serde(default, skip_serializing_if = "HeardAges::is_empty")]
    heard: HeardAges,
    /// Time since an endpoint of any service last replied to the host, or to one that exchanges
    /// through it, in ms; none if that is long ago.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    reply_age_ms: Option<u64>,
    /// Evidence on prompt parts that crash endpoints.
    #[serde(default, skip_serializing_if = "PoisonReport::is_empty")]
    poison: PoisonReport,
    /// Rate limits of endpoints, as the host knows.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    rates: Vec<SharedRate>,
    /// Permits that the host draws for itself or for its group.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    draws: Vec<PermitDraw>,
}

/// Reply of the holder of the placement lease, or of a relay, to a load report.
#[derive(Debug, Serialize, Deserialize)]
struct HolderReply {
    total: LoadSum,
    /// Whether the total lacks the hosts outside the relay's group.
    #[serde(default)]
    is_partial: bool,
    /// Age of the part of the total that is from outside the relay's group, in ms.
    #[serde(default)]
    total_age_ms: u64,
    /// `boot_id` of the replying host; sequence numbers are valid only for the same one.
    boot: u64,
    /// Sequence number of the last change of its table.
    number: ChangeNumber,
    /// Revision and era of the registry that the table reflects.
    #[serde(rename = "version")]
    revision: RegistryRevision,
    #[serde(default)]
    era: RegistryEra,
    /// Time since the registry last confirmed the table, in ms.
    confirmed_ms: u64,
    /// Update of the endpoint table; none if the host is up to date.
    #[serde(rename = "news")]
    update: Option<EndpointUpdate>,
    /// With an update: entries of the table that the registry no longer lists.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    unlisted: UnlistedNames,
    /// The placement holder, and the time since its last exchange with the replying host, in ms;
    /// none if there was no recent one.
    #[serde(default)]
    holder: Option<(HostName, SocketAddr, u64)>,
    /// Endpoints that accept no work, as the replying host knows.
    #[serde(default)]
    excluded: Vec<SharedExclusion>,
    /// Endpoints that the replying host, or one that has told it, has found down.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    down: Vec<DownReport>,
    /// Services that the replying host, or one that has told it, cannot reach.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    unreachable: Vec<ReachReport>,
    /// When other hosts were heard of, for a host that reports services that it cannot reach.
    #[serde(default, skip_serializing_if = "HeardAges::is_empty")]
    heard: HeardAges,
    /// The newest rules that the replying host knows of.
    #[serde(default)]
    rules: Option<RulesReport>,
    /// Evidence on prompt parts that crash endpoints.
    #[serde(default, skip_serializing_if = "PoisonReport::is_empty")]
    poison: PoisonReport,
    /// Rate limits of endpoints, as the replying host knows.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    rates: Vec<SharedRate>,
    /// Permits for the host or for its group.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    grants: Vec<PermitGrant>,
}

/// The newest rules that a host knows of.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct RulesReport {
    version: RulesVersion,
    /// Time since the registry last confirmed that there are none newer, in ms.
    confirmed_ms: u64,
}

impl HolderReply {
    fn version(&self) -> RegistryVersion {
        RegistryVersion { era: self.era, revision: self.revision }
    }

    /// Whether the reply says anything recent about the other hosts or the registry.
    fn is_useful(&self) -> bool {
        let is_confirmed = Duration::from_millis(self.confirmed_ms) < MAX_CONFIRMED_AGE;
        is_confirmed || self.holder.is_some()
    }

    /// The placement holder with the time of its last exchange.
    fn heard_holder(&self, now: Instant) -> Option<(PlacementHolder, Instant)> {
        let (host, address, age_ms) = self.holder.clone()?;
        let at = now.checked_sub(Duration::from_millis(age_ms))?;
        Some((PlacementHolder { host, address }, at))
    }
}

/// Rules and endpoints, as a host last read them from the registry or from another host.
#[derive(Debug, Serialize, Deserialize)]
struct RegistrySnapshot {
    /// Revision and era at which the rules were read.
    #[serde(rename = "rules_version")]
    rules_revision: RegistryRevision,
    #[serde(default)]
    rules_era: RegistryEra,
    rules: Option<ServingRules>,
    /// Revision and era that the endpoints reflect.
    #[serde(rename = "endpoints_version")]
    endpoints_revision: RegistryRevision,
    #[serde(default)]
    endpoints_era: RegistryEra,
    endpoints: Vec<EndpointEntry>,
    /// Endpoints among them that the registry no longer lists.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    unlisted: UnlistedNames,
}

/// Fetches the registry snapshot of one other host, chosen at random, and applies what is newer.
pub(crate) async fn pull_from_peer(state: &EntryState) {
    let chosen = {
        let peers = state.peers.borrow();
        peers.iter().choose(&mut rand::rng()).map(|(name, peer)| (name.clone(), peer.address))
    };
    if let Some((name, address)) = chosen {
        pull_from(state, &name, address).await;
    }
}

/// Fetches the registry snapshot of the host that this one exchanges loads with, and applies what
/// is newer.
pub(crate) async fn pull_from_upstream(state: &EntryState) {
    let upstream = state.upstream_relay().or_else(|| {
        let holder = state.placement_holder.borrow().clone()?;
        Some((holder.host, holder.address))
    });
    if let Some((name, address)) = upstream.filter(|(name, _)| *name != state.options.host) {
        pull_from(state, &name, address).await;
    }
}

async fn pull_from(state: &EntryState, name: &HostName, address: SocketAddr) {
    match fetch(state, address, SNAPSHOT_PATH, Vec::new()).await {
        Ok(snapshot) => apply_snapshot(state, snapshot),
        Err(error) => {
            log::info!(
                event = "peer_silent", peer = &**name, error:% = error;
                "could not fetch the registry snapshot of a peer"
            );
        }
    }
}

/// Exchanges loads with the holder of the placement lease, or with a relay, until the process ends.
pub(crate) async fn exchange_loads(state: Rc<EntryState>) {
    let mut seen: Option<TablePosition> = None;
    loop {
        sleep(EXCHANGE_INTERVAL).await;
        issue_own_share(&state);
        update_levels(&state);
        if state.is_holder() {
            seen = None;
            apply_own_total(&state);
            continue;
        }
        // A relay that fails is replaced at once; the holder itself is asked again later.
        while let Some((relay, address)) = state.upstream_relay() {
            if exchange_with(&state, &relay, address, &mut seen).await {
                break;
            }
            state.relay_picker.borrow_mut().record_failure(relay, Instant::now());
        }
        if state.upstream_relay().is_some() {
            continue;
        }
        let holder = state.placement_holder.borrow().clone();
        if let Some(PlacementHolder { host, address }) =
            holder.filter(|holder| holder.host != state.options.host)
        {
            exchange_with(&state, &host, address, &mut seen).await;
        }
    }
}

/// The last change that this host has seen of another host's table.
struct TablePosition {
    host: HostName,
    boot: u64,
    number: ChangeNumber,
}

/// On the holder of the placement lease: takes the total over its members and itself.
fn apply_own_total(state: &EntryState) {
    let (own, now) = (state.own_load(), Instant::now());
    let total = state.relay_loads.borrow_mut().group_total(&own, now);
    state.peer_loads.borrow_mut().update(total, own, state.host_count(), now);
    update_levels(state);
    state.holder_heard.set(Some(now));
    let draws = state.rates.borrow_mut().draws(now);
    let grants = draw_permits(state, &state.options.host, &draws);
    take_grants(state, &grants, false);
    state.update_retry_share();
    state.wake_queue();
}

/// Lets this host send its share to endpoints with a rate limit while it does not hear the holder,
/// from which hosts draw their permits.
fn issue_own_share(state: &EntryState) {
    if state.has_heard_holder() {
        state.rates.borrow_mut().end_share();
    } else if !state.peers.borrow().is_empty() {
        let draw = rand::rng().random_range(0.0..1.0);
        state.rates.borrow_mut().issue_share(state.host_count(), draw, Instant::now());
        state.path_changed.notify_waiters();
    }
}

/// Gives a host permits from the pools of this host, which the holder fills.
fn draw_permits(state: &EntryState, host: &HostName, draws: &[PermitDraw]) -> Vec<PermitGrant> {
    let now = Instant::now();
    let (rates, mut pools) = (state.rates.borrow(), state.permits.borrow_mut());
    if state.is_holder() {
        rates.limits().for_each(|(endpoint, per_s)| pools.issue(endpoint, per_s, now));
    }
    let grants = draws.iter().filter_map(|draw| {
        let rounding = rand::rng().random_range(0.0..1.0);
        pools.draw(host, draw, rounding, now)
    });
    grants.collect()
}

/// Permits that a host draws from the holder or from its relay; a relay draws for its group, with
/// itself as a member.
fn upstream_draws(state: &EntryState, has_members: bool) -> Vec<PermitDraw> {
    let now = Instant::now();
    let draws = state.rates.borrow_mut().draws(now);
    if !has_members {
        return draws;
    }
    let grants = draw_permits(state, &state.options.host, &draws);
    take_grants(state, &grants, false);
    state.permits.borrow_mut().draws(now)
}

fn apply_rates(state: &EntryState, rates: &[SharedRate]) {
    for shared in rates {
        let change = state.rates.borrow_mut().apply(shared, Instant::now());
        state.note_rate(&shared.endpoint, "host", change);
    }
}

/// Exchanges loads with one host; returns whether its reply was of use.
async fn exchange_with(
    state: &EntryState,
    host: &HostName,
    address: SocketAddr,
    seen: &mut Option<TablePosition>,
) -> bool {
    let own = state.own_load();
    let group = state.relay_loads.borrow_mut().group_total(&own, Instant::now());
    let known = seen.take().filter(|position| position.host == *host);
    let has_members = state.relay_loads.borrow_mut().has_members(Instant::now());
    let draws = upstream_draws(state, has_members);
    let report = HostReport {
        host: state.options.host.clone(),
        sum: group,
        seen: known.map(|position| (position.boot, position.number)),
        excluded: state.exclusions.borrow().shared(Instant::now()),
        down: down_reports(state, has_members),
        unreachable: reach_reports(state, has_members),
        heard: if has_members { heard_ages(state, true) } else { HeardAges::new() },
        reply_age_ms: state.takeover.borrow().reply_age(Instant::now()).map(whole_ms),
        poison: state.poison.borrow_mut().report(Instant::now()),
        rates: state.rates.borrow().shared(Instant::now()),
        draws,
    };
    let partner = PlacementHolder { host: host.clone(), address };
    let reply = match serde_json::to_vec(&report) {
        Ok(body) => fetch::<HolderReply>(state, address, LOADS_PATH, body).await,
        Err(error) => Err(FetchError::Invalid(error)),
    };
    match reply {
        Ok(mut reply) => {
            state.takeover.borrow_mut().record_reply(&partner, reply.boot);
            let is_useful = reply.is_useful();
            apply_rates(state, &reply.rates);
            apply_reach(state, host, std::mem::take(&mut reply.unreachable));
            apply_heard(state, host, std::mem::take(&mut reply.heard));
            take_grants(state, &reply.grants, has_members);
            let position =
                TablePosition { host: host.clone(), boot: reply.boot, number: reply.number };
            *seen = apply_reply(state, own, &report.sum, reply).then_some(position);
            is_useful
        }
        Err(error) => {
            log::info!(
                event = "peer_silent", peer = &**host, error:% = error;
                "could not exchange loads with a peer"
            );
            if error.is_refused() {
                record_refused(state, &partner);
            }
            false
        }
    }
}

/// Records that the address of a host refused the connection of an exchange; the placement holder
/// is replaced once that shows that its process has ended.
fn record_refused(state: &EntryState, partner: &PlacementHolder) {
    let has_ended = state.takeover.borrow_mut().record_refused(partner, Instant::now());
    if has_ended && state.placement_holder.borrow().as_ref() == Some(partner) {
        state.holder_ended.notify_one();
    }
}

/// Takes permits that this host has drawn, for itself or as a relay for its group.
fn take_grants(state: &EntryState, grants: &[PermitGrant], is_for_group: bool) {
    let now = Instant::now();
    if !grants.is_empty() {
        state.path_changed.notify_waiters();
    }
    for grant in grants {
        state.metrics.add(MetricName::RatePermits, &["granted"], i64::from(grant.permits));
        if is_for_group {
            state.permits.borrow_mut().add(grant, now);
        } else {
            state.rates.borrow_mut().grant(grant, now);
        }
    }
}

/// Applies a reply to a load report; returns whether this host's table is now up to date with the
/// other host's. `reported` is the load that the report contained.
fn apply_reply(state: &EntryState, own: LoadSum, reported: &LoadSum, reply: HolderReply) -> bool {
    let now = Instant::now();
    let version = reply.version();
    state.observe_version(version);
    let heard = reply.heard_holder(now);
    if let Some((holder, at)) = heard {
        state.holder_heard.set(state.holder_heard.get().max(Some(at)));
        if !state.is_holder() {
            *state.placement_holder.borrow_mut() = Some(holder);
        }
    }
    if !reply.is_partial {
        state.relay_loads.borrow_mut().record_total(reply.total.clone(), reported, now);
        {
            let mut loads = state.peer_loads.borrow_mut();
            loads.update(reply.total, own, state.host_count(), now);
            loads.set_total_age(Duration::from_millis(reply.total_age_ms));
        }
        update_levels(state);
    }
    let age = Duration::from_millis(reply.confirmed_ms);
    let is_confirmed = age < MAX_CONFIRMED_AGE;
    let has_update = reply.update.is_some();
    let is_current = reply.update.is_none_or(|update| {
        let update = PeerUpdate { update, unlisted: reply.unlisted };
        let mut endpoints = state.endpoints.borrow_mut();
        let is_applied = endpoints.apply_update(version, update, is_confirmed, now);
        log_unrestored(&mut endpoints, version);
        is_applied
    });
    state.holder_confirmed.set(now.checked_sub(age).filter(|_| is_current));
    if has_update && is_current {
        log::info!(
            event = "endpoints", registry:% = version, source = "holder";
            "applied endpoint changes"
        );
        endpoints_changed(state);
    }
    if let Some(report) = reply.rules {
        let confirmed = now.checked_sub(Duration::from_millis(report.confirmed_ms));
        let mut freshness = state.rules_freshness.borrow_mut();
        freshness.record_peer(state.rules_number(), report.version, confirmed, now);
    }
    apply_exclusions(state, reply.excluded);
    apply_down_reports(state, reply.down);
    apply_poison(state, reply.poison);
    state.update_retry_share();
    state.wake_queue();
    is_current
}

fn log_unrestored(endpoints: &mut EndpointTable, version: RegistryVersion) {
    let names = endpoints.take_unrestored();
    if !names.is_empty() {
        log::info!(
            event = "endpoints_not_restored", registry:% = version, names:?;
            "did not take endpoints of a peer's table whose removal this host has read"
        );
    }
}

fn apply_exclusions(state: &EntryState, exclusions: Vec<SharedExclusion>) {
    let mut table = state.exclusions.borrow_mut();
    table.apply(exclusions, |name| state.endpoint(name), Instant::now());
}

/// Endpoints that this host has found down; with what it has heard, if others learn of it through
/// this host.
fn down_reports(state: &EntryState, passes_on: bool) -> Vec<DownReport> {
    state.down_table.borrow().reports(passes_on, state.host_count(), Instant::now())
}

fn apply_down_reports(state: &EntryState, reports: Vec<DownReport>) {
    let mut table = state.down_table.borrow_mut();
    let taken =
        table.apply(reports, |name| state.endpoint(name), state.host_count(), Instant::now());
    if taken.is_empty() {
        return;
    }
    state.metrics.add(MetricName::Ejections, &["reported_down"], taken.len() as i64);
    log::info!(
        event = "endpoints_reported_down", endpoints:? = taken;
        "other hosts have found endpoints down; avoiding them"
    );
}

/// Services that this host cannot reach; with what it has heard, if others learn of it through this
/// host.
fn reach_reports(state: &EntryState, passes_on: bool) -> Vec<ReachReport> {
    state.reach.borrow().reports(&state.options.host, passes_on, Instant::now())
}

fn apply_reach(state: &EntryState, from: &HostName, reports: Vec<ReachReport>) {
    state.reach.borrow_mut().apply(&state.options.host, from, reports, Instant::now());
}

/// When this host has heard of others, while some host cannot reach a service.
fn heard_ages(state: &EntryState, is_direct_only: bool) -> HeardAges {
    let draw = rand::rng().random_range(0.0..1.0);
    state.reach.borrow().heard_ages(is_direct_only, draw, Instant::now())
}

/// Records that `from` has exchanged loads with this host, and takes when it has heard of others.
fn apply_heard(state: &EntryState, from: &HostName, ages: HeardAges) {
    let (mut reach, now) = (state.reach.borrow_mut(), Instant::now());
    reach.record_heard(from, now);
    reach.apply_heard(&state.options.host, ages, now);
}

fn apply_poison(state: &EntryState, report: PoisonReport) {
    if !report.is_empty() {
        state.change_poison(|table, now| table.apply(report, now));
    }
}

/// Status of a host, with the placement holder if it knows of one.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct HostStatus {
    /// Whether the host is not shutting down.
    pub(crate) is_serving: bool,
    /// Time until the host exits, in ms, if it is shutting down.
    #[serde(default)]
    exit_ms: Option<u64>,
    /// Whether the registry replies to the host, so that it can take the placement lease.
    #[serde(default)]
    pub(crate) can_reach_registry: bool,
    /// The holder whose replies the host receives, or the host itself, with its address.
    holder: Option<(HostName, SocketAddr)>,
    /// Evidence on prompt parts that crash endpoints.
    #[serde(default, skip_serializing_if = "PoisonReport::is_empty")]
    poison: PoisonReport,
    /// Rate limits of endpoints.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    rates: Vec<SharedRate>,
}

impl HostStatus {
    /// The placement holder that the host knows of.
    pub(crate) fn holder(self) -> Option<PlacementHolder> {
        self.holder.map(|(host, address)| PlacementHolder { host, address })
    }
}

/// Fetches the status of another host; none if it does not reply.
pub(crate) async fn fetch_status(state: &EntryState, address: SocketAddr) -> Option<HostStatus> {
    fetch(state, address, STATUS_PATH, Vec::new()).await.ok()
}

/// Fetches the status of some other hosts, those of this host's failure domain first.
async fn fetch_statuses(state: &EntryState) -> Vec<HostStatus> {
    let mut peers: Vec<_> = state.peers.borrow().values().cloned().collect();
    peers.sort_by_key(|peer| peer.domain != state.options.domain);
    let asked = peers.iter().take(MAX_ASKED_HOSTS);
    let statuses = asked.map(|peer| fetch_status(state, peer.address));
    futures::future::join_all(statuses).await.into_iter().flatten().collect()
}

/// Takes over what other hosts know of prompt parts that crash endpoints and of rate limits, before
/// this host takes calls. Loads are exchanged only once a placement holder is known.
pub(crate) async fn learn_at_start(state: Rc<EntryState>) {
    let until = Instant::now() + START_TIME;
    while Instant::now() < until {
        let statuses = fetch_statuses(&state).await;
        let is_answered = !statuses.is_empty();
        for status in statuses {
            apply_poison(&state, status.poison);
            apply_rates(&state, &status.rates);
        }
        if is_answered {
            break;
        }
        sleep(START_ASK_INTERVAL).await;
    }
    state.has_asked_hosts.set(true);
}

/// Asks some other hosts whether they take calls, those of this host's failure domain first.
pub(crate) async fn other_hosts(state: &EntryState) -> OtherHosts {
    let statuses = fetch_statuses(state).await;
    if statuses.iter().any(|status| status.is_serving) {
        return OtherHosts::Serve;
    }
    let first = statuses.iter().filter_map(|status| status.exit_ms).min();
    OtherHosts::Stop(first.map(|ms| Instant::now() + Duration::from_millis(ms)))
}

fn own_status(state: &EntryState) -> HostStatus {
    let knows_holder = state.is_following_holder() || state.is_holder();
    let holder = state.placement_holder.borrow().clone().filter(|_| knows_holder);
    HostStatus {
        is_serving: !state.is_leaving(),
        exit_ms: state
            .stop_plan
            .get()
            .map(|plan| whole_ms(plan.exit().saturating_duration_since(Instant::now()))),
        // A host that has released the lease does not take it, so that others may act as holder.
        can_reach_registry: state.can_reach_registry() && !state.takeover.borrow().is_barred(),
        holder: holder.map(|holder| (holder.host, holder.address)),
        poison: state.poison.borrow_mut().report(Instant::now()),
        rates: state.rates.borrow().shared(Instant::now()),
    }
}

/// Why a request to another host failed.
#[derive(Debug, thiserror::Error)]
enum FetchError {
    /// There was no complete reply.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The request or its reply could not be encoded or decoded.
    #[error(transparent)]
    Invalid(#[from] serde_json::Error),
}

impl FetchError {
    /// Whether nothing listens at the address.
    fn is_refused(&self) -> bool {
        matches!(self, Self::Send(SendError::NotSent { is_refused: true, .. }))
    }
}

async fn fetch<T: DeserializeOwned>(
    state: &EntryState,
    address: SocketAddr,
    path: &'static str,
    body: Vec<u8>,
) -> Result<T, FetchError> {
    let host = HeaderValue::from_static("peer");
    let request = build_request(Method::POST, Uri::from_static(path), host, body);
    let options = SendOptions {
        max_body_bytes: MAX_REPLY_BYTES,
        ..SendOptions::within(PEER_TIMEOUT, MAX_IDLE)
    };
    let (_, body) = sending::fetch(state, "peer", address, request, options).await?;
    Ok(serde_json::from_slice(&body)?)
}

fn apply_snapshot(state: &EntryState, snapshot: RegistrySnapshot) {
    if let Some(rules) = snapshot.rules {
        let version =
            RegistryVersion { era: snapshot.rules_era, revision: snapshot.rules_revision };
        state.apply_rules(version, rules, "peer");
    }
    let version =
        RegistryVersion { era: snapshot.endpoints_era, revision: snapshot.endpoints_revision };
    state.observe_version(version);
    let mut endpoints = state.endpoints.borrow_mut();
    if version > endpoints.version() {
        log::info!(
            event = "endpoints", registry:% = version, source = "peer";
            "applied the endpoints of a peer"
        );
        let (entries, unlisted) = (snapshot.endpoints, snapshot.unlisted);
        endpoints.replace_from_snapshot(version, entries, unlisted, Instant::now());
        log_unrestored(&mut endpoints, version);
        drop(endpoints);
        endpoints_changed(state);
    }
}

/// Serves requests from other hosts.
pub(crate) async fn serve(state: Rc<EntryState>, listener: TcpListener) {
    let open = state.open_answers.clone();
    serve_internal(listener, "peer", open, move |request| respond(state.clone(), request)).await;
}

async fn respond(
    state: Rc<EntryState>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, serde_json::Error> {
    if forward::is_forwarded(&request) {
        return Ok(forward::receive(state, request).await);
    }
    if request.uri().path() == SNAPSHOT_PATH {
        return snapshot(&state).map(|text| Response::new(full_body(text)));
    }
    if request.uri().path() == STATUS_PATH {
        let status = serde_json::to_vec(&own_status(&state));
        return status.map(|text| Response::new(full_body(text)));
    }
    let body = Limited::new(request.into_body(), MAX_REPORT_BYTES).collect().await;
    let report = body.map(|body| serde_json::from_slice::<HostReport>(&body.to_bytes()));
    let Ok(Ok(report)) = report else {
        let mut response = Response::new(full_body(""));
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return Ok(response);
    };
    serde_json::to_vec(&reply_to(&state, report)).map(|text| Response::new(full_body(text)))
}

/// Reply to another host's load report.
fn reply_to(state: &EntryState, report: HostReport) -> HolderReply {
    let now = Instant::now();
    let is_holder = state.is_holder();
    apply_exclusions(state, report.excluded);
    apply_down_reports(state, report.down);
    let has_lost_links = !report.unreachable.is_empty();
    apply_reach(state, &report.host, report.unreachable);
    apply_heard(state, &report.host, report.heard);
    if let Some(age_ms) = report.reply_age_ms {
        state.takeover.borrow_mut().record_other_reply(Duration::from_millis(age_ms), now);
    }
    apply_poison(state, report.poison);
    apply_rates(state, &report.rates);
    let grants = draw_permits(state, &report.host, &report.draws);
    let own = state.own_load();
    let total = {
        let mut loads = state.relay_loads.borrow_mut();
        loads.exchange(report.host, report.sum, &own, is_holder, now)
    };
    let endpoints = state.endpoints.borrow();
    let seen = report.seen.filter(|(boot, _)| *boot == state.boot_id).map(|(_, number)| number);
    let (number, update) = endpoints.update_since(seen);
    // Hosts must not rely on the table of one that is shutting down, nor on that of one that has
    // released the lease: they look for a new holder only once no table is confirmed.
    let has_released = state.takeover.borrow().is_barred() && !state.is_following_holder();
    let confirmed = state.table_confirmed().filter(|_| !state.is_leaving() && !has_released);
    let age = confirmed.map_or(Duration::MAX, |at| now.saturating_duration_since(at));
    let holder = state.placement_holder.borrow().clone().filter(|_| state.has_heard_holder());
    let heard = state.holder_heard.get().unwrap_or(now);
    let version = endpoints.version();
    HolderReply {
        is_partial: total.is_none(),
        total_age_ms: if is_holder {
            0
        } else {
            whole_ms(state.relay_loads.borrow().total_age(now))
        },
        total: total.unwrap_or_default(),
        boot: state.boot_id,
        number,
        revision: version.revision,
        era: version.era,
        confirmed_ms: whole_ms(age),
        unlisted: update.is_some().then(|| endpoints.unlisted()),
        update,
        holder: holder.map(|holder| {
            let age = now.saturating_duration_since(heard);
            (holder.host, holder.address, whole_ms(age))
        }),
        excluded: state.exclusions.borrow().shared(Instant::now()),
        down: down_reports(state, true),
        unreachable: reach_reports(state, true),
        heard: if has_lost_links { heard_ages(state, false) } else { HeardAges::new() },
        rules: rules_report(state, now),
        poison: state.poison.borrow_mut().report(now),
        rates: state.rates.borrow().shared(now),
        grants,
    }
}

/// The newest rules that this host knows of; none while it shuts down.
fn rules_report(state: &EntryState, now: Instant) -> Option<RulesReport> {
    let freshness = state.rules_freshness.borrow();
    let confirmed = freshness.confirmed().filter(|_| !state.is_leaving())?;
    let age = now.saturating_duration_since(confirmed);
    Some(RulesReport {
        version: freshness.newest(state.rules_number()),
        confirmed_ms: whole_ms(age),
    })
}

fn whole_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn snapshot(state: &EntryState) -> Result<Vec<u8>, serde_json::Error> {
    let endpoints = state.endpoints.borrow();
    let (rules_version, endpoints_version) = (state.rules_version(), endpoints.version());
    serde_json::to_vec(&RegistrySnapshot {
        rules_revision: rules_version.revision,
        rules_era: rules_version.era,
        rules: state.rules().map(|rules| rules.rules().clone()),
        endpoints_revision: endpoints_version.revision,
        endpoints_era: endpoints_version.era,
        endpoints: endpoints.entries().cloned().collect(),
        unlisted: Some(endpoints.unlisted()),
    })
}
