//! Errors of the command line tool.

use std::error::Error;
use std::fmt;
use std::path::PathBuf;

use sagespool_types::ParseError;

/// Why a command failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommandError {
    /// Arguments are missing, or don't go together.
    Usage {
        /// What is wrong.
        message: &'static str,
        /// What to enter instead.
        help: &'static str,
    },
    /// An unknown option, or one whose value is missing or invalid.
    Options {
        /// What is wrong.
        message: String,
        /// The most similar known option.
        nearest: Option<String>,
        /// How to list the options.
        help: &'static str,
    },
    /// An invalid argument.
    Argument(ParseError),
    /// A name occurs twice.
    RepeatedName(String),
    /// A file or directory can't be read.
    Unreadable(PathBuf),
    /// A file or directory can't be written.
    Unwritable(PathBuf),
    /// A certificate can't be created from the present files.
    Certificate(String),
    /// Standard input can't be read.
    Input,
}

impl CommandError {
    /// What the operator can do about it.
    pub fn help(&self) -> &'static str {
        match self {
            Self::Usage { help, .. } | Self::Options { help, .. } => help,
            Self::Argument(error) => error.help,
            Self::RepeatedName(_) => "give each name once",
            Self::Input => "give the line as an argument",
            Self::Unreadable(_) | Self::Unwritable(_) => "check the path and its permissions",
            Self::Certificate(_) => {
                "use an empty directory, or one that holds `authority.pem` and `authority.key` of \
                 an earlier run"
            }
        }
    }

    /// The most similar known option, for an unknown one.
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
            | Self::RepeatedName(_) => crate::EXIT_USAGE,
            _ => 1,
        }
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage { message, .. } => f.write_str(message),
            Self::Options { message, .. } => f.write_str(message),
            Self::Argument(error) => write!(f, "`{}` is not {}", error.found, error.wanted),
            Self::RepeatedName(name) => write!(f, "the name `{name}` was given twice"),
            Self::Unreadable(path) => write!(f, "can't read `{}`", path.display()),
            Self::Unwritable(path) => write!(f, "can't write `{}`", path.display()),
            Self::Input => f.write_str("can't read the input"),
            Self::Certificate(detail) => write!(f, "can't make a certificate: {detail}"),
        }
    }
}

impl Error for CommandError {}
