//! In-memory engines for tests of orders to engines; they record every order that they apply.

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use jacinthrock::{
    CallFailure, EndpointClient, EngineOrder, EngineStatus, EventReceiver, GenerateCall, PlainCall,
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

/// Probabilities of faults, each from 0 to 1, and the maximum delays of the calls.
#[derive(Clone, Debug, Default)]
pub struct OrderFaults {
    /// The call is lost before it takes effect; the caller cannot tell whether it did.
    pub lost_call: f64,
    /// The call takes effect but its reply is lost.
    pub lost_reply: f64,
    /// Maximum delay before an order takes effect, and again before its reply arrives.
    pub longest_delay: Duration,
    /// Maximum delay before a status is read, and again before its reply arrives.
    pub longest_status_delay: Duration,
}

/// Order that took effect, as recorded by the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedOrder {
    /// Host that sent the order.
    pub host: Box<str>,
    /// Address of the engine.
    pub address: Box<str>,
    /// Time when it took effect.
    pub at: Instant,
    /// The order.
    pub order: EngineOrder,
}

struct FleetState {
    engines: BTreeMap<Box<str>, EngineStatus>,
    fence_checkers: BTreeSet<Box<str>>,
    down: BTreeSet<Box<str>>,
    applied_orders: Vec<AppliedOrder>,
    refused_orders: u64,
    faults: OrderFaults,
    rng: ChaCha8Rng,
}

/// One host's handle to the engines; all handles share the same engines.
#[derive(Clone)]
pub struct OrderFleet {
    state: Rc<RefCell<FleetState>>,
    host: Box<str>,
}

impl OrderFleet {
    /// Creates a fleet without engines or faults.
    pub fn new(seed: u64) -> Self {
        let state = FleetState {
            engines: BTreeMap::new(),
            fence_checkers: BTreeSet::new(),
            down: BTreeSet::new(),
            applied_orders: Vec::new(),
            refused_orders: 0,
            faults: OrderFaults::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        Self { state: Rc::new(RefCell::new(state)), host: "".into() }
    }

    /// Returns another host's handle to the same engines.
    pub fn handle(&self, host: &str) -> Self {
        Self { state: self.state.clone(), host: host.into() }
    }

    /// Adds an engine without a model.
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
            state.fence_checkers.insert(address.into());
        }
    }

    /// Sets the faults of later calls.
    pub fn set_faults(&self, faults: OrderFaults) {
        self.state.borrow_mut().faults = faults;
    }

    /// Takes an engine down, or brings it up again with its state unchanged.
    pub fn set_down(&self, address: &str, is_down: bool) {
        let mut state = self.state.borrow_mut();
        if is_down {
            state.down.insert(address.into());
        } else {
            state.down.remove(address);
        }
    }

    /// Reads the status of an engine without faults or delay, for checks in tests.
    pub fn peek(&self, address: &str) -> Option<EngineStatus> {
        self.state.borrow().engines.get(address).cloned()
    }

    /// Applied orders of all hosts, in the order in which they took effect.
    pub fn applied_orders(&self) -> Vec<AppliedOrder> {
        self.state.borrow().applied_orders.clone()
    }

    /// Number of orders that engines refused for a stale fence.
    pub fn refused(&self) -> u64 {
        self.state.borrow().refused_orders
    }

    async fn sleep_randomly(&self, longest: Duration) {
        let delay = {
            let mut state = self.state.borrow_mut();
            let longest = longest.as_micros() as u64;
            Duration::from_micros(state.rng.random_range(0..=longest))
        };
        tokio::time::sleep(delay).await;
    }

    async fn call_with_faults(
        &self,
        address: &str,
        longest_delay: Duration,
        effect: impl FnOnce(&mut FleetState) -> Result<EngineStatus, CallFailure>,
    ) -> Result<EngineStatus, CallFailure> {
        self.sleep_randomly(longest_delay).await;
        let (result, is_reply_lost) = {
            let mut state = self.state.borrow_mut();
            if state.down.contains(address) {
                return Err(CallFailure::NotSent("engine is down".into()));
            }
            let draw: f64 = state.rng.random();
            if draw < state.faults.lost_call {
                return Err(CallFailure::Broken("call lost".into()));
            }
            let is_reply_lost = draw < state.faults.lost_call + state.faults.lost_reply;
            (effect(&mut state), is_reply_lost)
        };
        self.sleep_randomly(longest_delay).await;
        if is_reply_lost {
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
        let checks_fence = self.fence_checkers.contains(address);
        let Some(status) = self.engines.get_mut(address) else {
            return Err(CallFailure::NotSent("no such engine".into()));
        };
        if checks_fence && order.fence < status.fence {
            self.refused_orders += 1;
            let reason = "stale fence".into();
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
        self.applied_orders.push(AppliedOrder { host, address, at, order });
        Ok(status)
    }
}

impl EndpointClient for OrderFleet {
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
            let read = self.call_with_faults(&address, longest, |state| {
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
            self.call_with_faults(&address, longest, effect).await
        }
        .boxed_local()
    }
}
