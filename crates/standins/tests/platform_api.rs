//! The platform stand-in follows the contract of the object API, also under injected faults.

mod support;

use jacinthrock_standins::platform::{ObjectTable, PlatformApi, PlatformOptions};
use std::rc::Rc;
use support::{call, serve_on_free_port};
use tokio::task::{LocalSet, spawn_local};

const OPTIONS: PlatformOptions =
    PlatformOptions { writes_per_second: 500, reads_per_second: 2000, history: 4 };

async fn platform(options: PlatformOptions) -> String {
    let address = serve_on_free_port(Rc::new(PlatformApi::new(options))).await;
    format!("http://{address}")
}

async fn put(platform: &str, key: &str, expected: u64, value: &str) -> Option<(u16, String)> {
    let url = format!("{platform}/v1/objects/{key}");
    let reply = call("PUT", url, &[("If-Match", &expected.to_string())], value).await?;
    Some((reply.status, reply.body))
}

async fn set_faults(platform: &str, faults: &str) {
    let reply = call("POST", format!("{platform}/control/faults"), &[], faults).await;
    assert_eq!(reply.unwrap().status, 200);
}

#[tokio::test]
async fn a_second_write_that_expects_the_same_version_conflicts() {
    LocalSet::new()
        .run_until(async {
            let platform = platform(OPTIONS).await;
            let first = put(&platform, "config/root", 0, "{}").await.unwrap();
            let second = put(&platform, "config/root", 0, "{}").await.unwrap();
            assert_eq!(first, (200, r#"{"version":1}"#.into()));
            assert_eq!(second, (409, r#"{"current":1}"#.into()));
        })
        .await;
}

#[tokio::test]
async fn a_write_whose_reply_is_lost_takes_effect() {
    LocalSet::new()
        .run_until(async {
            let platform = platform(OPTIONS).await;
            set_faults(&platform, r#"{"lose_replies":1}"#).await;
            assert_eq!(put(&platform, "a", 0, "1").await, None);
            let reply = call("GET", format!("{platform}/v1/objects/a"), &[], "").await.unwrap();
            assert_eq!((reply.status, &*reply.body), (200, "1"));
            assert_eq!(put(&platform, "a", 1, "2").await.unwrap().0, 200);
        })
        .await;
}

#[tokio::test]
async fn an_outage_refuses_without_effect_and_ends_waiting_watches() {
    LocalSet::new()
        .run_until(async {
            let platform = platform(OPTIONS).await;
            let url = format!("{platform}/v1/watch?prefix=a&after=0&wait_ms=60000");
            let watch = spawn_local(call("GET", url, &[], ""));
            set_faults(&platform, r#"{"down":true}"#).await;
            assert_eq!(watch.await.unwrap().unwrap().status, 503);
            assert_eq!(put(&platform, "a", 0, "1").await.unwrap().0, 503);
            set_faults(&platform, "{}").await;
            let reply = call("GET", format!("{platform}/v1/objects/a"), &[], "").await.unwrap();
            assert_eq!(reply.status, 404);
        })
        .await;
}

#[tokio::test]
async fn a_watch_returns_only_changes_under_its_prefix() {
    LocalSet::new()
        .run_until(async {
            let platform = platform(OPTIONS).await;
            let url = format!("{platform}/v1/watch?prefix=b%2F&after=0&wait_ms=60000");
            let watch = spawn_local(call("GET", url, &[], ""));
            put(&platform, "a/x", 0, "1").await.unwrap();
            put(&platform, "b/x", 0, "2").await.unwrap();
            let reply = watch.await.unwrap().unwrap();
            let expected =
                r#"{"changes":[{"put":{"key":"b/x","value":"2","version":2}}],"version":2}"#;
            assert_eq!(reply.body, expected);
        })
        .await;
}

#[tokio::test]
async fn calls_above_the_rate_limit_are_refused() {
    LocalSet::new()
        .run_until(async {
            let platform = platform(PlatformOptions { writes_per_second: 1, ..OPTIONS }).await;
            let mut statuses = Vec::new();
            for key in ["a", "b", "c"] {
                statuses.push(put(&platform, key, 0, "1").await.unwrap().0);
            }
            assert!(statuses.contains(&429), "{statuses:?}");
        })
        .await;
}

#[tokio::test]
async fn too_large_values_and_writes_without_a_version_are_refused() {
    LocalSet::new()
        .run_until(async {
            let platform = platform(OPTIONS).await;
            let large = "x".repeat((1 << 20) + 1);
            assert_eq!(put(&platform, "a", 0, &large).await.unwrap().0, 413);
            let url = format!("{platform}/v1/objects/a");
            let reply = call("PUT", url, &[], "{}").await.unwrap();
            assert_eq!(reply.status, 400, "a write without a version must be refused");
        })
        .await;
}

#[test]
fn a_watch_outside_the_history_is_refused() {
    let mut table = ObjectTable::new(2);
    for version in 0..4 {
        table.put("a", version, "x").unwrap();
    }
    assert!(table.changes("a", 1).is_err());
    assert_eq!(table.changes("a", 2).unwrap().len(), 2);
    assert!(table.changes("a", 5).is_err(), "a watch cannot continue from a future version");
}

#[test]
fn deletions_are_changes() {
    let mut table = ObjectTable::new(8);
    table.put("a", 0, "x").unwrap();
    table.delete("a", 1).unwrap();
    assert_eq!(table.changes("", 1).unwrap()[0].version(), 2);
    assert_eq!(table.get("a"), None);
}
