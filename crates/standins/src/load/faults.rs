//! Scheduled faults and their injection into a running fleet.

use jacinthrock::EngineStatus;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::time::Duration;

use crate::fleet::RunningFleet;
use crate::harness::ProcessSignal;

/// A fault scheduled at a time of the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FaultPlan {
    /// Time from the start of the run, in seconds.
    pub at_s: f64,
    /// Kind of the fault.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// Kind of a fault. An index counts the fleet's processes of that type, from 0.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "kebab-case")]
pub enum FaultKind {
    /// Kills an engine.
    KillEngine {
        /// Index of the engine.
        index: usize,
    },
    /// Freezes an engine until `WakeEngine`.
    FreezeEngine {
        /// Index of the engine.
        index: usize,
    },
    /// Wakes a frozen engine.
    WakeEngine {
        /// Index of the engine.
        index: usize,
    },
    /// Slows an engine down.
    SlowEngine {
        /// Index of the engine.
        index: usize,
        /// Additional time per token, in microseconds; 0 ends the slowdown.
        extra_us: u64,
    },
    /// Kills a router.
    KillRouter {
        /// Index of the router.
        index: usize,
    },
    /// Asks a router to shut down gracefully.
    StopRouter {
        /// Index of the router.
        index: usize,
    },
    /// Freezes a router until `WakeRouter`.
    FreezeRouter {
        /// Index of the router.
        index: usize,
    },
    /// Wakes a frozen router.
    WakeRouter {
        /// Index of the router.
        index: usize,
    },
    /// Kills a controller.
    KillController {
        /// Index of the controller.
        index: usize,
    },
    /// Freezes a controller until `WakeController`.
    FreezeController {
        /// Index of the controller.
        index: usize,
    },
    /// Wakes a frozen controller.
    WakeController {
        /// Index of the controller.
        index: usize,
    },
    /// Starts or ends an outage of the platform.
    Platform {
        /// `true` starts the outage, `false` ends it.
        down: bool,
    },
    /// Kills the engine that reports the most running and waiting requests.
    KillBusiestEngine,
    /// Drops the replies to the platform's next writes, after the writes take effect.
    LoseWriteReplies {
        /// Number of writes.
        count: u32,
    },
    /// Drops the replies to a plain endpoint's next calls, after the calls run.
    LoseServiceReplies {
        /// Index of the endpoint.
        index: usize,
        /// Number of calls.
        count: u32,
    },
    /// Kills every engine of a failure domain.
    KillDomain {
        /// Name of the failure domain.
        domain: Box<str>,
    },
}

impl FaultPlan {
    /// Time of the fault, from the start of the run.
    pub fn at(&self) -> Duration {
        Duration::from_secs_f64(self.at_s)
    }

    /// Injects the fault. A fault on a process that has ended has no effect.
    pub fn apply(&self, fleet: &mut RunningFleet) {
        match &self.kind {
            FaultKind::KillEngine { index } => signal_engine(fleet, *index, ProcessSignal::Kill),
            FaultKind::KillBusiestEngine => {
                signal_engine(fleet, busiest_engine(fleet), ProcessSignal::Kill);
            }
            FaultKind::FreezeEngine { index } => {
                signal_engine(fleet, *index, ProcessSignal::Freeze);
            }
            FaultKind::WakeEngine { index } => signal_engine(fleet, *index, ProcessSignal::Wake),
            FaultKind::SlowEngine { index, extra_us } => {
                let address = fleet.engines[*index].address.clone();
                post(&address, &json!({ "extra_us_per_token": extra_us }));
            }
            FaultKind::KillRouter { index } => signal_router(fleet, *index, ProcessSignal::Kill),
            FaultKind::StopRouter { index } => {
                signal_router(fleet, *index, ProcessSignal::Terminate);
            }
            FaultKind::FreezeRouter { index } => {
                signal_router(fleet, *index, ProcessSignal::Freeze);
            }
            FaultKind::WakeRouter { index } => signal_router(fleet, *index, ProcessSignal::Wake),
            FaultKind::KillController { index } => {
                signal_controller(fleet, *index, ProcessSignal::Kill);
            }
            FaultKind::FreezeController { index } => {
                signal_controller(fleet, *index, ProcessSignal::Freeze);
            }
            FaultKind::WakeController { index } => {
                signal_controller(fleet, *index, ProcessSignal::Wake);
            }
            FaultKind::Platform { down } => post(&fleet.platform, &json!({ "down": down })),
            FaultKind::LoseWriteReplies { count } => {
                post(&fleet.platform, &json!({ "lose_replies": count }));
            }
            FaultKind::LoseServiceReplies { index, count } => {
                let address = fleet.services[*index].address.clone();
                post(&address, &json!({ "drop_reply_next": count }));
            }
            FaultKind::KillDomain { domain } => kill_domain(fleet, domain),
        }
    }
}

fn signal_engine(fleet: &mut RunningFleet, index: usize, signal: ProcessSignal) {
    let name = fleet.engines[index].name.clone();
    fleet.harness.signal(&name, signal);
}

fn signal_router(fleet: &mut RunningFleet, index: usize, signal: ProcessSignal) {
    let name = fleet.routers[index].name.clone();
    fleet.harness.signal(&name, signal);
}

fn signal_controller(fleet: &mut RunningFleet, index: usize, signal: ProcessSignal) {
    let name = fleet.controllers[index].clone();
    fleet.harness.signal(&name, signal);
}

fn kill_domain(fleet: &mut RunningFleet, domain: &str) {
    for engine in fleet.engines.clone().iter().filter(|engine| *engine.domain == *domain) {
        fleet.harness.signal(&engine.name, ProcessSignal::Kill);
    }
}

fn post(address: &str, faults: &serde_json::Value) {
    // The stand-in may have ended already; the fault has no effect then.
    let _ = ureq::post(format!("http://{address}/control/faults")).send_json(faults);
}

fn busiest_engine(fleet: &RunningFleet) -> usize {
    let load = |index: &usize| engine_load(&fleet.engines[*index].address);
    (0..fleet.engines.len()).max_by_key(load).unwrap_or_default()
}

fn engine_load(address: &str) -> u32 {
    let reply = ureq::get(format!("http://{address}/v1/status")).call();
    let status = reply.ok().and_then(|mut reply| reply.body_mut().read_json::<EngineStatus>().ok());
    status.map_or(0, |status| status.running + status.waiting)
}
