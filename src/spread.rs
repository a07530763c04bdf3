//! Whether a revision is in force on every host.

use serde::Deserialize;
use std::collections::BTreeMap;

use crate::ids::{ConfigRevision, HostName, Incarnation};

/// What a host says about itself: `GET /status` on its operator port.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct HostReport {
    /// Name of the host.
    pub host: HostName,
    /// Run of the process; a later one is higher.
    pub incarnation: Incarnation,
    /// Revision in force, 0 for none.
    pub revision: ConfigRevision,
    /// State of the host, for people.
    #[serde(default)]
    pub state: Box<str>,
    /// More about the state, for people.
    #[serde(default)]
    pub detail: Box<str>,
}

/// A host's answer, or why there is none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostAnswer {
    /// Name of the host.
    pub host: HostName,
    /// Its report.
    pub report: Result<HostReport, Box<str>>,
}

/// What is known of the spread of a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutVerdict {
    /// Every host has it in force; none will serve a lower one again.
    InForce,
    /// These hosts are not known to have it in force.
    Lagging(Vec<HostName>),
}

/// Decides from rounds of answers whether a revision is in force everywhere.
///
/// Hosts are asked one after the other, so that one may restart after it was asked and take a
/// lower revision from a host that was asked later. Two rounds in which every host reports the
/// revision with the same incarnation prove a moment between them at which all had it at once.
///
/// ```
/// use jacinthrock::{HostAnswer, HostReport, SpreadCheck, SpreadVerdict};
///
/// let report = HostReport { host: "a".into(), incarnation: 1, revision: 7, ..Default::default() };
/// let round = [HostAnswer { host: "a".into(), report: Ok(report) }];
/// let mut check = SpreadCheck::new(7);
/// assert_eq!(check.learn(&round), SpreadVerdict::Lagging(vec!["a".into()]));
/// assert_eq!(check.learn(&round), SpreadVerdict::InForce);
/// ```
pub struct RolloutCheck {
    revision: ConfigRevision,
    confirmed: BTreeMap<HostName, Incarnation>,
}

impl RolloutCheck {
    /// A check of one revision.
    pub fn new(revision: ConfigRevision) -> Self {
        Self { revision, confirmed: BTreeMap::new() }
    }

    /// Takes the answers of one round, one from each registered host.
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
