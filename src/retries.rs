//! Retry budgets of a host: one for answers, one for plain calls.

use std::cell::RefCell;
use std::rc::Rc;
use tokio::time::Instant;

use crate::budget::{BudgetOptions, RetryBudget};
use crate::ids::{CustomerName, ServiceName};

/// Retries of answers for each first attempt. A retry goes on from the accepted tokens, so that it
/// adds little work; the limit only stops loops.
const ANSWER_RETRY_RATIO: f64 = 1.0;
/// Retries of answers that are always allowed in a window.
const ANSWER_RETRY_FLOOR: u32 = 32;

/// Retry budgets of a host. Clones share them.
#[derive(Clone)]
pub(crate) struct RetryBudgets {
    answers: Rc<RefCell<RetryBudget>>,
    plain: Rc<RefCell<RetryBudget>>,
}

impl Default for RetryBudgets {
    fn default() -> Self {
        let answers = BudgetOptions {
            ratio: ANSWER_RETRY_RATIO,
            floor: ANSWER_RETRY_FLOOR,
            ..BudgetOptions::default()
        };
        let desk = |options| Rc::new(RefCell::new(RetryBudget::new(options)));
        Self { answers: desk(answers), plain: desk(BudgetOptions::default()) }
    }
}

impl RetryBudgets {
    /// Records an answer's first attempt; the result takes one retry from its budget.
    pub(crate) fn answer_retry(&self, customer: &str, service: &str) -> Rc<dyn Fn(&str) -> bool> {
        let retry = ask(&self.answers, customer.into(), service.into());
        Rc::new(move |_reason| retry())
    }

    /// Records a plain call's first attempt; the result takes one retry from its budget.
    pub(crate) fn plain_retry(&self, customer: &str, service: &str) -> Rc<dyn Fn() -> bool> {
        Rc::new(ask(&self.plain, customer.into(), service.into()))
    }

    /// Drops what is no longer needed.
    pub(crate) fn prune(&self) {
        let now = Instant::now();
        self.answers.borrow_mut().prune(now);
        self.plain.borrow_mut().prune(now);
    }
}

fn ask(
    budget: &Rc<RefCell<RetryBudget>>,
    customer: CustomerName,
    service: ServiceName,
) -> impl Fn() -> bool + use<> {
    budget.borrow_mut().record_first(Instant::now(), &customer, &service);
    let budget = budget.clone();
    move || budget.borrow_mut().allow(Instant::now(), &customer, &service)
}
