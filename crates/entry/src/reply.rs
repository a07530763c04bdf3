//! Limits on replies, so that one that never ends takes neither memory nor a connection for long.

use std::cell::Cell;
use std::error::Error;
use std::io;
use std::iter;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::observed::StreamObserver;

/// Bytes that a connection may receive without completing a head or a part of a body. The HTTP
/// library buffers far fewer; more are interim replies or framing without end.
const MAX_UNREAD_BYTES: usize = 256 << 10;
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
    /// Other bodies take most of the memory for bodies, and this one takes too much of the rest.
    #[error("body of over {held} bytes exceeds what is left of {total} bytes for all bodies")]
    OverBudget {
        /// Bytes that the body held.
        held: usize,
        /// Bytes that all bodies may hold.
        total: usize,
    },
    /// The connection received too many bytes that did not become part of the body.
    #[error("reply makes no progress: {0}")]
    Endless(Box<str>),
    /// The connection broke off.
    #[error("reply broke off: {0}")]
    BrokenOff(Box<str>),
}

impl ReplyError {
    fn from_error(error: &(dyn Error + 'static)) -> Self {
        let reason = error_chain(error);
        if is_endless(error) { Self::Endless(reason) } else { Self::BrokenOff(reason) }
    }

    /// Whether a limit ended the reply, as opposed to the connection.
    pub fn is_over_limit(&self) -> bool {
        !matches!(self, Self::BrokenOff(_))
    }
}

/// Limit on the bytes of bodies that are buffered at the same time. A body may hold at most as many
/// bytes as are left for all others, so that large ones always leave room for small ones.
/// Clones share the same limit.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    used: Arc<AtomicUsize>,
    total: usize,
}

impl BufferBudget {
    /// Creates a budget of some bytes.
    pub fn new(total: usize) -> Self {
        Self { used: Arc::default(), total }
    }

    /// Creates a budget that grants everything.
    pub(crate) fn unlimited() -> Self {
        Self::new(usize::MAX)
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

/// Bytes of one body, charged to a budget until they are dropped.
#[derive(Debug)]
pub(crate) struct BodyBuffer {
    bytes: Vec<u8>,
    budget: BufferBudget,
    /// Capacity that the budget has granted.
    charged: usize,
}

impl BodyBuffer {
    pub(crate) fn new(budget: &BufferBudget) -> Self {
        Self { bytes: Vec::new(), budget: budget.clone(), charged: 0 }
    }

    /// Adds bytes, of which the buffer holds at most `limit`.
    pub(crate) fn push(&mut self, bytes: &[u8], limit: usize) -> Result<(), ReplyError> {
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

    /// Drops the bytes.
    pub(crate) fn clear(&mut self) {
        self.bytes = Vec::new();
        self.budget.release(std::mem::take(&mut self.charged));
    }
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for BodyBuffer {
    fn drop(&mut self) {
        self.budget.release(self.charged);
    }
}

/// Reads a body of at most `limit` bytes. The result counts toward the budget until it is dropped.
///
/// ```
/// use bytes::Bytes;
/// use http_body_util::Full;
/// use jacinthrock_entry::{BufferBudget, collect_body};
///
/// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
/// let budget = BufferBudget::new(1 << 20);
/// let body = Full::new(Bytes::from_static(b"booked"));
/// assert_eq!(collect_body(body.clone(), 100, &budget).await.unwrap(), "booked");
/// assert!(collect_body(body, 5, &budget).await.unwrap_err().is_over_limit());
/// assert_eq!(budget.used(), 0);
/// # });
/// ```
pub async fn collect_body<B>(
    body: B,
    limit: usize,
    budget: &BufferBudget,
) -> Result<Bytes, ReplyError>
where
    B: Body<Data = Bytes>,
    B::Error: Error + 'static,
{
    collect_parts(body, limit, budget, limit.max(MIN_PART_BYTES) / MIN_PART_BYTES).await
}

/// Reads a body of at most `limit` bytes in at most `max_parts` parts.
pub(crate) async fn collect_parts<B>(
    body: B,
    limit: usize,
    budget: &BufferBudget,
    max_parts: usize,
) -> Result<Bytes, ReplyError>
where
    B: Body<Data = Bytes>,
    B::Error: Error + 'static,
{
    let mut body = std::pin::pin!(body);
    let size = body.size_hint();
    if size.lower() > limit as u64 {
        return Err(ReplyError::TooLarge { limit });
    }
    // The buffer of a body of known size is no larger than the body.
    let capacity = size.exact().map_or(limit, |size| limit.min(size as usize));
    // Parts are copied: they share the connection's buffers, so that small ones would hold far more
    // memory than their size.
    let mut buffer = BodyBuffer::new(budget);
    let mut parts = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| ReplyError::from_error(&error))?;
        if let Some(bytes) = frame.data_ref() {
            parts += 1;
            if parts > max_parts {
                return Err(ReplyError::TooLarge { limit });
            }
            buffer.push(bytes, capacity)?;
        }
    }
    Ok(Bytes::from_owner(buffer))
}

/// Text of an error and of its causes.
pub(crate) fn error_chain(error: &(dyn Error + 'static)) -> Box<str> {
    causes(error).map(ToString::to_string).collect::<Vec<_>>().join(": ").into()
}

/// An error and its causes.
fn causes<'a>(error: &'a (dyn Error + 'static)) -> impl Iterator<Item = &'a (dyn Error + 'static)> {
    iter::successors(Some(error), |error| Error::source(*error))
}

/// A connection received too many bytes without any progress of the reply.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("{MAX_UNREAD_BYTES} bytes without a head or a part of a body")]
struct EndlessReply;

/// Whether an error is due to the limit on what a connection may receive without progress.
pub(crate) fn is_endless(error: &(dyn Error + 'static)) -> bool {
    causes(error).any(|cause| {
        let inner = cause.downcast_ref::<io::Error>().and_then(io::Error::get_ref);
        inner.is_some_and(|inner| inner.is::<EndlessReply>())
    })
}

/// Bytes that a connection has received since its reader got the last part of the reply.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplyProgress {
    state: Rc<ProgressState>,
}

#[derive(Debug, Default)]
struct ProgressState {
    unread: Cell<usize>,
    is_limited: Cell<bool>,
}

impl ReplyProgress {
    /// Records that the reader waits for the next part.
    pub(crate) fn restart(&self) {
        self.state.unread.set(0);
        self.state.is_limited.set(true);
    }

    /// Records that nobody counts the parts.
    pub(crate) fn suspend(&self) {
        self.state.is_limited.set(false);
    }
}

/// Fails the connection when its reply makes no progress although bytes arrive.
impl StreamObserver for ReplyProgress {
    fn on_read(&self, bytes: usize) -> io::Result<()> {
        let unread = self.state.unread.get() + bytes;
        self.state.unread.set(unread);
        if self.state.is_limited.get() && unread > MAX_UNREAD_BYTES {
            return Err(io::Error::other(EndlessReply));
        }
        Ok(())
    }
}

/// Body of a reply whose connection is closed if it receives bytes that do not become part of the
/// body.
#[derive(Debug)]
pub struct ReplyBody {
    body: Incoming,
    progress: ReplyProgress,
}

impl ReplyBody {
    pub(crate) fn new(body: Incoming, progress: ReplyProgress) -> Self {
        progress.restart();
        Self { body, progress }
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        self.progress.restart();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ReplyBody {
    fn drop(&mut self) {
        self.progress.suspend();
    }
}
