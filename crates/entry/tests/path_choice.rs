//! Which endpoints a stream runs through, under the loads that decide it.

mod support;

use jacinthrock_entry::{CardView, LayerSpan, StageView, cheapest_path, crossings, first_gap};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::net::SocketAddr;
use support::{converge, empty_fleet};

fn stage(number: usize, card: &CardView, span: LayerSpan) -> StageView {
    StageView {
        name: card.name.clone(),
        address: SocketAddr::from(([10, 0, 0, 1], 1_000 + number as u16)),
        domain: card.domain.clone(),
        span,
        layer_ms: card.step_factor * 0.85 / 80.0,
        streams: 0.0,
        fill: 0.1,
        has_room: true,
        doubt_ms: 0.0,
        may_start: true,
    }
}

fn settled_stages() -> Vec<StageView> {
    let mut cards = empty_fleet();
    converge(&mut cards);
    let held = cards.iter().enumerate().filter_map(|(n, card)| Some(stage(n, card, card.held?)));
    held.collect()
}

#[test]
fn streams_cross_no_pipe_while_domains_are_whole() {
    let stages = settled_stages();
    for home in support::DOMAINS {
        let path = cheapest_path(80, home, 0.0, &stages).expect("a path");
        assert_eq!(crossings(&path), 0);
    }
}

#[test]
fn streams_stay_in_the_domain_of_their_host_where_it_is_as_fast() {
    let mut stages: Vec<_> =
        settled_stages().into_iter().filter(|stage| &*stage.domain == "south").collect();
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

/// A domain misses layers: its streams start elsewhere rather than cross the pipe twice.
#[test]
fn broken_domain_sends_its_streams_to_another() {
    let mut stages = settled_stages();
    stages.retain(|stage| &*stage.domain != "south" || !stage.span.holds(40));
    let path = cheapest_path(80, "south", 0.0, &stages).expect("a path");
    assert_eq!(crossings(&path), 0);
    assert_ne!(&*path[0].domain, "south");
}

/// Every domain misses a layer and the pipe is nearly full: no stream more may cross.
#[test]
fn full_pipe_takes_no_stream_more() {
    let mut stages = settled_stages();
    for (domain, layer) in [("north", 10), ("middle", 40), ("south", 70)] {
        stages.retain(|stage| &*stage.domain != domain || !stage.span.holds(layer));
    }
    let path = cheapest_path(80, "south", 0.1, &stages).expect("a path over the pipe");
    assert!(crossings(&path) > 0);
    assert_eq!(cheapest_path(80, "south", 0.9, &stages), None);
}

/// Burst: the stages of the home domain fill up, and streams move on before they are refused.
#[test]
fn full_memory_sends_streams_elsewhere() {
    let mut stages = settled_stages();
    for stage in stages.iter_mut().filter(|stage| &*stage.domain == "north") {
        stage.fill = 1.2;
        stage.streams = 120.0;
    }
    let path = cheapest_path(80, "north", 0.0, &stages).expect("a path");
    assert_ne!(&*path[0].domain, "north");
}

#[test]
fn doubted_stage_is_left_out_where_others_can_stand_in() {
    let mut stages = settled_stages();
    let usual = cheapest_path(80, "north", 0.0, &stages).expect("a path");
    for stage in stages.iter_mut().filter(|stage| stage.name == usual[1].name) {
        stage.doubt_ms = 40.0;
    }
    let path = cheapest_path(80, "north", 0.0, &stages).expect("a path");
    assert!(path.iter().all(|stage| stage.name != usual[1].name));
}

#[test]
fn path_begins_only_where_it_may() {
    let mut stages = settled_stages();
    for stage in &mut stages {
        stage.may_start = &*stage.domain == "middle";
    }
    let path = cheapest_path(80, "north", 0.0, &stages).expect("a path");
    assert_eq!(&*path[0].domain, "middle");
}

#[test]
fn gap_names_the_first_layer_without_room() {
    let mut stages = settled_stages();
    for stage in stages.iter_mut().filter(|stage| stage.span.holds(33)) {
        stage.has_room = false;
    }
    let gap = first_gap(80, &stages).expect("a gap");
    assert!(gap <= 33);
    assert_eq!(cheapest_path(80, "north", 0.0, &stages), None);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(5), ..ProptestConfig::default() })]

    /// Whatever the spans: each layer runs once, in order, and no endpoint appears twice.
    #[test]
    fn each_layer_runs_once_and_in_order(
        spans in prop::collection::vec((0_u16..80, 1_u16..30, 0_usize..39, 0.0_f64..60.0), 1..60),
        pipe in 0.0_f64..1.0,
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
        let path = cheapest_path(80, "north", pipe, &stages);
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
        } else if pipe < 0.7 {
            prop_assert!(first_gap(80, &stages).is_some(), "no path although no layer is missing");
        }
    }
}
