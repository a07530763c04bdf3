//! Entry points of the daemons: load the settings, start logging, run the daemon and return the
//! exit code.

use std::error::Error;
use std::process::ExitCode;
use tokio::task::LocalSet;

use crate::config::{ControllerSettings, RouterSettings, SettingError};
use crate::flags::JacinthrockRouter;
use crate::flags::controller::JacinthrockController;
use crate::{control, logs, router};

/// Exit code of a daemon that could not start or failed.
const EXIT_FAILED: u8 = 1;
/// Exit code of a daemon with invalid settings.
const EXIT_SETTINGS: u8 = 2;

/// Threads for blocking calls other than streams: platform calls and polls of engine states.
const BASE_BLOCKING_THREADS: usize = 64;

/// Runs the router until it shuts down, with the settings of the command line and environment.
pub fn run_router() -> ExitCode {
    let flags = JacinthrockRouter::from_env_or_exit();
    let is_check_only = flags.check;
    let settings = match RouterSettings::load(flags) {
        Ok(settings) => settings,
        Err(error) => return report_settings_error(&error),
    };
    if is_check_only {
        return ExitCode::SUCCESS;
    }
    logs::start(settings.log_level);
    let threads = settings.limits.streams + BASE_BLOCKING_THREADS;
    run_daemon(threads, router::run(settings))
}

/// Runs the controller until it shuts down, with the settings of the command line and environment.
pub fn run_controller() -> ExitCode {
    let flags = JacinthrockController::from_env_or_exit();
    let is_check_only = flags.check;
    let settings = match ControllerSettings::load(flags) {
        Ok(settings) => settings,
        Err(error) => return report_settings_error(&error),
    };
    if is_check_only {
        return ExitCode::SUCCESS;
    }
    logs::start(settings.log_level);
    run_daemon(BASE_BLOCKING_THREADS, control::run(settings))
}

/// Runs a daemon on a single-threaded runtime with a limited pool for blocking calls.
fn run_daemon<E: Error>(
    blocking_threads: usize,
    daemon: impl Future<Output = Result<(), E>>,
) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(blocking_threads)
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return report_failure(&error),
    };
    let result = runtime.block_on(LocalSet::new().run_until(daemon));
    // Exits without waiting for blocking reads of abandoned calls, which end by their own timeouts.
    runtime.shutdown_background();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_failure(&error),
    }
}

fn report_settings_error(error: &SettingError) -> ExitCode {
    eprintln!("error: {error}");
    ExitCode::from(EXIT_SETTINGS)
}

fn report_failure(error: &dyn Error) -> ExitCode {
    eprintln!("error: {error}");
    ExitCode::from(EXIT_FAILED)
}
