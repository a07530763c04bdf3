//! Waits for a path for a stream of a service whose stream routes have different priorities.
//!
//! Each host holds the queue of its own streams, and knows those of the other hosts as counts from the
//! last exchange of loads. The module `waiting` decides.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, timeout_at};

use crate::context::StreamContext;
use crate::demand::DemandMeter;
use crate::failure::SourceFailure;
use crate::levels::count_stream;
use crate::path::PathStage;
use crate::queue::{ObjectiveQueue, QueueNumber};
use crate::routing::MAX_OCCUPANCY;
use crate::waiting::{FreeStarts, SiteQueue, WaitingStream, free_starts};

impl StreamContext {
    /// Waits for a path with room until the last moment of the stream.
    pub(crate) async fn search_by_objective(&self) -> Result<Rc<[PathStage]>, SourceFailure> {
        let (stream, now) = (self.waiting_stream(), Instant::now());
        let until = stream.last_moment();
        // A stream that may start at few endpoints would hold up those behind it.
        let is_limited = self.start_limits().starts.is_some();
        let leads = is_limited || self.would_be_first(&stream, now);
        let leaves_start = leads && self.leaves_start(&stream, now);
        if leads
            && !leaves_start
            && let Some(path) = self.find_path()
        {
            return Ok(self.accept_path(path));
        }
        if self.next_opening().is_some_and(|opening| opening >= until) {
            return Err(SourceFailure::NoPath("no first stage takes requests at present".into()));
        }
        let guard = (!is_limited).then(|| ObjectiveGuard::new(self, stream, now));
        // While starts are free, a stream may find one, however many other hosts say to wait. One
        // that can be on time and leaves its start to others is not refused for them.
        let is_held_back = leaves_start && stream.order_change(now).is_some();
        if let Some(guard) = guard.as_ref().filter(|_| !is_held_back) {
            let wait = self.expected_wait(&stream, guard.ahead, now);
            let is_full = || self.free_starts(now) == 0;
            if !wait.is_zero() && stream.is_refused(wait, now) && is_full() {
                let wait_ms = wait.as_millis();
                return Err(SourceFailure::NoPath(format!("the line is {wait_ms} ms long").into()));
            }
        }
        loop {
            let path_changed = self.state.path_changed.notified();
            let now = Instant::now();
            if guard.as_ref().is_none_or(|guard| guard.is_first(now))
                && !self.leaves_start(&stream, now)
                && let Some(path) = self.find_path()
            {
                return Ok(self.accept_path(path));
            }
            // Nothing notifies of what changes with time alone.
            let wake_at = stream.next_change(now);
            if timeout_at(wake_at, path_changed).await.is_err() && wake_at == until {
                return Err(SourceFailure::NoPath(
                    self.with_query(|state, query| state.explain_no_path(query)),
                ));
            }
        }
    }

    fn waiting_stream(&self) -> WaitingStream {
        let call = &self.call;
        let first_arrived = self.retry_age().and_then(|age| call.arrived.checked_sub(age));
        WaitingStream {
            is_interrupted: self.last_event_id.get().is_some(),
            priority: call.level,
            objective: call.route.objective,
            first_arrived: first_arrived.unwrap_or(call.arrived),
            silent_since: self.last_event_at.get(),
            deadline: call.deadline,
        }
    }

    fn would_be_first(&self, stream: &WaitingStream, now: Instant) -> bool {
        self.update_queue(now);
        let queues = self.state.objective_queues.borrow();
        let queue = queues.get(&self.call.service);
        queue.is_none_or(|queue| queue.would_be_first(stream, now))
    }

    fn expected_wait(&self, stream: &WaitingStream, ahead: u32, now: Instant) -> Duration {
        let interval = self.state.path_queue.borrow().interval();
        stream.expected_wait(ahead, self.site_queue(now).as_ref(), interval, now)
    }

    /// Expected wait of the stream in its queue, as that is now, when its caller returns at a time.
    pub(crate) fn wait_after_return(&self, at: Instant, now: Instant) -> Duration {
        let interval = self.state.path_queue.borrow().interval();
        let stream = WaitingStream { silent_since: at, ..self.waiting_stream() };
        let queues = self.state.objective_queues.borrow();
        let queue = queues.get(&self.call.service);
        let ahead = queue.map_or(0, |queue| queue.ahead(stream.order(at)));
        stream.expected_wait(ahead, self.site_queue(now).as_ref(), interval, at)
    }

    fn leaves_start(&self, stream: &WaitingStream, now: Instant) -> bool {
        stream.leaves_start(|| self.record_free(now), self.site_queue(now).as_ref(), now)
    }

    /// Streams of the service over all hosts; `None` while no recent total is known.
    fn site_queue(&self, now: Instant) -> Option<SiteQueue> {
        let (loads, service) = (self.state.peer_loads.borrow(), &self.call.service);
        let (total, _age) = loads.demands(service, now)?;
        let on_time = loads.other_on_time(service, now)?;
        Some(SiteQueue::new(&total, &loads.other_demands(service, now)?, on_time))
    }

    /// Number of streams of the service that may still start, over all endpoints.
    fn free_starts(&self, now: Instant) -> u64 {
        let endpoints = self.state.endpoints.borrow();
        let first_stages = endpoints.entries().filter(|entry| {
            entry.service == self.call.service
                && entry.layers.is_some_and(|span| span.from == 0 && span.count() > 0)
                && self.state.accepts_work(entry, now)
        });
        let free = first_stages.map(|entry| {
            let starts = self.state.total_load(&entry.name).starts;
            u64::from(free_starts(entry.slots, starts, MAX_OCCUPANCY))
        });
        free.sum()
    }

    /// Free starts of the service, with the time for which the queue has seen some.
    fn record_free(&self, now: Instant) -> FreeStarts {
        let count = self.free_starts(now);
        let mut queues = self.state.objective_queues.borrow_mut();
        let queue = queues.get_mut(&self.call.service);
        queue.map_or(FreeStarts { count, since: None }, |queue| queue.record_free(count, now))
    }

    /// Moves streams of the queue whose objective has passed, and wakes the one that is first then.
    fn update_queue(&self, now: Instant) {
        let mut queues = self.state.objective_queues.borrow_mut();
        let queue = queues.get_mut(&self.call.service);
        if queue.is_some_and(|queue| queue.update(now)) {
            self.state.path_changed.notify_waiters();
        }
    }
}

/// Keeps a stream in the queue of its service until dropped.
struct ObjectiveGuard<'a> {
    context: &'a StreamContext,
    stream: WaitingStream,
    number: QueueNumber,
    /// Streams of this host that are served before it.
    ahead: u32,
}

impl<'a> ObjectiveGuard<'a> {
    fn new(context: &'a StreamContext, stream: WaitingStream, now: Instant) -> Self {
        let mut queues = context.state.objective_queues.borrow_mut();
        let queue = queues.entry(context.call.service.clone()).or_default();
        let (number, ahead) = queue.join(stream, now);
        context.count_demand(DemandMeter::join_queue);
        count_stream(context, "waited");
        Self { context, stream, number, ahead }
    }

    /// Whether the stream is the next to search for a path. One that takes any start does not wait
    /// behind streams that leave theirs to others, or it would be refused while starts are free.
    fn is_first(&self, now: Instant) -> bool {
        self.context.update_queue(now);
        let service = &self.context.call.service;
        let first = {
            let queues = self.context.state.objective_queues.borrow();
            queues.get(service).and_then(ObjectiveQueue::first)
        };
        if first == Some(self.number) {
            return true;
        }
        // Spares the count of free starts, which goes through all endpoints.
        if !self.stream.takes_any_start(now) {
            return false;
        }
        // The queue remembers since when starts are free, so that they are counted before it is
        // borrowed.
        let (site, free) = (self.context.site_queue(now), self.context.record_free(now));
        let leaves = |other: &WaitingStream| other.leaves_start(|| free, site.as_ref(), now);
        let queues = self.context.state.objective_queues.borrow();
        queues.get(service).is_some_and(|queue| queue.goes_past(self.number, leaves, now))
    }
}

impl Drop for ObjectiveGuard<'_> {
    fn drop(&mut self) {
        let StreamContext { state, call, .. } = self.context;
        self.context.count_demand(DemandMeter::leave_queue);
        let mut queues = state.objective_queues.borrow_mut();
        let Some(queue) = queues.get_mut(&call.service) else { return };
        // Those behind another stream can't go on when this one leaves.
        if queue.leave(self.number) {
            state.path_changed.notify_waiters();
        }
        if queue.is_empty() {
            queues.remove(&call.service);
        }
    }
}
