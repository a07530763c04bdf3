//! When hosts were heard of, as running hosts tell one another.

#[path = "support/forwarding.rs"]
mod forwarding;
#[path = "support/registry.rs"]
mod registry;

use std::time::Duration;

use forwarding::{CutForm, TestHost, TestSite};
use jacinthrock_entry::HeardAges;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

fn heard_ages(host: &TestHost) -> HeardAges {
    host.state.reach.borrow().heard_ages(false, 0.0, Instant::now())
}

/// A host without links heard of the placement holder alone, and could not tell which of the others
/// were frozen. A member's age has to reach it through the holder, and to grow once the member has
/// ended.
#[tokio::test]
async fn host_without_links_hears_of_others_through_the_holder() {
    let test = async {
        let site = TestSite::start(3).await;
        sleep(Duration::from_millis(500)).await;
        assert!(site.hosts.iter().all(|host| heard_ages(host).is_empty()), "no host lacks links");
        site.lose(2, "desk", CutForm::Refuse).await;
        let started = Instant::now();
        while heard_ages(&site.hosts[2]).get("h1").is_none_or(|age| *age > 500) {
            assert!(started.elapsed() < Duration::from_secs(1), "{:?}", heard_ages(&site.hosts[2]));
            sleep(Duration::from_millis(5)).await;
        }
        site.hosts[1].kill();
        sleep(Duration::from_millis(1_000)).await;
        let ages = heard_ages(&site.hosts[2]);
        assert!(ages.get("h1").is_none_or(|age| *age > 500), "{ages:?}");
        assert!(ages.get("h0").is_some_and(|age| *age <= 500), "{ages:?}");
    };
    LocalSet::new().run_until(test).await;
}
