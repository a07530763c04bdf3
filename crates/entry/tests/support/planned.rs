//! Fleets of any size that are planned from empty to a complete layout, under load, and after a
//! loss of cards.

use std::time::Duration;

use jacinthrock_entry::{CardView, LayoutPlanner, StartInputs, StartPlanner};
use sha2::{Digest, Sha256};

use crate::support::{SHAPE, TOKEN_LAYER_MB, apply_orders, empty_fleet};

/// Rounds of a phase at most.
const MAX_ROUNDS: usize = 120;
/// Rounds without orders after which a phase ends.
const QUIET_ROUNDS: usize = 4;
/// Share of their slots that first stages use under load.
const LOAD: f64 = 0.8;
/// Memory of the streams of a loaded card, in MB.
const LOADED_MB: f64 = 400.0;

/// Parts of a run, in their order.
pub(crate) const PHASES: [FleetPhase; 3] = [FleetPhase::Empty, FleetPhase::Load, FleetPhase::Loss];

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum FleetPhase {
    /// Empty cards are placed, without streams.
    Empty,
    /// Streams use most of the starts.
    Load,
    /// One card in ten is lost, under the same load.
    Loss,
}

/// Cards of the sample deployment, repeated, with their planners.
pub(crate) struct PlannedFleet {
    cards: Vec<CardView>,
    starts: StartPlanner,
    layout: LayoutPlanner,
    now: tokio::time::Instant,
    digest: Sha256,
}

impl PlannedFleet {
    pub(crate) fn new(count: usize) -> Self {
        let cards = empty_fleet();
        let repeated = (0..count).map(|number| {
            let card = &cards[number % cards.len()];
            CardView { name: format!("{}-{number}", card.name).into(), ..card.clone() }
        });
        Self {
            cards: repeated.collect(),
            starts: StartPlanner::default(),
            layout: LayoutPlanner::default(),
            now: tokio::time::Instant::now(),
            digest: Sha256::new(),
        }
    }

    /// Runs the rounds of a phase, and tells the time that each takes; returns the number of orders.
    pub(crate) fn run(&mut self, phase: FleetPhase, mut tell: impl FnMut(Duration)) -> usize {
        if phase == FleetPhase::Loss {
            let mut number = 0_usize;
            self.cards.retain(|_| {
                number += 1;
                !number.is_multiple_of(10)
            });
        }
        let load = if phase == FleetPhase::Empty { 0.0 } else { LOAD };
        let (mut order_count, mut quiet) = (0, 0);
        for _ in 0..MAX_ROUNDS {
            for card in &mut self.cards {
                let is_first = card.loaded.is_some_and(|span| span.holds(0));
                card.starts = if is_first { (f64::from(card.slots) * load) as u32 } else { 0 };
                let is_loaded = load > 0.0 && card.loaded.is_some();
                card.used_mb = if is_loaded { LOADED_MB } else { 0.0 };
            }
            self.now += Duration::from_millis(500);
            let began = std::time::Instant::now();
            let inputs = StartInputs {
                shape: SHAPE,
                stream_mb: 400.0 * TOKEN_LAYER_MB,
                cards: &self.cards,
                has_loads: true,
                is_first_start: false,
            };
            self.starts.update(inputs, self.now);
            self.layout.set_wanted(self.starts.wanted());
            let orders = self.layout.orders(SHAPE, &self.cards);
            tell(began.elapsed());
            self.digest.update(format!("{orders:?}"));
            apply_orders(&mut self.cards, &orders);
            order_count += orders.len();
            quiet = if orders.is_empty() { quiet + 1 } else { 0 };
            if quiet == QUIET_ROUNDS {
                break;
            }
        }
        order_count
    }

    /// Digest of all orders so far.
    pub(crate) fn digest(&self) -> String {
        let digest = self.digest.clone().finalize();
        digest.iter().take(8).map(|byte| format!("{byte:02x}")).collect()
    }
}
