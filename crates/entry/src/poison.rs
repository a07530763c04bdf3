//! Requests, and prompt parts that requests share, that crash the endpoints that run them (poison
//! pills).
//!
//! A crash breaks all streams of its endpoint, so each of their parts that had not been answered is
//! a suspect. A part is blamed once it was a suspect in crashes at several separate moments, and
//! requests with it are refused. Parts that were answered are hardly ever blamed, and an answer
//! after a crash clears its parts of that crash.
//!
//! A request is a suspect by its fingerprint as well, whichever service it is for. It is blamed once
//! it was under way at three crashes, or at four if another request was under way at all of them
//! too; an answer clears it of the crashes before, and of those in the ten seconds after.
//!
//! | Evidence | Kept as | Merged over hosts by |
//! |---|---|---|
//! | streams broken by a crash | suspects of one start of an endpoint | union |
//! | answers | time of the last one for each part | latest |
//! | refusals and trials of a blamed part | times, number of trials | latest, largest |
//!
//! Blame is not exchanged: each host derives it from the merged evidence. Answers to the load
//! patterns of one request that comes again and again, and of requests that have a part in common,
//! each of which ends one endpoint after the other, at whatever host it arrives.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use jacinthrock::EndpointName;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::fingerprint::RequestFingerprint;
use crate::notices::EndpointStart;

/// Time for which a broken stream waits for the confirmation that its endpoint has ended.
const PENDING_TIME: Duration = Duration::from_secs(3);
/// Crashes within this time of one another may have one cause, such as the loss of a domain.
const MOMENT: Duration = Duration::from_millis(100);
/// Number of separate moments of crashes after which a part is blamed.
const MIN_MOMENTS: usize = 3;
/// Number of crashes after which one of several parts with equal evidence is blamed, or a part with
/// fewer separate moments.
const MIN_MANY_CRASHES: usize = 5;
/// Number of requests that the crashes must have cut: one that is sent again after each ordinary
/// crash proves nothing.
const MIN_REQUESTS: usize = 2;
/// Number of separate moments that many crashes need.
const MIN_MANY_MOMENTS: usize = 2;
/// Number of streams a crash from which a part is too frequent to be blamed for so few moments: it
/// would be in all crashes of a lost domain.
const FREQUENT_STREAMS: usize = 3;
/// Number of separate moments of crashes after its last answer from which an answered part is
/// blamed.
const MIN_ANSWERED_MOMENTS: usize = 8;
/// Number of parts that must have been answered since the last answer with an answered part.
const MIN_OTHER_ANSWERED: usize = 8;
/// Maximum number of parts that are blamed at a time.
const MAX_BLAMED: usize = 8;
/// Crashes within this time of one another are one moment for a request: less than `MOMENT`, since
/// one request may end two endpoints within a tenth of a second.
const REQUEST_MOMENT: Duration = Duration::from_millis(20);
/// Number of crashes after which a request is blamed.
const MIN_REQUEST_CRASHES: usize = 3;
/// Number of separate moments that these crashes need: a request that is under way several times
/// is at all crashes of a lost domain.
const MIN_REQUEST_MOMENTS: usize = 2;
/// Number of crashes after which a request is blamed although another one was under way at all of
/// them.
const MIN_MANY_REQUEST_CRASHES: usize = 4;
/// Number of the crashes at which no other blamed request may have been under way, if they are few.
const MIN_UNEXPLAINED_CRASHES: usize = 2;
/// Number of separate moments of crashes after which hosts do not send a request again by
/// themselves.
const MAX_RESENT_MOMENTS: usize = 2;
/// Time between two requests that may each have crashed the same endpoints, in all hosts together:
/// most requests crash an endpoint, or are answered, within it.
const UNSETTLED_WAIT: Duration = Duration::from_millis(500);
/// Time before a crash in which an answer shows that a request is not its cause.
const SOUND_TIME: Duration = Duration::from_secs(10);
/// Maximum number of requests of which the last answer is kept.
const MAX_ANSWERED_REQUESTS: usize = 4_096;
/// Maximum number of requests that are blamed at a time.
const MAX_BLAMED_REQUESTS: usize = 64;
/// First character of the suspects that are requests; no part of a prompt is taken that has it.
const REQUEST_MARK: char = '#';

/// Time after the last crash or refusal at which blame ends.
const BLAME_TIME: Duration = Duration::from_secs(600);
/// Age at which a crash no longer counts, unless its part is still blamed.
const CRASH_TIME: Duration = Duration::from_secs(1_800);
/// Largest age that is taken from another host.
const MAX_AGE: Duration = Duration::from_secs(7 * 24 * 3_600);
/// Age at which a crash that a blamed part explains is evidence against blamed parts only.
const SETTLE_TIME: Duration = Duration::from_secs(30);
/// Time for which a suspect that was cleared is still listed, so that other hosts learn of it.
const CLEARED_TIME: Duration = Duration::from_secs(5);
/// Waits before the trial requests with a blamed part, in all hosts together.
const TRIAL_WAITS: [Duration; 2] = [Duration::from_secs(60), Duration::from_secs(300)];
/// Difference below which a time from another host is taken for one that is already known, which
/// came back with the delay of the exchange.
const ECHO_TIME: Duration = Duration::from_secs(1);

/// Maximum size of a part's id, in bytes; others are not looked at.
const MAX_PART_BYTES: usize = 64;
/// Maximum size of an endpoint's name in a report, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// Maximum number of parts of a prompt that are looked at.
const MAX_PARTS: usize = 64;
/// Maximum number of starts with broken streams that await confirmation.
const MAX_PENDING: usize = 256;
/// Maximum number of crashes.
const MAX_CRASHES: usize = 256;
/// Number of suspects of a crash above which the weakest half is dropped.
const MAX_SUSPECTS: usize = 256;
/// Maximum number of answered parts.
const MAX_ANSWERED: usize = 4_096;
/// Age up to which a crash that no blamed part explains is reported; by then all hosts know of it.
const REPORT_TIME: Duration = Duration::from_secs(10);
/// Maximum number of crashes in a report.
const MAX_REPORT_CRASHES: usize = 128;
/// Maximum number of suspects in a report, over all crashes.
const MAX_REPORT_SUSPECTS: usize = 2_048;
/// Maximum number of answered parts in a report.
const MAX_REPORT_ANSWERED: usize = 512;

/// Id of a part of a prompt, or of a whole request as a suspect.
pub type PromptPart = Box<str>;

/// Identity of a request over its sends: a hash of the last part of its prompt.
pub type RequestTag = u64;

/// Identity of a crash: name and start time of the endpoint that ended.
type CrashKey = (EndpointName, u64);

/// Time in ms since the table was made; negative for what other hosts saw before.
type TableTime = i64;

/// Evidence on prompt parts, as hosts tell one another. Times are ages in ms.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoisonReport {
    #[serde(default)]
    crashes: Vec<CrashReport>,
    /// Suspects that were answered, with the age of the last answer.
    #[serde(default)]
    answered: Vec<(PromptPart, u64)>,
    #[serde(default)]
    blamed: Vec<BlameReport>,
}

impl PoisonReport {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.answered.is_empty() && self.blamed.is_empty()
    }
}

/// One crash, with its suspects as part, number of streams, place in the prompt and request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct CrashReport {
    endpoint: EndpointName,
    start_unix_ms: u64,
    age_ms: u64,
    suspects: Vec<(PromptPart, u32, u32, RequestTag)>,
}

/// Refusals and trials of one blamed part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct BlameReport {
    part: PromptPart,
    crashes: u32,
    first_ms: u64,
    seen_ms: u64,
    trials: u32,
    tried_ms: Option<u64>,
}

/// A part, or a request, that crashes endpoints; the text is the reason of a refusal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlamedPart {
    /// Part or request.
    pub part: PromptPart,
    /// Number of crashes that it explains.
    pub crashes: u32,
    /// Time since the first of them.
    pub since: Duration,
}

impl BlamedPart {
    /// Whether a whole request is blamed.
    pub fn is_request(&self) -> bool {
        is_request(&self.part)
    }
}

impl fmt::Display for BlamedPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { part, crashes, since } = self;
        let since = since.as_secs_f64();
        let what = if self.is_request() { "request" } else { "prompt part" };
        write!(f, "{what} {part} has crashed {crashes} endpoints in the last {since:.1} s")
    }
}

/// How often a part was a suspect in one crash, and where it stood.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    streams: u32,
    place: u32,
    /// The least tag of the requests cut.
    request: RequestTag,
}

impl Default for Suspicion {
    fn default() -> Self {
        Self { streams: 0, place: 0, request: RequestTag::MAX }
    }
}

#[derive(Debug)]
struct CrashRecord {
    at: TableTime,
    suspects: BTreeMap<PromptPart, Suspicion>,
}

impl CrashRecord {
    fn new(at: TableTime) -> Self {
        Self { at, suspects: BTreeMap::new() }
    }

    /// Adds one broken stream.
    fn add_stream(&mut self, parts: &[PromptPart], request: RequestTag, at: TableTime) {
        self.at = self.at.min(at);
        let places: BTreeMap<_, _> = valid_parts(parts).zip(0..).collect();
        for (part, place) in places {
            let suspicion = self.suspects.entry(part.clone()).or_default();
            suspicion.streams = suspicion.streams.saturating_add(1);
            suspicion.place = suspicion.place.max(place);
            suspicion.request = suspicion.request.min(request);
        }
    }

    /// Merges what another host, or this one before the confirmation, has seen of the same crash.
    /// Returns whether that is new.
    fn merge(&mut self, other: Self) -> bool {
        let mut is_new = other.at < self.at;
        self.at = self.at.min(other.at);
        for (part, other) in other.suspects {
            let suspicion = self.suspects.entry(part).or_default();
            is_new |= suspicion.streams < other.streams
                || suspicion.place < other.place
                || suspicion.request > other.request;
            suspicion.streams = suspicion.streams.max(other.streams);
            suspicion.place = suspicion.place.max(other.place);
            suspicion.request = suspicion.request.min(other.request);
        }
        is_new
    }
}

/// What is kept of a part while it is blamed.
#[derive(Clone, Copy, Debug)]
struct BlameRecord {
    first: TableTime,
    crashes: u32,
    /// Last crash or refusal.
    seen: TableTime,
    trials: u32,
    tried: Option<TableTime>,
}

impl BlameRecord {
    fn is_active(&self, at: TableTime) -> bool {
        at - self.seen < millis(BLAME_TIME)
    }

    /// Counts a trial if one is due.
    fn start_trial(&mut self, last_crash: TableTime, at: TableTime) -> bool {
        let Some(wait) = TRIAL_WAITS.get(self.trials as usize) else {
            return false;
        };
        let is_due = at - self.tried.unwrap_or(last_crash) >= millis(*wait);
        if is_due {
            self.trials += 1;
            self.tried = Some(at);
        }
        is_due
    }
}

/// A blamed part with the crashes that it explains.
#[derive(Debug)]
struct BlameFinding {
    part: PromptPart,
    crashes: Vec<CrashKey>,
    first: TableTime,
    last: TableTime,
}

/// The findings so far, and the crashes that none of them explains.
struct FindingList<'a> {
    unexplained: BTreeSet<&'a CrashKey>,
    findings: Vec<BlameFinding>,
}

impl FindingList<'_> {
    /// Adds a finding; returns whether there may be more.
    fn add(&mut self, finding: Option<BlameFinding>) -> bool {
        let Some(finding) = finding.filter(|_| self.findings.len() < MAX_BLAMED) else {
            return false;
        };
        self.unexplained.retain(|key| !finding.crashes.contains(key));
        self.findings.push(finding);
        true
    }
}

/// The evidence against one part in the crashes that no other part explains.
#[derive(Debug, Default)]
struct PartEvidence<'a> {
    crashes: Vec<(TableTime, &'a CrashKey)>,
    /// Those of the crashes against a request that no other request explains.
    unexplained: Vec<(TableTime, &'a CrashKey)>,
    streams: u32,
    place: u32,
    requests: BTreeSet<RequestTag>,
}

impl PartEvidence<'_> {
    fn add(&mut self, suspicion: Suspicion) {
        self.streams = self.streams.saturating_add(suspicion.streams);
        self.place = self.place.max(suspicion.place);
        self.requests.insert(suspicion.request);
    }

    /// Number of crashes of which each is later than the one before by `MOMENT`.
    fn moments(&self) -> usize {
        moments(self.crashes.iter().map(|(at, _)| *at), MOMENT)
    }

    fn strength(&self) -> (usize, usize) {
        (self.moments(), self.crashes.len())
    }

    fn is_frequent(&self) -> bool {
        self.streams as usize >= FREQUENT_STREAMS * self.crashes.len()
    }

    /// Whether all of these crashes speak against the other as well.
    fn is_within(&self, other: &Self) -> bool {
        self.crashes.iter().all(|crash| other.crashes.contains(crash))
    }

    /// Whether the same crashes speak against both parts.
    fn overlaps(&self, other: &Self) -> bool {
        self.crashes.iter().any(|crash| other.crashes.contains(crash))
    }

    fn finding(&self, part: &PromptPart) -> BlameFinding {
        let times = || self.crashes.iter().map(|(at, _)| *at);
        BlameFinding {
            part: part.clone(),
            crashes: self.crashes.iter().map(|(_, key)| (*key).clone()).collect(),
            first: times().min().unwrap_or_default(),
            last: times().max().unwrap_or_default(),
        }
    }
}

/// The evidence on prompt parts that one host knows, its own and that of others.
///
/// ```
/// use std::time::Duration;
/// use jacinthrock_entry::{EndpointStart, PoisonTable};
/// use tokio::time::Instant;
///
/// let start = Instant::now();
/// let mut table = PoisonTable::new(start);
/// let parts = ["5c1e".into(), "bad0".into()];
/// table.record_answer(&parts[..1], start);
/// for number in 1..=3 {
///     let (name, now) = ("i-1".into(), start + Duration::from_secs(number));
///     let endpoint = EndpointStart { name: &name, start_unix_ms: number };
///     table.record_break(endpoint, &parts, number, now);
///     table.confirm_end(endpoint, now);
/// }
/// let now = start + Duration::from_secs(4);
/// let blamed = table.verdict(&parts, false, now).expect("a blamed part");
/// assert_eq!(
///     blamed.to_string(),
///     "prompt part bad0 has crashed 3 endpoints in the last 3.0 s"
/// );
/// assert_eq!(table.verdict(&parts[..1], false, now), None);
/// ```
#[derive(Debug)]
pub struct PoisonTable {
    origin: Instant,
    pending: BTreeMap<CrashKey, CrashRecord>,
    crashes: BTreeMap<CrashKey, CrashRecord>,
    /// Last answers to requests, whether or not they are suspects.
    answered_requests: BTreeMap<PromptPart, TableTime>,
    /// Last answer with each part, and with each request that is a suspect.
    answered: BTreeMap<PromptPart, TableTime>,
    blames: BTreeMap<PromptPart, BlameRecord>,
    /// Last time that a request was sent of which it was open whether it crashes endpoints.
    tried_unsettled: Option<TableTime>,
    /// Derived from the crashes and answers; out of date if `is_changed`.
    findings: Vec<BlameFinding>,
    is_changed: bool,
}

impl PoisonTable {
    /// A table without evidence.
    pub fn new(now: Instant) -> Self {
        Self {
            origin: now,
            pending: BTreeMap::new(),
            crashes: BTreeMap::new(),
            answered_requests: BTreeMap::new(),
            answered: BTreeMap::new(),
            blames: BTreeMap::new(),
            tried_unsettled: None,
            findings: Vec::new(),
            is_changed: false,
        }
    }

    /// Whether there is no evidence of any crash.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.pending.is_empty()
    }

    /// Records that the connection of a stream broke before its answer went on past the first
    /// event. `parts` are the shared parts of its prompt, all but the last.
    pub fn record_break(
        &mut self,
        endpoint: EndpointStart<'_>,
        parts: &[PromptPart],
        request: RequestTag,
        now: Instant,
    ) {
        let (key, at) = (crash_key(endpoint), self.at(now));
        if let Some(record) = self.crashes.get_mut(&key) {
            record.add_stream(parts, request, at);
            self.is_changed = true;
            self.recall_answers(&key);
            self.limit_suspects(&key);
            return;
        }
        let record = self.pending.entry(key.clone()).or_insert_with(|| CrashRecord::new(at));
        if record.suspects.len() < MAX_SUSPECTS {
            record.add_stream(parts, request, at);
        }
        self.recall_answers(&key);
        if self.pending.len() > MAX_PENDING {
            let oldest = self.pending.iter().min_by_key(|(_, record)| record.at);
            let oldest = oldest.map(|(key, _)| key.clone());
            oldest.and_then(|key| self.pending.remove(&key));
        }
    }

    /// Records that a start of an endpoint has ended: the streams that broke there, before or after
    /// this, were cut by a crash.
    pub fn confirm_end(&mut self, endpoint: EndpointStart<'_>, now: Instant) {
        let (key, at) = (crash_key(endpoint), self.at(now));
        let pending = self.pending.remove(&key);
        let pending = pending.filter(|record| at - record.at < millis(PENDING_TIME));
        self.merge_crash(key, pending.unwrap_or_else(|| CrashRecord::new(at)));
    }

    /// Records that an answer went on past its first event. `parts` are the shared parts of its
    /// prompt, and the request itself.
    pub fn record_answer(&mut self, parts: &[PromptPart], now: Instant) {
        let at = self.at(now);
        for part in valid_parts(parts) {
            if !is_request(part) || self.is_suspect(part) {
                self.set_answered(part, at);
            }
            if is_request(part) {
                self.remember_answer(part, at);
            }
        }
    }

    fn remember_answer(&mut self, request: &PromptPart, at: TableTime) {
        self.answered_requests.insert(request.clone(), at);
        if self.answered_requests.len() > MAX_ANSWERED_REQUESTS {
            let since = at - millis(SOUND_TIME);
            self.answered_requests.retain(|_, answered_at| *answered_at > since);
        }
        if self.answered_requests.len() > MAX_ANSWERED_REQUESTS {
            self.answered_requests.clear();
        }
    }

    /// Takes over when requests were answered that have become suspects.
    fn recall_answers(&mut self, key: &CrashKey) {
        let Some(record) = self.crashes.get(key).or_else(|| self.pending.get(key)) else { return };
        let answers = record
            .suspects
            .keys()
            .filter_map(|suspect| Some((suspect.clone(), *self.answered_requests.get(suspect)?)));
        for (request, answered_at) in answers.collect::<Vec<_>>() {
            self.set_answered(&request, answered_at);
        }
    }

    fn is_suspect(&self, part: &str) -> bool {
        let records = self.crashes.values().chain(self.pending.values());
        records.into_iter().any(|record| record.suspects.contains_key(part))
    }

    /// Whether a request was under way at so many crashes that hosts do not send it again by
    /// themselves.
    pub fn is_doubtful(&self, request: &PromptPart) -> bool {
        let times = self.open_crashes(request).map(|(_, at)| at);
        moments(times, REQUEST_MOMENT) >= MAX_RESENT_MOMENTS
    }

    /// Returns the part for which a request must be refused, if any, and counts the refusal. To be
    /// asked before every send.
    ///
    /// A few requests with a blamed part are let through as trials, over all hosts and successive
    /// holders of the placement lease: `may_try` says that this host is the holder.
    pub fn verdict(
        &mut self,
        parts: &[PromptPart],
        may_try: bool,
        now: Instant,
    ) -> Option<BlamedPart> {
        if self.crashes.is_empty() {
            return None;
        }
        self.derive_findings();
        let at = self.at(now);
        if let Some(unsettled) = self.unsettled_request(parts, at) {
            let is_sent = may_try && self.start_unsettled(at);
            return (!is_sent).then_some(unsettled);
        }
        let mut blamed = self.findings.iter().filter(|finding| {
            let record = self.blames.get(&finding.part);
            record.is_some_and(|record| record.is_active(at))
                && valid_parts(parts).any(|part| *part == finding.part)
        });
        let finding = blamed.next()?;
        let is_only = blamed.next().is_none();
        let record = self.blames.get_mut(&finding.part)?;
        record.seen = record.seen.max(at);
        if may_try && is_only && record.start_trial(finding.last, at) {
            return None;
        }
        Some(blamed_part(&finding.part, record, at))
    }

    /// The request, if it was under way at enough crashes to be blamed, but not alone. The holder of
    /// the placement lease sends such requests one after the other, until one of them is the cause
    /// of a crash or is answered.
    fn unsettled_request(&self, suspects: &[PromptPart], at: TableTime) -> Option<BlamedPart> {
        let request = suspects.first().filter(|suspect| is_request(suspect))?;
        if self.blames.contains_key(request) {
            return None;
        }
        let explained = self.explained_crashes(at);
        let crashes = self.open_crashes(request).filter(|(key, _)| !explained.contains(key));
        let times: Vec<_> = crashes.map(|(_, crashed_at)| crashed_at).collect();
        let first = times.iter().min().copied()?;
        let is_enough = times.len() >= MIN_REQUEST_CRASHES
            && moments(times.iter().copied(), REQUEST_MOMENT) >= MIN_REQUEST_MOMENTS;
        is_enough.then(|| BlamedPart {
            part: request.clone(),
            crashes: u32::try_from(times.len()).unwrap_or(u32::MAX),
            since: Duration::from_millis(age_of(first, at)),
        })
    }

    /// Counts an unsettled request as sent, unless another one was sent a moment ago.
    fn start_unsettled(&mut self, at: TableTime) -> bool {
        let is_due = self.tried_unsettled.is_none_or(|tried| at - tried >= millis(UNSETTLED_WAIT));
        if is_due {
            self.tried_unsettled = Some(at);
        }
        is_due
    }

    /// Crashes at which a request was under way, and after which it was not answered.
    fn open_crashes(&self, request: &PromptPart) -> impl Iterator<Item = (&CrashKey, TableTime)> {
        let crashes = self.crashes.iter().filter(|(_, record)| {
            record.suspects.contains_key(request) && !self.is_cleared(request, record.at)
        });
        crashes.map(|(key, record)| (key, record.at))
    }

    /// Whether one of the parts is blamed, or may be the cause of crashes that has not been settled,
    /// without counting a refusal.
    pub fn is_blamed(&mut self, parts: &[PromptPart], now: Instant) -> bool {
        if self.crashes.is_empty() {
            return false;
        }
        let is_blamed =
            self.blamed(now).iter().any(|blamed| valid_parts(parts).any(|p| *p == blamed.part));
        is_blamed || self.unsettled_request(parts, self.at(now)).is_some()
    }

    /// The parts that are blamed.
    pub fn blamed(&mut self, now: Instant) -> Vec<BlamedPart> {
        self.derive_findings();
        let at = self.at(now);
        let records = self.findings.iter().filter_map(|finding| {
            let record = self.blames.get(&finding.part)?;
            record.is_active(at).then(|| blamed_part(&finding.part, record, at))
        });
        records.collect()
    }

    /// The evidence for other hosts. Drops what is too old.
    pub fn report(&mut self, now: Instant) -> PoisonReport {
        if self.is_empty() {
            return PoisonReport::default();
        }
        self.derive_findings();
        let at = self.at(now);
        let report = PoisonReport {
            crashes: self.crash_reports(at),
            answered: self.answer_reports(at),
            blamed: self.blame_reports(at),
        };
        self.prune(at);
        report
    }

    /// Merges the evidence of another host.
    pub fn apply(&mut self, report: PoisonReport, now: Instant) {
        let at = self.at(now);
        for (part, age_ms) in report.answered.into_iter().take(MAX_REPORT_ANSWERED) {
            let Some(answered_at) = time_of(age_ms, at).filter(|_| is_valid(&part)) else {
                continue;
            };
            let known = self.answered.get(&part);
            if known.is_none_or(|known| answered_at - known > millis(ECHO_TIME)) {
                self.set_answered(&part, answered_at);
            }
        }
        for crash in report.crashes.into_iter().take(MAX_REPORT_CRASHES) {
            self.apply_crash(crash, at);
        }
        self.derive_findings();
        for blame in report.blamed.into_iter().take(MAX_BLAMED + MAX_BLAMED_REQUESTS) {
            self.apply_blame(blame, at);
        }
    }

    fn apply_crash(&mut self, crash: CrashReport, at: TableTime) {
        let Some(crashed_at) = time_of(crash.age_ms, at) else {
            return;
        };
        if crash.endpoint.len() > MAX_NAME_BYTES {
            return;
        }
        let suspects = crash.suspects.into_iter().take(MAX_SUSPECTS);
        let suspects = suspects.filter(|(part, ..)| is_valid(part));
        let suspects = suspects
            .map(|(part, streams, place, request)| (part, Suspicion { streams, place, request }));
        let record = CrashRecord { at: crashed_at, suspects: suspects.collect() };
        let key = (crash.endpoint, crash.start_unix_ms);
        let pending = self.pending.remove(&key);
        self.merge_crash(key.clone(), record);
        if let Some(pending) = pending {
            self.merge_crash(key, pending);
        }
    }

    fn apply_blame(&mut self, blame: BlameReport, at: TableTime) {
        let (Some(first), Some(seen)) = (time_of(blame.first_ms, at), time_of(blame.seen_ms, at))
        else {
            return;
        };
        let Some(record) = self.blames.get_mut(&blame.part) else {
            return;
        };
        record.first = record.first.min(first);
        record.crashes = record.crashes.max(blame.crashes);
        if seen - record.seen > millis(ECHO_TIME) {
            record.seen = seen;
        }
        if blame.trials > record.trials {
            record.trials = blame.trials;
            record.tried = blame.tried_ms.and_then(|age_ms| time_of(age_ms, at));
        }
    }

    fn crash_reports(&self, at: TableTime) -> Vec<CrashReport> {
        let explained = self.explained_crashes(at);
        let is_reported = |(key, record): &(&CrashKey, &CrashRecord)| {
            explained.contains(key) || at - record.at < millis(REPORT_TIME)
        };
        let mut crashes: Vec<_> = self.crashes.iter().filter(is_reported).collect();
        crashes.sort_by_key(|(key, record)| Reverse((explained.contains(key), record.at)));
        let mut room = MAX_REPORT_SUSPECTS;
        let mut reports = Vec::new();
        for (key, record) in crashes.into_iter().take(MAX_REPORT_CRASHES) {
            let is_explained = explained.contains(key);
            let is_told = |part: &PromptPart| match self.answered.get(part) {
                Some(_) if is_explained && !self.blames.contains_key(part) => false,
                Some(answered_at) => *answered_at <= record.at,
                None => true,
            };
            let suspects = record.suspects.iter().filter(|(part, _)| is_told(part));
            let suspects = suspects.map(|(part, s)| (part.clone(), s.streams, s.place, s.request));
            let suspects: Vec<_> = suspects.collect();
            if suspects.is_empty() || suspects.len() > room {
                continue;
            }
            room -= suspects.len();
            reports.push(CrashReport {
                endpoint: key.0.clone(),
                start_unix_ms: key.1,
                age_ms: age_of(record.at, at),
                suspects,
            });
        }
        reports
    }

    fn answer_reports(&self, at: TableTime) -> Vec<(PromptPart, u64)> {
        let suspects = self.crashes.values().flat_map(|record| record.suspects.keys());
        let parts: BTreeSet<_> = self.blames.keys().chain(suspects).collect();
        let answered = parts.into_iter().filter_map(|part| Some((*self.answered.get(part)?, part)));
        let mut answered: Vec<_> = answered.collect();
        answered.sort_unstable_by(|a, b| b.cmp(a));
        answered.truncate(MAX_REPORT_ANSWERED);
        let reports = answered.into_iter();
        reports.map(|(answered_at, part)| (part.clone(), age_of(answered_at, at))).collect()
    }

    fn blame_reports(&self, at: TableTime) -> Vec<BlameReport> {
        let records = self.findings.iter().filter_map(|finding| {
            let record = self.blames.get(&finding.part).filter(|record| record.is_active(at))?;
            Some(BlameReport {
                part: finding.part.clone(),
                crashes: record.crashes,
                first_ms: age_of(record.first, at),
                seen_ms: age_of(record.seen, at),
                trials: record.trials,
                tried_ms: record.tried.map(|tried| age_of(tried, at)),
            })
        });
        records.collect()
    }

    fn merge_crash(&mut self, key: CrashKey, record: CrashRecord) {
        let is_new = match self.crashes.get_mut(&key) {
            Some(known) => known.merge(record),
            None => self.crashes.insert(key.clone(), record).is_none(),
        };
        if !is_new {
            return;
        }
        self.is_changed = true;
        self.recall_answers(&key);
        self.limit_suspects(&key);
        if self.crashes.len() > MAX_CRASHES {
            self.drop_weakest_crash();
        }
    }

    /// Drops the weaker half of the suspects of a crash with too many: answered ones, and those of
    /// fewer crashes.
    fn limit_suspects(&mut self, key: &CrashKey) {
        let Some(record) = self.crashes.get(key) else {
            return;
        };
        if record.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        let crash_count = |part: &PromptPart| {
            self.crashes.values().filter(|record| record.suspects.contains_key(part)).count()
        };
        let mut parts: Vec<_> = record.suspects.keys().cloned().collect();
        parts.sort_by_cached_key(|part| {
            (self.answered.contains_key(part), Reverse(crash_count(part)))
        });
        if let Some(record) = self.crashes.get_mut(key) {
            for part in parts.iter().skip(MAX_SUSPECTS / 2) {
                record.suspects.remove(part);
            }
        }
    }

    /// Drops the oldest crash, first of those that no blamed part explains.
    fn drop_weakest_crash(&mut self) {
        let explained: BTreeSet<_> = self.findings.iter().flat_map(|f| &f.crashes).collect();
        let weakest = self.crashes.iter().min_by_key(|(key, record)| {
            (explained.contains(key), !record.suspects.is_empty(), record.at)
        });
        let weakest = weakest.map(|(key, _)| key.clone());
        weakest.and_then(|key| self.crashes.remove(&key));
    }

    fn set_answered(&mut self, part: &PromptPart, at: TableTime) {
        let previous = match self.answered.get_mut(part) {
            Some(last) => Some(std::mem::replace(last, at.max(*last))),
            None => self.answered.insert(part.clone(), at),
        };
        self.is_changed |= self.crashes.values().any(|record| {
            let was_open = previous.is_none_or(|previous| previous <= record.at);
            was_open && record.suspects.contains_key(part)
        });
        if self.answered.len() > MAX_ANSWERED {
            let mut times: Vec<_> = self.answered.values().copied().collect();
            let (_, limit, _) = times.select_nth_unstable(MAX_ANSWERED / 4);
            let limit = *limit;
            let mut room = MAX_ANSWERED;
            self.answered.retain(|_, last| {
                let is_kept = *last > limit || (*last == limit && room > 0);
                room -= usize::from(is_kept && *last == limit);
                is_kept
            });
        }
    }

    /// Whether a part was answered after a crash, or a request shortly before it.
    fn is_cleared(&self, suspect: &str, crashed_at: TableTime) -> bool {
        let since = if is_request(suspect) { crashed_at - millis(SOUND_TIME) } else { crashed_at };
        self.answered.get(suspect).is_some_and(|answered_at| *answered_at > since)
    }

    /// Crashes that the parts blamed at present explain.
    fn explained_crashes(&self, at: TableTime) -> BTreeSet<&CrashKey> {
        let is_active = |part| self.blames.get(part).is_some_and(|record| record.is_active(at));
        let active = self.findings.iter().filter(|finding| is_active(&finding.part));
        active.flat_map(|finding| &finding.crashes).collect()
    }

    /// Finds the parts to blame, strongest first; each takes the crashes that it explains out of the
    /// evidence against others.
    fn derive_findings(&mut self) {
        if !std::mem::take(&mut self.is_changed) {
            return;
        }
        let all: BTreeSet<_> = self.crashes.keys().collect();
        let mut findings = FindingList { unexplained: all.clone(), findings: Vec::new() };
        while findings.add(self.strongest_finding(&findings.unexplained, false)) {}
        let whole = self.collect_evidence(&all, false);
        while findings.add(Self::overlapped_finding(&findings.unexplained, &whole)) {}
        while findings.add(self.strongest_finding(&findings.unexplained, true)) {}
        let of_requests = self.request_findings(&findings.unexplained);
        let findings: Vec<_> = findings.findings.into_iter().chain(of_requests).collect();
        for finding in &findings {
            let crashes = u32::try_from(finding.crashes.len()).unwrap_or(u32::MAX);
            let BlameFinding { first, last, .. } = *finding;
            let new = BlameRecord { first, crashes, seen: last, trials: 0, tried: None };
            let record = self.blames.entry(finding.part.clone()).or_insert(new);
            record.first = record.first.min(first);
            record.crashes = record.crashes.max(crashes);
            record.seen = record.seen.max(last);
        }
        self.findings = findings;
    }

    /// The part with the strongest sufficient evidence, of those that were ever answered or of the
    /// others.
    fn strongest_finding(
        &self,
        unexplained: &BTreeSet<&CrashKey>,
        is_answered: bool,
    ) -> Option<BlameFinding> {
        let suspects = self.collect_evidence(unexplained, is_answered);
        let (part, evidence) = suspects.iter().max_by_key(|(_, evidence)| {
            (evidence.strength(), Reverse(evidence.streams), evidence.place)
        })?;
        let is_rival = |(other, rival): (&&PromptPart, &PartEvidence<'_>)| {
            *other != *part
                && rival.crashes.len() == evidence.crashes.len()
                && rival.strength() == evidence.strength()
                && rival.overlaps(evidence)
        };
        let (moments, crashes) = evidence.strength();
        let is_sufficient = if is_answered {
            moments >= MIN_ANSWERED_MOMENTS && self.others_answered(part) >= MIN_OTHER_ANSWERED
        } else if moments >= MIN_MOMENTS {
            crashes >= MIN_MANY_CRASHES || !suspects.iter().any(is_rival)
        } else {
            moments >= MIN_MANY_MOMENTS
                && crashes >= MIN_MANY_CRASHES
                && !evidence.is_frequent()
                && !suspects.iter().any(is_rival)
        };
        is_sufficient.then(|| evidence.finding(part))
    }

    /// Requests to blame for crashes, which are looked at in the order of their times: who is blamed
    /// explains the crashes at which it was under way, and stays blamed whatever comes later.
    fn request_findings(&self, unexplained: &BTreeSet<&CrashKey>) -> Vec<BlameFinding> {
        let crashes = unexplained.iter().filter_map(|key| Some((*key, self.crashes.get(*key)?)));
        let mut crashes: Vec<_> = crashes.collect();
        crashes.sort_by_key(|(key, record)| (record.at, *key));
        let mut suspects = BTreeMap::<&PromptPart, PartEvidence<'_>>::new();
        let mut blamed = BTreeMap::<&PromptPart, PartEvidence<'_>>::new();
        for (key, record) in crashes {
            let requests = record.suspects.keys().filter(|suspect| is_request(suspect));
            let requests = requests.filter(|request| !self.is_cleared(request, record.at));
            let requests: Vec<_> = requests.collect();
            let is_explained = requests.iter().any(|request| blamed.contains_key(*request));
            for request in &requests {
                let known = blamed.get_mut(*request);
                let evidence = known.unwrap_or_else(|| suspects.entry(request).or_default());
                evidence.crashes.push((record.at, key));
                if !is_explained {
                    evidence.unexplained.push((record.at, key));
                }
            }
            let causes = requests.iter().filter(|request| is_cause(request, &requests, &suspects));
            for cause in causes.copied().collect::<Vec<_>>() {
                let Some(evidence) = suspects.remove(cause) else { continue };
                for other in suspects.values_mut() {
                    other.unexplained.retain(|crash| !evidence.crashes.contains(crash));
                }
                blamed.insert(cause, evidence);
            }
            if blamed.len() >= MAX_BLAMED_REQUESTS {
                break;
            }
        }
        blamed.iter().map(|(request, evidence)| evidence.finding(request)).collect()
    }

    /// A part with strong evidence, most of which is in crashes that a stronger part explains: two
    /// poison parts may be in flight at the same endpoint. `whole` is the evidence in all crashes.
    fn overlapped_finding(
        unexplained: &BTreeSet<&CrashKey>,
        whole: &BTreeMap<&PromptPart, PartEvidence<'_>>,
    ) -> Option<BlameFinding> {
        let most_crashes = whole.values().map(|evidence| evidence.crashes.len()).max()?;
        let is_own = |evidence: &PartEvidence<'_>| {
            let own = evidence.crashes.iter().filter(|(_, key)| unexplained.contains(key)).count();
            own >= MIN_MANY_MOMENTS || own > 0 && 2 * evidence.crashes.len() >= most_crashes
        };
        let parts = whole.iter().filter(|(_, evidence)| {
            evidence.crashes.len() >= MIN_MANY_CRASHES
                && !evidence.is_frequent()
                && evidence.moments() >= MIN_MOMENTS
                && is_own(evidence)
        });
        let (part, evidence) = parts.max_by_key(|(_, evidence)| evidence.strength())?;
        Some(evidence.finding(part))
    }

    fn collect_evidence<'a>(
        &'a self,
        unexplained: &BTreeSet<&'a CrashKey>,
        is_answered: bool,
    ) -> BTreeMap<&'a PromptPart, PartEvidence<'a>> {
        let mut suspects = BTreeMap::<_, PartEvidence<'_>>::new();
        for key in unexplained {
            let Some(record) = self.crashes.get(*key) else {
                continue;
            };
            for (part, suspicion) in &record.suspects {
                let is_wanted = !is_request(part)
                    && self.answered.contains_key(part) == is_answered
                    && !self.is_cleared(part, record.at);
                if is_wanted {
                    let evidence = suspects.entry(part).or_default();
                    evidence.crashes.push((record.at, key));
                    evidence.add(*suspicion);
                }
            }
        }
        suspects.retain(|_, evidence| {
            evidence.crashes.len() >= MIN_MANY_MOMENTS && evidence.requests.len() >= MIN_REQUESTS
        });
        suspects
    }

    /// Number of parts that were answered since the last answer with a part.
    fn others_answered(&self, part: &str) -> usize {
        let Some(last) = self.answered.get(part) else {
            return 0;
        };
        let others = self.answered.iter().filter(|(other, _)| !is_request(other));
        others.filter(|(_, answered_at)| *answered_at > last).count()
    }

    fn prune(&mut self, at: TableTime) {
        self.pending.retain(|_, record| at - record.at < millis(PENDING_TIME));
        self.blames.retain(|_, record| record.is_active(at));
        self.settle(at);
        let explained: BTreeSet<_> = self.explained_crashes(at).into_iter().cloned().collect();
        let answered = &self.answered;
        let crash_count = self.crashes.len();
        self.crashes.retain(|key, record| {
            let crashed_at = record.at;
            record.suspects.retain(|part, _| {
                answered.get(part).is_none_or(|answered_at| {
                    *answered_at <= crashed_at || at - answered_at < millis(CLEARED_TIME)
                })
            });
            let age = at - crashed_at;
            let is_needed = !record.suspects.is_empty() || age < millis(PENDING_TIME);
            is_needed && (age < millis(CRASH_TIME) || explained.contains(key))
        });
        self.is_changed |= self.crashes.len() != crash_count;
    }

    /// Drops all suspects but the blamed parts from crashes that these explain, once the time to see
    /// another cause has passed.
    fn settle(&mut self, at: TableTime) {
        let explained: BTreeSet<_> = self.explained_crashes(at).into_iter().cloned().collect();
        let blames = &self.blames;
        for key in explained {
            let record = self.crashes.get_mut(&key);
            let record = record.filter(|record| at - record.at >= millis(SETTLE_TIME));
            if let Some(record) = record {
                let suspect_count = record.suspects.len();
                record.suspects.retain(|part, _| blames.contains_key(part));
                self.is_changed |= record.suspects.len() != suspect_count;
            }
        }
    }

    fn at(&self, now: Instant) -> TableTime {
        millis(now.saturating_duration_since(self.origin))
    }
}

/// Number of times of which each is later than the one before by `time`.
fn moments(times: impl Iterator<Item = TableTime>, time: Duration) -> usize {
    let mut times: Vec<_> = times.collect();
    times.sort_unstable();
    let mut last = None;
    let is_separate = |at: &TableTime| {
        let is_separate = last.is_none_or(|last| at - last >= millis(time));
        if is_separate {
            last = Some(*at);
        }
        is_separate
    };
    times.into_iter().filter(is_separate).count()
}

fn blamed_part(part: &PromptPart, record: &BlameRecord, at: TableTime) -> BlamedPart {
    let since = Duration::from_millis(age_of(record.first, at));
    BlamedPart { part: part.clone(), crashes: record.crashes, since }
}

fn crash_key(endpoint: EndpointStart<'_>) -> CrashKey {
    (endpoint.name.clone(), endpoint.start_unix_ms)
}

/// The suspect that stands for a whole request.
pub(crate) fn request_suspect(fingerprint: RequestFingerprint) -> PromptPart {
    format!("{REQUEST_MARK}{fingerprint}").into()
}

/// Whether a request was under way at enough crashes to be blamed: some that no other explains, or
/// so many that a request which crashes nothing would have been answered between.
fn is_cause(
    request: &PromptPart,
    others: &[&PromptPart],
    suspects: &BTreeMap<&PromptPart, PartEvidence<'_>>,
) -> bool {
    let Some(evidence) = suspects.get(request) else {
        return false;
    };
    let is_rival = |other: &&&PromptPart| {
        **other != request && suspects.get(**other).is_some_and(|rival| evidence.is_within(rival))
    };
    let (count, times) = (evidence.crashes.len(), evidence.crashes.iter().map(|(at, _)| *at));
    moments(times, REQUEST_MOMENT) >= MIN_REQUEST_MOMENTS
        && (count >= MIN_MANY_REQUEST_CRASHES
            || count >= MIN_REQUEST_CRASHES
                && evidence.unexplained.len() >= MIN_UNEXPLAINED_CRASHES
                && !others.iter().any(|other| is_rival(&other)))
}

pub(crate) fn is_request(suspect: &str) -> bool {
    suspect.starts_with(REQUEST_MARK)
}

fn valid_parts(parts: &[PromptPart]) -> impl Iterator<Item = &PromptPart> {
    parts.iter().take(MAX_PARTS).filter(|part| is_valid(part))
}

fn is_valid(part: &str) -> bool {
    (1..=MAX_PART_BYTES).contains(&part.len())
}

fn millis(time: Duration) -> TableTime {
    TableTime::try_from(time.as_millis()).unwrap_or(TableTime::MAX)
}

fn age_of(time: TableTime, at: TableTime) -> u64 {
    u64::try_from(at - time).unwrap_or_default()
}

/// Time of what has a certain age; none if the age is absurd.
fn time_of(age_ms: u64, at: TableTime) -> Option<TableTime> {
    let age = TableTime::try_from(age_ms).ok()?;
    (age < millis(MAX_AGE)).then(|| at - age)
}
