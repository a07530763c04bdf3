//! Forwarded calls between hosts whose rules are of different versions, against running hosts and
//! endpoints on loopback.

#[path = "support/forwarding.rs"]
mod forwarding;
#[path = "support/registry.rs"]
mod registry;

use std::time::Duration;

use forwarding::{CutForm, KEY, TestHost, TestSite, all_events, rules};
use jacinthrock::CustomerName;
use jacinthrock_entry::{CustomerRule, RetryPolicy, RulesVersion, ServingRules};
use tokio::task::LocalSet;
use tokio::time::sleep;

/// Calls of a case; the first may go to either of two hosts.
const CALLS: usize = 20;
/// Slots of an endpoint.
const SLOTS: u32 = 50;

async fn run(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

/// Rules of the test site with a second plain service.
fn site_rules() -> ServingRules {
    let mut rules = rules();
    let desk = rules.services["desk"].clone();
    rules.services.insert("archive".into(), desk);
    rules
}

/// Puts rules of a version in force at a host.
fn apply(host: &TestHost, version: RulesVersion, rules: &ServingRules) {
    let registry = host.state.rules_version().revision + 1;
    host.state.apply_rules(registry, ServingRules { version, ..rules.clone() }, "test");
    assert_eq!(host.state.rules_number(), version);
}

/// A site whose last host has lost connectivity to the first service.
async fn site_with_loss(hosts: usize) -> TestSite {
    let site = TestSite::start_with(hosts, SLOTS, site_rules()).await;
    site.lose(hosts - 1, "desk", CutForm::Refuse).await;
    site
}

/// Number of calls that ran at a service's endpoints.
fn runs(site: &TestSite, service: &str) -> usize {
    let endpoints = site.endpoints.iter().filter(|it| &*it.entry.service == service);
    endpoints.map(|it| it.runs.borrow().len()).sum()
}

/// Rules by which calls to `/desk/` are decided otherwise.
fn other_decisions() -> Vec<(&'static str, ServingRules)> {
    let changed = |change: &dyn Fn(&mut ServingRules)| {
        let mut rules = site_rules();
        change(&mut rules);
        rules
    };
    let customer = |name: &str, key: &str| CustomerRule {
        name: CustomerName::from(name),
        keys: vec![key.into()],
        priority: None,
    };
    vec![
        ("service", changed(&|rules| rules.routes[0].targets = vec![("archive".into(), 1)])),
        (
            "no share",
            changed(&|rules| {
                rules.routes[0].targets = vec![("archive".into(), 1), ("desk".into(), 0)];
            }),
        ),
        ("no service", changed(&|rules| rules.routes[0].targets.clear())),
        ("no route", changed(&|rules| drop(rules.routes.remove(0)))),
        ("no key", changed(&|rules| rules.customers = vec![customer("amber", "other")])),
        ("customer", changed(&|rules| rules.customers = vec![customer("beryl", KEY)])),
        ("no customer", changed(&|rules| rules.customers.clear())),
        ("retries", changed(&|rules| rules.routes[0].retry_policy = RetryPolicy::Safe)),
        ("stream", changed(&|rules| rules.routes[0].is_stream = true)),
        ("limit", changed(&|rules| rules.limits.body_bytes = 1)),
    ]
}

/// Hosts handled forwarded calls by their own rules, however old: calls ran at services that their
/// routes had been moved away from, and were refused with 404 and 401 although route and key were
/// there.
#[tokio::test]
async fn call_is_not_run_by_a_host_whose_older_rules_decide_otherwise() {
    run(async {
        let site = site_with_loss(3).await;
        let [behind, current, sender] = [&site.hosts[0], &site.hosts[1], &site.hosts[2]];
        for (number, (case, older)) in other_decisions().iter().enumerate() {
            let version = 10 * (number as RulesVersion + 1);
            apply(behind, version, older);
            [current, sender].iter().for_each(|host| apply(host, version + 1, &site_rules()));
            let before = behind.forwarded("received", "outdated");
            for number in 0..CALLS {
                site.forget_refusals(2);
                let attempt = format!("{case}-{number}");
                assert_eq!(sender.status("/desk/x", &attempt).await, 201, "{case}");
                assert_eq!(site.arrivals(&attempt), 1, "{case}");
            }
            let refused = behind.forwarded("received", "outdated") - before;
            assert!(refused > 0, "{case}: the host was not asked");
        }
        assert_eq!(runs(&site, "archive"), 0);
    })
    .await;
}

/// If all hosts that reach the service have older rules, the call is refused as not run.
#[tokio::test]
async fn call_is_refused_if_all_other_hosts_have_older_rules() {
    run(async {
        let site = site_with_loss(3).await;
        let older = &other_decisions()[0].1;
        site.hosts[..2].iter().for_each(|host| apply(host, 10, older));
        apply(&site.hosts[2], 11, &site_rules());
        for number in 0..4 {
            site.forget_refusals(2);
            let attempt = format!("old-{number}");
            let answer = site.hosts[2].call("/desk/x", &attempt).await;
            let (status, headers, _) = answer.expect("an answer");
            assert_eq!(status, 503);
            assert!(headers.contains_key("retry-after"));
            assert_eq!(site.arrivals(&attempt), 0);
        }
        assert_eq!(runs(&site, "archive"), 0);
    })
    .await;
}

/// A host that has refused a call for its older rules gets no other for a while, and learns of the
/// newer rules.
#[tokio::test]
async fn host_with_older_rules_is_avoided_and_catches_up() {
    run(async {
        let site = site_with_loss(2).await;
        let [behind, sender] = [&site.hosts[0], &site.hosts[1]];
        apply(behind, 10, &other_decisions()[0].1);
        apply(sender, 11, &site_rules());
        site.forget_refusals(1);
        for number in 0..10 {
            assert_eq!(sender.status("/desk/x", &format!("avoided-{number}")).await, 503);
        }
        assert_eq!(behind.forwarded("received", "outdated"), 1);
        assert_eq!(behind.state.rules_freshness.borrow().newest(10), 11);
    })
    .await;
}

/// A host with newer rules refuses what they decide otherwise; the sender learns that it is behind.
#[tokio::test]
async fn call_decided_by_older_rules_is_not_run_by_a_host_with_newer_ones() {
    run(async {
        let site = site_with_loss(2).await;
        let [newer, sender] = [&site.hosts[0], &site.hosts[1]];
        for (number, (case, rules)) in other_decisions().iter().enumerate() {
            let version = 10 * (number as RulesVersion + 1);
            apply(sender, version, &site_rules());
            apply(newer, version + 1, rules);
            site.forget_refusals(1);
            let attempt = format!("{case}-x");
            assert_eq!(sender.status("/desk/x", &attempt).await, 503, "{case}");
            assert_eq!(site.arrivals(&attempt), 0, "{case}");
            let newest = sender.state.rules_freshness.borrow().newest(version);
            assert_eq!(newest, version + 1, "{case}");
        }
        assert_eq!(newer.forwarded("received", "newer"), other_decisions().len() as i64);
    })
    .await;
}

/// Other versions that decide a call alike are no reason to refuse it.
#[tokio::test]
async fn call_is_served_by_hosts_whose_other_rules_decide_the_same() {
    run(async {
        let site = TestSite::start_with(2, SLOTS, site_rules()).await;
        for service in ["desk", "guide"] {
            site.lose(1, service, CutForm::Refuse).await;
        }
        let mut split = site_rules();
        split.routes[0].targets = vec![("archive".into(), 99), ("desk".into(), 1)];
        split.routes[0].timeout = Duration::from_secs(3);
        for (version, receiver, sender) in [(10, 0, 1), (20, 1, 0)] {
            apply(&site.hosts[0], version + receiver, &split);
            apply(&site.hosts[1], version + sender, &site_rules());
            for number in 0..CALLS {
                let attempt = format!("same-{version}-{number}");
                assert_eq!(site.hosts[1].status("/desk/x", &attempt).await, 201);
            }
            let stream = site.hosts[1].call("/guide/x", &format!("same-{version}")).await;
            let (status, _, body) = stream.expect("an answer");
            assert_eq!((status, &*body), (200, all_events(20).as_bytes()));
        }
        assert_eq!(runs(&site, "archive"), 0);
    })
    .await;
}

/// Streams that are passed on or resumed through another host are decided once, too.
#[tokio::test]
async fn stream_is_not_run_by_a_host_whose_older_rules_decide_otherwise() {
    run(async {
        let site = TestSite::start_with(3, SLOTS, site_rules()).await;
        let [behind, current, sender] = [&site.hosts[0], &site.hosts[1], &site.hosts[2]];
        let mut older = site_rules();
        older.routes.retain(|route| &*route.name != "guide");
        apply(behind, 10, &older);
        [current, sender].iter().for_each(|host| apply(host, 11, &site_rules()));
        site.endpoints.iter().for_each(|endpoint| endpoint.events.set(60));
        let resumed =
            (0..6).map(async |number| sender.call("/guide/x", &format!("resumed-{number}")).await);
        let cut = async {
            sleep(Duration::from_millis(300)).await;
            sender.cut("guide", CutForm::Reset).await;
        };
        let (resumed, ()) = tokio::join!(futures::future::join_all(resumed), cut);
        for answer in resumed {
            let (status, _, body) = answer.expect("a complete answer");
            assert_eq!((status, &*body), (200, all_events(60).as_bytes()));
        }
        apply(behind, 20, &older);
        [current, sender].iter().for_each(|host| apply(host, 21, &site_rules()));
        let before = behind.forwarded("received", "outdated");
        for number in 0..4 {
            site.forget_refusals(2);
            let answer = sender.call("/guide/x", &format!("passed-{number}")).await;
            let (status, _, body) = answer.expect("a complete answer");
            assert_eq!((status, &*body), (200, all_events(60).as_bytes()));
        }
        assert!(behind.forwarded("received", "outdated") > before, "the host was not asked");
    })
    .await;
}
