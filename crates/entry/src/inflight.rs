//! Streams in flight on this host, and the load that they put on each endpoint.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jacinthrock::EndpointName;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::path::{PathStage, crossings, stage_at};
use crate::stall::{StreamNumber, StreamView};

/// Weight of the newest sample in moving averages of event times.
const NEWEST_WEIGHT: f64 = 0.2;

/// Expected duration of a stream from its send to its end at the usual load.
const EXPECTED_STREAM_TIME: Duration = Duration::from_secs(3);
/// Assumed interval between events before one was measured.
const INITIAL_EVENT_INTERVAL: Duration = Duration::from_millis(30);
/// Assumed delay of a stream's first event before any was measured.
const INITIAL_FIRST_EVENT_DELAY: Duration = Duration::from_millis(100);

/// A stream in flight.
#[derive(Debug)]
pub struct StreamRecord {
    number: StreamNumber,
    path: RefCell<Rc<[PathStage]>>,
    tokens: u32,
    crossing_tokens_per_s: Cell<f64>,
    last_activity: Cell<Instant>,
    event_interval: Cell<Option<Duration>>,
    is_waiting: Cell<bool>,
    is_reroute_due: Cell<bool>,
    reroute_requested: Notify,
}

impl StreamRecord {
    /// Stages that the stream runs through.
    pub fn path(&self) -> Rc<[PathStage]> {
        self.path.borrow().clone()
    }

    /// Expected maximum number of tokens in the stream's KV cache.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Requests that the stream continue over another path, unless an event arrives first.
    fn request_reroute(&self) {
        self.is_reroute_due.set(true);
        self.reroute_requested.notify_one();
    }

    /// Waits until the stream should continue over another path.
    pub async fn reroute_due(&self) {
        while !self.is_reroute_due.take() {
            self.reroute_requested.notified().await;
        }
    }

    /// Time since the last event, or since the stream took its path.
    pub fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_activity.get())
    }

    /// Ends a silence, and drops a request to reroute that it led to.
    fn end_silence(&self, now: Instant) -> Instant {
        self.is_reroute_due.set(false);
        self.last_activity.replace(now)
    }

    fn record_event(&self, now: Instant) {
        let interval = now.saturating_duration_since(self.end_silence(now));
        // The first interval includes the prefill, so it says nothing about the event rate.
        let event_interval = match self.event_interval.get() {
            None => INITIAL_EVENT_INTERVAL,
            Some(mean) => mean.mul_f64(1.0 - NEWEST_WEIGHT) + interval.mul_f64(NEWEST_WEIGHT),
        };
        self.event_interval.set(Some(event_interval));
    }

    /// Sets whether this host waits for the endpoint, rather than for the caller to read.
    pub fn set_waiting(&self, is_waiting: bool, now: Instant) {
        if is_waiting && !self.is_waiting.get() && self.event_interval.get().is_some() {
            self.last_activity.set(now);
        }
        self.is_waiting.set(is_waiting);
    }
}

/// Upper bound on a number of streams on one endpoint that another host reports. A sum of a few
/// reports at the bounds is not saturated, so that they can be subtracted again.
const MAX_REPORTED_STREAMS: u32 = 1_000_000;
/// Upper bound on the KV cache use of one endpoint that another host reports, in tokens times
/// layers, far above what an endpoint holds.
const MAX_REPORTED_TOKEN_LAYERS: u64 = 1_000_000_000_000;

/// Load that streams put on an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32, u64)", into = "(u32, u32, u64)")]
pub struct StageLoad {
    /// Streams that run through the endpoint.
    pub streams: u32,
    /// Streams whose path starts at the endpoint.
    pub starts: u32,
    /// Maximum KV cache use of the streams, in tokens times layers.
    pub token_layers: u64,
}

impl StageLoad {
    /// Load that a stream with the given number of tokens adds to a stage of its path.
    fn of_stream(stage: &PathStage, tokens: u32) -> Self {
        Self {
            streams: 1,
            starts: u32::from(stage.span.from == 0),
            token_layers: u64::from(tokens) * u64::from(stage.span.count()),
        }
    }

    /// Adds another load, which may be one that a faulty host reports.
    pub fn add(&mut self, other: Self) {
        self.streams = self.streams.saturating_add(other.streams);
        self.starts = self.starts.saturating_add(other.starts);
        self.token_layers = self.token_layers.saturating_add(other.token_layers);
    }

    /// Subtracts another load.
    pub fn remove(&mut self, other: Self) {
        self.streams = self.streams.saturating_sub(other.streams);
        self.starts = self.starts.saturating_sub(other.starts);
        self.token_layers = self.token_layers.saturating_sub(other.token_layers);
    }

    /// Multiplies the load by a number of hosts.
    pub fn scale(&mut self, hosts: u32) {
        self.streams = self.streams.saturating_mul(hosts);
        self.starts = self.starts.saturating_mul(hosts);
        self.token_layers = self.token_layers.saturating_mul(u64::from(hosts));
    }
}

impl From<(u32, u32, u64)> for StageLoad {
    fn from((streams, starts, token_layers): (u32, u32, u64)) -> Self {
        Self {
            streams: streams.min(MAX_REPORTED_STREAMS),
            starts: starts.min(MAX_REPORTED_STREAMS),
            token_layers: token_layers.min(MAX_REPORTED_TOKEN_LAYERS),
        }
    }
}

impl From<StageLoad> for (u32, u32, u64) {
    fn from(load: StageLoad) -> Self {
        (load.streams, load.starts, load.token_layers)
    }
}

/// All streams in flight on this host.
#[derive(Debug, Default)]
pub struct StreamTable {
    records: BTreeMap<StreamNumber, Rc<StreamRecord>>,
    loads: BTreeMap<EndpointName, StageLoad>,
    next: StreamNumber,
    first_event_delay: Option<Duration>,
}

impl StreamTable {
    /// Load of this host's streams on an endpoint.
    pub fn load(&self, name: &str) -> StageLoad {
        self.loads.get(name).copied().unwrap_or_default()
    }

    /// Load of this host's streams on each endpoint.
    pub fn loads(&self) -> &BTreeMap<EndpointName, StageLoad> {
        &self.loads
    }

    /// Streams that currently wait for their endpoint.
    pub fn views(&self) -> Vec<StreamView> {
        let waiting = self.records.values().filter(|record| record.is_waiting.get());
        waiting
            .map(|record| StreamView {
                number: record.number,
                path: record.path(),
                last_activity: record.last_activity.get(),
                event_interval: record.event_interval.get(),
            })
            .collect()
    }

    /// Tokens per second that this host's streams send between failure domains.
    pub fn crossing_tokens_per_s(&self) -> f64 {
        self.records.values().map(|record| record.crossing_tokens_per_s.get()).sum()
    }

    /// Usual delay from the send of a stream to its first event.
    pub fn first_event_delay(&self) -> Duration {
        self.first_event_delay.unwrap_or(INITIAL_FIRST_EVENT_DELAY)
    }

    /// Number of streams in flight.
    pub fn count(&self) -> usize {
        self.records.len()
    }

    /// Requests that a stream continue over another path.
    pub fn request_reroute(&self, number: StreamNumber) {
        if let Some(record) = self.records.get(&number) {
            record.request_reroute();
        }
    }

    /// Requests that all streams through an endpoint continue over other paths; returns how many.
    pub fn request_reroute_through(&self, name: &str) -> usize {
        let through = self.records.values().filter(|record| {
            record.is_waiting.get() && record.path().iter().any(|stage| &*stage.name == name)
        });
        through.map(|record| record.request_reroute()).count()
    }

    /// The endpoint at an address that streams from a first stage run through.
    pub fn stage_behind(&self, first: &str, address: SocketAddr) -> Option<EndpointName> {
        let paths = self.records.values().map(|record| record.path());
        let mut started = paths.filter(|path| path.first().is_some_and(|s| &*s.name == first));
        started.find_map(|path| stage_at(&path, address).map(|stage| stage.name.clone()))
    }

    /// Restarts the silence of every stream; called after this host itself was stalled.
    pub fn reset_silence(&self, now: Instant) {
        self.records.values().for_each(|record| {
            record.end_silence(now);
        });
    }

    fn insert(&mut self, path: Rc<[PathStage]>, tokens: u32, now: Instant) -> Rc<StreamRecord> {
        self.next += 1;
        self.add_path(&path, tokens);
        let record = Rc::new(StreamRecord {
            number: self.next,
            crossing_tokens_per_s: Cell::new(crossing_rate(&path, tokens)),
            path: RefCell::new(path),
            tokens,
            last_activity: Cell::new(now),
            event_interval: Cell::new(None),
            is_waiting: Cell::new(true),
            is_reroute_due: Cell::new(false),
            reroute_requested: Notify::new(),
        });
        self.records.insert(self.next, record.clone());
        record
    }

    fn remove(&mut self, record: &StreamRecord) {
        self.records.remove(&record.number);
        self.remove_path(&record.path(), record.tokens);
    }

    fn add_path(&mut self, path: &[PathStage], tokens: u32) {
        for stage in path {
            let load = self.loads.entry(stage.name.clone()).or_default();
            load.add(StageLoad::of_stream(stage, tokens));
        }
    }

    fn remove_path(&mut self, path: &[PathStage], tokens: u32) {
        for stage in path {
            let Some(load) = self.loads.get_mut(&stage.name) else { continue };
            load.remove(StageLoad::of_stream(stage, tokens));
            if load.streams == 0 {
                self.loads.remove(&stage.name);
            }
        }
    }
}

/// Expected rate at which a stream sends tokens between failure domains, per second.
fn crossing_rate(path: &[PathStage], tokens: u32) -> f64 {
    f64::from(tokens) / EXPECTED_STREAM_TIME.as_secs_f64() * crossings(path) as f64
}

/// Keeps a stream registered as in flight until dropped.
#[derive(Debug)]
pub struct StreamGuard {
    table: Rc<RefCell<StreamTable>>,
    record: Rc<StreamRecord>,
}

impl StreamGuard {
    /// Registers a stream with the given number of tokens on a path.
    pub fn new(
        table: Rc<RefCell<StreamTable>>,
        path: Rc<[PathStage]>,
        tokens: u32,
        now: Instant,
    ) -> Self {
        let record = table.borrow_mut().insert(path, tokens, now);
        Self { table, record }
    }

    /// The stream's record.
    pub fn record(&self) -> &StreamRecord {
        &self.record
    }

    /// Records that the stream continues over another path. Its silence restarts, since the new
    /// stages prefill its tokens first.
    pub fn switch_path(&self, path: Rc<[PathStage]>, now: Instant) {
        let record = &self.record;
        let mut table = self.table.borrow_mut();
        table.remove_path(&record.path(), record.tokens);
        table.add_path(&path, record.tokens);
        record.crossing_tokens_per_s.set(crossing_rate(&path, record.tokens));
        *record.path.borrow_mut() = path;
        record.end_silence(now);
    }

    /// Records an event of the stream.
    pub fn record_event(&self, now: Instant) {
        if self.record.event_interval.get().is_none() {
            let delay = now.saturating_duration_since(self.record.last_activity.get());
            let mut table = self.table.borrow_mut();
            let mean = table.first_event_delay();
            table.first_event_delay =
                Some(mean.mul_f64(1.0 - NEWEST_WEIGHT) + delay.mul_f64(NEWEST_WEIGHT));
        }
        self.record.record_event(now);
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.table.borrow_mut().remove(&self.record);
    }
}
