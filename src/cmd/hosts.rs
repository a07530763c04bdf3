//! Access to hosts: their registrations on the platform and calls to their operator ports.

use futures::stream::{self, StreamExt};
use serde::Deserialize;
use std::time::Duration;
use ureq::Agent;

use super::error::CommandError;
use crate::ids::{DomainName, HostName, Incarnation, ObjectVersion};
use crate::platform::PlatformStore;
use crate::registration::HOST_PREFIX;
use crate::rollout::{HostAnswer, HostReport};

/// Timeout of a call to an operator port.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(1);
/// Operator ports that are queried at the same time.
const MAX_CONCURRENT_QUERIES: usize = 32;

/// Registration of a host on the platform.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct HostEntry {
    pub(crate) host: HostName,
    #[serde(default)]
    pub(crate) domain: DomainName,
    pub(crate) operator: Box<str>,
    #[serde(default)]
    pub(crate) incarnation: Incarnation,
    /// Version of the registration object, for a conditional delete.
    #[serde(skip)]
    pub(crate) version: ObjectVersion,
}

/// Returns every registered host, sorted by name; objects that can't be parsed are skipped.
pub(crate) async fn registered_hosts(
    store: &dyn PlatformStore,
) -> Result<Vec<HostEntry>, CommandError> {
    let listing = store.list(HOST_PREFIX).await?;
    let parse = |object: crate::platform::StoredObject| {
        let entry = serde_json::from_slice::<HostEntry>(&object.value).ok()?;
        Some(HostEntry { version: object.version, ..entry })
    };
    Ok(listing.objects.into_iter().filter_map(parse).collect())
}

/// Queries the state of every host, at most [`MAX_CONCURRENT_QUERIES`] at the same time.
pub(crate) async fn query_hosts(entries: &[HostEntry]) -> Vec<HostAnswer> {
    let agent = operator_agent();
    let query = |entry: &HostEntry| query_host(agent.clone(), entry.clone());
    stream::iter(entries.iter().map(query)).buffered(MAX_CONCURRENT_QUERIES).collect().await
}

async fn query_host(agent: Agent, entry: HostEntry) -> HostAnswer {
    let url = format!("http://{}/status", entry.operator);
    let call = move || -> Result<HostReport, ureq::Error> {
        agent.get(url).call()?.body_mut().read_json()
    };
    let report = match tokio::task::spawn_blocking(call).await {
        Ok(Ok(report)) if report.host != entry.host => {
            Err(format!("the address belongs to host {} now", report.host).into())
        }
        Ok(Ok(report)) => Ok(report),
        Ok(Err(error)) => Err(error.to_string().into()),
        Err(_) => Err("the call's thread failed".into()),
    };
    HostAnswer { host: entry.host, report }
}

/// Requests a graceful shutdown of a host.
pub(crate) async fn drain_host(entry: &HostEntry) -> Result<(), CommandError> {
    let agent = operator_agent();
    let url = format!("http://{}/drain", entry.operator);
    let call = move || agent.post(url).send_empty().map(|_| ()).map_err(|error| error.to_string());
    let result = tokio::task::spawn_blocking(call).await;
    let unreachable = |reason: String| CommandError::HostUnreachable {
        host: entry.host.clone(),
        reason: reason.into(),
    };
    result.map_err(|error| unreachable(error.to_string()))?.map_err(unreachable)
}

fn operator_agent() -> Agent {
    let config = Agent::config_builder()
        .proxy(None)
        .max_redirects(0)
        .timeout_global(Some(OPERATOR_TIMEOUT))
        .build();
    Agent::new_with_config(config)
}
