//! `check`: validates a directory of declarations without the platform.

use serde_json::json;

use super::error::CommandError;
use super::flags::Check;
use super::publisher::load_checked_tree;
use super::{CommandContext, Subcommand};

impl Subcommand for Check {
    async fn run(&self, context: &CommandContext) -> Result<(), CommandError> {
        let tree = load_checked_tree(&self.directory)?;
        let config = tree.resolve(1).map_err(CommandError::InvalidDeclarations)?;
        let nodes = tree.nodes().len();
        let services = config.services.len();
        let customers = config.customers.len();
        let human = format!("{nodes} nodes, {services} services, {customers} customers: no faults");
        let json = json!({ "nodes": nodes, "services": services, "customers": customers });
        context.printer.print_result(&human, &json)
    }
}
