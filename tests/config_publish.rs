//! Acceptance: races, lost replies, and what an operator is told.

use assert_matches::assert_matches;
use jacinthrock::{
    AcceptedConfig, ChangeRecord, ConfigEdit, ConfigPlan, ConfigPublisher, ConflictPolicy,
    DeclarationTree, MAX_HISTORY_ENTRIES, PlatformStore, PublishError, PublishOptions, ROOT_KEY,
    ResultCode, RootDocument,
};
use jacinthrock_standins::fake_store::{FakeStore, StoreFaults};
use std::rc::Rc;
use std::time::Duration;

fn tree(deadline: u64, share: u64) -> DeclarationTree {
    let text = format!(
        "name = \"root\"\nkind = \"group\"\n[settings]\ndeadline_ms = {deadline}\nshare = {share}\n"
    );
    DeclarationTree::from_files([("root.toml", &*text)]).expect("the tree reads")
}

fn publisher(store: &FakeStore, race: ConflictPolicy) -> ConfigPublisher {
    let options = PublishOptions { race, ..PublishOptions::default() };
    ConfigPublisher::new(Rc::new(store.handle()), options)
}

fn change(author: &str, commit: &str) -> ChangeRecord {
    ChangeRecord { author: author.into(), commit: commit.into(), ..ChangeRecord::default() }
}

async fn commit(
    publisher: &ConfigPublisher,
    base: Option<&AcceptedConfig>,
    tree: &DeclarationTree,
    author: &str,
    commit: &str,
) -> Result<u64, PublishError> {
    publisher.commit(ConfigEdit { base, tree, change: change(author, commit) }).await
}

#[tokio::test(start_paused = true)]
async fn racing_edit_names_who_changed_what() {
    let store = FakeStore::new(1);
    let publisher = publisher(&store, ConflictPolicy::Refuse);
    commit(&publisher, None, &tree(1, 1), "anna", "c1").await.expect("nothing races");
    let base = publisher.read().await.expect("the store is up");
    commit(&publisher, base.as_ref(), &tree(2, 1), "beto", "c2").await.expect("nothing races");
    let error = commit(&publisher, base.as_ref(), &tree(3, 9), "carla", "c3").await;
    let error = error.expect_err("beto's change came first");
    assert_eq!(error.code(), ResultCode::ConfigConflict);
    assert_matches!(&error, PublishError::Conflict { changes, .. } => {
        assert_eq!(&*changes[0].entry.change.author, "beto");
        assert_eq!(&*changes[0].entry.change.fields[0], "root: settings.deadline_ms");
        assert_eq!(&*changes[0].common_fields[0], "root: settings.deadline_ms");
    });
    assert!(error.to_string().contains("beto changed root: settings.deadline_ms in revision 2"));
    let accepted = publisher.read().await.expect("the store is up").expect("it has a root");
    assert_eq!(accepted.document.tree, tree(2, 1).to_document());
}

#[tokio::test(start_paused = true)]
async fn blind_overwrite_loses_the_other_edit() {
    let store = FakeStore::new(1);
    let publisher = publisher(&store, ConflictPolicy::Overwrite);
    commit(&publisher, None, &tree(1, 1), "anna", "c1").await.expect("nothing races");
    let base = publisher.read().await.expect("the store is up");
    commit(&publisher, base.as_ref(), &tree(2, 1), "beto", "c2").await.expect("nothing races");
    commit(&publisher, base.as_ref(), &tree(1, 9), "carla", "c3").await.expect("it overwrites");
    let accepted = publisher.read().await.expect("the store is up").expect("it has a root");
    assert_eq!(
        accepted.document.change.parent_revision, 1,
        "the record shows the skipped revision 2"
    );
}

#[tokio::test(start_paused = true)]
async fn lost_replies_are_settled_by_reading_back() {
    for seed in 0..300 {
        let store = FakeStore::new(seed);
        let publisher = publisher(&store, ConflictPolicy::Refuse);
        let base_tree = tree(1, 1);
        commit(&publisher, None, &base_tree, "anna", "c1").await.expect("no faults yet");
        let base = publisher.read().await.expect("no faults yet");
        store.set_faults(StoreFaults {
            lost_call: 0.3,
            lost_reply: 0.3,
            unavailable: 0.1,
            throttled: 0.1,
            longest_delay: Duration::from_millis(300),
        });
        let [left, right] = [tree(2, 1), tree(1, 2)];
        let results = tokio::join!(
            commit(&publisher, base.as_ref(), &left, "beto", "left"),
            commit(&publisher, base.as_ref(), &right, "carla", "right"),
        );
        let stored = store.peek(ROOT_KEY).expect("the root exists");
        let document = RootDocument::decode(&stored.value).expect("it is a root document");
        let commits: Vec<Box<str>> =
            document.changes(stored.version).map(|entry| entry.change.commit).collect();
        assert!(commits.len() <= 2, "seed {seed}: both racing edits were accepted");
        for (result, name) in [(results.0, "left"), (results.1, "right")] {
            let accepted = commits.iter().any(|commit| &**commit == name);
            match result {
                Ok(revision) => assert!(accepted && revision == stored.version, "seed {seed}"),
                Err(PublishError::Unsettled { .. }) => {}
                Err(error) => assert!(!accepted, "seed {seed}: {name} was accepted: {error}"),
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn unanswered_commit_is_unsettled_and_refused_one_unavailable() {
    let store = FakeStore::new(1);
    let publisher = publisher(&store, ConflictPolicy::Refuse);
    store.set_faults(StoreFaults { lost_reply: 1.0, ..StoreFaults::default() });
    let error = commit(&publisher, None, &tree(1, 1), "anna", "c1").await;
    assert_matches!(error, Err(PublishError::Unsettled { commit, .. }) if &*commit == "c1");
    store.set_down(true);
    let error = commit(&publisher, None, &tree(1, 1), "anna", "c2").await;
    assert_matches!(error, Err(PublishError::Unavailable(_)));
}

#[tokio::test(start_paused = true)]
async fn faulty_tree_is_never_written() {
    let store = FakeStore::new(1);
    let publisher = publisher(&store, ConflictPolicy::Refuse);
    let text = "name = \"root\"\nkind = \"group\"\nparent = \"gone\"";
    let faulty = DeclarationTree::from_files([("root.toml", text)]).unwrap_or_default();
    let error = commit(&publisher, None, &faulty, "anna", "c1").await;
    assert_matches!(error, Err(PublishError::Faulty(_)));
    assert_eq!(store.usage().writes, 0);
}

#[tokio::test(start_paused = true)]
async fn history_is_bounded_and_corrupt_roots_are_named() {
    let store = FakeStore::new(1);
    let publisher = publisher(&store, ConflictPolicy::Refuse);
    let mut base = None;
    for number in 1..=MAX_HISTORY_ENTRIES as u64 + 10 {
        let name = format!("c{number}");
        commit(&publisher, base.as_ref(), &tree(number, 1), "anna", &name).await.expect("no race");
        base = publisher.read().await.expect("the store is up");
    }
    let accepted = base.expect("it has a root");
    assert_eq!(accepted.document.history.len(), MAX_HISTORY_ENTRIES);
    assert_eq!(accepted.document.history[0].revision, accepted.document.change.parent_revision);
    let corrupted = b"{}".as_slice().into();
    store.put(ROOT_KEY, accepted.revision, corrupted).await.expect("the store is up");
    assert_matches!(publisher.read().await, Err(PublishError::Corrupt { .. }));
}

#[tokio::test(start_paused = true)]
async fn commit_that_a_hand_written_root_hid_is_unsettled() {
    let store = FakeStore::new(1);
    let publisher = publisher(&store, ConflictPolicy::Refuse);
    commit(&publisher, None, &tree(1, 1), "anna", "c1").await.expect("nothing races");
    let base = publisher.read().await.expect("the store is up");
    store.set_faults(StoreFaults { lost_reply: 1.0, ..StoreFaults::default() });
    let tree = tree(2, 1);
    let commit = commit(&publisher, base.as_ref(), &tree, "beto", "c2");
    let overwrite = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        store.set_faults(StoreFaults::default());
        let value = RootDocument::first(&tree, change("script", "by-hand")).encode();
        store.put(ROOT_KEY, 2, value).await.expect("beto's change is revision 2");
    };
    let (result, ()) = tokio::join!(commit, overwrite);
    assert_matches!(result, Err(PublishError::Unsettled { .. }));
}

#[test]
fn plan_names_changed_fields_and_stranded_uses() {
    let directory = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/tree");
    let in_force = DeclarationTree::from_directory(&directory).expect("the sample tree reads");
    assert!(ConfigPlan::between(&in_force, &in_force).is_empty());
    let nodes = in_force.nodes().iter().filter(|declared| &*declared.node.name != "bookings");
    let nodes: Vec<_> =
        nodes.map(|declared| serde_json::to_value(&declared.node).unwrap()).collect();
    let mut document = serde_json::json!({ "nodes": nodes });
    for node in document["nodes"].as_array_mut().unwrap() {
        if node["name"] == "front-desk" {
            node["customer"]["services"] = serde_json::json!(["guide"]);
        }
        if node["name"] == "guide" {
            node["model"]["endpoints"].as_array_mut().unwrap().remove(0);
            node["settings"]["token_gap_ms"] = 400.into();
        }
    }
    let wanted = DeclarationTree::from_document(&document).expect("the edited tree reads");
    let plan = ConfigPlan::between(&in_force, &wanted);
    let change =
        plan.changes.iter().find(|change| &*change.location() == "guide: settings.token_gap_ms");
    let change = change.expect("the setting is listed");
    assert_eq!((change.before.clone(), change.after.clone()), (Some(500.into()), Some(400.into())));
    assert!(plan.changes.iter().any(|change| {
        &*change.location() == "guide: model.endpoints[guide-1].address" && change.after.is_none()
    }));
    let effects: Vec<String> =
        plan.stranded.iter().map(|used| format!("{}: {}", used.node, used.effect)).collect();
    let expected = [
        "bookings: the service goes; it may be called by front-desk",
        "front-desk: the customer may no longer call bookings",
        "guide: endpoint guide-1 (127.0.0.1:7101) goes",
    ];
    for expected in expected {
        assert!(
            effects.iter().any(|effect| effect.starts_with(expected)),
            "{expected}: {effects:?}"
        );
    }
}
