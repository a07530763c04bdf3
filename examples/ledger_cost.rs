//! Compares the platform calls per idempotent request: pages of the ledger against one object for
//! each key.
//!
//! `cargo run --release --example ledger_cost` prints a table. It runs on the paused clock
//! against the in-memory store, whose calls take 0 to 10 ms, 5 ms on average.

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use jacinthrock::{
    ClaimHolder, ClaimRequest, ClaimSettlement, ClaimVerdict, LedgerOptions, LedgerService,
    MetricName, MetricRegistry, ObjectVersion, PlainReply, PlatformStore, StoreChange, StoreError,
    StoreListing, StoredObject,
};
use jacinthrock_standins::fake_store::{FakeStore, StoreFaults};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

const HOST_COUNT: usize = 6;
/// Requests per second of each row.
const REQUEST_RATES: [u64; 4] = [1, 10, 100, 1000];
const RUN_TIME: Duration = Duration::from_secs(10);
const SERVICE_TIME: Duration = Duration::from_millis(10);
/// Wall-clock time at which a run starts, since the Unix epoch.
const UNIX_START: Duration = Duration::from_secs(1_700_000_000);
const SEED: u64 = 11;

/// Calls and bytes of all hosts.
#[derive(Default)]
struct StoreCost {
    reads: Cell<u64>,
    writes: Cell<u64>,
    read_bytes: Cell<u64>,
    written_bytes: Cell<u64>,
}

/// Store that counts the calls and bytes of reads and writes.
struct CountingStore {
    store: FakeStore,
    cost: Rc<StoreCost>,
}

fn add_to(cell: &Cell<u64>, amount: usize) {
    cell.set(cell.get() + amount as u64);
}

impl PlatformStore for CountingStore {
    fn get(&self, key: &str) -> LocalBoxFuture<'_, Result<Option<StoredObject>, StoreError>> {
        let key: Box<str> = key.into();
        async move {
            add_to(&self.cost.reads, 1);
            let object = self.store.get(&key).await?;
            add_to(&self.cost.read_bytes, object.as_ref().map_or(0, |object| object.value.len()));
            Ok(object)
        }
        .boxed_local()
    }

    fn put(
        &self,
        key: &str,
        expected: ObjectVersion,
        value: Box<[u8]>,
    ) -> LocalBoxFuture<'_, Result<ObjectVersion, StoreError>> {
        add_to(&self.cost.writes, 1);
        add_to(&self.cost.written_bytes, value.len());
        self.store.put(key, expected, value)
    }

    fn delete(
        &self,
        key: &str,
        expected: ObjectVersion,
    ) -> LocalBoxFuture<'_, Result<(), StoreError>> {
        self.store.delete(key, expected)
    }

    fn list(&self, prefix: &str) -> LocalBoxFuture<'_, Result<StoreListing, StoreError>> {
        self.store.list(prefix)
    }

    fn watch(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<(ObjectVersion, Vec<StoreChange>), StoreError>> {
        self.store.watch(prefix, after, wait)
    }
}

/// Result of a run: cost, write conflicts, and the time that each granted claim waited.
struct Measurement {
    requests: usize,
    granted: usize,
    cost: Rc<StoreCost>,
    conflicts: i64,
    waits: Vec<Duration>,
}

fn sample_reply() -> PlainReply {
    let body = vec![b'x'; 120].into();
    PlainReply { status: 201, content_type: "application/json".into(), body }
}

/// Generates a UUID version 7, whose timestamp is the time at which the key was made.
fn generate_key(rng: &mut ChaCha8Rng, time: Duration) -> String {
    let builder = uuid::Builder::from_unix_timestamp_millis(time.as_millis() as u64, &rng.random());
    builder.into_uuid().to_string()
}

/// Measures the ledger: claims and settlements update pages that all hosts share.
async fn measure_pages(rate: u64, options: LedgerOptions) -> Measurement {
    let (store, cost) = counting_store();
    let metrics = Rc::new(MetricRegistry::new());
    let hosts: Vec<LedgerService> = (0..HOST_COUNT)
        .map(|index| {
            let holder = ClaimHolder { host: format!("host-{index}").into(), incarnation: 1 };
            let store = Rc::new(CountingStore { store: store.handle(), cost: cost.clone() });
            let options = LedgerOptions { jitter_seed: index as u64, ..options.clone() };
            LedgerService::new(store, holder, Rc::new(|_, _| true), options, metrics.clone())
        })
        .collect();
    let run_request = |number: usize, key: String, unix_now: Duration| {
        let ledger = hosts[number % HOST_COUNT].clone();
        async move {
            let request = ClaimRequest {
                key: &key,
                fingerprint: "0123456789abcdef0123456789abcdef".into(),
                customer: "studio".into(),
                deadline: Duration::from_secs(2),
            };
            let started = Instant::now();
            let verdict = ledger.claim(request, unix_now).await;
            let waited = started.elapsed();
            let ClaimVerdict::Granted(ticket) = verdict else {
                return None;
            };
            tokio::time::sleep(SERVICE_TIME).await;
            ledger.settle(ticket, ClaimSettlement::Done(sample_reply())).await.ok()?;
            Some(waited)
        }
    };
    let (requests, waits) = run_arrivals(rate, run_request).await;
    let conflicts = metrics.value(MetricName::LedgerWrites, &["conflict"]);
    Measurement { requests, granted: waits.len(), cost, conflicts, waits }
}

/// Measures the baseline: a claim creates an object for the key, and a settlement replaces it.
async fn measure_objects(rate: u64) -> Measurement {
    let (store, cost) = counting_store();
    let run_request = |_: usize, key: String, _: Duration| {
        let store = CountingStore { store: store.handle(), cost: cost.clone() };
        async move {
            let name = format!("keys/studio/{key}");
            let started = Instant::now();
            let claim = vec![b'x'; 180].into();
            let version = store.put(&name, 0, claim).await.ok()?;
            let waited = started.elapsed();
            tokio::time::sleep(SERVICE_TIME).await;
            let settled = vec![b'x'; 340].into();
            store.put(&name, version, settled).await.ok()?;
            Some(waited)
        }
    };
    let (requests, waits) = run_arrivals(rate, run_request).await;
    Measurement { requests, granted: waits.len(), cost, conflicts: 0, waits }
}

fn counting_store() -> (FakeStore, Rc<StoreCost>) {
    let store = FakeStore::new(SEED);
    let longest_delay = Duration::from_millis(5);
    store.set_faults(StoreFaults { longest_delay, ..StoreFaults::default() });
    (store, Rc::default())
}

/// Starts requests at random times, whether or not earlier ones have ended.
async fn run_arrivals<F>(
    rate: u64,
    run_request: impl Fn(usize, String, Duration) -> F,
) -> (usize, Vec<Duration>)
where
    F: Future<Output = Option<Duration>> + 'static,
{
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let started = Instant::now();
    let mut tasks = Vec::new();
    let mut offset = Duration::ZERO;
    while offset < RUN_TIME {
        tokio::time::sleep_until(started + offset).await;
        let unix_now = UNIX_START + offset;
        tasks.push(tokio::task::spawn_local(run_request(
            tasks.len(),
            generate_key(&mut rng, unix_now),
            unix_now,
        )));
        let draw: f64 = rng.random_range(f64::EPSILON..1.0);
        offset += Duration::from_secs_f64(-draw.ln() / rate as f64);
    }
    let requests = tasks.len();
    let mut waits = Vec::new();
    for task in tasks {
        waits.extend(task.await.ok().flatten());
    }
    waits.sort();
    (requests, waits)
}

fn print_row(name: &str, rate: u64, measured: &Measurement) {
    let per_request = |cell: &Cell<u64>| cell.get() as f64 / measured.requests as f64;
    let wait_quantile_ms = |fraction: f64| {
        let index = (measured.waits.len() as f64 * fraction) as usize;
        measured.waits.get(index).map_or(0.0, |wait| wait.as_secs_f64() * 1000.0)
    };
    let seconds = RUN_TIME.as_secs_f64();
    println!(
        "| {name} | {rate} | {} of {} | {:.2} | {:.2} | {:.0} | {:.0} | {:.0} | {:.1} | {:.0} | {:.0} |",
        measured.granted,
        measured.requests,
        per_request(&measured.cost.writes),
        per_request(&measured.cost.reads),
        measured.cost.writes.get() as f64 / seconds,
        measured.cost.reads.get() as f64 / seconds,
        measured.conflicts as f64 / seconds,
        (per_request(&measured.cost.written_bytes) + per_request(&measured.cost.read_bytes))
            / 1024.0,
        wait_quantile_ms(0.5),
        wait_quantile_ms(0.99),
    );
}

fn run_paused<T>(future: impl Future<Output = T>) -> T {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build().expect("runtime");
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

fn main() {
    println!(
        "| ledger | bookings/s | recorded | writes each | reads each | writes/s | reads/s | \
         conflicts/s | KiB each | claim p50 ms | p99 ms |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for rate in REQUEST_RATES {
        print_row("one object per key", rate, &run_paused(measure_objects(rate)));
    }
    for (seconds, shards) in [(2, 4), (1, 2), (1, 4), (1, 8)] {
        let page_span = Duration::from_secs(seconds);
        for rate in REQUEST_RATES {
            let options = LedgerOptions { page_span, shards, ..LedgerOptions::default() };
            let name = format!("pages of {seconds} s, {shards} shards");
            print_row(&name, rate, &run_paused(measure_pages(rate, options)));
        }
    }
}
