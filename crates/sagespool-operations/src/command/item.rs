//! A command and its items.

use std::fmt;

use sagespool_messages::EngineOrder;
use sagespool_types::{
    BranchName, CommandId, ConfigVersion, ContentDigest, GrantId, InstanceName, ParseError,
    TokenCount, UpstreamName, derives,
};

use crate::ConfigEdit;

derives! { record;
    /// Items that are executed in order, each with its own outcome.
    pub struct OperatorCommand {
        /// The items.
        pub items: Vec<CommandItem>,
        /// The configuration version that the operator saw: an edit is made only if the fields that
        /// it changes have not changed since. `None` for no condition.
        pub seen: Option<ConfigVersion>,
    }
}

derives! { record;
    /// One action of a command.
    #[serde(rename_all = "kebab-case")]
    pub enum CommandItem {
        /// Add prepaid tokens.
        TopUp {
            /// The branch.
            branch: BranchName,
            /// The amount to add.
            tokens: TokenCount,
        },
        /// Edit the configuration.
        Edit(ConfigEdit),
        /// Drain an upstream, or end its drain.
        Drain {
            /// The upstream, or the instance of its sidecar.
            name: TargetName,
            /// True to drain, false to end the drain.
            on: bool,
        },
        /// Stop a process gracefully.
        Stop {
            /// The process's instance.
            instance: InstanceName,
        },
        /// Send an order to an engine.
        Order {
            /// The engine.
            upstream: UpstreamName,
            /// The order.
            order: EngineOrder,
        },
        /// Release the tokens in doubt under a grant.
        Release {
            /// The branch.
            branch: BranchName,
            /// The grant.
            grant: GrantId,
        },
        /// Lift the quarantine of a content.
        Lift {
            /// The digest of the quarantined content.
            content: ContentDigest,
        },
        /// Cancel the items of a command that have not started.
        Cancel {
            /// The command.
            command: CommandId,
        },
    }
}

derives! { record;
    /// A name that may be an upstream's or an instance's.
    #[derive(Eq, PartialOrd, Ord)]
    #[serde(transparent)]
    pub struct TargetName(UpstreamName);
}

impl TargetName {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        self.0.as_str()
    }
}

impl std::str::FromStr for TargetName {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let name: Result<UpstreamName, ParseError> = text.parse();
        let to_error =
            |error| ParseError { wanted: "the name of an upstream or an instance", ..error };
        name.map(Self).map_err(to_error)
    }
}

impl fmt::Display for TargetName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The item in the syntax of a command line.
impl fmt::Display for CommandItem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TopUp { branch, tokens } => write!(f, "top-up {branch} {tokens}"),
            Self::Edit(edit) => edit.fmt(f),
            Self::Drain { name, on: true } => write!(f, "drain {name}"),
            Self::Drain { name, on: false } => write!(f, "undrain {name}"),
            Self::Stop { instance } => write!(f, "stop {instance}"),
            Self::Order { upstream, order } => write_order(f, upstream, order),
            Self::Release { branch, grant } => write!(f, "release {branch} {grant}"),
            Self::Lift { content } => write!(f, "lift {content}"),
            Self::Cancel { command } => write!(f, "cancel {command}"),
        }
    }
}

fn write_order(
    f: &mut fmt::Formatter<'_>,
    upstream: &UpstreamName,
    order: &EngineOrder,
) -> fmt::Result {
    match order {
        EngineOrder::LoadModel(model) => write!(f, "load {model} on {upstream}"),
        EngineOrder::UnloadModel(model) => write!(f, "unload {model} on {upstream}"),
        EngineOrder::LoadAdapter { model, adapter } => {
            write!(f, "load {model} adapter {adapter} on {upstream}")
        }
        EngineOrder::Drain(true) => write!(f, "drain {upstream}"),
        EngineOrder::Drain(false) => write!(f, "undrain {upstream}"),
    }
}
