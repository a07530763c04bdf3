//! Seeded schedules of the lease and of orders, with engines that check the fence and that don't.
//!
//! `JACINTHROCK_SCHEDULES=10000 cargo test --release --test lease_schedules` is the long run.

mod lease_support;

use jacinthrock::{LeaseGuard, OrderGuard};
use jacinthrock_standins::fake_store::StoreFaults;
use jacinthrock_standins::host_gate::{GateCall, GateFault, GateMoment, GatePoint};
use jacinthrock_standins::order_engine::OrderFaults;
use lease_support::{Change, LeaseScenario, ms, run, schedules};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const CI_SCHEDULES: u64 = 30;
const PLANTED_SCHEDULES: u64 = 100;

fn seeded(seed: u64) -> LeaseScenario {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let hosts = rng.random_range(2..=4);
    let engine_count = rng.random_range(3..=6);
    let freezes = rng.random_bool(0.5);
    let point_count = rng.random_range(0..=3);
    let points =
        (0..point_count).map(|_| seeded_point(&mut rng, hosts, freezes)).collect::<Vec<_>>();
    let change_count = rng.random_range(0..=5);
    let mut changes: Vec<_> = (0..change_count)
        .map(|_| {
            let at = ms(rng.random_range(0..30_000));
            (at, seeded_change(&mut rng, hosts, engine_count, freezes))
        })
        .collect();
    if rng.random_bool(0.3) {
        // A holder that is cut off gives its last orders while the next one takes over.
        let cut_at = ms(rng.random_range(8000..12_000));
        let host = rng.random_range(0..hosts);
        changes.push((cut_at, Change::Cut(host, ms(20_000))));
        changes.push((cut_at + ms(rng.random_range(3000..7000)), Change::NewVersion));
    }
    LeaseScenario {
        seed,
        hosts,
        engines: (0..engine_count).map(|_| rng.random()).collect(),
        stages: rng.random_range(1..=3),
        points,
        changes,
        store_faults: StoreFaults {
            lost_call: rng.random_range(0.0..0.1),
            lost_reply: rng.random_range(0.0..0.1),
            unavailable: rng.random_range(0.0..0.1),
            throttled: rng.random_range(0.0..0.05),
            longest_delay: ms(rng.random_range(0..240)),
        },
        order_faults: OrderFaults {
            lost_call: rng.random_range(0.0..0.1),
            lost_reply: rng.random_range(0.0..0.1),
            longest_delay: ms(rng.random_range(0..4500)),
            longest_status_delay: ms(rng.random_range(0..600)),
        },
        lease_guard: None,
        order_guard: None,
    }
}

fn seeded_point(
    rng: &mut ChaCha8Rng,
    hosts: usize,
    freezes: bool,
) -> (usize, GatePoint, GateFault) {
    let calls = [GateCall::Read, GateCall::Write, GateCall::Order, GateCall::Status];
    let moments = [GateMoment::Before, GateMoment::After];
    let point = GatePoint {
        call: calls[rng.random_range(0..calls.len())],
        moment: moments[rng.random_range(0..moments.len())],
        nth: rng.random_range(1..=8),
    };
    let fault = match rng.random_range(0..4) {
        0 => GateFault::Kill,
        1 if freezes => GateFault::Freeze(ms(rng.random_range(100..25_000))),
        2 => GateFault::Refuse,
        _ => GateFault::Lose,
    };
    (rng.random_range(0..hosts), point, fault)
}

fn seeded_change(rng: &mut ChaCha8Rng, hosts: usize, engines: usize, freezes: bool) -> Change {
    let host = rng.random_range(0..hosts);
    let engine = rng.random_range(0..engines);
    match rng.random_range(0..9) {
        0 => Change::Kill(host),
        1 if freezes => Change::Freeze(host, ms(rng.random_range(100..25_000))),
        2 => Change::Stop(host),
        3 => Change::NewHost,
        4 => Change::Outage(ms(rng.random_range(100..15_000))),
        5 => Change::EngineDown(engine, ms(rng.random_range(100..15_000))),
        6 => Change::Leave(engine),
        7 => Change::Cut(host, ms(rng.random_range(100..25_000))),
        _ => Change::NewVersion,
    }
}

#[test]
fn no_schedule_has_two_holders_or_a_lasting_wrong_order() {
    let (mut orders, mut holders) = (0, 0);
    for seed in 0..schedules(CI_SCHEDULES) {
        let report = run(&seeded(seed));
        assert!(report.wrong.is_empty(), "seed {seed}: {:#?}", report.wrong);
        orders += report.effects.len();
        holders += report.highest_fence;
    }
    println!("orders that took effect: {orders}, tenures: {holders}");
    assert!(orders > 0);
}

/// A holder that is cut off from the store gives its last orders while another takes over.
fn hand_over(seed: u64) -> LeaseScenario {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let cut_at = ms(rng.random_range(9000..11_000));
    let changes = vec![
        (ms(3000), Change::NewHost),
        (cut_at, Change::Cut(0, ms(20_000))),
        (cut_at + ms(rng.random_range(2500..5500)), Change::NewVersion),
    ];
    LeaseScenario {
        seed,
        hosts: 1,
        engines: vec![false; 4],
        stages: 2,
        points: Vec::new(),
        changes,
        store_faults: StoreFaults::default(),
        order_faults: OrderFaults { longest_delay: ms(4500), ..OrderFaults::default() },
        lease_guard: None,
        order_guard: None,
    }
}

#[test]
fn a_new_holder_waits_out_the_orders_of_the_one_before() {
    for seed in 0..schedules(CI_SCHEDULES) {
        let report = run(&hand_over(seed));
        assert!(report.wrong.is_empty(), "seed {seed}: {:#?}", report.wrong);
    }
    let guard = Some(OrderGuard::WaitOutOrders);
    let caught = (0..PLANTED_SCHEDULES).find_map(|seed| {
        let scenario = LeaseScenario { order_guard: guard, ..hand_over(seed) };
        run(&scenario).wrong.first().map(|wrong| (seed, wrong.clone()))
    });
    println!("{guard:?}: {caught:?}");
    assert!(caught.is_some());
}

fn first_caught(lease: Option<LeaseGuard>, order: Option<OrderGuard>) -> Option<(u64, String)> {
    (0..PLANTED_SCHEDULES).find_map(|seed| {
        let scenario = LeaseScenario { lease_guard: lease, order_guard: order, ..seeded(seed) };
        run(&scenario).wrong.first().map(|wrong| (seed, wrong.clone()))
    })
}

#[test]
fn every_planted_fault_of_the_lease_is_caught() {
    // Counting from the reply takes a reply that is slower than a candidate's read: the
    // exhaustive test meets it, random delays hardly ever.
    let guards = [
        LeaseGuard::WatchFullTtl,
        LeaseGuard::FenceIncrement,
        LeaseGuard::ReadBack,
        LeaseGuard::LocalExpiry,
    ];
    for guard in guards {
        let caught = first_caught(Some(guard), None);
        println!("{guard:?}: {caught:?}");
        assert!(caught.is_some(), "{guard:?} is not caught");
    }
}

#[test]
fn every_planted_fault_of_orders_is_caught() {
    for guard in [OrderGuard::ReadBack, OrderGuard::RaiseFence] {
        let caught = first_caught(None, Some(guard));
        println!("{guard:?}: {caught:?}");
        assert!(caught.is_some(), "{guard:?} is not caught");
    }
}
