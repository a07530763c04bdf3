//! Framing of server-sent events: complete events are forwarded, partial ones are buffered.

use bytes::{Bytes, BytesMut};
use memchr::memmem;

/// Maximum size of a buffered partial event, in bytes; events of models are far smaller.
const MAX_PENDING_BYTES: usize = 1 << 20;

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
#[derive(Debug, Default)]
pub struct EventFramer {
    pending: BytesMut,
    last_event_id: Option<u64>,
}

impl EventFramer {
    /// Adds received bytes; returns all bytes up to the end of the last complete event, if any.
    pub fn push(&mut self, bytes: Bytes) -> Option<Bytes> {
        // Common case: complete events arrive by themselves and need no copy.
        if self.pending.is_empty() && bytes.ends_with(b"\n\n") {
            self.record_last_id(&bytes);
            return Some(bytes);
        }
        self.pending.extend_from_slice(&bytes);
        let end = memmem::rfind(&self.pending, b"\n\n")? + 2;
        let complete = self.pending.split_to(end).freeze();
        self.record_last_id(&complete);
        Some(complete)
    }

    /// `id` of the last complete event.
    pub fn last_event_id(&self) -> Option<u64> {
        self.last_event_id
    }

    /// Whether a partial event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Whether the partial event exceeds the maximum size.
    pub fn is_over_limit(&self) -> bool {
        self.pending.len() > MAX_PENDING_BYTES
    }

    /// Discards a partial event, before the stream continues from another endpoint.
    pub fn drop_partial(&mut self) {
        self.pending.clear();
    }

    fn record_last_id(&mut self, events: &[u8]) {
        let start = match memmem::rfind(events, b"\nid:") {
            Some(start) => start + b"\nid:".len(),
            None if events.starts_with(b"id:") => b"id:".len(),
            None => return,
        };
        let line = events[start..].split(|byte| *byte == b'\n').next().unwrap_or_default();
        let id = std::str::from_utf8(line).ok().and_then(|text| text.trim().parse().ok());
        self.last_event_id = id.or(self.last_event_id);
    }
}
