//! Upper bound on the steady token rate through the chains, from the rates of engines and links.

use jacinthrock::DomainName;
use std::collections::{BTreeMap, VecDeque};

use crate::fake_engine::{EngineSpec, LinkSpec};

/// Residual capacity at or below which an edge counts as saturated, in tokens per second.
const MIN_FLOW_TOKENS_PER_S: f64 = 1e-6;

/// Node of the flow network.
///
/// Each engine is two nodes with an edge between them, which limits the engine's rate. The nodes
/// at a layer boundary carry the domain that tokens come from or go to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FlowNode {
    Source,
    /// Index of the engine, and whether this is its output side.
    Engine(usize, bool),
    /// First layer after the boundary, the domain, and whether tokens enter the domain here.
    Boundary(u16, DomainName, bool),
    Sink,
}

/// Tokens per second that the engines and links can carry at most, computed as a maximum flow.
///
/// Each engine runs one batch per step, and a link carries one token at a time. Links that are not
/// listed have unlimited capacity.
pub fn token_bound(
    specs: &[EngineSpec],
    links: &BTreeMap<(DomainName, DomainName), LinkSpec>,
    layers: u16,
) -> f64 {
    let mut capacities = engine_capacities(specs, layers);
    add_link_capacities(specs, links, &mut capacities);
    let mut total = 0.0;
    while let Some(path) = shortest_path(&capacities) {
        let residual = path.windows(2).map(|hop| capacities[&hop[0]][&hop[1]]);
        let flow = residual.fold(f64::INFINITY, f64::min);
        for hop in path.windows(2) {
            *edge(&mut capacities, &hop[0], &hop[1]) -= flow;
            *edge(&mut capacities, &hop[1], &hop[0]) += flow;
        }
        total += flow;
    }
    total
}

/// Residual capacity of each edge, in tokens per second.
type Capacities = BTreeMap<FlowNode, BTreeMap<FlowNode, f64>>;

fn edge<'a>(capacities: &'a mut Capacities, from: &FlowNode, to: &FlowNode) -> &'a mut f64 {
    capacities.entry(from.clone()).or_default().entry(to.clone()).or_default()
}

fn engine_capacities(specs: &[EngineSpec], layers: u16) -> Capacities {
    let mut capacities = Capacities::new();
    for (index, spec) in specs.iter().enumerate() {
        let rate = spec.batch as f64 / spec.step_time.as_secs_f64();
        let (input, output) = (FlowNode::Engine(index, false), FlowNode::Engine(index, true));
        *edge(&mut capacities, &input, &output) = rate;
        let before = match spec.first_layer {
            0 => FlowNode::Source,
            first => FlowNode::Boundary(first, spec.domain.clone(), true),
        };
        let after = match spec.last_layer + 1 {
            end if end == layers => FlowNode::Sink,
            end => FlowNode::Boundary(end, spec.domain.clone(), false),
        };
        *edge(&mut capacities, &before, &input) = f64::INFINITY;
        *edge(&mut capacities, &output, &after) = f64::INFINITY;
    }
    capacities
}

fn add_link_capacities(
    specs: &[EngineSpec],
    links: &BTreeMap<(DomainName, DomainName), LinkSpec>,
    capacities: &mut Capacities,
) {
    for from in specs {
        for to in specs.iter().filter(|to| to.first_layer == from.last_layer + 1) {
            let link = links.get(&(from.domain.clone(), to.domain.clone()));
            let rate = link.map_or(f64::INFINITY, |link| 1.0 / link.token_time.as_secs_f64());
            let output = FlowNode::Boundary(to.first_layer, from.domain.clone(), false);
            let input = FlowNode::Boundary(to.first_layer, to.domain.clone(), true);
            *edge(capacities, &output, &input) = rate;
        }
    }
}

/// Shortest path with residual capacity from source to sink, by breadth-first search.
fn shortest_path(capacities: &Capacities) -> Option<Vec<FlowNode>> {
    let mut previous: BTreeMap<FlowNode, FlowNode> = BTreeMap::new();
    let mut frontier = VecDeque::from([FlowNode::Source]);
    while let Some(node) = frontier.pop_front() {
        if node == FlowNode::Sink {
            return Some(trace_back(&previous));
        }
        for (next, residual) in capacities.get(&node).into_iter().flatten() {
            if *residual > MIN_FLOW_TOKENS_PER_S
                && *next != FlowNode::Source
                && !previous.contains_key(next)
            {
                previous.insert(next.clone(), node.clone());
                frontier.push_back(next.clone());
            }
        }
    }
    None
}

fn trace_back(previous: &BTreeMap<FlowNode, FlowNode>) -> Vec<FlowNode> {
    let mut path = vec![FlowNode::Sink];
    while let Some(node) = previous.get(path.last().expect("the path is not empty")) {
        path.push(node.clone());
    }
    path.reverse();
    path
}
