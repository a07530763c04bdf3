//! Rate limits that endpoints have named, and this host's permits to send requests to them.
//!
//! An endpoint in need names the requests per second that it takes from all hosts together. This is
//! a rate limit, apart from the memory and the slots of an endpoint. Each request to such an
//! endpoint takes a permit. Hosts draw permits from the holder of the placement lease (`permits.rs`)
//! by their demand, and return those that they have not used. A host that does not hear the holder
//! issues itself the share of one host among all.
//!
//! Answers to the load pattern of many hosts that prefer the same endpoint: each of them alone is
//! below the limit, their sum is far above it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use jacinthrock::EndpointName;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::notices::EndpointStart;

/// Time for which a permit can be used.
const PERMIT_LIFETIME: Duration = Duration::from_secs(1);
/// Time over which demand is averaged.
const DEMAND_TIME: Duration = Duration::from_secs(2);
/// Time whose demand is kept in permits: two exchanges and the way through a relay.
const STOCK_TIME: Duration = Duration::from_millis(500);
/// Time in whose expected demand of at least one request a host keeps one permit.
const SINGLE_STOCK_TIME: Duration = Duration::from_secs(2);
/// Lowest rate that is kept to, in requests per second: an endpoint that takes none is asked this
/// often whether that is still so.
const MIN_RATE: f64 = 0.05;
/// Shortest time between two changes of an endpoint's limit that are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which other hosts are told that a limit has ended.
const LIFTED_MEMORY: Duration = Duration::from_secs(10);
/// Time after which the record of an endpoint without a limit is dropped.
const IDLE_MEMORY: Duration = Duration::from_secs(30);

/// Identifier of an observation: that of the observing process, and a number.
pub type ObservationId = (u64, u64);

/// Last that is known of an endpoint's rate limit, as hosts tell one another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SharedRate {
    /// Endpoint.
    pub endpoint: EndpointName,
    /// Its start time, in ms since the Unix epoch.
    pub start_unix_ms: u64,
    /// Requests per second that it takes from all hosts together; none if its limit has ended.
    pub limit_per_s: Option<f64>,
    /// Observation that this rests on.
    pub observation: ObservationId,
    /// Time since the observation, in ms.
    pub age_ms: u64,
}

/// A host's or a group's draw of permits for one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitDraw {
    /// Endpoint.
    pub endpoint: EndpointName,
    /// Its start time, in ms since the Unix epoch.
    pub start_unix_ms: u64,
    /// Number of permits that would be used soon; a part of one stands for its probability.
    pub wanted: f64,
    /// Permits that are left.
    pub held: u32,
    /// Permits that were not used in time.
    pub returned: u32,
}

impl PermitDraw {
    /// Whether the draw has any effect.
    pub(crate) fn has_effect(&self) -> bool {
        self.wanted > 0.0 || self.held > 0 || self.returned > 0
    }
}

/// Permits for one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitGrant {
    /// Endpoint.
    pub endpoint: EndpointName,
    /// Its start time, in ms since the Unix epoch.
    pub start_unix_ms: u64,
    /// Number of permits.
    pub permits: u32,
}

/// Change of what is known of an endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateChange {
    /// Limit before, in requests per second.
    pub before: Option<f64>,
    /// Limit from now on, in requests per second.
    pub after: Option<f64>,
    /// Requests that this host has sent under the limit before.
    pub sent: u32,
    /// Requests that this host has not sent to the endpoint because of it.
    pub held_back: u32,
    /// Whether to log the change: an endpoint may change its limit in each answer.
    pub is_logged: bool,
}

#[derive(Clone, Copy, Debug)]
struct RateObservation {
    limit_per_s: Option<f64>,
    at: Instant,
    id: ObservationId,
}

/// Average rate of events.
#[derive(Clone, Copy, Debug)]
struct RateMeter {
    per_s: f64,
    at: Instant,
}

impl RateMeter {
    fn new(now: Instant) -> Self {
        Self { per_s: 0.0, at: now }
    }

    fn record(&mut self, count: f64, now: Instant) {
        self.per_s = self.value(now) + count / DEMAND_TIME.as_secs_f64();
        self.at = now;
    }

    /// Events per second.
    fn value(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.per_s * (-age.div_duration_f64(DEMAND_TIME)).exp()
    }
}

/// What is known of one start of an endpoint.
#[derive(Clone, Debug)]
struct EndpointRate {
    start_unix_ms: u64,
    observation: Option<RateObservation>,
    demand: RateMeter,
    granted: RateMeter,
    /// Ends of the permits that are left, the earliest first.
    permits: VecDeque<Instant>,
    /// Requests that were sent without a permit since the limit is known.
    debt: u32,
    returned: u32,
    sent: u32,
    held_back: u32,
    /// Part of a permit that this host has issued itself, and up to which time.
    self_issued: Option<(f64, Instant)>,
    logged_at: Option<Instant>,
}

impl EndpointRate {
    fn new(start_unix_ms: u64, now: Instant) -> Self {
        Self {
            start_unix_ms,
            observation: None,
            demand: RateMeter::new(now),
            granted: RateMeter::new(now),
            permits: VecDeque::new(),
            debt: 0,
            returned: 0,
            sent: 0,
            held_back: 0,
            self_issued: None,
            logged_at: None,
        }
    }

    fn limit_per_s(&self) -> Option<f64> {
        self.observation?.limit_per_s
    }

    /// Limit that is kept to.
    fn kept_per_s(&self) -> Option<f64> {
        self.limit_per_s().map(|limit| limit.max(MIN_RATE))
    }

    /// Permits that can be used, after those that others have to make up for.
    fn available(&self, now: Instant) -> usize {
        let valid = self.permits.iter().filter(|end| now < **end).count();
        valid.saturating_sub(self.debt as usize)
    }

    fn may_send(&self, now: Instant) -> bool {
        self.limit_per_s().is_none() || self.available(now) > 0
    }

    fn add_permits(&mut self, count: u32, now: Instant) {
        let paid = count.min(self.debt);
        self.debt -= paid;
        self.permits.extend((paid..count).map(|_| now + PERMIT_LIFETIME));
    }

    fn return_expired(&mut self, now: Instant) {
        while self.permits.front().is_some_and(|end| *end <= now) {
            self.permits.pop_front();
            self.returned += 1;
        }
    }

    /// Number of permits that would be used soon, beyond those that are left.
    fn wanted(&self, now: Instant) -> f64 {
        let demand = self.demand.value(now);
        let single = (demand * SINGLE_STOCK_TIME.as_secs_f64()).min(1.0);
        let stock = (demand * STOCK_TIME.as_secs_f64()).max(single);
        (stock + f64::from(self.debt) - self.permits.len() as f64).max(0.0)
    }

    fn set_observation(
        &mut self,
        observation: RateObservation,
        now: Instant,
    ) -> Option<RateChange> {
        let before = self.limit_per_s();
        self.observation = Some(observation);
        let after = observation.limit_per_s;
        let is_logged = self.logged_at.is_none_or(|at| now - at >= LOG_INTERVAL);
        let (sent, held_back) = (self.sent, self.held_back);
        let change = RateChange { before, after, sent, held_back, is_logged };
        if before != after && is_logged {
            self.logged_at = Some(now);
        }
        if after.is_none() {
            self.permits.clear();
            self.self_issued = None;
            (self.debt, self.returned, self.sent, self.held_back) = (0, 0, 0, 0);
        }
        (before != after).then_some(change)
    }
}

/// Rate limits of endpoints, with this host's permits and demand, by name.
///
/// ```
/// use jacinthrock_entry::{EndpointStart, PermitGrant, RateTable};
/// use tokio::time::Instant;
///
/// let (mut table, now) = (RateTable::new(7), Instant::now());
/// let name = "i-1".into();
/// let endpoint = EndpointStart { name: &name, start_unix_ms: 5 };
/// assert!(table.may_send(endpoint, now));
/// table.observe_limit(endpoint, 9.0, now);
/// assert!(!table.may_send(endpoint, now));
/// table.grant(&PermitGrant { endpoint: name.clone(), start_unix_ms: 5, permits: 1 }, now);
/// assert!(table.may_send(endpoint, now));
/// table.take(endpoint, now);
/// assert!(!table.may_send(endpoint, now));
/// ```
#[derive(Debug)]
pub struct RateTable {
    process: u64,
    observations: u64,
    by_name: BTreeMap<EndpointName, EndpointRate>,
}

impl RateTable {
    /// Creates an empty table; `process` identifies the process among those of all hosts.
    pub fn new(process: u64) -> Self {
        Self { process, observations: 0, by_name: BTreeMap::new() }
    }

    /// Records that an endpoint has named a limit, in requests per second; returns what changed.
    pub fn observe_limit(
        &mut self,
        endpoint: EndpointStart<'_>,
        limit_per_s: f64,
        now: Instant,
    ) -> Option<RateChange> {
        let observation = self.observation(Some(limit_per_s), now);
        self.rate(endpoint, now)?.set_observation(observation, now)
    }

    /// Records that an endpoint has answered a request of `sent_at` without naming a limit; returns
    /// what changed. Answers to requests that were sent before the limit was last named may be older
    /// than it.
    pub fn observe_no_limit(
        &mut self,
        endpoint: EndpointStart<'_>,
        sent_at: Instant,
        now: Instant,
    ) -> Option<RateChange> {
        let named = self.find(endpoint)?.observation?;
        if named.limit_per_s.is_none() || sent_at <= named.at {
            return None;
        }
        let observation = self.observation(None, now);
        self.rate(endpoint, now)?.set_observation(observation, now)
    }

    /// Whether a request may be sent to an endpoint at present.
    pub fn may_send(&self, endpoint: EndpointStart<'_>, now: Instant) -> bool {
        self.find(endpoint).is_none_or(|rate| rate.may_send(now))
    }

    /// Requests per second that an endpoint takes from all hosts together, if it has named a limit.
    pub fn limit_per_s(&self, endpoint: EndpointStart<'_>) -> Option<f64> {
        self.find(endpoint)?.limit_per_s()
    }

    /// Takes a permit for a request that is being sent. One that is sent without a permit is made up
    /// for by the next ones; returns whether there was one.
    pub fn take(&mut self, endpoint: EndpointStart<'_>, now: Instant) -> bool {
        let Some(rate) = self.rate(endpoint, now) else { return true };
        rate.demand.record(1.0, now);
        if rate.limit_per_s().is_none() {
            return true;
        }
        rate.return_expired(now);
        rate.sent += 1;
        let has_permit = rate.permits.pop_front().is_some();
        rate.debt += u32::from(!has_permit);
        has_permit
    }

    /// Gives back the permit of a request that did not reach its endpoint.
    pub fn give_back(&mut self, endpoint: EndpointStart<'_>, now: Instant) {
        let rate = self.rate(endpoint, now).filter(|rate| rate.limit_per_s().is_some());
        if let Some(rate) = rate {
            rate.sent = rate.sent.saturating_sub(1);
            rate.add_permits(1, now);
        }
    }

    /// Records a request that an endpoint would have got but for its limit.
    pub fn record_held_back(&mut self, endpoint: EndpointStart<'_>, now: Instant) {
        if let Some(rate) = self.rate(endpoint, now) {
            rate.demand.record(1.0, now);
            rate.held_back += 1;
        }
    }

    /// Endpoints whose limit leaves no request at present.
    pub fn exhausted(&self, now: Instant) -> impl Iterator<Item = EndpointStart<'_>> {
        let exhausted = self.by_name.iter().filter(move |(_, rate)| !rate.may_send(now));
        exhausted.map(|(name, rate)| EndpointStart { name, start_unix_ms: rate.start_unix_ms })
    }

    /// Expected time until this host, one of `hosts`, gets a permit for an endpoint that takes no
    /// request at present, with `ahead` requests that wait for one before; none if it takes one.
    pub fn permit_delay(
        &self,
        endpoint: EndpointStart<'_>,
        hosts: usize,
        ahead: u32,
        now: Instant,
    ) -> Option<Duration> {
        let rate = self.find(endpoint).filter(|rate| !rate.may_send(now))?;
        let equal_share = rate.kept_per_s()? / hosts.max(1) as f64;
        let interval = Duration::from_secs_f64(rate.granted.value(now).max(equal_share).recip());
        Some(interval.saturating_mul(ahead.saturating_add(1)))
    }

    /// Limits that are kept to, in requests per second.
    pub fn limits(&self) -> impl Iterator<Item = (EndpointStart<'_>, f64)> {
        self.by_name.iter().filter_map(|(name, rate)| {
            let start = EndpointStart { name, start_unix_ms: rate.start_unix_ms };
            Some((start, rate.kept_per_s()?))
        })
    }

    /// What this host draws of permits, and returns. Permits that a draw returns are gone even if
    /// the draw gets lost.
    pub fn draws(&mut self, now: Instant) -> Vec<PermitDraw> {
        let limited = self.by_name.iter_mut().filter(|(_, rate)| rate.limit_per_s().is_some());
        let draws = limited.map(|(name, rate)| {
            rate.return_expired(now);
            PermitDraw {
                endpoint: name.clone(),
                start_unix_ms: rate.start_unix_ms,
                wanted: rate.wanted(now),
                held: rate.permits.len() as u32,
                returned: std::mem::take(&mut rate.returned),
            }
        });
        draws.filter(PermitDraw::has_effect).collect()
    }

    /// Adds permits.
    pub fn grant(&mut self, grant: &PermitGrant, now: Instant) {
        let rate = self.by_name.get_mut(&grant.endpoint).filter(|rate| {
            rate.start_unix_ms == grant.start_unix_ms && rate.limit_per_s().is_some()
        });
        if let Some(rate) = rate {
            rate.granted.record(f64::from(grant.permits), now);
            rate.add_permits(grant.permits, now);
        }
    }

    /// Ends the issue of an own share, since the other hosts are heard again.
    pub fn end_share(&mut self) {
        self.by_name.values_mut().for_each(|rate| rate.self_issued = None);
    }

    /// Issues permits as one of `hosts` hosts, none of which hears the others. The first part of a
    /// permit, from `draw` between 0 and 1, makes hosts that begin at the same time differ.
    pub fn issue_share(&mut self, hosts: usize, draw: f64, now: Instant) {
        for rate in self.by_name.values_mut() {
            let Some(limit_per_s) = rate.kept_per_s() else { continue };
            rate.return_expired(now);
            rate.returned = 0;
            let (part, at) = rate.self_issued.unwrap_or((draw, now));
            let elapsed = now.saturating_duration_since(at).as_secs_f64();
            let part = part + limit_per_s / hosts.max(1) as f64 * elapsed;
            let whole = part.floor();
            let is_stocked = rate.permits.len() as f64 >= whole.max(1.0);
            if whole >= 1.0 && !is_stocked {
                // A limit may be far above what callers want.
                let issued = whole.min(rate.wanted(now).ceil().max(1.0));
                rate.granted.record(issued, now);
                rate.add_permits(issued as u32, now);
            }
            rate.self_issued = Some((part - whole, now));
        }
    }

    /// What is known of limits, for other hosts.
    pub fn shared(&self, now: Instant) -> Vec<SharedRate> {
        let shared = self.by_name.iter().filter_map(|(name, rate)| {
            let observation = rate.observation?;
            let age = now.saturating_duration_since(observation.at);
            let is_told = observation.limit_per_s.is_some() || age < LIFTED_MEMORY;
            is_told.then(|| SharedRate {
                endpoint: name.clone(),
                start_unix_ms: rate.start_unix_ms,
                limit_per_s: observation.limit_per_s,
                observation: observation.id,
                age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            })
        });
        shared.collect()
    }

    /// Takes over what another host knows, if it is newer; returns whether and what changed.
    pub fn apply(&mut self, shared: &SharedRate, now: Instant) -> Option<RateChange> {
        let at = now.checked_sub(Duration::from_millis(shared.age_ms))?;
        let endpoint =
            EndpointStart { name: &shared.endpoint, start_unix_ms: shared.start_unix_ms };
        let rate = self.rate(endpoint, now)?;
        // Times of other hosts' observations lack the time of their way to this host.
        let is_newer = rate.observation.is_none_or(|known| {
            let (process, number) = shared.observation;
            if known.id.0 == process { known.id.1 < number } else { known.at < at }
        });
        let id = shared.observation;
        let observation = RateObservation { limit_per_s: shared.limit_per_s, at, id };
        if is_newer { rate.set_observation(observation, now) } else { None }
    }

    /// Drops endpoints that are no longer listed and those that nothing is known of any more.
    pub fn prune(&mut self, is_listed: impl Fn(&str) -> bool, now: Instant) {
        self.by_name.retain(|name, rate| {
            let age = now.saturating_duration_since(rate.demand.at);
            let is_limited = rate.limit_per_s().is_some() && is_listed(name);
            is_limited || age < IDLE_MEMORY
        });
    }

    fn observation(&mut self, limit_per_s: Option<f64>, now: Instant) -> RateObservation {
        self.observations += 1;
        RateObservation { limit_per_s, at: now, id: (self.process, self.observations) }
    }

    fn find(&self, endpoint: EndpointStart<'_>) -> Option<&EndpointRate> {
        let rate = self.by_name.get(endpoint.name);
        rate.filter(|rate| rate.start_unix_ms == endpoint.start_unix_ms)
    }

    /// The record of an endpoint; none if a later start under its name is known.
    fn rate(&mut self, endpoint: EndpointStart<'_>, now: Instant) -> Option<&mut EndpointRate> {
        let new = || EndpointRate::new(endpoint.start_unix_ms, now);
        let rate = self.by_name.entry(endpoint.name.clone()).or_insert_with(new);
        if rate.start_unix_ms < endpoint.start_unix_ms {
            *rate = new();
        }
        (rate.start_unix_ms == endpoint.start_unix_ms).then_some(rate)
    }
}
