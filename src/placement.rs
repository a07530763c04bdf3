//! Placement of models: which engine holds which layers.

use std::collections::{BTreeMap, BTreeSet};

use crate::declaration::{EndpointDeclaration, ModelDeclaration};
use crate::effective::{EffectiveConfig, ServiceTarget};
use crate::endpoint::EngineStatus;
use crate::ids::{EndpointName, LayerIndex, ServiceName};

/// Layers of one stage, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LayerRange {
    /// First layer.
    pub first: LayerIndex,
    /// Last layer.
    pub last: LayerIndex,
}

/// What an engine should hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DesiredEngine {
    /// Declaration of the engine.
    pub endpoint: EndpointDeclaration,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Name of the model.
    pub model: Box<str>,
    /// Version of the model.
    pub version: Box<str>,
    /// Layers.
    pub range: LayerRange,
    /// Whether to refuse new work.
    pub leaving: bool,
}

/// What every engine should hold, and what no engine is left for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlacementPlan {
    /// Desired state of each engine.
    pub engines: BTreeMap<EndpointName, DesiredEngine>,
    /// Layers of services that no engine is left for.
    pub uncovered: BTreeSet<(ServiceName, LayerRange)>,
}

/// What is known about the engines.
#[derive(Clone, Debug, Default)]
pub struct EngineSnapshot {
    /// Last state of each engine that was heard lately.
    pub statuses: BTreeMap<EndpointName, EngineStatus>,
    /// Engines that did not answer lately.
    pub lost: BTreeSet<EndpointName>,
    /// Engines that are leaving.
    pub leaving: BTreeSet<EndpointName>,
}

/// Splits the layers of a model into as many ranges as it has stages.
///
/// ```
/// use jacinthrock::stage_ranges;
///
/// let ranges = stage_ranges(10, 3);
/// assert_eq!(ranges.iter().map(|range| range.first).collect::<Vec<_>>(), [0, 3, 6]);
/// assert_eq!(ranges.last().map(|range| range.last), Some(9));
/// ```
pub fn stage_ranges(layers: LayerIndex, stages: u16) -> Vec<LayerRange> {
    let stages = u32::from(stages.clamp(1, layers.max(1)));
    let layers = u32::from(layers);
    let edge = |stage: u32| (stage * layers / stages) as LayerIndex;
    (0..stages)
        .map(|stage| LayerRange { first: edge(stage), last: edge(stage + 1).saturating_sub(1) })
        .collect()
}

/// Computes what every engine should hold.
///
/// An engine that holds a wanted range keeps it unless another range has too few engines.
pub fn plan_placement(config: &EffectiveConfig, snapshot: &EngineSnapshot) -> PlacementPlan {
    let mut plan = PlacementPlan::default();
    for service in config.services.values() {
        if let ServiceTarget::Model(model) = &service.target {
            ServicePlacement::new(&service.name, model, snapshot).plan_placement(&mut plan);
        }
    }
    plan
}

struct ServicePlacement<'a> {
    service: &'a ServiceName,
    model: &'a ModelDeclaration,
    snapshot: &'a EngineSnapshot,
    ranges: Vec<LayerRange>,
    members: Vec<Vec<&'a EndpointDeclaration>>,
}

impl<'a> ServicePlacement<'a> {
    fn new(
        service: &'a ServiceName,
        model: &'a ModelDeclaration,
        snapshot: &'a EngineSnapshot,
    ) -> Self {
        let ranges = stage_ranges(model.layers, model.stages);
        let members = vec![Vec::new(); ranges.len()];
        Self { service, model, snapshot, ranges, members }
    }

    fn plan_placement(mut self, plan: &mut PlacementPlan) {
        let mut free = Vec::new();
        for endpoint in &self.model.endpoints {
            if self.snapshot.leaving.contains(&endpoint.name) {
                self.plan_leaving(endpoint, plan);
                continue;
            }
            if self.snapshot.lost.contains(&endpoint.name) {
                continue;
            }
            match self.held_stage(endpoint) {
                Some(stage) => self.members[stage].push(endpoint),
                None => free.push(endpoint),
            }
        }
        self.assign_free(free);
        self.level();
        self.plan_members(plan);
    }

    /// The stage whose range the engine holds already.
    fn held_stage(&self, endpoint: &EndpointDeclaration) -> Option<usize> {
        let status = self.snapshot.statuses.get(&endpoint.name)?;
        if status.model != self.model.name {
            return None;
        }
        let held = LayerRange { first: status.first_layer, last: status.last_layer };
        self.ranges.iter().position(|range| *range == held)
    }

    fn assign_free(&mut self, mut free: Vec<&'a EndpointDeclaration>) {
        while !free.is_empty() {
            let stage = self.smallest_stage();
            let best = self.best_for(stage, &free);
            self.members[stage].push(free.remove(best));
        }
    }

    /// Moves engines from the largest stage while the smallest has two fewer.
    fn level(&mut self) {
        loop {
            let (smallest, largest) = (self.smallest_stage(), self.largest_stage());
            if self.members[smallest].len() + 2 > self.members[largest].len() {
                return;
            }
            let best = self.best_for(smallest, &self.members[largest]);
            let moved = self.members[largest].remove(best);
            self.members[smallest].push(moved);
        }
    }

    fn smallest_stage(&self) -> usize {
        let sizes = self.members.iter().map(Vec::len).enumerate();
        sizes.min_by_key(|(_, size)| *size).map_or(0, |(stage, _)| stage)
    }

    fn largest_stage(&self) -> usize {
        let sizes = self.members.iter().map(Vec::len).enumerate();
        sizes.max_by_key(|(_, size)| *size).map_or(0, |(stage, _)| stage)
    }

    /// The candidate whose failure domain, then accelerator kind, the stage has least of.
    fn best_for(&self, stage: usize, candidates: &[&'a EndpointDeclaration]) -> usize {
        let members = &self.members[stage];
        let crowding = |candidate: &EndpointDeclaration| {
            let domain = members.iter().filter(|member| member.domain == candidate.domain).count();
            let same_kind =
                |member: &&&EndpointDeclaration| member.accelerator == candidate.accelerator;
            (domain, members.iter().filter(same_kind).count(), candidate.name.clone())
        };
        let best = candidates.iter().enumerate().min_by_key(|(_, candidate)| crowding(candidate));
        best.map_or(0, |(index, _)| index)
    }

    fn plan_members(&self, plan: &mut PlacementPlan) {
        for (members, range) in self.members.iter().zip(&self.ranges) {
            if members.is_empty() {
                plan.uncovered.insert((self.service.clone(), *range));
            }
            for endpoint in members {
                let engine = self.desired(endpoint, &self.model.version, *range, false);
                plan.engines.insert(endpoint.name.clone(), engine);
            }
        }
    }

    /// A leaving engine keeps what it holds, so that its work in flight can finish.
    fn plan_leaving(&self, endpoint: &EndpointDeclaration, plan: &mut PlacementPlan) {
        let Some(status) = self.snapshot.statuses.get(&endpoint.name) else {
            return;
        };
        let range = LayerRange { first: status.first_layer, last: status.last_layer };
        let mut engine = self.desired(endpoint, &status.version, range, true);
        engine.model = status.model.clone();
        plan.engines.insert(endpoint.name.clone(), engine);
    }

    fn desired(
        &self,
        endpoint: &EndpointDeclaration,
        version: &str,
        range: LayerRange,
        leaving: bool,
    ) -> DesiredEngine {
        DesiredEngine {
            endpoint: endpoint.clone(),
            service: self.service.clone(),
            model: self.model.name.clone(),
            version: version.into(),
            range,
            leaving,
        }
    }
}
