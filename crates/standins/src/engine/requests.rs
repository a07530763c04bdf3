//! Requests of an engine: their attempts, KV caches and membership in the batch.

use jacinthrock::{AttemptNumber, PriorityClass, RequestId, TokenPosition};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of requests whose KV cache and attempt are kept.
const MAX_REQUESTS: usize = 8192;

/// Time without a step after which a request is removed from the batch.
const BATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Refusal of a call whose attempt is lower than the highest one seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("attempt {attempt} is lower than {seen}")]
pub struct StaleAttempt {
    /// Attempt of the refused call.
    pub attempt: AttemptNumber,
    /// Highest attempt seen.
    pub seen: AttemptNumber,
}

#[derive(Clone, Copy)]
struct RequestEntry {
    attempt: AttemptNumber,
    kv_length: Option<TokenPosition>,
    overshoot: Duration,
}

#[derive(Clone, Copy)]
struct BatchedRequest {
    class: PriorityClass,
    last_step: Instant,
}

/// Per-request state of an engine.
#[derive(Default)]
pub struct RequestTable {
    batched: BTreeMap<RequestId, BatchedRequest>,
    entries: BTreeMap<RequestId, RequestEntry>,
    insertion_order: VecDeque<RequestId>,
}

impl RequestTable {
    /// Refuses an attempt lower than the highest seen; records a higher one.
    pub fn check_attempt(
        &mut self,
        request: &str,
        attempt: AttemptNumber,
    ) -> Result<(), StaleAttempt> {
        let entry = self.entry(request);
        if attempt < entry.attempt {
            return Err(StaleAttempt { attempt, seen: entry.attempt });
        }
        entry.attempt = attempt;
        Ok(())
    }

    /// Adds a request to the batch, or restarts its idle timeout.
    pub fn join_batch(&mut self, request: &str, class: PriorityClass, now: Instant) {
        self.batched.insert(request.into(), BatchedRequest { class, last_step: now });
    }

    /// Removes a request from the batch unless a later attempt is running.
    pub fn leave_batch(&mut self, request: &str, attempt: AttemptNumber) {
        if self.entry(request).attempt <= attempt {
            self.batched.remove(request);
        }
    }

    /// Whether the request is in the batch.
    pub fn is_batched(&self, request: &str) -> bool {
        self.batched.contains_key(request)
    }

    /// Removes idle requests from the batch and counts the others by priority class.
    pub fn batched_by_class(&mut self, now: Instant) -> [u32; 3] {
        self.batched.retain(|_, request| now - request.last_step < BATCH_IDLE_TIMEOUT);
        let mut counts = [0; 3];
        for request in self.batched.values() {
            counts[request.class as usize] += 1;
        }
        counts
    }

    /// Number of positions whose KV cache is held; `None` if the prompt's is not held either.
    pub fn kv_length(&self, request: &str) -> Option<TokenPosition> {
        self.entries.get(request)?.kv_length
    }

    /// Records that the KV cache covers the prompt and `length` positions.
    pub fn set_kv_length(&mut self, request: &str, length: TokenPosition) {
        self.entry(request).kv_length = Some(length);
    }

    /// Drops the KV caches of all requests.
    pub fn clear_kv(&mut self) {
        for entry in self.entries.values_mut() {
            entry.kv_length = None;
        }
    }

    /// Returns the time by which the timer overshot earlier steps of the request, and resets it.
    pub fn take_overshoot(&mut self, request: &str) -> Duration {
        std::mem::take(&mut self.entry(request).overshoot)
    }

    /// Records the time by which the timer overshot steps of the request.
    pub fn set_overshoot(&mut self, request: &str, overshoot: Duration) {
        self.entry(request).overshoot = overshoot;
    }

    fn entry(&mut self, request: &str) -> &mut RequestEntry {
        if !self.entries.contains_key(request) {
            self.evict_oldest();
            self.insertion_order.push_back(request.into());
        }
        self.entries.entry(request.into()).or_insert(RequestEntry {
            attempt: 0,
            kv_length: None,
            overshoot: Duration::ZERO,
        })
    }

    fn evict_oldest(&mut self) {
        if self.insertion_order.len() < MAX_REQUESTS {
            return;
        }
        if let Some(request) = self.insertion_order.pop_front() {
            self.entries.remove(&request);
        }
    }
}
