//! Stand-in of a plain replica.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::Connection;
use crate::site::Record;

const SLOTS: usize = 12;
const QUEUED: usize = 6;

/// A request that began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub at: Instant,
    /// Whether it was answered whole.
    pub is_whole: bool,
}

/// A replica; clones are the same one.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    born: u128,
    /// Time that a request takes.
    work: Duration,
    record: Arc<Record>,
    runs: Arc<Mutex<Vec<Run>>>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    is_leaving: Arc<AtomicBool>,
    has_ended: Arc<AtomicBool>,
    running: Arc<AtomicUsize>,
}

impl Replica {
    pub fn start(
        id: String,
        address: SocketAddr,
        work: Duration,
        record: &Arc<Record>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let replica = Self {
            id,
            address: listener.local_addr()?,
            born: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis(),
            work,
            record: record.clone(),
            runs: Arc::default(),
            connections: Arc::default(),
            is_leaving: Arc::default(),
            has_ended: Arc::default(),
            running: Arc::default(),
        };
        let server = replica.clone();
        thread::spawn(move || {
            listener.set_nonblocking(true).expect("a listener that does not block");
            // The port is closed once the replica has ended.
            while !server.has_ended.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let server = server.clone();
                thread::spawn(move || {
                    let _ = stream.set_nonblocking(false);
                    if let Ok(copy) = stream.try_clone() {
                        server.connections.lock().unwrap().push(copy);
                    }
                    if let Ok(connection) = Connection::new(stream) {
                        let _ = server.serve(connection);
                    }
                });
            }
        });
        Ok(replica)
    }

    /// Entry of the replica in the store.
    pub fn entry(&self, service: &str, zone: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{SLOTS},\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":0,\"born\":{}}}",
            self.address, self.born
        )
    }

    /// From now on, all answers say that the replica leaves.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Ends the replica as the end of its process does.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.record.write(Instant::now(), format!("replica {} ends", self.id));
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn serve(&self, mut connection: Connection) -> std::io::Result<()> {
        while let Some(request) = connection.read()? {
            let leaving =
                if self.is_leaving.load(Ordering::SeqCst) { "Server-Leaving: 1\r\n" } else { "" };
            let path = request.first_line.split(' ').nth(1).unwrap_or("");
            if path == "/report" {
                let report = format!(
                    "{{\"stage\":\"both\",\"models\":[],\"busy\":false,\"sequence\":0,\"queued\":0,\
                     \"running\":0,\"kvUsed\":0,\"kvTotal\":0,\"handles\":0,\"born\":{}}}",
                    self.born
                );
                connection.answer(200, leaving, report.as_bytes())?;
                continue;
            }
            if path == "/health" {
                let status = if leaving.is_empty() { 200 } else { 503 };
                let headers = format!("{leaving}X-Jacinthrock-Replica-Id: {}\r\n", self.id);
                connection.answer(status, &headers, b"")?;
                continue;
            }
            let attempt = request.header("x-jacinthrock-attempt-id").unwrap_or("").to_owned();
            let stamp = format!(
                "{leaving}X-Jacinthrock-Attempt-Id: {attempt}\r\n\
                 X-Jacinthrock-Server-Stamp: {}.{attempt}\r\n",
                self.id
            );
            let expected = request.header("x-jacinthrock-expect-instance");
            if expected.is_some_and(|id| id != self.id) {
                connection.answer(421, &format!("{stamp}X-Jacinthrock-Not-Run: 1\r\n"), b"")?;
                continue;
            }
            if self.running.fetch_add(1, Ordering::SeqCst) >= SLOTS + QUEUED {
                self.running.fetch_sub(1, Ordering::SeqCst);
                connection.answer(503, &format!("{stamp}X-Jacinthrock-Not-Run: 1\r\n"), b"")?;
                continue;
            }
            let at = Instant::now();
            self.record.write(at, format!("{attempt} runs at {}", self.id));
            let number = {
                let mut runs = self.runs.lock().unwrap();
                runs.push(Run { attempt: attempt.clone(), at, is_whole: false });
                runs.len() - 1
            };
            thread::sleep(self.work);
            self.running.fetch_sub(1, Ordering::SeqCst);
            let body = format!("answer of {} to {attempt}\n", self.id);
            connection.answer(200, &stamp, body.as_bytes())?;
            self.runs.lock().unwrap()[number].is_whole = !self.has_ended.load(Ordering::SeqCst);
        }
        Ok(())
    }
}
