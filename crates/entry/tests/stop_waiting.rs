//! Streams that wait for a path at a host that stops, against a running host on loopback.

#[path = "support/forwarding.rs"]
mod forwarding;
#[path = "support/registry.rs"]
mod registry;

use std::time::Duration;

use forwarding::{TestSite, all_events};
use jacinthrock_entry::{EndedStream, StopPlan, StreamLength};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

const GRACE: Duration = Duration::from_secs(8);
/// Time that streams of the service have taken.
const STREAM_TIME: Duration = Duration::from_millis(600);
/// Longest time that one is expected to take.
const LONGEST_TIME: Duration = Duration::from_millis(750);
/// Time after a request for which no endpoint takes streams.
const NO_PATH_TIME: Duration = Duration::from_millis(150);

/// Asks a host, which stops, for a stream when it has a time left for answers, and lets the stream
/// wait for a path. Returns the status and the body.
async fn ask_with_time_left(site: &TestSite, left: Duration, attempt: &str) -> (u16, Vec<u8>) {
    let host = &site.hosts[0];
    let engines = site.endpoints.iter().filter(|it| &*it.entry.service == "guide");
    let engines: Vec<_> = engines.map(|it| it.entry.clone()).collect();
    assert!(engines.iter().all(|entry| host.state.mark_excluded(&entry.name)));
    let now = Instant::now();
    let full = StopPlan::new(now, GRACE).last_answer() - now;
    host.state.stop_plan.set(Some(StopPlan::new(now - (full - left), GRACE)));
    let list = async {
        sleep(NO_PATH_TIME).await;
        host.state.exclusions.borrow_mut().retain(|_| false);
        host.state.wake_queue();
    };
    let (answer, ()) = tokio::join!(host.call("/guide/x", attempt), list);
    host.state.stop_plan.set(None);
    let (status, _, body) = answer.expect("a complete answer");
    (status, body.to_vec())
}

/// The time of a stream was judged when its request arrived; it then waited, and was cut at the end.
#[tokio::test]
async fn stream_is_refused_if_too_little_time_is_left_after_its_wait() {
    let test = async {
        let site = TestSite::start(1).await;
        let ended = EndedStream {
            length: StreamLength { max_tokens: None, event_tokens: 1, resume_after: 0 },
            time: STREAM_TIME,
            first_event: Duration::from_millis(20),
            last_event: 20,
        };
        let state = &site.hosts[0].state;
        for _ in 0..256 {
            let at = Instant::now() - Duration::from_secs(30);
            state.stream_times.borrow_mut().record("guide", ended, at);
        }
        let margin = NO_PATH_TIME / 2;
        let late = ask_with_time_left(&site, LONGEST_TIME + margin, "late").await;
        assert_eq!(late.0, 503, "{}", String::from_utf8_lossy(&late.1));
        assert_eq!(site.arrivals("late"), 0);
        let early = ask_with_time_left(&site, 3 * LONGEST_TIME, "early").await;
        assert_eq!(early, (200, all_events(20).into_bytes()));
    };
    LocalSet::new().run_until(test).await;
}
