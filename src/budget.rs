//! Retry budgets: retries stay a fixed fraction of first attempts.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

use crate::ids::{CustomerName, EndpointName};

/// Width of one bucket of the sliding window.
const BUCKET_WIDTH: Duration = Duration::from_secs(1);

/// Limits of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetOptions {
    /// Retries allowed for each first attempt in the window.
    pub ratio: f64,
    /// Retries allowed in the window on top of the ratio, for each customer and each endpoint.
    pub floor: u32,
    /// Buckets of one second in the window.
    pub window_buckets: u32,
    /// Whether the budget refuses anything; only tests turn it off.
    pub enforced: bool,
}

impl Default for BudgetOptions {
    fn default() -> Self {
        Self { ratio: 0.1, floor: 3, window_buckets: 10, enforced: true }
    }
}

/// Retries refused so far, by the budget that was spent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetRefusals {
    /// The customer's budget was spent.
    pub customer: u64,
    /// The endpoint's budget was spent.
    pub endpoint: u64,
}

/// Decides whether a call may be retried; asked only at the outermost layer.
///
/// ```
/// use jacinthrock::{BudgetOptions, RetryBudget};
/// use tokio::time::Instant;
///
/// let mut budget = RetryBudget::new(BudgetOptions { floor: 1, ..BudgetOptions::default() });
/// let now = Instant::now();
/// budget.record_first(now, "studio", "booking-1");
/// assert!(budget.allow(now, "studio", "booking-1"));
/// assert!(!budget.allow(now, "studio", "booking-1"));
/// ```
pub struct RetryBudget {
    options: BudgetOptions,
    started: Option<Instant>,
    customers: BTreeMap<CustomerName, AttemptWindow>,
    endpoints: BTreeMap<EndpointName, AttemptWindow>,
    refusals: BudgetRefusals,
}

/// First attempts and retries in buckets of one second.
#[derive(Default)]
struct AttemptWindow {
    buckets: VecDeque<AttemptBucket>,
}

struct AttemptBucket {
    index: u64,
    first_attempts: u64,
    retries: u64,
}

impl RetryBudget {
    /// A budget in which nothing was attempted yet.
    pub fn new(options: BudgetOptions) -> Self {
        Self {
            options,
            started: None,
            customers: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            refusals: BudgetRefusals::default(),
        }
    }

    /// Records the first attempt of a call.
    pub fn record_first(&mut self, now: Instant, customer: &str, endpoint: &str) {
        let index = self.bucket_index(now);
        window_mut(&mut self.customers, customer).bucket(index).first_attempts += 1;
        window_mut(&mut self.endpoints, endpoint).bucket(index).first_attempts += 1;
    }

    /// Takes one retry from the customer's and the endpoint's budget, if both have one left.
    pub fn allow(&mut self, now: Instant, customer: &str, endpoint: &str) -> bool {
        let index = self.bucket_index(now);
        let options = self.options;
        let customer = window_mut(&mut self.customers, customer);
        let endpoint = window_mut(&mut self.endpoints, endpoint);
        if options.enforced && !customer.has_room(index, options) {
            self.refusals.customer += 1;
            return false;
        }
        if options.enforced && !endpoint.has_room(index, options) {
            self.refusals.endpoint += 1;
            return false;
        }
        customer.bucket(index).retries += 1;
        endpoint.bucket(index).retries += 1;
        true
    }

    /// Share of the customer's budget that is left, from 0 to 1.
    ///
    /// ```
    /// use jacinthrock::{BudgetOptions, RetryBudget};
    /// use tokio::time::Instant;
    ///
    /// let mut budget = RetryBudget::new(BudgetOptions { floor: 2, ..BudgetOptions::default() });
    /// let now = Instant::now();
    /// assert!(budget.allow(now, "studio", "booking-1"));
    /// assert_eq!(budget.remaining_fraction(now, "studio"), 0.5);
    /// ```
    pub fn remaining_fraction(&mut self, now: Instant, customer: &str) -> f64 {
        let index = self.bucket_index(now);
        let options = self.options;
        let (retries, allowed) = window_mut(&mut self.customers, customer).usage(index, options);
        if allowed > 0.0 { (1.0 - retries as f64 / allowed).max(0.0) } else { 0.0 }
    }

    /// Changes the limits; what the windows hold stays.
    pub fn set_options(&mut self, options: BudgetOptions) {
        self.options = options;
    }

    /// Retries refused so far.
    pub fn refusals(&self) -> BudgetRefusals {
        self.refusals
    }

    /// Drops windows in which nothing happened lately.
    pub fn prune(&mut self, now: Instant) {
        let oldest = self.bucket_index(now).saturating_sub(u64::from(self.options.window_buckets));
        self.customers.retain(|_, window| window.is_newer_than(oldest));
        self.endpoints.retain(|_, window| window.is_newer_than(oldest));
    }

    fn bucket_index(&mut self, now: Instant) -> u64 {
        let started = *self.started.get_or_insert(now);
        now.saturating_duration_since(started).as_secs() / BUCKET_WIDTH.as_secs()
    }
}

impl AttemptWindow {
    fn bucket(&mut self, index: u64) -> &mut AttemptBucket {
        if self.buckets.back().is_none_or(|bucket| bucket.index < index) {
            self.buckets.push_back(AttemptBucket { index, first_attempts: 0, retries: 0 });
        }
        self.buckets.back_mut().expect("a bucket was just added")
    }

    fn has_room(&mut self, index: u64, options: BudgetOptions) -> bool {
        let (retries, allowed) = self.usage(index, options);
        (retries + 1) as f64 <= allowed
    }

    /// Retries in the window, and the most that it allows. Counts retries over one bucket more than
    /// first attempts, so that the fraction holds for every alignment of the window.
    fn usage(&mut self, index: u64, options: BudgetOptions) -> (u64, f64) {
        let width = u64::from(options.window_buckets);
        let oldest = index.saturating_sub(width);
        while self.buckets.front().is_some_and(|bucket| bucket.index < oldest) {
            self.buckets.pop_front();
        }
        let retries: u64 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let recent = self.buckets.iter().filter(|bucket| bucket.index + width > index);
        let first_attempts: u64 = recent.map(|bucket| bucket.first_attempts).sum();
        (retries, f64::from(options.floor) + options.ratio * first_attempts as f64)
    }

    fn is_newer_than(&self, oldest: u64) -> bool {
        self.buckets.back().is_some_and(|bucket| bucket.index >= oldest)
    }
}

fn window_mut<'a>(
    windows: &'a mut BTreeMap<Box<str>, AttemptWindow>,
    name: &str,
) -> &'a mut AttemptWindow {
    if !windows.contains_key(name) {
        windows.insert(name.into(), AttemptWindow::default());
    }
    windows.get_mut(name).expect("the window was just added")
}
