//! Divides each customer's limits among the hosts in proportion to demand, and enforces this host's
//! allocation.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

use crate::ids::{CustomerName, HostName};
use crate::membership::{NameHash, name_hash};

/// Fraction of a limit that is split evenly among the hosts, regardless of demand.
const EVEN_FRACTION: f64 = 0.1;

/// Burst size of a host's token bucket, in seconds of its allocated rate.
const BURST_SECONDS: f64 = 1.0;

/// Published rate units per request per second; demand is published in hundredths.
const RATE_SCALE: f64 = 100.0;

/// Smoothing factor of the measured demand: the weight of the newest interval.
const DEMAND_GAIN: f64 = 0.5;

/// Bounds of the retry delay that a refused caller is given, before jitter.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Spacing of retries at the limit of concurrent requests: the expected mean request duration.
const CONCURRENT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Limits of a customer, summed over all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaLimits {
    /// Maximum request rate.
    pub requests_per_second: u32,
    /// Maximum number of requests in flight.
    pub concurrent_requests: u32,
}

/// Demand of a customer on one host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CustomerDemand {
    /// Offered request rate, in hundredths of a request per second.
    pub rate: u32,
    /// Requests in flight, plus those refused in the last interval for too many in flight.
    pub concurrent: u32,
}

/// A customer's demand on one host, as published to other hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DemandReport {
    /// Hash of the customer's name.
    pub customer: NameHash,
    /// The customer's demand.
    pub demand: CustomerDemand,
}

/// Other hosts, by how they count when limits are divided.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetView {
    /// Hosts that exchange directly with this one, in both directions.
    pub live: BTreeSet<HostName>,
    /// Hosts that this host does not hear from, or that don't hear from it directly. They may be
    /// dead or partitioned.
    pub silent: BTreeSet<HostName>,
    /// Hosts silent for so long that they are considered dead or partitioned.
    pub dead: BTreeSet<HostName>,
}

/// Policies and timing of a [`QuotaAllocator`].
#[derive(Clone, Copy, Debug)]
pub struct QuotaOptions {
    /// Time in which a published demand reaches every host, plus the time to detect a silent host.
    pub window: Duration,
    /// Time in which every host learns of a new one. Until then, the new host uses a small
    /// allocation.
    pub join_wait: Duration,
    /// Whether a host's claim is its lowest published demand in the window, instead of the newest.
    pub claims_lowest_demand: bool,
    /// Whether allocations of unreachable hosts stay reserved for them during a partition, instead
    /// of being redistributed.
    pub reserves_unreachable: bool,
}

impl Default for QuotaOptions {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(6),
            join_wait: Duration::from_millis(2500),
            claims_lowest_demand: true,
            reserves_unreachable: true,
        }
    }
}

/// Enforces this host's allocation of each customer's limits, as a state machine without I/O.
///
/// A host's claim is the lowest demand that it published within a window, so every other host knows
/// of at least that much. Each host divides by the demand reported to it, so the allocations sum to
/// at most the limit while the hosts reach each other. `docs/design/admission.md` describes
/// partitions.
///
/// ```
/// use jacinthrock::{FleetView, QuotaKeeper, QuotaLimits, QuotaOptions};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut keeper = QuotaKeeper::new(now, QuotaOptions::default(), 1);
/// keeper.set_limits(now, "parish", QuotaLimits { requests_per_second: 5, concurrent_requests: 1 });
/// keeper.set_fleet(now, FleetView::default());
/// assert!(keeper.try_take(now, "parish").is_ok());
/// assert!(keeper.try_take(now, "parish").is_err());
/// keeper.release("parish");
/// ```
pub struct QuotaAllocator {
    options: QuotaOptions,
    rng: ChaCha8Rng,
    joined_at: Instant,
    fleet: FleetView,
    customers: BTreeMap<CustomerName, CustomerQuota>,
    demands_by_host: BTreeMap<HostName, HostDemands>,
}

#[derive(Default)]
struct HostDemands {
    demands: BTreeMap<NameHash, CustomerDemand>,
}

struct CustomerQuota {
    hash: NameHash,
    limits: QuotaLimits,
    in_flight: u32,
    tokens: f64,
    refilled_at: Instant,
    offered: u32,
    refused: u32,
    measured_rate: f64,
    published: VecDeque<(Instant, CustomerDemand)>,
    /// Claim at the time when hosts became unreachable; `None` while all hosts are reachable.
    claim_cap: Option<CustomerDemand>,
    /// Retry time given to the caller refused last.
    last_retry_at: Instant,
}

/// Kinds of limits in [`QuotaLimits`].
#[derive(Clone, Copy)]
enum LimitKind {
    Rate,
    Concurrent,
}

/// Inputs for computing an allocation, all in the unit of the limit.
struct AllocationInputs {
    limit: f64,
    claim: f64,
    total: f64,
    hosts: f64,
}

impl QuotaAllocator {
    /// Creates a keeper without customers or other hosts; the seed determines retry jitter.
    pub fn new(now: Instant, options: QuotaOptions, seed: u64) -> Self {
        Self {
            options,
            rng: ChaCha8Rng::seed_from_u64(seed),
            joined_at: now,
            fleet: FleetView::default(),
            customers: BTreeMap::new(),
            demands_by_host: BTreeMap::new(),
        }
    }

    /// Sets a customer's limits, which apply to the sum over all hosts.
    pub fn set_limits(&mut self, now: Instant, customer: &str, limits: QuotaLimits) {
        if let Some(quota) = self.customers.get_mut(customer) {
            quota.limits = limits;
            return;
        }
        self.customers.insert(customer.into(), CustomerQuota::new(now, customer, limits));
    }

    /// Removes customers that are not in the set.
    pub fn retain_customers(&mut self, customers: &BTreeSet<CustomerName>) {
        self.customers.retain(|name, _| customers.contains(name));
    }

    /// Sets [`QuotaOptions::window`] and [`QuotaOptions::join_wait`].
    pub fn set_window(&mut self, window: Duration, join_wait: Duration) {
        self.options.window = window;
        self.options.join_wait = join_wait;
    }

    /// Whether every host has had time to learn of this one. Until then, its allocations are small.
    pub fn is_warm(&self, now: Instant) -> bool {
        self.joined_at + self.options.join_wait <= now
    }

    /// Sets the other hosts among which limits are divided.
    pub fn set_fleet(&mut self, now: Instant, fleet: FleetView) {
        let reserves_dead = self.options.reserves_unreachable && lacks_majority(&fleet);
        let is_capped = self.options.reserves_unreachable && (reserves_dead || !fleet.silent.is_empty());
        self.fleet = fleet;
        let options = self.options;
        for quota in self.customers.values_mut() {
            quota.cap_claim(now, is_capped, options);
        }
        let fleet = &self.fleet;
        self.demands_by_host.retain(|host, _| fleet.includes(host, reserves_dead));
    }

    /// Records demands reported by another host. If the list is complete, unlisted demands are 0.
    pub fn record_demands(&mut self, host: &str, demands: &[DemandReport], is_complete: bool) {
        let host_demands = self.demands_by_host.entry(host.into()).or_default();
        if is_complete {
            host_demands.demands.clear();
        }
        host_demands.demands.extend(demands.iter().map(|report| (report.customer, report.demand)));
    }

    /// Measures demand since the last call and returns it for publication, highest rate first.
    /// Called once in each exchange interval.
    pub fn publish(&mut self, now: Instant, interval: Duration) -> Vec<DemandReport> {
        let window = self.options.window;
        let mut reports = Vec::new();
        for quota in self.customers.values_mut() {
            let demand = quota.publish(now, interval, window);
            if demand != CustomerDemand::default() {
                reports.push(DemandReport { customer: quota.hash, demand });
            }
        }
        reports.sort_by_key(|report| std::cmp::Reverse(report.demand.rate));
        reports
    }

    /// Drops this host's claims after the process was paused, since other hosts may have taken them
    /// over meanwhile.
    pub fn reset_after_pause(&mut self, now: Instant) {
        self.joined_at = now;
        for quota in self.customers.values_mut() {
            quota.published.clear();
            quota.tokens = 0.0;
            quota.refilled_at = now;
        }
    }

    /// Takes one request from the customer's allocation on this host.
    ///
    /// # Errors
    ///
    /// Returns the retry delay if the allocation is used up.
    pub fn try_take(&mut self, now: Instant, customer: &str) -> Result<(), Duration> {
        let Some(rate) = self.allocation(now, customer, LimitKind::Rate) else {
            return Ok(());
        };
        let has_room = self.has_concurrent_room(now, customer);
        let jitter = self.rng.random_range(0.75..1.25);
        let quota = self.customers.get_mut(customer).expect("an allocated customer is known");
        quota.offered += 1;
        quota.refill(now, rate);
        if !has_room {
            quota.refused += 1;
            return Err(quota.next_retry_after(now, CONCURRENT_RETRY_AFTER).mul_f64(jitter));
        }
        if quota.tokens < 1.0 {
            let step = Duration::from_secs_f64((1.0 / rate.max(0.01)).min(30.0));
            return Err(quota.next_retry_after(now, step).mul_f64(jitter));
        }
        quota.tokens -= 1.0;
        quota.in_flight += 1;
        Ok(())
    }

    /// Records the end of a request that [`QuotaAllocator::try_take`] allowed.
    pub fn release(&mut self, customer: &str) {
        if let Some(quota) = self.customers.get_mut(customer) {
            quota.in_flight = quota.in_flight.saturating_sub(1);
        }
    }

    /// This host's allocation of the customer's rate, in requests per second.
    pub fn rate_allocation(&self, now: Instant, customer: &str) -> Option<f64> {
        self.allocation(now, customer, LimitKind::Rate)
    }

    /// Number of the customer's requests in flight on this host.
    pub fn in_flight(&self, customer: &str) -> u32 {
        self.customers.get(customer).map_or(0, |quota| quota.in_flight)
    }

    /// Whether the customer may have one more request in flight. A host may always start one while
    /// the reported total is below the limit, since allocations of a small limit are less than one.
    fn has_concurrent_room(&self, now: Instant, customer: &str) -> bool {
        let Some(allocation) = self.allocation(now, customer, LimitKind::Concurrent) else {
            return true;
        };
        let quota = &self.customers[customer];
        if f64::from(quota.in_flight + 1) <= allocation {
            return true;
        }
        let reported = self.reported_total(quota.hash, LimitKind::Concurrent);
        let limit = f64::from(quota.limits.concurrent_requests);
        quota.in_flight == 0 && reported < limit && limit > 0.0
    }

    fn allocation(&self, now: Instant, customer: &str, kind: LimitKind) -> Option<f64> {
        let quota = self.customers.get(customer)?;
        let claim = quota.claim(now, self.options).amount(kind);
        let own = quota.newest_demand().amount(kind).max(claim);
        let inputs = AllocationInputs {
            limit: quota.limits.amount(kind),
            claim,
            total: own + self.reported_total(quota.hash, kind),
            hosts: self.counted_hosts() as f64,
        };
        if self.options.claims_lowest_demand && !self.is_warm(now) {
            return Some(inputs.even_allocation());
        }
        Some(inputs.allocation())
    }

    fn reported_total(&self, customer: NameHash, kind: LimitKind) -> f64 {
        let demands = self.demands_by_host.values().filter_map(|host| host.demands.get(&customer));
        demands.map(|demand| demand.amount(kind)).sum()
    }

    fn counted_hosts(&self) -> usize {
        let reserves_dead = self.options.reserves_unreachable && lacks_majority(&self.fleet);
        let dead = if reserves_dead { self.fleet.dead.len() } else { 0 };
        1 + self.fleet.live.len() + self.fleet.silent.len() + dead
    }
}

/// Whether this host and its live peers are at most half of the known hosts, and so must not take
/// over the allocations of the others.
fn lacks_majority(fleet: &FleetView) -> bool {
    let heard = 1 + fleet.live.len();
    let known = heard + fleet.silent.len() + fleet.dead.len();
    heard * 2 <= known
}

impl FleetView {
    fn includes(&self, host: &str, reserves_dead: bool) -> bool {
        self.live.contains(host)
            || self.silent.contains(host)
            || reserves_dead && self.dead.contains(host)
    }
}

impl QuotaLimits {
    fn amount(self, kind: LimitKind) -> f64 {
        match kind {
            LimitKind::Rate => f64::from(self.requests_per_second),
            LimitKind::Concurrent => f64::from(self.concurrent_requests),
        }
    }
}

impl CustomerDemand {
    fn amount(self, kind: LimitKind) -> f64 {
        match kind {
            LimitKind::Rate => f64::from(self.rate) / RATE_SCALE,
            LimitKind::Concurrent => f64::from(self.concurrent),
        }
    }

    fn min(self, other: Self) -> Self {
        Self { rate: self.rate.min(other.rate), concurrent: self.concurrent.min(other.concurrent) }
    }
}

impl AllocationInputs {
    /// This host's claim while the limit covers all demand, otherwise an allocation proportional to
    /// its claim. The remainder, at least `EVEN_FRACTION` of the limit, is split evenly.
    fn allocation(&self) -> f64 {
        let by_demand = self.limit * (1.0 - EVEN_FRACTION);
        if self.total <= by_demand {
            return self.claim + (self.limit - self.total) / self.hosts;
        }
        by_demand * self.claim / self.total + self.even_allocation()
    }

    fn even_allocation(&self) -> f64 {
        self.limit * EVEN_FRACTION / self.hosts
    }
}

impl CustomerQuota {
    fn new(now: Instant, customer: &str, limits: QuotaLimits) -> Self {
        Self {
            hash: name_hash(customer),
            limits,
            in_flight: 0,
            tokens: 1.0,
            refilled_at: now,
            offered: 0,
            refused: 0,
            measured_rate: 0.0,
            published: VecDeque::new(),
            claim_cap: None,
            last_retry_at: now,
        }
    }

    fn publish(&mut self, now: Instant, interval: Duration, window: Duration) -> CustomerDemand {
        let seconds = interval.as_secs_f64().max(0.001);
        let rate = f64::from(self.offered) / seconds;
        self.measured_rate += DEMAND_GAIN * (rate - self.measured_rate);
        let limit = f64::from(self.limits.requests_per_second);
        let concurrent = self.in_flight + self.refused;
        let demand = CustomerDemand {
            rate: (self.measured_rate.min(limit) * RATE_SCALE) as u32,
            concurrent: concurrent.min(self.limits.concurrent_requests).max(self.in_flight),
        };
        self.offered = 0;
        self.refused = 0;
        self.published.push_back((now, demand));
        while self.published.len() > 1 && self.published[1].0 + window <= now {
            self.published.pop_front();
        }
        demand
    }

    fn newest_demand(&self) -> CustomerDemand {
        self.published.back().map_or_else(CustomerDemand::default, |(_, demand)| *demand)
    }

    /// Lowest demand published in the window; 0 if the host has published for less than a window.
    fn claim(&self, now: Instant, options: QuotaOptions) -> CustomerDemand {
        if !options.claims_lowest_demand {
            return self.newest_demand();
        }
        let is_covered = self.published.front().is_some_and(|(at, _)| *at + options.window <= now);
        if !is_covered {
            return CustomerDemand::default();
        }
        let lowest = self.published.iter().map(|(_, demand)| *demand);
        let lowest = lowest.reduce(CustomerDemand::min).unwrap_or_default();
        self.claim_cap.map_or(lowest, |cap| lowest.min(cap))
    }

    /// Caps the claim at its present value while some hosts are unreachable, since they would not
    /// learn of an increase.
    fn cap_claim(&mut self, now: Instant, is_capped: bool, options: QuotaOptions) {
        if !is_capped {
            self.claim_cap = None;
            return;
        }
        if self.claim_cap.is_none() {
            self.claim_cap = Some(self.claim(now, options));
        }
    }

    fn refill(&mut self, now: Instant, rate: f64) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        let burst = (rate * BURST_SECONDS).max(1.0);
        self.tokens = (self.tokens + rate * elapsed).min(burst);
        self.refilled_at = now;
    }

    /// Retry delay of a refused caller, one step after the caller refused before it.
    fn next_retry_after(&mut self, now: Instant, step: Duration) -> Duration {
        let latest = now + MAX_RETRY_AFTER;
        self.last_retry_at = (self.last_retry_at.max(now) + step).min(latest);
        (self.last_retry_at - now).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
