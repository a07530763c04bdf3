//! Operators' program: checks, applies and inspects the configuration of a deployment.

use std::process::ExitCode;

fn main() -> ExitCode {
    jacinthrock::run_operator()
}
