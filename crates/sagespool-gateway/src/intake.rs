//! How much a gateway takes in from callers: as far as its processor, memory and descriptors go.

use std::fmt;
use std::fs;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_lite::future::yield_now;
use rustix::process::{Resource, getrlimit};
use sagespool_forward::{AdmissionController, ArrivedRequest};
use sagespool_settings::LimitSettings;
use sagespool_types::{BranchName, ByteCount, ClockTime};

use crate::refusal::Refusal;

/// What the process needs beside callers: its code and heap, the link to its peers, the
/// configuration, and the lists that it reads.
const OWN_MEMORY: u64 = 40 << 20;
/// Of what is left, callers may have this share. The rest is for what isn't counted: the
/// allocator's gaps, and bytes that the system holds for connections that aren't read yet.
const CALLERS_SHARE: f64 = 0.6;
/// Descriptors that aren't callers' or upstreams': files, the link, the store, the balancer.
const OWN_DESCRIPTORS: usize = 400;
/// An open connection: the library's buffers on both sides of it, its task, the system's part.
const CONNECTION_BYTES: u64 = 48 << 10;
/// A request under way, beside its body: the connection to its upstream, and the pieces of its
/// answer that wait for the caller.
const REQUEST_BYTES: u64 = 32 << 10;
/// A body is there twice while its pieces are put together.
const BODY_COPIES: u64 = 2;
/// From this share of the bound on, connections end with the answer that they carry: callers who
/// keep idle ones would otherwise hold the room of those who come with a request.
const TIGHT_SHARE: f64 = 0.4;
/// With a wait for each turn that is longer than this, connections aren't even taken: reading a
/// request to turn it away costs more than the processor has.
const SWAMPED_TURN: Duration = Duration::from_millis(120);
/// Between two lines that tell of connections that were closed unread.
const UNREAD_LINE_PERIOD: Duration = Duration::from_millis(200);
/// Requests stop this much earlier than connections, so that a connection that is still taken can
/// be told why its request isn't.
const REQUEST_SHARE: f64 = 0.85;

/// What an instance has too little of to take a request in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ShortResource {
    /// Ready tasks wait too long for their turn.
    Processor,
    /// What callers hold is at its bound.
    Memory,
}

/// The bounds and what is used of them.
pub(crate) struct CallerIntake {
    board: Mutex<AdmissionController>,
    memory_limit: u64,
    connection_limit: usize,
    /// Bytes that connections, requests and their answers are counted with.
    held: AtomicU64,
    connections: AtomicUsize,
    unread: Mutex<UnreadCount>,
}

/// Connections that were closed unread, between two lines of the log.
#[derive(Debug, Default)]
struct UnreadCount {
    count: u64,
    told: Option<ClockTime>,
}

impl CallerIntake {
    pub(crate) fn new(settings: LimitSettings) -> Self {
        let memory = settings.memory.or_else(system_memory).map_or(u64::MAX, |bytes| bytes.0);
        let descriptors = settings.descriptors.or_else(system_descriptors);
        let descriptors = descriptors.map_or(usize::MAX, |count| count as usize);
        let spare = memory.saturating_sub(OWN_MEMORY) as f64;
        Self {
            board: Mutex::default(),
            memory_limit: (spare * CALLERS_SHARE) as u64,
            // A request may need a connection to its upstream beside its caller's.
            connection_limit: descriptors.saturating_sub(OWN_DESCRIPTORS) / 2,
            held: AtomicU64::new(0),
            connections: AtomicUsize::new(0),
            unread: Mutex::default(),
        }
    }

    fn board(&self) -> MutexGuard<'_, AdmissionController> {
        self.board.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What is used of the bounds.
    pub(crate) fn reading(&self, now: ClockTime) -> IntakeReading {
        IntakeReading {
            held: ByteCount(self.held.load(Ordering::Relaxed)),
            limit: ByteCount(self.memory_limit),
            connections: self.connections(),
            turn: self.board().scheduling_delay(now),
        }
    }

    /// Callers' connections that are open.
    pub(crate) fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Takes a caller's connection in; nothing if there is no room for it.
    ///
    /// Guards against a process that is ended by the system: while callers come faster than they
    /// are answered, each connection holds buffers and bytes that nobody has read, and a small
    /// machine's memory is full within seconds. Everybody's requests are lost then. A connection
    /// that is closed unread tells its caller that nothing has run.
    pub(crate) fn open_connection(self: &Arc<Self>) -> Option<ConnectionPass> {
        if self.board().scheduling_delay(ClockTime::now()) > SWAMPED_TURN {
            return None;
        }
        let open = self.connections.load(Ordering::Relaxed);
        let memory = self.take_memory(CONNECTION_BYTES, self.memory_limit)?;
        if open >= self.connection_limit {
            return None;
        }
        self.connections.fetch_add(1, Ordering::Relaxed);
        Some(ConnectionPass { intake: self.clone(), _memory: memory })
    }

    /// How long a task that is ready waits for its turn.
    pub(crate) fn turn(&self, now: ClockTime) -> Duration {
        self.board().scheduling_delay(now)
    }

    /// Counts a connection that was closed unread. Gives how many there were since the last time that
    /// the log was told, if it is to be told again: a line for each would take the processor from
    /// those who are served.
    pub(crate) fn note_unread(&self, now: ClockTime) -> Option<u64> {
        let mut unread = self.unread.lock().unwrap_or_else(PoisonError::into_inner);
        unread.count += 1;
        if unread.told.is_some_and(|told| now.since(told) < UNREAD_LINE_PERIOD) {
            return None;
        }
        unread.told = Some(now);
        Some(std::mem::take(&mut unread.count))
    }

    /// Whether connections are to end with the answer that they carry.
    pub(crate) fn is_tight(&self) -> bool {
        self.held.load(Ordering::Relaxed) as f64 > self.memory_limit as f64 * TIGHT_SHARE
            || self.connections() as f64 > self.connection_limit as f64 * TIGHT_SHARE
    }

    /// Takes a request in whose head has arrived, or says why not. `body` is its length, as far as
    /// it says so.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        request: ArrivedRequest<'_>,
        body: ByteCount,
    ) -> Result<RequestPass, Refusal> {
        let asked = ClockTime::now();
        yield_now().await;
        let now = ClockTime::now();
        let mut board = self.board();
        board.note_scheduling_delay(now.since(asked), now);
        if !board.admits(request, now) {
            return Err(Refusal::Crowded(ShortResource::Processor));
        }
        let bytes = REQUEST_BYTES + body.0.saturating_mul(BODY_COPIES);
        let memory = self.take_memory(bytes, self.request_limit());
        let memory = memory.ok_or(Refusal::Crowded(ShortResource::Memory))?;
        if let Some(branch) = request.branch {
            board.begin(branch);
        }
        let branch = request.branch.cloned();
        Ok(RequestPass { intake: self.clone(), branch, memory })
    }

    fn request_limit(&self) -> u64 {
        (self.memory_limit as f64 * REQUEST_SHARE) as u64
    }

    fn take_memory(self: &Arc<Self>, bytes: u64, limit: u64) -> Option<HeldMemory> {
        self.add_held(bytes, limit).then(|| HeldMemory { intake: self.clone(), bytes })
    }

    /// Counts bytes, unless that would be more than the limit.
    fn add_held(&self, bytes: u64, limit: u64) -> bool {
        let add = |held: u64| held.checked_add(bytes).filter(|sum| *sum <= limit);
        self.held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok()
    }

    /// Counts bytes that are there already, also over the bound: an answer that is ready is
    /// delivered, and what comes after it waits for its room.
    pub(crate) fn hold(self: &Arc<Self>, bytes: ByteCount) -> HeldMemory {
        self.held.fetch_add(bytes.0, Ordering::Relaxed);
        HeldMemory { intake: self.clone(), bytes: bytes.0 }
    }
}

/// What callers use of this process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct IntakeReading {
    /// Bytes that their connections and requests are counted with.
    pub(crate) held: ByteCount,
    /// The most that those may be.
    pub(crate) limit: ByteCount,
    /// Their open connections.
    pub(crate) connections: usize,
    /// How long a task that is ready waits for its turn at the processor.
    pub(crate) turn: Duration,
}

/// Bytes that are counted until this is dropped.
pub struct HeldMemory {
    intake: Arc<CallerIntake>,
    bytes: u64,
}

impl fmt::Debug for HeldMemory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HeldMemory").field("bytes", &self.bytes).finish_non_exhaustive()
    }
}

impl HeldMemory {
    /// Counts more; false if there is no room for it.
    fn grow(&mut self, bytes: u64, limit: u64) -> bool {
        let taken = self.intake.add_held(bytes, limit);
        if taken {
            self.bytes += bytes;
        }
        taken
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.intake.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A caller's open connection.
pub(crate) struct ConnectionPass {
    intake: Arc<CallerIntake>,
    _memory: HeldMemory,
}

impl Drop for ConnectionPass {
    fn drop(&mut self) {
        self.intake.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request that was taken in, until it has ended.
pub(crate) struct RequestPass {
    intake: Arc<CallerIntake>,
    branch: Option<BranchName>,
    memory: HeldMemory,
}

impl RequestPass {
    /// Counts bytes of a body that didn't say how long it is.
    ///
    /// # Errors
    /// If there is no room for them. Nothing of the request has run yet.
    pub(crate) fn count_body(&mut self, bytes: usize) -> Result<(), Refusal> {
        let bytes = (bytes as u64).saturating_mul(BODY_COPIES);
        match self.memory.grow(bytes, self.intake.request_limit()) {
            true => Ok(()),
            false => Err(Refusal::Crowded(ShortResource::Memory)),
        }
    }
}

impl Drop for RequestPass {
    fn drop(&mut self) {
        if let Some(branch) = &self.branch {
            self.intake.board().end(branch);
        }
    }
}

/// The machine's memory, as the system tells it.
fn system_memory() -> Option<ByteCount> {
    let text = fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kilobytes: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(ByteCount(kilobytes << 10))
}

fn system_descriptors() -> Option<u32> {
    let limit = getrlimit(Resource::Nofile).current?;
    Some(u32::try_from(limit).unwrap_or(u32::MAX))
}
