//! Why a command couldn't do its work.

use std::error::Error;
use std::fmt;
use std::path::PathBuf;

use sagespool_types::ParseError;

/// Why a command couldn't do its work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommandError {
    /// The command's arguments don't go together.
    Usage {
        /// What is wrong with them.
        message: &'static str,
        /// What to give instead.
        help: &'static str,
    },
    /// An option that there isn't, or one whose value is missing or wrong.
    Options {
        /// What is wrong.
        message: String,
        /// The option that may have been meant.
        nearest: Option<String>,
        /// Where the options are listed.
        help: &'static str,
    },
    /// One of the arguments is not what it should be.
    Argument(ParseError),
    /// A name was given twice.
    RepeatedName(String),
    /// A file or directory can't be read.
    Unreadable(PathBuf),
    /// A file or directory can't be written.
    Unwritable(PathBuf),
    /// A certificate can't be made from what is there.
    Certificate(String),
    /// The operator's input can't be read.
    Input,
}

impl CommandError {
    /// What a person can do about it.
    pub fn help(&self) -> &'static str {
        match self {
            Self::Usage { help, .. } | Self::Options { help, .. } => help,
            Self::Argument(fault) => fault.help,
            Self::RepeatedName(_) => "give each name once",
            Self::Input => "give the line as an argument",
            Self::Unreadable(_) | Self::Unwritable(_) => "check the path and its permissions",
            Self::Certificate(_) => {
                "use an empty directory, or one that holds `authority.pem` and `authority.key` of \
                 an earlier run"
            }
        }
    }

    /// What may have been meant.
    pub fn nearest(&self) -> Option<&str> {
        match self {
            Self::Options { nearest, .. } => nearest.as_deref(),
            _ => None,
        }
    }

    /// The exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage { .. }
            | Self::Options { .. }
            | Self::Argument(_)
            | Self::RepeatedName(_) => crate::USAGE_FAULT,
            _ => 1,
        }
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage { message, .. } => f.write_str(message),
            Self::Options { message, .. } => f.write_str(message),
            Self::Argument(fault) => write!(f, "`{}` is not {}", fault.found, fault.wanted),
            Self::RepeatedName(name) => write!(f, "the name `{name}` was given twice"),
            Self::Unreadable(path) => write!(f, "can't read `{}`", path.display()),
            Self::Unwritable(path) => write!(f, "can't write `{}`", path.display()),
            Self::Input => f.write_str("can't read the input"),
            Self::Certificate(detail) => write!(f, "can't make a certificate: {detail}"),
        }
    }
}

impl Error for CommandError {}
