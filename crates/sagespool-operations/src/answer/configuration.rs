//! Answers about the configuration.

use sagespool_messages::{MemberInfo, MemberRole};
use sagespool_types::{ConfigVersion, StoreRevision, derives};
use serde_json::Value;

use super::MemberLabel;

derives! { record;
    /// The configuration, and where it is in force.
    pub struct ConfigurationAnswer {
        /// The version that the answering entry has in force; nothing if it has none yet.
        pub entry_version: Option<ConfigVersion>,
        /// The store's objects and their versions; nothing if the store couldn't be read.
        pub objects: Option<Vec<ConfigObjectRow>>,
        /// Where the newest version known here is in force.
        pub in_force: ConfigRollout,
        /// The part that was asked for.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub shown: Option<ShownSection>,
    }
}

derives! { record;
    /// An object of the configuration.
    pub struct ConfigObjectRow {
        /// Its key in the store.
        pub key: String,
        /// Its version: the revision of the store at which it last changed.
        pub version: StoreRevision,
        /// How many classes and services, or branches, it holds.
        pub holds: u64,
    }
}

derives! { record;
    /// A part of the configuration.
    pub struct ShownSection {
        /// Which: `branch ruwi-bids`.
        pub place: String,
        /// The version of the object that it is in: the one to give behind `if version`.
        pub version: ConfigVersion,
        /// Its value.
        pub value: Value,
    }
}

derives! { record;
    /// A process, and the configuration that it was last known to have in force.
    pub struct ConfigMember {
        /// The process.
        #[serde(flatten)]
        pub member: MemberLabel,
        /// Its version then.
        pub version: ConfigVersion,
    }
}

derives! { record;
    /// Where a version is in force, among the processes of one role.
    pub struct RoleRollout {
        /// The version.
        pub version: ConfigVersion,
        /// Processes that said that they have it, or a later one, in force. Versions never go back, so
        /// it is so for as long as they run.
        pub members: Vec<MemberLabel>,
        /// Processes that haven't said so yet, with the version that they last told.
        pub not_known: Vec<ConfigMember>,
    }
}

derives! { record;
    /// Where a change is in force. Entries take over the whole configuration; sidecars take over classes
    /// and services, and their version is that of the one object that holds these.
    #[derive(Default)]
    pub struct ConfigRollout {
        /// At entries.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub entries: Option<RoleRollout>,
        /// At sidecars; nothing if the change doesn't concern them.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub sidecars: Option<RoleRollout>,
    }
}

impl ConfigRollout {
    /// Every process that isn't known to have it in force.
    pub fn not_known(&self) -> impl Iterator<Item = &ConfigMember> {
        let rows = self.entries.iter().chain(&self.sidecars);
        rows.flat_map(|row| &row.not_known)
    }
}

/// The versions that processes must have in force, by their role.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RequiredVersions {
    /// At entries.
    pub entries: Option<ConfigVersion>,
    /// At sidecars; nothing if what is asked for doesn't concern them.
    pub sidecars: Option<ConfigVersion>,
}

/// Where versions are in force, by what is known of the members.
pub fn config_rollout(wanted: RequiredVersions, members: &[MemberInfo]) -> ConfigRollout {
    let row = |version, role| force_row(version, members.iter().filter(|info| info.role == role));
    ConfigRollout {
        entries: wanted.entries.map(|version| row(version, MemberRole::Entry)),
        sidecars: wanted.sidecars.map(|version| row(version, MemberRole::Sidecar)),
    }
}

fn force_row<'a>(
    version: ConfigVersion,
    members: impl Iterator<Item = &'a MemberInfo>,
) -> RoleRollout {
    let mut row = RoleRollout { version, members: Vec::new(), not_known: Vec::new() };
    for info in members {
        let member = MemberLabel::of(info);
        if info.config >= version {
            row.members.push(member);
        } else {
            row.not_known.push(ConfigMember { member, version: info.config });
        }
    }
    row
}
