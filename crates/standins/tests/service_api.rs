//! The stand-in for a plain service runs and counts every call, and its refusals state that the
//! call was not started.

mod support;

use jacinthrock_standins::service::{ServiceApi, ServiceOptions, ServiceRecord};
use std::rc::Rc;
use std::time::Duration;
use support::{TestReply, call, serve_on_free_port};
use tokio::task::LocalSet;

async fn service() -> String {
    let options = ServiceOptions {
        name: "booking-1".into(),
        kind: "booking".into(),
        work_time: Duration::ZERO,
    };
    format!("http://{}", serve_on_free_port(Rc::new(ServiceApi::new(options))).await)
}

async fn create_booking(service: &str, key: &str) -> Option<TestReply> {
    call("POST", format!("{service}/"), &[("Idempotency-Key", key)], r#"{"bench":3}"#).await
}

async fn times_run(service: &str, key: &str) -> u32 {
    let reply = call("GET", format!("{service}/control/records"), &[], "").await.unwrap();
    let records: Vec<ServiceRecord> = serde_json::from_str(&reply.body).unwrap();
    records.iter().find(|record| &*record.key == key).map_or(0, |record| record.times_run)
}

#[tokio::test]
async fn a_repeated_call_runs_again_and_is_counted() {
    LocalSet::new()
        .run_until(async {
            let service = service().await;
            create_booking(&service, "k").await.unwrap();
            let reply = create_booking(&service, "k").await.unwrap();
            assert_eq!((reply.status, times_run(&service, "k").await), (201, 2));
        })
        .await;
}

#[tokio::test]
async fn a_call_whose_reply_is_dropped_runs_and_a_refused_call_does_not() {
    LocalSet::new()
        .run_until(async {
            let service = service().await;
            let faults = r#"{"drop_reply_next":1,"refuse_next":1}"#;
            call("POST", format!("{service}/control/faults"), &[], faults).await.unwrap();
            let refused = create_booking(&service, "refused").await.unwrap();
            assert_eq!((refused.status, refused.not_started), (503, true));
            assert!(create_booking(&service, "dropped").await.is_none());
            assert_eq!(times_run(&service, "refused").await, 0);
            assert_eq!(times_run(&service, "dropped").await, 1);
        })
        .await;
}

#[tokio::test]
async fn a_leaving_service_refuses_before_it_starts() {
    LocalSet::new()
        .run_until(async {
            let service = service().await;
            call("POST", format!("{service}/control/leaving"), &[], "").await.unwrap();
            let reply = create_booking(&service, "k").await.unwrap();
            assert!(reply.not_started && reply.body.contains("leaving"));
            assert_eq!(times_run(&service, "k").await, 0);
        })
        .await;
}

#[tokio::test]
async fn a_record_is_found_at_its_own_endpoint_only() {
    LocalSet::new()
        .run_until(async {
            let service = service().await;
            create_booking(&service, "k").await.unwrap();
            let found = call("GET", format!("{service}/booking-1-1"), &[], "").await.unwrap();
            assert_eq!((found.status, &*found.body), (200, r#"{"bench":3}"#));
            let other = call("GET", format!("{service}/booking-2-1"), &[], "").await.unwrap();
            assert_eq!(other.status, 404);
        })
        .await;
}
