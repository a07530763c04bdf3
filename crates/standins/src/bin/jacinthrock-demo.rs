//! Runs the whole system on loopback with stand-ins, injects faults and checks every outcome.

use jacinthrock_standins::load::{
    FaultKind, RunError, RunOptions, RunReport, built_in, check_layers, render_text,
    router_exited_cleanly, run_fleet,
};
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

const DEFAULT_SEED: u64 = 1;
const DEFAULT_RATE: f64 = 18.0;
const DEFAULT_SECONDS: u64 = 20;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs the system on stand-ins, breaks parts of it and checks every outcome.
        cmd jacinthrock-demo {
            /// Seed of the calls (default 1).
            optional --seed number: u64
            /// Calls in a second (default 18).
            optional --rate count: f64
            /// Length of the run, in seconds (default 20).
            optional --seconds seconds: u64
            /// Directory for logs and declarations, kept; a temporary one otherwise.
            optional --dir path: PathBuf
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::JacinthrockDemo::from_env_or_exit();
    let is_temporary = flags.dir.is_none();
    let dir_name = format!("jacinthrock-demo-{}", std::process::id());
    let dir = flags.dir.clone().unwrap_or_else(|| std::env::temp_dir().join(dir_name));
    match run(&flags, &dir) {
        Ok(true) => {
            if is_temporary {
                // A leftover temporary directory is harmless, so a failure is ignored.
                let _ = std::fs::remove_dir_all(&dir);
            }
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("logs are in {}", dir.display());
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("{error}\nlogs are in {}", dir.display());
            ExitCode::from(2)
        }
    }
}

fn run(flags: &flags::JacinthrockDemo, dir: &Path) -> Result<bool, RunError> {
    let options = RunOptions {
        scenario: built_in("demo").expect("the demo is built in"),
        seed: flags.seed.unwrap_or(DEFAULT_SEED),
        rate: flags.rate.unwrap_or(DEFAULT_RATE),
        length: Duration::from_secs(flags.seconds.unwrap_or(DEFAULT_SECONDS)),
    };
    println!("starting the system on loopback and running calls for {:?}", options.length);
    let (report, mut fleet) = run_fleet(options, dir)?;
    println!("{} processes ran\n", fleet.harness.process_count());
    print!("{}", render_text(&report));
    let layers = check_layers(&fleet.engines);
    println!(
        "  tokens in the engines' records {}, with a layer run twice {}, engines unread {}",
        layers.tokens, layers.run_twice, layers.unread_engines
    );
    let mut has_passed = report.checks.has_passed() && layers.run_twice == 0;
    for index in stopped_routers(&report) {
        let exited_cleanly = router_exited_cleanly(&mut fleet, index);
        let cut = report.cut_tries.get(&index).copied().unwrap_or(0);
        let exit = if exited_cleanly { "with code 0" } else { "badly" };
        println!("  router {} was asked to stop: cut off {cut}, ended {exit}", index + 1);
        has_passed &= exited_cleanly && cut == 0;
    }
    println!("\n{}", if has_passed { "every check holds" } else { "A CHECK FAILED" });
    Ok(has_passed)
}

/// Indexes of the routers that the scenario asked to shut down.
fn stopped_routers(report: &RunReport) -> Vec<usize> {
    let stop_index = |kind: &FaultKind| match kind {
        FaultKind::StopRouter { index } => Some(*index),
        _ => None,
    };
    report.scenario.faults.iter().filter_map(|fault| stop_index(&fault.kind)).collect()
}
