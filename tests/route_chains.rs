//! Chains cover every layer once, at least cost, whatever the endpoints report.

use jacinthrock::{
    ChainPlanner, ChainPolicy, LinkDeclaration, LinkTable, PlannerOptions, StageCandidate,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LAYERS: u16 = 6;
const POLICIES: [ChainPolicy; 5] = [
    ChainPolicy::LeastCost,
    ChainPolicy::Random,
    ChainPolicy::RoundRobin,
    ChainPolicy::LeastInFlight,
    ChainPolicy::TwoChoices,
];

fn candidate(index: usize, first: u16, length: u16, domain: u8, cost: u32) -> StageCandidate {
    StageCandidate {
        endpoint: format!("engine-{index}").into(),
        address: format!("10.0.0.{index}:80").into(),
        domain: format!("domain-{domain}").into(),
        first_layer: first,
        last_layer: (first + length - 1).min(LAYERS - 1),
        seconds: f64::from(cost) / 1000.0,
        penalty: 0.0,
        in_flight: cost,
        load: f64::from(cost),
    }
}

fn planner(policy: ChainPolicy, seed: u64) -> ChainPlanner {
    ChainPlanner::new(PlannerOptions { policy, seed, cost_jitter: 0.0 })
}

fn candidates() -> impl Strategy<Value = Vec<StageCandidate>> {
    let one = (0..LAYERS, 1..4u16, 0..3u8, 1..50u32);
    proptest::collection::vec(one, 0..14).prop_map(|drawn| {
        let each = drawn.into_iter().enumerate();
        each.map(|(index, (first, length, domain, cost))| {
            candidate(index, first, length, domain, cost)
        })
        .collect()
    })
}

fn links() -> LinkTable {
    let link = |left: &str, right: &str, latency_us| LinkDeclaration {
        between: [left.into(), right.into()],
        latency_us,
        megabits: 1000,
    };
    LinkTable::new(&[link("domain-0", "domain-1", 250), link("domain-0", "domain-2", 25_000)])
}

/// Least cost over every chain from a layer on, by trying all of them; `ends` are the first and
/// the last stage chosen so far.
fn least_cost(
    from: u16,
    ends: Option<(&StageCandidate, &StageCandidate)>,
    candidates: &[StageCandidate],
    links: &LinkTable,
) -> Option<f64> {
    if from == LAYERS {
        let (first, last) = ends?;
        let is_cycle = first.endpoint != last.endpoint;
        return Some(if is_cycle { links.seconds(&last.domain, &first.domain) } else { 0.0 });
    }
    let next = candidates.iter().filter(|candidate| candidate.first_layer == from);
    let costs = next.filter_map(|candidate| {
        let first = ends.map_or(candidate, |(first, _)| first);
        let after = Some((first, candidate));
        let rest = least_cost(candidate.last_layer + 1, after, candidates, links)?;
        let hop = ends.map_or(0.0, |(_, last)| links.seconds(&last.domain, &candidate.domain));
        Some(rest + hop + candidate.seconds)
    });
    costs.reduce(f64::min)
}

/// Leaves one endpoint for each range and domain, so that nothing is left to chance.
fn without_twins(mut candidates: Vec<StageCandidate>) -> Vec<StageCandidate> {
    let key = |candidate: &StageCandidate| {
        (candidate.first_layer, candidate.last_layer, candidate.domain.clone())
    };
    candidates.sort_by_key(key);
    candidates.dedup_by_key(|candidate| key(candidate));
    candidates
}

fn config(cases: u32) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(4);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config(2000))]

    #[test]
    fn a_chain_covers_every_layer_once(candidates in candidates(), seed in 0..8u64) {
        let links = links();
        let has_chain = least_cost(0, None, &candidates, &links).is_some();
        for policy in POLICIES {
            let chain = planner(policy, seed).plan(LAYERS, &candidates, &links);
            prop_assert_eq!(chain.is_some(), has_chain, "{:?}", policy);
            let Some(chain) = chain else { continue };
            let mut next = 0;
            for stage in &chain.stages {
                prop_assert_eq!(stage.first_layer, next, "{:?}", policy);
                next = stage.last_layer + 1;
            }
            prop_assert_eq!(next, LAYERS);
        }
    }

    #[test]
    fn the_chosen_chain_has_the_least_cost(candidates in candidates()) {
        let (candidates, links) = (without_twins(candidates), links());
        let chain = planner(ChainPolicy::LeastCost, 1).plan(LAYERS, &candidates, &links);
        let chosen = chain.map(|chain| chain.token_time.as_secs_f64());
        match (chosen, least_cost(0, None, &candidates, &links)) {
            (Some(chosen), Some(least)) => prop_assert!((chosen - least).abs() < 1e-6),
            (chosen, least) => prop_assert_eq!(chosen.is_some(), least.is_some()),
        }
    }
}
