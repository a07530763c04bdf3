//! Expiry of ledger pages, including on hosts with wrong clocks.

mod ledger_support;

use assert_matches::assert_matches;
use jacinthrock::{
    ClaimHolder, ClaimRequest, ClaimSettlement, ClaimVerdict, LedgerOptions, LedgerService,
    MetricRegistry, PlainReply, ResultCode,
};
use jacinthrock_standins::fake_store::FakeStore;
use ledger_support::{UNIX_BASE, key_of, ms, run_paused};
use std::rc::Rc;
use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(100);

fn ledger(store: &FakeStore, host: &str) -> LedgerService {
    let options =
        LedgerOptions { window: WINDOW, clock_margin: ms(5000), ..LedgerOptions::default() };
    let holder = ClaimHolder { host: host.into(), incarnation: 1 };
    let metrics = Rc::new(MetricRegistry::new());
    LedgerService::new(Rc::new(store.handle()), holder, Rc::new(|_, _| true), options, metrics)
}

async fn claim(ledger: &LedgerService, key: &str, unix_now: Duration) -> ClaimVerdict {
    let request = ClaimRequest {
        key,
        fingerprint: "same".into(),
        customer: "studio".into(),
        deadline: ms(1000),
    };
    ledger.claim(request, unix_now).await
}

async fn claim_and_settle(ledger: &LedgerService, key: &str, unix_now: Duration) {
    let verdict = claim(ledger, key, unix_now).await;
    let ClaimVerdict::Granted(ticket) = verdict else {
        panic!("not granted: {verdict:?}");
    };
    let body = b"booked".as_slice().into();
    let reply = PlainReply { status: 201, content_type: "text/plain".into(), body };
    ledger.settle(ticket, ClaimSettlement::Done(reply)).await.expect("the store is up");
}

#[test]
fn a_finished_key_replays_its_response_until_it_expires() {
    run_paused(async {
        let store = FakeStore::new(1);
        let (first, second) = (ledger(&store, "a"), ledger(&store, "b"));
        let key = key_of(UNIX_BASE, 1);
        claim_and_settle(&first, &key, UNIX_BASE).await;
        let verdict = claim(&second, &key, UNIX_BASE + WINDOW).await;
        assert_matches!(verdict, ClaimVerdict::Finished(reply) if &*reply.body == b"booked");
        let verdict = claim(&second, &key, UNIX_BASE + WINDOW + ms(10)).await;
        let code = ResultCode::IdempotencyKeyExpired;
        assert_eq!(verdict, ClaimVerdict::Refused { code, retry_after: None });
    });
}

#[test]
fn expired_pages_are_deleted_and_not_reused() {
    run_paused(async {
        let store = FakeStore::new(2);
        let (first, behind) = (ledger(&store, "a"), ledger(&store, "b"));
        for second in 0..30 {
            let time = UNIX_BASE + Duration::from_secs(second);
            claim_and_settle(&first, &key_of(time, second), time).await;
        }
        assert_eq!(store.peek_keys("ledger/").len(), 30);
        let later = UNIX_BASE + WINDOW + ms(5000) + Duration::from_secs(20);
        claim_and_settle(&first, &key_of(later, 99), later).await;
        let report = first.expire(later).await.expect("the store is up");
        assert_eq!(report.deleted_pages, 20);
        assert_eq!(store.peek_keys("ledger/").len(), 11);
        let again = first.expire(later).await.expect("the store is up");
        assert_eq!(again.deleted_pages, 0);
        // A host whose clock has stopped still accepts the key's age.
        let verdict = claim(&behind, &key_of(UNIX_BASE, 0), UNIX_BASE).await;
        let code = ResultCode::IdempotencyKeyExpired;
        assert_eq!(verdict, ClaimVerdict::Refused { code, retry_after: None });
    });
}

#[test]
fn a_clock_that_runs_ahead_does_not_raise_the_floor() {
    run_paused(async {
        let store = FakeStore::new(3);
        let (first, ahead) = (ledger(&store, "a"), ledger(&store, "b"));
        claim_and_settle(&ahead, &key_of(UNIX_BASE, 1), UNIX_BASE).await;
        let year = Duration::from_secs(365 * 24 * 60 * 60);
        let report = ahead.expire(UNIX_BASE + year).await.expect("the store is up");
        assert_eq!(report.deleted_pages, 0);
        claim_and_settle(&first, &key_of(UNIX_BASE, 2), UNIX_BASE).await;
    });
}
