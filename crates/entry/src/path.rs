//! Path selection: which endpoints a stream runs through.
//!
//! Many streams run at once over cards of different speed whose layer spans overlap. Each stream
//! takes the path with the lowest expected time per token. The cost of a stage is its step time,
//! scaled by the streams and the KV cache usage known there, plus a penalty if it is suspected or
//! overloaded. A crossing between failure domains is charged more than its own latency, since all
//! streams share the link between domains (`link_mbps`).

use std::net::SocketAddr;

use jacinthrock::{DomainName, EndpointName};

use crate::endpoints::LayerSpan;
use crate::notices::EndpointStart;
use crate::partials::PathSearch;

/// Extra cost of a crossing between failure domains, in ms per token: about the time of a whole
/// path, so that a stream crosses only if its domain has no path or a much slower one.
const CROSSING_COST_MS: f64 = 12.0;
/// Share of the inter-domain link in use above which the crossing cost rises steeply: queues at the
/// link delay every crossing stream, which holds its KV cache for longer.
const BUSY_LINK_SHARE: f64 = 0.4;
/// Share of the inter-domain link in use at which no further stream may cross.
const MAX_LINK_SHARE: f64 = 0.75;
/// Cost of starting outside the failure domain of the sending host, in ms per token.
pub(crate) const REMOTE_START_COST_MS: f64 = 2.0;
/// Network cost of each stage, in ms per token.
pub(crate) const HOP_COST_MS: f64 = 0.3;
/// Number of streams on a stage that doubles its expected time.
pub(crate) const DOUBLING_STREAMS: f64 = 40.0;
/// KV cache usage above which the cost of a stage rises steeply.
pub(crate) const HIGH_KV_USAGE: f64 = 0.75;
/// Upper bound on the estimated KV cache usage, which may rest on this host's streams alone.
pub(crate) const MAX_KV_USAGE: f64 = 1.5;
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

/// Number of crossings between failure domains along a path that are not part of the path that it
/// replaces. Both stages of the others keep the stream's KV cache and send each other new tokens
/// only.
///
/// ```
/// use jacinthrock_entry::{LayerSpan, PathStage, added_crossings};
///
/// let stage = |name: &str, domain: &str, from| PathStage {
///     name: name.into(),
///     start_unix_ms: 1,
///     address: ([10, 0, 0, 1], 80).into(),
///     span: LayerSpan { from, to: from + 4 },
///     domain: domain.into(),
/// };
/// let old = [stage("a", "north", 0), stage("b", "south", 4), stage("c", "south", 8)];
/// let new = [stage("a", "north", 0), stage("b", "south", 4), stage("d", "north", 8)];
/// assert_eq!(added_crossings(&new, &old), 1);
/// ```
pub fn added_crossings(new: &[PathStage], old: &[PathStage]) -> usize {
    let is_kept = |pair: &[PathStage]| {
        old.windows(2).any(|kept| kept[0].name == pair[0].name && kept[1].name == pair[1].name)
    };
    new.windows(2).filter(|pair| pair[0].domain != pair[1].domain && !is_kept(pair)).count()
}

/// Result of a search for the cheapest path.
#[derive(Clone, Debug, PartialEq)]
pub struct SearchOutcome {
    /// The cheapest path, or `None` if no combination of stages covers all layers.
    pub path: Option<Vec<PathStage>>,
    /// Its cost in ms per token; infinite without a path.
    pub cost_ms: f64,
    /// Number of comparisons between stages and partial paths, which bounds the time of a search.
    pub comparisons: u64,
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
    search_path(layers, home, link_share, stages).path
}

/// Finds the cheapest path like [`cheapest_path`], and returns its cost and that of the search too.
///
/// ```
/// use jacinthrock_entry::search_path;
///
/// let outcome = search_path(8, "north", 0.0, &[]);
/// assert_eq!((outcome.path, outcome.comparisons), (None, 0));
/// ```
pub fn search_path(
    layers: u16,
    home: &str,
    link_share: f64,
    stages: &[StageView],
) -> SearchOutcome {
    let crossing = (link_share < MAX_LINK_SHARE)
        .then(|| CROSSING_COST_MS * (1.0 + (link_share / BUSY_LINK_SHARE).powi(4)));
    PathSearch::new(layers, home, crossing, stages).run()
}

/// Returns the first layer that no stage with room holds, to explain why there is no path.
///
/// ```
/// use jacinthrock_entry::first_gap;
///
/// assert_eq!(first_gap(8, &[]), Some(0));
/// ```
pub fn first_gap<'a>(layers: u16, stages: impl IntoIterator<Item = &'a StageView>) -> Option<u16> {
    let stages: Vec<_> = stages.into_iter().filter(|stage| stage.has_room).collect();
    (0..layers).find(|layer| {
        let may_run =
            |stage: &&StageView| stage.span.holds(*layer) && (*layer > 0 || stage.may_start);
        !stages.iter().any(may_run)
    })
}
