//! What the logs of several hosts tell about one request, and the command that prints it.

use jacinthrock::TrailReader;
use std::io::Write;
use std::process::{Command, Stdio};

/// Lines of two hosts: a stream that an endpoint refuses while the store is away, and another
/// request's. Collected logs have a time and the host before each line; some lines are damaged.
const LOG: &str = r#"
  9.1000 edge-1 {"timestamp":"2026-01-01T00:00:09.100Z","kvs":{"event":"store_lost","what":"rules"}}
  9.2000 edge-2 {"timestamp":"2026-01-01T00:00:09.200Z","kvs":{"event":"store_lost","what":"rules"}}
  9.4000 edge-1 {"timestamp":"2026-01-01T00:00:09.400Z","kvs":{"event":"stream_fault","attempt":"a1","fault":"i-7 refused with 503 Service Unavailable","stages":"[\"i-3\", \"i-7\"]"}}
  9.3000 edge-2 {"timestamp":"2026-01-01T00:00:09.300Z","kvs":{"event":"endpoint_closed","endpoint":"i-7","reason":"refuses streams"}}
  9.4100 edge-1 {"timestamp":"2026-01-01T00:00:09.410Z","kvs":{"event":"refused","attempt":"a1","code":3001,"retry_after_ms":1200}}
  9.4200 edge-1 {"timestamp":"2026-01-01T00:00:09.420Z","kvs":{"event":"refused","attempt":"a2","code":3001}}
  1.0000 edge-2 {"timestamp":"2026-01-01T00:00:01.000Z","kvs":{"event":"endpoint_listed","endpoint":"i-7"}}
  9.3500 edge-2 {"timestamp":"2026-01-01T00:00:09.350Z","kvs":{"event":"endpoint_closed","endpoint":"i-9"}}
  9.5000 edge-1 {"timestamp":"2026-01-
no object at all
"#;

fn reader(attempt: &str) -> TrailReader {
    let mut reader = TrailReader::new(attempt);
    reader.read(LOG.as_bytes()).expect("a log in memory");
    reader
}

#[test]
fn trail_holds_the_request_and_what_explains_it_in_the_order_of_time() {
    let trail = reader("a1").trail();
    let steps: Vec<_> = trail.iter().map(|step| (&*step.host, &*step.event, step.is_own)).collect();
    assert_eq!(
        steps,
        [
            ("edge-1", "store_lost", false),
            ("edge-2", "endpoint_closed", false),
            ("edge-1", "stream_fault", true),
            ("edge-1", "refused", true),
        ]
    );
    assert_eq!(trail[3].details["retry_after_ms"], 1_200);
}

#[test]
fn unknown_request_has_no_trail() {
    assert!(reader("a3").trail().is_empty());
}

fn explain(arguments: &[&str]) -> (Option<i32>, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_jacinthrock"))
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("the operators' program");
    child.stdin.take().expect("a pipe").write_all(LOG.as_bytes()).expect("the program reads");
    let output = child.wait_with_output().expect("the program ends");
    (output.status.code(), String::from_utf8(output.stdout).expect("text"))
}

#[test]
fn command_prints_the_trail_from_standard_input() {
    let (code, text) = explain(&["explain", "a1"]);
    assert_eq!(code, Some(0));
    let lines: Vec<_> = text.lines().collect();
    assert_eq!(lines.len(), 4);
    assert!(lines[3].starts_with("* 2026-01-01T00:00:09.410Z edge-1 refused"), "{}", lines[3]);
    assert!(lines[1].contains("reason=refuses streams"), "{}", lines[1]);
    let (code, json) = explain(&["--output", "json", "explain", "a1"]);
    assert_eq!((code, json.matches("\"own\":true").count()), (Some(0), 2), "{json}");
    assert_eq!(explain(&["explain", "a3"]).0, Some(7));
}
