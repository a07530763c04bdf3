//! Requests, and prompt parts that requests share, that crash the endpoints that run them (poison
//! pills).
//!
//! A crash breaks all streams of its endpoint; what was under way there and had not been answered is
//! a suspect. `parts` decides which parts of prompts are blamed, `requests` which whole requests; a
//! request that is blamed, or has a blamed part, is refused.
//!
//! | Evidence | Kept as | Merged over hosts by |
//! |---|---|---|
//! | streams broken by a crash | suspects of one start of an endpoint | union |
//! | answers | time of the last one for each suspect | latest |
//! | refusals and trials of a blamed suspect | times, number of trials | latest, largest |
//!
//! Blame is not exchanged: each host derives it from the merged evidence.

mod parts;
mod requests;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use jacinthrock::EndpointName;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::notices::EndpointStart;
use crate::poison::parts::MAX_BLAMED;
use crate::poison::requests::{MAX_BLAMED_REQUESTS, SOUND_TIME, is_early};

pub(crate) use crate::poison::requests::{is_request, request_suspect};

/// Time for which a broken stream waits for the confirmation that its endpoint has ended.
const PENDING_TIME: Duration = Duration::from_secs(3);
/// Time after the last crash or refusal at which blame ends.
const BLAME_TIME: Duration = Duration::from_secs(600);
/// Age at which a crash no longer counts, unless a suspect of it is still blamed.
const CRASH_TIME: Duration = Duration::from_secs(1_800);
/// Largest age that is taken from another host.
const MAX_AGE: Duration = Duration::from_secs(7 * 24 * 3_600);
/// Age at which a crash that a blamed suspect explains is evidence against blamed suspects only.
const SETTLE_TIME: Duration = Duration::from_secs(30);
/// Time for which a suspect that was cleared is still listed, so that other hosts learn of it.
const CLEARED_TIME: Duration = Duration::from_secs(5);
/// Waits before the trials of a blamed suspect, in all hosts together.
const TRIAL_WAITS: [Duration; 2] = [Duration::from_secs(60), Duration::from_secs(300)];
/// Difference below which a time from another host is taken for one that is already known, which
/// came back with the delay of the exchange.
const ECHO_TIME: Duration = Duration::from_secs(1);

/// Maximum size of a suspect's id, in bytes; others are not looked at.
const MAX_SUSPECT_BYTES: usize = 64;
/// Maximum size of an endpoint's name in a report, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// Maximum number of suspects of one request that are looked at.
const MAX_REQUEST_SUSPECTS: usize = 64;
/// Maximum number of starts with broken streams that await confirmation.
const MAX_PENDING: usize = 256;
/// Maximum number of crashes.
const MAX_CRASHES: usize = 256;
/// Number of suspects of a crash above which the weakest half is dropped.
const MAX_SUSPECTS: usize = 256;
/// Maximum number of answered suspects.
const MAX_ANSWERED: usize = 4_096;
/// Age up to which a crash that no blamed suspect explains is reported; by then all hosts know it.
const REPORT_TIME: Duration = Duration::from_secs(10);
/// Maximum number of crashes in a report.
const MAX_REPORT_CRASHES: usize = 128;
/// Maximum number of suspects in a report, over all crashes.
const MAX_REPORT_SUSPECTS: usize = 2_048;
/// Maximum number of answered suspects in a report.
const MAX_REPORT_ANSWERED: usize = 512;

/// Id of what may crash endpoints: a part of a prompt, or a whole request by its fingerprint after a
/// mark.
pub type CrashSuspect = Box<str>;

/// Identity of a request over its sends: a hash of the last part of its prompt.
pub type RequestTag = u64;

/// Identity of a crash: name and start time of the endpoint that ended.
type CrashKey = (EndpointName, u64);

/// Time in ms since the table was made; negative for what other hosts saw before.
type TableTime = i64;

/// Evidence on suspects, as hosts tell one another. Times are ages in ms.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoisonReport {
    #[serde(default)]
    crashes: Vec<CrashReport>,
    /// Suspects that were answered, with the age of the last answer.
    #[serde(default)]
    answered: Vec<(CrashSuspect, u64)>,
    #[serde(default)]
    blamed: Vec<BlameReport>,
}

impl PoisonReport {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.answered.is_empty() && self.blamed.is_empty()
    }
}

/// One crash, with its suspects as id, number of streams, place in the prompt and request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct CrashReport {
    endpoint: EndpointName,
    start_unix_ms: u64,
    age_ms: u64,
    suspects: Vec<(CrashSuspect, u32, u32, RequestTag)>,
}

/// Refusals and trials of one blamed suspect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct BlameReport {
    /// Hosts of the previous build know the field as `part`.
    #[serde(rename = "part")]
    suspect: CrashSuspect,
    crashes: u32,
    first_ms: u64,
    seen_ms: u64,
    trials: u32,
    tried_ms: Option<u64>,
}

/// A part, or a request, that crashes endpoints; the text is the reason of a refusal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlamedSuspect {
    /// Part or request.
    pub suspect: CrashSuspect,
    /// Number of crashes that it explains.
    pub crashes: u32,
    /// Time since the first of them.
    pub since: Duration,
}

impl BlamedSuspect {
    /// Whether a whole request is blamed.
    pub fn is_request(&self) -> bool {
        is_request(&self.suspect)
    }
}

impl fmt::Display for BlamedSuspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { suspect, crashes, since } = self;
        let since = since.as_secs_f64();
        let what = if self.is_request() { "request" } else { "prompt part" };
        write!(f, "{what} {suspect} has crashed {crashes} endpoints in the last {since:.1} s")
    }
}

/// Whether a request may be sent, as far as crashes are concerned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendVerdict {
    /// Nothing that crashes endpoints is known of it.
    Allowed,
    /// It crashes endpoints, or may do so, and is sent to find out whether it still does.
    Trial,
    /// It must not be sent.
    Refused(BlamedSuspect),
}

impl SendVerdict {
    /// What a request is refused for, if it is.
    ///
    /// ```
    /// use jacinthrock_entry::SendVerdict;
    ///
    /// assert_eq!(SendVerdict::Trial.refusal(), None);
    /// ```
    pub fn refusal(self) -> Option<BlamedSuspect> {
        match self {
            Self::Refused(blamed) => Some(blamed),
            Self::Allowed | Self::Trial => None,
        }
    }
}

/// How often something was a suspect in one crash, and where it stood in the prompt.
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
    suspects: BTreeMap<CrashSuspect, Suspicion>,
}

impl CrashRecord {
    fn new(at: TableTime) -> Self {
        Self { at, suspects: BTreeMap::new() }
    }

    /// Adds one broken stream.
    fn add_stream(&mut self, suspects: &[CrashSuspect], request: RequestTag, at: TableTime) {
        self.at = self.at.min(at);
        let places: BTreeMap<_, _> = valid_suspects(suspects).zip(0..).collect();
        for (suspect, place) in places {
            let suspicion = self.suspects.entry(suspect.clone()).or_default();
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
        for (suspect, other) in other.suspects {
            let suspicion = self.suspects.entry(suspect).or_default();
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

/// What is kept of a suspect while it is blamed.
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

/// A blamed suspect with the crashes that it explains.
#[derive(Debug)]
struct BlameFinding {
    suspect: CrashSuspect,
    crashes: Vec<CrashKey>,
    first: TableTime,
    last: TableTime,
}

impl BlameFinding {
    fn new(suspect: &CrashSuspect, crashes: &[(TableTime, &CrashKey)]) -> Self {
        let times = || crashes.iter().map(|(at, _)| *at);
        Self {
            suspect: suspect.clone(),
            crashes: crashes.iter().map(|(_, key)| (*key).clone()).collect(),
            first: times().min().unwrap_or_default(),
            last: times().max().unwrap_or_default(),
        }
    }

    /// Whether the blame holds; that of a request for few crashes waits for other hosts' reports.
    fn is_due(&self, at: TableTime) -> bool {
        !is_request(&self.suspect) || !is_early(self.crashes.len(), self.first, at)
    }
}

/// The evidence on suspects that one host knows, its own and that of others.
///
/// ```
/// use std::time::Duration;
/// use jacinthrock_entry::{EndpointStart, PoisonTable, SendVerdict};
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
/// let blamed = table.verdict(&parts, false, now).refusal().expect("a blamed part");
/// assert_eq!(
///     blamed.to_string(),
///     "prompt part bad0 has crashed 3 endpoints in the last 3.0 s"
/// );
/// assert_eq!(table.verdict(&parts[..1], false, now), SendVerdict::Allowed);
/// ```
#[derive(Debug)]
pub struct PoisonTable {
    origin: Instant,
    pending: BTreeMap<CrashKey, CrashRecord>,
    crashes: BTreeMap<CrashKey, CrashRecord>,
    /// Last answers to requests, whether or not they are suspects.
    answered_requests: BTreeMap<CrashSuspect, TableTime>,
    /// Last answer with each part, and with each request that is a suspect.
    answered: BTreeMap<CrashSuspect, TableTime>,
    blames: BTreeMap<CrashSuspect, BlameRecord>,
    /// Last time that a request was sent of which it was open whether it crashes endpoints.
    tried_unsettled: Option<TableTime>,
    /// Derived from the crashes and answers; out of date if `is_changed`.
    findings: Vec<BlameFinding>,
    is_changed: bool,
    /// Suspects that were blamed at the last call of `take_new_blames`.
    known_blames: BTreeSet<CrashSuspect>,
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
            known_blames: BTreeSet::new(),
        }
    }

    /// Whether there is no evidence of any crash.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.pending.is_empty()
    }

    /// Records that the connection of a stream broke before its answer went on past the first
    /// event. `suspects` are the request itself and the shared parts of its prompt, all but the last.
    pub fn record_break(
        &mut self,
        endpoint: EndpointStart<'_>,
        suspects: &[CrashSuspect],
        request: RequestTag,
        now: Instant,
    ) {
        let (key, at) = (crash_key(endpoint), self.at(now));
        if let Some(record) = self.crashes.get_mut(&key) {
            record.add_stream(suspects, request, at);
            self.is_changed = true;
            self.recall_answers(&key);
            self.limit_suspects(&key);
            return;
        }
        let record = self.pending.entry(key.clone()).or_insert_with(|| CrashRecord::new(at));
        if record.suspects.len() < MAX_SUSPECTS {
            record.add_stream(suspects, request, at);
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

    /// Records that an answer went on past its first event. `suspects` are the shared parts of its
    /// prompt, and the request itself.
    pub fn record_answer(&mut self, suspects: &[CrashSuspect], now: Instant) {
        let at = self.at(now);
        for suspect in valid_suspects(suspects) {
            if !is_request(suspect) || self.is_suspect(suspect) {
                self.set_answered(suspect, at);
            }
            if is_request(suspect) {
                self.remember_answer(suspect, at);
            }
        }
    }

    fn is_suspect(&self, suspect: &str) -> bool {
        let records = self.crashes.values().chain(self.pending.values());
        records.into_iter().any(|record| record.suspects.contains_key(suspect))
    }

    /// Whether a request may be sent, and counts the refusal if not. To be asked before every send.
    ///
    /// A few requests with a blamed suspect are let through as trials, over all hosts and successive
    /// holders of the placement lease: `may_try` says that this host is the holder.
    pub fn verdict(
        &mut self,
        suspects: &[CrashSuspect],
        may_try: bool,
        now: Instant,
    ) -> SendVerdict {
        if self.crashes.is_empty() {
            return SendVerdict::Allowed;
        }
        self.derive_findings();
        let at = self.at(now);
        if let Some(unsettled) = self.unsettled_request(suspects, at) {
            let is_sent = may_try && self.start_unsettled(at);
            return if is_sent { SendVerdict::Trial } else { SendVerdict::Refused(unsettled) };
        }
        let mut blamed = self.active_findings(at).filter(|(finding, _)| {
            valid_suspects(suspects).any(|suspect| *suspect == finding.suspect)
        });
        let Some((finding, _)) = blamed.next() else {
            return SendVerdict::Allowed;
        };
        let is_only = blamed.next().is_none();
        let (suspect, last) = (finding.suspect.clone(), finding.last);
        drop(blamed);
        let Some(record) = self.blames.get_mut(&suspect) else {
            return SendVerdict::Allowed;
        };
        record.seen = record.seen.max(at);
        if may_try && is_only && record.start_trial(last, at) {
            return SendVerdict::Trial;
        }
        SendVerdict::Refused(blamed_suspect(&suspect, record, at))
    }

    /// The suspects that are blamed.
    pub fn blamed(&mut self, now: Instant) -> Vec<BlamedSuspect> {
        self.derive_findings();
        let at = self.at(now);
        let active = self.active_findings(at);
        active.map(|(finding, record)| blamed_suspect(&finding.suspect, record, at)).collect()
    }

    /// The suspects that are blamed and were not at the last call. Blame may begin with time alone,
    /// so that a comparison with the state before a change would miss it.
    pub fn take_new_blames(&mut self, now: Instant) -> Vec<BlamedSuspect> {
        let mut blamed = self.blamed(now);
        let suspects = blamed.iter().map(|blamed| blamed.suspect.clone()).collect();
        let known = std::mem::replace(&mut self.known_blames, suspects);
        blamed.retain(|blamed| !known.contains(&blamed.suspect));
        blamed
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
        for (suspect, age_ms) in report.answered.into_iter().take(MAX_REPORT_ANSWERED) {
            let Some(answered_at) = time_of(age_ms, at).filter(|_| is_valid(&suspect)) else {
                continue;
            };
            let known = self.answered.get(&suspect);
            if known.is_none_or(|known| answered_at - known > millis(ECHO_TIME)) {
                self.set_answered(&suspect, answered_at);
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
        let suspects = suspects.filter(|(suspect, ..)| is_valid(suspect));
        let suspects = suspects.map(|(suspect, streams, place, request)| {
            (suspect, Suspicion { streams, place, request })
        });
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
        let Some(record) = self.blames.get_mut(&blame.suspect) else {
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
            let is_told = |suspect: &CrashSuspect| match self.answered.get(suspect) {
                Some(_) if is_explained && !self.blames.contains_key(suspect) => false,
                Some(answered_at) => *answered_at <= record.at,
                None => true,
            };
            let suspects = record.suspects.iter().filter(|(suspect, _)| is_told(suspect));
            let suspects =
                suspects.map(|(suspect, s)| (suspect.clone(), s.streams, s.place, s.request));
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

    fn answer_reports(&self, at: TableTime) -> Vec<(CrashSuspect, u64)> {
        let suspects = self.crashes.values().flat_map(|record| record.suspects.keys());
        let suspects: BTreeSet<_> = self.blames.keys().chain(suspects).collect();
        let answered = suspects
            .into_iter()
            .filter_map(|suspect| Some((*self.answered.get(suspect)?, suspect)));
        let mut answered: Vec<_> = answered.collect();
        answered.sort_unstable_by(|a, b| b.cmp(a));
        answered.truncate(MAX_REPORT_ANSWERED);
        let reports = answered.into_iter();
        reports.map(|(answered_at, suspect)| (suspect.clone(), age_of(answered_at, at))).collect()
    }

    fn blame_reports(&self, at: TableTime) -> Vec<BlameReport> {
        let reports = self.active_findings(at).map(|(finding, record)| BlameReport {
            suspect: finding.suspect.clone(),
            crashes: record.crashes,
            first_ms: age_of(record.first, at),
            seen_ms: age_of(record.seen, at),
            trials: record.trials,
            tried_ms: record.tried.map(|tried| age_of(tried, at)),
        });
        reports.collect()
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
        let crash_count = |suspect: &CrashSuspect| {
            self.crashes.values().filter(|record| record.suspects.contains_key(suspect)).count()
        };
        let mut suspects: Vec<_> = record.suspects.keys().cloned().collect();
        suspects.sort_by_cached_key(|suspect| {
            (self.answered.contains_key(suspect), Reverse(crash_count(suspect)))
        });
        if let Some(record) = self.crashes.get_mut(key) {
            for suspect in suspects.iter().skip(MAX_SUSPECTS / 2) {
                record.suspects.remove(suspect);
            }
        }
    }

    /// Drops the oldest crash, first of those that no blamed suspect explains.
    fn drop_weakest_crash(&mut self) {
        let explained: BTreeSet<_> = self.findings.iter().flat_map(|f| &f.crashes).collect();
        let weakest = self.crashes.iter().min_by_key(|(key, record)| {
            (explained.contains(key), !record.suspects.is_empty(), record.at)
        });
        let weakest = weakest.map(|(key, _)| key.clone());
        weakest.and_then(|key| self.crashes.remove(&key));
    }

    fn set_answered(&mut self, suspect: &CrashSuspect, at: TableTime) {
        let previous = match self.answered.get_mut(suspect) {
            Some(last) => Some(std::mem::replace(last, at.max(*last))),
            None => self.answered.insert(suspect.clone(), at),
        };
        self.is_changed |= self.crashes.values().any(|record| {
            let was_open = previous.is_none_or(|previous| previous <= record.at);
            was_open && record.suspects.contains_key(suspect)
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

    /// Findings that hold at present, with what is kept of the blame.
    fn active_findings(
        &self,
        at: TableTime,
    ) -> impl Iterator<Item = (&BlameFinding, &BlameRecord)> {
        let findings = self.findings.iter().filter(move |finding| finding.is_due(at));
        findings.filter_map(move |finding| {
            let record = self.blames.get(&finding.suspect)?;
            record.is_active(at).then_some((finding, record))
        })
    }

    /// Crashes that the suspects blamed at present explain.
    fn explained_crashes(&self, at: TableTime) -> BTreeSet<&CrashKey> {
        self.active_findings(at).flat_map(|(finding, _)| &finding.crashes).collect()
    }

    /// Finds the suspects to blame: parts first, since a request that is cut often for its part is
    /// not the cause itself.
    fn derive_findings(&mut self) {
        if !std::mem::take(&mut self.is_changed) {
            return;
        }
        let (mut findings, unexplained) = self.part_findings();
        findings.extend(self.request_findings(&unexplained));
        for finding in &findings {
            let crashes = u32::try_from(finding.crashes.len()).unwrap_or(u32::MAX);
            let BlameFinding { first, last, .. } = *finding;
            let new = BlameRecord { first, crashes, seen: last, trials: 0, tried: None };
            let record = self.blames.entry(finding.suspect.clone()).or_insert(new);
            record.first = record.first.min(first);
            record.crashes = record.crashes.max(crashes);
            record.seen = record.seen.max(last);
        }
        self.findings = findings;
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
            record.suspects.retain(|suspect, _| {
                answered.get(suspect).is_none_or(|answered_at| {
                    *answered_at <= crashed_at || at - answered_at < millis(CLEARED_TIME)
                })
            });
            let age = at - crashed_at;
            let is_needed = !record.suspects.is_empty() || age < millis(PENDING_TIME);
            is_needed && (age < millis(CRASH_TIME) || explained.contains(key))
        });
        self.is_changed |= self.crashes.len() != crash_count;
    }

    /// Drops all suspects but the blamed ones from crashes that these explain, once the time to see
    /// another cause has passed.
    fn settle(&mut self, at: TableTime) {
        let explained: BTreeSet<_> = self.explained_crashes(at).into_iter().cloned().collect();
        let blames = &self.blames;
        for key in explained {
            let record = self.crashes.get_mut(&key);
            let record = record.filter(|record| at - record.at >= millis(SETTLE_TIME));
            if let Some(record) = record {
                let suspect_count = record.suspects.len();
                record.suspects.retain(|suspect, _| blames.contains_key(suspect));
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

fn blamed_suspect(suspect: &CrashSuspect, record: &BlameRecord, at: TableTime) -> BlamedSuspect {
    let since = Duration::from_millis(age_of(record.first, at));
    BlamedSuspect { suspect: suspect.clone(), crashes: record.crashes, since }
}

fn crash_key(endpoint: EndpointStart<'_>) -> CrashKey {
    (endpoint.name.clone(), endpoint.start_unix_ms)
}

fn valid_suspects(suspects: &[CrashSuspect]) -> impl Iterator<Item = &CrashSuspect> {
    suspects.iter().take(MAX_REQUEST_SUSPECTS).filter(|suspect| is_valid(suspect))
}

fn is_valid(suspect: &str) -> bool {
    (1..=MAX_SUSPECT_BYTES).contains(&suspect.len())
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
