//! `check`: validates a directory of declarations and reports findings. The platform is needed only
//! to compare with the configuration in force.

use serde_json::json;

use super::error::CommandError;
use super::flags::Check;
use super::plan::{describe_plan, plan_json, read_plan};
use super::publisher::load_checked_tree;
use super::{CommandContext, Subcommand};
use crate::findings::ConfigFinding;

impl Subcommand for Check {
    async fn run(&self, context: &CommandContext) -> Result<(), CommandError> {
        let tree = load_checked_tree(&self.directory)?;
        let config = tree.resolve(1).map_err(CommandError::InvalidDeclarations)?;
        let findings = ConfigFinding::find_all(&tree, &config);
        let comparison =
            if self.in_force { Some(read_plan(context, &tree).await) } else { None }.transpose();
        let (nodes, services, customers) =
            (tree.nodes().len(), config.services.len(), config.customers.len());
        let mut human: String = findings.iter().map(|finding| format!("{finding}\n")).collect();
        let mut json = json!({
            "nodes": nodes,
            "services": services,
            "customers": customers,
            "findings": findings,
        });
        if let Ok(Some((base, plan))) = &comparison {
            human.push_str(&format!("{}\n", describe_plan(*base, plan)));
            json["in_force"] = plan_json(*base, plan);
        }
        human.push_str(&format!(
            "{nodes} nodes, {services} services, {customers} customers: no faults, {} findings",
            findings.len()
        ));
        context.printer.print_result(&human, &json)?;
        // The findings are printed even if the configuration in force can't be read.
        comparison?;
        if self.strict && !findings.is_empty() {
            return Err(CommandError::Findings(findings));
        }
        Ok(())
    }
}
