//! When a host counts as having lost connectivity to a service, and which host serves its calls.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jacinthrock_entry::{HostName, HostQuery, PeerHost, ReachReport, ReachTable};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

const SERVICE: &str = "guide";
/// Interval between two exchanges of a host.
const EXCHANGE: Duration = Duration::from_millis(200);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn host_name(number: usize) -> HostName {
    format!("h{number:03}").into()
}

/// Hosts of three failure domains with equal capacity.
fn hosts(count: usize) -> BTreeMap<HostName, PeerHost> {
    let host = |number: usize| PeerHost {
        address: ([10, 0, 0, 1], 80).into(),
        domain: ["north", "middle", "south"][number % 3].into(),
        capacity: 250,
    };
    (0..count).map(|number| (host_name(number), host(number))).collect()
}

fn query(tried: &BTreeSet<HostName>) -> HostQuery<'_> {
    HostQuery { service: SERVICE, domain: "north", capacity: 250, tried }
}

fn report(number: usize, age_ms: u64) -> ReachReport {
    ReachReport { host: host_name(number), services: [SERVICE.into()].into(), age_ms }
}

/// A table that knows that some hosts cannot reach the service.
fn table_without(unreachable: impl Iterator<Item = usize>, now: Instant) -> ReachTable {
    let mut table = ReachTable::default();
    let reports = unreachable.map(|number| report(number, 0)).collect();
    table.apply(&"own".into(), &"holder".into(), reports, now);
    table
}

/// A service is lost 150 ms after a failed connection without a reply, not before; the loss is
/// announced once.
#[test]
fn service_is_lost_without_any_reply_since_a_failure() {
    let (mut table, now) = (ReachTable::default(), Instant::now());
    assert_eq!(table.next_check(), None, "nothing is probed while no connection fails");
    assert!(table.record_failure(SERVICE, now));
    assert_eq!(table.take_probes(now + ms(75)).len(), 1);
    assert!(!table.record_failure(SERVICE, now + ms(140)), "the first failure counts");
    assert!(!table.is_lost(SERVICE, now + ms(149)) && table.is_doubtful(SERVICE));
    assert!(table.take_lost(now + ms(149)).is_empty());
    assert!(table.is_lost(SERVICE, now + ms(150)));
    assert!(!table.is_lost("other", now + ms(150)), "other services are not concerned");
    assert_eq!(table.take_lost(now + ms(150)), [SERVICE.into()]);
    assert!(table.take_lost(now + ms(300)).is_empty());
}

/// One endpoint that has ended must not make a host without traffic pass its calls on.
#[test]
fn single_reply_ends_the_state() {
    let (mut table, now) = (ReachTable::default(), Instant::now());
    table.record_failure(SERVICE, now);
    assert_eq!(table.record_reply(SERVICE, now + ms(80)), None, "no loss was announced");
    assert!(!table.is_lost(SERVICE, now + ms(500)) && !table.is_doubtful(SERVICE));
    table.record_failure(SERVICE, now + ms(600));
    table.take_probes(now + ms(675));
    assert_eq!(table.take_lost(now + ms(750)), [SERVICE.into()]);
    assert_eq!(table.record_reply(SERVICE, now + ms(2_600)), Some(ms(2_000)));
    assert!(!table.is_lost(SERVICE, now + ms(2_600)));
    assert_eq!(table.record_reply(SERVICE, now + ms(2_700)), None);
}

/// A host that was stalled has failed connections and no replies for this reason alone: it probes
/// first.
#[test]
fn service_is_not_lost_before_a_probe_was_unanswered() {
    let (mut table, now) = (ReachTable::default(), Instant::now());
    table.record_failure(SERVICE, now);
    assert!(!table.is_lost(SERVICE, now + ms(400)));
    assert_eq!(table.take_probes(now + ms(400)).len(), 1);
    assert!(!table.is_lost(SERVICE, now + ms(474)));
    assert_eq!(table.next_check(), Some(now + ms(475)));
    assert!(table.is_lost(SERVICE, now + ms(475)));
}

/// A host that is not probing would not detect that connectivity has returned.
#[test]
fn endpoints_are_probed_every_200_ms() {
    let (mut table, now) = (ReachTable::default(), Instant::now());
    table.record_failure(SERVICE, now);
    assert_eq!(table.next_check(), Some(now + ms(75)));
    assert!(table.take_probes(now + ms(74)).is_empty());
    let mut probes = Vec::new();
    for step in 0..2_000 {
        let at = now + ms(step);
        table.take_lost(at);
        if !table.take_probes(at).is_empty() {
            probes.push(step);
        }
    }
    assert_eq!(probes, (0..10).map(|number| 75 + 200 * number).collect::<Vec<_>>());
    table.record_reply(SERVICE, now + ms(2_000));
    assert_eq!(table.next_check(), None);
}

/// A service without endpoints cannot be lost, and removed hosts must not fill the table.
#[test]
fn services_without_endpoints_and_unknown_hosts_are_forgotten() {
    let now = Instant::now();
    let mut table = table_without(0..1, now);
    table.record_failure(SERVICE, now);
    table.take_probes(now + ms(75));
    table.retain(|_| false, |_| false, now + ms(200));
    assert!(!table.is_lost(SERVICE, now + ms(200)));
    assert!(table.reports(&"own".into(), true, now).is_empty());
}

/// Hosts that serve must not report anything, so that nothing is added to the exchange.
#[test]
fn only_lost_services_are_reported() {
    let (mut table, now) = (ReachTable::default(), Instant::now());
    let own = HostName::from("own");
    assert!(table.reports(&own, true, now).is_empty());
    table.record_failure(SERVICE, now);
    table.take_probes(now + ms(75));
    assert!(table.reports(&own, true, now + ms(149)).is_empty());
    let expected = ReachReport { host: own.clone(), services: [SERVICE.into()].into(), age_ms: 0 };
    assert_eq!(table.reports(&own, true, now + ms(150)), [expected]);
    table.record_reply(SERVICE, now + ms(160));
    assert!(table.reports(&own, true, now + ms(160)).is_empty());
}

/// Reports of a lost service through a relay and the holder reach a member of another relay in four
/// exchanges; hosts that pass them back and forth must not keep them alive.
#[test]
fn reports_pass_through_relays_and_expire() {
    let now = Instant::now();
    let names = ["finder", "relay", "holder", "other-relay", "member"].map(HostName::from);
    let mut tables: Vec<_> = names.iter().map(|_| ReachTable::default()).collect();
    tables[0].record_failure(SERVICE, now);
    tables[0].take_probes(now + ms(75));
    let mut at = now + ms(150);
    let tried = BTreeSet::new();
    let finder = hosts(1).into_values().next().expect("a host");
    let finder = BTreeMap::from([(names[0].clone(), finder)]);
    for _ in 0..4 {
        for index in 0..4 {
            let reports = tables[index].reports(&names[index], index > 0, at);
            tables[index + 1].apply(&names[index + 1], &names[index], reports, at);
        }
        at += EXCHANGE;
    }
    assert!(at - (now + ms(150)) <= ms(800));
    assert_eq!(tables[4].choose_host(query(&tried), &finder, 0.5, at), None);
    // The finder is silent from now on; the others exchange in both directions.
    for _ in 0..8 {
        for index in 1..4 {
            let reports = tables[index].reports(&names[index], true, at);
            tables[index + 1].apply(&names[index + 1], &names[index], reports, at);
            let reports = tables[index + 1].reports(&names[index + 1], true, at);
            tables[index].apply(&names[index], &names[index + 1], reports, at);
        }
        at += EXCHANGE;
    }
    assert!(tables[4].choose_host(query(&tried), &finder, 0.5, at).is_some());
}

/// A host that reaches the service again says so by its next report.
#[test]
fn host_replaces_what_it_said_of_itself() {
    let (now, tried) = (Instant::now(), BTreeSet::new());
    let mut table = table_without(0..1, now);
    let hosts = hosts(1);
    assert_eq!(table.choose_host(query(&tried), &hosts, 0.5, now), None);
    table.apply(&"own".into(), &host_name(0), Vec::new(), now);
    assert!(table.choose_host(query(&tried), &hosts, 0.5, now).is_some());
}

/// Forged or stale reports: no overflow, no unbounded table, and none on the host itself.
#[test]
fn invalid_reports_have_bounded_effect() {
    let (mut table, now) = (ReachTable::default(), Instant::now());
    let reports = [u64::MAX, 1_500, 60_000].map(|age_ms| report(0, age_ms));
    table.apply(&"own".into(), &"forger".into(), reports.to_vec(), now);
    let own = ReachReport { host: "own".into(), ..report(0, 0) };
    table.apply(&"own".into(), &"forger".into(), vec![own], now);
    assert!(table.reports(&"own".into(), true, now).is_empty());
    for round in 0..3 {
        let reports = (0..2_000).map(|number| report(2_000 * round + number, 0)).collect();
        table.apply(&"own".into(), &"forger".into(), reports, now);
    }
    assert!(table.reports(&"own".into(), true, now).len() <= 512);
    assert!(!table.is_lost(SERVICE, now), "others cannot make this host lose a service");
}

#[test]
fn hosts_of_the_own_domain_go_first() {
    let (hosts, now, tried) = (hosts(9), Instant::now(), BTreeSet::new());
    let table = ReachTable::default();
    for draw in [0.0, 0.3, 0.6, 0.99] {
        let chosen = table.choose_host(query(&tried), &hosts, draw, now).expect("a host");
        assert_eq!(&*hosts[chosen].domain, "north");
    }
    let table = table_without((0..9).filter(|number| number % 3 == 0), now);
    for draw in [0.0, 0.3, 0.6, 0.99] {
        let chosen = table.choose_host(query(&tried), &hosts, draw, now).expect("a host");
        assert_ne!(&*hosts[chosen].domain, "north");
    }
}

/// If all endpoints of a service are down, each host says so, and nothing may be passed on.
#[test]
fn no_host_is_chosen_if_none_reaches_the_service() {
    let (hosts, now, tried) = (hosts(63), Instant::now(), BTreeSet::new());
    let table = table_without(0..63, now);
    assert_eq!(table.choose_host(query(&tried), &hosts, 0.5, now), None);
    let other = HostQuery { service: "other", ..query(&tried) };
    assert!(table.choose_host(other, &hosts, 0.5, now).is_some());
}

/// Hosts that stop, have no connection or are of an earlier release get no calls for a time.
#[test]
fn avoided_hosts_are_not_chosen() {
    let (hosts, now, tried) = (hosts(1), Instant::now(), BTreeSet::new());
    let mut table = ReachTable::default();
    table.avoid_host(&host_name(0), now + ms(10_000));
    assert_eq!(table.choose_host(query(&tried), &hosts, 0.5, now + ms(9_999)), None);
    assert!(table.choose_host(query(&tried), &hosts, 0.5, now + ms(10_000)).is_some());
    table.record_unreachable(&host_name(0), SERVICE, now + ms(10_000));
    assert_eq!(table.choose_host(query(&tried), &hosts, 0.5, now + ms(10_100)), None);
}

/// All hosts of a domain lose connectivity at once, before they have told one another: a call must
/// not use up its four hosts there. None is asked twice.
#[test]
fn call_asks_at_most_four_hosts_and_two_of_its_own_domain() {
    let (hosts, now) = (hosts(30), Instant::now());
    let (table, mut random) = (ReachTable::default(), ChaCha8Rng::seed_from_u64(1));
    for _ in 0..100 {
        let mut tried = BTreeSet::new();
        while let Some(chosen) = table.choose_host(query(&tried), &hosts, random.random(), now) {
            assert!(tried.insert(chosen.clone()), "a host was asked twice");
        }
        assert_eq!(tried.len(), 4);
        let own_domain = tried.iter().filter(|name| &*hosts[*name].domain == "north").count();
        assert_eq!(own_domain, 2);
    }
    let north: BTreeMap<_, _> =
        hosts.into_iter().filter(|(_, host)| &*host.domain == "north").collect();
    let mut tried = BTreeSet::new();
    while let Some(chosen) = table.choose_host(query(&tried), &north, random.random(), now) {
        tried.insert(chosen.clone());
    }
    assert_eq!(tried.len(), 4, "there is no other domain");
}

/// When half of all hosts have lost connectivity, the others take on average one forwarded call for
/// each of their own, and none of equal capacity takes twice that. `is_lost` tells which have.
fn check_spread(count: usize, is_lost: impl Fn(usize) -> bool) {
    let (hosts, now, tried) = (hosts(count), Instant::now(), BTreeSet::new());
    let lost: Vec<_> = (0..count).filter(|number| is_lost(*number)).collect();
    let table = table_without(lost.iter().copied(), now);
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let calls_per_host = 200;
    let mut taken = BTreeMap::<HostName, u32>::new();
    for number in &lost {
        let others: BTreeMap<_, _> =
            hosts.iter().filter(|(name, _)| **name != host_name(*number)).collect();
        for _ in 0..calls_per_host {
            let domain = &hosts[&host_name(*number)].domain;
            let query = HostQuery { domain, ..query(&tried) };
            let hosts = others.iter().map(|(name, host)| (*name, *host));
            let chosen = table.choose_host(query, hosts, random.random(), now).expect("a host");
            *taken.entry(chosen.clone()).or_default() += 1;
        }
    }
    let serving = (count - lost.len()) as u32;
    let mean = f64::from(taken.values().sum::<u32>()) / f64::from(serving);
    let own = f64::from(calls_per_host);
    assert!(mean <= 1.1 * own, "{mean} forwarded calls for {own} own ones");
    let most = taken.values().max().expect("calls were passed on");
    assert!(f64::from(*most) < 2.0 * own, "one host takes {most} for {own} own calls");
}

#[test]
fn hosts_that_serve_share_the_calls_of_the_others() {
    for count in [6, 63, 300] {
        check_spread(count, |number| number % 2 == 0);
    }
}

/// With most hosts of one domain lost, its few others must not take all their calls.
#[test]
fn few_hosts_of_a_domain_do_not_take_all_its_calls() {
    check_spread(63, |number| number % 3 == 0 && number >= 9);
    check_spread(63, |number| number % 3 == 0);
}

#[test]
fn stronger_hosts_take_more_calls() {
    let (mut hosts, now, tried) = (hosts(2), Instant::now(), BTreeSet::new());
    for (name, host) in &mut hosts {
        host.domain = "north".into();
        host.capacity = if **name == *"h000" { 100 } else { 300 };
    }
    let (table, mut random) = (ReachTable::default(), ChaCha8Rng::seed_from_u64(3));
    let mut strong = 0;
    for _ in 0..1_000 {
        let chosen = table.choose_host(query(&tried), &hosts, random.random(), now);
        strong += u32::from(chosen.expect("a host") == &host_name(1));
    }
    assert!((700..800).contains(&strong), "{strong} of 1,000 calls for three quarters");
}

/// A table that has heard of hosts at a time by the exchange, given with their ages in ms.
fn table_heard(ages: impl IntoIterator<Item = (usize, u64)>, now: Instant) -> ReachTable {
    let mut table = ReachTable::default();
    let ages = ages.into_iter().map(|(number, age_ms)| (host_name(number), age_ms)).collect();
    table.apply_heard(&"own".into(), ages, now);
    table
}

/// Order in which a call asks hosts.
fn asked_hosts(
    table: &ReachTable,
    hosts: &BTreeMap<HostName, PeerHost>,
    draw: f64,
    now: Instant,
) -> Vec<HostName> {
    let (mut tried, mut asked) = (BTreeSet::new(), Vec::new());
    while let Some(chosen) = table.choose_host(query(&tried), hosts, draw, now) {
        tried.insert(chosen.clone());
        asked.push(chosen.clone());
    }
    asked
}

/// A host that was frozen or cut off got calls like all others, which waited there.
#[test]
fn hosts_that_were_heard_of_recently_are_asked_first() {
    let (hosts, now) = (hosts(3), Instant::now());
    // The host of the own domain has not been heard of for longest.
    let table = table_heard([(0, 1_500), (1, 500), (2, 501)], now);
    for draw in [0.0, 0.3, 0.6, 0.99] {
        let asked = asked_hosts(&table, &hosts, draw, now);
        assert_eq!(asked, [1, 2, 0].map(host_name), "draw {draw}");
    }
    let mut table = table_heard([(1, 499), (2, 400)], now);
    table.record_heard(&host_name(0), now);
    let asked = asked_hosts(&table, &hosts, 0.5, now);
    assert_eq!(asked[0], host_name(0), "the own domain is first among equals");
    table.record_heard(&host_name(1), now + ms(400));
    let asked = asked_hosts(&table, &hosts, 0.5, now + ms(600));
    assert_eq!(asked[0], host_name(1), "the ages of what was heard grow");
}

/// Each host has to take its share of calls among those that were heard of recently.
#[test]
fn hosts_that_were_heard_of_recently_share_the_calls() {
    let (hosts, now, tried) = (hosts(63), Instant::now(), BTreeSet::new());
    let table = table_heard((0..63).filter(|number| number % 2 == 0).map(|it| (it, 300)), now);
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let mut taken = BTreeMap::<HostName, u32>::new();
    for _ in 0..2_000 {
        let chosen = table.choose_host(query(&tried), &hosts, random.random(), now);
        *taken.entry(chosen.expect("a host").clone()).or_default() += 1;
    }
    // 11 hosts of the own domain were heard of.
    assert_eq!(taken.len(), 11);
    assert!(taken.values().all(|count| (91..364).contains(count)), "{taken:?}");
}

/// Right after a whole domain has lost connectivity, its hosts know of the placement holder alone,
/// which must not take the calls of all of them.
#[test]
fn single_host_that_was_heard_of_does_not_take_all_calls() {
    let (hosts, now, tried) = (hosts(63), Instant::now(), BTreeSet::new());
    let mut table = table_without((0..63).filter(|number| number % 3 == 0), now);
    table.record_heard(&host_name(1), now);
    let mut random = ChaCha8Rng::seed_from_u64(9);
    let chosen = (0..2_000).filter(|_| {
        table.choose_host(query(&tried), &hosts, random.random(), now) == Some(&host_name(1))
    });
    // Four calls for each of its own are four of 22 calls.
    let share = chosen.count() as f64 / 2_000.0;
    assert!(share < 4.0 / 22.0 + 0.05, "{share} of all calls");
}

/// A host that does not answer must not get further calls while others may be asked.
#[test]
fn host_that_does_not_answer_is_asked_last() {
    let (hosts, now) = (hosts(3), Instant::now());
    let mut table = table_heard([(0, 0), (1, 0), (2, 1_000)], now);
    table.record_unanswered(&host_name(0), now, now);
    for draw in [0.0, 0.3, 0.6, 0.99] {
        let asked = asked_hosts(&table, &hosts, draw, now);
        assert_eq!(asked, [1, 2, 0].map(host_name), "draw {draw}");
    }
    let ages = [0, 1, 2].map(|number| (host_name(number), 0));
    table.apply_heard(&"own".into(), ages.into(), now + ms(999));
    assert_eq!(asked_hosts(&table, &hosts, 0.5, now + ms(999))[2], host_name(0));
    assert_eq!(asked_hosts(&table, &hosts, 0.5, now + ms(1_000))[0], host_name(0));
}

/// A host that answers late during a shortage must not come after one that may be frozen, on which
/// calls would wait until their deadline.
#[test]
fn host_that_answers_late_is_asked_before_one_that_is_not_heard_of() {
    let (hosts, now) = (hosts(2), Instant::now());
    let mut table = table_heard([(1, 0)], now);
    // Each further call that waits must not hide that the host was heard of meanwhile.
    for step in 0..40 {
        let at = now + ms(50 * step);
        if step % 4 == 0 {
            table.record_heard(&host_name(1), at);
        }
        table.record_unanswered(&host_name(1), at.max(now + ms(150)) - ms(150), at);
        if step > 4 {
            assert_eq!(asked_hosts(&table, &hosts, 0.5, at)[0], host_name(1), "step {step}");
        }
    }
    // The host freezes: it is not heard of any more.
    let at = now + ms(1_800 + 501);
    table.record_unanswered(&host_name(1), at - ms(150), at);
    assert_eq!(asked_hosts(&table, &hosts, 0.5, at)[0], host_name(0));
}

/// Nothing is added to the exchange while every host reaches every service, and little otherwise.
#[test]
fn ages_are_exchanged_only_while_a_host_lacks_connectivity() {
    let now = Instant::now();
    let mut table = table_heard((0..300).map(|number| (number, 100)), now);
    assert!(table.heard_ages(false, 0.5, now).is_empty());
    table.apply(&"own".into(), &"holder".into(), vec![report(5, 0)], now);
    let mut seen = BTreeSet::new();
    for draw in 0..100 {
        let ages = table.heard_ages(false, f64::from(draw) / 100.0, now);
        assert!((1..=32).contains(&ages.len()), "{} ages", ages.len());
        seen.extend(ages.into_keys());
    }
    assert_eq!(seen.len(), 300, "every host is named at some time");
    assert!(table.heard_ages(true, 0.5, now).is_empty(), "no host was heard directly");
    table.record_heard(&host_name(7), now);
    assert_eq!(table.heard_ages(true, 0.5, now).into_keys().collect::<Vec<_>>(), [host_name(7)]);
    assert!(table.heard_ages(false, 0.5, now + ms(1_500)).is_empty(), "reports have expired");
}

/// Hosts that pass ages back and forth must not make a silent host appear younger.
#[test]
fn ages_that_are_passed_on_do_not_shrink() {
    let (now, hosts, tried) = (Instant::now(), hosts(2), BTreeSet::new());
    let mut tables = [table_without(9..10, now), table_without(9..10, now)];
    tables[0].record_heard(&host_name(0), now);
    let mut at = now;
    for step in 1..2_600 {
        at = now + Duration::from_micros(step * 555);
        let (from, to) = if step % 2 == 0 { (0, 1) } else { (1, 0) };
        tables[from].apply(&"own".into(), &"holder".into(), vec![report(9, 0)], at);
        let ages = tables[from].heard_ages(false, 0.5, at);
        tables[to].apply_heard(&"own".into(), ages, at);
    }
    assert!(at > now + ms(1_400));
    for table in &mut tables {
        table.apply_heard(&"own".into(), [(host_name(1), 600)].into(), at);
        let chosen = table.choose_host(query(&tried), &hosts, 0.1, at + ms(60));
        assert_eq!(chosen, Some(&host_name(1)), "host 0 has been silent for over 1.5 s");
    }
}

/// Forged ages: no overflow, no unbounded table, and other hosts are still asked.
#[test]
fn invalid_ages_have_bounded_effect() {
    let (hosts, now) = (hosts(2), Instant::now());
    let mut table = table_heard([(0, u64::MAX), (1, 0)], now);
    for round in 0..3 {
        let forged = (0..2_000).map(|number| (host_name(2_000 * (round + 1) + number), 0));
        table.apply_heard(&"own".into(), forged.collect(), now);
    }
    table.apply(&"own".into(), &"holder".into(), vec![report(5, 0)], now);
    assert!(table.heard_ages(false, 0.5, now).len() <= 32);
    assert_eq!(asked_hosts(&table, &hosts, 0.5, now), [1, 0].map(host_name));
}
