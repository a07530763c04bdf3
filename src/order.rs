//! Reconciliation of engines with their desired state. Orders to engines are absolute, carry the
//! fence of the controller's lease, and are repeated until a status read shows their effect.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

use crate::endpoint::{CallFailure, EngineOrder, EngineStatus};
use crate::ids::{EndpointName, FenceNumber, ServiceName};
use crate::lease::HeldLease;
use crate::placement::{DesiredEngine, EngineSnapshot, LayerRange};

/// Time without polls of an engine after an order while [`OrderRule::ReadBack`] is disabled.
const NO_READ_BACK_PAUSE: Duration = Duration::from_secs(24 * 60 * 60);

/// Safety rule of orders that a test disables to prove that its checker detects the violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OrderRule {
    /// Checks the lease immediately before each order is sent.
    CheckBeforeSend,
    /// Waits until no order of an earlier lease holder can take effect any more, for engines that
    /// don't check the fence.
    WaitOutOrders,
    /// Reads the status back after an order, instead of assuming that the order took effect.
    ReadBack,
    /// Sends an order to engines that check the fence even if their state is as desired, so that
    /// they refuse orders with an older fence.
    RaiseFence,
}

/// Timing options of an [`OrderReconciler`].
#[derive(Clone, Debug)]
pub struct OrderOptions {
    /// Longest time between the sending of an order and its effect.
    pub longest_order_time: Duration,
    /// Interval between polls of an engine's status.
    pub poll_interval: Duration,
    /// Time without an answer after which an engine counts as lost.
    pub lost_after: Duration,
    /// Timeout of a status call.
    pub status_timeout: Duration,
    /// Safety rule to disable; only for tests.
    pub disabled: Option<OrderRule>,
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
    fn is_enabled(&self, rule: OrderRule) -> bool {
        self.disabled != Some(rule)
    }
}

/// Action for the caller to perform. The result of a poll goes to [`OrderReconciler::observe`], the
/// result of an order to [`OrderReconciler::observe_order`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAction {
    /// Read the engine's status.
    Poll {
        /// Name of the engine.
        endpoint: EndpointName,
        /// Address of the engine.
        address: Box<str>,
    },
    /// Send the order, if [`OrderReconciler::may_send`] allows it immediately before.
    Send {
        /// Name of the engine.
        endpoint: EndpointName,
        /// Address of the engine.
        address: Box<str>,
        /// Order to send.
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
    /// Whether an order was sent whose effect has not been read back yet.
    needs_read_back: bool,
    /// Order that changes the engine's state and has not taken effect yet.
    pending_order: Option<EngineOrder>,
}

/// Reconciles engines with their desired state in one tenure of the lease; performs no I/O.
pub struct OrderReconciler {
    options: OrderOptions,
    fence: FenceNumber,
    engines: BTreeMap<EndpointName, TrackedEngine>,
    desired: BTreeMap<EndpointName, DesiredEngine>,
}

impl OrderReconciler {
    /// Creates a reconciler that tracks no engine.
    pub fn new(options: OrderOptions) -> Self {
        Self { options, fence: 0, engines: BTreeMap::new(), desired: BTreeMap::new() }
    }

    /// Sets the engines to track under the lease, by name and address; drops all others. A lease
    /// with another fence begins a new tenure.
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

    /// Sets the desired state of the engines.
    pub fn set_desired(&mut self, desired: BTreeMap<EndpointName, DesiredEngine>) {
        self.desired = desired;
    }

    /// Known state of the engines; `None` until each engine has answered or counts as lost.
    ///
    /// An engine with a pending order counts as already changed. Otherwise a placement that is
    /// computed before the change is read back would move another engine instead.
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

    /// Decides which engines to poll and which orders to send under the lease.
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

    /// Whether an order with this fence may be sent now; to be checked immediately before sending.
    pub fn may_send(&self, lease: Option<HeldLease>, fence: FenceNumber) -> bool {
        if !self.options.is_enabled(OrderRule::CheckBeforeSend) {
            return true;
        }
        lease.is_some_and(|lease| lease.fence == fence)
    }

    /// Records the result of a poll.
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

    /// Records that an order ended or was not sent. Its effect counts only once it is read back.
    pub fn observe_order(
        &mut self,
        now: Instant,
        endpoint: &str,
        result: Result<EngineStatus, CallFailure>,
    ) {
        if !self.options.is_enabled(OrderRule::ReadBack) {
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
            // The state may have changed since it was read in an earlier tenure.
            tracked.status = None;
            tracked.last_answer = None;
            tracked.tracked_since = now;
            tracked.poll_at = now;
            tracked.pending_order = None;
        }
        self.desired.clear();
    }

    /// Number of engines with a pending order, by service and layer range.
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

    /// Order to send to an engine now, if any, and whether it changes the engine's state.
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
        let is_enabled = self.options.is_enabled(OrderRule::RaiseFence);
        is_enabled && engine.endpoint.checks_fence && status.fence < self.fence
    }

    /// Whether an order of an earlier lease holder may still take effect.
    fn must_wait_for_earlier_orders(&self, now: Instant, lease: HeldLease) -> bool {
        let is_enabled = self.options.is_enabled(OrderRule::WaitOutOrders);
        is_enabled && now < lease.since + self.options.longest_order_time
    }

    /// Reserves a state change for the engine. At most half of a stage's engines, but at least one,
    /// may change their model or layers at the same time. Engines that are or become leaving are
    /// exempt.
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

    /// Assumes that an order took effect and no longer polls the engine; only for tests.
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

/// Addresses of the declared engines, by name.
pub(crate) fn engine_addresses<'a>(
    endpoints: impl Iterator<Item = &'a crate::declaration::EndpointDeclaration>,
) -> BTreeMap<EndpointName, Box<str>> {
    endpoints.map(|endpoint| (endpoint.name.clone(), endpoint.address.clone())).collect()
}

/// Names in `names` that are missing from `others`.
pub(crate) fn missing_from(
    names: &BTreeSet<EndpointName>,
    others: &BTreeSet<EndpointName>,
) -> Vec<EndpointName> {
    names.difference(others).cloned().collect()
}

/// Whether an engine's status matches its desired state, apart from the fence.
fn matches_desired(engine: &DesiredEngine, status: &EngineStatus) -> bool {
    status.model == engine.model
        && status.version == engine.version
        && status.first_layer == engine.range.first
        && status.last_layer == engine.range.last
        && status.leaving == engine.leaving
}

/// Status that an engine reports once it has applied an order.
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
