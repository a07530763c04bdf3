//! Controller: places models on endpoints while it holds the lease.

use std::process::ExitCode;

fn main() -> ExitCode {
    jacinthrock::run_controller()
}
