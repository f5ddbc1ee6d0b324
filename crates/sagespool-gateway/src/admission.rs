//! Admission control: limits callers' connections and requests by processor, memory and file
//! descriptors.

use std::fmt;
use std::fs;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_lite::future::yield_now;
use rustix::process::{Resource, getrlimit};
use sagespool_forward::{AdmissionController, ArrivedRequest, LinkMeter};
use sagespool_settings::ResourceSettings;
use sagespool_types::{BranchName, ByteCount, ClockTime};

use crate::refusal::Refusal;

/// Memory of the process without callers: code, heap, the link to its peers, the configuration and
/// the lists that it reads.
const RESERVED_MEMORY_BYTES: u64 = 40 << 20;
/// Share of the remaining memory that is available to callers. The rest covers uncounted memory:
/// fragmentation of the allocator and the kernel's buffers of unread connections.
const CALLER_MEMORY_SHARE: f64 = 0.6;
/// File descriptors not used for callers or upstreams: files, the link, the store, the load
/// balancer.
const RESERVED_DESCRIPTORS: usize = 400;
/// Share of the remaining memory for responses that are being received, beyond what their requests
/// cover. It is apart from that of callers, who would otherwise be turned away while upstreams send
/// responses without end.
const RESPONSE_MEMORY_SHARE: f64 = 0.2;
/// Memory of an open connection: hyper's read and write buffers, its task, the kernel's part.
const CONNECTION_BYTES: u64 = 48 << 10;
/// Memory of a request in flight without its body: the connection to its upstream, and the response
/// chunks queued for the caller.
const REQUEST_BYTES: u64 = 32 << 10;
/// A body is in memory twice while its chunks are joined.
const BODY_COPIES: u64 = 2;
/// Above this share of a limit, connections close after their current response. Otherwise idle
/// connections would occupy resources that new requests need.
const KEEP_ALIVE_SHARE: f64 = 0.4;
/// Above this scheduling delay, new connections are closed unread: reading a request in order to
/// refuse it would take more CPU time than is available.
const MAX_SCHEDULING_DELAY: Duration = Duration::from_millis(120);
/// Minimum interval between log lines about connections that were closed unread.
const UNREAD_LOG_PERIOD: Duration = Duration::from_millis(200);
/// Share of the memory limit up to which connections are accepted. The rest is for further requests on
/// open connections.
const ACCEPT_MEMORY_SHARE: f64 = 0.85;
/// One in so many parts of the expected size of a request is replaced by that of each new one.
const SIZE_PARTS: u64 = 8;

/// The resource that is too scarce to admit a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ShortResource {
    /// The scheduling delay is too long.
    Processor,
    /// The wait for the link is too long.
    Link,
    /// Callers' memory is at its limit.
    Memory,
}

/// The limits of callers' resources and their current use.
pub(crate) struct ResourceLimiter {
    controller: Mutex<AdmissionController>,
    memory_limit: u64,
    response_limit: u64,
    connection_limit: usize,
    /// Bytes accounted for connections, requests and their responses.
    held: AtomicU64,
    /// Bytes accounted for responses that are being received.
    received: AtomicU64,
    connections: AtomicUsize,
    /// Exponential average of the memory of admitted requests.
    request_bytes: AtomicU64,
    unread: Mutex<UnreadCount>,
    link: Mutex<LinkMeter>,
}

/// The connections closed unread since the last log line.
#[derive(Debug, Default)]
struct UnreadCount {
    count: u64,
    logged_at: Option<ClockTime>,
}

impl ResourceLimiter {
    pub(crate) fn new(settings: ResourceSettings) -> Self {
        let memory = settings.memory.or_else(system_memory).map_or(u64::MAX, |bytes| bytes.0);
        let descriptors = settings.descriptors.or_else(system_descriptors);
        let descriptors = descriptors.map_or(usize::MAX, |count| count as usize);
        let spare = memory.saturating_sub(RESERVED_MEMORY_BYTES) as f64;
        Self {
            controller: Mutex::default(),
            memory_limit: (spare * CALLER_MEMORY_SHARE) as u64,
            response_limit: (spare * RESPONSE_MEMORY_SHARE) as u64,
            // A request may need a connection to its upstream in addition to its caller's.
            connection_limit: descriptors.saturating_sub(RESERVED_DESCRIPTORS) / 2,
            held: AtomicU64::new(0),
            received: AtomicU64::new(0),
            connections: AtomicUsize::new(0),
            request_bytes: AtomicU64::new(REQUEST_BYTES),
            unread: Mutex::default(),
            link: Mutex::new(LinkMeter::new(settings.link_mbps)),
        }
    }

    fn link(&self) -> MutexGuard<'_, LinkMeter> {
        self.link.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts bytes that are written to an upstream or a caller.
    pub(crate) fn note_written(&self, bytes: usize) {
        self.link().write(ByteCount(bytes as u64), ClockTime::now());
    }

    /// Records how long a connection to an upstream took.
    pub(crate) fn note_connect(&self, took: Duration, now: ClockTime) {
        self.link().note_connect(took, now);
    }

    fn controller(&self) -> MutexGuard<'_, AdmissionController> {
        self.controller.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The current use of the limits.
    pub(crate) fn usage(&self, now: ClockTime) -> ResourceUsage {
        let link_wait = self.link().wait(now);
        let controller = self.controller();
        ResourceUsage {
            held: ByteCount(self.held.load(Ordering::Relaxed)),
            limit: ByteCount(self.memory_limit),
            accept_limit: ByteCount(self.accept_limit()),
            connections: self.connections(),
            connection_limit: self.connection_limit,
            scheduling_delay: controller.scheduling_delay(now),
            processor_wait: controller.processor_wait(now),
            link_wait,
        }
    }

    /// The number of callers' open connections.
    pub(crate) fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Admits a caller's connection; `None` if a limit is reached.
    ///
    /// Guards against an out-of-memory kill: while requests arrive faster than they are served,
    /// each connection holds buffers and unread bytes, and the memory of a small machine is full
    /// within seconds. All requests in flight would be lost. A connection that is closed unread
    /// shows its caller that nothing has run.
    ///
    /// Room for its first request is set aside with it. Otherwise a crowd of new connections takes the
    /// memory that their requests need, and each of these is read and refused.
    pub(crate) fn open_connection(self: &Arc<Self>) -> Option<ConnectionPermit> {
        if self.controller().scheduling_delay(ClockTime::now()) > MAX_SCHEDULING_DELAY {
            return None;
        }
        let open = self.connections.load(Ordering::Relaxed);
        let memory = self.reserve_memory(CONNECTION_BYTES, self.accept_limit())?;
        let request_bytes = self.request_bytes.load(Ordering::Relaxed);
        let first_request = self.reserve_memory(request_bytes, self.accept_limit())?;
        if open >= self.connection_limit {
            return None;
        }
        self.connections.fetch_add(1, Ordering::Relaxed);
        let first_request = Mutex::new(Some(first_request));
        Some(ConnectionPermit { limiter: self.clone(), _memory: memory, first_request })
    }

    /// Counts a connection that was closed unread. Returns the count since the last log line if
    /// another line is due: one line per connection would take CPU time from admitted requests.
    pub(crate) fn note_unread(&self, now: ClockTime) -> Option<u64> {
        let mut unread = self.unread.lock().unwrap_or_else(PoisonError::into_inner);
        unread.count += 1;
        if unread.logged_at.is_some_and(|logged_at| now.since(logged_at) < UNREAD_LOG_PERIOD) {
            return None;
        }
        unread.logged_at = Some(now);
        Some(std::mem::take(&mut unread.count))
    }

    /// Whether connections are to close after their current response.
    pub(crate) fn is_nearly_full(&self) -> bool {
        self.held.load(Ordering::Relaxed) as f64 > self.memory_limit as f64 * KEEP_ALIVE_SHARE
            || self.connections() as f64 > self.connection_limit as f64 * KEEP_ALIVE_SHARE
    }

    /// Admits a request whose head has arrived. `body` is its declared length, 0 if there is none.
    ///
    /// # Errors
    /// `Refusal::Overloaded` with the resource that is short.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        request: ArrivedRequest<'_>,
        body: ByteCount,
    ) -> Result<RequestPermit, Refusal> {
        let yielded_at = ClockTime::now();
        yield_now().await;
        let now = ClockTime::now();
        let mut controller = self.controller();
        controller.note_scheduling_delay(now.since(yielded_at), now);
        if !controller.admits(request, now) {
            return Err(Refusal::Overloaded(ShortResource::Processor));
        }
        // Only the wait counts, not the time that the body itself takes.
        let link_wait = self.link().wait(now);
        if !controller.admits_link_wait(request, link_wait) {
            return Err(Refusal::Overloaded(ShortResource::Link));
        }
        let bytes = REQUEST_BYTES + body.0.saturating_mul(BODY_COPIES);
        let memory = self.reserve_memory(bytes, self.memory_limit);
        let memory = memory.ok_or(Refusal::Overloaded(ShortResource::Memory))?;
        let average = |expected: u64| Some(expected - expected / SIZE_PARTS + bytes / SIZE_PARTS);
        let _ = self.request_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, average);
        if let Some(branch) = request.branch {
            controller.begin(branch);
        }
        let branch = request.branch.cloned();
        self.link().announce(body);
        Ok(RequestPermit { limiter: self.clone(), branch, memory, announced: body })
    }

    fn accept_limit(&self) -> u64 {
        (self.memory_limit as f64 * ACCEPT_MEMORY_SHARE) as u64
    }

    fn reserve_memory(self: &Arc<Self>, bytes: u64, limit: u64) -> Option<HeldMemory> {
        self.try_add_held(bytes, limit).then(|| HeldMemory { limiter: self.clone(), bytes })
    }

    /// Adds to the held bytes; false if that would exceed the limit.
    fn try_add_held(&self, bytes: u64, limit: u64) -> bool {
        let add = |held: u64| held.checked_add(bytes).filter(|sum| *sum <= limit);
        self.held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok()
    }

    /// Accounts for bytes that are in memory already, even above the limit: a complete response is
    /// delivered, and later admissions wait until its memory is free.
    pub(crate) fn hold(self: &Arc<Self>, bytes: ByteCount) -> HeldMemory {
        self.held.fetch_add(bytes.0, Ordering::Relaxed);
        HeldMemory { limiter: self.clone(), bytes: bytes.0 }
    }
}

/// The use of callers' resources at one time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ResourceUsage {
    /// Bytes accounted for connections and requests.
    pub(crate) held: ByteCount,
    /// The limit of `held`.
    pub(crate) limit: ByteCount,
    /// The part of `limit` up to which connections are accepted.
    pub(crate) accept_limit: ByteCount,
    /// Open connections.
    pub(crate) connections: usize,
    /// The limit of `connections`.
    pub(crate) connection_limit: usize,
    /// The scheduling delay: how long a ready task waits for the processor.
    pub(crate) scheduling_delay: Duration,
    /// How long a request waits for the processor in all.
    pub(crate) processor_wait: Duration,
    /// How long a byte waits for the link.
    pub(crate) link_wait: Duration,
}

/// Bytes accounted for until this is dropped.
pub struct HeldMemory {
    limiter: Arc<ResourceLimiter>,
    bytes: u64,
}

impl fmt::Debug for HeldMemory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HeldMemory").field("bytes", &self.bytes).finish_non_exhaustive()
    }
}

impl HeldMemory {
    /// Accounts for more bytes; false if that would exceed the limit.
    fn grow(&mut self, bytes: u64, limit: u64) -> bool {
        let taken = self.limiter.try_add_held(bytes, limit);
        if taken {
            self.bytes += bytes;
        }
        taken
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.limiter.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Memory of a response that is being received, accounted for until this is dropped.
pub(crate) struct ReceivedMemory {
    limiter: Arc<ResourceLimiter>,
    bytes: u64,
}

impl ReceivedMemory {
    pub(crate) fn new(limiter: &Arc<ResourceLimiter>) -> Self {
        Self { limiter: limiter.clone(), bytes: 0 }
    }

    /// Accounts for the buffered bytes beyond those that the request covers; false if that would
    /// exceed the limit of all responses.
    pub(crate) fn cover(&mut self, buffered: ByteCount) -> bool {
        let missing = buffered.0.saturating_sub(REQUEST_BYTES + self.bytes);
        let limit = self.limiter.response_limit;
        let add = |received: u64| received.checked_add(missing).filter(|sum| *sum <= limit);
        let taken =
            self.limiter.received.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok();
        if taken {
            self.bytes += missing;
        }
        taken
    }
}

impl Drop for ReceivedMemory {
    fn drop(&mut self) {
        self.limiter.received.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// The permit of a caller's open connection.
pub(crate) struct ConnectionPermit {
    limiter: Arc<ResourceLimiter>,
    _memory: HeldMemory,
    /// Room for its first request, until that arrives.
    first_request: Mutex<Option<HeldMemory>>,
}

impl ConnectionPermit {
    /// Frees the room that is set aside for the first request, which is about to be admitted.
    pub(crate) fn begin_request(&self) {
        let mut first_request = self.first_request.lock().unwrap_or_else(PoisonError::into_inner);
        drop(first_request.take());
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.limiter.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The permit of an admitted request, released on drop.
pub(crate) struct RequestPermit {
    limiter: Arc<ResourceLimiter>,
    branch: Option<BranchName>,
    memory: HeldMemory,
    /// Bytes of the body that were announced and not read yet.
    announced: ByteCount,
}

impl RequestPermit {
    /// Ends the wait for the body, which was read.
    pub(crate) fn end_body(&mut self) {
        self.limiter.link().settle(std::mem::replace(&mut self.announced, ByteCount::ZERO));
    }

    /// Accounts for bytes of a body without a declared length.
    ///
    /// # Errors
    /// If the memory limit is reached. The request hasn't been sent to an upstream yet.
    pub(crate) fn count_body(&mut self, bytes: usize) -> Result<(), Refusal> {
        let bytes = (bytes as u64).saturating_mul(BODY_COPIES);
        match self.memory.grow(bytes, self.limiter.memory_limit) {
            true => Ok(()),
            false => Err(Refusal::Overloaded(ShortResource::Memory)),
        }
    }
}

impl Drop for RequestPermit {
    fn drop(&mut self) {
        self.end_body();
        if let Some(branch) = &self.branch {
            self.limiter.controller().end(branch);
        }
    }
}

/// The machine's total memory according to the kernel.
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
