//! Measures the control-plane overhead of each host, and the time for a configuration change to
//! become active, by number of hosts.

use serde::{Deserialize, Serialize};
use std::fmt::Write;
use std::path::Path;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use super::run::RunError;
use super::usage::{ProcessUsage, UsageReport, fleet_usage, router_metric};
use crate::fleet::{FleetPlan, RouterProcess, RunningFleet};

/// Time for the hosts to discover each other before the measurement starts.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Interval between two checks of a host's configuration revision.
const REVISION_POLL_PERIOD: Duration = Duration::from_millis(20);

/// Longest wait for a change to become active on a host.
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(30);

const PEER_BYTES_METRIC: &str = "jacinthrock_peer_bytes_total";
const REVISION_METRIC: &str = "jacinthrock_config_revision";

/// Control-plane overhead at one number of hosts, without load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostRow {
    /// Number of hosts; each runs a router and a controller.
    pub hosts: u16,
    /// Mean CPU usage of a router, in percent of a core.
    pub router_core_percent: f64,
    /// Mean CPU usage of a controller, in percent of a core.
    pub controller_core_percent: f64,
    /// Peak resident memory over all routers, in kilobytes.
    pub router_memory_kb: u64,
    /// Peer traffic per host, in bytes per second, both directions.
    pub peer_bytes_per_host_s: f64,
    /// Platform reads per second by all hosts.
    pub platform_reads_s: f64,
    /// Platform writes per second by all hosts.
    pub platform_writes_s: f64,
    /// Time from the start of `apply` until the change is active on a host, in milliseconds:
    /// median and maximum. Lagging hosts are excluded.
    pub in_force_ms: [f64; 2],
    /// Hosts on which the change did not become active before the timeout.
    pub lagging: u16,
}

/// Control-plane overhead by number of hosts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostReport {
    /// Measurements in the order in which they were made.
    pub rows: Vec<HostRow>,
}

/// Starts a fleet with `hosts` hosts and measures it without load for `length`.
pub fn measure_hosts(
    plan: &FleetPlan,
    hosts: u16,
    length: Duration,
    dir: &Path,
) -> Result<HostRow, RunError> {
    let plan = FleetPlan { routers: hosts, controllers: hosts, ..plan.clone() };
    let mut fleet = RunningFleet::start(plan, dir)?;
    sleep(SETTLE_TIME);
    let (usage, bytes, start) = (fleet_usage(&fleet), peer_bytes(&fleet), Instant::now());
    sleep(length);
    let (usage_after, bytes_after) = (fleet_usage(&fleet), peer_bytes(&fleet));
    let seconds = start.elapsed().as_secs_f64();
    let mut times = activation_times(&mut fleet)?;
    times.sort();
    let lagging = hosts - times.len() as u16;
    let median = times.get(times.len() / 2).copied().unwrap_or_default();
    let longest = times.last().copied().unwrap_or_default();
    Ok(HostRow {
        hosts,
        router_core_percent: core_percent(&usage.routers, &usage_after.routers, seconds),
        controller_core_percent: core_percent(
            &usage.controllers,
            &usage_after.controllers,
            seconds,
        ),
        router_memory_kb: usage_after
            .routers
            .iter()
            .map(|process| process.peak_memory_kb)
            .max()
            .unwrap_or(0),
        peer_bytes_per_host_s: (bytes_after - bytes) / seconds / f64::from(hosts),
        platform_reads_s: rate(&usage, &usage_after, seconds, |usage| usage.platform.reads),
        platform_writes_s: rate(&usage, &usage_after, seconds, |usage| usage.platform.writes),
        in_force_ms: [median, longest].map(|time| time.as_secs_f64() * 1e3),
        lagging,
    })
}

/// Applies a change to the declaration tree and returns the time until it is active, for each
/// host on which it became active in time.
fn activation_times(fleet: &mut RunningFleet) -> Result<Vec<Duration>, RunError> {
    fleet.plan.customers[0].requests_per_second += 1;
    let revision =
        |router: &RouterProcess| router_metric(&router.operator_address, REVISION_METRIC);
    let revisions: Vec<_> = fleet.routers.iter().map(revision).collect();
    let start = Instant::now();
    let waiters: Vec<_> = fleet
        .routers
        .iter()
        .cloned()
        .zip(revisions)
        .map(|(router, before)| thread::spawn(move || wait_for_activation(&router, before?, start)))
        .collect();
    fleet.apply_tree()?;
    let times = waiters.into_iter().map(|waiter| waiter.join().expect("a waiter does not panic"));
    Ok(times.flatten().collect())
}

/// Time since `start` at which the router has a newer revision than `before`.
fn wait_for_activation(router: &RouterProcess, before: f64, start: Instant) -> Option<Duration> {
    while start.elapsed() < ACTIVATION_TIMEOUT {
        let revision = router_metric(&router.operator_address, REVISION_METRIC);
        if revision.is_some_and(|current| current > before) {
            return Some(start.elapsed());
        }
        sleep(REVISION_POLL_PERIOD);
    }
    None
}

fn peer_bytes(fleet: &RunningFleet) -> f64 {
    let addresses = fleet.routers.iter().map(|router| &router.operator_address);
    addresses.filter_map(|address| router_metric(address, PEER_BYTES_METRIC)).sum()
}

fn core_percent(before: &[ProcessUsage], after: &[ProcessUsage], seconds: f64) -> f64 {
    let total =
        |usage: &[ProcessUsage]| usage.iter().map(|process| process.processor_s).sum::<f64>();
    100.0 * (total(after) - total(before)) / seconds / after.len().max(1) as f64
}

fn rate(
    before: &UsageReport,
    after: &UsageReport,
    seconds: f64,
    count: impl Fn(&UsageReport) -> u64,
) -> f64 {
    (count(after) - count(before)) as f64 / seconds
}

impl HostReport {
    /// Formats the report as a text table.
    pub fn render(&self) -> String {
        let mut text = String::from(
            "hosts  router core %  contr. core %  router kB  peer B/s/host  \
             reads/s  writes/s  in force p50 ms  worst ms  lagging\n",
        );
        for row in &self.rows {
            // Writing to a `String` never fails.
            let _ = writeln!(
                text,
                "{:>5} {:>14.2} {:>14.2} {:>10} {:>14.0} {:>8.1} {:>9.1} {:>16.0} {:>9.0} {:>8}",
                row.hosts,
                row.router_core_percent,
                row.controller_core_percent,
                row.router_memory_kb,
                row.peer_bytes_per_host_s,
                row.platform_reads_s,
                row.platform_writes_s,
                row.in_force_ms[0],
                row.in_force_ms[1],
                row.lagging
            );
        }
        text
    }
}
