//! Decisions on one page: which records to write, and what to answer once they stand.
//!
//! At most one platform call of a page is in flight on a host. What arrives meanwhile goes into
//! the next write, so that writes grow with pages and not with calls. Each decision is taken anew
//! on the page as last seen; a conflict or a lost reply therefore only needs another read.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

use crate::codes::ResultCode;
use crate::ids::{Incarnation, ObjectVersion};
use crate::ledger::decision::{
    DecisionView, IntentDecision, confirm, finished, insert_or_refuse, refuse,
};
use crate::ledger::intent::{IntentId, IntentResult, PageAction, PageEvent, PageIntent, PageStep};
use crate::ledger::options::{LedgerGuard, LedgerOptions};
use crate::ledger::page::LedgerPage;
use crate::ledger::record::{ClaimHolder, ClaimId, ClaimRecord, ClaimSettlement, RecordState};
use crate::platform::{StoreError, StoredObject};

/// Room that a record without an answer takes in a page, in bytes.
const RECORD_BYTES: usize = 300;
/// Wait that a caller is given for a key in flight, at most.
const IN_FLIGHT_RETRY: Duration = Duration::from_secs(1);
/// Doublings of the backoff after which it grows no further.
const MAX_DOUBLINGS: u32 = 10;

#[derive(Clone)]
struct PendingIntent {
    id: IntentId,
    intent: PageIntent,
    arrived: Instant,
    not_before: Instant,
    give_up: Instant,
    doubtful: bool,
}

#[derive(Clone)]
struct CachedPage {
    version: ObjectVersion,
    page: LedgerPage,
    bytes: usize,
    seen: Instant,
}

#[derive(Clone)]
struct PageWrite {
    expected: ObjectVersion,
    page: LedgerPage,
    value: Box<[u8]>,
    intents: BTreeSet<IntentId>,
}

/// The state machine of one page on one host.
#[derive(Clone)]
pub struct PageCommitter {
    holder: ClaimHolder,
    bucket: u64,
    options: LedgerOptions,
    creation_prefix: Box<str>,
    creations: u64,
    next_intent: IntentId,
    pending: Vec<PendingIntent>,
    cached: Option<CachedPage>,
    write: Option<PageWrite>,
    floor: u64,
    floor_checked: Option<Box<str>>,
    granted: BTreeSet<u64>,
    sightings: BTreeMap<ClaimId, Instant>,
    backoff_until: Option<Instant>,
    pace: Duration,
    paced_until: Option<Instant>,
    failures: u32,
    jitter: ChaCha8Rng,
}

impl PageCommitter {
    /// A page that was not read yet; `serial` differs for each page of the holder's run.
    pub fn new(holder: ClaimHolder, bucket: u64, serial: u64, options: LedgerOptions) -> Self {
        let creation_prefix = format!("{}/{}/{serial}", holder.host, holder.incarnation).into();
        let jitter = ChaCha8Rng::seed_from_u64(options.jitter_seed ^ serial);
        Self {
            holder,
            bucket,
            options,
            creation_prefix,
            creations: 0,
            next_intent: 0,
            pending: Vec::new(),
            cached: None,
            write: None,
            floor: 0,
            floor_checked: None,
            granted: BTreeSet::new(),
            sightings: BTreeMap::new(),
            backoff_until: None,
            pace: Duration::ZERO,
            paced_until: None,
            failures: 0,
            jitter,
        }
    }

    /// Whether the page may be forgotten: nothing is pending and no granted claim is unsettled.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.granted.is_empty()
    }

    /// Time between this host's writes of the page.
    pub fn pace(&self) -> Duration {
        self.pace
    }

    /// Starts with the pace of an earlier page.
    pub fn with_pace(self, pace: Duration) -> Self {
        Self { pace, ..self }
    }

    /// Takes an intent; [`PageCommitter::advance`] answers it.
    pub fn submit(&mut self, now: Instant, intent: PageIntent) -> IntentId {
        self.next_intent += 1;
        let (linger, timeout) = match intent {
            PageIntent::Claim { deadline, .. } => {
                (Duration::ZERO, self.options.claim_timeout.min(deadline))
            }
            PageIntent::Settle { .. } => (self.options.settle_linger, self.options.settle_timeout),
        };
        self.pending.push(PendingIntent {
            id: self.next_intent,
            intent,
            arrived: now,
            not_before: now + linger,
            give_up: now + timeout,
            doubtful: false,
        });
        self.next_intent
    }

    /// Learns how the last platform call ended.
    pub fn observe(&mut self, now: Instant, event: PageEvent) {
        match event {
            PageEvent::Read(Ok(object)) => self.observe_page(now, object),
            PageEvent::Floor(Ok(floor)) => self.observe_floor(floor),
            PageEvent::Write(result) => self.observe_write(now, result),
            PageEvent::Read(Err(error)) | PageEvent::Floor(Err(error)) => {
                self.back_off(now, &error);
            }
        }
    }

    /// Decides on every pending intent; call it whenever no platform call is in flight.
    pub fn advance(
        &mut self,
        now: Instant,
        is_live: &dyn Fn(&str, Incarnation) -> bool,
    ) -> PageStep {
        let mut answers = self.expire(now);
        let action = match self.due(now) {
            Some(action) => action,
            None => self.decide_all(now, is_live, &mut answers),
        };
        PageStep { answers, action }
    }

    fn expire(&mut self, now: Instant) -> Vec<(IntentId, IntentResult)> {
        let expired = self.pending.extract_if(.., |pending| pending.give_up <= now);
        let answers: Vec<_> =
            expired.map(|pending| (pending.id, pending.intent, pending.doubtful)).collect();
        let mut steps = Vec::new();
        for (id, intent, doubtful) in answers {
            match intent {
                PageIntent::Settle { sequence, .. } => self.granted.remove(&sequence),
                // Its holder settles it as not run, and until then it counts as active.
                PageIntent::Claim { sequence, .. } => self.granted.insert(sequence),
            };
            steps.push((id, IntentResult::GaveUp { doubtful }));
        }
        steps
    }

    /// What must happen before the next decision, if anything.
    fn due(&self, now: Instant) -> Option<PageAction> {
        let Some(first_give_up) = self.pending.iter().map(|pending| pending.give_up).min() else {
            return Some(PageAction::Idle);
        };
        if let Some(until) = self.backoff_until.filter(|until| *until > now) {
            return Some(PageAction::Wait(until.min(first_give_up)));
        }
        let first = self.pending.iter().map(|pending| pending.not_before).min();
        if let Some(until) = first.filter(|until| *until > now) {
            return Some(PageAction::Wait(until));
        }
        if let Some(write) = &self.write {
            let (expected, value) = (write.expected, write.value.clone());
            return Some(PageAction::Write { expected, value });
        }
        let cached = self.cached.as_ref();
        let usable = cached.is_some_and(|cached| !self.is_stale(now, cached));
        if usable {
            return None;
        }
        match self.paced_until.filter(|until| *until > now) {
            Some(until) => Some(PageAction::Wait(until.min(first_give_up))),
            None => Some(PageAction::Read),
        }
    }

    /// Whether a write would probably meet a conflict; a read costs the platform less.
    fn is_stale(&self, now: Instant, cached: &CachedPage) -> bool {
        let foreign = |record: &ClaimRecord| record.claim.holder != self.holder;
        now.duration_since(cached.seen) > self.options.stale_after
            && cached.page.records.values().any(foreign)
    }

    fn decide_all(
        &mut self,
        now: Instant,
        is_live: &dyn Fn(&str, Incarnation) -> bool,
        answers: &mut Vec<(IntentId, IntentResult)>,
    ) -> PageAction {
        let cached = self.cached.clone().expect("a page is read before decisions on it");
        let mut proposal = cached.page.clone();
        let mut bytes = cached.bytes;
        let mut changes = BTreeSet::new();
        let mut wanted = None;
        for pending in std::mem::take(&mut self.pending) {
            let name = pending.intent.name();
            let unconfirmed = proposal.records.get(name) != cached.page.records.get(name);
            let room = bytes + RECORD_BYTES <= self.options.full_page_bytes;
            let view = DecisionView {
                record: proposal.records.get(name),
                fresh: cached.seen >= pending.arrived,
                floor_passed: self.floor_passed(&cached.page),
                closed: self.floor > self.bucket,
                room,
            };
            if unconfirmed {
                self.pending.push(pending);
                continue;
            }
            match self.decide(now, &pending.intent, view, is_live) {
                IntentDecision::Answer(answer) => {
                    self.note_answer(&pending.intent, &answer);
                    answers.push((pending.id, answer));
                    continue;
                }
                IntentDecision::Insert(record) => {
                    proposal.records.insert(name.into(), record);
                    bytes += RECORD_BYTES;
                    changes.insert(pending.id);
                    if !self.options.guards(LedgerGuard::WriteBeforeGrant) {
                        answers.push((pending.id, IntentResult::Granted));
                        continue;
                    }
                }
                IntentDecision::Update(state) => {
                    let record = proposal.records.get_mut(name).expect("the record was seen");
                    record.state = state;
                    changes.insert(pending.id);
                }
                IntentDecision::Read => wanted = Some(PageAction::Read),
                IntentDecision::ReadFloor => wanted = wanted.or(Some(PageAction::ReadFloor)),
            }
            self.pending.push(pending);
        }
        if let Some(until) = self.paced_until.filter(|until| *until > now && !changes.is_empty()) {
            return PageAction::Wait(until);
        }
        if !changes.is_empty() {
            return self.start_write(&cached, proposal, changes);
        }
        wanted.unwrap_or(PageAction::Idle)
    }

    fn start_write(
        &mut self,
        cached: &CachedPage,
        mut page: LedgerPage,
        intents: BTreeSet<IntentId>,
    ) -> PageAction {
        if self.floor_checked.as_ref() == Some(&page.creation) {
            page.opened = true;
        }
        let value = page.encode(self.options.max_page_bytes);
        let expected = cached.version;
        self.write = Some(PageWrite { expected, page, value: value.clone(), intents });
        PageAction::Write { expected, value }
    }

    fn floor_passed(&self, page: &LedgerPage) -> bool {
        let checked = page.opened || self.floor_checked.as_ref() == Some(&page.creation);
        checked || !self.options.guards(LedgerGuard::FloorCheck)
    }

    fn decide(
        &mut self,
        now: Instant,
        intent: &PageIntent,
        view: DecisionView<'_>,
        is_live: &dyn Fn(&str, Incarnation) -> bool,
    ) -> IntentDecision {
        match intent {
            PageIntent::Claim { sequence, fingerprint, deadline, .. } => {
                let claim = self.claim_id(*sequence);
                let deadline_ms = deadline.as_millis() as u64;
                let state = RecordState::Claimed;
                let fresh =
                    ClaimRecord { fingerprint: fingerprint.clone(), claim, deadline_ms, state };
                self.decide_claim(now, fresh, view, is_live)
            }
            PageIntent::Settle { sequence, settlement, .. } => {
                let claim = self.claim_id(*sequence);
                self.decide_settlement(&claim, settlement, view)
            }
        }
    }

    fn decide_claim(
        &mut self,
        now: Instant,
        claim: ClaimRecord,
        view: DecisionView<'_>,
        is_live: &dyn Fn(&str, Incarnation) -> bool,
    ) -> IntentDecision {
        let Some(record) = view.record else {
            return insert_or_refuse(claim, &view);
        };
        if record.fingerprint != claim.fingerprint {
            return refuse(ResultCode::IdempotencyKeyReused, None);
        }
        match &record.state {
            RecordState::Claimed if record.claim == claim.claim => confirm(&view),
            RecordState::Claimed => self.decide_held(now, claim, record, view.fresh, is_live),
            RecordState::NotRun => insert_or_refuse(claim, &view),
            RecordState::Unknown if !self.options.guards(LedgerGuard::UnknownIsFinal) => {
                IntentDecision::Insert(claim)
            }
            RecordState::Unknown => refuse(ResultCode::ClaimUnknown, None),
            RecordState::Done { .. } => finished(&record.state),
        }
    }

    /// Decides on a claim whose key another claim holds.
    fn decide_held(
        &mut self,
        now: Instant,
        claim: ClaimRecord,
        record: &ClaimRecord,
        fresh: bool,
        is_live: &dyn Fn(&str, Incarnation) -> bool,
    ) -> IntentDecision {
        if !fresh {
            return IntentDecision::Read;
        }
        if !self.is_orphaned(now, record, is_live) {
            let retry_after = Some(self.in_flight_retry(now, record));
            return refuse(ResultCode::ClaimInFlight, retry_after);
        }
        if !self.options.guards(LedgerGuard::DeadHolderKeepsClaim) {
            return IntentDecision::Insert(claim);
        }
        IntentDecision::Update(RecordState::Unknown)
    }

    /// Whether nobody will settle the claim any more.
    ///
    /// A wrong guess is safe: an unknown outcome is never sent again, whatever the holder does.
    fn is_orphaned(
        &mut self,
        now: Instant,
        record: &ClaimRecord,
        is_live: &dyn Fn(&str, Incarnation) -> bool,
    ) -> bool {
        let holder = &record.claim.holder;
        if *holder == self.holder {
            return !self.is_active(record.claim.sequence);
        }
        if holder.host == self.holder.host && holder.incarnation < self.holder.incarnation {
            return true;
        }
        let first_seen = *self.sightings.entry(record.claim.clone()).or_insert(now);
        let watched = now.duration_since(first_seen);
        if watched >= record.deadline() + self.options.abandon_after {
            return true;
        }
        watched >= record.deadline() && !is_live(&holder.host, holder.incarnation)
    }

    fn is_active(&self, sequence: u64) -> bool {
        let is_pending = |pending: &PendingIntent| pending.intent.sequence() == sequence;
        self.granted.contains(&sequence) || self.pending.iter().any(is_pending)
    }

    fn in_flight_retry(&mut self, now: Instant, record: &ClaimRecord) -> Duration {
        let first_seen = self.sightings.get(&record.claim).copied().unwrap_or(now);
        let left = record.deadline().saturating_sub(now.duration_since(first_seen));
        let base = left.clamp(IN_FLIGHT_RETRY / 4, IN_FLIGHT_RETRY);
        base.mul_f64(self.jitter.random_range(0.75..1.25))
    }

    fn decide_settlement(
        &self,
        claim: &ClaimId,
        settlement: &ClaimSettlement,
        view: DecisionView<'_>,
    ) -> IntentDecision {
        let Some(record) = view.record.filter(|record| record.claim == *claim) else {
            return if view.fresh {
                IntentDecision::Answer(IntentResult::Settled)
            } else {
                IntentDecision::Read
            };
        };
        let state = RecordState::from_settlement(settlement, self.options.max_answer_bytes);
        let is_done = matches!(settlement, ClaimSettlement::Done(_));
        match &record.state {
            RecordState::Claimed => IntentDecision::Update(state),
            RecordState::Unknown if is_done => IntentDecision::Update(state),
            _ => IntentDecision::Answer(IntentResult::Settled),
        }
    }

    fn note_answer(&mut self, intent: &PageIntent, answer: &IntentResult) {
        match answer {
            IntentResult::Granted => self.granted.insert(intent.sequence()),
            IntentResult::Settled => self.granted.remove(&intent.sequence()),
            _ => false,
        };
    }

    fn observe_page(&mut self, now: Instant, object: Option<StoredObject>) {
        let Some(object) = object else {
            let page = LedgerPage::new(self.next_creation());
            self.cached = Some(CachedPage { version: 0, page, bytes: 0, seen: now });
            return;
        };
        let Some(page) = LedgerPage::decode(&object.value) else {
            self.back_off(now, &StoreError::Rejected("the page can't be read".into()));
            return;
        };
        let (version, bytes) = (object.version, object.value.len());
        self.cached = Some(CachedPage { version, page, bytes, seen: now });
    }

    fn observe_floor(&mut self, floor: u64) {
        self.floor = self.floor.max(floor);
        self.failures = 0;
        if let Some(cached) = &self.cached {
            self.floor_checked = Some(cached.page.creation.clone());
        }
    }

    fn observe_write(&mut self, now: Instant, result: Result<ObjectVersion, StoreError>) {
        let write = self.write.take().expect("a write was started");
        match result {
            Ok(version) => self.accept_write(now, version, write),
            Err(StoreError::Conflict { current })
                if !self.options.guards(LedgerGuard::DecideAgain) =>
            {
                self.write = Some(PageWrite { expected: current, ..write });
            }
            Err(StoreError::Ambiguous(_)) if !self.options.guards(LedgerGuard::ReadBack) => {
                self.accept_write(now, write.expected, write);
            }
            Err(error) => self.reject_write(now, &error, &write),
        }
    }

    fn accept_write(&mut self, now: Instant, version: ObjectVersion, write: PageWrite) {
        self.failures = 0;
        self.speed_up(now);
        self.cached =
            Some(CachedPage { version, page: write.page, bytes: write.value.len(), seen: now });
    }

    fn reject_write(&mut self, now: Instant, error: &StoreError, write: &PageWrite) {
        if matches!(error, StoreError::Ambiguous(_)) {
            let written = |pending: &&mut PendingIntent| write.intents.contains(&pending.id);
            self.pending.iter_mut().filter(written).for_each(|pending| pending.doubtful = true);
        }
        self.cached = None;
        match error {
            StoreError::Conflict { .. } => self.slow_down(now),
            _ => self.back_off(now, error),
        }
    }

    /// Spaces this host's writes of the page out, so that more intents share each.
    fn slow_down(&mut self, now: Instant) {
        let slower = (self.pace * 2).max(self.options.first_pace);
        self.pace = slower.min(self.options.longest_pace);
        self.paced_until = Some(now + self.jittered_pace());
    }

    fn speed_up(&mut self, now: Instant) {
        self.pace = self.pace * 7 / 8;
        if self.pace < self.options.first_pace / 2 {
            self.pace = Duration::ZERO;
        }
        self.paced_until = Some(now + self.jittered_pace());
    }

    fn jittered_pace(&mut self) -> Duration {
        self.pace.mul_f64(self.jitter.random_range(0.5..1.0))
    }

    fn back_off(&mut self, now: Instant, error: &StoreError) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures += 1;
        let longest =
            (self.options.first_backoff * (1 << doublings)).min(self.options.longest_backoff);
        let wait = longest.mul_f64(self.jitter.random_range(0.5..1.0));
        let wait = match error {
            StoreError::Throttled { retry_after } => wait.max(*retry_after),
            StoreError::Ambiguous(_) if doublings == 0 => Duration::ZERO,
            _ => wait,
        };
        self.backoff_until = Some(now + wait);
    }

    fn claim_id(&self, sequence: u64) -> ClaimId {
        ClaimId { holder: self.holder.clone(), sequence }
    }

    fn next_creation(&mut self) -> Box<str> {
        self.creations += 1;
        format!("{}/{}", self.creation_prefix, self.creations).into()
    }
}
