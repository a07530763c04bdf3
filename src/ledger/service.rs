//! Ledger service of one host: runs the page state machines against the platform's store.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

use crate::codes::ResultCode;
use crate::endpoint::PlainReply;
use crate::ids::{CustomerName, Incarnation};
use crate::ledger::committer::PageCommitter;
use crate::ledger::expiry::{self, ExpiryReport, FLOOR_NAME, floor_bucket};
use crate::ledger::intent::{IntentId, IntentResult, PageAction, PageEvent, PageIntent, PageStep};
use crate::ledger::key::IdempotencyKey;
use crate::ledger::options::LedgerOptions;
use crate::ledger::page::record_name;
use crate::ledger::record::{
    ClaimHolder, ClaimId, ClaimSettlement, ClaimTicket, RequestFingerprint,
};
use crate::metrics::{MetricName, MetricRegistry};
use crate::platform::{PlatformStore, StoreError};

/// Retry delay returned when a claim could not be recorded.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Returns whether an incarnation of a host was heard from recently.
pub type HolderLiveness = Rc<dyn Fn(&str, Incarnation) -> bool>;

/// Request to claim an idempotency key.
#[derive(Clone, Debug)]
pub struct ClaimRequest<'a> {
    /// Value of the caller's `Idempotency-Key` header.
    pub key: &'a str,
    /// Digest of the request.
    pub fingerprint: RequestFingerprint,
    /// Customer that owns the key.
    pub customer: CustomerName,
    /// Time limit of the call.
    pub deadline: Duration,
}

/// Result of a claim.
#[derive(Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The claim is recorded: the call may be sent once.
    Granted(ClaimTicket),
    /// The call under this key already ran; this is its response.
    Finished(PlainReply),
    /// The call must not be sent.
    Refused {
        /// Reason for the refusal.
        code: ResultCode,
        /// Delay after which the caller may retry.
        retry_after: Option<Duration>,
    },
}

/// Why a settlement was not recorded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LedgerError {
    /// The platform did not confirm the settlement in time; other hosts will treat the outcome as
    /// unknown.
    #[error("settlement of key {key} was not recorded in time")]
    NotRecorded {
        /// The idempotency key.
        key: Box<str>,
    },
}

struct PageEntry {
    committer: RefCell<PageCommitter>,
    waiters: RefCell<BTreeMap<IntentId, oneshot::Sender<IntentResult>>>,
    is_running: Cell<bool>,
    submitted: Notify,
}

struct ServiceState {
    store: Rc<dyn PlatformStore>,
    holder: ClaimHolder,
    is_live: HolderLiveness,
    options: LedgerOptions,
    metrics: Rc<MetricRegistry>,
    pages: RefCell<BTreeMap<Box<str>, Rc<PageEntry>>>,
    last_sequence: Cell<u64>,
    newest_bucket: Cell<u64>,
    /// Write interval of the page that made the last platform call; new pages start with it.
    write_interval: Cell<Duration>,
    unsettled: Cell<usize>,
    all_settled: Notify,
}

/// Ledger of one host; clones share its state.
///
/// Must run inside a `LocalSet` on a current-thread runtime.
///
/// ```
/// use jacinthrock::{
///     ClaimHolder, ClaimRequest, ClaimSettlement, ClaimVerdict, LedgerOptions,
///     LedgerService, MetricRegistry,
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
///     Rc::new(MetricRegistry::new()),
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
    /// Creates the ledger of one incarnation of a process.
    pub fn new(
        store: Rc<dyn PlatformStore>,
        holder: ClaimHolder,
        is_live: HolderLiveness,
        options: LedgerOptions,
        metrics: Rc<MetricRegistry>,
    ) -> Self {
        let state = ServiceState {
            store,
            holder,
            is_live,
            options,
            metrics,
            pages: RefCell::default(),
            last_sequence: Cell::new(0),
            newest_bucket: Cell::new(0),
            write_interval: Cell::new(Duration::ZERO),
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
        self.state.metrics.count(MetricName::LedgerClaims, &[verdict.label()]);
        verdict
    }

    /// Records the outcome of a claimed call; retries for up to [`LedgerOptions::settle_timeout`].
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
            IntentResult::TimedOut { .. } => {
                Err(LedgerError::NotRecorded { key: ticket.key.to_text() })
            }
            _ => Ok(()),
        }
    }

    /// Records the outcome of a claimed call in the background; [`LedgerService::drain`] waits for
    /// it.
    pub fn settle_later(&self, ticket: ClaimTicket, settlement: ClaimSettlement) {
        let service = self.clone();
        // Created before the task first runs, so that a drain right after this call waits for it.
        let guard = UnsettledGuard::new(self.state.clone());
        tokio::task::spawn_local(async move {
            // Failed writes are counted by `write_page`; other hosts treat the outcome as unknown.
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

    /// Raises the floor and deletes the pages below it; should run on one host at a time.
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
        // This future is dropped if the caller disconnects; the claim must be settled even then.
        let unused = UnusedTicket { service: self.clone(), ticket: Some(ticket) };
        match self.submit(&key, intent).await {
            IntentResult::Granted => ClaimVerdict::Granted(unused.into_ticket()),
            IntentResult::Finished(reply) => {
                unused.into_ticket();
                ClaimVerdict::Finished(reply)
            }
            IntentResult::Refused { code, retry_after } => {
                unused.into_ticket();
                ClaimVerdict::Refused { code, retry_after }
            }
            IntentResult::Settled | IntentResult::TimedOut { .. } => {
                // The claim may have been recorded: dropping `unused` settles it as not run.
                let retry_after = Some(UNAVAILABLE_RETRY_AFTER);
                ClaimVerdict::Refused { code: ResultCode::LedgerUnavailable, retry_after }
            }
        }
    }

    async fn submit(&self, key: &IdempotencyKey, intent: PageIntent) -> IntentResult {
        let entry = self.page_entry(key);
        let (sender, receiver) = oneshot::channel();
        let id = entry.committer.borrow_mut().submit(Instant::now(), intent);
        entry.waiters.borrow_mut().insert(id, sender);
        entry.submitted.notify_one();
        if !entry.is_running.replace(true) {
            let name = key.page_name(&self.state.options);
            tokio::task::spawn_local(run_page(self.state.clone(), name, entry));
        }
        receiver.await.unwrap_or(IntentResult::TimedOut { is_ambiguous: true })
    }

    fn page_entry(&self, key: &IdempotencyKey) -> Rc<PageEntry> {
        let bucket = key.bucket(&self.state.options);
        self.state.newest_bucket.set(self.state.newest_bucket.get().max(bucket));
        let name = key.page_name(&self.state.options);
        let mut pages = self.state.pages.borrow_mut();
        if let Some(entry) = pages.get(&name) {
            return entry.clone();
        }
        if pages.len() >= self.state.options.max_cached_pages {
            pages.retain(|_, entry| entry.is_running.get() || !entry.committer.borrow().is_idle());
        }
        let (holder, options) = (self.state.holder.clone(), self.state.options.clone());
        let committer = PageCommitter::new(holder, bucket, self.next_sequence(), options)
            .with_write_interval(self.state.write_interval.get());
        let entry = Rc::new(PageEntry {
            committer: RefCell::new(committer),
            waiters: RefCell::default(),
            is_running: Cell::new(false),
            submitted: Notify::new(),
        });
        pages.insert(name, entry.clone());
        entry
    }

    fn next_sequence(&self) -> u64 {
        let sequence = self.state.last_sequence.get() + 1;
        self.state.last_sequence.set(sequence);
        sequence
    }
}

/// Guard that settles a claim as not run if its future is dropped or the platform does not
/// confirm it in time.
struct UnusedTicket {
    service: LedgerService,
    ticket: Option<ClaimTicket>,
}

impl UnusedTicket {
    fn into_ticket(mut self) -> ClaimTicket {
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

/// Counts a settlement as in flight until it is dropped.
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
        let step = entry.committer.borrow_mut().advance(Instant::now(), &*is_live);
        let action = deliver_results(&entry, step);
        let event = match action {
            PageAction::Idle => break,
            PageAction::Wait(until) => {
                let submitted = entry.submitted.notified();
                let _ = tokio::time::timeout_at(until, submitted).await;
                continue;
            }
            PageAction::Read => PageEvent::Read(read_object(&state, &name).await),
            PageAction::ReadFloor => PageEvent::Floor(read_floor(&state).await),
            PageAction::Write { expected, value } => {
                PageEvent::Write(write_page(&state, &name, expected, value).await)
            }
        };
        let mut committer = entry.committer.borrow_mut();
        committer.observe(Instant::now(), event);
        state.write_interval.set(committer.write_interval());
    }
    entry.is_running.set(false);
}

fn deliver_results(entry: &PageEntry, step: PageStep) -> PageAction {
    let mut waiters = entry.waiters.borrow_mut();
    for (id, result) in step.results {
        if let Some(sender) = waiters.remove(&id) {
            // Fails if the caller has dropped the receiver; nobody needs the result then.
            let _ = sender.send(result);
        }
    }
    step.action
}

async fn read_object(
    state: &ServiceState,
    name: &str,
) -> Result<Option<crate::platform::StoredObject>, StoreError> {
    let timeout = state.options.call_timeout;
    let result = tokio::time::timeout(timeout, state.store.get(name)).await;
    result.unwrap_or_else(|_| Err(timeout_error()))
}

async fn read_floor(state: &ServiceState) -> Result<u64, StoreError> {
    floor_bucket(read_object(state, FLOOR_NAME).await?)
}

async fn write_page(
    state: &ServiceState,
    name: &str,
    expected: u64,
    value: Box<[u8]>,
) -> Result<u64, StoreError> {
    let timeout = state.options.call_timeout;
    let result = tokio::time::timeout(timeout, state.store.put(name, expected, value)).await;
    let result = result.unwrap_or_else(|_| Err(timeout_error()));
    state.metrics.count(MetricName::LedgerWrites, &[write_label(&result)]);
    result
}

fn timeout_error() -> StoreError {
    StoreError::Ambiguous("call timed out".into())
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
