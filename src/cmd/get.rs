//! `get`: shows a node of the configuration in force.

use serde_json::json;

use super::error::CommandError;
use super::flags::Get;
use super::{CommandContext, Subcommand};
use crate::tree::SourcedValue;

impl Subcommand for Get {
    async fn run(&self, context: &CommandContext) -> Result<(), CommandError> {
        let accepted = context.accepted_config().await?;
        let revision = accepted.revision;
        let tree = accepted
            .document
            .declarations()
            .map_err(|cause| crate::publish::PublishError::Corrupt { revision, cause })?;
        let Some(mut values) = tree.effective_with_sources(&self.node) else {
            let message = format!("no node is named {:?} in revision {revision}", self.node);
            return Err(CommandError::NameUnknown(message.into()));
        };
        if !self.effective {
            values.retain(|value| *value.source == *self.node);
        }
        let human: String = values.iter().map(describe_value).collect();
        let json = json!({ "node": self.node, "revision": revision, "values": values });
        context.printer.print_result(&human, &json)
    }
}

fn describe_value(value: &SourcedValue) -> String {
    format!("{} = {}  ({})\n", value.field, value.value, value.source)
}
