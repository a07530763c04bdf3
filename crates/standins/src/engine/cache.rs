//! Prefix cache of an engine, with events that come late and with gaps.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Prompt words that one cache entry covers.
const BLOCK_WORDS: usize = 16;

/// Time until an event is published.
const EVENT_DELAY: Duration = Duration::from_millis(200);

/// One event in so many is never published.
const LOST_EVENT_PERIOD: u64 = 7;

/// Events kept for readers.
const KEPT_EVENTS: usize = 1024;

/// A published change of the cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; a missing one was lost.
    pub sequence: u64,
    /// Hash of the prompt prefix.
    pub prefix: u64,
    /// Whether the prefix was added, rather than dropped.
    pub added: bool,
}

/// Prompt prefixes whose KV cache the engine holds, least recently used first out.
pub struct PrefixCache {
    capacity: usize,
    used: u64,
    entries: BTreeMap<u64, u64>,
    sequence: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl PrefixCache {
    /// An empty cache of so many tokens.
    pub fn new(capacity_tokens: usize) -> Self {
        Self {
            capacity: capacity_tokens / BLOCK_WORDS,
            used: 0,
            entries: BTreeMap::new(),
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Tokens of the prompt that are cached; caches the whole prompt.
    pub fn use_prompt(&mut self, prompt: &str, now: Instant) -> u32 {
        if self.capacity == 0 {
            return 0;
        }
        let prefixes = block_prefixes(prompt);
        let cached = prefixes.iter().take_while(|prefix| self.entries.contains_key(prefix)).count();
        for prefix in prefixes {
            self.insert(prefix, now);
        }
        (cached * BLOCK_WORDS) as u32
    }

    /// Forgets every prefix.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Published events later than a sequence number.
    pub fn events_after(&self, sequence: u64, now: Instant) -> Vec<CacheEvent> {
        let published = |(made, event): &&(Instant, CacheEvent)| {
            event.sequence > sequence
                && now - *made >= EVENT_DELAY
                && event.sequence % LOST_EVENT_PERIOD != 0
        };
        self.events.iter().filter(published).map(|(_, event)| event.clone()).collect()
    }

    fn insert(&mut self, prefix: u64, now: Instant) {
        self.used += 1;
        if self.entries.insert(prefix, self.used).is_none() {
            self.publish(prefix, true, now);
        }
        if self.entries.len() <= self.capacity {
            return;
        }
        let oldest = self.entries.iter().min_by_key(|(_, used)| **used).map(|(prefix, _)| *prefix);
        if let Some(prefix) = oldest {
            self.entries.remove(&prefix);
            self.publish(prefix, false, now);
        }
    }

    fn publish(&mut self, prefix: u64, added: bool, now: Instant) {
        self.sequence += 1;
        self.events.push_back((now, CacheEvent { sequence: self.sequence, prefix, added }));
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}

fn block_prefixes(prompt: &str) -> Vec<u64> {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let mut hasher = Sha256::new();
    let mut prefixes = Vec::with_capacity(words.len() / BLOCK_WORDS);
    for block in words.chunks_exact(BLOCK_WORDS) {
        for word in block {
            hasher.update(word.as_bytes());
            hasher.update([0]);
        }
        let digest = hasher.clone().finalize();
        let first = digest[..8].try_into().expect("a digest has more than 8 bytes");
        prefixes.push(u64::from_le_bytes(first));
    }
    prefixes
}
