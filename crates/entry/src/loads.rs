//! The load of each endpoint, summed over all hosts.
//!
//! Hosts get unequal shares of the callers, and all prefer the same fast cards. A host that knows
//! only its own streams would send more to a stage that other hosts have already filled. Each host
//! therefore reports its load to the holder of the placement lease, and gets the total back.

use std::collections::{BTreeMap, btree_map};
use std::iter::Peekable;
use std::time::Duration;

use jacinthrock::{EndpointName, HostName};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::demand::{
    DemandMap, OnTimeMap, PriorityDemand, add_demands, on_time_streams, read_demands, read_on_time,
    remove_demands,
};
use crate::inflight::StageLoad;
use crate::refusals::RefusedFilter;

/// Age at which a host's report no longer counts; several exchanges take place in that time.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);
/// Age at which the last total is no longer used.
pub(crate) const MAX_SNAPSHOT_AGE: Duration = Duration::from_millis(2_500);

/// Part of the retry budget that hosts share equally; the rest is in proportion to their streams.
const EQUAL_SHARE: f64 = 0.4;

/// Number of hosts from which shares of the retry budget are averaged over its whole window.
const FULL_SMOOTHING_HOSTS: f64 = 200.0;

/// Load of each endpoint, by its name.
pub type LoadMap = BTreeMap<EndpointName, StageLoad>;

/// Load of one host, or the total of several.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadSum {
    /// Load of each endpoint.
    pub loads: LoadMap,
    /// Tokens per second that pass between failure domains.
    pub crossing_tokens_per_s: f64,
    /// Streams that callers ask for, of services with several priorities.
    #[serde(
        default,
        skip_serializing_if = "DemandMap::is_empty",
        deserialize_with = "read_demands"
    )]
    pub demands: DemandMap,
    /// Those of the waiting streams in `demands` that can still be on time; all of them where a
    /// priority level is missing.
    #[serde(
        default,
        skip_serializing_if = "OnTimeMap::is_empty",
        deserialize_with = "read_on_time"
    )]
    pub on_time: OnTimeMap,
    /// Requests that were refused recently, of services with several priorities.
    #[serde(default, skip_serializing_if = "RefusedFilter::is_empty")]
    pub refused: RefusedFilter,
}

impl LoadSum {
    /// Adds another load.
    fn add(&mut self, other: &Self) {
        self.combine_on_time(other, u32::saturating_add);
        self.crossing_tokens_per_s += other.crossing_tokens_per_s;
        for (name, load) in &other.loads {
            self.loads.entry(name.clone()).or_default().add(*load);
        }
        add_demands(&mut self.demands, &other.demands);
        self.refused.merge(&other.refused);
    }

    /// Subtracts another load, except for its refused requests, which the rest may contain as well.
    /// Endpoints without a load are dropped, as each total would contain
    /// every endpoint that was ever in use otherwise.
    fn remove(&mut self, other: &Self) {
        self.combine_on_time(other, u32::saturating_sub);
        self.crossing_tokens_per_s =
            (self.crossing_tokens_per_s - other.crossing_tokens_per_s).max(0.0);
        for (name, load) in &other.loads {
            let Some(sum) = self.loads.get_mut(name) else { continue };
            sum.remove(*load);
            if *sum == StageLoad::default() {
                self.loads.remove(name);
            }
        }
        remove_demands(&mut self.demands, &other.demands);
        let demands = &self.demands;
        self.on_time.retain(|service, levels| {
            let waiting = demands.get(service);
            levels.retain(|level, _| waiting.is_some_and(|waiting| waiting.contains_key(level)));
            !levels.is_empty()
        });
    }

    /// Combines the streams that can be on time with those of another load, for which the demands of
    /// both must be as before.
    fn combine_on_time(&mut self, other: &Self, combine: impl Fn(u32, u32) -> u32) {
        for (service, levels) in &other.demands {
            for (level, demand) in levels {
                let own = on_time_streams(&self.demands, &self.on_time, service, *level);
                let others = on_time_streams(&other.demands, &other.on_time, service, *level);
                let combined = combine(own, others.min(demand.sanitized().waiting));
                self.on_time.entry(service.clone()).or_default().insert(*level, combined);
            }
        }
    }
}

/// Sums the load reports of the hosts that exchange through this host.
#[derive(Debug, Default)]
pub struct LoadAggregator {
    reports: BTreeMap<HostName, (Instant, LoadSum)>,
    total: LoadSum,
}

impl LoadAggregator {
    /// Replaces a host's report and returns the total over all hosts, including that host. Removes
    /// reports that are too old.
    pub fn exchange(&mut self, host: HostName, report: LoadSum, now: Instant) -> &LoadSum {
        self.remove_old(now);
        if let Some((_, previous)) = self.reports.remove(&host) {
            self.total.remove(&previous);
        }
        self.total.add(&report);
        self.reports.insert(host, (now, report));
        self.collect_refused();
        &self.total
    }

    /// Total over all hosts that have reported recently.
    pub fn total(&mut self, now: Instant) -> &LoadSum {
        self.remove_old(now);
        &self.total
    }

    /// Whether any host has reported recently.
    pub fn has_reports(&mut self, now: Instant) -> bool {
        self.remove_old(now);
        !self.reports.is_empty()
    }

    fn remove_old(&mut self, now: Instant) {
        let is_old = |at: &Instant| now.saturating_duration_since(*at) >= MAX_REPORT_AGE;
        let old: Vec<_> =
            self.reports.iter().filter(|(_, (at, _))| is_old(at)).map(|(h, _)| h.clone()).collect();
        for host in old {
            if let Some((_, previous)) = self.reports.remove(&host) {
                self.total.remove(&previous);
            }
        }
        self.collect_refused();
    }

    /// Takes the refused requests of all reports anew, without those of former reports.
    fn collect_refused(&mut self) {
        self.total.refused = RefusedFilter::default();
        for (_, report) in self.reports.values() {
            self.total.refused.merge(&report.refused);
        }
    }
}

/// Loads that a relay combines: those of its members, its own, and those of all other hosts.
#[derive(Debug, Default)]
pub struct RelayLoads {
    members: LoadAggregator,
    outside: Option<(Instant, LoadSum)>,
}

impl RelayLoads {
    /// Whether other hosts exchange through this host.
    pub fn has_members(&mut self, now: Instant) -> bool {
        self.members.has_reports(now)
    }

    /// Load of this host, given as `own`, and of its members.
    pub fn group_total(&mut self, own: &LoadSum, now: Instant) -> LoadSum {
        let mut total = self.members.total(now).clone();
        total.add(own);
        total
    }

    /// Takes the holder's total over all hosts; `reported` is what it contains of this group.
    pub fn record_total(&mut self, mut total: LoadSum, reported: &LoadSum, now: Instant) {
        total.remove(reported);
        self.outside = Some((now, total));
    }

    /// Age of the holder's last total; zero if there is none, as on the holder.
    pub fn total_age(&self, now: Instant) -> Duration {
        let at = self.outside.as_ref().map(|(at, _)| *at);
        at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// Replaces a member's report and returns the total over all hosts: on the holder, the members
    /// are all of them. `None` while the last total from the holder is too old.
    pub fn exchange(
        &mut self,
        member: HostName,
        report: LoadSum,
        own: &LoadSum,
        is_holder: bool,
        now: Instant,
    ) -> Option<LoadSum> {
        self.members.exchange(member, report, now);
        let mut total = self.group_total(own, now);
        if is_holder {
            return Some(total);
        }
        let (at, outside) = self.outside.as_ref()?;
        if now.saturating_duration_since(*at) >= MAX_SNAPSHOT_AGE {
            return None;
        }
        total.add(outside);
        Some(total)
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
    /// Streams that callers ask for at all hosts.
    demands: DemandMap,
    /// Age that the total had at the exchange.
    total_age: Duration,
}

impl LoadSnapshot {
    /// Estimated load of the other hosts on an endpoint: `others` and `before` were theirs and that
    /// of this host at the exchange, `own` is that of this host now.
    fn estimate(&self, others: StageLoad, before: StageLoad, own: StageLoad) -> StageLoad {
        let (mut load, mut added) = (others, own);
        added.remove(before);
        added.scale(self.hosts.saturating_sub(1));
        load.add(added);
        load
    }
}

/// Reads the loads of endpoints in order of their names. Searches and admission go through all
/// endpoints in this order; a look-up in thousands of names for each would take most of their time.
#[derive(Debug)]
pub(crate) struct LoadCursor<'a> {
    rest: Peekable<btree_map::Iter<'a, EndpointName, StageLoad>>,
}

impl<'a> LoadCursor<'a> {
    pub(crate) fn new(loads: &'a LoadMap) -> Self {
        Self { rest: loads.iter().peekable() }
    }

    /// Load of an endpoint that is not before the one asked for last.
    pub(crate) fn load(&mut self, name: &str) -> StageLoad {
        while self.rest.next_if(|(next, _)| ***next < *name).is_some() {}
        let found = self.rest.peek().filter(|(next, _)| ***next == *name);
        found.map(|(_, load)| **load).unwrap_or_default()
    }
}

/// Loads of the last total, read in order of the endpoints' names.
#[derive(Debug)]
pub(crate) struct OrderedLoads<'a> {
    snapshot: &'a LoadSnapshot,
    others: LoadCursor<'a>,
    own: LoadCursor<'a>,
}

impl OrderedLoads<'_> {
    /// The same as [`PeerLoads::load`].
    pub(crate) fn load(&mut self, name: &str, own: StageLoad) -> StageLoad {
        self.snapshot.estimate(self.others.load(name), self.own.load(name), own)
    }

    /// The same as [`PeerLoads::total_load`].
    pub(crate) fn total_load(&mut self, name: &str) -> StageLoad {
        let mut load = self.others.load(name);
        load.add(self.own.load(name));
        load
    }
}

impl PeerLoads {
    /// Replaces the last total with a new one over `hosts` hosts; `own` is this host's part of it.
    pub fn update(&mut self, mut total: LoadSum, own: LoadSum, hosts: usize, now: Instant) {
        let demands = total.demands.clone();
        total.remove(&own);
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        let total_age = Duration::ZERO;
        self.latest = Some(LoadSnapshot {
            at: now,
            others: total,
            own: own.loads,
            hosts,
            demands,
            total_age,
        });
    }

    /// Sets the age that the last total had when this host got it from a relay.
    pub fn set_total_age(&mut self, age: Duration) {
        if let Some(snapshot) = &mut self.latest {
            snapshot.total_age = age;
        }
    }

    /// Load of all hosts on an endpoint, as the last total says; none if it is too old.
    pub fn total_load(&self, name: &str, now: Instant) -> Option<StageLoad> {
        let snapshot = self.fresh_snapshot(now)?;
        let mut load = snapshot.others.loads.get(name).copied().unwrap_or_default();
        load.add(snapshot.own.get(name).copied().unwrap_or_default());
        Some(load)
    }

    /// Load of the other hosts on an endpoint, as the last total says, and the age of that; none if
    /// it is too old.
    pub fn other_load(&self, name: &str, now: Instant) -> Option<(StageLoad, Duration)> {
        let snapshot = self.fresh_snapshot(now)?;
        let load = snapshot.others.loads.get(name).copied().unwrap_or_default();
        Some((load, snapshot.total_age + now.saturating_duration_since(snapshot.at)))
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
        let others = snapshot.others.loads.get(name).copied().unwrap_or_default();
        let before = snapshot.own.get(name).copied().unwrap_or_default();
        Some(snapshot.estimate(others, before, own))
    }

    /// Loads of the last total, to be read in order of the endpoints' names; none if it is too old.
    pub(crate) fn in_order(&self, now: Instant) -> Option<OrderedLoads<'_>> {
        let snapshot = self.fresh_snapshot(now)?;
        let (others, own) =
            (LoadCursor::new(&snapshot.others.loads), LoadCursor::new(&snapshot.own));
        Some(OrderedLoads { snapshot, others, own })
    }

    /// Number of streams of the other hosts; none if the last total is too old.
    pub fn streams(&self, now: Instant) -> Option<u32> {
        let snapshot = self.fresh_snapshot(now)?;
        let starts = snapshot.others.loads.values().map(|load| load.starts);
        Some(starts.fold(0, u32::saturating_add))
    }

    /// Tokens per second that the other hosts send between failure domains; 0 if the last total is
    /// too old.
    pub fn crossing_tokens_per_s(&self, now: Instant) -> f64 {
        self.fresh_snapshot(now).map_or(0.0, |snapshot| snapshot.others.crossing_tokens_per_s)
    }

    /// Streams of a service that callers ask for at all hosts, by priority level, and the age of
    /// this total; none if it is too old.
    pub fn demands(&self, service: &str, now: Instant) -> Option<(PriorityDemand, Duration)> {
        let snapshot = self.fresh_snapshot(now)?;
        let age = snapshot.total_age + now.saturating_duration_since(snapshot.at);
        let demand = snapshot.demands.get(service).cloned().unwrap_or_default();
        (age < MAX_SNAPSHOT_AGE).then_some((demand, age))
    }

    /// Streams of a service that callers ask for at the other hosts, by priority level; none if the
    /// last total is too old.
    pub fn other_demands(&self, service: &str, now: Instant) -> Option<PriorityDemand> {
        let snapshot = self.fresh_snapshot(now)?;
        Some(snapshot.others.demands.get(service).cloned().unwrap_or_default())
    }

    /// Waiting streams of a service at the other hosts that can still be on time, by priority level;
    /// none if the last total is too old.
    pub fn other_on_time(&self, service: &str, now: Instant) -> Option<BTreeMap<u8, u32>> {
        let LoadSum { demands, on_time, .. } = &self.fresh_snapshot(now)?.others;
        let levels = demands.get(service).into_iter().flat_map(PriorityDemand::keys);
        let streams = |level| on_time_streams(demands, on_time, service, level);
        Some(levels.map(|level| (*level, streams(*level))).collect())
    }

    /// Requests that hosts have refused recently, by the last total; none if that is too old.
    pub fn refused(&self, now: Instant) -> Option<&RefusedFilter> {
        self.fresh_snapshot(now).map(|snapshot| &snapshot.others.refused)
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
        Some(others) if own > 0 || others > 0 => {
            let by_streams = f64::from(own) / (f64::from(own) + f64::from(others));
            EQUAL_SHARE * equal + (1.0 - EQUAL_SHARE) * by_streams
        }
        _ => equal,
    }
}

/// A host's share of the retry budget, averaged over a time that grows with the number of hosts.
///
/// Answers to a load pattern: hundreds of hosts with a few streams each, whose number changes from
/// one second to the next. Shares that followed it at once would let each host spend the share of
/// its busiest moment, and the sum over all hosts exceed the budget. With few hosts, each has many
/// streams, and its share has to follow the loss of a host or an endpoint at once.
#[derive(Debug, Default)]
pub struct SmoothedShare {
    latest: Option<(Instant, f64)>,
}

impl SmoothedShare {
    /// Takes a new value of the share of one of `hosts` hosts; `window` is the window of the budget.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use jacinthrock_entry::SmoothedShare;
    /// use tokio::time::Instant;
    ///
    /// let (mut share, now) = (SmoothedShare::default(), Instant::now());
    /// let window = Duration::from_secs(10);
    /// assert_eq!(share.update(0.25, 200, window, now), 0.25);
    /// assert!(share.update(1.0, 200, window, now + Duration::from_millis(200)) < 0.3);
    /// ```
    pub fn update(&mut self, share: f64, hosts: usize, window: Duration, now: Instant) -> f64 {
        let smoothing_time = window.mul_f64((hosts as f64 / FULL_SMOOTHING_HOSTS).min(1.0));
        let average = match self.latest {
            Some((at, average)) if smoothing_time > Duration::ZERO => {
                let elapsed = now.saturating_duration_since(at);
                let weight = elapsed.div_duration_f64(smoothing_time).min(1.0);
                average + weight * (share - average)
            }
            _ => share,
        };
        self.latest = Some((now, average));
        average
    }

    /// The average after the last update.
    pub fn latest(&self) -> Option<f64> {
        self.latest.map(|(_, average)| average)
    }
}
