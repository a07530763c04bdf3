//! Follows the registry: rules, endpoints, other hosts.
//!
//! Where the registry turns this host away, the other hosts are asked for what they know.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::dialect::{NoteGroup, RegistryError};
use crate::endpoints::EndpointChange;
use crate::peers;
use crate::state::{EntryState, PeerHost};

/// Longest time of one watch. A connection that went silent is noticed by keep-alive probes
/// sooner.
const WATCH_WAIT: Duration = Duration::from_secs(15);
/// Longest time of one watch of endpoints by the holder of the duty: its answer confirms what it
/// tells the others.
const HOLDER_WAIT: Duration = Duration::from_millis(500);
/// Longest time of one watch of endpoints by another host, which ends it once it is told.
const UNTOLD_WAIT: Duration = Duration::from_secs(2);
/// Time between two looks at whether the holder still tells.
const TOLD_LOOK: Duration = Duration::from_millis(100);
/// Pause after a watch's answer, so that changes in quick succession come together.
const WATCH_PAUSE: Duration = Duration::from_millis(100);
/// The same for what every host reads itself; it must be in force within two seconds.
const OWN_PAUSE: Duration = Duration::from_millis(400);
/// First pause after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after failures: within the time in which rules must be in force.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);
/// The same among many hosts, whose calls in an outage would add up; rules have three seconds there.
const MANY_HOSTS_PAUSE: Duration = Duration::from_millis(1_600);
/// Time between two readings of the list of hosts.
const HOSTS_INTERVAL: Duration = Duration::from_secs(3);
/// Hosts from which on the list is read more rarely: one more or less changes little.
const MANY_HOSTS: usize = 16;
/// Time between two readings among many hosts.
const MANY_HOSTS_INTERVAL: Duration = Duration::from_secs(9);
/// Time between two clean-ups.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);
/// Idle connections older than this are closed.
const MAX_IDLE: Duration = Duration::from_secs(3);

struct RetryPause {
    next: Duration,
}

impl RetryPause {
    fn new() -> Self {
        Self { next: RETRY_PAUSE }
    }

    async fn wait(&mut self, hosts: usize) {
        sleep(self.next).await;
        let most = if hosts >= MANY_HOSTS { MANY_HOSTS_PAUSE } else { MAX_RETRY_PAUSE };
        self.next = (self.next * 2).min(most);
    }
}

/// Follows the rules until the process ends.
pub(crate) async fn follow_rules(state: Rc<EntryState>) {
    let mut pause = RetryPause::new();
    loop {
        match state.registry.rules().await {
            Ok((version, rules)) => {
                pause = RetryPause::new();
                if let Some(rules) = rules {
                    state.apply_rules(version, rules, "list");
                }
                watch_rules(&state, version).await;
            }
            Err(error) => {
                log::warn!(event = "store_lost", what = "rules", error:% = error; "rules not read");
                peers::ask(&state).await;
                pause.wait(state.host_count()).await;
            }
        }
    }
}

async fn watch_rules(state: &EntryState, mut version: u64) {
    loop {
        match state.registry.watch_rules(version, WATCH_WAIT).await {
            Ok((next, rules)) => {
                version = version.max(next);
                if let Some(rules) = rules {
                    state.apply_rules(version, rules, "watch");
                    sleep(OWN_PAUSE).await;
                }
            }
            Err(error) => {
                log::info!(event = "watch_ended", what = "rules", error:% = error; "watch ended");
                return;
            }
        }
    }
}

/// Follows the endpoints until the process ends: the holder of the duty at the registry, the other
/// hosts through the holder as long as it answers and its knowledge is confirmed.
pub(crate) async fn follow_endpoints(state: Rc<EntryState>) {
    let mut pause = RetryPause::new();
    let mut was_away = false;
    loop {
        if state.is_following_holder() {
            sleep(TOLD_LOOK).await;
            continue;
        }
        match state.registry.endpoints().await {
            Ok((version, entries)) => {
                pause = RetryPause::new();
                if std::mem::take(&mut was_away) {
                    log::info!(event = "store_regained", registry = version; "store answers again");
                    state.endpoints.borrow_mut().store_was_away(Instant::now());
                }
                let count = entries.len();
                state.endpoints.borrow_mut().replace(version, entries, Instant::now());
                state.endpoints_confirmed.set(Some(Instant::now()));
                log::info!(event = "endpoints", registry = version, count; "endpoints listed");
                endpoints_changed(&state);
                let ended = watch_endpoints(&state, version).await;
                was_away = ended.is_err_and(|error| error != RegistryError::Gap);
            }
            Err(error) => {
                was_away = true;
                log::warn!(
                    event = "store_lost", what = "endpoints", error:% = error;
                    "endpoints not listed"
                );
                state.endpoints.borrow_mut().store_was_away(Instant::now());
                peers::ask(&state).await;
                pause.wait(state.host_count()).await;
            }
        }
    }
}

/// Watches until the registry fails, or until the holder tells this host of changes.
async fn watch_endpoints(state: &EntryState, mut version: u64) -> Result<(), RegistryError> {
    loop {
        let wait = if state.is_holder() { HOLDER_WAIT } else { UNTOLD_WAIT };
        let watched = state.registry.watch_endpoints(version, wait).await;
        let (next, changes) = watched.inspect_err(|error| {
            log::info!(event = "watch_ended", what = "endpoints", error:% = error; "watch ended");
        })?;
        version = version.max(next);
        if !changes.is_empty() {
            changes.iter().for_each(|change| log_change(version, change));
            state.endpoints.borrow_mut().apply(version, changes, Instant::now());
            endpoints_changed(state);
            sleep(if state.is_holder() { WATCH_PAUSE } else { OWN_PAUSE }).await;
        }
        state.endpoints_confirmed.set(Some(Instant::now()));
        if state.is_following_holder() {
            return Ok(());
        }
    }
}

fn log_change(version: u64, change: &EndpointChange) {
    match change {
        EndpointChange::Put(entry) => log::info!(
            event = "endpoint_listed", registry = version, endpoint = &*entry.name,
            draining = entry.is_draining, layers:? = entry.layers, born = entry.born;
            "entry of an endpoint changed"
        ),
        EndpointChange::Gone(name) => log::info!(
            event = "endpoint_unlisted", registry = version, endpoint = &**name;
            "entry of an endpoint is gone"
        ),
    }
}

/// Acts on a new list of endpoints.
pub(crate) fn endpoints_changed(state: &EntryState) {
    let endpoints = state.endpoints.borrow();
    state.beliefs.borrow_mut().retain(|name| endpoints.get(name).is_some());
    drop(endpoints);
    state.prune_marks();
    state.path_changed.notify_waiters();
}

/// Drops endpoints that did not come back, and idle connections.
pub(crate) async fn expire(state: Rc<EntryState>) {
    loop {
        sleep(EXPIRY_INTERVAL).await;
        state.pool.prune(MAX_IDLE);
        let gone = state.endpoints.borrow_mut().expire(Instant::now());
        if !gone.is_empty() {
            log::info!(event = "endpoints_gone", names:? = gone; "endpoints did not come back");
            endpoints_changed(&state);
        }
    }
}

/// Registers this host and follows the list of the others.
pub(crate) async fn follow_hosts(state: Rc<EntryState>) {
    let name = &state.options.host;
    let text: Box<str> = format!("{} {}", state.options.peer, state.options.domain).into();
    let mut pause = RetryPause::new();
    loop {
        let written =
            state.registry.write_note(NoteGroup::Hosts, name.clone(), 0, text.clone()).await;
        match written {
            // The note of an earlier start of this host holds the same address.
            Ok(_) | Err(RegistryError::Conflict) => break,
            Err(error) => {
                log::info!(event = "store_lost", what = "hosts", error:% = error; "not registered");
                pause.wait(state.host_count()).await;
            }
        }
    }
    loop {
        match state.registry.notes(NoteGroup::Hosts).await {
            Ok(notes) => {
                let others = notes.into_iter().filter(|note| note.name != *name);
                let hosts = others.filter_map(|note| Some((note.name, peer_host(&note.text)?)));
                *state.peers.borrow_mut() = hosts.collect();
            }
            Err(error) => {
                log::info!(event = "store_lost", what = "hosts", error:% = error; "hosts not listed");
            }
        }
        let is_many = state.host_count() >= MANY_HOSTS;
        sleep(if is_many { MANY_HOSTS_INTERVAL } else { HOSTS_INTERVAL }).await;
    }
}

/// Reads the note of another host: its address and its failure domain.
fn peer_host(text: &str) -> Option<PeerHost> {
    let (address, domain) = text.split_once(' ')?;
    Some(PeerHost { address: address.parse().ok()?, domain: domain.into() })
}
