//! Rollout of a configuration revision: whether it is in force on every host.

use serde::Deserialize;
use std::collections::BTreeMap;

use crate::ids::{ConfigRevision, HostName, Incarnation};

/// State that a host reports about itself at `GET /status` on its operator port.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct HostReport {
    /// Name of the host.
    pub host: HostName,
    /// Incarnation of the process; a restart has a higher one.
    pub incarnation: Incarnation,
    /// Revision in force; 0 if there is none.
    pub revision: ConfigRevision,
    /// State of the host, for display.
    #[serde(default)]
    pub state: Box<str>,
    /// Details of the state, for display.
    #[serde(default)]
    pub detail: Box<str>,
}

/// A host's report, or the reason why there is none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostAnswer {
    /// Name of the host.
    pub host: HostName,
    /// Report of the host, or the error of the query.
    pub report: Result<HostReport, Box<str>>,
}

/// Progress of a revision's rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutVerdict {
    /// The revision is in force on every host, and none will serve a lower one again.
    InForce,
    /// On these hosts, the revision is not confirmed to be in force.
    Lagging(Vec<HostName>),
}

/// Decides from rounds of host reports whether a revision is in force on every host.
///
/// One round is not enough: hosts are queried one after the other, so that a host may restart after
/// its query and take a lower revision from a host that is queried later. If every host reports the
/// revision in two consecutive rounds with the same incarnation, all hosts had it in force at the
/// same time between the rounds.
///
/// ```
/// use jacinthrock::{HostAnswer, HostReport, RolloutCheck, RolloutVerdict};
///
/// let report = HostReport { host: "a".into(), incarnation: 1, revision: 7, ..Default::default() };
/// let round = [HostAnswer { host: "a".into(), report: Ok(report) }];
/// let mut check = RolloutCheck::new(7);
/// assert_eq!(check.observe_round(&round), RolloutVerdict::Lagging(vec!["a".into()]));
/// assert_eq!(check.observe_round(&round), RolloutVerdict::InForce);
/// ```
pub struct RolloutCheck {
    revision: ConfigRevision,
    confirmed: BTreeMap<HostName, Incarnation>,
}

impl RolloutCheck {
    /// Creates a check of one revision.
    pub fn new(revision: ConfigRevision) -> Self {
        Self { revision, confirmed: BTreeMap::new() }
    }

    /// Evaluates the answers of one round, which has one for each registered host.
    pub fn observe_round(&mut self, round: &[HostAnswer]) -> RolloutVerdict {
        let in_force: BTreeMap<HostName, Incarnation> = round
            .iter()
            .filter_map(|answer| answer.report.as_ref().ok())
            .filter(|report| report.revision >= self.revision)
            .map(|report| (report.host.clone(), report.incarnation))
            .collect();
        let before = std::mem::replace(&mut self.confirmed, in_force);
        let is_confirmed = |host: &HostName| {
            self.confirmed.contains_key(host) && before.get(host) == self.confirmed.get(host)
        };
        let hosts = round.iter().map(|answer| &answer.host);
        let lagging: Vec<HostName> = hosts.filter(|host| !is_confirmed(host)).cloned().collect();
        if lagging.is_empty() {
            return RolloutVerdict::InForce;
        }
        RolloutVerdict::Lagging(lagging)
    }
}
