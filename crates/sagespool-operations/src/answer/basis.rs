//! What an answer rests on.

use std::fmt;

use sagespool_messages::{MemberInfo, MemberRole};
use sagespool_types::{IncarnationId, InstanceName, StoreRevision, WallTime, derives};

derives! { record;
    /// A process, as an answer names it.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct MemberLabel {
        /// Its instance.
        pub instance: InstanceName,
        /// This run of it.
        pub incarnation: IncarnationId,
        /// Its role.
        pub role: MemberRole,
    }
}

impl MemberLabel {
    /// The label of a member.
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
    /// A process that was asked and didn't answer.
    pub struct SilentMember {
        /// The process.
        #[serde(flatten)]
        pub member: MemberLabel,
        /// Why, as far as the asker knows.
        pub why: String,
    }
}

derives! { record;
    /// What an answer knows of the store.
    #[serde(rename_all = "kebab-case")]
    pub enum StoreBasis {
        /// Nothing in the answer comes from it.
        NotAsked,
        /// It was read when it stood at this revision, or at a later one.
        Read {
            /// The revision.
            revision: StoreRevision,
        },
        /// It couldn't be read.
        Silent {
            /// Why.
            why: String,
        },
    }
}

derives! { record;
    /// What an answer rests on: when and by whom it was put together, and who said what is in it.
    pub struct AnswerBasis {
        /// The entry that put it together. "Every member" means: every one that this entry knows.
        pub entry: MemberLabel,
        /// When it began, by the entry's wall clock.
        pub from: WallTime,
        /// When it had everything, by the same clock.
        pub to: WallTime,
        /// What it knows of the store.
        pub store: StoreBasis,
        /// The processes that answered, the entry itself among them if it was asked.
        pub answered: Vec<MemberLabel>,
        /// Those that didn't.
        pub silent: Vec<SilentMember>,
        /// What a reader has to know of the figures.
        #[serde(default)]
        pub notes: Vec<String>,
    }
}
