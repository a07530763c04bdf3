//! Page of the ledger: a platform object that stores the records of several keys.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

use crate::ledger::key::IdempotencyKey;
use crate::ledger::record::{ClaimRecord, RecordState};

/// A page as stored on the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerPage {
    /// Unique ID of the page's creation; a page that is deleted and created again gets a new one.
    pub(crate) creation: Box<str>,
    /// Whether some host has read a floor at or below this page since its creation.
    pub(crate) opened: bool,
    /// Records by customer and key.
    pub(crate) records: BTreeMap<Box<str>, ClaimRecord>,
}

impl LedgerPage {
    /// Creates an empty page with the ID of its creation.
    pub(crate) fn new(creation: Box<str>) -> Self {
        Self { creation, opened: false, records: BTreeMap::new() }
    }

    /// Decodes a page; `None` if the bytes are not a valid page.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }

    /// Encodes the page; drops all stored response bodies if it would exceed `max_bytes`.
    pub(crate) fn encode(&mut self, max_bytes: usize) -> Box<[u8]> {
        let bytes = self.to_json();
        if bytes.len() <= max_bytes {
            return bytes;
        }
        for record in self.records.values_mut() {
            if let RecordState::Done { body, .. } = &mut record.state {
                *body = None;
            }
        }
        self.to_json()
    }

    /// Records by customer and key.
    pub fn records(&self) -> &BTreeMap<Box<str>, ClaimRecord> {
        &self.records
    }

    fn to_json(&self) -> Box<[u8]> {
        serde_json::to_vec(self).expect("a page has string keys and serializable values").into()
    }
}

/// Name of a record in its page. It includes the customer, so that customers can't see each
/// other's keys.
pub(crate) fn record_name(customer: &str, key: &IdempotencyKey) -> Box<str> {
    format!("{customer}/{}", key.to_text()).into()
}
