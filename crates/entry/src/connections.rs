//! Connections of callers, and which of them gives way when there are too many.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Time for which a connection may wait for its caller before it gives way to a new one.
const MIN_WAIT: Duration = Duration::from_millis(500);

/// What a caller's connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionPhase {
    /// Its first request, or the body of a later one, has not arrived.
    Unfinished(Instant),
    /// It is kept for another request.
    Kept(Instant),
    /// A request is being answered, until its deadline.
    Answering(Instant),
}

impl ConnectionPhase {
    /// Since when the connection waits for its caller, after its place in the order in which
    /// connections give way.
    fn waiting_since(self, stalled: Option<Instant>) -> Option<(u8, Instant)> {
        match self {
            Self::Unfinished(since) => Some((0, since)),
            Self::Kept(since) => Some((1, since)),
            Self::Answering(_) => Some((2, stalled?)),
        }
    }
}

/// Number of a connection.
type ConnectionNumber = u64;

/// Phase of a connection and the number of its latest request.
type SharedPhase = Rc<Cell<(u64, ConnectionPhase)>>;

/// Since when the other end of a connection takes no bytes, if it does not.
pub(crate) type StalledSince = Rc<Cell<Option<Instant>>>;

#[derive(Debug)]
struct ConnectionEntry {
    phase: SharedPhase,
    stalled: StalledSince,
    task: Option<AbortHandle>,
}

/// Open connections of callers. Clones share the same table.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallerTable {
    entries: Rc<RefCell<BTreeMap<ConnectionNumber, ConnectionEntry>>>,
    next: Rc<Cell<ConnectionNumber>>,
}

impl CallerTable {
    /// Number of open connections.
    pub(crate) fn count(&self) -> usize {
        self.entries.borrow().len()
    }

    /// Adds a connection, until what this returns is dropped.
    pub(crate) fn add(&self) -> CallerConnection {
        let number = self.next.replace(self.next.get() + 1);
        let phase = Rc::new(Cell::new((0, ConnectionPhase::Unfinished(Instant::now()))));
        let stalled = StalledSince::default();
        let entry = ConnectionEntry { phase: phase.clone(), stalled: stalled.clone(), task: None };
        self.entries.borrow_mut().insert(number, entry);
        CallerConnection { table: self.clone(), number, phase, stalled }
    }

    /// Sets the task that serves a connection.
    pub(crate) fn set_task(&self, number: ConnectionNumber, task: AbortHandle) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(&number) {
            entry.task = Some(task);
        }
    }

    /// Closes a connection that waits for its caller: one with an unfinished request before one that
    /// is kept, then one whose caller does not read its answer; of these, the one that has waited
    /// longest. Returns for how long it has.
    pub(crate) fn evict(&self, now: Instant) -> Option<Duration> {
        let mut entries = self.entries.borrow_mut();
        let waiting = entries.iter().filter_map(|(number, entry)| {
            let (_, phase) = entry.phase.get();
            let order = phase.waiting_since(entry.stalled.get())?;
            let wait = now.saturating_duration_since(order.1);
            (wait >= MIN_WAIT && entry.task.is_some()).then_some((order, *number, wait))
        });
        let (_, number, wait) = waiting.min()?;
        let task = entries.remove(&number)?.task?;
        task.abort();
        Some(wait)
    }

    /// Closes connections whose callers do not read an answer, once its deadline has passed; returns
    /// their number.
    pub(crate) fn close_overdue(&self, now: Instant) -> usize {
        let mut entries = self.entries.borrow_mut();
        let before = entries.len();
        entries.retain(|_, entry| {
            let (_, phase) = entry.phase.get();
            let is_overdue =
                matches!(phase, ConnectionPhase::Answering(deadline) if deadline <= now);
            let task = entry.task.as_ref().filter(|_| is_overdue && entry.stalled.get().is_some());
            task.inspect(|task| task.abort()).is_none()
        });
        before - entries.len()
    }
}

/// An open connection of a caller.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    table: CallerTable,
    number: ConnectionNumber,
    phase: SharedPhase,
    stalled: StalledSince,
}

impl CallerConnection {
    /// Where it is recorded that the caller takes no bytes.
    pub(crate) fn stalled(&self) -> StalledSince {
        self.stalled.clone()
    }

    pub(crate) fn number(&self) -> ConnectionNumber {
        self.number
    }

    /// Records that the head of a request has arrived.
    pub(crate) fn begin_request(&self) -> RequestPhase {
        let number = self.phase.get().0 + 1;
        self.phase.set((number, ConnectionPhase::Unfinished(Instant::now())));
        RequestPhase { phase: self.phase.clone(), number }
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.table.entries.borrow_mut().remove(&self.number);
    }
}

/// A request on a caller's connection, until its answer is written.
#[derive(Debug)]
pub(crate) struct RequestPhase {
    phase: SharedPhase,
    number: u64,
}

impl RequestPhase {
    /// Records that the request, which has a deadline, has arrived as a whole.
    pub(crate) fn set_received(&self, deadline: Instant) {
        self.phase.set((self.number, ConnectionPhase::Answering(deadline)));
    }
}

impl Drop for RequestPhase {
    fn drop(&mut self) {
        // The next request may have arrived before this one's answer is written.
        if self.phase.get().0 == self.number {
            self.phase.set((self.number, ConnectionPhase::Kept(Instant::now())));
        }
    }
}
