//! Checks the engines' records: no layer may run twice for a token in one attempt.

use jacinthrock::{AttemptNumber, LayerIndex, RequestId, TokenPosition};
use std::collections::BTreeMap;

use crate::engine::EngineRecords;
use crate::fleet::EngineProcess;

/// Result of the layer check.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LayerReport {
    /// Tokens found in the records; a token counts once for each attempt.
    pub tokens: u32,
    /// Tokens for which a layer ran more than once in one attempt.
    pub run_twice: u32,
    /// Engines whose records could not be read, for example because they were killed.
    pub unread_engines: u32,
}

type TokenKey = (RequestId, AttemptNumber, TokenPosition);
type LayerRange = (LayerIndex, LayerIndex);

/// Reads the records of every engine and checks the layers that ran for each token.
pub fn check_layers(engines: &[EngineProcess]) -> LayerReport {
    let read: Vec<_> = engines.iter().map(|engine| read_records(&engine.address)).collect();
    let unread_engines = read.iter().filter(|records| records.is_none()).count() as u32;
    let records: Vec<EngineRecords> = read.into_iter().flatten().collect();
    LayerReport { unread_engines, ..check_layer_records(&records) }
}

/// Checks the layers that ran for each token, according to the given records.
pub fn check_layer_records(records: &[EngineRecords]) -> LayerReport {
    let mut tokens: BTreeMap<TokenKey, Vec<LayerRange>> = BTreeMap::new();
    for run in records.iter().flat_map(|records| &records.runs) {
        let key = (run.request.clone(), run.attempt, run.position);
        tokens.entry(key).or_default().push((run.first_layer, run.last_layer));
    }
    let run_twice = tokens.values().filter(|ranges| overlaps(ranges)).count();
    LayerReport { tokens: tokens.len() as u32, run_twice: run_twice as u32, unread_engines: 0 }
}

/// Whether two of the ranges share a layer.
fn overlaps(ranges: &[LayerRange]) -> bool {
    let mut ranges = ranges.to_vec();
    ranges.sort();
    ranges.windows(2).any(|pair| pair[1].0 <= pair[0].1)
}

fn read_records(address: &str) -> Option<EngineRecords> {
    let mut response = ureq::get(format!("http://{address}/control/records")).call().ok()?;
    let body = response.body_mut().with_config().limit(u64::MAX).read_to_vec().ok()?;
    serde_json::from_slice(&body).ok()
}
