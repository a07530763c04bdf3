//! Measures how long a steady customer's requests wait while another customer floods the service,
//! with requests admitted in order of arrival and with fair sharing.
//!
//! `cargo run --release --example flood` prints a table; time is simulated.

use jacinthrock::{
    AdmissionGate, AdmissionRequest, GateAction, GateEvent, GateOptions, PriorityClass,
    TicketNumber,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

const SEED: u64 = 4;
const SLOTS: u32 = 40;
const QUEUE_LENGTH: u32 = 200;
const MEAN_SERVICE_TIME: Duration = Duration::from_millis(200);
/// Time after its arrival at which a request's deadline passes.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const RUN_TIME: Duration = Duration::from_secs(300);

/// Requests per second of the customer whose wait is measured. The capacity is 200 requests per
/// second: 40 slots that each serve a request in 200 ms on average.
const STEADY_RATE: f64 = 20.0;

/// Simulation of one admission gate, with random arrivals and service times.
struct FloodRun {
    gate: AdmissionGate,
    rng: ChaCha8Rng,
    now: Instant,
    arrivals: BTreeMap<Instant, &'static str>,
    rates: BTreeMap<&'static str, f64>,
    releases: BTreeMap<(Instant, TicketNumber), ()>,
    requests: BTreeMap<TicketNumber, (&'static str, Instant)>,
    steady_waits: Vec<Duration>,
    steady_refused: usize,
    next_ticket: TicketNumber,
}

impl FloodRun {
    fn new(options: GateOptions, flood_rate: f64) -> Self {
        let now = Instant::now();
        let mut run = Self {
            gate: AdmissionGate::new(options, SEED),
            rng: ChaCha8Rng::seed_from_u64(SEED),
            now,
            arrivals: BTreeMap::new(),
            rates: BTreeMap::from([("steady", STEADY_RATE), ("flood", flood_rate)]),
            releases: BTreeMap::new(),
            requests: BTreeMap::new(),
            steady_waits: Vec::new(),
            steady_refused: 0,
            next_ticket: 1,
        };
        run.gate.handle(now, GateEvent::Capacity("guide".into(), SLOTS));
        run.schedule_arrival("steady");
        if flood_rate > 0.0 {
            run.schedule_arrival("flood");
        }
        run
    }

    fn draw_exponential(&mut self, mean: f64) -> Duration {
        Duration::from_secs_f64(-mean * (1.0 - self.rng.random::<f64>()).ln())
    }

    fn schedule_arrival(&mut self, customer: &'static str) {
        let gap = self.draw_exponential(1.0 / self.rates[customer]);
        self.arrivals.insert(self.now + gap, customer);
    }

    fn run(mut self) -> Self {
        let end = self.now + RUN_TIME;
        while self.now < end {
            self.step();
        }
        self.steady_waits.sort();
        self
    }

    fn step(&mut self) {
        let arrival = self.arrivals.first_key_value().map(|(&at, _)| at);
        let release = self.releases.first_key_value().map(|(&(at, _), ())| at);
        let timer = self.gate.next_wake();
        let next = [arrival, release, timer]
            .into_iter()
            .flatten()
            .min()
            .expect("there is always a next arrival");
        self.now = self.now.max(next);
        if release == Some(next) {
            let ((_, ticket), ()) = self.releases.pop_first().expect("a release is due");
            self.apply(GateEvent::Release(ticket));
        } else if arrival == Some(next) {
            let (_, customer) = self.arrivals.pop_first().expect("an arrival is due");
            self.schedule_arrival(customer);
            self.arrive(customer);
        } else {
            self.apply(GateEvent::Timer);
        }
    }

    fn arrive(&mut self, customer: &'static str) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.requests.insert(ticket, (customer, self.now));
        let request = AdmissionRequest {
            service: "guide".into(),
            customer: customer.into(),
            share: 1,
            priority: PriorityClass::Guidance,
            deadline: self.now + REQUEST_TIMEOUT,
            queue_length: QUEUE_LENGTH,
        };
        self.apply(GateEvent::Arrive(ticket, request));
    }

    fn apply(&mut self, event: GateEvent) {
        for action in self.gate.handle(self.now, event) {
            match action {
                GateAction::Admit(ticket) => {
                    let (customer, arrived) = self.requests[&ticket];
                    if customer == "steady" {
                        self.steady_waits.push(self.now - arrived);
                    }
                    let service_time = self.draw_exponential(MEAN_SERVICE_TIME.as_secs_f64());
                    self.releases.insert((self.now + service_time, ticket), ());
                }
                GateAction::Refuse(ticket, _) => {
                    self.steady_refused += usize::from(self.requests[&ticket].0 == "steady");
                }
            }
        }
    }

    fn wait_quantile_ms(&self, fraction: f64) -> f64 {
        let index = ((self.steady_waits.len() - 1) as f64 * fraction) as usize;
        self.steady_waits[index].as_secs_f64() * 1e3
    }
}

fn main() {
    println!(
        "seed {SEED}, {SLOTS} slots, {RUN_TIME:?} simulated, steady customer at {STEADY_RATE}/s"
    );
    println!("| flood (requests/s) | order | served | refused | p50 wait (ms) | p99 wait (ms) |");
    println!("|---|---|---|---|---|---|");
    for flood in [0.0, 150.0, 200.0, 400.0, 2000.0] {
        for fair_sharing in [false, true] {
            let options = GateOptions { fair_sharing, ..GateOptions::default() };
            let run = FloodRun::new(options, flood).run();
            let order = if fair_sharing { "fair sharing" } else { "first come" };
            println!(
                "| {flood} | {order} | {} | {} | {:.1} | {:.1} |",
                run.steady_waits.len(),
                run.steady_refused,
                run.wait_quantile_ms(0.5),
                run.wait_quantile_ms(0.99),
            );
        }
    }
}
