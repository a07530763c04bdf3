//! Checks the services' records of the calls that ran against the responses that callers received.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

use super::sample::{CallResult, CallSample};
use super::scenario::CallKind;
use crate::fleet::ServiceProcess;
use crate::service::ServiceRecord;

/// Result of the checks. The first three counts are informative; the others must be 0.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckReport {
    /// Answers that were recomputed token by token.
    pub answers_checked: u32,
    /// Distinct idempotency keys of the calls that ran.
    pub keys_run: u32,
    /// Calls for which the router reported an unknown outcome.
    pub unknown: u32,
    /// Calls whose response had the wrong content.
    pub wrong_answers: u32,
    /// Idempotency keys with which calls ran more than once.
    pub run_twice: u32,
    /// Calls that succeeded for the caller but never ran.
    pub acknowledged_not_run: u32,
    /// Calls that were reported as not run but ran.
    pub refused_but_run: u32,
    /// Services whose records could not be read.
    pub unread_services: u32,
}

impl CheckReport {
    /// Whether no guarantee was violated and every service's records could be read.
    pub fn has_passed(&self) -> bool {
        self.wrong_answers == 0
            && self.run_twice == 0
            && self.acknowledged_not_run == 0
            && self.refused_but_run == 0
            && self.unread_services == 0
    }
}

/// Checks samples against the services' records, read over HTTP.
pub fn check_runs(samples: &[CallSample], services: &[ServiceProcess]) -> CheckReport {
    let mut records = Vec::new();
    let mut unread_services = 0;
    for service in services {
        match read_records(&service.address) {
            Some(found) => records.extend(found),
            None => unread_services += 1,
        }
    }
    CheckReport { unread_services, ..check_samples(samples, &records) }
}

/// Checks samples against the records of all services that could have run them.
pub fn check_samples(samples: &[CallSample], records: &[ServiceRecord]) -> CheckReport {
    let mut runs: BTreeMap<Box<str>, u32> = BTreeMap::new();
    for record in records.iter().filter(|record| !record.key.is_empty()) {
        *runs.entry(record.key.clone()).or_default() += record.times_run;
    }
    let mut report = CheckReport {
        keys_run: runs.len() as u32,
        run_twice: runs.values().filter(|&&times| times > 1).count() as u32,
        ..CheckReport::default()
    };
    for sample in samples {
        check_sample(sample, &runs, &mut report);
    }
    report
}

fn check_sample(sample: &CallSample, runs: &BTreeMap<Box<str>, u32>, report: &mut CheckReport) {
    let count = |counted: bool| u32::from(counted);
    report.unknown += count(sample.result == CallResult::Unknown);
    report.wrong_answers += count(sample.result == CallResult::Wrong);
    if sample.kind == CallKind::Answer {
        report.answers_checked += count(sample.result == CallResult::Whole);
    }
    if sample.kind == CallKind::Run {
        let ran = runs.contains_key(&sample.key);
        report.acknowledged_not_run += count(sample.result == CallResult::Whole && !ran);
        report.refused_but_run += count(sample.is_reported_not_run() && ran);
    }
}

fn read_records(address: &str) -> Option<Vec<ServiceRecord>> {
    let url = format!("http://{address}/control/records");
    let mut response = ureq::get(&url).call().ok()?;
    let body = response.body_mut().with_config().limit(u64::MAX).read_to_vec().ok()?;
    serde_json::from_slice(&body).ok()
}
