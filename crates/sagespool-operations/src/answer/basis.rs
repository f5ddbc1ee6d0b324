//! Sources of an answer.

use std::fmt;

use sagespool_messages::{MemberInfo, MemberRole};
use sagespool_types::{IncarnationId, InstanceName, StoreRevision, WallTime, derives};

derives! { record;
    /// The identity of a process in an answer.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct MemberLabel {
        /// Its instance.
        pub instance: InstanceName,
        /// Its incarnation.
        pub incarnation: IncarnationId,
        /// Its role.
        pub role: MemberRole,
    }
}

impl MemberLabel {
    /// Creates the label of a member.
    pub fn of(member: &MemberInfo) -> Self {
        let MemberInfo { instance, incarnation, role, .. } = member;
        Self { instance: instance.clone(), incarnation: *incarnation, role: *role }
    }
}

impl fmt::Display for MemberLabel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.role, self.instance)
    }
}

derives! { record;
    /// A process that was queried and did not reply.
    pub struct SilentMember {
        /// The process.
        #[serde(flatten)]
        pub member: MemberLabel,
        /// The reason that the querying entry observed.
        pub why: String,
    }
}

derives! { record;
    /// How an answer used the store.
    #[serde(rename_all = "kebab-case")]
    pub enum StoreBasis {
        /// The answer contains nothing from the store.
        NotAsked,
        /// The store was read at this revision or a later one.
        Read {
            /// The revision.
            revision: StoreRevision,
        },
        /// The store could not be read.
        Silent {
            /// The reason.
            why: String,
        },
    }
}

derives! { record;
    /// The sources of an answer: the entry that compiled it, when, and the processes that replied.
    pub struct AnswerBasis {
        /// The entry that compiled it. "All members" are the members in this entry's member table.
        pub entry: MemberLabel,
        /// When it started, by the entry's wall clock.
        pub from: WallTime,
        /// When it had all replies, by the same clock.
        pub to: WallTime,
        /// How the store was used.
        pub store: StoreBasis,
        /// The processes that replied, including the entry itself if it was queried.
        pub answered: Vec<MemberLabel>,
        /// The processes that did not reply.
        pub silent: Vec<SilentMember>,
        /// Remarks on how to read the figures.
        #[serde(default)]
        pub notes: Vec<String>,
    }
}
