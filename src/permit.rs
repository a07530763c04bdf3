//! Permits for requests within customers' limits.

use std::rc::Rc;
use std::time::Duration;

use crate::ids::CustomerName;

/// Enforces customers' limits.
pub(crate) trait QuotaLimiter {
    /// Takes one request from the customer's limits, or returns the retry delay.
    fn try_take(&self, customer: &str) -> Result<(), Duration>;

    /// Records the end of a request that was taken.
    fn release(&self, customer: &str);
}

/// Issues permits within customers' limits. Clones share the limits.
#[derive(Clone)]
pub(crate) struct PermitIssuer {
    limiter: Rc<dyn QuotaLimiter>,
}

/// Permit for one request in flight; dropping it releases the request.
#[must_use]
pub(crate) struct QuotaPermit {
    limiter: Rc<dyn QuotaLimiter>,
    customer: CustomerName,
}

impl Drop for QuotaPermit {
    fn drop(&mut self) {
        self.limiter.release(&self.customer);
    }
}

impl PermitIssuer {
    /// Creates an issuer whose permits come from `limiter`.
    pub(crate) fn new(limiter: Rc<dyn QuotaLimiter>) -> Self {
        Self { limiter }
    }

    /// Takes a permit for one request, or returns the retry delay.
    pub(crate) fn take(&self, customer: &str) -> Result<QuotaPermit, Duration> {
        self.limiter.try_take(customer)?;
        Ok(QuotaPermit { limiter: self.limiter.clone(), customer: customer.into() })
    }
}
