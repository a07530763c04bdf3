//! Cards and stages of a sample deployment, and measures of their layout.
#![allow(dead_code)]

use std::collections::BTreeSet;

use jacinthrock_entry::{
    CardView, LayerSpan, LayoutOrder, LayoutPlanner, ModelShape, PathStage, StartRate,
};

/// Model of 80 layers of 1,750 MB each.
pub(crate) const SHAPE: ModelShape = ModelShape { layers: 80, layer_mb: 1_750.0 };
/// KV cache memory per token and layer, in MB.
pub(crate) const TOKEN_LAYER_MB: f64 = 590_000.0 / 80.0 / 1e6;

const KINDS: [(&str, f64, f64); 4] = [
    ("h100", 72_000.0, 1.4),
    ("a100s", 36_000.0, 3.1),
    ("l4", 21_600.0, 16.0),
    ("t4", 14_400.0, 15.0),
];
/// Number of cards of each kind in each domain.
const COUNTS: [(&str, [usize; 4]); 3] =
    [("north", [1, 1, 5, 7]), ("middle", [0, 1, 8, 3]), ("south", [0, 2, 4, 7])];

/// All cards of the deployment, without layers.
pub(crate) fn empty_fleet() -> Vec<CardView> {
    let mut cards = Vec::new();
    for (domain, counts) in COUNTS {
        for ((kind, memory_mb, step_factor), count) in KINDS.into_iter().zip(counts) {
            for number in 0..count {
                cards.push(CardView {
                    name: format!("{domain}-{kind}-{number}").into(),
                    domain: domain.into(),
                    memory_mb,
                    step_factor,
                    held: None,
                    loaded: None,
                    is_idle: true,
                    used_mb: 0.0,
                    is_free: true,
                    start_rate: StartRate::Unlimited,
                    slots: 192,
                    starts: 0,
                });
            }
        }
    }
    cards
}

/// Creates a stage of a path.
pub(crate) fn stage(name: &str, domain: &str, from: u16, to: u16) -> PathStage {
    PathStage {
        name: name.into(),
        start_unix_ms: 1,
        address: ([10, 0, 0, 1], 80).into(),
        span: LayerSpan { from, to },
        domain: domain.into(),
    }
}

/// Applies orders at once; panics if the old and new layers together do not fit a card.
pub(crate) fn apply_orders(cards: &mut [CardView], orders: &[LayoutOrder]) {
    for order in orders {
        let card = cards.iter_mut().find(|card| card.name == order.name).expect("an ordered card");
        let old = card.held;
        let most = (card.memory_mb / SHAPE.layer_mb).floor() as u16;
        let old_layers = old.into_iter().flat_map(|old| old.from..old.to);
        let joined: BTreeSet<u16> = old_layers.chain(order.span.from..order.span.to).collect();
        let fits = joined.len() <= usize::from(most);
        assert!(fits, "{order:?} with {old:?} does not fit {}", card.memory_mb);
        card.held = Some(order.span);
        card.loaded = Some(order.span);
    }
}

/// Plans and applies orders until planning gives none; returns the number of rounds.
pub(crate) fn converge(cards: &mut [CardView]) -> usize {
    let mut planner = LayoutPlanner::default();
    for round in 0..200 {
        let orders = planner.orders(SHAPE, cards);
        if orders.is_empty() {
            return round;
        }
        apply_orders(cards, &orders);
    }
    panic!("planning does not converge");
}

/// Number of tokens that a domain has memory for at its tightest layer; 0 if a layer is missing.
pub(crate) fn capacity_of(cards: &[CardView], domain: &str) -> f64 {
    let room = |layer: u16| -> f64 {
        let holders = cards.iter().filter(|card| &*card.domain == domain);
        let rooms = holders.filter_map(|card| {
            let span = card.held.filter(|span| span.holds(layer))?;
            let left = card.memory_mb - f64::from(span.count()) * SHAPE.layer_mb;
            Some(left / TOKEN_LAYER_MB / f64::from(span.count()))
        });
        rooms.sum()
    };
    (0..SHAPE.layers).map(room).fold(f64::INFINITY, f64::min)
}

/// Number of tokens that a domain would have memory for if its memory could be split arbitrarily.
pub(crate) fn ideal_capacity(cards: &[CardView], domain: &str) -> f64 {
    let members = cards.iter().filter(|card| &*card.domain == domain);
    let memory: f64 = members.map(|card| card.memory_mb).sum();
    let weights = f64::from(SHAPE.layers) * SHAPE.layer_mb;
    (memory - weights) / TOKEN_LAYER_MB / f64::from(SHAPE.layers)
}

/// Number of tokens that a domain has memory for at its tightest layer under the best split of one
/// copy into whole layers. For a given capacity, the layers that the domain can hold are the sum of
/// those that each card can hold.
pub(crate) fn best_split_capacity(cards: &[CardView], domain: &str) -> f64 {
    let memories: Vec<f64> =
        cards.iter().filter(|card| &*card.domain == domain).map(|card| card.memory_mb).collect();
    let shares = memories.iter().flat_map(|mb| (1..=SHAPE.layers).map(move |n| mb / f64::from(n)));
    let holds_all = |share: &f64| {
        memories.iter().map(|mb| (mb / share).floor()).sum::<f64>() >= f64::from(SHAPE.layers)
    };
    let share = shares.filter(holds_all).fold(0.0, f64::max);
    (share - SHAPE.layer_mb) / TOKEN_LAYER_MB
}

/// Names of the failure domains.
pub(crate) const DOMAINS: [&str; 3] = ["north", "middle", "south"];
