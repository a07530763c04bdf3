//! Measures chain policies against the throughput bound, and recovery after faults, on a paused
//! clock.

use jacinthrock::ChainPolicy;
use jacinthrock_standins::fake_engine::EngineFault;
use jacinthrock_standins::planning::plan_micros;
use jacinthrock_standins::recovery::{RecoveryOptions, RecoveryRow, run_row};
use jacinthrock_standins::sweep::{SweepOptions, SweepPoint, run_point};
use std::time::Duration;

const POLICIES: [ChainPolicy; 5] = [
    ChainPolicy::LeastCost,
    ChainPolicy::Random,
    ChainPolicy::RoundRobin,
    ChainPolicy::LeastInFlight,
    ChainPolicy::TwoChoices,
];

/// Offered loads, as multiples of the throughput bound.
const OFFERED_LOADS: [f64; 5] = [0.5, 0.8, 0.95, 1.1, 1.5];

fn main() {
    let flags = xflags::parse_or_exit! {
        /// Seed of arrivals, engines and choices.
        optional --seed seed: u64
        /// Requests in flight, as a multiple of the engines' batches together.
        optional --concurrency factor: f64
        /// Largest random part of a stage's cost.
        optional --spread part: f64
        /// Polls of each router over all engines, a second.
        optional --polls rate: u32
        /// Stages of each chain.
        optional --stages stages: u16
        /// Seconds that are counted.
        optional --window seconds: u64
        /// Only this policy's points, or this fault's rows.
        optional --only policy: String
        /// Measures recovery with this many trials a row, in place of the sweep.
        optional --recovery trials: u64
        /// Measures the processor time of a choice, in place of the sweep.
        optional --planning
        /// Prints JSON in place of a table.
        optional --json
    };
    if let Some(trials) = flags.recovery {
        let rows = recovery_rows(trials, flags.only.as_deref());
        if flags.json {
            println!("{}", serde_json::to_string_pretty(&rows).expect("rows are valid JSON"));
            return;
        }
        return print_recovery(&rows);
    }
    if flags.planning {
        return print_planning();
    }
    let defaults = SweepOptions::default();
    let options = SweepOptions {
        seed: flags.seed.unwrap_or(defaults.seed),
        concurrency: flags.concurrency.unwrap_or(defaults.concurrency),
        cost_jitter: flags.spread.unwrap_or(defaults.cost_jitter),
        polls_per_second: flags.polls.unwrap_or(defaults.polls_per_second),
        stages: flags.stages.unwrap_or(defaults.stages),
        window: flags.window.map_or(defaults.window, Duration::from_secs),
        ..defaults
    };
    let is_selected = |policy: &ChainPolicy| {
        flags.only.as_ref().is_none_or(|only| *only == format!("{policy:?}"))
    };
    let points = run_points(&options, POLICIES.into_iter().filter(is_selected).collect());
    if flags.json {
        println!("{}", serde_json::to_string_pretty(&points).expect("points are valid JSON"));
        return;
    }
    print_table(&points);
}

/// Runs each policy on its own thread with its own paused clock.
fn run_points(options: &SweepOptions, policies: Vec<ChainPolicy>) -> Vec<SweepPoint> {
    let run = |policy| {
        let options = options.clone();
        std::thread::spawn(move || {
            OFFERED_LOADS.iter().map(|load| run_point(&options, policy, *load)).collect::<Vec<_>>()
        })
    };
    let threads: Vec<_> = policies.into_iter().map(run).collect();
    let joined =
        threads.into_iter().map(|thread| thread.join().expect("a sweep thread does not panic"));
    joined.flatten().collect()
}

fn print_table(points: &[SweepPoint]) {
    let Some(first) = points.first() else {
        return;
    };
    println!("bound {:.0} tokens/s", first.bound);
    println!(
        "policy          offered reached  whole refused wrong retries  wait p50/p99  gap p50/p99"
    );
    for point in points {
        let [wait_50, wait_99] = point.guidance_wait_ms;
        let [gap_50, gap_99] = point.guidance_gap_ms;
        println!(
            "{:<15} {:>7.2} {:>7.3} {:>6} {:>7} {:>5} {:>7} {:>6}/{:<6} {:>5}/{:<5}",
            point.policy,
            point.offered,
            point.reached,
            point.whole,
            point.refused,
            point.wrong,
            point.retries,
            wait_50,
            wait_99,
            gap_50,
            gap_99,
        );
    }
}

/// Measures recovery from faults of one engine and of a whole failure domain, by number of stages;
/// then, after a kill, compares importing the KV cache with recomputing it.
fn recovery_rows(trials: u64, only: Option<&str>) -> Vec<RecoveryRow> {
    let base = RecoveryOptions {
        fault: EngineFault::Kill,
        whole_domain: false,
        stages: 2,
        accepted: 32,
        imports: true,
        answers: 40,
        trials,
    };
    let mut rows = Vec::new();
    let faults =
        [EngineFault::Kill, EngineFault::Freeze, EngineFault::CutConnection, EngineFault::SlowLink];
    for fault in faults {
        for stages in [2, 4, 8] {
            rows.push(RecoveryOptions { fault, stages, ..base.clone() });
        }
    }
    for fault in [EngineFault::Kill, EngineFault::Freeze] {
        for stages in [2, 4] {
            rows.push(RecoveryOptions { fault, stages, whole_domain: true, ..base.clone() });
        }
    }
    for (stages, accepted) in [(2, 16), (2, 256), (2, 1024), (4, 256), (8, 256), (8, 1024)] {
        for imports in [true, false] {
            rows.push(RecoveryOptions { stages, accepted, imports, answers: 4, ..base.clone() });
        }
    }
    rows.retain(|row| only.is_none_or(|only| *only == *format!("{:?}", row.fault)));
    rows.iter().map(run_row).collect()
}

fn print_recovery(rows: &[RecoveryRow]) {
    println!(
        "fault          domain stages accepted imports affected lost   p50   p95   p99 worst (ms)"
    );
    for row in rows {
        let [p50, p95, p99, worst] = row.recovery_ms;
        println!(
            "{:<14} {:>6} {:>6} {:>8} {:>7} {:>8} {:>4} {:>5} {:>5} {:>5} {:>5}",
            row.fault,
            row.whole_domain,
            row.stages,
            row.accepted,
            row.imports,
            row.affected,
            row.lost,
            p50,
            p95,
            p99,
            worst,
        );
    }
}

/// Prints the mean time to plan a chain of four stages, with 3 and 11 failure domains.
fn print_planning() {
    println!("endpoints domains microseconds");
    for domains in [3, 11] {
        for endpoints in [40, 80, 160, 320, 640] {
            let micros = plan_micros(endpoints, domains);
            println!("{endpoints:>9} {domains:>7} {micros:>12.1}");
        }
    }
}
