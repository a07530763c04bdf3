//! `history`: the latest changes.

use serde_json::json;

use super::error::CommandError;
use super::flags::History;
use super::{CommandContext, Run};
use crate::revision::HistoryEntry;

/// Changes shown unless asked otherwise.
const DEFAULT_LIMIT: usize = 20;

impl Run for History {
    async fn run(&self, context: &CommandContext) -> Result<(), CommandError> {
        let accepted = context.accepted().await?;
        let limit = self.limit.unwrap_or(DEFAULT_LIMIT);
        let changes: Vec<HistoryEntry> =
            accepted.document.changes(accepted.revision).take(limit).collect();
        let human: String = changes.iter().map(describe_past).collect();
        context.printer.result(&human, &json!({ "changes": changes }))
    }
}

fn describe_past(entry: &HistoryEntry) -> String {
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
