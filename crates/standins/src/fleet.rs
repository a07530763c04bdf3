//! A complete system on loopback: stand-ins, routers, controllers and the declaration tree.

mod plan;
mod running;
mod tree;

pub use plan::{ChainPlan, CustomerPlan, FleetPlan, ModelPlan, PlainPlan};
pub use running::{EngineProcess, RouterProcess, RunningFleet, ServiceProcess};
pub use tree::declaration_tree;
