//! Peer protocol over capnp-rpc: transport, listener and message encoding.

use capnp::message::{Builder, ReaderOptions};
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use capnp_rpc::{RpcSystem, new_client};
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::gossip::{DrainMark, LoadReport, PeerDigest};
use crate::membership::{HeartbeatEcho, HostState, MemberBeat, MemberRecord};
use crate::metrics::{MetricName, MetricRegistry};
use crate::pack::{deflate, inflate};
use crate::peer::{ConfigSnapshot, PeerError, PeerResponder, PeerTransport};
use crate::peer_capnp::{self as wire, peer_host};
use crate::quota::{CustomerDemand, DemandReport};

/// Maximum number of outbound connections kept open.
const MAX_POOLED_CONNECTIONS: usize = 16;

/// Maximum number of inbound connections served at once.
const MAX_INBOUND_CONNECTIONS: usize = 512;

/// Delay after a failed accept, so that a shortage of file descriptors causes no busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Unit of ages on the wire, in milliseconds.
const AGE_UNIT_MS: u128 = 10;

/// Largest message that a peer may send, in words of 8 bytes: a configuration with room to spare.
const MAX_MESSAGE_WORDS: usize = (2 << 20) / 8;

/// Peer transport over capnp-rpc with a pool of open connections.
pub struct RpcTransport {
    connections: Rc<RefCell<VecDeque<PeerConnection>>>,
    metrics: Arc<MetricRegistry>,
}

struct PeerConnection {
    address: Box<str>,
    client: peer_host::Client,
    task: JoinHandle<()>,
}

/// Server for calls from peers over capnp-rpc.
pub struct RpcListener {
    listener: TcpListener,
    metrics: Arc<MetricRegistry>,
}

struct PeerServer {
    responder: Rc<dyn PeerResponder>,
}

/// TCP stream that counts the bytes sent and received.
struct CountedStream {
    stream: TcpStream,
    metrics: Arc<MetricRegistry>,
}

/// Counts one open inbound connection until dropped.
struct InboundSlot {
    count: Rc<Cell<usize>>,
}

impl RpcTransport {
    /// Creates a transport without open connections.
    pub fn new(metrics: Arc<MetricRegistry>) -> Self {
        Self { connections: Rc::default(), metrics }
    }

    fn client(
        &self,
        address: &str,
    ) -> impl Future<Output = Result<peer_host::Client, Box<str>>> + use<> {
        let known = self.pooled_client(address);
        let connections = self.connections.clone();
        let metrics = self.metrics.clone();
        let address: Box<str> = address.into();
        async move {
            if let Some(client) = known {
                return Ok(client);
            }
            let connection =
                connect(&address, metrics).await.map_err(|error| error_text(&error))?;
            let client = connection.client.clone();
            pool_connection(&connections, connection);
            Ok(client)
        }
    }

    fn pooled_client(&self, address: &str) -> Option<peer_host::Client> {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|connection| !connection.task.is_finished());
        let index = connections.iter().position(|connection| &*connection.address == address)?;
        let connection = connections.remove(index)?;
        let client = connection.client.clone();
        connections.push_back(connection);
        Some(client)
    }
}

impl PeerTransport for RpcTransport {
    fn exchange(
        &self,
        host: &str,
        address: &str,
        digest: PeerDigest,
    ) -> LocalBoxFuture<'static, Result<PeerDigest, PeerError>> {
        let call = CallGuard::new(self, address);
        let client = self.client(address);
        let host: Box<str> = host.into();
        async move {
            let reply = call_exchange(client, &digest).await;
            call.finish(reply.is_ok());
            reply.map_err(|reason| PeerError { host, reason })
        }
        .boxed_local()
    }

    fn fetch_config(
        &self,
        host: &str,
        address: &str,
    ) -> LocalBoxFuture<'static, Result<ConfigSnapshot, PeerError>> {
        let call = CallGuard::new(self, address);
        let client = self.client(address);
        let host: Box<str> = host.into();
        async move {
            let reply = call_fetch_config(client).await;
            call.finish(reply.is_ok());
            reply.map_err(|reason| PeerError { host, reason })
        }
        .boxed_local()
    }
}

/// Closes the connection of a call that failed or was cancelled, so that the next call opens a new
/// one.
struct CallGuard {
    connections: Rc<RefCell<VecDeque<PeerConnection>>>,
    address: Box<str>,
    succeeded: bool,
}

impl CallGuard {
    fn new(transport: &RpcTransport, address: &str) -> Self {
        let connections = transport.connections.clone();
        Self { connections, address: address.into(), succeeded: false }
    }

    fn finish(mut self, succeeded: bool) {
        self.succeeded = succeeded;
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if !self.succeeded {
            self.connections.borrow_mut().retain(|known| known.address != self.address);
        }
    }
}

impl Drop for PeerConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl RpcListener {
    /// Binds a listener to the address.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(listen: SocketAddr, metrics: Arc<MetricRegistry>) -> io::Result<Self> {
        Ok(Self { listener: TcpListener::bind(listen).await?, metrics })
    }

    /// Address on which the listener accepts connections.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not report the address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts connections and serves calls until the future is dropped.
    pub async fn serve(self, responder: Rc<dyn PeerResponder>) {
        let client: peer_host::Client = new_client(PeerServer { responder });
        let count = Rc::new(Cell::new(0));
        loop {
            let Ok((stream, _)) = self.listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            if count.get() >= MAX_INBOUND_CONNECTIONS {
                continue;
            }
            let slot = InboundSlot::new(&count);
            let network = rpc_network(stream, self.metrics.clone(), Side::Server);
            let system = RpcSystem::new(Box::new(network), Some(client.clone().client));
            tokio::task::spawn_local(async move {
                // The calling peer reconnects after a broken connection.
                let _ = system.await;
                drop(slot);
            });
        }
    }
}

impl InboundSlot {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self { count: count.clone() }
    }
}

impl Drop for InboundSlot {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}

impl peer_host::Server for PeerServer {
    async fn exchange(
        self: Rc<Self>,
        params: peer_host::ExchangeParams,
        mut results: peer_host::ExchangeResults,
    ) -> Result<(), capnp::Error> {
        let digest = read_digest(params.get()?.get_digest()?)?;
        let reply = self.responder.exchange(&digest);
        write_digest(results.get().init_digest(), &reply);
        Ok(())
    }

    async fn fetch_config(
        self: Rc<Self>,
        _params: peer_host::FetchConfigParams,
        mut results: peer_host::FetchConfigResults,
    ) -> Result<(), capnp::Error> {
        if let Some(snapshot) = self.responder.config() {
            results.get().set_revision(snapshot.revision);
            let value = deflate(&snapshot.value).map_err(capnp::Error::from)?;
            results.get().set_value(&value);
        }
        Ok(())
    }
}

/// Size of a digest in bytes when encoded as a separate message.
pub fn digest_bytes(digest: &PeerDigest) -> usize {
    let mut message = Builder::new_default();
    write_digest(message.init_root(), digest);
    capnp::serialize::compute_serialized_size_in_words(&message) * 8
}

async fn connect(address: &str, metrics: Arc<MetricRegistry>) -> io::Result<PeerConnection> {
    let stream = TcpStream::connect(address).await?;
    let network = rpc_network(stream, metrics, Side::Client);
    let mut system = RpcSystem::new(Box::new(network), None);
    let client: peer_host::Client = system.bootstrap(Side::Server);
    let task = tokio::task::spawn_local(async move {
        // Calls on a broken connection return the error themselves.
        let _ = system.await;
    });
    Ok(PeerConnection { address: address.into(), client, task })
}

fn pool_connection(
    connections: &Rc<RefCell<VecDeque<PeerConnection>>>,
    connection: PeerConnection,
) {
    let mut connections = connections.borrow_mut();
    connections.push_back(connection);
    if connections.len() > MAX_POOLED_CONNECTIONS {
        connections.pop_front();
    }
}

fn rpc_network(
    stream: TcpStream,
    metrics: Arc<MetricRegistry>,
    side: Side,
) -> VatNetwork<impl futures::AsyncRead + Unpin> {
    // Low latency matters more than fewer packets; a socket without the option still works.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = tokio::io::split(CountedStream { stream, metrics });
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    VatNetwork::new(reader.compat(), writer.compat_write(), side, options)
}

async fn call_exchange(
    client: impl Future<Output = Result<peer_host::Client, Box<str>>>,
    digest: &PeerDigest,
) -> Result<PeerDigest, Box<str>> {
    let client = client.await?;
    let mut request = client.exchange_request();
    write_digest(request.get().init_digest(), digest);
    let response = request.send().promise.await.map_err(|error| error_text(&error))?;
    let results = response.get().map_err(|error| error_text(&error))?;
    let digest = results.get_digest().map_err(|error| error_text(&error))?;
    read_digest(digest).map_err(|error| error_text(&error))
}

async fn call_fetch_config(
    client: impl Future<Output = Result<peer_host::Client, Box<str>>>,
) -> Result<ConfigSnapshot, Box<str>> {
    let client = client.await?;
    let response = client.fetch_config_request().send().promise.await;
    let response = response.map_err(|error| error_text(&error))?;
    let results = response.get().map_err(|error| error_text(&error))?;
    if results.get_revision() == 0 {
        return Err("host has no configuration".into());
    }
    let value = results.get_value().map_err(|error| error_text(&error))?;
    let value = inflate(value).map_err(|error| error_text(&error))?;
    Ok(ConfigSnapshot { revision: results.get_revision(), value })
}

fn error_text(error: &impl ToString) -> Box<str> {
    error.to_string().into()
}

fn write_digest(mut builder: wire::peer_digest::Builder<'_>, digest: &PeerDigest) {
    write_beat(builder.reborrow().init_sender(), &digest.sender);
    builder.set_revision(digest.revision);
    builder.set_newest_revision(digest.newest_revision);
    builder.set_newest_host(digest.newest_host);
    let mut echo = builder.reborrow().init_echo();
    echo.set_incarnation(digest.echo.incarnation);
    echo.set_heartbeat(digest.echo.heartbeat);
    builder.set_complete(digest.complete);
    let mut beats = builder.reborrow().init_beats(digest.beats.len() as u32);
    for (index, beat) in digest.beats.iter().enumerate() {
        write_beat(beats.reborrow().get(index as u32), beat);
    }
    let mut records = builder.reborrow().init_records(digest.records.len() as u32);
    for (index, record) in digest.records.iter().enumerate() {
        write_record(records.reborrow().get(index as u32), record);
    }
    let mut wanted = builder.reborrow().init_wanted(digest.wanted.len() as u32);
    for (index, hash) in digest.wanted.iter().enumerate() {
        wanted.set(index as u32, *hash);
    }
    let mut demands = builder.reborrow().init_demands(digest.demands.len() as u32);
    for (index, report) in digest.demands.iter().enumerate() {
        write_demand(demands.reborrow().get(index as u32), report);
    }
    let mut loads = builder.reborrow().init_loads(digest.loads.len() as u32);
    for (index, report) in digest.loads.iter().enumerate() {
        write_load(loads.reborrow().get(index as u32), report);
    }
    let mut marks = builder.init_marks(digest.marks.len() as u32);
    for (index, mark) in digest.marks.iter().enumerate() {
        write_mark(marks.reborrow().get(index as u32), mark);
    }
}

fn write_beat(mut builder: wire::member_beat::Builder<'_>, beat: &MemberBeat) {
    builder.set_host(beat.host);
    builder.set_incarnation(beat.incarnation);
    builder.set_heartbeat(beat.heartbeat);
    builder.set_state(encode_state(beat.state));
    builder.set_age(encode_age(beat.age));
}

fn write_record(mut builder: wire::member_record::Builder<'_>, record: &MemberRecord) {
    builder.set_host(&*record.host);
    builder.set_domain(&*record.domain);
    builder.set_address(&*record.address);
    builder.set_incarnation(record.incarnation);
    builder.set_heartbeat(record.heartbeat);
    builder.set_state(encode_state(record.state));
    builder.set_revision(record.revision);
}

fn write_demand(mut builder: wire::demand_report::Builder<'_>, report: &DemandReport) {
    builder.set_customer(report.customer);
    builder.set_rate(report.demand.rate);
    builder.set_concurrent(report.demand.concurrent);
}

fn write_load(mut builder: wire::load_report::Builder<'_>, report: &LoadReport) {
    builder.set_endpoint(report.endpoint);
    builder.set_running(report.running);
    builder.set_waiting(report.waiting);
    builder.set_leaving(report.leaving);
    builder.set_age(encode_age(report.age));
}

fn write_mark(mut builder: wire::drain_mark::Builder<'_>, mark: &DrainMark) {
    builder.set_endpoint(mark.endpoint);
    builder.set_version(mark.version);
    builder.set_draining(mark.draining);
}

fn read_digest(reader: wire::peer_digest::Reader<'_>) -> Result<PeerDigest, capnp::Error> {
    let beats: Result<_, _> = reader.get_beats()?.iter().map(read_beat).collect();
    let records: Result<_, _> = reader.get_records()?.iter().map(read_record).collect();
    Ok(PeerDigest {
        sender: read_beat(reader.get_sender()?)?,
        revision: reader.get_revision(),
        newest_revision: reader.get_newest_revision(),
        newest_host: reader.get_newest_host(),
        echo: read_echo(reader.get_echo()?),
        complete: reader.get_complete(),
        beats: beats?,
        records: records?,
        wanted: reader.get_wanted()?.iter().collect(),
        demands: reader.get_demands()?.iter().map(read_demand).collect(),
        loads: reader.get_loads()?.iter().map(read_load).collect(),
        marks: reader.get_marks()?.iter().map(read_mark).collect(),
    })
}

fn read_beat(reader: wire::member_beat::Reader<'_>) -> Result<MemberBeat, capnp::Error> {
    Ok(MemberBeat {
        host: reader.get_host(),
        incarnation: reader.get_incarnation(),
        heartbeat: reader.get_heartbeat(),
        state: decode_state(reader.get_state()?),
        age: decode_age(reader.get_age()),
    })
}

fn read_echo(reader: wire::heartbeat_echo::Reader<'_>) -> HeartbeatEcho {
    HeartbeatEcho { incarnation: reader.get_incarnation(), heartbeat: reader.get_heartbeat() }
}

fn read_record(reader: wire::member_record::Reader<'_>) -> Result<MemberRecord, capnp::Error> {
    Ok(MemberRecord {
        host: reader.get_host()?.to_str()?.into(),
        domain: reader.get_domain()?.to_str()?.into(),
        address: reader.get_address()?.to_str()?.into(),
        incarnation: reader.get_incarnation(),
        heartbeat: reader.get_heartbeat(),
        revision: reader.get_revision(),
        state: decode_state(reader.get_state()?),
    })
}

fn read_demand(reader: wire::demand_report::Reader<'_>) -> DemandReport {
    let demand = CustomerDemand { rate: reader.get_rate(), concurrent: reader.get_concurrent() };
    DemandReport { customer: reader.get_customer(), demand }
}

fn read_load(reader: wire::load_report::Reader<'_>) -> LoadReport {
    LoadReport {
        endpoint: reader.get_endpoint(),
        running: reader.get_running(),
        waiting: reader.get_waiting(),
        leaving: reader.get_leaving(),
        age: decode_age(reader.get_age()),
    }
}

fn read_mark(reader: wire::drain_mark::Reader<'_>) -> DrainMark {
    DrainMark {
        endpoint: reader.get_endpoint(),
        version: reader.get_version(),
        draining: reader.get_draining(),
    }
}

/// Rounds an age up to the wire unit, so that nothing appears newer than it is.
fn encode_age(age: Duration) -> u16 {
    age.as_millis().div_ceil(AGE_UNIT_MS).min(u128::from(u16::MAX)) as u16
}

fn decode_age(age: u16) -> Duration {
    Duration::from_millis(u64::from(age) * AGE_UNIT_MS as u64)
}

fn encode_state(state: HostState) -> wire::HostState {
    match state {
        HostState::Serving => wire::HostState::Serving,
        HostState::Draining => wire::HostState::Draining,
        HostState::Left => wire::HostState::Left,
    }
}

fn decode_state(state: wire::HostState) -> HostState {
    match state {
        wire::HostState::Serving => HostState::Serving,
        wire::HostState::Draining => HostState::Draining,
        wire::HostState::Left => HostState::Left,
    }
}

impl CountedStream {
    fn count(&self, direction: &str, bytes: usize) {
        self.metrics.add(MetricName::PeerBytes, &[direction], bytes as i64);
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.count("received", buffer.filled().len() - before);
        result
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, buffer);
        if let Poll::Ready(Ok(written)) = &result {
            self.count("sent", *written);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
