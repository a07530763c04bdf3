//! Load scenarios: a fleet, a mix of calls, bursts and faults.

use jacinthrock::{LinkDeclaration, PriorityClass};
use serde::{Deserialize, Serialize};

use super::faults::{FaultKind, FaultPlan};
use crate::fleet::{ChainPlan, CustomerPlan, FleetPlan, ModelPlan, PlainPlan};

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallKind {
    /// A chat call that streams an answer of the model service.
    Answer,
    /// A non-idempotent call of a plain service, with an idempotency key.
    Run,
    /// An idempotent call of a plain service.
    LookUp,
}

/// A kind of call with its share of the load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MixPlan {
    /// Kind of the call.
    pub kind: CallKind,
    /// Share of the load, relative to the other weights.
    pub weight: u32,
    /// Path prefix of a plain service; empty for answers.
    #[serde(default)]
    pub prefix: Box<str>,
    /// Minimum and maximum number of words of a user message.
    #[serde(default)]
    pub words: [u32; 2],
    /// Minimum and maximum number of tokens of an answer.
    #[serde(default)]
    pub tokens: [u32; 2],
}

/// A period with a higher call rate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BurstPlan {
    /// Start of the burst, in seconds from the start of the run.
    pub from_s: f64,
    /// Length of the burst, in seconds.
    pub for_s: f64,
    /// Factor by which the call rate is multiplied.
    pub factor: f64,
}

/// Everything that defines a run, except its seed, rate and length.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadScenario {
    /// Name of the scenario.
    pub name: Box<str>,
    /// Processes and declarations of the fleet.
    pub fleet: FleetPlan,
    /// Kinds of calls with their weights.
    pub mix: Vec<MixPlan>,
    /// Periods with a higher call rate.
    #[serde(default)]
    pub bursts: Vec<BurstPlan>,
    /// Faults to inject.
    #[serde(default)]
    pub faults: Vec<FaultPlan>,
}

impl LoadScenario {
    /// Mean number of words of a user message and of tokens of an answer.
    pub fn mean_answer(&self) -> (f64, f64) {
        let answers = || self.mix.iter().filter(|entry| entry.kind == CallKind::Answer);
        let weight: f64 = answers().map(|entry| f64::from(entry.weight)).sum();
        let mean = |range: fn(&MixPlan) -> [u32; 2]| {
            let midpoint = |entry| {
                let [low, high] = range(entry);
                f64::from(low + high) / 2.0 * f64::from(entry.weight)
            };
            answers().map(midpoint).sum::<f64>() / weight.max(1.0)
        };
        (mean(|entry| entry.words), mean(|entry| entry.tokens))
    }

    /// Fraction of the calls that are answers, from 0 to 1.
    pub fn answer_share(&self) -> f64 {
        let all: u32 = self.mix.iter().map(|entry| entry.weight).sum();
        let answers = self.mix.iter().filter(|entry| entry.kind == CallKind::Answer);
        let answers: u32 = answers.map(|entry| entry.weight).sum();
        f64::from(answers) / f64::from(all.max(1))
    }
}

/// Returns a built-in scenario: `demo`, `faults`, `lasitaide` or `oficina`.
pub fn built_in(name: &str) -> Option<LoadScenario> {
    match name {
        "demo" => Some(demo()),
        "faults" => Some(faults()),
        "lasitaide" => Some(lasitaide()),
        "oficina" => Some(oficina()),
        _ => None,
    }
}

fn demo() -> LoadScenario {
    let domains = ["d1", "d2"];
    let model = ModelPlan {
        layers: 12,
        chains: vec![chain("a100", 1, 1000, &["d1"]), chain("l40", 1, 1000, &["d2"])],
        ..guide_model()
    };
    let fleet = FleetPlan {
        root: "lasitaide".into(),
        routers: 3,
        controllers: 3,
        router_args: Vec::new(),
        domains: domains.map(Into::into).into(),
        model,
        services: vec![
            plain_service("bookings", "/bookings", "booking", 1),
            plain_service("registry", "/registry", "registry", 1),
        ],
        customers: vec![customer("kallo", 3), customer("sulatto", 1), customer("hehku", 1)],
        links: links(&domains),
    };
    let mut mix = guide_mix();
    mix.push(mix_entry(CallKind::Run, 15, "/registry"));
    mix.push(mix_entry(CallKind::LookUp, 15, "/registry"));
    let faults = vec![
        fault(5.0, FaultKind::KillBusiestEngine),
        fault(10.0, FaultKind::KillRouter { index: 0 }),
        fault(15.0, FaultKind::StopRouter { index: 1 }),
    ];
    LoadScenario { name: "demo".into(), fleet, mix, bursts: Vec::new(), faults }
}

/// The demo's fleet under the kinds of faults that the demo leaves out; meant for a run of 36 s.
fn faults() -> LoadScenario {
    let faults = vec![
        fault(3.0, FaultKind::LoseServiceReplies { index: 0, count: 3 }),
        fault(5.0, FaultKind::LoseWriteReplies { count: 3 }),
        fault(8.0, FaultKind::FreezeEngine { index: 1 }),
        fault(11.0, FaultKind::WakeEngine { index: 1 }),
        fault(13.0, FaultKind::Platform { down: true }),
        fault(18.0, FaultKind::Platform { down: false }),
        fault(21.0, FaultKind::FreezeRouter { index: 0 }),
        fault(24.0, FaultKind::WakeRouter { index: 0 }),
        fault(26.0, FaultKind::FreezeController { index: 0 }),
        fault(28.0, FaultKind::KillDomain { domain: "d1".into() }),
        fault(31.0, FaultKind::WakeController { index: 0 }),
        fault(33.0, FaultKind::KillController { index: 1 }),
    ];
    LoadScenario { name: "faults".into(), faults, ..demo() }
}

fn lasitaide() -> LoadScenario {
    let domains = ["helsinki", "turku", "tampere"];
    let fleet = FleetPlan {
        root: "lasitaide".into(),
        routers: 7,
        controllers: 3,
        router_args: Vec::new(),
        domains: domains.map(Into::into).into(),
        model: ModelPlan { chains: mixed_chains(&domains), ..guide_model() },
        services: vec![plain_service("bookings", "/bookings", "booking", 3)],
        customers: customers("studio"),
        links: links(&domains),
    };
    let bursts = vec![BurstPlan { from_s: 10.0, for_s: 5.0, factor: 2.0 }];
    LoadScenario { name: "lasitaide".into(), fleet, mix: guide_mix(), bursts, faults: Vec::new() }
}

fn oficina() -> LoadScenario {
    let domains = ["centro", "mapocho", "ohiggins"];
    let model = ModelPlan {
        service: "draft".into(),
        name: "draft".into(),
        version: "v1".into(),
        priority: PriorityClass::Batch,
        deadline_ms: 60_000,
        max_tokens: 600,
        chains: mixed_chains(&domains),
        ..guide_model()
    };
    let fleet = FleetPlan {
        root: "oficina".into(),
        routers: 7,
        controllers: 3,
        router_args: Vec::new(),
        domains: domains.map(Into::into).into(),
        model,
        services: vec![plain_service("registry", "/registry", "registry", 3)],
        customers: customers("parish"),
        links: links(&domains),
    };
    let mix = vec![
        MixPlan { words: [60, 240], tokens: [60, 240], ..mix_entry(CallKind::Answer, 40, "") },
        mix_entry(CallKind::Run, 30, "/registry"),
        mix_entry(CallKind::LookUp, 30, "/registry"),
    ];
    let bursts = vec![BurstPlan { from_s: 10.0, for_s: 10.0, factor: 3.0 }];
    LoadScenario { name: "oficina".into(), fleet, mix, bursts, faults: Vec::new() }
}

fn guide_model() -> ModelPlan {
    ModelPlan {
        service: "kiln-guide".into(),
        name: "guide".into(),
        version: "v1".into(),
        layers: 12,
        stages: 2,
        slots: 8,
        prefill_us: 50,
        kv_import_us: 5,
        priority: PriorityClass::Guidance,
        deadline_ms: 15_000,
        token_gap_ms: 400,
        max_tokens: 400,
        chains: Vec::new(),
    }
}

fn guide_mix() -> Vec<MixPlan> {
    vec![
        MixPlan { words: [10, 60], tokens: [40, 120], ..mix_entry(CallKind::Answer, 40, "") },
        mix_entry(CallKind::Run, 30, "/bookings"),
        mix_entry(CallKind::LookUp, 30, "/bookings"),
    ]
}

fn mix_entry(kind: CallKind, weight: u32, prefix: &str) -> MixPlan {
    MixPlan { kind, weight, prefix: prefix.into(), words: [0, 0], tokens: [0, 0] }
}

fn chain(accelerator: &str, count: u16, layer_us: u64, domains: &[&str]) -> ChainPlan {
    ChainPlan {
        accelerator: accelerator.into(),
        count,
        layer_us,
        domains: domains.iter().map(|&domain| domain.into()).collect(),
        checks_fence: accelerator != "t4",
    }
}

fn mixed_chains(domains: &[&str]) -> Vec<ChainPlan> {
    vec![
        chain("a100", 8, 1000, domains),
        chain("l40", 8, 1500, domains),
        chain("t4", 4, 3000, domains),
    ]
}

fn plain_service(service: &str, prefix: &str, kind: &str, endpoints: u16) -> PlainPlan {
    PlainPlan {
        service: service.into(),
        prefix: prefix.into(),
        kind: kind.into(),
        endpoints,
        work_ms: 5,
        slots: 32,
    }
}

fn customer(name: &str, weight: u32) -> CustomerPlan {
    CustomerPlan { name: name.into(), weight, concurrent_requests: 400, requests_per_second: 2_000 }
}

/// Ten customers; the first two have eight times the weight of the others.
fn customers(stem: &str) -> Vec<CustomerPlan> {
    let weight = |number| if number <= 2 { 8 } else { 1 };
    (1..=10).map(|number| customer(&format!("{stem}-{number}"), weight(number))).collect()
}

/// Links between all domains: 100 Gbit/s inside a domain, 10 Gbit/s between neighbours in the list
/// and 1 Gbit/s between domains further apart.
fn links(domains: &[&str]) -> Vec<LinkDeclaration> {
    let mut links = Vec::new();
    for (index, first) in domains.iter().enumerate() {
        for (other, second) in domains.iter().enumerate().skip(index) {
            let megabits = if index == other {
                100_000
            } else if other - index == 1 {
                10_000
            } else {
                1_000
            };
            let latency_us = if index == other { 20 } else { 250 };
            let between = [(*first).into(), (*second).into()];
            links.push(LinkDeclaration { between, latency_us, megabits });
        }
    }
    links
}

fn fault(at_s: f64, kind: FaultKind) -> FaultPlan {
    FaultPlan { at_s, kind }
}
