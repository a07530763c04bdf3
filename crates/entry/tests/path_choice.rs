//! Choice of the cheapest path under different loads and faults.

mod support;

use jacinthrock_entry::{CardView, LayerSpan, StageView, cheapest_path, crossings, first_gap};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::net::SocketAddr;
use support::{converge, empty_fleet};

fn stage(number: usize, card: &CardView, span: LayerSpan) -> StageView {
    StageView {
        name: card.name.clone(),
        start_unix_ms: 1,
        address: SocketAddr::from(([10, 0, 0, 1], 1_000 + number as u16)),
        domain: card.domain.clone(),
        span,
        layer_ms: card.step_factor * 0.85 / 80.0,
        streams: 0.0,
        kv_usage: 0.1,
        has_room: true,
        penalty_ms: 0.0,
        may_start: true,
    }
}

fn converged_stages() -> Vec<StageView> {
    let mut cards = empty_fleet();
    converge(&mut cards);
    let held = cards.iter().enumerate().filter_map(|(n, card)| Some(stage(n, card, card.held?)));
    held.collect()
}

#[test]
fn paths_stay_in_one_domain_while_domains_are_complete() {
    let stages = converged_stages();
    for home in support::DOMAINS {
        let path = cheapest_path(80, home, 0.0, &stages).expect("a path");
        assert_eq!(crossings(&path), 0);
    }
}

#[test]
fn home_domain_is_preferred_among_equally_fast_ones() {
    let mut stages: Vec<_> =
        converged_stages().into_iter().filter(|stage| &*stage.domain == "south").collect();
    let twins = stages.clone().into_iter().map(|stage| StageView {
        name: format!("twin-{}", stage.name).into(),
        domain: "middle".into(),
        ..stage
    });
    stages.extend(twins.collect::<Vec<_>>());
    for home in ["south", "middle"] {
        let path = cheapest_path(80, home, 0.0, &stages).expect("a path");
        assert!(path.iter().all(|stage| &*stage.domain == home));
    }
}

/// If the home domain has no stage for some layer, a path within another domain is cheaper than one
/// that crosses domains twice.
#[test]
fn incomplete_domain_sends_its_streams_to_another() {
    let mut stages = converged_stages();
    stages.retain(|stage| &*stage.domain != "south" || !stage.span.holds(40));
    let path = cheapest_path(80, "south", 0.0, &stages).expect("a path");
    assert_eq!(crossings(&path), 0);
    assert_ne!(&*path[0].domain, "south");
}

/// If every domain misses a layer, paths must cross domains, but not over a link that is nearly
/// saturated.
#[test]
fn saturated_link_takes_no_further_streams() {
    let mut stages = converged_stages();
    for (domain, layer) in [("north", 10), ("middle", 40), ("south", 70)] {
        stages.retain(|stage| &*stage.domain != domain || !stage.span.holds(layer));
    }
    let path = cheapest_path(80, "south", 0.1, &stages).expect("a path across domains");
    assert!(crossings(&path) > 0);
    assert_eq!(cheapest_path(80, "south", 0.9, &stages), None);
}

/// In a burst that fills the KV caches of the home domain, streams go to another domain before they
/// are refused.
#[test]
fn full_kv_cache_sends_streams_to_another_domain() {
    let mut stages = converged_stages();
    for stage in stages.iter_mut().filter(|stage| &*stage.domain == "north") {
        stage.kv_usage = 1.2;
        stage.streams = 120.0;
    }
    let path = cheapest_path(80, "north", 0.0, &stages).expect("a path");
    assert_ne!(&*path[0].domain, "north");
}

#[test]
fn suspected_stage_is_avoided_if_others_hold_its_layers() {
    let mut stages = converged_stages();
    let usual = cheapest_path(80, "north", 0.0, &stages).expect("a path");
    for stage in stages.iter_mut().filter(|stage| stage.name == usual[1].name) {
        stage.penalty_ms = 40.0;
    }
    let path = cheapest_path(80, "north", 0.0, &stages).expect("a path");
    assert!(path.iter().all(|stage| stage.name != usual[1].name));
}

#[test]
fn path_starts_only_at_allowed_stages() {
    let mut stages = converged_stages();
    for stage in &mut stages {
        stage.may_start = &*stage.domain == "middle";
    }
    let path = cheapest_path(80, "north", 0.0, &stages).expect("a path");
    assert_eq!(&*path[0].domain, "middle");
}

#[test]
fn first_gap_is_a_layer_without_room() {
    let mut stages = converged_stages();
    for stage in stages.iter_mut().filter(|stage| stage.span.holds(33)) {
        stage.has_room = false;
    }
    let gap = first_gap(80, &stages).expect("a gap");
    assert!(gap <= 33);
    assert_eq!(cheapest_path(80, "north", 0.0, &stages), None);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(5), ..ProptestConfig::default() })]

    /// For any spans, a path runs each layer once and in order, and uses no endpoint twice.
    #[test]
    fn each_layer_runs_once_and_in_order(
        spans in prop::collection::vec((0_u16..80, 1_u16..30, 0_usize..39, 0.0_f64..60.0), 1..60),
        link_share in 0.0_f64..1.0,
    ) {
        let fleet = empty_fleet();
        let stages: Vec<_> = spans
            .into_iter()
            .enumerate()
            .map(|(number, (from, count, kind, streams))| {
                let span = LayerSpan { from, to: (from + count).min(80) };
                let name = format!("e-{number}").into();
                let view = stage(number, &fleet[kind], span);
                StageView { name, streams, ..view }
            })
            .collect();
        let path = cheapest_path(80, "north", link_share, &stages);
        if let Some(path) = path {
            let mut next = 0;
            for (index, part) in path.iter().enumerate() {
                prop_assert_eq!(part.span.from, next);
                next = part.span.to;
                let held = stages.iter().find(|stage| stage.name == part.name).expect("a stage");
                prop_assert!(held.span.from <= part.span.from && part.span.to <= held.span.to);
                prop_assert!(path[..index].iter().all(|other| other.name != part.name));
            }
            prop_assert_eq!(next, 80);
            prop_assert!(path.len() <= 32);
        } else if link_share < 0.7 {
            prop_assert!(first_gap(80, &stages).is_some(), "no path although no layer is missing");
        }
    }
}
