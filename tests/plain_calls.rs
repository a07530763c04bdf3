//! Calls to plain services: retries, claims, callers that disconnect, and shutdown.

use jacinthrock::{
    CallOutcome, ClaimHolder, LedgerOptions, LedgerService, MetricName, MetricRegistry, PlainCall,
    PlainContext, PlainDriver, PlainOptions, PlainRequest, ResultCode,
};
use jacinthrock_standins::fake_service::{FakeService, ListPicker, ServiceFaults};
use jacinthrock_standins::fake_store::FakeStore;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

const KEY: &str = "018bcfe5-6800-7551-af75-0eef7b12e85e";
const UNIX_NOW: Duration = Duration::from_secs(1_700_000_000);

struct TestBed {
    store: FakeStore,
    service: FakeService,
    ledger: LedgerService,
    driver: PlainDriver,
    metrics: Rc<MetricRegistry>,
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

impl TestBed {
    fn new() -> Self {
        let (store, service) = (FakeStore::new(1), FakeService::new(1));
        let metrics = Rc::new(MetricRegistry::new());
        let holder = ClaimHolder { host: "a".into(), incarnation: 1 };
        let ledger = LedgerService::new(
            Rc::new(store.handle()),
            holder,
            Rc::new(|_, _| true),
            LedgerOptions::default(),
            metrics.clone(),
        );
        let client = Rc::new(service.clone());
        let options = PlainOptions::default();
        let driver = PlainDriver::new(client, ledger.clone(), metrics.clone(), options);
        Self { store, service, ledger, driver, metrics }
    }

    fn request(&self, is_idempotent: bool) -> PlainRequest {
        PlainRequest {
            service: "bookings".into(),
            customer: "studio".into(),
            is_idempotent,
            key: Some(KEY.into()),
            call: PlainCall {
                method: "POST".into(),
                path: "/slots".into(),
                headers: Vec::new(),
                body: b"bench".as_slice().into(),
                timeout: Duration::ZERO,
            },
            deadline: Instant::now() + ms(2000),
            unix_now: UNIX_NOW,
        }
    }
}

fn context(endpoints: usize, may_retry: bool) -> PlainContext {
    PlainContext {
        picker: Rc::new(ListPicker::new(endpoints)),
        may_retry: Rc::new(move || may_retry),
    }
}

fn run_paused<T>(future: impl Future<Output = T>) -> T {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build().expect("runtime");
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

fn lose_every_reply() -> ServiceFaults {
    ServiceFaults { lost_reply: 1.0, ..ServiceFaults::default() }
}

#[test]
fn an_idempotent_call_is_retried_within_its_deadline_when_an_endpoint_is_frozen() {
    run_paused(async {
        let bed = TestBed::new();
        bed.service.freeze("endpoint-0", Duration::from_secs(60));
        let result = bed.driver.run(bed.request(true), context(2, true)).await;
        assert_eq!(result.outcome, CallOutcome::Done);
        assert_eq!(bed.metrics.value(MetricName::Retries, &["broken"]), 1);
    });
}

#[test]
fn silence_of_an_endpoint_ends_no_call_that_cannot_be_retried() {
    for (endpoints, may_retry) in [(1, true), (2, false)] {
        run_paused(async {
            let bed = TestBed::new();
            bed.service.freeze("endpoint-0", ms(1200));
            let result = bed.driver.run(bed.request(true), context(endpoints, may_retry)).await;
            assert_eq!((result.outcome, result.code), (CallOutcome::Done, None));
            assert_eq!(bed.service.runs().len(), 1);
            assert_eq!(bed.metrics.value(MetricName::Retries, &["broken"]), 0);
        });
    }
}

#[test]
fn a_call_to_an_endpoint_that_stays_silent_ends_at_its_deadline() {
    run_paused(async {
        let bed = TestBed::new();
        bed.service.freeze("endpoint-0", Duration::from_secs(60));
        let start = Instant::now();
        let result = bed.driver.run(bed.request(true), context(1, true)).await;
        assert_eq!(result.outcome, CallOutcome::Unknown);
        assert_eq!(result.code, Some(ResultCode::DeadlinePassed));
        assert_eq!(start.elapsed(), ms(2000));
    });
}

#[test]
fn no_retry_is_made_without_retry_budget() {
    run_paused(async {
        let bed = TestBed::new();
        bed.service.leave("endpoint-0");
        let result = bed.driver.run(bed.request(true), context(2, false)).await;
        assert_eq!(result.outcome, CallOutcome::NotRun);
        assert_eq!(result.code, Some(ResultCode::RetryBudgetSpent));
        assert!(bed.service.runs().is_empty());
    });
}

#[test]
fn a_non_idempotent_call_is_refused_without_a_key() {
    run_paused(async {
        let bed = TestBed::new();
        let request = PlainRequest { key: None, ..bed.request(false) };
        let result = bed.driver.run(request, context(1, true)).await;
        assert_eq!(result.code, Some(ResultCode::IdempotencyKeyMissing));
    });
}

#[test]
fn a_booking_whose_reply_is_lost_is_unknown_and_never_sent_again() {
    run_paused(async {
        let bed = TestBed::new();
        bed.service.set_faults(lose_every_reply());
        let result = bed.driver.run(bed.request(false), context(3, true)).await;
        assert_eq!(result.outcome, CallOutcome::Unknown);
        bed.ledger.drain().await;
        let again = bed.driver.run(bed.request(false), context(3, true)).await;
        assert_eq!(again.code, Some(ResultCode::ClaimUnknown));
        assert_eq!(bed.service.runs().len(), 1);
    });
}

#[test]
fn a_refused_booking_tries_another_endpoint_under_the_same_claim() {
    run_paused(async {
        let bed = TestBed::new();
        bed.service.leave("endpoint-0");
        let result = bed.driver.run(bed.request(false), context(2, true)).await;
        assert_eq!(result.outcome, CallOutcome::Done);
        assert_eq!(bed.metrics.value(MetricName::LedgerClaims, &["granted"]), 1);
    });
}

#[test]
fn a_booking_that_did_not_run_may_be_tried_with_the_same_key() {
    run_paused(async {
        let bed = TestBed::new();
        bed.service.leave("endpoint-0");
        let first = bed.driver.run(bed.request(false), context(1, true)).await;
        assert_eq!(first.outcome, CallOutcome::NotRun);
        assert!(first.retry_after.is_some());
        let second = bed.driver.run(bed.request(false), context(2, true)).await;
        assert_eq!(second.outcome, CallOutcome::Done);
    });
}

#[test]
fn a_booking_is_completed_when_its_caller_disconnects() {
    run_paused(async {
        let bed = TestBed::new();
        let faults = ServiceFaults { longest_delay: ms(300), ..ServiceFaults::default() };
        bed.service.set_faults(faults);
        let call = bed.driver.run(bed.request(false), context(1, true));
        assert!(tokio::time::timeout(ms(20), call).await.is_err());
        tokio::time::sleep(ms(1000)).await;
        bed.ledger.drain().await;
        let again = bed.driver.run(bed.request(false), context(1, true)).await;
        assert_eq!(again.outcome, CallOutcome::Done);
        assert_eq!(bed.service.runs().len(), 1);
    });
}

#[test]
fn bookings_are_refused_and_lookups_work_during_a_platform_outage() {
    run_paused(async {
        let bed = TestBed::new();
        bed.store.set_down(true);
        let booking = bed.driver.run(bed.request(false), context(1, true)).await;
        assert_eq!(booking.outcome, CallOutcome::NotRun);
        assert_eq!(booking.code, Some(ResultCode::LedgerUnavailable));
        assert!(booking.retry_after.is_some() && bed.service.runs().is_empty());
        let lookup = bed.driver.run(bed.request(true), context(1, true)).await;
        assert_eq!(lookup.outcome, CallOutcome::Done);
    });
}

#[test]
fn a_drain_waits_for_settlements_through_an_outage() {
    run_paused(async {
        let bed = TestBed::new();
        let result = bed.driver.run(bed.request(false), context(1, true)).await;
        assert_eq!(result.outcome, CallOutcome::Done);
        bed.store.set_down(true);
        let early_drain = tokio::time::timeout(Duration::from_secs(5), bed.ledger.drain()).await;
        assert!(early_drain.is_err());
        bed.store.set_down(false);
        bed.ledger.drain().await;
        let again = bed.driver.run(bed.request(false), context(1, true)).await;
        assert_eq!(again.reply, result.reply);
        assert_eq!(bed.service.runs().len(), 1);
    });
}
