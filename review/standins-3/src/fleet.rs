//! Stand-in of the replicas of a service with layers: streams pass through several of them.

use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Connection, Message};
use crate::json::Json;
use crate::site::Record;

/// Layers of the model, and the memory of one.
pub const LAYERS: u16 = 8;
pub const LAYER_MB: f64 = 1_000.0;
/// Memory of a replica.
pub const SIZE_MB: f64 = 7_000.0;
/// `kvBytes`: memory of one token over all layers.
pub const KV_BYTES: f64 = 300_000.0;
/// Time of a token step over all layers.
pub const STEP: Duration = Duration::from_millis(25);
/// `loadS`: time to load all layers.
pub const LOAD: Duration = Duration::from_secs(14);
/// `stall_ms`
const STALL: Duration = Duration::from_millis(2_500);
/// Time to the first token.
const FIRST_TOKEN: Duration = Duration::from_millis(40);
const SLOTS: usize = 192;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    pub at: SocketAddr,
    pub from: u16,
    pub to: u16,
}

/// How a request that ran has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RunEnd {
    Whole,
    /// The host closed the connection.
    ClosedByHost,
    /// The replica broke off: it has ended, or a part was gone for `stall_ms`.
    BrokenOff,
}

/// A request that ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub first: String,
    pub end: RunEnd,
    pub ended: Instant,
}

struct Engine {
    id: String,
    zone: String,
    born: u128,
    layers: Option<(u16, u16)>,
    /// Layers that it is ordered to hold, and when it begins to load them.
    order: Option<((u16, u16), Option<Instant>)>,
    orders: u64,
    is_leaving: bool,
    has_ended: bool,
    connections: Vec<TcpStream>,
}

impl Engine {
    /// Layers that it lets requests use: those that it gives up are not among them.
    fn open_layers(&self) -> Option<(u16, u16)> {
        let (from, to) = self.layers?;
        let Some(((new_from, new_to), _)) = self.order else { return Some((from, to)) };
        let kept = (from.max(new_from), to.min(new_to));
        (kept.0 < kept.1).then_some(kept)
    }

    /// Room for requests, in tokens times layers.
    fn room(&self) -> f64 {
        let held = [self.layers, self.order.map(|(target, _)| target)];
        let held = held.iter().flatten().map(|(from, to)| to - from).max().unwrap_or(0);
        (SIZE_MB - f64::from(held) * LAYER_MB) * 1e6 / (KV_BYTES / f64::from(LAYERS))
    }
}

/// A stream that runs; its memory is held for all tokens that it may come to.
struct Stream {
    tokens: u32,
    path: Vec<Part>,
    /// Part that is gone, and since when.
    stalled: Option<(SocketAddr, Instant)>,
}

#[derive(Default)]
struct State {
    engines: BTreeMap<SocketAddr, Engine>,
    /// Streams by their first replica and attempt.
    streams: BTreeMap<(SocketAddr, String), Stream>,
    has_begun: bool,
    runs: Vec<Run>,
}

impl State {
    fn used(&self, at: SocketAddr, but: Option<&(SocketAddr, String)>) -> f64 {
        let streams = self.streams.iter().filter(|(key, _)| Some(*key) != but);
        let parts = streams.flat_map(|(_, it)| it.path.iter().map(move |part| (it.tokens, part)));
        let here = parts.filter(|(_, part)| part.at == at);
        here.map(|(tokens, part)| f64::from(tokens) * f64::from(part.to - part.from)).sum()
    }

    /// The status with which a part refuses a request of so many tokens.
    fn refusal(&self, part: &Part, tokens: u32, but: Option<&(SocketAddr, String)>) -> Option<u16> {
        let Some(engine) = self.engines.get(&part.at) else { return Some(503) };
        if engine.has_ended || engine.is_leaving {
            return Some(503);
        }
        let covers =
            |it: Option<(u16, u16)>| it.is_some_and(|it| it.0 <= part.from && part.to <= it.1);
        if !covers(engine.layers) {
            return Some(421);
        }
        let needed = f64::from(tokens) * f64::from(part.to - part.from);
        let is_full = self.used(part.at, but) + needed > engine.room();
        (!covers(engine.open_layers()) || is_full).then_some(503)
    }
}

/// The replicas of the service; clones are the same ones.
#[derive(Clone)]
pub struct Fleet {
    record: Arc<Record>,
    state: Arc<Mutex<State>>,
}

impl Fleet {
    pub fn new(record: &Arc<Record>) -> Self {
        Self { record: record.clone(), state: Arc::default() }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Starts an empty replica.
    pub fn start(&self, id: &str, zone: &str, address: SocketAddr) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let engine = Engine {
            id: id.into(),
            zone: zone.into(),
            born: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis(),
            layers: None,
            order: None,
            orders: 0,
            is_leaving: false,
            has_ended: false,
            connections: Vec::new(),
        };
        self.state().engines.insert(address, engine);
        self.record.write(Instant::now(), format!("replica {id} starts at {address}"));
        let fleet = self.clone();
        thread::spawn(move || {
            listener.set_nonblocking(true).expect("a listener that does not block");
            // The port is closed once the replica has ended.
            while !fleet.has_ended(address) {
                fleet.move_order(address);
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(copy) = stream.try_clone()
                    && let Some(engine) = fleet.state().engines.get_mut(&address)
                {
                    engine.connections.push(copy);
                }
                let fleet = fleet.clone();
                thread::spawn(move || {
                    if let Ok(connection) = Connection::new(stream) {
                        let _ = fleet.serve(address, connection);
                    }
                });
            }
        });
        Ok(address)
    }

    fn has_ended(&self, at: SocketAddr) -> bool {
        self.state().engines.get(&at).is_none_or(|engine| engine.has_ended)
    }

    /// From now on, the replica takes nothing new and says that it leaves.
    pub fn leave(&self, at: SocketAddr) {
        if let Some(engine) = self.state().engines.get_mut(&at) {
            engine.is_leaving = true;
        }
    }

    /// Ends a replica as the end of its process does.
    pub fn end(&self, at: SocketAddr) {
        let passing = self.passing(at);
        let mut state = self.state();
        let Some(engine) = state.engines.get_mut(&at) else { return };
        engine.has_ended = true;
        for connection in engine.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        let text = format!("replica {} ends; streams that pass through it: {passing:?}", engine.id);
        self.record.write(Instant::now(), text);
    }

    /// Entry of a replica in the store.
    pub fn entry(&self, service: &str, at: SocketAddr) -> Option<(String, String)> {
        let state = self.state();
        let engine = state.engines.get(&at).filter(|engine| !engine.has_ended)?;
        let condition = if engine.is_leaving { "draining" } else { "ready" };
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{at}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{SLOTS},\"state\":\"{condition}\",\"coldLeftMs\":0,\"sequence\":{},\
             \"born\":{},\"routeKind\":\"card\",{}}}",
            engine.zone,
            engine.orders,
            engine.born,
            held(engine)
        );
        Some((engine.id.clone(), entry))
    }

    /// Replicas that have not ended and whether each holds layers and has no order to do.
    pub fn alive(&self) -> Vec<(SocketAddr, bool)> {
        let state = self.state();
        let alive = state.engines.iter().filter(|(_, engine)| !engine.has_ended);
        alive.map(|(at, it)| (*at, it.layers.is_some() && it.order.is_none())).collect()
    }

    /// The later part that most streams pass through, of replicas at which no stream starts.
    pub fn busiest_later_part(&self) -> Option<SocketAddr> {
        let state = self.state();
        let mut passing: BTreeMap<SocketAddr, usize> = BTreeMap::new();
        for part in state.streams.values().flat_map(|stream| &stream.path[1..]) {
            *passing.entry(part.at).or_default() += 1;
        }
        passing.retain(|at, _| state.streams.keys().all(|(first, _)| first != at));
        passing.into_iter().max_by_key(|(_, count)| *count).map(|(at, _)| at)
    }

    /// Streams that start elsewhere and pass through a replica.
    pub fn passing(&self, at: SocketAddr) -> Vec<String> {
        let state = self.state();
        let passing = state
            .streams
            .iter()
            .filter(|((first, _), it)| *first != at && it.path.iter().any(|part| part.at == at));
        passing.map(|((_, attempt), _)| attempt.clone()).collect()
    }

    /// Streams of so many tokens for which a part of a path has room, over all replicas that may take
    /// it.
    pub fn room(&self, from: u16, to: u16, tokens: u32) -> usize {
        let state = self.state();
        let rooms = state.engines.keys().map(|at| {
            if state.refusal(&Part { at: *at, from, to }, tokens, None).is_some() {
                return 0;
            }
            let free = state.engines[at].room() - state.used(*at, None);
            (free / (f64::from(tokens) * f64::from(to - from))) as usize
        });
        rooms.sum()
    }

    pub fn zone(&self, at: SocketAddr) -> Option<String> {
        self.state().engines.get(&at).map(|engine| engine.zone.clone())
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state().runs.clone()
    }

    /// Carries the order of a replica on: layers that it gives up are free first, then it loads the
    /// new ones.
    fn move_order(&self, at: SocketAddr) {
        let mut state = self.state();
        let now = Instant::now();
        let has_begun = state.has_begun;
        let parts: Vec<Part> = state
            .streams
            .values()
            .flat_map(|it| it.path.clone())
            .filter(|it| it.at == at)
            .collect();
        let Some(engine) = state.engines.get_mut(&at) else { return };
        let Some((target, loads_at)) = engine.order else { return };
        let Some(loads_at) = loads_at else {
            let is_used = |part: &Part| part.from < target.0 || part.to > target.1;
            if engine.layers.is_none() || !parts.iter().any(is_used) {
                engine.order = Some((target, Some(now)));
            }
            return;
        };
        let kept = engine.open_layers().map_or(0, |(from, to)| to - from);
        let share = f64::from(target.1 - target.0 - kept) / f64::from(LAYERS);
        // Loads before the first request take a tenth of the time.
        let load = LOAD.mul_f64(share * if has_begun { 1.0 } else { 0.1 });
        if now >= loads_at + load {
            engine.layers = Some(target);
            engine.order = None;
            self.record
                .write(now, format!("replica {} holds {}-{}", engine.id, target.0, target.1));
        }
    }

    fn serve(&self, at: SocketAddr, mut connection: Connection) -> std::io::Result<()> {
        while let Some(request) = connection.read()? {
            match request.first_line.split(' ').nth(1).unwrap_or("") {
                "/report" => {
                    let report = self.report(at);
                    let leaving = self.leaving(at);
                    connection.answer(200, &format!("{leaving}{JSON_TYPE}"), report.as_bytes())?;
                }
                "/health" => {
                    let leaving = self.leaving(at);
                    let status = if leaving.is_empty() { 200 } else { 503 };
                    let headers = format!("{leaving}X-Jacinthrock-Replica-Id: {}\r\n", self.id(at));
                    connection.answer(status, &headers, b"")?;
                }
                "/order" => {
                    let (status, body) = self.take_order(at, &request);
                    let leaving = self.leaving(at);
                    connection.answer(status, &format!("{leaving}{JSON_TYPE}"), body.as_bytes())?;
                }
                _ => {
                    if !self.run(at, &request, &mut connection)? {
                        return Ok(());
                    }
                }
            }
        }
        Ok(())
    }

    fn id(&self, at: SocketAddr) -> String {
        self.state().engines.get(&at).map_or(String::new(), |engine| engine.id.clone())
    }

    fn leaving(&self, at: SocketAddr) -> &'static str {
        let is_leaving = self.state().engines.get(&at).is_some_and(|engine| engine.is_leaving);
        if is_leaving { "Server-Leaving: 1\r\n" } else { "" }
    }

    fn report(&self, at: SocketAddr) -> String {
        let state = self.state();
        let Some(engine) = state.engines.get(&at) else { return "{}".into() };
        let own = state.streams.iter().filter(|((first, _), _)| *first == at);
        let stalled: Vec<String> = own
            .clone()
            .filter_map(|((_, id), it)| {
                let (address, _) = it.stalled?;
                Some(format!("{{\"id\":\"{id}\",\"address\":\"{address}\"}}"))
            })
            .collect();
        format!(
            "{{\"stage\":\"both\",\"busy\":{},\"sequence\":{},\"queued\":0,\"running\":{},\
             \"kvUsed\":{},\"kvTotal\":{},\"handles\":0,\"pace\":1.0,\"routeKind\":\"card\",\
             \"stalled\":[{}],\"born\":{},{}}}",
            engine.order.is_some(),
            engine.orders,
            own.count(),
            state.used(at, None),
            engine.room(),
            stalled.join(","),
            engine.born,
            held(engine)
        )
    }

    fn take_order(&self, at: SocketAddr, request: &Message) -> (u16, String) {
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        let Some(body) = body else { return (400, "{}".into()) };
        let number = |name: &str| body.get(name).and_then(Json::number);
        let operation = body.get("operation").and_then(Json::text).unwrap_or("").to_owned();
        let mut state = self.state();
        let expected = request.header("x-jacinthrock-expect-instance").map(str::to_owned);
        let Some(engine) = state.engines.get_mut(&at) else { return (503, "{}".into()) };
        if expected.is_some_and(|id| id != engine.id) {
            return (421, "{}".into());
        }
        let id = engine.id.clone();
        let (status, text) = match &*operation {
            "place" => {
                let (Some(from), Some(to)) = (number("from"), number("to")) else {
                    return (400, "{}".into());
                };
                let target = (from as u16, to as u16);
                let status = if engine.order.is_none() && engine.layers == Some(target) {
                    200
                } else if engine.order.is_some()
                    || number("precondition").is_some_and(|count| count != engine.orders)
                {
                    409
                } else {
                    engine.orders += 1;
                    engine.order = Some((target, None));
                    202
                };
                (status, "{}".to_owned())
            }
            "repath" => {
                let attempt = body.get("id").and_then(Json::text).unwrap_or("").to_owned();
                let path = body.get("path").and_then(Json::text).and_then(parse_path);
                let Some(path) = path else { return (400, "{}".into()) };
                let key = (at, attempt);
                let Some(stream) = state.streams.get(&key) else { return (404, "{}".into()) };
                let (tokens, old) = (stream.tokens, stream.path.clone());
                let mut new = path.iter().filter(|part| !old.contains(part));
                let fault = new.find(|part| state.refusal(part, tokens, Some(&key)).is_some());
                match fault {
                    Some(part) => (409, format!("{{\"address\":\"{}\"}}", part.at)),
                    None => {
                        if let Some(stream) = state.streams.get_mut(&key) {
                            stream.path = path;
                        }
                        (202, "{}".into())
                    }
                }
            }
            _ => (400, "{}".into()),
        };
        let order = String::from_utf8_lossy(&request.body);
        self.record.write(Instant::now(), format!("replica {id}: order {order}: {status} {text}"));
        (status, text)
    }

    /// Runs a request; returns whether its connection can be used again.
    fn run(
        &self,
        at: SocketAddr,
        request: &Message,
        connection: &mut Connection,
    ) -> std::io::Result<bool> {
        let attempt = request.header("x-jacinthrock-attempt-id").unwrap_or("").to_owned();
        let (id, leaving) = (self.id(at), self.leaving(at));
        let stamp = format!(
            "{leaving}X-Jacinthrock-Attempt-Id: {attempt}\r\nX-Jacinthrock-Server-Stamp: {id}.{attempt}\r\n"
        );
        let refuse = |connection: &mut Connection, status: u16, at: SocketAddr| {
            self.record.write(
                Instant::now(),
                format!("{attempt} is refused by {id} with {status}, for {at}"),
            );
            let not_run = format!("{stamp}X-Jacinthrock-Not-Run: 1\r\nAt-Server: {at}\r\n");
            connection.answer(status, &not_run, b"").map(|()| true)
        };
        let expected = request.header("x-jacinthrock-expect-instance");
        if expected.is_some_and(|expected| expected != id) {
            return refuse(connection, 421, at);
        }
        let whole = vec![Part { at, from: 0, to: LAYERS }];
        let path = request.header("x-jacinthrock-hops").map_or(Some(whole), parse_path);
        let counts = request.header("x-jacinthrock-token-count").and_then(|it| it.split_once(','));
        let counts = counts.and_then(|(prompt, answer)| {
            Some((prompt.trim().parse::<u32>().ok()?, answer.trim().parse::<u32>().ok()?))
        });
        let (Some(path), Some((prompt, answer))) = (path, counts) else {
            return connection.answer(400, &stamp, b"").map(|()| true);
        };
        if path.first().is_none_or(|part| part.at != at) {
            return connection.answer(400, &stamp, b"").map(|()| true);
        }
        let after: u32 =
            request.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
        let key = (at, attempt.clone());
        let tokens = prompt + answer;
        {
            let mut state = self.state();
            state.has_begun = true;
            let running = state.streams.keys().filter(|(first, _)| *first == at).count();
            let refused = path
                .iter()
                .find_map(|part| Some((state.refusal(part, tokens, None)?, part.at)))
                .or((running >= SLOTS || state.streams.contains_key(&key)).then_some((503, at)));
            if let Some((status, fault)) = refused {
                drop(state);
                return refuse(connection, status, fault);
            }
            let stream = Stream { tokens, path: path.clone(), stalled: None };
            state.streams.insert(key.clone(), stream);
        }
        let parts: Vec<_> =
            path.iter().map(|it| format!("{}={}-{}", self.id(it.at), it.from, it.to)).collect();
        let began = Instant::now();
        self.record.write(
            began,
            format!("{attempt} runs at {id} after {after}, path {}", parts.join(",")),
        );
        let head = format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\
             {stamp}X-Jacinthrock-Weight-Versions: 1\r\n\r\n"
        );
        let (end, last) = self.write_events(&key, &head, after, answer, connection);
        let ended = Instant::now();
        let mut state = self.state();
        state.streams.remove(&key);
        state.runs.push(Run { attempt: attempt.clone(), first: id.clone(), end, ended });
        drop(state);
        self.record.write(ended, format!("{attempt} ends at {id} after {last}: {end:?}"));
        Ok(end == RunEnd::Whole)
    }

    /// Writes the events of a stream while all parts of its path are there.
    fn write_events(
        &self,
        key: &(SocketAddr, String),
        head: &str,
        after: u32,
        count: u32,
        connection: &mut Connection,
    ) -> (RunEnd, u32) {
        let mut next_at = Instant::now() + FIRST_TOKEN;
        let mut number = after;
        let mut head = Some(head);
        while number < count {
            // The end of the connection is seen between two events too.
            while Instant::now() < next_at {
                thread::sleep(Duration::from_millis(5).min(next_at - Instant::now()));
                if connection.is_closed() {
                    return (self.closed(key), number);
                }
            }
            next_at = Instant::now() + STEP;
            {
                let mut state = self.state();
                let Some(stream) = state.streams.get(key) else {
                    return (RunEnd::BrokenOff, number);
                };
                let is_gone = |at: &SocketAddr| state.engines.get(at).is_none_or(|it| it.has_ended);
                let gone = stream.path.iter().map(|part| part.at).find(is_gone);
                let since = stream.stalled.map_or_else(Instant::now, |(_, since)| since);
                let stalled = gone.map(|at| (at, since));
                if let Some(stream) = state.streams.get_mut(key) {
                    stream.stalled = stalled;
                }
                if stalled.is_some_and(|(_, since)| since.elapsed() >= STALL) {
                    return (RunEnd::BrokenOff, number);
                }
                if stalled.is_some() {
                    next_at = Instant::now() + Duration::from_millis(5);
                    continue;
                }
            }
            number += 1;
            let event = format!("id: {number}\ndata: {}-{number}\n\n", key.1);
            let chunk = format!("{}{:x}\r\n{event}\r\n", head.take().unwrap_or(""), event.len());
            if connection.write(chunk.as_bytes()).is_err() {
                return (self.closed(key), number);
            }
        }
        let end = format!("{}0\r\n\r\n", head.take().unwrap_or(""));
        if connection.write(end.as_bytes()).is_err() {
            return (self.closed(key), number);
        }
        (RunEnd::Whole, number)
    }

    /// Why the connection of a stream is closed.
    fn closed(&self, key: &(SocketAddr, String)) -> RunEnd {
        if self.has_ended(key.0) { RunEnd::BrokenOff } else { RunEnd::ClosedByHost }
    }
}

const JSON_TYPE: &str = "Content-Type: application/json\r\n";

/// What a replica says of the layers that it holds.
fn held(engine: &Engine) -> String {
    match engine.open_layers() {
        Some((from, to)) => format!(
            "\"models\":[{{\"name\":\"model\",\"version\":1,\"adapters\":[]}}],\
             \"layers\":{{\"from\":{from},\"to\":{to},\"version\":1}}"
        ),
        None => "\"models\":[]".into(),
    }
}

fn parse_path(text: &str) -> Option<Vec<Part>> {
    let parts = text.split(',').map(|part| {
        let (at, span) = part.trim().split_once('=')?;
        let (from, to) = span.split_once('-')?;
        Some(Part { at: at.parse().ok()?, from: from.parse().ok()?, to: to.parse().ok()? })
    });
    parts.collect()
}
