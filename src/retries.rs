//! Retry budgets of a host: one for model answers and one for plain calls.

use std::cell::RefCell;
use std::rc::Rc;
use tokio::time::Instant;

use crate::budget::{BudgetOptions, RetryBudget};
use crate::ids::{CustomerName, ServiceName};

/// Answer retries allowed for each first attempt. A retry continues after the accepted tokens and
/// adds little work, so this limit only stops retry loops.
const ANSWER_RETRY_RATIO: f64 = 1.0;
/// Answer retries allowed in a window in addition to the ratio.
const ANSWER_RETRY_SLACK: u32 = 32;

/// Options of the budget of plain calls.
pub(crate) fn plain_budget() -> BudgetOptions {
    BudgetOptions::default()
}

/// Retry budgets of a host. Clones share the budgets.
#[derive(Clone)]
pub(crate) struct RetryBudgets {
    answers: Rc<RefCell<RetryBudget>>,
    plain: Rc<RefCell<RetryBudget>>,
}

impl Default for RetryBudgets {
    fn default() -> Self {
        let answers = BudgetOptions {
            ratio: ANSWER_RETRY_RATIO,
            slack: ANSWER_RETRY_SLACK,
            ..BudgetOptions::default()
        };
        let shared_budget = |options| Rc::new(RefCell::new(RetryBudget::new(options)));
        Self { answers: shared_budget(answers), plain: shared_budget(plain_budget()) }
    }
}

impl RetryBudgets {
    /// Records the first attempt of an answer. The returned function takes one retry from the
    /// budget and returns whether it is allowed; it ignores its argument.
    pub(crate) fn answer_retry(&self, customer: &str, service: &str) -> Rc<dyn Fn(&str) -> bool> {
        let retry = record_call(&self.answers, customer.into(), service.into());
        Rc::new(move |_reason| retry())
    }

    /// Records the first attempt of a plain call. The returned function takes one retry from the
    /// budget and returns whether it is allowed.
    pub(crate) fn plain_retry(&self, customer: &str, service: &str) -> Rc<dyn Fn() -> bool> {
        Rc::new(record_call(&self.plain, customer.into(), service.into()))
    }

    /// Removes customers and services without recent attempts.
    pub(crate) fn prune(&self) {
        let now = Instant::now();
        self.answers.borrow_mut().prune(now);
        self.plain.borrow_mut().prune(now);
    }
}

/// Records a first attempt and returns a function that takes one retry from the budget.
fn record_call(
    budget: &Rc<RefCell<RetryBudget>>,
    customer: CustomerName,
    service: ServiceName,
) -> impl Fn() -> bool + use<> {
    budget.borrow_mut().record_first(Instant::now(), &customer, &service);
    let budget = budget.clone();
    move || budget.borrow_mut().allow(Instant::now(), &customer, &service)
}
