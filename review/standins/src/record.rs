//! What was sent, answered and run, with times since the start of the case.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub replica: String,
    pub attempt: String,
    /// Whether the replica began to work on it.
    pub ran: bool,
}

#[derive(Clone, Debug)]
pub struct Outcome {
    pub sent: Duration,
    pub ended: Duration,
    pub attempt: String,
    pub host: usize,
    /// Status of the answer; 0 if the connection ended without a complete one.
    pub status: u16,
    pub note: String,
}

#[derive(Clone)]
pub struct Record {
    pub started: Instant,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    pub outcomes: Arc<Mutex<Vec<Outcome>>>,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("a writable record");
        Self {
            started: Instant::now(),
            arrivals: Arc::default(),
            outcomes: Arc::default(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line, and shows it.
    pub fn note(&self, line: &str) {
        println!("{line}");
        self.line(line);
    }

    pub fn line(&self, line: &str) {
        let at = self.now().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.4} {line}");
    }

    /// Records a request that reached a replica at a time, and whether it ran.
    pub fn arrived(&self, at: Duration, replica: &str, attempt: &str, ran: bool) {
        let reached = at.as_secs_f64();
        self.line(&format!("at replica {replica}: {attempt} reached it {reached:.4} ran={ran}"));
        let (replica, attempt) = (replica.to_owned(), attempt.to_owned());
        self.arrivals.lock().unwrap().push(Arrival { at, replica, attempt, ran });
    }

    pub fn ended(&self, outcome: Outcome) {
        let Outcome { sent, attempt, host, status, note, .. } = &outcome;
        let sent = sent.as_secs_f64();
        self.line(&format!("client: {attempt} of host {host} sent {sent:.4} got {status} {note}"));
        self.outcomes.lock().unwrap().push(outcome);
    }
}
