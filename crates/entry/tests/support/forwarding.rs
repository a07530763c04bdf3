//! Entry hosts in one process, of which some have links of their own to the endpoints that a test
//! can cut.
#![allow(dead_code)]

#[path = "address.rs"]
mod address;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::SinkExt;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use jacinthrock::MetricName;
use jacinthrock_entry::{
    CallCodec, CallHead, CardProfile, CustomerRule, EndpointEntry, EndpointName, EndpointReport,
    EngineProfile, EntryOptions, EntryState, LayerSpan, PathStage, RateNotice, RecordGroup,
    RegistryClient, RegistryResult, RegistryVersion, ReplyHead, RetryPolicy, RouteRule, SendHead,
    ServiceRule, ServingRules, run_entry,
};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{AbortHandle, JoinHandle, LocalSet};
use tokio::time::{Instant, sleep, timeout};

use super::registry::FakeRegistry;
use address::own_address;

/// Port of each server; every host and endpoint has a loopback address of its own.
const PORT: u16 = 7_200;
/// Time that a plain call takes at its endpoint.
const CALL_TIME: Duration = Duration::from_millis(30);
/// Slots of each endpoint.
const SLOTS: u32 = 64;
/// Pause between two events of a stream.
pub(crate) const EVENT_PAUSE: Duration = Duration::from_millis(20);
/// Key of the only customer.
pub(crate) const KEY: &str = "secret";
/// Time that callers wait for an answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(5);

/// Attempts that a host has received.
pub(crate) type ReceivedAttempts = Rc<RefCell<Vec<Box<str>>>>;
type TestBody = BoxBody<Bytes, std::io::Error>;

fn body(text: impl Into<Bytes>) -> TestBody {
    Full::new(text.into()).map_err(|error| match error {}).boxed()
}

/// How a cut link fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CutForm {
    /// New connections and open ones hang.
    Hang,
    /// New connections are refused; open ones go on.
    Refuse,
    /// Open connections are reset, new ones refused.
    Reset,
}

/// A link from one host to one endpoint.
struct Link {
    listed: SocketAddr,
    target: SocketAddr,
    accepting: RefCell<Option<JoinHandle<()>>>,
    /// Connections with their relaying tasks.
    connections: RefCell<Vec<AbortHandle>>,
    is_hung: Rc<Cell<bool>>,
    released: Rc<Notify>,
    /// Connections that fill the queue of a listener that does not accept.
    filling: RefCell<Vec<TcpStream>>,
}

impl Link {
    async fn open(target: SocketAddr) -> Rc<Self> {
        let link = Rc::new(Self {
            listed: SocketAddr::new(own_address(), PORT),
            target,
            accepting: RefCell::default(),
            connections: RefCell::default(),
            is_hung: Rc::default(),
            released: Rc::default(),
            filling: RefCell::default(),
        });
        link.clone().listen();
        link
    }

    fn listener(&self) -> TcpListener {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP));
        let socket = socket.expect("a socket");
        socket.set_reuse_address(true).expect("a socket option");
        socket.set_nonblocking(true).expect("a socket option");
        socket.bind(&self.listed.into()).expect("a free loopback address");
        // A short queue, so that connections hang once nothing accepts them.
        socket.listen(1).expect("a listener");
        TcpListener::from_std(socket.into()).expect("a listener")
    }

    fn listen(self: Rc<Self>) {
        let (link, listener) = (self.clone(), self.listener());
        let accepting = tokio::task::spawn_local(async move {
            loop {
                let Ok((mut near, _)) = listener.accept().await else { continue };
                while link.is_hung.get() {
                    link.released.notified().await;
                }
                let link = link.clone();
                let target = link.target;
                let (is_hung, released) = (link.is_hung.clone(), link.released.clone());
                let relaying = tokio::task::spawn_local(async move {
                    let Ok(mut far) = TcpStream::connect(target).await else { return };
                    let mut copying = pin!(copy_bidirectional(&mut near, &mut far));
                    loop {
                        // A hung link loses nothing and delivers nothing.
                        tokio::select! {
                            biased;
                            () = released.notified() => {
                                while is_hung.get() {
                                    released.notified().await;
                                }
                            }
                            _ = &mut copying => return,
                        }
                    }
                });
                link.connections.borrow_mut().push(relaying.abort_handle());
            }
        });
        *self.accepting.borrow_mut() = Some(accepting);
    }

    async fn cut(&self, form: CutForm) {
        if form == CutForm::Hang {
            self.is_hung.set(true);
            self.released.notify_waiters();
            // The accepting task takes one, the queue the others.
            for _ in 0..4 {
                let filling = timeout(Duration::from_millis(20), TcpStream::connect(self.listed));
                if let Ok(Ok(stream)) = filling.await {
                    self.filling.borrow_mut().push(stream);
                }
            }
            return;
        }
        if let Some(accepting) = self.accepting.take() {
            accepting.abort();
            // The listener closes once the task has ended.
            assert!(accepting.await.is_err_and(|error| error.is_cancelled()));
        }
        if form == CutForm::Reset {
            self.connections.take().iter().for_each(AbortHandle::abort);
        }
    }

    fn mend(self: &Rc<Self>) {
        self.filling.take();
        self.is_hung.set(false);
        self.released.notify_waiters();
        if self.accepting.borrow().is_none() {
            self.clone().listen();
        }
    }
}

/// An endpoint of the plain service `desk`, or one of `guide` that holds the whole model.
pub(crate) struct TestEndpoint {
    pub(crate) entry: EndpointEntry,
    /// Attempts that it received, with their headers.
    pub(crate) arrivals: RefCell<Vec<(Box<str>, HeaderMap)>>,
    /// Requests for its state.
    pub(crate) probes: Cell<u32>,
    /// Calls in progress.
    pub(crate) open: Cell<u32>,
    /// Calls that it runs at once; it refuses others as full.
    pub(crate) max_open: Cell<u32>,
    /// Attempts that it ran.
    pub(crate) runs: RefCell<Vec<Box<str>>>,
    /// Time that a plain call takes.
    pub(crate) call_time: Cell<Duration>,
    /// Plain calls that it runs and answers with an error, before it answers others as it should.
    pub(crate) failures: Cell<u32>,
    pub(crate) events: Cell<u64>,
}

/// Counts a call as in progress until dropped.
struct OpenCall(Rc<TestEndpoint>);

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

fn event(number: u64) -> String {
    format!("id: {number}\ndata: word\n\n")
}

/// Body of a complete stream.
pub(crate) fn all_events(count: u64) -> String {
    (1..=count).map(event).collect()
}

impl TestEndpoint {
    async fn start(name: &str, service: &str, slots: u32) -> Rc<Self> {
        let address = SocketAddr::new(own_address(), PORT);
        let is_engine = service == "guide";
        let endpoint = Rc::new(Self {
            entry: EndpointEntry {
                name: name.into(),
                service: service.into(),
                address,
                domain: "north".into(),
                slots,
                is_draining: false,
                orders: 0,
                start_unix_ms: 1,
                card: is_engine.then(|| "k".into()),
                layers: is_engine.then_some(LayerSpan { from: 0, to: 4 }),
                under_way: None,
            },
            arrivals: RefCell::default(),
            probes: Cell::default(),
            open: Cell::default(),
            max_open: Cell::new(u32::MAX),
            runs: RefCell::default(),
            call_time: Cell::new(CALL_TIME),
            failures: Cell::default(),
            events: Cell::new(20),
        });
        let server = endpoint.clone();
        serve(address, move |request| server.clone().reply(request)).await;
        endpoint
    }

    async fn reply(self: Rc<Self>, request: Request<Incoming>) -> Response<TestBody> {
        match request.uri().path() {
            "/report" => {
                self.probes.set(self.probes.get() + 1);
                return Response::new(body("{}"));
            }
            "/order" => {
                let mut response = Response::new(body("{}"));
                *response.status_mut() = StatusCode::CONFLICT;
                return response;
            }
            _ => {}
        }
        let (parts, sent) = request.into_parts();
        let attempt = text(&parts.headers, "attempt").unwrap_or_default();
        self.arrivals.borrow_mut().push((attempt.into(), parts.headers.clone()));
        if self.open.get() >= self.max_open.get() {
            let refused = Response::builder().status(503).header("not-run", "1");
            return refused.body(body("full")).expect("a valid response");
        }
        self.runs.borrow_mut().push(attempt.into());
        self.open.set(self.open.get() + 1);
        let open = OpenCall(self.clone());
        let _ = sent.collect().await;
        let response = Response::builder().header("served-by", &*self.entry.name);
        if &*self.entry.service == "desk" {
            sleep(self.call_time.get()).await;
            drop(open);
            if let Some(left) = self.failures.get().checked_sub(1) {
                self.failures.set(left);
                return response.status(500).body(body("failed")).expect("a valid response");
            }
            return response.status(201).body(body("booked")).expect("a valid response");
        }
        let last = number(&parts.headers, "last-event-id").unwrap_or(0);
        let (mut events, received) = futures::channel::mpsc::channel(0);
        let count = self.events.get();
        tokio::task::spawn_local(async move {
            for number in last + 1..=count {
                sleep(EVENT_PAUSE).await;
                let frame = Frame::data(Bytes::from(event(number)));
                if events.send(Ok(frame)).await.is_err() {
                    break;
                }
            }
            drop(open);
        });
        response.body(BodyExt::boxed(StreamBody::new(received))).expect("a valid response")
    }
}

/// Serves HTTP on an address until the test ends.
pub(crate) async fn serve<F>(
    address: SocketAddr,
    handler: impl Fn(Request<Incoming>) -> F + Clone + 'static,
) where
    F: Future<Output = Response<TestBody>> + 'static,
{
    let listener = TcpListener::bind(address).await.expect("a free loopback address");
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let handler = handler.clone();
            let service = service_fn(move |request| {
                let reply = handler(request);
                async move { Ok::<_, Infallible>(reply.await) }
            });
            tokio::task::spawn_local(async move {
                // Connections end with an error when a test ends them.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
}

/// A running entry host.
pub(crate) struct TestHost {
    pub(crate) state: Rc<EntryState>,
    links: Vec<(Box<str>, Rc<Link>)>,
    task: RefCell<Option<JoinHandle<()>>>,
}

impl TestHost {
    /// Cuts the links to all endpoints of a service.
    pub(crate) async fn cut(&self, service: &str, form: CutForm) {
        let links = self.links.iter().filter(|(of, _)| **of == *service);
        futures::future::join_all(links.map(|(_, link)| link.cut(form))).await;
    }

    /// Mends all links.
    pub(crate) fn mend(&self) {
        self.links.iter().for_each(|(_, link)| link.mend());
    }

    /// Ends the host with all its connections, as a crash does.
    pub(crate) fn kill(&self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }

    pub(crate) fn is_lost(&self, service: &str) -> bool {
        self.state.reach.borrow().is_lost(service, Instant::now())
    }

    /// Number of forwarded calls of an outcome at this end, over both services.
    pub(crate) fn forwarded(&self, end: &str, outcome: &str) -> i64 {
        let services = ["desk", "guide", "unknown"];
        let value = |service: &str| {
            self.state.metrics.value(MetricName::ForwardedCalls, &[service, end, outcome])
        };
        services.into_iter().map(value).sum()
    }

    /// Calls the host; returns the status, the headers and the body of a complete answer.
    pub(crate) async fn call(
        &self,
        path: &str,
        attempt: &str,
    ) -> Result<(u16, HeaderMap, Bytes), String> {
        let answered = async {
            let (mut sender, _connection) = self.connect().await;
            let response = sender.send_request(request(path, attempt)).await;
            let (parts, body) = response.map_err(|error| error.to_string())?.into_parts();
            let body = body.collect().await.map_err(|error| error.to_string())?;
            Ok((parts.status.as_u16(), parts.headers, body.to_bytes()))
        };
        timeout(CALLER_TIMEOUT, answered).await.unwrap_or_else(|_| Err("no answer".into()))
    }

    /// Status of the answer to a call.
    pub(crate) async fn status(&self, path: &str, attempt: &str) -> u16 {
        self.call(path, attempt).await.map_or(0, |(status, ..)| status)
    }

    /// Connects to the host as a caller does; the connection closes with the guard.
    pub(crate) async fn connect(&self) -> (client::SendRequest<Full<Bytes>>, ConnectionGuard) {
        let stream = TcpStream::connect(self.state.options.front).await.expect("a connection");
        let (sender, connection) =
            client::handshake(TokioIo::new(stream)).await.expect("a connection");
        let task = tokio::task::spawn_local(async move {
            // A test closes connections with calls in progress.
            let _ = connection.await;
        });
        (sender, ConnectionGuard(task))
    }
}

/// Closes a caller's connection when dropped.
pub(crate) struct ConnectionGuard(JoinHandle<()>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A caller's request.
pub(crate) fn request(path: &str, attempt: &str) -> Request<Full<Bytes>> {
    Request::post(format!("{path}?n=1"))
        .header("host", "site.example")
        .header("attempt", attempt)
        .header("key", KEY)
        .header("deadline-ms", "4000")
        .body(Full::from("{}"))
        .expect("a valid request")
}

/// Hosts and endpoints with their registry. Each host but the first has links of its own to the
/// endpoints.
pub(crate) struct TestSite {
    pub(crate) registry: Rc<FakeRegistry>,
    pub(crate) endpoints: Vec<Rc<TestEndpoint>>,
    pub(crate) hosts: Vec<TestHost>,
    /// Registries of the hosts that see endpoints at addresses of their own.
    own_registries: Vec<Rc<FakeRegistry>>,
    rules: ServingRules,
}

impl TestSite {
    /// Starts endpoints and hosts, and waits until all know one another. Must be called within a
    /// `LocalSet`.
    pub(crate) async fn start(hosts: usize) -> Self {
        Self::start_with(hosts, SLOTS, rules()).await
    }

    /// The same with endpoints of other slots, and other rules.
    pub(crate) async fn start_with(hosts: usize, slots: u32, rules: ServingRules) -> Self {
        let (registry, endpoints) = (Rc::default(), Vec::new());
        let (hosts_started, own_registries) = (Vec::new(), Vec::new());
        let mut site = Self { registry, endpoints, hosts: hosts_started, own_registries, rules };
        let services: Vec<_> = site.rules.services.keys().cloned().collect();
        for service in &services {
            for number in 0..3 {
                let endpoint =
                    TestEndpoint::start(&format!("{service}-{number}"), service, slots).await;
                site.registry.write_endpoint(endpoint.entry.clone());
                site.endpoints.push(endpoint);
            }
        }
        site.registry.write_rules(site.rules.clone());
        for number in 0..hosts {
            site.add_host(number).await;
        }
        site.wait_for_hosts(hosts).await;
        site
    }

    /// Waits until every host knows all others.
    pub(crate) async fn wait_for_hosts(&self, count: usize) {
        let is_settled = |host: &TestHost| {
            host.state.host_count() == count
                && host.state.rules().is_some()
                && host.state.endpoints.borrow().entries().count() == self.endpoints.len()
        };
        timeout(Duration::from_secs(20), async {
            while !self.hosts.iter().all(is_settled) {
                sleep(Duration::from_millis(20)).await;
            }
        })
        .await
        .expect("the hosts learn of one another");
    }

    /// Removes an endpoint from the registries of all hosts.
    pub(crate) fn remove_endpoint(&self, name: &str) {
        let registries = self.own_registries.iter().chain([&self.registry]);
        registries.for_each(|registry| registry.remove_endpoint(name));
    }

    async fn add_host(&mut self, number: usize) {
        let name = format!("h{number}");
        let shared = self.registry.client(&name);
        let mut links = Vec::new();
        let registry = if number == 0 {
            shared
        } else {
            // Revisions above those of the other hosts, so that the host does not take over a table
            // with addresses of another one.
            let own: Rc<FakeRegistry> = Rc::default();
            for _ in 0..1_000 * number as u64 {
                own.write_rules(self.rules.clone());
            }
            for endpoint in &self.endpoints {
                let link = Link::open(endpoint.entry.address).await;
                own.write_endpoint(EndpointEntry {
                    address: link.listed,
                    ..endpoint.entry.clone()
                });
                links.push((endpoint.entry.service.clone(), link));
            }
            self.own_registries.push(own.clone());
            Box::new(HostRegistry { own: own.client(&name), shared })
        };
        let address = own_address();
        let listen = |offset| SocketAddr::new(address, PORT + offset);
        let options = EntryOptions {
            host: (*name).into(),
            domain: "north".into(),
            capacity: 250 - number as u32,
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
        let state = Rc::new(EntryState::new(options, Box::new(TestCodec), registry));
        let running = state.clone();
        let task = tokio::task::spawn_local(async move {
            let ended = LocalSet::new().run_until(run_entry(running)).await;
            ended.expect("the host's addresses are free");
        });
        if number == 0 {
            // The first host becomes the placement holder, whose table the others would take over.
            timeout(Duration::from_secs(20), async {
                while !state.is_holder() {
                    sleep(Duration::from_millis(20)).await;
                }
            })
            .await
            .expect("the first host takes the lease");
        }
        self.hosts.push(TestHost { state, links, task: RefCell::new(Some(task)) });
    }

    /// Cuts the links of a host, calls it until it has noticed, and waits until the others know.
    pub(crate) async fn lose(&self, host: usize, service: &str, form: CutForm) {
        let host = &self.hosts[host];
        host.cut(service, form).await;
        let path = if service == "desk" { "/lookup/x" } else { "/guide/x" };
        let started = Instant::now();
        while !host.is_lost(service) {
            assert!(
                started.elapsed() < Duration::from_secs(4),
                "{form:?}: {} has not noticed after 4 s; {:?}, endpoints {:?}, version {}",
                host.state.options.host,
                host.state.reach.borrow(),
                host.state.endpoints.borrow().entries().map(|it| it.address).collect::<Vec<_>>(),
                host.state.endpoints.borrow().version(),
            );
            let _ = timeout(Duration::from_millis(250), host.call(path, "warm")).await;
        }
    }

    /// Makes a host forget that others refuse its calls, so that it asks them again.
    pub(crate) fn forget_refusals(&self, sender: usize) {
        let sender = &self.hosts[sender].state;
        let (mut reach, now) = (sender.reach.borrow_mut(), Instant::now());
        let others = self.hosts.iter().map(|host| &host.state.options.host);
        for other in others.filter(|other| **other != sender.options.host) {
            reach.apply(&sender.options.host, other, Vec::new(), now);
            reach.avoid_host(other, now);
        }
    }

    /// Number of times that the endpoints received an attempt.
    pub(crate) fn arrivals(&self, attempt: &str) -> usize {
        let count = |endpoint: &Rc<TestEndpoint>| {
            endpoint.arrivals.borrow().iter().filter(|(of, _)| **of == *attempt).count()
        };
        self.endpoints.iter().map(count).sum()
    }

    /// Headers of all requests that endpoints received.
    pub(crate) fn received_headers(&self) -> Vec<HeaderMap> {
        let received = self.endpoints.iter().map(|endpoint| endpoint.arrivals.borrow().clone());
        received.flatten().map(|(_, headers)| headers).collect()
    }

    /// Calls in progress at the endpoints.
    pub(crate) fn open_calls(&self) -> u32 {
        self.endpoints.iter().map(|endpoint| endpoint.open.get()).sum()
    }

    /// Registers a host that a test serves itself; returns its address.
    pub(crate) async fn register_host(&self, name: &str) -> SocketAddr {
        self.register_host_of(name, 250).await
    }

    /// Adds a host that accepts connections and requests and never answers; returns the attempts of
    /// the forwarded calls that it receives. Its capacity makes it the first to be asked among hosts
    /// that are equal otherwise.
    pub(crate) async fn add_silent_host(&self, name: &str) -> ReceivedAttempts {
        let address = self.register_host_of(name, 1_000_000).await;
        let received = ReceivedAttempts::default();
        let record = received.clone();
        serve(address, move |request| {
            if request.uri().path().starts_with("/forward/") {
                let attempt = text(request.headers(), "attempt").unwrap_or_default();
                record.borrow_mut().push(attempt.into());
            }
            std::future::pending()
        })
        .await;
        received
    }

    async fn register_host_of(&self, name: &str, capacity: u32) -> SocketAddr {
        let address = SocketAddr::new(own_address(), PORT);
        let text = format!("{address} north {capacity}").into();
        let client = self.registry.client(name);
        let written = client.write_record(RecordGroup::Hosts, name.into(), None, text).await;
        written.expect("the record is written");
        address
    }
}

/// Registry of a host that sees endpoints at addresses of its own.
struct HostRegistry {
    own: Box<dyn RegistryClient>,
    shared: Box<dyn RegistryClient>,
}

impl RegistryClient for HostRegistry {
    fn rules(&self) -> RegistryResult<'_, (RegistryVersion, Option<ServingRules>)> {
        self.own.rules()
    }

    fn watch_rules(
        &self,
        after: RegistryVersion,
        wait: Duration,
    ) -> RegistryResult<'_, (RegistryVersion, Option<ServingRules>)> {
        self.own.watch_rules(after, wait)
    }

    fn endpoints(&self) -> RegistryResult<'_, (RegistryVersion, Vec<EndpointEntry>)> {
        self.own.endpoints()
    }

    fn watch_endpoints(
        &self,
        after: RegistryVersion,
        wait: Duration,
    ) -> RegistryResult<'_, (RegistryVersion, Vec<jacinthrock_entry::EndpointChange>)> {
        self.own.watch_endpoints(after, wait)
    }

    fn records(
        &self,
        group: RecordGroup,
    ) -> RegistryResult<'_, (RegistryVersion, Vec<jacinthrock_entry::RegistryRecord>)> {
        self.shared.records(group)
    }

    fn write_record(
        &self,
        group: RecordGroup,
        name: Box<str>,
        expected: Option<RegistryVersion>,
        text: Box<str>,
    ) -> RegistryResult<'_, RegistryVersion> {
        self.shared.write_record(group, name, expected, text)
    }

    fn delete_record(&self, group: RecordGroup, name: Box<str>) -> RegistryResult<'_, ()> {
        self.shared.delete_record(group, name)
    }
}

/// Rules with the routes `/desk/` (must run at most once) and `/lookup/` to a plain service, and
/// `/guide/` and `/talk/` (must run at most once) to a service of streams.
pub(crate) fn rules() -> ServingRules {
    let route = |name: &str, retry_policy, service: &str| RouteRule {
        name: name.into(),
        host: "site.example".into(),
        prefix: format!("/{name}/").into(),
        targets: vec![(service.into(), 1)],
        retry_policy,
        is_stream: service == "guide",
        timeout: Duration::from_secs(4),
        objective: Duration::from_millis(500),
        event_gap: Duration::from_millis(500),
        max_attempts: 2,
        priority: 0,
        is_open: false,
    };
    let card = CardProfile { memory_mb: 100.0, step_factor: 1.0, prefill_factor: 1.0 };
    let engine = EngineProfile {
        layers: 4,
        layer_mb: 10.0,
        token_layer_mb: 0.001,
        step_ms: 1.0,
        request_ms: 0.0,
        context_ms: 0.0,
        prefill_tokens_per_ms: 100.0,
        load_time: Duration::from_millis(500),
        parallel_loads: 4,
        activation_bytes: 1_000.0,
        link_mbps: 0.0,
        mean_prompt_tokens: 30,
        mean_output_tokens: 40,
        event_tokens: 1,
        cards: [("k".into(), card)].into(),
    };
    let service =
        |engine| ServiceRule { max_connections: 200, health_path: "/health".into(), engine };
    let customer = CustomerRule { name: "amber".into(), keys: vec![KEY.into()], priority: None };
    ServingRules {
        version: 1,
        routes: vec![
            route("desk", RetryPolicy::Once, "desk"),
            route("lookup", RetryPolicy::Safe, "desk"),
            route("guide", RetryPolicy::Resumable, "guide"),
            route("talk", RetryPolicy::Once, "guide"),
        ],
        services: BTreeMap::from([
            ("desk".into(), service(None)),
            ("guide".into(), service(Some(engine))),
        ]),
        customers: vec![customer],
        ..ServingRules::default()
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

struct TestCodec;

impl CallCodec for TestCodec {
    fn read_call(&self, headers: &HeaderMap) -> CallHead {
        CallHead {
            attempt: text(headers, "attempt").unwrap_or_default().into(),
            deadline: number(headers, "deadline-ms").map(Duration::from_millis),
            key: text(headers, "key").map(Into::into),
            resume_after: number(headers, "last-event-id"),
            ..CallHead::default()
        }
    }

    fn endpoint_headers(&self, caller: &HeaderMap, send: &SendHead<'_>) -> HeaderMap {
        let mut headers = caller.clone();
        headers.remove("key");
        if let Some(after) = send.resume_after {
            headers.insert("last-event-id", after.into());
        }
        headers
    }

    fn forward_headers(
        &self,
        caller: &HeaderMap,
        deadline: Duration,
        resume_after: Option<u64>,
    ) -> HeaderMap {
        let mut headers = caller.clone();
        headers.insert("deadline-ms", (deadline.as_millis() as u64).into());
        if let Some(after) = resume_after {
            headers.insert("last-event-id", after.into());
        }
        headers
    }

    fn mark_not_run(&self, headers: &mut HeaderMap) {
        headers.insert("not-run", 1.into());
    }

    fn read_reply(&self, _: &str, headers: &HeaderMap) -> ReplyHead {
        ReplyHead {
            is_not_run: headers.contains_key("not-run"),
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

    fn read_report(&self, _: &[u8]) -> Option<EndpointReport> {
        Some(EndpointReport {
            orders: 0,
            is_busy: false,
            layers: Some(LayerSpan { from: 0, to: 4 }),
            start_unix_ms: 1,
            kv_usage: 0.0,
            stalled: Vec::new(),
        })
    }

    fn order_path(&self) -> &'static str {
        "/order"
    }

    fn expect_endpoint(&self, _: &mut HeaderMap, _: &EndpointName) {}

    fn placement_order(&self, _: LayerSpan, _: u64) -> Vec<u8> {
        Vec::new()
    }

    fn repath_order(&self, _: &str, _: &[PathStage]) -> Vec<u8> {
        Vec::new()
    }

    fn read_order_fault(&self, _: &[u8]) -> Option<SocketAddr> {
        None
    }
}
