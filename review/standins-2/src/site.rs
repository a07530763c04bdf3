//! A small deployment on loopback addresses: entry hosts with a link to the store each, replicas as
//! processes of their own, and the record of what was sent, answered and run.

use std::collections::BTreeMap;
use std::env;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::Setting;
use crate::engine::LAYERS;
use crate::http::Connection;
use crate::json::Json;
use crate::store::Store;

/// Key of the only customer.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Host name of all routes.
pub const HOST: &str = "ficu95.example";

/// Seconds since the Unix epoch.
pub fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64()
}

/// File with what was sent, answered and run; each line begins with the time.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub path: PathBuf,
}

impl Record {
    /// Opens a record, empty or as it is.
    pub fn open(path: &Path, is_new: bool) -> io::Result<Record> {
        if is_new {
            File::create(path)?;
        }
        let file = OpenOptions::new().append(true).open(path)?;
        Ok(Record { file: Arc::new(Mutex::new(file)), path: path.to_owned() })
    }

    pub fn note(&self, text: &str) {
        self.note_at(now(), text);
    }

    pub fn note_at(&self, at: f64, text: &str) {
        let line = format!("{at:.3} {text}\n");
        self.file.lock().unwrap().write_all(line.as_bytes()).expect("the record can be written");
    }

    /// Lines so far, as time and words.
    pub fn lines(&self) -> Vec<(f64, Vec<String>)> {
        let text = fs::read_to_string(&self.path).expect("the record can be read");
        let lines = text.lines().filter_map(|line| {
            let mut words = line.split(' ').map(str::to_owned);
            Some((words.next()?.parse().ok()?, words.collect()))
        });
        lines.collect()
    }
}

/// Value of `NAME=` among the words of a line.
pub fn word<'a>(words: &'a [String], name: &str) -> &'a str {
    let found = words.iter().find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
    found.unwrap_or_default()
}

/// Loopback address of a host or of the other parts.
pub fn address(last: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 77, last)), port)
}

/// First of a number of ports that are free at all addresses of the site.
pub fn free_ports(count: u16) -> u16 {
    let seed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().subsec_nanos();
    for number in 0..200_u32 {
        let first = 15_000 + ((seed / 1_000 + number * 97) % 160) as u16 * 100;
        let is_free =
            |port: u16| (1..30).all(|last| TcpListener::bind(address(last, port)).is_ok());
        if (first..first + count).all(is_free) {
            return first;
        }
    }
    panic!("no free ports");
}

/// A link between a host and the store.
pub struct Link {
    is_silent: Arc<AtomicBool>,
    epoch: Arc<AtomicU64>,
}

impl Link {
    /// Starts a proxy at an address.
    pub fn start(address: SocketAddr, server: SocketAddr) -> io::Result<Link> {
        let listener = TcpListener::bind(address)?;
        let (is_silent, epoch) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let link = Link { is_silent: is_silent.clone(), epoch: epoch.clone() };
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(server) else { continue };
                let opened = epoch.load(Ordering::SeqCst);
                let drops = {
                    let (is_silent, epoch) = (is_silent.clone(), epoch.clone());
                    move || {
                        is_silent.load(Ordering::SeqCst) || epoch.load(Ordering::SeqCst) > opened
                    }
                };
                let pairs = [
                    (caller.try_clone(), server.try_clone()),
                    (server.try_clone(), caller.try_clone()),
                ];
                for pair in pairs {
                    let (Ok(from), Ok(to)) = pair else { continue };
                    let drops = drops.clone();
                    thread::spawn(move || pass(from, to, drops));
                }
            }
        });
        Ok(link)
    }

    /// Drops all bytes, of open connections and of new ones, or passes those of new ones again.
    pub fn set_silent(&self, is_silent: bool) {
        self.epoch.fetch_add(1, Ordering::SeqCst);
        self.is_silent.store(is_silent, Ordering::SeqCst);
    }

    /// Drops all bytes of the connections that are open; new ones work.
    pub fn silence_open(&self) {
        self.epoch.fetch_add(1, Ordering::SeqCst);
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, drops: impl Fn() -> bool) {
    let _ = (from.set_nodelay(true), to.set_nodelay(true));
    let mut buffer = vec![0; 65_536];
    let mut has_dropped = false;
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        if drops() {
            has_dropped = true;
        }
        // What follows dropped bytes would not be understood.
        if !has_dropped && to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    if !has_dropped && !drops() {
        let _ = to.shutdown(std::net::Shutdown::Both);
    }
}

/// An entry host with its process.
pub struct EntryHost {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub link: Link,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

impl EntryHost {
    /// Ports of a host, counted from the first of the site.
    const FRONT: u16 = 0;
    const READY: u16 = 1;
    const INTERNAL: u16 = 2;
    const STORE_LINK: u16 = 4;

    pub fn new(
        name: &str,
        last: u8,
        zone: &str,
        port: u16,
        store: SocketAddr,
        folder: &Path,
    ) -> io::Result<EntryHost> {
        let at = |offset| address(last, port + offset);
        let link = Link::start(at(Self::STORE_LINK), store)?;
        let text = |address: SocketAddr| Json::Text(address.to_string());
        let listen =
            Json::map([("frontAddr", text(at(Self::FRONT))), ("readyAddr", text(at(Self::READY)))]);
        let limits = Json::map([
            ("cpuShare", Json::Number(0.25)),
            ("cores", 1.into()),
            ("memoryMb", 260.into()),
            ("maxFds", 4_100.into()),
            ("linkMbps", 1_000.into()),
            ("diskMb", 0.into()),
        ]);
        let bounds = Json::map([
            ("reuseAfterS", 2.into()),
            ("stableMs", 3_000.into()),
            ("drainMs", 2_000.into()),
            ("graceS", 8.into()),
            ("configMs", 2_000.into()),
            ("rollbackSlackMs", 250.into()),
            ("retryRatio", Json::Number(0.2)),
            ("retryWindowS", 10.into()),
            ("retrySlack", 198.into()),
        ]);
        let platform = Json::map([
            ("address", text(at(Self::STORE_LINK))),
            ("form", "objects".into()),
            ("writesPerS", 400.into()),
            ("readsPerS", 2_000.into()),
            ("historyS", 20.into()),
            ("valueBytes", 1_048_576.into()),
        ]);
        let ports = [u64::from(port + Self::INTERNAL), u64::from(port + Self::INTERNAL + 1)];
        let settings = Json::map([
            ("nodeName", name.into()),
            ("role", "entry".into()),
            ("machineClass", "edge".into()),
            ("ip", Json::Text(at(0).ip().to_string())),
            ("zone", zone.into()),
            ("region", "region-1".into()),
            ("listen", listen),
            ("internalPorts", ports.map(Json::from).to_vec().into()),
            ("isBootstrap", false.into()),
            ("limits", limits),
            ("bounds", bounds),
            ("beatMs", 1_200.into()),
            ("platform", platform),
        ]);
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, settings.to_string())?;
        Ok(EntryHost {
            name: name.into(),
            front: at(Self::FRONT),
            ready: at(Self::READY),
            link,
            settings: path,
            log: folder.join(format!("{name}.log")),
            process: None,
        })
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self, setting: &Setting) -> io::Result<()> {
        let root = &setting.root;
        let log = OpenOptions::new().create(true).append(true).open(&self.log)?;
        let process = Command::new(root.join("target/release/jacinthrock-entry"))
            .current_dir(root)
            .env_clear()
            .envs(
                ["PATH", "HOME", "LANG"].iter().filter_map(|name| Some((name, env::var_os(name)?))),
            )
            .env("JACINTHROCK_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        list_process(&setting.folder, &process)?;
        self.process = Some(process);
        Ok(())
    }

    /// Waits until the host reports that it is ready.
    pub fn wait_until_ready(&self) -> bool {
        for _ in 0..100 {
            let limit = Duration::from_secs(1);
            let answer = Connection::open(self.ready, limit).and_then(|mut connection| {
                connection.request("GET", "/readiness", &[("Host", "x")], &[])
            });
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Memory that the process holds, in bytes.
    pub fn memory_bytes(&self) -> Option<f64> {
        let id = self.process.as_ref()?.id();
        let pages = fs::read_to_string(format!("/proc/{id}/statm")).ok()?;
        Some(pages.split(' ').nth(1)?.parse::<f64>().ok()? * 4_096.0)
    }

    /// Tells the process to stop, waits for its end, and kills it after the grace.
    pub fn stop(&mut self, grace: Duration) -> io::Result<()> {
        let Some(process) = &mut self.process else { return Ok(()) };
        let command = format!("kill -TERM {}", process.id());
        Command::new("sh").args(["-c", &command]).status()?;
        let end = Instant::now() + grace;
        while process.try_wait()?.is_none() && Instant::now() < end {
            thread::sleep(Duration::from_millis(10));
        }
        self.kill();
        Ok(())
    }

    pub fn kill(&mut self) {
        end(&mut self.process);
    }
}

impl Drop for EntryHost {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Writes down the id of a process, for a script that has to end it.
fn list_process(folder: &Path, process: &Child) -> io::Result<()> {
    let mut list = OpenOptions::new().create(true).append(true).open(folder.join("processes"))?;
    writeln!(list, "{}", process.id())
}

fn end(process: &mut Option<Child>) {
    if let Some(mut child) = process.take() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// A replica's process.
pub struct Replica {
    pub id: String,
    process: Option<Child>,
}

impl Replica {
    /// Starts a replica and registers it in the store.
    pub fn start(
        setting: &Setting,
        store: &Store,
        service: &str,
        number: usize,
        address: SocketAddr,
    ) -> io::Result<Replica> {
        let id = format!("i-{service}-{number}");
        let born = (now() * 1_000.0) as u64;
        let process = Command::new(env::current_exe()?)
            .args(["replica", &id, service, &address.to_string(), &born.to_string()])
            .arg(&setting.record.path)
            .stdin(Stdio::null())
            .spawn()?;
        list_process(&setting.folder, &process)?;
        let mut entry = BTreeMap::from([
            ("service", service.into()),
            ("address", Json::Text(address.to_string())),
            ("zone", "zone-1".into()),
            ("version", "v1".into()),
            ("slots", 6.into()),
            ("state", "ready".into()),
            ("coldLeftMs", 0.into()),
            ("sequence", 1.into()),
            ("born", born.into()),
        ]);
        if service == "guide" {
            let layers =
                Json::map([("from", 0.into()), ("to", LAYERS.into()), ("version", 1.into())]);
            let model = [("name", "m".into()), ("version", 1.into()), ("layers", layers)];
            entry.insert("slots", 192.into());
            entry.insert("routeKind", "k".into());
            entry.insert("models", vec![Json::map(model)].into());
        }
        let entry = entry.into_iter().map(|(name, value)| (name.to_owned(), value));
        store.put("servers", &id, Json::Map(entry.collect()));
        Ok(Replica { id, process: Some(process) })
    }

    /// Crashes the replica.
    pub fn crash(&mut self) {
        end(&mut self.process);
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.crash();
    }
}

/// A route of a configuration.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str, timeout_ms: u64) -> Json {
    Json::map([
        ("name", name.into()),
        ("host", HOST.into()),
        ("pathPrefix", prefix.into()),
        ("routeKind", kind.into()),
        ("timeoutMs", timeout_ms.into()),
        ("sloMs", 300.into()),
        ("priority", 2.into()),
        ("service", service.into()),
        ("maxAttempts", if kind == "safe" { 2 } else { 1 }.into()),
        ("anonymous", false.into()),
    ])
}

/// A configuration.
pub fn config(version: u64, routes: Vec<Json>, services: &[&str]) -> Json {
    let services = services.iter().map(|name| {
        Json::map([
            ("name", (*name).into()),
            ("healthPath", "/health".into()),
            ("maxConns", 200.into()),
        ])
    });
    let limits = Json::map([
        ("maxHeaderBytes", 16_384.into()),
        ("maxBodyBytes", 4_194_304.into()),
        ("headerTimeoutMs", 3_000.into()),
        ("idleTimeoutMs", 15_000.into()),
    ]);
    let tenant = Json::map([("name", "hule930".into()), ("apiKeys", vec![KEY.into()].into())]);
    Json::map([
        ("version", version.into()),
        ("routes", routes.into()),
        ("services", services.collect::<Vec<_>>().into()),
        ("limits", limits),
        ("tenants", vec![tenant].into()),
    ])
}

/// Sends a client's request, and records the request and its answer.
pub fn call(
    record: &Record,
    connection: &mut Option<Connection>,
    to: &str,
    front: SocketAddr,
    method: &str,
    path: &str,
    attempt: &str,
    body: &[u8],
) -> Option<u16> {
    let limit = Duration::from_millis(3_500);
    let is_kept = connection.is_some();
    if connection.is_none() {
        *connection = Connection::open(front, limit).ok();
    }
    let key = format!("Token {KEY}");
    let headers = [
        ("Host", HOST),
        ("X-Jacinthrock-Attempt-Id", attempt),
        ("X-Jacinthrock-Deadline-Ms", "3000"),
        ("Authorization", &key),
    ];
    record.note(&format!(
        "sent attempt={attempt} to={to} path={path} bytes={} kept={is_kept}",
        body.len()
    ));
    let answer = match connection {
        Some(open) => open.request(method, path, &headers, body).ok(),
        None => None,
    };
    let Some(answer) = answer else {
        *connection = None;
        record.note(&format!("closed attempt={attempt}"));
        return None;
    };
    let stamp = answer.header("x-jacinthrock-server-stamp");
    let status = answer.status();
    record.note(&format!(
        "answered attempt={attempt} status={status} stamp={stamp} whole={}",
        answer.is_whole
    ));
    if !answer.is_whole || answer.header("connection").eq_ignore_ascii_case("close") {
        *connection = None;
    }
    Some(status)
}
