//! Real processes under test: started, signalled, measured, and never left behind.
//!
//! Only test scaffolding starts processes; no process of the fleet does.
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

/// How often `wait` looks.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// What could not be done with a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProcessError {
    /// The program can't be started, or its log file can't be written.
    NotStarted(PathBuf),
    /// It has ended already.
    Ended(ExitStatus),
    /// It goes on running after the time to wait.
    StillRunning(Duration),
    /// The system refused.
    Refused(&'static str),
}

impl fmt::Display for ProcessError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotStarted(program) => {
                write!(f, "cannot start {}; check that it is built", program.display())
            }
            Self::Ended(status) => write!(f, "the process has ended already: {status}"),
            Self::StillRunning(limit) => write!(f, "the process still runs after {limit:?}"),
            Self::Refused(action) => write!(f, "cannot {action} the process"),
        }
    }
}

impl Error for ProcessError {}

/// A process that is killed when this is dropped.
#[derive(Debug)]
pub struct ChildProcess {
    id: Pid,
    log: PathBuf,
    child: Mutex<Child>,
}

impl ChildProcess {
    /// Starts a program. What it prints goes to the log file, which is appended to.
    pub fn start<Argument: AsRef<OsStr>>(
        program: &Path,
        arguments: &[Argument],
        log: &Path,
    ) -> Result<Self, Report<ProcessError>> {
        Self::start_with(program, arguments, log, &[])
    }

    /// Starts a program with variables of its environment beside those of this process.
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
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .change_context_lazy(failed)?;
        Ok(Self { id: Pid::from_child(&child), log: log.to_owned(), child: Mutex::new(child) })
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.id.as_raw_nonzero().get().unsigned_abs()
    }

    /// What it has printed so far, with what was in the log file before.
    pub fn log_text(&self) -> io::Result<String> {
        std::fs::read(&self.log).map(|text| String::from_utf8_lossy(&text).into_owned())
    }

    /// Kills it at once (SIGKILL) and returns when it is gone.
    pub fn kill(&self) -> Result<ExitStatus, Report<ProcessError>> {
        let mut child = self.child();
        let refused = || ProcessError::Refused("kill");
        child.kill().change_context_lazy(refused)?;
        child.wait().change_context_lazy(refused)
    }

    /// Asks it to stop (SIGTERM).
    pub fn terminate(&self) -> Result<(), Report<ProcessError>> {
        self.signal(Signal::TERM, "terminate")
    }

    /// Pauses it (SIGSTOP): its connections stay open, and it doesn't notice the time.
    pub fn pause(&self) -> Result<(), Report<ProcessError>> {
        self.signal(Signal::STOP, "pause")
    }

    /// Lets it go on (SIGCONT).
    pub fn resume(&self) -> Result<(), Report<ProcessError>> {
        self.signal(Signal::CONT, "resume")
    }

    /// Tells it to read its settings again (SIGHUP).
    pub fn reload(&self) -> Result<(), Report<ProcessError>> {
        self.signal(Signal::HUP, "reload")
    }

    /// Whether it has ended, and how.
    pub fn try_wait(&self) -> Result<Option<ExitStatus>, Report<ProcessError>> {
        let ended = self.child().try_wait();
        ended.change_context(ProcessError::Refused("report on"))
    }

    /// Blocks until it has ended, at most for this time.
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

    /// The processor time and memory that it has used so far, while it runs.
    pub fn usage(&self) -> Result<ProcessUsage, Report<ProcessError>> {
        // The lock keeps its id from going to another process meanwhile.
        let mut child = self.child();
        check_running(&mut child)?;
        ProcessUsage::read(self.id()).change_context(ProcessError::Refused("measure"))
    }

    fn signal(&self, signal: Signal, action: &'static str) -> Result<(), Report<ProcessError>> {
        // A process that has ended is still a child until it is waited for,
        // under this lock: no other process can have its id by now.
        let mut child = self.child();
        check_running(&mut child)?;
        kill_process(self.id, signal).change_context(ProcessError::Refused(action))
    }

    fn child(&self) -> MutexGuard<'_, Child> {
        self.child.lock().expect("no holder of the child's lock panics")
    }
}

fn check_running(child: &mut Child) -> Result<(), Report<ProcessError>> {
    let ended = child.try_wait().change_context(ProcessError::Refused("report on"))?;
    ended.map_or(Ok(()), |status| Err(Report::new(ProcessError::Ended(status))))
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // One that has ended already needs no killing.
        let _ = self.kill();
    }
}
