//! Plain calls of two priorities at endpoints that are full, against running hosts and endpoints on
//! loopback.

#[path = "support/forwarding.rs"]
mod forwarding;
#[path = "support/registry.rs"]
mod registry;

use std::collections::BTreeSet;
use std::time::Duration;

use forwarding::{TestSite, rules};
use futures::future::join_all;
use jacinthrock::MetricName;
use jacinthrock_entry::{ServingRules, StageLoad};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, sleep_until};

/// Time that a call takes.
const CALL_TIME: Duration = Duration::from_millis(100);
/// Objective of the routes.
const OBJECTIVE: Duration = Duration::from_millis(500);
/// Time between two calls: 1.5 times what six slots can run arrive.
const CALL_INTERVAL: Duration = Duration::from_micros(11_111);

/// Calls of a test, of which a third have priority 0, and the slots for which they compete.
#[derive(Clone, Copy)]
struct SampleLoad {
    /// Slots of each of the three endpoints.
    slots: u32,
    /// Calls that are sent before the endpoints of `lost` leave.
    early_calls: u32,
    /// Calls that are sent after that.
    calls: u32,
    lost: &'static [&'static str],
}

/// Two of three endpoints leave.
const LOSS: SampleLoad =
    SampleLoad { slots: 6, early_calls: 270, calls: 360, lost: &["desk-1", "desk-2"] };
/// All calls begin at once at three small endpoints.
const BURST: SampleLoad = SampleLoad { slots: 2, early_calls: 0, calls: 360, lost: &[] };

/// Rules in which calls on `/lookup/` go before those on `/desk/`.
fn priority_rules() -> ServingRules {
    let mut rules = rules();
    for route in rules.routes.iter_mut().filter(|route| &*route.name == "desk") {
        route.priority = 1;
    }
    rules
}

async fn start_site(rules: ServingRules, slots: u32) -> TestSite {
    let site = TestSite::start_with(2, slots, rules).await;
    for endpoint in &site.endpoints {
        endpoint.call_time.set(CALL_TIME);
        endpoint.max_open.set(slots);
    }
    site
}

/// Outcome of one call.
struct SampleEnd {
    number: u32,
    is_urgent: bool,
    attempt: String,
    status: u16,
    taken: Duration,
}

/// Sends the calls to both hosts; two of the three endpoints leave in between.
async fn send_calls(site: &TestSite, load: SampleLoad) -> Vec<SampleEnd> {
    let start = Instant::now();
    let calls = (0..load.early_calls + load.calls).map(|number| async move {
        sleep_until(start + CALL_INTERVAL * number).await;
        if number == load.early_calls {
            load.lost.iter().for_each(|name| site.remove_endpoint(name));
        }
        let is_urgent = number % 3 == 0;
        let path = if is_urgent { "/lookup/x" } else { "/desk/x" };
        let (attempt, sent) = (format!("a{number}"), Instant::now());
        let host = &site.hosts[number as usize / 3 % 2];
        let status = host.status(path, &attempt).await;
        SampleEnd { number, is_urgent, attempt, status, taken: sent.elapsed() }
    });
    join_all(calls).await
}

fn count(site: &TestSite, level: &str, outcome: &str) -> i64 {
    let labels = ["desk", level, outcome];
    let counts =
        site.hosts.iter().map(|host| host.state.metrics.value(MetricName::PlainCalls, &labels));
    counts.sum()
}

/// Checks the shares of the page, and that calls run as they are answered.
async fn check_calls(load: SampleLoad) {
    let site = start_site(priority_rules(), load.slots).await;
    let ends = send_calls(&site, load).await;
    let share = |is_urgent, is_good: &dyn Fn(&SampleEnd) -> bool| {
        let late = ends.iter().filter(|end| end.number >= load.early_calls);
        let of: Vec<_> = late.filter(|end| end.is_urgent == is_urgent).collect();
        let good = of.iter().filter(|end| is_good(end)).count();
        good as f64 / of.len() as f64
    };
    let urgent = share(true, &|end| end.status == 201 && end.taken <= OBJECTIVE);
    let other = share(false, &|end| end.status == 201);
    println!("urgent on time {urgent:.3}, others served {other:.3}");
    for (level, outcome) in [
        ("0", "waited"),
        ("0", "served_after_wait"),
        ("0", "refused"),
        ("11", "waited"),
        ("11", "refused"),
    ] {
        println!("level {level}: {} {outcome}", count(&site, level, outcome));
    }
    assert!(urgent >= 0.9, "{urgent:.3} of the urgent calls on time");
    assert!(other >= 0.25, "{other:.3} of the others served");
    assert!(count(&site, "0", "waited") + count(&site, "11", "waited") > 0);
    assert!(count(&site, "11", "refused") > 0);
    let runs = site.endpoints.iter().map(|endpoint| endpoint.runs.borrow().clone());
    let run: Vec<_> = runs.flatten().collect();
    let distinct: BTreeSet<_> = run.iter().cloned().collect();
    assert_eq!(run.len(), distinct.len(), "no call runs twice");
    for end in &ends {
        assert!([201, 503].contains(&end.status), "{}: {}", end.attempt, end.status);
        let has_run = distinct.contains(&*end.attempt);
        assert_eq!(end.status == 201, has_run, "{}: {}", end.attempt, end.status);
        assert!(site.arrivals(&end.attempt) <= 2, "{}: the route's maximum", end.attempt);
    }
}

/// Before, calls of any priority took the free slots, and the rest were refused after 200 ms.
#[tokio::test]
async fn urgent_calls_are_on_time_after_the_loss_of_endpoints() {
    LocalSet::new().run_until(check_calls(LOSS)).await;
}

/// Guards against calls that use up their sends at several full endpoints with most of their wait
/// left. 9 to 17 of 120 urgent calls failed before a second send waited.
#[tokio::test]
async fn urgent_calls_are_on_time_in_a_sudden_burst() {
    LocalSet::new().run_until(check_calls(BURST)).await;
}

/// Number of calls that a host knows the other one to have open at plain endpoints.
fn known_calls(site: &TestSite, host: usize) -> u32 {
    let loads = site.hosts[host].state.peer_loads.borrow();
    let endpoints = site.endpoints.iter().filter(|endpoint| &*endpoint.entry.service == "desk");
    let known = endpoints.filter_map(|it| loads.other_load(&it.entry.name, Instant::now()));
    known.map(|(load, _age)| load.streams).sum()
}

/// Guards against counts that other decisions take for streams, and against any report of services
/// with one priority.
#[tokio::test]
async fn open_calls_are_reported_only_for_services_with_several_priorities() {
    LocalSet::new()
        .run_until(async {
            for (rules, calls) in [(priority_rules(), 4), (rules(), 0)] {
                let site = start_site(rules, 6).await;
                for endpoint in &site.endpoints {
                    endpoint.call_time.set(Duration::from_millis(1_500));
                }
                let host = &site.hosts[1];
                let attempts: Vec<_> = (0..4).map(|number| format!("a{number}")).collect();
                let sent = attempts.iter().map(|attempt| host.status("/lookup/x", attempt));
                let look = async {
                    sleep(Duration::from_millis(1_000)).await;
                    let report = host.state.own_load();
                    assert_eq!(report.loads.values().map(|it| it.streams).sum::<u32>(), calls);
                    let others = |load: &StageLoad| (load.starts, load.token_layers);
                    assert!(report.loads.values().all(|load| others(load) == (0, 0)));
                    assert_eq!(report.demands.is_empty(), calls == 0);
                    assert_eq!(known_calls(&site, 0), calls);
                    let streams = site.hosts[0].state.peer_loads.borrow().streams(Instant::now());
                    assert_eq!(streams, Some(0), "plain calls are no streams");
                };
                let (statuses, ()) = tokio::join!(join_all(sent), look);
                assert_eq!(statuses, [201; 4]);
                let outcomes = ["waited", "served_after_wait", "refused"];
                assert!(outcomes.iter().all(|it| calls > 0 || count(&site, "0", it) == 0));
            }
        })
        .await;
}

/// Guards against a change for services with one priority: a call that all endpoints refuse as full
/// is refused after two sends, without a wait.
#[tokio::test]
async fn calls_of_one_priority_are_refused_as_before() {
    LocalSet::new()
        .run_until(async {
            let site = start_site(rules(), 6).await;
            site.endpoints.iter().for_each(|endpoint| endpoint.max_open.set(0));
            let sent = Instant::now();
            assert_eq!(site.hosts[0].status("/lookup/x", "full").await, 503);
            assert!(sent.elapsed() < Duration::from_millis(150), "{:?}", sent.elapsed());
            assert_eq!(site.arrivals("full"), 2);
            assert_eq!(count(&site, "0", "refused"), 0);
        })
        .await;
}
