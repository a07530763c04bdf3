//! When a host may take the placement lease and when it gives the lease up, without hosts.

use std::time::Duration;

use jacinthrock_entry::{
    BootId, LeaseInputs, LeaseText, PlacementHolder, RegistryEra, RegistryRecord, RegistryVersion,
    TakeReason, TakeoverTable,
};
use tokio::time::Instant;

const OWN_BOOT: BootId = 1;
const HOLDER_BOOT: BootId = 2;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn host(number: u8) -> PlacementHolder {
    PlacementHolder {
        host: format!("h{number}").into(),
        address: ([10, 0, 0, number], 7_102).into(),
    }
}

/// A record that a process wrote over revision 40 of an era.
fn record(holder: &PlacementHolder, era: RegistryEra, boot_id: BootId) -> RegistryRecord {
    let over = RegistryVersion { era, revision: 40 };
    record_with(LeaseText::format(holder, over, boot_id))
}

fn record_with(text: Box<str>) -> RegistryRecord {
    let version = RegistryVersion { era: 0, revision: 41 };
    RegistryRecord { name: "placement".into(), version, text }
}

/// What host 1 decides on a record that is listed in an era.
fn reason(
    table: &mut TakeoverTable,
    era: RegistryEra,
    record: &RegistryRecord,
    now: Instant,
) -> Option<TakeReason> {
    let inputs = LeaseInputs {
        era,
        record: Some(record),
        own: &host(1),
        boot_id: OWN_BOOT,
        unanswered: None,
        may_be_restored: false,
        hears_holder: false,
    };
    table.take_reason(inputs, now)
}

/// Two refused exchanges that show that a host's process has ended.
fn refuse(table: &mut TakeoverTable, host: &PlacementHolder, now: Instant) -> Instant {
    table.record_refused(host, now);
    table.record_refused(host, now + ms(200));
    now + ms(200)
}

/// A restarted holder would otherwise wait for its own lease to lapse.
#[test]
fn record_of_an_ended_process_of_this_host_is_taken_at_once() {
    let now = Instant::now();
    let reason = |record| reason(&mut TakeoverTable::default(), 0, &record, now);
    assert_eq!(reason(record(&host(1), 0, HOLDER_BOOT)), Some(TakeReason::OwnRecord));
    // The previous version does not name its process.
    let previous = record_with("h1 10.0.0.1:7102 0.40".into());
    assert_eq!(reason(previous), Some(TakeReason::OwnRecord));
    assert_eq!(reason(record(&host(2), 0, HOLDER_BOOT)), None);
    let moved = PlacementHolder { address: host(2).address, ..host(1) };
    assert_eq!(reason(record(&moved, 0, HOLDER_BOOT)), None, "another address");
}

/// A process that has lost the lease must not take its own record as one of an ended process.
#[test]
fn record_of_this_process_lapses_as_any_other() {
    let (mut table, now) = (TakeoverTable::default(), Instant::now());
    let record = record(&host(1), 0, OWN_BOOT);
    assert_eq!(reason(&mut table, 0, &record, now), None);
    assert_eq!(reason(&mut table, 0, &record, now + ms(2_499)), None);
    assert_eq!(reason(&mut table, 0, &record, now + ms(2_500)), Some(TakeReason::Lapsed));
}

/// A restored registry can list a lease that has ended long ago, while its last holder still acts.
#[test]
fn record_of_a_former_era_only_lapses() {
    for holder in [host(1), host(2)] {
        let (mut table, now) = (TakeoverTable::default(), Instant::now());
        let record = record(&holder, 3, HOLDER_BOOT);
        let later = refuse(&mut table, &host(2), now);
        assert_eq!(reason(&mut table, 4, &record, later), None, "{record:?}");
        assert_eq!(reason(&mut table, 4, &record, later + ms(2_499)), None, "{record:?}");
        let lapsed = reason(&mut table, 4, &record, later + ms(2_500));
        assert_eq!(lapsed, Some(TakeReason::Lapsed), "{record:?}");
    }
}

#[test]
fn ended_holder_is_replaced_after_two_refused_exchanges() {
    let (mut table, now) = (TakeoverTable::default(), Instant::now());
    let record = record(&host(2), 0, HOLDER_BOOT);
    table.record_reply(&host(2), HOLDER_BOOT);
    assert!(!table.record_refused(&host(2), now));
    assert_eq!(reason(&mut table, 0, &record, now), None, "one refusal");
    assert!(!table.record_refused(&host(2), now + ms(199)));
    assert_eq!(reason(&mut table, 0, &record, now + ms(199)), None, "too close");
    assert!(table.record_refused(&host(2), now + ms(200)));
    let ended = reason(&mut table, 0, &record, now + ms(200));
    assert_eq!(ended, Some(TakeReason::HolderEnded));
    assert!(!table.record_refused(&host(2), now + ms(400)), "announced once");
}

/// A holder whose process is replaced refuses connections for a moment and goes on.
#[test]
fn reply_of_the_holder_resets_the_refusals() {
    let (mut table, now) = (TakeoverTable::default(), Instant::now());
    let record = record(&host(2), 0, HOLDER_BOOT);
    for round in 0..10 {
        let at = now + ms(200) * round;
        table.record_refused(&host(2), at);
        assert_eq!(reason(&mut table, 0, &record, at), None);
        table.record_reply(&host(2), HOLDER_BOOT);
    }
}

/// Members lose their relay without any fault of the holder.
#[test]
fn loss_of_a_relay_is_no_evidence_about_the_holder() {
    let (mut table, now) = (TakeoverTable::default(), Instant::now());
    let record = record(&host(2), 0, HOLDER_BOOT);
    let later = refuse(&mut table, &host(3), now);
    assert_eq!(reason(&mut table, 0, &record, later), None);
    // Each refused once, 200 ms apart.
    table.record_refused(&host(2), later);
    table.record_refused(&host(3), later + ms(200));
    assert_eq!(reason(&mut table, 0, &record, later + ms(200)), None);
}

/// The holder has started again and taken its lease before this host has exchanged with it.
#[test]
fn end_of_a_former_process_is_no_evidence_about_a_later_one() {
    let (mut table, now) = (TakeoverTable::default(), Instant::now());
    table.record_reply(&host(2), HOLDER_BOOT);
    let later = refuse(&mut table, &host(2), now);
    let former = record(&host(2), 0, HOLDER_BOOT);
    assert_eq!(reason(&mut table, 0, &former, later), Some(TakeReason::HolderEnded));
    let next = record(&host(2), 0, HOLDER_BOOT + 1);
    assert_eq!(reason(&mut table, 0, &next, later), None);
}

/// Refusals from long ago say nothing about the process that holds the lease now.
#[test]
fn refusals_expire() {
    let (mut table, now) = (TakeoverTable::default(), Instant::now());
    let record = record(&host(2), 0, HOLDER_BOOT);
    let later = refuse(&mut table, &host(2), now);
    assert_eq!(reason(&mut table, 0, &record, later + ms(2_500)), None);
    assert!(!table.record_refused(&host(2), later + ms(2_600)), "a first refusal again");
}

/// A holder of the previous version is replaced on the same evidence.
#[test]
fn holder_of_the_previous_version_that_has_ended_is_replaced() {
    let (mut table, now) = (TakeoverTable::default(), Instant::now());
    table.record_reply(&host(2), HOLDER_BOOT);
    let later = refuse(&mut table, &host(2), now);
    let previous = record_with("h2 10.0.0.2:7102 0.40".into());
    assert_eq!(reason(&mut table, 0, &previous, later), Some(TakeReason::HolderEnded));
}

/// Two running hosts that refuse each other's connections must not take the lease from each other
/// again and again.
#[test]
fn process_takes_from_an_ended_holder_at_most_once_in_five_seconds() {
    let (mut table, now) = (TakeoverTable::default(), Instant::now());
    let record = record(&host(2), 0, HOLDER_BOOT);
    let later = refuse(&mut table, &host(2), now);
    assert_eq!(reason(&mut table, 0, &record, later), Some(TakeReason::HolderEnded));
    table.record_taken(TakeReason::HolderEnded, later);
    let again = refuse(&mut table, &host(2), later + ms(600));
    assert_eq!(reason(&mut table, 0, &record, again), None);
    let lapsed = reason(&mut table, 0, &record, again + ms(2_500));
    assert_eq!(lapsed, Some(TakeReason::Lapsed), "no later than without the rule");
    let last = refuse(&mut table, &host(2), later + ms(5_000));
    assert_eq!(reason(&mut table, 0, &record, last), Some(TakeReason::HolderEnded));
}

/// A holder that hosts still hear acts for an outage, and a holder that renews is not replaced.
#[test]
fn lease_lapses_only_without_renewals_and_replies() {
    let (mut table, now) = (TakeoverTable::default(), Instant::now());
    let first = record(&host(2), 0, HOLDER_BOOT);
    let renewed =
        RegistryRecord { version: RegistryVersion { era: 0, revision: 42 }, ..first.clone() };
    assert_eq!(reason(&mut table, 0, &first, now), None);
    assert_eq!(reason(&mut table, 0, &renewed, now + ms(2_000)), None);
    assert_eq!(reason(&mut table, 0, &renewed, now + ms(4_499)), None);
    let inputs = LeaseInputs {
        era: 0,
        record: Some(&renewed),
        own: &host(1),
        boot_id: OWN_BOOT,
        unanswered: None,
        may_be_restored: false,
        hears_holder: true,
    };
    assert_eq!(table.take_reason(inputs, now + ms(4_500)), None);
    assert_eq!(reason(&mut table, 0, &renewed, now + ms(4_500)), Some(TakeReason::Lapsed));
}

/// A released lease is free, unless a restore may have brought it back a moment ago.
#[test]
fn free_lease_and_lost_replies_are_as_before() {
    let now = Instant::now();
    let mut table = TakeoverTable::default();
    assert_eq!(reason(&mut table, 0, &record_with("".into()), now), Some(TakeReason::Free));
    let written = record(&host(1), 0, OWN_BOOT);
    let inputs = LeaseInputs {
        era: 0,
        record: Some(&written),
        own: &host(1),
        boot_id: OWN_BOOT,
        unanswered: Some(&written.text),
        may_be_restored: true,
        hears_holder: false,
    };
    assert_eq!(table.take_reason(inputs, now), Some(TakeReason::OwnRecord));
    let none = LeaseInputs { record: None, unanswered: None, ..inputs };
    assert_eq!(table.take_reason(none, now), None, "may be restored");
    let none = LeaseInputs { may_be_restored: false, ..none };
    assert_eq!(table.take_reason(none, now), Some(TakeReason::Free));
}

/// The previous version reads the host and the address, and needs each renewal to change the text.
#[test]
fn text_of_the_record_begins_as_that_of_the_previous_version() {
    let text =
        |revision| LeaseText::format(&host(1), RegistryVersion { era: 2, revision }, OWN_BOOT);
    assert!(text(40).starts_with("h1 10.0.0.1:7102 2.40"), "{}", text(40));
    assert_ne!(text(40), text(41));
    assert_eq!(LeaseText::parse("garbage"), None);
    assert_eq!(LeaseText::parse("h1 10.0.0.1:7102").and_then(|lease| lease.era), None);
}

/// A holder without links keeps the lease for as long as no other host could do better.
#[test]
fn holder_that_reaches_no_endpoint_releases_while_others_reach_some() {
    let (mut table, now) = (TakeoverTable::default(), Instant::now());
    table.record_links(true, now);
    assert!(!table.should_release(now + ms(5_000)), "no other host reaches endpoints");
    table.record_other_reply(ms(300), now + ms(900));
    table.record_links(true, now + ms(900));
    assert!(!table.should_release(now + ms(999)), "less than a second");
    assert!(table.should_release(now + ms(1_000)));
    assert!(!table.should_release(now + ms(2_100)), "the report is 1.5 s old");
    table.record_other_reply(ms(0), now + ms(2_200));
    assert!(table.should_release(now + ms(2_200)));
    table.record_endpoint_reply(now + ms(2_300));
    assert!(!table.should_release(now + ms(2_300)), "an endpoint has replied");
}

/// All endpoints end at once; each host has had replies until then.
#[test]
fn holder_keeps_the_lease_if_no_host_reaches_endpoints_any_more() {
    let (mut table, now) = (TakeoverTable::default(), Instant::now());
    table.record_links(true, now);
    for round in 1..20 {
        let at = now + ms(200) * round;
        // The last reply was at the loss; a slow exchange makes it appear 400 ms younger.
        table.record_other_reply((ms(200) * round).saturating_sub(ms(400)), at);
        assert!(!table.should_release(at), "{round}");
    }
}

#[test]
fn host_that_has_released_takes_no_lease_until_it_reaches_an_endpoint() {
    let (mut table, now) = (TakeoverTable::default(), Instant::now());
    table.record_links(true, now);
    assert!(!table.is_barred(), "only a host that has released the lease");
    table.record_released();
    table.record_links(true, now + ms(5_000));
    assert!(table.is_barred());
    table.record_endpoint_reply(now + ms(6_000));
    assert!(!table.is_barred());
}

/// Reports of others are passed on with their age, and forged ones must not panic.
#[test]
fn time_since_a_reply_is_reported_for_a_limited_time() {
    let (mut table, now) = (TakeoverTable::default(), Instant::now() + ms(10_000));
    assert_eq!(table.reply_age(now), None);
    table.record_other_reply(Duration::MAX, now);
    assert_eq!(table.reply_age(now), None);
    table.record_other_reply(ms(400), now);
    assert_eq!(table.reply_age(now), Some(ms(400)));
    table.record_endpoint_reply(now);
    assert_eq!(table.reply_age(now + ms(100)), Some(ms(100)));
    assert_eq!(table.reply_age(now + ms(1_500)), None);
}
