//! What a process has used, as the system counts it under `/proc`.

use std::fs;
use std::io;
use std::time::Duration;

use rustix::param::clock_ticks_per_second;
use sagespool_types::ByteCount;

/// Places of the fields after the program's name in `/proc/ID/stat` (proc(5) counts from 1
/// and has the name second).
const USER_TICKS: usize = 14 - 3;
const SYSTEM_TICKS: usize = 15 - 3;

const PEAK_MEMORY: &str = "VmHWM:";

/// What a process has used since it started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Processor time in user and system mode, over all threads.
    pub processor: Duration,
    /// The most memory that it ever had resident.
    pub peak_memory: ByteCount,
}

impl ProcessUsage {
    pub(super) fn read(id: u32) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
        let status = fs::read_to_string(format!("/proc/{id}/status"))?;
        let unknown = || io::Error::new(io::ErrorKind::InvalidData, "an unknown format");
        let processor = processor_time(&stat).ok_or_else(unknown)?;
        let peak_memory = peak_memory(&status).ok_or_else(unknown)?;
        Ok(Self { processor, peak_memory })
    }
}

fn processor_time(stat: &str) -> Option<Duration> {
    // The name stands in brackets and may itself hold spaces and brackets.
    let (_, after_name) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at)?.parse::<u64>().ok();
    let total = ticks(USER_TICKS)? + ticks(SYSTEM_TICKS)?;
    Some(Duration::from_secs_f64(total as f64 / clock_ticks_per_second() as f64))
}

fn peak_memory(status: &str) -> Option<ByteCount> {
    let line = status.lines().find_map(|line| line.strip_prefix(PEAK_MEMORY))?;
    let kilobytes: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(ByteCount(kilobytes * 1024))
}
