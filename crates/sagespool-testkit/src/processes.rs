//! Child processes for tests: start, signal, measure, and kill on drop.
//!
//! Only tests and the load tool start processes; the daemon never does.
//!
//! ```no_run
//! use std::path::Path;
//! use std::time::Duration;
//! use sagespool_testkit::ChildProcess;
//!
//! let log = Path::new("entry-1.log");
//! let entry = ChildProcess::start(Path::new("sagespoold"), &["entry-1.json"], log)?;
//! entry.terminate()?;
//! let ended = entry.wait(Duration::from_secs(10))?;
//! assert!(ended.success());
//! # Ok::<(), error_stack::Report<sagespool_testkit::ProcessError>>(())
//! ```

mod ports;
mod usage;

use std::error::Error;
use std::ffi::OsStr;
use std::fmt;
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use rustix::process::{Pid, Signal, kill_process};

pub use ports::{free_tcp_port, free_udp_port};
pub use usage::ProcessUsage;

/// Interval at which `wait` polls.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A failed operation on a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProcessError {
    /// The program can't be started, or its log file can't be opened.
    NotStarted(PathBuf),
    /// The process has ended already.
    Ended(ExitStatus),
    /// The process still runs after this time.
    StillRunning(Duration),
    /// The operating system refused this operation.
    Refused(&'static str),
}

impl fmt::Display for ProcessError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotStarted(program) => {
                write!(f, "cannot start {}; check that it is built", program.display())
            }
            Self::Ended(status) => write!(f, "the process has ended already: {status}"),
            Self::StillRunning(limit) => write!(f, "the process is still running after {limit:?}"),
            Self::Refused(action) => write!(f, "cannot {action} the process"),
        }
    }
}

impl Error for ProcessError {}

/// The argument by which `sagespoold` ends when its standard input closes. A harness that is killed
/// can't kill its processes, but its end closes their standard input.
pub const END_WITH_STDIN: &str = "--end-with-stdin";

/// A child process, killed when dropped.
#[derive(Debug)]
pub struct ChildProcess {
    id: Pid,
    log: PathBuf,
    child: Mutex<Child>,
}

impl ChildProcess {
    /// Starts a program. Its output is appended to the log file. Its standard input stays open until
    /// this process ends.
    pub fn start<Argument: AsRef<OsStr>>(
        program: &Path,
        arguments: &[Argument],
        log: &Path,
    ) -> Result<Self, Report<ProcessError>> {
        Self::start_with(program, arguments, log, &[])
    }

    /// Starts a program with additional environment variables.
    pub fn start_with<Argument: AsRef<OsStr>>(
        program: &Path,
        arguments: &[Argument],
        log: &Path,
        variables: &[(&str, String)],
    ) -> Result<Self, Report<ProcessError>> {
        let failed = || ProcessError::NotStarted(program.to_owned());
        let output = File::options().create(true).append(true).open(log);
        let output = output.change_context_lazy(failed)?;
        let errors = output.try_clone().change_context_lazy(failed)?;
        let child = Command::new(program)
            .args(arguments)
            .envs(variables.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::piped())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .change_context_lazy(failed)?;
        Ok(Self { id: Pid::from_child(&child), log: log.to_owned(), child: Mutex::new(child) })
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.id.as_raw_nonzero().get().unsigned_abs()
    }

    /// The content of the log file, including that of earlier processes.
    pub fn log_text(&self) -> io::Result<String> {
        std::fs::read(&self.log).map(|text| String::from_utf8_lossy(&text).into_owned())
    }

    /// Kills the process (SIGKILL) and waits until it has ended.
    pub fn kill(&self) -> Result<ExitStatus, Report<ProcessError>> {
        let mut child = self.child();
        let refused = || ProcessError::Refused("kill");
        child.kill().change_context_lazy(refused)?;
        child.wait().change_context_lazy(refused)
    }

    /// Closes the process's standard input, as the end of this process would.
    pub fn close_stdin(&self) {
        drop(self.child().stdin.take());
    }

    /// Requests a graceful stop (SIGTERM).
    pub fn terminate(&self) -> Result<(), Report<ProcessError>> {
        self.signal(Signal::TERM, "terminate")
    }

    /// Suspends the process (SIGSTOP); its connections stay open.
    pub fn pause(&self) -> Result<(), Report<ProcessError>> {
        self.signal(Signal::STOP, "pause")
    }

    /// Resumes a suspended process (SIGCONT).
    pub fn resume(&self) -> Result<(), Report<ProcessError>> {
        self.signal(Signal::CONT, "resume")
    }

    /// Requests a reload of the settings (SIGHUP).
    pub fn reload(&self) -> Result<(), Report<ProcessError>> {
        self.signal(Signal::HUP, "reload")
    }

    /// The exit status, or none while the process runs.
    pub fn try_wait(&self) -> Result<Option<ExitStatus>, Report<ProcessError>> {
        let ended = self.child().try_wait();
        ended.change_context(ProcessError::Refused("query"))
    }

    /// Blocks until the process has ended; an error after this time.
    pub fn wait(&self, limit: Duration) -> Result<ExitStatus, Report<ProcessError>> {
        let started = Instant::now();
        loop {
            if let Some(status) = self.try_wait()? {
                return Ok(status);
            }
            if started.elapsed() >= limit {
                return Err(Report::new(ProcessError::StillRunning(limit)));
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// The CPU time and memory used so far; an error if the process has ended.
    pub fn usage(&self) -> Result<ProcessUsage, Report<ProcessError>> {
        // The lock prevents the process from being reaped and its id from being reused.
        let mut child = self.child();
        check_running(&mut child)?;
        ProcessUsage::read(self.id()).change_context(ProcessError::Refused("measure"))
    }

    fn signal(&self, signal: Signal, action: &'static str) -> Result<(), Report<ProcessError>> {
        // An ended process keeps its id until it is reaped, which happens under this lock: the id
        // can't belong to another process here.
        let mut child = self.child();
        check_running(&mut child)?;
        kill_process(self.id, signal).change_context(ProcessError::Refused(action))
    }

    fn child(&self) -> MutexGuard<'_, Child> {
        self.child.lock().expect("no holder of the child's lock panics")
    }
}

fn check_running(child: &mut Child) -> Result<(), Report<ProcessError>> {
    let ended = child.try_wait().change_context(ProcessError::Refused("query"))?;
    ended.map_or(Ok(()), |status| Err(Report::new(ProcessError::Ended(status))))
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // Fails if the process has ended already.
        let _ = self.kill();
    }
}
