//! Continuous batching: how requests share an engine's slots, and the load that it reports.

use jacinthrock::PriorityClass;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Smallest share of a slot that a request gets, which prevents starvation.
const MIN_SLOT_SHARE: f64 = 0.02;

/// Factor by which a step takes longer than on an engine with a free slot, at least 1.
///
/// Slots go to the higher priority classes first; requests of one class share the remaining slots
/// evenly. `batched` counts the requests in the batch by class, in the order of [`PriorityClass`].
pub fn slowdown(batched: [u32; 3], slots: u32, class: PriorityClass) -> f64 {
    let index = class as usize;
    let higher: u32 = batched[..index].iter().sum();
    let remaining = slots.saturating_sub(higher);
    let in_class = batched[index].max(1);
    let share = (f64::from(remaining) / f64::from(in_class)).clamp(MIN_SLOT_SHARE, 1.0);
    1.0 / share
}

#[derive(Clone, Copy)]
struct LoadSample {
    taken_at: Instant,
    batched: u32,
}

/// History of the engine's load, from which it reports with a lag.
pub struct LoadHistory {
    lag: Duration,
    samples: VecDeque<LoadSample>,
}

impl LoadHistory {
    /// Creates an empty history that reports with the given lag.
    pub fn new(lag: Duration) -> Self {
        Self { lag, samples: VecDeque::new() }
    }

    /// Records the number of requests in the batch.
    pub fn record(&mut self, batched: u32, now: Instant) {
        if self.samples.back().is_some_and(|sample| sample.batched == batched) {
            return;
        }
        self.samples.push_back(LoadSample { taken_at: now, batched });
        self.prune(now);
    }

    /// Number of requests in the batch one lag ago; 0 before the first sample of that age.
    pub fn reported(&self, now: Instant) -> u32 {
        let is_visible = |sample: &&LoadSample| now - sample.taken_at >= self.lag;
        self.samples.iter().rev().find(is_visible).map_or(0, |sample| sample.batched)
    }

    fn prune(&mut self, now: Instant) {
        while self.samples.len() > 1 && now - self.samples[1].taken_at >= self.lag {
            self.samples.pop_front();
        }
    }
}
