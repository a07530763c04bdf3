//! An in-memory plain service for tests. It keeps its own record of every run.

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use jacinthrock::{
    CallFailure, EndpointCaller, EndpointDeclaration, EndpointName, EndpointPicker, EngineOrder,
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

/// Probabilities of faults, each from 0 to 1, and the longest delay of a call.
#[derive(Clone, Debug, Default)]
pub struct ServiceFaults {
    /// The connection can't be made.
    pub not_sent: f64,
    /// The endpoint refuses before it starts.
    pub refused: f64,
    /// The call is lost on its way, and the caller can't tell.
    pub lost_call: f64,
    /// The call runs and its reply is lost.
    pub lost_reply: f64,
    /// Longest delay before a call runs, and again before its reply.
    pub longest_delay: Duration,
}

/// One run of a call, as the service itself saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRun {
    /// Value of the `idempotency-key` header.
    pub key: Box<str>,
    /// Value of the `x-request` header, which tells callers' requests apart.
    pub request: Box<str>,
    /// Address of the endpoint.
    pub address: Box<str>,
    /// When it ran.
    pub at: Instant,
    /// Body of the answer.
    pub answer: Box<[u8]>,
}

struct ServiceState {
    runs: Vec<ServiceRun>,
    faults: ServiceFaults,
    frozen: BTreeMap<Box<str>, Instant>,
    leaving: BTreeSet<Box<str>>,
    rng: ChaCha8Rng,
}

/// The service; clones share its record. Every address is an endpoint of it.
#[derive(Clone)]
pub struct FakeService {
    state: Rc<RefCell<ServiceState>>,
}

enum ServiceFate {
    Served,
    LostReply,
    Failed(CallFailure),
}

impl FakeService {
    /// A service without faults.
    pub fn new(seed: u64) -> Self {
        let state = ServiceState {
            runs: Vec::new(),
            faults: ServiceFaults::default(),
            frozen: BTreeMap::new(),
            leaving: BTreeSet::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        Self { state: Rc::new(RefCell::new(state)) }
    }

    /// Sets the faults of the calls to come.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.state.borrow_mut().faults = faults;
    }

    /// Freezes an endpoint for so long; calls that it took run when it wakes.
    pub fn freeze(&self, address: &str, time: Duration) {
        self.state.borrow_mut().frozen.insert(address.into(), Instant::now() + time);
    }

    /// Makes an endpoint refuse new calls because it is leaving.
    pub fn leave(&self, address: &str) {
        self.state.borrow_mut().leaving.insert(address.into());
    }

    /// Every run so far, in order.
    pub fn runs(&self) -> Vec<ServiceRun> {
        self.state.borrow().runs.clone()
    }

    fn fate(&self, address: &str) -> ServiceFate {
        let mut state = self.state.borrow_mut();
        if state.leaving.contains(address) {
            let reason = "endpoint is leaving".into();
            return ServiceFate::Failed(CallFailure::Refused { reason, leaving: true });
        }
        let faults = state.faults.clone();
        let draw: f64 = state.rng.random();
        let refused = faults.not_sent + faults.refused;
        let lost_call = refused + faults.lost_call;
        if draw < faults.not_sent {
            return ServiceFate::Failed(CallFailure::NotSent("connection refused".into()));
        }
        if draw < refused {
            let reason = "endpoint is full".into();
            return ServiceFate::Failed(CallFailure::Refused { reason, leaving: false });
        }
        if draw < lost_call {
            return ServiceFate::Failed(CallFailure::Broken("call lost".into()));
        }
        if draw < lost_call + faults.lost_reply {
            return ServiceFate::LostReply;
        }
        ServiceFate::Served
    }

    fn delay(&self) -> Duration {
        let mut state = self.state.borrow_mut();
        let longest = state.faults.longest_delay.as_micros() as u64;
        Duration::from_micros(state.rng.random_range(0..=longest))
    }

    async fn thaw(&self, address: &str) {
        let until = self.state.borrow().frozen.get(address).copied();
        if let Some(until) = until {
            tokio::time::sleep_until(until).await;
        }
    }

    async fn serve(&self, address: &str, call: PlainCall) -> Result<PlainReply, CallFailure> {
        tokio::time::sleep(self.delay()).await;
        let fate = self.fate(address);
        if let ServiceFate::Failed(failure) = fate {
            return Err(failure);
        }
        self.thaw(address).await;
        let reply = self.run(address, &call);
        tokio::time::sleep(self.delay()).await;
        if matches!(fate, ServiceFate::LostReply) {
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

impl EndpointCaller for FakeService {
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

/// Picks the first endpoint that was not tried, another failure domain first.
pub struct ListPicker {
    endpoints: Vec<EndpointDeclaration>,
}

impl ListPicker {
    /// Endpoints with addresses `endpoint-0`, `endpoint-1` and so on, each in its own domain.
    pub fn new(count: usize) -> Self {
        let declare = |index: usize| EndpointDeclaration {
            name: format!("endpoint-{index}").into(),
            address: format!("endpoint-{index}").into(),
            domain: format!("domain-{index}").into(),
            accelerator: "".into(),
            checks_fence: false,
        };
        Self { endpoints: (0..count).map(declare).collect() }
    }
}

impl EndpointPicker for ListPicker {
    fn pick(&self, tried: &BTreeSet<EndpointName>) -> Option<EndpointDeclaration> {
        self.endpoints.iter().find(|endpoint| !tried.contains(&endpoint.name)).cloned()
    }

    fn started(&self, _endpoint: &str) {}

    fn finished(&self, _endpoint: &str, _elapsed: Duration, _failure: Option<&CallFailure>) {}
}
