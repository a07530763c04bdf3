//! Waiting requests of one service: priority classes, and fair sharing inside each class.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::endpoint::PriorityClass;
use crate::ids::CustomerName;

/// Number of a request at the admission gate.
pub type TicketNumber = u64;

/// Virtual time that one request costs a customer with share 1.
const REQUEST_COST: u64 = 1 << 20;

/// Number of priority classes.
const CLASSES: usize = 3;

/// Classes keep at least this fraction of the queue against eviction by a higher class.
const CLASS_RESERVE: usize = 8;

/// Every priority class, first served first.
pub(crate) const ALL_CLASSES: [PriorityClass; CLASSES] =
    [PriorityClass::Guidance, PriorityClass::Interactive, PriorityClass::Batch];

/// Protections of a [`FairQueue`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueOptions {
    /// Whether customers share a class by weight; otherwise first come, first served.
    pub(crate) fair_sharing: bool,
    /// Starts of other classes after which a waiting class is served; 0 turns the guard off.
    pub(crate) starvation_limit: u32,
}

/// Waiting tickets, by class and customer.
///
/// Inside a class, start-time fair queueing: each customer's next request has a virtual start
/// time, and the smallest is served first. A customer that was idle starts at the current virtual
/// time, so that it neither saves up a claim nor waits behind another's backlog.
pub(crate) struct FairQueue {
    options: QueueOptions,
    classes: [ClassQueue; CLASSES],
    passed_over: [u32; CLASSES],
    places: BTreeMap<TicketNumber, QueuePlace>,
}

#[derive(Clone)]
struct QueuePlace {
    class: usize,
    customer: CustomerName,
}

#[derive(Default)]
struct ClassQueue {
    virtual_time: u64,
    customers: BTreeMap<CustomerName, CustomerQueue>,
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
            passed_over: [0; CLASSES],
            places: BTreeMap::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }

    pub(crate) fn class_len(&self, class: PriorityClass) -> usize {
        self.classes[class as usize].length
    }

    pub(crate) fn tickets(&self) -> impl Iterator<Item = TicketNumber> + '_ {
        self.places.keys().copied()
    }

    pub(crate) fn push(
        &mut self,
        ticket: TicketNumber,
        class: PriorityClass,
        customer: &str,
        share: u32,
    ) {
        let class = class as usize;
        let customer = self.lane_of(customer);
        let cost = REQUEST_COST / u64::from(share.max(1));
        self.classes[class].push(ticket, &customer, cost);
        self.places.insert(ticket, QueuePlace { class, customer });
    }

    /// Takes the ticket to be served next.
    pub(crate) fn pop(&mut self) -> Option<TicketNumber> {
        let class = self.next_class()?;
        let ticket = self.classes[class].pop()?;
        self.places.remove(&ticket);
        Some(ticket)
    }

    pub(crate) fn remove(&mut self, ticket: TicketNumber) -> bool {
        let Some(place) = self.places.remove(&ticket) else {
            return false;
        };
        self.classes[place.class].remove(ticket, &place.customer);
        true
    }

    /// Number of waiting tickets that are served before this one, as things stand.
    pub(crate) fn ahead_of(&self, ticket: TicketNumber) -> usize {
        let Some(place) = self.places.get(&ticket) else {
            return 0;
        };
        let above: usize = self.classes[..place.class].iter().map(|class| class.length).sum();
        above + self.classes[place.class].ahead_of(ticket, &place.customer)
    }

    /// Ticket that gives way when `newcomer` overfills the queue: the newest of the customer with
    /// the longest backlog for its share, lowest class first. `None` if the newcomer has to go.
    pub(crate) fn eviction_for(
        &self,
        newcomer: TicketNumber,
        queue_length: usize,
    ) -> Option<TicketNumber> {
        if !self.options.fair_sharing {
            return None;
        }
        let class = self.places.get(&newcomer)?.class;
        let reserve = queue_length / CLASS_RESERVE;
        let lower = (class + 1..CLASSES).rev().find(|&lower| self.classes[lower].length > reserve);
        if let Some(lower) = lower {
            return self.classes[lower].heaviest();
        }
        if self.classes[class].length <= reserve {
            return self.eviction_from_above(class, reserve);
        }
        self.classes[class].heaviest()
    }

    /// A class within its reserve takes a place back from the classes above.
    fn eviction_from_above(&self, class: usize, reserve: usize) -> Option<TicketNumber> {
        let longest = (0..class).max_by_key(|&above| self.classes[above].length)?;
        if self.classes[longest].length <= reserve {
            return None;
        }
        self.classes[longest].heaviest()
    }

    fn lane_of(&self, customer: &str) -> CustomerName {
        if self.options.fair_sharing { customer.into() } else { "".into() }
    }

    fn next_class(&self) -> Option<usize> {
        let guard = self.options.starvation_limit;
        let waits = |&class: &usize| self.classes[class].length > 0;
        let overdue = |&class: &usize| guard > 0 && self.passed_over[class] >= guard;
        let starved = (1..CLASSES).filter(waits).find(overdue);
        starved.or_else(|| (0..CLASSES).find(waits))
    }

    /// Counts the start of a request against the classes that wait meanwhile.
    pub(crate) fn note_start(&mut self, served: PriorityClass) {
        let served = served as usize;
        for class in 0..CLASSES {
            let waits = self.classes[class].length > 0;
            let count = self.passed_over[class].saturating_add(1);
            self.passed_over[class] = if class != served && waits { count } else { 0 };
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

    /// Forgets idle customers whose past service no longer counts.
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
        let ahead: usize = others.map(|(_, queue)| queue.starts_before(start)).sum();
        index + ahead
    }

    /// The newest ticket of the customer whose backlog is the longest in virtual time.
    fn heaviest(&self) -> Option<TicketNumber> {
        let backlogs = self.customers.values().filter_map(|queue| {
            let ticket = queue.tickets.back()?;
            Some((queue.tickets.len() as u64 * queue.cost, *ticket))
        });
        backlogs.max().map(|(_, ticket)| ticket)
    }
}

impl CustomerQueue {
    fn starts_before(&self, start: u64) -> usize {
        if self.tickets.is_empty() || self.next_start >= start {
            return 0;
        }
        let fitting = (start - self.next_start).div_ceil(self.cost.max(1)) as usize;
        fitting.min(self.tickets.len())
    }
}
