//! The store's object of stopped contents.

use std::collections::{BTreeMap, BTreeSet};

use sagespool_messages::CrashReport;
use sagespool_types::{AttemptNumber, ContentDigest, RequestId, UpstreamName, WallTime, derives};

/// The store's key of the object.
pub const QUARANTINE_KEY: &str = "quarantine";
/// Most contents kept; the oldest give way. At 400 bytes each, 0.8 MB.
const MOST_ENTRIES: usize = 2000;

derives! { record;
    /// One crash with the content in flight.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct CrashNote {
        /// The request that ran.
        pub request: RequestId,
        /// Which attempt at it.
        pub attempt: AttemptNumber,
        /// The upstream that went down.
        pub upstream: UpstreamName,
    }
}

impl CrashNote {
    /// The note of a report.
    pub fn of(report: &CrashReport) -> Self {
        Self { request: report.crash, attempt: report.attempt, upstream: report.upstream.clone() }
    }
}

derives! { record;
    /// A stopped content, or one that was let go again.
    pub struct QuarantineEntry {
        /// The crashes that stopped it.
        pub crashes: BTreeSet<CrashNote>,
        /// When it was stopped or let go, by the writer's wall clock.
        pub at: WallTime,
        /// True if it was let go: these crashes don't count any more.
        pub lifted: bool,
    }
}

derives! { record;
    /// The contents that no process may run, so that a verdict outlives every entry.
    #[derive(Default)]
    #[serde(default)]
    pub struct QuarantineRecord {
        /// By content.
        pub contents: BTreeMap<ContentDigest, QuarantineEntry>,
    }
}

/// How a intent to stop a content went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopOutcome {
    /// Stopped now.
    Stopped,
    /// Stopped already; its crashes were added.
    Already,
    /// It was let go after these crashes: they don't count.
    Lifted,
}

impl QuarantineRecord {
    /// Stops a content for its crashes. Idempotent; crashes that an operator
    /// has forgiven don't stop it again.
    pub fn stop(
        &mut self,
        content: ContentDigest,
        crashes: &BTreeSet<CrashNote>,
        now: WallTime,
    ) -> StopOutcome {
        let fresh = QuarantineEntry { crashes: BTreeSet::new(), at: now, lifted: false };
        let is_new = !self.contents.contains_key(&content);
        let entry = self.contents.entry(content).or_insert(fresh);
        if entry.lifted && crashes.is_subset(&entry.crashes) {
            return StopOutcome::Lifted;
        }
        let stopped_now = is_new || entry.lifted;
        if entry.lifted {
            *entry = QuarantineEntry { crashes: BTreeSet::new(), at: now, lifted: false };
        }
        entry.crashes.extend(crashes.iter().cloned());
        self.drop_oldest();
        if stopped_now { StopOutcome::Stopped } else { StopOutcome::Already }
    }

    /// Lets a content go: an operator's command, or a run that came through
    /// whole. False if it wasn't stopped.
    pub fn lift(&mut self, content: ContentDigest, now: WallTime) -> bool {
        match self.contents.get_mut(&content) {
            Some(entry) if !entry.lifted => {
                entry.lifted = true;
                entry.at = now;
                true
            }
            _ => false,
        }
    }

    /// The stopped contents, without those let go.
    pub fn stopped(&self) -> impl Iterator<Item = (&ContentDigest, &QuarantineEntry)> {
        self.contents.iter().filter(|(_, entry)| !entry.lifted)
    }

    fn drop_oldest(&mut self) {
        if self.contents.len() <= MOST_ENTRIES {
            return;
        }
        let oldest = self.contents.iter().min_by_key(|(_, entry)| (!entry.lifted, entry.at));
        if let Some(content) = oldest.map(|(content, _)| *content) {
            self.contents.remove(&content);
        }
    }
}
