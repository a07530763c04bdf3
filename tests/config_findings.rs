//! Findings on valid declaration trees. Each test guards against a finding that is missed, and
//! against one that is reported on an entry that has an effect.

use jacinthrock::{BudgetOptions, ConfigFinding, DeclarationTree, ResultCode, RetryBudget};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::time::Duration;
use tokio::time::Instant;

/// Files of a tree by name. The tree has no findings until a test edits it.
struct TreeFiles(BTreeMap<&'static str, String>);

const ROOT: &str = r#"
name = "root"
kind = "group"

[settings]
deadline_ms = 20000
max_tokens = 1000
requests_per_second = 50
concurrent_requests = 32
queue_length = 100

[[links]]
between = ["north", "south"]
latency_us = 250
megabits = 1000
"#;

const GUIDE: &str = r#"
name = "guide"
kind = "service"
parent = "root"

[settings]
token_gap_ms = 500

[model]
name = "guide-model"
version = "1"
layers = 24
stages = 2
endpoint_slots = 16
endpoints = [
    { name = "guide-1", address = "10.0.0.1:7000", domain = "north" },
    { name = "guide-2", address = "10.0.0.2:7000", domain = "south" },
]
"#;

const BOOKINGS: &str = r#"
name = "bookings"
kind = "service"
parent = "root"

[settings]
deadline_ms = 2000

[plain]
prefix = "/bookings"
endpoint_slots = 16
operations = [
    { method = "GET", path = "/rooms", idempotent = true },
    { method = "POST", path = "/*", idempotent = false },
    { method = "GET", path = "/*", idempotent = true },
]
endpoints = [
    { name = "bookings-1", address = "10.0.0.3:7000", domain = "north" },
    { name = "bookings-2", address = "10.0.0.4:7000", domain = "south" },
]
"#;

const DESK: &str = r#"
name = "desk"
kind = "customer"
parent = "root"

[settings]
requests_per_second = 50
share = 2

[customer]
key_hashes = ["3e3a02ebb9fce7dc122bcd01805b983c9308e16d487d248c7ee860845eeaefae"]
services = ["guide", "bookings"]
"#;

impl TreeFiles {
    fn clean() -> Self {
        let files = [("root", ROOT), ("guide", GUIDE), ("bookings", BOOKINGS), ("desk", DESK)];
        Self(files.map(|(file, text)| (file, text.to_owned())).into())
    }

    fn edit(mut self, file: &'static str, from: &str, to: &str) -> Self {
        let text = self.0.get_mut(file).expect("the file is in the tree");
        assert!(text.contains(from), "{from:?} is not in {file}");
        *text = text.replacen(from, to, 1);
        self
    }

    fn add(mut self, file: &'static str, text: impl Into<String>) -> Self {
        self.0.insert(file, text.into());
        self
    }

    fn findings(&self) -> Vec<ConfigFinding> {
        let files = self.0.iter().map(|(file, text)| (*file, &**text));
        let tree = DeclarationTree::from_files(files).expect("the tree is readable");
        findings_of(&tree)
    }

    #[track_caller]
    fn assert_clean(&self) {
        assert_eq!(self.findings(), []);
    }

    /// Asserts that there is one finding, and returns it with its problem and remedy.
    #[track_caller]
    fn assert_finding(&self, code: ResultCode, file: &str, field: &str) -> String {
        let findings = self.findings();
        let [finding] = &findings[..] else { panic!("expected one finding: {findings:#?}") };
        // Each file of the tree is named like its node.
        let found = (finding.code, &*finding.file, &*finding.node, &*finding.field);
        assert_eq!(found, (code, file, file, field));
        let line = finding.to_string();
        let start = format!("{} {}: {file}: ", code.number(), code.name());
        assert!(line.starts_with(&start) && !line.contains('\n'), "{line}");
        assert!(!finding.problem.is_empty() && !finding.remedy.is_empty());
        line
    }
}

fn findings_of(tree: &DeclarationTree) -> Vec<ConfigFinding> {
    ConfigFinding::find_all(tree, &tree.resolve(1).expect("the tree is valid"))
}

#[test]
fn clean_configuration_has_no_findings() {
    TreeFiles::clean().assert_clean();
}

#[test]
fn sample_tree_has_no_findings() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/tree");
    let tree = DeclarationTree::from_directory(directory).expect("the sample tree is readable");
    assert_eq!(findings_of(&tree), []);
}

#[test]
fn operation_after_a_wider_one_is_shadowed() {
    let files = TreeFiles::clean().edit("bookings", r#""/rooms""#, r#""/*""#).edit(
        "bookings",
        r#"{ method = "GET", path = "/*", idempotent = true },
]"#,
        r#"{ method = "GET", path = "/rooms/*", idempotent = false },
]"#,
    );
    let field = "plain.operations[2]";
    let line = files.assert_finding(ResultCode::OperationShadowed, "bookings", field);
    assert!(line.contains("GET /rooms/* never matches, as GET /* before it matches first"));
    assert!(line.ends_with("move it before GET /* or remove it"), "{line}");
}

#[test]
fn operation_below_the_prefix_of_another_service_is_shadowed() {
    let rooms = BOOKINGS.replace("bookings", "rooms").replace("10.0.0", "10.0.1");
    let rooms = rooms.replace("prefix = \"/rooms\"", "prefix = \"/bookings/rooms\"");
    let files = TreeFiles::clean().add("rooms", rooms).edit(
        "desk",
        r#""bookings"]"#,
        r#""bookings", "rooms"]"#,
    );
    let field = "plain.operations[0]";
    let line = files.assert_finding(ResultCode::OperationShadowed, "bookings", field);
    assert!(line.contains("\"rooms\" serves all below /bookings/rooms"), "{line}");
    // A path that only begins like the other prefix belongs to this service.
    files.edit("bookings", r#""/rooms""#, r#""/rooms-free""#).assert_clean();
}

#[test]
fn service_that_no_customer_may_call_is_reported() {
    let files = TreeFiles::clean().edit("desk", r#"["guide", "bookings"]"#, r#"["guide"]"#);
    files.assert_finding(ResultCode::ServiceUncalled, "bookings", "");
}

#[test]
fn customer_without_a_key_is_reported() {
    let hash = "\"3e3a02ebb9fce7dc122bcd01805b983c9308e16d487d248c7ee860845eeaefae\"";
    let files = TreeFiles::clean().edit("desk", hash, "");
    files.assert_finding(ResultCode::CustomerWithoutKey, "desk", "customer.key_hashes");
}

#[test]
fn customer_without_a_service_is_reported() {
    let kiosk = DESK.replace("desk", "kiosk").replace("3e3a", "3e3b");
    let kiosk = kiosk.replace(r#""guide", "bookings""#, "");
    let files = TreeFiles::clean().add("kiosk", kiosk);
    files.assert_finding(ResultCode::CustomerWithoutService, "kiosk", "customer.services");
}

#[test]
fn group_without_services_and_customers_is_reported() {
    let group = |name: &str, parent: &str| {
        format!("name = \"{name}\"\nkind = \"group\"\nparent = \"{parent}\"\n")
    };
    let files = TreeFiles::clean().add("north", group("north", "root"));
    files.assert_finding(ResultCode::GroupEmpty, "north", "");
    let files = files.edit("desk", "\"root\"", "\"north\"");
    files.assert_clean();
    let codes: Vec<_> = files
        .add("east", group("east", "root"))
        .add("east-1", group("east-1", "east"))
        .findings()
        .into_iter()
        .map(|finding| (finding.code, finding.node))
        .collect();
    let expected = ["east", "east-1"].map(|node| (ResultCode::GroupEmpty, node.into()));
    assert_eq!(codes, expected);
}

#[test]
fn settings_without_effect_are_reported() {
    let code = ResultCode::SettingUnused;
    // A limit without effect that is also above the parent's is reported once.
    let cases = [
        ("guide", "[settings]", "share = 2", "settings.share"),
        ("guide", "[settings]", "requests_per_second = 500", "settings.requests_per_second"),
        ("guide", "[settings]", "concurrent_requests = 5", "settings.concurrent_requests"),
        ("bookings", "[settings]", "token_gap_ms = 500", "settings.token_gap_ms"),
        ("bookings", "[settings]", "max_tokens = 5000", "settings.max_tokens"),
        ("desk", "[settings]", "deadline_ms = 500", "settings.deadline_ms"),
        ("desk", "[settings]", "queue_length = 5", "settings.queue_length"),
        ("desk", "[settings]", "priority = \"batch\"", "settings.priority"),
    ];
    for (file, after, setting, field) in cases {
        let files = TreeFiles::clean().edit(file, after, &format!("{after}\n{setting}"));
        files.assert_finding(code, file, field);
    }
    let group = "name = \"north\"\nkind = \"group\"\nparent = \"root\"\n[settings]\nshare = 2\n";
    let files = TreeFiles::clean().add("north", group);
    let files = files.edit("bookings", "parent = \"root\"", "parent = \"north\"");
    let line = files.assert_finding(code, "north", "settings.share");
    assert!(line.ends_with("remove it, as no customer is below the group"), "{line}");
    files.edit("desk", "\"root\"", "\"north\"").assert_clean();
}

#[test]
fn link_that_no_chain_can_use_is_reported() {
    let code = ResultCode::LinkUnused;
    let west = "domain = \"west\" },\n]";
    let files = TreeFiles::clean().edit("bookings", "domain = \"south\" },\n]", west);
    let files = files.edit("root", "\"south\"", "\"west\"");
    let line = files.assert_finding(code, "root", "links[0].between");
    assert!(line.contains("no model service has stages at endpoints in \"north\" and \"west\""));
    files.edit("guide", "\"south\"", "\"west\"").assert_clean();
    // One endpoint sends no tokens to another one of its domain.
    let within = TreeFiles::clean().edit("root", "\"south\"", "\"north\"");
    within.assert_finding(code, "root", "links[0].between");
    within.edit("guide", "\"south\"", "\"north\"").assert_clean();
    let files = TreeFiles::clean().edit("guide", "stages = 2", "stages = 1");
    files.assert_finding(code, "root", "links[0].between");
}

#[test]
fn deadline_below_the_token_gap_is_reported() {
    let code = ResultCode::DeadlineBelowGap;
    let files = TreeFiles::clean().edit("guide", "= 500", "= 500\ndeadline_ms = 499");
    let line = files.assert_finding(code, "guide", "settings.deadline_ms");
    assert!(line.contains("deadline_ms = 499 (guide) is below token_gap_ms = 500 (guide)"));
    files.edit("guide", "= 499", "= 500").assert_clean();
    // Both values are inherited, one of them from the defaults.
    let files = TreeFiles::clean()
        .edit("root", "deadline_ms = 20000", "deadline_ms = 1999")
        .edit("bookings", "deadline_ms = 2000", "deadline_ms = 1000")
        .edit("guide", "token_gap_ms = 500", "");
    let line = files.assert_finding(code, "guide", "settings.deadline_ms");
    assert!(line.contains("deadline_ms = 1999 (root) is below token_gap_ms = 2000 (default)"));
}

#[test]
fn limits_above_those_of_the_parent_are_reported() {
    let code = ResultCode::LimitAboveParent;
    let cases = [
        ("guide", "max_tokens", 1000),
        ("guide", "queue_length", 100),
        ("guide", "deadline_ms", 20_000),
        ("desk", "concurrent_requests", 32),
        ("desk", "requests_per_second", 50),
    ];
    for (file, setting, limit) in cases {
        let with_limit = |limit: u64| {
            let files = TreeFiles::clean().edit("desk", "requests_per_second = 50\n", "");
            files.edit(file, "[settings]", &format!("[settings]\n{setting} = {limit}"))
        };
        let files = with_limit(limit + 1);
        let line = files.assert_finding(code, file, &format!("settings.{setting}"));
        assert!(line.contains(&format!("{} is above {setting} = {limit} (root)", limit + 1)));
        with_limit(limit).assert_clean();
    }
    let files = TreeFiles::clean().edit("root", "[settings]", "[settings]\ntoken_gap_ms = 499");
    files.assert_finding(code, "guide", "settings.token_gap_ms");
}

#[test]
fn limit_is_compared_with_the_nearest_ancestor_that_sets_it() {
    let group = "name = \"north\"\nkind = \"group\"\nparent = \"root\"\n";
    let files = TreeFiles::clean().add("north", group);
    let files = files.edit("desk", "\"root\"", "\"north\"").edit("desk", "= 50", "= 51");
    let field = "settings.requests_per_second";
    let line = files.assert_finding(ResultCode::LimitAboveParent, "desk", field);
    assert!(line.contains("(root)"), "{line}");
    let files = files
        .edit("desk", "= 51", "= 41")
        .add("north", format!("{group}settings = {{ requests_per_second = 40 }}\n"));
    let line = files.assert_finding(ResultCode::LimitAboveParent, "desk", field);
    assert!(line.contains("(north)"), "{line}");
    // A value above a default, which no operator has chosen, is no contradiction.
    let files = TreeFiles::clean().edit("desk", "= 50", "= 500");
    files.edit("root", "requests_per_second = 50\n", "").assert_clean();
}

#[test]
fn more_retries_than_the_budget_allows_are_reported() {
    // A host allows 3 + 0.1 x 20 = 5 retries in 10 s at 2 requests a second.
    let mut budget = RetryBudget::new(BudgetOptions::default());
    let start = Instant::now();
    let seconds = (0..10).map(|second| start + Duration::from_secs(second));
    for now in seconds.flat_map(|now| [now; 2]) {
        budget.record_first(now, "desk", "bookings");
    }
    let end = start + Duration::from_secs(9);
    assert_eq!((0..100).filter(|_| budget.allow(end, "desk", "bookings")).count(), 5);
    let with_endpoints = |count: u16| {
        let endpoints: String = (3..=count)
            .map(|index| {
                let port = 7000 + index;
                format!(
                    "    {{ name = \"bookings-{index}\", address = \"10.0.0.4:{port}\", \
                     domain = \"south\" }},\n"
                )
            })
            .collect();
        TreeFiles::clean()
            .edit("bookings", "endpoints = [\n", &format!("endpoints = [\n{endpoints}"))
            .edit("desk", "requests_per_second = 50", "requests_per_second = 2")
    };
    with_endpoints(6).assert_clean();
    let files = with_endpoints(7);
    let field = "customer.services[1]";
    let line = files.assert_finding(ResultCode::RetriesAboveBudget, "desk", field);
    assert!(line.contains("may need 6 retries"), "{line}");
    assert!(line.contains("at 2 requests_per_second a host allows 5 in 10 s"), "{line}");
    files.edit("desk", "requests_per_second = 2", "requests_per_second = 3").assert_clean();
}

/// Operation of service 0 or 1 that gets a call, by the rules of the router: the service with the
/// longest prefix, then its first operation that matches.
fn operation_of(path: &str, services: &[(&str, Vec<String>); 2]) -> Option<(usize, usize)> {
    let below = |prefix: &str| {
        let rest = path.strip_prefix(prefix)?;
        match rest.chars().next() {
            None => Some("/"),
            Some('/') => Some(rest),
            Some(_) => None,
        }
    };
    let matching = (0..2).filter_map(|index| Some((index, below(services[index].0)?)));
    let (index, rest) = matching.max_by_key(|(index, _)| services[*index].0.len())?;
    let matches = |pattern: &String| match pattern.strip_suffix('*') {
        Some(start) => rest.starts_with(start),
        None => rest == pattern,
    };
    Some((index, services[index].1.iter().position(matches)?))
}

/// Every path of up to `length` characters after `/a`. `d` is in no pattern.
fn paths_below(length: usize) -> Vec<String> {
    let mut paths = vec!["/a".to_owned()];
    let mut last = paths.clone();
    for _ in 0..length {
        last = last
            .iter()
            .flat_map(|path| ["/", "b", "d"].map(|next| format!("{path}{next}")))
            .collect();
        paths.extend(last.iter().cloned());
    }
    paths
}

proptest! {
    #![proptest_config(Config {
        cases: 128,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against a shadowed operation that is missed, and against one that gets calls: every
    /// short path is routed by a reference.
    #[test]
    fn shadowed_operations_are_those_that_get_no_call(
        outer in proptest::collection::btree_set("/[/b]{0,3}\\*?", 1..6),
        inner in proptest::collection::btree_set("/[/b]{0,2}\\*?", 1..4),
        reversed in any::<bool>(),
    ) {
        let in_order = |patterns: BTreeSet<String>| -> Vec<String> {
            if reversed { patterns.into_iter().rev().collect() } else { patterns.into_iter().collect() }
        };
        let services = [("/a", in_order(outer)), ("/a/b", in_order(inner))];
        let file = |index: usize| {
            let (prefix, patterns) = &services[index];
            let operations: String = patterns
                .iter()
                .map(|path| format!("{{ method = \"GET\", path = \"{path}\", idempotent = true }},"))
                .collect();
            format!(
                "name = \"s{index}\"\nkind = \"service\"\nparent = \"root\"\n[plain]\n\
                 prefix = \"{prefix}\"\nendpoint_slots = 1\noperations = [{operations}]\n\
                 endpoints = [{{ name = \"e{index}\", address = \"10.0.0.1:{}\", domain = \"d\" }}]\n",
                7000 + index
            )
        };
        let [outer, inner] = [file(0), file(1)];
        let files = [("root", "name = \"root\"\nkind = \"group\""), ("s0", &*outer), ("s1", &*inner)];
        let tree = DeclarationTree::from_files(files).expect("the tree is readable");
        let found: Vec<(String, String)> = findings_of(&tree)
            .into_iter()
            .filter(|finding| finding.code == ResultCode::OperationShadowed)
            .map(|finding| (finding.node.into(), finding.field.into()))
            .collect();
        let called: BTreeSet<_> =
            paths_below(7).iter().filter_map(|path| operation_of(path, &services)).collect();
        let mut expected = Vec::new();
        for (service, (_, patterns)) in services.iter().enumerate() {
            for index in (0..patterns.len()).filter(|index| !called.contains(&(service, *index))) {
                expected.push((format!("s{service}"), format!("plain.operations[{index}]")));
            }
        }
        prop_assert_eq!(found, expected);
    }

    /// Guards against a panic on trees that are valid but unusual.
    #[test]
    fn findings_on_mutated_trees_never_panic(
        position in 0usize..1000,
        removed in 0usize..20,
        inserted in "[\\[\\]{}=\"a-z0-9.\\n -]{0,6}",
    ) {
        for file in ["root", "guide", "bookings", "desk"] {
            let mut files = TreeFiles::clean();
            let text = files.0.get_mut(file).expect("the file is in the tree");
            let start = position % text.len();
            let end = (start + removed).min(text.len());
            text.replace_range(start..end, &inserted);
            let files = files.0.iter().map(|(file, text)| (*file, &**text));
            if let Ok(tree) = DeclarationTree::from_files(files)
                && let Ok(config) = tree.resolve(1)
            {
                let _ = ConfigFinding::find_all(&tree, &config);
            }
        }
    }
}
