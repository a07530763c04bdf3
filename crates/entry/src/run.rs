//! Startup and shutdown of an entry process.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::adapter::RecordGroup;
use crate::shutdown::StopPlan;
use crate::state::EntryState;
use crate::{follow, forward, front, lease, peers, watchdog};

/// Interval at which shutdown checks for open requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Checks in a row without open requests and answers after which the process exits.
const IDLE_CHECKS: u32 = 2;
/// Interval at which a stopping host asks others whether they take calls.
const ASK_INTERVAL: Duration = Duration::from_millis(300);
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
    front::limit_receive_buffers(&callers);
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
    tokio::task::spawn_local(lease::run(state.clone()));
    tokio::task::spawn_local(watchdog::run(state.clone()));
    tokio::task::spawn_local(forward::watch_links(state.clone()));
    tokio::task::spawn_local(peers::exchange_loads(state.clone()));
    tokio::task::spawn_local(peers::learn_at_start(state.clone()));
    tokio::task::spawn_local(peers::serve(state.clone(), peer));
    tokio::task::spawn_local(front::serve_ready(state.clone(), ready));
    let accepting = tokio::task::spawn_local(front::serve_callers(state.clone(), callers, closing));
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
    shut_down(&state, &close, &accepting).await;
    Ok(())
}

/// Removes this host from the registry and drains open requests.
async fn shut_down(
    state: &Rc<EntryState>,
    close: &watch::Sender<bool>,
    accepting: &JoinHandle<()>,
) {
    let started = Instant::now();
    let mut plan = StopPlan::new(started, state.options.grace);
    state.stop_plan.set(Some(plan));
    log::info!(event = "stop", open = state.open_requests.get(); "entry process stopping");
    tokio::task::spawn_local(deregister(state.clone()));
    sleep_until(plan.closing()).await;
    close.send_replace(true);
    let asking = tokio::task::spawn_local(ask_other_hosts(state.clone()));
    let mut idle_checks = 0;
    while Instant::now() < plan.exit() {
        plan = state.stop_plan.get().unwrap_or(plan);
        if !accepting.is_finished() && plan.ends_listening(Instant::now()) {
            log::info!(
                event = "listener_closed", open = state.open_requests.get();
                "taking no more connections"
            );
            accepting.abort();
        }
        let is_idle = state.open_requests.get() == 0 && state.open_answers.count() == 0;
        idle_checks = if is_idle { idle_checks + 1 } else { 0 };
        if plan.may_exit(Instant::now()) && idle_checks >= IDLE_CHECKS {
            break;
        }
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    asking.abort();
    log::info!(
        event = "end", open = state.open_requests.get(), unwritten = state.open_answers.count(),
        after_ms = started.elapsed().as_millis() as u64; "entry process exiting"
    );
}

/// Keeps the plan of the stop up to date with what other hosts say.
async fn ask_other_hosts(state: Rc<EntryState>) {
    loop {
        let others = peers::other_hosts(&state).await;
        if let Some(mut plan) = state.stop_plan.get() {
            plan.set_others(others);
            state.stop_plan.set(Some(plan));
        }
        sleep(ASK_INTERVAL).await;
    }
}

async fn deregister(state: Rc<EntryState>) {
    let deregistration =
        state.registry.delete_record(RecordGroup::Hosts, state.options.host.clone());
    match timeout(DEREGISTER_TIMEOUT, deregistration).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::info!(
            event = "store_lost", what = "hosts", error:% = error;
            "could not remove this host from the registry"
        ),
        Err(_) => log::info!(
            event = "store_lost", what = "hosts"; "timed out removing this host from the registry"
        ),
    }
}
