//! Decides which new streams are admitted while callers compete for insufficient capacity.
//!
//! Answers to a load pattern: for seconds, far more streams arrive than the engines can start, at
//! many hosts that each see a few of them. If every stream waited for a path, streams of any
//! priority would take the last starts, and most would be refused only after their caller no longer
//! benefits. Each host therefore computes the same level from the same totals over all hosts: the
//! share of new streams of each priority that is admitted. The others are refused at once.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthrock::{DomainName, ServiceName};
use tokio::time::Instant;

use crate::demand::{DemandCount, MAX_LEVELS, PriorityDemand, known_level};
use crate::endpoints::LayerSpan;
use crate::loads::MAX_SNAPSHOT_AGE;
use crate::returns::{MAX_JITTER_FACTOR, MAX_SHARE_OF_REMAINING, shortage_delay};
use crate::routing::MAX_OCCUPANCY;

/// Usage below which all streams are admitted if none waits.
const ADMIT_ALL_USAGE: f64 = 0.75;
/// Usage that the admitted streams bring about; the rest absorbs what arrives between two exchanges.
const TARGET_USAGE: f64 = 0.9;
/// Share of its streams that each priority is admitted in any case, so that none is starved and no
/// forged total blocks a service.
const MIN_SHARE: f64 = 0.4;
/// Bounds of the factor by which the size of a request changes its chance to be refused. A kind may
/// consist of large requests, so that `MIN_SHARE` holds for each size.
const SIZE_FACTORS: (f64, f64) = (0.75, 1.25);
/// Time over which shares are averaged. Unaveraged, the share of the last priority deviated from its
/// mean by 0.2 under steady load, from the chance of single arrivals and refusals.
const SMOOTHING_TIME: Duration = Duration::from_secs(2);
/// Distance at which an averaged share takes the new value, so that it ends at 1.
const MIN_SHARE_STEP: f64 = 0.005;
/// Shortest time between two reports of a service's level.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Smallest change of a share that is reported.
const MIN_REPORTED_CHANGE: f64 = 0.01;

/// What is in use of an endpoint that holds layers, and what it has.
#[derive(Clone, Debug)]
pub struct StageCapacity {
    /// Failure domain.
    pub domain: DomainName,
    /// Layers that it holds.
    pub span: LayerSpan,
    /// Requests that it runs concurrently as a first stage.
    pub slots: u32,
    /// Streams whose path starts at it.
    pub starts: u32,
    /// KV cache in use, in tokens times layers.
    pub token_layers: u64,
    /// KV cache, in tokens times layers.
    pub kv_capacity: f64,
}

/// Usage of a service: the larger of the starts in use and of the KV cache in use at the tightest
/// layer, as shares of what its endpoints have. A layer that no endpoint holds is left out, since
/// refusals would not help then.
///
/// ```
/// use jacinthrock_entry::{LayerSpan, StageCapacity, service_usage};
///
/// let span = LayerSpan { from: 0, to: 8 };
/// let stage = StageCapacity {
///     domain: "north".into(),
///     span,
///     slots: 100,
///     starts: 19,
///     token_layers: 60,
///     kv_capacity: 100.0,
/// };
/// assert_eq!(service_usage(8, &[stage]), 0.6);
/// ```
pub fn service_usage<'a>(layers: u16, stages: impl IntoIterator<Item = &'a StageCapacity>) -> f64 {
    let stages: Vec<_> = stages.into_iter().collect();
    let first = stages.iter().filter(|stage| stage.span.holds(0));
    let (starts, slots) = first.fold((0.0, 0.0), |(starts, slots), stage| {
        (starts + f64::from(stage.starts), slots + f64::from(stage.slots) * MAX_OCCUPANCY)
    });
    let layer_usage = (0..layers).map(|layer| {
        let holders = stages.iter().filter(|stage| stage.span.holds(layer));
        let (used, capacity) = holders.fold((0.0, 0.0), |(used, capacity), stage| {
            let count = f64::from(stage.span.count());
            (used + stage.token_layers as f64 / count, capacity + stage.kv_capacity / count)
        });
        ratio(used, capacity)
    });
    layer_usage.fold(ratio(starts, slots), f64::max)
}

/// Usage of a service whose streams stay within one failure domain: the lowest [`service_usage`] of
/// the domains that hold every layer, since a stream may start in any of them, and never less than
/// that over all endpoints. If no domain holds every layer, it is the latter.
///
/// Layers that are full in one domain each leave no domain with a whole path, while each layer has
/// room over all domains: the usage over all endpoints alone showed a shortage only once the queues
/// were long.
///
/// ```
/// use jacinthrock_entry::{LayerSpan, StageCapacity, domain_usage, service_usage};
///
/// let stage = |domain: &str, from, token_layers| StageCapacity {
///     domain: domain.into(),
///     span: LayerSpan { from, to: from + 4 },
///     slots: 100,
///     starts: 0,
///     token_layers,
///     kv_capacity: 100.0,
/// };
/// let stages =
///     [stage("north", 0, 100), stage("north", 4, 0), stage("south", 0, 0), stage("south", 4, 90)];
/// assert_eq!(service_usage(8, &stages), 0.5);
/// assert_eq!(domain_usage(8, &stages), 0.9);
/// ```
pub fn domain_usage(layers: u16, stages: &[StageCapacity]) -> f64 {
    let mut by_domain: BTreeMap<&str, Vec<&StageCapacity>> = BTreeMap::new();
    for stage in stages {
        by_domain.entry(&stage.domain).or_default().push(stage);
    }
    let complete = by_domain.into_values().filter(|stages| holds_every_layer(layers, stages));
    let usages = complete.map(|stages| service_usage(layers, stages));
    let all = service_usage(layers, stages);
    usages.reduce(f64::min).map_or(all, |lowest| lowest.max(all))
}

fn holds_every_layer(layers: u16, stages: &[&StageCapacity]) -> bool {
    (0..layers).all(|layer| stages.iter().any(|stage| stage.span.holds(layer)))
}

/// Usage of a service as its queues show it: 1 where streams wait for as long as an on-time answer
/// allows, whatever its endpoints lack. A service whose starts and KV cache are half free may still
/// be unable to start more streams, as when no failure domain has a whole path left and the link
/// between them is full.
///
/// ```
/// use std::time::Duration;
///
/// use jacinthrock_entry::{DemandCount, queue_usage};
///
/// let count = DemandCount { started_per_s: 100.0, waiting: 20, ..DemandCount::default() };
/// assert_eq!(queue_usage(&[(0, count)].into(), Duration::from_millis(400)), 0.5);
/// ```
pub fn queue_usage(demand: &PriorityDemand, on_time_wait: Duration) -> f64 {
    let DemandCount { started_per_s, waiting, .. } = total_demand(demand);
    let wait_s = ratio(f64::from(waiting), started_per_s);
    ratio(wait_s, on_time_wait.as_secs_f64()).min(1.0)
}

fn ratio(used: f64, capacity: f64) -> f64 {
    if capacity > 0.0 { used / capacity } else { 0.0 }
}

/// Shares of new streams that are admitted, by priority level.
///
/// ```
/// use jacinthrock_entry::{DemandCount, admitted_shares};
///
/// let count = |arrived_per_s| DemandCount {
///     arrived_per_s,
///     started_per_s: 60.0,
///     ..DemandCount::default()
/// };
/// let shares = admitted_shares(0.9, &[(0, count(70.0)), (1, count(80.0))].into());
/// assert_eq!(shares[..2], [1.0, 0.625]);
/// ```
pub fn admitted_shares(usage: f64, demand: &PriorityDemand) -> [f64; MAX_LEVELS as usize] {
    let arrived: [f64; MAX_LEVELS as usize] =
        std::array::from_fn(|level| arrived(demand, level as u8));
    let total = total_demand(demand);
    let mut shares = [1.0; MAX_LEVELS as usize];
    if is_calm(usage, &total) {
        return shares;
    }
    // A returned stream is late, and goes behind new ones that can be on time: these can take the
    // starts of all. Without the starts of returned streams, a lower share lets more of them start,
    // which lowers it further: 0.963 of priority 0 were on time at 2.2 times the usual load.
    let accepted_per_s = total.started_per_s * TARGET_USAGE / usage;
    let reserved: f64 = arrived.iter().map(|arrived| arrived * MIN_SHARE).sum();
    let mut left = (accepted_per_s - reserved).max(0.0);
    for (share, arrived) in shares.iter_mut().zip(arrived) {
        let wanted = arrived * (1.0 - MIN_SHARE);
        if wanted > left {
            *share = MIN_SHARE + left / arrived;
        } else if left <= 0.0 {
            *share = MIN_SHARE;
        }
        left = (left - wanted).max(0.0);
    }
    shares
}

/// Whether all streams are to be admitted: usage is low and nothing waits. Also if nothing has
/// started at low usage, which leaves open at what rate the engines accept streams, and if the total
/// has no arrivals, as from a holder of a version that does not know them.
fn is_calm(usage: f64, total: &DemandCount) -> bool {
    let is_unused = !usage.is_finite() || usage <= 0.0 || total.arrived_per_s <= 0.0;
    let is_idle = total.waiting == 0 || total.started_per_s <= 0.0;
    is_unused || (usage < ADMIT_ALL_USAGE && is_idle)
}

/// Streams that arrive per second, of the priorities that belong to a level.
fn arrived(demand: &PriorityDemand, level: u8) -> f64 {
    let counts = demand.iter().filter(|(priority, _)| known_level(**priority) == level);
    counts.map(|(_, count)| count.sanitized().arrived_per_s).sum()
}

/// Streams of all priorities.
fn total_demand(demand: &PriorityDemand) -> DemandCount {
    let mut total = DemandCount::default();
    demand.values().for_each(|count| total.add(*count));
    total
}

/// A new stream that asks to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct NewStream {
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Tokens of its request and answer, as expected.
    pub tokens: u32,
    /// Tokens of a typical stream of the service.
    pub mean_tokens: u32,
    /// Whether its caller retries after a refusal.
    pub is_retried: bool,
    /// Time until its deadline.
    pub remaining: Duration,
}

impl NewStream {
    /// Factor by which the refused share is multiplied: larger requests are refused first.
    fn size_factor(&self) -> f64 {
        if self.mean_tokens == 0 {
            return 1.0;
        }
        let (min, max) = SIZE_FACTORS;
        (f64::from(self.tokens) / f64::from(self.mean_tokens)).clamp(min, max)
    }
}

/// Refusal of a new stream, with the level that it rests on.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error(
    "capacity is short: share {share:.3} of level {priority} is admitted, usage {usage:.3}, \
     age {} ms",
    age.as_millis()
)]
pub struct AdmissionRefusal {
    /// Priority level of the stream.
    pub priority: u8,
    /// Share of new streams of its priority that is admitted.
    pub share: f64,
    /// Usage of the service.
    pub usage: f64,
    /// Age of the total that the level was computed from.
    pub age: Duration,
    /// Shortest delay after which the caller is to return.
    pub min_delay: Duration,
}

/// Inputs of a service's level.
#[derive(Clone, Copy, Debug)]
pub struct LevelInputs<'a> {
    /// Usage of the service; see [`domain_usage`].
    pub usage: f64,
    /// Streams that callers ask for at all hosts.
    pub demand: &'a PriorityDemand,
    /// Age of that total.
    pub age: Duration,
}

/// A share that has changed since the last report, with the inputs of the level.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LevelChange {
    /// Priority level.
    pub priority: u8,
    /// Share of new streams that is admitted.
    pub share: f64,
    /// Usage of the service.
    pub usage: f64,
    /// Streams of this priority that arrive at all hosts, per second.
    pub arrived_per_s: f64,
    /// Streams of all priorities that get a path, per second.
    pub started_per_s: f64,
    /// Those of them whose callers had returned, and are not among the arrivals.
    pub returned_per_s: f64,
    /// Streams of all priorities that wait.
    pub waiting: u32,
    /// Age of the total.
    pub age: Duration,
}

/// Level of one service.
#[derive(Debug)]
struct ServiceLevel {
    shares: [f64; MAX_LEVELS as usize],
    usage: f64,
    /// Time of the last update from a recent total.
    updated: Option<Instant>,
    /// Time of the total that the level was computed from; none if there was no recent one.
    total_at: Option<Instant>,
    /// Shares last reported, of the priorities that have occurred.
    reported: BTreeMap<u8, f64>,
    reported_at: Option<Instant>,
}

impl Default for ServiceLevel {
    fn default() -> Self {
        Self {
            shares: [1.0; MAX_LEVELS as usize],
            usage: 0.0,
            updated: None,
            total_at: None,
            reported: BTreeMap::new(),
            reported_at: None,
        }
    }
}

impl ServiceLevel {
    /// Age of the total; none if it is too old for the level to count.
    fn age(&self, now: Instant) -> Option<Duration> {
        let age = now.saturating_duration_since(self.total_at?);
        (age < MAX_SNAPSHOT_AGE).then_some(age)
    }

    /// Moves the shares towards those of new inputs. When the shortage is over or the total too
    /// old, all streams are admitted at once.
    fn smooth_shares(&mut self, inputs: Option<LevelInputs<'_>>, now: Instant) {
        let short = inputs.filter(|inputs| !is_calm(inputs.usage, &total_demand(inputs.demand)));
        let Some(inputs) = short else {
            self.shares = [1.0; MAX_LEVELS as usize];
            self.updated = inputs.map(|_| now);
            return;
        };
        let last = self.updated.replace(now);
        let elapsed = last.map_or(Duration::MAX, |at| now.saturating_duration_since(at));
        let weight = 1.0 - (-elapsed.div_duration_f64(SMOOTHING_TIME)).exp();
        let shares = admitted_shares(inputs.usage, inputs.demand);
        for (average, share) in self.shares.iter_mut().zip(shares) {
            *average += weight * (share - *average);
            if (share - *average).abs() < MIN_SHARE_STEP {
                *average = share;
            }
        }
    }

    /// Shares of the priorities that have occurred and have changed since the last report.
    fn take_changes(&mut self, inputs: Option<LevelInputs<'_>>, now: Instant) -> Vec<LevelChange> {
        let demand = inputs.map(|inputs| inputs.demand);
        for priority in demand.into_iter().flat_map(PriorityDemand::keys) {
            self.reported.entry(known_level(*priority)).or_insert(1.0);
        }
        let last = self.reported_at;
        if last.is_some_and(|at| now.saturating_duration_since(at) < REPORT_INTERVAL) {
            return Vec::new();
        }
        let total = demand.map(total_demand).unwrap_or_default();
        let mut changes = Vec::new();
        for (priority, reported) in &mut self.reported {
            let share = self.shares[usize::from(*priority)];
            let is_restored = share >= 1.0 && *reported < 1.0;
            if (share - *reported).abs() < MIN_REPORTED_CHANGE && !is_restored {
                continue;
            }
            *reported = share;
            changes.push(LevelChange {
                priority: *priority,
                share,
                usage: self.usage,
                arrived_per_s: demand.map_or(0.0, |demand| arrived(demand, *priority)),
                started_per_s: total.started_per_s,
                returned_per_s: total.returned_per_s,
                waiting: total.waiting,
                age: inputs.map_or(MAX_SNAPSHOT_AGE, |inputs| inputs.age),
            });
        }
        if !changes.is_empty() {
            self.reported_at = Some(now);
        }
        changes
    }
}

/// Levels of all services whose streams have different priorities.
#[derive(Debug, Default)]
pub struct AdmissionTable {
    levels: BTreeMap<ServiceName, ServiceLevel>,
}

impl AdmissionTable {
    /// Computes the level of a service from the latest totals, or admits all if there are none.
    /// Returns the changes to report, at most once a second.
    pub fn update(
        &mut self,
        service: &ServiceName,
        inputs: Option<LevelInputs<'_>>,
        now: Instant,
    ) -> Vec<LevelChange> {
        let level = self.levels.entry(service.clone()).or_default();
        let fresh = inputs.filter(|inputs| inputs.age < MAX_SNAPSHOT_AGE);
        level.usage = fresh.map_or(0.0, |inputs| inputs.usage);
        level.total_at = fresh.and_then(|inputs| now.checked_sub(inputs.age));
        level.smooth_shares(fresh, now);
        level.take_changes(fresh, now)
    }

    /// Forgets services whose streams no longer have different priorities; returns the priorities
    /// that had occurred.
    pub fn remove_others(&mut self, is_kept: impl Fn(&str) -> bool) -> Vec<(ServiceName, u8)> {
        let mut removed = Vec::new();
        self.levels.retain(|service, level| {
            let is_kept = is_kept(service);
            if !is_kept {
                removed.extend(level.reported.keys().map(|priority| (service.clone(), *priority)));
            }
            is_kept
        });
        removed
    }

    /// Shares of a service by priority, of those that have occurred.
    pub fn shares(&self, service: &str) -> BTreeMap<u8, f64> {
        let level = self.levels.get(service);
        let priorities = level.into_iter().flat_map(|level| {
            level.reported.keys().map(|priority| (*priority, level.shares[usize::from(*priority)]))
        });
        priorities.collect()
    }

    /// Decides whether a new stream may look for a path; `draw` is a random number from 0 to 1.
    /// Streams that were refused before are always admitted, since their callers do not return a
    /// second time.
    pub fn admit(
        &self,
        service: &str,
        stream: &NewStream,
        draw: f64,
        now: Instant,
    ) -> Result<(), AdmissionRefusal> {
        let Some(level) = self.levels.get(service).filter(|_| !stream.is_retried) else {
            return Ok(());
        };
        let Some(age) = level.age(now) else { return Ok(()) };
        let priority = known_level(stream.priority);
        let share = level.shares[usize::from(priority)];
        let refused_share = ((1.0 - share) * stream.size_factor()).min(1.0 - MIN_SHARE);
        if draw >= refused_share {
            return Ok(());
        }
        // The delay is prolonged by up to the jitter factor, and must stay below the limit then.
        let longest = stream.remaining.mul_f64(MAX_SHARE_OF_REMAINING / MAX_JITTER_FACTOR);
        let min_delay = shortage_delay(1.0 - share).min(longest);
        Err(AdmissionRefusal { priority, share, usage: level.usage, age, min_delay })
    }
}
