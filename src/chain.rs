//! Choice of a chain: endpoints whose layer ranges cover the model once, in order, at least cost.
//!
//! The planner draws one endpoint for each pair of layer range and failure domain. For each
//! failure domain in which a chain may start, it walks the layer boundaries in order and keeps,
//! for each pair of boundary and failure domain, the cheapest way to reach it. With N endpoints
//! of a model, R layer ranges and D failure domains a choice takes O(N log N + R * D^3) steps;
//! the number of chains, which grows as a power of the number of stages, plays no part.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::endpoint::RouteStage;
use crate::ids::{DomainName, EndpointName, LayerIndex};
use crate::link::LinkTable;

/// How a chain is chosen; all but the first are baselines for measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChainPolicy {
    /// Least cost over stages and links, of two random endpoints for each range and domain.
    #[default]
    LeastCost,
    /// A random endpoint at each boundary.
    Random,
    /// The endpoints of each boundary in turn.
    RoundRobin,
    /// The endpoint with the fewest requests of this router in flight.
    LeastInFlight,
    /// The less loaded of two random endpoints.
    TwoChoices,
}

/// An endpoint that may serve as a stage.
#[derive(Clone, Debug)]
pub struct StageCandidate {
    /// Name of the endpoint.
    pub endpoint: EndpointName,
    /// IP address and port.
    pub address: Box<str>,
    /// Failure domain that the endpoint is in.
    pub domain: DomainName,
    /// First layer that it reports.
    pub first_layer: LayerIndex,
    /// Last layer that it reports.
    pub last_layer: LayerIndex,
    /// Seconds that a token is expected to take in it.
    pub seconds: f64,
    /// Seconds added to the cost to steer away from it.
    pub penalty: f64,
    /// Requests of this router in flight at it.
    pub in_flight: u32,
    /// Requests of all routers at it, as far as known.
    pub load: f64,
}

/// A chain that covers every layer once.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedChain {
    /// Stages in the order of their layers.
    pub stages: Vec<RouteStage>,
    /// Failure domains of the stages.
    pub domains: Vec<DomainName>,
    /// Time that a token is expected to take through the chain.
    pub token_time: Duration,
}

impl PlannedChain {
    /// Failure domains of the hops of one token: from stage to stage, and back to the first.
    pub(crate) fn hops(&self) -> impl Iterator<Item = (&str, &str)> {
        let hops = if self.domains.len() > 1 { self.domains.len() } else { 0 };
        let next = self.domains.iter().cycle().skip(1);
        self.domains.iter().zip(next).take(hops).map(|(from, to)| (&**from, &**to))
    }
}

/// Options of a planner.
#[derive(Clone, Debug)]
pub struct PlannerOptions {
    /// How chains are chosen.
    pub policy: ChainPolicy,
    /// Seed of the random choices; differs on each host.
    pub seed: u64,
    /// Largest random part added to the cost of a stage, so that routers which know the same
    /// choose among near-equal chains at random.
    pub cost_jitter: f64,
}

impl Default for PlannerOptions {
    fn default() -> Self {
        Self { policy: ChainPolicy::LeastCost, seed: 0, cost_jitter: 0.2 }
    }
}

/// Chooses chains; holds the random numbers that keep routers from herding.
pub struct ChainPlanner {
    policy: ChainPolicy,
    cost_jitter: f64,
    rng: ChaCha8Rng,
    turn: usize,
}

#[derive(Clone, Copy)]
struct Reach<'a> {
    cost: f64,
    candidate: &'a StageCandidate,
    previous: Option<usize>,
}

/// A candidate with its cost, random part included.
#[derive(Clone, Copy)]
struct DrawnStage<'a> {
    candidate: &'a StageCandidate,
    cost: f64,
}

impl ChainPlanner {
    /// A planner whose choices depend only on the seed and on what it is asked.
    pub fn new(options: PlannerOptions) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(options.seed);
        Self { policy: options.policy, cost_jitter: options.cost_jitter, rng, turn: 0 }
    }

    /// Chooses a chain over layers 0 to `layers - 1`, or none where the candidates leave a gap.
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
            let drawn = self.draw_candidates(candidates);
            return cheapest_chain(layers, &drawn, links);
        }
        self.walk(layers, candidates, links)
    }

    /// A random factor from 0.5 to 1.5, to spread what would else come at once.
    pub(crate) fn jitter(&mut self) -> f64 {
        self.rng.random_range(0.5..1.5)
    }

    /// A random index below `options`, which is not 0.
    pub(crate) fn random_index(&mut self, options: usize) -> usize {
        self.rng.random_range(0..options)
    }

    /// Keeps the cheaper of two random endpoints for each range and failure domain.
    fn draw_candidates<'a>(&mut self, candidates: &'a [StageCandidate]) -> Vec<DrawnStage<'a>> {
        let mut groups: BTreeMap<(LayerIndex, LayerIndex, &str), Vec<&StageCandidate>> =
            BTreeMap::new();
        for candidate in candidates {
            let key = (candidate.first_layer, candidate.last_layer, &*candidate.domain);
            groups.entry(key).or_default().push(candidate);
        }
        let mut drawn = Vec::with_capacity(groups.len());
        for group in groups.into_values() {
            let candidate = self.better_of_two(&group, stage_cost);
            let extra = candidate.seconds * self.cost_jitter * self.rng.random::<f64>();
            drawn.push(DrawnStage { candidate, cost: stage_cost(candidate) + extra });
        }
        drawn
    }

    fn better_of_two<'a>(
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

    /// Chooses stage by stage, for the baselines.
    fn walk(
        &mut self,
        layers: LayerIndex,
        candidates: &[StageCandidate],
        links: &LinkTable,
    ) -> Option<PlannedChain> {
        let finishing = finishing_boundaries(layers, candidates);
        let mut chain: Vec<&StageCandidate> = Vec::new();
        let mut boundary = 0;
        self.turn = self.turn.wrapping_add(1);
        while boundary < layers {
            let fits = |candidate: &&StageCandidate| {
                candidate.first_layer == boundary && finishing.contains(&(candidate.last_layer + 1))
            };
            let mut options: Vec<_> = candidates.iter().filter(fits).collect();
            let lowest = options.iter().map(|option| option.penalty).reduce(f64::min)?;
            options.retain(|option| option.penalty <= lowest);
            let chosen = self.choose(&options);
            boundary = chosen.last_layer + 1;
            chain.push(chosen);
        }
        Some(planned(&chain, links))
    }

    fn choose<'a>(&mut self, options: &[&'a StageCandidate]) -> &'a StageCandidate {
        match self.policy {
            ChainPolicy::RoundRobin => options[self.turn % options.len()],
            ChainPolicy::LeastInFlight => {
                let start = self.rng.random_range(0..options.len());
                let rotated = options[start..].iter().chain(&options[..start]);
                rotated.min_by_key(|option| option.in_flight).expect("options are not empty")
            }
            ChainPolicy::TwoChoices => self.better_of_two(options, |option| option.load),
            _ => options[self.rng.random_range(0..options.len())],
        }
    }
}

fn stage_cost(candidate: &StageCandidate) -> f64 {
    candidate.seconds + candidate.penalty
}

fn finishing_boundaries(layers: LayerIndex, candidates: &[StageCandidate]) -> BTreeSet<LayerIndex> {
    let mut finishing = BTreeSet::from([layers]);
    let mut ordered: Vec<_> = candidates.iter().collect();
    ordered.sort_by_key(|candidate| std::cmp::Reverse(candidate.first_layer));
    for candidate in ordered {
        if finishing.contains(&(candidate.last_layer + 1)) {
            finishing.insert(candidate.first_layer);
        }
    }
    finishing
}

/// The cheapest cycle through a chain: from the first stage to the last, and back to the first
/// with the token.
fn cheapest_chain(
    layers: LayerIndex,
    drawn: &[DrawnStage<'_>],
    links: &LinkTable,
) -> Option<PlannedChain> {
    let map = DomainMap::new(drawn, links);
    let mut ordered = drawn.to_vec();
    ordered.sort_by_key(|stage| stage.candidate.first_layer);
    let cycles =
        (0..map.names.len()).filter_map(|home| cheapest_cycle(layers, &ordered, &map, home));
    let (_, chain) = cycles.min_by(|left, right| left.0.total_cmp(&right.0))?;
    Some(planned(&chain, links))
}

/// Failure domains by index, with the seconds of the links between them.
struct DomainMap<'a> {
    names: Vec<&'a str>,
    seconds: Vec<Vec<f64>>,
}

impl<'a> DomainMap<'a> {
    fn new(drawn: &[DrawnStage<'a>], links: &LinkTable) -> Self {
        let names: BTreeSet<&str> = drawn.iter().map(|stage| &*stage.candidate.domain).collect();
        let names: Vec<&str> = names.into_iter().collect();
        let row = |from: &&str| names.iter().map(|to| links.seconds(from, to)).collect();
        let seconds = names.iter().map(row).collect();
        Self { names, seconds }
    }

    fn index(&self, domain: &str) -> usize {
        self.names.binary_search(&domain).expect("every candidate's domain is in the map")
    }
}

/// The cheapest cycle that starts in one failure domain, with its cost.
fn cheapest_cycle<'a>(
    layers: LayerIndex,
    ordered: &[DrawnStage<'a>],
    map: &DomainMap<'a>,
    home: usize,
) -> Option<(f64, Vec<&'a StageCandidate>)> {
    let mut reaches: Vec<Reach> = Vec::with_capacity(ordered.len());
    let mut best: Vec<Vec<Option<usize>>> =
        vec![vec![None; map.names.len()]; usize::from(layers) + 1];
    for stage in ordered {
        let candidate = stage.candidate;
        let (first, last) = (candidate.first_layer, candidate.last_layer);
        if last < first || last >= layers {
            continue;
        }
        let domain = map.index(&candidate.domain);
        let Some(mut reach) = extend(stage, domain, home, &reaches, &best[usize::from(first)], map)
        else {
            continue;
        };
        if last + 1 == layers && first > 0 {
            reach.cost += map.seconds[domain][home];
        }
        let slot = &mut best[usize::from(last) + 1][domain];
        if slot.is_none_or(|other| reach.cost < reaches[other].cost) {
            *slot = Some(reaches.len());
            reaches.push(reach);
        }
    }
    let ends = best[usize::from(layers)].iter().flatten();
    let end = ends.min_by(|left, right| reaches[**left].cost.total_cmp(&reaches[**right].cost))?;
    Some((reaches[*end].cost, backtrack(&reaches, *end)))
}

/// The cheapest way to a stage, over the failure domains that reach its first layer.
fn extend<'a>(
    stage: &DrawnStage<'a>,
    domain: usize,
    home: usize,
    reaches: &[Reach<'a>],
    before: &[Option<usize>],
    map: &DomainMap<'_>,
) -> Option<Reach<'a>> {
    let DrawnStage { candidate, cost: own } = *stage;
    if candidate.first_layer == 0 {
        return (domain == home).then_some(Reach { cost: own, candidate, previous: None });
    }
    let ways = before.iter().enumerate().filter_map(|(from, index)| {
        let previous = (*index)?;
        let cost = reaches[previous].cost + map.seconds[from][domain] + own;
        Some(Reach { cost, candidate, previous: Some(previous) })
    });
    ways.min_by(|left, right| left.cost.total_cmp(&right.cost))
}

fn backtrack<'a>(reaches: &[Reach<'a>], end: usize) -> Vec<&'a StageCandidate> {
    let mut chain = Vec::new();
    let mut next = Some(end);
    while let Some(index) = next {
        chain.push(reaches[index].candidate);
        next = reaches[index].previous;
    }
    chain.reverse();
    chain
}

fn planned(chain: &[&StageCandidate], links: &LinkTable) -> PlannedChain {
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
    let seconds = hops + chain.iter().map(|candidate| candidate.seconds).sum::<f64>();
    planned.token_time = Duration::from_secs_f64(seconds.clamp(0.0, 3600.0));
    planned
}
