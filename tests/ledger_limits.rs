//! Limits of the ledger: full pages, large responses, reused and invalid keys, and the separation
//! of customers.

use assert_matches::assert_matches;
use jacinthrock::{
    ClaimHolder, ClaimRequest, ClaimSettlement, ClaimTicket, ClaimVerdict, LedgerOptions,
    LedgerService, MetricRegistry, PlainReply, ResultCode,
};
use jacinthrock_standins::fake_store::FakeStore;
use std::rc::Rc;
use std::time::Duration;

const UNIX_NOW: Duration = Duration::from_secs(1_700_000_000);
const KEYS: [&str; 3] = [
    "018bcfe5-6800-7551-af75-0eef7b12e85e",
    "018bcfe5-6800-7551-af75-0eef7b12e85f",
    "018bcfe5-6800-7551-af75-0eef7b12e860",
];

fn ledger(options: LedgerOptions) -> LedgerService {
    let options = LedgerOptions { shards: 1, ..options };
    let holder = ClaimHolder { host: "a".into(), incarnation: 1 };
    let (store, metrics) = (Rc::new(FakeStore::new(1)), Rc::new(MetricRegistry::new()));
    LedgerService::new(store, holder, Rc::new(|_, _| true), options, metrics)
}

async fn claim(ledger: &LedgerService, key: &str, customer: &str, request: &str) -> ClaimVerdict {
    let request = ClaimRequest {
        key,
        fingerprint: request.into(),
        customer: customer.into(),
        deadline: Duration::from_secs(1),
    };
    ledger.claim(request, UNIX_NOW).await
}

async fn claim_ticket(ledger: &LedgerService, key: &str, customer: &str) -> ClaimTicket {
    let verdict = claim(ledger, key, customer, "same").await;
    let ClaimVerdict::Granted(ticket) = verdict else {
        panic!("not granted: {verdict:?}");
    };
    ticket
}

fn done(body: &[u8]) -> ClaimSettlement {
    let content_type = "application/octet-stream".into();
    ClaimSettlement::Done(PlainReply { status: 201, content_type, body: body.into() })
}

fn run_paused<T>(future: impl Future<Output = T>) -> T {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build().expect("runtime");
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

#[test]
fn a_full_page_refuses_claims_and_takes_settlements() {
    run_paused(async {
        let ledger = ledger(LedgerOptions { full_page_bytes: 600, ..LedgerOptions::default() });
        let first = claim_ticket(&ledger, KEYS[0], "studio").await;
        let _second = claim_ticket(&ledger, KEYS[1], "studio").await;
        let verdict = claim(&ledger, KEYS[2], "studio", "same").await;
        assert_matches!(
            verdict,
            ClaimVerdict::Refused { code: ResultCode::LedgerFull, retry_after: Some(_) }
        );
        ledger.settle(first, done(b"booked")).await.expect("a full page accepts settlements");
    });
}

#[test]
fn a_call_with_an_oversized_response_is_not_run_again() {
    run_paused(async {
        let ledger = ledger(LedgerOptions { max_response_bytes: 4, ..LedgerOptions::default() });
        let ticket = claim_ticket(&ledger, KEYS[0], "studio").await;
        ledger.settle(ticket, done(b"booked")).await.expect("the store is up");
        let verdict = claim(&ledger, KEYS[0], "studio", "same").await;
        assert_matches!(verdict, ClaimVerdict::Refused { code: ResultCode::AnswerNotKept, .. });
    });
}

#[test]
fn a_binary_response_is_replayed_unchanged() {
    run_paused(async {
        let ledger = ledger(LedgerOptions::default());
        let ticket = claim_ticket(&ledger, KEYS[0], "studio").await;
        ledger.settle(ticket, done(&[0, 255, 128])).await.expect("the store is up");
        let verdict = claim(&ledger, KEYS[0], "studio", "same").await;
        assert_matches!(verdict, ClaimVerdict::Finished(reply) if *reply.body == [0, 255, 128]);
    });
}

#[test]
fn a_key_is_refused_for_another_request_and_free_for_another_customer() {
    run_paused(async {
        let ledger = ledger(LedgerOptions::default());
        let _ticket = claim_ticket(&ledger, KEYS[0], "studio").await;
        let verdict = claim(&ledger, KEYS[0], "studio", "other").await;
        let code = ResultCode::IdempotencyKeyReused;
        assert_eq!(verdict, ClaimVerdict::Refused { code, retry_after: None });
        let _ticket = claim_ticket(&ledger, KEYS[0], "office").await;
    });
}

#[test]
fn keys_with_an_invalid_format_or_timestamp_are_refused() {
    run_paused(async {
        let ledger = ledger(LedgerOptions::default());
        let cases = [
            ("booking-1", ResultCode::IdempotencyKeyInvalid),
            ("f47ac10b-58cc-4372-a567-0e02b2c3d479", ResultCode::IdempotencyKeyInvalid),
            ("01890a5d-ac96-774b-bcce-b302099a8057", ResultCode::IdempotencyKeyExpired),
            ("0198bfe5-6800-7551-af75-0eef7b12e85e", ResultCode::IdempotencyKeyInvalid),
        ];
        for (key, code) in cases {
            let verdict = claim(&ledger, key, "studio", "same").await;
            assert_eq!(verdict, ClaimVerdict::Refused { code, retry_after: None }, "{key}");
        }
    });
}
