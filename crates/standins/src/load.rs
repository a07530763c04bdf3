//! Load generator: open-loop calls, scheduled fault injection, consistency checks and reports.

mod arrival;
mod balancer;
mod check;
mod driver;
mod fault_draw;
mod faults;
mod files;
mod hosts;
mod layers;
mod plot;
mod recovery;
mod report;
mod run;
mod sample;
mod scenario;
mod sweep;
mod text;
mod usage;

pub use arrival::{CallArrival, call_arrivals};
pub use check::{CheckReport, check_runs, check_samples};
pub use driver::{LoadDriver, LoadTarget};
pub use fault_draw::draw_faults;
pub use faults::{FaultKind, FaultPlan};
pub use files::{load_scenario, read_report, write_report, write_table};
pub use hosts::{HostReport, HostRow, measure_hosts};
pub use layers::{LayerReport, check_layer_records, check_layers};
pub use recovery::{RecoveryReport, recovery_report};
pub use report::{LatencyReport, RunReport, SecondReport};
pub use run::{RunError, RunMode, RunOptions, router_exited_cleanly, run_fleet, run_scenario};
pub use sample::{CallAttempt, CallResult, CallSample};
pub use scenario::{BurstPlan, CallKind, LoadScenario, MixPlan, built_in};
pub use sweep::{SweepReport, SweepRow, sweep_options};
pub use text::render_text;
pub use usage::{ProcessUsage, UsageReport};
