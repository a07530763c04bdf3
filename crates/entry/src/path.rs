//! Which endpoints a stream runs through.
//!
//! Load pattern: many streams at once over cards of unlike speed whose spans overlap. Each stream
//! takes the path with the least expected time for a token, where every stage counts its own step,
//! the streams that this host already runs there, and what it still has to prove after a fault.
//! Crossing between failure domains costs more than it takes, since all streams share one pipe.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use jacinthrock::{DomainName, EndpointName};

use crate::endpoints::LayerSpan;

/// Extra cost of a crossing between failure domains, in ms a token: about the whole time of a
/// path, so that a stream crosses only where its domain has no path or a much slower one.
const CROSSING_COST_MS: f64 = 12.0;
/// Share of the pipe from which on crossing gets much dearer: queues at the pipe hold up every
/// stream that crosses, and their memory with them.
const BUSY_LINK_SHARE: f64 = 0.4;
/// Share of the pipe from which on no stream more may cross.
const MAX_LINK_SHARE: f64 = 0.75;
/// Cost of starting in another failure domain than the caller's host, in ms a token.
const REMOTE_START_COST_MS: f64 = 2.0;
/// Cost of each stage beside its computing, in ms a token: the hop over the network.
const HOP_COST_MS: f64 = 0.3;
/// Streams on a stage that double its expected time.
const DOUBLING_STREAMS: f64 = 40.0;
/// Share of memory from which on a stage's cost rises steeply.
const HIGH_KV_USAGE: f64 = 0.75;
/// Bound on the estimated share, since it rests on this host's streams alone.
const MAX_KV_USAGE: f64 = 1.5;
/// Share of the pipe with which no path crosses it.
pub(crate) const CLOSED_LINK: f64 = f64::INFINITY;
/// Most stages that a path may have; the engines take no more.
pub(crate) const MAX_STAGES: usize = 32;

/// One endpoint that holds layers.
#[derive(Clone, Debug, PartialEq)]
pub struct StageView {
    /// Endpoint.
    pub name: EndpointName,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Layers that it holds.
    pub span: LayerSpan,
    /// Time of a token in one layer, in ms.
    pub layer_ms: f64,
    /// Streams that run through it, as far as this host can tell.
    pub streams: f64,
    /// Share of its memory for tokens that is taken by all hosts, as far as this host can tell.
    pub kv_usage: f64,
    /// Whether this host's own streams leave room for one more.
    pub has_room: bool,
    /// Cost of using it despite doubts, in ms a token.
    pub penalty_ms: f64,
    /// Whether a path may begin here.
    pub may_start: bool,
}

/// One stage of a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PathStage {
    /// Endpoint.
    pub name: EndpointName,
    /// Address.
    pub address: SocketAddr,
    /// Layers that it runs for this stream.
    pub span: LayerSpan,
    /// Failure domain.
    pub domain: DomainName,
}

/// Number of times that a path passes between failure domains.
pub fn crossings(path: &[PathStage]) -> usize {
    path.windows(2).filter(|pair| pair[0].domain != pair[1].domain).count()
}

/// Finds the cheapest path over all layers, or nothing where some layer has no holder.
///
/// `home` is the failure domain of the host that sends the request, `link_share` is the share of the pipe
/// between domains that is in use.
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
    // best[cut][stage]: least cost of a path over the layers before the cut that ends on the stage.
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

/// The first layer that no stage with room holds; explains why there is no path.
pub fn first_gap(layers: u16, stages: &[StageView]) -> Option<u16> {
    (0..layers).find(|layer| {
        !stages.iter().any(|stage| {
            stage.span.holds(*layer) && stage.has_room && (*layer > 0 || stage.may_start)
        })
    })
}

#[derive(Clone, Copy, Debug)]
struct PartialPath {
    cost: f64,
    stages: usize,
    start: usize,
    previous: Option<usize>,
}

fn stage_cost(stage: &StageView, layers: u16) -> f64 {
    let load_factor = 1.0 + stage.streams / DOUBLING_STREAMS;
    // Memory that is nearly full makes the engine put requests off; the cost rises steeply.
    let memory_factor = 1.0 + (stage.kv_usage.min(MAX_KV_USAGE) / HIGH_KV_USAGE).powi(4);
    f64::from(layers) * stage.layer_ms * load_factor * memory_factor
        + HOP_COST_MS
        + stage.penalty_ms
}

/// Least cost of getting to a stage at a cut, with the stage that the path comes from.
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

/// Whether the path that ends on `last` at a cut runs through a stage already.
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
