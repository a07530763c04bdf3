//! Call arrivals: a Poisson process with bursts, determined by the seed alone.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

use super::scenario::{BurstPlan, CallKind, LoadScenario};
use crate::fleet::CustomerPlan;

/// Vocabulary of the generated messages.
const WORDS: [&str; 12] = [
    "kiln", "glass", "heat", "bench", "colour", "rod", "pipe", "cane", "visitor", "studio",
    "feast", "bulletin",
];

/// A call that is sent at its scheduled time, whether or not earlier calls have finished.
#[derive(Clone, Debug, PartialEq)]
pub struct CallArrival {
    /// Sequence number of the call, from 0.
    pub index: u32,
    /// Scheduled time, from the start of the run.
    pub at: Duration,
    /// Kind of the call.
    pub kind: CallKind,
    /// Path prefix of the plain service; empty for model answers.
    pub prefix: Box<str>,
    /// Index of the customer in the fleet plan.
    pub customer: usize,
    /// User message of a chat, or body of a plain call.
    pub text: Box<str>,
    /// Requested length of the answer, in tokens.
    pub tokens: u32,
    /// Random number from which the balancer picks a router.
    pub router_draw: usize,
}

/// Generates every call of a run, ordered by time.
pub fn call_arrivals(
    scenario: &LoadScenario,
    seed: u64,
    rate: f64,
    length: Duration,
) -> Vec<CallArrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        let current_rate = rate * burst_factor(&scenario.bursts, at);
        let uniform: f64 = rng.random();
        at += -(1.0 - uniform).ln() / current_rate;
        if at >= length.as_secs_f64() {
            return arrivals;
        }
        arrivals.push(draw_arrival(scenario, &mut rng, arrivals.len() as u32, at));
    }
}

fn draw_arrival(scenario: &LoadScenario, rng: &mut ChaCha8Rng, index: u32, at: f64) -> CallArrival {
    let entry = &scenario.mix[weighted_index(rng, scenario.mix.iter().map(|entry| entry.weight))];
    let weights = scenario.fleet.customers.iter().map(|customer: &CustomerPlan| customer.weight);
    let customer = weighted_index(rng, weights);
    let words = rng.random_range(entry.words[0]..=entry.words[1]);
    CallArrival {
        index,
        at: Duration::from_secs_f64(at),
        kind: entry.kind,
        prefix: entry.prefix.clone(),
        customer,
        text: random_text(rng, index, words),
        tokens: rng.random_range(entry.tokens[0]..=entry.tokens[1]),
        router_draw: rng.random_range(0..1 << 16),
    }
}

fn random_text(rng: &mut ChaCha8Rng, index: u32, words: u32) -> Box<str> {
    let mut text = format!("call {index}");
    for _ in 0..words {
        text.push(' ');
        text.push_str(WORDS[rng.random_range(0..WORDS.len())]);
    }
    text.into()
}

fn weighted_index(rng: &mut ChaCha8Rng, weights: impl Iterator<Item = u32> + Clone) -> usize {
    let total: u32 = weights.clone().sum();
    let mut remaining = rng.random_range(0..total.max(1));
    for (index, weight) in weights.enumerate() {
        if remaining < weight {
            return index;
        }
        remaining -= weight;
    }
    0
}

fn burst_factor(bursts: &[BurstPlan], at: f64) -> f64 {
    let is_active = |burst: &&BurstPlan| at >= burst.from_s && at < burst.from_s + burst.for_s;
    bursts.iter().filter(is_active).map(|burst| burst.factor).fold(1.0, f64::max)
}
