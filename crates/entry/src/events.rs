//! Framing of server-sent events: complete events are forwarded, partial ones are buffered.

use bytes::Bytes;
use memchr::memmem;

use crate::reply::{BodyBuffer, BufferBudget};

/// Maximum size of a buffered partial event, in bytes; events of models take a few hundred.
const MAX_PENDING_BYTES: usize = 64 << 10;
/// End of an event.
const EVENT_END: &[u8] = b"\n\n";

/// Splits a byte stream after complete events.
///
/// ```
/// use bytes::Bytes;
/// use jacinthrock_entry::EventFramer;
///
/// let mut framer = EventFramer::default();
/// let complete = framer.push(Bytes::from_static(b"id: 4\ndata: a\n\nid: 5\nda"));
/// assert_eq!(complete.unwrap(), "id: 4\ndata: a\n\n");
/// assert_eq!(framer.last_event_id(), Some(4));
/// assert!(framer.has_partial());
/// ```
#[derive(Debug)]
pub struct EventFramer {
    pending: BodyBuffer,
    last_event_id: Option<u64>,
    is_over_limit: bool,
}

impl Default for EventFramer {
    fn default() -> Self {
        Self::new(&BufferBudget::unlimited())
    }
}

impl EventFramer {
    /// Creates a framer whose partial event counts toward a budget.
    pub fn new(budget: &BufferBudget) -> Self {
        Self { pending: BodyBuffer::new(budget), last_event_id: None, is_over_limit: false }
    }

    /// Adds received bytes; returns all bytes up to the end of the last complete event, if any.
    pub fn push(&mut self, bytes: Bytes) -> Option<Bytes> {
        if self.is_over_limit {
            return None;
        }
        // Common case: complete events arrive by themselves and need no copy.
        if self.pending.as_ref().is_empty() && bytes.ends_with(EVENT_END) {
            self.record_last_id(&bytes);
            return Some(bytes);
        }
        let is_split_end = self.pending.as_ref().ends_with(b"\n") && bytes.starts_with(b"\n");
        let end = memmem::rfind(&bytes, EVENT_END).map(|start| start + EVENT_END.len());
        let Some(end) = end.or(is_split_end.then_some(1)) else {
            self.buffer(&bytes);
            return None;
        };
        let complete = Bytes::from([self.pending.as_ref(), &bytes[..end]].concat());
        self.pending.clear();
        self.buffer(&bytes[end..]);
        self.record_last_id(&complete);
        Some(complete)
    }

    /// `id` of the last complete event.
    pub fn last_event_id(&self) -> Option<u64> {
        self.last_event_id
    }

    /// Whether a partial event is buffered.
    pub fn has_partial(&self) -> bool {
        self.is_over_limit || !self.pending.as_ref().is_empty()
    }

    /// Whether the partial event exceeds the maximum size or the budget. No event is complete then
    /// until the partial one is discarded.
    pub fn is_over_limit(&self) -> bool {
        self.is_over_limit
    }

    /// Discards a partial event, before the stream continues from another endpoint.
    pub fn drop_partial(&mut self) {
        self.pending.clear();
        self.is_over_limit = false;
    }

    fn buffer(&mut self, bytes: &[u8]) {
        self.is_over_limit |= self.pending.push(bytes, MAX_PENDING_BYTES).is_err();
    }

    fn record_last_id(&mut self, events: &[u8]) {
        let start = match memmem::rfind(events, b"\nid:") {
            Some(start) => start + 1,
            None => 0,
        };
        self.last_event_id = id_line(&events[start..]).or(self.last_event_id);
    }
}

/// `id` of the first of some complete events.
pub(crate) fn first_event_id(events: &[u8]) -> Option<u64> {
    let end = memmem::find(events, EVENT_END).unwrap_or(events.len());
    events[..end].split(|byte| *byte == b'\n').find_map(id_line)
}

/// The `id` that a text begins with.
fn id_line(text: &[u8]) -> Option<u64> {
    let line = text.strip_prefix(b"id:")?.split(|byte| *byte == b'\n').next()?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
