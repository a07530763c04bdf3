//! Load tool: sends calls to a fleet of stand-ins or a running system and writes reports.

use jacinthrock_standins::load::{
    HostReport, LoadScenario, RunError, RunMode, RunOptions, RunReport, SweepReport, SweepRow,
    built_in, draw_faults, load_scenario, measure_hosts, read_report, render_text, run_scenario,
    sweep_options, write_report, write_table,
};
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// Percentages of the throughput bound that a sweep offers by default.
const DEFAULT_PERCENTS: [f64; 5] = [50.0, 80.0, 95.0, 110.0, 150.0];
const DEFAULT_HOST_COUNTS: [u16; 5] = [3, 6, 12, 24, 48];

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Load and experiment tool.
        cmd jacinthrock-load {
            /// Runs a scenario.
            cmd run {
                /// Built-in scenario (demo, faults, lasitaide, oficina) or path of a TOML file.
                required --scenario name: String
                /// Seed of the calls (default 1).
                optional --seed number: u64
                /// Calls in a second, of all kinds, outside of bursts.
                required --rate count: f64
                /// Length of the run, in seconds.
                required --seconds seconds: u64
                /// Directory for the report, plots and logs.
                required --out path: PathBuf
                /// Address of a router that already runs; may be given more than once.
                repeated --target address: String
                /// Additional argument of every router; may be given more than once.
                repeated --router-arg argument: String
                /// Draws faults from the seed in place of the scenario's.
                optional --random-faults
                /// Calls the endpoints past the routers, to compare.
                optional --direct
            }
            /// Runs a scenario at parts of its bound, without its bursts and faults.
            cmd sweep {
                /// Built-in scenario or path of a TOML file.
                required --scenario name: String
                /// Seed of the calls (default 1).
                optional --seed number: u64
                /// Parts of the bound in hundredths (default 50, 80, 95, 110 and 150).
                repeated --percent number: f64
                /// Length of each run, in seconds.
                required --seconds seconds: u64
                /// Directory for the reports.
                required --out path: PathBuf
                /// Additional argument of every router; may be given more than once.
                repeated --router-arg argument: String
                /// Calls the endpoints past the routers, to compare.
                optional --direct
            }
            /// Measures what control costs each host without load, and the time for a change to be
            /// in force.
            cmd hosts {
                /// Numbers of hosts (default 3, 6, 12, 24 and 48).
                repeated --count number: u16
                /// Length of each measurement, in seconds.
                required --seconds seconds: u64
                /// Directory for the report and logs.
                required --out path: PathBuf
            }
            /// Repeats the run of a report with the same scenario, seed, rate and length.
            cmd repeat {
                /// Directory of the report.
                required report: PathBuf
                /// Directory for the new report, plots and logs.
                required --out path: PathBuf
            }
            /// Writes the text and the plots of a report again.
            cmd report {
                /// Directory of the report.
                required dir: PathBuf
            }
            /// Prints a built-in scenario as TOML.
            cmd scenario {
                /// Name of the scenario.
                required name: String
            }
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::JacinthrockLoad::from_env_or_exit();
    let result = match flags.subcommand {
        flags::JacinthrockLoadCmd::Run(run) => run_command(run),
        flags::JacinthrockLoadCmd::Sweep(sweep) => sweep_command(&sweep),
        flags::JacinthrockLoadCmd::Hosts(hosts) => hosts_command(&hosts),
        flags::JacinthrockLoadCmd::Repeat(repeat) => repeat_command(&repeat),
        flags::JacinthrockLoadCmd::Report(report) => report_command(&report.dir),
        flags::JacinthrockLoadCmd::Scenario(scenario) => scenario_command(&scenario.name),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

fn run_command(run: flags::Run) -> Result<bool, RunError> {
    let seed = run.seed.unwrap_or(1);
    let mut scenario = with_router_args(load_scenario(&run.scenario)?, &run.router_arg);
    if run.random_faults {
        scenario.faults = draw_faults(&scenario.fleet, seed, run.seconds as f64);
    }
    let options =
        RunOptions { scenario, seed, rate: run.rate, length: Duration::from_secs(run.seconds) };
    let addresses = run.target.iter().map(|url| url.trim_start_matches("http://").into());
    let routers: Vec<Box<str>> = addresses.collect();
    let mode = match (run.direct, routers) {
        (true, _) => RunMode::Direct,
        (false, routers) if routers.is_empty() => RunMode::Fleet,
        (false, routers) => RunMode::Target(routers),
    };
    run_and_print_report(options, mode, &run.out)
}

fn repeat_command(repeat: &flags::Repeat) -> Result<bool, RunError> {
    let report = read_report(&repeat.report)?;
    let options = RunOptions {
        scenario: report.scenario,
        seed: report.seed,
        rate: report.rate,
        length: Duration::from_secs(report.seconds),
    };
    run_and_print_report(options, report.mode, &repeat.out)
}

fn sweep_command(sweep: &flags::Sweep) -> Result<bool, RunError> {
    let scenario = with_router_args(load_scenario(&sweep.scenario)?, &sweep.router_arg);
    let length = Duration::from_secs(sweep.seconds);
    let percents =
        if sweep.percent.is_empty() { DEFAULT_PERCENTS.to_vec() } else { sweep.percent.clone() };
    let mut table = SweepReport::default();
    for percent in percents {
        let options = sweep_options(&scenario, sweep.seed.unwrap_or(1), percent, length);
        let mode = if sweep.direct { RunMode::Direct } else { RunMode::Fleet };
        let out = sweep.out.join(format!("at-{percent}"));
        table.rows.push(SweepRow::new(&run_and_write_report(options, mode, &out)?));
    }
    print!("{}", table.render());
    write_table(&sweep.out, &table.render(), &table)?;
    Ok(table.rows.iter().all(|row| row.has_passed))
}

fn hosts_command(hosts: &flags::Hosts) -> Result<bool, RunError> {
    let scenario = built_in("demo").expect("the demo is built in");
    let length = Duration::from_secs(hosts.seconds);
    let counts =
        if hosts.count.is_empty() { DEFAULT_HOST_COUNTS.to_vec() } else { hosts.count.clone() };
    let mut table = HostReport::default();
    for count in counts {
        let out = hosts.out.join(format!("hosts-{count}"));
        table.rows.push(measure_hosts(&scenario.fleet, count, length, &out)?);
    }
    print!("{}", table.render());
    write_table(&hosts.out, &table.render(), &table)?;
    Ok(true)
}

fn run_and_print_report(options: RunOptions, mode: RunMode, out: &Path) -> Result<bool, RunError> {
    let report = run_and_write_report(options, mode, out)?;
    print!("{}", render_text(&report));
    Ok(report.checks.has_passed())
}

fn run_and_write_report(
    options: RunOptions,
    mode: RunMode,
    out: &Path,
) -> Result<RunReport, RunError> {
    let report = run_scenario(options, mode, out)?;
    write_report(&report, out)?;
    Ok(report)
}

fn report_command(dir: &Path) -> Result<bool, RunError> {
    let report = read_report(dir)?;
    write_report(&report, dir)?;
    print!("{}", render_text(&report));
    Ok(report.checks.has_passed())
}

fn scenario_command(name: &str) -> Result<bool, RunError> {
    let scenario = load_scenario(name)?;
    println!("{}", toml::to_string_pretty(&scenario).expect("scenarios serialize"));
    Ok(true)
}

fn with_router_args(mut scenario: LoadScenario, args: &[String]) -> LoadScenario {
    scenario.fleet.router_args.extend(args.iter().map(|arg| arg.as_str().into()));
    scenario
}
