//! Requests that an engine knows: attempts, KV cache and places in the batch.

use jacinthrock::{AttemptNumber, PriorityClass, RequestId, TokenPosition};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Requests whose KV cache and attempt are kept.
const KEPT_REQUESTS: usize = 8192;

/// Time without a step after which a request no longer takes part in the batch.
const RESIDENT_IDLE: Duration = Duration::from_secs(2);

/// A call came with an attempt lower than the highest seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("attempt {attempt} is lower than {seen}")]
pub struct LowerAttempt {
    /// Attempt of the call.
    pub attempt: AttemptNumber,
    /// Highest attempt seen.
    pub seen: AttemptNumber,
}

#[derive(Clone, Copy)]
struct RequestEntry {
    attempt: AttemptNumber,
    kv_length: Option<TokenPosition>,
    credit: Duration,
}

#[derive(Clone, Copy)]
struct ResidentRequest {
    class: PriorityClass,
    seen: Instant,
}

/// What an engine remembers of requests.
#[derive(Default)]
pub struct RequestTable {
    residents: BTreeMap<RequestId, ResidentRequest>,
    entries: BTreeMap<RequestId, RequestEntry>,
    order: VecDeque<RequestId>,
}

impl RequestTable {
    /// Refuses an attempt lower than the highest seen, and remembers a higher one.
    pub fn check_attempt(
        &mut self,
        request: &str,
        attempt: AttemptNumber,
    ) -> Result<(), LowerAttempt> {
        let entry = self.entry(request);
        if attempt < entry.attempt {
            return Err(LowerAttempt { attempt, seen: entry.attempt });
        }
        entry.attempt = attempt;
        Ok(())
    }

    /// Puts a request into the batch, or keeps it there.
    pub fn enter(&mut self, request: &str, class: PriorityClass, now: Instant) {
        self.residents.insert(request.into(), ResidentRequest { class, seen: now });
    }

    /// Takes a request out of the batch unless a later attempt runs.
    pub fn leave(&mut self, request: &str, attempt: AttemptNumber) {
        if self.entry(request).attempt <= attempt {
            self.residents.remove(request);
        }
    }

    /// Whether the request is in the batch.
    pub fn is_resident(&self, request: &str) -> bool {
        self.residents.contains_key(request)
    }

    /// Requests in the batch, by class; those that were idle for long are taken out.
    pub fn residents(&mut self, now: Instant) -> [u32; 3] {
        self.residents.retain(|_, resident| now - resident.seen < RESIDENT_IDLE);
        let mut counts = [0; 3];
        for resident in self.residents.values() {
            counts[resident.class as usize] += 1;
        }
        counts
    }

    /// Positions whose KV cache is held; none where not even the prompt's is.
    pub fn kv_length(&self, request: &str) -> Option<TokenPosition> {
        self.entries.get(request)?.kv_length
    }

    /// Remembers that the KV cache covers the prompt and `length` positions.
    pub fn set_kv_length(&mut self, request: &str, length: TokenPosition) {
        self.entry(request).kv_length = Some(length);
    }

    /// Forgets every KV cache.
    pub fn clear_kv(&mut self) {
        for entry in self.entries.values_mut() {
            entry.kv_length = None;
        }
    }

    /// Takes the time by which earlier steps of the request overslept.
    pub fn take_credit(&mut self, request: &str) -> Duration {
        std::mem::take(&mut self.entry(request).credit)
    }

    /// Remembers the time by which a step overslept.
    pub fn give_credit(&mut self, request: &str, credit: Duration) {
        self.entry(request).credit = credit;
    }

    fn entry(&mut self, request: &str) -> &mut RequestEntry {
        if !self.entries.contains_key(request) {
            self.make_room();
            self.order.push_back(request.into());
        }
        self.entries.entry(request.into()).or_insert(RequestEntry {
            attempt: 0,
            kv_length: None,
            credit: Duration::ZERO,
        })
    }

    fn make_room(&mut self) {
        if self.order.len() < KEPT_REQUESTS {
            return;
        }
        if let Some(request) = self.order.pop_front() {
            self.entries.remove(&request);
        }
    }
}
