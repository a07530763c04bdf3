//! Other hosts of the system, as the rest of the library sees them.

use futures::future::LocalBoxFuture;

use crate::ids::{ConfigRevision, HostName, Incarnation};

/// Why a peer did not answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("peer {host:?} did not answer: {reason}")]
pub struct PeerError {
    /// Host that was asked.
    pub host: HostName,
    /// What failed.
    pub reason: Box<str>,
}

/// A configuration as the platform holds it: the root object's version and bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigSnapshot {
    /// Revision: the version of the root object.
    pub revision: ConfigRevision,
    /// The root object's value.
    pub value: Box<[u8]>,
}

/// What the rest of the library asks of the other hosts.
pub trait PeerNetwork {
    /// Hosts that were heard lately, this one left out.
    fn live_hosts(&self) -> Vec<HostName>;

    /// Hosts of a failure domain that were heard lately, this one left out.
    ///
    /// A network that knows no failure domains returns every live host.
    fn live_domain_hosts(&self, _domain: &str) -> Vec<HostName> {
        self.live_hosts()
    }

    /// Whether this incarnation of a host was heard lately.
    fn is_live(&self, host: &str, incarnation: Incarnation) -> bool;

    /// Highest configuration revision heard of, with a host that has it in force.
    fn newest_revision(&self) -> Option<(HostName, ConfigRevision)>;

    /// Announces the revision that this host has in force.
    fn announce_revision(&self, revision: ConfigRevision);

    /// Asks a host for the configuration that it has in force.
    fn fetch_config(&self, host: &str) -> LocalBoxFuture<'_, Result<ConfigSnapshot, PeerError>>;
}
