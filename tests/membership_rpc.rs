//! Peer protocol over capnp-rpc on loopback sockets.

use jacinthrock::{
    ConfigSnapshot, ConfigSource, GossipOptions, HostState, MemberRecord, MetricName,
    MetricRegistry, PeerNetwork, PeerService, PeerSetup, PlatformStore,
};
use jacinthrock_standins::fake_store::FakeStore;
use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::LocalSet;

/// Size of the fetched configurations in bytes.
const CONFIG_BYTES: usize = 900_000;

struct FixedConfig {
    value: Box<[u8]>,
}

impl FixedConfig {
    /// Configuration of random bytes, which cannot be compressed.
    fn random() -> Self {
        let mut value = vec![0; CONFIG_BYTES];
        ChaCha8Rng::seed_from_u64(1).fill_bytes(&mut value);
        Self { value: value.into() }
    }

    /// Configuration of repeated text, as declarations of many customers are.
    fn repetitive() -> Self {
        let text = b"{\"kind\":\"customer\",\"parent\":\"studios\",\"settings\":{}}";
        Self { value: text.iter().copied().cycle().take(CONFIG_BYTES).collect() }
    }
}

impl ConfigSource for FixedConfig {
    fn snapshot(&self) -> Option<ConfigSnapshot> {
        Some(ConfigSnapshot { revision: 7, value: self.value.clone() })
    }
}

async fn start_host(store: &FakeStore, name: &str) -> (PeerService, Arc<MetricRegistry>) {
    let own_record = MemberRecord {
        host: name.into(),
        domain: "south-1".into(),
        address: "".into(),
        incarnation: 1,
        heartbeat: 0,
        revision: 0,
        state: HostState::Serving,
    };
    let metrics = Arc::new(MetricRegistry::new());
    let setup = PeerSetup {
        own_record,
        options: GossipOptions { interval: Duration::from_millis(50), ..GossipOptions::default() },
        seed: name.len() as u64,
        store: Rc::new(store.handle()),
        metrics: metrics.clone(),
    };
    let listen = "127.0.0.1:0".parse().expect("address is valid");
    let service = PeerService::start(listen, setup).await.expect("loopback can be bound");
    (service, metrics)
}

async fn write_host_object(store: &FakeStore, service: &PeerService) {
    let record = service.own_record();
    let value = serde_json::json!({
        "host": record.host, "domain": record.domain, "peer": record.address,
        "operator": "127.0.0.1:1", "incarnation": record.incarnation,
    });
    let key = format!("routers/{}", record.host);
    store.put(&key, 0, value.to_string().into_bytes().into()).await.expect("store is up");
}

async fn wait_for(mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(60), wait).await.expect("condition holds within 60 s");
}

#[tokio::test]
async fn hosts_discover_each_other_and_exchange_state() {
    let run = async {
        let store = FakeStore::new(1);
        let (first, metrics) = start_host(&store, "router-1").await;
        write_host_object(&store, &first).await;
        let (second, _) = start_host(&store, "router-22").await;
        let (third, _) = start_host(&store, "router-333").await;
        wait_for(|| first.live_hosts().len() == 2 && third.live_hosts().len() == 2).await;
        assert!(first.is_live("router-22", 1));
        assert!(!first.is_live("router-22", 2));

        second.record_load("engine-1", 3, 4, false);
        second.set_drain_mark("engine-2", 9, true);
        second.announce_revision(7);
        wait_for(|| first.newest_revision() == Some(("router-22".into(), 7))).await;
        wait_for(|| first.is_draining("engine-2") && third.is_draining("engine-2")).await;
        wait_for(|| first.load_of("engine-1").is_some_and(|load| load.waiting == 4)).await;

        assert!(first.fetch_config("router-22").await.is_err());
        second.set_config_source(Rc::new(FixedConfig::random()));
        let snapshot = first.fetch_config("router-22").await.expect("second answers");
        assert_eq!((snapshot.revision, snapshot.value), (7, FixedConfig::random().value));

        second.leave().await;
        wait_for(|| first.live_hosts() == ["router-333".into()]).await;
        assert!(metrics.value(MetricName::PeerBytes, &["sent"]) > 0);
        assert!(metrics.value(MetricName::PeerBytes, &["received"]) > 900_000);
        assert!(metrics.value(MetricName::PeerExchanges, &["ok"]) > 0);
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn configuration_is_sent_compressed() {
    let run = async {
        let store = FakeStore::new(3);
        let (first, metrics) = start_host(&store, "router-1").await;
        let (second, _) = start_host(&store, "router-22").await;
        write_host_object(&store, &first).await;
        write_host_object(&store, &second).await;
        wait_for(|| first.live_hosts().len() == 1).await;
        second.set_config_source(Rc::new(FixedConfig::repetitive()));
        let before = metrics.value(MetricName::PeerBytes, &["received"]);
        let snapshot = first.fetch_config("router-22").await.expect("second answers");
        let received = metrics.value(MetricName::PeerBytes, &["received"]) - before;
        assert_eq!(snapshot.value, FixedConfig::repetitive().value);
        assert!(received < CONFIG_BYTES as i64 / 10, "{received} bytes received");
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn malformed_bytes_do_not_affect_other_peers() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let run = async {
        let store = FakeStore::new(2);
        let (first, _) = start_host(&store, "router-1").await;
        write_host_object(&store, &first).await;
        let address = first.own_record().address;
        let mut stream = tokio::net::TcpStream::connect(&*address).await.expect("port is open");
        stream.write_all(&[0xff; 4096]).await.expect("bytes are sent");
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest).await;
        let (second, _) = start_host(&store, "router-22").await;
        wait_for(|| second.live_hosts().len() == 1 && first.live_hosts().len() == 1).await;
    };
    LocalSet::new().run_until(run).await;
}
