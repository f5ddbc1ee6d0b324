//! Who is in the fleet, what each serves and how busy it is.

use std::fmt;
use std::net::SocketAddr;

use sagespool_types::{
    CentreName, ConfigVersion, IncarnationId, InstanceName, ModelName, RegionName, ServiceName,
    StoreRevision, UpstreamName, derives,
};

derives! { value;
    /// The role of a process.
    #[serde(rename_all = "kebab-case")]
    pub enum MemberRole {
        /// Takes callers' requests and is home of branches.
        Entry,
        /// Stands beside one upstream.
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
    /// The kind of an upstream.
    #[serde(rename_all = "kebab-case")]
    pub enum UpstreamKind {
        /// A model engine.
        Engine,
        /// A plain service.
        Service,
    }
}

derives! { record;
    /// The upstream that a sidecar stands beside.
    pub struct ServedUpstream {
        /// Its name.
        pub upstream: UpstreamName,
        /// Engine or plain service.
        pub kind: UpstreamKind,
        /// The service it belongs to.
        pub service: ServiceName,
        /// The models it has loaded; empty for plain services.
        pub models: Vec<ModelName>,
        /// How many requests it runs at once before it queues.
        pub capacity: u32,
        /// Whether its sidecar found it answering.
        pub healthy: bool,
        /// The newest load that its sidecar knows.
        pub load: LoadReport,
    }
}

derives! { value;
    /// An upstream's load, as its sidecar saw it.
    #[derive(Default)]
    pub struct LoadReport {
        /// Counted by the sidecar; a report with a lower number is older.
        pub number: u64,
        /// Requests running.
        pub running: u32,
        /// Requests waiting in the upstream.
        pub waiting: u32,
        /// Tokens a second it makes now, over all requests.
        pub tokens_per_second: u32,
        /// Dispatches that the sidecar had taken in when this report was made.
        pub dispatched: u64,
    }
}

derives! { record;
    /// One process, as it describes itself. Others pass it on unchanged.
    pub struct MemberInfo {
        /// The instance's name.
        pub instance: InstanceName,
        /// This run of it.
        pub incarnation: IncarnationId,
        /// Counted by the process itself; the higher number is the newer.
        pub number: u64,
        /// Its role.
        pub role: MemberRole,
        /// Its region.
        pub region: RegionName,
        /// Its data centre.
        pub centre: CentreName,
        /// Where its link listens, as others reach it.
        pub address: SocketAddr,
        /// True from the moment it is told to stop, or its instance is leaving.
        pub leaving: bool,
        /// The configuration it has in force.
        pub config: ConfigVersion,
        /// The store's revision when it started; a sidecar runs nothing for older grants.
        pub started_at: Option<StoreRevision>,
        /// What it serves, for a sidecar.
        pub serves: Option<ServedUpstream>,
    }
}

derives! { record;
    /// Gossip: the sender, and others whose description changed lately.
    pub struct Heartbeat {
        /// The sender.
        pub from: MemberInfo,
        /// Others, as the sender knows them, newest changes first.
        pub others: Vec<MemberInfo>,
        /// Digest of the sender's view, to find gaps.
        pub view_digest: u64,
        /// Members that the sender suspects or believes dead.
        pub suspects: Vec<SuspectedMember>,
        /// Digests of the slices of the sender's view, while a gap is being repaired.
        pub slices: Vec<u32>,
    }
}

derives! { value;
    /// A member that doesn't answer. It refutes the note with a higher number.
    pub struct SuspectedMember {
        /// The member.
        pub incarnation: IncarnationId,
        /// The newest number of it that is known.
        pub number: u64,
    }
}
