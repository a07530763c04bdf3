//! Continuous batching: how requests share an engine's slots, and the load that it reports.

use jacinthrock::PriorityClass;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Smallest part of a slot that a request gets, so that none stands still.
const SMALLEST_SHARE: f64 = 0.02;

/// How much longer a step takes than on an engine with a free slot, at least 1.
///
/// Requests of a higher class take their slots first; a class shares what is left evenly.
/// `residents` counts the engine's requests by class, in the order of [`PriorityClass`].
pub fn slowdown(residents: [u32; 3], slots: u32, class: PriorityClass) -> f64 {
    let index = class as usize;
    let above: u32 = residents[..index].iter().sum();
    let left = slots.saturating_sub(above);
    let same = residents[index].max(1);
    let share = (f64::from(left) / f64::from(same)).clamp(SMALLEST_SHARE, 1.0);
    1.0 / share
}

#[derive(Clone, Copy)]
struct LoadSample {
    taken: Instant,
    residents: u32,
}

/// Load as the engine reports it: as it was some time ago.
pub struct LoadHistory {
    lag: Duration,
    samples: VecDeque<LoadSample>,
}

impl LoadHistory {
    /// A history that reports with a lag.
    pub fn new(lag: Duration) -> Self {
        Self { lag, samples: VecDeque::new() }
    }

    /// Learns the number of requests in the engine.
    pub fn learn(&mut self, residents: u32, now: Instant) {
        if self.samples.back().is_some_and(|sample| sample.residents == residents) {
            return;
        }
        self.samples.push_back(LoadSample { taken: now, residents });
        self.forget(now);
    }

    /// Requests in the engine as of one lag ago.
    pub fn reported(&self, now: Instant) -> u32 {
        let known = |sample: &&LoadSample| now - sample.taken >= self.lag;
        self.samples.iter().rev().find(known).map_or(0, |sample| sample.residents)
    }

    fn forget(&mut self, now: Instant) {
        while self.samples.len() > 1 && now - self.samples[1].taken >= self.lag {
            self.samples.pop_front();
        }
    }
}
