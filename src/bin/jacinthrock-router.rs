//! Router: routes callers' requests to endpoints.

use std::process::ExitCode;

fn main() -> ExitCode {
    jacinthrock::run_router()
}
