//! Configuration objects, as neighbours pass them on.

use std::net::SocketAddr;
use std::time::Duration;

use sagespool_types::{IncarnationId, StoreRevision, derives};

/// Every object of the configuration, and nothing else, has a key that begins so.
pub const CONFIGURATION_PREFIX: &str = "configuration/";

/// The object that holds the classes and services.
pub const FLEET_OBJECT_KEY: &str = "configuration/fleet";

derives! { value;
    /// Which objects of the configuration a process follows.
    #[serde(rename_all = "kebab-case")]
    pub enum ConfigScope {
        /// All of them: entries.
        All,
        /// The fleet's object alone: sidecars.
        Fleet,
    }
}

impl ConfigScope {
    /// What the keys of its objects begin with.
    pub fn prefix(self) -> &'static str {
        match self {
            Self::All => CONFIGURATION_PREFIX,
            Self::Fleet => FLEET_OBJECT_KEY,
        }
    }

    /// Whether an object is among them.
    pub fn covers(self, key: &str) -> bool {
        match self {
            Self::All => key.starts_with(CONFIGURATION_PREFIX),
            Self::Fleet => key == FLEET_OBJECT_KEY,
        }
    }
}

derives! { record;
    /// One object, whole, at a version of the store.
    pub struct ConfigObject {
        /// Its key.
        pub key: String,
        /// The revision of its last change; for one that is gone, a revision at which it was gone.
        pub version: StoreRevision,
        /// Its value as JSON text; nothing if it is gone.
        pub value: Option<String>,
    }
}

derives! { value;
    /// A question for the objects that are newer than what the asker has.
    pub struct ConfigQuery {
        /// What the asker follows.
        pub scope: ConfigScope,
        /// Only objects above this version. In the middle of a long answer this is above `complete`.
        pub after: StoreRevision,
        /// The asker has every change up to here.
        pub complete: StoreRevision,
    }
}

derives! { value;
    /// The newest word of the store that a process knows of.
    pub struct LastStoreContact {
        /// Who had it from the store itself.
        pub by: IncarnationId,
        /// How long ago, at least.
        pub age: Duration,
    }
}

derives! { record;
    /// The answer to a [`ConfigQuery`], or a part of it.
    pub struct ConfigReply {
        /// The answerer has every change up to here.
        pub as_of: StoreRevision,
        /// Objects above `after` by their versions, the lowest first.
        pub objects: Vec<ConfigObject>,
        /// Where to go on, if this is not all.
        pub next: Option<StoreRevision>,
        /// Every key that exists, in the last part and only where the answerer doesn't know all
        /// that went away since the asker's `complete`.
        pub present: Option<Vec<String>>,
        /// The newest word of the store.
        pub word: Option<LastStoreContact>,
    }
}

derives! { value;
    /// Something changed; whoever is behind asks the sender for it.
    pub struct ConfigNotice {
        /// The sender's link.
        pub from: SocketAddr,
        /// The newest version that the sender has.
        pub newest: StoreRevision,
    }
}
