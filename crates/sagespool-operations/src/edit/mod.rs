//! Edits of the configuration objects.

mod apply;
mod branch;
mod change;
mod fleet;

pub use apply::{EditError, EditedObject};
pub use change::{FieldChange, changes_between};

use std::fmt;
use std::str::FromStr;

use sagespool_settings::{
    BranchConfig, BranchRule, ClassHoldback, FLEET_OBJECT_KEY, LimitConfig, RouteRule,
    branch_object_key, branch_shard,
};
use sagespool_types::{BranchName, ClassName, ParseError, SecretHash, ServiceName, derives};

derives! { record;
    /// One edit of the configuration.
    #[serde(rename_all = "kebab-case")]
    pub enum ConfigEdit {
        /// An edit of a branch.
        Branch {
            /// The branch.
            branch: BranchName,
            /// The change.
            change: BranchChange,
        },
        /// An edit of a class.
        Class {
            /// The class.
            class: ClassName,
            /// The change.
            change: ClassChange,
        },
        /// An edit of a service.
        Service {
            /// The service.
            service: ServiceName,
            /// The change.
            change: ServiceChange,
        },
    }
}

impl ConfigEdit {
    /// The store key of the object that it changes.
    pub fn object_key(&self) -> String {
        match self {
            Self::Branch { branch, .. } => branch_object_key(branch_shard(branch)),
            Self::Class { .. } | Self::Service { .. } => FLEET_OBJECT_KEY.to_owned(),
        }
    }

    /// The path in the object below which the edited fields are.
    pub fn place(&self) -> String {
        match self {
            Self::Branch { branch, .. } => format!("branches.{branch}"),
            Self::Class { class, .. } => format!("classes.{class}"),
            Self::Service { service, .. } => format!("services.{service}"),
        }
    }
}

derives! { record;
    /// A change of a branch.
    #[serde(rename_all = "kebab-case")]
    pub enum BranchChange {
        /// Create the branch.
        Create(BranchConfig),
        /// Set its weight.
        Weight(u32),
        /// Set one of its limits.
        Limit(LimitChange),
        /// Set the tokens that are held back for a class; 0 removes the holdback.
        HoldBack(ClassHoldback),
        /// Declare calls of the branch non-idempotent, or withdraw the declaration.
        Declare {
            /// The calls.
            rule: BranchRule,
            /// True if the calls must never run twice.
            declared: bool,
        },
        /// Add a key.
        AddKey(SecretHash),
        /// Remove the key whose hash has this prefix.
        RevokeKey(HashPrefix),
    }
}

derives! { record;
    /// A change of a class.
    #[serde(rename_all = "kebab-case")]
    pub enum ClassChange {
        /// Set its priority; lower values go first.
        Priority(u8),
        /// Set one of its limits.
        Limit(LimitChange),
    }
}

derives! { record;
    /// A change of a service.
    #[serde(rename_all = "kebab-case")]
    pub enum ServiceChange {
        /// Set a limit that applies to each of its upstreams.
        Limit(LimitChange),
        /// Declare calls of the service non-idempotent, or withdraw the declaration.
        Declare {
            /// The calls.
            route: RouteRule,
            /// True if the calls must never run twice.
            declared: bool,
        },
    }
}

derives! { value;
    /// A kind of limit.
    #[serde(rename_all = "kebab-case")]
    pub enum LimitKind {
        /// Concurrent requests.
        Running,
        /// Requests per second.
        Rate,
    }
}

derives! { value;
    /// A new value of a limit.
    pub struct LimitChange {
        /// The kind of limit.
        pub kind: LimitKind,
        /// The new value; `None` removes the limit.
        pub limit: Option<u32>,
    }
}

impl LimitChange {
    /// Sets the limit.
    pub(crate) fn apply(self, limits: &mut LimitConfig) {
        match self.kind {
            LimitKind::Running => limits.running = self.limit,
            LimitKind::Rate => limits.requests_per_second = self.limit,
        }
    }
}

derives! { record;
    /// The hash of a key, or a prefix of it: 8 to 64 lower-case hexadecimal digits.
    #[derive(Eq)]
    #[serde(try_from = "String", into = "String")]
    pub struct HashPrefix(String);
}

/// A shorter prefix of another branch's key, given by mistake, would match too easily.
const MIN_HASH_DIGITS: usize = 8;
const MAX_HASH_DIGITS: usize = 64;

impl HashPrefix {
    /// True if the hash has this prefix.
    pub fn matches(&self, hash: &SecretHash) -> bool {
        hash.as_str().starts_with(&self.0)
    }
}

impl FromStr for HashPrefix {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let is_digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        if !(MIN_HASH_DIGITS..=MAX_HASH_DIGITS).contains(&text.len()) || !text.chars().all(is_digit)
        {
            let help = "8 to 64 lower-case hexadecimal digits";
            return Err(ParseError::new("a key hash or its beginning", text, help));
        }
        Ok(Self(text.to_owned()))
    }
}

impl fmt::Display for HashPrefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

sagespool_types::string_conversions!(HashPrefix);

/// The edit in the syntax of a command line.
impl fmt::Display for ConfigEdit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Branch { branch, change } => branch::write_change(f, branch, change),
            Self::Class { class, change: ClassChange::Priority(priority) } => {
                write!(f, "set class {class} priority {priority}")
            }
            Self::Class { class, change: ClassChange::Limit(change) } => {
                write!(f, "set class {class} {change}")
            }
            Self::Service { service, change: ServiceChange::Limit(change) } => {
                write!(f, "set service {service} {change}")
            }
            Self::Service { service, change: ServiceChange::Declare { route, declared } } => {
                write_declaration(f, service, route, *declared)
            }
        }
    }
}

impl fmt::Display for LimitChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            LimitKind::Running => "running",
            LimitKind::Rate => "rate",
        };
        match self.limit {
            Some(limit) => write!(f, "limit {kind} {limit}"),
            None => write!(f, "limit {kind} none"),
        }
    }
}

fn write_declaration(
    f: &mut fmt::Formatter<'_>,
    service: &ServiceName,
    route: &RouteRule,
    declared: bool,
) -> fmt::Result {
    let verb = if declared { "non-idempotent" } else { "idempotent" };
    let method = route.method.as_deref().unwrap_or("any");
    write!(f, "{verb} {service} {method} {}", route.path_prefix)
}
