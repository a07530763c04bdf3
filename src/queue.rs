//! Queue of one service: priority classes with fair queueing inside each class.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::endpoint::PriorityClass;
use crate::ids::CustomerName;

/// Identifier of a request at the admission gate.
pub type TicketNumber = u64;

/// Virtual time that one request takes for a customer with share 1.
const REQUEST_COST: u64 = 1 << 20;

const CLASS_COUNT: usize = 3;

/// Each class has 1/`CLASS_RESERVE_DIVISOR` of the queue in reserve, which other classes can't
/// evict.
const CLASS_RESERVE_DIVISOR: usize = 8;

/// All priority classes, highest first.
pub(crate) const ALL_CLASSES: [PriorityClass; CLASS_COUNT] =
    [PriorityClass::Guidance, PriorityClass::Interactive, PriorityClass::Batch];

/// Policies of a [`FairQueue`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueOptions {
    /// Whether customers of a class share capacity by weight; otherwise a class is first in, first
    /// out.
    pub(crate) fair_sharing: bool,
    /// Starts of other classes after which a waiting class is served next; 0 means no limit.
    pub(crate) starvation_limit: u32,
}

/// Waiting tickets, by class and customer.
///
/// Each class uses start-time fair queueing: each customer's next request has a virtual start
/// time, and the smallest is served first. A customer that was idle starts at the current virtual
/// time, so that it neither accumulates credit nor waits behind another customer's backlog.
pub(crate) struct FairQueue {
    options: QueueOptions,
    classes: [ClassQueue; CLASS_COUNT],
    /// For each waiting class, starts of other classes since it was last served.
    passed_over: [u32; CLASS_COUNT],
    entries: BTreeMap<TicketNumber, QueueEntry>,
}

#[derive(Clone)]
struct QueueEntry {
    class: usize,
    customer: CustomerName,
}

#[derive(Default)]
struct ClassQueue {
    virtual_time: u64,
    customers: BTreeMap<CustomerName, CustomerQueue>,
    /// Customers with waiting tickets, by the virtual start of their next one.
    ready: BTreeSet<(u64, CustomerName)>,
    length: usize,
}

struct CustomerQueue {
    cost: u64,
    next_start: u64,
    tickets: VecDeque<TicketNumber>,
}

impl FairQueue {
    pub(crate) fn new(options: QueueOptions) -> Self {
        Self {
            options,
            classes: Default::default(),
            passed_over: [0; CLASS_COUNT],
            entries: BTreeMap::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn class_len(&self, class: PriorityClass) -> usize {
        self.classes[class as usize].length
    }

    pub(crate) fn tickets(&self) -> impl Iterator<Item = TicketNumber> + '_ {
        self.entries.keys().copied()
    }

    pub(crate) fn push(
        &mut self,
        ticket: TicketNumber,
        class: PriorityClass,
        customer: &str,
        share: u32,
    ) {
        let class = class as usize;
        let customer = self.flow_of(customer);
        let cost = REQUEST_COST / u64::from(share.max(1));
        self.classes[class].push(ticket, &customer, cost);
        self.entries.insert(ticket, QueueEntry { class, customer });
    }

    /// Removes and returns the ticket to serve next.
    pub(crate) fn pop(&mut self) -> Option<TicketNumber> {
        let class = self.next_class()?;
        let ticket = self.classes[class].pop()?;
        self.entries.remove(&ticket);
        Some(ticket)
    }

    pub(crate) fn remove(&mut self, ticket: TicketNumber) -> bool {
        let Some(entry) = self.entries.remove(&ticket) else {
            return false;
        };
        self.classes[entry.class].remove(ticket, &entry.customer);
        true
    }

    /// Number of waiting tickets that are served before this one if no others arrive.
    pub(crate) fn ahead_of(&self, ticket: TicketNumber) -> usize {
        let Some(entry) = self.entries.get(&ticket) else {
            return 0;
        };
        let above: usize = self.classes[..entry.class].iter().map(|class| class.length).sum();
        above + self.classes[entry.class].ahead_of(ticket, &entry.customer)
    }

    /// Ticket to evict when `arrival` exceeds the queue length: the newest ticket of the customer
    /// with the longest backlog relative to its share. Lower classes are evicted first, as long as
    /// they exceed their reserve. `None` if the arrival itself is to be refused.
    pub(crate) fn eviction_victim(
        &self,
        arrival: TicketNumber,
        queue_length: usize,
    ) -> Option<TicketNumber> {
        if !self.options.fair_sharing {
            return None;
        }
        let class = self.entries.get(&arrival)?.class;
        let reserve = queue_length / CLASS_RESERVE_DIVISOR;
        let lower =
            (class + 1..CLASS_COUNT).rev().find(|&lower| self.classes[lower].length > reserve);
        if let Some(lower) = lower {
            return self.classes[lower].newest_of_longest_backlog();
        }
        if self.classes[class].length <= reserve {
            return self.victim_from_above(class, reserve);
        }
        self.classes[class].newest_of_longest_backlog()
    }

    /// Ticket that a class within its reserve may evict from the higher classes.
    fn victim_from_above(&self, class: usize, reserve: usize) -> Option<TicketNumber> {
        let longest = (0..class).max_by_key(|&above| self.classes[above].length)?;
        if self.classes[longest].length <= reserve {
            return None;
        }
        self.classes[longest].newest_of_longest_backlog()
    }

    /// Customer whose queue a ticket joins; all share one queue without fair sharing.
    fn flow_of(&self, customer: &str) -> CustomerName {
        if self.options.fair_sharing { customer.into() } else { "".into() }
    }

    fn next_class(&self) -> Option<usize> {
        let limit = self.options.starvation_limit;
        let is_waiting = |&class: &usize| self.classes[class].length > 0;
        let is_overdue = |&class: &usize| limit > 0 && self.passed_over[class] >= limit;
        let starved = (1..CLASS_COUNT).filter(is_waiting).find(is_overdue);
        starved.or_else(|| (0..CLASS_COUNT).find(is_waiting))
    }

    /// Counts the start of a request of class `served` as a pass over the other waiting classes.
    pub(crate) fn record_start(&mut self, served: PriorityClass) {
        let served = served as usize;
        for class in 0..CLASS_COUNT {
            let is_waiting = self.classes[class].length > 0;
            let count = self.passed_over[class].saturating_add(1);
            self.passed_over[class] = if class != served && is_waiting { count } else { 0 };
        }
    }
}

impl ClassQueue {
    fn push(&mut self, ticket: TicketNumber, customer: &CustomerName, cost: u64) {
        let virtual_time = self.virtual_time;
        let queue = self.customers.entry(customer.clone()).or_insert_with(|| CustomerQueue {
            cost,
            next_start: virtual_time,
            tickets: VecDeque::new(),
        });
        queue.cost = cost;
        if queue.tickets.is_empty() {
            queue.next_start = queue.next_start.max(virtual_time);
            self.ready.insert((queue.next_start, customer.clone()));
        }
        queue.tickets.push_back(ticket);
        self.length += 1;
    }

    fn pop(&mut self) -> Option<TicketNumber> {
        let (start, customer) = self.ready.pop_first()?;
        let queue = self.customers.get_mut(&customer)?;
        let ticket = queue.tickets.pop_front()?;
        self.virtual_time = start;
        queue.next_start = start + queue.cost;
        if !queue.tickets.is_empty() {
            self.ready.insert((queue.next_start, customer));
        }
        self.length -= 1;
        self.prune();
        Some(ticket)
    }

    fn remove(&mut self, ticket: TicketNumber, customer: &CustomerName) {
        let Some(queue) = self.customers.get_mut(customer) else {
            return;
        };
        queue.tickets.retain(|&waiting| waiting != ticket);
        self.length -= 1;
        if queue.tickets.is_empty() {
            self.ready.remove(&(queue.next_start, customer.clone()));
            self.prune();
        }
    }

    /// Removes idle customers whose past service no longer delays their next request.
    fn prune(&mut self) {
        let virtual_time = self.virtual_time;
        self.customers
            .retain(|_, queue| !queue.tickets.is_empty() || queue.next_start > virtual_time);
    }

    fn ahead_of(&self, ticket: TicketNumber, customer: &CustomerName) -> usize {
        let Some(own) = self.customers.get(customer) else {
            return 0;
        };
        let index = own.tickets.iter().position(|&waiting| waiting == ticket).unwrap_or(0);
        let start = own.next_start + own.cost * index as u64;
        let others = self.customers.iter().filter(|(name, _)| *name != customer);
        let ahead: usize = others.map(|(_, queue)| queue.count_before(start)).sum();
        index + ahead
    }

    /// Newest ticket of the customer with the longest backlog in virtual time.
    fn newest_of_longest_backlog(&self) -> Option<TicketNumber> {
        let backlogs = self.customers.values().filter_map(|queue| {
            let ticket = queue.tickets.back()?;
            Some((queue.tickets.len() as u64 * queue.cost, *ticket))
        });
        backlogs.max().map(|(_, ticket)| ticket)
    }
}

impl CustomerQueue {
    fn count_before(&self, start: u64) -> usize {
        if self.tickets.is_empty() || self.next_start >= start {
            return 0;
        }
        let earlier_starts = (start - self.next_start).div_ceil(self.cost.max(1)) as usize;
        earlier_starts.min(self.tickets.len())
    }
}
