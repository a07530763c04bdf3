//! Detours of running streams around one or several lost stages.

mod support;

use std::collections::BTreeSet;

use jacinthrock_entry::{EndpointName, LayerSpan, PathStage, StageView, detour};
use support::stage;

const HOME: &str = "north";
/// Link share for a host without crossing quota.
const CLOSED_LINK: f64 = f64::INFINITY;

fn view(name: &str, domain: &str, from: u16, to: u16) -> StageView {
    StageView {
        name: name.into(),
        start_unix_ms: 1,
        address: ([10, 0, 0, 1], 80).into(),
        domain: domain.into(),
        span: LayerSpan { from, to },
        layer_ms: 0.1,
        streams: 0.0,
        kv_usage: 0.0,
        has_room: true,
        penalty_ms: 0.0,
        may_start: false,
    }
}

fn old_path() -> [PathStage; 4] {
    [
        stage("a", HOME, 0, 20),
        stage("b", HOME, 20, 40),
        stage("c", HOME, 40, 60),
        stage("d", HOME, 60, 80),
    ]
}

fn lost(names: &[&str]) -> BTreeSet<EndpointName> {
    names.iter().map(|name| (*name).into()).collect()
}

fn spans(path: &[PathStage]) -> Vec<(&str, u16, u16)> {
    path.iter().map(|stage| (&*stage.name, stage.span.from, stage.span.to)).collect()
}

/// Checks that a path runs each layer once, in order.
fn assert_complete(path: &[PathStage]) {
    let mut next = 0;
    for stage in path {
        assert_eq!(stage.span.from, next, "{:?}", spans(path));
        assert!(stage.span.count() > 0, "{:?}", spans(path));
        next = stage.span.to;
    }
    assert_eq!(next, 80);
}

#[test]
fn surviving_stages_keep_their_layers() {
    let views = [view("e", HOME, 15, 33), view("f", HOME, 30, 70)];
    let new_path = detour(&old_path(), &lost(&["b"]), CLOSED_LINK, &views).expect("a detour");
    assert_complete(&new_path);
    assert_eq!(
        spans(&new_path),
        [("a", 0, 20), ("e", 20, 30), ("f", 30, 40), ("c", 40, 60), ("d", 60, 80)]
    );
}

#[test]
fn adjacent_stages_extend_into_the_gap() {
    let views = [view("b", HOME, 20, 48), view("d", HOME, 48, 80)];
    let new_path = detour(&old_path(), &lost(&["c"]), CLOSED_LINK, &views).expect("a detour");
    assert_complete(&new_path);
    assert_eq!(spans(&new_path), [("a", 0, 20), ("b", 20, 48), ("d", 48, 80)]);
    // Another endpoint runs the layers that they do not hold.
    let views = [view("b", HOME, 20, 45), view("d", HOME, 55, 80), view("e", HOME, 44, 56)];
    let new_path = detour(&old_path(), &lost(&["c"]), CLOSED_LINK, &views).expect("a detour");
    assert_complete(&new_path);
    assert_eq!(spans(&new_path)[2], ("e", 45, 55));
}

#[test]
fn several_lost_stages_are_replaced_at_once() {
    let views = [view("e", HOME, 20, 40), view("f", HOME, 60, 80)];
    let new_path = detour(&old_path(), &lost(&["b", "d"]), CLOSED_LINK, &views).expect("a detour");
    assert_complete(&new_path);
    assert_eq!(spans(&new_path), [("a", 0, 20), ("e", 20, 40), ("c", 40, 60), ("f", 60, 80)]);
    let adjacent = [view("g", HOME, 20, 60)];
    let new_path =
        detour(&old_path(), &lost(&["b", "c"]), CLOSED_LINK, &adjacent).expect("a detour");
    assert_eq!(spans(&new_path), [("a", 0, 20), ("g", 20, 60), ("d", 60, 80)]);
}

/// Without a quota, every stream of a lost stage would send its prefill over the inter-domain link
/// at once.
#[test]
fn detour_through_another_domain_needs_crossing_quota() {
    let foreign = [view("e", "south", 20, 40)];
    assert!(detour(&old_path(), &lost(&["b"]), CLOSED_LINK, &foreign).is_none());
    // A path that already crosses may cross at another layer instead.
    let mut crossing = old_path();
    crossing[2].domain = "south".into();
    crossing[3].domain = "south".into();
    let new_path = detour(&crossing, &lost(&["b"]), CLOSED_LINK, &foreign).expect("a detour");
    assert_eq!(spans(&new_path)[1], ("e", 20, 40));
    // With quota left, a path may gain a crossing.
    assert!(detour(&old_path(), &lost(&["b"]), 0.1, &foreign).is_some());
}

#[test]
fn first_stage_cannot_be_replaced() {
    let views = [view("e", HOME, 0, 20)];
    assert!(detour(&old_path(), &lost(&["a"]), CLOSED_LINK, &views).is_none());
}

#[test]
fn stages_without_room_are_not_used() {
    let full = [StageView { has_room: false, ..view("e", HOME, 20, 40) }];
    assert!(detour(&old_path(), &lost(&["b"]), CLOSED_LINK, &full).is_none());
}
