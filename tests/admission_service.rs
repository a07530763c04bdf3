//! The admission service under tokio's paused clock.

use assert_matches::assert_matches;
use jacinthrock::{
    AdmissionRequest, AdmissionService, GateOptions, MetricName, MetricRegistry, PriorityClass,
    ResultCode,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

fn request(customer: &str, deadline: Duration) -> AdmissionRequest {
    AdmissionRequest {
        service: "guide".into(),
        customer: customer.into(),
        share: 1,
        priority: PriorityClass::Guidance,
        deadline: Instant::now() + deadline,
        queue_length: 4,
    }
}

fn start(slots: u32) -> (AdmissionService, Arc<MetricRegistry>) {
    let metrics = Arc::new(MetricRegistry::new());
    let service = AdmissionService::start(GateOptions::default(), 1, metrics.clone());
    service.set_capacity("guide", slots);
    (service, metrics)
}

const LONG_DEADLINE: Duration = Duration::from_secs(60);

#[tokio::test(start_paused = true)]
async fn a_dropped_permit_starts_the_next_request() {
    let run = async {
        let (service, metrics) = start(1);
        let permit = service.admit(request("studio", LONG_DEADLINE)).await.expect("a slot is free");
        let next = tokio::task::spawn_local(service.admit(request("office", LONG_DEADLINE)));
        sleep(Duration::from_secs(1)).await;
        assert!(!next.is_finished());
        assert_eq!(metrics.value(MetricName::AdmissionWaiting, &["guidance"]), 1);
        drop(permit);
        let permit = next.await.expect("the task ended").expect("the slot was freed");
        assert_eq!(service.load()["guide"].service_time, Duration::from_secs(1));
        drop(permit);
        assert!(service.is_idle());
        assert_eq!(metrics.value(MetricName::AdmissionWaiting, &["guidance"]), 0);
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_goes_away_leaves_the_queue_or_frees_its_slot() {
    let run = async {
        let (service, _) = start(1);
        let permit = service.admit(request("studio", LONG_DEADLINE)).await.expect("a slot is free");
        let waiting = tokio::task::spawn_local(service.admit(request("office", LONG_DEADLINE)));
        tokio::task::yield_now().await;
        waiting.abort();
        assert!(waiting.await.is_err());
        assert_eq!(service.load()["guide"].waiting, 0);

        // The request is admitted, but its future is dropped before it is polled again.
        let mut admission = Box::pin(service.admit(request("office", LONG_DEADLINE)));
        assert!(futures::poll!(&mut admission).is_pending());
        drop(permit);
        assert_eq!(service.load()["guide"].running, 1);
        drop(admission);
        assert!(service.is_idle());
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test(start_paused = true)]
async fn a_request_that_can_no_longer_make_its_deadline_is_refused_before_it() {
    let run = async {
        let (service, _) = start(1);
        for _ in 0..20 {
            let permit =
                service.admit(request("studio", LONG_DEADLINE)).await.expect("a slot is free");
            sleep(Duration::from_secs(1)).await;
            drop(permit);
        }
        let permit = service.admit(request("studio", LONG_DEADLINE)).await.expect("a slot is free");
        let started = Instant::now();
        let refusal = service.admit(request("office", Duration::from_millis(1500))).await;
        assert_matches!(refusal.err(), Some(refusal) if refusal.code == ResultCode::DeadlineUnreachable);
        assert_eq!(started.elapsed(), Duration::ZERO);

        // The running request exceeds the average service time, so the one waiting behind it is
        // refused before its deadline.
        let deadline = Duration::from_secs(4);
        let refusal =
            service.admit(request("office", deadline)).await.err().expect("the request is refused");
        assert_eq!(refusal.code, ResultCode::DeadlineUnreachable);
        assert!(started.elapsed() < deadline - Duration::from_millis(500));
        assert!(refusal.retry_after >= Duration::from_millis(75));
        drop(permit);
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test(start_paused = true)]
async fn a_draining_host_refuses_new_requests_and_serves_the_others() {
    let run = async {
        let (service, _) = start(1);
        let permit = service.admit(request("studio", LONG_DEADLINE)).await.expect("a slot is free");
        let waiting = tokio::task::spawn_local(service.admit(request("office", LONG_DEADLINE)));
        tokio::task::yield_now().await;
        service.set_draining(true);
        let refusal = service
            .admit(request("office", LONG_DEADLINE))
            .await
            .err()
            .expect("the request is refused");
        assert_eq!(refusal.code, ResultCode::Draining);
        let idle = tokio::task::spawn_local({
            let service = service.clone();
            async move { service.wait_idle().await }
        });
        drop(permit);
        drop(waiting.await.expect("the task ended").expect("the request is admitted"));
        idle.await.expect("the service became idle");
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test(start_paused = true)]
async fn a_full_queue_and_a_service_without_endpoints_refuse_at_once() {
    let run = async {
        let (service, _) = start(1);
        let _permit =
            service.admit(request("studio", LONG_DEADLINE)).await.expect("a slot is free");
        let waiting: Vec<_> = (0..4)
            .map(|_| tokio::task::spawn_local(service.admit(request("studio", LONG_DEADLINE))))
            .collect();
        tokio::task::yield_now().await;
        let refusal = service
            .admit(request("studio", LONG_DEADLINE))
            .await
            .err()
            .expect("the request is refused");
        assert_eq!(refusal.code, ResultCode::QueueFull);
        service.set_capacity("guide", 0);
        for task in waiting {
            let refusal =
                task.await.expect("the task ended").err().expect("the request is refused");
            assert_eq!(refusal.code, ResultCode::NoEndpoint);
        }
    };
    LocalSet::new().run_until(run).await;
}
