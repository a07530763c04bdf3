//! Evidence of other hosts on whether the rules in force are the newest.

use std::time::Duration;

use jacinthrock_entry::{RulesEvidence, RulesFreshness};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn confirmation_ages_from_the_reply_of_the_registry() {
    let now = Instant::now();
    let mut freshness = RulesFreshness::default();
    freshness.record_peer(4, 4, now.checked_sub(SECOND), now);
    assert_eq!(freshness.evidence(4, now + SECOND / 2), RulesEvidence::Confirmed);
    assert_eq!(freshness.evidence(4, now + SECOND), RulesEvidence::Unconfirmed);
    freshness.record_peer(4, 4, None, now + SECOND);
    assert_eq!(freshness.evidence(4, now + SECOND), RulesEvidence::Unconfirmed);
}

#[test]
fn newer_rules_elsewhere_make_the_watch_suspect_after_a_pause() {
    let now = Instant::now();
    let mut freshness = RulesFreshness::default();
    freshness.record_peer(4, 4, Some(now), now);
    freshness.record_peer(4, 5, Some(now), now);
    assert_eq!(freshness.evidence(4, now + SECOND / 2), RulesEvidence::Confirmed);
    assert_eq!(freshness.evidence(4, now + SECOND), RulesEvidence::Outdated);
    assert_eq!(freshness.evidence(5, now + SECOND), RulesEvidence::Confirmed);
    assert_eq!(freshness.newest(4), 5);
}

/// In a series of changes a host is always a little behind, and each of them shows that its watch
/// is alive.
#[test]
fn host_that_progresses_is_not_outdated() {
    let mut now = Instant::now();
    let mut freshness = RulesFreshness::default();
    for version in 1..40 {
        freshness.record_peer(version, version + 1, Some(now), now);
        now += SECOND / 2;
        assert_ne!(freshness.evidence(version, now), RulesEvidence::Outdated);
    }
}

#[test]
fn own_reply_of_the_registry_is_passed_on_and_does_not_vouch_for_the_own_watch() {
    let now = Instant::now();
    let mut freshness = RulesFreshness::default();
    assert!(freshness.is_unconfirmed(now));
    freshness.record_registry(now);
    assert_eq!(freshness.evidence(1, now), RulesEvidence::Unconfirmed);
    assert_eq!(freshness.confirmed(), Some(now));
    assert!(!freshness.is_unconfirmed(now + SECOND));
}
