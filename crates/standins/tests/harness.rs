//! Tests that the process harness starts, signals and reaps processes.

use assert_matches::assert_matches;
use jacinthrock_standins::harness::{HarnessError, ProcessHarness, ProcessSignal};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(30);

fn program_dir() -> PathBuf {
    Path::new(env!("CARGO_BIN_EXE_standin-platform")).parent().unwrap().into()
}

fn harness(test: &str) -> ProcessHarness {
    let log_dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    ProcessHarness::new(&program_dir(), &log_dir).unwrap()
}

fn start_platform(harness: &mut ProcessHarness) -> Box<str> {
    let address = harness.free_address().unwrap();
    let args = ["--listen".into(), address.to_string()];
    harness.start("platform", "standin-platform", &args).unwrap();
    let url = format!("http://{address}/control/usage");
    harness.wait_ready("platform", &url, TIMEOUT).unwrap();
    address
}

#[test]
fn a_dropped_harness_leaves_no_process() {
    let mut harness = harness("dropped");
    let address = start_platform(&mut harness);
    harness.signal("platform", ProcessSignal::Freeze);
    drop(harness);
    assert!(TcpStream::connect(&*address).is_err());
}

#[test]
fn a_frozen_process_wakes_and_a_killed_one_ends() {
    let mut harness = harness("signals");
    let address = start_platform(&mut harness);
    let url = format!("http://{address}/control/usage");
    harness.signal("platform", ProcessSignal::Freeze);
    let frozen = ureq::get(&url).config().timeout_global(Some(Duration::from_millis(100))).build();
    assert!(frozen.call().is_err());
    harness.signal("platform", ProcessSignal::Wake);
    harness.wait_ready("platform", &url, TIMEOUT).unwrap();
    harness.signal("platform", ProcessSignal::Kill);
    let status = harness.wait_exit("platform", TIMEOUT);
    assert_matches!(status, Some(status) if !status.success());
}

#[test]
fn waiting_for_readiness_fails_when_the_process_exits() {
    let mut harness = harness("ended");
    harness.start("platform", "standin-platform", &["--no-such-flag".into()]).unwrap();
    let ready = harness.wait_ready("platform", "http://127.0.0.1:1/", TIMEOUT);
    assert_matches!(ready, Err(HarnessError::NotReady(name)) if &*name == "platform");
}

#[test]
fn a_failed_command_returns_its_output() {
    let harness = harness("command");
    let result = harness.run("standin-platform", &["--no-such-flag".into()]);
    assert_matches!(result, Err(HarnessError::Command { output, .. }) if output.contains("no-such-flag"));
}
