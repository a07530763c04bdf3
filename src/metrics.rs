//! Table of all metrics. A test checks that the table in `docs/METRICS.md` matches it.

use prometheus::{Encoder, IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder};

/// Kind of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// Monotonically increasing value.
    Counter,
    /// Value that can increase and decrease.
    Gauge,
}

/// Row of the table of metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MetricRow {
    /// Name under which the metric is exported.
    pub name: &'static str,
    /// Kind of the metric.
    pub kind: MetricKind,
    /// Names of its labels.
    pub labels: &'static [&'static str],
    /// One-sentence help text.
    pub help: &'static str,
}

macro_rules! metrics {
    ($($variant:ident = $name:literal, $kind:ident, [$($label:literal),*], $help:literal;)*) => {
        /// Metric in the table.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum MetricName {
            $(#[doc = $help] $variant,)*
        }

        impl MetricName {
            /// Every metric, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the row of this metric.
            pub fn row(self) -> MetricRow {
                match self {
                    $(Self::$variant => MetricRow {
                        name: $name,
                        kind: MetricKind::$kind,
                        labels: &[$($label),*],
                        help: $help,
                    },)*
                }
            }
        }
    };
}

metrics! {
    Requests = "jacinthrock_requests_total", Counter, ["service", "outcome"], "Requests that ended, by service and outcome.";
    Refusals = "jacinthrock_refusals_total", Counter, ["code"], "Requests refused, by result code.";
    Retries = "jacinthrock_retries_total", Counter, ["reason"], "Attempts and calls made again, by reason.";
    OpenRequests = "jacinthrock_open_requests", Gauge, [], "Requests in flight.";
    OpenConnections = "jacinthrock_open_connections", Gauge, [], "Caller connections that are open.";
    Tokens = "jacinthrock_tokens_total", Counter, ["kind"], "Tokens from endpoints: accepted, duplicate or stray.";
    Attempts = "jacinthrock_attempts_total", Counter, ["end"], "Attempts at answers, by how they ended.";
    Ejections = "jacinthrock_ejections_total", Counter, ["reason"], "Endpoints taken out of the choice, by reason.";
    RatePermits = "jacinthrock_rate_permits_total", Counter, ["event"], "Permits for requests to endpoints with a rate limit: granted to the host or its group, lacking at a send; and requests held_back by a limit.";
    ForeignReplies = "jacinthrock_foreign_replies_total", Counter, ["service"], "Replies of endpoints that belong to another request than the one sent.";
    OversizedReplies = "jacinthrock_oversized_replies_total", Counter, ["source"], "Replies given up because they were over a limit, by source: answer, report, order or peer.";
    ForwardedCalls = "jacinthrock_forwarded_calls_total", Counter, ["service", "end", "outcome"], "Calls passed on to another host because this one could not reach the service, by service, end and outcome. Sent: answered, not_run or unknown, once for each host asked, but for attempts that end because another host has answered first or the caller has left; received: served, or refused as stopping, unreachable, busy, outdated or newer.";
    LateStreams = "jacinthrock_late_streams_total", Counter, ["service", "cause"], "Streams that were complete but late, by service and cause: the caller had returned, the wait for a path, the first event, or a pause between events.";
    PlainCalls = "jacinthrock_plain_calls_total", Counter, ["service", "level", "outcome"], "Plain calls of services with several priorities, by priority level: waited for a slot, served_after_wait, or refused.";
    ConfigRevision = "jacinthrock_config_revision", Gauge, [], "Configuration revision in force.";
    ConfigUnconfirmed = "jacinthrock_config_unconfirmed", Gauge, [], "1 while the platform has not answered lately and the host serves with the revision it has.";
    ConfigChanges = "jacinthrock_config_changes_total", Counter, ["source"], "Configuration revisions taken, by source.";
    ConfigRejected = "jacinthrock_config_rejected_total", Counter, ["code"], "Configuration revisions that failed their checks, by result code.";
    StoreCalls = "jacinthrock_store_calls_total", Counter, ["call", "result"], "Calls to the platform's store, by call and result.";
    LedgerClaims = "jacinthrock_ledger_claims_total", Counter, ["verdict"], "Claims on idempotency keys, by verdict.";
    LedgerWrites = "jacinthrock_ledger_writes_total", Counter, ["result"], "Group commits of the ledger, by result.";
    PeerExchanges = "jacinthrock_peer_exchanges_total", Counter, ["result"], "Exchanges with peers, by result.";
    PeerBytes = "jacinthrock_peer_bytes_total", Counter, ["direction"], "Bytes of exchanges with peers, by direction.";
    LivePeers = "jacinthrock_live_peers", Gauge, [], "Other hosts heard lately.";
    LeaseHeld = "jacinthrock_lease_held", Gauge, [], "1 while this controller holds the lease.";
    LeaseChanges = "jacinthrock_lease_changes_total", Counter, ["change"], "Changes of the controller's lease on this host.";
    Orders = "jacinthrock_orders_total", Counter, ["result"], "Orders to endpoints, by result.";
    StartersWanted = "jacinthrock_starters_wanted", Gauge, ["service", "domain"], "Starters that a failure domain of a service should have, as this host last decided as placement holder; 0 on other hosts.";
    LoopStalls = "jacinthrock_loop_stalls_total", Counter, [], "Times that the event loop stood still, seen from another thread.";
    AdmissionWaiting = "jacinthrock_admission_waiting", Gauge, ["priority"], "Requests that wait for admission, by priority class.";
    AdmissionShare = "jacinthrock_admission_share_thousandths", Gauge, ["service", "level"], "Share of new streams that is admitted, in thousandths, by service and priority level: ten times the priority of the customer or route, plus that of the route.";
    AdmissionStreams = "jacinthrock_admission_streams_total", Counter, ["service", "level", "outcome"], "Streams of services with several priorities, by priority level: admitted, waited for a path, or refused for lack of capacity.";
}

#[derive(Clone)]
enum MetricVec {
    Counter(IntCounterVec),
    Gauge(IntGaugeVec),
}

/// Registry of all counters and gauges in the table. No other metric can be recorded.
///
/// ```
/// use jacinthrock::{MetricRegistry, MetricName};
///
/// let registry = MetricRegistry::new();
/// registry.count(MetricName::Retries, &["not_sent"]);
/// assert_eq!(registry.value(MetricName::Retries, &["not_sent"]), 1);
/// ```
#[derive(Clone)]
pub struct MetricRegistry {
    registry: Registry,
    vecs: Vec<MetricVec>,
}

impl Default for MetricRegistry {
    fn default() -> Self {
        Self::new()
    }
}

impl MetricRegistry {
    /// Registers every metric of the table.
    pub fn new() -> Self {
        let registry = Registry::new();
        let vecs = MetricName::ALL.iter().map(|name| register(&registry, name.row())).collect();
        Self { registry, vecs }
    }

    /// Adds one to a counter.
    pub fn count(&self, name: MetricName, labels: &[&str]) {
        self.add(name, labels, 1);
    }

    /// Adds an amount to a counter or gauge. A counter ignores a negative amount.
    pub fn add(&self, name: MetricName, labels: &[&str], amount: i64) {
        match &self.vecs[name as usize] {
            MetricVec::Counter(vec) => vec.with_label_values(labels).inc_by(amount.max(0) as u64),
            MetricVec::Gauge(vec) => vec.with_label_values(labels).add(amount),
        }
    }

    /// Sets a gauge; has no effect on a counter.
    pub fn set(&self, name: MetricName, labels: &[&str], value: i64) {
        if let MetricVec::Gauge(vec) = &self.vecs[name as usize] {
            vec.with_label_values(labels).set(value);
        }
    }

    /// Returns the current value of a metric, for status reports and tests.
    pub fn value(&self, name: MetricName, labels: &[&str]) -> i64 {
        match &self.vecs[name as usize] {
            MetricVec::Counter(vec) => vec.with_label_values(labels).get() as i64,
            MetricVec::Gauge(vec) => vec.with_label_values(labels).get(),
        }
    }

    /// Returns every metric in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut buffer = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut buffer);
        if encoded.is_err() {
            return String::new();
        }
        String::from_utf8(buffer).unwrap_or_default()
    }
}

fn register(registry: &Registry, row: MetricRow) -> MetricVec {
    let opts = Opts::new(row.name, row.help);
    match row.kind {
        MetricKind::Counter => {
            let vec = IntCounterVec::new(opts, row.labels).expect("table rows are valid");
            registry.register(Box::new(vec.clone())).expect("table rows are unique");
            MetricVec::Counter(vec)
        }
        MetricKind::Gauge => {
            let vec = IntGaugeVec::new(opts, row.labels).expect("table rows are valid");
            registry.register(Box::new(vec.clone())).expect("table rows are unique");
            MetricVec::Gauge(vec)
        }
    }
}
