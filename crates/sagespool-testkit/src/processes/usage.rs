//! Resource usage of a process, from `/proc`.

use std::fs;
use std::io;
use std::time::Duration;

use rustix::param::clock_ticks_per_second;
use sagespool_types::ByteCount;

/// Indexes of fields after the program name in `/proc/ID/stat` (proc(5) numbers fields from 1; the
/// name is the second).
const USER_TICKS: usize = 14 - 3;
const SYSTEM_TICKS: usize = 15 - 3;

const PEAK_MEMORY: &str = "VmHWM:";

/// Resources used by a process since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessUsage {
    /// CPU time in user and system mode, over all threads.
    pub processor: Duration,
    /// Peak resident memory.
    pub peak_memory: ByteCount,
}

impl ProcessUsage {
    pub(super) fn read(id: u32) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
        let status = fs::read_to_string(format!("/proc/{id}/status"))?;
        let unknown = || io::Error::new(io::ErrorKind::InvalidData, "unexpected format in /proc");
        let processor = processor_time(&stat).ok_or_else(unknown)?;
        let peak_memory = peak_memory(&status).ok_or_else(unknown)?;
        Ok(Self { processor, peak_memory })
    }
}

fn processor_time(stat: &str) -> Option<Duration> {
    // The name is in parentheses and may itself contain spaces and parentheses.
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
