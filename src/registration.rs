//! Registration of a host on the platform, through which peers and operators discover it.

use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

use crate::ids::{DomainName, HostName, Incarnation, ObjectVersion};
use crate::platform::{PlatformStore, StoreError};

/// Key prefix of the registrations.
pub(crate) const HOST_PREFIX: &str = "routers/";

/// Interval between retries of a failed registration.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between checks that the registration still exists.
const CHECK_INTERVAL: Duration = Duration::from_secs(30);

/// Registration of a host, stored as an object on the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HostRegistration {
    /// Name of the host.
    pub(crate) host: HostName,
    /// Failure domain of the host.
    pub(crate) domain: DomainName,
    /// Address that peers connect to.
    pub(crate) peer: Box<str>,
    /// Address of the operator server.
    pub(crate) operator: Box<str>,
    /// Incarnation of the process; a restart has a higher one.
    pub(crate) incarnation: Incarnation,
}

impl HostRegistration {
    fn key(&self) -> String {
        format!("{HOST_PREFIX}{}", self.host)
    }

    /// Maintains the registration indefinitely: writes it if it is missing or from an earlier
    /// incarnation, and retries during an outage of the platform.
    pub(crate) async fn maintain(&self, store: Rc<dyn PlatformStore>) {
        loop {
            let interval = match self.write_if_outdated(&*store).await {
                Ok(()) => CHECK_INTERVAL,
                Err(_) => RETRY_INTERVAL,
            };
            tokio::time::sleep(interval).await;
        }
    }

    /// Deletes the registration unless a later process has replaced it; gives up after `timeout`.
    pub(crate) async fn remove(&self, store: Rc<dyn PlatformStore>, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        let _ = tokio::time::timeout_at(deadline, self.delete_own(&*store)).await;
    }

    async fn write_if_outdated(&self, store: &dyn PlatformStore) -> Result<(), StoreError> {
        let (version, found) = self.read(store).await?;
        if found.is_some_and(|found| found.incarnation >= self.incarnation) {
            return Ok(());
        }
        let value = serde_json::to_vec(self).expect("registrations hold only JSON types");
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
