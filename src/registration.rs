//! A host's object on the platform, by which peers and operators find it.

use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

use crate::ids::{DomainName, HostName, Incarnation, ObjectVersion};
use crate::platform::{PlatformStore, StoreError};

/// Prefix of the objects of hosts.
pub(crate) const HOST_PREFIX: &str = "routers/";

/// Wait before a failed registration is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two checks that the object is still there.
const CHECK_INTERVAL: Duration = Duration::from_secs(30);

/// A host's object on the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HostRegistration {
    /// Name of the host.
    pub(crate) host: HostName,
    /// Failure domain of the host.
    pub(crate) domain: DomainName,
    /// Address of the port for peers.
    pub(crate) peer: Box<str>,
    /// Address of the port for operators.
    pub(crate) operator: Box<str>,
    /// Run of the process; a later one is higher.
    pub(crate) incarnation: Incarnation,
}

impl HostRegistration {
    fn key(&self) -> String {
        format!("{HOST_PREFIX}{}", self.host)
    }

    /// Keeps the object on the platform, through outages, for as long as it runs.
    pub(crate) async fn maintain(&self, store: Rc<dyn PlatformStore>) {
        loop {
            let interval = match self.write_if_outdated(&*store).await {
                Ok(()) => CHECK_INTERVAL,
                Err(_) => RETRY_INTERVAL,
            };
            tokio::time::sleep(interval).await;
        }
    }

    /// Removes the object unless a later process has written its own.
    pub(crate) async fn remove(&self, store: Rc<dyn PlatformStore>, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        let _ = tokio::time::timeout_at(deadline, self.delete_own(&*store)).await;
    }

    async fn write_if_outdated(&self, store: &dyn PlatformStore) -> Result<(), StoreError> {
        let (version, found) = self.read(store).await?;
        if found.is_some_and(|found| found.incarnation >= self.incarnation) {
            return Ok(());
        }
        let value = serde_json::to_vec(self).expect("a registration has only plain fields");
        store.put(&self.key(), version, value.into()).await?;
        Ok(())
    }

    async fn delete_own(&self, store: &dyn PlatformStore) -> Result<(), StoreError> {
        let (version, found) = self.read(store).await?;
        if found.as_ref() != Some(self) {
            return Ok(());
        }
        store.delete(&self.key(), version).await
    }

    async fn read(
        &self,
        store: &dyn PlatformStore,
    ) -> Result<(ObjectVersion, Option<Self>), StoreError> {
        let Some(object) = store.get(&self.key()).await? else {
            return Ok((0, None));
        };
        Ok((object.version, serde_json::from_slice(&object.value).ok()))
    }
}
