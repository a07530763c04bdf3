//! Finds what the logs of several hosts tell about one request.
//!
//! A line belongs to the trail if it names the request. Around these lines, others explain them:
//! what any host found out about the endpoints that the request met, and what the same host lost or
//! regained.

use std::collections::BTreeSet;
use std::io::{self, BufRead};

use jiff::Timestamp;
use serde_json::{Map, Value};

use crate::ids::EndpointName;

/// Time before the first line of a request, in ms, from which lines about its endpoints and its host
/// are part of the trail: exclusions of endpoints last for three seconds.
const LEAD_TIME_MS: i64 = 4_000;
/// Events of a host that change what it believes, other than about an endpoint.
const HOST_EVENTS: [&str; 17] = [
    "start",
    "stop",
    "listener_closed",
    "loop_stalled",
    "rules",
    "watch_abandoned",
    "store_lost",
    "store_regained",
    "store_restored",
    "peer_silent",
    "duty_taken",
    "duty_left",
    "duty_released",
    "duty_void",
    "duty_acting",
    "connection_refused",
    "admission_level",
];
/// Fields of a line that are part of every line of a trail, and not repeated among its details.
const SHOWN_FIELDS: [&str; 2] = ["event", "attempt"];

/// One line of a trail.
#[derive(Clone, Debug, PartialEq)]
pub struct TrailStep {
    /// Time of the line, in RFC 3339.
    pub time: Box<str>,
    /// Host that wrote it, as the collected log names it before the line; may be empty.
    pub host: Box<str>,
    /// Name of the event.
    pub event: Box<str>,
    /// Whether the line names the request itself.
    pub is_own: bool,
    /// The other fields of the line.
    pub details: Map<String, Value>,
}

/// A structured line of a log.
#[derive(Clone, Debug)]
struct LogLine {
    time: Box<str>,
    time_ms: i64,
    host: Box<str>,
    event: Box<str>,
    fields: Map<String, Value>,
}

/// Lines of logs that can be part of a request's trail.
#[derive(Debug)]
pub struct TrailReader {
    attempt: Box<str>,
    own: Vec<LogLine>,
    others: Vec<LogLine>,
}

impl TrailReader {
    /// Creates a reader for the request with the identifier `attempt`.
    ///
    /// ```
    /// use jacinthrock::TrailReader;
    ///
    /// let log = r#"east-1 {"timestamp":"2026-01-01T00:00:00.5Z","kvs":{"event":"refused","attempt":"a1","code":3001}}"#;
    /// let mut reader = TrailReader::new("a1");
    /// reader.read(log.as_bytes()).unwrap();
    /// let trail = reader.trail();
    /// assert_eq!((&*trail[0].host, &*trail[0].event), ("east-1", "refused"));
    /// assert!(TrailReader::new("a2").trail().is_empty());
    /// ```
    pub fn new(attempt: impl Into<Box<str>>) -> Self {
        Self { attempt: attempt.into(), own: Vec::new(), others: Vec::new() }
    }

    /// Reads a log; lines that are not structured are passed over.
    pub fn read(&mut self, log: impl BufRead) -> io::Result<()> {
        for line in log.split(b'\n') {
            let line = line?;
            let Some(line) = parse_line(&String::from_utf8_lossy(&line)) else { continue };
            match line.fields.get("attempt").and_then(Value::as_str) {
                Some(attempt) if attempt == &*self.attempt => self.own.push(line),
                Some(_) => {}
                None => self.others.push(line),
            }
        }
        Ok(())
    }

    /// Returns the trail in the order of time; empty if no line names the request.
    pub fn trail(&self) -> Vec<TrailStep> {
        let times = self.own.iter().map(|line| line.time_ms);
        let Some((first, last)) = times.clone().min().zip(times.max()) else { return Vec::new() };
        let endpoints: BTreeSet<EndpointName> = self.own.iter().flat_map(named_endpoints).collect();
        let hosts: BTreeSet<&str> = self.own.iter().map(|line| &*line.host).collect();
        let explains = |line: &&LogLine| {
            let is_near = (first - LEAD_TIME_MS..=last).contains(&line.time_ms);
            let is_about_endpoint = named_endpoint(line, "endpoint")
                .is_some_and(|endpoint| endpoints.contains(&*endpoint));
            let is_about_host = hosts.contains(&*line.host) && HOST_EVENTS.contains(&&*line.event);
            is_near && (is_about_endpoint || is_about_host)
        };
        let own = self.own.iter().map(|line| (line, true));
        let others = self.others.iter().filter(explains).map(|line| (line, false));
        let mut lines: Vec<_> = own.chain(others).collect();
        lines.sort_by_key(|(line, _)| line.time_ms);
        lines.into_iter().map(|(line, is_own)| line.step(is_own)).collect()
    }
}

impl LogLine {
    fn step(&self, is_own: bool) -> TrailStep {
        let details = self.fields.iter().filter(|(name, _)| !SHOWN_FIELDS.contains(&name.as_str()));
        TrailStep {
            time: self.time.clone(),
            host: self.host.clone(),
            event: self.event.clone(),
            is_own,
            details: details.map(|(name, value)| (name.clone(), value.clone())).collect(),
        }
    }
}

/// Parses a line; what stands before the object ends with the name of the host.
fn parse_line(text: &str) -> Option<LogLine> {
    let (prefix, object) = text.split_at(text.find('{')?);
    let mut object: Map<String, Value> = serde_json::from_str(object.trim_end()).ok()?;
    let Some(Value::Object(fields)) = object.remove("kvs") else { return None };
    let time: Box<str> = object.get("timestamp")?.as_str()?.into();
    let time_ms = unix_ms(&time)?;
    let event = fields.get("event")?.as_str()?.into();
    let host = prefix.split_whitespace().last().unwrap_or_default().into();
    Some(LogLine { time, time_ms, host, event, fields })
}

fn unix_ms(time: &str) -> Option<i64> {
    let time: Timestamp = time.parse().ok()?;
    Some(time.as_millisecond())
}

/// Endpoints that a line names.
fn named_endpoints(line: &LogLine) -> Vec<EndpointName> {
    let mut names: Vec<EndpointName> =
        ["endpoint", "culprit"].iter().filter_map(|field| named_endpoint(line, field)).collect();
    // Lists are logged as text, such as `["a", "b"]`, and faults begin with the endpoint's name.
    let stages = line.fields.get("stages").and_then(Value::as_str).unwrap_or_default();
    names.extend(stages.split('"').skip(1).step_by(2).map(EndpointName::from));
    let fault = line.fields.get("fault").and_then(Value::as_str).unwrap_or_default();
    names.extend(fault.split(' ').next().map(EndpointName::from));
    names
}

fn named_endpoint(line: &LogLine, field: &str) -> Option<EndpointName> {
    line.fields.get(field).and_then(Value::as_str).map(EndpointName::from)
}
