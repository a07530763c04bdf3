//! Searches for paths with what this host knows at present.

use std::collections::BTreeSet;
use std::rc::Rc;

use jacinthrock::EndpointName;
use rand::Rng;
use tokio::time::Instant;

use crate::detour::detour;
use crate::endpoints::EndpointEntry;
use crate::inflight::StageLoad;
use crate::path::{CLOSED_LINK, PathStage, StageView, cheapest_path};
use crate::routing::{self, LinkUse, MAX_NAMED_HOLDERS, PathQuery, RoutingView};
use crate::rules::EngineProfile;
use crate::state::EntryState;

impl EntryState {
    /// Finds the cheapest path for a stream, or `None` if none has room.
    pub fn find_path(&self, query: &PathQuery<'_>) -> Option<Rc<[PathStage]>> {
        self.path_with(query, |engine| self.admitted_link_share(engine, query)).map(Into::into)
    }

    /// Finds the cheapest path, given the share of the inter-domain link in use.
    fn path_with(
        &self,
        query: &PathQuery<'_>,
        link_share: impl FnOnce(&EngineProfile) -> f64,
    ) -> Option<Vec<PathStage>> {
        let rules = self.rules()?;
        let engine = rules.engine(query.service)?;
        let stages = self.stage_views(engine, query);
        cheapest_path(engine.layers, &self.options.domain, link_share(engine), &stages)
    }

    /// Uses this host's quota for new crossings between failure domains.
    pub fn consume_crossings(&self, crossings: usize) {
        self.crossing_quota.borrow_mut().consume(crossings);
    }

    /// Debits the crossings of a path from this host's share of the link, for services with several
    /// priorities.
    pub fn debit_crossings(&self, service: &str, tokens: u32, crossings: usize) {
        if let Some(bytes) = self.path_bytes(service, tokens, crossings) {
            self.link_quota.borrow_mut().debit(bytes);
        }
    }

    /// Takes back a debit for a path that was not taken.
    pub(crate) fn credit_crossings(&self, service: &str, tokens: u32, crossings: usize) {
        if let Some(bytes) = self.path_bytes(service, tokens, crossings) {
            self.link_quota.borrow_mut().credit(bytes);
        }
    }

    /// Bytes that a stream sends over a path's crossings, or `None` if the streams of its
    /// service all have the same priority.
    fn path_bytes(&self, service: &str, tokens: u32, crossings: usize) -> Option<u64> {
        let rules = self.rules().filter(|rules| rules.has_priorities(service))?;
        let bytes = routing::crossing_bytes(rules.engine(service)?, tokens);
        Some(bytes.saturating_mul(crossings as u64))
    }

    /// Finds replacements for the lost stages of a running stream's path.
    pub fn find_detour(&self, path: &[PathStage], query: &PathQuery<'_>) -> Option<Vec<PathStage>> {
        let rules = self.rules()?;
        let engine = rules.engine(query.service)?;
        let lost = routing::lost_stages(path, &self.endpoints.borrow(), &self.health.borrow());
        if lost.is_empty() {
            return None;
        }
        let stages = self.stage_views(engine, query);
        let link_share = self.admitted_link_share(engine, query);
        let new_path = detour(path, &lost, link_share, &stages);
        if new_path.is_none() {
            log_no_detour(path, &lost, &stages);
        }
        new_path
    }

    /// Explains why there is no path, for logs and refusals.
    pub fn explain_no_path(&self, query: &PathQuery<'_>) -> Box<str> {
        let rules = self.rules();
        let Some(engine) = rules.as_ref().and_then(|rules| rules.engine(query.service)) else {
            return "the service has no engine".into();
        };
        let stages = self.stage_views(engine, query);
        let has_quota = engine.link_mbps > 0.0
            && rules.as_ref().is_some_and(|rules| rules.has_priorities(query.service));
        let quota_bytes = has_quota.then(|| self.link_quota.borrow().balance());
        let link = LinkUse { share: self.link_share(engine), quota_bytes };
        routing::explain_gap(engine.layers, &link, &stages)
    }

    /// Load of all hosts' streams on an endpoint, as far as this host knows.
    pub fn total_load(&self, name: &str) -> StageLoad {
        let own = self.inflight.borrow().load(name);
        routing::total_load(own, &self.peer_loads.borrow(), name, Instant::now())
    }

    /// Share of what an endpoint has that the known streams take: of its KV cache or, if paths start
    /// there, of its slots, whichever is larger.
    pub fn known_usage(&self, entry: &EndpointEntry) -> Option<f64> {
        let starts = self.total_load(&entry.name).starts;
        let starts_paths = entry.layers.is_some_and(|span| span.holds(0));
        let slot_usage = f64::from(starts) / f64::from(entry.slots.max(1));
        let kv_usage = self.known_kv_usage(entry)?;
        Some(if starts_paths { kv_usage.max(slot_usage) } else { kv_usage })
    }

    /// Share of an endpoint's KV cache that the known streams take.
    pub(crate) fn known_kv_usage(&self, entry: &EndpointEntry) -> Option<f64> {
        let rules = self.rules()?;
        let engine = rules.engine(&entry.service)?;
        let card = engine.cards.get(entry.card.as_deref()?)?;
        let capacity = engine.kv_capacity(card, entry.weight_layers());
        Some(self.total_load(&entry.name).token_layers as f64 / capacity)
    }

    /// Whether requests can be served: rules are known, other hosts were asked, and each model has a
    /// path.
    pub fn is_ready(&self) -> bool {
        let may_serve = !self.is_leaving() && self.has_asked_hosts.get();
        let Some(rules) = self.rules().filter(|_| may_serve) else { return false };
        let none = BTreeSet::new();
        rules.rules().services.iter().filter(|(_, service)| service.engine.is_some()).all(
            |(name, _)| {
                let query = PathQuery {
                    service: name,
                    tokens: 1,
                    starts: None,
                    avoid: &none,
                    ignores_rates: true,
                };
                // Readiness ignores the crossing quota of this host.
                self.path_with(&query, |engine| self.link_share(engine)).is_some()
            },
        )
    }

    /// Endpoints of a service that accept work, as candidates for a path.
    fn stage_views(&self, engine: &EngineProfile, query: &PathQuery<'_>) -> Vec<StageView> {
        let inflight = self.inflight.borrow();
        let view = RoutingView {
            domain: &self.options.domain,
            hosts: self.host_count(),
            domain_hosts: self.domain_host_count() as u32,
            endpoints: &self.endpoints.borrow(),
            health: &self.health.borrow(),
            exclusions: &self.exclusions.borrow(),
            down_table: &self.down_table.borrow(),
            notices: &self.notices.borrow(),
            rates: &self.rates.borrow(),
            own_loads: inflight.loads(),
            peer_loads: &self.peer_loads.borrow(),
            suspected: &self.suspected.borrow(),
            overloaded: &self.overloaded.borrow(),
        };
        let mut rng = rand::rng();
        view.stage_views(engine, query, Instant::now(), |range| rng.random_range(range))
    }

    /// Share of the inter-domain link in use, or `CLOSED_LINK` if this host has no quota left.
    fn admitted_link_share(&self, engine: &EngineProfile, query: &PathQuery<'_>) -> f64 {
        if self.may_cross(engine, query) { self.link_share(engine) } else { CLOSED_LINK }
    }

    /// Whether this host's quota lets a stream cross. Services with several priorities have a quota
    /// of their own; that of the others is renewed all the same, as they share it.
    fn may_cross(&self, engine: &EngineProfile, query: &PathQuery<'_>) -> bool {
        let (hosts, now) = (self.host_count(), Instant::now());
        let per_s = routing::crossings_per_s(engine, query.tokens, hosts);
        let draw = rand::rng().random_range(0.0..1.0);
        let may_cross = self.crossing_quota.borrow_mut().allows_crossing(now, per_s, draw);
        if !self.rules().is_some_and(|rules| rules.has_priorities(query.service)) {
            return may_cross;
        }
        let bytes_per_s = routing::link_bytes_per_s(engine, hosts);
        let bytes = routing::crossing_bytes(engine, query.tokens);
        self.link_quota.borrow_mut().allows_crossing(now, bytes_per_s, bytes, draw)
    }

    /// Share of the inter-domain link that the streams of all hosts use.
    fn link_share(&self, engine: &EngineProfile) -> f64 {
        let others = self.peer_loads.borrow().crossing_tokens_per_s(Instant::now());
        let tokens_per_s = self.inflight.borrow().crossing_tokens_per_s() + others;
        routing::link_share(engine, tokens_per_s)
    }

    /// Number of entry hosts in this host's failure domain, including this one.
    fn domain_host_count(&self) -> usize {
        let peers = self.peers.borrow();
        peers.values().filter(|peer| peer.domain == self.options.domain).count() + 1
    }
}

/// Logs the layers that could not be replaced, with the number of endpoints nearby that hold some of
/// them, and a few of these.
fn log_no_detour(path: &[PathStage], lost: &BTreeSet<EndpointName>, stages: &[StageView]) {
    let missing = path.iter().filter(|stage| lost.contains(&stage.name)).map(|stage| {
        let is_nearby = |view: &&StageView| {
            let overlaps = view.span.from < stage.span.to && stage.span.from < view.span.to;
            view.domain == stage.domain && overlaps
        };
        let holders = stages.iter().filter(is_nearby);
        let count = holders.clone().count();
        let named = holders.take(MAX_NAMED_HOLDERS);
        let named: Vec<_> =
            named.map(|view| (&*view.name, view.span, view.kv_usage, view.has_room)).collect();
        (&*stage.name, stage.span, count, named)
    });
    let missing: Vec<_> = missing.collect();
    log::info!(event = "no_detour", missing:? = missing; "no endpoints can replace lost stages");
}
