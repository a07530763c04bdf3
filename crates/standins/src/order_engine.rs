//! Engines for tests of orders: they hold a state and keep their own record of every order.

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use jacinthrock::{
    CallFailure, EndpointCaller, EngineOrder, EngineStatus, EventReceiver, GenerateCall, PlainCall,
    PlainReply,
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
pub struct OrderFaults {
    /// The call is lost before it has an effect.
    pub lost_call: f64,
    /// The call takes effect and its reply is lost.
    pub lost_reply: f64,
    /// Longest delay before an order takes effect, and again before its reply.
    pub longest_delay: Duration,
    /// Longest delay before a state is read, and again before its reply.
    pub longest_status_delay: Duration,
}

/// An order that took effect, as the engine itself saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedOrder {
    /// Host that gave it.
    pub host: Box<str>,
    /// Address of the engine.
    pub address: Box<str>,
    /// When it took effect.
    pub at: Instant,
    /// The order.
    pub order: EngineOrder,
}

struct FleetState {
    engines: BTreeMap<Box<str>, EngineStatus>,
    checking: BTreeSet<Box<str>>,
    down: BTreeSet<Box<str>>,
    effects: Vec<AppliedOrder>,
    refused: u64,
    faults: OrderFaults,
    rng: ChaCha8Rng,
}

/// Engines as one host sees them; handles share the engines.
#[derive(Clone)]
pub struct OrderFleet {
    state: Rc<RefCell<FleetState>>,
    host: Box<str>,
}

impl OrderFleet {
    /// A fleet without engines.
    pub fn new(seed: u64) -> Self {
        let state = FleetState {
            engines: BTreeMap::new(),
            checking: BTreeSet::new(),
            down: BTreeSet::new(),
            effects: Vec::new(),
            refused: 0,
            faults: OrderFaults::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        Self { state: Rc::new(RefCell::new(state)), host: "".into() }
    }

    /// The same engines, ordered by another host.
    pub fn handle(&self, host: &str) -> Self {
        Self { state: self.state.clone(), host: host.into() }
    }

    /// Adds an engine that holds nothing.
    pub fn add(&self, address: &str, checks_fence: bool) {
        let status = EngineStatus {
            endpoint: address.into(),
            model: "".into(),
            version: "".into(),
            first_layer: 0,
            last_layer: 0,
            fence: 0,
            running: 0,
            waiting: 0,
            leaving: false,
        };
        let mut state = self.state.borrow_mut();
        state.engines.insert(address.into(), status);
        if checks_fence {
            state.checking.insert(address.into());
        }
    }

    /// Sets the faults of the calls to come.
    pub fn set_faults(&self, faults: OrderFaults) {
        self.state.borrow_mut().faults = faults;
    }

    /// Takes an engine down, or brings it back as it was.
    pub fn set_down(&self, address: &str, down: bool) {
        let mut state = self.state.borrow_mut();
        if down {
            state.down.insert(address.into());
        } else {
            state.down.remove(address);
        }
    }

    /// State of an engine, past every fault.
    pub fn peek(&self, address: &str) -> Option<EngineStatus> {
        self.state.borrow().engines.get(address).cloned()
    }

    /// Every order that took effect, in order.
    pub fn effects(&self) -> Vec<AppliedOrder> {
        self.state.borrow().effects.clone()
    }

    /// Orders that engines refused for their fence.
    pub fn refused(&self) -> u64 {
        self.state.borrow().refused
    }

    async fn delay(&self, longest: Duration) {
        let delay = {
            let mut state = self.state.borrow_mut();
            let longest = longest.as_micros() as u64;
            Duration::from_micros(state.rng.random_range(0..=longest))
        };
        tokio::time::sleep(delay).await;
    }

    async fn perform(
        &self,
        address: &str,
        longest_delay: Duration,
        effect: impl FnOnce(&mut FleetState) -> Result<EngineStatus, CallFailure>,
    ) -> Result<EngineStatus, CallFailure> {
        self.delay(longest_delay).await;
        let (result, lost_reply) = {
            let mut state = self.state.borrow_mut();
            if state.down.contains(address) {
                return Err(CallFailure::NotSent("engine is down".into()));
            }
            let draw: f64 = state.rng.random();
            if draw < state.faults.lost_call {
                return Err(CallFailure::Broken("call lost".into()));
            }
            let lost_reply = draw < state.faults.lost_call + state.faults.lost_reply;
            (effect(&mut state), lost_reply)
        };
        self.delay(longest_delay).await;
        if lost_reply {
            return Err(CallFailure::Broken("reply lost".into()));
        }
        result
    }
}

impl FleetState {
    fn order(
        &mut self,
        host: &str,
        address: &str,
        order: EngineOrder,
    ) -> Result<EngineStatus, CallFailure> {
        let checks = self.checking.contains(address);
        let Some(status) = self.engines.get_mut(address) else {
            return Err(CallFailure::NotSent("no such engine".into()));
        };
        if checks && order.fence < status.fence {
            self.refused += 1;
            let reason = "the fence is old".into();
            return Err(CallFailure::Refused { reason, leaving: false });
        }
        status.fence = status.fence.max(order.fence);
        status.model = order.model.clone();
        status.version = order.version.clone();
        status.first_layer = order.first_layer;
        status.last_layer = order.last_layer;
        status.leaving = order.leaving;
        let status = status.clone();
        let (host, address, at) = (host.into(), address.into(), Instant::now());
        self.effects.push(AppliedOrder { host, address, at, order });
        Ok(status)
    }
}

impl EndpointCaller for OrderFleet {
    fn generate(&self, _call: GenerateCall, _timeout: Duration) -> EventReceiver {
        mpsc::channel(1).1
    }

    fn call(
        &self,
        _address: &str,
        _call: PlainCall,
    ) -> LocalBoxFuture<'_, Result<PlainReply, CallFailure>> {
        async { Err(CallFailure::NotSent("not a plain service".into())) }.boxed_local()
    }

    fn status(
        &self,
        address: &str,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<EngineStatus, CallFailure>> {
        let address: Box<str> = address.into();
        async move {
            let longest = self.state.borrow().faults.longest_status_delay;
            let read = self.perform(&address, longest, |state| {
                let status = state.engines.get(&address).cloned();
                status.ok_or_else(|| CallFailure::NotSent("no such engine".into()))
            });
            let result = tokio::time::timeout(timeout, read).await;
            result.unwrap_or_else(|_| Err(CallFailure::Broken("no answer in time".into())))
        }
        .boxed_local()
    }

    fn order(
        &self,
        address: &str,
        order: EngineOrder,
        _timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<EngineStatus, CallFailure>> {
        let address: Box<str> = address.into();
        async move {
            let longest = self.state.borrow().faults.longest_delay;
            let effect = |state: &mut FleetState| state.order(&self.host, &address, order);
            self.perform(&address, longest, effect).await
        }
        .boxed_local()
    }
}
