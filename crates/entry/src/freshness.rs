//! Whether the rules in force are known to be the newest.
//!
//! A pending watch is silent if nothing has changed, and also if its request or its connection was
//! lost. It is therefore trusted for long only while another host, whose own watch has been
//! answered recently, reports the same rules.

use std::time::Duration;

use tokio::time::Instant;

use crate::rules::RulesVersion;

/// Maximum age of the registry's last confirmation of the rules for a silent watch to be trusted.
/// Above the age that reports have with the holder's watches of one second; with a new watch, below
/// the three seconds after which a host with a lost connection counts as stable.
const MAX_CONFIRMED_AGE: Duration = Duration::from_secs(2);
/// Time for which other hosts may report newer rules before the watch is taken for lost; a host
/// that has just received changes pauses for less before it watches again.
const MAX_LAG: Duration = Duration::from_millis(600);

/// What other hosts' reports say about the rules in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RulesEvidence {
    /// The registry has recently confirmed them to another host.
    Confirmed,
    /// No other host has reported recently.
    Unconfirmed,
    /// Another host has had newer ones for too long.
    Outdated,
}

/// Reports on the rules by the registry and by other hosts.
///
/// ```
/// use jacinthrock_entry::{RulesEvidence, RulesFreshness};
/// # #[tokio::main(flavor = "current_thread", start_paused = true)]
/// # async fn main() {
/// let mut freshness = RulesFreshness::default();
/// let now = tokio::time::Instant::now();
/// assert_eq!(freshness.evidence(7, now), RulesEvidence::Unconfirmed);
/// freshness.record_peer(7, 7, Some(now), now);
/// assert_eq!(freshness.evidence(7, now), RulesEvidence::Confirmed);
/// # }
/// ```
#[derive(Debug, Default)]
pub struct RulesFreshness {
    registry_confirmed: Option<Instant>,
    peer_confirmed: Option<Instant>,
    newest_reported: RulesVersion,
    behind: Option<BehindSince>,
}

/// When a newer version was first reported, and the version in force then.
#[derive(Clone, Copy, Debug)]
struct BehindSince {
    in_force: RulesVersion,
    at: Instant,
}

impl RulesFreshness {
    /// Records that the registry has shown this host its newest rules.
    pub fn record_registry(&mut self, now: Instant) {
        self.registry_confirmed = Some(now);
    }

    /// Records the newest version that another host knows of, and when the registry last confirmed
    /// that to it.
    pub fn record_peer(
        &mut self,
        in_force: RulesVersion,
        reported: RulesVersion,
        confirmed: Option<Instant>,
        now: Instant,
    ) {
        self.newest_reported = reported;
        if reported <= in_force {
            self.behind = None;
            self.peer_confirmed = self.peer_confirmed.max(confirmed);
        } else if self.behind.is_none_or(|behind| behind.in_force != in_force) {
            self.behind = Some(BehindSince { in_force, at: now });
        }
    }

    /// What other hosts' reports say about the rules in force.
    pub fn evidence(&self, in_force: RulesVersion, now: Instant) -> RulesEvidence {
        let is_outdated = self.behind.is_some_and(|behind| {
            behind.in_force == in_force && now.saturating_duration_since(behind.at) > MAX_LAG
        });
        match self.peer_confirmed {
            _ if is_outdated => RulesEvidence::Outdated,
            Some(at) if now.saturating_duration_since(at) < MAX_CONFIRMED_AGE => {
                RulesEvidence::Confirmed
            }
            _ => RulesEvidence::Unconfirmed,
        }
    }

    /// The newest version that this host knows of.
    pub fn newest(&self, in_force: RulesVersion) -> RulesVersion {
        self.newest_reported.max(in_force)
    }

    /// When the registry last confirmed the newest version, to this host or to another.
    pub fn confirmed(&self) -> Option<Instant> {
        self.registry_confirmed.max(self.peer_confirmed)
    }

    /// Whether the registry has not confirmed the rules recently, to this host or to another.
    pub fn is_unconfirmed(&self, now: Instant) -> bool {
        self.confirmed().is_none_or(|at| now.saturating_duration_since(at) >= MAX_CONFIRMED_AGE)
    }
}
