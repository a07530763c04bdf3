//! Starts and ends the processes of a run; the only code that starts processes.

use rustix::process::{Pid, Signal, kill_process};
use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Ports below those that the system gives to outgoing connections.
const FIRST_PORT: u16 = 20_000;

/// Number of ports that are tried.
const PORT_COUNT: u16 = 10_000;

/// Ports that this process has tried, so that two harnesses never choose the same.
static TRIED_PORTS: AtomicU32 = AtomicU32::new(0);

/// Longest wait for one look at a process.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two looks at a process.
const POLL_PERIOD: Duration = Duration::from_millis(10);

/// Why the harness could not do what it was asked.
#[derive(Debug, thiserror::Error)]
pub enum HarnessError {
    /// The program could not be started.
    #[error("process {name:?} did not start from {program}: {source}")]
    Start {
        /// Name of the process.
        name: Box<str>,
        /// Path of its program.
        program: Box<str>,
        /// What the system said.
        source: io::Error,
    },
    /// The process ended, or did not answer in time.
    #[error("process {0:?} did not become ready; see its log")]
    NotReady(Box<str>),
    /// A file could not be written.
    #[error("file {path}: {source}")]
    File {
        /// Path of the file.
        path: Box<str>,
        /// What the system said.
        source: io::Error,
    },
    /// No port was free.
    #[error("no free port on loopback")]
    NoPort,
    /// A command failed.
    #[error("command {command} failed:\n{output}")]
    Command {
        /// Program with its arguments.
        command: Box<str>,
        /// What it printed.
        output: Box<str>,
    },
}

/// What a signal asks of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Ends the process at once.
    Kill,
    /// Asks the process to shut down.
    Terminate,
    /// Freezes the process.
    Freeze,
    /// Wakes a frozen process.
    Wake,
}

/// Processes of one run; all are ended and reaped when it is dropped.
pub struct ProcessHarness {
    program_dir: PathBuf,
    log_dir: PathBuf,
    children: BTreeMap<Box<str>, Child>,
}

impl ProcessHarness {
    /// A harness for the programs beside the running one; logs go to `log_dir`.
    ///
    /// A test program lies one directory below the others.
    pub fn from_current_exe(log_dir: &Path) -> Result<Self, HarnessError> {
        let program = std::env::current_exe().map_err(|source| file_error(log_dir, source))?;
        let beside = program.parent().unwrap_or(Path::new("."));
        let is_test = beside.file_name().is_some_and(|name| name == "deps");
        let programs = if is_test { beside.parent().unwrap_or(beside) } else { beside };
        Self::new(programs, log_dir)
    }

    /// A harness for the programs in `program_dir`; logs go to `log_dir`.
    pub fn new(program_dir: &Path, log_dir: &Path) -> Result<Self, HarnessError> {
        std::fs::create_dir_all(log_dir).map_err(|source| file_error(log_dir, source))?;
        Ok(Self {
            program_dir: program_dir.into(),
            log_dir: log_dir.into(),
            children: BTreeMap::new(),
        })
    }

    /// A loopback address with a port that is free now.
    pub fn free_address(&self) -> Result<Box<str>, HarnessError> {
        for _ in 0..PORT_COUNT {
            let port = next_port();
            if TcpListener::bind(("127.0.0.1", port)).is_ok() {
                return Ok(format!("127.0.0.1:{port}").into());
            }
        }
        Err(HarnessError::NoPort)
    }

    /// Starts a process under a name of its own.
    pub fn start(
        &mut self,
        name: &str,
        program: &str,
        args: &[String],
    ) -> Result<(), HarnessError> {
        let log = self.log_dir.join(format!("{name}.log"));
        let log = File::create(&log).map_err(|source| file_error(&log, source))?;
        let errors = log.try_clone().map_err(|source| file_error(&self.log_dir, source))?;
        let path = self.program_dir.join(program);
        let child = Command::new(&path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|source| HarnessError::Start {
                name: name.into(),
                program: path.display().to_string().into(),
                source,
            })?;
        self.children.insert(name.into(), child);
        Ok(())
    }

    /// Runs a program to its end and returns what it printed.
    pub fn run(&self, program: &str, args: &[String]) -> Result<String, HarnessError> {
        let path = self.program_dir.join(program);
        let command: Box<str> = format!("{} {}", path.display(), args.join(" ")).into();
        let output = Command::new(&path).args(args).stdin(Stdio::null()).output();
        let failed = |output: &str| HarnessError::Command {
            command: command.clone(),
            output: output.into(),
        };
        let output = output.map_err(|error| failed(&error.to_string()))?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        if output.status.success() {
            return Ok(text);
        }
        Err(failed(&format!("{text}{}", String::from_utf8_lossy(&output.stderr))))
    }

    /// Waits until `url` answers with success.
    pub fn wait_ready(
        &mut self,
        name: &str,
        url: &str,
        timeout: Duration,
    ) -> Result<(), HarnessError> {
        let config = ureq::Agent::config_builder().timeout_global(Some(POLL_TIMEOUT)).build();
        let agent = ureq::Agent::from(config);
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if self.exit_status(name).is_some() {
                break;
            }
            if agent.get(url).call().is_ok() {
                return Ok(());
            }
            sleep(POLL_PERIOD);
        }
        Err(HarnessError::NotReady(name.into()))
    }

    /// Sends a signal to a process that still runs.
    pub fn signal(&mut self, name: &str, signal: ProcessSignal) {
        let Some(child) = self.children.get_mut(name) else {
            return;
        };
        if child.try_wait().is_ok_and(|status| status.is_none()) {
            send(child, signal);
        }
    }

    /// Status of a process that ended.
    pub fn exit_status(&mut self, name: &str) -> Option<ExitStatus> {
        self.children.get_mut(name)?.try_wait().ok()?
    }

    /// Waits for a process to end.
    pub fn wait_exit(&mut self, name: &str, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            let status = self.exit_status(name);
            if status.is_some() || Instant::now() >= deadline {
                return status;
            }
            sleep(POLL_PERIOD);
        }
    }

    /// Number of processes that were started.
    pub fn process_count(&self) -> usize {
        self.children.len()
    }

    /// Process id of a process.
    pub fn process_id(&self, name: &str) -> Option<u32> {
        self.children.get(name).map(Child::id)
    }
}

impl Drop for ProcessHarness {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            // A child that has ended already only needs to be reaped.
            let _ = child.kill();
        }
        for child in self.children.values_mut() {
            let _ = child.wait();
        }
    }
}

/// Starts at another port in each process, so that two runs seldom try the same ports.
fn next_port() -> u16 {
    let tried = TRIED_PORTS.fetch_add(1, Ordering::Relaxed);
    let offset = std::process::id().wrapping_mul(97).wrapping_add(tried) % u32::from(PORT_COUNT);
    FIRST_PORT + offset as u16
}

fn send(child: &Child, signal: ProcessSignal) {
    let signal = match signal {
        ProcessSignal::Kill => Signal::KILL,
        ProcessSignal::Terminate => Signal::TERM,
        ProcessSignal::Freeze => Signal::STOP,
        ProcessSignal::Wake => Signal::CONT,
    };
    // An unreaped child keeps its id, so the signal can't reach another process.
    let _ = kill_process(Pid::from_child(child), signal);
}

fn file_error(path: &Path, source: io::Error) -> HarnessError {
    HarnessError::File { path: path.display().to_string().into(), source }
}
