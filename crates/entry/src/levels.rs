//! Applies the admission levels on this host: gathers their inputs, reports their changes and
//! refuses new streams that are not admitted.

use jacinthrock::{CallRefusal, MetricName, ResultCode};
use rand::Rng;
use tokio::time::Instant;

use crate::admission::{
    LevelChange, LevelInputs, NewStream, StageCapacity, domain_usage, queue_usage,
};
use crate::call::count_outcome;
use crate::context::StreamContext;
use crate::demand::DemandMeter;
use crate::queue::WaitClass;
use crate::response::not_run_refusal;
use crate::rules::{EngineProfile, RuleIndex};
use crate::state::EntryState;
use crate::waiting::WaitingStream;

/// Computes the levels again from the latest totals of all hosts.
pub(crate) fn update_levels(state: &EntryState) {
    let Some(rules) = state.rules() else { return };
    let now = Instant::now();
    let removed =
        state.admission.borrow_mut().remove_others(|service| rules.has_priorities(service));
    state.return_schedules.borrow_mut().retain(|service| rules.has_priorities(service));
    for (service, priority) in removed {
        set_share(state, &service, priority, 1.0);
    }
    for service in rules.prioritized_services() {
        let demand = state.peer_loads.borrow().demands(service, now);
        let engine = rules.engine(service);
        let on_time_wait = WaitingStream::on_time_wait(rules.shortest_objective(service));
        let inputs = demand.as_ref().zip(engine).map(|((demand, age), engine)| {
            let capacities = stage_capacities(state, service, engine, now);
            let usage = domain_usage(engine.layers, &capacities);
            LevelInputs { usage: usage.max(queue_usage(demand, on_time_wait)), demand, age: *age }
        });
        let changes = state.admission.borrow_mut().update(service, inputs, now);
        for change in changes {
            log_change(service, &change);
        }
        for (priority, share) in state.admission.borrow().shares(service) {
            set_share(state, service, priority, share);
        }
    }
}

/// What is in use of the endpoints of a service that accept work, by the latest total. Unlike in
/// the choice of a path, what this host has added since is left out, so that all hosts compute the
/// same level.
fn stage_capacities(
    state: &EntryState,
    service: &str,
    engine: &EngineProfile,
    now: Instant,
) -> Vec<StageCapacity> {
    let (endpoints, loads) = (state.endpoints.borrow(), state.peer_loads.borrow());
    let entries = endpoints
        .entries()
        .filter(|entry| &*entry.service == service && state.accepts_work(entry, now));
    let mut totals = loads.in_order(now);
    entries
        .filter_map(|entry| {
            let span = entry.layers.filter(|span| span.count() > 0)?;
            let card = engine.cards.get(entry.card.as_deref()?)?;
            let load = totals.as_mut().map(|totals| totals.total_load(&entry.name));
            let load = load.unwrap_or_default();
            Some(StageCapacity {
                domain: entry.domain.clone(),
                span,
                slots: entry.slots,
                starts: load.starts,
                token_layers: load.token_layers,
                kv_capacity: engine.kv_capacity(card, entry.weight_layers()),
            })
        })
        .collect()
}

/// Decides whether a new stream may look for a path; counts and logs those that may not. Streams
/// that a caller resumes are always admitted.
pub(crate) fn admit(context: &StreamContext) -> Result<(), CallRefusal> {
    let (state, call) = (&context.state, &context.call);
    if !context.has_priorities || call.head.resume_after.is_some() {
        return Ok(());
    }
    let stream = NewStream {
        priority: call.level,
        tokens: context.expected_tokens(),
        mean_tokens: state.rules().map_or(0, |rules| mean_tokens(&rules, &call.service)),
        is_retried: context.wait_class() == WaitClass::Retried,
        remaining: call.remaining(),
    };
    if !stream.is_retried {
        context.count_demand(DemandMeter::record_arrived);
    }
    let (draw, now) = (rand::rng().random_range(0.0..1.0), Instant::now());
    let admitted = state.admission.borrow().admit(&call.service, &stream, draw, now);
    let Err(refusal) = admitted else {
        count_stream(context, "admitted");
        return Ok(());
    };
    count_stream(context, "refused");
    count_outcome(state, &call.service, "not_run");
    context.record_refusal(now);
    Err(not_run_refusal(ResultCode::NoChain, refusal.to_string(), refusal.min_delay))
}

/// Counts a stream of a service with priorities in the metrics.
pub(crate) fn count_stream(context: &StreamContext, outcome: &str) {
    if context.has_priorities {
        let priority = context.call.level.to_string();
        let labels = [&*context.call.service, &priority, outcome];
        context.state.metrics.count(MetricName::AdmissionStreams, &labels);
    }
}

fn mean_tokens(rules: &RuleIndex, service: &str) -> u32 {
    rules.engine(service).map_or(0, EngineProfile::mean_tokens)
}

fn set_share(state: &EntryState, service: &str, priority: u8, share: f64) {
    let labels = [service, &priority.to_string()];
    state.metrics.set(MetricName::AdmissionShare, &labels, (share * 1_000.0).round() as i64);
}

fn log_change(service: &str, change: &LevelChange) {
    let round = |value: f64| (value * 1_000.0).round() / 1_000.0;
    log::info!(
        event = "admission_level", service, level = change.priority,
        share = round(change.share), usage = round(change.usage),
        arrived_per_s = round(change.arrived_per_s), started_per_s = round(change.started_per_s),
        returned_per_s = round(change.returned_per_s), waiting = change.waiting, age_ms = change.age.as_millis() as u64;
        "share of new streams that is admitted has changed"
    );
}
