//! What all hosts together run through each endpoint.
//!
//! Load pattern: hosts get unlike shares of the callers, and all prefer the same fast cards. A host
//! that knows its own streams alone fills a stage that others have filled already. Each host tells
//! one of them, the holder of the placement duty, what it runs, and gets the sum back.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthrock::{EndpointName, HostName};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::flights::StageLoad;

/// Time after which a host's report no longer counts: several exchanges.
const REPORT_AGE: Duration = Duration::from_millis(1_500);
/// Time after which a sum is no longer used.
const SUM_AGE: Duration = Duration::from_millis(1_200);

/// Loads of endpoints by name.
pub type LoadMap = BTreeMap<EndpointName, StageLoad>;

/// One host's loads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostLoads {
    /// The host.
    pub host: HostName,
    /// What it runs.
    pub loads: LoadMap,
}

/// Sums the reports of hosts; used by the holder of the duty.
#[derive(Debug, Default)]
pub struct LoadBoard {
    reports: BTreeMap<HostName, (Instant, LoadMap)>,
}

impl LoadBoard {
    /// Takes a host's report and returns what the other hosts run.
    pub fn exchange(&mut self, report: HostLoads, now: Instant) -> LoadMap {
        self.reports.retain(|_, (at, _)| now.saturating_duration_since(*at) < REPORT_AGE);
        let mut sum = LoadMap::new();
        for (_, loads) in
            self.reports.iter().filter(|(host, _)| **host != report.host).map(|(_, report)| report)
        {
            for (name, load) in loads {
                sum.entry(name.clone()).or_default().add(*load);
            }
        }
        self.reports.insert(report.host, (now, report.loads));
        sum
    }
}

/// What other hosts run, as last told.
#[derive(Debug, Default)]
pub struct OtherLoads {
    told: Option<(Instant, LoadMap)>,
}

impl OtherLoads {
    /// Takes a new sum.
    pub fn take(&mut self, loads: LoadMap, now: Instant) {
        self.told = Some((now, loads));
    }

    /// Loads of other hosts; none where the last sum is too old.
    pub fn fresh(&self, now: Instant) -> Option<&LoadMap> {
        let (at, loads) = self.told.as_ref()?;
        (now.saturating_duration_since(*at) < SUM_AGE).then_some(loads)
    }
}
