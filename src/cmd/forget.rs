//! `forget`: deletes the registration of a host that will not come back.

use serde_json::json;

use super::error::CommandError;
use super::flags::Forget;
use super::hosts::{query_hosts, registered_hosts};
use super::{CommandContext, Subcommand};
use crate::registration::HOST_PREFIX;

impl Subcommand for Forget {
    async fn run(&self, context: &CommandContext) -> Result<(), CommandError> {
        let store = context.store()?;
        let entries = registered_hosts(&*store).await?;
        let Some(entry) = entries.into_iter().find(|entry| *entry.host == *self.host) else {
            let message = format!("no host is named {:?}", self.host);
            return Err(CommandError::NameUnknown(message.into()));
        };
        let answers = query_hosts(std::slice::from_ref(&entry)).await;
        if answers.iter().any(|answer| answer.report.is_ok()) {
            let message = format!("host {} answers: drain it instead", self.host);
            return Err(CommandError::Usage(message.into()));
        }
        store.delete(&format!("{HOST_PREFIX}{}", self.host), entry.version).await?;
        let json = json!({ "forgotten": self.host });
        context.printer.print_result(&format!("host {} forgotten", self.host), &json)
    }
}
