//! Process harness: starts, signals and reaps the processes of a run.
//!
//! No other code of this crate starts processes.

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

/// Lowest port to try. The range lies below the system's ephemeral ports, which outgoing
/// connections use.
const FIRST_PORT: u16 = 20_000;

/// Number of ports in the range.
const PORT_COUNT: u16 = 10_000;

/// Number of ports tried by this process, so that two harnesses never choose the same port.
static TRIED_PORT_COUNT: AtomicU32 = AtomicU32::new(0);

/// Timeout of one readiness request.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between two checks of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Error of a harness operation.
#[derive(Debug, thiserror::Error)]
pub enum HarnessError {
    /// The program could not be started.
    #[error("process {name:?} did not start from {program}: {source}")]
    Start {
        /// Name of the process.
        name: Box<str>,
        /// Path of its program.
        program: Box<str>,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The process exited or did not answer successfully in time.
    #[error("process {0:?} did not become ready; see its log")]
    NotReady(Box<str>),
    /// A file could not be written.
    #[error("file {path}: {source}")]
    File {
        /// Path of the file.
        path: Box<str>,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Every port in the range is in use.
    #[error("no free port on loopback")]
    NoPort,
    /// A command could not be run or exited with an error.
    #[error("command {command} failed:\n{output}")]
    Command {
        /// Program with its arguments.
        command: Box<str>,
        /// Its standard output and standard error, or the error of the operating system.
        output: Box<str>,
    },
}

/// Signal that can be sent to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Ends the process at once (`SIGKILL`).
    Kill,
    /// Asks the process to shut down (`SIGTERM`).
    Terminate,
    /// Stops the process until it is woken (`SIGSTOP`).
    Freeze,
    /// Resumes a frozen process (`SIGCONT`).
    Wake,
}

/// Processes of one run; dropping the harness kills and reaps them all.
pub struct ProcessHarness {
    program_dir: PathBuf,
    log_dir: PathBuf,
    children: BTreeMap<Box<str>, Child>,
}

impl ProcessHarness {
    /// Creates a harness for the programs in the directory of the current executable; logs go to
    /// `log_dir`.
    ///
    /// For a test executable this is the parent directory, because Cargo puts tests in `deps`.
    pub fn from_current_exe(log_dir: &Path) -> Result<Self, HarnessError> {
        let exe = std::env::current_exe().map_err(|source| file_error(log_dir, source))?;
        let exe_dir = exe.parent().unwrap_or(Path::new("."));
        let is_test = exe_dir.file_name().is_some_and(|name| name == "deps");
        let program_dir = if is_test { exe_dir.parent().unwrap_or(exe_dir) } else { exe_dir };
        Self::new(program_dir, log_dir)
    }

    /// Creates a harness for the programs in `program_dir`; logs go to `log_dir`.
    pub fn new(program_dir: &Path, log_dir: &Path) -> Result<Self, HarnessError> {
        std::fs::create_dir_all(log_dir).map_err(|source| file_error(log_dir, source))?;
        Ok(Self {
            program_dir: program_dir.into(),
            log_dir: log_dir.into(),
            children: BTreeMap::new(),
        })
    }

    /// Returns a loopback address whose port is currently free.
    pub fn free_address(&self) -> Result<Box<str>, HarnessError> {
        for _ in 0..PORT_COUNT {
            let port = next_port();
            if TcpListener::bind(("127.0.0.1", port)).is_ok() {
                return Ok(format!("127.0.0.1:{port}").into());
            }
        }
        Err(HarnessError::NoPort)
    }

    /// Starts a process under a unique name; its output goes to `NAME.log`.
    pub fn start(
        &mut self,
        name: &str,
        program: &str,
        args: &[String],
    ) -> Result<(), HarnessError> {
        let log_path = self.log_dir.join(format!("{name}.log"));
        let log_file = File::create(&log_path).map_err(|source| file_error(&log_path, source))?;
        let stderr_file =
            log_file.try_clone().map_err(|source| file_error(&self.log_dir, source))?;
        let path = self.program_dir.join(program);
        let child = Command::new(&path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(log_file)
            .stderr(stderr_file)
            .spawn()
            .map_err(|source| HarnessError::Start {
                name: name.into(),
                program: path.display().to_string().into(),
                source,
            })?;
        self.children.insert(name.into(), child);
        Ok(())
    }

    /// Runs a program until it exits and returns its standard output.
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

    /// Waits until `url` answers with success; fails early if the process exits.
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
            sleep(POLL_INTERVAL);
        }
        Err(HarnessError::NotReady(name.into()))
    }

    /// Sends a signal to a process if it is still running.
    pub fn signal(&mut self, name: &str, signal: ProcessSignal) {
        let Some(child) = self.children.get_mut(name) else {
            return;
        };
        if child.try_wait().is_ok_and(|status| status.is_none()) {
            send_signal(child, signal);
        }
    }

    /// Returns the exit status of a process that has exited.
    pub fn exit_status(&mut self, name: &str) -> Option<ExitStatus> {
        self.children.get_mut(name)?.try_wait().ok()?
    }

    /// Waits for a process to exit and returns its status, or `None` after the timeout.
    pub fn wait_exit(&mut self, name: &str, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            let status = self.exit_status(name);
            if status.is_some() || Instant::now() >= deadline {
                return status;
            }
            sleep(POLL_INTERVAL);
        }
    }

    /// Number of processes started, including those that have exited.
    pub fn process_count(&self) -> usize {
        self.children.len()
    }

    /// Returns the operating system's id of a process.
    pub fn process_id(&self, name: &str) -> Option<u32> {
        self.children.get(name).map(Child::id)
    }
}

impl Drop for ProcessHarness {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            // Killing a child that has already exited fails; it only needs to be reaped.
            let _ = child.kill();
        }
        for child in self.children.values_mut() {
            let _ = child.wait();
        }
    }
}

/// Returns the next port to try. The first port depends on the process id, so that concurrent runs
/// seldom try the same ports.
fn next_port() -> u16 {
    let tried = TRIED_PORT_COUNT.fetch_add(1, Ordering::Relaxed);
    let offset = std::process::id().wrapping_mul(97).wrapping_add(tried) % u32::from(PORT_COUNT);
    FIRST_PORT + offset as u16
}

fn send_signal(child: &Child, signal: ProcessSignal) {
    let signal = match signal {
        ProcessSignal::Kill => Signal::KILL,
        ProcessSignal::Terminate => Signal::TERM,
        ProcessSignal::Freeze => Signal::STOP,
        ProcessSignal::Wake => Signal::CONT,
    };
    // The id of an unreaped child is not reused, so the signal can't reach another process.
    let _ = kill_process(Pid::from_child(child), signal);
}

fn file_error(path: &Path, source: io::Error) -> HarnessError {
    HarnessError::File { path: path.display().to_string().into(), source }
}
