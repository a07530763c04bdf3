//! Recognises callers that return after a refusal.
//!
//! Answers to a load pattern: in a shortage, hosts refuse hundreds of streams a second, and each
//! caller returns once, at any host, with another attempt identifier. A returned stream is late
//! already, and its caller does not return a second time. The deadline does not tell it from a new
//! stream, since callers set different ones. Hosts therefore exchange which requests they have
//! refused, as Bloom filters: their size is bounded, and those of several hosts are combined by a
//! bitwise or.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Hash of what a request keeps when its caller returns.
pub type RequestKey = u64;

/// Number of bits that stand for a request. With 1,600 requests in a filter of 16,384 bits, one in a
/// hundred new requests is taken for a returned one.
const BITS_PER_REQUEST: u32 = 4;
/// Time after which a filter is set aside; a request is known for one to two times as long. Callers
/// wait for at most a third of their time, which is 20 s at most on the routes known so far.
const FILTER_TIME: Duration = Duration::from_secs(4);

/// A set of requests that may contain some that were not added.
///
/// ```
/// use jacinthrock_entry::RefusedFilter;
///
/// let (mut first, mut second) = (RefusedFilter::default(), RefusedFilter::default());
/// first.insert(7);
/// second.insert(8);
/// first.merge(&second);
/// assert!(first.contains(7) && first.contains(8) && !first.contains(9));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedFilter {
    /// Words of 64 bits that are not zero, by position.
    words: BTreeMap<u8, u64>,
}

impl RefusedFilter {
    /// Adds a request.
    pub fn insert(&mut self, key: RequestKey) {
        for (word, bit) in positions(key) {
            *self.words.entry(word).or_default() |= bit;
        }
    }

    /// Whether a request was added; true for a few others as well.
    pub fn contains(&self, key: RequestKey) -> bool {
        positions(key).all(|(word, bit)| self.words.get(&word).is_some_and(|bits| bits & bit != 0))
    }

    /// Adds the requests of another filter.
    pub fn merge(&mut self, other: &Self) {
        for (word, bits) in &other.words {
            *self.words.entry(*word).or_default() |= bits;
        }
    }

    /// Whether no request was added.
    pub fn is_empty(&self) -> bool {
        self.words.is_empty()
    }
}

/// Positions of a request's bits, each taken from 16 bits of its key.
fn positions(key: RequestKey) -> impl Iterator<Item = (u8, u64)> {
    (0..BITS_PER_REQUEST).map(move |index| {
        let position = (key >> (16 * index)) as u16;
        ((position >> 6) as u8, 1 << (position & 63))
    })
}

/// Requests that this host has refused recently.
///
/// ```
/// use std::time::Duration;
///
/// use jacinthrock_entry::RefusalMemory;
/// use tokio::time::Instant;
///
/// let (mut memory, now) = (RefusalMemory::default(), Instant::now());
/// memory.record(7, now);
/// assert!(memory.filter(now + Duration::from_secs(4)).contains(7));
/// assert!(memory.filter(now + Duration::from_secs(8)).is_empty());
/// ```
#[derive(Debug, Default)]
pub struct RefusalMemory {
    current: RefusedFilter,
    previous: RefusedFilter,
    since: Option<Instant>,
}

impl RefusalMemory {
    /// Records that a request was refused.
    pub fn record(&mut self, key: RequestKey, now: Instant) {
        self.renew(now);
        self.since.get_or_insert(now);
        self.current.insert(key);
    }

    /// Whether a request was refused recently; true for a few others as well.
    pub fn contains(&mut self, key: RequestKey, now: Instant) -> bool {
        self.renew(now);
        self.current.contains(key) || self.previous.contains(key)
    }

    /// Whether no request was refused recently.
    pub fn is_empty(&mut self, now: Instant) -> bool {
        self.renew(now);
        self.current.is_empty() && self.previous.is_empty()
    }

    /// The requests that were refused recently.
    pub fn filter(&mut self, now: Instant) -> RefusedFilter {
        self.renew(now);
        let mut filter = self.current.clone();
        filter.merge(&self.previous);
        filter
    }

    fn renew(&mut self, now: Instant) {
        let Some(since) = self.since else { return };
        let age = now.saturating_duration_since(since);
        if age < FILTER_TIME {
            return;
        }
        let is_recent = age < FILTER_TIME * 2;
        self.previous = std::mem::take(&mut self.current);
        if !is_recent {
            self.previous = RefusedFilter::default();
        }
        self.since = (!self.previous.is_empty()).then_some(now);
    }
}
