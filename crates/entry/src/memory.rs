//! How the memory of a host is divided among what others make it hold.

/// Memory that a caller's connection takes at most beside the body of its request: the buffer for
/// its head, what its task needs, and bytes that the kernel has received.
const CONNECTION_BYTES: usize = 40 << 10;
/// Receive buffer of a caller's connection. Bytes that have not been read count as memory of the
/// process.
pub(crate) const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
/// Smallest budget for bodies: one of the usual limit, 4 MiB, may take half of it.
const MIN_BUDGET_BYTES: usize = 8 << 20;
/// Largest budget for replies.
const MAX_REPLY_BYTES: usize = 24 << 20;

/// Shares of a host's memory. What is left is for the store's replies, streams and the process
/// itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// Bytes of all bodies of requests, until their requests are answered.
    pub requests: usize,
    /// Bytes of all replies of endpoints and of other hosts, until their callers have them.
    pub replies: usize,
    /// Number of callers' connections.
    pub connections: usize,
}

impl MemoryPlan {
    /// Divides some bytes of memory.
    ///
    /// ```
    /// use jacinthrock_entry::MemoryPlan;
    ///
    /// let plan = MemoryPlan::new(160_000_000);
    /// assert_eq!(plan.requests, 32_000_000);
    /// assert!(plan.connections > 1_500);
    /// ```
    pub fn new(memory: usize) -> Self {
        Self {
            requests: (memory / 5).max(MIN_BUDGET_BYTES),
            replies: (memory / 20 * 3).clamp(MIN_BUDGET_BYTES, MAX_REPLY_BYTES),
            connections: memory / 5 * 2 / CONNECTION_BYTES,
        }
    }
}
