//! Stand-in of a model replica that holds all layers, a process of its own.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::http::{Message, answer, read_message};
use crate::json::Json;
use crate::site::Record;

/// Layers of the model.
pub const LAYERS: u64 = 4;
/// Pause between two events of a stream.
const PAUSE: Duration = Duration::from_millis(100);

/// Number that stands for an answer; the same at each replica.
fn hash(attempt: &str, number: u64) -> u64 {
    let bytes = attempt.bytes().chain(number.to_le_bytes());
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    }) >> 16
}

/// Ids of the events of an answer: tokens so far. With `STEADY`, each event holds one token.
fn events(attempt: &str) -> Vec<u64> {
    let is_steady = std::env::var_os("STEADY").is_some();
    let count = 12 + hash(attempt, 0) % 16;
    let mut at = 0;
    let ids = (1..=count).map(|number| {
        at += if is_steady { 1 } else { 1 + hash(attempt, number) % 8 };
        at
    });
    ids.collect()
}

/// Runs a replica until the process is killed.
pub fn run(id: &str, address: SocketAddr, born: u64, record: &Path) -> io::Result<()> {
    let record = Record::open(record, false)?;
    for stream in TcpListener::bind(address)?.incoming().flatten() {
        let (id, record) = (id.to_owned(), record.clone());
        // The other end learns of a broken connection by itself.
        thread::spawn(move || serve(stream, &id, born, &record));
    }
    Ok(())
}

fn serve(stream: TcpStream, id: &str, born: u64, record: &Record) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader)? {
        reply(&mut writer, &request, id, born, record)?;
    }
    Ok(())
}

fn reply(
    writer: &mut TcpStream,
    request: &Message,
    id: &str,
    born: u64,
    record: &Record,
) -> io::Result<()> {
    let named = ("X-Jacinthrock-Replica-Id", id);
    match request.target() {
        "/health" => return writer.write_all(&answer(200, &[named], b"")),
        "/report" => {
            let layers = Json::map([("from", 0.into()), ("to", LAYERS.into())]);
            let report = Json::map([
                ("sequence", 1.into()),
                ("busy", false.into()),
                ("layers", layers),
                ("kvUsed", 0.into()),
                ("kvTotal", 1_000_000.into()),
                ("born", born.into()),
            ]);
            let headers = [("Content-Type", "application/json")];
            return writer.write_all(&answer(200, &headers, report.to_string().as_bytes()));
        }
        "/order" => return writer.write_all(&answer(409, &[], b"{}")),
        _ => {}
    }
    let attempt = request.header("x-jacinthrock-attempt-id");
    let echo = ("X-Jacinthrock-Attempt-Id", attempt);
    let expected = request.header("x-jacinthrock-expect-instance");
    if !expected.is_empty() && expected != id {
        let headers = [named, echo, ("X-Jacinthrock-Not-Run", "1")];
        return writer.write_all(&answer(421, &headers, b""));
    }
    let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
    record.note(&format!("ran attempt={attempt} replica={id} after={after}"));
    let head = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\
         X-Jacinthrock-Attempt-Id: {attempt}\r\nX-Jacinthrock-Server-Stamp: {id}\r\n\
         X-Jacinthrock-Weight-Versions: 1\r\n\r\n"
    );
    writer.write_all(head.as_bytes())?;
    for event in events(attempt).into_iter().filter(|event| *event > after) {
        thread::sleep(PAUSE);
        let text = format!("id: {event}\ndata: {attempt}-{event}\n\n");
        writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
    }
    writer.write_all(b"0\r\n\r\n")
}
