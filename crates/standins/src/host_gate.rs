//! Fault injection for the outgoing calls of one simulated host.
//!
//! The host's calls to the platform, engines and services, except `generate`, pass through its
//! [`HostGate`]. The gate can kill or freeze the host, or lose or refuse a call, at a planned step.

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use jacinthrock::{
    CallFailure, EndpointClient, EngineOrder, EngineStatus, EventReceiver, GenerateCall,
    ObjectVersion, PlainCall, PlainReply, PlatformStore, StoreChange, StoreError, StoreListing,
    StoredObject,
};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Kind of a call made by a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GateCall {
    /// A read of the platform.
    Read,
    /// A write to the platform.
    Write,
    /// A call to a plain service.
    Call,
    /// An order to an engine.
    Order,
    /// A read of an engine's state.
    Status,
}

/// Whether a step lies before or after a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GateMoment {
    /// The host is about to send the call.
    Before,
    /// The call was answered, and the host has not received the answer yet.
    After,
}

/// Step of a host at which a fault can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GatePoint {
    /// Kind of the call.
    pub call: GateCall,
    /// Whether the step lies before or after the call.
    pub moment: GateMoment,
    /// Number of the call among those of its kind, from 1.
    pub nth: u32,
}

/// Fault injected at a step.
#[derive(Clone)]
pub enum GateFault {
    /// The host is killed.
    Kill,
    /// The host is frozen for the given time.
    Freeze(Duration),
    /// The call is not made ([`GateMoment::Before`]) or its answer is lost ([`GateMoment::After`]).
    Lose,
    /// The call is refused and has certainly had no effect. Ignored at [`GateMoment::After`].
    Refuse,
    /// A function is called that changes something outside the host; the call goes ahead.
    Trigger(Rc<dyn Fn()>),
}

struct GateState {
    is_dead: Cell<bool>,
    is_frozen: Cell<bool>,
    changed: Notify,
    call_counts: RefCell<BTreeMap<GateCall, u32>>,
    faults: RefCell<BTreeMap<GatePoint, GateFault>>,
    reached: RefCell<BTreeSet<GatePoint>>,
}

/// Fault injector of one host; clones share its state.
#[derive(Clone)]
pub struct HostGate {
    state: Rc<GateState>,
}

enum StepResult {
    Proceed,
    Lost,
    Refused,
}

impl Default for HostGate {
    fn default() -> Self {
        Self::new()
    }
}

impl HostGate {
    /// Creates a gate without faults.
    pub fn new() -> Self {
        let state = GateState {
            is_dead: Cell::new(false),
            is_frozen: Cell::new(false),
            changed: Notify::new(),
            call_counts: RefCell::default(),
            faults: RefCell::default(),
            reached: RefCell::default(),
        };
        Self { state: Rc::new(state) }
    }

    /// Plans a fault for a step, replacing any fault already planned for it.
    pub fn plan(&self, point: GatePoint, fault: GateFault) {
        self.state.faults.borrow_mut().insert(point, fault);
    }

    /// Number of planned faults whose step the host has not reached.
    pub fn unreached(&self) -> usize {
        self.state.faults.borrow().len() - self.state.reached.borrow().len()
    }

    /// Kills the host: it makes no calls and receives no answers from now on.
    pub fn kill(&self) {
        self.state.is_dead.set(true);
    }

    /// Freezes the host, or resumes it.
    pub fn set_frozen(&self, is_frozen: bool) {
        self.state.is_frozen.set(is_frozen);
        self.state.changed.notify_waiters();
    }

    /// Returns whether the host is neither killed nor frozen.
    pub fn is_running(&self) -> bool {
        !self.state.is_dead.get() && !self.state.is_frozen.get()
    }

    /// Returns whether the host was killed.
    pub fn is_dead(&self) -> bool {
        self.state.is_dead.get()
    }

    /// Waits while the host is frozen; never returns once it is killed.
    pub async fn wait_until_running(&self) {
        loop {
            let changed = self.state.changed.notified();
            if self.state.is_dead.get() {
                futures::future::pending::<()>().await;
            }
            if !self.state.is_frozen.get() {
                return;
            }
            changed.await;
        }
    }

    fn next_number(&self, call: GateCall) -> u32 {
        let mut call_counts = self.state.call_counts.borrow_mut();
        let count = call_counts.entry(call).or_insert(0);
        *count += 1;
        *count
    }

    async fn apply_fault(&self, call: GateCall, moment: GateMoment, nth: u32) -> StepResult {
        self.wait_until_running().await;
        let point = GatePoint { call, moment, nth };
        let fault = self.state.faults.borrow().get(&point).cloned();
        if fault.is_some() {
            self.state.reached.borrow_mut().insert(point);
        }
        let result = match fault {
            None => StepResult::Proceed,
            Some(GateFault::Lose) => StepResult::Lost,
            Some(GateFault::Refuse) => StepResult::Refused,
            Some(GateFault::Trigger(trigger)) => {
                trigger();
                StepResult::Proceed
            }
            Some(GateFault::Kill) => {
                self.kill();
                StepResult::Proceed
            }
            Some(GateFault::Freeze(duration)) => {
                self.freeze_for(duration);
                StepResult::Proceed
            }
        };
        self.wait_until_running().await;
        result
    }

    fn freeze_for(&self, duration: Duration) {
        self.set_frozen(true);
        let gate = self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(duration).await;
            gate.set_frozen(false);
        });
    }

    /// Makes a call as a separate task: once sent, it runs on even if the host is killed or frozen,
    /// like a packet already on the network.
    async fn make_call<T: 'static, E: 'static>(
        &self,
        call: GateCall,
        future: impl Future<Output = Result<T, E>> + 'static,
        refused: impl FnOnce() -> E,
        lost: impl Fn() -> E,
    ) -> Result<T, E> {
        let nth = self.next_number(call);
        match self.apply_fault(call, GateMoment::Before, nth).await {
            StepResult::Proceed => {}
            StepResult::Lost => return Err(lost()),
            StepResult::Refused => return Err(refused()),
        }
        let result = tokio::task::spawn_local(future).await.unwrap_or_else(|_| Err(lost()));
        match self.apply_fault(call, GateMoment::After, nth).await {
            StepResult::Lost => Err(lost()),
            _ => result,
        }
    }
}

/// Platform store whose calls pass through a host's gate.
pub struct GatedStore {
    gate: HostGate,
    store: Rc<dyn PlatformStore>,
}

impl GatedStore {
    /// Wraps a store.
    pub fn new(gate: HostGate, store: Rc<dyn PlatformStore>) -> Self {
        Self { gate, store }
    }

    fn make_call<T: 'static>(
        &self,
        call: GateCall,
        future: impl Future<Output = Result<T, StoreError>> + 'static,
    ) -> LocalBoxFuture<'_, Result<T, StoreError>> {
        let refused = || StoreError::Unavailable("refused by an injected fault".into());
        let lost = || StoreError::Ambiguous("lost by an injected fault".into());
        self.gate.make_call(call, future, refused, lost).boxed_local()
    }
}

impl PlatformStore for GatedStore {
    fn get(&self, key: &str) -> LocalBoxFuture<'_, Result<Option<StoredObject>, StoreError>> {
        let (store, key): (_, Box<str>) = (self.store.clone(), key.into());
        self.make_call(GateCall::Read, async move { store.get(&key).await })
    }

    fn put(
        &self,
        key: &str,
        expected: ObjectVersion,
        value: Box<[u8]>,
    ) -> LocalBoxFuture<'_, Result<ObjectVersion, StoreError>> {
        let (store, key): (_, Box<str>) = (self.store.clone(), key.into());
        self.make_call(GateCall::Write, async move { store.put(&key, expected, value).await })
    }

    fn delete(
        &self,
        key: &str,
        expected: ObjectVersion,
    ) -> LocalBoxFuture<'_, Result<(), StoreError>> {
        let (store, key): (_, Box<str>) = (self.store.clone(), key.into());
        self.make_call(GateCall::Write, async move { store.delete(&key, expected).await })
    }

    fn list(&self, prefix: &str) -> LocalBoxFuture<'_, Result<StoreListing, StoreError>> {
        let (store, prefix): (_, Box<str>) = (self.store.clone(), prefix.into());
        self.make_call(GateCall::Read, async move { store.list(&prefix).await })
    }

    fn watch(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<(ObjectVersion, Vec<StoreChange>), StoreError>> {
        let (store, prefix): (_, Box<str>) = (self.store.clone(), prefix.into());
        self.make_call(GateCall::Read, async move { store.watch(&prefix, after, wait).await })
    }
}

/// Client of endpoints whose calls pass through a host's gate, except for `generate`.
pub struct GatedEndpointClient {
    gate: HostGate,
    client: Rc<dyn EndpointClient>,
}

impl GatedEndpointClient {
    /// Wraps a client.
    pub fn new(gate: HostGate, client: Rc<dyn EndpointClient>) -> Self {
        Self { gate, client }
    }

    fn make_call<T: 'static>(
        &self,
        call: GateCall,
        future: impl Future<Output = Result<T, CallFailure>> + 'static,
    ) -> LocalBoxFuture<'_, Result<T, CallFailure>> {
        let refused = || CallFailure::NotSent("refused by an injected fault".into());
        let lost = || CallFailure::Broken("lost by an injected fault".into());
        self.gate.make_call(call, future, refused, lost).boxed_local()
    }
}

impl EndpointClient for GatedEndpointClient {
    fn generate(&self, call: GenerateCall, timeout: Duration) -> EventReceiver {
        self.client.generate(call, timeout)
    }

    fn call(
        &self,
        address: &str,
        call: PlainCall,
    ) -> LocalBoxFuture<'_, Result<PlainReply, CallFailure>> {
        let (client, address): (_, Box<str>) = (self.client.clone(), address.into());
        self.make_call(GateCall::Call, async move { client.call(&address, call).await })
    }

    fn status(
        &self,
        address: &str,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<EngineStatus, CallFailure>> {
        let (client, address): (_, Box<str>) = (self.client.clone(), address.into());
        self.make_call(GateCall::Status, async move { client.status(&address, timeout).await })
    }

    fn order(
        &self,
        address: &str,
        order: EngineOrder,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<EngineStatus, CallFailure>> {
        let (client, address): (_, Box<str>) = (self.client.clone(), address.into());
        self.make_call(GateCall::Order, async move { client.order(&address, order, timeout).await })
    }
}
