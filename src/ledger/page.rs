//! A page of the ledger: one object on the platform with the records of some keys.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

use crate::ledger::key::IdempotencyKey;
use crate::ledger::record::{ClaimRecord, RecordState};

/// A page as the platform holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerPage {
    /// Identity of the page's creation; a page that was deleted and made anew has another.
    pub(crate) creation: Box<str>,
    /// Whether some host read a floor at or below this page after its creation.
    pub(crate) opened: bool,
    /// Records by customer and key.
    pub(crate) records: BTreeMap<Box<str>, ClaimRecord>,
}

impl LedgerPage {
    /// An empty page with the identity of its creation.
    pub(crate) fn new(creation: Box<str>) -> Self {
        Self { creation, opened: false, records: BTreeMap::new() }
    }

    /// Reads a page; `None` where the bytes are not a page.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }

    /// The page as bytes, without stored bodies where it would exceed `max_bytes`.
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
        serde_json::to_vec(self).expect("a page holds only strings and numbers").into()
    }
}

/// Name of a record in its page; customers can't see each other's keys.
pub(crate) fn record_name(customer: &str, key: &IdempotencyKey) -> Box<str> {
    format!("{customer}/{}", key.as_text()).into()
}
