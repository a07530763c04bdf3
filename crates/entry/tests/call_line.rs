//! Order, waits and refusals of plain calls of services with several priorities.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthrock_entry::{
    CallEndpoint, CallLine, CallNumber, CallRoom, CountedCalls, DemandCount, EndpointName,
    LineInputs, LineRefusal, LineStep, PriorityDemand, WaitingCall,
};
use tokio::time::Instant;

/// One host with 18 slots, of which all are in use.
const ALONE: LineInputs<'static> = LineInputs { slots: 18, open_calls: 18, hosts: 1, demand: None };

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn new_call(level: u8, now: Instant) -> WaitingCall {
    let (objective, deadline) = (ms(500), now + ms(4_000));
    WaitingCall {
        level,
        is_yielding: false,
        is_resent: false,
        objective,
        arrived: now,
        joined: now,
        deadline,
    }
}

fn demand(arrived_per_s: &[(u8, f64)]) -> PriorityDemand {
    let count = |arrived_per_s| DemandCount { arrived_per_s, ..DemandCount::default() };
    arrived_per_s.iter().map(|(level, rate)| (*level, count(*rate))).collect()
}

fn join(line: &mut CallLine, call: WaitingCall) -> CallNumber {
    line.join(call, CallRoom::Counted, ALONE).expect("a place in the line")
}

/// The call that is sent next while an endpoint has room.
fn send_next(line: &mut CallLine, waiting: &[CallNumber], now: Instant) -> Option<CallNumber> {
    let mut waiting = waiting.iter().copied();
    waiting.find(|number| line.step(*number, CallRoom::Free, ALONE, now) == LineStep::Send)
}

/// Order in which calls are sent if a slot becomes free again and again.
fn send_all(line: &mut CallLine, mut waiting: Vec<CallNumber>, now: Instant) -> Vec<CallNumber> {
    let mut sent = Vec::new();
    while let Some(number) = send_next(line, &waiting, now) {
        waiting.retain(|other| *other != number);
        sent.push(number);
    }
    assert!(waiting.is_empty() && line.is_empty(), "left: {waiting:?}");
    sent
}

/// Before, a call of any priority could take the last free slot. Two of five turns go to the call
/// that has waited for longest.
#[tokio::test(start_paused = true)]
async fn calls_are_sent_by_priority_then_on_time_then_by_arrival() {
    let now = Instant::now() + ms(10_000);
    let mut line = CallLine::default();
    let other = join(&mut line, new_call(12, now));
    let late = WaitingCall { arrived: now - ms(400), ..new_call(1, now) };
    let late = join(&mut line, late);
    let second = join(&mut line, new_call(1, now));
    let first = join(&mut line, WaitingCall { arrived: now - ms(9), ..new_call(1, now) });
    let urgent = join(&mut line, new_call(0, now));
    let last = join(&mut line, new_call(12, now));
    let all = vec![last, urgent, first, second, late, other];
    assert_eq!(line.len(), 6);
    assert_eq!(send_all(&mut line, all, now), [urgent, other, first, late, second, last]);
}

/// Guards against a steady stream of urgent calls that keeps all others from their turn.
#[tokio::test(start_paused = true)]
async fn calls_of_the_last_priority_do_not_starve() {
    let now = Instant::now();
    let mut line = CallLine::default();
    let mut waiting: Vec<_> = (0..4).map(|_| join(&mut line, new_call(20, now))).collect();
    let old = waiting.clone();
    let mut sent = 0;
    for turn in 0..10 {
        waiting.push(join(&mut line, new_call(0, now)));
        let next = send_next(&mut line, &waiting, now).expect("a call that is sent");
        waiting.retain(|number| *number != next);
        sent += u32::from(old.contains(&next));
        assert!(turn < 4 || sent >= 2, "{sent} of the old calls after {turn} turns");
    }
    assert_eq!(sent, 4, "two of five turns");
}

/// Before, a call waited for 200 ms, whatever its objective and deadline.
#[tokio::test(start_paused = true)]
async fn waits_follow_from_objective_and_deadline() {
    let now = Instant::now() + ms(10_000);
    let call = new_call(0, now);
    assert_eq!(call.wait_end(), now + ms(350));
    let late = WaitingCall { arrived: now - ms(350), ..call };
    assert_eq!(late.wait_end(), now + ms(2_000), "half of the 4 s that remain");
    let ending = WaitingCall { deadline: now + ms(100), ..call };
    assert_eq!(ending.wait_end(), now + ms(100));
    let over = WaitingCall { deadline: now - ms(100), ..call };
    assert_eq!(over.wait_end(), now);
    let huge = WaitingCall { objective: Duration::MAX, ..call };
    assert_eq!(huge.wait_end(), now + ms(4_000));
    let zero = WaitingCall { objective: Duration::ZERO, ..call };
    assert_eq!(zero.wait_end(), now + ms(2_000));
}

fn endpoint(name: &EndpointName, own_calls: u32, others: Option<(u32, u64)>) -> CallEndpoint<'_> {
    let other_calls = others.map(|(count, age)| CountedCalls { count, age: ms(age) });
    CallEndpoint { name, slots: 6, own_calls, other_calls }
}

/// Guards against sends to endpoints that other hosts have filled, and against counts of calls that
/// have ended since.
#[tokio::test(start_paused = true)]
async fn endpoints_are_full_by_known_calls_or_after_a_refusal() {
    let (now, mut line) = (Instant::now(), CallLine::default());
    let (a, b): (EndpointName, EndpointName) = ("a".into(), "b".into());
    line.record_answer("a", ms(500), now);
    assert!(line.has_room(endpoint(&a, 2, Some((3, 400))), now));
    assert!(!line.has_room(endpoint(&a, 2, Some((4, 400))), now));
    assert!(line.has_room(endpoint(&a, 2, Some((4, 500))), now), "calls take 500 ms");
    assert!(
        line.has_room(endpoint(&a, 5, None), now) && !line.has_room(endpoint(&a, 6, None), now)
    );
    let room = |line: &CallLine, at| line.room([endpoint(&a, 0, None), endpoint(&b, 6, None)], at);
    assert_eq!(room(&line, now), CallRoom::Free);
    line.record_refusal(&a, now);
    assert_eq!(room(&line, now), CallRoom::Counted);
    line.record_refusal(&b, now + ms(20));
    assert_eq!(room(&line, now + ms(20)), CallRoom::Refused(now + ms(100)));
    assert_eq!(room(&line, now + ms(100)), CallRoom::Free, "the refusal of a is over");
    line.record_refusal(&a, now + ms(100));
    line.record_answer("a", ms(500), now);
    assert_eq!(room(&line, now + ms(100)), CallRoom::Free, "a slot of a is free");
    assert_eq!(line.room([], now), CallRoom::Missing);
}

/// Guards against calls that wait in vain: the line of a host with many hosts beside it moves slowly.
#[tokio::test(start_paused = true)]
async fn call_that_cannot_be_served_is_refused_within_one_step() {
    let now = Instant::now();
    let inputs = LineInputs { hosts: 6, ..ALONE };
    let mut line = CallLine::default();
    line.record_answer("a", ms(60), now);
    let mut join_one = |level| line.join(new_call(level, now), CallRoom::Counted, inputs);
    for _ in 0..18 {
        join_one(10).expect("6 x 60 ms / 18 is 20 ms for each call ahead");
    }
    let refusal = join_one(10).expect_err("18 calls ahead take 360 ms");
    let expected = LineRefusal { expected_wait: ms(360), ahead: 18, level: 10, is_yielding: false };
    assert_eq!(refusal, expected);
    assert_eq!(refusal.to_string(), "the line is 360 ms long; calls ahead: 18, level: 10");
    join_one(0).expect("no call is ahead of it");
    assert!(line.join(new_call(10, now), CallRoom::Free, inputs).is_ok(), "a slot is free");
}

/// Callers that are told to come back later than a third of their time give up.
#[test]
fn retry_after_is_the_wait_within_its_bounds() {
    let refusal =
        |wait| LineRefusal { expected_wait: ms(wait), ahead: 1, level: 0, is_yielding: false };
    assert_eq!(refusal(900).retry_after(ms(3_000)), ms(900));
    assert_eq!(refusal(0).retry_after(ms(3_000)), ms(250));
    assert_eq!(refusal(1_001).retry_after(ms(3_000)), ms(1_000));
    assert_eq!(refusal(0).retry_after(ms(300)), ms(100));
    let forged = LineRefusal { expected_wait: Duration::MAX, ..refusal(0) };
    assert_eq!(forged.retry_after(Duration::ZERO), Duration::ZERO);
}

/// Stale or forged counts may say that all endpoints are full. The call is sent when its wait is
/// over; one that endpoints have refused a moment ago is refused.
#[tokio::test(start_paused = true)]
async fn forged_and_stale_counts_delay_no_call_past_its_wait() {
    let now = Instant::now();
    let forged = LineInputs { open_calls: u32::MAX, hosts: usize::MAX, ..ALONE };
    let mut line = CallLine::default();
    let call = new_call(0, now);
    let number = line.join(call, CallRoom::Counted, forged).expect("no call is ahead");
    let end = call.wait_end();
    let step = |line: &mut CallLine, at| line.step(number, CallRoom::Counted, forged, at);
    assert_eq!(step(&mut line, now), LineStep::Wait(end));
    assert_eq!(step(&mut line, end - ms(1)), LineStep::Wait(end));
    assert_eq!(step(&mut line, end), LineStep::SendLast);
    assert!(line.is_empty());
    let number = line.join(call, CallRoom::Counted, forged).expect("no call is ahead");
    let refused = CallRoom::Refused(now + ms(70));
    assert_eq!(line.step(number, refused, forged, now), LineStep::Wait(now + ms(70)));
    let late = CallRoom::Refused(end + ms(70));
    assert!(matches!(line.step(number, late, forged, end), LineStep::Refuse(_)));
    assert!(line.is_empty());
}

/// Share of the calls of a level that do not leave their slots to others.
fn sent_share(line: &mut CallLine, level: u8, inputs: LineInputs<'_>) -> f64 {
    let draws = (0..1_000).map(|draw| f64::from(draw) / 1e3);
    let now = Instant::now();
    let sent = draws.filter(|draw| !line.leaves_slot(level, inputs, *draw, now));
    sent.count() as f64 / 1e3
}

/// Guards against a level that is given no slots, whatever other hosts report, and against limits
/// where there are slots for all.
#[tokio::test(start_paused = true)]
async fn each_level_keeps_a_share_of_the_slots_under_any_total() {
    let (now, mut line) = (Instant::now(), CallLine::default());
    line.record_answer("a", ms(60), now);
    let mut shares = |rates: &[(u8, f64)]| {
        let demand = demand(rates);
        let inputs = LineInputs { slots: 6, demand: Some(&demand), ..ALONE };
        [0, 1, 2].map(|level| sent_share(&mut line, level, inputs))
    };
    assert_eq!(shares(&[(0, 20.0), (1, 20.0), (2, 20.0)]), [1.0; 3], "100 calls/s can run");
    assert_eq!(shares(&[(0, 50.0), (1, 50.0), (2, 50.0)]), [1.0, 0.36, 0.36]);
    assert_eq!(shares(&[(0, 50.0)]), [1.0; 3]);
    for forged in [f64::NAN, f64::INFINITY, -1.0, 1e300, 0.0] {
        for share in shares(&[(0, forged), (1, forged), (2, forged)]) {
            assert!((0.36..=1.0).contains(&share), "{share} at {forged}");
        }
    }
    assert_eq!(shares(&[]), [1.0; 3]);
    let stale = LineInputs { slots: 0, demand: None, ..ALONE };
    assert_eq!(sent_share(&mut CallLine::default(), 2, stale), 1.0);
}

/// Guards against limits without a shortage: slots that are in use by calls of this host alone, or a
/// refusal of long ago.
#[tokio::test(start_paused = true)]
async fn calls_leave_slots_only_in_a_shortage() {
    let now = Instant::now();
    let rates = demand(&[(0, 50.0), (10, 900.0)]);
    let calm = LineInputs { slots: 18, open_calls: 8, hosts: 6, demand: Some(&rates) };
    let short = LineInputs { open_calls: 9, ..calm };
    let mut line = CallLine::default();
    let yielding = WaitingCall { is_yielding: true, ..new_call(10, now) };
    assert!(line.leaves_slot(10, calm, 0.9, now) && !line.leaves_slot(10, calm, 0.3, now));
    assert_eq!(line.reserved_retries(10, calm, now), 0.0);
    let number = line.join(yielding, CallRoom::Counted, calm).expect("no shortage is known");
    assert_eq!(line.step(number, CallRoom::Free, calm, now), LineStep::Send);
    line.leaves_slot(10, short, 0.9, now);
    let refusal = line.join(yielding, CallRoom::Counted, short).expect_err("slots are scarce");
    assert!(refusal.to_string().ends_with("level: 10, which leaves its slots to others"));
    assert!(line.join(new_call(10, now), CallRoom::Counted, short).is_ok());
    assert_eq!(
        (line.reserved_retries(10, short, now), line.reserved_retries(0, short, now)),
        (0.9, 0.0)
    );
    let later = now + ms(5_000);
    let yielding = WaitingCall { arrived: later, joined: later, ..yielding };
    assert!(line.join(yielding, CallRoom::Free, calm).is_ok(), "the shortage is over");
}

/// A call whose caller has left must not keep its turn.
#[tokio::test(start_paused = true)]
async fn next_call_is_sent_when_the_first_leaves() {
    let (now, mut line) = (Instant::now(), CallLine::default());
    let numbers: BTreeMap<_, _> =
        [0, 10].map(|level| (level, join(&mut line, new_call(level, now)))).into();
    assert_eq!(send_next(&mut line, &[numbers[&10]], now), None, "the urgent call is next");
    line.leave(numbers[&0]);
    assert_eq!(send_next(&mut line, &[numbers[&10]], now), Some(numbers[&10]));
}

/// Guards against calls that use up their sends within a few ms, at endpoints that are all full.
#[tokio::test(start_paused = true)]
async fn refused_call_waits_in_a_shortage_before_it_is_sent_again() {
    let (now, mut line) = (Instant::now(), CallLine::default());
    let resent = WaitingCall { is_resent: true, ..new_call(0, now) };
    let calm = LineInputs { open_calls: 8, ..ALONE };
    let number = join(&mut line, resent);
    assert_eq!(line.step(number, CallRoom::Free, calm, now), LineStep::Send, "no shortage");
    let number = join(&mut line, resent);
    let other = line.join(new_call(10, now), CallRoom::Free, ALONE).expect("a place in the line");
    assert_eq!(line.step(number, CallRoom::Free, ALONE, now), LineStep::Wait(now + ms(100)));
    assert_eq!(line.step(other, CallRoom::Free, ALONE, now), LineStep::Send, "others go on");
    assert_eq!(line.step(number, CallRoom::Free, ALONE, now + ms(100)), LineStep::Send);
    let number = join(&mut line, resent);
    assert_eq!(line.step(number, CallRoom::Free, ALONE, now), LineStep::Wait(now + ms(100)));
    line.record_answer("a", ms(60), now + ms(20));
    assert_eq!(
        line.step(number, CallRoom::Free, ALONE, now + ms(20)),
        LineStep::Send,
        "a free slot"
    );
    let late = WaitingCall { deadline: now + ms(50), joined: now + ms(30), ..resent };
    let number = line.join(late, CallRoom::Free, ALONE).expect("a place in the line");
    assert_eq!(line.step(number, CallRoom::Free, ALONE, now + ms(50)), LineStep::Send, "its end");
}
