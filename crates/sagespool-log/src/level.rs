//! How much a process logs.

use std::fmt;
use std::str::FromStr;

use sagespool_types::{ParseError, derives};
use spdlog::{Level, LevelFilter};

derives! { value;
    /// The importance of an event, and the least that a process logs.
    #[serde(rename_all = "kebab-case")]
    pub enum LogLevel {
        /// Something that an operator must look into.
        Error,
        /// Something that went wrong and was made up for.
        Warn,
        /// What happened, one line for each request or change.
        Info,
        /// Each step, for looking into a fault.
        Debug,
    }
}

impl LogLevel {
    /// Every level, the most important first.
    pub const ALL: [Self; 4] = [Self::Error, Self::Warn, Self::Info, Self::Debug];

    /// The level as settings and log lines write it.
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
        let fault = || ParseError::new("a log level", text, "`error`, `warn`, `info` or `debug`");
        Self::ALL.into_iter().find(|level| level.as_str() == text).ok_or_else(fault)
    }
}
