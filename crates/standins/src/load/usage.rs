//! Resource usage of a run: CPU time and memory of each process, and calls to the platform.

use serde::{Deserialize, Serialize};
use std::path::Path;

use crate::fleet::RunningFleet;
use crate::platform::PlatformUsage;

/// Clock ticks per second (`USER_HZ`), the unit in which Linux reports CPU time.
const TICKS_PER_SECOND: f64 = 100.0;

/// Indexes of the user and system time in `/proc/PID/stat`, counted after the command name.
const CPU_TIME_FIELDS: [usize; 2] = [11, 12];

/// Resource usage of one process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProcessUsage {
    /// Name of the process.
    pub name: Box<str>,
    /// CPU time since the start of the process, in seconds.
    pub processor_s: f64,
    /// Peak resident memory, in kilobytes.
    pub peak_memory_kb: u64,
}

/// Resource usage of a run; processes that ended before the measurement are omitted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Routers.
    pub routers: Vec<ProcessUsage>,
    /// Controllers.
    pub controllers: Vec<ProcessUsage>,
    /// Engines and plain endpoints.
    pub endpoints: Vec<ProcessUsage>,
    /// Calls to the platform since its start.
    pub platform: PlatformUsage,
}

/// Reads the resource usage of every process of a fleet so far.
pub(super) fn fleet_usage(fleet: &RunningFleet) -> UsageReport {
    let process_usages = |names: &mut dyn Iterator<Item = &Box<str>>| -> Vec<ProcessUsage> {
        names.filter_map(|name| process_usage(fleet, name)).collect()
    };
    let engines = fleet.engines.iter().map(|engine| &engine.name);
    let services = fleet.services.iter().map(|service| &service.name);
    UsageReport {
        routers: process_usages(&mut fleet.routers.iter().map(|router| &router.name)),
        controllers: process_usages(&mut fleet.controllers.iter()),
        endpoints: process_usages(&mut engines.chain(services)),
        platform: platform_usage(&fleet.platform).unwrap_or_default(),
    }
}

/// Sum of a metric over all its labels at one router, or `None` if the router does not respond.
pub(super) fn router_metric(operator_address: &str, name: &str) -> Option<f64> {
    let mut response = ureq::get(format!("http://{operator_address}/metrics")).call().ok()?;
    let text = response.body_mut().read_to_string().ok()?;
    let is_metric_line =
        |line: &&str| line.strip_prefix(name).is_some_and(|rest| rest.starts_with([' ', '{']));
    let value = |line: &str| line.rsplit(' ').next()?.parse::<f64>().ok();
    Some(text.lines().filter(is_metric_line).filter_map(value).sum())
}

/// Saves the metrics of every running router to `NAME.metrics` in `dir`.
pub(super) fn save_metrics(fleet: &RunningFleet, dir: &Path) {
    for router in &fleet.routers {
        let url = format!("http://{}/metrics", router.operator_address);
        let text = ureq::get(url)
            .call()
            .ok()
            .and_then(|mut response| response.body_mut().read_to_string().ok());
        if let Some(text) = text {
            // The report does not need this file, so a failure is ignored.
            let _ = std::fs::write(dir.join(format!("{}.metrics", router.name)), text);
        }
    }
}

fn process_usage(fleet: &RunningFleet, name: &str) -> Option<ProcessUsage> {
    let directory = format!("/proc/{}", fleet.harness.process_id(name)?);
    let stat = std::fs::read_to_string(format!("{directory}/stat")).ok()?;
    let status = std::fs::read_to_string(format!("{directory}/status")).ok()?;
    Some(ProcessUsage {
        name: name.into(),
        processor_s: processor_seconds(&stat)?,
        peak_memory_kb: peak_memory_kb(&status)?,
    })
}

fn processor_seconds(stat: &str) -> Option<f64> {
    let (_, fields) = stat.rsplit_once(") ")?;
    let fields: Vec<&str> = fields.split(' ').collect();
    let ticks = CPU_TIME_FIELDS.iter().map(|&field| fields.get(field)?.parse::<f64>().ok());
    Some(ticks.sum::<Option<f64>>()? / TICKS_PER_SECOND)
}

fn peak_memory_kb(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.split_whitespace().next()?.parse().ok()
}

fn platform_usage(address: &str) -> Option<PlatformUsage> {
    let mut response = ureq::get(format!("http://{address}/control/usage")).call().ok()?;
    serde_json::from_slice(&response.body_mut().read_to_vec().ok()?).ok()
}
