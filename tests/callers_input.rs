//! Sends invalid, oversized, slow and half-closed input to the callers' port of real processes.

use jacinthrock_standins::fleet::RunningFleet;
use jacinthrock_standins::load::built_in;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::path::Path;
use std::time::Duration;
use uuid::Uuid;

/// Time without data after which a connection that the router should close counts as hanging.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A raw request, and texts that its response must contain.
struct InputCase {
    name: &'static str,
    request: String,
    expected: &'static [&'static str],
}

fn start_fleet() -> RunningFleet {
    let mut plan = built_in("demo").unwrap().fleet;
    plan.routers = 1;
    plan.controllers = 1;
    let limits = ["--request-timeout-ms", "300", "--max-body-bytes", "4096"];
    plan.router_args = limits.map(Box::from).into();
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join("callers_input");
    RunningFleet::start(plan, &dir).unwrap()
}

/// Sends bytes, shuts down the sending side if `end_sending`, and returns the complete response.
fn exchange(address: &str, request: &[u8], end_sending: bool) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    stream.write_all(request).unwrap();
    if end_sending {
        stream.shutdown(Shutdown::Write).unwrap();
    }
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("the router closes the connection");
    String::from_utf8_lossy(&answer).into_owned()
}

fn request(line: &str, key: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{line} HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer {key}\r\nConnection: close\r\n\
         Content-Length: {length}\r\n{headers}\r\n{body}"
    )
}

fn cases(key: &str) -> Vec<InputCase> {
    let chat = "POST /v1/chat/completions";
    let booking = "POST /bookings/";
    let case = |name, request, expected| InputCase { name, request, expected };
    let large = "x".repeat(5000);
    let question = r#"{"model":"kiln-guide","messages":[{"role":"user","content":"hot?"}]}"#;
    let old_key = "Idempotency-Key: 01890a5d-ac96-774b-bcce-b302099a8057\r\n";
    let random_key = format!("Idempotency-Key: {}\r\n", Uuid::new_v4());
    vec![
        case("wrong key", request(chat, "nobody", "", question), &["401", "\"code\":1006"]),
        case("no body", request(chat, key, "", ""), &["400", "\"code\":1001", "not-run"]),
        case("not JSON", request(chat, key, "", "{\"model\""), &["400", "\"code\":1001"]),
        case("no message", request(chat, key, "", r#"{"model":"m","messages":[]}"#), &["1001"]),
        case("unknown model", request(chat, key, "", &question.replace("kiln", "k")), &["1008"]),
        case("oversized body", request(chat, key, "", &large), &["413", "\"code\":1003"]),
        case("wrong method", request("DELETE /v1/models", key, "", ""), &["405", "\"code\":1015"]),
        case("unknown path", request("GET /nowhere", key, "", ""), &["404", "\"code\":1002"]),
        case(
            "wrong deadline",
            request(chat, key, "X-Deadline-Ms: soon\r\n", question),
            &["400", "\"code\":1013"],
        ),
        case("no idempotency key", request(booking, key, "", "{}"), &["400", "\"code\":1009"]),
        case(
            "random idempotency key",
            request(booking, key, &random_key, "{}"),
            &["400", "\"code\":1010"],
        ),
        case("old idempotency key", request(booking, key, old_key, "{}"), &["\"code\":1011"]),
        case("no HTTP", "how do you do\r\n\r\n".into(), &["400"]),
        case(
            "oversized head",
            request(chat, key, &format!("X-Large: {}\r\n", "x".repeat(40_000)), question),
            &["431"],
        ),
    ]
}

#[test]
fn invalid_input_gets_a_numbered_error_and_valid_requests_still_work() {
    let fleet = start_fleet();
    let key = fleet.plan.customers[0].key();
    let address = fleet.router_addresses()[0].clone();
    for case in cases(&key) {
        let answer = exchange(&address, case.request.as_bytes(), false);
        for part in case.expected {
            assert!(answer.contains(part), "{}: {part:?} is not in {answer:?}", case.name);
        }
    }
    let slow_body = request("POST /v1/chat/completions", &key, "", "")
        .replace("Content-Length: 0", "Content-Length: 10");
    let answer = exchange(&address, slow_body.as_bytes(), false);
    assert!(answer.contains("\"code\":1005"), "slow body: {answer:?}");
    let answer = exchange(&address, b"POST /v1/chat/completions HTTP/1.1\r\nHost", false);
    assert!(!answer.contains("200 OK"), "slow head: {answer:?}");
    let answer = exchange(&address, b"POST /v1/chat/completions HTTP/1.1\r\nHost", true);
    assert!(!answer.contains("200 OK"), "half-closed head: {answer:?}");

    let question = r#"{"model":"kiln-guide","max_tokens":4,"stream":true,
        "messages":[{"role":"user","content":"hot?"}]}"#;
    let good = request("POST /v1/chat/completions", &key, "", question);
    let answer = exchange(&address, good.as_bytes(), false);
    assert!(answer.contains("[DONE]"), "valid request after invalid ones: {answer:?}");
}
