//! Runs a scenario on a fleet started for the run, or against a running system.

use jacinthrock::RequestId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use super::arrival::{CallArrival, call_arrivals};
use super::check::check_runs;
use super::driver::{LoadDriver, LoadTarget};
use super::recovery::resumed_requests;
use super::report::{RunInput, RunReport};
use super::scenario::LoadScenario;
use super::usage::{fleet_usage, save_metrics};
use crate::direct::DirectCaller;
use crate::fleet::RunningFleet;
use crate::harness::HarnessError;

/// Longest wait for a router that was asked to shut down.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(30);

/// Input of a run.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Scenario to run.
    pub scenario: LoadScenario,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Calls per second, of all kinds, outside of bursts.
    pub rate: f64,
    /// Time during which calls arrive.
    pub length: Duration,
}

/// Target of the calls of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunMode {
    /// Routers of a fleet started for the run.
    Fleet,
    /// Endpoints of a fleet started for the run, bypassing the routers.
    Direct,
    /// Addresses of routers that are already running.
    Target(Vec<Box<str>>),
}

/// Why a run produced no report.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A process could not be started or did not become ready.
    #[error(transparent)]
    Harness(#[from] HarnessError),
    /// A report could not be written or read.
    #[error("report {path}: {reason}")]
    Report {
        /// Path of the file.
        path: Box<str>,
        /// Cause of the failure.
        reason: Box<str>,
    },
    /// The scenario is neither built in nor a readable file.
    #[error("scenario {0:?} is neither built in nor a readable file")]
    Scenario(Box<str>),
}

/// Runs a scenario in the given mode.
pub fn run_scenario(options: RunOptions, mode: RunMode, dir: &Path) -> Result<RunReport, RunError> {
    match mode {
        RunMode::Fleet => run_fleet(options, dir).map(|(report, _)| report),
        RunMode::Direct => run_direct(options, dir),
        RunMode::Target(routers) => Ok(run_target(options, routers)),
    }
}

/// Starts the scenario's fleet, runs the calls and faults, and checks the outcome.
///
/// Returns the fleet still running, so that the caller can make further checks on it.
pub fn run_fleet(options: RunOptions, dir: &Path) -> Result<(RunReport, RunningFleet), RunError> {
    let mut fleet = RunningFleet::start(options.scenario.fleet.clone(), dir)?;
    let operator_addresses = fleet.routers.iter().map(|router| router.operator_address.clone());
    let target = LoadTarget {
        routers: fleet.router_addresses(),
        operator_addresses: operator_addresses.collect(),
        plan: fleet.plan.clone(),
    };
    let report = run_calls(options, RunMode::Fleet, LoadDriver::new(target), &mut fleet);
    save_metrics(&fleet, dir);
    Ok((report, fleet))
}

/// Runs the calls and faults of a scenario directly on the chains and endpoints, round robin,
/// bypassing the routers.
fn run_direct(options: RunOptions, dir: &Path) -> Result<RunReport, RunError> {
    let mut fleet = RunningFleet::start_endpoints(options.scenario.fleet.clone(), dir)?;
    let target = LoadTarget {
        routers: vec!["direct".into()],
        operator_addresses: Vec::new(),
        plan: fleet.plan.clone(),
    };
    let caller = DirectCaller::new(fleet.direct_target(), fleet.plan.call_timeout());
    let driver = LoadDriver::with_caller(target, Box::new(caller));
    Ok(run_calls(options, RunMode::Direct, driver, &mut fleet))
}

/// Sends the calls and injects the faults at their times, then builds the report.
fn run_calls(
    options: RunOptions,
    mode: RunMode,
    mut driver: LoadDriver,
    fleet: &mut RunningFleet,
) -> RunReport {
    let mut faults = options.scenario.faults.clone();
    faults.sort_by(|first, second| first.at_s.total_cmp(&second.at_s));
    let mut faults = faults.into_iter().peekable();
    for arrival in arrivals(&options) {
        while let Some(fault) = faults.next_if(|fault| fault.at() <= arrival.at) {
            driver.sleep_until(fault.at());
            fault.apply(fleet);
        }
        driver.sleep_until(arrival.at);
        driver.send(arrival);
    }
    for fault in faults.filter(|fault| fault.at() <= options.length) {
        driver.sleep_until(fault.at());
        fault.apply(fleet);
    }
    let samples = driver.finish();
    let checks = check_runs(&samples, &fleet.services);
    let usage = fleet_usage(fleet);
    let resumed = resumed_requests(&fleet.engines);
    RunReport { usage, ..RunReport::new(run_input(options, mode, resumed), &samples, checks) }
}

/// Runs the scenario's calls against routers that are already running, without faults.
fn run_target(mut options: RunOptions, routers: Vec<Box<str>>) -> RunReport {
    options.scenario.faults.clear();
    let plan = options.scenario.fleet.clone();
    let mode = RunMode::Target(routers.clone());
    let target = LoadTarget { routers, operator_addresses: Vec::new(), plan };
    let mut driver = LoadDriver::new(target);
    for arrival in arrivals(&options) {
        driver.sleep_until(arrival.at);
        driver.send(arrival);
    }
    let samples = driver.finish();
    let checks = check_runs(&samples, &[]);
    RunReport::new(run_input(options, mode, BTreeSet::new()), &samples, checks)
}

/// Waits for a router that was asked to shut down and returns whether it exited with code 0.
pub fn router_exited_cleanly(fleet: &mut RunningFleet, index: usize) -> bool {
    let name = fleet.routers[index].name.clone();
    let status = fleet.harness.wait_exit(&name, SHUTDOWN_TIMEOUT);
    status.is_some_and(|status| status.success())
}

fn arrivals(options: &RunOptions) -> Vec<CallArrival> {
    call_arrivals(&options.scenario, options.seed, options.rate, options.length)
}

fn run_input(options: RunOptions, mode: RunMode, resumed: BTreeSet<RequestId>) -> RunInput {
    let RunOptions { scenario, seed, rate, length } = options;
    RunInput { scenario, seed, rate, length, mode, resumed }
}
