//! One simulated host's way out: its calls can be lost, frozen or ended at any step.

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use jacinthrock::{
    CallFailure, EndpointCaller, EngineOrder, EngineStatus, EventReceiver, GenerateCall,
    ObjectVersion, PlainCall, PlainReply, PlatformStore, StoreChange, StoreError, StoreListing,
    StoredObject,
};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Sort of a call that a host makes.
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

/// Moment of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GateMoment {
    /// Decided, but not sent.
    Before,
    /// Answered, but the answer is not seen.
    After,
}

/// A step of a host: the `nth` call of its sort, from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GatePoint {
    /// Sort of the call.
    pub call: GateCall,
    /// Moment of the call.
    pub moment: GateMoment,
    /// Number of the call among those of its sort.
    pub nth: u32,
}

/// What happens at a step.
#[derive(Clone)]
pub enum GateFault {
    /// The host ends.
    Kill,
    /// The host stands still for so long.
    Freeze(Duration),
    /// The call is not made (before) or its answer is lost (after).
    Lose,
    /// The call is refused, certainly without effect; only before.
    Refuse,
    /// Something outside the host happens.
    Trigger(Rc<dyn Fn()>),
}

struct GateState {
    dead: Cell<bool>,
    frozen: Cell<bool>,
    changed: Notify,
    counts: RefCell<BTreeMap<GateCall, u32>>,
    faults: RefCell<BTreeMap<GatePoint, GateFault>>,
    reached: RefCell<BTreeSet<GatePoint>>,
}

/// The gate of one host.
#[derive(Clone)]
pub struct HostGate {
    state: Rc<GateState>,
}

enum GatePass {
    Open,
    Lost,
    Refused,
}

impl Default for HostGate {
    fn default() -> Self {
        Self::new()
    }
}

impl HostGate {
    /// A gate without faults.
    pub fn new() -> Self {
        let state = GateState {
            dead: Cell::new(false),
            frozen: Cell::new(false),
            changed: Notify::new(),
            counts: RefCell::default(),
            faults: RefCell::default(),
            reached: RefCell::default(),
        };
        Self { state: Rc::new(state) }
    }

    /// Plans a fault for a step.
    pub fn plan(&self, point: GatePoint, fault: GateFault) {
        self.state.faults.borrow_mut().insert(point, fault);
    }

    /// Planned steps that the host has not reached.
    pub fn unreached(&self) -> usize {
        self.state.faults.borrow().len() - self.state.reached.borrow().len()
    }

    /// Ends the host: nothing that it does is seen from now on.
    pub fn kill(&self) {
        self.state.dead.set(true);
    }

    /// Freezes the host, or wakes it up.
    pub fn set_frozen(&self, frozen: bool) {
        self.state.frozen.set(frozen);
        self.state.changed.notify_waiters();
    }

    /// Whether the host runs.
    pub fn is_running(&self) -> bool {
        !self.state.dead.get() && !self.state.frozen.get()
    }

    /// Whether the host has ended.
    pub fn is_dead(&self) -> bool {
        self.state.dead.get()
    }

    /// Waits while the host is frozen, and for ever once it has ended.
    pub async fn wait_until_running(&self) {
        loop {
            let changed = self.state.changed.notified();
            if self.state.dead.get() {
                futures::future::pending::<()>().await;
            }
            if !self.state.frozen.get() {
                return;
            }
            changed.await;
        }
    }

    fn count(&self, call: GateCall) -> u32 {
        let mut counts = self.state.counts.borrow_mut();
        let count = counts.entry(call).or_insert(0);
        *count += 1;
        *count
    }

    async fn step(&self, call: GateCall, moment: GateMoment, nth: u32) -> GatePass {
        self.wait_until_running().await;
        let point = GatePoint { call, moment, nth };
        let fault = self.state.faults.borrow().get(&point).cloned();
        if fault.is_some() {
            self.state.reached.borrow_mut().insert(point);
        }
        let wait_until_running = match fault {
            None => GatePass::Open,
            Some(GateFault::Lose) => GatePass::Lost,
            Some(GateFault::Refuse) => GatePass::Refused,
            Some(GateFault::Trigger(happen)) => {
                happen();
                GatePass::Open
            }
            Some(GateFault::Kill) => {
                self.kill();
                GatePass::Open
            }
            Some(GateFault::Freeze(time)) => {
                self.freeze_for(time);
                GatePass::Open
            }
        };
        self.wait_until_running().await;
        wait_until_running
    }

    fn freeze_for(&self, time: Duration) {
        self.set_frozen(true);
        let gate = self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(time).await;
            gate.set_frozen(false);
        });
    }

    /// Makes a call that goes on by itself once it was sent, like a packet on the wire.
    async fn make<T: 'static, E: 'static>(
        &self,
        call: GateCall,
        future: impl Future<Output = Result<T, E>> + 'static,
        refused: impl FnOnce() -> E,
        lost: impl Fn() -> E,
    ) -> Result<T, E> {
        let nth = self.count(call);
        match self.step(call, GateMoment::Before, nth).await {
            GatePass::Open => {}
            GatePass::Lost => return Err(lost()),
            GatePass::Refused => return Err(refused()),
        }
        let result = tokio::task::spawn_local(future).await.unwrap_or_else(|_| Err(lost()));
        match self.step(call, GateMoment::After, nth).await {
            GatePass::Lost => Err(lost()),
            _ => result,
        }
    }
}

/// A platform store behind a host's gate.
pub struct GatedStore {
    gate: HostGate,
    store: Rc<dyn PlatformStore>,
}

impl GatedStore {
    /// Puts the gate before the store.
    pub fn new(gate: HostGate, store: Rc<dyn PlatformStore>) -> Self {
        Self { gate, store }
    }

    fn make<T: 'static>(
        &self,
        call: GateCall,
        future: impl Future<Output = Result<T, StoreError>> + 'static,
    ) -> LocalBoxFuture<'_, Result<T, StoreError>> {
        let refused = || StoreError::Unavailable("refused at the gate".into());
        let lost = || StoreError::Ambiguous("lost at the gate".into());
        self.gate.make(call, future, refused, lost).boxed_local()
    }
}

impl PlatformStore for GatedStore {
    fn get(&self, key: &str) -> LocalBoxFuture<'_, Result<Option<StoredObject>, StoreError>> {
        let (store, key): (_, Box<str>) = (self.store.clone(), key.into());
        self.make(GateCall::Read, async move { store.get(&key).await })
    }

    fn put(
        &self,
        key: &str,
        expected: ObjectVersion,
        value: Box<[u8]>,
    ) -> LocalBoxFuture<'_, Result<ObjectVersion, StoreError>> {
        let (store, key): (_, Box<str>) = (self.store.clone(), key.into());
        self.make(GateCall::Write, async move { store.put(&key, expected, value).await })
    }

    fn delete(
        &self,
        key: &str,
        expected: ObjectVersion,
    ) -> LocalBoxFuture<'_, Result<(), StoreError>> {
        let (store, key): (_, Box<str>) = (self.store.clone(), key.into());
        self.make(GateCall::Write, async move { store.delete(&key, expected).await })
    }

    fn list(&self, prefix: &str) -> LocalBoxFuture<'_, Result<StoreListing, StoreError>> {
        let (store, prefix): (_, Box<str>) = (self.store.clone(), prefix.into());
        self.make(GateCall::Read, async move { store.list(&prefix).await })
    }

    fn watch(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<(ObjectVersion, Vec<StoreChange>), StoreError>> {
        let (store, prefix): (_, Box<str>) = (self.store.clone(), prefix.into());
        self.make(GateCall::Read, async move { store.watch(&prefix, after, wait).await })
    }
}

/// An endpoint caller behind a host's gate.
pub struct GatedCaller {
    gate: HostGate,
    caller: Rc<dyn EndpointCaller>,
}

impl GatedCaller {
    /// Puts the gate before the caller.
    pub fn new(gate: HostGate, caller: Rc<dyn EndpointCaller>) -> Self {
        Self { gate, caller }
    }

    fn make<T: 'static>(
        &self,
        call: GateCall,
        future: impl Future<Output = Result<T, CallFailure>> + 'static,
    ) -> LocalBoxFuture<'_, Result<T, CallFailure>> {
        let refused = || CallFailure::NotSent("refused at the gate".into());
        let lost = || CallFailure::Broken("lost at the gate".into());
        self.gate.make(call, future, refused, lost).boxed_local()
    }
}

impl EndpointCaller for GatedCaller {
    fn generate(&self, call: GenerateCall, timeout: Duration) -> EventReceiver {
        self.caller.generate(call, timeout)
    }

    fn call(
        &self,
        address: &str,
        call: PlainCall,
    ) -> LocalBoxFuture<'_, Result<PlainReply, CallFailure>> {
        let (caller, address): (_, Box<str>) = (self.caller.clone(), address.into());
        self.make(GateCall::Call, async move { caller.call(&address, call).await })
    }

    fn status(
        &self,
        address: &str,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<EngineStatus, CallFailure>> {
        let (caller, address): (_, Box<str>) = (self.caller.clone(), address.into());
        self.make(GateCall::Status, async move { caller.status(&address, timeout).await })
    }

    fn order(
        &self,
        address: &str,
        order: EngineOrder,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<EngineStatus, CallFailure>> {
        let (caller, address): (_, Box<str>) = (self.caller.clone(), address.into());
        self.make(GateCall::Order, async move { caller.order(&address, order, timeout).await })
    }
}
