//! Placement of models: which engine should hold which layers.

use std::collections::{BTreeMap, BTreeSet};

use crate::declaration::{EndpointDeclaration, ModelDeclaration};
use crate::effective::{EffectiveConfig, ServiceTarget};
use crate::endpoint::EngineStatus;
use crate::ids::{EndpointName, LayerIndex, ServiceName};

/// Layer range of one stage; both ends are inclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LayerRange {
    /// First layer.
    pub first: LayerIndex,
    /// Last layer.
    pub last: LayerIndex,
}

/// Desired state of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DesiredEngine {
    /// Declaration of the engine.
    pub endpoint: EndpointDeclaration,
    /// Service that the engine belongs to.
    pub service: ServiceName,
    /// Name of the model to hold.
    pub model: Box<str>,
    /// Version of the model to hold.
    pub version: Box<str>,
    /// Layers to hold.
    pub range: LayerRange,
    /// Whether to refuse new work.
    pub leaving: bool,
}

/// Desired state of every engine, and the layers that no engine is available for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlacementPlan {
    /// Desired state of each engine.
    pub engines: BTreeMap<EndpointName, DesiredEngine>,
    /// Layer ranges of services that no engine is available for.
    pub uncovered: BTreeSet<(ServiceName, LayerRange)>,
}

/// Known state of the engines.
#[derive(Clone, Debug, Default)]
pub struct EngineSnapshot {
    /// Last status of each engine that answered recently.
    pub statuses: BTreeMap<EndpointName, EngineStatus>,
    /// Engines that have not answered recently.
    pub lost: BTreeSet<EndpointName>,
    /// Engines that are leaving.
    pub leaving: BTreeSet<EndpointName>,
}

/// Splits the layers of a model into one contiguous range for each stage, of nearly equal size.
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
    let boundary = |stage: u32| (stage * layers / stages) as LayerIndex;
    (0..stages)
        .map(|stage| LayerRange {
            first: boundary(stage),
            last: boundary(stage + 1).saturating_sub(1),
        })
        .collect()
}

/// Computes the desired state of every engine.
///
/// An engine that already holds the range of a stage keeps it, unless another stage has at least
/// two engines fewer.
pub fn plan_placement(config: &EffectiveConfig, snapshot: &EngineSnapshot) -> PlacementPlan {
    let mut plan = PlacementPlan::default();
    for service in config.services.values() {
        if let ServiceTarget::Model(model) = &service.target {
            ServicePlacement::new(&service.name, model, snapshot).plan_engines(&mut plan);
        }
    }
    plan
}

/// Placement of one service while it is computed.
struct ServicePlacement<'a> {
    service: &'a ServiceName,
    model: &'a ModelDeclaration,
    snapshot: &'a EngineSnapshot,
    ranges: Vec<LayerRange>,
    stage_engines: Vec<Vec<&'a EndpointDeclaration>>,
}

impl<'a> ServicePlacement<'a> {
    fn new(
        service: &'a ServiceName,
        model: &'a ModelDeclaration,
        snapshot: &'a EngineSnapshot,
    ) -> Self {
        let ranges = stage_ranges(model.layers, model.stages);
        let stage_engines = vec![Vec::new(); ranges.len()];
        Self { service, model, snapshot, ranges, stage_engines }
    }

    fn plan_engines(mut self, plan: &mut PlacementPlan) {
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
                Some(stage) => self.stage_engines[stage].push(endpoint),
                None => free.push(endpoint),
            }
        }
        self.assign_free(free);
        self.rebalance();
        self.plan_stage_engines(plan);
    }

    /// Index of the stage whose layer range the engine already holds.
    fn held_stage(&self, endpoint: &EndpointDeclaration) -> Option<usize> {
        let status = self.snapshot.statuses.get(&endpoint.name)?;
        if status.model != self.model.name {
            return None;
        }
        let held = LayerRange { first: status.first_layer, last: status.last_layer };
        self.ranges.iter().position(|range| *range == held)
    }

    /// Assigns each free engine to the stage that has the fewest engines.
    fn assign_free(&mut self, mut free: Vec<&'a EndpointDeclaration>) {
        while !free.is_empty() {
            let stage = self.smallest_stage();
            let best = self.best_candidate(stage, &free);
            self.stage_engines[stage].push(free.remove(best));
        }
    }

    /// Moves engines from the largest to the smallest stage until both differ by at most one.
    fn rebalance(&mut self) {
        loop {
            let (smallest, largest) = (self.smallest_stage(), self.largest_stage());
            if self.stage_engines[smallest].len() + 2 > self.stage_engines[largest].len() {
                return;
            }
            let best = self.best_candidate(smallest, &self.stage_engines[largest]);
            let moved = self.stage_engines[largest].remove(best);
            self.stage_engines[smallest].push(moved);
        }
    }

    fn smallest_stage(&self) -> usize {
        let sizes = self.stage_engines.iter().map(Vec::len).enumerate();
        sizes.min_by_key(|(_, size)| *size).map_or(0, |(stage, _)| stage)
    }

    fn largest_stage(&self) -> usize {
        let sizes = self.stage_engines.iter().map(Vec::len).enumerate();
        sizes.max_by_key(|(_, size)| *size).map_or(0, |(stage, _)| stage)
    }

    /// Index of the candidate whose failure domain, then accelerator kind, is rarest in the stage.
    fn best_candidate(&self, stage: usize, candidates: &[&'a EndpointDeclaration]) -> usize {
        let stage_engines = &self.stage_engines[stage];
        let sort_key = |candidate: &EndpointDeclaration| {
            let domain =
                stage_engines.iter().filter(|member| member.domain == candidate.domain).count();
            let same_kind =
                |member: &&&EndpointDeclaration| member.accelerator == candidate.accelerator;
            (domain, stage_engines.iter().filter(same_kind).count(), candidate.name.clone())
        };
        let best = candidates.iter().enumerate().min_by_key(|(_, candidate)| sort_key(candidate));
        best.map_or(0, |(index, _)| index)
    }

    fn plan_stage_engines(&self, plan: &mut PlacementPlan) {
        for (stage_engines, range) in self.stage_engines.iter().zip(&self.ranges) {
            if stage_engines.is_empty() {
                plan.uncovered.insert((self.service.clone(), *range));
            }
            for endpoint in stage_engines {
                let engine = self.desired_engine(endpoint, &self.model.version, *range, false);
                plan.engines.insert(endpoint.name.clone(), engine);
            }
        }
    }

    /// Keeps a leaving engine's model and range, so that its requests in flight can finish.
    fn plan_leaving(&self, endpoint: &EndpointDeclaration, plan: &mut PlacementPlan) {
        let Some(status) = self.snapshot.statuses.get(&endpoint.name) else {
            return;
        };
        let range = LayerRange { first: status.first_layer, last: status.last_layer };
        let mut engine = self.desired_engine(endpoint, &status.version, range, true);
        engine.model = status.model.clone();
        plan.engines.insert(endpoint.name.clone(), engine);
    }

    fn desired_engine(
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
