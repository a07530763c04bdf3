//! Plans which endpoint holds which layers of a model.
//!
//! A card is the accelerator of one endpoint; it holds a contiguous span of layers. The room of a
//! card is the memory that the weights leave free for the KV cache of streams.
//!
//! The planner assumes that streams arrive at a steady rate while cards join, leave and fail one at
//! a time. Each failure domain should keep a whole copy of the model, because activations between
//! domains share one slow link. Recovery from the loss of a card must load few layers.
//!
//! Empty cards are placed one at a time, the fastest first, each over the layers with the fewest
//! copies in its domain. A gap is closed by empty cards, then by extending the cards next to it.
//! Extended cards have little room left, and the layer with the least room limits the streams of a
//! domain. Layers therefore move between cards until the room is balanced: the new holder loads
//! them first, and the old holder releases them once another card serves them.
//!
//! Streams start at the cards that hold the first layer. If these accept too few starts, because of
//! their slots (module `starts`) or since the rate limits of all of them are exceeded, other cards of
//! the domain become starters, one at a time: the neighbours take over the layers of a starter, then
//! it holds the first layer alone, and streams go on from it through the other cards. A starter that
//! is no longer needed moves to the layers with the fewest copies.

use std::collections::{BTreeMap, BTreeSet};

use jacinthrock::{DomainName, EndpointName};

use crate::endpoints::LayerSpan;

/// Share of a card's memory for weights when it is first placed; the rest is for the KV cache. A
/// larger share can add a second copy to a domain, at the expense of the first copy's streams; a
/// smaller one makes each stream pass through more cards.
pub(crate) const WEIGHT_SHARE: f64 = 0.6;
/// Largest share of a card's memory for weights, when closing a gap or rebalancing.
const MAX_WEIGHT_SHARE: f64 = 0.9;
/// Memory that a card must keep free when it is extended, as a multiple of what its streams use. An
/// order that leaves less than they use aborts all of them.
const STREAM_MEMORY_MARGIN: f64 = 1.3;
/// A domain is rebalanced if the room of its tightest layer is below this share of the room with
/// memory split evenly.
const REBALANCE_ROOM_SHARE: f64 = 0.55;
/// Room per layer that a card must keep when it adds a layer for another copy, as a share of the
/// room with memory split evenly. Half of that room carries the usual load of a domain.
const MIN_COPY_ROOM_SHARE: f64 = 0.5;
/// Most layers that one order adds to a card while rebalancing; more take too long to load.
const MAX_HANDOVER_LAYERS: u16 = 6;
/// Most cards that are compared for one starter, those with the least memory. Each comparison plans
/// the whole domain, in each round in which a starter is wanted.
const MAX_STARTER_CANDIDATES: usize = 8;
/// Layers that a starter holds.
const STARTER_SPAN: LayerSpan = LayerSpan { from: 0, to: 1 };
/// Weight of a copy in another domain, relative to a copy in the card's own domain.
const REMOTE_COPY_WEIGHT: f64 = 0.01;

/// Size of the model to place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModelShape {
    /// Number of layers.
    pub layers: u16,
    /// Memory of one layer's weights, in MB.
    pub layer_mb: f64,
}

/// Requests that may start at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRate {
    /// The endpoint has named no rate limit.
    Unlimited,
    /// It takes as many as hosts want to start there.
    Sufficient,
    /// Hosts want to start more there than it takes.
    Exceeded,
}

/// The planner's view of one endpoint and its card.
#[derive(Clone, Debug, PartialEq)]
pub struct CardView {
    /// Name of the endpoint.
    pub name: EndpointName,
    /// Failure domain.
    pub domain: DomainName,
    /// Memory of the card, in MB.
    pub memory_mb: f64,
    /// Multiplier on the time of a step; lower is faster.
    pub step_factor: f64,
    /// Layers that the card holds or has been ordered to hold.
    pub held: Option<LayerSpan>,
    /// Layers that the card already serves; none during its first load.
    pub loaded: Option<LayerSpan>,
    /// Whether the card has been empty for so long that it no longer waits for a gap to fill.
    pub is_idle: bool,
    /// Memory that its streams use, in MB.
    pub used_mb: f64,
    /// Whether no order to the endpoint is pending.
    pub is_free: bool,
    /// Requests that may start here.
    pub start_rate: StartRate,
    /// Number of streams that may start here and be in progress at the same time.
    pub slots: u32,
    /// Streams in progress that started here, over all hosts.
    pub starts: u32,
}

/// An order to an endpoint to hold a span of layers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LayoutOrder {
    /// Name of the endpoint.
    pub name: EndpointName,
    /// Layers that the endpoint holds once the order is complete.
    pub span: LayerSpan,
}

/// Plans the layout of one model over successive rounds.
///
/// ```
/// use jacinthrock_entry::{CardView, LayerSpan, LayoutPlanner, ModelShape, StartRate};
///
/// let card = CardView {
///     name: "a".into(),
///     domain: "north".into(),
///     memory_mb: 100.0,
///     step_factor: 1.0,
///     held: None,
///     loaded: None,
///     is_idle: true,
///     used_mb: 0.0,
///     is_free: true,
///     start_rate: StartRate::Unlimited,
///     slots: 192,
///     starts: 0,
/// };
/// let shape = ModelShape { layers: 4, layer_mb: 10.0 };
/// let orders = LayoutPlanner::default().orders(shape, &[card]);
/// assert_eq!(orders[0].span, LayerSpan { from: 0, to: 4 });
/// ```
#[derive(Clone, Debug, Default)]
pub struct LayoutPlanner {
    targets: BTreeMap<DomainName, DomainTarget>,
    /// Number of starters that each domain should have for want of slots.
    wanted: BTreeMap<DomainName, usize>,
    /// The starters of each domain, from their choice on.
    starters: BTreeMap<DomainName, BTreeSet<EndpointName>>,
    /// Former starters that still hold the first layer alone.
    released: BTreeSet<EndpointName>,
}

/// The balanced layout that a domain moves towards. It is kept while the set of cards stays the
/// same: recomputed in each round from spans that have moved, it could oscillate forever between
/// two orders of the cards.
#[derive(Clone, Debug)]
struct DomainTarget {
    members: BTreeSet<EndpointName>,
    spans: BTreeMap<EndpointName, LayerSpan>,
}

impl LayoutPlanner {
    /// Returns the orders of one round: they place empty cards and close gaps or, if there is
    /// nothing to place or close, rebalance domains.
    ///
    /// An order either adds or releases layers, never both, so that the held and the ordered layers
    /// always fit on the card together. A layer is released only if other cards of the domain hold
    /// it. A starter is moved as a whole, once other cards serve all of its layers.
    pub fn orders(&mut self, shape: ModelShape, cards: &[CardView]) -> Vec<LayoutOrder> {
        self.update_starters(shape, cards);
        let mut draft = LayoutDraft::new(shape, cards, &self.reserved());
        draft.place_empty_cards();
        draft.close_gaps();
        draft.move_starters(&self.released);
        if draft.is_unchanged() {
            draft.rebalance(&mut self.targets);
        }
        draft.orders()
    }

    /// Sets the number of starters that each domain should have for want of slots; none at first.
    ///
    /// ```
    /// use jacinthrock_entry::LayoutPlanner;
    ///
    /// let mut planner = LayoutPlanner::default();
    /// planner.set_wanted([("north".into(), 2)].into());
    /// ```
    pub fn set_wanted(&mut self, wanted: BTreeMap<DomainName, usize>) {
        self.wanted = wanted;
    }

    /// Keeps, releases and chooses starters so that each domain gets as many as it should have.
    fn update_starters(&mut self, shape: ModelShape, cards: &[CardView]) {
        let by_name: BTreeMap<_, _> = cards.iter().map(|card| (&card.name, card)).collect();
        for (domain, names) in &mut self.starters {
            names.retain(|name| {
                by_name.get(name).is_some_and(|card| {
                    card.domain == *domain
                        && card.held.is_some()
                        && card.start_rate != StartRate::Exceeded
                })
            });
        }
        self.released
            .retain(|name| by_name.get(name).is_some_and(|card| card.held == Some(STARTER_SPAN)));
        let domains: BTreeSet<&DomainName> = cards.iter().map(|card| &card.domain).collect();
        for domain in domains {
            let members: Vec<_> = cards.iter().filter(|card| card.domain == *domain).collect();
            let wanted = self.wanted.get(domain).copied().unwrap_or_default();
            let wanted = wanted.max(self.wanted_for_rates(shape, domain, &members));
            let before = self.starters.get(domain).cloned().unwrap_or_default();
            self.adopt_starters(shape, domain, &members, wanted);
            self.release_starter(domain, &members, wanted);
            self.choose_starter(shape, cards, domain, wanted);
            if self.starters.get(domain).is_some_and(|names| *names != before) {
                self.targets.remove(domain);
            }
        }
    }

    /// Number of starters that a domain should have because of rate limits: one once the limits of
    /// all its first stages are exceeded, until none of them has a limit.
    fn wanted_for_rates(
        &self,
        shape: ModelShape,
        domain: &DomainName,
        members: &[&CardView],
    ) -> usize {
        let first_stages = || members.iter().filter(|card| holds_first_layer(card));
        let is_limited = first_stages().any(|card| card.start_rate != StartRate::Unlimited);
        let has_starter = self.starters.get(domain).is_some_and(|names| !names.is_empty())
            || starters_in(shape, members).any(|card| card.start_rate == StartRate::Unlimited);
        let is_exceeded = first_stages().all(|card| card.start_rate == StartRate::Exceeded);
        usize::from(is_limited && (has_starter || is_exceeded))
    }

    /// Takes over starters that a former holder of the placement lease has made, and those that were
    /// released but have not moved yet.
    fn adopt_starters(
        &mut self,
        shape: ModelShape,
        domain: &DomainName,
        members: &[&CardView],
        wanted: usize,
    ) {
        let names = self.starters.entry(domain.clone()).or_default();
        for card in starters_in(shape, members) {
            if names.len() < wanted && card.start_rate != StartRate::Exceeded {
                names.insert(card.name.clone());
                self.released.remove(&card.name);
            }
        }
    }

    /// Releases a starter if the domain has too many: one that has not moved yet, or else the one
    /// with the most memory.
    fn release_starter(&mut self, domain: &DomainName, members: &[&CardView], wanted: usize) {
        let names = self.starters.entry(domain.clone()).or_default();
        let is_releasing = members.iter().any(|card| self.released.contains(&card.name));
        if names.len() <= wanted || is_releasing {
            return;
        }
        let starters = members.iter().filter(|card| names.contains(&card.name));
        let last = starters.max_by(|a, b| {
            let is_moving = |card: &CardView| card.held != Some(STARTER_SPAN);
            is_moving(a)
                .cmp(&is_moving(b))
                .then_with(|| a.memory_mb.total_cmp(&b.memory_mb))
                .then_with(|| b.name.cmp(&a.name))
        });
        if let Some(card) = last {
            names.remove(&card.name);
            if card.held == Some(STARTER_SPAN) {
                self.released.insert(card.name.clone());
            }
        }
    }

    /// Chooses another starter if the domain has too few and no card is on its way to become one or
    /// to be none.
    fn choose_starter(
        &mut self,
        shape: ModelShape,
        cards: &[CardView],
        domain: &DomainName,
        wanted: usize,
    ) {
        let excluded = self.reserved();
        let is_in_transit = |card: &CardView| {
            let is_reserved = card.domain == *domain && excluded.contains(&card.name);
            is_reserved && (card.loaded != Some(STARTER_SPAN) || self.released.contains(&card.name))
        };
        let names = self.starters.entry(domain.clone()).or_default();
        if names.len() < wanted && !cards.iter().any(is_in_transit) {
            names.extend(best_starter(shape, cards, domain, &excluded));
        }
    }

    /// Starters and former starters, which the layout of the other cards must do without.
    fn reserved(&self) -> BTreeSet<EndpointName> {
        self.starters.values().flatten().chain(&self.released).cloned().collect()
    }
}

/// Whether a card holds the first layer or has been ordered to.
fn holds_first_layer(card: &CardView) -> bool {
    card.held.is_some_and(|span| span.holds(0))
}

/// Cards of one domain that hold the first layer alone, if another card holds it together with
/// others: without one, they are the first stages of whole copies.
pub(crate) fn starters_in<'a>(
    shape: ModelShape,
    members: &[&'a CardView],
) -> impl Iterator<Item = &'a CardView> {
    let is_starter = |card: &CardView| card.held == Some(STARTER_SPAN);
    let has_other = members.iter().any(|card| holds_first_layer(card) && !is_starter(card));
    let may_have = has_other && shape.layers > STARTER_SPAN.count();
    let starters = members.iter().copied().filter(move |card| may_have && is_starter(card));
    starters.collect::<Vec<_>>().into_iter()
}

/// The card of a domain without which the tightest layer of the domain keeps the most room. A first
/// stage is none, since the domain would start no more streams than before.
fn best_starter(
    shape: ModelShape,
    cards: &[CardView],
    domain: &str,
    excluded: &BTreeSet<EndpointName>,
) -> Option<EndpointName> {
    let is_candidate = |card: &&CardView| {
        let fits = card.held.is_some_and(|span| {
            let layers = f64::from(span.count() + STARTER_SPAN.count());
            let streams_mb = card.used_mb * STREAM_MEMORY_MARGIN;
            layers * shape.layer_mb + streams_mb <= card.memory_mb
        });
        &*card.domain == domain
            && card.start_rate == StartRate::Unlimited
            && card.slots > 0
            && !holds_first_layer(card)
            && card.is_free
            && card.held.is_some()
            && card.held == card.loaded
            && fits
    };
    let mut candidates: Vec<_> = cards.iter().filter(is_candidate).collect();
    candidates
        .sort_by(|a, b| a.memory_mb.total_cmp(&b.memory_mb).then_with(|| a.name.cmp(&b.name)));
    candidates.truncate(MAX_STARTER_CANDIDATES);
    let rooms = candidates.into_iter().filter_map(|card| {
        let mut reserved = excluded.clone();
        reserved.insert(card.name.clone());
        let mut draft = LayoutDraft::new(shape, cards, &reserved);
        while let Some((index, span)) = draft.best_extension(domain, 1, 0.0) {
            draft.extend(index, span);
        }
        let others = draft.members(domain);
        let is_whole = draft.copies[domain].iter().all(|count| *count > 0);
        is_whole.then(|| (draft.min_room(&others), &card.name))
    });
    let best = rooms.max_by(|a, b| a.0.total_cmp(&b.0).then_with(|| b.1.cmp(a.1)));
    best.map(|(_, name)| name.clone())
}

/// Layout of one round while it is planned.
struct LayoutDraft<'a> {
    shape: ModelShape,
    cards: &'a [CardView],
    /// Whether each card is a starter or former starter, whose layers count as if they were gone.
    reserved: Vec<bool>,
    /// Indexes of the cards of each domain.
    indexes: BTreeMap<&'a str, Vec<usize>>,
    /// Planned span of each card.
    spans: Vec<Option<LayerSpan>>,
    /// Number of cards that serve each layer and keep it, without starters, by domain. Counting
    /// them for each layer of each card takes time with the square of the number of cards.
    serving: BTreeMap<&'a str, Vec<u32>>,
    /// Number of copies of each layer, by domain.
    copies: BTreeMap<&'a str, Vec<u32>>,
    /// The same without cards in their first load, which takes longer than an extension.
    serving_copies: BTreeMap<&'a str, Vec<u32>>,
}

impl<'a> LayoutDraft<'a> {
    fn new(shape: ModelShape, cards: &'a [CardView], reserved: &BTreeSet<EndpointName>) -> Self {
        let mut indexes: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for (index, card) in cards.iter().enumerate() {
            indexes.entry(&card.domain).or_default().push(index);
        }
        let none = || indexes.keys().map(|domain| (*domain, vec![0; usize::from(shape.layers)]));
        let mut draft = Self {
            shape,
            cards,
            reserved: cards.iter().map(|card| reserved.contains(&card.name)).collect(),
            spans: cards.iter().map(|card| card.held.filter(|s| s.count() > 0)).collect(),
            serving: none().collect(),
            copies: none().collect(),
            serving_copies: none().collect(),
            indexes,
        };
        for index in 0..cards.len() {
            if let Some(span) = draft.spans[index].filter(|_| !draft.is_reserved(index)) {
                draft.add_copies(index, span);
            }
            draft.count_serving(index, |count| count + 1);
        }
        draft
    }

    fn is_reserved(&self, index: usize) -> bool {
        self.reserved[index]
    }

    /// Whether a domain has starters or former starters.
    fn has_reserved(&self, domain: &str) -> bool {
        self.indexes[domain].iter().any(|index| self.reserved[*index])
    }

    /// Changes the planned span of a card.
    fn set_span(&mut self, index: usize, span: LayerSpan) {
        self.count_serving(index, |count| count - 1);
        self.spans[index] = Some(span);
        self.count_serving(index, |count| count + 1);
    }

    fn count_serving(&mut self, index: usize, change: impl Fn(u32) -> u32) {
        let Some(served) = self.served_span(index) else { return };
        let domain = &*self.cards[index].domain;
        let counts = self.serving.get_mut(domain).expect("every domain of a card has a row");
        counts.resize(counts.len().max(served.to.into()), 0);
        for count in &mut counts[served.from.into()..served.to.into()] {
            *count = change(*count);
        }
    }

    /// Layers that a card serves and keeps. A card that has only just been ordered to load a layer
    /// does not serve it yet.
    fn served_span(&self, index: usize) -> Option<LayerSpan> {
        let loaded = self.cards[index].loaded.filter(|_| !self.is_reserved(index))?;
        let held = self.spans[index]?;
        let served = LayerSpan { from: loaded.from.max(held.from), to: loaded.to.min(held.to) };
        (served.count() > 0).then_some(served)
    }

    /// Moves starters and former starters whose layers other cards of their domain serve.
    fn move_starters(&mut self, released: &BTreeSet<EndpointName>) {
        for index in 0..self.cards.len() {
            let card = &self.cards[index];
            let Some(span) = self.spans[index].filter(|_| self.is_reserved(index)) else {
                continue;
            };
            let is_served = (span.from..span.to).all(|layer| self.serving(index, layer) > 0);
            if !card.is_free || !is_served {
                continue;
            }
            if !released.contains(&card.name) {
                self.set_span(index, STARTER_SPAN);
                continue;
            }
            // The layers are loaded while streams still run through the first layer.
            let left = card.memory_mb - card.used_mb * STREAM_MEMORY_MARGIN;
            let left = (left / self.shape.layer_mb).floor() - f64::from(span.count());
            let count = left.clamp(0.0, f64::from(self.max_layers(card, WEIGHT_SHARE))) as u16;
            if count > 0 {
                let span = self.least_covered_span(index, count);
                self.set_span(index, span);
                self.add_copies(index, span);
            }
        }
    }

    /// Number of other cards of a card's domain that serve a layer and keep it.
    fn serving(&self, index: usize, layer: u16) -> usize {
        let counts = &self.serving[&*self.cards[index].domain];
        let count = counts.get(usize::from(layer)).copied().unwrap_or_default();
        let own = self.served_span(index).is_some_and(|span| span.holds(layer));
        count as usize - usize::from(own)
    }

    fn add_copies(&mut self, index: usize, span: LayerSpan) {
        let domain = &*self.cards[index].domain;
        let is_serving = self.cards[index].loaded.is_some();
        let copies = self.copies.get_mut(domain).expect("every domain of a card has a row");
        let serving_copies =
            self.serving_copies.get_mut(domain).expect("every domain of a card has a row");
        for layer in span.from..span.to.min(self.shape.layers) {
            copies[usize::from(layer)] += 1;
            serving_copies[usize::from(layer)] += u32::from(is_serving);
        }
    }

    fn max_layers(&self, card: &CardView, share: f64) -> u16 {
        let fits = (card.memory_mb * share / self.shape.layer_mb).floor();
        // At least one layer if the card can hold it at all.
        let floor = if card.memory_mb >= self.shape.layer_mb { 1.0 } else { 0.0 };
        fits.max(floor).min(f64::from(self.shape.layers)) as u16
    }

    fn place_empty_cards(&mut self) {
        let mut empty: Vec<usize> = (0..self.cards.len())
            .filter(|index| self.spans[*index].is_none() && self.cards[*index].is_free)
            .collect();
        empty.sort_by(|a, b| {
            let (a, b) = (&self.cards[*a], &self.cards[*b]);
            a.step_factor.total_cmp(&b.step_factor).then_with(|| a.name.cmp(&b.name))
        });
        for index in empty {
            let card = &self.cards[index];
            let count = self.max_layers(card, WEIGHT_SHARE);
            let has_gap = self.copies[&*card.domain].contains(&0);
            if count == 0 || !(has_gap || card.is_idle) {
                continue;
            }
            let span = self.least_covered_span(index, count);
            self.set_span(index, span);
            self.add_copies(index, span);
        }
    }

    fn least_covered_span(&self, index: usize, count: u16) -> LayerSpan {
        let weights = self.layer_weights(&self.cards[index].domain);
        let starts = 0..=self.shape.layers - count;
        let weight_of = |from: &u16| -> f64 {
            weights[usize::from(*from)..usize::from(from + count)].iter().sum()
        };
        let from = starts.min_by(|a, b| weight_of(a).total_cmp(&weight_of(b))).unwrap_or(0);
        LayerSpan { from, to: from + count }
    }

    /// Weighted number of copies of each layer; copies in other domains count for little.
    fn layer_weights(&self, domain: &str) -> Vec<f64> {
        let mut weights = vec![0.0; usize::from(self.shape.layers)];
        for (name, copies) in &self.copies {
            let factor = if *name == domain { 1.0 } else { REMOTE_COPY_WEIGHT };
            for (weight, count) in weights.iter_mut().zip(copies) {
                *weight += factor * f64::from(*count);
            }
        }
        weights
    }

    fn close_gaps(&mut self) {
        let domains: Vec<&str> = self.copies.keys().copied().collect();
        for domain in domains {
            while let Some((index, span)) = self.best_extension(domain, 1, 0.0) {
                self.extend(index, span);
            }
            // If a layer is lost, running streams continue on its other copies while there are any.
            let members = self.members(domain);
            let copies = self.chain_count(&members) as u32;
            let min_room = self.balanced_room(&members) / f64::from(copies) * MIN_COPY_ROOM_SHARE;
            while let Some((index, span)) = self.best_extension(domain, copies, min_room) {
                self.extend(index, span);
            }
        }
    }

    fn extend(&mut self, index: usize, span: LayerSpan) {
        let held = self.spans[index].expect("only cards that hold layers are extended");
        for layer in [span.from, span.to - 1] {
            if !held.holds(layer) {
                self.add_copies(index, LayerSpan { from: layer, to: layer + 1 });
            }
        }
        self.set_span(index, span);
    }

    /// Among the cards next to a layer with fewer than `wanted` copies, finds the one with the most
    /// room per layer after adding that layer, at least `min_room` MB.
    fn best_extension(
        &self,
        domain: &str,
        wanted: u32,
        min_room: f64,
    ) -> Option<(usize, LayerSpan)> {
        // During the first loads of a domain no card serves yet, so all copies count.
        let is_first = self.serving_copies[domain].iter().all(|count| *count == 0);
        let counts = if is_first { &self.copies[domain] } else { &self.serving_copies[domain] };
        let is_gap =
            |layer: u16| counts.get(usize::from(layer)).is_some_and(|count| *count < wanted);
        let mut best: Option<(f64, usize, LayerSpan)> = None;
        for &index in &self.indexes[domain] {
            let card = &self.cards[index];
            let is_extensible = card.is_free && !self.is_reserved(index);
            let Some(span) = self.spans[index].filter(|_| is_extensible) else { continue };
            if !(is_first || card.loaded.is_some()) {
                continue;
            }
            let longer = if is_gap(span.to) {
                LayerSpan { to: span.to + 1, ..span }
            } else if span.from > 0 && is_gap(span.from - 1) {
                LayerSpan { from: span.from - 1, ..span }
            } else {
                continue;
            };
            if !self.fits(index, longer) {
                continue;
            }
            let room = self.room_per_layer(index, longer);
            if room >= min_room && best.is_none_or(|(other, ..)| room > other) {
                best = Some((room, index, longer));
            }
        }
        best.map(|(_, index, span)| (index, span))
    }

    fn is_unchanged(&self) -> bool {
        self.cards.iter().zip(&self.spans).all(|(card, span)| card.held == *span)
    }

    /// Moves the cards of each unbalanced domain one step towards its balanced layout.
    fn rebalance(&mut self, targets: &mut BTreeMap<DomainName, DomainTarget>) {
        let domains: Vec<&str> = self.copies.keys().copied().collect();
        targets.retain(|domain, _| domains.contains(&&**domain));
        for domain in domains {
            let members = self.members(domain);
            let names = || members.iter().map(|index| &self.cards[*index].name);
            let is_current = |target: &DomainTarget| {
                target.members.len() == members.len()
                    && names().all(|name| target.members.contains(name))
            };
            if targets.get(domain).is_some_and(|target| !is_current(target)) {
                targets.remove(domain);
            }
            if !members.iter().all(|index| self.cards[*index].is_free) {
                continue;
            }
            // Streams pause at each card that loads or releases layers. A domain with starters has
            // other room for them than that of its tightest layer.
            let has_streams = members.iter().any(|index| self.cards[*index].used_mb > 0.0);
            if has_streams && self.has_reserved(domain) {
                continue;
            }
            if !targets.contains_key(domain) && self.is_unbalanced(domain, &members) {
                let spans = self.balanced_spans(&members).into_iter();
                let spans = spans.map(|(index, span)| (self.cards[index].name.clone(), span));
                let target =
                    DomainTarget { members: names().cloned().collect(), spans: spans.collect() };
                targets.insert(domain.into(), target);
            }
            if let Some(target) = targets.get(domain) {
                self.step_towards(&members, target);
            }
        }
    }

    /// Whether a layer has too few copies in the domain, or the tightest layer has little room.
    fn is_unbalanced(&self, domain: &str, members: &[usize]) -> bool {
        let copies = self.chain_count(members) as u32;
        self.copies[domain].iter().any(|count| *count < copies)
            || self.min_room(members) < self.balanced_room(members) * REBALANCE_ROOM_SHARE
    }

    /// Indexes of the domain's cards that hold layers, without starters.
    fn members(&self, domain: &str) -> Vec<usize> {
        let indexes = self.indexes[domain].iter().copied();
        indexes.filter(|index| self.spans[*index].is_some() && !self.is_reserved(*index)).collect()
    }

    /// Room of the domain's tightest layer, in MB over all its copies.
    fn min_room(&self, members: &[usize]) -> f64 {
        let mut rooms = vec![0.0; usize::from(self.shape.layers)];
        for &index in members {
            let Some(span) = self.spans[index] else { continue };
            for layer in span.from..span.to.min(self.shape.layers) {
                rooms[usize::from(layer)] += self.room_per_layer(index, span);
            }
        }
        rooms.into_iter().fold(f64::INFINITY, f64::min)
    }

    /// Room per layer if the domain's memory were split evenly, in MB.
    fn balanced_room(&self, members: &[usize]) -> f64 {
        let left = self.memory(members) - self.chain_count(members) as f64 * self.model_mb();
        left / f64::from(self.shape.layers)
    }

    fn memory(&self, members: &[usize]) -> f64 {
        members.iter().map(|index| self.cards[*index].memory_mb).sum()
    }

    /// Number of chains, which are whole copies of the model, that a domain should hold.
    fn chain_count(&self, members: &[usize]) -> usize {
        ((self.memory(members) * WEIGHT_SHARE / self.model_mb()) as usize).max(1)
    }

    /// Memory of one copy of the model's weights, in MB.
    fn model_mb(&self) -> f64 {
        f64::from(self.shape.layers) * self.shape.layer_mb
    }

    /// Spans that split the domain's memory evenly. The cards of each chain keep their order along
    /// the model, so that each moves by as few layers as possible.
    fn balanced_spans(&self, members: &[usize]) -> Vec<(usize, LayerSpan)> {
        let mut ordered = members.to_vec();
        ordered.sort_by_key(|index| self.spans[*index].map_or(0, |span| span.from + span.to));
        self.assign_chains(&ordered).iter().flat_map(|chain| self.chain_spans(chain)).collect()
    }

    /// Assigns the domain's cards to its chains, each to the chain with the least memory so far.
    fn assign_chains(&self, ordered: &[usize]) -> Vec<Vec<usize>> {
        let count = self.chain_count(ordered).min(ordered.len());
        let mut chains = vec![(0.0_f64, Vec::new()); count];
        for &index in ordered {
            let least = chains.iter_mut().min_by(|a, b| a.0.total_cmp(&b.0));
            let (memory, chain) = least.expect("a domain has at least one chain");
            *memory += self.cards[index].memory_mb;
            chain.push(index);
        }
        chains.into_iter().map(|(_, chain)| chain).collect()
    }

    /// Consecutive spans of the cards of one chain, in the given order. No other split into whole
    /// layers leaves more room at the tightest layer.
    fn chain_spans(&self, chain: &[usize]) -> Vec<(usize, LayerSpan)> {
        let mut counts = vec![0_u16; chain.len()];
        for _ in 0..self.shape.layers {
            let can_take = |at: &usize| {
                counts[*at] < self.max_layers(&self.cards[chain[*at]], MAX_WEIGHT_SHARE)
            };
            let room = |at: usize| self.cards[chain[at]].memory_mb / f64::from(counts[at] + 1);
            let roomiest = (0..chain.len())
                .filter(can_take)
                .max_by(|a, b| room(*a).total_cmp(&room(*b)).then(b.cmp(a)));
            let Some(roomiest) = roomiest else { break };
            counts[roomiest] += 1;
        }
        let mut from = 0;
        let spans = chain.iter().zip(counts).map(|(index, count)| {
            let span = LayerSpan { from, to: from + count };
            from = span.to;
            (*index, span)
        });
        spans.filter(|(_, span)| span.count() > 0).collect()
    }

    /// Moves each card one step towards its target span: it releases layers outside the target that
    /// other cards serve or, if there are none, adds layers of the target that fit its memory.
    fn step_towards(&mut self, members: &[usize], target: &DomainTarget) {
        let copies = self.chain_count(members);
        for &index in members {
            let Some(target) = target.spans.get(&self.cards[index].name) else { continue };
            let Some(span) = self.spans[index] else { continue };
            let next = self.without_redundant(index, span, *target, copies);
            let next =
                if next == span { self.extended_towards(index, span, *target) } else { next };
            self.set_span(index, next);
        }
    }

    /// Returns the span without those outermost layers outside the target of which other cards
    /// serve at least `copies` copies. Layers between the span and the target are kept.
    fn without_redundant(
        &self,
        index: usize,
        span: LayerSpan,
        target: LayerSpan,
        copies: usize,
    ) -> LayerSpan {
        let is_redundant = |layer: u16| self.serving(index, layer) >= copies;
        let mut left = span;
        while left.count() > 1 && left.from < target.from && is_redundant(left.from) {
            left.from += 1;
        }
        while left.count() > 1 && left.to > target.to && is_redundant(left.to - 1) {
            left.to -= 1;
        }
        left
    }

    /// Returns the span extended towards the target by at most `MAX_HANDOVER_LAYERS` layers, so
    /// that the card's streams do not wait too long for the load.
    fn extended_towards(&self, index: usize, span: LayerSpan, target: LayerSpan) -> LayerSpan {
        let mut longer = span;
        for _ in 0..MAX_HANDOVER_LAYERS {
            let down = LayerSpan { from: longer.from.saturating_sub(1), ..longer };
            let up = LayerSpan { to: longer.to + 1, ..longer };
            if longer.from > target.from && self.fits(index, down) {
                longer = down;
            } else if longer.to < target.to && self.fits(index, up) {
                longer = up;
            }
        }
        longer
    }

    /// Room of a card per layer of a span, in MB.
    fn room_per_layer(&self, index: usize, span: LayerSpan) -> f64 {
        let weights = f64::from(span.count()) * self.shape.layer_mb;
        (self.cards[index].memory_mb - weights) / f64::from(span.count())
    }

    fn fits(&self, index: usize, span: LayerSpan) -> bool {
        let card = &self.cards[index];
        let left = card.memory_mb - f64::from(span.count()) * self.shape.layer_mb;
        span.count() <= self.max_layers(card, MAX_WEIGHT_SHARE)
            && left >= card.used_mb * STREAM_MEMORY_MARGIN
    }

    fn orders(&self) -> Vec<LayoutOrder> {
        let changed = self.cards.iter().zip(&self.spans).filter(|(card, span)| card.held != **span);
        changed
            .filter_map(|(card, span)| {
                span.map(|span| LayoutOrder { name: card.name.clone(), span })
            })
            .collect()
    }
}
