//! `explain`: prints what the logs of all hosts tell about one request.

use std::fs::File;
use std::io::{self, BufReader};

use serde_json::{Value, json};

use super::error::CommandError;
use super::flags::Explain;
use super::{CommandContext, Subcommand};
use crate::trail::{TrailReader, TrailStep};

impl Subcommand for Explain {
    async fn run(&self, context: &CommandContext) -> Result<(), CommandError> {
        let mut reader = TrailReader::new(&*self.attempt);
        if self.logs.is_empty() {
            let read = reader.read(io::stdin().lock());
            read.map_err(|error| unreadable("standard input", &error))?;
        }
        for path in &self.logs {
            let log = File::open(path).and_then(|file| reader.read(BufReader::new(file)));
            log.map_err(|error| unreadable(&path.display().to_string(), &error))?;
        }
        let trail = reader.trail();
        if trail.is_empty() {
            let message = format!("no log line names the request {:?}", self.attempt);
            return Err(CommandError::NameUnknown(message.into()));
        }
        let lines: Vec<String> = trail.iter().map(step_line).collect();
        let json = json!({ "trail": trail.iter().map(step_json).collect::<Vec<_>>() });
        context.printer.print_result(&lines.join("\n"), &json)
    }
}

fn unreadable(what: &str, error: &io::Error) -> CommandError {
    CommandError::Usage(format!("cannot read {what}: {error}").into())
}

/// One line for people; an asterisk marks the lines that name the request itself.
fn step_line(step: &TrailStep) -> String {
    let mark = if step.is_own { '*' } else { ' ' };
    let details = step.details.iter().map(|(name, value)| match value {
        Value::String(text) => format!(" {name}={text}"),
        value => format!(" {name}={value}"),
    });
    let details: String = details.collect();
    format!("{mark} {} {} {}{details}", step.time, step.host, step.event)
}

fn step_json(step: &TrailStep) -> Value {
    json!({
        "time": step.time,
        "host": step.host,
        "event": step.event,
        "own": step.is_own,
        "details": step.details,
    })
}
