//! Another path for a stream that has lost a stage in the middle of its answer.
//!
//! Load pattern: several endpoints die at the same moment, and each of them carries most streams of
//! its failure domain. To send all of these again would read every prompt again on endpoints that
//! are full already, and takes more retries than a service may have. The stages that are left keep
//! the memory of the stream; only the layers that are missing get other endpoints.
//!
//! Those read all tokens so far, whose activations come from the stage before. Over the pipe between
//! failure domains that takes 20 to 40 ms a stream, and the streams of a lost stage would fill it for
//! seconds: only where its host has a ticket for the pipe, a detour leads through another domain.

use std::collections::BTreeSet;

use jacinthrock::{DomainName, EndpointName};

use crate::endpoints::LayerSpan;
use crate::path::{CLOSED_LINK, MAX_STAGES, PathStage, StageView, cheapest_path, crossings};

/// The path with other stages in place of those that are lost; nothing where no endpoint can stand
/// in, or where the first stage itself is lost: it holds the request.
///
/// Stages that are left keep their layers, unless only those next to a gap hold what is missing.
/// `stages` are the endpoints that can take work. `link_share` is the share of the pipe between failure
/// domains that is in use; where it is infinite, the detour crosses it no more often than the path.
///
/// ```
/// use std::collections::BTreeSet;
///
/// use jacinthrock_entry::{LayerSpan, PathStage, StageView, detour};
///
/// let stage = |name: &str, from, to| PathStage {
///     name: name.into(),
///     address: ([10, 0, 0, 1], 80).into(),
///     span: LayerSpan { from, to },
///     domain: "north".into(),
/// };
/// let spare = StageView {
///     name: "c".into(),
///     address: ([10, 0, 0, 2], 80).into(),
///     domain: "north".into(),
///     span: LayerSpan { from: 3, to: 8 },
///     layer_ms: 0.1,
///     streams: 0.0,
///     kv_usage: 0.0,
///     has_room: true,
///     penalty_ms: 0.0,
///     may_start: false,
/// };
/// let path = [stage("a", 0, 4), stage("b", 4, 8)];
/// let lost = BTreeSet::from(["b".into()]);
/// let way = detour(&path, &lost, f64::INFINITY, &[spare]).expect("a detour");
/// assert_eq!((&*way[1].name, way[1].span), ("c", LayerSpan { from: 4, to: 8 }));
/// ```
pub fn detour(
    path: &[PathStage],
    lost: &BTreeSet<EndpointName>,
    link_share: f64,
    stages: &[StageView],
) -> Option<Vec<PathStage>> {
    let first = path.first().filter(|stage| !lost.contains(&stage.name))?;
    let used = path.iter().map(|stage| stage.name.clone()).collect();
    let mut draft = DetourDraft { new_path: vec![first.clone()], used, link_share, stages };
    let is_lost = |stage: &PathStage| lost.contains(&stage.name);
    for part in path[1..].chunk_by(|a, b| is_lost(a) == is_lost(b)) {
        if is_lost(&part[0]) {
            let gap = LayerSpan { from: part[0].span.from, to: part[part.len() - 1].span.to };
            let after = path.iter().find(|stage| stage.span.from == gap.to);
            draft.fill_gap(gap, after)?;
        } else {
            draft.keep(part);
        }
    }
    let is_allowed = link_share.is_finite() || crossings(&draft.new_path) <= crossings(path);
    (draft.new_path.len() <= MAX_STAGES && is_allowed).then_some(draft.new_path)
}

struct DetourDraft<'a> {
    new_path: Vec<PathStage>,
    used: BTreeSet<EndpointName>,
    link_share: f64,
    stages: &'a [StageView],
}

impl DetourDraft<'_> {
    /// Adds stages that are left; the first begins where the stand-ins before it end.
    fn keep(&mut self, part: &[PathStage]) {
        let reached = self.new_path.last().map_or(0, |stage| stage.span.to);
        self.new_path.extend(part.iter().cloned());
        let first = self.new_path.len() - part.len();
        self.new_path[first].span.from = reached;
    }

    /// Adds stand-ins for the layers of a gap before the stage `after`.
    fn fill_gap(&mut self, gap: LayerSpan, after: Option<&PathStage>) -> Option<()> {
        let before = self.new_path.len() - 1;
        let next = after.unwrap_or(&self.new_path[before]);
        let domains = [self.new_path[before].domain.clone(), next.domain.clone()];
        if let Some(fill_gap) = self.replacements(gap, &domains) {
            self.append(gap, fill_gap);
            return Some(());
        }
        // The stages on both sides take what they hold of the gap. The first stage of a path stays
        // as it is: the endpoints demand that.
        let lower =
            if before == 0 { gap.from } else { self.usable_span(&self.new_path[before]).to };
        let upper = after.map_or(gap.to, |stage| self.usable_span(stage).from);
        let from = lower.clamp(gap.from, gap.to);
        let rest = LayerSpan { from, to: upper.clamp(from, gap.to) };
        let fill_gap =
            if rest.count() == 0 { Vec::new() } else { self.replacements(rest, &domains)? };
        self.new_path[before].span.to = rest.from;
        self.append(rest, fill_gap);
        Some(())
    }

    fn append(&mut self, gap: LayerSpan, fill_gap: Vec<PathStage>) {
        for stage in fill_gap {
            self.used.insert(stage.name.clone());
            let span = LayerSpan { from: stage.span.from + gap.from, to: stage.span.to + gap.from };
            self.new_path.push(PathStage { span, ..stage });
        }
    }

    /// Unused stages that run the layers of a gap, counted from its first: of the given domains, or
    /// of any if the pipe is open.
    fn replacements(&self, gap: LayerSpan, domains: &[DomainName]) -> Option<Vec<PathStage>> {
        let nearby = domains.iter().find_map(|domain| {
            let stages = self.candidates(gap, |stage| stage.domain == *domain);
            cheapest_path(gap.count(), domain, CLOSED_LINK, &stages)
        });
        nearby.or_else(|| {
            let stages = self.candidates(gap, |_| self.link_share.is_finite());
            cheapest_path(gap.count(), &domains[0], self.link_share, &stages)
        })
    }

    /// The parts of unused stages within a gap, with layers counted from the gap's first.
    fn candidates(&self, gap: LayerSpan, is_wanted: impl Fn(&StageView) -> bool) -> Vec<StageView> {
        let unused = self.stages.iter().filter(|stage| !self.used.contains(&stage.name));
        let wanted = unused.filter(|stage| is_wanted(stage));
        wanted
            .filter_map(|stage| {
                let from = stage.span.from.max(gap.from);
                let to = stage.span.to.min(gap.to);
                let span =
                    LayerSpan { from: from.checked_sub(gap.from)?, to: to.checked_sub(gap.from)? };
                (span.from < span.to).then(|| StageView { span, may_start: true, ..stage.clone() })
            })
            .collect()
    }

    /// Layers that a stage of the path holds, or those that it runs where it takes no more work.
    fn usable_span(&self, stage: &PathStage) -> LayerSpan {
        let view = self.stages.iter().find(|view| view.name == stage.name && view.has_room);
        view.map_or(stage.span, |view| view.span)
    }
}
