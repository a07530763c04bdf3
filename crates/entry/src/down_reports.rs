//! Endpoints that this or another host has found down.
//!
//! Answers to a load pattern: tens to hundreds of hosts with a few streams a second each, and a
//! tenth of the endpoints ends at the same moment. Before the registry removes their entries, after
//! three missed heartbeats, each host would find each of them by a stream that fails, and has few
//! retries for these. Hosts therefore tell one another what they have found.
//!
//! What another host has found is a reason to avoid an endpoint while there are others, and no proof:
//! it may have lost its link to the endpoint. A host reports a finding only if another endpoint of
//! the service has replied to it since.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthrock::{EndpointName, ServiceName};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::endpoints::EndpointEntry;

/// Time after which a finding no longer counts. The registry removes an endpoint that has ended
/// after three heartbeats of 1.2 s by default.
const FINDING_TIME: Duration = Duration::from_secs(3);
/// Remaining time below which a finding is not taken from another host, so that hosts do not prolong
/// it by passing it back and forth.
const MIN_REMAINING_TIME: Duration = Duration::from_millis(500);
/// Most findings in a report, newest first.
const MAX_REPORTED: usize = 64;
/// Fewest hosts that exchange findings. With fewer, each has so many streams that it finds out by
/// itself as soon as it would learn of it.
const MIN_HOSTS: usize = 16;

/// An endpoint that a host has found down, as hosts tell one another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DownReport {
    /// Endpoint.
    pub endpoint: EndpointName,
    /// Its start time, in ms since the Unix epoch.
    pub start_unix_ms: u64,
    /// Time since it was found down, in ms.
    pub age_ms: u64,
}

#[derive(Clone, Debug)]
struct DownFinding {
    service: ServiceName,
    start_unix_ms: u64,
    found_at: Instant,
    is_own: bool,
}

/// Endpoints that were found down, and when endpoints last replied to this host.
///
/// ```
/// use jacinthrock_entry::{DownTable, EndpointEntry};
/// use tokio::time::Instant;
///
/// # let entry = |name: &str| EndpointEntry {
/// #     name: name.into(),
/// #     service: "chat".into(),
/// #     address: ([10, 0, 0, 1], 80).into(),
/// #     domain: "north".into(),
/// #     slots: 192,
/// #     is_draining: false,
/// #     orders: 0,
/// #     start_unix_ms: 1,
/// #     card: None,
/// #     layers: None,
/// #     under_way: None,
/// # };
/// let (lost, other) = (entry("a"), entry("b"));
/// let (mut finder, mut host, now) = (DownTable::default(), DownTable::default(), Instant::now());
/// finder.record_down(&lost, now);
/// assert!(finder.reports(true, 63, now).is_empty(), "it may have lost its links");
/// finder.record_reply(&other, now);
/// let reports = finder.reports(true, 63, now);
/// host.apply(reports, |name| (name == "a").then(|| lost.clone()), 63, now);
/// assert!(host.is_reported(&lost, now));
/// host.record_reply(&lost, now);
/// assert!(!host.is_reported(&lost, now));
/// ```
#[derive(Debug, Default)]
pub struct DownTable {
    findings: BTreeMap<EndpointName, DownFinding>,
    /// When this host last had a reply, by endpoint.
    replies: BTreeMap<EndpointName, Instant>,
    /// The same by service.
    service_replies: BTreeMap<ServiceName, Instant>,
}

impl DownTable {
    /// Records that this host has found an endpoint down.
    pub fn record_down(&mut self, entry: &EndpointEntry, now: Instant) {
        let finding = DownFinding {
            service: entry.service.clone(),
            start_unix_ms: entry.start_unix_ms,
            found_at: now,
            is_own: true,
        };
        self.findings.insert(entry.name.clone(), finding);
    }

    /// Records that an endpoint has replied to this host.
    pub fn record_reply(&mut self, entry: &EndpointEntry, now: Instant) {
        self.findings.remove(&entry.name);
        set_time(&mut self.replies, &entry.name, now);
        set_time(&mut self.service_replies, &entry.service, now);
    }

    /// Whether another host has found an endpoint down that has not replied to this one since.
    pub fn is_reported(&self, entry: &EndpointEntry, now: Instant) -> bool {
        self.findings.get(&entry.name).is_some_and(|finding| {
            !finding.is_own
                && finding.start_unix_ms == entry.start_unix_ms
                && now < finding.found_at + FINDING_TIME
        })
    }

    /// Findings for other hosts, in a deployment of `hosts` hosts; with those of other hosts if they
    /// are to be passed on.
    pub fn reports(&self, passes_on: bool, hosts: usize, now: Instant) -> Vec<DownReport> {
        if hosts < MIN_HOSTS {
            return Vec::new();
        }
        let reported = self.findings.iter().filter(|(_, finding)| {
            let is_told = if finding.is_own { self.has_links_since(finding) } else { passes_on };
            is_told && now < finding.found_at + FINDING_TIME
        });
        let mut reports: Vec<_> = reported
            .map(|(name, finding)| DownReport {
                endpoint: name.clone(),
                start_unix_ms: finding.start_unix_ms,
                age_ms: now.saturating_duration_since(finding.found_at).as_millis() as u64,
            })
            .collect();
        reports.sort_by_key(|report| report.age_ms);
        reports.truncate(MAX_REPORTED);
        reports
    }

    /// Takes findings of another host; `find` looks up the entries of the endpoints. Returns the
    /// endpoints that were not reported before.
    pub fn apply(
        &mut self,
        reports: Vec<DownReport>,
        find: impl Fn(&str) -> Option<EndpointEntry>,
        hosts: usize,
        now: Instant,
    ) -> Vec<EndpointName> {
        if hosts < MIN_HOSTS {
            return Vec::new();
        }
        let mut taken = Vec::new();
        for report in reports.into_iter().take(MAX_REPORTED) {
            let age = Duration::from_millis(report.age_ms);
            let Some(found_at) = now.checked_sub(age) else { continue };
            if age + MIN_REMAINING_TIME > FINDING_TIME || self.has_replied(&report, found_at) {
                continue;
            }
            let is_known = self.findings.get(&report.endpoint).is_some_and(|known| {
                known.start_unix_ms == report.start_unix_ms && now < known.found_at + FINDING_TIME
            });
            let entry = find(&report.endpoint).filter(|_| !is_known);
            let Some(entry) = entry.filter(|it| it.start_unix_ms == report.start_unix_ms) else {
                continue;
            };
            let finding = DownFinding {
                service: entry.service,
                start_unix_ms: entry.start_unix_ms,
                found_at,
                is_own: false,
            };
            self.findings.insert(entry.name.clone(), finding);
            taken.push(entry.name);
        }
        taken
    }

    /// Forgets endpoints that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.findings.retain(|name, _| is_known(name));
        self.replies.retain(|name, _| is_known(name));
        let findings = &self.findings;
        self.service_replies.retain(|service, at| {
            findings.values().any(|finding| finding.service == *service)
                || at.elapsed() < FINDING_TIME
        });
    }

    /// Whether an endpoint of the service has replied since a finding, so that this host has links to
    /// the service.
    fn has_links_since(&self, finding: &DownFinding) -> bool {
        let replied_at = self.service_replies.get(&finding.service);
        replied_at.is_some_and(|at| *at >= finding.found_at)
    }

    /// Whether the endpoint of a report has replied to this host since.
    fn has_replied(&self, report: &DownReport, found_at: Instant) -> bool {
        self.replies.get(&report.endpoint).is_some_and(|at| *at >= found_at)
    }
}

/// Sets the time of a name; events of streams do so too often to copy the name each time.
fn set_time<T: Clone + Ord>(times: &mut BTreeMap<T, Instant>, name: &T, now: Instant) {
    match times.get_mut(name) {
        Some(at) => *at = now,
        None => {
            times.insert(name.clone(), now);
        }
    }
}
