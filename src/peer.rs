//! Interfaces between the peer protocol and the rest of the library.

use futures::future::LocalBoxFuture;

use crate::gossip::PeerDigest;
use crate::ids::{ConfigRevision, HostName, Incarnation};

/// Failure of a call to a peer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("peer {host:?} did not answer: {reason}")]
pub struct PeerError {
    /// Host that was called.
    pub host: HostName,
    /// Cause of the failure.
    pub reason: Box<str>,
}

/// A configuration as stored on the platform: version and value of the root object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigSnapshot {
    /// Revision, equal to the version of the root object.
    pub revision: ConfigRevision,
    /// Value of the root object.
    pub value: Box<[u8]>,
}

/// The other hosts, as used by the rest of the library.
///
/// A host is live while its heartbeat arrived recently, directly or relayed.
pub trait PeerNetwork {
    /// Live hosts, excluding this one.
    fn live_hosts(&self) -> Vec<HostName>;

    /// Live hosts of a failure domain, excluding this one.
    ///
    /// An implementation without failure domains returns every live host.
    fn live_domain_hosts(&self, _domain: &str) -> Vec<HostName> {
        self.live_hosts()
    }

    /// Whether this incarnation of a host is live.
    fn is_live(&self, host: &str, incarnation: Incarnation) -> bool;

    /// Highest configuration revision among live hosts, with a host that has it in force.
    fn newest_revision(&self) -> Option<(HostName, ConfigRevision)>;

    /// Announces the revision that this host has in force.
    fn announce_revision(&self, revision: ConfigRevision);

    /// Fetches the configuration that a host has in force.
    fn fetch_config(&self, host: &str) -> LocalBoxFuture<'_, Result<ConfigSnapshot, PeerError>>;
}

/// Source of the configuration that this host serves to its peers.
pub trait ConfigSource {
    /// Configuration in force, if there is one.
    fn snapshot(&self) -> Option<ConfigSnapshot>;
}

/// Calls to peers; a trait so that tests can substitute a fake.
pub trait PeerTransport {
    /// Sends a digest and returns the peer's digest.
    fn exchange(
        &self,
        host: &str,
        address: &str,
        digest: PeerDigest,
    ) -> LocalBoxFuture<'static, Result<PeerDigest, PeerError>>;

    /// Fetches the configuration that the peer has in force.
    fn fetch_config(
        &self,
        host: &str,
        address: &str,
    ) -> LocalBoxFuture<'static, Result<ConfigSnapshot, PeerError>>;
}

/// Handler of calls from peers.
pub trait PeerResponder {
    /// Applies a peer's digest and returns this host's digest.
    fn exchange(&self, digest: &PeerDigest) -> PeerDigest;

    /// Configuration in force, if there is one.
    fn config(&self) -> Option<ConfigSnapshot>;
}
