//! Orders to engines: absolute, under the fence of the lease, repeated until they took effect.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

use crate::endpoint::{CallFailure, EngineOrder, EngineStatus};
use crate::ids::{EndpointName, FenceNumber, ServiceName};
use crate::lease::HeldLease;
use crate::placement::{DesiredEngine, EngineSnapshot, LayerRange};

/// Time for which an engine is not read while reading back is switched off.
const UNREAD_TIME: Duration = Duration::from_secs(24 * 60 * 60);

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
    pub poll_every: Duration,
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
            poll_every: Duration::from_secs(1),
            lost_after: Duration::from_secs(3),
            status_timeout: Duration::from_secs(1),
            disabled: None,
        }
    }
}

impl OrderOptions {
    fn guards(&self, guard: OrderGuard) -> bool {
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

struct EngineTrack {
    address: Box<str>,
    status: Option<EngineStatus>,
    heard: Option<Instant>,
    followed_since: Instant,
    poll_at: Instant,
    busy: bool,
    /// An order was given whose effect was not read back yet.
    unread: bool,
    /// Order to change that the engine was given and does not fit yet.
    moving: Option<EngineOrder>,
}

/// The state machine of orders in one tenure of the lease.
pub struct OrderReconciler {
    options: OrderOptions,
    fence: FenceNumber,
    tracks: BTreeMap<EndpointName, EngineTrack>,
    desired: BTreeMap<EndpointName, DesiredEngine>,
}

impl OrderReconciler {
    /// A keeper that follows no engine yet.
    pub fn new(options: OrderOptions) -> Self {
        Self { options, fence: 0, tracks: BTreeMap::new(), desired: BTreeMap::new() }
    }

    /// Follows these engines under the lease, and forgets all others.
    pub fn set_engines(
        &mut self,
        now: Instant,
        lease: HeldLease,
        engines: &BTreeMap<EndpointName, Box<str>>,
    ) {
        if lease.fence != self.fence {
            self.begin(now, lease.fence);
        }
        self.tracks.retain(|name, track| engines.get(name) == Some(&track.address));
        for (name, address) in engines {
            self.tracks.entry(name.clone()).or_insert_with(|| EngineTrack {
                address: address.clone(),
                status: None,
                heard: None,
                followed_since: now,
                poll_at: now,
                busy: false,
                unread: false,
                moving: None,
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
        for (name, track) in &self.tracks {
            let quiet = now.duration_since(track.heard.unwrap_or(track.followed_since));
            if quiet >= self.options.lost_after {
                snapshot.lost.insert(name.clone());
                continue;
            }
            let status = track.status.clone()?;
            let status = match &track.moving {
                Some(order) => obeyed(order, status),
                None => status,
            };
            snapshot.statuses.insert(name.clone(), status);
        }
        Some(snapshot)
    }

    /// Decides which states to read and which orders to give under the lease.
    pub fn advance(&mut self, now: Instant, lease: HeldLease) -> Vec<OrderAction> {
        let mut moving = self.moving();
        let mut actions = Vec::new();
        let names: Vec<EndpointName> = self.tracks.keys().cloned().collect();
        for name in names {
            let order = self.wanted_order(now, lease, &name, &mut moving);
            let track = self.tracks.get_mut(&name).expect("the name was just listed");
            if track.busy {
                continue;
            }
            let address = track.address.clone();
            if let Some((order, moves)) = order {
                (track.busy, track.unread) = (true, true);
                track.moving = moves.then(|| order.clone());
                actions.push(OrderAction::Send { endpoint: name, address, order });
            } else if track.poll_at <= now {
                track.busy = true;
                actions.push(OrderAction::Poll { endpoint: name, address });
            }
        }
        actions
    }

    /// Whether an order with this fence may be sent now; ask right before sending.
    pub fn may_send(&self, lease: Option<HeldLease>, fence: FenceNumber) -> bool {
        if !self.options.guards(OrderGuard::CheckBeforeSend) {
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
        let Some(track) = self.tracks.get_mut(endpoint) else {
            return;
        };
        track.busy = false;
        track.poll_at = now + self.options.poll_every;
        let Ok(status) = result else {
            return;
        };
        track.heard = Some(now);
        track.unread = false;
        let obeys = |order: &EngineOrder| obeyed(order, status.clone()) == status;
        track.moving = track.moving.take().filter(|order| !obeys(order));
        track.status = Some(status);
    }

    /// Learns that an order ended; its effect counts only once it is read back.
    pub fn observe_order(
        &mut self,
        now: Instant,
        endpoint: &str,
        result: Result<EngineStatus, CallFailure>,
    ) {
        if !self.options.guards(OrderGuard::ReadBack) {
            return self.take_for_done(now, endpoint);
        }
        let Some(track) = self.tracks.get_mut(endpoint) else {
            return;
        };
        track.busy = false;
        track.poll_at = now;
        if result.is_ok() {
            track.heard = Some(now);
        }
    }

    fn begin(&mut self, now: Instant, fence: FenceNumber) {
        self.fence = fence;
        for track in self.tracks.values_mut() {
            // What was read in an earlier tenure may have been changed since.
            track.status = None;
            track.heard = None;
            track.followed_since = now;
            track.poll_at = now;
            track.moving = None;
        }
        self.desired.clear();
    }

    /// Engines of each group that were ordered to change and have not done so yet.
    fn moving(&self) -> BTreeMap<(ServiceName, LayerRange), usize> {
        let mut moving = BTreeMap::new();
        for (name, engine) in &self.desired {
            let moves = self.tracks.get(name).is_some_and(|track| track.moving.is_some());
            let count = moving.entry((engine.service.clone(), engine.range)).or_insert(0);
            *count += usize::from(moves);
        }
        moving
    }

    fn wanted_order(
        &self,
        now: Instant,
        lease: HeldLease,
        name: &str,
        moving: &mut BTreeMap<(ServiceName, LayerRange), usize>,
    ) -> Option<(EngineOrder, bool)> {
        let engine = self.desired.get(name)?;
        let track = self.tracks.get(name)?;
        let status = track.status.as_ref().filter(|_| !track.busy && !track.unread)?;
        let fits = fits(engine, status);
        if fits && !self.must_raise_fence(engine, status) {
            return None;
        }
        if !engine.endpoint.checks_fence && self.must_wait(now, lease) {
            return None;
        }
        if !fits && track.moving.is_none() && !self.takes_turn(engine, status, moving) {
            return None;
        }
        Some((order_for(engine, self.fence), !fits))
    }

    fn must_raise_fence(&self, engine: &DesiredEngine, status: &EngineStatus) -> bool {
        let raises = self.options.guards(OrderGuard::RaiseFence);
        raises && engine.endpoint.checks_fence && status.fence < self.fence
    }

    /// Whether an order of the holder before may still take effect.
    fn must_wait(&self, now: Instant, lease: HeldLease) -> bool {
        let waits = self.options.guards(OrderGuard::WaitOutOrders);
        waits && now < lease.since + self.options.longest_order_time
    }

    /// Lets at most half of a stage's engines, and at least one, change their load at once.
    fn takes_turn(
        &self,
        engine: &DesiredEngine,
        status: &EngineStatus,
        moving: &mut BTreeMap<(ServiceName, LayerRange), usize>,
    ) -> bool {
        if engine.leaving || status.leaving {
            return true;
        }
        let group = (engine.service.clone(), engine.range);
        let same_group =
            |other: &&DesiredEngine| other.service == engine.service && other.range == engine.range;
        let size = self.desired.values().filter(same_group).count();
        let count = moving.entry(group).or_insert(0);
        if *count >= (size / 2).max(1) {
            return false;
        }
        *count += 1;
        true
    }

    /// Takes an order for done and never reads the engine's state again; only for tests.
    fn take_for_done(&mut self, now: Instant, endpoint: &str) {
        let (Some(engine), Some(track)) =
            (self.desired.get(endpoint), self.tracks.get_mut(endpoint))
        else {
            return;
        };
        let order = order_for(engine, self.fence);
        let later = now + UNREAD_TIME;
        (track.busy, track.unread, track.moving) = (false, false, None);
        (track.poll_at, track.heard) = (later, Some(later));
        track.status = track.status.take().map(|status| obeyed(&order, status));
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

fn fits(engine: &DesiredEngine, status: &EngineStatus) -> bool {
    status.model == engine.model
        && status.version == engine.version
        && status.first_layer == engine.range.first
        && status.last_layer == engine.range.last
        && status.leaving == engine.leaving
}

/// The state that an engine has once it obeyed an order.
fn obeyed(order: &EngineOrder, status: EngineStatus) -> EngineStatus {
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
