//! `history`: shows the latest configuration changes.

use serde_json::json;

use super::error::CommandError;
use super::flags::History;
use super::{CommandContext, Subcommand};
use crate::revision::HistoryEntry;

/// Number of changes shown when `--limit` is not given.
const DEFAULT_LIMIT: usize = 20;

impl Subcommand for History {
    async fn run(&self, context: &CommandContext) -> Result<(), CommandError> {
        let accepted = context.accepted_config().await?;
        let limit = self.limit.unwrap_or(DEFAULT_LIMIT);
        let changes: Vec<HistoryEntry> =
            accepted.document.changes(accepted.revision).take(limit).collect();
        let human: String = changes.iter().map(describe_change).collect();
        context.printer.print_result(&human, &json!({ "changes": changes }))
    }
}

fn describe_change(entry: &HistoryEntry) -> String {
    let HistoryEntry { revision, change } = entry;
    let mut text = format!("{revision}  {}  {}", change.time, change.author);
    if !change.message.is_empty() {
        text.push_str(&format!("  {}", change.message));
    }
    text.push('\n');
    for field in &change.fields {
        text.push_str(&format!("    {field}\n"));
    }
    if change.unlisted > 0 {
        text.push_str(&format!("    and {} more fields\n", change.unlisted));
    }
    text
}
