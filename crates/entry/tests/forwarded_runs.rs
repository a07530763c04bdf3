//! Endpoints at which a forwarded call may run, over all hosts, against running hosts and endpoints on
//! loopback.

#[path = "support/forwarding.rs"]
mod forwarding;
#[path = "support/registry.rs"]
mod registry;

use std::time::Duration;

use forwarding::{CutForm, TestSite, rules};
use jacinthrock_entry::ServingRules;
use tokio::task::LocalSet;
use tokio::time::sleep;

/// Time of a call at its endpoint: the next host is asked as well after half of the objective, 250 ms.
const SLOW_CALL_TIME: Duration = Duration::from_millis(300);
/// Most endpoints that the route of the test's calls allows.
const MAX_ATTEMPTS: usize = 2;
const CALLS: usize = 6;

async fn run(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

/// A site whose last host has lost connectivity to the plain service.
async fn site_with_loss(hosts: usize) -> TestSite {
    let site = TestSite::start(hosts).await;
    site.lose(hosts - 1, "desk", CutForm::Refuse).await;
    site
}

/// Makes the endpoints of the plain service answer their next calls with an error.
fn fail_calls(site: &TestSite, count: u32) {
    site.endpoints.iter().for_each(|endpoint| endpoint.failures.set(count));
}

/// Two hosts that did not answer in time each used all attempts that the route allows.
#[tokio::test]
async fn call_runs_at_no_more_endpoints_than_allowed_if_two_hosts_are_asked() {
    run(async {
        let site = site_with_loss(3).await;
        fail_calls(&site, u32::MAX);
        site.endpoints.iter().for_each(|endpoint| endpoint.call_time.set(SLOW_CALL_TIME));
        for number in 0..CALLS {
            site.forget_refusals(2);
            let attempt = format!("slow-{number}");
            assert_eq!(site.hosts[2].status("/lookup/x", &attempt).await, 500);
            // A host goes on with its attempts after the caller has its answer.
            sleep(2 * SLOW_CALL_TIME).await;
            assert_eq!(site.arrivals(&attempt), MAX_ATTEMPTS);
        }
    })
    .await;
}

/// The first host leaves an attempt to the second, which must be made if the first one fails.
#[tokio::test]
async fn call_that_fails_at_one_host_is_repeated_at_the_next() {
    run(async {
        let site = site_with_loss(3).await;
        for number in 0..CALLS {
            fail_calls(&site, 1);
            site.forget_refusals(2);
            let attempt = format!("failed-{number}");
            let status = site.hosts[2].status("/lookup/x", &attempt).await;
            let failed = site.endpoints.iter().filter(|it| it.failures.get() == 0).count();
            assert!(failed <= MAX_ATTEMPTS && site.arrivals(&attempt) == MAX_ATTEMPTS);
            // The next host may try another endpoint, which fails as well.
            assert_eq!(status, if failed == 1 { 201 } else { 500 });
        }
    })
    .await;
}

/// Without a second host, the only one makes all attempts.
#[tokio::test]
async fn only_other_host_makes_all_attempts() {
    run(async {
        let site = site_with_loss(2).await;
        fail_calls(&site, 1);
        assert_eq!(site.hosts[1].status("/lookup/x", "alone").await, 500);
        assert_eq!(site.arrivals("alone"), MAX_ATTEMPTS);
        assert_eq!(site.hosts[1].status("/lookup/x", "again").await, 201);
    })
    .await;
}

/// A host with older rules ran a call at as many endpoints as these allowed.
#[tokio::test]
async fn call_runs_at_no_more_endpoints_than_the_rules_of_its_host_allow() {
    run(async {
        let site = site_with_loss(2).await;
        let mut lower = rules();
        lower.routes.iter_mut().for_each(|route| route.max_attempts = 1);
        let versions = [(10, rules()), (11, lower)];
        for (host, (version, rules)) in site.hosts.iter().zip(versions) {
            let registry = host.state.rules_version().revision + 1;
            host.state.apply_rules(registry, ServingRules { version, ..rules }, "test");
        }
        fail_calls(&site, 1);
        assert_eq!(site.hosts[1].status("/lookup/x", "lowered").await, 500);
        assert_eq!(site.arrivals("lowered"), 1);
    })
    .await;
}
