//! When a refused connection proves the end of an endpoint.

use std::time::Duration;

use jacinthrock_entry::{EndClaims, EndpointEntry};
use tokio::time::Instant;

fn entry(name: &str, start_unix_ms: u64) -> EndpointEntry {
    EndpointEntry {
        name: name.into(),
        service: "desk".into(),
        address: ([10, 0, 0, 1], 80).into(),
        domain: "north".into(),
        slots: 6,
        is_draining: false,
        orders: 0,
        start_unix_ms,
        card: None,
        layers: None,
        under_way: None,
    }
}

#[test]
fn endpoint_that_refuses_again_after_another_has_replied_has_ended() {
    let (mut claims, now) = (EndClaims::default(), Instant::now());
    let (ended, other) = (entry("i-1", 5), entry("i-2", 5));
    assert!(!claims.record_refused(&ended, now));
    assert!(claims.take_due().is_empty());
    claims.record_reply(&other);
    assert_eq!(claims.take_due(), std::slice::from_ref(&ended));
    assert!(claims.take_due().is_empty(), "one look is enough");
    assert!(claims.record_refused(&ended, now));
}

/// A host that was cut off from all endpoints took each of them for ended.
#[test]
fn host_that_reaches_no_endpoint_proves_no_end() {
    let (mut claims, start) = (EndClaims::default(), Instant::now());
    let endpoints = [entry("i-1", 5), entry("i-2", 5), entry("i-3", 5)];
    for step in 0..40 {
        let now = start + Duration::from_millis(50 * step);
        for endpoint in &endpoints {
            assert!(!claims.record_refused(endpoint, now));
        }
    }
    // The links are back: the endpoints reply one after the other.
    for endpoint in &endpoints {
        claims.record_reply(endpoint);
    }
    assert!(claims.take_due().is_empty());
}

/// A host that reaches one service and has lost its links to another took every endpoint of the
/// latter for ended.
#[test]
fn reply_of_another_service_proves_no_end() {
    let (mut claims, now) = (EndClaims::default(), Instant::now());
    let refusing = entry("i-1", 5);
    let other_service = EndpointEntry { service: "guide".into(), ..entry("g-1", 5) };
    for _ in 0..3 {
        assert!(!claims.record_refused(&refusing, now));
        claims.record_reply(&other_service);
        assert!(claims.take_due().is_empty());
    }
    claims.record_reply(&entry("i-2", 5));
    assert_eq!(claims.take_due(), std::slice::from_ref(&refusing));
    assert!(claims.record_refused(&refusing, now));
}

#[test]
fn later_start_is_another_endpoint() {
    let (mut claims, now) = (EndClaims::default(), Instant::now());
    assert!(!claims.record_refused(&entry("i-1", 5), now));
    claims.record_reply(&entry("i-2", 5));
    assert!(!claims.record_refused(&entry("i-1", 6), now));
}

#[test]
fn refusals_long_ago_prove_nothing() {
    let (mut claims, now) = (EndClaims::default(), Instant::now());
    assert!(!claims.record_refused(&entry("i-1", 5), now));
    claims.record_reply(&entry("i-2", 5));
    assert!(!claims.record_refused(&entry("i-1", 5), now + Duration::from_secs(11)));
}
