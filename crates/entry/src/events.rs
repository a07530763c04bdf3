//! Frames of an event stream: whole events are passed on, unfinished ones are held back.

use bytes::{Bytes, BytesMut};
use memchr::memmem;

/// Largest unfinished event that is held, in bytes; events of models are far smaller.
const MAX_PENDING: usize = 1 << 20;

/// Cuts a stream at the ends of its events.
///
/// ```
/// use bytes::Bytes;
/// use jacinthrock_entry::EventFramer;
///
/// let mut framer = EventFramer::default();
/// let whole = framer.push(Bytes::from_static(b"id: 4\ndata: a\n\nid: 5\nda"));
/// assert_eq!(whole.unwrap(), "id: 4\ndata: a\n\n");
/// assert_eq!(framer.last_event_id(), Some(4));
/// assert!(framer.has_partial());
/// ```
#[derive(Debug, Default)]
pub struct EventFramer {
    pending: BytesMut,
    last_event_id: Option<u64>,
}

impl EventFramer {
    /// Takes more bytes; returns those that end whole events.
    pub fn push(&mut self, bytes: Bytes) -> Option<Bytes> {
        // The usual case: one whole event arrives by itself and needs no copy.
        if self.pending.is_empty() && bytes.ends_with(b"\n\n") {
            self.record_last_id(&bytes);
            return Some(bytes);
        }
        self.pending.extend_from_slice(&bytes);
        let end = memmem::rfind(&self.pending, b"\n\n")? + 2;
        let whole = self.pending.split_to(end).freeze();
        self.record_last_id(&whole);
        Some(whole)
    }

    /// Number of the last whole event.
    pub fn last_event_id(&self) -> Option<u64> {
        self.last_event_id
    }

    /// Whether part of an event has come without its end.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Whether an unfinished event has outgrown its bound.
    pub fn is_over_limit(&self) -> bool {
        self.pending.len() > MAX_PENDING
    }

    /// Drops an unfinished event, before the stream goes on from another endpoint.
    pub fn drop_partial(&mut self) {
        self.pending.clear();
    }

    fn record_last_id(&mut self, whole: &[u8]) {
        let start = match memmem::rfind(whole, b"\nid:") {
            Some(start) => start + b"\nid:".len(),
            None if whole.starts_with(b"id:") => b"id:".len(),
            None => return,
        };
        let line = whole[start..].split(|byte| *byte == b'\n').next().unwrap_or_default();
        let number = std::str::from_utf8(line).ok().and_then(|text| text.trim().parse().ok());
        self.last_event_id = number.or(self.last_event_id);
    }
}
