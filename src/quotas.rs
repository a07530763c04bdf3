//! Customers' limits on this host.

use std::rc::Rc;
use std::time::Duration;

use crate::ids::CustomerName;

/// Keeps customers' limits.
pub(crate) trait QuotaLimiter {
    /// Takes a place for one request, or gives the time until there may be one.
    fn try_take(&self, customer: &str) -> Result<(), Duration>;

    /// Gives the place back.
    fn release(&self, customer: &str);
}

/// Hands out places within customers' limits. Clones share them.
#[derive(Clone)]
pub(crate) struct PermitIssuer {
    taker: Rc<dyn QuotaLimiter>,
}

/// A place within a customer's limits; dropping it gives it back.
#[must_use]
pub(crate) struct QuotaPermit {
    taker: Rc<dyn QuotaLimiter>,
    customer: CustomerName,
}

impl Drop for QuotaPermit {
    fn drop(&mut self) {
        self.taker.release(&self.customer);
    }
}

impl PermitIssuer {
    /// A desk that asks `taker`.
    pub(crate) fn new(taker: Rc<dyn QuotaLimiter>) -> Self {
        Self { taker }
    }

    /// Takes a place for one request, or gives the time until there may be one.
    pub(crate) fn take(&self, customer: &str) -> Result<QuotaPermit, Duration> {
        self.taker.try_take(customer)?;
        Ok(QuotaPermit { taker: self.taker.clone(), customer: customer.into() })
    }
}
