//! Proof that an endpoint has ended, as opposed to a host that does not reach it.
//!
//! A refused connection alone proves nothing: a host that is cut off from endpoints may have all of
//! its connections reset and refused at the same moment. An endpoint counts as ended once a
//! connection was refused, another endpoint of its service has replied since, and a connection was
//! refused again. An endpoint of another service proves nothing: a host may have lost its links to one
//! service alone.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthrock::EndpointName;
use tokio::time::Instant;

use crate::endpoints::EndpointEntry;
use crate::notices::EndpointStart;

/// Time after which a refusal is forgotten.
const CLAIM_TIME: Duration = Duration::from_secs(10);
/// Maximum number of endpoints whose ends are open.
const MAX_CLAIMS: usize = 256;

/// An endpoint that refused a connection.
#[derive(Clone, Debug)]
struct EndClaim {
    entry: EndpointEntry,
    refused_at: Instant,
    /// Whether another endpoint of the service has replied since.
    is_due: bool,
    /// Whether the second look has begun.
    is_checked: bool,
}

/// Endpoints of which it is open whether they have ended.
#[derive(Debug, Default)]
pub struct EndClaims {
    claims: BTreeMap<EndpointName, EndClaim>,
}

impl EndClaims {
    /// Records that nothing listens at an endpoint's address; returns whether that proves its end.
    pub fn record_refused(&mut self, entry: &EndpointEntry, now: Instant) -> bool {
        self.claims.retain(|_, claim| now - claim.refused_at < CLAIM_TIME);
        let known = self.claims.get(&entry.name);
        if let Some(claim) = known.filter(|claim| claim.is_of(entry.start())) {
            return claim.is_due && self.claims.remove(&entry.name).is_some();
        }
        if self.claims.len() < MAX_CLAIMS {
            let claim = EndClaim {
                entry: entry.clone(),
                refused_at: now,
                is_due: false,
                is_checked: false,
            };
            self.claims.insert(entry.name.clone(), claim);
        }
        false
    }

    /// Records that an endpoint has replied: it has not ended, and this host reaches endpoints of its
    /// service.
    pub fn record_reply(&mut self, entry: &EndpointEntry) {
        if self.claims.is_empty() {
            return;
        }
        self.claims.retain(|_, claim| !claim.is_of(entry.start()));
        let claims = self.claims.values_mut().filter(|claim| claim.entry.service == entry.service);
        claims.for_each(|claim| claim.is_due = true);
    }

    /// Endpoints that are due for a second look, each of them once.
    pub fn take_due(&mut self) -> Vec<EndpointEntry> {
        let due = self.claims.values_mut().filter(|claim| claim.is_due && !claim.is_checked);
        let due = due.map(|claim| {
            claim.is_checked = true;
            claim.entry.clone()
        });
        due.collect()
    }
}

impl EndClaim {
    fn is_of(&self, endpoint: EndpointStart<'_>) -> bool {
        self.entry.name == *endpoint.name && self.entry.start_unix_ms == endpoint.start_unix_ms
    }
}
