//! Answers to `running`, `upstreams`, `members` and `quarantine`.

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
    /// Running requests, as listed by the sidecars that replied.
    pub struct RunningAnswer {
        /// One row per request.
        pub rows: Vec<RunningRow>,
        /// Sidecars whose lists were truncated: they run more requests.
        pub cut: Vec<InstanceName>,
    }
}

derives! { record;
    /// A running request.
    pub struct RunningRow {
        /// The instance of the sidecar.
        pub instance: InstanceName,
        /// Its upstream; `None` if the sidecar's reply names none.
        pub upstream: Option<UpstreamName>,
        /// The request.
        pub request: RequestId,
        /// The attempt.
        pub attempt: AttemptNumber,
        /// The branch that is charged.
        pub branch: BranchName,
        /// The class.
        pub class: ClassName,
        /// Running time in milliseconds.
        pub running_ms: u64,
        /// Tokens used so far.
        pub used: TokenCount,
    }
}

derives! { value;
    /// The state of an upstream.
    #[serde(rename_all = "kebab-case")]
    pub enum UpstreamState {
        /// It accepts requests.
        Serving,
        /// Drained by an operator: it gets no new requests.
        Drained,
        /// Its sidecar or its instance is leaving.
        Leaving,
        /// It does not respond to its sidecar.
        Unhealthy,
        /// Its sidecar does not reply to this entry.
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
    /// The upstreams, as reported by their sidecars.
    pub struct UpstreamsAnswer {
        /// One row per upstream.
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
        /// Engine or other service.
        pub kind: UpstreamKind,
        /// Its sidecar.
        pub sidecar: MemberLabel,
        /// Its data centre.
        pub centre: CentreName,
        /// Its state.
        pub state: UpstreamState,
        /// Attempts in flight at its sidecar; `None` if the sidecar did not reply.
        pub in_flight: Option<u32>,
        /// Running requests according to the upstream's last report, which lags behind.
        pub running: u32,
        /// Requests queued in it, from the same report.
        pub waiting: u32,
        /// Requests that it runs concurrently before it queues.
        pub capacity: u32,
        /// Tokens per second, from the same report.
        pub tokens_per_second: u32,
        /// The loaded models.
        pub models: Vec<ModelName>,
        /// Whether it is drained according to the newest drain or undrain order; `None` if the store could
        /// not be read.
        pub drain_ordered: Option<bool>,
    }
}

derives! { record;
    /// The processes in the entry's member table.
    pub struct MembersAnswer {
        /// One row per process.
        pub rows: Vec<MemberRow>,
    }
}

derives! { record;
    /// A process.
    pub struct MemberRow {
        /// Its identity.
        pub member: MemberLabel,
        /// Its data centre.
        pub centre: CentreName,
        /// The address of its link.
        pub address: SocketAddr,
        /// Whether it is leaving.
        pub leaving: bool,
        /// The configuration version that it last reported as applied; a lower bound, as versions never
        /// decrease.
        pub config: ConfigVersion,
        /// Uptime in milliseconds; `None` if it did not reply.
        pub up_ms: Option<u64>,
        /// Requests in flight; `None` if it did not reply.
        pub in_flight: Option<u32>,
    }
}

derives! { record;
    /// The quarantined requests.
    pub struct QuarantineAnswer {
        /// One row per content; `None` if the store could not be read.
        pub rows: Option<Vec<QuarantineRow>>,
    }
}

derives! { record;
    /// A quarantined request, identified by its content.
    pub struct QuarantineRow {
        /// The digest of its content.
        pub content: ContentDigest,
        /// The start of the quarantine, by the wall clock of the entry that recorded it.
        pub since: WallTime,
        /// The upstream crashes that led to the quarantine.
        pub crashes: Vec<CrashNote>,
    }
}
