//! Fault matrix of the lease and of orders: injects every fault at every step, and every change at
//! several times.

mod lease_support;

use jacinthrock_standins::fake_store::StoreFaults;
use jacinthrock_standins::host_gate::GateCall::{Order, Read, Status, Write};
use jacinthrock_standins::host_gate::GateMoment::{After, Before};
use jacinthrock_standins::host_gate::{GateFault, GatePoint};
use jacinthrock_standins::order_engine::OrderFaults;
use lease_support::{Change, LeaseScenario, ms, run_scenario};
use std::time::Duration;

const STEPS: [(&str, GatePoint); 9] = [
    ("before the lease is read", GatePoint { call: Read, moment: Before, nth: 1 }),
    ("before the lease is written", GatePoint { call: Write, moment: Before, nth: 1 }),
    ("after the lease is written", GatePoint { call: Write, moment: After, nth: 1 }),
    ("before the renewal is written", GatePoint { call: Write, moment: Before, nth: 2 }),
    ("after the renewal is written", GatePoint { call: Write, moment: After, nth: 2 }),
    ("after the engine state is read", GatePoint { call: Status, moment: After, nth: 1 }),
    ("before the first order is sent", GatePoint { call: Order, moment: Before, nth: 1 }),
    ("after the first order is answered", GatePoint { call: Order, moment: After, nth: 1 }),
    ("before the third order is sent", GatePoint { call: Order, moment: Before, nth: 3 }),
];

const FAULTS: [(&str, GateFault); 5] = [
    ("kill", GateFault::Kill),
    ("short freeze", GateFault::Freeze(Duration::from_secs(3))),
    ("freeze past the lease", GateFault::Freeze(Duration::from_secs(20))),
    ("call or reply lost", GateFault::Lose),
    ("refused", GateFault::Refuse),
];

/// Times of the first lease, of the first orders, and after all orders have been sent.
const CHANGE_TIMES_MS: [u64; 3] = [50, 6000, 14_000];

fn changes() -> [(&'static str, Change); 8] {
    [
        ("short outage", Change::StoreOutage(ms(3000))),
        ("outage past the lease", Change::StoreOutage(ms(15_000))),
        ("store partition", Change::Partition(0, ms(15_000))),
        ("graceful handover", Change::Stop(0)),
        ("new host", Change::NewHost),
        ("engine outage", Change::EngineDown(0, ms(15_000))),
        ("leaving endpoint", Change::EngineLeaving(0)),
        ("new model version", Change::NewVersion),
    ]
}

/// Host 0 takes the lease; host 1 starts after 3 s.
fn scenario(checks_fence: bool) -> LeaseScenario {
    LeaseScenario {
        seed: 17,
        hosts: 1,
        engines: vec![checks_fence; 4],
        stages: 2,
        gate_faults: Vec::new(),
        changes: vec![(ms(3000), Change::NewHost)],
        store_faults: StoreFaults { longest_delay: ms(5), ..StoreFaults::default() },
        order_faults: OrderFaults {
            longest_delay: ms(1000),
            longest_status_delay: ms(50),
            ..OrderFaults::default()
        },
        disabled_lease_rule: None,
        disabled_order_rule: None,
    }
}

#[test]
fn every_fault_at_every_step_preserves_the_invariants() {
    for checks_fence in [false, true] {
        for (step, point) in STEPS {
            for (name, fault) in FAULTS {
                // A call can be refused only before it is made.
                if matches!(fault, GateFault::Refuse) && point.moment == After {
                    continue;
                }
                let mut scenario = scenario(checks_fence);
                scenario.gate_faults.push((0, point, fault));
                let report = run_scenario(&scenario);
                let cell = format!("{step} x {name}, fence checked: {checks_fence}");
                assert!(report.violations.is_empty(), "{cell}: {:#?}", report.violations);
                assert_eq!(report.unreached_faults, 0, "{cell}");
                println!("{cell}: {} tenures", report.highest_fence);
            }
        }
    }
}

#[test]
fn every_change_at_every_time_preserves_the_invariants() {
    for checks_fence in [false, true] {
        for at in CHANGE_TIMES_MS {
            for (name, change) in changes() {
                let mut scenario = scenario(checks_fence);
                scenario.changes.push((ms(at), change));
                let report = run_scenario(&scenario);
                let cell = format!("{name} at {at} ms, fence checked: {checks_fence}");
                assert!(report.violations.is_empty(), "{cell}: {:#?}", report.violations);
            }
        }
    }
}
