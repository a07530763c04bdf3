//! Updates a fleet with the endpoints that are leaving, from the platform's list and drain marks.
//!
//! Only a few hosts of each failure domain read the platform; the others receive drain marks from
//! peers. A third source, an endpoint's own refusal of new work, reaches the fleet through the
//! answers to calls.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::controller::{DRAIN_PREFIX, ENDPOINT_LIST_PREFIX, ListedState};
use crate::effective::{EffectiveConfig, ServiceTarget};
use crate::fleet::{EndpointFleet, LeavingSource};
use crate::follower::domain_position;
use crate::ids::EndpointName;
use crate::peer::PeerNetwork;
use crate::peer_service::PeerService;
use crate::platform::{PlatformStore, StoreError, StoreListing};

/// Time between reads of the platform.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of one read of the platform.
const READ_TIMEOUT: Duration = Duration::from_millis(800);
/// Number of hosts in each failure domain that read the platform.
const READERS_PER_DOMAIN: usize = 2;

/// Keeps a fleet's leaving endpoints up to date.
pub(crate) struct LeavingReader<'a> {
    pub(crate) host: &'a str,
    pub(crate) domain: &'a str,
    pub(crate) store: &'a dyn PlatformStore,
    pub(crate) peers: &'a PeerService,
    pub(crate) fleet: &'a EndpointFleet,
}

impl LeavingReader<'_> {
    /// Runs until dropped; `config` returns the configuration in force.
    pub(crate) async fn run(&self, config: impl Fn() -> Option<std::rc::Rc<EffectiveConfig>>) {
        loop {
            if let Some(config) = config() {
                if self.is_reader() {
                    // On failure the result of the previous read stays in effect.
                    let _ = self.refresh(&config).await;
                }
                self.apply_drain_marks(&config);
            }
            tokio::time::sleep(READ_INTERVAL).await;
        }
    }

    fn is_reader(&self) -> bool {
        let peers_in_domain = self.peers.live_domain_hosts(self.domain);
        domain_position(self.host, &peers_in_domain).rank < READERS_PER_DOMAIN
    }

    async fn refresh(&self, config: &EffectiveConfig) -> Result<(), StoreError> {
        let endpoints = self.list(ENDPOINT_LIST_PREFIX).await?;
        let drains = self.list(DRAIN_PREFIX).await?;
        let leaving = listed_as_leaving(&endpoints);
        let drained = drains.objects.iter().map(|object| endpoint_name(&object.key, DRAIN_PREFIX));
        let drained: BTreeSet<EndpointName> = drained.collect();
        for endpoint in endpoint_names(config) {
            let is_leaving = leaving.contains(endpoint);
            self.fleet.set_leaving(endpoint, LeavingSource::PlatformList, is_leaving);
            if drained.contains(endpoint) != self.peers.is_draining(endpoint) {
                let draining = drained.contains(endpoint);
                self.peers.set_drain_mark(endpoint, drains.version, draining);
            }
        }
        Ok(())
    }

    async fn list(&self, prefix: &str) -> Result<StoreListing, StoreError> {
        match tokio::time::timeout(READ_TIMEOUT, self.store.list(prefix)).await {
            Ok(listing) => listing,
            Err(_) => Err(StoreError::Unavailable("no answer in time".into())),
        }
    }

    fn apply_drain_marks(&self, config: &EffectiveConfig) {
        for endpoint in endpoint_names(config) {
            let draining = self.peers.is_draining(endpoint);
            self.fleet.set_leaving(endpoint, LeavingSource::DrainMark, draining);
        }
    }
}

fn listed_as_leaving(endpoints: &StoreListing) -> BTreeSet<EndpointName> {
    let is_leaving =
        |value: &[u8]| matches!(serde_json::from_slice(value), Ok(ListedState::Leaving));
    let leaving = endpoints.objects.iter().filter(|object| is_leaving(&object.value));
    leaving.map(|object| endpoint_name(&object.key, ENDPOINT_LIST_PREFIX)).collect()
}

fn endpoint_name(key: &str, prefix: &str) -> EndpointName {
    key.strip_prefix(prefix).unwrap_or(key).into()
}

fn endpoint_names(config: &EffectiveConfig) -> impl Iterator<Item = &str> {
    config.services.values().flat_map(|service| {
        let endpoints = match &service.target {
            ServiceTarget::Model(model) => &model.endpoints,
            ServiceTarget::Plain(plain) => &plain.endpoints,
        };
        endpoints.iter().map(|endpoint| &*endpoint.name)
    })
}
