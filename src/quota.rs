//! Customers' limits over all hosts: each host keeps to a part that follows demand.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

use crate::ids::{CustomerName, HostName};
use crate::membership::{NameHash, name_hash};

/// Fraction of a limit that is split evenly, whatever the demand.
const EVEN_FRACTION: f64 = 0.1;

/// Length of the burst that a host's part allows, in seconds of its rate.
const BURST_SECONDS: f64 = 1.0;

/// Demand is published in hundredths of a request per second.
const RATE_UNIT: f64 = 100.0;

/// Weight of the newest second in the measured demand.
const DEMAND_GAIN: f64 = 0.5;

/// Bounds of the time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Mean time for which a concurrent request is expected to hold its place.
const CONCURRENT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Limits of a customer over all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaLimits {
    /// Requests in a second.
    pub requests_per_second: u32,
    /// Requests in flight.
    pub concurrent_requests: u32,
}

/// What a host needs of a customer's limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CustomerDemand {
    /// Requests offered, in hundredths of a request per second.
    pub rate: u32,
    /// Requests in flight, with those refused in the last interval.
    pub concurrent: u32,
}

/// A customer's demand on one host, as published to other hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DemandReport {
    /// Hash of the customer's name.
    pub customer: NameHash,
    /// Its demand.
    pub demand: CustomerDemand,
}

/// Other hosts that count when limits are divided.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetView {
    /// Hosts heard lately.
    pub live: BTreeSet<HostName>,
    /// Hosts that don't hear this one directly, or are not heard: they may be dead or cut off.
    pub silent: BTreeSet<HostName>,
    /// Hosts not heard for long enough to be taken for dead or cut off.
    pub dead: BTreeSet<HostName>,
}

/// Protections and timing of a [`QuotaKeeper`].
#[derive(Clone, Copy, Debug)]
pub struct QuotaOptions {
    /// Time in which a published demand reaches every host, with the time to notice a silent host.
    pub window: Duration,
    /// Time in which every host learns of a new one; until then it keeps to a small part.
    pub join_wait: Duration,
    /// Whether a host's claim is its lowest published demand in the window.
    pub lagged_claim: bool,
    /// Whether parts of hosts that fell silent are held back.
    pub reserve_silent: bool,
}

impl Default for QuotaOptions {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(6),
            join_wait: Duration::from_millis(2500),
            lagged_claim: true,
            reserve_silent: true,
        }
    }
}

/// Keeps this host to its part of each customer's limits; free of I/O.
///
/// A host's claim is the lowest demand that it published within a window, so every other host has
/// heard at least that much. Each host divides by the demand that it heard, so the parts sum to
/// at most the limit while the hosts hear each other. See `docs/design/admission.md` for cuts.
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
pub struct QuotaKeeper {
    options: QuotaOptions,
    rng: ChaCha8Rng,
    joined: Instant,
    fleet: FleetView,
    customers: BTreeMap<CustomerName, CustomerQuota>,
    heard: BTreeMap<HostName, HeardDemands>,
}

#[derive(Default)]
struct HeardDemands {
    demands: BTreeMap<NameHash, CustomerDemand>,
}

struct CustomerQuota {
    hash: NameHash,
    limits: QuotaLimits,
    in_flight: u32,
    tokens: f64,
    refilled: Instant,
    offered: u32,
    refused: u32,
    measured_rate: f64,
    published: VecDeque<(Instant, CustomerDemand)>,
    claim_cap: Option<CustomerDemand>,
    next_return: Instant,
}

/// The two limits that are divided.
#[derive(Clone, Copy)]
enum LimitKind {
    Rate,
    Concurrent,
}

/// Quantities from which a part is computed, all in the unit of the limit.
struct PartInputs {
    limit: f64,
    claim: f64,
    total: f64,
    hosts: f64,
}

impl QuotaKeeper {
    /// A keeper that knows no customer and no other host; the seed decides retry jitter.
    pub fn new(now: Instant, options: QuotaOptions, seed: u64) -> Self {
        Self {
            options,
            rng: ChaCha8Rng::seed_from_u64(seed),
            joined: now,
            fleet: FleetView::default(),
            customers: BTreeMap::new(),
            heard: BTreeMap::new(),
        }
    }

    /// Sets a customer's limits over all hosts.
    pub fn set_limits(&mut self, now: Instant, customer: &str, limits: QuotaLimits) {
        if let Some(quota) = self.customers.get_mut(customer) {
            quota.limits = limits;
            return;
        }
        self.customers.insert(customer.into(), CustomerQuota::new(now, customer, limits));
    }

    /// Forgets customers that are not in the list.
    pub fn retain_customers(&mut self, customers: &BTreeSet<CustomerName>) {
        self.customers.retain(|name, _| customers.contains(name));
    }

    /// Sets the times of [`QuotaOptions::window`] and [`QuotaOptions::join_wait`].
    pub fn set_window(&mut self, window: Duration, join_wait: Duration) {
        self.options.window = window;
        self.options.join_wait = join_wait;
    }

    /// Whether every host had time to learn of this one; before, its parts are small.
    pub fn is_warm(&self, now: Instant) -> bool {
        self.joined + self.options.join_wait <= now
    }

    /// Sets the other hosts among which limits are divided.
    pub fn set_fleet(&mut self, now: Instant, fleet: FleetView) {
        let held = self.options.reserve_silent && holds_back(&fleet);
        let capped = self.options.reserve_silent && (held || !fleet.silent.is_empty());
        self.fleet = fleet;
        let options = self.options;
        for quota in self.customers.values_mut() {
            quota.hold(now, capped, options);
        }
        let fleet = &self.fleet;
        self.heard.retain(|host, _| fleet.counts(host, held));
    }

    /// Learns another host's demands; those not listed are 0 if the list is complete.
    pub fn record_demands(&mut self, host: &str, demands: &[DemandReport], complete: bool) {
        let heard = self.heard.entry(host.into()).or_default();
        if complete {
            heard.demands.clear();
        }
        heard.demands.extend(demands.iter().map(|report| (report.customer, report.demand)));
    }

    /// Measures demand since the last call and returns it for publication, the highest first.
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

    /// Gives up this host's claims, which others may have taken over: called after it was away.
    pub fn woke(&mut self, now: Instant) {
        self.joined = now;
        for quota in self.customers.values_mut() {
            quota.published.clear();
            quota.tokens = 0.0;
            quota.refilled = now;
        }
    }

    /// Takes one request from the customer's limits on this host.
    ///
    /// # Errors
    ///
    /// Returns the time after which to come back.
    pub fn try_take(&mut self, now: Instant, customer: &str) -> Result<(), Duration> {
        let Some(rate) = self.part(now, customer, LimitKind::Rate) else {
            return Ok(());
        };
        let concurrent = self.concurrent_room(now, customer);
        let jitter = self.rng.random_range(0.75..1.25);
        let quota = self.customers.get_mut(customer).expect("the customer has a part");
        quota.offered += 1;
        quota.refill(now, rate);
        if !concurrent {
            quota.refused += 1;
            return Err(quota.come_back(now, CONCURRENT_RETRY_AFTER).mul_f64(jitter));
        }
        if quota.tokens < 1.0 {
            let step = Duration::from_secs_f64((1.0 / rate.max(0.01)).min(30.0));
            return Err(quota.come_back(now, step).mul_f64(jitter));
        }
        quota.tokens -= 1.0;
        quota.in_flight += 1;
        Ok(())
    }

    /// Gives back the place of a request that ended.
    pub fn release(&mut self, customer: &str) {
        if let Some(quota) = self.customers.get_mut(customer) {
            quota.in_flight = quota.in_flight.saturating_sub(1);
        }
    }

    /// This host's part of the customer's rate, in requests per second.
    pub fn rate_allocation(&self, now: Instant, customer: &str) -> Option<f64> {
        self.part(now, customer, LimitKind::Rate)
    }

    /// Requests of the customer in flight on this host.
    pub fn in_flight(&self, customer: &str) -> u32 {
        self.customers.get(customer).map_or(0, |quota| quota.in_flight)
    }

    /// A host may always start one request while the hosts together have room, since parts of a
    /// small limit are less than one.
    fn concurrent_room(&self, now: Instant, customer: &str) -> bool {
        let Some(part) = self.part(now, customer, LimitKind::Concurrent) else {
            return true;
        };
        let quota = &self.customers[customer];
        if f64::from(quota.in_flight + 1) <= part {
            return true;
        }
        let elsewhere = self.heard_total(quota.hash, LimitKind::Concurrent);
        let limit = f64::from(quota.limits.concurrent_requests);
        quota.in_flight == 0 && elsewhere < limit && limit > 0.0
    }

    fn part(&self, now: Instant, customer: &str, kind: LimitKind) -> Option<f64> {
        let quota = self.customers.get(customer)?;
        let claim = quota.claim(now, self.options).amount(kind);
        let own = quota.newest().amount(kind).max(claim);
        let inputs = PartInputs {
            limit: quota.limits.amount(kind),
            claim,
            total: own + self.heard_total(quota.hash, kind),
            hosts: self.counted_hosts() as f64,
        };
        if self.options.lagged_claim && !self.is_warm(now) {
            return Some(inputs.even_part());
        }
        Some(inputs.part())
    }

    fn heard_total(&self, customer: NameHash, kind: LimitKind) -> f64 {
        let demands = self.heard.values().filter_map(|heard| heard.demands.get(&customer));
        demands.map(|demand| demand.amount(kind)).sum()
    }

    fn counted_hosts(&self) -> usize {
        let held = self.options.reserve_silent && holds_back(&self.fleet);
        let dead = if held { self.fleet.dead.len() } else { 0 };
        1 + self.fleet.live.len() + self.fleet.silent.len() + dead
    }
}

/// Whether the hosts that hear each other are too few to take over the parts of the others.
fn holds_back(fleet: &FleetView) -> bool {
    let heard = 1 + fleet.live.len();
    let known = heard + fleet.silent.len() + fleet.dead.len();
    heard * 2 <= known
}

impl FleetView {
    fn counts(&self, host: &str, held: bool) -> bool {
        self.live.contains(host) || self.silent.contains(host) || held && self.dead.contains(host)
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
            LimitKind::Rate => f64::from(self.rate) / RATE_UNIT,
            LimitKind::Concurrent => f64::from(self.concurrent),
        }
    }

    fn min(self, other: Self) -> Self {
        Self { rate: self.rate.min(other.rate), concurrent: self.concurrent.min(other.concurrent) }
    }
}

impl PartInputs {
    /// Gives each host its claim while the limit suffices, else a part in proportion to its claim;
    /// what is left, and a fixed fraction at least, is split evenly.
    fn part(&self) -> f64 {
        let by_demand = self.limit * (1.0 - EVEN_FRACTION);
        if self.total <= by_demand {
            return self.claim + (self.limit - self.total) / self.hosts;
        }
        by_demand * self.claim / self.total + self.even_part()
    }

    fn even_part(&self) -> f64 {
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
            refilled: now,
            offered: 0,
            refused: 0,
            measured_rate: 0.0,
            published: VecDeque::new(),
            claim_cap: None,
            next_return: now,
        }
    }

    fn publish(&mut self, now: Instant, interval: Duration, window: Duration) -> CustomerDemand {
        let seconds = interval.as_secs_f64().max(0.001);
        let rate = f64::from(self.offered) / seconds;
        self.measured_rate += DEMAND_GAIN * (rate - self.measured_rate);
        let limit = f64::from(self.limits.requests_per_second);
        let concurrent = self.in_flight + self.refused;
        let demand = CustomerDemand {
            rate: (self.measured_rate.min(limit) * RATE_UNIT) as u32,
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

    fn newest(&self) -> CustomerDemand {
        self.published.back().map_or_else(CustomerDemand::default, |(_, demand)| *demand)
    }

    /// Lowest demand published in the window; 0 unless the host published for all of it.
    fn claim(&self, now: Instant, options: QuotaOptions) -> CustomerDemand {
        if !options.lagged_claim {
            return self.newest();
        }
        let covered = self.published.front().is_some_and(|(at, _)| *at + options.window <= now);
        if !covered {
            return CustomerDemand::default();
        }
        let lowest = self.published.iter().map(|(_, demand)| *demand);
        let lowest = lowest.reduce(CustomerDemand::min).unwrap_or_default();
        self.claim_cap.map_or(lowest, |cap| lowest.min(cap))
    }

    /// Caps the claim while some hosts can't be heard, since they can't hear it rise.
    fn hold(&mut self, now: Instant, capped: bool, options: QuotaOptions) {
        if !capped {
            self.claim_cap = None;
            return;
        }
        if self.claim_cap.is_none() {
            self.claim_cap = Some(self.claim(now, options));
        }
    }

    fn refill(&mut self, now: Instant, rate: f64) {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        let burst = (rate * BURST_SECONDS).max(1.0);
        self.tokens = (self.tokens + rate * elapsed).min(burst);
        self.refilled = now;
    }

    /// Gives each refused caller a later time, one step after the caller before it.
    fn come_back(&mut self, now: Instant, step: Duration) -> Duration {
        let latest = now + MAX_RETRY_AFTER;
        self.next_return = (self.next_return.max(now) + step).min(latest);
        (self.next_return - now).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
