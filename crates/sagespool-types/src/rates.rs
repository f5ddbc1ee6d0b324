//! Fractional rates.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::ParseError;

/// Requests per second that an upstream accepts; finite and not negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct SendRate(f64);

impl SendRate {
    /// `None` if the number is negative or not finite.
    pub fn new(per_second: f64) -> Option<Self> {
        // -0.0 passes the comparison, and its reciprocal would be negative infinity.
        (per_second.is_finite() && per_second >= 0.0).then(|| Self(per_second.abs()))
    }

    /// The rate in requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// The time between two requests at this rate, at most `max`; `max` if the rate is zero.
    pub fn interval(self, max: Duration) -> Duration {
        let seconds = (1.0 / self.0).min(max.as_secs_f64());
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
        number.ok_or_else(|| ParseError::new("a rate", text, "a number of requests per second"))
    }
}
