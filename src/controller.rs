//! The controller: holds the lease, places models, sends orders to engines, and writes drain marks
//! for endpoints that are leaving.

use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::declaration::EndpointDeclaration;
use crate::effective::{EffectiveConfig, ServiceTarget};
use crate::endpoint::EndpointClient;
use crate::ids::{EndpointName, FenceNumber, HostName, Incarnation};
use crate::lease::{HeldLease, LEASE_KEY, LeaseAction, LeaseElector, LeaseEvent, LeaseOptions};
use crate::metrics::{MetricName, MetricRegistry};
use crate::order::{OrderAction, OrderOptions, OrderReconciler, engine_addresses, missing_from};
use crate::placement::{PlacementPlan, plan_placement};
use crate::platform::{PlatformStore, StoreError, StoredObject};

/// Key prefix of the platform's list of endpoints; each object holds a [`ListedState`].
pub const ENDPOINT_LIST_PREFIX: &str = "hosts/";
/// Key prefix of the drain marks; each object holds a [`DrainOrigin`].
pub const DRAIN_PREFIX: &str = "drain/";

/// Returns the configuration in force, or `None` before there is one.
pub type ConfigReader = Rc<dyn Fn() -> Option<Rc<EffectiveConfig>>>;

/// State of an endpoint in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
pub enum ListedState {
    /// The endpoint takes work.
    Live,
    /// The platform is about to remove the endpoint.
    Leaving,
}

/// Who set a drain mark, which keeps new work away from an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "by", rename_all = "kebab-case")]
pub enum DrainOrigin {
    /// The controller: it keeps the mark while the platform lists the endpoint as leaving.
    Controller,
    /// An operator; the controller never deletes the mark.
    Operator,
}

/// Timing of the controller.
#[derive(Clone, Debug)]
pub struct ControllerOptions {
    /// Timing of the lease.
    pub lease: LeaseOptions,
    /// Timing of orders.
    pub order: OrderOptions,
    /// Time between decisions on orders.
    pub tick: Duration,
    /// Time between reads of the platform's endpoint list and drain marks.
    pub list_every: Duration,
    /// Timeout of a platform call; a call that times out counts as ambiguous.
    pub call_timeout: Duration,
}

impl Default for ControllerOptions {
    fn default() -> Self {
        Self {
            lease: LeaseOptions::default(),
            order: OrderOptions::default(),
            tick: Duration::from_millis(250),
            list_every: Duration::from_secs(1),
            call_timeout: Duration::from_millis(500),
        }
    }
}

/// State of a controller, for its status page.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ControllerStatus {
    /// Fencing number of the lease, if this host holds it.
    pub fence: Option<FenceNumber>,
    /// Placement that the orders aim at.
    pub plan: PlacementPlan,
    /// Endpoints that are leaving.
    pub leaving: BTreeSet<EndpointName>,
}

/// The platform's endpoint list and the drain marks as last read.
#[derive(Default)]
struct LeavingSnapshot {
    listed: BTreeSet<EndpointName>,
    controller_drains: BTreeMap<EndpointName, StoredObject>,
    drains: BTreeSet<EndpointName>,
}

/// The controller of one host; only the lease holder's controller is active.
///
/// It must run on a current-thread runtime inside a `LocalSet`.
pub struct ControllerLoop {
    store: Rc<dyn PlatformStore>,
    client: Rc<dyn EndpointClient>,
    config: ConfigReader,
    options: ControllerOptions,
    metrics: Rc<MetricRegistry>,
    lease: RefCell<LeaseElector>,
    orders: RefCell<OrderReconciler>,
    snapshot: RefCell<Option<LeavingSnapshot>>,
    plan: RefCell<PlacementPlan>,
    fence: Cell<Option<FenceNumber>>,
    is_stopping: Cell<bool>,
    stop: Notify,
    orders_in_flight: Cell<usize>,
}

impl ControllerLoop {
    /// Creates the controller for one incarnation of a process.
    pub fn new(
        store: Rc<dyn PlatformStore>,
        client: Rc<dyn EndpointClient>,
        config: ConfigReader,
        holder: (HostName, Incarnation),
        options: ControllerOptions,
        metrics: Rc<MetricRegistry>,
    ) -> Rc<Self> {
        let lease = LeaseElector::new(holder.0, holder.1, options.lease.clone());
        let orders = OrderReconciler::new(options.order.clone());
        Rc::new(Self {
            store,
            client,
            config,
            options,
            metrics,
            lease: RefCell::new(lease),
            orders: RefCell::new(orders),
            snapshot: RefCell::default(),
            plan: RefCell::default(),
            fence: Cell::new(None),
            is_stopping: Cell::new(false),
            stop: Notify::new(),
            orders_in_flight: Cell::new(0),
        })
    }

    /// Runs until [`ControllerLoop::stop`], then releases the lease and returns.
    pub async fn run(self: Rc<Self>) {
        tokio::join!(self.clone().run_lease(), self.clone().run_orders(), self.run_drains());
    }

    /// Makes [`ControllerLoop::run`] finish the orders in flight, release the lease and return.
    pub fn stop(&self) {
        self.is_stopping.set(true);
        self.stop.notify_waiters();
    }

    /// Returns the fencing number of the lease if this host holds it now.
    pub fn fence(&self) -> Option<FenceNumber> {
        self.held().map(|held| held.fence)
    }

    /// Returns the state for the status page.
    pub fn status(&self) -> ControllerStatus {
        let snapshot = self.snapshot.borrow();
        ControllerStatus {
            fence: self.fence(),
            plan: self.plan.borrow().clone(),
            leaving: snapshot.as_ref().map(LeavingSnapshot::leaving_endpoints).unwrap_or_default(),
        }
    }

    fn held(&self) -> Option<HeldLease> {
        self.lease.borrow().held(Instant::now())
    }

    async fn run_lease(self: Rc<Self>) {
        let mut release_until = None;
        loop {
            let now = Instant::now();
            if self.is_stopping.get() && release_until.is_none() && self.orders_in_flight.get() == 0
            {
                self.lease.borrow_mut().release();
                release_until = Some(now + self.options.lease.ttl);
            }
            let is_release_overdue = release_until.is_some_and(|until| until <= now);
            if is_release_overdue || self.lease.borrow().is_released() {
                self.record_lease_change();
                return;
            }
            let action = self.lease.borrow_mut().advance(Instant::now());
            let event = match action {
                LeaseAction::Wait(until) => {
                    let until = until.min(Instant::now() + self.options.tick);
                    tokio::time::sleep_until(until).await;
                    self.record_lease_change();
                    continue;
                }
                LeaseAction::Read => LeaseEvent::Read(self.timed(self.store.get(LEASE_KEY)).await),
                LeaseAction::Write { expected, value } => {
                    let write = self.store.put(LEASE_KEY, expected, value);
                    LeaseEvent::Write(self.timed(write).await)
                }
            };
            self.lease.borrow_mut().observe(Instant::now(), event);
            self.record_lease_change();
        }
    }

    fn record_lease_change(&self) {
        let fence = self.fence();
        let before = self.fence.replace(fence);
        if before == fence {
            return;
        }
        // A snapshot read before this tenure may be stale.
        self.snapshot.replace(None);
        let change = if fence.is_some() { "taken" } else { "lost" };
        self.metrics.count(MetricName::LeaseChanges, &[change]);
        self.metrics.set(MetricName::LeaseHeld, &[], i64::from(fence.is_some()));
        log::info!("controller lease {change}: fence {fence:?}, previous fence {before:?}");
    }

    async fn run_orders(self: Rc<Self>) {
        while !self.is_stopping.get() {
            if let Some(lease) = self.held() {
                self.clone().give_orders(lease);
            }
            self.sleep_unless_stopped(self.options.tick).await;
        }
    }

    fn give_orders(self: Rc<Self>, lease: HeldLease) {
        let now = Instant::now();
        let Some(config) = (self.config)() else {
            return;
        };
        let engines = engine_addresses(model_endpoints(&config));
        self.orders.borrow_mut().set_engines(now, lease, &engines);
        self.plan_orders(now, &config);
        let actions = self.orders.borrow_mut().advance(now, lease);
        for action in actions {
            tokio::task::spawn_local(self.clone().perform(action));
        }
    }

    /// Updates the placement as soon as the snapshot has been read in this tenure and every engine
    /// has answered or counts as lost.
    fn plan_orders(&self, now: Instant, config: &EffectiveConfig) {
        let snapshot = self.snapshot.borrow();
        let mut orders = self.orders.borrow_mut();
        let (Some(snapshot), Some(mut engine_snapshot)) = (snapshot.as_ref(), orders.snapshot(now))
        else {
            return;
        };
        engine_snapshot.leaving = snapshot.leaving_endpoints();
        let plan = plan_placement(config, &engine_snapshot);
        orders.set_desired(plan.engines.clone());
        self.plan.replace(plan);
    }

    async fn perform(self: Rc<Self>, action: OrderAction) {
        match action {
            OrderAction::Poll { endpoint, address } => {
                let timeout = self.options.order.status_timeout;
                let result = self.client.status(&address, timeout).await;
                self.orders.borrow_mut().observe(Instant::now(), &endpoint, result);
            }
            OrderAction::Send { endpoint, address, order } => {
                if !self.orders.borrow().may_send(self.held(), order.fence) {
                    self.metrics.count(MetricName::Orders, &["lease_over"]);
                    let failure =
                        crate::endpoint::CallFailure::NotSent("lease no longer held".into());
                    self.orders.borrow_mut().observe_order(Instant::now(), &endpoint, Err(failure));
                    return;
                }
                self.orders_in_flight.set(self.orders_in_flight.get() + 1);
                let timeout = self.options.order.longest_order_time;
                let result = self.client.order(&address, order, timeout).await;
                self.orders_in_flight.set(self.orders_in_flight.get() - 1);
                let label = if result.is_ok() { "accepted" } else { "failed" };
                self.metrics.count(MetricName::Orders, &[label]);
                self.orders.borrow_mut().observe_order(Instant::now(), &endpoint, result);
            }
        }
    }

    async fn run_drains(self: Rc<Self>) {
        while !self.is_stopping.get() {
            if self.held().is_some() {
                // On failure the previous snapshot stays in use until the next read.
                let _ = self.reconcile_drains().await;
            }
            self.sleep_unless_stopped(self.options.list_every).await;
        }
    }

    async fn reconcile_drains(&self) -> Result<(), StoreError> {
        let listed = self.timed(self.store.list(ENDPOINT_LIST_PREFIX)).await?;
        let drains = self.timed(self.store.list(DRAIN_PREFIX)).await?;
        let snapshot = LeavingSnapshot::from_objects(listed.objects, drains.objects);
        let added = missing_from(&snapshot.listed, &snapshot.drains);
        let removed = snapshot.stale_drains();
        self.snapshot.replace(Some(snapshot));
        for name in added {
            let value = serde_json::to_vec(&DrainOrigin::Controller)
                .expect("a drain mark always serializes");
            let key = format!("{DRAIN_PREFIX}{name}");
            self.timed(self.store.put(&key, 0, value.into())).await?;
        }
        for object in removed {
            self.timed(self.store.delete(&object.key, object.version)).await?;
        }
        Ok(())
    }

    /// Limits a platform call to the timeout; a call that exceeds it counts as ambiguous.
    async fn timed<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        match tokio::time::timeout(self.options.call_timeout, call).await {
            Ok(result) => result,
            Err(_) => Err(StoreError::Ambiguous("no answer in time".into())),
        }
    }

    async fn sleep_unless_stopped(&self, time: Duration) {
        // A stop between the caller's check and this wait is noticed after one full sleep.
        let _ = tokio::time::timeout(time, self.stop.notified()).await;
    }
}

impl LeavingSnapshot {
    fn from_objects(listed: Vec<StoredObject>, drains: Vec<StoredObject>) -> Self {
        let mut snapshot = Self::default();
        for object in listed {
            let state = serde_json::from_slice(&object.value);
            if matches!(state, Ok(ListedState::Leaving)) {
                snapshot.listed.insert(object.key[ENDPOINT_LIST_PREFIX.len()..].into());
            }
        }
        for object in drains {
            let name: EndpointName = object.key[DRAIN_PREFIX.len()..].into();
            let origin = serde_json::from_slice(&object.value);
            snapshot.drains.insert(name.clone());
            if matches!(origin, Ok(DrainOrigin::Controller)) {
                snapshot.controller_drains.insert(name, object);
            }
        }
        snapshot
    }

    /// Endpoints that the platform lists as leaving or that an operator drains.
    fn leaving_endpoints(&self) -> BTreeSet<EndpointName> {
        let operators =
            self.drains.iter().filter(|name| !self.controller_drains.contains_key(*name));
        self.listed.iter().chain(operators).cloned().collect()
    }

    /// The controller's own drain marks of endpoints that the platform no longer lists as leaving.
    fn stale_drains(&self) -> Vec<StoredObject> {
        let stale = self.controller_drains.iter().filter(|(name, _)| !self.listed.contains(*name));
        stale.map(|(_, object)| object.clone()).collect()
    }
}

fn model_endpoints(config: &EffectiveConfig) -> impl Iterator<Item = &EndpointDeclaration> {
    config.services.values().flat_map(|service| match &service.target {
        ServiceTarget::Model(model) => model.endpoints.iter(),
        ServiceTarget::Plain(_) => [].iter(),
    })
}
