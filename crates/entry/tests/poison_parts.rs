//! Prompt parts that crash endpoints: who is blamed, what hosts tell one another, and what ends it.

#[path = "support/poison.rs"]
mod poison;

use std::time::Duration;

use jacinthrock_entry::{CrashSuspect, EndpointStart, PoisonReport, PoisonTable, SendVerdict};
use tokio::time::Instant;

use poison::{is_refused, secs, suspects as parts};

const POISON: &str = "bad0";

/// Ends the start `number` of an endpoint with these streams in flight.
fn crash(table: &mut PoisonTable, number: u64, streams: &[&[&str]], now: Instant) {
    let name = format!("i-{number}").into();
    let endpoint = EndpointStart { name: &name, start_unix_ms: number };
    for (stream, ids) in (0..).zip(streams) {
        table.record_break(endpoint, &parts(ids), 1_000 * number + stream, now);
    }
    table.confirm_end(endpoint, now);
}

/// Crashes with the same streams, one a second, from one second after `start`.
fn crash_times(
    table: &mut PoisonTable,
    count: u32,
    streams: &[&[&str]],
    start: Instant,
) -> Instant {
    let mut now = start;
    for number in 1..=count {
        now = start + Duration::from_secs(number.into());
        crash(table, number.into(), streams, now);
    }
    now
}

fn blamed(table: &mut PoisonTable, now: Instant) -> Vec<CrashSuspect> {
    table.blamed(now).into_iter().map(|blamed| blamed.suspect).collect()
}

/// Passes a report on as hosts do.
fn sent(report: PoisonReport) -> PoisonReport {
    let json = serde_json::to_vec(&report).expect("a report in JSON");
    serde_json::from_slice(&json).expect("the same report")
}

/// One exchange of a host with the holder.
fn exchange(host: &mut PoisonTable, holder: &mut PoisonTable, now: Instant) {
    holder.apply(sent(host.report(now)), now);
    host.apply(sent(holder.report(now)), now);
}

#[test]
fn part_in_three_crashes_is_refused() {
    let start = Instant::now();
    let mut table = PoisonTable::new(start);
    let now = crash_times(&mut table, 2, &[&[POISON]], start);
    assert!(!is_refused(&mut table, &[POISON], now));
    crash(&mut table, 3, &[&[POISON]], now + secs(0.2));
    assert!(is_refused(&mut table, &["first", POISON, "other"], now + secs(0.2)));
}

#[test]
fn first_part_shared_with_sound_requests_is_not_blamed() {
    let start = Instant::now();
    let mut table = PoisonTable::new(start);
    table.record_answer(&parts(&["first", "other"]), start);
    let now = crash_times(&mut table, 6, &[&["first", POISON], &["first", "other"]], start);
    assert_eq!(blamed(&mut table, now), parts(&[POISON]));
    assert!(!is_refused(&mut table, &["first", "other"], now));
}

/// Nothing tells the two apart but their places: shared parts come first.
#[test]
fn of_parts_that_always_come_together_the_last_is_blamed_after_more_crashes() {
    let start = Instant::now();
    let mut table = PoisonTable::new(start);
    let now = crash_times(&mut table, 4, &[&["first", POISON]], start);
    assert_eq!(blamed(&mut table, now), parts(&[]));
    let now = crash_times(&mut table, 5, &[&["first", POISON]], start).max(now);
    assert_eq!(blamed(&mut table, now), parts(&[POISON]));
}

#[test]
fn wrong_choice_of_two_parts_is_revised_by_the_next_crash() {
    let start = Instant::now();
    let mut table = PoisonTable::new(start);
    let now = crash_times(&mut table, 5, &[&[POISON, "late"]], start);
    assert_eq!(blamed(&mut table, now), parts(&["late"]));
    crash(&mut table, 6, &[&[POISON, "another"]], now + secs(1.0));
    assert_eq!(blamed(&mut table, now + secs(1.0)), parts(&[POISON]));
}

/// The part of each stream of a busy endpoint is in as many crashes as the poison part, in more
/// streams.
#[test]
fn frequent_part_that_was_never_answered_is_not_taken_for_the_rare_one() {
    let start = Instant::now();
    let mut table = PoisonTable::new(start);
    let streams: [&[&str]; 4] = [&["new", "a"], &["new", "b"], &["new", "c"], &["old", POISON]];
    table.record_answer(&parts(&["old"]), start);
    let now = crash_times(&mut table, 5, &streams, start);
    assert!(!blamed(&mut table, now).contains(&"new".into()));
}

#[test]
fn two_poison_parts_at_once_are_both_blamed() {
    let start = Instant::now();
    let mut table = PoisonTable::new(start);
    table.record_answer(&parts(&["first"]), start);
    for number in 0..6 {
        let part = if number % 2 == 0 { POISON } else { "bad1" };
        crash(&mut table, number, &[&["first", part]], start + secs(0.3 * (number + 1) as f64));
    }
    let now = start + secs(3.0);
    let mut both = blamed(&mut table, now);
    both.sort();
    assert_eq!(both, parts(&[POISON, "bad1"]));
    assert!(!is_refused(&mut table, &["first"], now));
}

/// The part keeps being cut by crashes between its answers.
#[test]
fn part_in_nearly_all_requests_is_never_blamed() {
    let start = Instant::now();
    let mut table = PoisonTable::new(start);
    for number in 0..40 {
        let now = start + secs(number as f64);
        table.record_answer(&parts(&["everywhere", &format!("a{number}")]), now);
        let cut = format!("b{number}");
        crash(&mut table, number, &[&["everywhere", &cut]], now + secs(0.5));
        assert_eq!(blamed(&mut table, now + secs(0.6)), parts(&[]));
    }
}

/// No answer comes between the crashes, for anybody.
#[test]
fn answered_part_is_not_blamed_while_nothing_is_answered() {
    let start = Instant::now();
    let mut table = PoisonTable::new(start);
    table.record_answer(&parts(&["everywhere"]), start);
    let now = crash_times(&mut table, 30, &[&["everywhere"]], start);
    assert_eq!(blamed(&mut table, now), parts(&[]));
}

/// New weights may crash on what the old ones answered.
#[test]
fn answered_part_is_blamed_after_many_crashes_while_others_are_answered() {
    let start = Instant::now();
    let mut table = PoisonTable::new(start);
    table.record_answer(&parts(&["first", POISON]), start);
    for number in 0..8 {
        let now = start + secs(1.0 + number as f64);
        table.record_answer(&parts(&["first", &format!("a{number}")]), now - secs(0.5));
        assert_eq!(blamed(&mut table, now), parts(&[]));
        crash(&mut table, number, &[&["first", POISON]], now);
    }
    assert_eq!(blamed(&mut table, start + secs(9.0)), parts(&[POISON]));
}

/// 300 requests in flight at ten endpoints, seen by six hosts; most were never answered before.
#[test]
fn loss_of_a_domain_blames_nobody() {
    let start = Instant::now();
    let mut tables: Vec<_> = (0..6).map(|_| PoisonTable::new(start)).collect();
    for (round, lost_at) in [(0, secs(1.0)), (1, secs(5.0))] {
        for stream in 0_u64..300 {
            let (table, endpoint) = (&mut tables[stream as usize % 6], stream / 6 % 10);
            let now = start + lost_at + Duration::from_millis(stream % 7 * 10);
            let name = format!("i-{endpoint}").into();
            let endpoint = EndpointStart { name: &name, start_unix_ms: round };
            let first = format!("first{}", stream % 60 % (1 + stream % 60));
            let customer = format!("customer{}", stream % 10);
            table.record_break(endpoint, &parts(&["all", &first, &customer]), stream, now);
            table.confirm_end(endpoint, now + secs(0.1));
        }
    }
    for step in 0..10 {
        let now = start + secs(5.5) + Duration::from_millis(200 * step);
        let (holder, hosts) = tables.split_first_mut().expect("a holder");
        for host in hosts {
            exchange(host, holder, now);
        }
    }
    for table in &mut tables {
        assert_eq!(blamed(table, start + secs(8.0)), parts(&[]));
    }
}

#[test]
fn crash_that_many_hosts_see_counts_once() {
    let start = Instant::now();
    let mut hosts: Vec<_> = (0..6).map(|_| PoisonTable::new(start)).collect();
    let mut holder = PoisonTable::new(start);
    for number in 1..=2 {
        let now = start + secs(number as f64);
        for (host, table) in hosts.iter_mut().enumerate() {
            crash(table, number, &[&["first", POISON]], now + secs(0.02 * host as f64));
        }
        for table in &mut hosts {
            exchange(table, &mut holder, now + secs(0.2));
        }
    }
    assert_eq!(blamed(&mut holder, start + secs(3.0)), parts(&[]));
    holder.record_answer(&parts(&["first"]), start + secs(3.0));
    crash(&mut holder, 3, &[&[POISON]], start + secs(3.0));
    assert_eq!(holder.blamed(start + secs(4.0))[0].crashes, 3);
}

#[test]
fn breaks_count_only_with_the_end_of_their_endpoint() {
    let start = Instant::now();
    let mut table = PoisonTable::new(start);
    for number in 1..=9 {
        let name = format!("i-{number}").into();
        let endpoint = EndpointStart { name: &name, start_unix_ms: 1 };
        table.record_break(endpoint, &parts(&[POISON]), number, start + secs(number as f64));
    }
    assert_eq!(blamed(&mut table, start + secs(9.0)), parts(&[]));
    for number in 7..=9 {
        let name = format!("i-{number}").into();
        let endpoint = EndpointStart { name: &name, start_unix_ms: 1 };
        table.confirm_end(endpoint, start + secs(9.5));
    }
    assert_eq!(blamed(&mut table, start + secs(9.5)), parts(&[POISON]));
}

/// Ordinary crashes cut the request wherever it is sent.
#[test]
fn one_request_that_is_cut_again_and_again_proves_nothing() {
    let start = Instant::now();
    let mut table = PoisonTable::new(start);
    for number in 1..=6 {
        let (name, now) = (format!("i-{number}").into(), start + secs(number as f64));
        let endpoint = EndpointStart { name: &name, start_unix_ms: 1 };
        table.record_break(endpoint, &parts(&["rare"]), 7, now);
        table.confirm_end(endpoint, now);
    }
    assert_eq!(blamed(&mut table, start + secs(7.0)), parts(&[]));
}

#[test]
fn break_after_the_confirmed_end_counts() {
    let start = Instant::now();
    let mut table = PoisonTable::new(start);
    for number in 1..=3 {
        let (name, now) = ("i-1".into(), start + secs(number as f64));
        let endpoint = EndpointStart { name: &name, start_unix_ms: number };
        table.confirm_end(endpoint, now);
        table.record_break(endpoint, &parts(&[POISON]), number, now + secs(0.3));
    }
    assert!(is_refused(&mut table, &[POISON], start + secs(4.0)));
}

#[test]
fn host_that_starts_late_learns_from_the_first_reply() {
    let start = Instant::now();
    let mut holder = PoisonTable::new(start);
    let now = crash_times(&mut holder, 5, &[&[POISON]], start);
    let mut late = PoisonTable::new(now);
    exchange(&mut late, &mut holder, now);
    let blamed = late.verdict(&parts(&[POISON]), false, now).refusal().expect("a blamed part");
    assert_eq!((blamed.crashes, blamed.since.as_secs()), (5, 4));
}

/// The blame is older than any crash is kept without refusals.
#[test]
fn blame_lasts_while_requests_come_and_late_hosts_learn_it() {
    let start = Instant::now();
    let mut holder = PoisonTable::new(start);
    let mut now = crash_times(&mut holder, 5, &[&[POISON]], start);
    for _ in 0..20 {
        now += secs(300.0);
        holder.report(now);
        assert!(is_refused(&mut holder, &[POISON], now));
    }
    let mut late = PoisonTable::new(now);
    exchange(&mut late, &mut holder, now);
    assert!(is_refused(&mut late, &[POISON], now));
}

#[test]
fn blame_without_requests_ends_and_returns_with_one_crash() {
    let start = Instant::now();
    let mut table = PoisonTable::new(start);
    let now = crash_times(&mut table, 3, &[&[POISON]], start) + secs(601.0);
    table.report(now);
    assert!(!is_refused(&mut table, &[POISON], now));
    assert_eq!(blamed(&mut table, now), parts(&[]));
    crash(&mut table, 4, &[&[POISON]], now + secs(1.0));
    assert!(is_refused(&mut table, &[POISON], now + secs(1.0)));
}

#[test]
fn cut_off_host_acts_on_its_own_evidence_and_merges_on_return() {
    let start = Instant::now();
    let (mut holder, mut alone) = (PoisonTable::new(start), PoisonTable::new(start));
    let now = crash_times(&mut alone, 3, &[&[POISON]], start);
    assert!(is_refused(&mut alone, &[POISON], now));
    for number in 11..=13 {
        crash(&mut holder, number, &[&["bad1"]], start + secs(number as f64 - 9.5));
    }
    exchange(&mut alone, &mut holder, now + secs(10.0));
    for table in [&mut alone, &mut holder] {
        assert_eq!(blamed(table, now + secs(10.0)).len(), 2);
    }
}

#[test]
fn answer_clears_the_part_at_all_hosts() {
    let start = Instant::now();
    let mut hosts: Vec<_> = (0..3).map(|_| PoisonTable::new(start)).collect();
    let mut holder = PoisonTable::new(start);
    let now = crash_times(&mut holder, 5, &[&["sound"]], start) + secs(0.2);
    for host in &mut hosts {
        exchange(host, &mut holder, now);
        assert!(is_refused(host, &["sound"], now));
    }
    hosts[0].record_answer(&parts(&["sound"]), now + secs(0.1));
    for host in &mut hosts {
        exchange(host, &mut holder, now + secs(0.2));
        assert!(!is_refused(host, &["sound"], now + secs(0.2)));
    }
    assert!(!is_refused(&mut holder, &["sound"], now + secs(0.2)));
}

/// The host was away while the others learned that the part is sound, and dropped the crashes.
#[test]
fn host_that_returns_with_a_cleared_blame_is_corrected() {
    let start = Instant::now();
    let (mut holder, mut away) = (PoisonTable::new(start), PoisonTable::new(start));
    let now = crash_times(&mut holder, 3, &[&["sound"]], start);
    exchange(&mut away, &mut holder, now);
    holder.record_answer(&parts(&["sound"]), now + secs(1.0));
    for later in [2.0, 10.0, 20.0] {
        holder.report(now + secs(later));
    }
    assert!(holder.report(now + secs(30.0)).is_empty());
    assert!(is_refused(&mut away, &["sound"], now + secs(30.0)));
    exchange(&mut away, &mut holder, now + secs(30.0));
    for table in [&mut away, &mut holder] {
        assert!(!is_refused(table, &["sound"], now + secs(30.0)));
    }
}

/// A time that hosts pass back and forth gets later by each delay; it must not pass a crash.
#[test]
fn repeated_exchange_does_not_renew_an_answer() {
    let start = Instant::now();
    let (mut holder, mut host) = (PoisonTable::new(start), PoisonTable::new(start));
    holder.record_answer(&parts(&[POISON]), start);
    for number in 0..9 {
        let now = start + secs(2.0 + number as f64);
        holder.record_answer(&parts(&[&format!("a{number}")]), now - secs(0.5));
        crash(&mut holder, number, &[&[POISON]], now);
    }
    for step in 0..200 {
        let now = start + secs(12.0) + Duration::from_millis(200 * step);
        let report = sent(holder.report(now));
        host.apply(report, now + secs(0.08));
        let report = sent(host.report(now + secs(0.1)));
        holder.apply(report, now + secs(0.18));
    }
    assert!(is_refused(&mut holder, &[POISON], start + secs(52.0)));
}

/// Each second, all hosts get a request with the part; the holder changes every 100 s.
#[test]
fn two_trials_at_most_over_changes_of_the_holder() {
    let start = Instant::now();
    let mut hosts: Vec<_> = (0..4).map(|_| PoisonTable::new(start)).collect();
    let blamed_at = crash_times(&mut hosts[0], 5, &[&[POISON]], start);
    let mut trials = Vec::new();
    for second in 1..=2_000 {
        let now = blamed_at + secs(second as f64);
        let holder_index = second / 100 % 4;
        let mut holder = std::mem::replace(&mut hosts[holder_index], PoisonTable::new(start));
        for (_, host) in hosts.iter_mut().enumerate().filter(|(index, _)| *index != holder_index) {
            exchange(host, &mut holder, now);
            assert!(is_refused(host, &[POISON], now));
        }
        if holder.verdict(&parts(&[POISON]), true, now).refusal().is_none() {
            trials.push(second);
            crash(&mut holder, 100 + second as u64, &[&[POISON]], now + secs(0.2));
        }
        hosts[holder_index] = holder;
    }
    assert_eq!(trials, [60, 360]);
}

#[test]
fn trial_that_is_answered_ends_the_blame() {
    let start = Instant::now();
    let mut table = PoisonTable::new(start);
    let now = crash_times(&mut table, 5, &[&["sound"]], start) + secs(61.0);
    assert!(is_refused(&mut table, &["sound"], now));
    assert_eq!(table.verdict(&parts(&["sound"]), true, now), SendVerdict::Trial);
    table.record_answer(&parts(&["sound"]), now + secs(1.0));
    assert!(!is_refused(&mut table, &["sound"], now + secs(1.0)));
}

#[test]
fn nothing_is_reported_without_recent_crashes() {
    let start = Instant::now();
    let mut table = PoisonTable::new(start);
    table.record_answer(&parts(&["first"]), start);
    assert!(table.report(start).is_empty());
    crash(&mut table, 1, &[&["first"]], start + secs(1.0));
    assert!(!table.report(start + secs(1.0)).is_empty());
    table.record_answer(&parts(&["first"]), start + secs(2.0));
    table.report(start + secs(8.0));
    assert!(table.report(start + secs(8.0)).is_empty());
}

/// Hosts of the previous build read and send these names.
#[test]
fn report_in_json_is_that_of_the_previous_build() {
    let start = Instant::now();
    let mut table = PoisonTable::new(start);
    let now = crash_times(&mut table, 3, &[&[POISON]], start);
    crash(&mut table, 4, &[&["#cut", "answered"]], now + secs(0.5));
    table.record_answer(&parts(&["answered"]), now + secs(0.75));
    let report = serde_json::to_value(table.report(now + secs(1.0))).expect("a report in JSON");
    let crash = |number: u64, age_ms: u64, suspect: &str, request: u64| {
        serde_json::json!({
            "endpoint": format!("i-{number}"), "start_unix_ms": number, "age_ms": age_ms,
            "suspects": [[suspect, 1, 0, request]],
        })
    };
    let expected = serde_json::json!({
        "crashes": [
            crash(3, 1_000, POISON, 3_000), crash(2, 2_000, POISON, 2_000),
            crash(1, 3_000, POISON, 1_000), crash(4, 500, "#cut", 4_000),
        ],
        "answered": [["answered", 250]],
        "blamed": [{
            "part": POISON, "crashes": 3, "first_ms": 3_000, "seen_ms": 1_000, "trials": 0,
            "tried_ms": null,
        }],
    });
    assert_eq!(report, expected);
}

#[test]
fn report_of_an_older_host_is_empty() {
    let report: PoisonReport = serde_json::from_str("{}").expect("a report without fields");
    assert!(report.is_empty());
}

/// Reports of a hundred crashes with thousands of parts, of absurd size or repeated.
#[test]
fn absurd_reports_and_prompts_stay_bounded() {
    let start = Instant::now();
    let (mut table, mut forger) = (PoisonTable::new(start), PoisonTable::new(start));
    let now = crash_times(&mut table, 5, &[&[POISON]], start);
    let long = "f".repeat(100_000);
    for round in 0..10_u64 {
        for number in 0..40_u64 {
            let streams: Vec<_> =
                (0..20).map(|stream| format!("{round}-{number}-{stream}-{long}")).collect();
            let shared: Vec<_> =
                (0..100).map(|part| format!("p{}", round % 3 * 100 + part)).collect();
            let ids: Vec<_> = streams.iter().chain(&shared).map(|id| &**id).collect();
            crash(&mut forger, 100 + round * 40 + number, &[&ids], now);
        }
        for part in 0..200 {
            forger.record_answer(&parts(&[&format!("a{round}-{part}"), &long]), now);
        }
        let report = sent(forger.report(now));
        table.apply(report, now);
    }
    let report = table.report(now);
    let size = serde_json::to_vec(&report).expect("a report in JSON").len();
    assert!(size < 128 << 10, "the report has {size} bytes");
    assert!(table.blamed(now).len() <= 8);
    assert!(is_refused(&mut table, &[POISON], now));
}

#[test]
fn forged_report_blames_few_parts() {
    let start = Instant::now();
    let mut table = PoisonTable::new(start);
    let crashes: Vec<_> = (0..1_000)
        .map(|number| {
            let part = format!("p{}", number / 3);
            serde_json::json!({
                "endpoint": format!("i-{number}"), "start_unix_ms": 1, "age_ms": number * 1_000,
                "suspects": [[part, 1, 0, number]],
            })
        })
        .collect();
    let endless = serde_json::json!({
        "endpoint": "i-1".repeat(1_000), "start_unix_ms": 1, "age_ms": u64::MAX, "suspects": [],
    });
    let crashes: Vec<_> = [endless].into_iter().chain(crashes).collect();
    let report = serde_json::json!({
        "crashes": crashes,
        "blamed": [{
            "part": "unknown", "crashes": 9, "first_ms": u64::MAX, "seen_ms": 0, "trials": 0,
            "tried_ms": null,
        }],
    });
    table.apply(serde_json::from_value(report).expect("a report"), start);
    assert_eq!(table.blamed(start).len(), 8);
    assert!(!is_refused(&mut table, &["unknown"], start));
}
