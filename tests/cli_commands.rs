//! Runs the operators' program as a process against the stand-in platform and fake hosts.

#[path = "support/platform_thread.rs"]
mod platform_thread;

use platform_thread::start_platform;
use rouille::{Response, Server};
use serde_json::{Value, json};
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;

/// Fake host whose operator port reports a revision that the test sets.
struct FakeHost {
    address: String,
    revision: Arc<AtomicU64>,
    drained: Arc<AtomicBool>,
}

impl FakeHost {
    fn start(name: &'static str) -> Self {
        let revision = Arc::new(AtomicU64::new(0));
        let drained = Arc::new(AtomicBool::new(false));
        let (reported, drain_flag) = (revision.clone(), drained.clone());
        let server = Server::new("127.0.0.1:0", move |request| match &*request.url() {
            "/status" => Response::json(&json!({
                "host": name,
                "incarnation": 1,
                "revision": reported.load(Ordering::SeqCst),
                "state": "serving",
            })),
            "/drain" if request.method() == "POST" => {
                drain_flag.store(true, Ordering::SeqCst);
                Response::text("draining").with_status_code(202)
            }
            _ => Response::empty_404(),
        });
        let server = server.unwrap().pool_size(2);
        let address = server.server_addr().to_string();
        thread::spawn(move || server.run());
        Self { address, revision, drained }
    }
}

/// Sets up a platform and a declaration directory, and runs the operators' program against them.
struct CliFixture {
    platform: String,
    directory: PathBuf,
}

impl CliFixture {
    /// Starts a platform for this test and copies the sample tree, so that the test may edit it.
    fn new(test: &str) -> Self {
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
        let _ = fs::remove_dir_all(&directory);
        copy_tree(&Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/tree"), &directory);
        Self { platform: start_platform(), directory }
    }

    fn command(&self, arguments: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_jacinthrock"));
        command
            .args(arguments)
            .env("JACINTHROCK_PLATFORM", &self.platform)
            .env("JACINTHROCK_OUTPUT", "json")
            .env("JACINTHROCK_AUTHOR", "anna")
            .stdin(Stdio::null());
        command
    }

    /// Runs a command and returns its exit code and the last lines of its standard output and
    /// standard error as JSON; null for a line that is missing or not JSON.
    fn run(&self, arguments: &[&str]) -> (i32, Value, Value) {
        let output = self.command(arguments).output().unwrap();
        let code = output.status.code().expect("the process was not killed by a signal");
        (code, last_line(&output, false), last_line(&output, true))
    }

    fn apply(&self, options: &[&str]) -> (i32, Value, Value) {
        let directory = self.directory.to_str().unwrap();
        self.run(&[&["apply", directory], options].concat())
    }

    fn edit(&self, file: &str, from: &str, to: &str) {
        let path = self.directory.join(file);
        let text = fs::read_to_string(&path).unwrap();
        assert!(text.contains(from));
        fs::write(&path, text.replace(from, to)).unwrap();
    }

    fn put(&self, key: &str, value: &Value) {
        let url = format!("{}/v1/objects/{key}", self.platform);
        ureq::put(url).header("If-Match", "0").send(value.to_string()).unwrap();
    }

    fn exists(&self, key: &str) -> bool {
        ureq::get(format!("{}/v1/objects/{key}", self.platform)).call().is_ok()
    }

    fn set_faults(&self, faults: &Value) {
        let url = format!("{}/control/faults", self.platform);
        ureq::post(url).send(faults.to_string()).unwrap();
    }

    fn register(&self, name: &str, address: &str) {
        let value = json!({
            "host": name, "domain": "fi-north", "peer": "127.0.0.1:1", "operator": address,
            "incarnation": 1,
        });
        self.put(&format!("routers/{name}"), &value);
    }
}

fn copy_tree(from: &Path, to: &Path) {
    fs::create_dir_all(to).unwrap();
    for entry in fs::read_dir(from).unwrap() {
        let entry = entry.unwrap();
        let target = to.join(entry.file_name());
        if entry.file_type().unwrap().is_dir() {
            copy_tree(&entry.path(), &target);
        } else {
            fs::copy(entry.path(), target).unwrap();
        }
    }
}

fn last_line(output: &Output, is_stderr: bool) -> Value {
    let bytes = if is_stderr { &output.stderr } else { &output.stdout };
    let text = String::from_utf8_lossy(bytes);
    text.lines().last().and_then(|line| serde_json::from_str(line).ok()).unwrap_or_default()
}

#[test]
fn check_reports_every_fault_with_its_location() {
    let fixture = CliFixture::new("check");
    let directory = fixture.directory.to_str().unwrap().to_owned();
    let (code, result, _) = fixture.run(&["check", &directory]);
    assert_eq!((code, &result["services"]), (0, &json!(4)));
    fixture.edit("lasitaide/guide.toml", "layers = 24", "layers = 0\ncolour = \"red\"");
    fixture.edit("oficina/group.toml", "\"jacinthrock\"", "\"nowhere\"");
    let (code, _, error) = fixture.run(&["check", &directory]);
    assert_eq!(code, 2);
    let faults = error["error"]["faults"].as_array().unwrap();
    let locations: Vec<_> = faults.iter().map(|fault| (&fault["file"], &fault["field"])).collect();
    for location in [
        ("lasitaide/guide.toml", "model.layers"),
        ("lasitaide/guide.toml", "model.colour"),
        ("oficina/group.toml", "parent"),
    ] {
        assert!(locations.iter().any(|found| (*found.0 == location.0) && (*found.1 == location.1)));
    }
}

/// Guards against findings that are lost or end an ordinary check, and against a strict check that
/// passes over them.
#[test]
fn check_reports_findings_and_fails_for_them_in_strict_mode_only() {
    let fixture = CliFixture::new("findings");
    let directory = fixture.directory.to_str().unwrap().to_owned();
    let (code, result, _) = fixture.run(&["check", &directory, "--strict"]);
    assert_eq!((code, &result["findings"]), (0, &json!([])));
    fixture.edit("lasitaide/front-desk.toml", "[\"guide\", \"bookings\"]", "[\"guide\"]");
    let (code, result, _) = fixture.run(&["check", &directory]);
    assert_eq!((code, result["findings"].as_array().unwrap().len()), (0, 1));
    let finding = &result["findings"][0];
    assert_eq!(finding["code"], 6202);
    assert_eq!(
        (&finding["file"], &finding["node"]),
        (&json!("lasitaide/bookings.toml"), &json!("bookings"))
    );
    let (code, strict, error) = fixture.run(&["check", &directory, "--strict"]);
    assert_eq!((code, &strict), (1, &result));
    assert_eq!((&error["error"]["exit"], &error["error"]["code"]), (&json!(1), &json!(6202)));
    let output = fixture.command(&["check", &directory, "--output", "human"]).output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 2, "{text}");
    assert!(lines[0].starts_with("6202 service_uncalled: lasitaide/bookings.toml: node"), "{text}");
    assert!(lines[1].ends_with("no faults, 1 findings"), "{text}");
    // Errors have precedence over findings.
    fixture.edit("lasitaide/guide.toml", "layers = 24", "layers = 0");
    assert_eq!(fixture.run(&["check", &directory, "--strict"]).0, 2);
}

/// Guards against a check that compares with something other than what `plan` compares with.
#[test]
fn check_compares_with_the_configuration_in_force() {
    let fixture = CliFixture::new("in-force");
    let directory = fixture.directory.to_str().unwrap().to_owned();
    let (code, result, _) = fixture.run(&["check", &directory, "--in-force"]);
    assert_eq!((code, &result["in_force"]["base"]), (0, &json!(0)));
    assert_eq!(fixture.apply(&["--wait-ms", "0"]).0, 0);
    let (code, result, _) = fixture.run(&["check", &directory, "--in-force", "--strict"]);
    assert_eq!(
        (code, &result["in_force"]),
        (0, &json!({ "base": 1, "changes": [], "stranded": [] }))
    );
    fixture.edit("lasitaide/guide.toml", "token_gap_ms = 500", "token_gap_ms = 400");
    // A difference is no finding.
    let (code, result, _) = fixture.run(&["check", &directory, "--in-force", "--strict"]);
    assert_eq!((code, result["in_force"]["changes"].as_array().unwrap().len()), (0, 1));
    assert_eq!(result["in_force"], fixture.run(&["plan", &directory]).1);
    let output =
        fixture.command(&["check", &directory, "--in-force", "--output", "human"]).output();
    let text = String::from_utf8(output.unwrap().stdout).unwrap();
    assert!(text.contains("~ guide: settings.token_gap_ms: 500 -> 400\n"), "{text}");
}

/// Guards against a check that needs the platform without being asked to compare, and against
/// findings that are lost when the platform is unavailable.
#[test]
fn check_needs_the_platform_only_to_compare() {
    let fixture = CliFixture::new("offline");
    let directory = fixture.directory.to_str().unwrap().to_owned();
    fixture.edit("lasitaide/front-desk.toml", "[\"guide\", \"bookings\"]", "[\"guide\"]");
    let offline = ["--platform", "http://127.0.0.1:1"];
    let run = |arguments: &[&str]| fixture.run(&[&offline, arguments].concat());
    let (code, expected, _) = run(&["check", &directory]);
    assert_eq!((code, expected["findings"].as_array().unwrap().len()), (0, 1));
    let (code, result, error) = run(&["check", &directory, "--in-force", "--strict"]);
    assert_eq!((code, result), (4, expected));
    assert_eq!(error["error"]["exit"], 4);
}

#[test]
fn usage_errors_have_their_own_exit_code() {
    let fixture = CliFixture::new("usage");
    assert_eq!(fixture.run(&["bogus"]).0, 1);
    assert_eq!(fixture.run(&["status", "--output", "xml"]).0, 1);
    assert_eq!(fixture.run(&["status", "--platform", "10.0.0.1:7000"]).0, 1);
    assert_eq!(fixture.run(&["status", "--platform", "http://127.0.0.1:1"]).0, 4);
    assert_eq!(fixture.run(&["history"]).0, 7);
    let help = fixture.command(&["--help"]).output().unwrap();
    assert!(help.status.success());
    assert!(String::from_utf8_lossy(&help.stdout).contains("waits until it is in force"));
}

#[test]
fn applied_configuration_can_be_inspected() {
    let fixture = CliFixture::new("inspect");
    let directory = fixture.directory.to_str().unwrap().to_owned();
    let (code, plan, _) = fixture.run(&["plan", &directory]);
    assert_eq!((code, &plan["base"]), (0, &json!(0)));
    let (code, result, _) = fixture.apply(&["--message", "first"]);
    assert_eq!((code, &result["changed"]), (0, &json!(true)));
    let revision = result["revision"].clone();
    let (code, result, _) = fixture.apply(&[]);
    assert_eq!((code, &result["changed"], &result["revision"]), (0, &json!(false), &revision));
    let (code, node, _) = fixture.run(&["get", "guide", "--effective"]);
    assert_eq!(code, 0);
    let values = node["values"].as_array().unwrap();
    let deadline = values.iter().find(|value| value["field"] == "deadline_ms").unwrap();
    assert_eq!((&deadline["value"], &deadline["source"]), (&json!(8000), &json!("lasitaide")));
    assert_eq!(fixture.run(&["get", "nobody"]).0, 7);
    let (code, history, _) = fixture.run(&["history"]);
    assert_eq!(code, 0);
    assert_eq!(history["changes"][0]["change"]["author"], "anna");
    assert_eq!(history["changes"][0]["change"]["message"], "first");
}

#[test]
fn stale_base_is_a_conflict_that_names_author_and_fields() {
    let fixture = CliFixture::new("conflict");
    let (_, first, _) = fixture.apply(&[]);
    let base = first["revision"].to_string();
    fixture.edit("lasitaide/guide.toml", "token_gap_ms = 500", "token_gap_ms = 400");
    assert_eq!(fixture.apply(&["--author", "beto", "--base", &base]).0, 0);
    fixture.edit("lasitaide/guide.toml", "token_gap_ms = 400", "token_gap_ms = 300");
    let (code, _, error) = fixture.apply(&["--author", "carla", "--base", &base]);
    assert_eq!(code, 3);
    let change = &error["error"]["changes"][0]["change"];
    assert_eq!(change["author"], "beto");
    assert_eq!(change["fields"], json!(["guide: settings.token_gap_ms"]));
}

#[test]
fn apply_waits_for_hosts_and_names_the_lagging_ones() {
    let fixture = CliFixture::new("hosts");
    let [swift, slow] = [FakeHost::start("swift"), FakeHost::start("slow")];
    fixture.register("swift", &swift.address);
    fixture.register("slow", &slow.address);
    swift.revision.store(1000, Ordering::SeqCst);
    let (code, _, error) = fixture.apply(&["--wait-ms", "900"]);
    assert_eq!((code, &error["error"]["lagging"]), (5, &json!(["slow"])));
    let (_, status, _) = fixture.run(&["status"]);
    assert_eq!(status["hosts"][0]["lagging"], true);
    slow.revision.store(1000, Ordering::SeqCst);
    let (code, result, _) = fixture.apply(&["--wait-ms", "5000"]);
    assert_eq!((code, &result["hosts"]), (0, &json!(2)));
}

#[test]
fn lost_reply_is_resolved_and_outage_changes_nothing() {
    let fixture = CliFixture::new("faults");
    fixture.set_faults(&json!({ "lose_replies": 1 }));
    let (code, result, _) = fixture.apply(&[]);
    assert_eq!((code, &result["revision"]), (0, &json!(1)));
    fixture.edit("lasitaide/guide.toml", "token_gap_ms = 500", "token_gap_ms = 400");
    fixture.set_faults(&json!({ "down": true }));
    assert_eq!(fixture.apply(&[]).0, 4);
    fixture.set_faults(&json!({}));
    let (_, history, _) = fixture.run(&["history"]);
    assert_eq!(history["changes"].as_array().unwrap().len(), 1);
}

#[test]
fn drain_writes_drain_marks_and_calls_hosts() {
    let fixture = CliFixture::new("drain");
    let host = FakeHost::start("router-1");
    host.revision.store(1000, Ordering::SeqCst);
    fixture.register("router-1", &host.address);
    fixture.register("router-2", "127.0.0.1:1");
    assert_eq!(fixture.apply(&["--wait-ms", "0"]).0, 0);
    assert_eq!(fixture.run(&["drain", "guide-1"]).0, 0);
    assert_eq!(fixture.run(&["drain", "guide-1"]).0, 0);
    assert!(fixture.exists("drain/guide-1"));
    assert_eq!(fixture.run(&["drain", "guide-1", "--undo"]).0, 0);
    assert!(!fixture.exists("drain/guide-1"));
    fixture.put("drain/guide-2", &json!({ "by": "controller" }));
    assert_eq!(fixture.run(&["drain", "guide-2", "--undo"]).0, 1);
    assert_eq!(fixture.run(&["drain", "guide-2"]).0, 0);
    assert_eq!(
        fixture.run(&["drain", "guide-2", "--undo"]).0,
        0,
        "the operator's drain mark replaces the controller's"
    );
    assert_eq!(fixture.run(&["drain", "router-1"]).0, 0);
    assert!(host.drained.load(Ordering::SeqCst));
    assert_eq!(fixture.run(&["drain", "router-1", "--undo"]).0, 1);
    assert_eq!(fixture.run(&["drain", "router-2"]).0, 8);
    assert_eq!(fixture.run(&["drain", "nobody"]).0, 7);
    assert_eq!(fixture.run(&["forget", "router-1"]).0, 1);
    assert_eq!(fixture.run(&["forget", "router-2"]).0, 0);
    assert!(!fixture.exists("routers/router-2"));
}

#[test]
fn closed_stdout_is_not_an_error() {
    let fixture = CliFixture::new("pipe");
    assert_eq!(fixture.apply(&[]).0, 0);
    let mut child = fixture
        .command(&["history"])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    drop(child.stdout.take());
    let output = child.wait_with_output().unwrap();
    assert_eq!((output.status.code(), output.stderr.len()), (Some(0), 0));
}
