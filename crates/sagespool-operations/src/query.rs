//! What operators ask.

use std::fmt;

use sagespool_types::{BranchName, ClassName, CommandId, RequestId, ServiceName, derives};

derives! { record;
    /// A part of the configuration to show.
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
    /// A question.
    #[serde(rename_all = "kebab-case")]
    pub enum OperatorQuery {
        /// What branches have spent; all of them if none is named.
        Spend {
            /// The branches.
            branches: Vec<BranchName>,
        },
        /// What runs, and where.
        Running {
            /// Only this branch's.
            branch: Option<BranchName>,
        },
        /// The upstreams.
        Upstreams,
        /// The processes.
        Members,
        /// The configuration, and where it is in force.
        Configuration {
            /// The part to show.
            place: Option<ConfigSection>,
        },
        /// What is known of a request.
        Request {
            /// The request.
            request: RequestId,
        },
        /// What is known of a caller's key.
        Key {
            /// The branch.
            branch: BranchName,
            /// The key, as the caller gave it.
            key: String,
        },
        /// Requests that are stopped since they take upstreams down.
        Quarantine,
        /// The newest commands.
        Commands,
        /// One command.
        Command {
            /// The command.
            command: CommandId,
        },
        /// How lines are written.
        Help {
            /// Only those that begin with this word.
            word: Option<String>,
        },
    }
}
