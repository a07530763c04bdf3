//! The load of each endpoint, summed over all hosts.
//!
//! Hosts get unequal shares of the callers, and all prefer the same fast cards. A host that knows
//! only its own streams would send more to a stage that other hosts have already filled. Each host
//! therefore reports its load to the holder of the placement lease, and gets the total back.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthrock::{EndpointName, HostName};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::inflight::StageLoad;

/// Age at which a host's report no longer counts; several exchanges take place in that time.
const MAX_REPORT_AGE: Duration = Duration::from_millis(3_000);
/// Age at which the last total is no longer used.
const MAX_SNAPSHOT_AGE: Duration = Duration::from_millis(2_500);

/// Part of the retry budget that hosts share equally; the rest is in proportion to their streams.
const EQUAL_SHARE: f64 = 0.4;

/// Load of each endpoint, by its name.
pub type LoadMap = BTreeMap<EndpointName, StageLoad>;

/// Load of one host, or the total of several.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadSum {
    /// Load of each endpoint.
    pub loads: LoadMap,
    /// Tokens per second that pass between failure domains.
    pub crossing_tokens_per_s: f64,
}

impl LoadSum {
    fn add(&mut self, other: &Self) {
        self.crossing_tokens_per_s += other.crossing_tokens_per_s;
        for (name, load) in &other.loads {
            self.loads.entry(name.clone()).or_default().add(*load);
        }
    }

    fn remove(&mut self, other: &Self) {
        self.crossing_tokens_per_s =
            (self.crossing_tokens_per_s - other.crossing_tokens_per_s).max(0.0);
        for (name, load) in &other.loads {
            if let Some(sum) = self.loads.get_mut(name) {
                sum.remove(*load);
            }
        }
    }
}

/// Sums the load reports of all hosts, on the holder of the placement lease.
#[derive(Debug, Default)]
pub struct LoadAggregator {
    reports: BTreeMap<HostName, (Instant, LoadSum)>,
    total: LoadSum,
}

impl LoadAggregator {
    /// Replaces a host's report and returns the total over all hosts, including that host. Removes
    /// reports that are too old.
    pub fn exchange(&mut self, host: HostName, report: LoadSum, now: Instant) -> &LoadSum {
        let is_old = |at: &Instant| now.saturating_duration_since(*at) >= MAX_REPORT_AGE;
        let old: Vec<_> =
            self.reports.iter().filter(|(_, (at, _))| is_old(at)).map(|(h, _)| h.clone()).collect();
        for host in old.iter().chain([&host]) {
            if let Some((_, previous)) = self.reports.remove(host) {
                self.total.remove(&previous);
            }
        }
        self.total.add(&report);
        self.reports.insert(host, (now, report));
        &self.total
    }
}

/// Load of the other hosts, from the last exchange with the holder of the placement lease.
#[derive(Debug, Default)]
pub struct PeerLoads {
    latest: Option<LoadSnapshot>,
}

/// Result of one exchange.
#[derive(Debug)]
struct LoadSnapshot {
    at: Instant,
    others: LoadSum,
    /// Load of this host at the time of the exchange.
    own: LoadMap,
    hosts: u32,
}

impl PeerLoads {
    /// Replaces the last total with a new one over `hosts` hosts; `own` is this host's part of it.
    pub fn update(&mut self, mut total: LoadSum, own: LoadSum, hosts: usize, now: Instant) {
        total.remove(&own);
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        self.latest = Some(LoadSnapshot { at: now, others: total, own: own.loads, hosts });
    }

    /// Whether the last total is recent enough to use.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.fresh_snapshot(now).is_some()
    }

    /// Estimates the load of the other hosts on an endpoint on which this host's load is now `own`;
    /// none if the last total is too old. Assumes that each of the other hosts has added as much
    /// since the last total as this one, because all know the same totals and choose alike.
    pub fn load(&self, name: &str, own: StageLoad, now: Instant) -> Option<StageLoad> {
        let snapshot = self.fresh_snapshot(now)?;
        let mut load = snapshot.others.loads.get(name).copied().unwrap_or_default();
        let mut added = own;
        added.remove(snapshot.own.get(name).copied().unwrap_or_default());
        added.scale(snapshot.hosts.saturating_sub(1));
        load.add(added);
        Some(load)
    }

    /// Number of streams of the other hosts; none if the last total is too old.
    pub fn streams(&self, now: Instant) -> Option<u32> {
        let snapshot = self.fresh_snapshot(now)?;
        Some(snapshot.others.loads.values().map(|load| load.starts).sum())
    }

    /// Tokens per second that the other hosts send between failure domains; 0 if the last total is
    /// too old.
    pub fn crossing_tokens_per_s(&self, now: Instant) -> f64 {
        self.fresh_snapshot(now).map_or(0.0, |snapshot| snapshot.others.crossing_tokens_per_s)
    }

    fn fresh_snapshot(&self, now: Instant) -> Option<&LoadSnapshot> {
        let snapshot = self.latest.as_ref()?;
        (now.saturating_duration_since(snapshot.at) < MAX_SNAPSHOT_AGE).then_some(snapshot)
    }
}

/// This host's share of the retry budget. When an endpoint fails, each host has to retry streams in
/// proportion to its own, and hosts get unequal shares of the callers.
///
/// `own` is the number of this host's streams, `others` the number of the other hosts' streams if
/// known.
///
/// ```
/// use jacinthrock_entry::retry_share;
///
/// assert_eq!(retry_share(4, 0, None), 0.25);
/// assert!(retry_share(4, 30, Some(30)) > 0.25);
/// ```
pub fn retry_share(hosts: usize, own: u32, others: Option<u32>) -> f64 {
    let equal = 1.0 / hosts as f64;
    match others {
        Some(others) if own + others > 0 => {
            let by_streams = f64::from(own) / f64::from(own + others);
            EQUAL_SHARE * equal + (1.0 - EQUAL_SHARE) * by_streams
        }
        _ => equal,
    }
}
