//! Prefix cache of an engine, whose events are published late and incompletely.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Number of prompt words that one cache entry covers.
const BLOCK_WORDS: usize = 16;

/// Delay before an event is published.
const EVENT_DELAY: Duration = Duration::from_millis(200);

/// One event in this many is never published, so that readers must handle gaps.
const LOST_EVENT_PERIOD: u64 = 7;

/// Number of recent events available to readers.
const MAX_EVENTS: usize = 1024;

/// Change of the cache as published to readers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; a gap means that events were lost.
    pub sequence: u64,
    /// Hash of the prompt prefix.
    pub prefix: u64,
    /// Whether the prefix was added; otherwise it was evicted.
    pub added: bool,
}

/// Prompt prefixes whose KV cache the engine holds, with LRU eviction.
pub struct PrefixCache {
    capacity_blocks: usize,
    use_count: u64,
    entries: BTreeMap<u64, u64>,
    sequence: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl PrefixCache {
    /// Creates an empty cache with a capacity of `capacity_tokens` tokens.
    pub fn new(capacity_tokens: usize) -> Self {
        Self {
            capacity_blocks: capacity_tokens / BLOCK_WORDS,
            use_count: 0,
            entries: BTreeMap::new(),
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Returns how many tokens of the prompt are cached, then caches the whole prompt.
    pub fn lookup_and_insert(&mut self, prompt: &str, now: Instant) -> u32 {
        if self.capacity_blocks == 0 {
            return 0;
        }
        let prefixes = block_prefixes(prompt);
        let cached = prefixes.iter().take_while(|prefix| self.entries.contains_key(prefix)).count();
        for prefix in prefixes {
            self.insert(prefix, now);
        }
        (cached * BLOCK_WORDS) as u32
    }

    /// Removes every prefix.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Published events after a sequence number.
    pub fn events_after(&self, sequence: u64, now: Instant) -> Vec<CacheEvent> {
        let is_published = |(created_at, event): &&(Instant, CacheEvent)| {
            event.sequence > sequence
                && now - *created_at >= EVENT_DELAY
                && event.sequence % LOST_EVENT_PERIOD != 0
        };
        self.events.iter().filter(is_published).map(|(_, event)| event.clone()).collect()
    }

    fn insert(&mut self, prefix: u64, now: Instant) {
        self.use_count += 1;
        if self.entries.insert(prefix, self.use_count).is_none() {
            self.publish(prefix, true, now);
        }
        if self.entries.len() <= self.capacity_blocks {
            return;
        }
        let oldest =
            self.entries.iter().min_by_key(|(_, last_use)| **last_use).map(|(prefix, _)| *prefix);
        if let Some(prefix) = oldest {
            self.entries.remove(&prefix);
            self.publish(prefix, false, now);
        }
    }

    fn publish(&mut self, prefix: u64, added: bool, now: Instant) {
        self.sequence += 1;
        self.events.push_back((now, CacheEvent { sequence: self.sequence, prefix, added }));
        if self.events.len() > MAX_EVENTS {
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
        let first = digest[..8].try_into().expect("a SHA-256 digest has at least 8 bytes");
        prefixes.push(u64::from_le_bytes(first));
    }
    prefixes
}
