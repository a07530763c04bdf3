//! `plan`: shows the difference between a directory of declarations and the configuration in force.

use serde_json::{Value, json};

use super::error::CommandError;
use super::flags::Plan;
use super::publisher::load_checked_tree;
use super::{CommandContext, Subcommand};
use crate::ids::ConfigRevision;
use crate::plan::{ConfigPlan, FieldChange};
use crate::publish::{AcceptedConfig, PublishError};
use crate::tree::DeclarationTree;

impl Subcommand for Plan {
    async fn run(&self, context: &CommandContext) -> Result<(), CommandError> {
        let tree = load_checked_tree(&self.directory)?;
        let (base, plan) = read_plan(context, &tree).await?;
        let mut human = describe_plan(base, &plan);
        if !plan.is_empty() {
            let directory = self.directory.display();
            human.push_str(&format!("\napply with: jacinthrock apply {directory} --base {base}\n"));
        }
        context.printer.print_result(&human, &plan_json(base, &plan))
    }
}

/// Reads the configuration in force; returns its revision and its difference from the wanted tree.
pub(crate) async fn read_plan(
    context: &CommandContext,
    wanted: &DeclarationTree,
) -> Result<(ConfigRevision, ConfigPlan), CommandError> {
    match context.publisher()?.read().await {
        Ok(accepted) => Ok((
            accepted.as_ref().map_or(0, |accepted| accepted.revision),
            plan_changes(accepted.as_ref(), wanted),
        )),
        // The root object is corrupt, so that every field of the tree counts as new.
        Err(PublishError::Corrupt { revision, .. }) => Ok((revision, plan_changes(None, wanted))),
        Err(error) => Err(error.into()),
    }
}

/// Compares the tree in force with the wanted tree. A tree in force that is missing or can't be
/// parsed counts as empty.
pub(crate) fn plan_changes(
    accepted: Option<&AcceptedConfig>,
    wanted: &DeclarationTree,
) -> ConfigPlan {
    let in_force = accepted.and_then(|accepted| accepted.document.declarations().ok());
    ConfigPlan::between(&in_force.unwrap_or_default(), wanted)
}

/// Formats a plan for display: a line for each changed field and for each consequence of a
/// deletion. A node that is added or removed as a whole has a single line.
pub(crate) fn describe_plan(base: ConfigRevision, plan: &ConfigPlan) -> String {
    let mut text = format!("{} changes against revision {base}\n", plan.changes.len());
    for changes in plan.changes.chunk_by(|left, right| left.node == right.node) {
        match describe_whole_node(changes) {
            Some(line) => text.push_str(&line),
            None => changes.iter().for_each(|change| text.push_str(&describe_change(change))),
        }
    }
    for impact in &plan.stranded {
        text.push_str(&format!("! {}: {}\n", impact.node, impact.effect));
    }
    text.trim_end().into()
}

/// Formats the line of a node that is added or removed as a whole; `None` for any other node.
fn describe_whole_node(changes: &[FieldChange]) -> Option<String> {
    let name = changes.iter().find(|change| &*change.field == "name")?;
    let kind = changes.iter().find(|change| &*change.field == "kind")?;
    let count = changes.len();
    let node = &name.node;
    let as_text = |value: &Option<Value>| value.as_ref().and_then(Value::as_str).map(str::to_owned);
    match (as_text(&kind.before), as_text(&kind.after)) {
        (None, Some(kind)) => Some(format!("+ {node}: new {kind} with {count} fields\n")),
        (Some(kind), None) => Some(format!("- {node}: the {kind} goes with {count} fields\n")),
        _ => None,
    }
}

fn describe_change(change: &FieldChange) -> String {
    let location = change.location();
    match (&change.before, &change.after) {
        (Some(before), Some(after)) => format!("~ {location}: {before} -> {after}\n"),
        (Some(before), None) => format!("- {location}: {before}\n"),
        (None, Some(after)) => format!("+ {location}: {after}\n"),
        (None, None) => String::new(),
    }
}

/// JSON form of a plan.
pub(crate) fn plan_json(base: ConfigRevision, plan: &ConfigPlan) -> Value {
    json!({ "base": base, "changes": plan.changes, "stranded": plan.stranded })
}
