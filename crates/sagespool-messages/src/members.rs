//! Members of the fleet, their upstreams and load.

use std::fmt;
use std::net::SocketAddr;

use sagespool_types::{
    CentreName, ConfigVersion, IncarnationId, InstanceCapacity, InstanceName, ModelName,
    RegionName, ServiceName, StoreRevision, UpstreamName, derives,
};

derives! { value;
    /// The role of a process.
    #[serde(rename_all = "kebab-case")]
    pub enum MemberRole {
        /// Accepts callers' requests and acts as home of branches.
        Entry,
        /// Runs next to one upstream and forwards requests to it.
        Sidecar,
    }
}

impl fmt::Display for MemberRole {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Entry => "entry",
            Self::Sidecar => "sidecar",
        })
    }
}

derives! { value;
    /// What an upstream runs.
    #[serde(rename_all = "kebab-case")]
    pub enum UpstreamKind {
        /// A model engine.
        Engine,
        /// A plain service.
        Service,
    }
}

derives! { record;
    /// The upstream of a sidecar.
    pub struct ServedUpstream {
        /// The upstream's name.
        pub upstream: UpstreamName,
        /// Whether it is an engine or a plain service.
        pub kind: UpstreamKind,
        /// The service it belongs to.
        pub service: ServiceName,
        /// The loaded models; empty for plain services.
        pub models: Vec<ModelName>,
        /// Number of requests that it runs at once; further ones are queued.
        pub capacity: u32,
        /// False if the sidecar finds the upstream not responding or drained.
        pub healthy: bool,
        /// The latest load report.
        pub load: LoadReport,
    }
}

derives! { value;
    /// An upstream's load, as measured by its sidecar.
    #[derive(Default)]
    pub struct LoadReport {
        /// The sidecar's sequence number of the report; lower numbers are older.
        pub number: u64,
        /// Requests running.
        pub running: u32,
        /// Requests in the upstream's queue.
        pub waiting: u32,
        /// Current tokens per second, over all requests.
        pub tokens_per_second: u32,
        /// Number of dispatches that the sidecar had accepted when it made the report.
        pub dispatched: u64,
    }
}

derives! { record;
    /// A process's description of itself, forwarded unchanged by other members.
    pub struct MemberInfo {
        /// The instance's name.
        pub instance: InstanceName,
        /// The run of the process.
        pub incarnation: IncarnationId,
        /// The process's sequence number of the description; higher numbers are newer.
        pub number: u64,
        /// Entry or sidecar.
        pub role: MemberRole,
        /// Its region.
        pub region: RegionName,
        /// Its data centre.
        pub centre: CentreName,
        /// The address at which other members reach its link.
        pub address: SocketAddr,
        /// True once the process was requested to stop, or its instance is leaving.
        pub leaving: bool,
        /// The version of the configuration in force.
        pub config: ConfigVersion,
        /// The store's revision at its start; a sidecar refuses requests under older grants.
        pub started_at: Option<StoreRevision>,
        /// The upstream of a sidecar; `None` for an entry.
        pub serves: Option<ServedUpstream>,
        /// The work that its instance can carry.
        pub capacity: InstanceCapacity,
    }
}

derives! { record;
    /// Gossip: the sender's description, and others that changed recently.
    pub struct Heartbeat {
        /// The sender's description.
        pub from: MemberInfo,
        /// Descriptions of other members, latest changes first.
        pub others: Vec<MemberInfo>,
        /// Digest of the sender's member list, to detect differences.
        pub view_digest: u64,
        /// Members that the sender regards as suspected or dead.
        pub suspects: Vec<SuspectedMember>,
        /// Digests of the slices of the sender's member list; sent while a difference is repaired.
        pub slices: Vec<u32>,
    }
}

derives! { value;
    /// A member that doesn't reply. It refutes the suspicion with a higher `number`.
    pub struct SuspectedMember {
        /// The member's incarnation.
        pub incarnation: IncarnationId,
        /// The highest known [`MemberInfo::number`] of the member.
        pub number: u64,
    }
}
