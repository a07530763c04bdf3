//! Waits for a slot for plain calls of services with several priorities. The module `call_line`
//! decides.

use std::cell::{Cell, OnceCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use jacinthrock::{EndpointName, MetricName, ServiceName};
use rand::Rng;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use crate::call::AllowedCall;
use crate::call_line::{
    CallEndpoint, CallLine, CallNumber, CallRoom, CountedCalls, LineInputs, LineRefusal, LineStep,
    WaitingCall,
};
use crate::endpoints::EndpointEntry;
use crate::inflight::StageLoad;
use crate::loads::LoadMap;
use crate::plain::{call_cost, split_endpoints};
use crate::relay::spread_time;
use crate::state::EntryState;

/// Lines of a host, by service.
#[derive(Debug, Default)]
pub(crate) struct ServiceLines {
    lines: BTreeMap<ServiceName, ServiceLine>,
}

#[derive(Debug, Default)]
struct ServiceLine {
    line: CallLine,
    /// Notified when the next call may be sent.
    changed: Rc<Notify>,
}

impl ServiceLines {
    /// Has all waiting calls look for a slot.
    pub(crate) fn wake(&self) {
        let waiting = self.lines.values().filter(|service| !service.line.is_empty());
        waiting.for_each(|service| service.changed.notify_waiters());
    }

    fn get_mut(&mut self, service: &ServiceName) -> &mut ServiceLine {
        self.lines.entry(service.clone()).or_default()
    }
}

/// Adds the calls that this host has open at endpoints of services with several priorities, which
/// run no streams.
pub(crate) fn add_open_calls(state: &EntryState, loads: &mut LoadMap) {
    let Some(rules) = state.rules().filter(|rules| rules.has_any_plain_priorities()) else {
        return;
    };
    let (endpoints, health) = (state.endpoints.borrow(), state.health.borrow());
    let entries = endpoints
        .entries()
        .filter(|entry| entry.layers.is_none() && rules.has_plain_priorities(&entry.service));
    for entry in entries {
        let streams = health.open_calls(&entry.name);
        if streams > 0 {
            loads.insert(entry.name.clone(), StageLoad { streams, ..StageLoad::default() });
        }
    }
}

/// What a call of a service with several priorities does next.
pub(crate) enum CallTurn {
    /// It is sent to an endpoint.
    Send(EndpointEntry),
    /// It is refused.
    Refuse(LineRefusal),
    /// No endpoint that it may use is healthy.
    NoEndpoint,
}

/// A plain call of a service with several priorities.
pub(crate) struct LineCall<'a> {
    state: &'a EntryState,
    call: &'a AllowedCall,
    is_yielding: OnceCell<bool>,
    has_waited: Cell<bool>,
    waited: Cell<Duration>,
    is_resent: Cell<bool>,
}

impl<'a> LineCall<'a> {
    /// The call, if its service has several priorities.
    pub(crate) fn new(state: &'a EntryState, call: &'a AllowedCall) -> Option<Self> {
        let has_line = state.rules()?.has_plain_priorities(&call.service);
        let (is_yielding, has_waited, waited, is_resent) = Default::default();
        has_line.then_some(Self { state, call, is_yielding, has_waited, waited, is_resent })
    }

    /// Time for which the call waits at most, from now on.
    pub(crate) fn max_wait(&self) -> Duration {
        let now = Instant::now();
        self.waiting_call(false, now).wait_end().saturating_duration_since(now)
    }

    /// Waits for the call's turn at one of the endpoints that have not been tried.
    pub(crate) async fn next_endpoint(&self, tried: &BTreeSet<EndpointName>) -> CallTurn {
        let is_yielding = *self.is_yielding.get_or_init(|| self.record_arrival(tried));
        let joined = self.with_line(tried, |line, view, now| {
            if view.room == CallRoom::Missing {
                return Ok(None);
            }
            line.join(self.waiting_call(is_yielding, now), view.room, view.inputs).map(Some)
        });
        let place = match joined {
            Ok(Some(number)) => LinePlace { call: self, number },
            Ok(None) => return CallTurn::NoEndpoint,
            Err(refusal) => return CallTurn::Refuse(refusal),
        };
        let changed = self.changed();
        loop {
            let path_changed = self.state.path_changed.notified();
            let line_changed = changed.notified();
            match self.step(place.number, tried) {
                Ok(turn) => return turn,
                Err(until) => {
                    self.record_wait();
                    let any = async {
                        tokio::select! { () = path_changed => {}, () = line_changed => {} }
                    };
                    let started = Instant::now();
                    // Either end of the wait leads to another look.
                    let _ = timeout_at(until, any).await;
                    self.waited.set(self.waited.get() + started.elapsed());
                }
            }
        }
    }

    /// Whether the call may be sent again, within the retry budget.
    pub(crate) fn has_retry(&self) -> bool {
        self.state.has_retry(&self.call.service, self.reserved_retries())
    }

    /// Takes a retry from the budget.
    pub(crate) fn allow_retry(&self) -> bool {
        self.state.allow_retry(&self.call.service, "plain", self.reserved_retries())
    }

    /// Records that an endpoint has refused the call as full.
    pub(crate) fn record_refusal(&self, entry: &EndpointEntry) {
        self.is_resent.set(true);
        let mut lines = self.state.call_lines.borrow_mut();
        lines.get_mut(&self.call.service).line.record_refusal(&entry.name, Instant::now());
    }

    /// Records that a call has ended at an endpoint, with the time that it took if the endpoint has
    /// answered it.
    pub(crate) fn record_end(&self, entry: &EndpointEntry, taken: Option<Duration>) {
        let mut lines = self.state.call_lines.borrow_mut();
        let service = lines.get_mut(&self.call.service);
        if let Some(taken) = taken {
            service.line.record_answer(&entry.name, taken, Instant::now());
        }
        service.changed.notify_waiters();
    }

    /// What is known of a call that endpoints have refused as full for as often as it may be sent.
    pub(crate) fn describe_refusal(&self, fault: &str) -> Box<str> {
        let (level, waited) = (self.call.level, self.waited.get().as_millis());
        let ahead = self
            .with_line(&BTreeSet::new(), |line, _, now| line.ahead(&self.waiting_call(false, now)));
        format!("{fault}; waited {waited} ms; calls ahead: {ahead}, level: {level}").into()
    }

    /// Counts the call as refused, or as served if it has waited.
    pub(crate) fn count_end(&self, is_refused: bool) {
        if is_refused {
            self.count("refused");
        } else if self.has_waited.get() {
            self.count("served_after_wait");
        }
    }

    fn record_wait(&self) {
        if !self.has_waited.replace(true) {
            self.count("waited");
        }
    }

    fn count(&self, outcome: &str) {
        let level = self.call.level.to_string();
        let labels = [&*self.call.service, &level, outcome];
        self.state.metrics.count(MetricName::PlainCalls, &labels);
    }

    fn waiting_call(&self, is_yielding: bool, now: Instant) -> WaitingCall {
        WaitingCall {
            level: self.call.level,
            is_yielding,
            is_resent: self.is_resent.get(),
            objective: self.call.route.objective,
            arrived: self.call.arrived,
            joined: now,
            deadline: self.call.deadline,
        }
    }

    /// Counts the call among those that arrive, and returns whether it leaves slots to others.
    fn record_arrival(&self, tried: &BTreeSet<EndpointName>) -> bool {
        let (service, level) = (&self.call.service, self.call.level);
        self.state.demand.borrow_mut().record_arrived(service, level, Instant::now());
        let draw = rand::rng().random_range(0.0..1.0);
        self.with_line(tried, |line, view, now| line.leaves_slot(level, view.inputs, draw, now))
    }

    fn reserved_retries(&self) -> f64 {
        let level = self.call.level;
        self.with_line(&BTreeSet::new(), |line, view, now| {
            line.reserved_retries(level, view.inputs, now)
        })
    }

    /// The call's turn, or until when it waits.
    fn step(
        &self,
        number: CallNumber,
        tried: &BTreeSet<EndpointName>,
    ) -> Result<CallTurn, Instant> {
        self.with_line(tried, |line, view, now| {
            if view.room == CallRoom::Missing {
                return Ok(CallTurn::NoEndpoint);
            }
            let step = line.step(number, view.room, view.inputs, now);
            let is_wanted = |endpoint: &CallEndpoint<'_>| match step {
                LineStep::Send => line.has_room(*endpoint, now),
                _ => line.refused_until(endpoint.name, now).is_none(),
            };
            match step {
                LineStep::Wait(until) => return Err(until),
                LineStep::Refuse(refusal) => return Ok(CallTurn::Refuse(refusal)),
                LineStep::Send | LineStep::SendLast => {}
            }
            let wanted = view.endpoints.iter().filter(|(_, endpoint)| is_wanted(endpoint));
            let cost = |entry: &EndpointEntry| call_cost(self.state, entry);
            let best = wanted.min_by(|(a, _), (b, _)| cost(a).total_cmp(&cost(b)));
            Ok(best.map_or(CallTurn::NoEndpoint, |(entry, _)| CallTurn::Send((*entry).clone())))
        })
    }

    fn changed(&self) -> Rc<Notify> {
        self.state.call_lines.borrow_mut().get_mut(&self.call.service).changed.clone()
    }

    /// Passes the line of the service to a decision, with what is known of the endpoints that the
    /// call may use.
    fn with_line<R>(
        &self,
        tried: &BTreeSet<EndpointName>,
        decide: impl FnOnce(&mut CallLine, LineView<'_>, Instant) -> R,
    ) -> R {
        let (state, service, now) = (self.state, &self.call.service, Instant::now());
        let (endpoints, loads) = (state.endpoints.borrow(), state.peer_loads.borrow());
        let (healthy, _) = split_endpoints(state, &endpoints, service, tried);
        let hosts = state.host_count();
        let view = |entry: &EndpointEntry| {
            let others = loads.other_load(&entry.name, now);
            // What the total contains had been reported up to one exchange before.
            let counted = |(load, age): (StageLoad, Duration)| CountedCalls {
                count: load.streams,
                age: age + spread_time(hosts),
            };
            (state.health.borrow().open_calls(&entry.name), others.map(counted))
        };
        let endpoints: Vec<_> = healthy
            .into_iter()
            .map(|entry| {
                let (own_calls, other_calls) = view(entry);
                let slots = entry.slots;
                (entry, CallEndpoint { name: &entry.name, slots, own_calls, other_calls })
            })
            .collect();
        let sum = |count: &dyn Fn(&CallEndpoint<'_>) -> u32| {
            endpoints.iter().fold(0_u32, |sum, (_, endpoint)| sum.saturating_add(count(endpoint)))
        };
        let demand = loads.demands(service, now);
        let inputs = LineInputs {
            slots: sum(&|endpoint| endpoint.slots),
            open_calls: sum(&|endpoint| {
                let others = endpoint.other_calls.map_or(0, |others| others.count);
                endpoint.own_calls.saturating_add(others)
            }),
            hosts,
            demand: demand.as_ref().map(|(demand, _age)| demand),
        };
        let mut lines = state.call_lines.borrow_mut();
        let line = &mut lines.get_mut(service).line;
        let room = line.room(endpoints.iter().map(|(_, endpoint)| *endpoint), now);
        decide(line, LineView { endpoints: &endpoints, room, inputs }, now)
    }
}

/// What a decision reads of a service's endpoints.
struct LineView<'a> {
    endpoints: &'a [(&'a EndpointEntry, CallEndpoint<'a>)],
    room: CallRoom,
    inputs: LineInputs<'a>,
}

/// Keeps a call in its line until dropped; the next one looks for a slot then.
struct LinePlace<'a> {
    call: &'a LineCall<'a>,
    number: CallNumber,
}

impl Drop for LinePlace<'_> {
    fn drop(&mut self) {
        let mut lines = self.call.state.call_lines.borrow_mut();
        let service = lines.get_mut(&self.call.call.service);
        service.line.leave(self.number);
        service.changed.notify_waiters();
    }
}
