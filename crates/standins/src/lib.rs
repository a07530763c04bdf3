//! Development-only stand-ins for the systems that jacinthrock meets, and fakes for tests.

pub mod bound;
pub mod fake_engine;
pub mod fake_store;
pub mod planning;
pub mod recovery;
pub mod sweep;
pub mod token;
