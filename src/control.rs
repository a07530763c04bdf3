//! The controller process: starts the controller, reports its state, and shuts down gracefully.

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::unix_now;
use crate::config::ControllerSettings;
use crate::controller::{ControllerLoop, ControllerOptions};
use crate::engine_http::HttpEndpointClient;
use crate::follower::{ConfigFollower, FollowerOptions, HostMember};
use crate::ids::{ConfigRevision, HostName, Incarnation};
use crate::lease::LeaseOptions;
use crate::ledger::{ClaimHolder, LedgerOptions, LedgerService};
use crate::metrics::MetricRegistry;
use crate::operator::{self, HostStatus, OperatorState};
use crate::peer::{ConfigSnapshot, PeerError, PeerNetwork};
use crate::platform::PlatformStore;
use crate::router::{StartError, bind_error, new_incarnation};
use crate::signals;
use crate::store_http::{HttpStore, HttpStoreOptions};

/// Time between checks of the lease and between status reports.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time between sweeps of expired ledger pages.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);
/// Time allowed for orders in flight to finish and the lease to be released.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Peer network without peers: a controller talks only to the platform.
struct NoPeers;

impl PeerNetwork for NoPeers {
    fn live_hosts(&self) -> Vec<HostName> {
        Vec::new()
    }

    fn is_live(&self, _host: &str, _incarnation: Incarnation) -> bool {
        false
    }

    fn newest_revision(&self) -> Option<(HostName, ConfigRevision)> {
        None
    }

    fn announce_revision(&self, _revision: ConfigRevision) {}

    fn fetch_config(&self, host: &str) -> LocalBoxFuture<'_, Result<ConfigSnapshot, PeerError>> {
        let error = PeerError { host: host.into(), reason: "a controller has no peers".into() };
        std::future::ready(Err(error)).boxed_local()
    }
}

/// Runs a controller until a signal or an operator stops it.
pub(crate) async fn run(settings: ControllerSettings) -> Result<(), StartError> {
    let registry = MetricRegistry::new();
    let metrics = Rc::new(registry.clone());
    let shared_metrics = Arc::new(registry.clone());
    let operator_state = Arc::new(OperatorState::default());
    operator::serve(settings.operator_listen, operator_state.clone(), registry)
        .map_err(|reason| bind_error("operators'", settings.operator_listen, &reason))?;
    let incarnation = new_incarnation();
    let options = HttpStoreOptions::default();
    let store: Rc<dyn PlatformStore> =
        Rc::new(HttpStore::new(settings.platform.clone(), options, shared_metrics.clone()));
    let follower = Rc::new(ConfigFollower::new(
        store.clone(),
        Rc::new(NoPeers),
        HostMember { host: settings.name.clone(), domain: settings.domain.clone() },
        FollowerOptions::default(),
        shared_metrics,
    ));
    let ledger = LedgerService::new(
        store.clone(),
        ClaimHolder { host: settings.name.clone(), incarnation },
        Rc::new(|_, _| true),
        LedgerOptions { jitter_seed: incarnation, ..LedgerOptions::default() },
        metrics.clone(),
    );
    let config_follower = follower.clone();
    let controller = ControllerLoop::new(
        store,
        Rc::new(HttpEndpointClient::new()),
        Rc::new(move || config_follower.current()),
        (settings.name.clone(), incarnation),
        ControllerOptions {
            lease: LeaseOptions {
                ttl: settings.lease_ttl,
                renew_interval: settings.lease_ttl / 3,
                ..LeaseOptions::default()
            },
            ..ControllerOptions::default()
        },
        metrics,
    );
    log::info!(host = &*settings.name, incarnation = incarnation; "controller started");
    let controller_task = tokio::task::spawn_local(controller.clone().run());
    tokio::select! {
        () = signals::wait_for_shutdown(&operator_state) => {}
        () = follow_while_holder(&controller, &follower) => {}
        () = sweep_ledger(&controller, &ledger) => {}
        () = report_status(&settings, incarnation, &controller, &follower, &operator_state) => {}
    }
    operator_state.set_ready(false);
    controller.stop();
    if tokio::time::timeout(STOP_TIMEOUT, controller_task).await.is_err() {
        log::warn!(host = &*settings.name; "controller did not release its lease in time");
    }
    log::info!(host = &*settings.name; "controller stopped");
    Ok(())
}

/// Follows the configuration only while this host holds the lease, so that idle controllers keep no
/// watch open on the platform.
async fn follow_while_holder(controller: &ControllerLoop, follower: &ConfigFollower) {
    loop {
        if controller.fence().is_some() {
            tokio::select! {
                () = follower.run() => {}
                () = wait_until_lease_lost(controller) => {}
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Deletes ledger pages whose window has passed; only the lease holder does so.
async fn sweep_ledger(controller: &ControllerLoop, ledger: &LedgerService) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        if controller.fence().is_some() {
            // Pages left behind by a failure are deleted by the next sweep.
            let _ = ledger.expire(unix_now()).await;
        }
    }
}

async fn wait_until_lease_lost(controller: &ControllerLoop) {
    while controller.fence().is_some() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn report_status(
    settings: &ControllerSettings,
    incarnation: Incarnation,
    controller: &ControllerLoop,
    follower: &ConfigFollower,
    operator_state: &OperatorState,
) {
    operator_state.set_ready(true);
    loop {
        let status = controller.status();
        let state = if status.fence.is_some() { "holder" } else { "idle" };
        operator_state.set_status(HostStatus {
            host: settings.name.clone(),
            domain: settings.domain.clone(),
            incarnation,
            revision: follower.status().revision,
            state: state.into(),
            detail: format!("fence {:?}, leaving {:?}", status.fence, status.leaving).into(),
            ..HostStatus::default()
        });
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
