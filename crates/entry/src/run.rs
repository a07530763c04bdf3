//! Startup and shutdown of an entry process.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::adapter::RecordGroup;
use crate::state::EntryState;
use crate::{follow, front, peers, placement, watchdog};

/// Time after SIGTERM for which connections stay open. The readiness check is polled once per
/// second, and two failures take the host out of rotation.
const ROTATION_DELAY: Duration = Duration::from_millis(2_600);
/// Minimum time between SIGTERM and exit, for connections that callers are still opening.
const MIN_SHUTDOWN_TIME: Duration = Duration::from_millis(3_200);
/// Time before the expected SIGKILL at which the process exits by itself.
const KILL_MARGIN: Duration = Duration::from_millis(300);
/// Interval at which shutdown checks for open requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout for removing this host from the registry at shutdown.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(500);

/// Why an entry process could not start.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    /// An address could not be bound.
    #[error("[7003] cannot listen on {address}: {source}")]
    Bind {
        /// Address to listen on.
        address: SocketAddr,
        /// Underlying error.
        source: io::Error,
    },
    /// Signal handlers could not be installed.
    #[error("[7004] cannot take signals: {0}")]
    Signals(io::Error),
}

/// Runs an entry process until SIGTERM. Must be called within a `LocalSet`.
pub async fn run_entry(state: Rc<EntryState>) -> Result<(), EntryError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(EntryError::Signals)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(EntryError::Signals)?;
    let bind =
        |address| front::bind(address).map_err(|source| EntryError::Bind { address, source });
    let callers = bind(state.options.front)?;
    let ready = bind(state.options.ready)?;
    let peer = bind(state.options.peer)?;
    let metrics = state.options.metrics.map(bind).transpose()?;
    let (close, closing) = watch::channel(false);
    log::info!(
        event = "start", host = &*state.options.host, domain = &*state.options.domain,
        front:% = state.options.front; "entry process starting"
    );
    tokio::task::spawn_local(follow::follow_rules(state.clone()));
    tokio::task::spawn_local(follow::follow_endpoints(state.clone()));
    tokio::task::spawn_local(follow::follow_hosts(state.clone()));
    tokio::task::spawn_local(follow::expire(state.clone()));
    tokio::task::spawn_local(placement::run(state.clone()));
    tokio::task::spawn_local(watchdog::run(state.clone()));
    tokio::task::spawn_local(peers::exchange_loads(state.clone()));
    tokio::task::spawn_local(peers::serve(state.clone(), peer));
    tokio::task::spawn_local(front::serve_ready(state.clone(), ready));
    tokio::task::spawn_local(front::serve_callers(state.clone(), callers, closing));
    if let Some(listener) = metrics {
        tokio::task::spawn_local(front::serve_metrics(state.clone(), listener));
    }
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            // SIGHUP changes nothing: addresses are fixed at startup, rules come from the registry.
            _ = hangup.recv() => log::info!(
                event = "reload"; "SIGHUP ignored: settings are read only at startup"
            ),
        }
    }
    shut_down(&state, &close).await;
    Ok(())
}

/// Removes this host from the registry and drains open requests.
async fn shut_down(state: &Rc<EntryState>, close: &watch::Sender<bool>) {
    let started = Instant::now();
    state.is_leaving.set(true);
    log::info!(event = "stop", open = state.open_requests.get(); "entry process stopping");
    let end = started + state.options.grace.saturating_sub(KILL_MARGIN);
    let deregistration =
        state.registry.delete_record(RecordGroup::Hosts, state.options.host.clone());
    match tokio::time::timeout(DEREGISTER_TIMEOUT, deregistration).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::info!(
            event = "store_lost", what = "hosts", error:% = error;
            "could not remove this host from the registry"
        ),
        Err(_) => log::info!(
            event = "store_lost", what = "hosts"; "timed out removing this host from the registry"
        ),
    }
    while Instant::now() < end {
        if started.elapsed() >= ROTATION_DELAY {
            close.send_replace(true);
        }
        if started.elapsed() >= MIN_SHUTDOWN_TIME && state.open_requests.get() == 0 {
            break;
        }
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    log::info!(
        event = "end", open = state.open_requests.get(),
        after_ms = started.elapsed().as_millis() as u64; "entry process exiting"
    );
}
