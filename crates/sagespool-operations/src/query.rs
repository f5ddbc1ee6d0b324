//! Operators' queries.

use std::fmt;

use sagespool_types::{BranchName, ClassName, CommandId, RequestId, ServiceName, derives};

derives! { record;
    /// A section of the configuration.
    #[serde(rename_all = "kebab-case")]
    pub enum ConfigSection {
        /// A branch.
        Branch(BranchName),
        /// A class.
        Class(ClassName),
        /// A service.
        Service(ServiceName),
    }
}

impl fmt::Display for ConfigSection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Branch(branch) => write!(f, "branch {branch}"),
            Self::Class(class) => write!(f, "class {class}"),
            Self::Service(service) => write!(f, "service {service}"),
        }
    }
}

derives! { record;
    /// A query, which changes nothing.
    #[serde(rename_all = "kebab-case")]
    pub enum OperatorQuery {
        /// The spend of branches.
        Spend {
            /// The branches; empty for all.
            branches: Vec<BranchName>,
        },
        /// The running requests and their upstreams.
        Running {
            /// The branch; `None` for all.
            branch: Option<BranchName>,
        },
        /// The upstreams with their load.
        Upstreams,
        /// The processes of the fleet.
        Members,
        /// The configuration and the processes that have applied it.
        Configuration {
            /// The section to show; `None` for none.
            place: Option<ConfigSection>,
        },
        /// The recorded facts about a request.
        Request {
            /// The request.
            request: RequestId,
        },
        /// The recorded facts about a caller's idempotency key.
        Key {
            /// The branch.
            branch: BranchName,
            /// The key, as the caller sent it.
            key: String,
        },
        /// Requests that are quarantined because they crash upstreams.
        Quarantine,
        /// The newest commands.
        Commands,
        /// One command.
        Command {
            /// The command.
            command: CommandId,
        },
        /// The syntax of lines.
        Help {
            /// The verb; `None` for all.
            word: Option<String>,
        },
    }
}
