//! Limits on replies, so that one that never ends takes neither memory nor a connection for long.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

/// Bytes that each part of a body counts for at least, because of the time that it takes.
const MIN_PART_BYTES: usize = 64;
/// Smallest capacity of a buffer, in bytes.
const MIN_BUFFER_BYTES: usize = 1 << 10;

/// Why the body of a reply could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReplyError {
    /// The reply is larger than its limit.
    #[error("reply exceeds {limit} bytes")]
    TooLarge {
        /// Maximum size in bytes.
        limit: usize,
    },
    /// Other replies take most of the memory for replies, and this one takes too much of the rest.
    #[error("reply of over {held} bytes exceeds what is left of {total} bytes for all replies")]
    OverBudget {
        /// Bytes that the reply held.
        held: usize,
        /// Bytes that all replies may hold.
        total: usize,
    },
    /// The connection broke off.
    #[error("reply broke off: {0}")]
    BrokenOff(Box<str>),
}

impl ReplyError {
    /// Whether a limit ended the reply, as opposed to the connection.
    pub fn is_over_limit(&self) -> bool {
        !matches!(self, Self::BrokenOff(_))
    }
}

/// Limit on the bytes of replies that are buffered at the same time. A reply may hold at most as
/// many bytes as are left for all others, so that large ones always leave room for small ones.
/// Clones share the same limit.
#[derive(Clone, Debug)]
pub struct ReplyBudget {
    used: Arc<AtomicUsize>,
    total: usize,
}

impl ReplyBudget {
    /// Creates a budget of some bytes.
    pub fn new(total: usize) -> Self {
        Self { used: Arc::default(), total }
    }

    /// Bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Takes bytes for a buffer that then holds `held` in total; returns whether they are granted.
    fn take(&self, bytes: usize, held: usize) -> bool {
        let used = self.used() + bytes;
        let is_granted = used + held <= self.total;
        if is_granted {
            self.used.store(used, Ordering::Relaxed);
        }
        is_granted
    }

    fn release(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// Bytes of one reply, charged to a budget until they are dropped.
struct ReplyBuffer {
    bytes: Vec<u8>,
    budget: ReplyBudget,
    /// Capacity that the budget has granted.
    charged: usize,
}

impl ReplyBuffer {
    fn new(budget: &ReplyBudget) -> Self {
        Self { bytes: Vec::new(), budget: budget.clone(), charged: 0 }
    }

    fn push(&mut self, bytes: &[u8], limit: usize) -> Result<(), ReplyError> {
        let needed = self.bytes.len() + bytes.len();
        if needed > limit {
            return Err(ReplyError::TooLarge { limit });
        }
        if needed > self.charged {
            let capacity = needed.max(self.charged * 2).max(MIN_BUFFER_BYTES).min(limit);
            if !self.budget.take(capacity - self.charged, capacity) {
                let total = self.budget.total;
                return Err(ReplyError::OverBudget { held: self.bytes.len(), total });
            }
            self.charged = capacity;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }
}

impl AsRef<[u8]> for ReplyBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for ReplyBuffer {
    fn drop(&mut self) {
        self.budget.release(self.charged);
    }
}

/// Reads a body of at most `limit` bytes. The result counts toward the budget until it is dropped.
///
/// ```
/// use bytes::Bytes;
/// use http_body_util::Full;
/// use jacinthrock_entry::{ReplyBudget, collect_body};
///
/// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
/// let budget = ReplyBudget::new(1 << 20);
/// let body = Full::new(Bytes::from_static(b"booked"));
/// assert_eq!(collect_body(body.clone(), 100, &budget).await.unwrap(), "booked");
/// assert!(collect_body(body, 5, &budget).await.unwrap_err().is_over_limit());
/// assert_eq!(budget.used(), 0);
/// # });
/// ```
pub async fn collect_body<B>(
    body: B,
    limit: usize,
    budget: &ReplyBudget,
) -> Result<Bytes, ReplyError>
where
    B: Body<Data = Bytes>,
    B::Error: std::error::Error + 'static,
{
    let mut body = std::pin::pin!(body);
    if body.size_hint().lower() > limit as u64 {
        return Err(ReplyError::TooLarge { limit });
    }
    // Parts are copied: they share the connection's buffers, so that small ones would hold far more
    // memory than their size.
    let mut buffer = ReplyBuffer::new(budget);
    let mut parts = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| ReplyError::BrokenOff(error_chain(&error)))?;
        if let Some(bytes) = frame.data_ref() {
            parts += 1;
            if parts * MIN_PART_BYTES > limit.max(MIN_PART_BYTES) {
                return Err(ReplyError::TooLarge { limit });
            }
            buffer.push(bytes, limit)?;
        }
    }
    Ok(Bytes::from_owner(buffer))
}

/// Text of an error and of its causes.
pub(crate) fn error_chain(error: &(dyn std::error::Error + 'static)) -> Box<str> {
    let causes = std::iter::successors(Some(error), |error| error.source());
    causes.map(ToString::to_string).collect::<Vec<_>>().join(": ").into()
}
