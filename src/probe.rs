//! Questions to engines whether they live, shared by all answers that wait for them.

use futures::FutureExt;
use futures::future::{LocalBoxFuture, Shared};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

use crate::attempt::SilenceOptions;
use crate::endpoint::{CallFailure, EndpointCaller};
use crate::fleet::EndpointFleet;
use crate::ids::EndpointName;

/// Strikes of an engine that does not answer while its tokens are overdue.
const FROZEN_WEIGHT: u32 = 2;

type ProbeFuture = Shared<LocalBoxFuture<'static, bool>>;

/// Asks engines for their state; at most one question to each is open.
#[derive(Clone)]
pub(crate) struct StatusProber {
    fleet: EndpointFleet,
    caller: Rc<dyn EndpointCaller>,
    options: SilenceOptions,
    open: Rc<RefCell<BTreeMap<EndpointName, ProbeFuture>>>,
}

impl StatusProber {
    pub(crate) fn new(
        fleet: EndpointFleet,
        caller: Rc<dyn EndpointCaller>,
        options: SilenceOptions,
    ) -> Self {
        Self { fleet, caller, options, open: Rc::default() }
    }

    /// Time for an engine to answer, by how long engines took of late.
    fn timeout(&self) -> Duration {
        let options = &self.options;
        let overdue = self.fleet.with(|state| state.reply_overdue());
        overdue.clamp(options.shortest_probe, options.longest_probe)
    }

    /// Waits until one of the endpoints fails to answer, and names it; never ends if all answer.
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

    fn probe(&self, endpoint: &str, address: &str) -> ProbeFuture {
        if let Some(probe) = self.open.borrow().get(endpoint) {
            return probe.clone();
        }
        let prober = self.clone();
        let (name, address): (EndpointName, Box<str>) = (endpoint.into(), address.into());
        let probe = async move { prober.ask(&name, &address).await }.boxed_local().shared();
        self.open.borrow_mut().insert(endpoint.into(), probe.clone());
        tokio::task::spawn_local(probe.clone());
        probe
    }

    async fn ask(&self, endpoint: &str, address: &str) -> bool {
        let (asked_at, timeout) = (Instant::now(), self.timeout());
        let asked = self.caller.status(address, timeout);
        let reply = tokio::time::timeout(timeout, asked).await;
        let now = Instant::now();
        self.open.borrow_mut().remove(endpoint);
        match reply {
            // Only replies teach the timeout: a frozen failure domain would lengthen it, and the
            // polls, which wait longer, teach it where the network is slow.
            Ok(Ok(status)) if *status.endpoint == *endpoint => {
                self.fleet.with(|state| state.observe_reply(now.duration_since(asked_at)));
                self.fleet.observe_status(now, status);
                true
            }
            // A token through the engine outweighs a lost reply.
            _ if self.fleet.with(|state| state.was_alive_since(asked_at, endpoint)) => true,
            _ => {
                self.fleet.mark_unresponsive(now, endpoint, FROZEN_WEIGHT);
                false
            }
        }
    }
}

/// Time between two looks at which engines are due for a poll.
const POLL_TICK: Duration = Duration::from_millis(50);

/// Polls the engines of a fleet for ever; each poll that fails counts against its engine.
///
/// Runs inside a `LocalSet`.
pub async fn poll_engines(fleet: EndpointFleet, caller: Rc<dyn EndpointCaller>, timeout: Duration) {
    loop {
        for (endpoint, address) in fleet.engines_to_poll(Instant::now()) {
            let poll = poll_engine(fleet.clone(), caller.clone(), endpoint, address, timeout);
            tokio::task::spawn_local(poll);
        }
        tokio::time::sleep(POLL_TICK).await;
    }
}

async fn poll_engine(
    fleet: EndpointFleet,
    caller: Rc<dyn EndpointCaller>,
    endpoint: EndpointName,
    address: Box<str>,
    timeout: Duration,
) {
    let asked_at = Instant::now();
    let asked = caller.status(&address, timeout);
    let reply = tokio::time::timeout(timeout, asked).await;
    let now = Instant::now();
    if matches!(reply, Ok(Ok(_))) {
        fleet.with(|state| state.observe_reply(now.duration_since(asked_at)));
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
