//! Since when endpoints are empty, and domains that are short of room.

use std::time::Duration;

use jacinthrock_entry::{
    DomainName, EmptyEndpoints, EndpointEntry, LayerSpan, StageRoom, short_domains,
};
use tokio::time::Instant;

const fn span(from: u16, to: u16) -> LayerSpan {
    LayerSpan { from, to }
}

fn entry(name: &str, start_unix_ms: u64, layers: Option<LayerSpan>) -> EndpointEntry {
    EndpointEntry {
        name: name.into(),
        service: "guide".into(),
        address: ([10, 0, 0, 1], 80).into(),
        domain: "north".into(),
        slots: 8,
        is_draining: false,
        orders: 0,
        start_unix_ms,
        card: Some("k".into()),
        layers,
        under_way: None,
    }
}

/// A holder that takes over late must not restart the wait of an endpoint that is known as empty.
#[test]
fn endpoint_is_empty_since_it_was_first_shown_so() {
    let (mut empty, now) = (EmptyEndpoints::default(), Instant::now());
    let at = |seconds| now + Duration::from_secs(seconds);
    empty.update(&[entry("a", 1, None)], now);
    empty.update(&[entry("a", 1, None)], at(1));
    assert_eq!(empty.since("a"), Some(now));
    empty.update(&[entry("a", 1, Some(span(0, 0)))], at(2));
    assert_eq!(empty.since("a"), Some(now), "a span without layers");
    empty.update(&[entry("a", 2, None)], at(3));
    assert_eq!(empty.since("a"), Some(at(3)), "a later start");
    empty.update(&[entry("a", 2, Some(span(0, 4)))], at(4));
    assert_eq!(empty.since("a"), None, "it has layers");
    empty.update(&[entry("a", 2, None)], at(5));
    assert_eq!(empty.since("a"), Some(at(5)));
    empty.update(&[], at(6));
    assert_eq!(empty.since("a"), None, "it has left");
}

/// An order of the former holder may still be loading; a second one would be refused.
#[test]
fn endpoint_with_an_order_under_way_is_not_empty() {
    let (mut empty, now) = (EmptyEndpoints::default(), Instant::now());
    let loading = EndpointEntry { under_way: Some(span(0, 4)), ..entry("a", 1, None) };
    empty.update(&[loading], now);
    assert_eq!(empty.since("a"), None);
}

fn stage(domain: &DomainName, span: LayerSpan, token_layers: u64) -> StageRoom<'_> {
    StageRoom { domain, span, token_layers, kv_capacity: 400.0 }
}

/// Usage over all domains hides a domain whose tightest layer is full.
#[test]
fn domain_is_short_if_its_tightest_layer_is() {
    let (north, south): (DomainName, DomainName) = ("north".into(), "south".into());
    let stages = |used| {
        let north = [stage(&north, span(0, 4), 0), stage(&north, span(4, 8), used)];
        let south = [stage(&south, span(0, 4), 0), stage(&south, span(4, 8), 0)];
        north.into_iter().chain(south).collect::<Vec<_>>()
    };
    assert!(short_domains(8, &stages(299)).is_empty());
    assert_eq!(short_domains(8, &stages(300)), [north.clone()].into());
}

/// A second holder of the layers adds room, and each holder counts for its own layers alone.
#[test]
fn usage_is_that_of_all_holders_of_a_layer() {
    let north: DomainName = "north".into();
    let full = stage(&north, span(0, 4), 400);
    assert!(!short_domains(8, &[full]).is_empty());
    assert!(short_domains(8, &[full, stage(&north, span(0, 4), 0)]).is_empty());
    let partly = stage(&north, span(2, 4), 0);
    assert!(!short_domains(8, &[full, partly]).is_empty(), "layers 0 and 1 have no other holder");
}

/// Spans beyond the model and endpoints without memory must not stop the planner.
#[test]
fn unusual_entries_are_tolerated() {
    let north: DomainName = "north".into();
    for odd in [span(0, 0), span(4, 2), span(9, 12), span(0, u16::MAX)] {
        short_domains(8, &[stage(&north, odd, u64::MAX)]);
    }
    assert!(short_domains(0, &[stage(&north, span(0, 4), 400)]).is_empty());
    let idle = StageRoom { kv_capacity: 0.0, ..stage(&north, span(0, 4), 0) };
    assert!(short_domains(8, &[idle]).is_empty(), "no streams");
    let invalid = StageRoom { kv_capacity: f64::NAN, ..stage(&north, span(0, 4), 400) };
    assert!(short_domains(8, &[invalid]).is_empty());
}
