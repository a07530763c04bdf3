//! Entry hosts that run in one process on the paused clock, with a shared registry and endpoints
//! that take orders.
#![allow(dead_code)]

#[path = "address.rs"]
mod address;

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::poll_fn;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use jacinthrock_entry::{
    CallCodec, CallHead, CallerLimits, CardProfile, EndpointEntry, EndpointName, EndpointReport,
    EngineProfile, EntryOptions, EntryState, LayerSpan, PathStage, RateNotice, ReplyHead, SendHead,
    ServiceRule, ServingRules, run_entry,
};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, JoinSet, LocalSet};
use tokio::time::{Instant, sleep};

use super::registry::FakeRegistry;
use address::own_address;

/// Interval at which endpoints write their entry.
const BEAT: Duration = Duration::from_millis(1_000);
/// Interval at which a frozen host checks whether it is thawed.
const THAW_CHECK: Duration = Duration::from_millis(50);
/// Port of each server; every host and endpoint has a loopback address of its own.
const PORT: u16 = 7_100;

/// An order that an endpoint has begun.
#[derive(Clone, Debug)]
pub(crate) struct BegunOrder {
    pub(crate) at: Instant,
    pub(crate) host: Box<str>,
    pub(crate) endpoint: Box<str>,
    pub(crate) span: LayerSpan,
}

/// Hosts and endpoints with their registry.
pub(crate) struct Cluster {
    pub(crate) registry: Rc<FakeRegistry>,
    pub(crate) orders: Rc<RefCell<Vec<BegunOrder>>>,
    pub(crate) hosts: Vec<RunningHost>,
    pub(crate) endpoints: Vec<Rc<FakeEndpoint>>,
}

/// An entry host.
pub(crate) struct RunningHost {
    pub(crate) name: Box<str>,
    pub(crate) domain: Box<str>,
    pub(crate) state: Rc<EntryState>,
    address: IpAddr,
    task: Option<JoinHandle<()>>,
    is_frozen: Rc<Cell<bool>>,
}

/// An endpoint that holds layers and writes its entry to the registry.
pub(crate) struct FakeEndpoint {
    pub(crate) name: EndpointName,
    entry: RefCell<EndpointEntry>,
    is_alive: Cell<bool>,
    server: RefCell<Option<JoinHandle<()>>>,
}

impl Cluster {
    /// Starts a registry with rules and endpoints, two for each domain. Must be called within a
    /// `LocalSet`.
    pub(crate) async fn start(domains: &[&str]) -> Self {
        let cluster = Self {
            registry: Rc::default(),
            orders: Rc::default(),
            hosts: Vec::new(),
            endpoints: Vec::new(),
        };
        cluster.registry.write_rules(rules(1));
        let mut cluster = cluster;
        for domain in domains {
            for number in 0..2 {
                cluster.add_endpoint(&format!("{domain}-{number}"), domain).await;
            }
        }
        cluster
    }

    /// Starts a registry with rules, endpoints and hosts, and waits until these have settled.
    pub(crate) async fn start_hosts(domains: &[&str], count: usize) -> Self {
        let mut cluster = Self::start(domains).await;
        for number in 0..count {
            cluster.add_host(&format!("h{number}"), domains[number % domains.len()], 250);
        }
        sleep(Duration::from_secs(6)).await;
        cluster
    }

    /// Starts a host.
    pub(crate) fn add_host(&mut self, name: &str, domain: &str, capacity: u32) {
        let mut host = RunningHost {
            name: name.into(),
            domain: domain.into(),
            state: Rc::new(self.state(name, domain, capacity, own_address())),
            address: own_address(),
            task: None,
            is_frozen: Rc::default(),
        };
        host.start(self, capacity);
        self.hosts.push(host);
    }

    fn state(&self, name: &str, domain: &str, capacity: u32, address: IpAddr) -> EntryState {
        let listen = |offset| SocketAddr::new(address, PORT + offset);
        let options = EntryOptions {
            host: name.into(),
            domain: domain.into(),
            capacity,
            is_first_start: false,
            front: listen(0),
            ready: listen(1),
            peer: listen(2),
            metrics: None,
            grace: Duration::from_secs(8),
            retry_ratio: 0.2,
            retry_slack: 100,
            retry_window: Duration::from_secs(10),
            heartbeat_interval: Duration::from_millis(1_200),
            max_sockets: 1_000,
            memory: 160_000_000,
        };
        let codec = Box::new(FakeCodec { host: name.into() });
        EntryState::new(options, codec, self.registry.client(name))
    }

    /// Kills a host; its record stays in the registry.
    pub(crate) fn kill_host(&mut self, index: usize) {
        if let Some(task) = self.hosts[index].task.take() {
            task.abort();
        }
    }

    /// Stops a host's process without ending it: its addresses accept connections and nothing
    /// answers. It goes on when it is thawed.
    pub(crate) fn set_frozen(&self, index: usize, is_frozen: bool) {
        self.hosts[index].is_frozen.set(is_frozen);
    }

    /// Starts a killed host again.
    pub(crate) fn restart_host(&mut self, index: usize) {
        let capacity = self.hosts[index].state.options.capacity;
        let mut host = self.hosts.remove(index);
        host.start(self, capacity);
        self.hosts.insert(index, host);
    }

    /// Hosts that run.
    pub(crate) fn running(&self) -> impl Iterator<Item = &RunningHost> {
        self.hosts.iter().filter(|host| host.task.is_some())
    }

    /// Starts an endpoint without layers.
    pub(crate) async fn add_endpoint(&mut self, name: &str, domain: &str) {
        let address = SocketAddr::new(own_address(), PORT);
        let endpoint = Rc::new(FakeEndpoint {
            name: name.into(),
            entry: RefCell::new(endpoint_entry(name, domain, address)),
            is_alive: Cell::new(true),
            server: RefCell::default(),
        });
        let listener = TcpListener::bind(address).await.expect("a free loopback address");
        let (server, orders) = (endpoint.clone(), self.orders.clone());
        let serving = tokio::task::spawn_local(async move {
            // Connections end with the server.
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let (endpoint, orders) = (server.clone(), orders.clone());
                let service = service_fn(move |request| {
                    let (endpoint, orders) = (endpoint.clone(), orders.clone());
                    async move { Ok::<_, Infallible>(endpoint.reply(request, &orders).await) }
                });
                connections.spawn_local(
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service),
                );
            }
        });
        *endpoint.server.borrow_mut() = Some(serving);
        let (registry, writer) = (self.registry.clone(), endpoint.clone());
        tokio::task::spawn_local(async move {
            while writer.is_alive.get() {
                registry.write_endpoint(writer.entry.borrow().clone());
                sleep(BEAT).await;
            }
        });
        self.endpoints.push(endpoint);
    }
}

impl RunningHost {
    fn start(&mut self, cluster: &Cluster, capacity: u32) {
        let state = Rc::new(cluster.state(&self.name, &self.domain, capacity, self.address));
        self.state = state.clone();
        self.is_frozen = Rc::default();
        let is_frozen = self.is_frozen.clone();
        self.task = Some(tokio::task::spawn_local(async move {
            let tasks = LocalSet::new();
            let mut running = std::pin::pin!(tasks.run_until(run_entry(state)));
            let ended = poll_fn(|context| {
                if is_frozen.get() {
                    // Looks again soon, since nothing else wakes the task once it is thawed.
                    let waker = context.waker().clone();
                    tokio::task::spawn_local(async move {
                        sleep(THAW_CHECK).await;
                        waker.wake();
                    });
                    return Poll::Pending;
                }
                running.as_mut().poll(context)
            });
            ended.await.expect("the host's addresses are free");
        }));
    }
}

impl FakeEndpoint {
    /// Announces that the endpoint leaves, as soon as it writes its entry.
    pub(crate) fn drain(&self, registry: &FakeRegistry) {
        self.entry.borrow_mut().is_draining = true;
        registry.write_endpoint(self.entry.borrow().clone());
    }

    /// Ends the endpoint's server without a word; its entry stays listed.
    pub(crate) fn stop_server(&self) {
        if let Some(server) = self.server.borrow_mut().take() {
            server.abort();
        }
    }

    /// Ends the endpoint; its entry is removed.
    pub(crate) fn leave(&self, registry: &FakeRegistry) {
        self.is_alive.set(false);
        registry.remove_endpoint(&self.name);
    }

    /// Ends the endpoint without a word, and writes the entry of a later start at its address.
    pub(crate) fn restart_as(&self, registry: &FakeRegistry, name: &str, start_unix_ms: u64) {
        self.is_alive.set(false);
        let former = self.entry.borrow().clone();
        let entry =
            EndpointEntry { name: name.into(), start_unix_ms, layers: None, orders: 0, ..former };
        *self.entry.borrow_mut() = entry.clone();
        registry.write_endpoint(entry);
    }

    /// Writes an entry that claims the endpoint's address, as another writer does.
    pub(crate) fn claim_address(&self, registry: &FakeRegistry, name: &str, service: &str) {
        let own = self.entry.borrow().clone();
        let start_unix_ms = own.start_unix_ms + 1_000;
        let (name, service) = (name.into(), service.into());
        registry.write_endpoint(EndpointEntry { name, service, start_unix_ms, ..own });
    }

    async fn reply(
        &self,
        request: Request<Incoming>,
        begun: &RefCell<Vec<BegunOrder>>,
    ) -> Response<Full<Bytes>> {
        let is_order = request.uri().path() == "/order";
        let body = request.into_body().collect().await.map(|body| body.to_bytes());
        if !is_order {
            let entry = self.entry.borrow();
            let span = entry.layers.map(|span| [span.from, span.to]);
            let report =
                json!({ "orders": entry.orders, "span": span, "born": entry.start_unix_ms });
            return Response::new(report.to_string().into());
        }
        let order: Value = serde_json::from_slice(&body.expect("a body")).expect("an order");
        let mut entry = self.entry.borrow_mut();
        let mut response = Response::new(Full::default());
        if order["orders"] != entry.orders {
            *response.status_mut() = StatusCode::CONFLICT;
            return response;
        }
        let layer = |name: &str| order[name].as_u64().expect("a layer") as u16;
        let span = LayerSpan { from: layer("from"), to: layer("to") };
        entry.orders += 1;
        entry.layers = Some(span);
        begun.borrow_mut().push(BegunOrder {
            at: Instant::now(),
            host: order["host"].as_str().expect("a host").into(),
            endpoint: self.name.clone(),
            span,
        });
        *response.status_mut() = StatusCode::ACCEPTED;
        response
    }
}

/// Rules with one service whose model has eight layers, of which a card holds six.
pub(crate) fn rules(version: u64) -> ServingRules {
    let card = CardProfile { memory_mb: 60.0, step_factor: 1.0, prefill_factor: 1.0 };
    let engine = EngineProfile {
        layers: 8,
        layer_mb: 8.0,
        token_layer_mb: 0.001,
        step_ms: 1.0,
        request_ms: 0.0,
        context_ms: 0.0,
        prefill_tokens_per_ms: 100.0,
        load_time: Duration::from_millis(500),
        parallel_loads: 4,
        activation_bytes: 1_000.0,
        link_mbps: 0.0,
        mean_prompt_tokens: 100,
        mean_output_tokens: 50,
        event_tokens: 1,
        cards: [("k".into(), card)].into(),
    };
    let service =
        ServiceRule { max_connections: 100, health_path: "/".into(), engine: Some(engine) };
    ServingRules {
        version,
        services: [("guide".into(), service)].into(),
        limits: CallerLimits::default(),
        ..ServingRules::default()
    }
}

fn endpoint_entry(name: &str, domain: &str, address: SocketAddr) -> EndpointEntry {
    EndpointEntry {
        name: name.into(),
        service: "guide".into(),
        address,
        domain: domain.into(),
        slots: 8,
        is_draining: false,
        orders: 0,
        start_unix_ms: 1,
        card: Some("k".into()),
        layers: None,
        under_way: None,
    }
}

/// Codec whose orders name the host that sends them.
struct FakeCodec {
    host: Box<str>,
}

impl CallCodec for FakeCodec {
    fn read_call(&self, _: &HeaderMap) -> CallHead {
        CallHead::default()
    }

    fn endpoint_headers(&self, caller: &HeaderMap, _: &SendHead<'_>) -> HeaderMap {
        caller.clone()
    }

    fn forward_headers(&self, caller: &HeaderMap, _: Duration, _: Option<u64>) -> HeaderMap {
        caller.clone()
    }

    fn mark_not_run(&self, _: &mut HeaderMap) {}

    fn read_reply(&self, _: &str, _: &HeaderMap) -> ReplyHead {
        ReplyHead {
            is_not_run: false,
            is_for_attempt: true,
            is_signed: true,
            is_encoded: false,
            fault_at: None,
            is_leaving: false,
            retry_after: None,
            rate: RateNotice::Unlimited,
        }
    }

    fn report_path(&self) -> &'static str {
        "/report"
    }

    fn read_report(&self, body: &[u8]) -> Option<EndpointReport> {
        let report: Value = serde_json::from_slice(body).ok()?;
        let layer = |index: usize| report["span"][index].as_u64().map(|layer| layer as u16);
        let span = layer(0).zip(layer(1)).map(|(from, to)| LayerSpan { from, to });
        Some(EndpointReport {
            orders: report["orders"].as_u64()?,
            is_busy: false,
            layers: span,
            start_unix_ms: report["born"].as_u64()?,
            kv_usage: 0.0,
            stalled: Vec::new(),
        })
    }

    fn order_path(&self) -> &'static str {
        "/order"
    }

    fn expect_endpoint(&self, _: &mut HeaderMap, _: &EndpointName) {}

    fn placement_order(&self, span: LayerSpan, orders: u64) -> Vec<u8> {
        let order = json!({
            "host": &self.host, "from": span.from, "to": span.to, "orders": orders,
        });
        order.to_string().into_bytes()
    }

    fn repath_order(&self, _: &str, _: &[PathStage]) -> Vec<u8> {
        Vec::new()
    }

    fn read_order_fault(&self, _: &[u8]) -> Option<SocketAddr> {
        None
    }
}
