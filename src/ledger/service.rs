//! Runs the ledger's pages against the platform's store.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

use crate::codes::ResultCode;
use crate::counters::{CounterRegistry, MetricName};
use crate::endpoint::PlainReply;
use crate::ids::{CustomerName, Incarnation};
use crate::ledger::expiry::{self, ExpiryReport, FLOOR_NAME, floor_bucket};
use crate::ledger::intent::{IntentId, IntentResult, PageAction, PageEvent, PageIntent, PageStep};
use crate::ledger::key::IdempotencyKey;
use crate::ledger::options::LedgerOptions;
use crate::ledger::page::record_name;
use crate::ledger::record::{
    ClaimHolder, ClaimId, ClaimSettlement, ClaimTicket, RequestFingerprint,
};
use crate::ledger::round::PageCommitter;
use crate::platform::{PlatformStore, StoreError};

/// Wait that a caller is given when a claim could not be recorded.
const UNAVAILABLE_RETRY: Duration = Duration::from_secs(2);

/// Tells whether an incarnation of a host was heard lately.
pub type HolderLiveness = Rc<dyn Fn(&str, Incarnation) -> bool>;

/// A claim on an idempotency key.
#[derive(Clone, Debug)]
pub struct ClaimRequest<'a> {
    /// The caller's `Idempotency-Key`.
    pub key: &'a str,
    /// Digest of the request.
    pub fingerprint: RequestFingerprint,
    /// Customer that the key belongs to.
    pub customer: CustomerName,
    /// Time that the call may take.
    pub deadline: Duration,
}

/// What became of a claim.
#[derive(Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The claim stands: the call may be sent once.
    Granted(ClaimTicket),
    /// The key's call ran; this is its answer.
    Finished(PlainReply),
    /// The call must not be sent.
    Refused {
        /// Why.
        code: ResultCode,
        /// When to come back.
        retry_after: Option<Duration>,
    },
}

/// Why a settlement was not recorded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LedgerError {
    /// The platform did not confirm the settlement in time; other hosts will take it for unknown.
    #[error("settlement of key {key} was not recorded in time")]
    NotRecorded {
        /// The idempotency key.
        key: Box<str>,
    },
}

struct PageEntry {
    ledger: RefCell<PageCommitter>,
    waiters: RefCell<BTreeMap<IntentId, oneshot::Sender<IntentResult>>>,
    running: Cell<bool>,
    submitted: Notify,
}

struct ServiceState {
    store: Rc<dyn PlatformStore>,
    holder: ClaimHolder,
    is_live: HolderLiveness,
    options: LedgerOptions,
    counters: Rc<CounterRegistry>,
    pages: RefCell<BTreeMap<Box<str>, Rc<PageEntry>>>,
    sequence: Cell<u64>,
    newest_bucket: Cell<u64>,
    /// Pace of the page written last; a new page starts with it.
    pace: Cell<Duration>,
    unsettled: Cell<usize>,
    all_settled: Notify,
}

/// The ledger as one host runs it; clones share it.
///
/// Lives on a current-thread runtime inside a `LocalSet`.
///
/// ```
/// use jacinthrock::{
///     ClaimHolder, ClaimRequest, ClaimSettlement, ClaimVerdict, CounterRegistry, LedgerOptions,
///     LedgerService,
/// };
/// use jacinthrock_standins::fake_store::FakeStore;
/// use std::rc::Rc;
/// use std::time::Duration;
///
/// # let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
/// # tokio::task::LocalSet::new().block_on(&runtime, async {
/// let ledger = LedgerService::new(
///     Rc::new(FakeStore::new(1)),
///     ClaimHolder { host: "host-1".into(), incarnation: 1 },
///     Rc::new(|_, _| true),
///     LedgerOptions::default(),
///     Rc::new(CounterRegistry::new()),
/// );
/// let request = ClaimRequest {
///     key: "018bcfe5-6800-7551-af75-0eef7b12e85e",
///     fingerprint: "digest of the request".into(),
///     customer: "studio".into(),
///     deadline: Duration::from_secs(2),
/// };
/// let unix_now = Duration::from_secs(1_700_000_000);
/// let ClaimVerdict::Granted(ticket) = ledger.claim(request, unix_now).await else {
///     panic!("the key is new");
/// };
/// ledger.settle(ticket, ClaimSettlement::NotRun).await.unwrap();
/// # });
/// ```
#[derive(Clone)]
pub struct LedgerService {
    state: Rc<ServiceState>,
}

impl LedgerService {
    /// Makes the ledger of one run of a process.
    pub fn new(
        store: Rc<dyn PlatformStore>,
        holder: ClaimHolder,
        is_live: HolderLiveness,
        options: LedgerOptions,
        counters: Rc<CounterRegistry>,
    ) -> Self {
        let state = ServiceState {
            store,
            holder,
            is_live,
            options,
            counters,
            pages: RefCell::default(),
            sequence: Cell::new(0),
            newest_bucket: Cell::new(0),
            pace: Cell::new(Duration::ZERO),
            unsettled: Cell::new(0),
            all_settled: Notify::new(),
        };
        Self { state: Rc::new(state) }
    }

    /// Claims a key. The call may be sent only with the ticket of a granted claim.
    pub async fn claim(&self, request: ClaimRequest<'_>, unix_now: Duration) -> ClaimVerdict {
        let verdict = match self.check_key(request.key, unix_now) {
            Ok(key) => self.record_claim(key, request).await,
            Err(code) => ClaimVerdict::Refused { code, retry_after: None },
        };
        self.state.counters.count(MetricName::LedgerClaims, &[verdict.label()]);
        verdict
    }

    /// Records how a claimed call ended; tries for [`LedgerOptions::settle_timeout`].
    pub async fn settle(
        &self,
        ticket: ClaimTicket,
        settlement: ClaimSettlement,
    ) -> Result<(), LedgerError> {
        let intent = PageIntent::Settle {
            name: record_name(&ticket.customer, &ticket.key),
            sequence: ticket.claim.sequence,
            settlement,
        };
        let _guard = UnsettledGuard::new(self.state.clone());
        match self.submit(&ticket.key, intent).await {
            IntentResult::GaveUp { .. } => {
                Err(LedgerError::NotRecorded { key: ticket.key.as_text() })
            }
            _ => Ok(()),
        }
    }

    /// Records how a claimed call ended, in the background; [`LedgerService::drain`] waits for it.
    pub fn settle_later(&self, ticket: ClaimTicket, settlement: ClaimSettlement) {
        let service = self.clone();
        // Taken before the task first runs, so that a drain right after this call waits for it.
        let guard = UnsettledGuard::new(self.state.clone());
        tokio::task::spawn_local(async move {
            // The failure is counted by the page; other hosts will take the claim for unknown.
            let _ = service.settle(ticket, settlement).await;
            drop(guard);
        });
    }

    /// Waits until no settlement is in flight.
    pub async fn drain(&self) {
        loop {
            let settled = self.state.all_settled.notified();
            if self.state.unsettled.get() == 0 {
                return;
            }
            settled.await;
        }
    }

    /// Raises the floor and deletes the pages below it; one host at a time should do so.
    pub async fn expire(&self, unix_now: Duration) -> Result<ExpiryReport, StoreError> {
        let newest = self.state.newest_bucket.get();
        expiry::expire(&self.state.store, &self.state.options, unix_now, newest).await
    }

    fn check_key(&self, key: &str, unix_now: Duration) -> Result<IdempotencyKey, ResultCode> {
        let key = IdempotencyKey::parse(key)?;
        key.check_age(unix_now, &self.state.options)?;
        Ok(key)
    }

    async fn record_claim(&self, key: IdempotencyKey, request: ClaimRequest<'_>) -> ClaimVerdict {
        let sequence = self.next_sequence();
        let intent = PageIntent::Claim {
            name: record_name(&request.customer, &key),
            sequence,
            fingerprint: request.fingerprint,
            deadline: request.deadline,
        };
        let claim = ClaimId { holder: self.state.holder.clone(), sequence };
        let ticket = ClaimTicket { key, customer: request.customer, claim };
        // A caller that goes away drops this future; the ticket must not be lost with it.
        let unused = UnusedTicket { service: self.clone(), ticket: Some(ticket) };
        match self.submit(&key, intent).await {
            IntentResult::Granted => ClaimVerdict::Granted(unused.take()),
            IntentResult::Finished(reply) => {
                unused.take();
                ClaimVerdict::Finished(reply)
            }
            IntentResult::Refused { code, retry_after } => {
                unused.take();
                ClaimVerdict::Refused { code, retry_after }
            }
            IntentResult::Settled | IntentResult::GaveUp { .. } => {
                // The claim may stand: `unused` settles it as not run.
                let retry_after = Some(UNAVAILABLE_RETRY);
                ClaimVerdict::Refused { code: ResultCode::LedgerUnavailable, retry_after }
            }
        }
    }

    async fn submit(&self, key: &IdempotencyKey, intent: PageIntent) -> IntentResult {
        let entry = self.page(key);
        let (sender, receiver) = oneshot::channel();
        let id = entry.ledger.borrow_mut().submit(Instant::now(), intent);
        entry.waiters.borrow_mut().insert(id, sender);
        entry.submitted.notify_one();
        if !entry.running.replace(true) {
            let name = key.page_name(&self.state.options);
            tokio::task::spawn_local(run_page(self.state.clone(), name, entry));
        }
        receiver.await.unwrap_or(IntentResult::GaveUp { doubtful: true })
    }

    fn page(&self, key: &IdempotencyKey) -> Rc<PageEntry> {
        let bucket = key.bucket(&self.state.options);
        self.state.newest_bucket.set(self.state.newest_bucket.get().max(bucket));
        let name = key.page_name(&self.state.options);
        let mut pages = self.state.pages.borrow_mut();
        if let Some(entry) = pages.get(&name) {
            return entry.clone();
        }
        if pages.len() >= self.state.options.cached_pages {
            pages.retain(|_, entry| entry.running.get() || !entry.ledger.borrow().is_idle());
        }
        let (holder, options) = (self.state.holder.clone(), self.state.options.clone());
        let ledger = PageCommitter::new(holder, bucket, self.next_sequence(), options)
            .with_pace(self.state.pace.get());
        let entry = Rc::new(PageEntry {
            ledger: RefCell::new(ledger),
            waiters: RefCell::default(),
            running: Cell::new(false),
            submitted: Notify::new(),
        });
        pages.insert(name, entry.clone());
        entry
    }

    fn next_sequence(&self) -> u64 {
        let sequence = self.state.sequence.get() + 1;
        self.state.sequence.set(sequence);
        sequence
    }
}

/// Settles a claim as not run when its future is dropped or the platform did not confirm it.
struct UnusedTicket {
    service: LedgerService,
    ticket: Option<ClaimTicket>,
}

impl UnusedTicket {
    fn take(mut self) -> ClaimTicket {
        self.ticket.take().expect("the ticket is taken once")
    }
}

impl Drop for UnusedTicket {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.service.settle_later(ticket, ClaimSettlement::NotRun);
        }
    }
}

/// Counts a settlement in flight.
struct UnsettledGuard {
    state: Rc<ServiceState>,
}

impl UnsettledGuard {
    fn new(state: Rc<ServiceState>) -> Self {
        state.unsettled.set(state.unsettled.get() + 1);
        Self { state }
    }
}

impl Drop for UnsettledGuard {
    fn drop(&mut self) {
        let unsettled = self.state.unsettled.get() - 1;
        self.state.unsettled.set(unsettled);
        if unsettled == 0 {
            self.state.all_settled.notify_waiters();
        }
    }
}

impl ClaimVerdict {
    /// Name of the verdict, used as a metric label.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Granted(_) => "granted",
            Self::Finished(_) => "finished",
            Self::Refused { code, .. } => code.name(),
        }
    }
}

async fn run_page(state: Rc<ServiceState>, name: Box<str>, entry: Rc<PageEntry>) {
    loop {
        let is_live = state.is_live.clone();
        let step = entry.ledger.borrow_mut().advance(Instant::now(), &*is_live);
        let action = deliver(&entry, step);
        let event = match action {
            PageAction::Idle => break,
            PageAction::Wait(until) => {
                let submitted = entry.submitted.notified();
                let _ = tokio::time::timeout_at(until, submitted).await;
                continue;
            }
            PageAction::Read => PageEvent::Read(read(&state, &name).await),
            PageAction::ReadFloor => PageEvent::Floor(read_floor(&state).await),
            PageAction::Write { expected, value } => {
                PageEvent::Write(write(&state, &name, expected, value).await)
            }
        };
        let mut ledger = entry.ledger.borrow_mut();
        ledger.observe(Instant::now(), event);
        state.pace.set(ledger.pace());
    }
    entry.running.set(false);
}

fn deliver(entry: &PageEntry, step: PageStep) -> PageAction {
    let mut waiters = entry.waiters.borrow_mut();
    for (id, answer) in step.answers {
        if let Some(sender) = waiters.remove(&id) {
            // The receiver is gone where its caller went away.
            let _ = sender.send(answer);
        }
    }
    step.action
}

async fn read(
    state: &ServiceState,
    name: &str,
) -> Result<Option<crate::platform::StoredObject>, StoreError> {
    let timeout = state.options.call_timeout;
    let result = tokio::time::timeout(timeout, state.store.get(name)).await;
    result.unwrap_or_else(|_| Err(no_answer()))
}

async fn read_floor(state: &ServiceState) -> Result<u64, StoreError> {
    floor_bucket(read(state, FLOOR_NAME).await?)
}

async fn write(
    state: &ServiceState,
    name: &str,
    expected: u64,
    value: Box<[u8]>,
) -> Result<u64, StoreError> {
    let timeout = state.options.call_timeout;
    let result = tokio::time::timeout(timeout, state.store.put(name, expected, value)).await;
    let result = result.unwrap_or_else(|_| Err(no_answer()));
    state.counters.count(MetricName::LedgerWrites, &[write_label(&result)]);
    result
}

fn no_answer() -> StoreError {
    StoreError::Ambiguous("no answer in time".into())
}

fn write_label(result: &Result<u64, StoreError>) -> &'static str {
    match result {
        Ok(_) => "written",
        Err(StoreError::Conflict { .. }) => "conflict",
        Err(StoreError::Ambiguous(_)) => "ambiguous",
        Err(StoreError::Throttled { .. }) => "throttled",
        Err(_) => "unavailable",
    }
}
