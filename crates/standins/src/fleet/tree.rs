//! The declaration tree of a fleet.

use jacinthrock::{
    CustomerDeclaration, EndpointDeclaration, ModelDeclaration, NodeDeclaration, NodeKind,
    NodeSettings, OperationDeclaration, PlainDeclaration, PriorityClass,
};
use sha2::{Digest, Sha256};

use super::plan::{CustomerPlan, FleetPlan, ModelPlan, PlainPlan};
use super::running::{EngineProcess, ServiceProcess};

/// Name of the group node above the services.
const SERVICE_GROUP: &str = "services";
/// Name of the group node above the customers.
const CUSTOMER_GROUP: &str = "customers";

/// Returns every node of the declaration tree, parents before their children.
pub fn declaration_tree(
    plan: &FleetPlan,
    engines: &[EngineProcess],
    services: &[ServiceProcess],
) -> Vec<NodeDeclaration> {
    let mut nodes = vec![root_node(plan)];
    nodes.push(group_node(SERVICE_GROUP, &plan.root));
    nodes.push(group_node(CUSTOMER_GROUP, &plan.root));
    nodes.push(model_node(&plan.model, engines));
    nodes.extend(plan.services.iter().map(|service| plain_node(service, services)));
    nodes.extend(plan.customers.iter().map(|customer| customer_node(plan, customer)));
    nodes
}

fn empty_node(name: &str, kind: NodeKind, parent: Option<&str>) -> NodeDeclaration {
    NodeDeclaration {
        name: name.into(),
        kind,
        parent: parent.map(Into::into),
        settings: NodeSettings::default(),
        model: None,
        plain: None,
        customer: None,
        links: Vec::new(),
    }
}

fn root_node(plan: &FleetPlan) -> NodeDeclaration {
    let settings = NodeSettings {
        priority: Some(PriorityClass::Interactive),
        deadline_ms: Some(15_000),
        token_gap_ms: Some(1_000),
        max_tokens: Some(512),
        concurrent_requests: Some(200),
        requests_per_second: Some(500),
        share: Some(1),
        queue_length: Some(200),
    };
    let links = plan.links.clone();
    NodeDeclaration { settings, links, ..empty_node(&plan.root, NodeKind::Group, None) }
}

fn group_node(name: &str, root: &str) -> NodeDeclaration {
    empty_node(name, NodeKind::Group, Some(root))
}

fn model_node(plan: &ModelPlan, engines: &[EngineProcess]) -> NodeDeclaration {
    let endpoint = |engine: &EngineProcess| EndpointDeclaration {
        name: engine.name.clone(),
        address: engine.address.clone(),
        domain: engine.domain.clone(),
        accelerator: engine.accelerator.clone(),
        checks_fence: engine.checks_fence,
    };
    let model = ModelDeclaration {
        name: plan.name.clone(),
        version: plan.version.clone(),
        layers: plan.layers,
        stages: plan.stages,
        endpoint_slots: plan.slots,
        endpoints: engines.iter().map(endpoint).collect(),
    };
    let settings = NodeSettings {
        priority: Some(plan.priority),
        deadline_ms: Some(plan.deadline_ms),
        token_gap_ms: Some(plan.token_gap_ms),
        max_tokens: Some(plan.max_tokens),
        ..NodeSettings::default()
    };
    let node = empty_node(&plan.service, NodeKind::Service, Some(SERVICE_GROUP));
    NodeDeclaration { settings, model: Some(model), ..node }
}

fn plain_node(plan: &PlainPlan, services: &[ServiceProcess]) -> NodeDeclaration {
    let endpoint = |service: &ServiceProcess| EndpointDeclaration {
        name: service.name.clone(),
        address: service.address.clone(),
        domain: service.domain.clone(),
        accelerator: "".into(),
        checks_fence: false,
    };
    let operation = |method: &str, path: &str, idempotent| OperationDeclaration {
        method: method.into(),
        path: path.into(),
        idempotent,
    };
    let processes = services.iter().filter(|service| service.service == plan.service);
    let plain = PlainDeclaration {
        prefix: plan.prefix.clone(),
        operations: vec![operation("POST", "/", false), operation("GET", "/*", true)],
        endpoint_slots: plan.slots,
        endpoints: processes.map(endpoint).collect(),
    };
    let node = empty_node(&plan.service, NodeKind::Service, Some(SERVICE_GROUP));
    NodeDeclaration { plain: Some(plain), ..node }
}

fn customer_node(plan: &FleetPlan, customer: &CustomerPlan) -> NodeDeclaration {
    let plain = plan.services.iter().map(|service| service.service.clone());
    let declaration = CustomerDeclaration {
        key_hashes: vec![key_hash(&customer.key())],
        services: std::iter::once(plan.model.service.clone()).chain(plain).collect(),
    };
    let settings = NodeSettings {
        concurrent_requests: Some(customer.concurrent_requests),
        requests_per_second: Some(customer.requests_per_second),
        ..NodeSettings::default()
    };
    let node = empty_node(&customer.name, NodeKind::Customer, Some(CUSTOMER_GROUP));
    NodeDeclaration { settings, customer: Some(declaration), ..node }
}

/// SHA-256 of a key, in hexadecimal.
fn key_hash(key: &str) -> Box<str> {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect::<String>().into()
}
