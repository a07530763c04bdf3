//! `drain`: takes an endpoint out of service or shuts a host down gracefully.

use serde_json::{Value, json};

use super::error::CommandError;
use super::flags::Drain;
use super::hosts::{HostEntry, drain_host, registered_hosts};
use super::{CommandContext, Subcommand, env};
use crate::check::endpoints_of;
use crate::controller::DRAIN_PREFIX;
use crate::platform::{PlatformStore, StoredObject};

/// Kind of the target that the operator named.
enum DrainTarget {
    Endpoint,
    Host(HostEntry),
}

impl Subcommand for Drain {
    async fn run(&self, context: &CommandContext) -> Result<(), CommandError> {
        let store = context.store()?;
        let target = &self.target;
        let outcome = match (self.find_target(context, &*store).await?, self.undo) {
            (DrainTarget::Endpoint, true) => {
                self.delete_drain_mark(&*store).await?;
                "back in service"
            }
            (DrainTarget::Endpoint, false) => {
                self.put_drain_mark(&*store).await?;
                "draining: it takes no new work"
            }
            (DrainTarget::Host(entry), false) => {
                drain_host(&entry).await?;
                "draining: it finishes its requests and stops"
            }
            (DrainTarget::Host(_), true) => {
                let message = format!("host {target} can't be undrained: start its process again");
                return Err(CommandError::Usage(message.into()));
            }
        };
        let json = json!({ "target": target, "draining": !self.undo });
        context.printer.print_result(&format!("{target} {outcome}"), &json)
    }
}

impl Drain {
    async fn find_target(
        &self,
        context: &CommandContext,
        store: &dyn PlatformStore,
    ) -> Result<DrainTarget, CommandError> {
        let entries = registered_hosts(store).await?;
        let host = entries.into_iter().find(|entry| *entry.host == *self.target);
        let is_endpoint = self.is_endpoint(context, store).await?;
        match (host, is_endpoint) {
            (None, true) => Ok(DrainTarget::Endpoint),
            (Some(entry), false) => Ok(DrainTarget::Host(entry)),
            (Some(_), true) => {
                let message = format!("{:?} names both a host and an endpoint", self.target);
                Err(CommandError::Usage(message.into()))
            }
            (None, false) => {
                let message = format!("no endpoint or host is named {:?}", self.target);
                Err(CommandError::NameUnknown(message.into()))
            }
        }
    }

    /// Whether the target is an endpoint of the configuration in force, or a former endpoint that
    /// still has a drain mark.
    async fn is_endpoint(
        &self,
        context: &CommandContext,
        store: &dyn PlatformStore,
    ) -> Result<bool, CommandError> {
        let accepted = context.publisher()?.read().await?;
        let tree = accepted.and_then(|accepted| accepted.document.declarations().ok());
        let nodes = tree.iter().flat_map(|tree| tree.nodes());
        let mut endpoints = nodes.flat_map(|declared| endpoints_of(&declared.node));
        if endpoints.any(|(_, _, endpoint)| *endpoint.name == *self.target) {
            return Ok(true);
        }
        Ok(store.get(&self.drain_key()).await?.is_some())
    }

    fn drain_key(&self) -> String {
        format!("{DRAIN_PREFIX}{}", self.target)
    }

    /// Writes the operator's drain mark. It replaces the controller's, which the controller would
    /// delete as soon as the platform no longer lists the endpoint as leaving.
    async fn put_drain_mark(&self, store: &dyn PlatformStore) -> Result<(), CommandError> {
        let found = store.get(&self.drain_key()).await?;
        if found.as_ref().is_some_and(|object| !is_set_by_controller(object)) {
            return Ok(());
        }
        let version = found.map_or(0, |object| object.version);
        let author = env::author().unwrap_or_else(|| "unknown".into());
        let value = json!({ "by": "operator", "author": author }).to_string();
        store.put(&self.drain_key(), version, value.into_bytes().into()).await?;
        Ok(())
    }

    async fn delete_drain_mark(&self, store: &dyn PlatformStore) -> Result<(), CommandError> {
        let Some(object) = store.get(&self.drain_key()).await? else { return Ok(()) };
        if is_set_by_controller(&object) {
            let message = format!("the platform's list has endpoint {} as leaving", self.target);
            return Err(CommandError::Usage(message.into()));
        }
        Ok(store.delete(&self.drain_key(), object.version).await?)
    }
}

fn is_set_by_controller(object: &StoredObject) -> bool {
    let mark: Option<Value> = serde_json::from_slice(&object.value).ok();
    mark.is_some_and(|mark| mark["by"] == "controller")
}
