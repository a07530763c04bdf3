//! The operators' program.

use std::process::ExitCode;

fn main() -> ExitCode {
    jacinthrock::run_operator()
}
