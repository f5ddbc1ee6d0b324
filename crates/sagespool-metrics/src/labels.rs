//! Metric labels, and the limit on their number.

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
    /// The kind of a call to the platform's store, or its failure.
    pub enum StoreCallKind {
        /// A read of one object or a list.
        Read = "read",
        /// A write, conditional or not.
        Write = "write",
        /// A watch, which waits for a change.
        Watch = "watch",
        /// A conditional write that was refused because the object had changed.
        Conflict = "conflict",
        /// A call without a reply, or refused because of a rate limit or an outage.
        Failure = "failure",
    }

    /// Why an answer, or a part of one, was dropped.
    pub enum DropCause {
        /// The caller had disconnected.
        CallerGone = "caller-gone",
        /// It arrived after the deadline.
        Late = "late",
        /// It came from an attempt that another attempt had replaced.
        Superseded = "superseded",
        /// It repeated a part that was received already.
        Duplicate = "duplicate",
        /// It belonged to another request.
        WrongRequest = "crossed",
    }

    /// The traffic on the link between processes.
    pub(crate) enum LinkTraffic {
        /// All messages except payload.
        Control = "control",
        /// The content of requests and answers.
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

/// The label of all names beyond the limit. It isn't reserved: a branch named
/// `other` is counted here too.
pub(crate) const OTHER_LABEL: &str = "other";

/// Limits the labels of a metric: only the first names seen get their own.
///
/// Guards the process's memory and the size of a scrape: with 57,000 branches,
/// histograms for each of them would be tens of millions of series.
pub(crate) struct LabelLimiter {
    max_labels: usize,
    own_labels: RwLock<HashSet<String>>,
}

impl LabelLimiter {
    pub fn new(max_labels: usize) -> Self {
        Self { max_labels, own_labels: RwLock::default() }
    }

    /// The name itself, or [`OTHER_LABEL`] beyond the limit.
    pub fn label_of(&self, name: &str) -> String {
        if self.has_own_label(name) || self.try_add(name) {
            return name.to_owned();
        }
        OTHER_LABEL.to_owned()
    }

    fn has_own_label(&self, name: &str) -> bool {
        let own_labels = self.own_labels.read().unwrap_or_else(|poisoned| poisoned.into_inner());
        own_labels.contains(name)
    }

    fn try_add(&self, name: &str) -> bool {
        let mut own_labels =
            self.own_labels.write().unwrap_or_else(|poisoned| poisoned.into_inner());
        if own_labels.len() >= self.max_labels {
            return own_labels.contains(name);
        }
        own_labels.insert(name.to_owned());
        true
    }
}
