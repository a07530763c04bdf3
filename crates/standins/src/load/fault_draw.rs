//! Random faults from a seed, so that faults of different kinds can overlap at any point.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::faults::{FaultKind, FaultPlan};
use crate::fleet::FleetPlan;

/// Mean time between two faults, in seconds; the gaps are exponentially distributed.
const MEAN_FAULT_GAP_S: f64 = 1.0;

/// Shortest and longest duration of a freeze, outage or slowdown, in seconds.
const OUTAGE_RANGE_S: [f64; 2] = [0.3, 4.0];

/// Upper limit of the extra time per token on a slowed engine, in microseconds.
const MAX_SLOWDOWN_US: u64 = 50_000;

/// Largest number of consecutive calls that lose their replies.
const MAX_LOST_REPLIES: u32 = 4;

struct FaultGenerator<'a> {
    rng: ChaCha8Rng,
    plan: &'a FleetPlan,
    length_s: f64,
    faults: Vec<FaultPlan>,
    /// Whether a process was killed already, by `process_kind`: 0 is an engine, 1 a router, 2 a
    /// controller.
    has_killed: [bool; 3],
}

/// Generates the faults of a run, ordered by time.
///
/// At most one engine, one router and one controller are killed; every freeze, outage and
/// slowdown ends within the run.
pub fn draw_faults(plan: &FleetPlan, seed: u64, seconds: f64) -> Vec<FaultPlan> {
    let rng = ChaCha8Rng::seed_from_u64(seed);
    let has_killed = [false; 3];
    let mut generator =
        FaultGenerator { rng, plan, length_s: seconds, faults: Vec::new(), has_killed };
    let mut at_s = 0.0;
    loop {
        let uniform: f64 = generator.rng.random();
        at_s += -(1.0 - uniform).ln() * MEAN_FAULT_GAP_S;
        if at_s >= seconds {
            generator.faults.sort_by(|first, second| first.at_s.total_cmp(&second.at_s));
            return generator.faults;
        }
        generator.add_fault(at_s);
    }
}

impl FaultGenerator<'_> {
    fn add_fault(&mut self, at_s: f64) {
        let end_s = at_s + self.rng.random_range(OUTAGE_RANGE_S[0]..OUTAGE_RANGE_S[1]);
        let end_s = end_s.min(self.length_s);
        let engine = self.random_index(self.engine_count());
        let router = self.random_index(usize::from(self.plan.routers));
        let controller = self.random_index(usize::from(self.plan.controllers));
        match self.rng.random_range(0..10) {
            0 => self.add_kill(at_s, 0, FaultKind::KillEngine { index: engine }),
            1 => self.add_kill(at_s, 1, FaultKind::KillRouter { index: router }),
            2 => self.add_kill(at_s, 2, FaultKind::KillController { index: controller }),
            3 => {
                self.add(at_s, FaultKind::FreezeEngine { index: engine });
                self.add(end_s, FaultKind::WakeEngine { index: engine });
            }
            4 => {
                self.add(at_s, FaultKind::FreezeRouter { index: router });
                self.add(end_s, FaultKind::WakeRouter { index: router });
            }
            5 => {
                self.add(at_s, FaultKind::FreezeController { index: controller });
                self.add(end_s, FaultKind::WakeController { index: controller });
            }
            6 => {
                self.add(at_s, FaultKind::Platform { down: true });
                self.add(end_s, FaultKind::Platform { down: false });
            }
            7 => {
                let extra_us = self.rng.random_range(0..MAX_SLOWDOWN_US);
                self.add(at_s, FaultKind::SlowEngine { index: engine, extra_us });
                self.add(end_s, FaultKind::SlowEngine { index: engine, extra_us: 0 });
            }
            8 => {
                let count = self.rng.random_range(1..=MAX_LOST_REPLIES);
                self.add(at_s, FaultKind::LoseWriteReplies { count });
            }
            _ => {
                let count = self.rng.random_range(1..=MAX_LOST_REPLIES);
                let index = self.random_index(self.service_endpoint_count());
                self.add(at_s, FaultKind::LoseServiceReplies { index, count });
            }
        }
    }

    fn add(&mut self, at_s: f64, kind: FaultKind) {
        self.faults.push(FaultPlan { at_s, kind });
    }

    /// Adds a kill unless a process of that kind was killed already.
    fn add_kill(&mut self, at_s: f64, process_kind: usize, kind: FaultKind) {
        if !std::mem::replace(&mut self.has_killed[process_kind], true) {
            self.add(at_s, kind);
        }
    }

    fn random_index(&mut self, count: usize) -> usize {
        self.rng.random_range(0..count.max(1))
    }

    fn engine_count(&self) -> usize {
        let model = &self.plan.model;
        let chains: u16 = model.chains.iter().map(|chain| chain.count).sum();
        usize::from(chains * model.stages)
    }

    fn service_endpoint_count(&self) -> usize {
        self.plan.services.iter().map(|service| usize::from(service.endpoints)).sum()
    }
}
