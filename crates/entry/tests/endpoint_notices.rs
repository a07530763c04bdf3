//! What endpoints have said of themselves.

use std::time::Duration;

use jacinthrock_entry::{EndpointNotices, EndpointStart};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn leaving_belongs_to_one_start_of_an_endpoint() {
    let (mut notices, now, name) = (EndpointNotices::default(), Instant::now(), "i-1".into());
    let first = EndpointStart { name: &name, start_unix_ms: 5 };
    assert!(notices.mark_leaving(first, now));
    assert!(!notices.mark_leaving(first, now), "logged once");
    assert!(notices.is_leaving(first));
    let restarted = EndpointStart { name: &name, start_unix_ms: 9 };
    assert!(!notices.is_leaving(restarted));
    notices.pause(restarted, SECOND, now);
    assert!(!notices.is_leaving(restarted));
}

#[test]
fn shorter_pause_does_not_cut_a_longer_one() {
    let (mut notices, now, name) = (EndpointNotices::default(), Instant::now(), "i-1".into());
    let endpoint = EndpointStart { name: &name, start_unix_ms: 5 };
    assert!(notices.pause(endpoint, SECOND * 4, now));
    assert!(!notices.pause(endpoint, SECOND / 2, now + SECOND), "it was paused already");
    assert_eq!(notices.paused_until(endpoint, now + SECOND * 3), Some(now + SECOND * 4));
    assert!(!notices.is_paused(endpoint, now + SECOND * 4));
    assert!(notices.pause(endpoint, SECOND, now + SECOND * 5));
}

#[test]
fn endless_pause_is_bounded_and_none_is_no_pause() {
    let (mut notices, now, name) = (EndpointNotices::default(), Instant::now(), "i-1".into());
    let endpoint = EndpointStart { name: &name, start_unix_ms: 5 };
    assert!(!notices.pause(endpoint, Duration::ZERO, now));
    assert!(!notices.is_paused(endpoint, now));
    notices.pause(endpoint, Duration::MAX, now);
    assert!(notices.is_paused(endpoint, now + SECOND * 300));
    assert!(!notices.is_paused(endpoint, now + SECOND * 900));
}

/// A registry that comes back from a copy lists endpoints again that had left.
#[test]
fn notices_outlive_the_listing_of_their_endpoint() {
    let (mut notices, now, name) = (EndpointNotices::default(), Instant::now(), "i-1".into());
    let endpoint = EndpointStart { name: &name, start_unix_ms: 5 };
    notices.mark_leaving(endpoint, now);
    notices.prune(|_| false, now + SECOND * 60);
    assert!(notices.is_leaving(endpoint));
    notices.prune(|_| true, now + SECOND * 600);
    assert!(notices.is_leaving(endpoint));
    notices.prune(|_| false, now + SECOND * 600);
    assert!(!notices.is_leaving(endpoint));
}
