//! The duty of placing models: one host holds it and orders endpoints to hold layers.
//!
//! The holder renews a note in the registry. Two holders at once do no harm: each order names the
//! number of orders that the endpoint must have accepted before, so that of two orders one fails.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use jacinthrock::{EndpointName, MetricName, ServiceName};
use rand::seq::IteratorRandom;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::dialect::{NoteGroup, RegistryError, RegistryNote};
use crate::endpoints::{LayerSpan, RegistryVersion};
use crate::follow::endpoints_changed;
use crate::layout::{CardView, LayoutOrder, LayoutPlanner, ModelShape};
use crate::orders::post_order;
use crate::peers;
use crate::sending::fetch_report;
use crate::state::{PlacementHolder, EntryState};

/// Name of the duty's note.
const PLACEMENT_DUTY: &str = "placement";
/// Time between two renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time between two looks at whether the holder still answers this host's reports.
const TOLD_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a renewal after which another host takes the duty over.
const TAKEOVER_AFTER: Duration = Duration::from_millis(2_500);
/// Hosts of either kind that are asked for a holder before a host acts as one.
const MOST_ASKED: usize = 3;
/// Time between two looks at the cards.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which the list of endpoints must be unchanged before the first orders, so that the
/// layout is made for all cards and not for the first that registered.
const SETTLE_TIME: Duration = Duration::from_millis(400);
/// Time for the answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Time beyond the expected loading after which an order without a visible effect is looked into.
const ORDER_SLACK: Duration = Duration::from_millis(2_500);
/// The same for layers that are given up: streams pass through them for three seconds at the usual
/// load, and up to twice as long under overload.
const GIVE_UP_SLACK: Duration = Duration::from_secs(6);
/// Time after which an empty endpoint is given layers although nothing is missing. When endpoints
/// are replaced, the new one starts about a second before the old one leaves.
const IDLE_AFTER: Duration = Duration::from_millis(1_300);
/// Time between two questions to an endpoint that still loads.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(150);
/// Pause before an endpoint that refused an order gets another.
const REFUSED_PAUSE: Duration = Duration::from_millis(500);

struct PendingOrder {
    span: LayerSpan,
    /// When the layers should be loaded.
    due: Instant,
    /// When the order is taken as without effect.
    until: Instant,
    /// Whether the table shows the layers before the endpoint has carried the order out.
    is_announced: bool,
}

impl PendingOrder {
    /// An order that nothing is to be asked about until a time.
    fn left_alone(span: LayerSpan, until: Instant) -> Self {
        Self { span, due: until, until, is_announced: true }
    }
}

/// Orders whose effect the registry does not show yet.
#[derive(Default)]
struct DutyBook {
    pending: BTreeMap<EndpointName, PendingOrder>,
    /// When each empty endpoint was first seen so.
    empty_since: BTreeMap<EndpointName, Instant>,
}

/// Takes the duty whenever nobody else holds it, until the process ends.
pub(crate) async fn run(state: Rc<EntryState>) {
    let mut seen: Option<(RegistryVersion, Instant)> = None;
    let mut away_since: Option<Instant> = None;
    loop {
        if state.is_following_holder() {
            // The holder answers: nobody need take over.
            sleep(TOLD_INTERVAL).await;
            if state.is_following_holder() {
                continue;
            }
        }
        let free = match state.registry.notes(NoteGroup::Duties).await {
            Ok(notes) => {
                let note = duty_note(&notes);
                let version = note.map_or(0, |note| note.version);
                let now = Instant::now();
                let since = match seen {
                    Some((known, since)) if known == version => since,
                    _ => now,
                };
                seen = Some((version, since));
                away_since = None;
                *state.placement_holder.borrow_mut() = note.and_then(|note| holder_of(&note.text));
                let is_free = version == 0 || note.is_some_and(|note| note.text.is_empty());
                (is_free || now - since >= TAKEOVER_AFTER).then_some(version)
            }
            Err(_) => {
                let away = *away_since.get_or_insert_with(Instant::now);
                let is_alone = !state.is_following_holder() && !state.is_leaving.get();
                if away.elapsed() >= TAKEOVER_AFTER && is_alone {
                    act(&state).await;
                }
                None
            }
        };
        if let Some(version) = free.filter(|_| !state.is_leaving.get() && state.rules().is_some()) {
            let text = own_text(&state, version);
            let taken =
                state.registry.write_note(NoteGroup::Duties, PLACEMENT_DUTY.into(), version, text);
            if let Ok(version) = taken.await {
                hold(&state, version).await;
                seen = None;
            }
        }
        sleep(RENEW_INTERVAL).await;
    }
}

/// The time for which this host does the duty: until it is dropped, the host plans and counts as
/// the holder.
struct DutyTenure {
    state: Rc<EntryState>,
    planning: JoinHandle<()>,
}

impl DutyTenure {
    fn new(state: &Rc<EntryState>) -> Self {
        *state.placement_holder.borrow_mut() = Some(own_place(state));
        Self { state: state.clone(), planning: tokio::task::spawn_local(plan(state.clone())) }
    }
}

impl Drop for DutyTenure {
    fn drop(&mut self) {
        self.planning.abort();
        *self.state.placement_holder.borrow_mut() = None;
    }
}

/// Holds the duty until it is lost or the process ends.
async fn hold(state: &Rc<EntryState>, mut version: RegistryVersion) {
    log::info!(event = "duty_taken", duty = PLACEMENT_DUTY, version; "placement duty taken");
    state.counters.set(MetricName::LeaseHeld, &[], 1);
    let tenure = DutyTenure::new(state);
    let mut renewed = Instant::now();
    while !state.is_leaving.get() {
        sleep(RENEW_INTERVAL).await;
        let text = own_text(state, version);
        let write =
            state.registry.write_note(NoteGroup::Duties, PLACEMENT_DUTY.into(), version, text);
        match write.await {
            Ok(next) => {
                version = next;
                renewed = Instant::now();
            }
            Err(RegistryError::Conflict) => {
                // An own renewal whose answer was lost looks like another host's.
                if !is_own(state).await {
                    break;
                }
            }
            Err(error) => {
                let age = renewed.elapsed();
                let age_ms = age.as_millis() as u64;
                log::info!(event = "duty_unrenewed", age_ms, error:% = error; "duty not renewed");
                if age >= TAKEOVER_AFTER {
                    break;
                }
                continue;
            }
        }
        if let Ok(notes) = state.registry.notes(NoteGroup::Duties).await
            && let Some(note) = duty_note(&notes)
        {
            version = version.max(note.version);
        }
    }
    tenure.planning.abort();
    if state.is_leaving.get() {
        let released =
            state.registry.write_note(NoteGroup::Duties, PLACEMENT_DUTY.into(), version, "".into());
        if let Err(error) = released.await {
            log::info!(event = "duty_kept", error:% = error; "duty not released");
        }
    }
    drop(tenure);
    state.counters.set(MetricName::LeaseHeld, &[], 0);
    log::info!(event = "duty_left", duty = PLACEMENT_DUTY; "placement duty left");
}

/// Does the duty without the note while the registry is away and its holder is silent: of the hosts
/// that answer, the one with the least name acts. Two that act at once do no harm.
async fn act(state: &Rc<EntryState>) {
    let own = &state.options.host;
    let peers: Vec<_> = {
        let peers = state.peers.borrow();
        peers.iter().map(|(name, peer)| (name.clone(), peer.address)).collect()
    };
    // The registry may turn this host alone away: others then hear a holder.
    let mut asked: Vec<_> = peers.iter().filter(|(name, _)| name < own).take(MOST_ASKED).collect();
    let others = peers.iter().filter(|(name, _)| name > own);
    asked.extend(others.choose_multiple(&mut rand::rng(), MOST_ASKED));
    for (name, address) in asked {
        let Some(word) = peers::ask_word(state, *address).await else { continue };
        let is_before = name < own && word.is_serving;
        if let Some(holder) = word.holder() {
            *state.placement_holder.borrow_mut() = Some(holder);
            return;
        }
        if is_before {
            *state.placement_holder.borrow_mut() =
                Some(PlacementHolder { host: name.clone(), address: *address });
            return;
        }
    }
    log::info!(event = "duty_acting", duty = PLACEMENT_DUTY; "registry away, host acts as holder");
    let tenure = DutyTenure::new(state);
    while !state.is_leaving.get() && state.registry.notes(NoteGroup::Duties).await.is_err() {
        sleep(RENEW_INTERVAL).await;
    }
    drop(tenure);
    log::info!(event = "duty_left", duty = PLACEMENT_DUTY; "host acts no longer as holder");
}

async fn is_own(state: &EntryState) -> bool {
    let Ok(notes) = state.registry.notes(NoteGroup::Duties).await else { return true };
    let note = duty_note(&notes);
    let holder = note.and_then(|note| holder_of(&note.text));
    holder.is_some_and(|holder| holder.host == state.options.host)
}

/// The duty's note among those of its group.
fn duty_note(notes: &[RegistryNote]) -> Option<&RegistryNote> {
    notes.iter().find(|note| &*note.name == PLACEMENT_DUTY)
}

fn own_place(state: &EntryState) -> PlacementHolder {
    PlacementHolder { host: state.options.host.clone(), address: state.options.peer }
}

/// Text of the duty's note; the version makes each renewal a change.
fn own_text(state: &EntryState, version: RegistryVersion) -> Box<str> {
    format!("{} {} {version}", state.options.host, state.options.peer).into()
}

/// Host that a note of a duty names; none where the duty was given up.
fn holder_of(text: &str) -> Option<PlacementHolder> {
    let mut words = text.split(' ');
    let (host, address) = (words.next()?, words.next()?);
    Some(PlacementHolder { host: host.into(), address: address.parse().ok()? })
}

/// Looks at the cards again and again and sends the orders that are due.
async fn plan(state: Rc<EntryState>) {
    let book = Rc::new(RefCell::new(DutyBook::default()));
    let mut planners: BTreeMap<ServiceName, LayoutPlanner> = BTreeMap::new();
    let (mut count, mut since) = (0, Instant::now());
    loop {
        sleep(PLAN_INTERVAL).await;
        let known = state.endpoints.borrow().entries().count();
        if known != count {
            (count, since) = (known, Instant::now());
        }
        confirm_loaded(&state, &book);
        let Some(rules) = state.rules() else { continue };
        for (service, rule) in &rules.rules().services {
            let Some(engine) = &rule.engine else { continue };
            let cards = card_views(&state, service, &mut book.borrow_mut());
            let is_fresh = cards.iter().all(|card| card.held.is_none());
            if is_fresh && since.elapsed() < SETTLE_TIME {
                continue;
            }
            let shape = ModelShape { layers: engine.layers, layer_mb: engine.layer_mb };
            let planner = planners.entry(service.clone()).or_default();
            for order in planner.orders(shape, &cards) {
                let card = cards.iter().find(|card| card.name == order.name);
                let held = card.and_then(|card| card.held);
                let new = order.span.count().saturating_sub(held.map_or(0, LayerSpan::count));
                let load = engine.load.mul_f64(f64::from(new) / f64::from(engine.layers.max(1)));
                tokio::task::spawn_local(send_order(state.clone(), book.clone(), order, load));
            }
        }
        forget_orders(&state, &book.borrow());
    }
}

/// Asks endpoints whose loading should be over for their layers; the registry tells of them only
/// with the endpoint's next heartbeat, a second later.
fn confirm_loaded(state: &Rc<EntryState>, book: &Rc<RefCell<DutyBook>>) {
    let now = Instant::now();
    let done = book.clone();
    let mut book = book.borrow_mut();
    for (name, order) in book.pending.iter_mut().filter(|(_, order)| now >= order.due) {
        order.due = now + CONFIRM_INTERVAL;
        let (state, name, span) = (state.clone(), name.clone(), order.span);
        let done = done.clone();
        tokio::task::spawn_local(async move {
            let Some(entry) = state.endpoint(&name) else { return };
            let report = fetch_report(&state, &entry, ORDER_TIMEOUT).await;
            let Ok(Some(report)) = report else { return };
            let layers = report.layers;
            if layers != Some(span) || report.is_busy {
                return;
            }
            if let Some(order) = done.borrow_mut().pending.get_mut(&name) {
                order.is_announced = false;
            }
            if entry.layers != layers || entry.under_way.is_some() {
                state.endpoints.borrow_mut().take_layers(&name, span);
                endpoints_changed(&state);
            }
        });
    }
}

/// Ends what the table knows of orders that this host does not wait for.
fn forget_orders(state: &EntryState, book: &DutyBook) {
    let mut endpoints = state.endpoints.borrow_mut();
    let over: Vec<EndpointName> = endpoints
        .entries()
        .filter(|entry| entry.under_way.is_some() && !book.pending.contains_key(&entry.name))
        .map(|entry| entry.name.clone())
        .collect();
    over.iter().for_each(|name| endpoints.order_over(name));
}

fn card_views(state: &EntryState, service: &str, book: &mut DutyBook) -> Vec<CardView> {
    let now = Instant::now();
    let (endpoints, beliefs) = (state.endpoints.borrow(), state.beliefs.borrow());
    let rules = state.rules();
    let engine = rules.as_ref().and_then(|rules| rules.engine(service));
    let token_layer_mb = engine.map_or(0.0, |engine| engine.token_layer_mb);
    let mut views = Vec::new();
    book.empty_since.retain(|name, _| endpoints.get(name).is_some());
    for entry in endpoints.entries().filter(|entry| &*entry.service == service) {
        let is_lost = beliefs.is_down(&entry.name) || state.is_excluded(entry, now);
        if entry.is_draining || is_lost {
            book.pending.remove(&entry.name);
            continue;
        }
        let card = entry.card.as_deref().zip(engine).and_then(|(kind, e)| e.cards.get(kind));
        let Some(card) = card else { continue };
        let pending = book.pending.get(&entry.name);
        let is_done = pending.is_some_and(|order| {
            let is_shown = entry.layers == Some(order.span) && !order.is_announced;
            is_shown || now >= order.until
        });
        if is_done {
            book.pending.remove(&entry.name);
        }
        let pending = book.pending.get(&entry.name);
        let held = pending.map(|order| order.span).or(entry.layers).filter(|s| s.count() > 0);
        let is_idle = if held.is_some() {
            book.empty_since.remove(&entry.name);
            false
        } else {
            let since = *book.empty_since.entry(entry.name.clone()).or_insert(now);
            now - since >= IDLE_AFTER
        };
        views.push(CardView {
            name: entry.name.clone(),
            domain: entry.domain.clone(),
            memory_mb: card.memory_mb,
            step_factor: card.step_factor,
            held,
            loaded: entry.layers.filter(|span| span.count() > 0),
            is_idle,
            used_mb: state.total_load(&entry.name).token_layers as f64 * token_layer_mb,
            is_free: pending.is_none(),
        });
    }
    views
}

async fn send_order(
    state: Rc<EntryState>,
    book: Rc<RefCell<DutyBook>>,
    order: LayoutOrder,
    load: Duration,
) {
    let Some(entry) = state.endpoint(&order.name) else { return };
    let until =
        Instant::now() + ORDER_TIMEOUT * 3 + peers::exchange_interval(state.host_count()) * 2;
    let pending = PendingOrder::left_alone(order.span, until);
    book.borrow_mut().pending.insert(order.name.clone(), pending);
    // The registry's count may be old; only the endpoint's own says what the order follows.
    let report = match fetch_report(&state, &entry, ORDER_TIMEOUT).await {
        Ok(Some(report)) => report,
        Ok(None) => return,
        Err(error) => {
            log::info!(event = "order_unsent", endpoint = &*order.name, error:% = error; "no report");
            return;
        }
    };
    let held = report.layers.filter(|span| span.count() > 0);
    let is_stale = report.is_busy || held != entry.layers.filter(|span| span.count() > 0);
    if is_stale && held != Some(order.span) {
        log::info!(
            event = "order_unsent", endpoint = &*order.name, held:? = held, busy = report.is_busy;
            "endpoint differs from the registry"
        );
        let until = Instant::now() + REFUSED_PAUSE;
        let pending = PendingOrder::left_alone(held.unwrap_or(order.span), until);
        book.borrow_mut().pending.insert(order.name.clone(), pending);
        return;
    }
    let gives_up = held.is_some_and(|held| held.count() > order.span.count());
    if gives_up {
        // Hosts learn first that the layers are no longer to be used here.
        state.endpoints.borrow_mut().giving_up(&order.name, order.span);
        endpoints_changed(&state);
        sleep(peers::exchange_interval(state.host_count()) * 2).await;
    }
    let body = state.dialect.placement_order(order.span, report.orders);
    let status = match post_order(&state, &entry, body, ORDER_TIMEOUT).await {
        Ok(reply) => Some(reply.status),
        Err(error) => {
            log::info!(event = "order_unanswered", endpoint = &*order.name, error:% = error; "no answer");
            None
        }
    };
    let slack = if gives_up { GIVE_UP_SLACK } else { ORDER_SLACK };
    let (label, until) = match status {
        Some(StatusCode::ACCEPTED) => ("accepted", Instant::now() + load * 2 + slack),
        Some(StatusCode::OK) => ("done", Instant::now() + ORDER_SLACK),
        Some(_) => ("refused", Instant::now() + REFUSED_PAUSE),
        // It may still be carried out; a second one would then fail on the count of orders.
        None => ("unanswered", Instant::now() + REFUSED_PAUSE),
    };
    if status.is_some_and(|status| status.is_success()) && !gives_up {
        state.endpoints.borrow_mut().loading(&order.name, order.span);
        endpoints_changed(&state);
    }
    state.counters.count(MetricName::Orders, &[label]);
    log::info!(
        event = "order", endpoint = &*order.name, from = order.span.from, to = order.span.to,
        after = report.orders, status = status.map_or(0, |status| status.as_u16()),
        load_ms = load.as_millis() as u64; "order to hold layers"
    );
    let pending = PendingOrder {
        span: order.span,
        due: Instant::now() + load,
        until,
        is_announced: gives_up,
    };
    book.borrow_mut().pending.insert(order.name.clone(), pending);
}
