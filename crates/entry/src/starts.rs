//! Decides how many starters each failure domain of a service should have. A starter is a card that
//! holds the first layer alone; module `layout` chooses the cards.
//!
//! Answers to a load pattern: a model of many layers is spread over dozens of cards, of which only
//! those with the first layer accept new streams, each as many as it has slots. In a burst, streams
//! are refused for want of a slot while the cards of later layers have memory left. Loading layers
//! takes seconds, longer than most bursts, so that the starts for a burst must exist before it. The
//! traffic of a domain rises and falls by half over 5 to 20 s; starters are removed only after a
//! longer time of low usage, since each change loads layers on several cards.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jacinthrock::DomainName;
use tokio::time::Instant;

use crate::layout::{CardView, ModelShape, WEIGHT_SHARE, starters_in};
use crate::routing::MAX_OCCUPANCY;

/// Usage of the start capacity above which a domain lacks starts: below it, a burst of twice the
/// load still finds starts.
const MAX_USAGE: f64 = 0.5;
/// Usage of the start capacity without a starter below which that starter is not needed.
const LOW_USAGE: f64 = 0.25;
/// Time for which the usage must stay low before a starter is removed, longer than the load waves of
/// 5 to 20 s.
const REMOVE_AFTER: Duration = Duration::from_secs(30);
/// Cards of a domain for each of its starters. With few cards, the second holder of a layer is one
/// card: with a starter made of it, the loss of the first holder broke streams.
const CARDS_PER_STARTER: usize = 6;
/// Copies of the model from which a domain gets starters. A smaller domain needs all of its cards
/// for its only copy.
const MIN_COPIES: f64 = 2.0;

/// What the number of starters of one service depends on.
#[derive(Clone, Copy, Debug)]
pub struct StartInputs<'a> {
    /// Size of the model.
    pub shape: ModelShape,
    /// KV memory of a typical stream in one layer, in MB.
    pub stream_mb: f64,
    /// Usable cards of the service in all domains.
    pub cards: &'a [CardView],
    /// Whether the streams that started at each card are known for all hosts and recent.
    pub has_loads: bool,
    /// Whether all hosts start for the first time.
    pub is_first_start: bool,
}

/// A change of the number of starters that a domain should have, with its inputs.
#[derive(Clone, Debug, PartialEq)]
pub struct StartChange {
    /// Failure domain.
    pub domain: DomainName,
    /// Number of starters that it should have from now on.
    pub wanted: usize,
    /// Streams in progress that started in the domain.
    pub in_use: u32,
    /// Streams that its first stages can start, with the starters that it should have.
    pub start_capacity: f64,
    /// Typical streams for which it has memory with these starters, split evenly over the layers.
    pub memory_capacity: f64,
}

/// Decides over successive rounds how many starters the domains of one service should have.
///
/// ```
/// use jacinthrock_entry::{ModelShape, StartInputs, StartPlanner};
/// use tokio::time::Instant;
///
/// let mut planner = StartPlanner::default();
/// let inputs = StartInputs {
///     shape: ModelShape { layers: 80, layer_mb: 1_750.0 },
///     stream_mb: 4.0,
///     cards: &[],
///     has_loads: true,
///     is_first_start: true,
/// };
/// assert!(planner.update(inputs, Instant::now()).is_empty());
/// assert!(planner.wanted().is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct StartPlanner {
    domains: BTreeMap<DomainName, DomainStarts>,
    /// Whether the first placement after a start of all hosts began under this planner.
    is_first_placement: bool,
    has_seen_streams: bool,
}

/// Memory of a domain between rounds.
#[derive(Clone, Copy, Debug, Default)]
struct DomainStarts {
    /// Number of starters that the domain should have.
    wanted: usize,
    /// Number of starters that it had in the last round.
    present: usize,
    /// Since when the usage without one of its starters has been low.
    low_since: Option<Instant>,
    /// Whether its first placement is complete: all of its cards have held layers at one time.
    is_placed: bool,
}

impl StartPlanner {
    /// Number of starters that each domain should have at present. A domain whose first placement is
    /// not complete needs its cards for whole copies; it keeps the starters that it has.
    pub fn wanted(&self) -> BTreeMap<DomainName, usize> {
        let wanted = self.domains.iter().map(|(domain, starts)| {
            let most = if starts.is_placed { usize::MAX } else { starts.present };
            (domain.clone(), starts.wanted.min(most))
        });
        wanted.collect()
    }

    /// Takes the inputs of one round; returns the domains whose number changes.
    pub fn update(&mut self, inputs: StartInputs<'_>, now: Instant) -> Vec<StartChange> {
        let StartInputs { cards, .. } = inputs;
        self.has_seen_streams |= cards.iter().any(|card| card.starts > 0);
        self.is_first_placement |= inputs.is_first_start
            && !cards.is_empty()
            && cards.iter().all(|card| card.held.is_none());
        let before = self.domains.clone();
        let names: BTreeSet<&DomainName> = cards.iter().map(|card| &card.domain).collect();
        self.domains.retain(|domain, _| names.contains(domain));
        let mut usages = BTreeMap::new();
        for domain in names {
            let members: Vec<_> = cards.iter().filter(|card| card.domain == *domain).collect();
            let starts = self.domains.entry(domain.clone()).or_default();
            let present: Vec<_> = starters_in(inputs.shape, &members).collect();
            starts.record_cards(&members, present.len());
            usages.insert(domain.clone(), DomainUsage::new(&inputs, &members, &present));
        }
        if inputs.has_loads {
            self.add_starters(&usages);
            self.remove_starters(&usages, now);
        } else {
            self.domains.values_mut().for_each(|starts| starts.low_since = None);
        }
        let wanted_before = |domain| before.get(domain).map_or(0, |starts| starts.wanted);
        let changed =
            self.domains.iter().filter(|(domain, starts)| starts.wanted != wanted_before(*domain));
        let changes = changed.map(|(domain, starts)| {
            let usage = &usages[domain];
            StartChange {
                domain: domain.clone(),
                wanted: starts.wanted,
                in_use: usage.in_use as u32,
                start_capacity: usage.start_capacity(starts.wanted),
                memory_capacity: usage.memory_capacity(starts.wanted),
            }
        });
        changes.collect()
    }

    /// Adds starters one at a time, to the domain with the highest usage first, until no domain
    /// lacks any that can be added.
    fn add_starters(&mut self, usages: &BTreeMap<DomainName, DomainUsage>) {
        loop {
            let is_exposed = self.is_exposed(usages, None);
            let lacking = self.domains.iter().filter(|(domain, starts)| {
                let usage = &usages[*domain];
                // The memory is measured anew after each starter, as nothing is urgent yet.
                let is_first = self.is_first_placement
                    && !self.has_seen_streams
                    && starts.wanted <= usage.present;
                let lacks = is_exposed || is_first || usage.usage(starts.wanted) > MAX_USAGE;
                starts.is_placed
                    && lacks
                    && usage.has_copies
                    && usage.has_memory_for_more(starts.wanted)
            });
            let usage_of = |(domain, starts): &(&DomainName, &DomainStarts)| {
                usages[*domain].usage(starts.wanted)
            };
            let busiest = lacking.max_by(|a, b| usage_of(a).total_cmp(&usage_of(b)));
            let Some(domain) = busiest.map(|(domain, _)| domain.clone()) else { break };
            let starts = self.domains.get_mut(&domain).expect("the domain is in the map");
            starts.wanted += 1;
            starts.low_since = None;
        }
    }

    /// Removes a starter of each domain whose usage without it has been low for long enough.
    fn remove_starters(&mut self, usages: &BTreeMap<DomainName, DomainUsage>, now: Instant) {
        let domains: Vec<DomainName> = self.domains.keys().cloned().collect();
        for domain in domains {
            let is_exposed = self.is_exposed(usages, Some(&domain));
            let starts = self.domains.get_mut(&domain).expect("the domain is in the map");
            let is_low = starts.wanted > 0
                && self.has_seen_streams
                && !is_exposed
                && usages[&domain].usage(starts.wanted - 1) < LOW_USAGE;
            let since = is_low.then(|| starts.low_since.unwrap_or(now));
            starts.low_since = since;
            if since.is_some_and(|since| now.saturating_duration_since(since) >= REMOVE_AFTER) {
                starts.wanted -= 1;
                starts.low_since = None;
            }
        }
    }

    /// Whether the service could not start its present streams after the loss of its largest first
    /// stage, with one starter less in the domain `without`. This is no reason to add a starter
    /// while the usage is so low that it would be removed again, nor while a domain is first placed.
    fn is_exposed(
        &self,
        usages: &BTreeMap<DomainName, DomainUsage>,
        without: Option<&DomainName>,
    ) -> bool {
        let capacity = |(domain, starts): (&DomainName, &DomainStarts)| {
            let removed = usize::from(without == Some(domain));
            usages[domain].start_capacity(starts.wanted.saturating_sub(removed))
        };
        let capacity: f64 = self.domains.iter().map(capacity).sum();
        let in_use: f64 = usages.values().map(|usage| usage.in_use).sum();
        let largest = usages.values().map(|usage| usage.largest).fold(0.0, f64::max);
        self.domains.values().all(|starts| starts.is_placed)
            && in_use > capacity * LOW_USAGE
            && in_use > capacity - largest
    }
}

impl DomainStarts {
    /// Takes the cards of a round, with the number of starters among them. Starters that appear
    /// without being wanted are those of a former holder of the placement lease, or were made
    /// because of rate limits; they are kept as long as others.
    fn record_cards(&mut self, members: &[&CardView], present: usize) {
        if present > self.present {
            self.wanted = self.wanted.max(present);
        }
        self.present = present;
        if members.iter().all(|card| card.loaded.is_some()) {
            self.is_placed = true;
        } else if members.iter().all(|card| card.loaded.is_none()) {
            self.is_placed = false;
        }
    }
}

/// Starts and memory of one domain in one round.
#[derive(Clone, Copy, Debug)]
struct DomainUsage {
    /// Streams in progress that started in the domain.
    in_use: f64,
    /// Streams that its first stages can start.
    capacity: f64,
    /// Streams that the largest of them can start.
    largest: f64,
    /// Streams that one more starter can start.
    starter_capacity: f64,
    /// Typical streams for which its cards have memory, were it split evenly over the layers.
    memory: f64,
    /// Typical streams for which the memory of one card suffices.
    card_memory: f64,
    cards: usize,
    /// Starters among the cards.
    present: usize,
    /// Whether the domain can hold `MIN_COPIES` of the model.
    has_copies: bool,
}

impl DomainUsage {
    fn new(inputs: &StartInputs<'_>, members: &[&CardView], starters: &[&CardView]) -> Self {
        let shape = inputs.shape;
        let model_mb = f64::from(shape.layers) * shape.layer_mb;
        let memory_mb: f64 = members.iter().map(|card| card.memory_mb).sum();
        let capacity_of = |card: &CardView| f64::from(card.slots) * MAX_OCCUPANCY;
        let others = members.iter().filter(|card| card.slots > 0).map(|card| capacity_of(card));
        let others: Vec<f64> = others.collect();
        let is_whole = (0..shape.layers)
            .all(|layer| members.iter().any(|card| card.loaded.is_some_and(|s| s.holds(layer))));
        let starter_names: BTreeSet<_> = starters.iter().map(|card| &card.name).collect();
        let is_starter = |card: &CardView| starter_names.contains(&card.name);
        // A starter that still loads the first layer counts, as it does in `present`: each would be
        // followed by a further one otherwise.
        let serves_first = |card: &&&CardView| {
            let spans = [card.held, card.loaded];
            is_starter(card) || spans.iter().all(|span| span.is_some_and(|span| span.holds(0)))
        };
        let first_stages = members.iter().filter(serves_first).map(|card| capacity_of(card));
        let carriers = members.iter().filter(|card| card.loaded.is_some() && !is_starter(card));
        let carriers_mb: f64 = carriers.map(|card| card.memory_mb).sum();
        let copies = (carriers_mb * WEIGHT_SHARE / model_mb).floor().max(1.0);
        let streams_in = |memory_mb: f64| {
            let streams = memory_mb / f64::from(shape.layers) / inputs.stream_mb;
            if streams.is_finite() { streams.max(0.0) } else { 0.0 }
        };
        let room_mb = if is_whole { carriers_mb - copies * model_mb } else { 0.0 };
        Self {
            in_use: members.iter().map(|card| f64::from(card.starts)).sum(),
            capacity: first_stages.clone().sum(),
            largest: first_stages.fold(0.0, f64::max),
            starter_capacity: others.iter().sum::<f64>() / others.len().max(1) as f64,
            memory: streams_in(room_mb),
            card_memory: streams_in(memory_mb / members.len().max(1) as f64),
            cards: members.len(),
            present: starters.len(),
            has_copies: memory_mb * WEIGHT_SHARE >= model_mb * MIN_COPIES,
        }
    }

    /// Streams that the domain can start with a number of starters.
    fn start_capacity(&self, starters: usize) -> f64 {
        let added = starters as f64 - self.present as f64;
        (self.capacity + added * self.starter_capacity).max(0.0)
    }

    /// Typical streams that the domain has memory for with a number of starters. The other cards
    /// take over the weights of a starter, so that its whole memory is taken from their room. The
    /// present spans don't count: they move while cards are lost and replaced, and the number of
    /// starters would follow each move.
    fn memory_capacity(&self, starters: usize) -> f64 {
        let added = starters as f64 - self.present as f64;
        (self.memory - added * self.card_memory).max(0.0)
    }

    /// Share of the start capacity in use with a number of starters.
    fn usage(&self, starters: usize) -> f64 {
        let capacity = self.start_capacity(starters);
        match (self.in_use > 0.0, capacity > 0.0) {
            (false, _) => 0.0,
            (true, true) => self.in_use / capacity,
            (true, false) => f64::INFINITY,
        }
    }

    /// Whether starts, and not memory, limit the streams of the domain, so that one more starter
    /// lets it take more of them.
    fn has_memory_for_more(&self, starters: usize) -> bool {
        (starters + 1) * CARDS_PER_STARTER <= self.cards
            && self.starter_capacity > 0.0
            && self.memory_capacity(starters) > self.start_capacity(starters)
    }
}
