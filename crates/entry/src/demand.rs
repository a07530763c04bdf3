//! Counts of the streams that callers ask for, by service and priority.
//!
//! Answers to a load pattern: callers of different priority compete for insufficient capacity over
//! many hosts, of which each sees a few streams a second. A host's own counts say little about a
//! shortage; hosts therefore sum them in the exchange of loads.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthrock::ServiceName;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::Value;
use tokio::time::Instant;

/// Time over which rates are averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(2);
/// Number of priorities that levels distinguish; larger priority numbers count as the last.
const MAX_PRIORITIES: u8 = 10;
/// Number of priority levels: one for each pair of a priority and a route's own priority.
pub(crate) const MAX_LEVELS: u8 = MAX_PRIORITIES * MAX_PRIORITIES;
/// Upper bound on a rate from another host, far above what all engines of a deployment accept.
const MAX_RATE: f64 = 1e6;
/// Upper bound on a number of waiting streams from another host.
const MAX_WAITING: u32 = 1_000_000;
/// Maximum number of services in a report of another host.
const MAX_SERVICES: usize = 512;
/// Steps per unit to which rates are rounded, which keeps reports short. The rates of hundreds of
/// hosts are summed, so that coarser steps would hide a stream a second.
const RATE_STEPS: f64 = 10_000.0;
/// Sum below which a rate is a rounding error of additions and subtractions.
const NEGLIGIBLE_RATE: f64 = 1e-6;

/// Streams of one service and priority.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DemandCount {
    /// New streams that arrived, per second.
    pub arrived_per_s: f64,
    /// Streams that got a path, per second.
    pub started_per_s: f64,
    /// Those of them whose callers had returned, after a refusal or to resume a stream.
    pub returned_per_s: f64,
    /// Streams that wait for a path now.
    pub waiting: u32,
}

/// Streams of one service by priority level.
pub type PriorityDemand = BTreeMap<u8, DemandCount>;

/// Waiting streams that can still be on time, by service and priority level.
pub type OnTimeMap = BTreeMap<ServiceName, BTreeMap<u8, u32>>;

/// Streams by service and priority level.
pub type DemandMap = BTreeMap<ServiceName, PriorityDemand>;

impl DemandCount {
    /// The counts with every value that is not finite or negative replaced by 0, and every absurd
    /// one by a bound.
    ///
    /// ```
    /// use jacinthrock_entry::DemandCount;
    ///
    /// let forged = DemandCount { arrived_per_s: f64::NAN, ..DemandCount::default() };
    /// assert_eq!(forged.sanitized().arrived_per_s, 0.0);
    /// ```
    pub fn sanitized(self) -> Self {
        let rate = |value: f64| if value.is_finite() { value.clamp(0.0, MAX_RATE) } else { 0.0 };
        Self {
            arrived_per_s: rate(self.arrived_per_s),
            started_per_s: rate(self.started_per_s),
            returned_per_s: rate(self.returned_per_s),
            waiting: self.waiting.min(MAX_WAITING),
        }
    }

    /// Adds other counts.
    pub(crate) fn add(&mut self, other: Self) {
        let other = other.sanitized();
        self.arrived_per_s += other.arrived_per_s;
        self.started_per_s += other.started_per_s;
        self.returned_per_s += other.returned_per_s;
        self.waiting = self.waiting.saturating_add(other.waiting);
    }

    fn remove(&mut self, other: Self) {
        let other = other.sanitized();
        self.arrived_per_s = (self.arrived_per_s - other.arrived_per_s).max(0.0);
        self.started_per_s = (self.started_per_s - other.started_per_s).max(0.0);
        self.returned_per_s = (self.returned_per_s - other.returned_per_s).max(0.0);
        self.waiting = self.waiting.saturating_sub(other.waiting);
    }

    fn is_negligible(&self) -> bool {
        let rates = self.arrived_per_s + self.started_per_s;
        self.waiting == 0 && rates < NEGLIGIBLE_RATE
    }

    /// Reads the counts of another host; values that are no numbers count as 0.
    fn from_json(value: &Value) -> Self {
        let rate = |index| value.get(index).and_then(Value::as_f64).unwrap_or(0.0);
        let waiting = value.get(3).and_then(Value::as_u64).unwrap_or(0);
        let counts = Self {
            arrived_per_s: rate(0),
            started_per_s: rate(1),
            returned_per_s: rate(4),
            waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
        };
        counts.sanitized()
    }
}

impl Serialize for DemandCount {
    /// Writes the four numbers that the previous version reads, and a fifth where callers have
    /// returned. The third was the rate of refusals, which nothing reads.
    fn serialize<S: Serializer>(&self, writer: S) -> Result<S::Ok, S::Error> {
        const REFUSED: u8 = 0;
        let Self { arrived_per_s, started_per_s, returned_per_s, waiting } = *self;
        if returned_per_s == 0.0 {
            return (arrived_per_s, started_per_s, REFUSED, waiting).serialize(writer);
        }
        (arrived_per_s, started_per_s, REFUSED, waiting, returned_per_s).serialize(writer)
    }
}

/// Adds the counts of another map.
pub(crate) fn add_demands(total: &mut DemandMap, other: &DemandMap) {
    for (service, priorities) in other {
        let sums = total.entry(service.clone()).or_default();
        for (priority, count) in priorities {
            sums.entry(*priority).or_default().add(*count);
        }
    }
}

/// Subtracts the counts of another map, and removes what is then empty.
pub(crate) fn remove_demands(total: &mut DemandMap, other: &DemandMap) {
    for (service, priorities) in other {
        let Some(sums) = total.get_mut(service) else { continue };
        for (priority, count) in priorities {
            if let Some(sum) = sums.get_mut(priority) {
                sum.remove(*count);
            }
        }
        sums.retain(|_, sum| !sum.is_negligible());
        if sums.is_empty() {
            total.remove(service);
        }
    }
}

/// Reads the counts of another host. Leaves out what is not readable, so that it does not make the
/// rest of a report unreadable.
pub(crate) fn read_demands<'de, D: Deserializer<'de>>(reader: D) -> Result<DemandMap, D::Error> {
    let value = Value::deserialize(reader)?;
    let services = value.as_object().into_iter().flatten().take(MAX_SERVICES);
    let mut demands = DemandMap::new();
    for (service, priorities) in services {
        let sums = demands.entry(service.as_str().into()).or_default();
        for (priority, count) in priorities.as_object().into_iter().flatten() {
            let Ok(priority) = priority.parse() else { continue };
            sums.entry(known_level(priority)).or_default().add(DemandCount::from_json(count));
        }
    }
    demands.retain(|_, priorities| !priorities.is_empty());
    Ok(demands)
}

/// Reads the waiting streams that can still be on time at another host. Leaves out what is not
/// readable, as [`read_demands`] does.
pub(crate) fn read_on_time<'de, D: Deserializer<'de>>(reader: D) -> Result<OnTimeMap, D::Error> {
    let value = Value::deserialize(reader)?;
    let mut on_time = OnTimeMap::new();
    for (service, priorities) in value.as_object().into_iter().flatten().take(MAX_SERVICES) {
        for (priority, streams) in priorities.as_object().into_iter().flatten() {
            let (Ok(priority), Some(streams)) = (priority.parse(), streams.as_u64()) else {
                continue;
            };
            let sum = on_time.entry(service.as_str().into()).or_default();
            let sum: &mut u32 = sum.entry(known_level(priority)).or_default();
            *sum = sum.saturating_add(u32::try_from(streams).unwrap_or(u32::MAX));
        }
    }
    Ok(on_time)
}

/// Waiting streams of one priority level that can still be on time, out of those that wait. A host
/// of the previous version does not tell; any of its streams may be on time.
pub(crate) fn on_time_streams(
    demands: &DemandMap,
    on_time: &OnTimeMap,
    service: &str,
    level: u8,
) -> u32 {
    let demand = demands.get(service).and_then(|levels| levels.get(&level));
    let waiting = demand.map_or(0, |demand| demand.waiting);
    let known = on_time.get(service).and_then(|levels| levels.get(&level));
    known.map_or(waiting, |streams| waiting.min(*streams))
}

/// Level of streams with a priority on a route with a priority of its own. The priority of a customer
/// goes before that of the route; among the streams of customers with the same one, the route's tells
/// which are more urgent.
///
/// ```
/// use jacinthrock_entry::level_of;
///
/// assert_eq!((level_of(1, 0), level_of(1, 2), level_of(200, 3)), (10, 12, 93));
/// ```
pub fn level_of(priority: u8, route_priority: u8) -> u8 {
    let [priority, route_priority] =
        [priority, route_priority].map(|number| number.min(MAX_PRIORITIES - 1));
    priority * MAX_PRIORITIES + route_priority
}

/// A level, or the last one for numbers that name none, as other hosts may send.
pub(crate) fn known_level(level: u8) -> u8 {
    level.min(MAX_LEVELS - 1)
}

/// Counts the streams of this host, and averages their rates.
///
/// ```
/// use jacinthrock_entry::DemandMeter;
/// use tokio::time::Instant;
///
/// let (mut meter, now) = (DemandMeter::default(), Instant::now());
/// meter.record_arrived(&"a".into(), 1, now);
/// meter.join_queue(&"a".into(), 1, now);
/// let counts = meter.counts(now);
/// assert_eq!((counts["a"][&1].arrived_per_s, counts["a"][&1].waiting), (0.5, 1));
/// ```
#[derive(Debug, Default)]
pub struct DemandMeter {
    averages: BTreeMap<ServiceName, BTreeMap<u8, DemandAverage>>,
}

#[derive(Debug)]
struct DemandAverage {
    count: DemandCount,
    updated: Instant,
}

impl DemandAverage {
    fn decay(&mut self, now: Instant) -> &mut DemandCount {
        let elapsed = now.saturating_duration_since(self.updated);
        let factor = (-elapsed.div_duration_f64(AVERAGING_TIME)).exp();
        self.count.arrived_per_s *= factor;
        self.count.started_per_s *= factor;
        self.count.returned_per_s *= factor;
        self.updated = self.updated.max(now);
        &mut self.count
    }
}

impl DemandMeter {
    /// Records that a new stream arrived, unless its caller retries after a refusal: such a stream is
    /// always admitted, so that it would only reduce the shares of the others.
    pub fn record_arrived(&mut self, service: &ServiceName, priority: u8, now: Instant) {
        self.count(service, priority, now).arrived_per_s += single_rate();
    }

    /// Records that a new stream got its first path.
    pub fn record_started(&mut self, service: &ServiceName, priority: u8, now: Instant) {
        self.count(service, priority, now).started_per_s += single_rate();
    }

    /// Records that a stream got its first path whose caller had returned, so that it is not among
    /// those that arrived.
    pub fn record_returned(&mut self, service: &ServiceName, priority: u8, now: Instant) {
        let count = self.count(service, priority, now);
        count.started_per_s += single_rate();
        count.returned_per_s += single_rate();
    }

    /// Records that a stream has begun to wait for a path.
    pub fn join_queue(&mut self, service: &ServiceName, priority: u8, now: Instant) {
        self.count(service, priority, now).waiting += 1;
    }

    /// Records that a stream no longer waits.
    pub fn leave_queue(&mut self, service: &ServiceName, priority: u8, now: Instant) {
        let count = self.count(service, priority, now);
        count.waiting = count.waiting.saturating_sub(1);
    }

    /// The averages at a time; leaves out and forgets what has ended.
    pub fn counts(&mut self, now: Instant) -> DemandMap {
        let round = |rate: f64| (rate * RATE_STEPS).round() / RATE_STEPS;
        let mut counts = DemandMap::new();
        for (service, priorities) in &mut self.averages {
            for (priority, average) in &mut *priorities {
                let count = *average.decay(now);
                let rounded = DemandCount {
                    arrived_per_s: round(count.arrived_per_s),
                    started_per_s: round(count.started_per_s),
                    returned_per_s: round(count.returned_per_s),
                    waiting: count.waiting,
                };
                if !rounded.is_negligible() {
                    counts.entry(service.clone()).or_default().insert(*priority, rounded);
                }
            }
            priorities.retain(|_, average| !average.count.is_negligible());
        }
        self.averages.retain(|_, priorities| !priorities.is_empty());
        counts
    }

    fn count(&mut self, service: &ServiceName, priority: u8, now: Instant) -> &mut DemandCount {
        let averages = self.averages.entry(service.clone()).or_default();
        let new = || DemandAverage { count: DemandCount::default(), updated: now };
        averages.entry(known_level(priority)).or_insert_with(new).decay(now)
    }
}

/// Rate to which one stream adds.
fn single_rate() -> f64 {
    1.0 / AVERAGING_TIME.as_secs_f64()
}
