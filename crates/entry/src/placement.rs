//! Placement of models: one host at a time plans the layout and orders endpoints to hold layers.
//!
//! That host holds the placement lease (module `lease`). Two holders at the same time do no harm:
//! each order states how many orders the endpoint must have accepted before, so that one of two
//! concurrent orders fails.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use jacinthrock::{DomainName, EndpointName, MetricName, ServiceName};
use tokio::time::{Instant, sleep};

use crate::empty_endpoints::{StageRoom, short_domains};
use crate::endpoints::{EndpointEntry, EndpointTable, LayerSpan};
use crate::follow::endpoints_changed;
use crate::layout::{CardView, LayoutOrder, LayoutPlanner, ModelShape, StartRate};
use crate::loads::LoadMap;
use crate::orders::post_order;
use crate::relay::spread_time;
use crate::sending::fetch_report;
use crate::starts::{StartInputs, StartPlanner};
use crate::state::EntryState;

/// Interval between two planning rounds.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which the number of endpoints must be unchanged before the first orders, so that the
/// first layout covers all cards and not just those that registered first.
const SETTLE_TIME: Duration = Duration::from_millis(400);
/// Timeout of an order, and of the report that is read before it.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Time beyond the expected loading time after which an order without a visible effect expires.
const ORDER_SLACK: Duration = Duration::from_millis(2_500);
/// Time beyond the expected loading time after which an order that releases layers expires: streams
/// pass through them for three seconds at the usual load, and up to twice as long under overload.
const RELEASE_SLACK: Duration = Duration::from_secs(6);
/// Time after which an empty endpoint gets layers although no layer is missing. When an endpoint is
/// replaced, the new one starts about a second before the old one leaves.
const IDLE_AFTER: Duration = Duration::from_millis(1_300);
/// Interval between two status requests to an endpoint that is still loading.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(150);
/// Pause before the next order to an endpoint whose last one was refused, unanswered or not sent.
const REFUSED_PAUSE: Duration = Duration::from_millis(500);

/// An order to an endpoint that is not known to be complete.
struct PendingOrder {
    span: LayerSpan,
    /// When to ask the endpoint next whether it holds the layers.
    check_at: Instant,
    /// When to stop waiting for the order to take effect.
    expires_at: Instant,
    /// Whether the endpoint table may show the span before the endpoint has completed the order.
    is_announced: bool,
}

impl PendingOrder {
    /// An entry that keeps the endpoint from getting orders or status requests until a time.
    fn paused(span: LayerSpan, expires_at: Instant) -> Self {
        Self { span, check_at: expires_at, expires_at, is_announced: true }
    }
}

/// Orders whose effect the registry does not show yet, and endpoints without layers.
#[derive(Default)]
struct OrderTracker {
    pending: BTreeMap<EndpointName, PendingOrder>,
    /// When each endpoint last had layers or a pending order.
    held_at: BTreeMap<EndpointName, Instant>,
    /// Empty endpoints that get layers before `IDLE_AFTER`, since their domain is short of room.
    hastened: BTreeSet<EndpointName>,
}

/// Plans the layout of every service in rounds and sends the resulting orders.
pub(crate) async fn run_planner(state: Rc<EntryState>) {
    let tracker = Rc::new(RefCell::new(OrderTracker::default()));
    let mut gauge = StarterGauge { state: state.clone(), domains: BTreeSet::new() };
    let mut planners: BTreeMap<ServiceName, (StartPlanner, LayoutPlanner)> = BTreeMap::new();
    let (mut count, mut since) = (0, Instant::now());
    loop {
        sleep(PLAN_INTERVAL).await;
        let known = state.endpoints.borrow().entries().count();
        if known != count {
            (count, since) = (known, Instant::now());
        }
        confirm_loaded(&state, &tracker);
        let Some(rules) = state.rules() else { continue };
        let loads = recent_loads(&state);
        for (service, rule) in &rules.rules().services {
            let Some(engine) = &rule.engine else { continue };
            let cards = card_views(&state, service, loads.as_ref(), &mut tracker.borrow_mut());
            let is_fresh = cards.iter().all(|card| card.held.is_none());
            if is_fresh && since.elapsed() < SETTLE_TIME {
                continue;
            }
            let shape = ModelShape { layers: engine.layers, layer_mb: engine.layer_mb };
            let (starts, planner) = planners.entry(service.clone()).or_default();
            let inputs = StartInputs {
                shape,
                stream_mb: f64::from(engine.mean_tokens()) * engine.token_layer_mb,
                cards: &cards,
                has_loads: loads.is_some(),
                is_first_start: state.options.is_first_start,
            };
            update_starts(&mut gauge, service, starts, inputs);
            planner.set_wanted(starts.wanted());
            let orders = planner.orders(shape, &cards);
            let by_name: BTreeMap<_, _> = cards.iter().map(|card| (&card.name, card)).collect();
            for order in orders {
                if tracker.borrow().hastened.contains(&order.name) {
                    log::info!(
                        event = "idle_wait_skipped", endpoint = &*order.name;
                        "layers are short of room; an empty endpoint gets layers without a wait"
                    );
                }
                let held = by_name.get(&order.name).and_then(|card| card.held);
                let kept = held.filter(|held| held.overlaps(order.span));
                let new = order.span.count().saturating_sub(kept.map_or(0, LayerSpan::count));
                let load =
                    engine.load_time.mul_f64(f64::from(new) / f64::from(engine.layers.max(1)));
                tokio::task::spawn_local(send_order(state.clone(), tracker.clone(), order, load));
            }
        }
        clear_stale_orders(&state, &tracker.borrow());
    }
}

/// Loads of all hosts on each endpoint; none if this host has not heard the others lately.
fn recent_loads(state: &EntryState) -> Option<LoadMap> {
    let now = Instant::now();
    let mut loads = state.relay_loads.borrow_mut();
    let is_alone = state.peers.borrow().is_empty();
    let has_heard = state.peer_loads.borrow().is_fresh(now) && loads.has_members(now);
    (is_alone || has_heard).then(|| loads.group_total(&state.own_load(), now).loads)
}

/// Metric of the starters that domains should have. It returns to zero when this host stops
/// planning, so that the metrics of all hosts do not add up to more than the holder wants.
struct StarterGauge {
    state: Rc<EntryState>,
    domains: BTreeSet<(ServiceName, DomainName)>,
}

impl StarterGauge {
    fn set(&mut self, service: &ServiceName, domain: &DomainName, wanted: usize) {
        self.domains.insert((service.clone(), domain.clone()));
        self.state.metrics.set(MetricName::StartersWanted, &[service, domain], wanted as i64);
    }
}

impl Drop for StarterGauge {
    fn drop(&mut self) {
        for (service, domain) in &self.domains {
            self.state.metrics.set(MetricName::StartersWanted, &[service, domain], 0);
        }
    }
}

/// Updates the number of starters that each domain of a service should have, and logs its changes.
fn update_starts(
    gauge: &mut StarterGauge,
    service: &ServiceName,
    starts: &mut StartPlanner,
    inputs: StartInputs<'_>,
) {
    for change in starts.update(inputs, Instant::now()) {
        gauge.set(service, &change.domain, change.wanted);
        log::info!(
            event = "starters_wanted", service = &**service, domain = &*change.domain, wanted = change.wanted,
            starts_in_use = change.in_use, start_capacity = change.start_capacity,
            memory_capacity = change.memory_capacity; "number of starters of a domain changes"
        );
    }
}

/// Asks endpoints whose loading should be complete which layers they hold. The registry learns of
/// them only with the endpoint's next heartbeat, a second later.
fn confirm_loaded(state: &Rc<EntryState>, tracker: &Rc<RefCell<OrderTracker>>) {
    let now = Instant::now();
    let done = tracker.clone();
    let mut tracker = tracker.borrow_mut();
    for (name, order) in tracker.pending.iter_mut().filter(|(_, order)| now >= order.check_at) {
        order.check_at = now + CONFIRM_INTERVAL;
        let (state, name, span) = (state.clone(), name.clone(), order.span);
        let done = done.clone();
        tokio::task::spawn_local(async move {
            let Some(entry) = state.endpoint(&name) else { return };
            let report = fetch_report(&state, &entry, ORDER_TIMEOUT).await;
            let Ok(Some(report)) = report else { return };
            let layers = report.layers;
            if report.is_busy {
                // Streams may pass through the layers that it releases for longer than usual.
                if let Some(order) = done.borrow_mut().pending.get_mut(&name) {
                    order.expires_at = order.expires_at.max(Instant::now() + REFUSED_PAUSE);
                }
                return;
            }
            if layers != Some(span) {
                return;
            }
            if let Some(order) = done.borrow_mut().pending.get_mut(&name) {
                order.is_announced = false;
            }
            if entry.layers != layers || entry.under_way.is_some() {
                state.endpoints.borrow_mut().confirm_layers(&name, span);
                endpoints_changed(&state);
            }
        });
    }
}

/// Clears orders under way in the endpoint table that are not pending on this host.
fn clear_stale_orders(state: &EntryState, tracker: &OrderTracker) {
    let mut endpoints = state.endpoints.borrow_mut();
    let stale: Vec<EndpointName> = endpoints
        .entries()
        .filter(|entry| entry.under_way.is_some() && !tracker.pending.contains_key(&entry.name))
        .map(|entry| entry.name.clone())
        .collect();
    stale.iter().for_each(|name| endpoints.clear_order(name));
}

/// Views of a service's usable cards for the planner; drops pending orders that are complete,
/// expired or addressed to an endpoint that is draining or lost.
fn card_views(
    state: &EntryState,
    service: &str,
    loads: Option<&LoadMap>,
    tracker: &mut OrderTracker,
) -> Vec<CardView> {
    let now = Instant::now();
    let endpoints = state.endpoints.borrow();
    let rules = state.rules();
    let engine = rules.as_ref().and_then(|rules| rules.engine(service));
    let token_layer_mb = engine.map_or(0.0, |engine| engine.token_layer_mb);
    let mut views = Vec::new();
    tracker.held_at.retain(|name, _| endpoints.get(name).is_some());
    let short = short_domains_of(state, &endpoints, service, now);
    let mut empty = state.empty_endpoints.borrow_mut();
    tracker.hastened.clear();
    empty.update(endpoints.entries(), now);
    for entry in endpoints.entries().filter(|entry| &*entry.service == service) {
        if !state.accepts_work(entry, now) {
            tracker.pending.remove(&entry.name);
            continue;
        }
        let card = entry.card.as_deref().zip(engine).and_then(|(kind, e)| e.cards.get(kind));
        let Some(card) = card else { continue };
        let pending = tracker.pending.get(&entry.name);
        let is_done = pending.is_some_and(|order| {
            let is_shown = entry.layers == Some(order.span) && !order.is_announced;
            is_shown || now >= order.expires_at
        });
        if is_done {
            tracker.pending.remove(&entry.name);
        }
        let pending = tracker.pending.get(&entry.name);
        let held = pending.map(|order| order.span).or(entry.layers).filter(|s| s.count() > 0);
        if held.is_some() {
            tracker.held_at.insert(entry.name.clone(), now);
        }
        let since = empty.since(&entry.name).max(tracker.held_at.get(&entry.name).copied());
        let waited =
            since.filter(|_| held.is_none()).map(|since| now.saturating_duration_since(since));
        let has_waited = waited.is_some_and(|waited| waited >= IDLE_AFTER);
        let is_hastened = waited.is_some() && !has_waited && short.contains(&entry.domain);
        if is_hastened {
            tracker.hastened.insert(entry.name.clone());
        }
        views.push(CardView {
            name: entry.name.clone(),
            domain: entry.domain.clone(),
            memory_mb: card.memory_mb,
            step_factor: card.step_factor,
            held,
            loaded: entry.layers.filter(|span| span.count() > 0),
            is_idle: has_waited || is_hastened,
            used_mb: state.total_load(&entry.name).token_layers as f64 * token_layer_mb,
            is_free: pending.is_none(),
            start_rate: start_rate(state, entry, now),
            slots: entry.slots,
            starts: loads.and_then(|loads| loads.get(&entry.name)).map_or(0, |load| load.starts),
        });
    }
    views
}

/// Domains of a service with several priorities in which a layer is short of room, by the latest
/// total. What this host has added since is left out, since other hosts are assumed to have added as
/// much, which overstates the load of many hosts.
fn short_domains_of(
    state: &EntryState,
    endpoints: &EndpointTable,
    service: &str,
    now: Instant,
) -> BTreeSet<DomainName> {
    let Some(rules) = state.rules().filter(|rules| rules.has_priorities(service)) else {
        return BTreeSet::new();
    };
    let Some(engine) = rules.engine(service) else { return BTreeSet::new() };
    let loads = state.peer_loads.borrow();
    let entries = endpoints.entries();
    let entries =
        entries.filter(|entry| &*entry.service == service && state.accepts_work(entry, now));
    let stages = entries.filter_map(|entry| {
        let span = entry.layers.filter(|span| span.count() > 0)?;
        let card = engine.cards.get(entry.card.as_deref()?)?;
        Some(StageRoom {
            domain: &entry.domain,
            span,
            token_layers: loads.total_load(&entry.name, now)?.token_layers,
            kv_capacity: engine.kv_capacity(card, entry.weight_layers()),
        })
    });
    short_domains(engine.layers, &stages.collect::<Vec<_>>())
}

/// Requests that may start at an endpoint.
fn start_rate(state: &EntryState, entry: &EndpointEntry, now: Instant) -> StartRate {
    if state.rates.borrow().limit_per_s(entry.start()).is_none() {
        return StartRate::Unlimited;
    }
    let is_exceeded = state.permits.borrow().is_exceeded(entry.start(), now);
    if is_exceeded { StartRate::Exceeded } else { StartRate::Sufficient }
}

/// Sends an order to an endpoint and records it as pending; `load` is the expected loading time.
async fn send_order(
    state: Rc<EntryState>,
    tracker: Rc<RefCell<OrderTracker>>,
    order: LayoutOrder,
    load: Duration,
) {
    let Some(entry) = state.endpoint(&order.name) else { return };
    let era = state.registry_era();
    let expires_at = Instant::now() + ORDER_TIMEOUT * 3 + spread_time(state.host_count()) * 2;
    let pending = PendingOrder::paused(order.span, expires_at);
    tracker.borrow_mut().pending.insert(order.name.clone(), pending);
    // The registry's count of accepted orders may be stale; the order needs the endpoint's own.
    let report = match fetch_report(&state, &entry, ORDER_TIMEOUT).await {
        Ok(Some(report)) => report,
        Ok(None) => return,
        Err(error) => {
            log::info!(
                event = "order_unsent", endpoint = &*order.name, error:% = error;
                "could not read the endpoint's report"
            );
            return;
        }
    };
    let held = report.layers.filter(|span| span.count() > 0);
    let is_stale = report.is_busy || held != entry.layers.filter(|span| span.count() > 0);
    if is_stale && held != Some(order.span) {
        log::info!(
            event = "order_unsent", endpoint = &*order.name, held:? = held, busy = report.is_busy;
            "endpoint is busy or its layers differ from the registry; order not sent"
        );
        let expires_at = Instant::now() + REFUSED_PAUSE;
        let pending = PendingOrder::paused(held.unwrap_or(order.span), expires_at);
        tracker.borrow_mut().pending.insert(order.name.clone(), pending);
        return;
    }
    let is_moving = held.is_some_and(|held| !held.overlaps(order.span));
    let is_releasing = is_moving || held.is_some_and(|held| held.count() > order.span.count());
    if is_releasing {
        // Before the endpoint releases the layers, all hosts must learn not to use them there.
        let kept = if is_moving { LayerSpan::default() } else { order.span };
        state.endpoints.borrow_mut().mark_releasing(&order.name, kept);
        endpoints_changed(&state);
        sleep(spread_time(state.host_count()) * 2).await;
    }
    if !state.is_holder() || state.registry_era() != era {
        log::info!(
            event = "order_unsent", endpoint = &*order.name, era;
            "this host no longer holds the placement lease; order not sent"
        );
        return;
    }
    let body = state.codec.placement_order(order.span, report.orders);
    let status = match post_order(&state, &entry, body, ORDER_TIMEOUT).await {
        Ok(reply) => Some(reply.status),
        Err(error) => {
            log::info!(
                event = "order_unanswered", endpoint = &*order.name, error:% = error;
                "endpoint did not answer the order"
            );
            None
        }
    };
    let slack = if is_releasing { RELEASE_SLACK } else { ORDER_SLACK };
    let (label, expires_at) = match status {
        Some(StatusCode::ACCEPTED) => ("accepted", Instant::now() + load * 2 + slack),
        Some(StatusCode::OK) => ("done", Instant::now() + ORDER_SLACK),
        Some(_) => ("refused", Instant::now() + REFUSED_PAUSE),
        // The endpoint may still carry it out; another order would then fail on the order count.
        None => ("unanswered", Instant::now() + REFUSED_PAUSE),
    };
    if status.is_some_and(|status| status.is_success()) && !is_releasing {
        state.endpoints.borrow_mut().mark_loading(&order.name, order.span);
        endpoints_changed(&state);
    }
    state.metrics.count(MetricName::Orders, &[label]);
    log::info!(
        event = "order", endpoint = &*order.name, from = order.span.from, to = order.span.to,
        after = report.orders, status = status.map_or(0, |status| status.as_u16()),
        load_ms = load.as_millis() as u64; "sent an order to hold layers"
    );
    let pending = PendingOrder {
        span: order.span,
        check_at: Instant::now() + load,
        expires_at,
        is_announced: is_releasing,
    };
    tracker.borrow_mut().pending.insert(order.name.clone(), pending);
}
