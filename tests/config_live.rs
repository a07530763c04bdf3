//! Followers with the HTTP client and the stand-in platform. No durations are asserted.

#[path = "support/peer_hub.rs"]
#[allow(dead_code)]
mod peer_hub;
#[path = "support/platform_thread.rs"]
mod platform_thread;

use jacinthrock::{
    AcceptedConfig, ChangeRecord, ConfigEdit, ConfigFollower, ConfigPublisher, DeclarationTree,
    FollowerOptions, HostMember, HttpStore, HttpStoreOptions, MetricRegistry, PublishOptions,
};
use peer_hub::PeerHub;
use platform_thread::start_platform;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};

fn http_store(platform: &str) -> Rc<HttpStore> {
    let metrics = Arc::new(MetricRegistry::new());
    Rc::new(HttpStore::new(platform, HttpStoreOptions::default(), metrics))
}

fn start_follower(name: &str, platform: &str, hub: &Rc<PeerHub>) -> Rc<ConfigFollower> {
    let follower = Rc::new(ConfigFollower::new(
        http_store(platform),
        Rc::new(hub.join(name, "north")),
        HostMember { host: name.into(), domain: "north".into() },
        FollowerOptions::default(),
        Arc::new(MetricRegistry::new()),
    ));
    hub.attach_follower(name, &follower);
    let runner = follower.clone();
    spawn_local(async move { runner.run().await });
    follower
}

async fn commit(publisher: &ConfigPublisher, base: Option<&AcceptedConfig>, share: u32) -> u64 {
    let text = format!("name = \"root\"\nkind = \"group\"\nsettings.share = {share}\n");
    let tree = DeclarationTree::from_files([("root", &*text)]).expect("the tree is valid");
    let commit = format!("commit-{share}").into();
    let change = ChangeRecord { commit, ..ChangeRecord::default() };
    publisher.commit(ConfigEdit { base, tree: &tree, change }).await.expect("no concurrent edit")
}

async fn wait_for(followers: &[Rc<ConfigFollower>], revision: u64) {
    for follower in followers {
        let mut revisions = follower.subscribe();
        let reached = revisions.wait_for(|current| *current >= revision);
        let result = tokio::time::timeout(Duration::from_secs(60), reached).await;
        result.expect("the revision comes into force").expect("the follower runs");
        assert_eq!(follower.current().expect("a configuration is in force").revision, revision);
    }
}

#[tokio::test]
async fn revisions_come_into_force_over_http() {
    let local = LocalSet::new();
    let run = async {
        let platform = start_platform();
        let hub = PeerHub::new(1);
        let gossip = hub.clone();
        spawn_local(async move { gossip.run(Duration::from_millis(50)).await });
        let names = ["a", "b", "c", "d"];
        let followers: Vec<_> =
            names.iter().map(|name| start_follower(name, &platform, &hub)).collect();
        let publisher = ConfigPublisher::new(http_store(&platform), PublishOptions::default());
        let first = commit(&publisher, None, 1).await;
        wait_for(&followers, first).await;
        let base = publisher.read().await.expect("the platform is up");
        let second = commit(&publisher, base.as_ref(), 2).await;
        wait_for(&followers, second).await;
    };
    local.run_until(run).await;
}
