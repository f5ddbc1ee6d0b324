//! Log levels.

use std::fmt;
use std::str::FromStr;

use sagespool_types::{ParseError, derives};
use spdlog::{Level, LevelFilter};

derives! { value;
    /// The severity of an event, and the threshold of a process's log.
    #[serde(rename_all = "kebab-case")]
    pub enum LogLevel {
        /// A failure that an operator must investigate.
        Error,
        /// A failure from which the process recovered.
        Warn,
        /// One line for each request or change.
        Info,
        /// Single steps, for debugging.
        Debug,
    }
}

impl LogLevel {
    /// All levels, the most severe first.
    pub const ALL: [Self; 4] = [Self::Error, Self::Warn, Self::Info, Self::Debug];

    /// The name of the level in settings and log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
        }
    }

    pub(crate) fn from_library(level: Level) -> Self {
        match level {
            Level::Critical | Level::Error => Self::Error,
            Level::Warn => Self::Warn,
            Level::Info => Self::Info,
            Level::Debug | Level::Trace => Self::Debug,
        }
    }

    pub(crate) fn to_library(self) -> Level {
        match self {
            Self::Error => Level::Error,
            Self::Warn => Level::Warn,
            Self::Info => Level::Info,
            Self::Debug => Level::Debug,
        }
    }

    pub(crate) fn to_filter(self) -> LevelFilter {
        LevelFilter::MoreSevereEqual(self.to_library())
    }
}

impl fmt::Display for LogLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for LogLevel {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = || ParseError::new("a log level", text, "`error`, `warn`, `info` or `debug`");
        Self::ALL.into_iter().find(|level| level.as_str() == text).ok_or_else(error)
    }
}
