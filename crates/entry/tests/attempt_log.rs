//! Which endpoints count against the maximum number of attempts of a request.

use std::time::Duration;

use jacinthrock_entry::{AttemptLog, EndpointName, EndpointStart};
use tokio::time::Instant;

fn start(name: &EndpointName, start_unix_ms: u64) -> EndpointStart<'_> {
    EndpointStart { name, start_unix_ms }
}

/// A silent endpoint may go on with the request, whatever the host believes of it.
#[tokio::test(start_paused = true)]
async fn endpoint_counts_until_its_send_is_over_and_it_has_ended() {
    let (mut attempts, name) = (AttemptLog::default(), "i-1".into());
    attempts.record_send(start(&name, 5));
    assert_eq!(attempts.counted(|_, _| true).len(), 1, "its connection is open");
    attempts.record_over(start(&name, 5), Instant::now());
    assert_eq!(attempts.counted(|_, _| false).len(), 1, "it may have reset the connection only");
    assert_eq!(attempts.counted(|_, _| true).len(), 0);
    assert_eq!(attempts.over().collect::<Vec<_>>(), [&name]);
}

/// An end before the send was over says nothing of the start that the request was sent to.
#[tokio::test(start_paused = true)]
async fn end_is_asked_for_since_the_send_was_over() {
    let (mut attempts, name, begin) = (AttemptLog::default(), "i-1".into(), Instant::now());
    attempts.record_send(start(&name, 5));
    tokio::time::advance(Duration::from_millis(50)).await;
    attempts.record_over(start(&name, 5), Instant::now());
    let ended_at = begin + Duration::from_millis(10);
    assert_eq!(attempts.counted(|_, over_at| ended_at >= over_at).len(), 1);
    let ended_at = begin + Duration::from_millis(51);
    assert_eq!(attempts.counted(|_, over_at| ended_at >= over_at).len(), 0);
}

#[test]
fn unsent_request_takes_back_only_itself() {
    let (mut attempts, name, other) = (AttemptLog::default(), "i-1".into(), "i-2".into());
    attempts.record_send(start(&name, 5));
    attempts.record_send(start(&name, 5));
    attempts.record_unsent(start(&name, 5));
    attempts.record_send(start(&other, 5));
    attempts.record_unsent(start(&other, 5));
    assert_eq!(attempts.counted(|_, _| false), [name]);
}

/// A new start under the same name is another endpoint to the route's limit.
#[test]
fn starts_of_an_endpoint_count_by_themselves() {
    let (mut attempts, name) = (AttemptLog::default(), "i-1".into());
    attempts.record_send(start(&name, 5));
    attempts.record_over(start(&name, 5), Instant::now());
    attempts.record_send(start(&name, 9));
    let counted = attempts.counted(|endpoint, _| endpoint.start_unix_ms == 5);
    assert_eq!(counted.len(), 1);
    assert_eq!(attempts.counted(|_, _| false).len(), 1, "the first start has ended");
    attempts.record_send(start(&name, 12));
    assert_eq!(attempts.counted(|_, _| false), [name.clone(), name]);
}
