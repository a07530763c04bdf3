//! Parts of prompts that crash endpoints: who is blamed for which crashes.
//!
//! A crash breaks all streams of its endpoint, so each of their parts that had not been answered is
//! a suspect. A part is blamed once it was a suspect in crashes at several separate moments. Parts
//! that were answered are hardly ever blamed, and an answer after a crash clears its parts of that
//! crash. Answers to the load pattern of requests that have a part in common, each of which ends one
//! endpoint after the other.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::poison::requests::is_request;
use crate::poison::{
    BlameFinding, CrashKey, CrashSuspect, PoisonTable, RequestTag, Suspicion, TableTime, moments,
};

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
pub(super) const MAX_BLAMED: usize = 8;

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

    /// Whether the same crashes speak against both parts.
    fn overlaps(&self, other: &Self) -> bool {
        self.crashes.iter().any(|crash| other.crashes.contains(crash))
    }

    fn finding(&self, part: &CrashSuspect) -> BlameFinding {
        BlameFinding::new(part, &self.crashes)
    }
}

impl PoisonTable {
    /// Finds the parts to blame, strongest first; each takes the crashes that it explains out of the
    /// evidence against others. Returns the crashes that none of them explains as well.
    pub(super) fn part_findings(&self) -> (Vec<BlameFinding>, BTreeSet<&CrashKey>) {
        let all: BTreeSet<_> = self.crashes.keys().collect();
        let mut list = FindingList { unexplained: all.clone(), findings: Vec::new() };
        while list.add(self.strongest_finding(&list.unexplained, false)) {}
        let whole = self.collect_evidence(&all, false);
        while list.add(Self::overlapped_finding(&list.unexplained, &whole)) {}
        while list.add(self.strongest_finding(&list.unexplained, true)) {}
        (list.findings, list.unexplained)
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
        let is_rival = |(other, rival): (&&CrashSuspect, &PartEvidence<'_>)| {
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

    /// A part with strong evidence, most of which is in crashes that a stronger part explains: two
    /// poison parts may be in flight at the same endpoint. `whole` is the evidence in all crashes.
    fn overlapped_finding(
        unexplained: &BTreeSet<&CrashKey>,
        whole: &BTreeMap<&CrashSuspect, PartEvidence<'_>>,
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
    ) -> BTreeMap<&'a CrashSuspect, PartEvidence<'a>> {
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
}
