//! Guards against a customer that floods a service and delays another customer's requests, as
//! happens when both share one first-in-first-out queue.

use jacinthrock::{
    AdmissionGate, AdmissionRequest, GateAction, GateEvent, GateOptions, PriorityClass, ResultCode,
    TicketNumber,
};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

const SLOTS: u32 = 8;
const QUEUE_LENGTH: u32 = 64;
const SERVICE_TIME: Duration = Duration::from_millis(80);
const TICK: Duration = Duration::from_millis(10);

/// Simulates a minute in which one customer floods the queue while the steady customer sends one
/// request every five ticks. Returns the steady customer's sorted waits and its refusals.
fn run(options: GateOptions, flood_per_tick: u32) -> (Vec<Duration>, usize) {
    let start = Instant::now();
    let mut now = start;
    let mut gate = AdmissionGate::new(options, 1);
    gate.handle(now, GateEvent::Capacity("guide".into(), SLOTS));
    let mut next_ticket: TicketNumber = 1;
    let mut arrived: BTreeMap<TicketNumber, (bool, Instant)> = BTreeMap::new();
    let mut releases: BTreeMap<(Instant, TicketNumber), ()> = BTreeMap::new();
    let (mut waits, mut refused) = (Vec::new(), 0);
    for tick in 0..6000u32 {
        now += TICK;
        let mut events = vec![GateEvent::Timer];
        while releases.first_key_value().is_some_and(|((at, _), ())| *at <= now) {
            let ((_, ticket), ()) = releases.pop_first().expect("a release is due");
            events.push(GateEvent::Release(ticket));
        }
        // No steady requests in the last second, so that waiting ones can finish.
        let steady = u32::from(tick % 5 == 0 && tick < 5900);
        for index in 0..flood_per_tick + steady {
            let is_steady = index == flood_per_tick;
            arrived.insert(next_ticket, (is_steady, now));
            let request = AdmissionRequest {
                service: "guide".into(),
                customer: if is_steady { "steady" } else { "flood" }.into(),
                share: 1,
                priority: PriorityClass::Guidance,
                deadline: now + Duration::from_secs(30),
                queue_length: QUEUE_LENGTH,
            };
            events.push(GateEvent::Arrive(next_ticket, request));
            next_ticket += 1;
        }
        for event in events {
            for action in gate.handle(now, event) {
                match action {
                    GateAction::Admit(ticket) => {
                        releases.insert((now + SERVICE_TIME, ticket), ());
                        let (is_steady, at) = arrived[&ticket];
                        waits.extend(is_steady.then_some(now - at));
                    }
                    GateAction::Refuse(ticket, refusal) => {
                        assert_eq!(refusal.code, ResultCode::QueueFull);
                        refused += usize::from(arrived[&ticket].0);
                    }
                }
            }
        }
    }
    waits.sort();
    (waits, refused)
}

fn p99(waits: &[Duration]) -> Duration {
    waits[(waits.len() - 1) * 99 / 100]
}

#[test]
fn the_other_customer_waits_at_most_for_the_next_free_slot() {
    let (alone, _) = run(GateOptions::default(), 0);
    let (flooded, refused) = run(GateOptions::default(), 20);
    assert_eq!(p99(&alone), Duration::ZERO);
    assert!(p99(&flooded) <= SERVICE_TIME, "{:?}", p99(&flooded));
    assert_eq!((flooded.len(), refused), (alone.len(), 0));
}

#[test]
fn without_fair_sharing_the_flood_delays_the_other_customer() {
    let options = GateOptions { fair_sharing: false, ..GateOptions::default() };
    let (flooded, refused) = run(options, 20);
    assert!(p99(&flooded) > SERVICE_TIME * 5 || refused > 0);
}
