//! Configuration objects, as processes exchange them.

use std::net::SocketAddr;
use std::time::Duration;

use sagespool_types::{IncarnationId, StoreRevision, derives};

/// Key prefix of all configuration objects and of nothing else.
pub const CONFIGURATION_PREFIX: &str = "configuration/";

/// Key of the object with the classes and services.
pub const FLEET_OBJECT_KEY: &str = "configuration/fleet";

derives! { value;
    /// The configuration objects that a process follows.
    #[serde(rename_all = "kebab-case")]
    pub enum ConfigScope {
        /// All objects; used by entries.
        All,
        /// Only the fleet object; used by sidecars.
        Fleet,
    }
}

impl ConfigScope {
    /// The common prefix of the keys in this scope.
    pub fn prefix(self) -> &'static str {
        match self {
            Self::All => CONFIGURATION_PREFIX,
            Self::Fleet => FLEET_OBJECT_KEY,
        }
    }

    /// True if the object with this key is in this scope.
    pub fn covers(self, key: &str) -> bool {
        match self {
            Self::All => key.starts_with(CONFIGURATION_PREFIX),
            Self::Fleet => key == FLEET_OBJECT_KEY,
        }
    }
}

derives! { record;
    /// One complete object at a revision of the store.
    pub struct ConfigObject {
        /// The object's key in the store.
        pub key: String,
        /// The revision of its last change; for a deleted object, a revision at which it was
        /// absent.
        pub version: StoreRevision,
        /// The value as JSON text; `None` if the object was deleted.
        pub value: Option<String>,
    }
}

derives! { value;
    /// A query for objects that are newer than the requester's.
    pub struct ConfigQuery {
        /// The objects that the requester follows.
        pub scope: ConfigScope,
        /// Only objects above this version are returned. Within a reply of several parts this is
        /// above `complete`.
        pub after: StoreRevision,
        /// The requester has every change up to this revision.
        pub complete: StoreRevision,
    }
}

derives! { value;
    /// The last contact of any process with the store that a process has learned of.
    pub struct LastStoreContact {
        /// The process that the store replied to.
        pub by: IncarnationId,
        /// Time since that reply; a lower bound.
        pub age: Duration,
    }
}

derives! { record;
    /// The reply to a [`ConfigQuery`], or a part of it.
    pub struct ConfigReply {
        /// The sender has every change up to this revision.
        pub as_of: StoreRevision,
        /// Objects above `after`, in ascending order of their versions.
        pub objects: Vec<ConfigObject>,
        /// The `after` of the next part; `None` in the last part.
        pub next: Option<StoreRevision>,
        /// Every existing key. Set in the last part only, and only if the sender doesn't have all
        /// deletions since the requester's `complete`.
        pub present: Option<Vec<String>>,
        /// The last contact with the store; `None` if none is known.
        pub word: Option<LastStoreContact>,
    }
}

derives! { value;
    /// Announces a change; receivers with older objects query the sender.
    pub struct ConfigNotice {
        /// The address of the sender's link.
        pub from: SocketAddr,
        /// The newest version that the sender has.
        pub newest: StoreRevision,
    }
}
