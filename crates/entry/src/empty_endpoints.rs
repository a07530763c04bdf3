//! When endpoints became empty, and domains whose empty endpoints get layers without a wait.
//!
//! Answers to a load pattern: engines are lost and return empty, or new ones are added, while the
//! layers of the same domain have no room for further streams. A holder waits before it assigns
//! layers to an empty endpoint, since the endpoint may replace one that is about to leave. A new
//! holder must not start that wait again, and a domain without room does not have the time for it.

use std::collections::{BTreeMap, BTreeSet};

use jacinthrock::{DomainName, EndpointName};
use tokio::time::Instant;

use crate::endpoints::{EndpointEntry, LayerSpan};

/// Usage of a layer's KV memory from which the domain is short of room, the one from which admission
/// limits streams.
const SHORT_USAGE: f64 = 0.75;

/// Since when the endpoint table of this host has shown each endpoint without layers.
///
/// Each host keeps it, not just the holder, so that a new holder knows it.
#[derive(Debug, Default)]
pub struct EmptyEndpoints {
    /// Start time of each empty endpoint, and when it was first shown empty.
    since: BTreeMap<EndpointName, (u64, Instant)>,
}

impl EmptyEndpoints {
    /// Takes the entries of the table. An endpoint that an order is under way to is not empty.
    pub fn update<'a>(
        &mut self,
        entries: impl IntoIterator<Item = &'a EndpointEntry>,
        now: Instant,
    ) {
        let has_layers = |span: Option<LayerSpan>| span.is_some_and(|span| span.count() > 0);
        let empty = entries
            .into_iter()
            .filter(|entry| !has_layers(entry.layers) && !has_layers(entry.under_way));
        let known = std::mem::take(&mut self.since);
        self.since = empty
            .map(|entry| {
                let kept =
                    known.get(&entry.name).filter(|(start, _)| *start == entry.start_unix_ms);
                let since = kept.map_or(now, |(_, since)| *since);
                (entry.name.clone(), (entry.start_unix_ms, since))
            })
            .collect();
    }

    /// When an endpoint was first shown empty; none if it is not shown as empty.
    pub fn since(&self, name: &str) -> Option<Instant> {
        self.since.get(name).map(|(_, since)| *since)
    }
}

/// KV memory of one endpoint that holds layers.
#[derive(Clone, Copy, Debug)]
pub struct StageRoom<'a> {
    /// Failure domain.
    pub domain: &'a DomainName,
    /// Layers that it serves.
    pub span: LayerSpan,
    /// KV memory that streams in progress use, in tokens times layers.
    pub token_layers: u64,
    /// KV memory that it has, in tokens times layers.
    pub kv_capacity: f64,
}

/// Domains in which some layer is short of room: streams in progress use 0.75 or more of the KV
/// memory of all its holders there. A layer without holders is left out; the planner closes gaps
/// without a wait in any case.
///
/// ```
/// use jacinthrock_entry::{LayerSpan, StageRoom, short_domains};
///
/// let (north, span) = ("north".into(), LayerSpan { from: 0, to: 8 });
/// let stage = StageRoom { domain: &north, span, token_layers: 75, kv_capacity: 100.0 };
/// assert!(short_domains(8, &[stage]).contains("north"));
/// assert!(short_domains(8, &[StageRoom { token_layers: 74, ..stage }]).is_empty());
/// ```
pub fn short_domains(layers: u16, stages: &[StageRoom<'_>]) -> BTreeSet<DomainName> {
    let mut rooms: BTreeMap<&DomainName, Vec<(f64, f64)>> = BTreeMap::new();
    for stage in stages {
        let room = rooms.entry(stage.domain).or_insert_with(|| vec![(0.0, 0.0); layers.into()]);
        let count = f64::from(stage.span.count());
        let (used, capacity) = (stage.token_layers as f64 / count, stage.kv_capacity / count);
        let held = usize::from(stage.span.from)..usize::from(stage.span.to.min(layers));
        for layer in room.get_mut(held).into_iter().flatten() {
            *layer = (layer.0 + used, layer.1 + capacity);
        }
    }
    let is_short = |(used, capacity): &(f64, f64)| *used > 0.0 && *used >= SHORT_USAGE * *capacity;
    let short = rooms.into_iter().filter(|(_, room)| room.iter().any(is_short));
    short.map(|(domain, _)| domain.clone()).collect()
}
