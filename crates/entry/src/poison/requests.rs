//! Whole requests that crash endpoints: who is blamed, which ones wait, and what clears them.
//!
//! A request is a suspect by its fingerprint, whichever service it is for. It is blamed once it was
//! under way at three crashes, or at four if another request was under way at all of them too; an
//! answer clears it of the crashes before, and of those in the ten seconds after. Three crashes
//! count from the time at which hosts have told one another who else was under way at them. While it
//! is open which of several requests is the cause, only the holder of the placement lease sends
//! them, one after the other. Answers to the load pattern of one request that comes again and again,
//! at whatever host, and ends one endpoint after the other.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::fingerprint::RequestFingerprint;
use crate::poison::{
    BlameFinding, BlamedSuspect, CrashKey, CrashSuspect, PoisonTable, TableTime, age_of, millis,
    moments,
};

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
/// Time in which a host learns what the others have seen of a crash: their reports reach the holder
/// of the placement lease within one exchange, 0.2 s, and the replies this host within another.
const EXCHANGE_TIME: Duration = Duration::from_millis(400);
/// Time before a crash in which an answer shows that a request is not its cause.
pub(super) const SOUND_TIME: Duration = Duration::from_secs(10);
/// Maximum number of requests of which the last answer is kept.
const MAX_ANSWERED_REQUESTS: usize = 4_096;
/// Maximum number of requests that are blamed at a time.
pub(super) const MAX_BLAMED_REQUESTS: usize = 64;
/// First character of the suspects that are requests; no part of a prompt is taken that has it.
const REQUEST_MARK: char = '#';

/// The suspect that stands for a whole request.
pub(crate) fn request_suspect(fingerprint: RequestFingerprint) -> CrashSuspect {
    format!("{REQUEST_MARK}{fingerprint}").into()
}

/// Whether a suspect is a whole request.
pub(crate) fn is_request(suspect: &str) -> bool {
    suspect.starts_with(REQUEST_MARK)
}

/// The evidence against one request.
#[derive(Debug, Default)]
struct RequestEvidence<'a> {
    crashes: Vec<(TableTime, &'a CrashKey)>,
    /// Those of the crashes that no other request explains.
    unexplained: Vec<(TableTime, &'a CrashKey)>,
}

impl RequestEvidence<'_> {
    /// Whether all of these crashes speak against the other as well.
    fn is_within(&self, other: &Self) -> bool {
        self.crashes.iter().all(|crash| other.crashes.contains(crash))
    }
}

/// Whether a request was under way at enough crashes to be blamed: some that no other explains, or
/// so many that a request which crashes nothing would have been answered between.
fn is_cause(
    request: &CrashSuspect,
    others: &[&CrashSuspect],
    suspects: &BTreeMap<&CrashSuspect, RequestEvidence<'_>>,
) -> bool {
    let Some(evidence) = suspects.get(request) else {
        return false;
    };
    let is_rival = |other: &&&CrashSuspect| {
        **other != request && suspects.get(**other).is_some_and(|rival| evidence.is_within(rival))
    };
    let (count, times) = (evidence.crashes.len(), evidence.crashes.iter().map(|(at, _)| *at));
    moments(times, REQUEST_MOMENT) >= MIN_REQUEST_MOMENTS
        && (count >= MIN_MANY_REQUEST_CRASHES
            || count >= MIN_REQUEST_CRASHES
                && evidence.unexplained.len() >= MIN_UNEXPLAINED_CRASHES
                && !others.iter().any(|other| is_rival(&other)))
}

/// Whether other hosts may know of another cause of a request's crashes, which are few and of which
/// the first was at `first`.
pub(super) fn is_early(crash_count: usize, first: TableTime, at: TableTime) -> bool {
    crash_count < MIN_MANY_REQUEST_CRASHES && at - first < millis(EXCHANGE_TIME)
}

impl PoisonTable {
    /// Whether a request was under way at so many crashes that hosts do not send it again by
    /// themselves.
    pub fn is_doubtful(&self, request: &CrashSuspect) -> bool {
        let times = self.open_crashes(request).map(|(_, at)| at);
        moments(times, REQUEST_MOMENT) >= MAX_RESENT_MOMENTS
    }

    /// Keeps the time of the last answer to a request, whether or not it is a suspect.
    pub(super) fn remember_answer(&mut self, request: &CrashSuspect, at: TableTime) {
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
    pub(super) fn recall_answers(&mut self, key: &CrashKey) {
        let Some(record) = self.crashes.get(key).or_else(|| self.pending.get(key)) else { return };
        let answers = record
            .suspects
            .keys()
            .filter_map(|suspect| Some((suspect.clone(), *self.answered_requests.get(suspect)?)));
        for (request, answered_at) in answers.collect::<Vec<_>>() {
            self.set_answered(&request, answered_at);
        }
    }

    /// The request, if it was under way at enough crashes to be blamed, but not alone. The holder of
    /// the placement lease sends such requests one after the other, until one of them is the cause
    /// of a crash or is answered.
    ///
    /// Crashes that another request explains count too, since two requests may each crash endpoints
    /// while the other is under way there. They do not count alone, unless they came so fast that no
    /// host could hold one of the requests back between them.
    pub(super) fn unsettled_request(
        &self,
        suspects: &[CrashSuspect],
        at: TableTime,
    ) -> Option<BlamedSuspect> {
        let request = suspects.first().filter(|suspect| is_request(suspect))?;
        if self.findings.iter().any(|finding| finding.suspect == *request) {
            return None;
        }
        let explained = self.explained_crashes(at);
        let crashes: Vec<_> = self.open_crashes(request).collect();
        let times: Vec<_> = crashes.iter().map(|(_, crashed_at)| *crashed_at).collect();
        let (first, last) = (times.iter().min().copied()?, times.iter().max().copied()?);
        let is_enough = times.len() >= MIN_REQUEST_CRASHES
            && moments(times.iter().copied(), REQUEST_MOMENT) >= MIN_REQUEST_MOMENTS
            && !is_early(times.len(), first, at)
            && (last - first < millis(EXCHANGE_TIME)
                || crashes.iter().any(|(key, _)| !explained.contains(key)));
        is_enough.then(|| BlamedSuspect {
            suspect: request.clone(),
            crashes: u32::try_from(times.len()).unwrap_or(u32::MAX),
            since: Duration::from_millis(age_of(first, at)),
        })
    }

    /// Counts an unsettled request as sent, unless another one was sent a moment ago.
    pub(super) fn start_unsettled(&mut self, at: TableTime) -> bool {
        let is_due = self.tried_unsettled.is_none_or(|tried| at - tried >= millis(UNSETTLED_WAIT));
        if is_due {
            self.tried_unsettled = Some(at);
        }
        is_due
    }

    /// Crashes at which a request was under way, and after which it was not answered.
    fn open_crashes(&self, request: &CrashSuspect) -> impl Iterator<Item = (&CrashKey, TableTime)> {
        let crashes = self.crashes.iter().filter(|(_, record)| {
            record.suspects.contains_key(request) && !self.is_cleared(request, record.at)
        });
        crashes.map(|(key, record)| (key, record.at))
    }

    /// Requests to blame for crashes, which are looked at in the order of their times: who is blamed
    /// explains the crashes at which it was under way, and stays blamed whatever comes later.
    pub(super) fn request_findings(&self, unexplained: &BTreeSet<&CrashKey>) -> Vec<BlameFinding> {
        let crashes = unexplained.iter().filter_map(|key| Some((*key, self.crashes.get(*key)?)));
        let mut crashes: Vec<_> = crashes.collect();
        crashes.sort_by_key(|(key, record)| (record.at, *key));
        let mut suspects = BTreeMap::<&CrashSuspect, RequestEvidence<'_>>::new();
        let mut blamed = BTreeMap::<&CrashSuspect, RequestEvidence<'_>>::new();
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
        let findings = blamed.iter();
        findings.map(|(request, evidence)| BlameFinding::new(request, &evidence.crashes)).collect()
    }
}
