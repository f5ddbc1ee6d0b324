//! Monotonic and wall-clock time.

use std::fmt;
use std::str::FromStr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// Monotonic time of one process, in microseconds since it started.
///
/// Never sent to another process, as clocks differ. A deadline is sent as the
/// time left until it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct ClockTime(pub u64);

impl ClockTime {
    /// The process's current monotonic time. Decision code takes the time as an
    /// argument; only the outermost layer calls this.
    pub fn now() -> Self {
        use std::sync::OnceLock;
        use std::time::Instant;
        static START: OnceLock<Instant> = OnceLock::new();
        let start = START.get_or_init(Instant::now);
        Self(start.elapsed().as_micros() as u64)
    }

    /// The time `millis` milliseconds after the process start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1000)
    }

    /// The time `duration` later, saturating.
    pub fn after(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration.as_micros() as u64))
    }

    /// The time `duration` earlier, but not before the process start.
    pub fn before(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)))
    }

    /// The time elapsed since `earlier`; zero if `earlier` is later than this.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for ClockTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}

/// Wall-clock time in milliseconds since 1970, for people and logs. No decision
/// that must be correct depends on it alone.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(pub u64);

impl WallTime {
    /// The current wall-clock time; zero if the clock is before 1970.
    pub fn now() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self(since_epoch.as_millis() as u64)
    }
}

impl fmt::Display for WallTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for WallTime {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = |_| ParseError::new("a wall-clock time", text, "milliseconds since 1970");
        text.parse().map(Self).map_err(error)
    }
}
