//! Times and limits of rotation.

use std::time::Duration;

use sagespool_types::LoadPressure;

/// Slots that a gateway in rotation may promise.
pub const COVER_SLOTS: u32 = 4;
/// Slots that a gateway needs to be out. One more than a gateway has to give, so that the gateways that are
/// out are always fewer than those that stay in.
pub const NEEDED_SLOTS: u32 = COVER_SLOTS + 1;

/// A gateway promises cover below this pressure: it has to take a part of the leaver's callers.
pub(crate) const COMFORT: LoadPressure = LoadPressure(500);
/// Promises are renewed so often within a lease.
pub(crate) const RENEWALS_PER_LEASE: u32 = 3;
/// A round of questions that takes longer is given up: the pressure it answers is old.
pub(crate) const ROUND_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause after a round that found no cover.
pub(crate) const ROUND_PAUSE: Duration = Duration::from_millis(1000);
/// Neighbours asked in one round.
pub(crate) const MAX_ASKED: usize = 5;
/// The time over which a gateway's share of time out of rotation is taken.
pub(crate) const SHARE_WINDOW: Duration = Duration::from_secs(24);
/// Above this share of the window a gateway gives way to others that wait for cover, in thousandths.
pub(crate) const FAIR_SHARE: u32 = 125;
/// How long a gateway that was denied a slot counts as waiting for one.
pub(crate) const WAITING_TIME: Duration = Duration::from_secs(2);
/// Pressed again within this time after its return, a gateway holds longer.
pub(crate) const RELAPSE_TIME: Duration = Duration::from_secs(10);
/// The longest hold as a multiple of the first one.
pub(crate) const MAX_HOLD_FACTOR: u32 = 4;

/// The times of rotation that settings name.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RotationPolicy {
    /// How long a promise of cover stands without renewal.
    pub lease: Duration,
    /// How long a gateway stays out at least, unless its cover ends. It must exceed the time that the load
    /// balancer takes to notice.
    pub hold: Duration,
}
