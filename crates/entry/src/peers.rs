//! What hosts tell each other: loads of endpoints, and rules and endpoints for a host that the
//! registry turns away.

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

use crate::answer::{ResponseBody, full_body};
use crate::endpoints::{ChangeNumber, EndpointEntry, EndpointUpdate, RegistryVersion};
use crate::follow::endpoints_changed;
use crate::front::serve_internal;
use crate::loads::LoadSum;
use crate::pool::{SendOptions, build_request};
use crate::rules::ServingRules;
use crate::state::{PlacementHolder, EntryState, MAX_CONFIRMED_AGE};

/// Path of what a host knows.
const KNOWLEDGE_PATH: &str = "/knowledge";
/// Path of the exchange of loads.
const LOADS_PATH: &str = "/loads";
/// Path of what a host says of itself and of the duty.
const WORD_PATH: &str = "/word";
/// Idle time after which a connection to another host is not used.
const MAX_IDLE: Duration = Duration::from_secs(1);
/// Time for another host's answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between two exchanges of loads: some ten streams begin meanwhile at the usual load.
pub(crate) const MIN_EXCHANGE_INTERVAL: Duration = Duration::from_millis(200);
/// Hosts up to which the interval above holds.
const HOSTS_AT_LEAST_INTERVAL: u32 = 32;
/// Largest report of another host, in bytes.
const MAX_REPORT_BYTES: usize = 1 << 20;

/// What a host tells the holder of the duty.
#[derive(Debug, Serialize, Deserialize)]
struct HostReport {
    host: HostName,
    sum: LoadSum,
    /// Start of the holder and last change of its table that the host has seen.
    seen: Option<(u64, ChangeNumber)>,
}

/// The holder's answer.
#[derive(Debug, Serialize, Deserialize)]
struct HolderReply {
    total: LoadSum,
    boot: u64,
    number: ChangeNumber,
    version: RegistryVersion,
    /// Time since the registry last confirmed the holder's table, in ms.
    confirmed_ms: u64,
    news: Option<EndpointUpdate>,
}

/// What a host knows of the registry.
#[derive(Debug, Serialize, Deserialize)]
struct HostKnowledge {
    rules_version: RegistryVersion,
    rules: Option<ServingRules>,
    endpoints_version: RegistryVersion,
    endpoints: Vec<EndpointEntry>,
}

/// Asks one other host, drawn at random, and takes what is newer there.
pub(crate) async fn ask(state: &EntryState) {
    let drawn = {
        let peers = state.peers.borrow();
        peers.iter().choose(&mut rand::rng()).map(|(name, peer)| (name.clone(), peer.address))
    };
    let Some((name, address)) = drawn else { return };
    match fetch(state, address, KNOWLEDGE_PATH, Vec::new()).await {
        Ok(knowledge) => take(state, knowledge),
        Err(error) => {
            log::info!(event = "peer_silent", peer = &*name, error; "other host did not answer");
        }
    }
}

/// Exchanges loads with the holder of the duty until the process ends.
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
            let total = state.load_board.borrow_mut().exchange(holder, own.clone(), now).clone();
            state.other_loads.borrow_mut().take(total, own, state.host_count(), now);
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
                let place = (holder, reply.boot, reply.number);
                seen = take_reply(&state, own, reply).then_some(place);
            }
            Err(error) => {
                log::info!(event = "peer_silent", peer = &*holder, error; "loads not exchanged");
            }
        }
    }
}

/// Time between two exchanges: with more hosts each knows less of what changes meanwhile, and the
/// holder's link and processor carry all of them.
pub(crate) fn exchange_interval(hosts: usize) -> Duration {
    MIN_EXCHANGE_INTERVAL.max(MIN_EXCHANGE_INTERVAL * hosts as u32 / HOSTS_AT_LEAST_INTERVAL)
}

/// Takes the holder's answer; returns whether this host has followed its table up to there.
fn take_reply(state: &EntryState, own: LoadSum, reply: HolderReply) -> bool {
    let now = Instant::now();
    state.other_loads.borrow_mut().take(reply.total, own, state.host_count(), now);
    let age = Duration::from_millis(reply.confirmed_ms);
    let is_confirmed = age < MAX_CONFIRMED_AGE;
    let has_news = reply.news.is_some();
    let follows = reply.news.is_none_or(|news| {
        let mut endpoints = state.endpoints.borrow_mut();
        endpoints.take_news(reply.version, news, is_confirmed, now)
    });
    state.holder_confirmed.set(now.checked_sub(age).filter(|_| follows));
    if has_news && follows {
        log::info!(event = "endpoints", registry = reply.version, source = "holder"; "endpoints changed");
        endpoints_changed(state);
    }
    state.wake_queue();
    follows
}

/// What a host says of itself and of the placement duty.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct HostWord {
    /// Whether it is not about to end.
    pub(crate) is_serving: bool,
    /// Holder of the duty that it hears, with its address.
    holder: Option<(HostName, SocketAddr)>,
}

impl HostWord {
    /// Holder of the duty that the host hears.
    pub(crate) fn holder(self) -> Option<PlacementHolder> {
        self.holder.map(|(host, address)| PlacementHolder { host, address })
    }
}

/// Asks another host for its word; none where it does not answer.
pub(crate) async fn ask_word(state: &EntryState, address: SocketAddr) -> Option<HostWord> {
    fetch(state, address, WORD_PATH, Vec::new()).await.ok()
}

fn own_word(state: &EntryState) -> HostWord {
    let hears = state.is_following_holder() || state.is_holder();
    let holder = state.placement_holder.borrow().clone().filter(|_| hears);
    HostWord {
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

fn take(state: &EntryState, knowledge: HostKnowledge) {
    if let Some(rules) = knowledge.rules {
        state.apply_rules(knowledge.rules_version, rules, "peer");
    }
    let mut endpoints = state.endpoints.borrow_mut();
    if knowledge.endpoints_version > endpoints.version() {
        let version = knowledge.endpoints_version;
        log::info!(event = "endpoints", registry = version, source = "peer"; "endpoints from a peer");
        endpoints.replace(version, knowledge.endpoints, Instant::now());
        drop(endpoints);
        endpoints_changed(state);
    }
}

/// Tells other hosts what this one knows.
pub(crate) async fn serve(state: Rc<EntryState>, listener: TcpListener) {
    serve_internal(listener, "peer", move |request| answer(state.clone(), request)).await;
}

async fn answer(
    state: Rc<EntryState>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, serde_json::Error> {
    if request.uri().path() == KNOWLEDGE_PATH {
        return knowledge(&state).map(|text| Response::new(full_body(text)));
    }
    if request.uri().path() == WORD_PATH {
        let word = serde_json::to_vec(&own_word(&state));
        return word.map(|text| Response::new(full_body(text)));
    }
    let body = Limited::new(request.into_body(), MAX_REPORT_BYTES).collect().await;
    let report = body.map(|body| serde_json::from_slice::<HostReport>(&body.to_bytes()));
    let Ok(Ok(report)) = report else {
        let mut answer = Response::new(full_body(""));
        *answer.status_mut() = StatusCode::BAD_REQUEST;
        return Ok(answer);
    };
    let now = Instant::now();
    let (endpoints, mut board) = (state.endpoints.borrow(), state.load_board.borrow_mut());
    let seen = report.seen.filter(|(boot, _)| *boot == state.boot).map(|(_, number)| number);
    let (number, news) = endpoints.news(seen);
    // A host that is about to end, or no longer holds the duty, is not to be relied on.
    let confirmed = state.endpoints_confirmed.get().filter(|_| state.is_holder());
    let age = confirmed.map_or(Duration::MAX, |at| now.saturating_duration_since(at));
    let reply = HolderReply {
        total: board.exchange(report.host, report.sum, now).clone(),
        boot: state.boot,
        number,
        version: endpoints.version(),
        confirmed_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        news,
    };
    serde_json::to_vec(&reply).map(|text| Response::new(full_body(text)))
}

fn knowledge(state: &EntryState) -> Result<Vec<u8>, serde_json::Error> {
    let endpoints = state.endpoints.borrow();
    serde_json::to_vec(&HostKnowledge {
        rules_version: state.rules_version(),
        rules: state.rules().map(|rules| rules.rules().clone()),
        endpoints_version: endpoints.version(),
        endpoints: endpoints.entries().cloned().collect(),
    })
}
