//! Retry budgets, which limit retries to a fraction of first attempts.

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
    /// Retries allowed in the window in addition to the ratio, for each customer and each endpoint.
    pub slack: u32,
    /// Number of one-second buckets in the window.
    pub window_buckets: u32,
    /// Whether the budget is enforced; only tests disable it.
    pub enforced: bool,
}

impl Default for BudgetOptions {
    fn default() -> Self {
        Self { ratio: 0.1, slack: 3, window_buckets: 10, enforced: true }
    }
}

impl BudgetOptions {
    /// Largest number of retries in a window at a steady rate of first attempts.
    pub(crate) fn max_retries(self, attempts_per_second: u32) -> u64 {
        let attempts = f64::from(attempts_per_second) * f64::from(self.window_buckets);
        self.allowed_retries(attempts) as u64
    }

    fn allowed_retries(self, first_attempts: f64) -> f64 {
        f64::from(self.slack) + self.ratio * first_attempts
    }
}

/// Number of refused retries, by the budget that was exhausted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetRefusals {
    /// Retries refused because the customer's budget was exhausted.
    pub customer: u64,
    /// Retries refused because the endpoint's budget was exhausted.
    pub endpoint: u64,
}

/// Decides whether a call may be retried.
///
/// Only the outermost layer of retries may use it, so that retries don't multiply across layers.
///
/// ```
/// use jacinthrock::{BudgetOptions, RetryBudget};
/// use tokio::time::Instant;
///
/// let mut budget = RetryBudget::new(BudgetOptions { slack: 1, ..BudgetOptions::default() });
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
    /// Creates a budget without any recorded attempt.
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

    /// Takes one retry from the budgets of the customer and the endpoint, if neither is exhausted.
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

    /// Gives back a retry that was allowed at `taken` and was not sent.
    ///
    /// ```
    /// use jacinthrock::{BudgetOptions, RetryBudget};
    /// use tokio::time::Instant;
    ///
    /// let mut budget = RetryBudget::new(BudgetOptions { slack: 1, ..BudgetOptions::default() });
    /// let now = Instant::now();
    /// assert!(budget.allow(now, "studio", "booking-1"));
    /// budget.give_back(now, "studio", "booking-1");
    /// assert!(budget.allow(now, "studio", "booking-1"));
    /// ```
    pub fn give_back(&mut self, taken: Instant, customer: &str, endpoint: &str) {
        let index = self.bucket_index(taken);
        window_mut(&mut self.customers, customer).give_back(index);
        window_mut(&mut self.endpoints, endpoint).give_back(index);
    }

    /// Remaining fraction of the customer's budget, from 0 to 1.
    ///
    /// ```
    /// use jacinthrock::{BudgetOptions, RetryBudget};
    /// use tokio::time::Instant;
    ///
    /// let mut budget = RetryBudget::new(BudgetOptions { slack: 2, ..BudgetOptions::default() });
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

    /// Changes the limits and keeps the recorded attempts.
    pub fn set_options(&mut self, options: BudgetOptions) {
        self.options = options;
    }

    /// Number of retries refused since the budget was created.
    pub fn refusals(&self) -> BudgetRefusals {
        self.refusals
    }

    /// Removes customers and endpoints without recent attempts.
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
        self.buckets.back_mut().expect("the bucket was just added")
    }

    fn give_back(&mut self, index: u64) {
        if let Some(bucket) = self.buckets.iter_mut().find(|bucket| bucket.index == index) {
            bucket.retries = bucket.retries.saturating_sub(1);
        }
    }

    fn has_room(&mut self, index: u64, options: BudgetOptions) -> bool {
        let (retries, allowed) = self.usage(index, options);
        (retries + 1) as f64 <= allowed
    }

    /// Retries in the window and the number allowed. Retries are counted over one more bucket than
    /// first attempts, so that the ratio holds for any alignment of the window with the buckets.
    fn usage(&mut self, index: u64, options: BudgetOptions) -> (u64, f64) {
        let width = u64::from(options.window_buckets);
        let oldest = index.saturating_sub(width);
        while self.buckets.front().is_some_and(|bucket| bucket.index < oldest) {
            self.buckets.pop_front();
        }
        let retries: u64 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let recent = self.buckets.iter().filter(|bucket| bucket.index + width > index);
        let first_attempts: u64 = recent.map(|bucket| bucket.first_attempts).sum();
        (retries, options.allowed_retries(first_attempts as f64))
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
