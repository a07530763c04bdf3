//! What this host believes of endpoints from their answers.
//!
//! Load pattern: endpoints that fail part of their requests, turn slow, hang or vanish while their
//! health check is good. Belief rests on answers alone.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthrock::EndpointName;
use tokio::time::Instant;

/// Failures in a row after which an endpoint is set aside: one alone is common with kept
/// connections.
const EJECT_AFTER: u32 = 2;
/// First time for which an endpoint is set aside; it doubles with each further failure.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// Longest time for which an endpoint is set aside.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Weight of the newest answer in the averages.
const NEWEST_WEIGHT: f64 = 0.15;
/// Expected time of an answer before the first, in ms.
const FIRST_GUESS_MS: f64 = 60.0;
/// Cost of an endpoint's failures: an endpoint that fails each request counts as this many times
/// slower.
const FAILURE_COST: f64 = 8.0;

/// How a call to an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// A whole answer.
    Answered,
    /// The endpoint's own failure: it works, but the request failed.
    Failed,
    /// No usable answer: reset, cut, garbled or timed out.
    Broken,
    /// Refused without running.
    Refused,
}

#[derive(Clone, Debug)]
struct EndpointBelief {
    answer_ms: f64,
    failure_share: f64,
    broken_in_row: u32,
    aside_until: Option<Instant>,
    is_down: bool,
    open_calls: u32,
}

impl Default for EndpointBelief {
    fn default() -> Self {
        Self {
            answer_ms: FIRST_GUESS_MS,
            failure_share: 0.0,
            broken_in_row: 0,
            aside_until: None,
            is_down: false,
            open_calls: 0,
        }
    }
}

/// Beliefs about all endpoints.
#[derive(Debug, Default)]
pub struct HealthTable {
    beliefs: BTreeMap<EndpointName, EndpointBelief>,
}

impl HealthTable {
    /// Records the start of a call.
    pub fn begin_call(&mut self, name: &EndpointName) {
        self.belief(name).open_calls += 1;
    }

    /// Records the end of a call; `taken` is the time until the answer's head.
    pub fn record_outcome(&mut self, name: &EndpointName, end: CallEnd, taken: Duration, now: Instant) {
        let belief = self.belief(name);
        let failed = if end == CallEnd::Answered { 0.0 } else { 1.0 };
        belief.failure_share += NEWEST_WEIGHT * (failed - belief.failure_share);
        if matches!(end, CallEnd::Answered | CallEnd::Failed | CallEnd::Broken) {
            let taken_ms = taken.as_secs_f64() * 1_000.0;
            belief.answer_ms += NEWEST_WEIGHT * (taken_ms - belief.answer_ms);
        }
        match end {
            CallEnd::Answered | CallEnd::Failed => {
                belief.broken_in_row = 0;
                belief.aside_until = None;
            }
            CallEnd::Broken | CallEnd::Refused => {
                belief.broken_in_row += 1;
                if belief.broken_in_row >= EJECT_AFTER {
                    let doublings = (belief.broken_in_row - EJECT_AFTER).min(8);
                    let aside = (FIRST_EJECTION * 2u32.pow(doublings)).min(MAX_EJECTION);
                    belief.aside_until = Some(now + aside);
                }
            }
        }
    }

    /// Releases the place that `begin_call` took.
    pub fn end_call(&mut self, name: &str) {
        if let Some(belief) = self.beliefs.get_mut(name) {
            belief.open_calls = belief.open_calls.saturating_sub(1);
        }
    }

    /// Records that the endpoint does not answer at all; returns whether that is new.
    pub fn mark_down(&mut self, name: &EndpointName) -> bool {
        !std::mem::replace(&mut self.belief(name).is_down, true)
    }

    /// Records that the endpoint answers; returns whether it was down.
    pub fn mark_up(&mut self, name: &str) -> bool {
        self.beliefs.get_mut(name).is_some_and(|belief| std::mem::take(&mut belief.is_down))
    }

    /// Whether the endpoint does not answer at all.
    pub fn is_down(&self, name: &str) -> bool {
        self.beliefs.get(name).is_some_and(|belief| belief.is_down)
    }

    /// Endpoints that do not answer.
    pub fn down(&self) -> impl Iterator<Item = &EndpointName> {
        self.beliefs.iter().filter(|(_, belief)| belief.is_down).map(|(name, _)| name)
    }

    /// Whether the endpoint is set aside for failures.
    pub fn is_ejected(&self, name: &str, now: Instant) -> bool {
        self.beliefs.get(name).and_then(|b| b.aside_until).is_some_and(|until| now < until)
    }

    /// Calls that this host has open at the endpoint.
    pub fn open_calls(&self, name: &str) -> u32 {
        self.beliefs.get(name).map_or(0, |belief| belief.open_calls)
    }

    /// Expected cost of one more call, in ms.
    pub fn call_cost(&self, name: &str) -> f64 {
        let belief = self.beliefs.get(name).cloned().unwrap_or_default();
        let queue = f64::from(belief.open_calls + 1);
        belief.answer_ms * queue * (1.0 + FAILURE_COST * belief.failure_share)
    }

    /// Forgets endpoints that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.beliefs.retain(|name, belief| is_known(name) || belief.open_calls > 0);
    }

    fn belief(&mut self, name: &EndpointName) -> &mut EndpointBelief {
        self.beliefs.entry(name.clone()).or_default()
    }
}
