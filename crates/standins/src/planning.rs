//! Processor time of one choice of a chain.

use jacinthrock::{
    AvoidSet, ChainRequest, EffectiveConfig, EffectiveService, EndpointDeclaration, EndpointFleet,
    EngineStatus, FleetOptions, LinkDeclaration, MetricRegistry, ModelDeclaration, PriorityClass,
    ServiceTarget,
};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

const STAGES: usize = 4;
const CHOICES: u32 = 2000;

/// Microseconds of one choice, over so many endpoints of one model in so many failure domains.
pub fn plan_micros(endpoints: usize, domains: usize) -> f64 {
    let model = model(endpoints, domains);
    let fleet = EndpointFleet::new(FleetOptions::default(), Rc::new(MetricRegistry::new()));
    fleet.apply_config(&config(&model, domains));
    let now = Instant::now();
    for (index, endpoint) in model.endpoints.iter().enumerate() {
        fleet.observe_status(now, status(&endpoint.name, index));
    }
    let avoid = AvoidSet::default();
    let began = std::time::Instant::now();
    for number in 0..CHOICES {
        let prompt = format!("prompt {number}");
        let request = ChainRequest { model: &model, prompt: &prompt, avoid: &avoid };
        fleet.plan(now, &request).expect("a chain is there");
    }
    began.elapsed().as_secs_f64() * 1e6 / f64::from(CHOICES)
}

fn model(endpoints: usize, domains: usize) -> ModelDeclaration {
    let endpoints = (0..endpoints).map(|index| EndpointDeclaration {
        name: format!("engine-{index}").into(),
        address: format!("10.0.0.{index}:80").into(),
        domain: format!("domain-{}", index / STAGES % domains).into(),
        accelerator: "small".into(),
        checks_fence: true,
    });
    ModelDeclaration {
        name: "guide".into(),
        version: "1".into(),
        layers: STAGES as u16,
        stages: STAGES as u16,
        endpoint_slots: 8,
        endpoints: endpoints.collect(),
    }
}

fn status(endpoint: &str, index: usize) -> EngineStatus {
    let layer = (index % STAGES) as u16;
    EngineStatus {
        endpoint: endpoint.into(),
        model: "guide".into(),
        version: "1".into(),
        first_layer: layer,
        last_layer: layer,
        fence: 0,
        running: (index % 7) as u32,
        waiting: 0,
        leaving: false,
    }
}

fn config(model: &ModelDeclaration, domains: usize) -> EffectiveConfig {
    let service = EffectiveService {
        name: "guide".into(),
        priority: PriorityClass::Guidance,
        deadline: Duration::from_secs(10),
        token_gap: Duration::from_secs(1),
        max_tokens: 64,
        queue_length: 8,
        target: ServiceTarget::Model(model.clone()),
    };
    let pairs = (0..domains).flat_map(|low| (low + 1..domains).map(move |high| (low, high)));
    let links = pairs.map(|(low, high)| LinkDeclaration {
        between: [format!("domain-{low}").into(), format!("domain-{high}").into()],
        latency_us: 250 * (1 + (low + high) as u64),
        megabits: 10_000,
    });
    EffectiveConfig {
        revision: 1,
        services: BTreeMap::from([(service.name.clone(), service)]),
        customers: BTreeMap::new(),
        links: links.collect(),
    }
}
