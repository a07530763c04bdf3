//! Command line of the operators' program `jacinthrock`, with a module for each subcommand.

mod apply;
mod check;
mod drain;
mod env;
mod error;
mod explain;
mod flags;
mod forget;
mod get;
mod history;
mod hosts;
mod output;
mod plan;
mod publisher;
mod status;

use std::process::ExitCode;

pub use error::ExitRow;

use error::CommandError;
use flags::{Jacinthrock, JacinthrockCmd};
use output::{OutputFormat, Printer};

/// Subcommand with its parsed arguments.
pub(crate) trait Subcommand {
    /// Executes the subcommand and prints its result.
    async fn run(&self, context: &CommandContext) -> Result<(), CommandError>;
}

/// Options that all subcommands share, from the command line and the environment.
pub(crate) struct CommandContext {
    /// URL of the platform's object API.
    pub(crate) platform: Option<Box<str>>,
    pub(crate) printer: Printer,
}

/// Runs the operators' program on this process's arguments and returns its exit code.
pub fn run_operator() -> ExitCode {
    let flags = match Jacinthrock::from_env() {
        Ok(flags) => flags,
        Err(error) if error.is_help() => {
            return Printer::new(OutputFormat::Human).print_line(&error.to_string()).exit_code();
        }
        Err(error) => return usage_error(&format!("{error}; --help shows the usage")),
    };
    let format = match OutputFormat::parse(flags.output.as_deref().or(env::output().as_deref())) {
        Ok(format) => format,
        Err(error) => return usage_error(&error.to_string()),
    };
    let platform = flags.platform.clone().map(Box::from).or_else(env::platform);
    let context = CommandContext { platform, printer: Printer::new(format) };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return usage_error(&error.to_string()),
    };
    let local = tokio::task::LocalSet::new();
    let result = local.block_on(&runtime, dispatch(&flags.subcommand, &context));
    // Exits without waiting for blocking calls that are still running.
    runtime.shutdown_background();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => context.printer.print_error(&error),
    }
}

/// Returns every exit code of the operators' program.
pub fn exit_codes() -> &'static [ExitRow] {
    error::EXIT_ROWS
}

/// Prints a startup error in the output format that the environment sets, as the flags may not be
/// parsed yet.
fn usage_error(message: &str) -> ExitCode {
    let error = CommandError::Usage(message.into());
    let format = OutputFormat::parse(env::output().as_deref()).unwrap_or(OutputFormat::Human);
    Printer::new(format).print_error(&error)
}

async fn dispatch(command: &JacinthrockCmd, context: &CommandContext) -> Result<(), CommandError> {
    match command {
        JacinthrockCmd::Check(check) => check.run(context).await,
        JacinthrockCmd::Plan(plan) => plan.run(context).await,
        JacinthrockCmd::Apply(apply) => apply.run(context).await,
        JacinthrockCmd::Get(get) => get.run(context).await,
        JacinthrockCmd::Status(status) => status.run(context).await,
        JacinthrockCmd::History(history) => history.run(context).await,
        JacinthrockCmd::Drain(drain) => drain.run(context).await,
        JacinthrockCmd::Forget(forget) => forget.run(context).await,
        JacinthrockCmd::Explain(explain) => explain.run(context).await,
    }
}
