//! Calling the platform by way of another process, while the own way is closed.
//!
//! The platform may be out of reach for this instance alone, or turn it away, while it serves
//! others. A [`StoreFallback`] hands a call to one of them. It is used only where the direct call
//! surely did nothing, so what a failure means stays as strict as without it.

use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use sagespool_types::ClockTime;

use crate::counters::CallKind;
use crate::dialect::RawRequest;

/// After a failure, the direct way is tried again at the earliest after this time, and only by a
/// watch: nobody's request waits for it.
const DIRECT_PAUSE: Duration = Duration::from_millis(800);
/// The first failure of all ways closes none: it may be a single one's.
const FAILURES_TO_CLOSE: u32 = 2;
/// After all ways failed, nothing is tried for so long; twice as long after each further time.
const ALL_PAUSE: Duration = Duration::from_millis(150);
const LONGEST_ALL_PAUSE: Duration = Duration::from_millis(1000);
const MOST_DOUBLINGS: u32 = 8;

/// The platform's answer as another process got it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawResponse {
    /// The status.
    pub status: u16,
    /// The body; nothing if it broke off.
    pub body: Option<Vec<u8>>,
}

/// Why there is no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RawFailure {
    /// The call surely didn't reach the platform.
    NotSent,
    /// It may have.
    Lost,
    /// It may have, and a process that was asked says that the platform gave it no answer.
    Unanswered,
}

/// The answer of a call, to come.
pub type RawResponseFuture = Pin<Box<dyn Future<Output = Result<RawResponse, RawFailure>> + Send>>;

/// Hands a call to another process, which may take so long over it.
pub struct StoreFallback(Box<dyn Fn(RawRequest, Duration) -> RawResponseFuture + Send + Sync>);

impl StoreFallback {
    /// A detour that is taken by calling `send`.
    pub fn new(
        send: impl Fn(RawRequest, Duration) -> RawResponseFuture + Send + Sync + 'static,
    ) -> Self {
        Self(Box::new(send))
    }
}

impl std::fmt::Debug for StoreFallback {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("StoreDetour").finish_non_exhaustive()
    }
}

/// The ways to the platform, and how the direct one fares.
#[derive(Debug, Clone, Default)]
pub(crate) struct StoreWays {
    shared: Arc<SharedWays>,
}

#[derive(Debug, Default)]
struct SharedWays {
    detour: OnceLock<StoreFallback>,
    /// When the direct way last failed, in microseconds; 0 while it is open.
    direct_failed: AtomicU64,
    /// When the direct way and the detour last failed together, in microseconds; 0 while one works.
    all_failed: AtomicU64,
    /// How often they did so in a row.
    failures: AtomicU32,
}

impl StoreWays {
    /// Sets the detour, once.
    pub(crate) fn set_fallback(&self, detour: StoreFallback) -> bool {
        self.shared.detour.set(detour).is_ok()
    }

    /// Whether a call goes the direct way.
    pub(crate) fn is_direct(&self, kind: CallKind, now: ClockTime) -> bool {
        let failed = self.shared.direct_failed.load(Ordering::Relaxed);
        if failed == 0 || self.shared.detour.get().is_none() {
            return true;
        }
        kind == CallKind::Watch && now.since(ClockTime(failed)) >= DIRECT_PAUSE
    }

    pub(crate) fn direct_failed(&self, now: ClockTime) {
        self.shared.direct_failed.store(now.0.max(1), Ordering::Relaxed);
    }

    pub(crate) fn direct_works(&self) {
        self.shared.direct_failed.store(0, Ordering::Relaxed);
        self.some_way_works();
    }

    /// Whether no way is open: neither this process nor those that it asked got an answer.
    ///
    /// Guards against a store that is down for everybody: each call would be tried here and at
    /// several others, all of them turned away, by every process of the fleet. What can't be done
    /// is told at once instead. A watch goes on trying the direct way, and opens it again.
    pub(crate) fn all_closed(&self, now: ClockTime) -> bool {
        let failed = self.shared.all_failed.load(Ordering::Relaxed);
        let failures = self.shared.failures.load(Ordering::Relaxed);
        let Some(doublings) = failures.checked_sub(FAILURES_TO_CLOSE) else {
            return false;
        };
        let pause = ALL_PAUSE * 2u32.saturating_pow(doublings.min(MOST_DOUBLINGS));
        failed != 0 && now.since(ClockTime(failed)) < pause.min(LONGEST_ALL_PAUSE)
    }

    pub(crate) fn all_failed(&self, now: ClockTime) {
        self.shared.all_failed.store(now.0.max(1), Ordering::Relaxed);
        self.shared.failures.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn some_way_works(&self) {
        self.shared.all_failed.store(0, Ordering::Relaxed);
        self.shared.failures.store(0, Ordering::Relaxed);
    }

    /// Sends a call by way of another process; nothing if there is no such way.
    pub(crate) fn detour(&self, form: RawRequest, limit: Duration) -> Option<RawResponseFuture> {
        let detour = self.shared.detour.get()?;
        Some((detour.0)(form, limit))
    }
}
