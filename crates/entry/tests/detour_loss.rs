//! Detours of running streams around stages that died, several at a time.

mod support;

use std::collections::BTreeSet;

use jacinthrock_entry::{EndpointName, LayerSpan, PathStage, StageView, detour};
use support::stage;

const HOME: &str = "north";
/// A pipe that this host may not use.
const CLOSED: f64 = f64::INFINITY;

fn view(name: &str, domain: &str, from: u16, to: u16) -> StageView {
    StageView {
        name: name.into(),
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

fn parts(path: &[PathStage]) -> Vec<(&str, u16, u16)> {
    path.iter().map(|stage| (&*stage.name, stage.span.from, stage.span.to)).collect()
}

/// A path is whole if each layer is run once, in order.
fn assert_whole(path: &[PathStage]) {
    let mut next = 0;
    for stage in path {
        assert_eq!(stage.span.from, next, "{:?}", parts(path));
        assert!(stage.span.count() > 0, "{:?}", parts(path));
        next = stage.span.to;
    }
    assert_eq!(next, 80);
}

#[test]
fn stages_that_are_left_keep_their_layers() {
    let views = [view("e", HOME, 15, 33), view("f", HOME, 30, 70)];
    let way = detour(&old_path(), &lost(&["b"]), CLOSED, &views).expect("a detour");
    assert_whole(&way);
    assert_eq!(
        parts(&way),
        [("a", 0, 20), ("e", 20, 30), ("f", 30, 40), ("c", 40, 60), ("d", 60, 80)]
    );
}

#[test]
fn neighbours_in_the_path_take_what_they_hold_of_the_gap() {
    let views = [view("b", HOME, 20, 48), view("d", HOME, 48, 80)];
    let way = detour(&old_path(), &lost(&["c"]), CLOSED, &views).expect("a detour");
    assert_whole(&way);
    assert_eq!(parts(&way), [("a", 0, 20), ("b", 20, 48), ("d", 48, 80)]);
    // Beyond what they hold, another stage stands in.
    let views = [view("b", HOME, 20, 45), view("d", HOME, 55, 80), view("e", HOME, 44, 56)];
    let way = detour(&old_path(), &lost(&["c"]), CLOSED, &views).expect("a detour");
    assert_whole(&way);
    assert_eq!(parts(&way)[2], ("e", 45, 55));
}

#[test]
fn several_losses_at_once_are_passed_round() {
    let views = [view("e", HOME, 20, 40), view("f", HOME, 60, 80)];
    let way = detour(&old_path(), &lost(&["b", "d"]), CLOSED, &views).expect("a detour");
    assert_whole(&way);
    assert_eq!(parts(&way), [("a", 0, 20), ("e", 20, 40), ("c", 40, 60), ("f", 60, 80)]);
    let adjacent = [view("g", HOME, 20, 60)];
    let way = detour(&old_path(), &lost(&["b", "c"]), CLOSED, &adjacent).expect("a detour");
    assert_eq!(parts(&way), [("a", 0, 20), ("g", 20, 60), ("d", 60, 80)]);
}

/// Every stream of a lost stage would read its tokens over the pipe between domains.
#[test]
fn detour_through_another_domain_needs_a_ticket() {
    let foreign = [view("e", "south", 20, 40)];
    assert!(detour(&old_path(), &lost(&["b"]), CLOSED, &foreign).is_none());
    // A path that crosses anyway may cross at another layer.
    let mut crossing = old_path();
    crossing[2].domain = "south".into();
    crossing[3].domain = "south".into();
    let way = detour(&crossing, &lost(&["b"]), CLOSED, &foreign).expect("a detour");
    assert_eq!(parts(&way)[1], ("e", 20, 40));
    // So may one whose host has a ticket.
    assert!(detour(&old_path(), &lost(&["b"]), 0.1, &foreign).is_some());
}

#[test]
fn first_stage_cannot_be_replaced() {
    let views = [view("e", HOME, 0, 20)];
    assert!(detour(&old_path(), &lost(&["a"]), CLOSED, &views).is_none());
}

#[test]
fn stages_without_room_do_not_stand_in() {
    let full = [StageView { has_room: false, ..view("e", HOME, 20, 40) }];
    assert!(detour(&old_path(), &lost(&["b"]), CLOSED, &full).is_none());
}
