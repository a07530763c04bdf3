//! Development-only stand-ins for the systems that jacinthrock meets, and fakes for tests.

pub mod caller;
pub mod direct;
pub mod engine;
pub mod fake_store;
pub mod fleet;
pub mod harness;
pub mod http;
pub mod load;
pub mod platform;
pub mod service;
pub mod peer_world;
pub mod token;
