//! Development-only stand-ins for the systems that jacinthrock meets, and fakes for tests.

pub mod fake_service;
pub mod fake_store;
pub mod host_gate;
pub mod order_engine;
pub mod token;
