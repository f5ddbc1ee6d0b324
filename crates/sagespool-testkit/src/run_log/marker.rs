//! Request markers, which the sender puts into its requests.

use std::fmt;
use std::str::FromStr;

use sagespool_types::{BranchName, ParseError};

const MARKER_PREFIX: &str = "mark:";
const MARKER_HELP: &str = "mark:BRANCH/NUMBER, e.g. `mark:ruwi-bids/17`";

/// Identifies the request of a run by branch and number, written as `mark:BRANCH/NUMBER`.
///
/// ```
/// use sagespool_testkit::RunMarker;
///
/// let marker = RunMarker::find("Compare mark:ruwi-bids/17 with the file.").unwrap();
/// assert_eq!(marker.to_string(), "mark:ruwi-bids/17");
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunMarker {
    /// Branch that sent the request.
    pub branch: BranchName,
    /// Number of the request within the branch.
    pub number: u64,
}

impl RunMarker {
    /// The first marker in a text.
    pub fn find(text: &str) -> Option<Self> {
        text.split(MARKER_PREFIX).skip(1).find_map(Self::read)
    }

    /// Parses a marker from the text after the prefix.
    fn read(text: &str) -> Option<Self> {
        let (branch, rest) = text.split_once('/')?;
        let branch = branch.parse().ok()?;
        let digits = rest.bytes().take_while(u8::is_ascii_digit).count();
        let number = rest[..digits].parse().ok()?;
        Some(Self { branch, number })
    }
}

impl fmt::Display for RunMarker {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{MARKER_PREFIX}{}/{}", self.branch, self.number)
    }
}

impl FromStr for RunMarker {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let fault = || ParseError::new("a marker", text, MARKER_HELP);
        let marker = Self::find(text).ok_or_else(fault)?;
        if marker.to_string() != text {
            return Err(fault());
        }
        Ok(marker)
    }
}
