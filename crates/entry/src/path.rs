//! Path selection: which endpoints a stream runs through.
//!
//! Many streams run at once over cards of different speed whose layer spans overlap. Each stream
//! takes the path with the lowest expected time per token. The cost of a stage is its step time,
//! scaled by the streams and the KV cache usage known there, plus a penalty if it is suspected or
//! overloaded. A crossing between failure domains is charged more than its own latency, since all
//! streams share the link between domains (`link_mbps`).

use std::collections::BTreeMap;
use std::net::SocketAddr;

use jacinthrock::{DomainName, EndpointName};

use crate::endpoints::LayerSpan;
use crate::notices::EndpointStart;

/// Extra cost of a crossing between failure domains, in ms per token: about the time of a whole
/// path, so that a stream crosses only if its domain has no path or a much slower one.
const CROSSING_COST_MS: f64 = 12.0;
/// Share of the inter-domain link in use above which the crossing cost rises steeply: queues at the
/// link delay every crossing stream, which holds its KV cache for longer.
const BUSY_LINK_SHARE: f64 = 0.4;
/// Share of the inter-domain link in use at which no further stream may cross.
const MAX_LINK_SHARE: f64 = 0.75;
/// Cost of starting outside the failure domain of the sending host, in ms per token.
const REMOTE_START_COST_MS: f64 = 2.0;
/// Network cost of each stage, in ms per token.
const HOP_COST_MS: f64 = 0.3;
/// Number of streams on a stage that doubles its expected time.
const DOUBLING_STREAMS: f64 = 40.0;
/// KV cache usage above which the cost of a stage rises steeply.
const HIGH_KV_USAGE: f64 = 0.75;
/// Upper bound on the estimated KV cache usage, which may rest on this host's streams alone.
const MAX_KV_USAGE: f64 = 1.5;
/// Link share that keeps every path within one failure domain.
pub(crate) const CLOSED_LINK: f64 = f64::INFINITY;
/// Maximum number of stages in a path; a limit of the engines.
pub(crate) const MAX_STAGES: usize = 32;

/// An endpoint that holds layers, as a candidate for a stage.
#[derive(Clone, Debug, PartialEq)]
pub struct StageView {
    /// Endpoint.
    pub name: EndpointName,
    /// Its start time, in ms since the Unix epoch.
    pub start_unix_ms: u64,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Layers that it holds.
    pub span: LayerSpan,
    /// Time per token and layer, in ms.
    pub layer_ms: f64,
    /// Streams that run through it, as far as this host knows.
    pub streams: f64,
    /// Share of its KV cache that the streams of all hosts use, as far as this host knows.
    pub kv_usage: f64,
    /// Whether its KV cache has room for another stream, as far as this host knows.
    pub has_room: bool,
    /// Extra cost while it is suspected to be down or overloaded, in ms per token.
    pub penalty_ms: f64,
    /// Whether a path may start here.
    pub may_start: bool,
}

/// One stage of a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PathStage {
    /// Endpoint.
    pub name: EndpointName,
    /// Its start time, in ms since the Unix epoch.
    pub start_unix_ms: u64,
    /// Address.
    pub address: SocketAddr,
    /// Layers that it runs for the stream.
    pub span: LayerSpan,
    /// Failure domain.
    pub domain: DomainName,
}

impl PathStage {
    /// The start of the endpoint.
    pub fn start(&self) -> EndpointStart<'_> {
        EndpointStart { name: &self.name, start_unix_ms: self.start_unix_ms }
    }
}

/// The stage of a path at an address. Endpoints name one another by address alone, and another
/// endpoint may have started at it since.
///
/// ```
/// use jacinthrock_entry::{LayerSpan, PathStage, stage_at};
///
/// let address = ([10, 0, 0, 1], 80).into();
/// let span = LayerSpan { from: 0, to: 4 };
/// let domain = "north".into();
/// let path = [PathStage { name: "a".into(), start_unix_ms: 1, address, span, domain }];
/// assert_eq!(stage_at(&path, address), Some(&path[0]));
/// assert_eq!(stage_at(&path, ([10, 0, 0, 2], 80).into()), None);
/// ```
pub fn stage_at(path: &[PathStage], address: SocketAddr) -> Option<&PathStage> {
    path.iter().find(|stage| stage.address == address)
}

/// Number of crossings between failure domains along a path.
pub fn crossings(path: &[PathStage]) -> usize {
    path.windows(2).filter(|pair| pair[0].domain != pair[1].domain).count()
}

/// Finds the cheapest path over all layers, or `None` if no combination of stages covers them.
///
/// `home` is the failure domain of the host that sends the request, `link_share` is the share of
/// the inter-domain link in use.
pub fn cheapest_path(
    layers: u16,
    home: &str,
    link_share: f64,
    stages: &[StageView],
) -> Option<Vec<PathStage>> {
    let crossing = (link_share < MAX_LINK_SHARE)
        .then(|| CROSSING_COST_MS * (1.0 + (link_share / BUSY_LINK_SHARE).powi(4)));
    let mut boundaries: Vec<u16> =
        stages.iter().flat_map(|stage| [stage.span.from, stage.span.to]).collect();
    boundaries.extend([0, layers]);
    boundaries.sort_unstable();
    boundaries.dedup();
    boundaries.retain(|boundary| *boundary <= layers);
    // best[position][stage]: cheapest path over the layers before that boundary that ends on the
    // stage.
    let mut best: Vec<BTreeMap<usize, PartialPath>> = vec![BTreeMap::new(); boundaries.len()];
    for position in 0..boundaries.len().saturating_sub(1) {
        for (index, stage) in stages.iter().enumerate() {
            if !stage.span.holds(boundaries[position]) || !stage.has_room {
                continue;
            }
            let Some(entry) = cheapest_entry(position, index, home, crossing, stages, &best) else {
                continue;
            };
            for end in position + 1..boundaries.len() {
                if boundaries[end] > stage.span.to {
                    break;
                }
                let cost = entry.cost + stage_cost(stage, boundaries[end] - boundaries[position]);
                let partial =
                    PartialPath { cost, stages: entry.stages + 1, start: position, ..entry };
                let slot = best[end].entry(index).or_insert(partial);
                if partial.cost < slot.cost {
                    *slot = partial;
                }
            }
        }
    }
    backtrack(&boundaries, stages, &best)
}

/// Returns the first layer that no stage with room holds, to explain why there is no path.
pub fn first_gap(layers: u16, stages: &[StageView]) -> Option<u16> {
    (0..layers).find(|layer| {
        !stages.iter().any(|stage| {
            stage.span.holds(*layer) && stage.has_room && (*layer > 0 || stage.may_start)
        })
    })
}

/// The cheapest known path up to a boundary, by its last stage.
#[derive(Clone, Copy, Debug)]
struct PartialPath {
    cost: f64,
    stages: usize,
    /// Index of the boundary at which the last stage starts.
    start: usize,
    previous: Option<usize>,
}

fn stage_cost(stage: &StageView, layers: u16) -> f64 {
    let load_factor = 1.0 + stage.streams / DOUBLING_STREAMS;
    // An engine whose KV cache is nearly full defers requests.
    let memory_factor = 1.0 + (stage.kv_usage.min(MAX_KV_USAGE) / HIGH_KV_USAGE).powi(4);
    f64::from(layers) * stage.layer_ms * load_factor * memory_factor
        + HOP_COST_MS
        + stage.penalty_ms
}

/// Cheapest path over the layers before a boundary that a stage can continue.
fn cheapest_entry(
    position: usize,
    index: usize,
    home: &str,
    crossing: Option<f64>,
    stages: &[StageView],
    best: &[BTreeMap<usize, PartialPath>],
) -> Option<PartialPath> {
    let stage = &stages[index];
    if position == 0 {
        if !stage.may_start {
            return None;
        }
        let cost = if &*stage.domain == home { 0.0 } else { REMOTE_START_COST_MS };
        return Some(PartialPath { cost, stages: 0, start: 0, previous: None });
    }
    let mut cheapest: Option<PartialPath> = None;
    for (previous, partial) in &best[position] {
        if partial.stages + 1 >= MAX_STAGES || visits(index, position, *previous, best) {
            continue;
        }
        let is_crossing = stages[*previous].domain != stage.domain;
        let Some(step) = (if is_crossing { crossing } else { Some(0.0) }) else { continue };
        let cost = partial.cost + step;
        if cheapest.is_none_or(|other| cost < other.cost) {
            let previous = Some(*previous);
            cheapest =
                Some(PartialPath { cost, stages: partial.stages, start: position, previous });
        }
    }
    cheapest
}

/// Whether the path that ends on `last` at a boundary already runs through a stage.
fn visits(
    index: usize,
    mut position: usize,
    mut last: usize,
    best: &[BTreeMap<usize, PartialPath>],
) -> bool {
    loop {
        if last == index {
            return true;
        }
        let Some(partial) = best[position].get(&last) else { return false };
        let Some(previous) = partial.previous else { return false };
        position = partial.start;
        last = previous;
    }
}

/// Rebuilds the cheapest path over all layers from its last stage.
fn backtrack(
    boundaries: &[u16],
    stages: &[StageView],
    best: &[BTreeMap<usize, PartialPath>],
) -> Option<Vec<PathStage>> {
    let mut position = boundaries.len() - 1;
    let (mut index, _) = best[position].iter().min_by(|a, b| a.1.cost.total_cmp(&b.1.cost))?;
    let mut path = Vec::new();
    loop {
        let partial = best[position].get(index)?;
        let stage = &stages[*index];
        let span = LayerSpan { from: boundaries[partial.start], to: boundaries[position] };
        path.push(PathStage {
            name: stage.name.clone(),
            start_unix_ms: stage.start_unix_ms,
            address: stage.address,
            span,
            domain: stage.domain.clone(),
        });
        let Some(previous) = &partial.previous else { break };
        position = partial.start;
        index = best[position].get_key_value(previous)?.0;
    }
    path.reverse();
    Some(path)
}
