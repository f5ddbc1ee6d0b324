//! Answers about what runs, and where.

use std::fmt;
use std::net::SocketAddr;

use sagespool_claims::CrashNote;
use sagespool_messages::UpstreamKind;
use sagespool_types::{
    AttemptNumber, BranchName, CentreName, ClassName, ConfigVersion, ContentDigest, InstanceName,
    ModelName, RequestId, ServiceName, TokenCount, UpstreamName, WallTime, derives,
};

use super::MemberLabel;

derives! { record;
    /// What runs, as the sidecars that answered said.
    pub struct RunningAnswer {
        /// One row a request.
        pub rows: Vec<RunningRow>,
        /// Sidecars that run more than they listed.
        pub cut: Vec<InstanceName>,
    }
}

derives! { record;
    /// A request that runs.
    pub struct RunningRow {
        /// The instance of the sidecar.
        pub instance: InstanceName,
        /// Its upstream.
        pub upstream: Option<UpstreamName>,
        /// The request.
        pub request: RequestId,
        /// The attempt.
        pub attempt: AttemptNumber,
        /// The branch that pays.
        pub branch: BranchName,
        /// The class.
        pub class: ClassName,
        /// For how long it runs, in milliseconds.
        pub running_ms: u64,
        /// Tokens so far.
        pub used: TokenCount,
    }
}

derives! { value;
    /// What an upstream is up to.
    #[serde(rename_all = "kebab-case")]
    pub enum UpstreamState {
        /// It takes work.
        Serving,
        /// An operator has ordered that it be given no new work.
        Drained,
        /// Its sidecar or its instance is leaving.
        Leaving,
        /// Its sidecar finds it not answering.
        Unhealthy,
        /// Its sidecar doesn't answer this entry.
        Silent,
    }
}

impl fmt::Display for UpstreamState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Serving => "serving",
            Self::Drained => "drained",
            Self::Leaving => "leaving",
            Self::Unhealthy => "unhealthy",
            Self::Silent => "silent",
        })
    }
}

derives! { record;
    /// The upstreams, as their sidecars say.
    pub struct UpstreamsAnswer {
        /// One row an upstream.
        pub rows: Vec<UpstreamRow>,
    }
}

derives! { record;
    /// An upstream.
    pub struct UpstreamRow {
        /// Its name.
        pub upstream: UpstreamName,
        /// Its service.
        pub service: ServiceName,
        /// Engine or plain service.
        pub kind: UpstreamKind,
        /// The sidecar beside it.
        pub sidecar: MemberLabel,
        /// Its data centre.
        pub centre: CentreName,
        /// What it is up to.
        pub state: UpstreamState,
        /// Attempts in flight at its sidecar; nothing if it didn't answer.
        pub in_flight: Option<u32>,
        /// Requests running, as the upstream last reported, with a lag.
        pub running: u32,
        /// Requests waiting in it, likewise.
        pub waiting: u32,
        /// Requests that it runs at once before it queues.
        pub capacity: u32,
        /// Tokens a second, likewise.
        pub tokens_per_second: u32,
        /// The models that it has loaded.
        pub models: Vec<ModelName>,
        /// Whether the newest order to drain says that it is drained; nothing if the store couldn't be
        /// read.
        pub drain_ordered: Option<bool>,
    }
}

derives! { record;
    /// The processes that the entry knows.
    pub struct MembersAnswer {
        /// One row a process.
        pub rows: Vec<MemberRow>,
    }
}

derives! { record;
    /// A process.
    pub struct MemberRow {
        /// Which.
        pub member: MemberLabel,
        /// Its data centre.
        pub centre: CentreName,
        /// Where its link is reached.
        pub address: SocketAddr,
        /// Whether it is leaving.
        pub leaving: bool,
        /// The configuration that it has in force: this version at least, since versions never go back.
        pub config: ConfigVersion,
        /// For how long it runs, in milliseconds; nothing if it didn't answer.
        pub up_ms: Option<u64>,
        /// Requests in flight, if it answered.
        pub in_flight: Option<u32>,
    }
}

derives! { record;
    /// The stopped requests.
    pub struct QuarantineAnswer {
        /// One row a content; nothing if the store couldn't be read.
        pub rows: Option<Vec<QuarantineRow>>,
    }
}

derives! { record;
    /// A stopped request, by what it asks for.
    pub struct QuarantineRow {
        /// What it asks for.
        pub content: ContentDigest,
        /// Since when, by the wall clock of the entry that wrote it.
        pub since: WallTime,
        /// The crashes that stopped it.
        pub crashes: Vec<CrashNote>,
    }
}
