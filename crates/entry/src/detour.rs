//! Detours: replacing the lost stages of a stream in the middle of its answer.
//!
//! Several endpoints may die at the same moment, each carrying most streams of its failure domain.
//! Resending all of these streams would repeat every prefill on endpoints that are already full and
//! exceed the retry budget of the service. Instead, the surviving stages keep the KV cache of the
//! stream and only the missing layers move to other endpoints.
//!
//! The replacements prefill all tokens so far from the activations of the stage before them. Over
//! the link between failure domains that takes 20 to 40 ms per stream, and the streams of one lost
//! stage would saturate the link for seconds. A detour therefore enters another domain only if the
//! host has crossing quota left.

use std::collections::BTreeSet;

use jacinthrock::{DomainName, EndpointName};

use crate::endpoints::LayerSpan;
use crate::path::{CLOSED_LINK, MAX_STAGES, PathStage, StageView, cheapest_path, crossings};

/// Replaces the lost stages of a path. Returns `None` if no endpoints can replace them, or if the
/// first stage, which holds the request, is lost.
///
/// Surviving stages keep their layers unless the missing layers are held only by the stages next to
/// the gap. `stages` are the endpoints that accept work. `link_share` is the share of the
/// inter-domain link in use; if it is infinite, the detour has no more crossings than the old path.
///
/// ```
/// use std::collections::BTreeSet;
///
/// use jacinthrock_entry::{LayerSpan, PathStage, StageView, detour};
///
/// let stage = |name: &str, from, to| PathStage {
///     name: name.into(),
///     start_unix_ms: 1,
///     address: ([10, 0, 0, 1], 80).into(),
///     span: LayerSpan { from, to },
///     domain: "north".into(),
/// };
/// let spare = StageView {
///     name: "c".into(),
///     start_unix_ms: 1,
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
/// let new_path = detour(&path, &lost, f64::INFINITY, &[spare]).expect("a detour");
/// assert_eq!((&*new_path[1].name, new_path[1].span), ("c", LayerSpan { from: 4, to: 8 }));
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

/// A detour under construction, built from the first stage on.
struct DetourDraft<'a> {
    new_path: Vec<PathStage>,
    used: BTreeSet<EndpointName>,
    link_share: f64,
    stages: &'a [StageView],
}

impl DetourDraft<'_> {
    /// Appends surviving stages; the first one starts where the path so far ends.
    fn keep(&mut self, part: &[PathStage]) {
        let end = self.new_path.last().map_or(0, |stage| stage.span.to);
        self.new_path.extend(part.iter().cloned());
        let first = self.new_path.len() - part.len();
        self.new_path[first].span.from = end;
    }

    /// Appends replacements for the layers of a gap before the stage `after`.
    fn fill_gap(&mut self, gap: LayerSpan, after: Option<&PathStage>) -> Option<()> {
        let before = self.new_path.len() - 1;
        let next = after.unwrap_or(&self.new_path[before]);
        let domains = [self.new_path[before].domain.clone(), next.domain.clone()];
        if let Some(stages) = self.replacements(gap, &domains) {
            self.append(gap, stages);
            return Some(());
        }
        // The stages on both sides extend into the gap as far as they hold its layers. The first
        // stage of the path keeps its span, as the endpoints require.
        let lower =
            if before == 0 { gap.from } else { self.usable_span(&self.new_path[before]).to };
        let upper = after.map_or(gap.to, |stage| self.usable_span(stage).from);
        let from = lower.clamp(gap.from, gap.to);
        let rest = LayerSpan { from, to: upper.clamp(from, gap.to) };
        let stages =
            if rest.count() == 0 { Vec::new() } else { self.replacements(rest, &domains)? };
        self.new_path[before].span.to = rest.from;
        self.append(rest, stages);
        Some(())
    }

    fn append(&mut self, gap: LayerSpan, stages: Vec<PathStage>) {
        for stage in stages {
            self.used.insert(stage.name.clone());
            let span = LayerSpan { from: stage.span.from + gap.from, to: stage.span.to + gap.from };
            self.new_path.push(PathStage { span, ..stage });
        }
    }

    /// Unused stages that run the layers of a gap, with layers counted from its first. They come
    /// from one of the given domains, or from any domain if the inter-domain link may be used.
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

    /// Unused stages clipped to a gap, with layers counted from the gap's first.
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

    /// Layers that a stage of the path may run: all that it holds, or only those that it runs
    /// already if it accepts no more work.
    fn usable_span(&self, stage: &PathStage) -> LayerSpan {
        let view = self.stages.iter().find(|view| view.name == stage.name && view.has_room);
        view.map_or(stage.span, |view| view.span)
    }
}
