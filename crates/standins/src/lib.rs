//! Development-only stand-ins for the systems that jacinthrock meets, and fakes for tests.

pub mod bound;
pub mod caller;
pub mod direct;
pub mod engine;
pub mod fake_engine;
pub mod fake_service;
pub mod fake_store;
pub mod fleet;
pub mod harness;
pub mod host_gate;
pub mod http;
pub mod load;
pub mod order_engine;
pub mod peer_simulation;
pub mod planning;
pub mod platform;
pub mod recovery;
pub mod service;
pub mod sweep;
pub mod token;
