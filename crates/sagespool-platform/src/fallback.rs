//! Calls to the platform through another process, while direct calls fail.
//!
//! The platform may be unreachable for this instance alone, or reject its calls, while it serves
//! others. A [`StoreFallback`] sends a call through one of them. It is used only where the direct call
//! is known to have had no effect, so each error means the same as without a fallback.

use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use sagespool_types::ClockTime;

use crate::counters::CallKind;
use crate::dialect::RawRequest;

/// The time from a failure of the direct connection to the next direct attempt. While the fallback works,
/// only a watch makes it, since no request waits for it.
const DIRECT_RETRY_DELAY: Duration = Duration::from_millis(800);
/// Consecutive failures of direct call and fallback that start the backoff. A single one may be the
/// failure of one process only.
const FAILURES_BEFORE_BACKOFF: u32 = 2;
/// The first backoff after direct call and fallback both failed; doubled with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(150);
const MAX_BACKOFF: Duration = Duration::from_millis(1000);
const MAX_DOUBLINGS: u32 = 8;

/// A response of the platform, not decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawResponse {
    /// The HTTP status.
    pub status: u16,
    /// The body; `None` if it was cut off.
    pub body: Option<Vec<u8>>,
}

impl RawResponse {
    /// Whether the platform rejected the call, which had no effect.
    pub fn is_rejected(&self) -> bool {
        is_rejection(self.status)
    }
}

/// Whether a status says that the platform rejected a call, which had no effect.
pub(crate) fn is_rejection(status: u16) -> bool {
    matches!(status, 429 | 503)
}

/// Why a call made by another process has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RawFailure {
    /// The call did not reach the platform.
    NotSent,
    /// The reply of the other process was lost; the call may have reached the platform.
    Lost,
    /// The other process sent the call and reports that it got no response from the platform.
    Unanswered,
}

/// The future of a call made by another process.
pub type RawResponseFuture = Pin<Box<dyn Future<Output = Result<RawResponse, RawFailure>> + Send>>;

/// A call to make through another process.
#[derive(Debug)]
pub struct FallbackCall {
    /// The request.
    pub request: RawRequest,
    /// How long the platform may hold it.
    pub wait: Duration,
    /// The timeout of the call, the wait included.
    pub timeout: Duration,
}

/// Sends calls through another process.
pub struct StoreFallback(Box<dyn Fn(FallbackCall) -> RawResponseFuture + Send + Sync>);

impl StoreFallback {
    /// Creates a fallback that sends each call with `send`.
    pub fn new(send: impl Fn(FallbackCall) -> RawResponseFuture + Send + Sync + 'static) -> Self {
        Self(Box::new(send))
    }
}

impl std::fmt::Debug for StoreFallback {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("StoreDetour").finish_non_exhaustive()
    }
}

/// Circuit breakers of the direct connection and of the store as a whole, and the fallback.
#[derive(Debug, Clone, Default)]
pub(crate) struct StoreAccess {
    shared: Arc<AccessState>,
}

#[derive(Debug, Default)]
struct AccessState {
    fallback: OnceLock<StoreFallback>,
    /// When the direct connection last failed, in microseconds; 0 while it works.
    direct_failed_at: AtomicU64,
    /// When direct connection and fallback last failed together, in microseconds; 0 while one works.
    failed_at: AtomicU64,
    /// Consecutive failures of both.
    failures: AtomicU32,
    /// Whether the last call through the fallback had no response but a rejection.
    fallback_failed: AtomicBool,
}

impl StoreAccess {
    /// Sets the fallback. False if there is one already.
    pub(crate) fn set_fallback(&self, fallback: StoreFallback) -> bool {
        self.shared.fallback.set(fallback).is_ok()
    }

    /// Whether a call may be sent directly: always without a fallback, else while the direct
    /// connection works or is due to be tried again.
    ///
    /// Guards against a starting process that waits for its peers for good: it has no watch before its
    /// first listing.
    pub(crate) fn allows_direct(&self, kind: CallKind, now: ClockTime) -> bool {
        let failed_at = self.shared.direct_failed_at.load(Ordering::Relaxed);
        if failed_at == 0 || self.shared.fallback.get().is_none() {
            return true;
        }
        let tries_again =
            kind == CallKind::Watch || self.shared.fallback_failed.load(Ordering::Relaxed);
        tries_again && now.since(ClockTime(failed_at)) >= DIRECT_RETRY_DELAY
    }

    /// Records how a call through the fallback ended.
    pub(crate) fn note_fallback(&self, relayed: &Result<RawResponse, RawFailure>) {
        let has_failed = !matches!(relayed, Ok(response) if !response.is_rejected());
        self.shared.fallback_failed.store(has_failed, Ordering::Relaxed);
    }

    pub(crate) fn note_direct_failure(&self, now: ClockTime) {
        self.shared.direct_failed_at.store(now.0.max(1), Ordering::Relaxed);
    }

    pub(crate) fn note_direct_success(&self) {
        self.shared.direct_failed_at.store(0, Ordering::Relaxed);
        self.note_success();
    }

    /// Whether calls fail at once, since neither this process nor its peers got a response.
    ///
    /// Guards against a load multiplied by the fallback while the store is down for the whole fleet:
    /// every process would try each call itself and at several peers, all in vain. Watches keep
    /// trying directly, and a success ends the backoff.
    pub(crate) fn is_backing_off(&self, now: ClockTime) -> bool {
        let failed_at = self.shared.failed_at.load(Ordering::Relaxed);
        let failures = self.shared.failures.load(Ordering::Relaxed);
        let Some(doublings) = failures.checked_sub(FAILURES_BEFORE_BACKOFF) else {
            return false;
        };
        let backoff = MIN_BACKOFF * 2u32.saturating_pow(doublings.min(MAX_DOUBLINGS));
        failed_at != 0 && now.since(ClockTime(failed_at)) < backoff.min(MAX_BACKOFF)
    }

    /// Records that direct connection and fallback both failed.
    pub(crate) fn note_failure(&self, now: ClockTime) {
        self.shared.failed_at.store(now.0.max(1), Ordering::Relaxed);
        self.shared.failures.fetch_add(1, Ordering::Relaxed);
    }

    /// Records a response of the platform, received by this process or by a peer.
    pub(crate) fn note_success(&self) {
        self.shared.failed_at.store(0, Ordering::Relaxed);
        self.shared.failures.store(0, Ordering::Relaxed);
    }

    /// Sends a call through another process; `None` without a fallback.
    pub(crate) fn call_fallback(&self, call: FallbackCall) -> Option<RawResponseFuture> {
        let fallback = self.shared.fallback.get()?;
        Some((fallback.0)(call))
    }
}
