//! `plan`: the difference between a directory and the configuration in force.

use serde_json::{Value, json};

use super::error::CommandError;
use super::flags::Plan;
use super::publisher::checked_tree;
use super::{CommandContext, Run};
use crate::ids::ConfigRevision;
use crate::plan::{ConfigPlan, FieldChange};
use crate::publish::{AcceptedConfig, PublishError};
use crate::tree::DeclarationTree;

impl Run for Plan {
    async fn run(&self, context: &CommandContext) -> Result<(), CommandError> {
        let tree = checked_tree(&self.directory)?;
        let (base, plan) = match context.publisher()?.read().await {
            Ok(accepted) => (
                accepted.as_ref().map_or(0, |accepted| accepted.revision),
                plan_over(accepted.as_ref(), &tree),
            ),
            // The root object in force can't be read: every field of the tree is new.
            Err(PublishError::Corrupt { revision, .. }) => (revision, plan_over(None, &tree)),
            Err(error) => return Err(error.into()),
        };
        let mut human = describe_plan(base, &plan);
        if !plan.is_empty() {
            let directory = self.directory.display();
            human.push_str(&format!("apply with: jacinthrock apply {directory} --base {base}\n"));
        }
        context.printer.result(&human, &plan_json(base, &plan))
    }
}

/// The difference between what is in force and a wanted tree.
pub(crate) fn plan_over(accepted: Option<&AcceptedConfig>, wanted: &DeclarationTree) -> ConfigPlan {
    let in_force = accepted.and_then(|accepted| accepted.document.declarations().ok());
    ConfigPlan::between(&in_force.unwrap_or_default(), wanted)
}

/// A plan for people: one line for each change and each stranded use.
pub(crate) fn describe_plan(base: ConfigRevision, plan: &ConfigPlan) -> String {
    let mut text = format!("{} changes against revision {base}\n", plan.changes.len());
    for change in &plan.changes {
        text.push_str(&describe_change(change));
    }
    for used in &plan.stranded {
        text.push_str(&format!("! {}: {}\n", used.node, used.effect));
    }
    text
}

fn describe_change(change: &FieldChange) -> String {
    let place = change.place();
    match (&change.before, &change.after) {
        (Some(before), Some(after)) => format!("~ {place}: {before} -> {after}\n"),
        (Some(before), None) => format!("- {place}: {before}\n"),
        (None, Some(after)) => format!("+ {place}: {after}\n"),
        (None, None) => String::new(),
    }
}

pub(crate) fn plan_json(base: ConfigRevision, plan: &ConfigPlan) -> Value {
    json!({ "base": base, "changes": plan.changes, "stranded": plan.stranded })
}
