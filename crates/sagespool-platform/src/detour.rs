//! Calling the platform by way of another process, while the own way is closed.
//!
//! The platform may be out of reach for this instance alone, or turn it away, while it serves
//! others. A [`StoreDetour`] hands a call to one of them. It is used only where the direct call
//! surely did nothing, so what a failure means stays as strict as without it.

use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use sagespool_types::ClockTime;

use crate::counters::CallKind;
use crate::dialect::CallForm;

/// After a failure, the direct way is tried again at the earliest after this time, and only by a
/// watch: nobody's request waits for it.
const DIRECT_PAUSE: Duration = Duration::from_millis(800);

/// The platform's answer as another process got it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawAnswer {
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
}

/// The answer of a call, to come.
pub type RawFuture = Pin<Box<dyn Future<Output = Result<RawAnswer, RawFailure>> + Send>>;

/// Hands a call to another process, which may take so long over it.
pub struct StoreDetour(Box<dyn Fn(CallForm, Duration) -> RawFuture + Send + Sync>);

impl StoreDetour {
    /// A detour that is taken by calling `send`.
    pub fn new(send: impl Fn(CallForm, Duration) -> RawFuture + Send + Sync + 'static) -> Self {
        Self(Box::new(send))
    }
}

impl std::fmt::Debug for StoreDetour {
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
    detour: OnceLock<StoreDetour>,
    /// When the direct way last failed, in microseconds; 0 while it is open.
    direct_failed: AtomicU64,
}

impl StoreWays {
    /// Sets the detour, once.
    pub(crate) fn set_detour(&self, detour: StoreDetour) -> bool {
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
    }

    /// Sends a call by way of another process; nothing if there is no such way.
    pub(crate) fn detour(&self, form: CallForm, limit: Duration) -> Option<RawFuture> {
        let detour = self.shared.detour.get()?;
        Some((detour.0)(form, limit))
    }
}
