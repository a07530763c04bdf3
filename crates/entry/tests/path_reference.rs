//! The path search finds what a plain search over all partial paths finds, and its work grows with
//! the number of endpoints rather than with its square.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use jacinthrock_entry::{
    CardView, LayerSpan, PathStage, SearchOutcome, StageView, cheapest_path, search_path,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{converge, empty_fleet};

const LAYERS: u16 = 80;
const HOME: &str = "north";

/// A partial path of the plain search: cost, number of stages, boundary at which the last stage
/// starts, and the stage before it.
type PlainPath = (f64, usize, usize, Option<usize>);
type PlainTable = Vec<BTreeMap<usize, PlainPath>>;

/// Finds the cheapest path and its cost; each stage is compared with every partial path that ends
/// where it may start.
fn plain_search(
    layers: u16,
    home: &str,
    link_share: f64,
    stages: &[StageView],
) -> Option<(f64, Vec<PathStage>)> {
    let crossing = (link_share < 0.75).then(|| 12.0 * (1.0 + (link_share / 0.4_f64).powi(4)));
    let mut boundaries: Vec<u16> =
        stages.iter().flat_map(|stage| [stage.span.from, stage.span.to]).collect();
    boundaries.extend([0, layers]);
    boundaries.sort_unstable();
    boundaries.dedup();
    boundaries.retain(|boundary| *boundary <= layers);
    let mut best: PlainTable = vec![BTreeMap::new(); boundaries.len()];
    for position in 0..boundaries.len() - 1 {
        for (index, stage) in stages.iter().enumerate() {
            if !stage.span.holds(boundaries[position]) || !stage.has_room {
                continue;
            }
            let entry = plain_entry(position, index, home, crossing, stages, &best);
            let Some((entry_cost, count, start, previous)) = entry else { continue };
            for end in position + 1..boundaries.len() {
                if boundaries[end] > stage.span.to {
                    break;
                }
                let load_factor = 1.0 + stage.streams / 40.0;
                let memory_factor = 1.0 + (stage.kv_usage.min(1.5) / 0.75).powi(4);
                let layers = f64::from(boundaries[end] - boundaries[position]);
                let step =
                    layers * stage.layer_ms * load_factor * memory_factor + 0.3 + stage.penalty_ms;
                let partial = (entry_cost + step, count + 1, start, previous);
                let slot = best[end].entry(index).or_insert(partial);
                if partial.0 < slot.0 {
                    *slot = partial;
                }
            }
        }
    }
    plain_backtrack(&boundaries, stages, &best)
}

fn plain_entry(
    position: usize,
    index: usize,
    home: &str,
    crossing: Option<f64>,
    stages: &[StageView],
    best: &PlainTable,
) -> Option<PlainPath> {
    let stage = &stages[index];
    if position == 0 {
        let cost = if &*stage.domain == home { 0.0 } else { 2.0 };
        return stage.may_start.then_some((cost, 0, 0, None));
    }
    let mut cheapest: Option<PlainPath> = None;
    for (previous, partial) in &best[position] {
        if partial.1 + 1 >= 32 || plain_visits(index, position, *previous, best) {
            continue;
        }
        let is_crossing = stages[*previous].domain != stage.domain;
        let Some(step) = (if is_crossing { crossing } else { Some(0.0) }) else { continue };
        let cost = partial.0 + step;
        if cheapest.is_none_or(|other| cost < other.0) {
            cheapest = Some((cost, partial.1, position, Some(*previous)));
        }
    }
    cheapest
}

fn plain_visits(index: usize, mut position: usize, mut last: usize, best: &PlainTable) -> bool {
    loop {
        if last == index {
            return true;
        }
        let Some(partial) = best[position].get(&last) else { return false };
        let Some(previous) = partial.3 else { return false };
        position = partial.2;
        last = previous;
    }
}

fn plain_backtrack(
    boundaries: &[u16],
    stages: &[StageView],
    best: &PlainTable,
) -> Option<(f64, Vec<PathStage>)> {
    let mut position = boundaries.len() - 1;
    let (index, end) = best[position].iter().min_by(|a, b| a.1.0.total_cmp(&b.1.0))?;
    let (mut index, cost) = (*index, end.0);
    let mut path = Vec::new();
    loop {
        let partial = best[position].get(&index)?;
        let stage = &stages[index];
        path.push(PathStage {
            name: stage.name.clone(),
            start_unix_ms: stage.start_unix_ms,
            address: stage.address,
            span: LayerSpan { from: boundaries[partial.2], to: boundaries[position] },
            domain: stage.domain.clone(),
        });
        let Some(previous) = partial.3 else { break };
        position = partial.2;
        index = previous;
    }
    path.reverse();
    Some((cost, path))
}

/// Compares both searches, bit by bit in the cost.
fn check_same(layers: u16, home: &str, link_share: f64, stages: &[StageView]) {
    let plain = plain_search(layers, home, link_share, stages);
    let SearchOutcome { path, cost_ms, .. } = search_path(layers, home, link_share, stages);
    assert_eq!(path, cheapest_path(layers, home, link_share, stages));
    let Some((plain_cost, plain_path)) = plain else {
        assert_eq!((path, cost_ms), (None, f64::INFINITY));
        return;
    };
    assert_eq!(path, Some(plain_path));
    assert!(cost_ms.to_bits() == plain_cost.to_bits(), "{cost_ms} instead of {plain_cost}");
}

fn view(number: usize, card: &CardView, span: LayerSpan) -> StageView {
    StageView {
        name: format!("{}-{number}", card.name).into(),
        start_unix_ms: 1,
        address: SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 80)),
        domain: card.domain.clone(),
        span,
        layer_ms: card.step_factor * 0.85 / 80.0,
        streams: 0.0,
        kv_usage: 0.1,
        has_room: true,
        penalty_ms: 0.0,
        may_start: true,
    }
}

/// Endpoints under random loads, with the layers that the planner gives to cards of the sample
/// deployment. From the second copy of the cards on, half of the spans are shifted at random, so that
/// spans start and end at each layer; after `layouts` endpoints, the spans are repeated. The first
/// copy has room, so that there is always a path.
fn loaded_stages(count: usize, layouts: usize, seed: u64) -> Vec<StageView> {
    let mut cards = empty_fleet();
    converge(&mut cards);
    let held = cards.iter().filter_map(|card| Some((card, card.held?)));
    let held: Vec<_> = held.collect();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let shifts: Vec<f64> = (0..layouts).map(|_| rng.random_range(0.0..2.0)).collect();
    (0..count)
        .map(|number| {
            let place = number % layouts;
            let (card, mut span) = held[place % held.len()];
            if place >= held.len() && shifts[place] < 1.0 {
                let from = (f64::from(LAYERS - span.count()) * shifts[place]).round() as u16;
                span = LayerSpan { from, to: from + span.count() };
            }
            let is_first = number < held.len();
            let view = view(number, card, span);
            StageView {
                layer_ms: view.layer_ms * rng.random_range(1.0..1.5),
                streams: f64::from(rng.random_range(0..60)),
                kv_usage: rng.random_range(0.0..1.0),
                has_room: is_first || rng.random_bool(0.95),
                penalty_ms: if rng.random_bool(0.02) { 40.0 } else { 0.0 },
                may_start: is_first || rng.random_bool(0.9),
                ..view
            }
        })
        .collect()
}

/// Guards against a search that misses a cheaper path among the endpoints of a usual layout, with
/// an open, a busy and a closed link between the domains.
#[test]
fn layouts_of_the_planner_have_the_same_path() {
    for (seed, count) in [(1, 39), (2, 117), (3, 300)] {
        let stages = loaded_stages(count, count, seed);
        for link_share in [0.0, 0.5, 0.9] {
            for home in support::DOMAINS {
                check_same(LAYERS, home, link_share, &stages);
                let incomplete: Vec<_> = stages
                    .iter()
                    .filter(|stage| &*stage.domain != home || !stage.span.holds(40))
                    .cloned()
                    .collect();
                check_same(LAYERS, home, link_share, &incomplete);
            }
        }
    }
}

/// Guards against a search whose work grows with the square of the number of endpoints. The larger
/// set has the spans of the smaller one, as domains with more copies of the model have.
#[test]
fn ten_times_as_many_endpoints_need_at_most_twenty_times_as_many_comparisons() {
    for link_share in [0.0, f64::INFINITY] {
        for seed in 1..=3 {
            for layouts in [100, 300] {
                let [few, many] = [layouts, layouts * 10].map(|count| {
                    let stages = loaded_stages(count, layouts, seed);
                    search_path(LAYERS, HOME, link_share, &stages).comparisons
                });
                println!("{few} comparisons at {layouts} endpoints, {many} at ten times as many");
                assert!(many <= 20 * few, "{few} at {layouts}, {many} at ten times as many");
            }
        }
    }
}

/// Costs that are often equal, also after the cost of a crossing is added, and some that are not
/// numbers, infinite or negative.
fn any_cost() -> impl Strategy<Value = f64> {
    prop_oneof![
        12 => 0.0_f64..3.0,
        12 => prop::sample::select(vec![0.1, 0.2, 0.3, 0.1 + f64::EPSILON / 8.0]),
        1 => prop::sample::select(vec![0.0, -0.0, -0.5]),
    ]
}

fn any_bad_cost() -> impl Strategy<Value = f64> {
    let bad = vec![f64::NAN, f64::INFINITY, f64::NEG_INFINITY, f64::MAX, f64::MIN];
    prop_oneof![8 => any_cost(), 1 => prop::sample::select(bad)]
}

fn any_stages(
    layers: u16,
    cost: impl Strategy<Value = f64> + 'static,
) -> impl Strategy<Value = Vec<StageView>> {
    let places = (0..layers + 2, 0..layers + 2, 0_usize..4);
    let loads = (0_u8..3, 0_u8..4, prop::bool::weighted(0.9), prop::bool::weighted(0.8));
    prop::collection::vec((places, cost, loads), 0..40).prop_map(|drawn| {
        let fleet = empty_fleet();
        let stages = drawn.into_iter().enumerate().map(|(number, (place, layer_ms, loads))| {
            let ((from, to, domain), (streams, kv, has_room, may_start)) = (place, loads);
            let domain = ["north", "middle", "south", "west"][domain].into();
            StageView {
                domain,
                layer_ms,
                streams: f64::from(streams) * 20.0,
                kv_usage: f64::from(kv) * 0.4,
                has_room,
                may_start,
                ..view(number, &fleet[0], LayerSpan { from, to })
            }
        });
        stages.collect()
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, rng_seed: RngSeed::Fixed(42), ..ProptestConfig::default() })]

    /// Guards against another choice among overlapping stages: spans that split one another, equal
    /// costs, and stages that a path would visit twice.
    #[test]
    fn any_set_of_endpoints_has_the_same_path(
        stages in any_stages(12, any_cost()),
        link_share in prop::sample::select(vec![0.0, 0.3, 0.74, 0.75, f64::INFINITY]),
    ) {
        check_same(12, HOME, link_share, &stages);
        check_same(9, "elsewhere", link_share, &stages);
    }

    /// Guards against another choice if some costs are not numbers, infinite or negative.
    #[test]
    fn bad_costs_lead_to_the_same_path(
        stages in any_stages(6, any_bad_cost()),
        link_share in prop::sample::select(vec![0.0, -1.0, f64::NAN, f64::NEG_INFINITY]),
    ) {
        check_same(6, HOME, link_share, &stages);
    }

    /// Guards against paths of more stages than engines allow: many small spans.
    #[test]
    fn long_paths_are_the_same(
        spans in prop::collection::vec((0_u16..40, 1_u16..3, any_cost(), 0_usize..39), 40..160),
    ) {
        let fleet = empty_fleet();
        let stages = spans.into_iter().enumerate().map(|(number, (from, count, layer_ms, kind))| {
            let span = LayerSpan { from, to: (from + count).min(40) };
            StageView { layer_ms, ..view(number, &fleet[kind], span) }
        });
        let stages: Vec<_> = stages.collect();
        check_same(40, HOME, 0.0, &stages);
    }
}
