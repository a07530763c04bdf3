//! Frames of an event stream: whole events are passed on, unfinished ones are held back.

use bytes::{Bytes, BytesMut};
use memchr::memmem;

/// Largest unfinished event that is held, in bytes; events of models are far smaller.
const MAX_PENDING: usize = 1 << 20;

/// Cuts a stream at the ends of its events.
///
/// ```
/// use bytes::Bytes;
/// use jacinthrock_entry::EventCutter;
///
/// let mut cutter = EventCutter::default();
/// let whole = cutter.push(Bytes::from_static(b"id: 4\ndata: a\n\nid: 5\nda"));
/// assert_eq!(whole.unwrap(), "id: 4\ndata: a\n\n");
/// assert_eq!(cutter.last_event(), Some(4));
/// assert!(cutter.has_unfinished());
/// ```
#[derive(Debug, Default)]
pub struct EventCutter {
    pending: BytesMut,
    last_event: Option<u64>,
}

impl EventCutter {
    /// Takes more bytes; returns those that end whole events.
    pub fn push(&mut self, bytes: Bytes) -> Option<Bytes> {
        // The usual case: one whole event arrives by itself and needs no copy.
        if self.pending.is_empty() && bytes.ends_with(b"\n\n") {
            self.note_last(&bytes);
            return Some(bytes);
        }
        self.pending.extend_from_slice(&bytes);
        let end = memmem::rfind(&self.pending, b"\n\n")? + 2;
        let whole = self.pending.split_to(end).freeze();
        self.note_last(&whole);
        Some(whole)
    }

    /// Number of the last whole event.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Whether part of an event has come without its end.
    pub fn has_unfinished(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Whether an unfinished event has outgrown its bound.
    pub fn is_overfull(&self) -> bool {
        self.pending.len() > MAX_PENDING
    }

    /// Drops an unfinished event, before the stream goes on from another endpoint.
    pub fn drop_unfinished(&mut self) {
        self.pending.clear();
    }

    fn note_last(&mut self, whole: &[u8]) {
        let start = match memmem::rfind(whole, b"\nid:") {
            Some(start) => start + b"\nid:".len(),
            None if whole.starts_with(b"id:") => b"id:".len(),
            None => return,
        };
        let line = whole[start..].split(|byte| *byte == b'\n').next().unwrap_or_default();
        let number = std::str::from_utf8(line).ok().and_then(|text| text.trim().parse().ok());
        self.last_event = number.or(self.last_event);
    }
}
