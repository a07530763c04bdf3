//! Choice of an endpoint of a plain service.

use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

use crate::declaration::EndpointDeclaration;
use crate::endpoint::CallFailure;
use crate::fleet::EndpointFleet;
use crate::ids::{EndpointName, ServiceName};
use crate::picker::EndpointPicker;

/// Chooses endpoints of one plain service by the fleet's view.
#[derive(Clone)]
pub struct PlainPicker {
    fleet: EndpointFleet,
    service: ServiceName,
}

impl EndpointFleet {
    /// A picker for the endpoints of a plain service.
    pub fn plain_picker(&self, service: &str) -> PlainPicker {
        PlainPicker { fleet: self.clone(), service: service.into() }
    }
}

impl EndpointPicker for PlainPicker {
    fn pick(&self, tried: &BTreeSet<EndpointName>) -> Option<EndpointDeclaration> {
        let now = Instant::now();
        self.fleet.with(|state| {
            let mut candidates = state.plain_candidates(now, &self.service, tried);
            let domains: BTreeSet<_> = tried.iter().filter_map(|name| state.domain(name)).collect();
            let is_untried = |candidate: &EndpointDeclaration| !domains.contains(&candidate.domain);
            if candidates.iter().any(|(candidate, _)| is_untried(candidate)) {
                candidates.retain(|(candidate, _)| is_untried(candidate));
            }
            if candidates.is_empty() {
                return None;
            }
            let first = candidates.swap_remove(state.random_index(candidates.len()));
            if candidates.is_empty() {
                return Some(first.0);
            }
            let second = candidates.swap_remove(state.random_index(candidates.len()));
            Some(if second.1 < first.1 { second.0 } else { first.0 })
        })
    }

    fn started(&self, endpoint: &str) {
        self.fleet.with(|state| state.begin_call(endpoint));
    }

    fn finished(&self, endpoint: &str, elapsed: Duration, failure: Option<&CallFailure>) {
        let now = Instant::now();
        self.fleet.with(|state| state.finish_call(now, endpoint, elapsed, failure));
    }
}
