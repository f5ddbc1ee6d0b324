//! Real processes under test: started, signalled and measured by id.

use std::fs::{self, File};
use std::io;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

const WAIT_STEP: Duration = Duration::from_millis(10);

/// What a process has used so far.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ProcessUsage {
    /// Processor time, user and system.
    pub cpu: Duration,
    /// The most memory it had resident, in bytes.
    pub peak_bytes: u64,
    /// The memory it has resident now, in bytes.
    pub resident_bytes: u64,
}

/// A child process. Dropping it kills it, so that no test leaves one behind.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
    last_usage: ProcessUsage,
}

impl ChildProcess {
    /// Starts a program whose output goes to the end of a log file.
    ///
    /// # Errors
    /// If the log can't be opened or the program can't be started.
    pub fn start(program: &Path, arguments: &[&str], log: &Path) -> io::Result<Self> {
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self { child, last_usage: ProcessUsage::default() })
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = Pid::from_raw(self.child.id() as i32).ok_or(io::ErrorKind::NotFound)?;
        Ok(kill_process(pid, signal)?)
    }

    /// Ends it at once, as `kill -9` does.
    ///
    /// # Errors
    /// If it has ended already.
    pub fn kill(&mut self) -> io::Result<()> {
        self.last_usage = self.usage();
        self.child.kill()?;
        self.child.wait().map(|_| ())
    }

    /// Stops it in its tracks, unaware; see [`Self::resume`].
    ///
    /// # Errors
    /// If it has ended already.
    pub fn pause(&self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets it go on.
    ///
    /// # Errors
    /// If it has ended already.
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Asks it to stop gracefully.
    ///
    /// # Errors
    /// If it has ended already.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// True while it runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for its end, at most so long; then it is killed.
    ///
    /// # Errors
    /// If it had to be killed.
    pub fn wait(&mut self, limit: Duration) -> io::Result<ExitStatus> {
        let started = Instant::now();
        loop {
            self.last_usage = self.usage();
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if started.elapsed() >= limit {
                self.child.kill()?;
                self.child.wait()?;
                return Err(io::ErrorKind::TimedOut.into());
            }
            std::thread::sleep(WAIT_STEP);
        }
    }

    /// What it has used so far; once it has ended, what was last seen.
    pub fn usage(&self) -> ProcessUsage {
        read_usage(self.child.id()).unwrap_or(self.last_usage)
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // Ended processes refuse, which is as good.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn read_usage(pid: u32) -> Option<ProcessUsage> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The name in brackets may hold spaces; fields count from behind it.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let user: u64 = fields.get(11)?.parse().ok()?;
    let system: u64 = fields.get(12)?.parse().ok()?;
    let ticks = rustix::param::clock_ticks_per_second().max(1);
    let cpu = Duration::from_secs_f64((user + system) as f64 / ticks as f64);
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let peak_bytes = kilobytes(&status, "VmHWM:")? * 1024;
    let resident_bytes = kilobytes(&status, "VmRSS:")? * 1024;
    Some(ProcessUsage { cpu, peak_bytes, resident_bytes })
}

fn kilobytes(status: &str, name: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with(name))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
