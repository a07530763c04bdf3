//! Liveness probes and status polls of engines. All answers that wait for the same engine share one
//! probe.

use futures::FutureExt;
use futures::future::{LocalBoxFuture, Shared};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

use crate::attempt::TimeoutOptions;
use crate::endpoint::{CallFailure, EndpointClient};
use crate::fleet::EndpointFleet;
use crate::ids::EndpointName;

/// Failure weight of an engine that does not answer a probe while its tokens are overdue.
const UNRESPONSIVE_FAILURE_WEIGHT: u32 = 2;

type ProbeFuture = Shared<LocalBoxFuture<'static, bool>>;

/// Probes engines with status calls, with at most one probe in flight to each engine.
#[derive(Clone)]
pub(crate) struct StatusProber {
    fleet: EndpointFleet,
    client: Rc<dyn EndpointClient>,
    options: TimeoutOptions,
    in_flight: Rc<RefCell<BTreeMap<EndpointName, ProbeFuture>>>,
}

impl StatusProber {
    pub(crate) fn new(
        fleet: EndpointFleet,
        client: Rc<dyn EndpointClient>,
        options: TimeoutOptions,
    ) -> Self {
        Self { fleet, client, options, in_flight: Rc::default() }
    }

    /// Timeout of a probe, derived from recent reply times.
    fn timeout(&self) -> Duration {
        let options = &self.options;
        let overdue = self.fleet.with(|state| state.reply_overdue());
        overdue.clamp(options.shortest_probe_timeout, options.longest_probe_timeout)
    }

    /// Waits until one of the endpoints fails to answer its probe, and returns its name. Waits
    /// forever if all of them answer.
    pub(crate) async fn first_unresponsive(
        &self,
        endpoints: Vec<(EndpointName, Box<str>)>,
    ) -> EndpointName {
        let probes = endpoints.into_iter().map(|(endpoint, address)| {
            let probe = self.probe(&endpoint, &address);
            async move {
                if probe.await {
                    futures::future::pending::<()>().await;
                }
                endpoint
            }
            .boxed_local()
        });
        let probes: Vec<_> = probes.collect();
        if probes.is_empty() {
            return futures::future::pending().await;
        }
        futures::future::select_all(probes).await.0
    }

    /// Joins the probe in flight to an engine or starts one; it yields whether the engine is alive.
    fn probe(&self, endpoint: &str, address: &str) -> ProbeFuture {
        if let Some(probe) = self.in_flight.borrow().get(endpoint) {
            return probe.clone();
        }
        let prober = self.clone();
        let (name, address): (EndpointName, Box<str>) = (endpoint.into(), address.into());
        let probe = async move { prober.send_probe(&name, &address).await }.boxed_local().shared();
        self.in_flight.borrow_mut().insert(endpoint.into(), probe.clone());
        tokio::task::spawn_local(probe.clone());
        probe
    }

    async fn send_probe(&self, endpoint: &str, address: &str) -> bool {
        let (sent_at, timeout) = (Instant::now(), self.timeout());
        let call = self.client.status(address, timeout);
        let reply = tokio::time::timeout(timeout, call).await;
        let now = Instant::now();
        self.in_flight.borrow_mut().remove(endpoint);
        match reply {
            // Only replies update the timeout: timed-out probes of a frozen failure domain would
            // lengthen it. On a slow network, the polls adjust it, as their timeout is longer.
            Ok(Ok(status)) if *status.endpoint == *endpoint => {
                self.fleet.with(|state| state.observe_reply(now.duration_since(sent_at)));
                self.fleet.observe_status(now, status);
                true
            }
            // A sign of life since the probe was sent, such as a token, outweighs a missing reply.
            _ if self.fleet.with(|state| state.was_alive_since(sent_at, endpoint)) => true,
            _ => {
                self.fleet.mark_unresponsive(now, endpoint, UNRESPONSIVE_FAILURE_WEIGHT);
                false
            }
        }
    }
}

/// Interval between checks for engines whose poll is due.
const POLL_TICK: Duration = Duration::from_millis(50);

/// Polls the engines of a fleet indefinitely; a failed poll counts as a failure of its engine.
///
/// Runs inside a `LocalSet`.
pub async fn poll_engines(fleet: EndpointFleet, client: Rc<dyn EndpointClient>, timeout: Duration) {
    loop {
        for (endpoint, address) in fleet.engines_to_poll(Instant::now()) {
            let poll = poll_engine(fleet.clone(), client.clone(), endpoint, address, timeout);
            tokio::task::spawn_local(poll);
        }
        tokio::time::sleep(POLL_TICK).await;
    }
}

async fn poll_engine(
    fleet: EndpointFleet,
    client: Rc<dyn EndpointClient>,
    endpoint: EndpointName,
    address: Box<str>,
    timeout: Duration,
) {
    let sent_at = Instant::now();
    let call = client.status(&address, timeout);
    let reply = tokio::time::timeout(timeout, call).await;
    let now = Instant::now();
    if matches!(reply, Ok(Ok(_))) {
        fleet.with(|state| state.observe_reply(now.duration_since(sent_at)));
    }
    match reply {
        Ok(Ok(status)) if status.endpoint == endpoint => fleet.observe_status(now, status),
        Ok(Ok(status)) => {
            let reason = format!("{:?} answers at its address", status.endpoint);
            fleet.with(|state| state.discard_report(&endpoint));
            fleet.observe_failure(now, &endpoint, &CallFailure::Broken(reason.into()));
        }
        Ok(Err(failure)) => fleet.observe_failure(now, &endpoint, &failure),
        Err(_) => {
            let failure = CallFailure::Broken("status timed out".into());
            fleet.observe_failure(now, &endpoint, &failure);
        }
    }
}
