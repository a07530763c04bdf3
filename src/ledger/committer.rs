//! State machine that commits the claims and settlements of one page in groups.
//!
//! A host has at most one platform call per page in flight. Intents that arrive meanwhile share
//! the next write, so that the number of writes grows with pages and not with calls. Every decision
//! is made again on the page as last read; a conflict or a lost reply only requires another read.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

use crate::codes::ResultCode;
use crate::ids::{Incarnation, ObjectVersion};
use crate::ledger::decision::{
    DecisionView, IntentDecision, grant_or_check_floor, insert_or_refuse, refuse, replay_or_refuse,
};
use crate::ledger::intent::{IntentId, IntentResult, PageAction, PageEvent, PageIntent, PageStep};
use crate::ledger::options::{LedgerOptions, LedgerRule};
use crate::ledger::page::LedgerPage;
use crate::ledger::record::{ClaimHolder, ClaimId, ClaimRecord, ClaimSettlement, RecordState};
use crate::platform::{StoreError, StoredObject};

/// Estimated size of a record without a stored response, in bytes.
const RECORD_ESTIMATE_BYTES: usize = 300;
/// Maximum retry delay, before jitter, for a key whose call is in flight.
const MAX_IN_FLIGHT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Number of failures after which the backoff stops doubling.
const MAX_BACKOFF_DOUBLINGS: u32 = 10;

#[derive(Clone)]
struct PendingIntent {
    id: IntentId,
    intent: PageIntent,
    submitted_at: Instant,
    not_before: Instant,
    times_out_at: Instant,
    /// Whether a write with this intent may have taken effect although its reply was lost.
    is_ambiguous: bool,
}

#[derive(Clone)]
struct CachedPage {
    version: ObjectVersion,
    page: LedgerPage,
    bytes: usize,
    observed_at: Instant,
}

#[derive(Clone)]
struct PageWrite {
    expected: ObjectVersion,
    page: LedgerPage,
    value: Box<[u8]>,
    intents: BTreeSet<IntentId>,
}

/// State machine of one page on one host.
///
/// [`PageCommitter::advance`] returns the next platform call, and [`PageCommitter::observe`] takes
/// its outcome.
#[derive(Clone)]
pub struct PageCommitter {
    holder: ClaimHolder,
    bucket: u64,
    options: LedgerOptions,
    creation_prefix: Box<str>,
    creation_count: u64,
    next_intent: IntentId,
    pending: Vec<PendingIntent>,
    cached: Option<CachedPage>,
    write: Option<PageWrite>,
    floor: u64,
    /// Creation of the page for which the floor was last read.
    floor_checked_creation: Option<Box<str>>,
    /// Sequences of claims that were granted or timed out, and wait for their settlement.
    unsettled: BTreeSet<u64>,
    /// When this host first saw each claim of another holder.
    first_seen_at: BTreeMap<ClaimId, Instant>,
    backoff_until: Option<Instant>,
    write_interval: Duration,
    next_write_at: Option<Instant>,
    failures: u32,
    jitter: ChaCha8Rng,
}

impl PageCommitter {
    /// Creates the state of a page that has not been read yet; `serial` must be unique in the
    /// holder's incarnation.
    pub fn new(holder: ClaimHolder, bucket: u64, serial: u64, options: LedgerOptions) -> Self {
        let creation_prefix = format!("{}/{}/{serial}", holder.host, holder.incarnation).into();
        let jitter = ChaCha8Rng::seed_from_u64(options.jitter_seed ^ serial);
        Self {
            holder,
            bucket,
            options,
            creation_prefix,
            creation_count: 0,
            next_intent: 0,
            pending: Vec::new(),
            cached: None,
            write: None,
            floor: 0,
            floor_checked_creation: None,
            unsettled: BTreeSet::new(),
            first_seen_at: BTreeMap::new(),
            backoff_until: None,
            write_interval: Duration::ZERO,
            next_write_at: None,
            failures: 0,
            jitter,
        }
    }

    /// Whether the page may be evicted: no intent is pending and no claim waits for its settlement.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.unsettled.is_empty()
    }

    /// Minimum interval between this host's writes of the page.
    pub fn write_interval(&self) -> Duration {
        self.write_interval
    }

    /// Sets the write interval to start with, taken from an earlier page.
    pub fn with_write_interval(self, write_interval: Duration) -> Self {
        Self { write_interval, ..self }
    }

    /// Queues an intent; a later [`PageCommitter::advance`] returns its result.
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
            submitted_at: now,
            not_before: now + linger,
            times_out_at: now + timeout,
            is_ambiguous: false,
        });
        self.next_intent
    }

    /// Applies the outcome of the last platform call.
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

    /// Decides on all pending intents; must be called whenever no platform call is in flight.
    pub fn advance(
        &mut self,
        now: Instant,
        is_live: &dyn Fn(&str, Incarnation) -> bool,
    ) -> PageStep {
        let mut results = self.time_out(now);
        let action = match self.action_before_decision(now) {
            Some(action) => action,
            None => self.decide_all(now, is_live, &mut results),
        };
        PageStep { results, action }
    }

    fn time_out(&mut self, now: Instant) -> Vec<(IntentId, IntentResult)> {
        let overdue = self.pending.extract_if(.., |pending| pending.times_out_at <= now);
        let timed_out: Vec<_> =
            overdue.map(|pending| (pending.id, pending.intent, pending.is_ambiguous)).collect();
        let mut results = Vec::new();
        for (id, intent, is_ambiguous) in timed_out {
            match intent {
                PageIntent::Settle { sequence, .. } => self.unsettled.remove(&sequence),
                // The service settles it as not run; until then, it counts as active.
                PageIntent::Claim { sequence, .. } => self.unsettled.insert(sequence),
            };
            results.push((id, IntentResult::TimedOut { is_ambiguous }));
        }
        results
    }

    /// Action that must come before the next decision; `None` if intents can be decided now.
    fn action_before_decision(&self, now: Instant) -> Option<PageAction> {
        let Some(first_timeout) = self.pending.iter().map(|pending| pending.times_out_at).min()
        else {
            return Some(PageAction::Idle);
        };
        if let Some(until) = self.backoff_until.filter(|until| *until > now) {
            return Some(PageAction::Wait(until.min(first_timeout)));
        }
        let first_ready = self.pending.iter().map(|pending| pending.not_before).min();
        if let Some(until) = first_ready.filter(|until| *until > now) {
            return Some(PageAction::Wait(until));
        }
        if let Some(write) = &self.write {
            let (expected, value) = (write.expected, write.value.clone());
            return Some(PageAction::Write { expected, value });
        }
        let cached = self.cached.as_ref();
        let is_usable = cached.is_some_and(|cached| !self.is_stale(now, cached));
        if is_usable {
            return None;
        }
        match self.next_write_at.filter(|until| *until > now) {
            Some(until) => Some(PageAction::Wait(until.min(first_timeout))),
            None => Some(PageAction::Read),
        }
    }

    /// Whether a write would probably conflict; a read before it costs the platform less.
    fn is_stale(&self, now: Instant, cached: &CachedPage) -> bool {
        let is_foreign = |record: &ClaimRecord| record.claim.holder != self.holder;
        now.duration_since(cached.observed_at) > self.options.stale_after
            && cached.page.records.values().any(is_foreign)
    }

    fn decide_all(
        &mut self,
        now: Instant,
        is_live: &dyn Fn(&str, Incarnation) -> bool,
        results: &mut Vec<(IntentId, IntentResult)>,
    ) -> PageAction {
        let cached = self.cached.clone().expect("a page is read before its intents are decided");
        let mut proposal = cached.page.clone();
        let mut bytes = cached.bytes;
        let mut intents_to_write = BTreeSet::new();
        let mut next_read = None;
        for pending in std::mem::take(&mut self.pending) {
            let name = pending.intent.name();
            let is_unconfirmed = proposal.records.get(name) != cached.page.records.get(name);
            let has_room = bytes + RECORD_ESTIMATE_BYTES <= self.options.full_page_bytes;
            let view = DecisionView {
                record: proposal.records.get(name),
                is_fresh: cached.observed_at >= pending.submitted_at,
                is_floor_checked: self.is_floor_checked(&cached.page),
                is_expired: self.floor > self.bucket,
                has_room,
            };
            if is_unconfirmed {
                self.pending.push(pending);
                continue;
            }
            match self.decide(now, &pending.intent, view, is_live) {
                IntentDecision::Resolve(result) => {
                    self.track_unsettled(&pending.intent, &result);
                    results.push((pending.id, result));
                    continue;
                }
                IntentDecision::Insert(record) => {
                    proposal.records.insert(name.into(), record);
                    bytes += RECORD_ESTIMATE_BYTES;
                    intents_to_write.insert(pending.id);
                    if !self.options.is_enabled(LedgerRule::WriteBeforeGrant) {
                        results.push((pending.id, IntentResult::Granted));
                        continue;
                    }
                }
                IntentDecision::Update(state) => {
                    let record = proposal.records.get_mut(name).expect("the record exists");
                    record.state = state;
                    intents_to_write.insert(pending.id);
                }
                IntentDecision::Read => next_read = Some(PageAction::Read),
                IntentDecision::ReadFloor => next_read = next_read.or(Some(PageAction::ReadFloor)),
            }
            self.pending.push(pending);
        }
        if let Some(until) =
            self.next_write_at.filter(|until| *until > now && !intents_to_write.is_empty())
        {
            return PageAction::Wait(until);
        }
        if !intents_to_write.is_empty() {
            return self.start_write(&cached, proposal, intents_to_write);
        }
        next_read.unwrap_or(PageAction::Idle)
    }

    fn start_write(
        &mut self,
        cached: &CachedPage,
        mut page: LedgerPage,
        intents: BTreeSet<IntentId>,
    ) -> PageAction {
        if self.floor_checked_creation.as_ref() == Some(&page.creation) {
            page.opened = true;
        }
        let value = page.encode(self.options.max_page_bytes);
        let expected = cached.version;
        self.write = Some(PageWrite { expected, page, value: value.clone(), intents });
        PageAction::Write { expected, value }
    }

    fn is_floor_checked(&self, page: &LedgerPage) -> bool {
        let is_checked =
            page.opened || self.floor_checked_creation.as_ref() == Some(&page.creation);
        is_checked || !self.options.is_enabled(LedgerRule::FloorCheck)
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
                let proposed =
                    ClaimRecord { fingerprint: fingerprint.clone(), claim, deadline_ms, state };
                self.decide_claim(now, proposed, view, is_live)
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
        proposed: ClaimRecord,
        view: DecisionView<'_>,
        is_live: &dyn Fn(&str, Incarnation) -> bool,
    ) -> IntentDecision {
        let Some(record) = view.record else {
            return insert_or_refuse(proposed, &view);
        };
        if record.fingerprint != proposed.fingerprint {
            return refuse(ResultCode::IdempotencyKeyReused, None);
        }
        match &record.state {
            RecordState::Claimed if record.claim == proposed.claim => grant_or_check_floor(&view),
            RecordState::Claimed => self.decide_held(now, proposed, record, view.is_fresh, is_live),
            RecordState::NotRun => insert_or_refuse(proposed, &view),
            RecordState::Unknown if !self.options.is_enabled(LedgerRule::UnknownIsFinal) => {
                IntentDecision::Insert(proposed)
            }
            RecordState::Unknown => refuse(ResultCode::ClaimUnknown, None),
            RecordState::Done { .. } => replay_or_refuse(&record.state),
        }
    }

    /// Decides on a claim whose key is held by another claim.
    fn decide_held(
        &mut self,
        now: Instant,
        proposed: ClaimRecord,
        record: &ClaimRecord,
        is_fresh: bool,
        is_live: &dyn Fn(&str, Incarnation) -> bool,
    ) -> IntentDecision {
        if !is_fresh {
            return IntentDecision::Read;
        }
        if !self.is_orphaned(now, record, is_live) {
            let retry_after = Some(self.in_flight_retry_after(now, record));
            return refuse(ResultCode::ClaimInFlight, retry_after);
        }
        if !self.options.is_enabled(LedgerRule::DeadHolderKeepsClaim) {
            return IntentDecision::Insert(proposed);
        }
        IntentDecision::Update(RecordState::Unknown)
    }

    /// Whether the claim's holder can no longer be expected to settle it.
    ///
    /// A false positive is safe: the outcome becomes unknown, and the call is never sent again,
    /// whatever the holder does.
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
        let first_seen = *self.first_seen_at.entry(record.claim.clone()).or_insert(now);
        let observed_for = now.duration_since(first_seen);
        if observed_for >= record.deadline() + self.options.abandon_after {
            return true;
        }
        observed_for >= record.deadline() && !is_live(&holder.host, holder.incarnation)
    }

    fn is_active(&self, sequence: u64) -> bool {
        let is_pending = |pending: &PendingIntent| pending.intent.sequence() == sequence;
        self.unsettled.contains(&sequence) || self.pending.iter().any(is_pending)
    }

    fn in_flight_retry_after(&mut self, now: Instant, record: &ClaimRecord) -> Duration {
        let first_seen = self.first_seen_at.get(&record.claim).copied().unwrap_or(now);
        let remaining = record.deadline().saturating_sub(now.duration_since(first_seen));
        let base = remaining.clamp(MAX_IN_FLIGHT_RETRY_AFTER / 4, MAX_IN_FLIGHT_RETRY_AFTER);
        base.mul_f64(self.jitter.random_range(0.75..1.25))
    }

    fn decide_settlement(
        &self,
        claim: &ClaimId,
        settlement: &ClaimSettlement,
        view: DecisionView<'_>,
    ) -> IntentDecision {
        let Some(record) = view.record.filter(|record| record.claim == *claim) else {
            return if view.is_fresh {
                IntentDecision::Resolve(IntentResult::Settled)
            } else {
                IntentDecision::Read
            };
        };
        let state = RecordState::from_settlement(settlement, self.options.max_response_bytes);
        let is_done = matches!(settlement, ClaimSettlement::Done(_));
        match &record.state {
            RecordState::Claimed => IntentDecision::Update(state),
            RecordState::Unknown if is_done => IntentDecision::Update(state),
            _ => IntentDecision::Resolve(IntentResult::Settled),
        }
    }

    fn track_unsettled(&mut self, intent: &PageIntent, result: &IntentResult) {
        match result {
            IntentResult::Granted => self.unsettled.insert(intent.sequence()),
            IntentResult::Settled => self.unsettled.remove(&intent.sequence()),
            _ => false,
        };
    }

    fn observe_page(&mut self, now: Instant, object: Option<StoredObject>) {
        let Some(object) = object else {
            let page = LedgerPage::new(self.next_creation());
            self.cached = Some(CachedPage { version: 0, page, bytes: 0, observed_at: now });
            return;
        };
        let Some(page) = LedgerPage::decode(&object.value) else {
            self.back_off(now, &StoreError::Rejected("ledger page could not be decoded".into()));
            return;
        };
        let (version, bytes) = (object.version, object.value.len());
        self.cached = Some(CachedPage { version, page, bytes, observed_at: now });
    }

    fn observe_floor(&mut self, floor: u64) {
        self.floor = self.floor.max(floor);
        self.failures = 0;
        if let Some(cached) = &self.cached {
            self.floor_checked_creation = Some(cached.page.creation.clone());
        }
    }

    fn observe_write(&mut self, now: Instant, result: Result<ObjectVersion, StoreError>) {
        let write = self.write.take().expect("a write is in flight");
        match result {
            Ok(version) => self.complete_write(now, version, write),
            Err(StoreError::Conflict { current })
                if !self.options.is_enabled(LedgerRule::DecideAgain) =>
            {
                self.write = Some(PageWrite { expected: current, ..write });
            }
            Err(StoreError::Ambiguous(_)) if !self.options.is_enabled(LedgerRule::ReadBack) => {
                self.complete_write(now, write.expected, write);
            }
            Err(error) => self.fail_write(now, &error, &write),
        }
    }

    fn complete_write(&mut self, now: Instant, version: ObjectVersion, write: PageWrite) {
        self.failures = 0;
        self.shorten_write_interval(now);
        self.cached = Some(CachedPage {
            version,
            page: write.page,
            bytes: write.value.len(),
            observed_at: now,
        });
    }

    fn fail_write(&mut self, now: Instant, error: &StoreError, write: &PageWrite) {
        if matches!(error, StoreError::Ambiguous(_)) {
            let is_in_write = |pending: &&mut PendingIntent| write.intents.contains(&pending.id);
            self.pending
                .iter_mut()
                .filter(is_in_write)
                .for_each(|pending| pending.is_ambiguous = true);
        }
        self.cached = None;
        match error {
            StoreError::Conflict { .. } => self.lengthen_write_interval(now),
            _ => self.back_off(now, error),
        }
    }

    /// Lengthens the interval between this host's writes of the page after a conflict, so that
    /// more intents share each write.
    fn lengthen_write_interval(&mut self, now: Instant) {
        let lengthened = (self.write_interval * 2).max(self.options.initial_write_interval);
        self.write_interval = lengthened.min(self.options.max_write_interval);
        self.next_write_at = Some(now + self.jittered_write_interval());
    }

    fn shorten_write_interval(&mut self, now: Instant) {
        self.write_interval = self.write_interval * 7 / 8;
        if self.write_interval < self.options.initial_write_interval / 2 {
            self.write_interval = Duration::ZERO;
        }
        self.next_write_at = Some(now + self.jittered_write_interval());
    }

    fn jittered_write_interval(&mut self) -> Duration {
        self.write_interval.mul_f64(self.jitter.random_range(0.5..1.0))
    }

    fn back_off(&mut self, now: Instant, error: &StoreError) {
        let doublings = self.failures.min(MAX_BACKOFF_DOUBLINGS);
        self.failures += 1;
        let max_wait =
            (self.options.initial_backoff * (1 << doublings)).min(self.options.max_backoff);
        let wait = max_wait.mul_f64(self.jitter.random_range(0.5..1.0));
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
        self.creation_count += 1;
        format!("{}/{}", self.creation_prefix, self.creation_count).into()
    }
}
