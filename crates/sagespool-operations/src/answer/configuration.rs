//! Answers to `configuration`, and where configuration versions are applied.

use sagespool_messages::{MemberInfo, MemberRole};
use sagespool_types::{ConfigVersion, StoreRevision, derives};
use serde_json::Value;

use super::MemberLabel;

derives! { record;
    /// The configuration objects and the processes that have applied them.
    pub struct ConfigurationAnswer {
        /// The version that the answering entry has applied; `None` if it has none yet.
        pub entry_version: Option<ConfigVersion>,
        /// The stored objects and their versions; `None` if the store could not be read.
        pub objects: Option<Vec<ConfigObjectRow>>,
        /// The processes that have applied the newest version known to the answering entry.
        pub in_force: ConfigRollout,
        /// The requested section, if there was one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub shown: Option<ShownSection>,
    }
}

derives! { record;
    /// A configuration object.
    pub struct ConfigObjectRow {
        /// Its key in the store.
        pub key: String,
        /// Its version: the store revision of its last change.
        pub version: StoreRevision,
        /// Number of classes and services, or of branches, in it.
        pub holds: u64,
    }
}

derives! { record;
    /// A section of the configuration with its value.
    pub struct ShownSection {
        /// The section, such as `branch ruwi-bids`.
        pub place: String,
        /// The version of the object that contains it, for use in `if version`.
        pub version: ConfigVersion,
        /// Its value.
        pub value: Value,
    }
}

derives! { record;
    /// A process and the configuration version that it last reported as applied.
    pub struct ConfigMember {
        /// The process.
        #[serde(flatten)]
        pub member: MemberLabel,
        /// The version.
        pub version: ConfigVersion,
    }
}

derives! { record;
    /// Which processes of one role have applied a version.
    pub struct RoleRollout {
        /// The version.
        pub version: ConfigVersion,
        /// Processes that reported this version or a later one as applied. Applied versions never
        /// decrease while a process runs.
        pub members: Vec<MemberLabel>,
        /// Processes that have not reported it yet, with the version that they last reported.
        pub not_known: Vec<ConfigMember>,
    }
}

derives! { record;
    /// Which processes have applied a change. Entries apply the whole configuration. Sidecars apply
    /// classes and services only, and their version is that of the one object with these.
    #[derive(Default)]
    pub struct ConfigRollout {
        /// Entries; `None` if the change doesn't concern them.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub entries: Option<RoleRollout>,
        /// Sidecars; `None` if the change doesn't concern them.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub sidecars: Option<RoleRollout>,
    }
}

impl ConfigRollout {
    /// The processes that have not reported the version as applied.
    pub fn not_known(&self) -> impl Iterator<Item = &ConfigMember> {
        let rows = self.entries.iter().chain(&self.sidecars);
        rows.flat_map(|row| &row.not_known)
    }
}

/// The versions that processes must have applied, by role.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RequiredVersions {
    /// The version for entries; `None` if there is no requirement.
    pub entries: Option<ConfigVersion>,
    /// The version for sidecars; `None` if there is no requirement.
    pub sidecars: Option<ConfigVersion>,
}

/// Lists which members have reported the versions as applied.
pub fn config_rollout(wanted: RequiredVersions, members: &[MemberInfo]) -> ConfigRollout {
    let row =
        |version, role| role_rollout(version, members.iter().filter(|info| info.role == role));
    ConfigRollout {
        entries: wanted.entries.map(|version| row(version, MemberRole::Entry)),
        sidecars: wanted.sidecars.map(|version| row(version, MemberRole::Sidecar)),
    }
}

fn role_rollout<'a>(
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
