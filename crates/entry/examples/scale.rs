//! Times of the computations that grow with the number of endpoints; run it with `--release`.

#[path = "../tests/support/planned.rs"]
mod planned;
#[path = "../tests/support/mod.rs"]
mod support;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use jacinthrock_entry::{
    CardProfile, CardView, DownTable, EndpointEntry, EndpointNotices, EndpointTable, EngineProfile,
    ExclusionTable, ExpiringFlags, HealthTable, LayerSpan, LoadMap, LoadSum, PathQuery, PeerLoads,
    RateTable, RelayLoads, RoutingView, StageLoad, search_path,
};
use planned::{PHASES, PlannedFleet};
use support::{SHAPE, TOKEN_LAYER_MB, converge, empty_fleet};

fn main() {
    let only = std::env::args().nth(1);
    let runs = |part: &str| only.as_deref().is_none_or(|only| only == part);
    for count in [100, 300, 1_000, 3_000] {
        println!("{count} endpoints");
        if runs("search") {
            time_search(count);
        }
        if runs("plan") {
            time_plan(count);
        }
        if runs("exchange") {
            time_exchange(count);
        }
    }
}

/// Prints the median and the longest time of a computation.
fn report(name: &str, rounds: usize, mut run: impl FnMut()) {
    let mut times: Vec<Duration> = (0..rounds)
        .map(|_| {
            let began = Instant::now();
            run();
            began.elapsed()
        })
        .collect();
    times.sort_unstable();
    println!("  {name}: median {:.2?}, longest {:.2?}", times[rounds / 2], times[rounds - 1]);
}

fn time_search(count: usize) {
    let mut cards = empty_fleet();
    converge(&mut cards);
    let now = tokio::time::Instant::now();
    let entries = (0..count).map(|number| {
        let card = &cards[number % cards.len()];
        // Larger fleets have layouts with a boundary at each layer.
        let shifted = card.held.map(|span| {
            let from = (usize::from(span.from) + number / cards.len() * 7)
                % usize::from(SHAPE.layers - span.count() + 1);
            LayerSpan { from: from as u16, to: from as u16 + span.count() }
        });
        EndpointEntry {
            name: format!("{}-{number}", card.name).into(),
            service: "chat".into(),
            address: ([10, 0, (number >> 8) as u8, number as u8], 80).into(),
            domain: card.domain.clone(),
            slots: 192,
            is_draining: false,
            orders: 0,
            start_unix_ms: 1,
            card: Some(card.name.rsplit_once('-').map_or("", |(kind, _)| kind).into()),
            layers: if number.is_multiple_of(2) { card.held } else { shifted },
            under_way: None,
        }
    });
    let entries: Vec<_> = entries.collect();
    let mut endpoints = EndpointTable::default();
    endpoints.replace(1, entries.clone(), now);
    let load = StageLoad { streams: 7, starts: 3, token_layers: 8_000 };
    let own_loads: LoadMap =
        entries.iter().step_by(3).map(|entry| (entry.name.clone(), load)).collect();
    let total = LoadSum {
        loads: entries.iter().map(|entry| (entry.name.clone(), load)).collect(),
        ..LoadSum::default()
    };
    let mut peer_loads = PeerLoads::default();
    let own = LoadSum { loads: own_loads.clone(), ..LoadSum::default() };
    peer_loads.update(total, own, 300, now);
    let profile = |card: &CardView| CardProfile {
        memory_mb: card.memory_mb,
        step_factor: card.step_factor,
        prefill_factor: 1.0,
    };
    let kinds =
        cards.iter().filter_map(|card| Some((card.name.rsplit_once('-')?.0.into(), profile(card))));
    let engine = EngineProfile {
        layers: SHAPE.layers,
        layer_mb: SHAPE.layer_mb,
        token_layer_mb: TOKEN_LAYER_MB,
        step_ms: 0.85,
        request_ms: 0.0,
        context_ms: 0.0,
        prefill_tokens_per_ms: 100.0,
        load_time: Duration::from_millis(500),
        parallel_loads: 4,
        activation_bytes: 16_000.0,
        link_mbps: 1_000.0,
        mean_prompt_tokens: 300,
        mean_output_tokens: 100,
        event_tokens: 1,
        cards: kinds.collect(),
    };
    let avoid = BTreeSet::new();
    let query = PathQuery {
        service: "chat",
        tokens: 400,
        starts: None,
        avoid: &avoid,
        ignores_rates: false,
    };
    let flags = ExpiringFlags::default();
    let view = RoutingView {
        domain: "north",
        hosts: 300,
        domain_hosts: 100,
        endpoints: &endpoints,
        health: &HealthTable::default(),
        exclusions: &ExclusionTable::default(),
        down_table: &DownTable::default(),
        notices: &EndpointNotices::default(),
        rates: &RateTable::new(1),
        own_loads: &own_loads,
        peer_loads: &peer_loads,
        suspected: &flags,
        overloaded: &flags,
    };
    let mut seed = 1_u64;
    let mut draw = |range: std::ops::RangeInclusive<f64>| {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        range.start() + (seed >> 40) as f64 / (1_u64 << 24) as f64 * (range.end() - range.start())
    };
    let stages = view.stage_views(&engine, &query, now, &mut draw);
    assert_eq!(stages.len(), cards.iter().filter(|c| c.held.is_some()).count() * count / 39);
    report("stage_views", 20, || {
        std::hint::black_box(view.stage_views(&engine, &query, now, &mut draw));
    });
    report("search_path", 20, || {
        std::hint::black_box(search_path(SHAPE.layers, "north", 0.0, &stages));
    });
    let outcome = search_path(SHAPE.layers, "north", 0.0, &stages);
    println!("  comparisons: {}, cost {:.3} ms", outcome.comparisons, outcome.cost_ms);
}

/// Plans a fleet from empty to a complete layout, under load, and after a loss of cards.
fn time_plan(count: usize) {
    let mut fleet = PlannedFleet::new(count);
    for phase in PHASES {
        let mut times = Vec::new();
        let order_count = fleet.run(phase, |time| times.push(time));
        let total: Duration = times.iter().sum();
        times.sort_unstable();
        let rounds = times.len();
        println!(
            "  plan {phase:?}: {rounds} rounds, {order_count} orders; median {:.2?}, longest {:.2?}, \
             total {total:.2?}",
            times[rounds / 2],
            times[rounds - 1],
        );
    }
    println!("  orders {}", fleet.digest());
}

/// Loads of one host of 300, whose streams use a part of the endpoints.
fn host_load(host: usize, count: usize) -> LoadSum {
    let load = StageLoad { streams: 3, starts: 1, token_layers: 4_000 };
    let used = (0..count).filter(|number| (number * 7 + host).is_multiple_of(5));
    let loads = used.map(|number| (format!("endpoint-{number:04}").into(), load)).collect();
    LoadSum { loads, ..LoadSum::default() }
}

fn time_exchange(count: usize) {
    let now = tokio::time::Instant::now();
    let own = host_load(0, count);
    let mut relay = RelayLoads::default();
    let mut number = 0;
    for host in 0..300 {
        relay.exchange(format!("h{host}").into(), host_load(host, count), &own, true, now);
    }
    let report_text = serde_json::to_vec(&own).expect("a report");
    report("parse of a report", 20, || {
        std::hint::black_box(serde_json::from_slice::<LoadSum>(&report_text).expect("a report"));
    });
    let reports: Vec<_> = (0..20).map(|host| host_load(host, count)).collect();
    report("total of an exchange", 20, || {
        let sum = reports[number].clone();
        number += 1;
        std::hint::black_box(relay.exchange(format!("h{number}").into(), sum, &own, true, now));
    });
    let total = relay.group_total(&own, now);
    let text = serde_json::to_vec(&total).expect("a total");
    report("text of a total", 20, || {
        std::hint::black_box(serde_json::to_vec(&total).expect("a total"));
    });
    report("parse of a total", 20, || {
        std::hint::black_box(serde_json::from_slice::<LoadSum>(&text).expect("a total"));
    });
    let totals = std::cell::RefCell::new(vec![total; 20]);
    report("use of a total by a member", 20, || {
        let total = totals.borrow_mut().pop().expect("a total");
        relay.record_total(total.clone(), &own, now);
        PeerLoads::default().update(total, own.clone(), 300, now);
    });
    println!("  report {} bytes, total {} bytes", report_text.len(), text.len());
}
