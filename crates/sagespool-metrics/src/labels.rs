//! Labels, and the bound on how many of them there are.

use std::collections::HashSet;
use std::fmt::{self, Write};
use std::hash::Hash;
use std::sync::RwLock;

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};

macro_rules! label_values {
    ($($(#[$doc:meta])* $visibility:vis enum $name:ident {
        $($(#[$variant_doc:meta])* $variant:ident = $label:literal,)*
    })*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        $visibility enum $name {
            $($(#[$variant_doc])* $variant,)*
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(match self {
                    $(Self::$variant => $label,)*
                })
            }
        }

        impl EncodeLabelValue for $name {
            fn encode(&self, encoder: &mut LabelValueEncoder) -> fmt::Result {
                write!(encoder, "{self}")
            }
        }
    )*};
}

label_values! {
    /// Kinds of calls to the platform's store.
    pub enum StoreCallKind {
        /// A read of one object or a list.
        Read = "read",
        /// A write, conditional or not.
        Write = "write",
        /// A watch that waits for a change.
        Watch = "watch",
        /// A write that came too late: the object had changed.
        Conflict = "conflict",
        /// A call without an answer, or refused for its rate or an outage.
        Failure = "failure",
    }

    /// Why an answer, or a part of one, was thrown away.
    pub enum DropCause {
        /// Its caller had gone.
        CallerGone = "caller-gone",
        /// It came after its deadline.
        Late = "late",
        /// It came from an attempt that another had replaced.
        Superseded = "superseded",
        /// It repeated what had come already.
        Duplicate = "duplicate",
        /// It belonged to another request.
        WrongRequest = "crossed",
    }

    /// What goes over the link.
    pub(crate) enum LinkTraffic {
        /// Everything but requests' and answers' content.
        Control = "control",
        /// Requests' and answers' content.
        Payload = "payload",
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ClassLabel {
    pub class: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct BranchLabel {
    pub branch: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ReasonLabel {
    pub reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct KindLabel {
    pub kind: StoreCallKind,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CauseLabel {
    pub cause: DropCause,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct TrafficLabel {
    pub traffic: LinkTraffic,
}

/// The label of everything beyond the bound. Not a name that a branch can't
/// have: a branch called `other` is counted here too.
pub(crate) const OTHER_LABEL: &str = "other";

/// The first names seen keep a label of their own.
///
/// Guards the process's memory and the size of a scrape: with 57,000
/// branches, histograms for each would be tens of millions of series.
pub(crate) struct LabelBound {
    most: usize,
    known: RwLock<HashSet<String>>,
}

impl LabelBound {
    pub fn new(most: usize) -> Self {
        Self { most, known: RwLock::default() }
    }

    /// The label to count a name under.
    pub fn label_of(&self, name: &str) -> String {
        if self.is_known(name) || self.admit(name) {
            return name.to_owned();
        }
        OTHER_LABEL.to_owned()
    }

    fn is_known(&self, name: &str) -> bool {
        let known = self.known.read().unwrap_or_else(|poisoned| poisoned.into_inner());
        known.contains(name)
    }

    fn admit(&self, name: &str) -> bool {
        let mut known = self.known.write().unwrap_or_else(|poisoned| poisoned.into_inner());
        if known.len() >= self.most {
            return known.contains(name);
        }
        known.insert(name.to_owned());
        true
    }
}
