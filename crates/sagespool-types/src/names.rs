//! Names that operators give: branches, services, instances and the like.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ParseError;

const LONGEST_NAME: usize = 64;
const NAME_HELP: &str = "1 to 64 characters: lower-case letters, digits, `-`, `_`, `.`, starting with a letter or digit";

fn is_name(text: &str) -> bool {
    let first_fits =
        text.chars().next().is_some_and(|c| c.is_ascii_lowercase() || c.is_ascii_digit());
    let rest_fits =
        text.chars().all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c));
    first_fits && rest_fits && text.len() <= LONGEST_NAME
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident, $wanted:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                if !is_name(text) {
                    return Err(ParseError::new($wanted, text, NAME_HELP));
                }
                Ok(Self(text.into()))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        crate::string_conversions!($name);
    )*};
}

names! {
    /// A branch: a client account with its own prepaid budget.
    BranchName, "a branch name";
    /// A data centre.
    CentreName, "a data centre name";
    /// A class of requests, for example `lookup` or `batch`.
    ClassName, "a class name";
    /// An instance of the fleet, as the instance list names it.
    InstanceName, "an instance name";
    /// A model that engines serve.
    ModelName, "a model name";
    /// A region: data centres that reach each other in about a millisecond.
    RegionName, "a region name";
    /// A service: a set of upstreams that serve the same requests.
    ServiceName, "a service name";
    /// One upstream instance, an engine or a plain service's process.
    UpstreamName, "an upstream name";
}
