//! A command and its items.

use std::fmt;

use sagespool_messages::EngineOrder;
use sagespool_types::{
    BranchName, CommandId, ConfigVersion, ContentDigest, GrantId, InstanceName, ParseError,
    TokenCount, UpstreamName, derives,
};

use crate::ConfigEdit;

derives! { record;
    /// Something to do: items that are carried out one after the other, each with its own outcome.
    pub struct OperatorCommand {
        /// The items.
        pub items: Vec<CommandItem>,
        /// The version of the configuration that the operator saw: edits are made only if what they
        /// change has not changed since.
        pub seen: Option<ConfigVersion>,
    }
}

derives! { record;
    /// One thing to do.
    #[serde(rename_all = "kebab-case")]
    pub enum CommandItem {
        /// Add prepaid tokens.
        TopUp {
            /// To this branch.
            branch: BranchName,
            /// So many.
            tokens: TokenCount,
        },
        /// Edit the configuration.
        Edit(ConfigEdit),
        /// Give an upstream no new work, or give it work again.
        Drain {
            /// The upstream, or the instance of the sidecar beside it.
            name: TargetName,
            /// True to drain.
            on: bool,
        },
        /// Stop a process gracefully.
        Stop {
            /// Its instance.
            instance: InstanceName,
        },
        /// Give an order to an engine.
        Order {
            /// The engine.
            upstream: UpstreamName,
            /// The order.
            order: EngineOrder,
        },
        /// Free the tokens in doubt under a grant.
        Release {
            /// The branch.
            branch: BranchName,
            /// The grant.
            grant: GrantId,
        },
        /// Let a stopped request run again.
        Lift {
            /// What it asks for.
            content: ContentDigest,
        },
        /// Carry out no further item of a command.
        Cancel {
            /// The command.
            command: CommandId,
        },
    }
}

derives! { record;
    /// The name of an upstream or of an instance, whichever there is.
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
        let fault =
            |fault| ParseError { wanted: "the name of an upstream or an instance", ..fault };
        name.map(Self).map_err(fault)
    }
}

impl fmt::Display for TargetName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The item as a line would say it.
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
