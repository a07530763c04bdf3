//! Rules and endpoints from other hosts, while the registry turns this host away.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, Uri};
use hyper_util::rt::TokioIo;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::answer::whole_body;
use crate::endpoints::{EndpointEntry, RegistryVersion};
use crate::follow::endpoints_changed;
use crate::pool::{SendOptions, tune};
use crate::rules::ServingRules;
use crate::state::EntryState;

/// Path of what a host knows.
const KNOWLEDGE_PATH: &str = "/knowledge";
/// Time for another host's answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

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
    match fetch(state, address).await {
        Ok(knowledge) => take(state, knowledge),
        Err(error) => {
            log::info!(event = "peer_silent", peer = &*name, error; "other host did not answer");
        }
    }
}

async fn fetch(state: &EntryState, address: SocketAddr) -> Result<HostKnowledge, String> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static(KNOWLEDGE_PATH);
    request.headers_mut().insert(HOST, HeaderValue::from_static("peer"));
    let options = SendOptions {
        max_idle: Duration::from_secs(1),
        connect_timeout: PEER_TIMEOUT,
        head_timeout: PEER_TIMEOUT,
    };
    let fetched = state.pool.fetch(address, request, options).await;
    let (_, body) = fetched.map_err(|error| error.to_string())?;
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}

fn take(state: &EntryState, knowledge: HostKnowledge) {
    if let Some(rules) = knowledge.rules {
        state.take_rules(knowledge.rules_version, rules, "peer");
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
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        tune(&stream);
        let state = state.clone();
        let service = service_fn(move |_request: Request<Incoming>| {
            let answer = knowledge(&state).map(|text| Response::new(whole_body(text)));
            async move { answer }
        });
        tokio::task::spawn_local(async move {
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!(event = "connection_ended", error:% = error; "peer's connection ended");
            }
        });
    }
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
