//! Partial paths: how the cheapest path over all layers is found among thousands of endpoints.
//!
//! A search runs for each stream and each of its retries, while a layer may be held by hundreds of
//! endpoints. Each stage keeps the cheapest path that ends on it at each boundary between layers. At
//! a boundary, these partial paths are ordered by cost within the failure domain of their last
//! stage, as far as they are looked at. A stage continues the first of them that does not run
//! through it, so that it need not be compared with all others.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use crate::endpoints::LayerSpan;
use crate::path::{
    DOUBLING_STREAMS, HIGH_KV_USAGE, HOP_COST_MS, MAX_KV_USAGE, MAX_STAGES, PathStage,
    REMOTE_START_COST_MS, SearchOutcome, StageView,
};

/// Number of partial paths of a domain that are ordered at first; most stages continue the first,
/// and pass over the few that run through them.
const FIRST_ORDERED: usize = 4;

/// Difference in cost above which one of two paths through the same stage is certainly the cheaper
/// one at each later boundary, relative to their costs. The rounding errors of a cost are a
/// millionth of this difference.
const CERTAIN_DIFFERENCE: f64 = 1e-9;

/// The cheapest known path up to a boundary that ends on a certain stage.
#[derive(Clone, Copy, Debug, Default)]
struct PartialPath {
    cost: f64,
    /// Number of stages; 0 if no path is known.
    stages: u32,
    /// Index of the boundary at which the last stage starts; 0 for the first stage of the path.
    start: u32,
    /// Index of the stage before the last, if any.
    previous: u32,
}

/// A stage within the search.
#[derive(Clone, Copy, Debug)]
struct StageRange {
    /// Index of the boundary at which its layers start.
    first: usize,
    /// Index of the last boundary up to which it holds layers.
    last: usize,
    /// Index of its partial path at the boundary after `first`.
    offset: usize,
    domain: usize,
    layer_ms: f64,
    load_factor: f64,
    memory_factor: f64,
    penalty_ms: f64,
}

impl StageRange {
    fn cost(&self, layers: u16) -> f64 {
        f64::from(layers) * self.layer_ms * self.load_factor * self.memory_factor
            + HOP_COST_MS
            + self.penalty_ms
    }

    /// Cost per layer.
    fn layer_cost(&self) -> f64 {
        self.layer_ms * self.load_factor * self.memory_factor
    }

    /// Index of the partial path that ends on the stage at a boundary.
    fn slot(&self, position: usize) -> usize {
        self.offset + position - self.first - 1
    }
}

/// Paths that a stage may continue, from different boundaries. The cost of the stage is the same per
/// layer wherever it starts, so that the paths keep their order at all later boundaries, but for
/// rounding errors. Only those are kept that may be the cheapest with such errors.
#[derive(Clone, Debug, Default)]
struct StageEntries {
    /// Least cost of an entry that starts at the first layer of the stage, in theory.
    least: f64,
    /// Largest magnitude of the costs compared; infinite if any is not a finite number.
    scale: f64,
    entries: Vec<(f64, PartialPath)>,
}

impl StageEntries {
    /// Adds a path with `layers` layers between the first one of the stage and its end, of which
    /// the stage may run up to `most` layers.
    fn add(&mut self, range: &StageRange, entry: PartialPath, layers: u16, most: u16) {
        let saved = range.layer_cost() * f64::from(layers);
        let magnitude = entry.cost.abs()
            + range.layer_cost().abs() * f64::from(most)
            + range.penalty_ms.abs()
            + HOP_COST_MS;
        let scale = if magnitude.is_finite() { magnitude } else { f64::INFINITY };
        self.scale = self.scale.max(scale);
        let cost = entry.cost - saved;
        let margin = self.scale * CERTAIN_DIFFERENCE;
        if self.entries.is_empty() {
            self.least = cost;
        } else if cost > self.least + margin {
            return;
        }
        if cost < self.least {
            self.least = cost;
            let is_dearer = |other: f64| other > cost + margin;
            self.entries.retain(|(other, _)| !is_dearer(*other));
        }
        self.entries.push((cost, entry));
    }
}

/// A partial path that ends at a boundary, by its last stage.
#[derive(Clone, Copy, Debug)]
struct PathEnd {
    cost: f64,
    index: usize,
}

impl PathEnd {
    fn order(&self, other: &Self) -> Ordering {
        self.cost.total_cmp(&other.cost).then(self.index.cmp(&other.index))
    }
}

/// Partial paths whose last stages are in one failure domain, of which the cheapest are in order.
#[derive(Debug, Default)]
struct DomainEnds {
    ends: Vec<PathEnd>,
    ordered: usize,
}

impl DomainEnds {
    /// The partial path at a place in the order.
    fn get(&mut self, place: usize, comparisons: &mut u64) -> Option<PathEnd> {
        if place >= self.ordered && self.ordered < self.ends.len() {
            if self.ordered == 0 {
                self.order_first(comparisons);
            } else {
                self.order_rest(comparisons);
            }
        }
        self.ends.get(place).copied()
    }

    fn order_first(&mut self, comparisons: &mut u64) {
        self.ordered = FIRST_ORDERED.min(self.ends.len());
        for next in 1..self.ends.len() {
            let mut place = next;
            // Past the first places, an end is compared with the last of them alone.
            let mut before = (next - 1).min(self.ordered - 1);
            loop {
                *comparisons += 1;
                if self.ends[place].order(&self.ends[before]).is_ge() {
                    break;
                }
                self.ends.swap(place, before);
                if before == 0 {
                    break;
                }
                (place, before) = (before, before - 1);
            }
        }
    }

    fn order_rest(&mut self, comparisons: &mut u64) {
        self.ends[self.ordered..].sort_unstable_by(|a, b| {
            *comparisons += 1;
            a.order(b)
        });
        self.ordered = self.ends.len();
    }
}

/// Partial paths that end at one boundary.
struct BoundaryEnds {
    by_domain: Vec<DomainEnds>,
    /// Domains with partial paths, in order of the cheapest one.
    domains: Vec<(f64, usize)>,
    /// All partial paths in order of their stages, if their costs can't be put in order.
    unordered: Option<Vec<PathEnd>>,
}

/// A search for the cheapest path.
pub(crate) struct PathSearch<'a> {
    stages: &'a [StageView],
    home: &'a str,
    /// Cost of a crossing between failure domains, or `None` if no path may cross.
    crossing: Option<f64>,
    boundaries: Vec<u16>,
    ranges: Vec<StageRange>,
    /// Stages that start, end or pass at each boundary.
    at_boundary: Vec<Vec<usize>>,
    domain_count: usize,
    partials: Vec<PartialPath>,
    entries: Vec<StageEntries>,
    comparisons: u64,
}

impl<'a> PathSearch<'a> {
    pub(crate) fn new(
        layers: u16,
        home: &'a str,
        crossing: Option<f64>,
        stages: &'a [StageView],
    ) -> Self {
        let boundaries = boundaries(layers, stages);
        let mut at_boundary = vec![Vec::new(); boundaries.len()];
        let mut domains = BTreeMap::new();
        let mut offset = 0;
        let mut ranges = Vec::with_capacity(stages.len());
        for (index, stage) in stages.iter().enumerate() {
            let first = boundaries.partition_point(|layer| *layer < stage.span.from);
            let last = boundaries.partition_point(|layer| *layer <= stage.span.to) - 1;
            let last = if stage.has_room { last.max(first) } else { first };
            let count = domains.len();
            let domain = *domains.entry(&*stage.domain).or_insert(count);
            ranges.push(StageRange {
                first,
                last,
                offset,
                domain,
                layer_ms: stage.layer_ms,
                load_factor: 1.0 + stage.streams / DOUBLING_STREAMS,
                // An engine whose KV cache is nearly full defers requests.
                memory_factor: 1.0 + (stage.kv_usage.min(MAX_KV_USAGE) / HIGH_KV_USAGE).powi(4),
                penalty_ms: stage.penalty_ms,
            });
            if first < last {
                offset += last - first;
                at_boundary[first..=last].iter_mut().for_each(|indexes| indexes.push(index));
            }
        }
        Self {
            stages,
            home,
            crossing,
            boundaries,
            ranges,
            at_boundary,
            domain_count: domains.len(),
            partials: vec![PartialPath::default(); offset],
            entries: vec![StageEntries::default(); stages.len()],
            comparisons: 0,
        }
    }

    /// Runs the search.
    pub(crate) fn run(mut self) -> SearchOutcome {
        for position in 0..self.boundaries.len() {
            let indexes = std::mem::take(&mut self.at_boundary[position]);
            for index in &indexes {
                self.end_at(position, *index);
            }
            if position + 1 < self.boundaries.len() {
                self.start_at(position, &indexes);
            }
            self.at_boundary[position] = indexes;
        }
        let path = self.backtrack();
        let (cost_ms, path) = path.map_or((f64::INFINITY, None), |(cost, path)| (cost, Some(path)));
        SearchOutcome { path, cost_ms, comparisons: self.comparisons }
    }

    /// Finds the cheapest path that ends on a stage at a boundary.
    fn end_at(&mut self, position: usize, index: usize) {
        let range = &self.ranges[index];
        if range.first == position {
            return;
        }
        let entries = &self.entries[index].entries;
        let to = self.boundaries[position];
        let slot = &mut self.partials[range.slot(position)];
        for (_, entry) in entries {
            let cost = entry.cost + range.cost(to - self.boundaries[entry.start as usize]);
            if slot.stages == 0 || cost < slot.cost {
                *slot = PartialPath { cost, stages: entry.stages + 1, ..*entry };
            }
        }
        self.comparisons += entries.len() as u64;
    }

    /// Finds the paths that the stages can continue at a boundary.
    fn start_at(&mut self, position: usize, indexes: &[usize]) {
        let mut ends = self.ends_at(position, indexes);
        for &index in indexes {
            if position == self.ranges[index].last {
                continue;
            }
            if let Some(entry) = self.cheapest_entry(position, index, &mut ends) {
                let range = &self.ranges[index];
                let from = self.boundaries[range.first];
                let layers = self.boundaries[position] - from;
                let most = self.boundaries[range.last] - from;
                self.entries[index].add(range, entry, layers, most);
            }
        }
    }

    fn partial(&self, position: usize, index: usize) -> Option<&PartialPath> {
        let range = &self.ranges[index];
        let is_within = range.first < position && position <= range.last;
        let partial = is_within.then(|| &self.partials[range.slot(position)]);
        partial.filter(|partial| partial.stages > 0)
    }

    /// Partial paths that end at a boundary and may get a further stage.
    fn ends_at(&mut self, position: usize, indexes: &[usize]) -> BoundaryEnds {
        let ends = indexes.iter().filter_map(|index| {
            let partial = self.partial(position, *index)?;
            let may_grow = (partial.stages as usize) + 1 < MAX_STAGES;
            may_grow.then_some(PathEnd { cost: partial.cost, index: *index })
        });
        let ends: Vec<_> = ends.collect();
        let is_ordered =
            self.crossing.is_none_or(f64::is_finite) && ends.iter().all(|end| end.cost.is_finite());
        if !is_ordered {
            let (by_domain, domains) = (Vec::new(), Vec::new());
            return BoundaryEnds { by_domain, domains, unordered: Some(ends) };
        }
        let mut by_domain = Vec::new();
        by_domain.resize_with(self.domain_count, DomainEnds::default);
        for end in ends {
            by_domain[self.ranges[end.index].domain].ends.push(end);
        }
        let mut domains = Vec::new();
        for (domain, ends) in by_domain.iter_mut().enumerate() {
            domains.extend(ends.get(0, &mut self.comparisons).map(|end| (end.cost, domain)));
        }
        domains.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        BoundaryEnds { by_domain, domains, unordered: None }
    }

    /// Cheapest path over the layers before a boundary that a stage can continue; of equally cheap
    /// ones, that with the first of the stages.
    fn cheapest_entry(
        &mut self,
        position: usize,
        index: usize,
        ends: &mut BoundaryEnds,
    ) -> Option<PartialPath> {
        if position == 0 {
            let stage = &self.stages[index];
            let cost = if &*stage.domain == self.home { 0.0 } else { REMOTE_START_COST_MS };
            return stage.may_start.then(|| PartialPath { cost, ..PartialPath::default() });
        }
        let cheapest = match &ends.unordered {
            Some(unordered) => self.cheapest_of_all(position, index, unordered),
            None => self.cheapest_in_order(position, index, ends),
        };
        let PathEnd { cost, index: previous } = cheapest?;
        let stages = self.partial(position, previous)?.stages;
        Some(PartialPath { cost, stages, start: position as u32, previous: previous as u32 })
    }

    fn cheapest_in_order(
        &mut self,
        position: usize,
        index: usize,
        ends: &mut BoundaryEnds,
    ) -> Option<PathEnd> {
        let own = self.ranges[index].domain;
        let mut cheapest = None;
        for place in 0.. {
            let Some(end) = ends.by_domain[own].get(place, &mut self.comparisons) else { break };
            if !self.visits(index, position, end.index) {
                cheapest = Some(end);
                break;
            }
        }
        let Some(crossing) = self.crossing else { return cheapest };
        for (least, domain) in &ends.domains {
            if cheapest.is_some_and(|end| end.cost < least + crossing) {
                break;
            }
            if *domain == own {
                continue;
            }
            // The sums of different costs may be equal, so that the order goes on to equal sums.
            for place in 0.. {
                let end = ends.by_domain[*domain].get(place, &mut self.comparisons);
                let Some(mut end) = end else { break };
                end.cost += crossing;
                if cheapest.is_some_and(|other| other.cost < end.cost) {
                    break;
                }
                if cheapest.is_none_or(|other| end.order(&other).is_lt())
                    && !self.visits(index, position, end.index)
                {
                    cheapest = Some(end);
                }
            }
        }
        cheapest
    }

    /// Compares all partial paths, for costs that are not numbers or infinite.
    fn cheapest_of_all(
        &mut self,
        position: usize,
        index: usize,
        ends: &[PathEnd],
    ) -> Option<PathEnd> {
        let mut cheapest: Option<PathEnd> = None;
        for end in ends {
            if self.visits(index, position, end.index) {
                continue;
            }
            let is_crossing = self.ranges[end.index].domain != self.ranges[index].domain;
            let Some(step) = (if is_crossing { self.crossing } else { Some(0.0) }) else {
                continue;
            };
            let cost = end.cost + step;
            if cheapest.is_none_or(|other| cost < other.cost) {
                cheapest = Some(PathEnd { cost, index: end.index });
            }
        }
        cheapest
    }

    /// Whether the path that ends on `last` at a boundary already runs through a stage.
    fn visits(&mut self, index: usize, mut position: usize, mut last: usize) -> bool {
        let first = self.ranges[index].first;
        while first < position {
            self.comparisons += 1;
            if last == index {
                return true;
            }
            let Some(partial) = self.partial(position, last) else { return false };
            (position, last) = (partial.start as usize, partial.previous as usize);
        }
        false
    }

    /// Rebuilds the cheapest path over all layers from its last stage.
    fn backtrack(&self) -> Option<(f64, Vec<PathStage>)> {
        let mut position = self.boundaries.len() - 1;
        let ends = self.at_boundary[position].iter().filter_map(|index| {
            let cost = self.partial(position, *index)?.cost;
            Some(PathEnd { cost, index: *index })
        });
        let PathEnd { cost, mut index } = ends.min_by(PathEnd::order)?;
        let mut path = Vec::new();
        while position > 0 {
            let partial = self.partial(position, index)?;
            let stage = &self.stages[index];
            let start = partial.start as usize;
            let span = LayerSpan { from: self.boundaries[start], to: self.boundaries[position] };
            path.push(PathStage {
                name: stage.name.clone(),
                start_unix_ms: stage.start_unix_ms,
                address: stage.address,
                span,
                domain: stage.domain.clone(),
            });
            (position, index) = (start, partial.previous as usize);
        }
        path.reverse();
        Some((cost, path))
    }
}

/// Layers at which a stage of a path may start or end, in order.
fn boundaries(layers: u16, stages: &[StageView]) -> Vec<u16> {
    let mut boundaries: Vec<u16> =
        stages.iter().flat_map(|stage| [stage.span.from, stage.span.to]).collect();
    boundaries.extend([0, layers]);
    boundaries.sort_unstable();
    boundaries.dedup();
    boundaries.retain(|boundary| *boundary <= layers);
    boundaries
}
