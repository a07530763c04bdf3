//! The controller: holds the lease, places models, gives orders, and marks leaving endpoints.

use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::counters::{CounterRegistry, MetricName};
use crate::declaration::EndpointDeclaration;
use crate::effective::{EffectiveConfig, ServiceTarget};
use crate::endpoint::EndpointCaller;
use crate::ids::{EndpointName, FenceNumber, HostName, Incarnation};
use crate::lease::{HeldLease, LEASE_KEY, LeaseAction, LeaseElector, LeaseEvent, LeaseOptions};
use crate::order::{OrderAction, OrderOptions, OrderReconciler, engine_addresses, missing_from};
use crate::placement::{PlacementPlan, plan_placement};
use crate::platform::{PlatformStore, StoreError, StoredObject};

/// Prefix of the platform's list of endpoints, with a [`ListedState`] each.
pub const ENDPOINT_LIST_PREFIX: &str = "hosts/";
/// Prefix of drain marks, with a [`DrainOrigin`] each.
pub const DRAIN_PREFIX: &str = "drain/";

/// Gives the configuration in force, once there is one.
pub type ConfigReader = Rc<dyn Fn() -> Option<Rc<EffectiveConfig>>>;

/// What the platform's list says about an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
pub enum ListedState {
    /// It takes work.
    Live,
    /// It will be taken away.
    Leaving,
}

/// A mark that an endpoint gets no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "by", rename_all = "kebab-case")]
pub enum DrainOrigin {
    /// The controller set it after the platform's list, and takes it back after the list.
    Controller,
    /// An operator set it.
    Operator,
}

/// Times of the controller.
#[derive(Clone, Debug)]
pub struct ControllerOptions {
    /// Times of the lease.
    pub lease: LeaseOptions,
    /// Times of orders.
    pub order: OrderOptions,
    /// Time between decisions on orders.
    pub tick: Duration,
    /// Time between reads of the platform's list of endpoints.
    pub list_every: Duration,
    /// Time without an answer after which a platform call counts as ambiguous.
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

/// State of a controller, for status pages.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ControllerStatus {
    /// Fence of the lease, if this host holds it.
    pub fence: Option<FenceNumber>,
    /// Placement under which orders are given.
    pub plan: PlacementPlan,
    /// Endpoints that are leaving.
    pub leaving: BTreeSet<EndpointName>,
}

#[derive(Default)]
struct EndpointMarks {
    leaving: BTreeSet<EndpointName>,
    own_drains: BTreeMap<EndpointName, StoredObject>,
    drains: BTreeSet<EndpointName>,
}

/// The controller of one host; all but the lease's holder are idle.
///
/// Lives on a current-thread runtime inside a `LocalSet`.
pub struct ControllerLoop {
    store: Rc<dyn PlatformStore>,
    caller: Rc<dyn EndpointCaller>,
    config: ConfigReader,
    options: ControllerOptions,
    counters: Rc<CounterRegistry>,
    lease: RefCell<LeaseElector>,
    orders: RefCell<OrderReconciler>,
    marks: RefCell<Option<EndpointMarks>>,
    plan: RefCell<PlacementPlan>,
    fence: Cell<Option<FenceNumber>>,
    stopping: Cell<bool>,
    stop: Notify,
    orders_in_flight: Cell<usize>,
}

impl ControllerLoop {
    /// Makes the controller of one run of a process.
    pub fn new(
        store: Rc<dyn PlatformStore>,
        caller: Rc<dyn EndpointCaller>,
        config: ConfigReader,
        holder: (HostName, Incarnation),
        options: ControllerOptions,
        counters: Rc<CounterRegistry>,
    ) -> Rc<Self> {
        let lease = LeaseElector::new(holder.0, holder.1, options.lease.clone());
        let orders = OrderReconciler::new(options.order.clone());
        Rc::new(Self {
            store,
            caller,
            config,
            options,
            counters,
            lease: RefCell::new(lease),
            orders: RefCell::new(orders),
            marks: RefCell::default(),
            plan: RefCell::default(),
            fence: Cell::new(None),
            stopping: Cell::new(false),
            stop: Notify::new(),
            orders_in_flight: Cell::new(0),
        })
    }

    /// Runs until [`ControllerLoop::stop`], then gives the lease up and returns.
    pub async fn run(self: Rc<Self>) {
        tokio::join!(self.clone().run_lease(), self.clone().run_orders(), self.run_marks());
    }

    /// Makes [`ControllerLoop::run`] finish the orders in flight, release the lease and return.
    pub fn stop(&self) {
        self.stopping.set(true);
        self.stop.notify_waiters();
    }

    /// Fence of the lease, if this host holds it now.
    pub fn fence(&self) -> Option<FenceNumber> {
        self.held().map(|held| held.fence)
    }

    /// State of the controller.
    pub fn status(&self) -> ControllerStatus {
        let marks = self.marks.borrow();
        ControllerStatus {
            fence: self.fence(),
            plan: self.plan.borrow().clone(),
            leaving: marks.as_ref().map(EndpointMarks::all).unwrap_or_default(),
        }
    }

    fn held(&self) -> Option<HeldLease> {
        self.lease.borrow().held(Instant::now())
    }

    async fn run_lease(self: Rc<Self>) {
        let mut release_until = None;
        loop {
            let now = Instant::now();
            if self.stopping.get() && release_until.is_none() && self.orders_in_flight.get() == 0 {
                self.lease.borrow_mut().release();
                release_until = Some(now + self.options.lease.ttl);
            }
            let lapsed = release_until.is_some_and(|until| until <= now);
            if lapsed || self.lease.borrow().is_released() {
                self.note_lease();
                return;
            }
            let action = self.lease.borrow_mut().advance(Instant::now());
            let event = match action {
                LeaseAction::Wait(until) => {
                    let until = until.min(Instant::now() + self.options.tick);
                    tokio::time::sleep_until(until).await;
                    self.note_lease();
                    continue;
                }
                LeaseAction::Read => LeaseEvent::Read(self.timed(self.store.get(LEASE_KEY)).await),
                LeaseAction::Write { expected, value } => {
                    let write = self.store.put(LEASE_KEY, expected, value);
                    LeaseEvent::Write(self.timed(write).await)
                }
            };
            self.lease.borrow_mut().observe(Instant::now(), event);
            self.note_lease();
        }
    }

    fn note_lease(&self) {
        let fence = self.fence();
        let before = self.fence.replace(fence);
        if before == fence {
            return;
        }
        // Marks read before the tenure may be out of date.
        self.marks.replace(None);
        let change = if fence.is_some() { "taken" } else { "lost" };
        self.counters.count(MetricName::LeaseChanges, &[change]);
        self.counters.set(MetricName::LeaseHeld, &[], i64::from(fence.is_some()));
        log::info!("controller's lease {change}: fence {fence:?}, before {before:?}");
    }

    async fn run_orders(self: Rc<Self>) {
        while !self.stopping.get() {
            if let Some(lease) = self.held() {
                self.clone().give_orders(lease);
            }
            self.pause(self.options.tick).await;
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

    /// Places models once the marks and every engine's state are known in this tenure.
    fn plan_orders(&self, now: Instant, config: &EffectiveConfig) {
        let marks = self.marks.borrow();
        let mut orders = self.orders.borrow_mut();
        let (Some(marks), Some(mut snapshot)) = (marks.as_ref(), orders.snapshot(now)) else {
            return;
        };
        snapshot.leaving = marks.all();
        let plan = plan_placement(config, &snapshot);
        orders.set_desired(plan.engines.clone());
        self.plan.replace(plan);
    }

    async fn perform(self: Rc<Self>, action: OrderAction) {
        match action {
            OrderAction::Poll { endpoint, address } => {
                let timeout = self.options.order.status_timeout;
                let result = self.caller.status(&address, timeout).await;
                self.orders.borrow_mut().observe(Instant::now(), &endpoint, result);
            }
            OrderAction::Send { endpoint, address, order } => {
                if !self.orders.borrow().may_send(self.held(), order.fence) {
                    self.counters.count(MetricName::Orders, &["lease_over"]);
                    let failure = crate::endpoint::CallFailure::NotSent("lease is over".into());
                    self.orders.borrow_mut().observe_order(Instant::now(), &endpoint, Err(failure));
                    return;
                }
                self.orders_in_flight.set(self.orders_in_flight.get() + 1);
                let timeout = self.options.order.longest_order_time;
                let result = self.caller.order(&address, order, timeout).await;
                self.orders_in_flight.set(self.orders_in_flight.get() - 1);
                let label = if result.is_ok() { "accepted" } else { "failed" };
                self.counters.count(MetricName::Orders, &[label]);
                self.orders.borrow_mut().observe_order(Instant::now(), &endpoint, result);
            }
        }
    }

    async fn run_marks(self: Rc<Self>) {
        while !self.stopping.get() {
            if self.held().is_some() {
                // After a failure the marks of the last read go on to count.
                let _ = self.read_marks().await;
            }
            self.pause(self.options.list_every).await;
        }
    }

    async fn read_marks(&self) -> Result<(), StoreError> {
        let hosts = self.timed(self.store.list(ENDPOINT_LIST_PREFIX)).await?;
        let drains = self.timed(self.store.list(DRAIN_PREFIX)).await?;
        let marks = EndpointMarks::read(hosts.objects, drains.objects);
        let added = missing_from(&marks.leaving, &marks.drains);
        let removed = marks.removable();
        self.marks.replace(Some(marks));
        for name in added {
            let value = serde_json::to_vec(&DrainOrigin::Controller).expect("a mark is plain");
            let key = format!("{DRAIN_PREFIX}{name}");
            self.timed(self.store.put(&key, 0, value.into())).await?;
        }
        for object in removed {
            self.timed(self.store.delete(&object.key, object.version)).await?;
        }
        Ok(())
    }

    async fn timed<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        match tokio::time::timeout(self.options.call_timeout, call).await {
            Ok(result) => result,
            Err(_) => Err(StoreError::Ambiguous("no answer in time".into())),
        }
    }

    async fn pause(&self, time: Duration) {
        // A stop that comes between the check and this wait is seen after one pause.
        let _ = tokio::time::timeout(time, self.stop.notified()).await;
    }
}

impl EndpointMarks {
    fn read(hosts: Vec<StoredObject>, drains: Vec<StoredObject>) -> Self {
        let mut marks = Self::default();
        for object in hosts {
            let mark = serde_json::from_slice(&object.value);
            if matches!(mark, Ok(ListedState::Leaving)) {
                marks.leaving.insert(object.key[ENDPOINT_LIST_PREFIX.len()..].into());
            }
        }
        for object in drains {
            let name: EndpointName = object.key[DRAIN_PREFIX.len()..].into();
            let mark = serde_json::from_slice(&object.value);
            marks.drains.insert(name.clone());
            if matches!(mark, Ok(DrainOrigin::Controller)) {
                marks.own_drains.insert(name, object);
            }
        }
        marks
    }

    /// Endpoints that the list or a mark of an operator takes out of use.
    fn all(&self) -> BTreeSet<EndpointName> {
        let operators = self.drains.iter().filter(|name| !self.own_drains.contains_key(*name));
        self.leaving.iter().chain(operators).cloned().collect()
    }

    /// The controller's own marks of endpoints that the list no longer has as leaving.
    fn removable(&self) -> Vec<StoredObject> {
        let stale = self.own_drains.iter().filter(|(name, _)| !self.leaving.contains(*name));
        stale.map(|(_, object)| object.clone()).collect()
    }
}

fn model_endpoints(config: &EffectiveConfig) -> impl Iterator<Item = &EndpointDeclaration> {
    config.services.values().flat_map(|service| match &service.target {
        ServiceTarget::Model(model) => model.endpoints.iter(),
        ServiceTarget::Plain(_) => [].iter(),
    })
}
