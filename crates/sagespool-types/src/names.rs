//! Names of branches, services, instances and other objects, as operators assign them.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ParseError;

const MAX_NAME_BYTES: usize = 64;
const NAME_FORMAT: &str = "1 to 64 characters: lower-case letters, digits, `-`, `_`, `.`, starting with a letter or digit";

fn is_name(text: &str) -> bool {
    let has_valid_first =
        text.chars().next().is_some_and(|c| c.is_ascii_lowercase() || c.is_ascii_digit());
    let has_valid_characters =
        text.chars().all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c));
    has_valid_first && has_valid_characters && text.len() <= MAX_NAME_BYTES
}

macro_rules! name_newtypes {
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
                    return Err(ParseError::new($wanted, text, NAME_FORMAT));
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

name_newtypes! {
    /// A branch, which is a client account with its own prepaid budget.
    BranchName, "a branch name";
    /// A data centre.
    CentreName, "a data centre name";
    /// A class of requests, for example `lookup` or `batch`.
    ClassName, "a class name";
    /// An instance of the fleet, as in the instance list.
    InstanceName, "an instance name";
    /// A model that engines serve.
    ModelName, "a model name";
    /// A region: data centres with a latency of about a millisecond between them.
    RegionName, "a region name";
    /// A service: a set of equivalent upstreams.
    ServiceName, "a service name";
    /// One upstream: an engine or a process of a plain service.
    UpstreamName, "an upstream name";
}
