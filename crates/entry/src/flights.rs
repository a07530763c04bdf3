//! Streams in flight on this host.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use jacinthrock::EndpointName;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::path::{PathStage, crossings};
use crate::silence::{StreamNumber, StreamView};

/// Weight of the newest interval between events in a stream's pace.
const NEWEST_WEIGHT: f64 = 0.2;

/// Expected time of a stream from its send to its end at the usual load.
const EXPECTED_TIME: Duration = Duration::from_secs(3);
/// Expected interval between events before two were seen.
const FIRST_PACE: Duration = Duration::from_millis(30);
/// Expected time to a first event before any was seen.
const FIRST_GUESS: Duration = Duration::from_millis(100);

/// One stream on one path.
#[derive(Debug)]
pub struct StreamRecord {
    number: StreamNumber,
    path: RefCell<Rc<[PathStage]>>,
    tokens: u32,
    crossing_tokens_per_s: Cell<f64>,
    heard: Cell<Instant>,
    pace: Cell<Option<Duration>>,
    is_waiting: Cell<bool>,
    /// Told when the stream should go on over another path.
    pub abandon: Notify,
}

impl StreamRecord {
    /// Stages that the stream runs through.
    pub fn path(&self) -> Rc<[PathStage]> {
        self.path.borrow().clone()
    }

    /// Most tokens that the stream is expected to hold.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    fn event(&self, now: Instant) {
        let interval = now.saturating_duration_since(self.heard.replace(now));
        // The first interval holds the reading of the prompt and says nothing of the pace.
        let pace = match self.pace.get() {
            None => FIRST_PACE,
            Some(pace) => pace.mul_f64(1.0 - NEWEST_WEIGHT) + interval.mul_f64(NEWEST_WEIGHT),
        };
        self.pace.set(Some(pace));
    }

    /// Sets whether this host waits for the endpoint, and not for the caller to read.
    pub fn set_waiting(&self, is_waiting: bool, now: Instant) {
        if is_waiting && !self.is_waiting.get() && self.pace.get().is_some() {
            self.heard.set(now);
        }
        self.is_waiting.set(is_waiting);
    }
}

/// What runs through one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32, u64)", into = "(u32, u32, u64)")]
pub struct StageLoad {
    /// Streams.
    pub streams: u32,
    /// Streams that begin here.
    pub starts: u32,
    /// Tokens times layers that the streams hold at most.
    pub token_layers: u64,
}

impl StageLoad {
    /// What one stream of so many tokens adds to a stage of its path.
    fn of_stream(stage: &PathStage, tokens: u32) -> Self {
        Self {
            streams: 1,
            starts: u32::from(stage.span.from == 0),
            token_layers: u64::from(tokens) * u64::from(stage.span.count()),
        }
    }

    /// Adds another load.
    pub fn add(&mut self, other: Self) {
        self.streams += other.streams;
        self.starts += other.starts;
        self.token_layers += other.token_layers;
    }

    /// Takes another load away.
    pub fn remove(&mut self, other: Self) {
        self.streams = self.streams.saturating_sub(other.streams);
        self.starts = self.starts.saturating_sub(other.starts);
        self.token_layers = self.token_layers.saturating_sub(other.token_layers);
    }

    /// Multiplies the load by a number of hosts.
    pub fn scale(&mut self, hosts: u32) {
        self.streams *= hosts;
        self.starts *= hosts;
        self.token_layers *= u64::from(hosts);
    }
}

impl From<(u32, u32, u64)> for StageLoad {
    fn from((streams, starts, token_layers): (u32, u32, u64)) -> Self {
        Self { streams, starts, token_layers }
    }
}

impl From<StageLoad> for (u32, u32, u64) {
    fn from(load: StageLoad) -> Self {
        (load.streams, load.starts, load.token_layers)
    }
}

/// Every stream of this host.
#[derive(Debug, Default)]
pub struct FlightTable {
    records: BTreeMap<StreamNumber, Rc<StreamRecord>>,
    loads: BTreeMap<EndpointName, StageLoad>,
    next: StreamNumber,
    usual_first: Option<Duration>,
}

impl FlightTable {
    /// What this host runs through the endpoint.
    pub fn load(&self, name: &str) -> StageLoad {
        self.loads.get(name).copied().unwrap_or_default()
    }

    /// What this host runs through each endpoint.
    pub fn loads(&self) -> &BTreeMap<EndpointName, StageLoad> {
        &self.loads
    }

    /// Streams that wait for their endpoints.
    pub fn views(&self) -> Vec<StreamView> {
        let waiting = self.records.values().filter(|record| record.is_waiting.get());
        waiting
            .map(|record| StreamView {
                number: record.number,
                path: record.path(),
                heard: record.heard.get(),
                pace: record.pace.get(),
            })
            .collect()
    }

    /// Tokens a second that this host's streams send between failure domains.
    pub fn crossing_tokens_per_s(&self) -> f64 {
        self.records.values().map(|record| record.crossing_tokens_per_s.get()).sum()
    }

    /// Usual time from a send to its first event.
    pub fn usual_first(&self) -> Duration {
        self.usual_first.unwrap_or(FIRST_GUESS)
    }

    /// Number of streams.
    pub fn count(&self) -> usize {
        self.records.len()
    }

    /// Tells one stream to leave its path.
    pub fn abandon(&self, number: StreamNumber) {
        if let Some(record) = self.records.get(&number) {
            record.abandon.notify_one();
        }
    }

    /// Tells all streams through an endpoint to leave their paths; returns how many.
    pub fn request_reroute_through(&self, name: &str) -> usize {
        let through = self.records.values().filter(|record| {
            record.is_waiting.get() && record.path().iter().any(|stage| &*stage.name == name)
        });
        through.map(|record| record.abandon.notify_one()).count()
    }

    /// Takes the silence so far from every stream, after this host itself stood still.
    pub fn forgive_silence(&self, now: Instant) {
        self.records.values().for_each(|record| record.heard.set(now));
    }

    fn insert(&mut self, path: Rc<[PathStage]>, tokens: u32, now: Instant) -> Rc<StreamRecord> {
        self.next += 1;
        self.add_path(&path, tokens);
        let record = Rc::new(StreamRecord {
            number: self.next,
            crossing_tokens_per_s: Cell::new(crossing_flow(&path, tokens)),
            path: RefCell::new(path),
            tokens,
            heard: Cell::new(now),
            pace: Cell::new(None),
            is_waiting: Cell::new(true),
            abandon: Notify::new(),
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

/// Tokens a second that a stream is expected to send between failure domains.
fn crossing_flow(path: &[PathStage], tokens: u32) -> f64 {
    f64::from(tokens) / EXPECTED_TIME.as_secs_f64() * crossings(path) as f64
}

/// Counts a stream as in flight until it is dropped.
#[derive(Debug)]
pub struct StreamFlight {
    table: Rc<RefCell<FlightTable>>,
    record: Rc<StreamRecord>,
}

impl StreamFlight {
    /// Enters a stream of so many tokens on a path.
    pub fn new(
        table: Rc<RefCell<FlightTable>>,
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

    /// Records that the stream goes on over another path, whose new stages read its tokens first.
    pub fn reroute(&self, path: Rc<[PathStage]>, now: Instant) {
        let record = &self.record;
        let mut table = self.table.borrow_mut();
        table.remove_path(&record.path(), record.tokens);
        table.add_path(&path, record.tokens);
        record.crossing_tokens_per_s.set(crossing_flow(&path, record.tokens));
        *record.path.borrow_mut() = path;
        record.heard.set(now);
    }

    /// Records an event.
    pub fn event(&self, now: Instant) {
        if self.record.pace.get().is_none() {
            let first = now.saturating_duration_since(self.record.heard.get());
            let mut table = self.table.borrow_mut();
            let usual = table.usual_first();
            table.usual_first =
                Some(usual.mul_f64(1.0 - NEWEST_WEIGHT) + first.mul_f64(NEWEST_WEIGHT));
        }
        self.record.event(now);
    }
}

impl Drop for StreamFlight {
    fn drop(&mut self) {
        self.table.borrow_mut().remove(&self.record);
    }
}
