//! Candidates for the stages of a path, from what a host knows of its endpoints.
//!
//! Hosts learn of one another's loads once per exchange, and thousands of streams choose their paths
//! between two exchanges. Each candidate therefore counts the loads of all hosts, as estimated since
//! the last exchange, and its cost varies a little from stream to stream. Endpoints that are full,
//! that have just refused a stream or take no request at present get no stream to start.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

use jacinthrock::EndpointName;
use tokio::time::Instant;

use crate::down_reports::DownTable;
use crate::endpoints::{EndpointEntry, EndpointTable};
use crate::exclusions::ExclusionTable;
use crate::expiry::ExpiringFlags;
use crate::health::HealthTable;
use crate::inflight::StageLoad;
use crate::loads::{LoadCursor, LoadMap, PeerLoads};
use crate::notices::EndpointNotices;
use crate::path::{PathStage, StageView, first_gap};
use crate::rates::RateTable;
use crate::relay::{EXCHANGE_INTERVAL, spread_time};
use crate::rules::EngineProfile;

/// Cost of a stage that is suspected to be down, in ms per token: more than a whole path over other
/// cards.
const SUSPECT_COST_MS: f64 = 40.0;
/// Maximum random increase of a stage's cost per stream, at the shortest load exchange interval.
/// Without jitter, hosts that know the same load totals all choose the same path until the next
/// exchange.
const COST_JITTER: f64 = 0.1;
/// Upper bound on the jitter, which grows with the load exchange interval.
const MAX_COST_JITTER: f64 = 0.5;
/// Ratio of the crossing quotas of all hosts together to the capacity of the inter-domain link;
/// above 1, since few hosts use theirs at the same time. 0.75 kept streams from free paths when one
/// domain had lost endpoints. Link quotas have no such factor: when all domains were short of room,
/// all hosts used theirs at the same time, and 3.8 times the capacity was in use.
const QUOTA_OVERCOMMIT_RATIO: f64 = 2.0;
/// Size, in mean streams of the service, up to which a stream counts against its host's link quota.
/// Callers state the size: without a bound, one call of 20,000 tokens would keep all streams of its
/// host from crossing for minutes.
const MAX_COUNTED_SIZE: u32 = 4;
/// Maximum share of a stage's KV cache, and of a first stage's slots, that streams may take.
pub(crate) const MAX_OCCUPANCY: f64 = 0.95;

/// Most holders of a layer that an explanation names. With thousands of endpoints, a layer has
/// hundreds, and the explanation is part of each refusal and of its log line.
pub(crate) const MAX_NAMED_HOLDERS: usize = 16;

/// Requirements for a path.
#[derive(Clone, Copy, Debug)]
pub struct PathQuery<'a> {
    /// Service whose model is to run.
    pub service: &'a str,
    /// Expected maximum number of tokens of the stream.
    pub tokens: u32,
    /// Endpoints at which the path may start, or `None` for any.
    pub starts: Option<&'a BTreeSet<EndpointName>>,
    /// Endpoints to avoid.
    pub avoid: &'a BTreeSet<EndpointName>,
    /// Whether a path may also start at endpoints that take no request at present.
    pub ignores_rates: bool,
}

/// What a host knows of the endpoints when it searches for a path.
#[derive(Clone, Copy, Debug)]
pub struct RoutingView<'a> {
    /// Failure domain of the host.
    pub domain: &'a str,
    /// Number of entry hosts, including the searching one.
    pub hosts: usize,
    /// Number of entry hosts in the host's failure domain, including the searching one.
    pub domain_hosts: u32,
    /// Endpoints listed by the registry.
    pub endpoints: &'a EndpointTable,
    /// Health of endpoints as observed by the host.
    pub health: &'a HealthTable,
    /// Endpoints that accept no work although the registry lists them.
    pub exclusions: &'a ExclusionTable,
    /// Endpoints that another host has found down.
    pub down_table: &'a DownTable,
    /// What endpoints have said of themselves.
    pub notices: &'a EndpointNotices,
    /// Rate limits of endpoints, with the host's permits.
    pub rates: &'a RateTable,
    /// Load of the host's own streams.
    pub own_loads: &'a LoadMap,
    /// Load of the other hosts' streams.
    pub peer_loads: &'a PeerLoads,
    /// Endpoints that are suspected to be down.
    pub suspected: &'a ExpiringFlags,
    /// Endpoints that have just refused a stream.
    pub overloaded: &'a ExpiringFlags,
}

impl RoutingView<'_> {
    /// Endpoints of a service that accept work, as candidates for a path. `draw` returns a random
    /// number from a range and is called once per candidate.
    ///
    /// ```
    /// use std::collections::BTreeSet;
    ///
    /// use jacinthrock_entry::{
    ///     DownTable, EndpointNotices, EndpointTable, EngineProfile, ExclusionTable, ExpiringFlags, HealthTable,
    ///     LoadMap, PathQuery, PeerLoads, RateTable, RoutingView,
    /// };
    /// use tokio::time::Instant;
    ///
    /// # let engine = EngineProfile {
    /// #     layers: 8,
    /// #     layer_mb: 8.0,
    /// #     token_layer_mb: 0.001,
    /// #     step_ms: 1.0,
    /// #     request_ms: 0.0,
    /// #     context_ms: 0.0,
    /// #     prefill_tokens_per_ms: 100.0,
    /// #     load_time: std::time::Duration::from_millis(500),
    /// #     parallel_loads: 4,
    /// #     activation_bytes: 1_000.0,
    /// #     link_mbps: 0.0,
    /// #     mean_prompt_tokens: 100,
    /// #     mean_output_tokens: 50,
    /// #     event_tokens: 1,
    /// #     cards: Default::default(),
    /// # };
    /// let flags = ExpiringFlags::default();
    /// let view = RoutingView {
    ///     domain: "north",
    ///     hosts: 1,
    ///     domain_hosts: 1,
    ///     endpoints: &EndpointTable::default(),
    ///     health: &HealthTable::default(),
    ///     exclusions: &ExclusionTable::default(),
    ///     down_table: &DownTable::default(),
    ///     notices: &EndpointNotices::default(),
    ///     rates: &RateTable::new(1),
    ///     own_loads: &LoadMap::new(),
    ///     peer_loads: &PeerLoads::default(),
    ///     suspected: &flags,
    ///     overloaded: &flags,
    /// };
    /// let query = PathQuery {
    ///     service: "chat",
    ///     tokens: 500,
    ///     starts: None,
    ///     avoid: &BTreeSet::new(),
    ///     ignores_rates: false,
    /// };
    /// let stages = view.stage_views(&engine, &query, Instant::now(), |range| *range.start());
    /// assert!(stages.is_empty(), "no endpoint is listed");
    /// ```
    pub fn stage_views(
        &self,
        engine: &EngineProfile,
        query: &PathQuery<'_>,
        now: Instant,
        mut draw: impl FnMut(RangeInclusive<f64>) -> f64,
    ) -> Vec<StageView> {
        let interval_ratio = spread_time(self.hosts).div_duration_f64(EXCHANGE_INTERVAL);
        let jitter = (COST_JITTER * interval_ratio).min(MAX_COST_JITTER);
        let usable = self.endpoints.entries().filter(|entry| {
            &*entry.service == query.service
                && accepts_work(entry, self.notices, self.health, self.exclusions, now)
                && !query.avoid.contains(&entry.name)
        });
        let mut own_loads = LoadCursor::new(self.own_loads);
        let mut peer_loads = self.peer_loads.in_order(now);
        usable
            .filter_map(|entry| {
                let span = entry.layers.filter(|span| span.count() > 0)?;
                let card = engine.cards.get(entry.card.as_deref()?)?;
                let mut load = own_loads.load(&entry.name);
                match peer_loads.as_mut().map(|loads| loads.load(&entry.name, load)) {
                    Some(others) => load.add(others),
                    // Without recent loads of the other hosts, those in the same domain are
                    // assumed to load the stage as much as this host does.
                    None if &*entry.domain == self.domain => load.scale(self.domain_hosts),
                    None => {}
                }
                let new = f64::from(query.tokens) * f64::from(span.count());
                let occupancy = (load.token_layers as f64 + new)
                    / engine.kv_capacity(card, entry.weight_layers());
                let slot_usage = f64::from(load.starts + 1) / f64::from(entry.slots.max(1));
                let has_slots = span.from > 0 || slot_usage < MAX_OCCUPANCY;
                let is_suspected = self.suspected.is_set(&entry.name, now)
                    || self.down_table.is_reported(entry, now);
                let suspect_ms = if is_suspected { SUSPECT_COST_MS } else { 0.0 };
                let is_overloaded = self.overloaded.is_set(&entry.name, now);
                Some(StageView {
                    name: entry.name.clone(),
                    start_unix_ms: entry.start_unix_ms,
                    address: entry.address,
                    domain: entry.domain.clone(),
                    span,
                    layer_ms: card.step_factor * engine.step_ms / f64::from(engine.layers)
                        * draw(1.0..=1.0 + jitter),
                    streams: f64::from(load.streams),
                    kv_usage: occupancy,
                    has_room: occupancy < MAX_OCCUPANCY && !is_overloaded,
                    penalty_ms: suspect_ms,
                    may_start: has_slots
                        && !self.notices.is_paused(entry.start(), now)
                        && (query.ignores_rates || self.rates.may_send(entry.start(), now))
                        && query.starts.is_none_or(|starts| starts.contains(&entry.name)),
                })
            })
            .collect()
    }
}

/// Whether an endpoint leaves, as the registry lists it or as it says itself.
pub(crate) fn is_leaving(entry: &EndpointEntry, notices: &EndpointNotices) -> bool {
    entry.is_draining || notices.is_leaving(entry.start())
}

/// Whether an endpoint accepts work: it neither leaves nor is it down or excluded.
pub(crate) fn accepts_work(
    entry: &EndpointEntry,
    notices: &EndpointNotices,
    health: &HealthTable,
    exclusions: &ExclusionTable,
    now: Instant,
) -> bool {
    !is_leaving(entry, notices)
        && !health.is_down(&entry.name)
        && !exclusions.is_excluded(entry, now)
}

/// Load of all hosts' streams on an endpoint on which this host's load is `own`.
pub(crate) fn total_load(
    own: StageLoad,
    peer_loads: &PeerLoads,
    name: &str,
    now: Instant,
) -> StageLoad {
    let mut load = own;
    load.add(peer_loads.load(name, own, now).unwrap_or_default());
    load
}

/// Share of the inter-domain link that streams use.
pub(crate) fn link_share(engine: &EngineProfile, crossing_tokens_per_s: f64) -> f64 {
    if engine.link_mbps <= 0.0 {
        return 0.0;
    }
    crossing_tokens_per_s * engine.activation_bytes * 8.0 / 1e6 / engine.link_mbps
}

/// Share of the inter-domain link of one of `hosts` hosts, in stream crossings per second.
pub(crate) fn crossings_per_s(engine: &EngineProfile, tokens: u32, hosts: usize) -> f64 {
    let stream_mbit = f64::from(tokens) * engine.activation_bytes * 8.0 / 1e6;
    if engine.link_mbps <= 0.0 || stream_mbit <= 0.0 {
        return f64::INFINITY;
    }
    engine.link_mbps * QUOTA_OVERCOMMIT_RATIO / stream_mbit / hosts as f64
}

/// Bytes that a stream with a number of tokens sends at each crossing between failure domains, as
/// its host's link quota counts them.
pub(crate) fn crossing_bytes(engine: &EngineProfile, tokens: u32) -> u64 {
    let most = match engine.mean_tokens() {
        0 => u32::MAX,
        mean => mean.saturating_mul(MAX_COUNTED_SIZE),
    };
    (f64::from(tokens.min(most)) * engine.activation_bytes) as u64
}

/// Share of the inter-domain link of one of `hosts` hosts, in bytes per second.
pub(crate) fn link_bytes_per_s(engine: &EngineProfile, hosts: usize) -> f64 {
    if engine.link_mbps <= 0.0 {
        return f64::INFINITY;
    }
    engine.link_mbps * 1e6 / 8.0 / hosts as f64
}

/// Endpoints on a path that have left, have started again or are down.
pub(crate) fn lost_stages(
    path: &[PathStage],
    endpoints: &EndpointTable,
    health: &HealthTable,
) -> BTreeSet<EndpointName> {
    let is_lost = |stage: &&PathStage| {
        let entry = endpoints.get(&stage.name);
        entry.is_none_or(|entry| entry.start_unix_ms != stage.start_unix_ms)
            || health.is_down(&stage.name)
    };
    path.iter().filter(is_lost).map(|stage| stage.name.clone()).collect()
}

/// What a host knows of the link between failure domains when it finds no path.
#[derive(Clone, Copy, Debug)]
pub struct LinkUse {
    /// Share of the link that the streams of all hosts use.
    pub share: f64,
    /// Bytes that this host may still send in this period, negative if overdrawn; none for services
    /// without several priorities.
    pub quota_bytes: Option<i64>,
}

/// Explains why the stages form no path over all layers: the first layer without room or, if each
/// layer has room in some failure domain, the first one in each domain.
///
/// ```
/// use jacinthrock_entry::{LinkUse, explain_gap};
///
/// let link = LinkUse { share: 0.0, quota_bytes: None };
/// assert_eq!(&*explain_gap(8, &link, &[]), "layer 0 has no room; holders: []");
/// ```
pub fn explain_gap(layers: u16, link: &LinkUse, stages: &[StageView]) -> Box<str> {
    if let Some(gap) = first_gap(layers, stages) {
        let holders: Vec<_> = holders_of(gap, stages);
        return explain_layer(gap, &holders, MAX_NAMED_HOLDERS).into();
    }
    let quota = link.quota_bytes.map(|bytes| format!("; link quota {bytes} bytes"));
    let (count, share) = (stages.len(), link.share);
    let domains = explain_domains(layers, stages);
    format!(
        "no path joins {count} stages; pipe share {share:.2}{}{domains}",
        quota.unwrap_or_default()
    )
    .into()
}

/// Names the first layer without room in each failure domain. All domains together name no more
/// holders than one layer does elsewhere.
fn explain_domains(layers: u16, stages: &[StageView]) -> String {
    let mut by_domain: BTreeMap<&str, Vec<&StageView>> = BTreeMap::new();
    for stage in stages {
        by_domain.entry(&stage.domain).or_default().push(stage);
    }
    let (mut text, mut left) = (String::new(), MAX_NAMED_HOLDERS);
    let domain_count = by_domain.len();
    for (number, (domain, stages)) in by_domain.into_iter().enumerate() {
        let Some(gap) = first_gap(layers, stages.iter().copied()) else {
            text += &format!("; {domain}: every layer has room");
            continue;
        };
        let holders = holders_of(gap, stages);
        let most = left.div_ceil(domain_count - number);
        left -= holders.len().min(most);
        text += &format!("; {domain}: {}", explain_layer(gap, &holders, most));
    }
    text
}

fn holders_of<'a>(
    layer: u16,
    stages: impl IntoIterator<Item = &'a StageView>,
) -> Vec<&'a StageView> {
    stages.into_iter().filter(|stage| stage.span.holds(layer)).collect()
}

/// Names up to `most` holders of a layer without room, with their usage.
fn explain_layer(layer: u16, holders: &[&StageView], most: usize) -> String {
    let named = holders.iter().take(most).map(|stage| {
        format!("{} streams {} fill {:.2}", stage.name, stage.streams, stage.kv_usage)
    });
    let named: Vec<_> = named.collect();
    let others = holders.len() - named.len();
    let text = format!("layer {layer} has no room; holders: {named:?}");
    if others > 0 { format!("{text} and {others} others") } else { text }
}
