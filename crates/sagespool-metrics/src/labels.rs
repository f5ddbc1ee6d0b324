//! Labels, and the bound on how many of them there are.

use std::collections::HashSet;
use std::hash::Hash;
use std::sync::RwLock;

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};

/// Kinds of calls to the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
#[allow(missing_docs)]
pub enum StoreCallKind {
    Read,
    Write,
    Watch,
    Conflict,
    Failure,
}

/// Why an answer, or a part of one, was thrown away.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum DropCause {
    /// Its caller had gone.
    CallerGone,
    /// It came after its deadline.
    Late,
    /// It came from an attempt that another had replaced.
    Superseded,
    /// It repeated what had come already.
    Duplicate,
    /// It belonged to another request.
    Crossed,
}

/// Which way bytes went over the link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
#[allow(missing_docs)]
pub enum LinkDirection {
    Sent,
    Received,
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
pub(crate) struct DirectionLabel {
    pub direction: LinkDirection,
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
