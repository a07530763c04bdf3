//! What all hosts together run through each endpoint.
//!
//! Load pattern: hosts get unlike shares of the callers, and all prefer the same fast cards. A host
//! that knows its own streams alone fills a stage that others have filled already. Each host tells
//! one of them, the holder of the placement duty, what it runs, and gets the sum back.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthrock::{EndpointName, HostName};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::inflight::StageLoad;

/// Time after which a host's report no longer counts: several exchanges.
const REPORT_AGE: Duration = Duration::from_millis(3_000);
/// Time after which a sum is no longer used.
const SUM_AGE: Duration = Duration::from_millis(2_500);

/// Part of the retry budget that hosts share equally; the rest goes by the streams that they have.
const EQUAL_PART: f64 = 0.4;

/// Loads of endpoints by name.
pub type LoadMap = BTreeMap<EndpointName, StageLoad>;

/// What some hosts run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadSum {
    /// Loads of endpoints.
    pub loads: LoadMap,
    /// Tokens a second that pass between failure domains.
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

/// Sums the reports of hosts; used by the holder of the duty.
#[derive(Debug, Default)]
pub struct LoadAggregator {
    reports: BTreeMap<HostName, (Instant, LoadSum)>,
    total: LoadSum,
}

impl LoadAggregator {
    /// Takes a host's report and returns the sum over all hosts, this one included.
    pub fn exchange(&mut self, host: HostName, report: LoadSum, now: Instant) -> &LoadSum {
        let is_old = |at: &Instant| now.saturating_duration_since(*at) >= REPORT_AGE;
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

/// What other hosts run, as last told.
#[derive(Debug, Default)]
pub struct PeerLoads {
    told: Option<ToldLoads>,
}

#[derive(Debug)]
struct ToldLoads {
    at: Instant,
    others: LoadSum,
    own: LoadMap,
    hosts: u32,
}

impl PeerLoads {
    /// Takes a new sum over `hosts` hosts, of which `own` is this host's part.
    pub fn take(&mut self, mut total: LoadSum, own: LoadSum, hosts: usize, now: Instant) {
        total.remove(&own);
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        self.told = Some(ToldLoads { at: now, others: total, own: own.loads, hosts });
    }

    /// Whether the last sum is not too old.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.fresh(now).is_some()
    }

    /// What the other hosts run through an endpoint of which this host runs `own` now; none where
    /// the last sum is too old. The others are taken to have added since then what this host has,
    /// since they know the same sums and choose alike.
    pub fn load(&self, name: &str, own: StageLoad, now: Instant) -> Option<StageLoad> {
        let told = self.fresh(now)?;
        let mut load = told.others.loads.get(name).copied().unwrap_or_default();
        let mut added = own;
        added.remove(told.own.get(name).copied().unwrap_or_default());
        added.scale(told.hosts.saturating_sub(1));
        load.add(added);
        Some(load)
    }

    /// Streams of the other hosts; none where the last sum is too old.
    pub fn streams(&self, now: Instant) -> Option<u32> {
        let told = self.fresh(now)?;
        Some(told.others.loads.values().map(|load| load.starts).sum())
    }

    /// Tokens a second that the others send between failure domains.
    pub fn crossing_tokens_per_s(&self, now: Instant) -> f64 {
        self.fresh(now).map_or(0.0, |told| told.others.crossing_tokens_per_s)
    }

    fn fresh(&self, now: Instant) -> Option<&ToldLoads> {
        let told = self.told.as_ref()?;
        (now.saturating_duration_since(told.at) < SUM_AGE).then_some(told)
    }
}

/// This host's share of the retry budget: when an endpoint dies, each host has as many streams to
/// send again as it has streams, and hosts get unlike shares of the callers.
///
/// `own` are the streams of this host, `others` those of the other hosts as far as they are known.
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
            EQUAL_PART * equal + (1.0 - EQUAL_PART) * by_streams
        }
        _ => equal,
    }
}
