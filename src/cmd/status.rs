//! `status`: shows the revision in force and the state of each host.

use serde_json::{Value, json};

use super::error::CommandError;
use super::flags::Status;
use super::hosts::{HostEntry, query_hosts, registered_hosts};
use super::{CommandContext, Subcommand};
use crate::publish::PublishError;
use crate::rollout::HostAnswer;

impl Subcommand for Status {
    async fn run(&self, context: &CommandContext) -> Result<(), CommandError> {
        let store = context.store()?;
        let (revision, problem) = match context.publisher()?.read().await {
            Ok(accepted) => (accepted.map_or(0, |accepted| accepted.revision), None),
            Err(PublishError::Corrupt { revision, cause }) => (revision, Some(cause.to_string())),
            Err(error) => return Err(error.into()),
        };
        let entries = registered_hosts(&*store).await?;
        let answers = query_hosts(&entries).await;
        let mut human = format!("accepted revision: {revision}\n");
        if let Some(problem) = &problem {
            human.push_str(&format!("accepted revision does not read: {problem}\n"));
        }
        for (entry, answer) in entries.iter().zip(&answers) {
            human.push_str(&describe_host(entry, answer, revision));
        }
        if entries.is_empty() {
            human.push_str("no host is registered\n");
        }
        let hosts: Vec<Value> = entries
            .iter()
            .zip(&answers)
            .map(|(entry, answer)| host_json(entry, answer, revision))
            .collect();
        let json = json!({ "revision": revision, "problem": problem, "hosts": hosts });
        context.printer.print_result(&human, &json)
    }
}

fn describe_host(entry: &HostEntry, answer: &HostAnswer, revision: u64) -> String {
    let label = format!("{} ({}, {})", entry.host, entry.domain, entry.operator);
    match &answer.report {
        Ok(report) => {
            let lag = if report.revision < revision { ", lagging" } else { "" };
            let state = [&*report.state, &*report.detail].join(" ");
            format!("{label}: revision {}{lag}, {}\n", report.revision, state.trim())
        }
        Err(reason) => format!("{label}: unreachable: {reason}\n"),
    }
}

fn host_json(entry: &HostEntry, answer: &HostAnswer, revision: u64) -> Value {
    let mut host = json!({
        "host": entry.host,
        "domain": entry.domain,
        "operator": entry.operator,
        "incarnation": entry.incarnation,
    });
    match &answer.report {
        Ok(report) => {
            host["revision"] = json!(report.revision);
            host["state"] = json!(report.state);
            host["detail"] = json!(report.detail);
            host["lagging"] = json!(report.revision < revision);
        }
        Err(reason) => host["unreachable"] = json!(reason),
    }
    host
}
