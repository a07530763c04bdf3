//! Output for people and programs. If the reader closes standard output, the program ends without
//! an error.

use serde_json::Value;
use std::io::{self, Write};
use std::process::ExitCode;

use super::error::CommandError;

/// Output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutputFormat {
    Human,
    Json,
}

impl OutputFormat {
    pub(crate) fn parse(text: Option<&str>) -> Result<Self, CommandError> {
        match text {
            None | Some("human") => Ok(Self::Human),
            Some("json") => Ok(Self::Json),
            Some(other) => {
                let message = format!("--output is {other:?}, expected human or json");
                Err(CommandError::Usage(message.into()))
            }
        }
    }
}

/// Outcome of a write to standard output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    Written,
    Closed,
    Failed,
}

impl WriteOutcome {
    pub(crate) fn exit_code(self) -> ExitCode {
        if self == Self::Failed { ExitCode::FAILURE } else { ExitCode::SUCCESS }
    }
}

/// Writes results to standard output, progress and errors to standard error.
pub(crate) struct Printer {
    format: OutputFormat,
}

impl Printer {
    pub(crate) fn new(format: OutputFormat) -> Self {
        Self { format }
    }

    /// Prints a line to standard output.
    pub(crate) fn print_line(&self, text: &str) -> WriteOutcome {
        match writeln!(io::stdout().lock(), "{text}") {
            Ok(()) => WriteOutcome::Written,
            Err(error) if error.kind() == io::ErrorKind::BrokenPipe => WriteOutcome::Closed,
            Err(_) => WriteOutcome::Failed,
        }
    }

    /// Prints a result in the chosen format.
    pub(crate) fn print_result(&self, human: &str, json: &Value) -> Result<(), CommandError> {
        let outcome = match self.format {
            OutputFormat::Human => self.print_line(human.trim_end()),
            OutputFormat::Json => self.print_line(&json.to_string()),
        };
        match outcome {
            WriteOutcome::Written => Ok(()),
            WriteOutcome::Closed => Err(CommandError::OutputClosed),
            WriteOutcome::Failed => Err(CommandError::Usage("the output can't be written".into())),
        }
    }

    /// Prints progress to standard error; write errors are ignored.
    pub(crate) fn print_progress(&self, human: &str, json: &Value) {
        let mut stderr = io::stderr().lock();
        let _ = match self.format {
            OutputFormat::Human => writeln!(stderr, "{human}"),
            OutputFormat::Json => writeln!(stderr, "{json}"),
        };
    }

    /// Prints an error and returns its exit code.
    pub(crate) fn print_error(&self, error: &CommandError) -> ExitCode {
        if !matches!(error, CommandError::OutputClosed) {
            let row = error.code().row();
            let human = format!("error {} {}: {error}", row.number, row.name);
            self.print_progress(&human, &error.to_json());
        }
        ExitCode::from(error.exit_code())
    }
}
