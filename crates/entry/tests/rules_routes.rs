//! Lookup of routes, keys and targets in the serving rules.

use jacinthrock_entry::{
    CustomerRule, KeyVerdict, RetryPolicy, RouteRule, RuleIndex, ServingRules,
};
use std::time::Duration;

fn route(name: &str, host: &str, prefix: &str) -> RouteRule {
    RouteRule {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        targets: vec![("old".into(), 90), ("new".into(), 10)],
        retry_policy: RetryPolicy::Once,
        is_stream: false,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(300),
        event_gap: Duration::from_millis(200),
        max_attempts: 1,
        priority: 1,
        is_open: name == "open",
    }
}

fn index() -> RuleIndex {
    let routes = vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("open", "b.example", "/"),
    ];
    let customers = vec![CustomerRule {
        name: "mill".into(),
        keys: vec!["k1".into(), "k2".into()],
        priority: Some(0),
    }];
    RuleIndex::new(ServingRules { version: 3, routes, customers, ..ServingRules::default() })
}

#[test]
fn route_with_longest_matching_prefix_is_found() {
    let index = index();
    let name = |host: &str, path: &str| index.route(host, path).map(|route| route.name.clone());
    assert_eq!(name("a.example", "/x/y/z").as_deref(), Some("long"));
    assert_eq!(name("A.Example:8080", "/x/z").as_deref(), Some("short"));
    assert_eq!(name("a.example", "/z/"), None);
    assert_eq!(name("c.example", "/x/"), None);
}

#[test]
fn known_key_gives_its_customer_and_unknown_key_is_rejected() {
    let index = index();
    let (closed, open) = (route("short", "a", "/"), route("open", "b", "/"));
    assert_eq!(index.check_key(&closed, Some("k2")), KeyVerdict::Customer("mill".into(), Some(0)));
    assert_eq!(index.check_key(&closed, Some("k9")), KeyVerdict::Unknown);
    assert_eq!(index.check_key(&closed, None), KeyVerdict::Unknown);
    assert_eq!(index.check_key(&open, None), KeyVerdict::NotNeeded);
}

#[test]
fn targets_are_picked_by_weight() {
    let (index, route) = (index(), route("short", "a", "/"));
    assert_eq!(index.pick_target(&route, 0.89).map(|name| &**name), Some("old"));
    assert_eq!(index.pick_target(&route, 0.91).map(|name| &**name), Some("new"));
    assert_eq!(index.pick_target(&route, 1.0).map(|name| &**name), Some("new"));
}

/// Admission and queueing by priority must stay off for services whose streams all have the same
/// priority, and for plain calls.
#[test]
fn service_has_priorities_if_its_stream_routes_differ() {
    let with = |is_stream: bool, priority: u8, targets: &[(&str, u32)]| RouteRule {
        is_stream,
        priority,
        targets: targets.iter().map(|(name, weight)| ((*name).into(), *weight)).collect(),
        ..route("r", "a.example", "/")
    };
    let routes = vec![
        with(true, 0, &[("mixed", 1), ("even", 1)]),
        with(true, 2, &[("mixed", 1), ("off", 1), ("even", 0)]),
        with(true, 2, &[("off", 1)]),
        with(false, 0, &[("off", 1), ("even", 1)]),
    ];
    let index = RuleIndex::new(ServingRules { routes, ..ServingRules::default() });
    assert!(index.has_priorities("mixed"));
    for service in ["even", "off", "none"] {
        assert!(!index.has_priorities(service), "{service} has one priority at most");
    }
}

/// Guards against an order of calls for services that need none, and against one for engines, which
/// order their streams.
#[test]
fn services_of_plain_calls_have_priorities_if_their_routes_differ() {
    let to = |name: &str, service: &str, priority| RouteRule {
        targets: vec![(service.into(), 1)],
        priority,
        ..route(name, "a.example", &format!("/{name}/"))
    };
    let stream = |route: RouteRule| RouteRule { is_stream: true, ..route };
    let unused = RouteRule { targets: vec![("same".into(), 0)], ..to("unused", "same", 9) };
    let routes = vec![
        to("near", "desk", 0),
        to("far", "desk", 1),
        to("one", "same", 1),
        to("two", "same", 1),
        unused,
        to("plain", "mixed", 0),
        to("other", "mixed", 2),
        stream(to("stream", "mixed", 1)),
        stream(to("short", "guide", 0)),
        stream(to("long", "guide", 2)),
    ];
    let index = RuleIndex::new(ServingRules { routes, ..ServingRules::default() });
    let plain = ["desk", "same", "mixed", "guide", "none"].map(|it| index.has_plain_priorities(it));
    assert_eq!(plain, [true, false, false, false, false]);
    assert!(index.has_priorities("guide") && !index.has_priorities("desk"));
    assert!(!index.has_priorities("mixed"), "streams of one priority");
}
