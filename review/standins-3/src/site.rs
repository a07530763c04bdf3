//! A small site: entry processes, started with the command of the deploy file, and their record.

use std::fmt::Display;
use std::fs::{self, File};
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http::Connection;

/// Command of `deploy/system.toml`, run in the repository's root.
const ENTRY: &str = "target/release/jacinthrock-entry";
const FRONT_PORT: u16 = 8227;
const READY_PORT: u16 = 8220;
const INTERNAL_PORTS: [u16; 2] = [7340, 7355];

/// What was sent, answered and run, with times since the start of the run.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &Path) -> std::io::Result<Self> {
        Ok(Self { start: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    /// Milliseconds from the start of the run to a time.
    pub fn ms(&self, at: Instant) -> u128 {
        at.saturating_duration_since(self.start).as_millis()
    }

    pub fn write(&self, at: Instant, text: impl Display) {
        let line = format!("{:>7} ms  {text}\n", self.ms(at));
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// A loopback network of this run whose ports are free.
pub fn free_block() -> Option<[u8; 2]> {
    let first = std::process::id() % 50_000;
    (0..50).map(|next| first + next * 7).find_map(|number| {
        let block = [(number / 250 % 120 + 100) as u8, (number % 250 + 1) as u8];
        let ports = [FRONT_PORT, READY_PORT, INTERNAL_PORTS[0], INTERNAL_PORTS[1]];
        let is_free = (1..=40).all(|host| {
            let address = address_in(block, host, 0).ip();
            ports.iter().all(|port| TcpListener::bind((address, *port)).is_ok())
        });
        is_free.then_some(block)
    })
}

pub fn address_in(block: [u8; 2], host: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, block[0], block[1], host)), port)
}

/// An entry host.
pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    root: PathBuf,
    process: Mutex<Option<Child>>,
    /// When the process was last started, and when it was last sent a signal.
    pub disturbed: Mutex<Vec<Instant>>,
}

impl Host {
    pub fn new(
        root: &Path,
        folder: &Path,
        block: [u8; 2],
        number: u8,
        zone: &str,
        zones: &[&str],
        store: SocketAddr,
    ) -> std::io::Result<Self> {
        let name = format!("edge-{zone}-{number}");
        let ip = address_in(block, number, 0).ip();
        let [first, last] = INTERNAL_PORTS;
        let zones: Vec<_> = zones.iter().map(|zone| format!("\"{zone}\": \"region\"")).collect();
        let zones = zones.join(", ");
        let settings = format!(
            r#"{{"nodeName": "{name}", "role": "entry", "machineClass": "edge", "serves": ["edge"],
 "ip": "{ip}", "zone": "{zone}", "region": "region", "zones": {{{zones}}},
 "listen": {{"frontAddr": "{ip}:{FRONT_PORT}", "readyAddr": "{ip}:{READY_PORT}"}},
 "internalPorts": [{first}, {last}], "seeds": [], "isBootstrap": false, "inTolerance": false,
 "limits": {{"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4200, "linkMbps": 1000.0,
  "diskMb": 0}}, "dataDir": null, "discovery": "platform", "entry": "vip", "beatMs": 1200,
 "contracts": ["base", "drain", "config", "cost", "retry", "recover", "tenants", "platform"],
 "tolerance": {{"machines": 2, "zones": 0, "regions": 0}},
 "bounds": {{"seedLagS": 3, "reuseAfterS": 2, "stableMs": 3000, "ackMs": 4000, "catchUpS": 4,
  "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configMs": 2000, "rollbackSlackMs": 250,
  "stretchMs": 5000, "revokeStrict": false, "revokeMs": 5000, "retryRatio": 0.2, "retryWindowS": 10,
  "retrySlack": 196, "recoverS": 12, "maxDeliveryMs": 120, "retryAfterS": 0, "stall_ms": 2500,
  "fencingEnforced": false}},
 "platform": {{"address": "{store}", "form": "objects", "writesPerS": 400, "readsPerS": 2000,
  "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000}}}}
"#
        );
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, settings)?;
        Ok(Self {
            front: SocketAddr::new(ip, FRONT_PORT),
            ready: SocketAddr::new(ip, READY_PORT),
            settings: path,
            log: folder.join(format!("{name}.log")),
            root: root.into(),
            process: Mutex::new(None),
            disturbed: Mutex::new(Vec::new()),
            name,
        })
    }

    pub fn start(&self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(self.root.join(ENTRY))
            .current_dir(&self.root)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("JACINTHROCK_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        *self.process.lock().unwrap() = Some(child);
        self.disturbed.lock().unwrap().push(Instant::now());
        Ok(())
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = self.process.lock().unwrap().as_ref() {
            self.disturbed.lock().unwrap().push(Instant::now());
            let _ = Command::new("kill").args([signal, &child.id().to_string()]).status();
        }
    }

    /// Waits for the end of the process; ends it after a limit, as the platform does.
    pub fn wait(&self, limit: Duration) {
        let end = Instant::now() + limit;
        loop {
            let mut process = self.process.lock().unwrap();
            let Some(child) = process.as_mut() else { return };
            if matches!(child.try_wait(), Ok(Some(_))) {
                *process = None;
                return;
            }
            if Instant::now() >= end {
                let _ = child.kill();
            }
            drop(process);
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn kill(&self) {
        if let Some(mut child) = self.process.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the readiness check answers 200.
    pub fn is_ready(&self) -> bool {
        let Ok(mut connection) = Connection::connect(self.ready, Duration::from_secs(1)) else {
            return false;
        };
        let request = "GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let answer = connection.write(request.as_bytes()).and_then(|()| connection.read());
        matches!(answer, Ok(Some(message)) if message.status() == 200)
    }

    /// Whether the process ran without a start or a signal for three seconds before a time and up to
    /// another.
    pub fn is_in_touch(&self, from: Instant, to: Instant) -> bool {
        let stable = Duration::from_secs(3);
        let disturbed = self.disturbed.lock().unwrap();
        !disturbed.iter().any(|at| *at + stable > from && *at <= to)
    }
}
