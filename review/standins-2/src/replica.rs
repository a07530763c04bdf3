//! Stand-in of a replica of an application service, a process of its own.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Message, answer, serve};
use crate::json::Json;
use crate::site::Record;

/// Requests that run at the same time, and that wait for that.
const SLOTS: usize = 6;
const QUEUE: usize = 24;
/// Time that a request takes.
const WORK: Duration = Duration::from_millis(60);

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

/// Runs a replica until the process is killed.
pub fn run(
    id: &str,
    service: &str,
    address: SocketAddr,
    born: u64,
    record: &Path,
) -> io::Result<()> {
    let record = Record::open(record, false)?;
    let load = Arc::new((Mutex::new(Load::default()), Condvar::new()));
    let (id, service) = (id.to_owned(), service.to_owned());
    serve(address, move |request| Some(reply(&request, &id, &service, born, &record, &load)))?;
    loop {
        thread::park();
    }
}

fn reply(
    request: &Message,
    id: &str,
    service: &str,
    born: u64,
    record: &Record,
    load: &(Mutex<Load>, Condvar),
) -> Vec<u8> {
    let named = ("X-Jacinthrock-Replica-Id", id);
    match request.target() {
        "/health" => return answer(200, &[named], b""),
        "/report" => {
            let report = Json::map([
                ("sequence", 1.into()),
                ("busy", false.into()),
                ("queued", 0.into()),
                ("running", 0.into()),
                ("kvUsed", 0.into()),
                ("kvTotal", 0.into()),
                ("handles", 0.into()),
                ("born", born.into()),
            ]);
            let headers = [("Content-Type", "application/json")];
            return answer(200, &headers, report.to_string().as_bytes());
        }
        _ => {}
    }
    let attempt = request.header("x-jacinthrock-attempt-id").to_owned();
    let echo = ("X-Jacinthrock-Attempt-Id", &*attempt);
    let not_run = ("X-Jacinthrock-Not-Run", "1");
    let expected = request.header("x-jacinthrock-expect-instance");
    if !expected.is_empty() && expected != id {
        return answer(421, &[named, echo, not_run], b"");
    }
    let mut state = load.0.lock().unwrap();
    if state.running >= SLOTS && state.waiting >= QUEUE {
        return answer(503, &[echo, not_run], b"");
    }
    state.waiting += 1;
    state = load.1.wait_while(state, |state| state.running >= SLOTS).unwrap();
    state.waiting -= 1;
    state.running += 1;
    drop(state);
    record.note(&format!("ran attempt={attempt} service={service} replica={id}"));
    thread::sleep(WORK);
    load.0.lock().unwrap().running -= 1;
    load.1.notify_one();
    let stamp = ("X-Jacinthrock-Server-Stamp", id);
    answer(200, &[echo, stamp], format!("{service} {attempt}").as_bytes())
}
