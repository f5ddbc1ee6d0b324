//! Edits of the configuration, as changes of its objects.

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
    /// One edit.
    #[serde(rename_all = "kebab-case")]
    pub enum ConfigEdit {
        /// Of a branch.
        Branch {
            /// The branch.
            branch: BranchName,
            /// What changes.
            change: BranchChange,
        },
        /// Of a class.
        Class {
            /// The class.
            class: ClassName,
            /// What changes.
            change: ClassChange,
        },
        /// Of a service.
        Service {
            /// The service.
            service: ServiceName,
            /// What changes.
            change: ServiceChange,
        },
    }
}

impl ConfigEdit {
    /// The key of the store's object that it changes.
    pub fn object_key(&self) -> String {
        match self {
            Self::Branch { branch, .. } => branch_object_key(branch_shard(branch)),
            Self::Class { .. } | Self::Service { .. } => FLEET_OBJECT_KEY.to_owned(),
        }
    }

    /// Where in its object the fields are that it is about, as the beginning of their path.
    pub fn place(&self) -> String {
        match self {
            Self::Branch { branch, .. } => format!("branches.{branch}"),
            Self::Class { class, .. } => format!("classes.{class}"),
            Self::Service { service, .. } => format!("services.{service}"),
        }
    }
}

derives! { record;
    /// What changes of a branch.
    #[serde(rename_all = "kebab-case")]
    pub enum BranchChange {
        /// It is new.
        Create(BranchConfig),
        /// Its weight.
        Weight(u32),
        /// One of its limits.
        Limit(LimitChange),
        /// What is held back for a class; 0 for nothing.
        HoldBack(ClassHoldback),
        /// Which of its calls may never run twice.
        Declare {
            /// The calls.
            rule: BranchRule,
            /// True if they may never run twice.
            declared: bool,
        },
        /// One more key.
        AddKey(SecretHash),
        /// One key less.
        RevokeKey(HashPrefix),
    }
}

derives! { record;
    /// What changes of a class.
    #[serde(rename_all = "kebab-case")]
    pub enum ClassChange {
        /// Its priority; lower goes first.
        Priority(u8),
        /// One of its limits.
        Limit(LimitChange),
    }
}

derives! { record;
    /// What changes of a service.
    #[serde(rename_all = "kebab-case")]
    pub enum ServiceChange {
        /// One of the limits of each of its upstreams.
        Limit(LimitChange),
        /// Which of its calls may never run twice.
        Declare {
            /// The calls.
            route: RouteRule,
            /// True if they may never run twice.
            declared: bool,
        },
    }
}

derives! { value;
    /// A kind of limit.
    #[serde(rename_all = "kebab-case")]
    pub enum LimitKind {
        /// Requests at once.
        Running,
        /// Requests a second.
        Rate,
    }
}

derives! { value;
    /// A limit and its new value; nothing for none.
    pub struct LimitChange {
        /// Which.
        pub kind: LimitKind,
        /// The limit.
        pub limit: Option<u32>,
    }
}

impl LimitChange {
    /// Makes the change.
    pub(crate) fn apply(self, limits: &mut LimitConfig) {
        match self.kind {
            LimitKind::Running => limits.running = self.limit,
            LimitKind::Rate => limits.requests_per_second = self.limit,
        }
    }
}

derives! { record;
    /// A key's hash, or its beginning.
    #[derive(Eq)]
    #[serde(try_from = "String", into = "String")]
    pub struct HashPrefix(String);
}

/// Fewer digits would name another branch's key by mistake too easily.
const FEWEST_DIGITS: usize = 8;
const ALL_DIGITS: usize = 64;

impl HashPrefix {
    /// Whether a hash begins so.
    pub fn fits(&self, hash: &SecretHash) -> bool {
        hash.as_str().starts_with(&self.0)
    }
}

impl FromStr for HashPrefix {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let is_digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        if !(FEWEST_DIGITS..=ALL_DIGITS).contains(&text.len()) || !text.chars().all(is_digit) {
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

/// The edit as a line would say it.
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
