//! Measures the traffic between hosts and the propagation of changes for growing numbers of hosts.
//!
//! `cargo run --release --example control_cost` prints the bytes that the RPC protocol adds to an
//! exchange, measured over real connections on loopback, and a table measured with the decision
//! code over a simulated network, in which each digest is encoded to count its bytes.

use futures::future::LocalBoxFuture;
use jacinthrock::{
    ConfigSnapshot, GossipOptions, HostState, MemberRecord, MetricName, MetricRegistry, PeerDigest,
    PeerError, PeerNetwork, PeerService, PeerSetup, PeerTransport, QuotaLimits, RpcListener,
    RpcTransport, digest_bytes,
};
use jacinthrock_standins::fake_store::FakeStore;
use jacinthrock_standins::peer_simulation::{HostIndex, PeerSimulation, SimulationOptions};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::LocalSet;

const SEED: u64 = 4;
const FLEET_SIZES: [usize; 7] = [3, 6, 7, 12, 24, 48, 340];
const CUSTOMERS: usize = 10;
const ENDPOINTS: usize = 43;
const WARM_UP_TIME: Duration = Duration::from_secs(30);
const MEASURED_TIME: Duration = Duration::from_secs(30);

/// Transport that counts exchanges and the bytes of their digests, without protocol overhead.
struct CountingTransport {
    inner: RpcTransport,
    digest_total: Rc<Cell<usize>>,
    exchange_count: Rc<Cell<usize>>,
}

impl PeerTransport for CountingTransport {
    fn exchange(
        &self,
        host: &str,
        address: &str,
        digest: PeerDigest,
    ) -> LocalBoxFuture<'static, Result<PeerDigest, PeerError>> {
        let (digest_total, exchange_count) =
            (self.digest_total.clone(), self.exchange_count.clone());
        digest_total.set(digest_total.get() + digest_bytes(&digest));
        let reply = self.inner.exchange(host, address, digest);
        Box::pin(async move {
            let reply = reply.await?;
            digest_total.set(digest_total.get() + digest_bytes(&reply));
            exchange_count.set(exchange_count.get() + 1);
            Ok(reply)
        })
    }

    fn fetch_config(
        &self,
        host: &str,
        address: &str,
    ) -> LocalBoxFuture<'static, Result<ConfigSnapshot, PeerError>> {
        self.inner.fetch_config(host, address)
    }
}

fn member_record(name: &str, address: &str) -> MemberRecord {
    MemberRecord {
        host: name.into(),
        domain: "south-1".into(),
        address: address.into(),
        incarnation: 1,
        heartbeat: 0,
        revision: 0,
        state: HostState::Serving,
    }
}

/// Measures the bytes that capnp-rpc adds to the two digests of an exchange on a persistent
/// connection.
async fn protocol_overhead_bytes() -> usize {
    let options = GossipOptions { interval: Duration::from_millis(10), ..GossipOptions::default() };
    let store = FakeStore::new(SEED);
    let metrics = Arc::new(MetricRegistry::new());
    let other_metrics = Arc::new(MetricRegistry::new());
    let listen = "127.0.0.1:0".parse().expect("address is valid");
    let listener =
        RpcListener::bind(listen, other_metrics.clone()).await.expect("loopback can be bound");
    let address = listener.local_addr().expect("the listener is bound").to_string();
    let setup = |name: &str, address: &str, metrics| PeerSetup {
        own_record: member_record(name, address),
        options,
        seed: SEED,
        store: Rc::new(store.handle()),
        metrics,
    };
    // The first host is not registered, so that the second finds no host to call and only answers.
    let answering_service = PeerService::with_transport(
        setup("router-2", &address, other_metrics.clone()),
        Rc::new(RpcTransport::new(other_metrics.clone())),
    );
    tokio::task::spawn_local(listener.serve(answering_service.responder()));
    let value =
        format!(r#"{{"host":"router-2","domain":"south-1","peer":"{address}","incarnation":1}}"#);
    let store_handle: Rc<dyn jacinthrock::PlatformStore> = Rc::new(store.handle());
    store_handle
        .put("routers/router-2", 0, value.into_bytes().into())
        .await
        .expect("the store has no faults");
    let (digest_total, exchange_count) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let transport = CountingTransport {
        inner: RpcTransport::new(metrics.clone()),
        digest_total: digest_total.clone(),
        exchange_count: exchange_count.clone(),
    };
    let calling_service = PeerService::with_transport(
        setup("router-1", "127.0.0.1:1", metrics.clone()),
        Rc::new(transport),
    );
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(calling_service.live_hosts().len(), 1);
    let wire_bytes: i64 = ["sent", "received"]
        .iter()
        .map(|direction| metrics.value(MetricName::PeerBytes, &[direction]))
        .sum();
    (wire_bytes as usize).saturating_sub(digest_total.get()) / exchange_count.get().max(1)
}

/// Gossip cost per host, and false failure detections of the whole fleet.
struct FleetCost {
    false_detections: u64,
    bytes_per_s: f64,
    messages_per_s: f64,
    core_percent: f64,
}

/// Returns the cost of a fleet, the propagation time of a revision and the time to detect a dead
/// host.
fn measure_fleet(hosts: usize) -> (FleetCost, Duration, Duration) {
    let options = SimulationOptions {
        hosts,
        longest_delay: Duration::from_millis(2),
        gossip: GossipOptions::default(),
        count_bytes: true,
    };
    let mut simulation = PeerSimulation::new(options, SEED);
    for host in 0..hosts {
        set_limits(&mut simulation, host);
    }
    advance(&mut simulation, WARM_UP_TIME);
    let before: Vec<_> = simulation.hosts.iter().map(|host| (host.bytes, host.messages)).collect();
    let started = Instant::now();
    let false_detections = advance(&mut simulation, MEASURED_TIME);
    let core_share = started.elapsed().as_secs_f64() / hosts as f64 / MEASURED_TIME.as_secs_f64();
    let seconds = MEASURED_TIME.as_secs_f64() * hosts as f64;
    let bytes: u64 = simulation.hosts.iter().map(|host| host.bytes).sum::<u64>()
        - before.iter().map(|(bytes, _)| bytes).sum::<u64>();
    let messages: u64 = simulation.hosts.iter().map(|host| host.messages).sum::<u64>()
        - before.iter().map(|(_, messages)| messages).sum::<u64>();
    let cost = FleetCost {
        false_detections,
        bytes_per_s: bytes as f64 / seconds,
        messages_per_s: messages as f64 / seconds,
        core_percent: core_share * 100.0,
    };
    let propagation = measure_revision_propagation(&mut simulation);
    let detection = measure_failure_detection(&mut simulation);
    (cost, propagation, detection)
}

fn set_limits(simulation: &mut PeerSimulation, host: HostIndex) {
    let now = simulation.now;
    let limits = QuotaLimits { requests_per_second: 10_000, concurrent_requests: 10_000 };
    let core = simulation.hosts[host].core.as_mut().expect("the host is running");
    for customer in 0..CUSTOMERS {
        core.allocator_mut().set_limits(now, &format!("customer-{customer}"), limits);
    }
}

/// Runs the hosts for a time, with demand of every customer and load reports by the hosts that poll
/// the endpoints.
///
/// Returns how often a host considered another running host dead, counted once a second.
fn advance(simulation: &mut PeerSimulation, span: Duration) -> u64 {
    let end = simulation.now + span;
    let others = simulation.hosts.len() - 1;
    let mut false_detections = 0;
    while simulation.now < end {
        simulation.run_until(simulation.now + Duration::from_secs(1));
        let now = simulation.now;
        for host in &mut simulation.hosts {
            let core = host.core.as_mut().expect("the host is running");
            false_detections += (others - core.table().live(now).count()) as u64;
            for customer in 0..CUSTOMERS {
                let name = format!("customer-{customer}");
                if core.allocator_mut().try_take(now, &name).is_ok() {
                    core.allocator_mut().release(&name);
                }
            }
            for endpoint in 0..ENDPOINTS {
                let name = format!("engine-{endpoint}");
                if core.is_poller_of(now, &name) {
                    core.record_load(now, &name, 3, 1, false);
                }
            }
        }
    }
    false_detections
}

/// Returns the time until every host knows a new revision.
fn measure_revision_propagation(simulation: &mut PeerSimulation) -> Duration {
    let started = simulation.now;
    let now = simulation.now;
    simulation.hosts[0].core.as_mut().expect("the host is running").announce_revision(now, 9);
    simulation.schedule_tick(0);
    let is_known = |simulation: &PeerSimulation| {
        simulation.hosts.iter().skip(1).all(|host| {
            let table = host.core.as_ref().expect("the host is running").table();
            table.newest_revision(simulation.now).is_some_and(|(_, revision)| revision == 9)
        })
    };
    while !is_known(simulation) && simulation.now - started < Duration::from_secs(60) {
        simulation.run_until(simulation.now + Duration::from_millis(10));
    }
    simulation.now - started
}

/// Returns the time until no host considers a killed host live.
fn measure_failure_detection(simulation: &mut PeerSimulation) -> Duration {
    let started = simulation.now;
    let last = simulation.hosts.len() - 1;
    simulation.kill(last);
    let name = PeerSimulation::name(last);
    let is_live_anywhere = |simulation: &PeerSimulation| {
        let cores = simulation.hosts.iter().filter_map(|host| host.core.as_ref());
        cores.into_iter().any(|core| core.table().is_live(simulation.now, &name, 1))
    };
    while is_live_anywhere(simulation) && simulation.now - started < Duration::from_secs(300) {
        simulation.run_until(simulation.now + Duration::from_millis(100));
    }
    simulation.now - started
}

fn main() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be built");
    let overhead_bytes = LocalSet::new().block_on(&runtime, protocol_overhead_bytes());
    println!("seed {SEED}, {CUSTOMERS} customers, {ENDPOINTS} endpoints");
    println!("capnp-rpc adds {overhead_bytes} bytes to the two digests of an exchange");
    println!(
        "| hosts | messages/s | digest bytes/s | with protocol | core (%) | revision known everywhere (s) | dead host noticed (s) | falsely silent |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for hosts in FLEET_SIZES {
        let (cost, propagation, detection) = measure_fleet(hosts);
        let with_protocol = cost.bytes_per_s + cost.messages_per_s / 2.0 * overhead_bytes as f64;
        println!(
            "| {hosts} | {:.1} | {:.0} | {:.0} | {:.3} | {:.2} | {:.1} | {} |",
            cost.messages_per_s,
            cost.bytes_per_s,
            with_protocol,
            cost.core_percent,
            propagation.as_secs_f64(),
            detection.as_secs_f64(),
            cost.false_detections,
        );
    }
}
