//! Decides which plain call of this host is sent next, how long calls wait and when they are
//! refused, for services whose plain routes have different priorities.
//!
//! Answers to a load pattern: some endpoints of a small service end or become slow, so that calls
//! of many hosts compete for the slots of the remaining ones. A host has few calls of its own, and
//! sees only which of them endpoints refuse. From the totals of the exchange it knows how many
//! calls of each priority arrive at all hosts, and leaves the slots that the urgent ones need.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jacinthrock::EndpointName;
use tokio::time::Instant;

use crate::demand::PriorityDemand;
use crate::returns::MAX_SHARE_OF_REMAINING;
use crate::waiting::WaitingStream;

/// Time for which an endpoint that has refused a call as full gets no other from this host.
const REFUSAL_TIME: Duration = Duration::from_millis(100);
/// Number of turns after which their pattern repeats.
const TURN_COUNT: u32 = 5;
/// Turns of the pattern that go to the call that has waited for longest. They are spread, so that no
/// two of them follow one another.
const LONGEST_WAIT_TURNS: [u32; 2] = [1, 3];
/// Shortest Retry-After of a call that its line refuses.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Assumed duration of a call before one has ended, as in [`HealthTable`](crate::HealthTable).
const INITIAL_CALL_TIME: Duration = Duration::from_millis(60);
/// Weight of the newest call in the mean duration, once there are enough.
const NEWEST_CALL_WEIGHT: f64 = 0.1;
/// Time since a sign of a shortage for which calls of other levels leave slots to urgent ones. In
/// the shortage of `tests/call_line_replay.rs`, one of 63 hosts is refused about every 2 s.
const SHORTAGE_TIME: Duration = Duration::from_secs(5);
/// Part of a service's slots that is in use in a shortage at least.
const SHORTAGE_USAGE: f64 = 0.5;
/// Share of the calls of each level that is sent in any case. A quarter is to be served, and
/// endpoints refuse about a quarter of the calls that are sent in a shortage.
const MIN_SHARE: f64 = 0.36;
/// Share from which all calls of a level are sent. Rates are averaged over 2 s; at ten calls a
/// second, they deviate by a fifth.
const FULL_SHARE: f64 = 0.8;
/// Part of the slots that calls of all levels but the most urgent use up. With 0.75, and a least
/// share of 0.4, 0.88 of the urgent calls were on time at 63 hosts instead of 0.90 (trial of the
/// replay).
const SHARED_USAGE: f64 = 0.65;
/// Part of the retry budget that is left to the most urgent level in a shortage.
const URGENT_RETRY_SHARE: f64 = 0.9;

/// Number of a call in a [`CallLine`].
pub type CallNumber = u64;

/// A plain call that waits for a slot of an endpoint.
///
/// ```
/// use std::time::Duration;
///
/// use jacinthrock_entry::WaitingCall;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let call = WaitingCall {
///     level: 0,
///     is_yielding: false,
///     is_resent: false,
///     objective: Duration::from_millis(500),
///     arrived: now,
///     joined: now,
///     deadline: now + Duration::from_secs(4),
/// };
/// assert_eq!(call.wait_end(), now + Duration::from_millis(350));
/// let late = WaitingCall { joined: now + Duration::from_secs(1), ..call };
/// assert_eq!(late.wait_end(), now + Duration::from_millis(2_500));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingCall {
    /// Priority level, 0 first; see [`level_of`](crate::level_of).
    pub level: u8,
    /// Whether it leaves the slots to others in a shortage; see [`CallLine::leaves_slot`].
    pub is_yielding: bool,
    /// Whether endpoints have refused it as full before.
    pub is_resent: bool,
    /// Latency objective of the route.
    pub objective: Duration,
    /// When the call arrived at this host.
    pub arrived: Instant,
    /// When it began to wait.
    pub joined: Instant,
    /// End of the caller's deadline or of the route's timeout, whichever is earlier.
    pub deadline: Instant,
}

/// Order of a waiting call; the lowest is sent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CallOrder {
    level: u8,
    is_late: bool,
    arrived: Instant,
    number: CallNumber,
}

impl WaitingCall {
    /// Until when the call waits at most.
    pub fn wait_end(&self) -> Instant {
        let on_time_end = self.on_time_end();
        if self.joined < on_time_end {
            return on_time_end;
        }
        self.joined + self.deadline.saturating_duration_since(self.joined) / 2
    }

    /// Until when the call can be sent for an on-time answer. A call that began to wait before does
    /// not wait past it, so that its order never changes.
    fn on_time_end(&self) -> Instant {
        let wait = WaitingStream::on_time_wait(self.objective);
        self.arrived.checked_add(wait).map_or(self.deadline, |end| end.min(self.deadline))
    }

    fn order(&self, number: CallNumber) -> CallOrder {
        let is_late = self.joined >= self.on_time_end();
        CallOrder { level: self.level, is_late, arrived: self.arrived, number }
    }
}

/// Calls that are open at other hosts, by the last total.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CountedCalls {
    /// Number.
    pub count: u32,
    /// Age of the total.
    pub age: Duration,
}

/// An endpoint that a call may use.
#[derive(Clone, Copy, Debug)]
pub struct CallEndpoint<'a> {
    /// Name.
    pub name: &'a EndpointName,
    /// Number of calls that it runs at once.
    pub slots: u32,
    /// Calls of this host that are open there.
    pub own_calls: u32,
    /// Calls of the other hosts; none if no recent total is known.
    pub other_calls: Option<CountedCalls>,
}

/// Whether the endpoints that a call may use have room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallRoom {
    /// At least one is not known to be full.
    Free,
    /// All are full by the counts of open calls, some of which may be stale or forged.
    Counted,
    /// All have refused a call of this host as full a moment ago; until the first of these refusals
    /// no longer counts.
    Refused(Instant),
    /// There is none.
    Missing,
}

/// What all hosts together know of a service.
#[derive(Clone, Copy, Debug)]
pub struct LineInputs<'a> {
    /// Slots of the endpoints that calls may use.
    pub slots: u32,
    /// Calls of all hosts that are open there.
    pub open_calls: u32,
    /// Number of hosts.
    pub hosts: usize,
    /// Calls that arrive at all hosts, by priority level; none if no recent total is known.
    pub demand: Option<&'a PriorityDemand>,
}

impl LineInputs<'_> {
    /// Whether known calls use so many slots that others may be taken as well.
    fn is_short(&self) -> bool {
        f64::from(self.open_calls) >= f64::from(self.slots) * SHORTAGE_USAGE
    }
}

/// Why a call is refused without having been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "the line is {} ms long; calls ahead: {ahead}, level: {level}{}",
    expected_wait.as_millis(),
    if *.is_yielding { ", which leaves its slots to others" } else { "" }
)]
pub struct LineRefusal {
    /// Expected wait.
    pub expected_wait: Duration,
    /// Calls of this host that are ahead.
    pub ahead: u32,
    /// Priority level of the call.
    pub level: u8,
    /// Whether its level has used its share of the slots.
    pub is_yielding: bool,
}

impl LineRefusal {
    /// Retry-After for a caller with the given time left.
    pub fn retry_after(&self, remaining: Duration) -> Duration {
        let longest = remaining.mul_f64(MAX_SHARE_OF_REMAINING);
        self.expected_wait.max(MIN_RETRY_AFTER).min(longest)
    }
}

/// What a waiting call does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineStep {
    /// It is sent to an endpoint with room.
    Send,
    /// It is sent to any endpoint that has not refused a call a moment ago: its wait is over, and
    /// the counts that say that all are full may be wrong.
    SendLast,
    /// It waits until this time at most, or until something changes.
    Wait(Instant),
    /// Its wait is over and no endpoint takes it.
    Refuse(LineRefusal),
}

/// Waiting calls of one service at one host.
#[derive(Debug, Default)]
pub struct CallLine {
    calls: BTreeMap<CallNumber, WaitingCall>,
    order: BTreeSet<CallOrder>,
    next: CallNumber,
    turns: u32,
    answers: u32,
    call_time: Duration,
    refused: BTreeMap<EndpointName, Instant>,
    shortage_seen: Option<Instant>,
    answered_at: Option<Instant>,
}

impl CallLine {
    /// Records that an endpoint has answered a call, whose slot is free from now on.
    pub fn record_answer(&mut self, endpoint: &str, taken: Duration, now: Instant) {
        self.answered_at = Some(now);
        self.refused.remove(endpoint);
        self.answers = self.answers.saturating_add(1);
        let weight = NEWEST_CALL_WEIGHT.max(1.0 / f64::from(self.answers));
        self.call_time = self.call_time.mul_f64(1.0 - weight) + taken.mul_f64(weight);
    }

    /// Records that an endpoint has refused a call as full.
    pub fn record_refusal(&mut self, endpoint: &EndpointName, now: Instant) {
        self.refused.retain(|_, at| now.saturating_duration_since(*at) < REFUSAL_TIME);
        self.refused.insert(endpoint.clone(), now);
        self.shortage_seen = Some(now);
    }

    /// Whether a new call leaves the slots to others in a shortage, since its level has used its
    /// share of them. `draw` is a random number from 0 to 1.
    pub fn leaves_slot(
        &mut self,
        level: u8,
        inputs: LineInputs<'_>,
        draw: f64,
        now: Instant,
    ) -> bool {
        if inputs.is_short() {
            self.shortage_seen = Some(now);
        }
        let share = self.sent_share(level, inputs);
        share < FULL_SHARE && draw >= share
    }

    /// Part of the retry budget that a call of a level leaves to others.
    pub fn reserved_retries(&self, level: u8, inputs: LineInputs<'_>, now: Instant) -> f64 {
        let is_urgent = inputs.demand.is_none_or(|demand| arrivals(demand, |it| it < level) <= 0.0);
        if is_urgent || !self.is_short(now) { 0.0 } else { URGENT_RETRY_SHARE }
    }

    /// Until when an endpoint gets no call because it has refused one as full.
    pub fn refused_until(&self, name: &str, now: Instant) -> Option<Instant> {
        self.refused.get(name).map(|at| *at + REFUSAL_TIME).filter(|until| now < *until)
    }

    /// Whether an endpoint has room for a call, as far as this host knows.
    pub fn has_room(&self, endpoint: CallEndpoint<'_>, now: Instant) -> bool {
        !self.is_full(endpoint) && self.refused_until(endpoint.name, now).is_none()
    }

    /// Room at the endpoints that a call may use.
    pub fn room<'a>(
        &self,
        endpoints: impl IntoIterator<Item = CallEndpoint<'a>>,
        now: Instant,
    ) -> CallRoom {
        let mut room = CallRoom::Missing;
        for endpoint in endpoints {
            room = match (self.refused_until(endpoint.name, now), room) {
                (None, _) if !self.is_full(endpoint) => return CallRoom::Free,
                (None, _) | (Some(_), CallRoom::Counted) => CallRoom::Counted,
                (Some(until), CallRoom::Refused(first)) => CallRoom::Refused(first.min(until)),
                (Some(until), _) => CallRoom::Refused(until),
            };
        }
        room
    }

    /// Adds a call; refuses it at once if its expected wait ends after the time until which it may
    /// wait, or if it leaves its slot to others. While an endpoint has room, the calls ahead are
    /// about to be sent.
    pub fn join(
        &mut self,
        call: WaitingCall,
        room: CallRoom,
        inputs: LineInputs<'_>,
    ) -> Result<CallNumber, LineRefusal> {
        let number = self.next + 1;
        let refusal = self.refusal(&call, number, inputs);
        let end = call.joined.checked_add(refusal.expected_wait);
        let is_too_long = room != CallRoom::Free && end.is_none_or(|end| end > call.wait_end());
        if is_too_long || !self.may_go(&call, call.joined) {
            return Err(refusal);
        }
        self.next = number;
        self.calls.insert(number, call);
        self.order.insert(call.order(number));
        Ok(number)
    }

    /// Decides what a waiting call does next. A call that is sent or refused leaves the line.
    pub fn step(
        &mut self,
        number: CallNumber,
        room: CallRoom,
        inputs: LineInputs<'_>,
        now: Instant,
    ) -> LineStep {
        let Some(call) = self.calls.get(&number).copied() else { return LineStep::SendLast };
        let (wait_end, may_go) = (call.wait_end(), self.may_go(&call, now));
        let is_over = now >= wait_end;
        if let Some(until) = self.resend_from(&call, inputs, now).filter(|_| !is_over) {
            return LineStep::Wait(until.min(wait_end));
        }
        if room == CallRoom::Free && may_go && (is_over || self.is_next(number, inputs, now)) {
            self.turns = (self.turns + 1) % TURN_COUNT;
            self.leave(number);
            return LineStep::Send;
        }
        if !is_over {
            return LineStep::Wait(match room {
                CallRoom::Refused(until) => until.min(wait_end),
                _ => wait_end,
            });
        }
        let refusal = self.refusal(&call, number, inputs);
        self.leave(number);
        if room == CallRoom::Counted && may_go {
            LineStep::SendLast
        } else {
            LineStep::Refuse(refusal)
        }
    }

    /// Removes a call whose caller has left or that was sent.
    pub fn leave(&mut self, number: CallNumber) {
        if let Some(call) = self.calls.remove(&number) {
            self.order.remove(&call.order(number));
        }
    }

    /// Number of waiting calls that are sent before one that joins, turns of the longest wait aside.
    pub fn ahead(&self, call: &WaitingCall) -> u32 {
        let ahead = self.order.range(..call.order(CallNumber::MAX)).count();
        u32::try_from(ahead).unwrap_or(u32::MAX)
    }

    /// Number of calls that wait.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Whether the next free slot goes to a call.
    fn is_next(&self, number: CallNumber, inputs: LineInputs<'_>, now: Instant) -> bool {
        let may_go = |call: &WaitingCall| {
            self.may_go(call, now) && self.resend_from(call, inputs, now).is_none()
        };
        let next = if LONGEST_WAIT_TURNS.contains(&self.turns) {
            // Numbers increase in the order in which calls began to wait.
            let mut calls = self.calls.iter();
            calls.find(|(_, call)| may_go(call)).map(|(number, _)| *number)
        } else {
            let mut numbers = self.order.iter().map(|order| order.number);
            numbers.find(|number| self.calls.get(number).is_some_and(may_go))
        };
        next == Some(number)
    }

    /// Whether the known calls take all slots of an endpoint. The counts of other hosts say nothing
    /// once the counted calls have ended: taken at any age, 0.86 instead of 0.91 of the urgent calls
    /// were on time at 63 hosts, in the replay of `tests/call_line_replay.rs`.
    fn is_full(&self, endpoint: CallEndpoint<'_>) -> bool {
        let others = endpoint.other_calls.filter(|others| others.age < self.call_time());
        let others = others.map_or(0, |others| others.count);
        endpoint.own_calls.saturating_add(others) >= endpoint.slots.max(1)
    }

    /// From when a call that was refused as full is sent again, if it is not yet: in a shortage, the
    /// other endpoints are likely full as well, and the call has few sends. A slot that a call of this
    /// host has left since is free.
    fn resend_from(
        &self,
        call: &WaitingCall,
        inputs: LineInputs<'_>,
        now: Instant,
    ) -> Option<Instant> {
        let has_slot = self.answered_at.is_some_and(|at| at >= call.joined);
        let from = call.joined + REFUSAL_TIME;
        (call.is_resent && inputs.is_short() && !has_slot && now < from).then_some(from)
    }

    fn may_go(&self, call: &WaitingCall, now: Instant) -> bool {
        !call.is_yielding || !self.is_short(now)
    }

    fn is_short(&self, now: Instant) -> bool {
        self.shortage_seen.is_some_and(|at| now.saturating_duration_since(at) < SHORTAGE_TIME)
    }

    /// Share of the calls of a level for which there are slots beside those of more urgent levels.
    fn sent_share(&self, level: u8, inputs: LineInputs<'_>) -> f64 {
        let Some(demand) = inputs.demand else { return 1.0 };
        let own = arrivals(demand, |it| it == level);
        if own <= 0.0 {
            return 1.0;
        }
        let urgent = arrivals(demand, |it| it < level);
        let usage = if urgent > 0.0 { SHARED_USAGE } else { 1.0 };
        let seconds = self.call_time().as_secs_f64().max(f64::MIN_POSITIVE);
        let calls_per_s = f64::from(inputs.slots) / seconds * usage;
        let left = calls_per_s - urgent - MIN_SHARE * arrivals(demand, |it| it > level);
        (left / own).clamp(MIN_SHARE, 1.0)
    }

    fn refusal(
        &self,
        call: &WaitingCall,
        number: CallNumber,
        inputs: LineInputs<'_>,
    ) -> LineRefusal {
        let ahead = self.order.range(..call.order(number)).count();
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let (expected_wait, level) = (self.expected_wait(ahead, inputs), call.level);
        let is_yielding = !self.may_go(call, call.joined);
        LineRefusal { expected_wait, ahead, level, is_yielding }
    }

    /// Expected wait behind other calls of this host: each host gets an equal part of the slots.
    fn expected_wait(&self, ahead: u32, inputs: LineInputs<'_>) -> Duration {
        let calls = f64::from(ahead) * inputs.hosts.max(1) as f64;
        let seconds = calls * self.call_time().as_secs_f64() / f64::from(inputs.slots.max(1));
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    fn call_time(&self) -> Duration {
        if self.answers == 0 { INITIAL_CALL_TIME } else { self.call_time }
    }
}

/// Calls of some levels that arrive per second.
fn arrivals(demand: &PriorityDemand, is_wanted: impl Fn(u8) -> bool) -> f64 {
    let counts = demand.iter().filter(|(level, _)| is_wanted(**level));
    counts.map(|(_, count)| count.sanitized().arrived_per_s).sum()
}
