//! A fleet whose processes run.

use jacinthrock::{DomainName, EndpointName, LayerIndex, NodeDeclaration, RouteStage, ServiceName};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

use super::plan::{ChainPlan, FleetPlan, PlainPlan};
use super::tree::declaration_tree;
use crate::direct::DirectTarget;
use crate::harness::{HarnessError, ProcessHarness};

/// Longest wait for a process to answer.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest wait for the tree to be in force everywhere, in milliseconds.
const APPLY_WAIT_MS: u32 = 15_000;

/// An engine of the fleet.
#[derive(Clone, Debug)]
pub struct EngineProcess {
    /// Name of the endpoint and of its process.
    pub name: EndpointName,
    /// IP address and port.
    pub address: Box<str>,
    /// Failure domain.
    pub domain: DomainName,
    /// Kind of accelerator.
    pub accelerator: Box<str>,
    /// Whether it refuses an order with an old fence.
    pub checks_fence: bool,
}

/// An endpoint of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceProcess {
    /// Name of the endpoint and of its process.
    pub name: EndpointName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// IP address and port.
    pub address: Box<str>,
    /// Failure domain.
    pub domain: DomainName,
}

/// A router of the fleet.
#[derive(Clone, Debug)]
pub struct RouterProcess {
    /// Name of the process.
    pub name: Box<str>,
    /// Address for callers.
    pub address: Box<str>,
    /// Address for operators.
    pub operator_address: Box<str>,
}

/// Processes of a fleet, which end when it is dropped.
pub struct RunningFleet {
    /// Starts and ends the processes.
    pub harness: ProcessHarness,
    /// What was started.
    pub plan: FleetPlan,
    /// Address of the platform stand-in.
    pub platform: Box<str>,
    /// Engines, chain by chain.
    pub engines: Vec<EngineProcess>,
    /// Endpoints of plain services.
    pub services: Vec<ServiceProcess>,
    /// Routers.
    pub routers: Vec<RouterProcess>,
    /// Names of the controllers' processes.
    pub controllers: Vec<Box<str>>,
    tree_dir: PathBuf,
}

impl RunningFleet {
    /// Starts everything, applies the tree and waits until every router is ready.
    pub fn start(plan: FleetPlan, dir: &Path) -> Result<Self, HarnessError> {
        let mut fleet = Self::start_endpoints(plan, dir)?;
        fleet.start_routers()?;
        fleet.start_controllers()?;
        fleet.apply_tree()?;
        fleet.wait_routers()?;
        Ok(fleet)
    }

    /// Starts the platform and the endpoints only.
    pub fn start_endpoints(plan: FleetPlan, dir: &Path) -> Result<Self, HarnessError> {
        let harness = ProcessHarness::from_current_exe(&dir.join("logs"))?;
        let platform = harness.free_address()?;
        let mut fleet = Self {
            harness,
            plan,
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            routers: Vec::new(),
            controllers: Vec::new(),
            tree_dir: dir.join("tree"),
        };
        fleet.start_platform()?;
        fleet.start_engines()?;
        fleet.start_services()?;
        Ok(fleet)
    }

    /// Addresses at which callers reach the routers.
    pub fn router_addresses(&self) -> Vec<Box<str>> {
        self.routers.iter().map(|router| router.address.clone()).collect()
    }

    /// Endpoints as a caller that goes past the routers sees them.
    pub fn direct_target(&self) -> DirectTarget {
        let mut services: BTreeMap<Box<str>, Vec<Box<str>>> = BTreeMap::new();
        for plan in &self.plan.services {
            let own = self.services.iter().filter(|service| service.service == plan.service);
            services.insert(plan.prefix.clone(), own.map(|it| it.address.clone()).collect());
        }
        let model = &self.plan.model;
        let chains = self.engines.chunks(usize::from(model.stages));
        DirectTarget {
            model: model.name.clone(),
            version: model.version.clone(),
            priority: model.priority,
            chains: chains.map(|chain| self.route(chain)).collect(),
            services,
        }
    }

    fn route(&self, chain: &[EngineProcess]) -> Vec<RouteStage> {
        let model = &self.plan.model;
        let stage = |(number, engine): (usize, &EngineProcess)| {
            let (first_layer, last_layer) = stage_layers(model.layers, model.stages, number as u16);
            RouteStage {
                endpoint: engine.name.clone(),
                address: engine.address.clone(),
                first_layer,
                last_layer,
            }
        };
        chain.iter().enumerate().map(stage).collect()
    }

    /// Writes the tree to its directory, one file for each node, and applies it.
    pub fn apply_tree(&self) -> Result<String, HarnessError> {
        let nodes = declaration_tree(&self.plan, &self.engines, &self.services);
        write_tree(&self.tree_dir, &nodes)?;
        self.harness.run(
            "jacinthrock",
            &[
                "apply".into(),
                self.tree_dir.display().to_string(),
                "--platform".into(),
                self.platform_url(),
                "--wait-ms".into(),
                APPLY_WAIT_MS.to_string(),
            ],
        )
    }

    fn platform_url(&self) -> String {
        format!("http://{}", self.platform)
    }

    fn start_platform(&mut self) -> Result<(), HarnessError> {
        let args = ["--listen".into(), self.platform.to_string()];
        self.harness.start("platform", "standin-platform", &args)?;
        let url = format!("http://{}/control/usage", self.platform);
        self.harness.wait_ready("platform", &url, READY_TIMEOUT)
    }

    fn start_engines(&mut self) -> Result<(), HarnessError> {
        for chain in self.plan.model.chains.clone() {
            for number in 0..chain.count {
                for stage in 0..self.plan.model.stages {
                    self.start_engine(&chain, number, stage)?;
                }
            }
        }
        for engine in self.engines.clone() {
            let url = format!("http://{}/v1/status", engine.address);
            self.harness.wait_ready(&engine.name, &url, READY_TIMEOUT)?;
        }
        Ok(())
    }

    fn start_engine(
        &mut self,
        chain: &ChainPlan,
        number: u16,
        stage: u16,
    ) -> Result<(), HarnessError> {
        let model = &self.plan.model;
        let (first, last) = stage_layers(model.layers, model.stages, stage);
        let engine = EngineProcess {
            name: format!("engine-{}-{number}-{stage}", chain.accelerator).into(),
            address: self.harness.free_address()?,
            domain: chain.domains[usize::from(number) % chain.domains.len()].clone(),
            accelerator: chain.accelerator.clone(),
            checks_fence: chain.checks_fence,
        };
        let mut args = flags(&[
            ("--listen", &engine.address),
            ("--name", &engine.name),
            ("--model", &model.name),
            ("--version", &model.version),
            ("--first-layer", &first.to_string()),
            ("--last-layer", &last.to_string()),
            ("--slots", &model.slots.to_string()),
            ("--layer-us", &chain.layer_us.to_string()),
            ("--prefill-us-per-token", &model.prefill_us.to_string()),
            ("--kv-import-us-per-token", &model.kv_import_us.to_string()),
        ]);
        if chain.checks_fence {
            args.push("--checks-fence".into());
        }
        self.harness.start(&engine.name, "standin-engine", &args)?;
        self.engines.push(engine);
        Ok(())
    }

    fn start_services(&mut self) -> Result<(), HarnessError> {
        for plan in self.plan.services.clone() {
            for number in 0..plan.endpoints {
                self.start_service(&plan, number)?;
            }
        }
        for service in self.services.clone() {
            let url = format!("http://{}/control/records", service.address);
            self.harness.wait_ready(&service.name, &url, READY_TIMEOUT)?;
        }
        Ok(())
    }

    fn start_service(&mut self, plan: &PlainPlan, number: u16) -> Result<(), HarnessError> {
        let service = ServiceProcess {
            name: format!("{}-{number}", plan.service).into(),
            service: plan.service.clone(),
            address: self.harness.free_address()?,
            domain: self.domain(number),
        };
        let args = flags(&[
            ("--listen", &service.address),
            ("--name", &service.name),
            ("--kind", &plan.kind),
            ("--work-ms", &plan.work_ms.to_string()),
        ]);
        self.harness.start(&service.name, "standin-service", &args)?;
        self.services.push(service);
        Ok(())
    }

    fn start_routers(&mut self) -> Result<(), HarnessError> {
        for number in 0..self.plan.routers {
            let router = RouterProcess {
                name: format!("router-{}", number + 1).into(),
                address: self.harness.free_address()?,
                operator_address: self.harness.free_address()?,
            };
            let peer_address = self.harness.free_address()?;
            let mut args = flags(&[
                ("--name", &format!("host-{}", number + 1)),
                ("--domain", &self.domain(number)),
                ("--listen", &router.address),
                ("--operator-listen", &router.operator_address),
                ("--peer-listen", &peer_address),
                ("--platform", &self.platform_url()),
            ]);
            args.extend(self.plan.router_args.iter().map(ToString::to_string));
            self.harness.start(&router.name, "jacinthrock-router", &args)?;
            self.routers.push(router);
        }
        Ok(())
    }

    fn start_controllers(&mut self) -> Result<(), HarnessError> {
        for number in 0..self.plan.controllers {
            let name = format!("controller-{}", number + 1);
            let operator_address = self.harness.free_address()?;
            let args = flags(&[
                ("--name", &format!("host-{}", number + 1)),
                ("--domain", &self.domain(number)),
                ("--operator-listen", &operator_address),
                ("--platform", &self.platform_url()),
            ]);
            self.harness.start(&name, "jacinthrock-controller", &args)?;
            self.controllers.push(name.into());
        }
        Ok(())
    }

    fn wait_routers(&mut self) -> Result<(), HarnessError> {
        for router in self.routers.clone() {
            let url = format!("http://{}/readyz", router.operator_address);
            self.harness.wait_ready(&router.name, &url, READY_TIMEOUT)?;
        }
        Ok(())
    }

    fn domain(&self, number: u16) -> DomainName {
        self.plan.domains[usize::from(number) % self.plan.domains.len()].clone()
    }
}

/// Layers of one stage when the layers are split as evenly as they can be.
fn stage_layers(layers: u16, stages: u16, stage: u16) -> (LayerIndex, LayerIndex) {
    let bound = |stage: u16| (u32::from(layers) * u32::from(stage) / u32::from(stages)) as u16;
    (bound(stage), bound(stage + 1) - 1)
}

fn flags(pairs: &[(&str, &str)]) -> Vec<String> {
    pairs.iter().flat_map(|(flag, value)| [flag.to_string(), value.to_string()]).collect()
}

fn write_tree(dir: &Path, nodes: &[NodeDeclaration]) -> Result<(), HarnessError> {
    let failed = |source| HarnessError::File { path: dir.display().to_string().into(), source };
    std::fs::create_dir_all(dir).map_err(failed)?;
    for node in nodes {
        let text = toml::to_string_pretty(node).expect("declarations serialize");
        std::fs::write(dir.join(format!("{}.toml", node.name)), text).map_err(failed)?;
    }
    Ok(())
}
