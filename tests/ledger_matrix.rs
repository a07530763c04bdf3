//! Fault matrix of the ledger: every fault at every step of a call, and pairs of faults.
//!
//! `JACINTHROCK_SCHEDULES=10000 cargo test --release --test ledger_matrix` runs every pair.

mod ledger_support;

use jacinthrock::LedgerOptions;
use jacinthrock_standins::fake_service::ServiceFaults;
use jacinthrock_standins::fake_store::StoreFaults;
use jacinthrock_standins::host_gate::GateCall::{Call, Read, Write};
use jacinthrock_standins::host_gate::GateMoment::{After, Before};
use jacinthrock_standins::host_gate::{GateFault, GatePoint};
use ledger_support::{
    EnvFault, HostFault, HostPlan, LedgerScenario, LivenessView, RequestPlan, find_violations, ms,
    run, schedule_count,
};

/// CI runs one in this many pairs.
const CI_PAIR_STRIDE: usize = 29;

const STEPS: [(&str, GatePoint); 8] = [
    ("before the claim", GatePoint { call: Read, moment: Before, nth: 1 }),
    ("claim decided", GatePoint { call: Write, moment: Before, nth: 1 }),
    ("claim written", GatePoint { call: Write, moment: After, nth: 1 }),
    ("floor read", GatePoint { call: Read, moment: After, nth: 2 }),
    ("before the send", GatePoint { call: Call, moment: Before, nth: 1 }),
    ("before the reply", GatePoint { call: Call, moment: After, nth: 1 }),
    ("settlement decided", GatePoint { call: Write, moment: Before, nth: 2 }),
    ("settlement written", GatePoint { call: Write, moment: After, nth: 2 }),
];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Kill,
    ShortFreeze,
    LongFreeze,
    LoseCallOrReply,
    Refuse,
    Outage,
    SlowStore,
    LeavingEndpoint,
    FrozenEndpoint,
}

const FAULTS: [Fault; 9] = [
    Fault::Kill,
    Fault::ShortFreeze,
    Fault::LongFreeze,
    Fault::LoseCallOrReply,
    Fault::Refuse,
    Fault::Outage,
    Fault::SlowStore,
    Fault::LeavingEndpoint,
    Fault::FrozenEndpoint,
];

#[derive(Clone, Copy, Debug)]
struct MatrixCell {
    step: usize,
    fault: Fault,
}

impl MatrixCell {
    /// Only a call that has not been made yet can be refused.
    fn is_applicable(self) -> bool {
        self.fault != Fault::Refuse || STEPS[self.step].1.moment == Before
    }

    fn host_fault(self) -> HostFault {
        let point = STEPS[self.step].1;
        match self.fault {
            Fault::Kill => HostFault::AtPoint(point, GateFault::Kill),
            Fault::ShortFreeze => HostFault::AtPoint(point, GateFault::Freeze(ms(700))),
            Fault::LongFreeze => HostFault::AtPoint(point, GateFault::Freeze(ms(40_000))),
            Fault::LoseCallOrReply => HostFault::AtPoint(point, GateFault::Lose),
            Fault::Refuse => HostFault::AtPoint(point, GateFault::Refuse),
            Fault::Outage => HostFault::Env(point, EnvFault::Outage(ms(2500))),
            Fault::SlowStore => HostFault::Env(point, EnvFault::SlowStore(ms(400))),
            Fault::LeavingEndpoint => HostFault::Env(point, EnvFault::Leave),
            Fault::FrozenEndpoint => HostFault::Env(point, EnvFault::FreezeEndpoint(ms(5000))),
        }
    }
}

fn cells() -> impl Iterator<Item = MatrixCell> {
    let of_step = |step| FAULTS.into_iter().map(move |fault| MatrixCell { step, fault });
    (0..STEPS.len()).flat_map(of_step).filter(|cell| cell.is_applicable())
}

/// One call at the host with the faults, and three retries at another host.
fn scenario(faults: &[MatrixCell], liveness: LivenessView) -> LedgerScenario {
    let request = |at, host| RequestPlan { at: ms(at), host, key: 0, deadline: ms(1500) };
    let faulty = faults.iter().map(|cell| cell.host_fault()).collect();
    LedgerScenario {
        seed: faults.iter().fold(7, |seed, cell| seed * 100 + cell.step as u64),
        hosts: vec![
            HostPlan { skew_ms: 0, faults: faulty },
            HostPlan { skew_ms: -500, faults: Vec::new() },
        ],
        endpoints: 2,
        service_faults: ServiceFaults { longest_delay: ms(20), ..ServiceFaults::default() },
        store_faults: StoreFaults { longest_delay: ms(5), ..StoreFaults::default() },
        outages: Vec::new(),
        requests: vec![request(0, 0), request(20, 1), request(200, 1), request(4000, 1)],
        liveness,
        expire_every: None,
        options: LedgerOptions { abandon_after: ms(8000), ..LedgerOptions::default() },
        disabled_plain_rule: None,
    }
}

#[test]
fn every_fault_at_every_step_preserves_the_invariants() {
    let mut count = 0;
    for cell in cells() {
        for liveness in [LivenessView::Accurate, LivenessView::AllDead, LivenessView::AllAlive] {
            let report = run(&scenario(&[cell], liveness));
            let violations = find_violations(&report);
            assert!(violations.is_empty(), "{} x {cell:?}: {violations:#?}", STEPS[cell.step].0);
            assert_eq!(report.unreached_faults, 0, "{} x {cell:?}", STEPS[cell.step].0);
            let result = report.answers[0].result.as_ref();
            let outcome =
                result.map_or("no answer".into(), |result| format!("{:?}", result.outcome));
            if liveness == LivenessView::Accurate {
                let runs = report.runs.len();
                println!("{} x {:?}: {outcome}, {runs} run", STEPS[cell.step].0, cell.fault);
            }
            count += 1;
        }
    }
    assert_eq!(count, cells().count() * 3);
    println!("cells: {}", cells().count());
}

#[test]
fn every_pair_of_faults_preserves_the_invariants() {
    let stride = if schedule_count(0) == 0 { CI_PAIR_STRIDE } else { 1 };
    let all: Vec<MatrixCell> = cells().collect();
    let firsts = all.iter().enumerate();
    let pairs =
        firsts.flat_map(|(index, first)| all[index + 1..].iter().map(move |b| [*first, *b]));
    let mut count = 0;
    for pair in pairs.step_by(stride) {
        let violations = find_violations(&run(&scenario(&pair, LivenessView::Accurate)));
        assert!(violations.is_empty(), "{pair:?}: {violations:#?}");
        count += 1;
    }
    println!("pairs: {count}");
    assert!(count > 0);
}
