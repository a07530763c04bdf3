//! Declaration trees: rejected input, locations of reported errors, and inheritance.

use jacinthrock::{
    DeclarationError, DeclarationTree, PriorityClass, ResultCode, ServiceTarget, declaration_fields,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::time::Duration;

fn sample_directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/tree")
}

fn sample_tree() -> DeclarationTree {
    DeclarationTree::from_directory(sample_directory()).expect("the sample tree is readable")
}

const ROOT: &str = "name = \"root\"\nkind = \"group\"\n[settings]\ndeadline_ms = 5000\n";

fn plain_service(name: &str, port: u16) -> String {
    format!(
        "name = \"{name}\"\nkind = \"service\"\nparent = \"root\"\n[plain]\nprefix = \"/{name}\"\n\
         endpoint_slots = 4\n[[plain.endpoints]]\nname = \"{name}-1\"\n\
         address = \"10.0.0.1:{port}\"\ndomain = \"north\"\n"
    )
}

fn errors_of(files: &[(&str, &str)]) -> Vec<DeclarationError> {
    let tree = match DeclarationTree::from_files(files.iter().copied()) {
        Ok(tree) => tree,
        Err(errors) => return errors,
    };
    tree.resolve(1).expect_err("the tree is invalid")
}

fn assert_reported(files: &[(&str, &str)], code: ResultCode, file: &str, node: &str, field: &str) {
    let errors = errors_of(files);
    let found = errors.iter().any(|error| {
        (error.code, &*error.file, &*error.node, &*error.field) == (code, file, node, field)
    });
    assert!(found, "{code:?} at {file} {node} {field} not in {errors:#?}");
}

#[test]
fn sample_tree_resolves_with_inheritance() {
    let config = sample_tree().resolve(7).expect("the sample tree is valid");
    assert_eq!(config.revision, 7);
    let guide = &config.services["guide"];
    assert_eq!(guide.priority, PriorityClass::Guidance);
    assert_eq!(guide.deadline, Duration::from_secs(8));
    assert_eq!(guide.token_gap, Duration::from_millis(500));
    assert_eq!(guide.max_tokens, 512);
    assert!(matches!(&guide.target, ServiceTarget::Model(model) if model.endpoints.len() == 4));
    assert_eq!(config.services["registry"].deadline, Duration::from_secs(10));
    assert_eq!(config.services["registry"].max_tokens, 2048);
    assert_eq!(config.customers["kiln-phones"].share, 4);
    assert_eq!(config.customers["front-desk"].share, 1);
    assert_eq!(config.links.len(), 6);
}

#[test]
fn every_setting_is_inherited_and_can_be_overridden() {
    let settings: Vec<_> = declaration_fields()
        .into_iter()
        .filter(|field| field.path.starts_with("settings."))
        .collect();
    assert_eq!(settings.len(), 8);
    for field in settings {
        let name = field.path.trim_start_matches("settings.");
        let [inherited, own] =
            if name == "priority" { ["\"batch\"", "\"guidance\""] } else { ["7", "9"] };
        let root = format!("name = \"root\"\nkind = \"group\"\n[settings]\n{name} = {inherited}\n");
        let inherits = plain_service("inherits", 1000);
        let overrides =
            format!("{}\n[settings]\n{name} = {own}\n", plain_service("overrides", 1001));
        let files = [("root", &*root), ("inherits", &*inherits), ("overrides", &*overrides)];
        let tree = DeclarationTree::from_files(files).expect("the tree is readable");
        tree.resolve(1).expect("the tree is valid");
        for (node, value, source) in
            [("inherits", inherited, "root"), ("overrides", own, "overrides")]
        {
            let values = tree.effective_with_sources(node).expect("the node exists");
            let found =
                values.iter().find(|value| &*value.field == name).expect("the setting is resolved");
            assert_eq!((found.value.to_string().as_str(), &*found.source), (value, source));
        }
    }
}

#[test]
fn unset_settings_come_from_the_documented_defaults() {
    let service = plain_service("lookup", 1000);
    let files = [("root", "name = \"root\"\nkind = \"group\""), ("lookup", &*service)];
    let tree = DeclarationTree::from_files(files).expect("the tree is readable");
    let values = tree.effective_with_sources("lookup").expect("the node exists");
    for field in declaration_fields().iter().filter(|field| field.path.starts_with("settings.")) {
        let name = field.path.trim_start_matches("settings.");
        let found =
            values.iter().find(|value| &*value.field == name).expect("the setting is resolved");
        assert_eq!(found.value.to_string().trim_matches('"'), &*field.default);
        assert_eq!(&*found.source, "default");
    }
    tree.resolve(1).expect("defaults are within their ranges");
}

#[test]
fn document_round_trip_keeps_the_tree() {
    let tree = sample_tree();
    let read =
        DeclarationTree::from_document(&tree.to_document()).expect("the document is readable");
    assert_eq!(read.to_document(), tree.to_document());
    assert_eq!(read.resolve(3), tree.resolve(3));
}

#[test]
fn errors_name_their_file_node_and_field() {
    use ResultCode as Code;
    let service = plain_service("lookup", 1000);
    let append = |text: &str| format!("{service}{text}");
    let replace = |from: &str, to: &str| service.replacen(from, to, 1);
    let cases: &[(String, Code, &str)] = &[
        ("name = \"lookup".into(), Code::DeclarationSyntax, ""),
        (append("colour = \"red\"\n"), Code::DeclarationUnknownField, "plain.endpoints[0].colour"),
        (append("[settings]\nspeed = 3\n"), Code::DeclarationUnknownField, "settings.speed"),
        (replace("root", "nowhere"), Code::DeclarationDangling, "parent"),
        (replace("\"root\"", "\"lookup\""), Code::DeclarationRange, "parent"),
        (replace("\"root\"", "7"), Code::DeclarationSyntax, "parent"),
        (replace("service", "servant"), Code::DeclarationRange, "kind"),
        (replace("/lookup", "lookup"), Code::DeclarationRange, "plain.prefix"),
        (replace("/lookup", "/v1/chat"), Code::DeclarationRange, "plain.prefix"),
        (replace("10.0.0.1:1000", "host:1000"), Code::DeclarationRange, "plain.endpoints[0].address"),
        (replace("10.0.0.1:1000", "10.0.0.1"), Code::DeclarationRange, "plain.endpoints[0].address"),
        (replace("10.0.0.1:1000", "10.0.0.1:0"), Code::DeclarationRange, "plain.endpoints[0].address"),
        (replace("endpoint_slots = 4", "endpoint_slots = 0"), Code::DeclarationRange, "plain.endpoint_slots"),
        (replace("endpoint_slots = 4", "endpoint_slots = -1"), Code::DeclarationRange, "plain.endpoint_slots"),
        (replace("endpoint_slots = 4", "endpoint_slots = 1.5"), Code::DeclarationSyntax, "plain.endpoint_slots"),
        (replace("endpoint_slots = 4", ""), Code::DeclarationIncomplete, "plain.endpoint_slots"),
        (append("[settings]\ndeadline_ms = 0\n"), Code::DeclarationRange, "settings.deadline_ms"),
        (append("[settings]\ndeadline_ms = 86400001\n"), Code::DeclarationRange, "settings.deadline_ms"),
        (append("[settings]\ndeadline_ms = 2020-01-01\n"), Code::DeclarationSyntax, "settings.deadline_ms"),
        (append("[customer]\nkey_hashes = []\nservices = []\n"), Code::DeclarationRange, "customer"),
        (append("[[links]]\nbetween = [\"north\", \"north\"]\nlatency_us = 1\nmegabits = 1\n"), Code::DeclarationRange, "links"),
        ("name = \"lookup\"\nkind = \"service\"\nparent = \"root\"\n".into(), Code::DeclarationIncomplete, "model"),
        ("name = \"lookup\"\nkind = \"customer\"\nparent = \"root\"\n".into(), Code::DeclarationIncomplete, "customer"),
        ("name = \"lookup\"\nkind = \"service\"\nparent = \"root\"\n[plain]\nprefix = \"/a\"\nendpoint_slots = 1\nendpoints = []\n".into(), Code::DeclarationIncomplete, "plain.endpoints"),
        ("name = \"lookup\"\nkind = \"customer\"\nparent = \"root\"\n[customer]\nkey_hashes = [\"XY\"]\nservices = []\n".into(), Code::DeclarationRange, "customer.key_hashes[0]"),
        ("name = \"lookup\"\nkind = \"customer\"\nparent = \"root\"\n[customer]\nkey_hashes = []\nservices = [\"gone\"]\n".into(), Code::DeclarationDangling, "customer.services[0]"),
    ];
    for (text, code, field) in cases {
        let node = if *code == Code::DeclarationSyntax && field.is_empty() { "" } else { "lookup" };
        assert_reported(&[("root", ROOT), ("sub/lookup", text)], *code, "sub/lookup", node, field);
    }
}

#[test]
fn model_stages_need_layers_and_endpoints() {
    let text = "name = \"guide\"\nkind = \"service\"\nparent = \"root\"\n[model]\nname = \"m\"\n\
                version = \"1\"\nlayers = 2\nstages = 3\nendpoint_slots = 1\nendpoints = []\n";
    let files = [("root", ROOT), ("guide", text)];
    assert_reported(&files, ResultCode::DeclarationRange, "guide", "guide", "model.stages");
    assert_reported(&files, ResultCode::DeclarationIncomplete, "guide", "guide", "model.endpoints");
}

#[test]
fn duplicates_are_reported_across_files() {
    let first = plain_service("lookup", 1000);
    let again =
        plain_service("again", 1000).replace("again-1", "lookup-1").replace("/again", "/lookup");
    let files = [("root", ROOT), ("a", &*first), ("b", &*again), ("c", &*first)];
    let code = ResultCode::DeclarationDuplicate;
    assert_reported(&files, code, "c", "lookup", "name");
    for field in ["plain.endpoints[0].name", "plain.endpoints[0].address", "plain.prefix"] {
        assert_reported(&files, code, "a", "lookup", field);
    }
    let hash = "ab".repeat(32);
    let customer = |name: &str| {
        format!(
            "name = \"{name}\"\nkind = \"customer\"\nparent = \"root\"\n[customer]\nkey_hashes = [\"{hash}\"]\nservices = []\n"
        )
    };
    let files = [("root", ROOT), ("x", &*customer("x")), ("y", &*customer("y"))];
    assert_reported(&files, code, "y", "y", "customer.key_hashes[0]");
}

#[test]
fn cycles_and_missing_roots_are_reported() {
    let group = |name: &str, parent: &str| {
        format!("name = \"{name}\"\nkind = \"group\"\nparent = \"{parent}\"\n")
    };
    let files = [("a", &*group("a", "b")), ("b", &*group("b", "c")), ("c", &*group("c", "a"))];
    for node in ["a", "b", "c"] {
        assert_reported(&files, ResultCode::DeclarationCycle, node, node, "parent");
    }
    assert_reported(&files, ResultCode::DeclarationIncomplete, ".", "", "parent");
    assert_reported(&[], ResultCode::DeclarationIncomplete, ".", "", "parent");
    let files = [("a", ROOT), ("b", "name = \"second\"\nkind = \"group\"\n")];
    assert_reported(&files, ResultCode::DeclarationDuplicate, "b", "second", "parent");
}

#[test]
fn links_to_unknown_domains_and_duplicate_links_are_reported() {
    let link = |left: &str, right: &str| {
        format!("[[links]]\nbetween = [\"{left}\", \"{right}\"]\nlatency_us = 1\nmegabits = 1\n")
    };
    let root = format!(
        "name = \"root\"\nkind = \"group\"\n{}{}",
        link("north", "mars"),
        link("mars", "north")
    );
    let service = plain_service("lookup", 1000);
    let files = [("root", &*root), ("lookup", &*service)];
    assert_reported(&files, ResultCode::DeclarationDangling, "root", "root", "links[0].between");
    assert_reported(&files, ResultCode::DeclarationDuplicate, "root", "root", "links[1].between");
}

#[test]
fn all_errors_are_reported_together() {
    let broken = plain_service("broken", 1000).replace("/broken", "broken").replace("= 4", "= 0");
    let child = plain_service("child", 1001).replace("\"root\"", "\"nowhere\"");
    let user = "name = \"user\"\nkind = \"customer\"\nparent = \"root\"\n[customer]\nkey_hashes = []\nservices = [\"broken\"]\n";
    let errors = errors_of(&[("root", ROOT), ("b", &broken), ("c", &child), ("u", user)]);
    let locations: Vec<_> = errors.iter().map(|error| (&*error.file, &*error.field)).collect();
    let expected = [("c", "parent"), ("b", "plain.endpoint_slots"), ("b", "plain.prefix")];
    assert_eq!(locations.iter().collect::<BTreeSet<_>>(), expected.iter().collect::<BTreeSet<_>>());
}

#[test]
fn oversized_tree_is_rejected() {
    let customer = |index: usize| {
        let hashes: Vec<String> =
            (0..100).map(|key| format!("{:064x}", index * 100 + key)).collect();
        format!(
            "name = \"customer-{index}\"\nkind = \"customer\"\nparent = \"root\"\n[customer]\n\
             key_hashes = {hashes:?}\nservices = []\n"
        )
    };
    let texts: Vec<String> = (0..130).map(customer).collect();
    let files = std::iter::once(("root", ROOT)).chain(texts.iter().map(|text| ("file", &**text)));
    let errors =
        DeclarationTree::from_files(files).expect_err("130 customers of 6.7 KB exceed the limit");
    assert_eq!((errors.len(), errors[0].code), (1, ResultCode::DeclarationRange));
    assert!(errors[0].problem.contains("bytes as JSON"));
}

#[test]
fn unreadable_directory_is_reported_with_its_result_code() {
    let errors = DeclarationTree::from_directory("/no/such/place")
        .expect_err("the directory does not exist");
    assert_eq!(errors[0].code, ResultCode::DeclarationUnreadable);
    assert!(errors[0].to_string().starts_with("6008 declaration_unreadable"));
}

fn fuzz_config() -> Config {
    Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(fuzz_config())]

    #[test]
    fn arbitrary_text_never_panics(text in "\\PC{0,400}") {
        if let Ok(tree) = DeclarationTree::from_files([("fuzz", &*text)]) {
            let _ = tree.resolve(1);
        }
    }

    #[test]
    fn mutated_declarations_never_panic(
        position in 0usize..2000,
        removed in 0usize..40,
        inserted in "[\\[\\]{}=\"a-z0-9.\\n -]{0,12}",
    ) {
        let files = [
            std::fs::read_to_string(sample_directory().join("root.toml")).expect("the file is readable"),
            std::fs::read_to_string(sample_directory().join("lasitaide/bookings.toml")).expect("the file is readable"),
        ];
        for text in files {
            let start = position % text.len();
            let end = (start + removed).min(text.len());
            if text.is_char_boundary(start) && text.is_char_boundary(end) {
                let mutated = format!("{}{inserted}{}", &text[..start], &text[end..]);
                if let Ok(tree) = DeclarationTree::from_files([("fuzz", &*mutated)]) {
                    let _ = tree.resolve(1);
                    let _ = tree.effective_with_sources("bookings");
                }
            }
        }
    }

    #[test]
    fn arbitrary_documents_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = jacinthrock::RootDocument::decode(&bytes);
    }

    #[test]
    fn mutated_root_objects_never_panic(
        position in 0usize..20_000,
        removed in 0usize..20,
        inserted in "[\\[\\]{}:,\"a-z0-9.-]{0,8}",
    ) {
        let tree = sample_tree();
        let document = jacinthrock::RootDocument::first(&tree, jacinthrock::ChangeRecord::default());
        let text = String::from_utf8(document.encode().into()).expect("JSON is text");
        let start = position % text.len();
        let end = (start + removed).min(text.len());
        let mutated = format!("{}{inserted}{}", &text[..start], &text[end..]);
        let unchanged = mutated == text;
        let result = jacinthrock::resolve_value(1, mutated.as_bytes());
        prop_assert!(unchanged || result.is_err() || start < text.find("\"tree\"").unwrap_or(0));
    }

    #[test]
    fn deep_nesting_is_refused(depth in 1usize..5000) {
        let text = format!("a = {}{}", "[".repeat(depth), "]".repeat(depth));
        prop_assert!(DeclarationTree::from_files([("deep", &*text)]).is_err());
    }
}
