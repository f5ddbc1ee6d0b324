//! The present time, as decisions take it.

use std::fmt;
use std::str::FromStr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// Monotonic time of one process, in microseconds since it started.
///
/// Never sent to another process: clocks differ, so deadlines travel as the
/// time that is left.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct ClockTime(pub u64);

impl ClockTime {
    /// The process's monotonic time now. Decisions take it as an argument;
    /// only the outermost layer calls this.
    pub fn now() -> Self {
        use std::sync::OnceLock;
        use std::time::Instant;
        static START: OnceLock<Instant> = OnceLock::new();
        let start = START.get_or_init(Instant::now);
        Self(start.elapsed().as_micros() as u64)
    }

    /// So many milliseconds after the start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1000)
    }

    /// This time and a duration later.
    pub fn after(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration.as_micros() as u64))
    }

    /// This time and a duration earlier; the start where that is before it.
    pub fn before(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)))
    }

    /// How long ago an earlier time was; zero where it is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for ClockTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}

/// Wall-clock time in milliseconds since 1970, for people and logs only:
/// no decision that must hold rests on it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(pub u64);

impl WallTime {
    /// The wall clock now.
    pub fn now() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self(since.as_millis() as u64)
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
        let fault = |_| ParseError::new("a wall-clock time", text, "milliseconds since 1970");
        text.parse().map(Self).map_err(fault)
    }
}
