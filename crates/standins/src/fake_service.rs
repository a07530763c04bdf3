//! In-memory plain service for tests, which records every run independently of the router.

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use jacinthrock::{
    CallFailure, EndpointClient, EndpointDeclaration, EndpointName, EndpointPicker, EngineOrder,
    EngineStatus, EventReceiver, GenerateCall, PlainCall, PlainReply,
};
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Probabilities of faults, each from 0 to 1, and the maximum delay of a call.
#[derive(Clone, Debug, Default)]
pub struct ServiceFaults {
    /// The connection cannot be established.
    pub not_sent: f64,
    /// The endpoint refuses the call before starting it.
    pub refused: f64,
    /// The call is lost before it runs; the caller cannot tell whether it ran.
    pub lost_call: f64,
    /// The call runs but its reply is lost.
    pub lost_reply: f64,
    /// Maximum delay before a call runs, and again before its reply arrives.
    pub longest_delay: Duration,
}

/// One run of a call, as recorded by the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRun {
    /// Value of the `idempotency-key` header.
    pub key: Box<str>,
    /// Value of the `x-request` header, which identifies the caller's request.
    pub request: Box<str>,
    /// Address of the endpoint.
    pub address: Box<str>,
    /// Time of the run.
    pub at: Instant,
    /// Body of the answer.
    pub answer: Box<[u8]>,
}

struct ServiceState {
    runs: Vec<ServiceRun>,
    faults: ServiceFaults,
    frozen_until: BTreeMap<Box<str>, Instant>,
    leaving: BTreeSet<Box<str>>,
    rng: ChaCha8Rng,
}

/// Plain service with an endpoint at every address; clones share its records.
#[derive(Clone)]
pub struct FakeService {
    state: Rc<RefCell<ServiceState>>,
}

enum CallOutcome {
    Served,
    LostReply,
    Failed(CallFailure),
}

impl FakeService {
    /// Creates a service without faults or runs.
    pub fn new(seed: u64) -> Self {
        let state = ServiceState {
            runs: Vec::new(),
            faults: ServiceFaults::default(),
            frozen_until: BTreeMap::new(),
            leaving: BTreeSet::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        Self { state: Rc::new(RefCell::new(state)) }
    }

    /// Sets the faults of later calls.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.state.borrow_mut().faults = faults;
    }

    /// Freezes an endpoint for a time; calls that it has accepted run when it resumes.
    pub fn freeze(&self, address: &str, duration: Duration) {
        self.state.borrow_mut().frozen_until.insert(address.into(), Instant::now() + duration);
    }

    /// Drains an endpoint: it refuses new calls.
    pub fn leave(&self, address: &str) {
        self.state.borrow_mut().leaving.insert(address.into());
    }

    /// All runs so far, in order.
    pub fn runs(&self) -> Vec<ServiceRun> {
        self.state.borrow().runs.clone()
    }

    fn draw_outcome(&self, address: &str) -> CallOutcome {
        let mut state = self.state.borrow_mut();
        if state.leaving.contains(address) {
            let reason = "endpoint is leaving".into();
            return CallOutcome::Failed(CallFailure::Refused { reason, leaving: true });
        }
        let faults = state.faults.clone();
        let draw: f64 = state.rng.random();
        let refused_limit = faults.not_sent + faults.refused;
        let lost_call_limit = refused_limit + faults.lost_call;
        if draw < faults.not_sent {
            return CallOutcome::Failed(CallFailure::NotSent("connection refused".into()));
        }
        if draw < refused_limit {
            let reason = "endpoint is full".into();
            return CallOutcome::Failed(CallFailure::Refused { reason, leaving: false });
        }
        if draw < lost_call_limit {
            return CallOutcome::Failed(CallFailure::Broken("call lost".into()));
        }
        if draw < lost_call_limit + faults.lost_reply {
            return CallOutcome::LostReply;
        }
        CallOutcome::Served
    }

    fn random_delay(&self) -> Duration {
        let mut state = self.state.borrow_mut();
        let longest = state.faults.longest_delay.as_micros() as u64;
        Duration::from_micros(state.rng.random_range(0..=longest))
    }

    async fn wait_while_frozen(&self, address: &str) {
        let until = self.state.borrow().frozen_until.get(address).copied();
        if let Some(until) = until {
            tokio::time::sleep_until(until).await;
        }
    }

    async fn serve(&self, address: &str, call: PlainCall) -> Result<PlainReply, CallFailure> {
        tokio::time::sleep(self.random_delay()).await;
        let outcome = self.draw_outcome(address);
        if let CallOutcome::Failed(failure) = outcome {
            return Err(failure);
        }
        self.wait_while_frozen(address).await;
        let reply = self.run(address, &call);
        tokio::time::sleep(self.random_delay()).await;
        if matches!(outcome, CallOutcome::LostReply) {
            return Err(CallFailure::Broken("reply lost".into()));
        }
        Ok(reply)
    }

    fn run(&self, address: &str, call: &PlainCall) -> PlainReply {
        let mut state = self.state.borrow_mut();
        let answer: Box<[u8]> =
            format!("{{\"booking\":{}}}", state.runs.len() + 1).into_bytes().into();
        state.runs.push(ServiceRun {
            key: header(call, "idempotency-key"),
            request: header(call, "x-request"),
            address: address.into(),
            at: Instant::now(),
            answer: answer.clone(),
        });
        PlainReply { status: 201, content_type: "application/json".into(), body: answer }
    }
}

fn header(call: &PlainCall, name: &str) -> Box<str> {
    let found = call.headers.iter().find(|(header, _)| &**header == name);
    found.map(|(_, value)| value.clone()).unwrap_or_default()
}

impl EndpointClient for FakeService {
    fn generate(&self, _call: GenerateCall, _timeout: Duration) -> EventReceiver {
        mpsc::channel(1).1
    }

    fn call(
        &self,
        address: &str,
        call: PlainCall,
    ) -> LocalBoxFuture<'_, Result<PlainReply, CallFailure>> {
        let address: Box<str> = address.into();
        async move { self.serve(&address, call).await }.boxed_local()
    }

    fn status(
        &self,
        _address: &str,
        _timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<EngineStatus, CallFailure>> {
        not_an_engine().boxed_local()
    }

    fn order(
        &self,
        _address: &str,
        _order: EngineOrder,
        _timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<EngineStatus, CallFailure>> {
        not_an_engine().boxed_local()
    }
}

async fn not_an_engine() -> Result<EngineStatus, CallFailure> {
    Err(CallFailure::NotSent("not an engine".into()))
}

/// Picks the first endpoint in the list that was not tried yet.
pub struct ListPicker {
    endpoints: Vec<EndpointDeclaration>,
}

impl ListPicker {
    /// Creates endpoints with the addresses `endpoint-0`, `endpoint-1` and so on, each in its own
    /// failure domain.
    pub fn new(count: usize) -> Self {
        let declaration = |index: usize| EndpointDeclaration {
            name: format!("endpoint-{index}").into(),
            address: format!("endpoint-{index}").into(),
            domain: format!("domain-{index}").into(),
            accelerator: "".into(),
            checks_fence: false,
        };
        Self { endpoints: (0..count).map(declaration).collect() }
    }
}

impl EndpointPicker for ListPicker {
    fn pick(&self, tried: &BTreeSet<EndpointName>) -> Option<EndpointDeclaration> {
        self.endpoints.iter().find(|endpoint| !tried.contains(&endpoint.name)).cloned()
    }

    fn started(&self, _endpoint: &str) {}

    fn finished(&self, _endpoint: &str, _elapsed: Duration, _failure: Option<&CallFailure>) {}
}
