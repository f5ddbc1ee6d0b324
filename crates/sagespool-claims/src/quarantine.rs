//! The stored record of stopped contents.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sagespool_messages::CrashReport;
use sagespool_types::{
    AttemptNumber, ContentDigest, CrashWeight, RequestId, UpstreamName, WallTime, derives,
};

/// The store's key of the record.
pub const QUARANTINE_KEY: &str = "quarantine";
/// Maximum number of contents kept. Lifted ones are evicted first, then the oldest.
/// At 400 bytes each this is 0.8 MB.
const MAX_ENTRIES: usize = 2000;

derives! { record;
    /// One report of a crash with the content in flight.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct CrashNote {
        /// The request that ran.
        pub request: RequestId,
        /// The attempt that was in flight.
        pub attempt: AttemptNumber,
        /// The upstream that crashed.
        pub upstream: UpstreamName,
        /// How much it counts.
        #[serde(default = "full_weight")]
        pub weight: CrashWeight,
        /// The other digests of the request: its content, and the parts of its prompt.
        #[serde(default)]
        pub company: BTreeSet<ContentDigest>,
    }
}

/// The weight of a note that was stored without one.
fn full_weight() -> CrashWeight {
    CrashWeight::FULL
}

impl CrashNote {
    /// The note of a received report.
    pub fn of(report: &CrashReport) -> Self {
        Self {
            request: report.crash,
            attempt: report.attempt,
            upstream: report.upstream.clone(),
            weight: report.weight,
            company: report.company.clone(),
        }
    }

    /// The report of a note of a content's crash, which was `age` ago.
    pub fn to_report(&self, content: ContentDigest, age: Duration) -> CrashReport {
        CrashReport {
            content,
            crash: self.request,
            upstream: self.upstream.clone(),
            attempt: self.attempt,
            weight: self.weight,
            company: self.company.clone(),
            age,
        }
    }
}

derives! { record;
    /// A content that is stopped, or was lifted after a stop.
    pub struct QuarantineEntry {
        /// The crashes that stopped it.
        pub crashes: BTreeSet<CrashNote>,
        /// Time of the stop or lift, by the writer's wall clock.
        pub at: WallTime,
        /// True if it was lifted; these crashes no longer count.
        pub lifted: bool,
        /// Requests that were let run in spite of the stop, to see whether they succeed.
        #[serde(default)]
        pub trials: usize,
    }
}

impl QuarantineEntry {
    /// The entry of a content that is stopped now, without its crashes.
    pub fn at(now: WallTime) -> Self {
        Self { crashes: BTreeSet::new(), at: now, lifted: false, trials: 0 }
    }
}

derives! { record;
    /// The contents that no process may run. The record keeps a stop when the entries that
    /// received the reports have ended.
    #[derive(Default)]
    #[serde(default)]
    pub struct QuarantineRecord {
        /// Entries by the digest of their content.
        pub contents: BTreeMap<ContentDigest, QuarantineEntry>,
    }
}

/// The result of stopping a content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopOutcome {
    /// The content was not stopped before.
    Stopped,
    /// The content was stopped before; its crashes were added.
    Already,
    /// The content was lifted after these crashes, which no longer count.
    Lifted,
}

impl QuarantineRecord {
    /// Stops a content for its crashes. Idempotent; crashes of a lifted entry don't stop
    /// the content again.
    pub fn stop(
        &mut self,
        content: ContentDigest,
        crashes: &BTreeSet<CrashNote>,
        now: WallTime,
    ) -> StopOutcome {
        let fresh = QuarantineEntry::at(now);
        let is_new = !self.contents.contains_key(&content);
        let entry = self.contents.entry(content).or_insert(fresh);
        if entry.lifted && crashes.is_subset(&entry.crashes) {
            return StopOutcome::Lifted;
        }
        let stopped_now = is_new || entry.lifted;
        if entry.lifted {
            *entry = QuarantineEntry::at(now);
        }
        entry.crashes.extend(crashes.iter().cloned());
        self.evict_oldest();
        if stopped_now { StopOutcome::Stopped } else { StopOutcome::Already }
    }

    /// Lifts a stop, by an operator's command or after a complete run. False if the content
    /// wasn't stopped.
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

    /// The stopped contents, without lifted ones.
    pub fn stopped(&self) -> impl Iterator<Item = (&ContentDigest, &QuarantineEntry)> {
        self.contents.iter().filter(|(_, entry)| !entry.lifted)
    }

    fn evict_oldest(&mut self) {
        if self.contents.len() <= MAX_ENTRIES {
            return;
        }
        let oldest = self.contents.iter().min_by_key(|(_, entry)| (!entry.lifted, entry.at));
        if let Some(content) = oldest.map(|(content, _)| *content) {
            self.contents.remove(&content);
        }
    }
}
