//! Transfer times of the links between failure domains.

use std::collections::BTreeMap;

use crate::declaration::LinkDeclaration;
use crate::ids::DomainName;

/// Bytes of activations that a stage sends to the next for one token.
const ACTIVATION_BYTES_PER_TOKEN: f64 = 16.0 * 1024.0;

/// Seconds for one token over an undeclared link within a failure domain.
const LOCAL_LINK_SECONDS: f64 = 0.000_1;

/// Seconds for one token over an undeclared link between failure domains.
const REMOTE_LINK_SECONDS: f64 = 0.001;

/// Fraction of the prediction error by which one observation corrects a link.
const LEARNING_RATE: f64 = 0.05;

/// Seconds for one token between two failure domains, as declared and corrected by observations.
#[derive(Clone, Debug, Default)]
pub struct LinkTable {
    declared: BTreeMap<(DomainName, DomainName), f64>,
    observed_extra: BTreeMap<(DomainName, DomainName), f64>,
}

impl LinkTable {
    /// Creates a table of declared links.
    ///
    /// ```
    /// use jacinthrock::{LinkDeclaration, LinkTable};
    ///
    /// let between = ["espoo".into(), "porvoo".into()];
    /// let table = LinkTable::new(&[LinkDeclaration { between, latency_us: 250, megabits: 10_000 }]);
    /// assert!(table.seconds("porvoo", "espoo") < table.seconds("espoo", "kerava"));
    /// ```
    pub fn new(links: &[LinkDeclaration]) -> Self {
        let mut table = Self::default();
        table.declare(links);
        table
    }

    /// Replaces the declared links; keeps the corrections from observations.
    pub(crate) fn declare(&mut self, links: &[LinkDeclaration]) {
        self.declared = links
            .iter()
            .map(|link| (link_key(&link.between[0], &link.between[1]), declared_seconds(link)))
            .collect();
    }

    /// Seconds for one token between two failure domains.
    pub fn seconds(&self, from: &str, to: &str) -> f64 {
        let key = link_key(from, to);
        let fallback = if from == to { LOCAL_LINK_SECONDS } else { REMOTE_LINK_SECONDS };
        let declared = self.declared.get(&key).copied().unwrap_or(fallback);
        declared + self.observed_extra.get(&key).copied().unwrap_or(0.0)
    }

    /// Corrects a link by a fraction of `error`, the link's share of the difference between an
    /// observed and a predicted time.
    pub(crate) fn correct(&mut self, from: &str, to: &str, error: f64) {
        let extra = self.observed_extra.entry(link_key(from, to)).or_default();
        *extra = (*extra + LEARNING_RATE * error).max(0.0);
    }
}

fn link_key(from: &str, to: &str) -> (DomainName, DomainName) {
    let (low, high) = if from <= to { (from, to) } else { (to, from) };
    (low.into(), high.into())
}

fn declared_seconds(link: &LinkDeclaration) -> f64 {
    let bytes_per_second = (link.megabits.max(1) as f64) * 125_000.0;
    link.latency_us as f64 / 1e6 + ACTIVATION_BYTES_PER_TOKEN / bytes_per_second
}
