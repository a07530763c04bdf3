//! Other hosts of the system, as the rest of the library sees them.

use futures::future::LocalBoxFuture;

use crate::gossip::PeerDigest;
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

/// The configuration that this host has in force, for peers that ask for it.
pub trait ConfigSource {
    /// The configuration in force, if there is one.
    fn snapshot(&self) -> Option<ConfigSnapshot>;
}

/// Calls to one peer, behind a trait so that tests use fakes.
pub trait PeerTransport {
    /// Sends a digest and returns the peer's.
    fn exchange(
        &self,
        host: &str,
        address: &str,
        digest: PeerDigest,
    ) -> LocalBoxFuture<'static, Result<PeerDigest, PeerError>>;

    /// Asks for the configuration that the peer has in force.
    fn fetch_config(
        &self,
        host: &str,
        address: &str,
    ) -> LocalBoxFuture<'static, Result<ConfigSnapshot, PeerError>>;
}

/// What a host answers to its peers.
pub trait PeerResponder {
    /// Takes a peer's digest and returns this host's.
    fn exchange(&self, digest: &PeerDigest) -> PeerDigest;

    /// The configuration in force, if there is one.
    fn config(&self) -> Option<ConfigSnapshot>;
}
