//! Discovery of hosts that start at the same time.
//!
//! Each of them lists the platform before the others have registered. With no other host known they
//! must list again soon rather than wait for the regular interval.

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use jacinthrock::{
    ConfigSnapshot, GossipOptions, HostName, HostState, MemberRecord, MetricRegistry, PeerDigest,
    PeerError, PeerNetwork, PeerResponder, PeerService, PeerSetup, PeerTransport, PlatformStore,
};
use jacinthrock_standins::fake_store::FakeStore;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::LocalSet;

/// Time after their registration within which hosts must know each other.
const DISCOVERY_LIMIT: Duration = Duration::from_secs(4);

type Responders = Rc<RefCell<BTreeMap<HostName, Rc<dyn PeerResponder>>>>;

struct DirectTransport {
    responders: Responders,
}

impl PeerTransport for DirectTransport {
    fn exchange(
        &self,
        host: &str,
        _address: &str,
        digest: PeerDigest,
    ) -> LocalBoxFuture<'static, Result<PeerDigest, PeerError>> {
        let error = PeerError { host: host.into(), reason: "not started".into() };
        let responder = self.responders.borrow().get(host).cloned();
        async move { responder.map(|responder| responder.exchange(&digest)).ok_or(error) }
            .boxed_local()
    }

    fn fetch_config(
        &self,
        host: &str,
        _address: &str,
    ) -> LocalBoxFuture<'static, Result<ConfigSnapshot, PeerError>> {
        let error = PeerError { host: host.into(), reason: "has no configuration".into() };
        async move { Err(error) }.boxed_local()
    }
}

fn start(host: &str, store: &FakeStore, responders: &Responders) -> PeerService {
    let setup = PeerSetup {
        own_record: MemberRecord {
            host: host.into(),
            domain: "fi-north".into(),
            address: "10.0.0.1:1".into(),
            incarnation: 1,
            heartbeat: 0,
            revision: 0,
            state: HostState::Serving,
        },
        options: GossipOptions::default(),
        seed: 7,
        store: Rc::new(store.handle()),
        metrics: Arc::new(MetricRegistry::new()),
    };
    let transport = Rc::new(DirectTransport { responders: responders.clone() });
    let service = PeerService::with_transport(setup, transport);
    responders.borrow_mut().insert(host.into(), service.responder());
    service
}

async fn register(host: &str, store: &FakeStore) {
    let value = format!(
        r#"{{"host":"{host}","domain":"fi-north","peer":"10.0.0.1:1","operator":"10.0.0.1:2","incarnation":1}}"#
    );
    let key = format!("routers/{host}");
    store.put(&key, 0, value.into_bytes().into()).await.expect("the store injects no faults");
}

#[tokio::test(start_paused = true)]
async fn hosts_that_start_together_discover_each_other() {
    let tasks = LocalSet::new();
    tasks
        .run_until(async {
            let store = FakeStore::new(1);
            let responders = Responders::default();
            let one = start("host-1", &store, &responders);
            let two = start("host-2", &store, &responders);
            // Both hosts have listed the platform while no host was registered.
            tokio::time::sleep(Duration::from_millis(100)).await;
            register("host-1", &store).await;
            register("host-2", &store).await;
            tokio::time::sleep(DISCOVERY_LIMIT).await;
            assert_eq!(one.live_hosts(), [HostName::from("host-2")]);
            assert_eq!(two.live_hosts(), [HostName::from("host-1")]);
        })
        .await;
}
