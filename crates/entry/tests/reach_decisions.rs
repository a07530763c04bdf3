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
