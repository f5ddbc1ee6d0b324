//! Rates that may be fractions.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::ParseError;

/// Requests a second that an upstream takes: finite and not negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct SendRate(f64);

impl SendRate {
    /// A rate; nothing if the number is negative or not finite.
    pub fn new(per_second: f64) -> Option<Self> {
        // Negative zero would pass the comparison and divide to negative infinity.
        (per_second.is_finite() && per_second >= 0.0).then(|| Self(per_second.abs()))
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// The time between two requests at this rate, at most `longest`.
    pub fn interval(self, longest: Duration) -> Duration {
        let seconds = (1.0 / self.0).min(longest.as_secs_f64());
        Duration::from_secs_f64(seconds)
    }
}

impl fmt::Display for SendRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for SendRate {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let number = text.trim().parse().ok().and_then(Self::new);
        number.ok_or_else(|| ParseError::new("a rate", text, "a number of requests a second"))
    }
}
