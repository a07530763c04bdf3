//! Chain planning: selects the cheapest sequence of endpoints whose layer ranges cover the model
//! exactly once and in order.
//!
//! The planner first samples one endpoint for each pair of layer range and failure domain. Then,
//! for each failure domain in which a chain may start, it runs a dynamic program over the layer
//! boundaries that keeps the cheapest partial chain for each pair of boundary and failure domain.
//! With N endpoints of a model, R layer ranges and D failure domains, planning takes
//! O(N log N + R * D^3) steps. It never enumerates chains, whose number grows as a power of the
//! number of stages.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::endpoint::RouteStage;
use crate::ids::{DomainName, EndpointName, LayerIndex};
use crate::link::LinkTable;

/// How a chain is chosen. All but the first policy are baselines for benchmarks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChainPolicy {
    /// The chain with the least total cost of stages and links. For each layer range and failure
    /// domain, only the cheaper of two random endpoints is considered.
    #[default]
    LeastCost,
    /// A random endpoint for each stage.
    Random,
    /// The endpoints of each stage in rotation.
    RoundRobin,
    /// The endpoint with the fewest requests in flight from this router.
    LeastInFlight,
    /// The less loaded of two random endpoints for each stage.
    TwoChoices,
}

/// An endpoint that is eligible to run a stage.
#[derive(Clone, Debug)]
pub struct StageCandidate {
    /// Name of the endpoint.
    pub endpoint: EndpointName,
    /// IP address and port.
    pub address: Box<str>,
    /// Failure domain that the endpoint is in.
    pub domain: DomainName,
    /// First layer that the endpoint reports.
    pub first_layer: LayerIndex,
    /// Last layer that the endpoint reports.
    pub last_layer: LayerIndex,
    /// Expected processing time of one token, in seconds.
    pub token_seconds: f64,
    /// Seconds added to the cost to make the choice less likely; negative to make it more likely.
    pub penalty: f64,
    /// Requests in flight from this router.
    pub in_flight: u32,
    /// Requests of all routers at the endpoint, as far as known.
    pub load: f64,
}

/// A chain of stages that covers every layer once.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedChain {
    /// Stages in the order of their layers.
    pub stages: Vec<RouteStage>,
    /// Failure domain of each stage.
    pub domains: Vec<DomainName>,
    /// Expected time of one token through the whole chain.
    pub token_time: Duration,
}

impl PlannedChain {
    /// Hops of one token as pairs of failure domains: from each stage to the next, and from the
    /// last stage back to the first. A chain of one stage has none.
    pub(crate) fn hops(&self) -> impl Iterator<Item = (&str, &str)> {
        let hops = if self.domains.len() > 1 { self.domains.len() } else { 0 };
        let next = self.domains.iter().cycle().skip(1);
        self.domains.iter().zip(next).take(hops).map(|(from, to)| (&**from, &**to))
    }
}

/// Options of a [`ChainPlanner`].
#[derive(Clone, Debug)]
pub struct PlannerOptions {
    /// Policy by which chains are chosen.
    pub policy: ChainPolicy,
    /// Seed of the random choices; each host uses a different one.
    pub seed: u64,
    /// Largest random addition to the cost of a stage, as a fraction of its token time. It makes
    /// routers with the same view choose at random among chains of nearly equal cost.
    pub cost_jitter: f64,
}

impl Default for PlannerOptions {
    fn default() -> Self {
        Self { policy: ChainPolicy::LeastCost, seed: 0, cost_jitter: 0.2 }
    }
}

/// Chooses chains. Its random numbers keep routers with the same view from all sending their
/// requests to the same endpoints.
pub struct ChainPlanner {
    policy: ChainPolicy,
    cost_jitter: f64,
    rng: ChaCha8Rng,
    rotation: usize,
}

/// The cheapest partial chain found so far that ends with `candidate`.
#[derive(Clone, Copy)]
struct PartialChain<'a> {
    cost: f64,
    candidate: &'a StageCandidate,
    /// Index of the partial chain that this one extends; `None` at the first stage.
    previous: Option<usize>,
}

/// A sampled candidate with its cost, including the random addition.
#[derive(Clone, Copy)]
struct SampledStage<'a> {
    candidate: &'a StageCandidate,
    cost: f64,
}

impl ChainPlanner {
    /// Creates a planner whose choices depend only on the seed and on the sequence of its calls.
    pub fn new(options: PlannerOptions) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(options.seed);
        Self { policy: options.policy, cost_jitter: options.cost_jitter, rng, rotation: 0 }
    }

    /// Chooses a chain over layers 0 to `layers - 1`; `None` if the candidates don't cover them.
    ///
    /// ```
    /// use jacinthrock::{ChainPlanner, LinkTable, PlannerOptions};
    ///
    /// let mut planner = ChainPlanner::new(PlannerOptions::default());
    /// assert_eq!(planner.plan(24, &[], &LinkTable::default()), None);
    /// ```
    pub fn plan(
        &mut self,
        layers: LayerIndex,
        candidates: &[StageCandidate],
        links: &LinkTable,
    ) -> Option<PlannedChain> {
        if self.policy == ChainPolicy::LeastCost {
            let sampled = self.sample_candidates(candidates);
            return cheapest_chain(layers, &sampled, links);
        }
        self.plan_greedily(layers, candidates, links)
    }

    /// A random factor from 0.5 to 1.5 that spreads events which would otherwise coincide.
    pub(crate) fn jitter(&mut self) -> f64 {
        self.rng.random_range(0.5..1.5)
    }

    /// A random index below `bound`, which must not be 0.
    pub(crate) fn random_index(&mut self, bound: usize) -> usize {
        self.rng.random_range(0..bound)
    }

    /// Samples the cheaper of two random endpoints for each layer range and failure domain.
    fn sample_candidates<'a>(&mut self, candidates: &'a [StageCandidate]) -> Vec<SampledStage<'a>> {
        let mut groups: BTreeMap<(LayerIndex, LayerIndex, &str), Vec<&StageCandidate>> =
            BTreeMap::new();
        for candidate in candidates {
            let key = (candidate.first_layer, candidate.last_layer, &*candidate.domain);
            groups.entry(key).or_default().push(candidate);
        }
        let mut sampled = Vec::with_capacity(groups.len());
        for group in groups.into_values() {
            let candidate = self.cheaper_of_two(&group, stage_cost);
            let jitter = candidate.token_seconds * self.cost_jitter * self.rng.random::<f64>();
            sampled.push(SampledStage { candidate, cost: stage_cost(candidate) + jitter });
        }
        sampled
    }

    fn cheaper_of_two<'a>(
        &mut self,
        group: &[&'a StageCandidate],
        cost: impl Fn(&StageCandidate) -> f64,
    ) -> &'a StageCandidate {
        let first = self.rng.random_range(0..group.len());
        if group.len() == 1 {
            return group[first];
        }
        let step = self.rng.random_range(1..group.len());
        let second = (first + step) % group.len();
        if cost(group[second]) < cost(group[first]) { group[second] } else { group[first] }
    }

    /// Chooses the stages one by one in layer order, for the baseline policies.
    fn plan_greedily(
        &mut self,
        layers: LayerIndex,
        candidates: &[StageCandidate],
        links: &LinkTable,
    ) -> Option<PlannedChain> {
        let completable = completable_boundaries(layers, candidates);
        let mut chain: Vec<&StageCandidate> = Vec::new();
        let mut boundary = 0;
        self.rotation = self.rotation.wrapping_add(1);
        while boundary < layers {
            let is_eligible = |candidate: &&StageCandidate| {
                candidate.first_layer == boundary
                    && completable.contains(&(candidate.last_layer + 1))
            };
            let mut options: Vec<_> = candidates.iter().filter(is_eligible).collect();
            let lowest = options.iter().map(|option| option.penalty).reduce(f64::min)?;
            options.retain(|option| option.penalty <= lowest);
            let chosen = self.choose_stage(&options);
            boundary = chosen.last_layer + 1;
            chain.push(chosen);
        }
        Some(planned_chain(&chain, links))
    }

    fn choose_stage<'a>(&mut self, options: &[&'a StageCandidate]) -> &'a StageCandidate {
        match self.policy {
            ChainPolicy::RoundRobin => options[self.rotation % options.len()],
            ChainPolicy::LeastInFlight => {
                let start = self.rng.random_range(0..options.len());
                let rotated = options[start..].iter().chain(&options[..start]);
                rotated.min_by_key(|option| option.in_flight).expect("options are not empty")
            }
            ChainPolicy::TwoChoices => self.cheaper_of_two(options, |option| option.load),
            _ => options[self.rng.random_range(0..options.len())],
        }
    }
}

fn stage_cost(candidate: &StageCandidate) -> f64 {
    candidate.token_seconds + candidate.penalty
}

/// Layer boundaries from which the candidates can cover all remaining layers.
fn completable_boundaries(
    layers: LayerIndex,
    candidates: &[StageCandidate],
) -> BTreeSet<LayerIndex> {
    let mut completable = BTreeSet::from([layers]);
    let mut ordered: Vec<_> = candidates.iter().collect();
    ordered.sort_by_key(|candidate| std::cmp::Reverse(candidate.first_layer));
    for candidate in ordered {
        if completable.contains(&(candidate.last_layer + 1)) {
            completable.insert(candidate.first_layer);
        }
    }
    completable
}

/// The chain with the cheapest cycle, which is the path of one token: through all stages and from
/// the last one back to the first.
fn cheapest_chain(
    layers: LayerIndex,
    sampled: &[SampledStage<'_>],
    links: &LinkTable,
) -> Option<PlannedChain> {
    let matrix = LinkMatrix::new(sampled, links);
    let mut ordered = sampled.to_vec();
    ordered.sort_by_key(|stage| stage.candidate.first_layer);
    let cycles = (0..matrix.names.len())
        .filter_map(|start| cheapest_cycle(layers, &ordered, &matrix, start));
    let (_, chain) = cycles.min_by(|left, right| left.0.total_cmp(&right.0))?;
    Some(planned_chain(&chain, links))
}

/// Link times in seconds between the failure domains of the candidates, by domain index.
struct LinkMatrix<'a> {
    names: Vec<&'a str>,
    seconds: Vec<Vec<f64>>,
}

impl<'a> LinkMatrix<'a> {
    fn new(sampled: &[SampledStage<'a>], links: &LinkTable) -> Self {
        let names: BTreeSet<&str> = sampled.iter().map(|stage| &*stage.candidate.domain).collect();
        let names: Vec<&str> = names.into_iter().collect();
        let row = |from: &&str| names.iter().map(|to| links.seconds(from, to)).collect();
        let seconds = names.iter().map(row).collect();
        Self { names, seconds }
    }

    fn index(&self, domain: &str) -> usize {
        self.names.binary_search(&domain).expect("the matrix has every candidate's domain")
    }
}

/// The cheapest chain that starts in failure domain `start`, with the cost of its cycle.
fn cheapest_cycle<'a>(
    layers: LayerIndex,
    ordered: &[SampledStage<'a>],
    matrix: &LinkMatrix<'a>,
    start: usize,
) -> Option<(f64, Vec<&'a StageCandidate>)> {
    let mut partials: Vec<PartialChain> = Vec::with_capacity(ordered.len());
    let mut best: Vec<Vec<Option<usize>>> =
        vec![vec![None; matrix.names.len()]; usize::from(layers) + 1];
    for stage in ordered {
        let candidate = stage.candidate;
        let (first, last) = (candidate.first_layer, candidate.last_layer);
        if last < first || last >= layers {
            continue;
        }
        let domain = matrix.index(&candidate.domain);
        let Some(mut partial) =
            extend_to(stage, domain, start, &partials, &best[usize::from(first)], matrix)
        else {
            continue;
        };
        if last + 1 == layers && first > 0 {
            partial.cost += matrix.seconds[domain][start];
        }
        let entry = &mut best[usize::from(last) + 1][domain];
        if entry.is_none_or(|other| partial.cost < partials[other].cost) {
            *entry = Some(partials.len());
            partials.push(partial);
        }
    }
    let ends = best[usize::from(layers)].iter().flatten();
    let end =
        ends.min_by(|left, right| partials[**left].cost.total_cmp(&partials[**right].cost))?;
    Some((partials[*end].cost, backtrack(&partials, *end)))
}

/// The cheapest partial chain that ends with `stage`, over the partial chains in `before`, which
/// end at its first layer.
fn extend_to<'a>(
    stage: &SampledStage<'a>,
    domain: usize,
    start: usize,
    partials: &[PartialChain<'a>],
    before: &[Option<usize>],
    matrix: &LinkMatrix<'_>,
) -> Option<PartialChain<'a>> {
    let SampledStage { candidate, cost: own_cost } = *stage;
    if candidate.first_layer == 0 {
        return (domain == start).then_some(PartialChain {
            cost: own_cost,
            candidate,
            previous: None,
        });
    }
    let extensions = before.iter().enumerate().filter_map(|(from, index)| {
        let previous = (*index)?;
        let cost = partials[previous].cost + matrix.seconds[from][domain] + own_cost;
        Some(PartialChain { cost, candidate, previous: Some(previous) })
    });
    extensions.min_by(|left, right| left.cost.total_cmp(&right.cost))
}

fn backtrack<'a>(partials: &[PartialChain<'a>], end: usize) -> Vec<&'a StageCandidate> {
    let mut chain = Vec::new();
    let mut next = Some(end);
    while let Some(index) = next {
        chain.push(partials[index].candidate);
        next = partials[index].previous;
    }
    chain.reverse();
    chain
}

fn planned_chain(chain: &[&StageCandidate], links: &LinkTable) -> PlannedChain {
    let stages = chain.iter().map(|candidate| RouteStage {
        endpoint: candidate.endpoint.clone(),
        address: candidate.address.clone(),
        first_layer: candidate.first_layer,
        last_layer: candidate.last_layer,
    });
    let mut planned = PlannedChain {
        stages: stages.collect(),
        domains: chain.iter().map(|candidate| candidate.domain.clone()).collect(),
        token_time: Duration::ZERO,
    };
    let hops: f64 = planned.hops().map(|(from, to)| links.seconds(from, to)).sum();
    let seconds = hops + chain.iter().map(|candidate| candidate.token_seconds).sum::<f64>();
    planned.token_time = Duration::from_secs_f64(seconds.clamp(0.0, 3600.0));
    planned
}
