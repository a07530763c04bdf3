//! Requests between hosts: load exchange with the holder of the placement lease, which also
//! distributes its endpoint table, and registry snapshots for hosts that cannot reach the registry.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode, Uri};
use jacinthrock::HostName;
use rand::seq::IteratorRandom;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

use crate::endpoints::{ChangeNumber, EndpointEntry, EndpointUpdate, RegistryVersion};
use crate::follow::endpoints_changed;
use crate::front::serve_internal;
use crate::loads::LoadSum;
use crate::pool::{SendOptions, build_request};
use crate::response::{ResponseBody, full_body};
use crate::rules::ServingRules;
use crate::state::{EntryState, MAX_CONFIRMED_AGE, PlacementHolder};

/// Path of a host's registry snapshot.
const SNAPSHOT_PATH: &str = "/knowledge";
/// Path of the load exchange.
const LOADS_PATH: &str = "/loads";
/// Path of a host's status.
const STATUS_PATH: &str = "/word";
/// Idle time after which a connection to another host is not reused.
const MAX_IDLE: Duration = Duration::from_secs(1);
/// Timeout of a request to another host.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);
/// Shortest interval between two load exchanges; at the usual load, about ten streams start in it.
pub(crate) const MIN_EXCHANGE_INTERVAL: Duration = Duration::from_millis(200);
/// Largest number of hosts with the shortest interval; beyond it, the interval grows in proportion.
const MAX_HOSTS_AT_MIN_INTERVAL: u32 = 32;
/// Maximum size of a host's load report, in bytes.
const MAX_REPORT_BYTES: usize = 1 << 20;

/// Load report of a host to the holder of the placement lease.
#[derive(Debug, Serialize, Deserialize)]
struct HostReport {
    host: HostName,
    sum: LoadSum,
    /// `boot_id` of the holder, and the last change of its table that the host has seen.
    seen: Option<(u64, ChangeNumber)>,
}

/// The holder's reply to a load report.
#[derive(Debug, Serialize, Deserialize)]
struct HolderReply {
    total: LoadSum,
    /// `boot_id` of the holder; sequence numbers are valid only for the same one.
    boot: u64,
    /// Sequence number of the last change of the holder's table.
    number: ChangeNumber,
    version: RegistryVersion,
    /// Time since the registry last confirmed the holder's table, in ms.
    confirmed_ms: u64,
    /// Update of the endpoint table; none if the host is up to date.
    #[serde(rename = "news")]
    update: Option<EndpointUpdate>,
}

/// Rules and endpoints, as a host last read them from the registry or from another host.
#[derive(Debug, Serialize, Deserialize)]
struct RegistrySnapshot {
    rules_version: RegistryVersion,
    rules: Option<ServingRules>,
    endpoints_version: RegistryVersion,
    endpoints: Vec<EndpointEntry>,
}

/// Fetches the registry snapshot of one other host, chosen at random, and applies what is newer.
pub(crate) async fn pull_from_peer(state: &EntryState) {
    let chosen = {
        let peers = state.peers.borrow();
        peers.iter().choose(&mut rand::rng()).map(|(name, peer)| (name.clone(), peer.address))
    };
    let Some((name, address)) = chosen else { return };
    match fetch(state, address, SNAPSHOT_PATH, Vec::new()).await {
        Ok(snapshot) => apply_snapshot(state, snapshot),
        Err(error) => {
            log::info!(
                event = "peer_silent", peer = &*name, error;
                "could not fetch the registry snapshot of a peer"
            );
        }
    }
}

/// Exchanges loads with the holder of the placement lease until the process ends.
pub(crate) async fn exchange_loads(state: Rc<EntryState>) {
    let mut seen: Option<(HostName, u64, ChangeNumber)> = None;
    loop {
        sleep(exchange_interval(state.host_count())).await;
        let holder = state.placement_holder.borrow().clone();
        let Some(PlacementHolder { host: holder, address }) = holder else { continue };
        let own = LoadSum {
            loads: state.inflight.borrow().loads().clone(),
            crossing_tokens_per_s: state.inflight.borrow().crossing_tokens_per_s(),
        };
        if holder == state.options.host {
            seen = None;
            let now = Instant::now();
            let total =
                state.load_aggregator.borrow_mut().exchange(holder, own.clone(), now).clone();
            state.peer_loads.borrow_mut().update(total, own, state.host_count(), now);
            state.wake_queue();
            continue;
        }
        let known = seen.as_ref().filter(|(host, _, _)| *host == holder);
        let report = HostReport {
            host: state.options.host.clone(),
            sum: own.clone(),
            seen: known.map(|(_, boot, number)| (*boot, *number)),
        };
        let reply = match serde_json::to_vec(&report) {
            Ok(body) => fetch::<HolderReply>(&state, address, LOADS_PATH, body).await,
            Err(error) => Err(error.to_string()),
        };
        match reply {
            Ok(reply) => {
                let position = (holder, reply.boot, reply.number);
                seen = apply_reply(&state, own, reply).then_some(position);
            }
            Err(error) => {
                log::info!(
                    event = "peer_silent", peer = &*holder, error;
                    "could not exchange loads with the placement holder"
                );
            }
        }
    }
}

/// Interval between two load exchanges. It grows with the number of hosts, because the holder's
/// network link and processor serve them all; the more hosts, the older the loads that each knows.
pub(crate) fn exchange_interval(hosts: usize) -> Duration {
    MIN_EXCHANGE_INTERVAL.max(MIN_EXCHANGE_INTERVAL * hosts as u32 / MAX_HOSTS_AT_MIN_INTERVAL)
}

/// Applies the holder's reply; returns whether this host's table is now up to date with the
/// holder's.
fn apply_reply(state: &EntryState, own: LoadSum, reply: HolderReply) -> bool {
    let now = Instant::now();
    state.peer_loads.borrow_mut().update(reply.total, own, state.host_count(), now);
    let age = Duration::from_millis(reply.confirmed_ms);
    let is_confirmed = age < MAX_CONFIRMED_AGE;
    let has_update = reply.update.is_some();
    let is_current = reply.update.is_none_or(|update| {
        let mut endpoints = state.endpoints.borrow_mut();
        endpoints.apply_update(reply.version, update, is_confirmed, now)
    });
    state.holder_confirmed.set(now.checked_sub(age).filter(|_| is_current));
    if has_update && is_current {
        log::info!(
            event = "endpoints", registry = reply.version, source = "holder";
            "applied endpoint changes"
        );
        endpoints_changed(state);
    }
    state.wake_queue();
    is_current
}

/// Status of a host, with the placement holder if it knows of one.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct HostStatus {
    /// Whether the host is not shutting down.
    pub(crate) is_serving: bool,
    /// The holder whose replies the host receives, or the host itself, with its address.
    holder: Option<(HostName, SocketAddr)>,
}

impl HostStatus {
    /// The placement holder that the host knows of.
    pub(crate) fn holder(self) -> Option<PlacementHolder> {
        self.holder.map(|(host, address)| PlacementHolder { host, address })
    }
}

/// Fetches the status of another host; none if it does not reply.
pub(crate) async fn fetch_status(state: &EntryState, address: SocketAddr) -> Option<HostStatus> {
    fetch(state, address, STATUS_PATH, Vec::new()).await.ok()
}

fn own_status(state: &EntryState) -> HostStatus {
    let knows_holder = state.is_following_holder() || state.is_holder();
    let holder = state.placement_holder.borrow().clone().filter(|_| knows_holder);
    HostStatus {
        is_serving: !state.is_leaving.get(),
        holder: holder.map(|holder| (holder.host, holder.address)),
    }
}

async fn fetch<T: DeserializeOwned>(
    state: &EntryState,
    address: SocketAddr,
    path: &'static str,
    body: Vec<u8>,
) -> Result<T, String> {
    let host = HeaderValue::from_static("peer");
    let request = build_request(Method::POST, Uri::from_static(path), host, body);
    let options = SendOptions::within(PEER_TIMEOUT, MAX_IDLE);
    let fetched = state.pool.fetch(address, request, options).await;
    let (_, body) = fetched.map_err(|error| error.to_string())?;
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}

fn apply_snapshot(state: &EntryState, snapshot: RegistrySnapshot) {
    if let Some(rules) = snapshot.rules {
        state.apply_rules(snapshot.rules_version, rules, "peer");
    }
    let mut endpoints = state.endpoints.borrow_mut();
    if snapshot.endpoints_version > endpoints.version() {
        let version = snapshot.endpoints_version;
        log::info!(
            event = "endpoints", registry = version, source = "peer";
            "applied the endpoints of a peer"
        );
        endpoints.replace(version, snapshot.endpoints, Instant::now());
        drop(endpoints);
        endpoints_changed(state);
    }
}

/// Serves requests from other hosts.
pub(crate) async fn serve(state: Rc<EntryState>, listener: TcpListener) {
    serve_internal(listener, "peer", move |request| respond(state.clone(), request)).await;
}

async fn respond(
    state: Rc<EntryState>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, serde_json::Error> {
    if request.uri().path() == SNAPSHOT_PATH {
        return snapshot(&state).map(|text| Response::new(full_body(text)));
    }
    if request.uri().path() == STATUS_PATH {
        let status = serde_json::to_vec(&own_status(&state));
        return status.map(|text| Response::new(full_body(text)));
    }
    let body = Limited::new(request.into_body(), MAX_REPORT_BYTES).collect().await;
    let report = body.map(|body| serde_json::from_slice::<HostReport>(&body.to_bytes()));
    let Ok(Ok(report)) = report else {
        let mut response = Response::new(full_body(""));
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return Ok(response);
    };
    let now = Instant::now();
    let (endpoints, mut aggregator) =
        (state.endpoints.borrow(), state.load_aggregator.borrow_mut());
    let seen = report.seen.filter(|(boot, _)| *boot == state.boot_id).map(|(_, number)| number);
    let (number, update) = endpoints.update_since(seen);
    // Hosts must not rely on the table of one that is shutting down or no longer holds the lease.
    let confirmed = state.endpoints_confirmed.get().filter(|_| state.is_holder());
    let age = confirmed.map_or(Duration::MAX, |at| now.saturating_duration_since(at));
    let reply = HolderReply {
        total: aggregator.exchange(report.host, report.sum, now).clone(),
        boot: state.boot_id,
        number,
        version: endpoints.version(),
        confirmed_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        update,
    };
    serde_json::to_vec(&reply).map(|text| Response::new(full_body(text)))
}

fn snapshot(state: &EntryState) -> Result<Vec<u8>, serde_json::Error> {
    let endpoints = state.endpoints.borrow();
    serde_json::to_vec(&RegistrySnapshot {
        rules_version: state.rules_version(),
        rules: state.rules().map(|rules| rules.rules().clone()),
        endpoints_version: endpoints.version(),
        endpoints: endpoints.entries().cloned().collect(),
    })
}
