//! Orders to engines: absolute, under the fence of the lease, repeated until they took effect.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

use crate::endpoint::{CallFailure, EngineOrder, EngineStatus};
use crate::ids::{EndpointName, FenceNumber, ServiceName};
use crate::lease::HeldLease;
use crate::placement::{DesiredEngine, EngineSnapshot, LayerRange};

/// Time for which an engine is not read while reading back is switched off.
const NO_READ_BACK_PAUSE: Duration = Duration::from_secs(24 * 60 * 60);

/// Protection of orders that a test switches off to show that its checker notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OrderGuard {
    /// Checks the lease right before each order.
    CheckBeforeSend,
    /// Waits out the orders of the holder before, for engines that don't check the fence.
    WaitOutOrders,
    /// Reads the state back after an order, instead of taking it for done.
    ReadBack,
    /// Orders engines that check the fence even where they fit, so that they refuse older orders.
    RaiseFence,
}

/// Times of orders.
#[derive(Clone, Debug)]
pub struct OrderOptions {
    /// Longest time from an order's sending to its effect.
    pub longest_order_time: Duration,
    /// Time between reads of an engine's state.
    pub poll_interval: Duration,
    /// Time without an answer after which an engine counts as lost.
    pub lost_after: Duration,
    /// Time within which a read of the state must answer.
    pub status_timeout: Duration,
    /// Protection that is switched off; only for tests.
    pub disabled: Option<OrderGuard>,
}

impl Default for OrderOptions {
    fn default() -> Self {
        Self {
            longest_order_time: Duration::from_secs(5),
            poll_interval: Duration::from_secs(1),
            lost_after: Duration::from_secs(3),
            status_timeout: Duration::from_secs(1),
            disabled: None,
        }
    }
}

impl OrderOptions {
    fn is_enabled(&self, guard: OrderGuard) -> bool {
        self.disabled != Some(guard)
    }
}

/// What the shell should do; each action is answered by [`OrderReconciler::observe`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAction {
    /// Read the engine's state.
    Poll {
        /// The engine.
        endpoint: EndpointName,
        /// Its address.
        address: Box<str>,
    },
    /// Give the order, if [`OrderReconciler::may_send`] says so right before.
    Send {
        /// The engine.
        endpoint: EndpointName,
        /// Its address.
        address: Box<str>,
        /// The order.
        order: EngineOrder,
    },
}

struct TrackedEngine {
    address: Box<str>,
    status: Option<EngineStatus>,
    last_answer: Option<Instant>,
    tracked_since: Instant,
    poll_at: Instant,
    has_call_in_flight: bool,
    /// An order was given whose effect was not read back yet.
    needs_read_back: bool,
    /// Order to change that the engine was given and does not fit yet.
    pending_order: Option<EngineOrder>,
}

/// The state machine of orders in one tenure of the lease.
pub struct OrderReconciler {
    options: OrderOptions,
    fence: FenceNumber,
    engines: BTreeMap<EndpointName, TrackedEngine>,
    desired: BTreeMap<EndpointName, DesiredEngine>,
}

impl OrderReconciler {
    /// A keeper that follows no engine yet.
    pub fn new(options: OrderOptions) -> Self {
        Self { options, fence: 0, engines: BTreeMap::new(), desired: BTreeMap::new() }
    }

    /// Follows these engines under the lease, and forgets all others.
    pub fn set_engines(
        &mut self,
        now: Instant,
        lease: HeldLease,
        engines: &BTreeMap<EndpointName, Box<str>>,
    ) {
        if lease.fence != self.fence {
            self.begin_tenure(now, lease.fence);
        }
        self.engines.retain(|name, tracked| engines.get(name) == Some(&tracked.address));
        for (name, address) in engines {
            self.engines.entry(name.clone()).or_insert_with(|| TrackedEngine {
                address: address.clone(),
                status: None,
                last_answer: None,
                tracked_since: now,
                poll_at: now,
                has_call_in_flight: false,
                needs_read_back: false,
                pending_order: None,
            });
        }
    }

    /// Sets what the engines should hold.
    pub fn set_desired(&mut self, desired: BTreeMap<EndpointName, DesiredEngine>) {
        self.desired = desired;
    }

    /// What is known about the engines; `None` until each has answered or counts as lost.
    ///
    /// An engine that was ordered to change counts as changed, so that a placement made before
    /// the change is read back does not move another engine in its stead.
    pub fn snapshot(&self, now: Instant) -> Option<EngineSnapshot> {
        let mut snapshot = EngineSnapshot::default();
        for (name, tracked) in &self.engines {
            let silence = now.duration_since(tracked.last_answer.unwrap_or(tracked.tracked_since));
            if silence >= self.options.lost_after {
                snapshot.lost.insert(name.clone());
                continue;
            }
            let status = tracked.status.clone()?;
            let status = match &tracked.pending_order {
                Some(order) => expected_status(order, status),
                None => status,
            };
            snapshot.statuses.insert(name.clone(), status);
        }
        Some(snapshot)
    }

    /// Decides which states to read and which orders to give under the lease.
    pub fn advance(&mut self, now: Instant, lease: HeldLease) -> Vec<OrderAction> {
        let mut pending = self.pending_changes();
        let mut actions = Vec::new();
        let names: Vec<EndpointName> = self.engines.keys().cloned().collect();
        for name in names {
            let order = self.next_order(now, lease, &name, &mut pending);
            let tracked = self.engines.get_mut(&name).expect("the name was just listed");
            if tracked.has_call_in_flight {
                continue;
            }
            let address = tracked.address.clone();
            if let Some((order, is_change)) = order {
                (tracked.has_call_in_flight, tracked.needs_read_back) = (true, true);
                tracked.pending_order = is_change.then(|| order.clone());
                actions.push(OrderAction::Send { endpoint: name, address, order });
            } else if tracked.poll_at <= now {
                tracked.has_call_in_flight = true;
                actions.push(OrderAction::Poll { endpoint: name, address });
            }
        }
        actions
    }

    /// Whether an order with this fence may be sent now; ask right before sending.
    pub fn may_send(&self, lease: Option<HeldLease>, fence: FenceNumber) -> bool {
        if !self.options.is_enabled(OrderGuard::CheckBeforeSend) {
            return true;
        }
        lease.is_some_and(|lease| lease.fence == fence)
    }

    /// Learns an engine's answer to a poll or an order, or that an order was not sent.
    pub fn observe(
        &mut self,
        now: Instant,
        endpoint: &str,
        result: Result<EngineStatus, CallFailure>,
    ) {
        let Some(tracked) = self.engines.get_mut(endpoint) else {
            return;
        };
        tracked.has_call_in_flight = false;
        tracked.poll_at = now + self.options.poll_interval;
        let Ok(status) = result else {
            return;
        };
        tracked.last_answer = Some(now);
        tracked.needs_read_back = false;
        let is_applied = |order: &EngineOrder| expected_status(order, status.clone()) == status;
        tracked.pending_order = tracked.pending_order.take().filter(|order| !is_applied(order));
        tracked.status = Some(status);
    }

    /// Learns that an order ended; its effect counts only once it is read back.
    pub fn observe_order(
        &mut self,
        now: Instant,
        endpoint: &str,
        result: Result<EngineStatus, CallFailure>,
    ) {
        if !self.options.is_enabled(OrderGuard::ReadBack) {
            return self.assume_applied(now, endpoint);
        }
        let Some(tracked) = self.engines.get_mut(endpoint) else {
            return;
        };
        tracked.has_call_in_flight = false;
        tracked.poll_at = now;
        if result.is_ok() {
            tracked.last_answer = Some(now);
        }
    }

    fn begin_tenure(&mut self, now: Instant, fence: FenceNumber) {
        self.fence = fence;
        for tracked in self.engines.values_mut() {
            // What was read in an earlier tenure may have been changed since.
            tracked.status = None;
            tracked.last_answer = None;
            tracked.tracked_since = now;
            tracked.poll_at = now;
            tracked.pending_order = None;
        }
        self.desired.clear();
    }

    /// Engines of each group that were ordered to change and have not done so yet.
    fn pending_changes(&self) -> BTreeMap<(ServiceName, LayerRange), usize> {
        let mut pending = BTreeMap::new();
        for (name, engine) in &self.desired {
            let is_pending =
                self.engines.get(name).is_some_and(|tracked| tracked.pending_order.is_some());
            let count = pending.entry((engine.service.clone(), engine.range)).or_insert(0);
            *count += usize::from(is_pending);
        }
        pending
    }

    fn next_order(
        &self,
        now: Instant,
        lease: HeldLease,
        name: &str,
        pending: &mut BTreeMap<(ServiceName, LayerRange), usize>,
    ) -> Option<(EngineOrder, bool)> {
        let engine = self.desired.get(name)?;
        let tracked = self.engines.get(name)?;
        let status = tracked
            .status
            .as_ref()
            .filter(|_| !tracked.has_call_in_flight && !tracked.needs_read_back)?;
        let is_matching = matches_desired(engine, status);
        if is_matching && !self.must_raise_fence(engine, status) {
            return None;
        }
        if !engine.endpoint.checks_fence && self.must_wait_for_earlier_orders(now, lease) {
            return None;
        }
        if !is_matching
            && tracked.pending_order.is_none()
            && !self.try_start_change(engine, status, pending)
        {
            return None;
        }
        Some((order_for(engine, self.fence), !is_matching))
    }

    fn must_raise_fence(&self, engine: &DesiredEngine, status: &EngineStatus) -> bool {
        let is_enabled = self.options.is_enabled(OrderGuard::RaiseFence);
        is_enabled && engine.endpoint.checks_fence && status.fence < self.fence
    }

    /// Whether an order of the holder before may still take effect.
    fn must_wait_for_earlier_orders(&self, now: Instant, lease: HeldLease) -> bool {
        let is_enabled = self.options.is_enabled(OrderGuard::WaitOutOrders);
        is_enabled && now < lease.since + self.options.longest_order_time
    }

    /// Lets at most half of a stage's engines, and at least one, change their load at once.
    fn try_start_change(
        &self,
        engine: &DesiredEngine,
        status: &EngineStatus,
        pending: &mut BTreeMap<(ServiceName, LayerRange), usize>,
    ) -> bool {
        if engine.leaving || status.leaving {
            return true;
        }
        let group = (engine.service.clone(), engine.range);
        let is_same_group =
            |other: &&DesiredEngine| other.service == engine.service && other.range == engine.range;
        let size = self.desired.values().filter(is_same_group).count();
        let count = pending.entry(group).or_insert(0);
        if *count >= (size / 2).max(1) {
            return false;
        }
        *count += 1;
        true
    }

    /// Takes an order for done and never reads the engine's state again; only for tests.
    fn assume_applied(&mut self, now: Instant, endpoint: &str) {
        let (Some(engine), Some(tracked)) =
            (self.desired.get(endpoint), self.engines.get_mut(endpoint))
        else {
            return;
        };
        let order = order_for(engine, self.fence);
        let later = now + NO_READ_BACK_PAUSE;
        (tracked.has_call_in_flight, tracked.needs_read_back, tracked.pending_order) =
            (false, false, None);
        (tracked.poll_at, tracked.last_answer) = (later, Some(later));
        tracked.status = tracked.status.take().map(|status| expected_status(&order, status));
    }
}

/// Addresses of every engine that a set of declarations names.
pub(crate) fn engine_addresses<'a>(
    endpoints: impl Iterator<Item = &'a crate::declaration::EndpointDeclaration>,
) -> BTreeMap<EndpointName, Box<str>> {
    endpoints.map(|endpoint| (endpoint.name.clone(), endpoint.address.clone())).collect()
}

/// Names that stand in one set and not in the other.
pub(crate) fn missing_from(
    names: &BTreeSet<EndpointName>,
    others: &BTreeSet<EndpointName>,
) -> Vec<EndpointName> {
    names.difference(others).cloned().collect()
}

fn matches_desired(engine: &DesiredEngine, status: &EngineStatus) -> bool {
    status.model == engine.model
        && status.version == engine.version
        && status.first_layer == engine.range.first
        && status.last_layer == engine.range.last
        && status.leaving == engine.leaving
}

/// The state that an engine has once it obeyed an order.
fn expected_status(order: &EngineOrder, status: EngineStatus) -> EngineStatus {
    EngineStatus {
        model: order.model.clone(),
        version: order.version.clone(),
        first_layer: order.first_layer,
        last_layer: order.last_layer,
        leaving: order.leaving,
        fence: status.fence.max(order.fence),
        ..status
    }
}

fn order_for(engine: &DesiredEngine, fence: FenceNumber) -> EngineOrder {
    EngineOrder {
        fence,
        model: engine.model.clone(),
        version: engine.version.clone(),
        first_layer: engine.range.first,
        last_layer: engine.range.last,
        leaving: engine.leaving,
    }
}
