//! What is true, and what the list shows of it yet.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use sagespool_messages::MemberRole;
use sagespool_types::{CentreName, ClockTime, InstanceName, RegionName, StoreRevision, derives};

derives! { value;
    /// What the list says of an instance.
    #[serde(rename_all = "kebab-case")]
    pub enum InstanceState {
        /// It runs.
        Live,
        /// It is about to be stopped.
        Leaving,
    }
}

derives! { record;
    /// One instance, as the list shows it.
    pub struct InstanceEntry {
        /// Its name.
        pub instance: InstanceName,
        /// What its process does.
        pub role: MemberRole,
        /// Its region.
        pub region: RegionName,
        /// Its data centre.
        pub centre: CentreName,
        /// Where its link is reached.
        pub address: SocketAddr,
        /// Live or leaving.
        pub state: InstanceState,
    }
}

/// One change of the truth.
#[derive(Debug, Clone)]
pub(super) enum ListChange {
    Set(InstanceEntry),
    Remove(InstanceName),
    MarkLeaving(InstanceName),
}

/// The list, and the changes that it doesn't show yet.
#[derive(Debug)]
pub(super) struct ListState {
    lag: Duration,
    revision: StoreRevision,
    shown: BTreeMap<InstanceName, InstanceEntry>,
    pending: VecDeque<(ClockTime, ListChange)>,
    stopping: bool,
}

impl ListState {
    pub(super) fn new(lag: Duration) -> Self {
        Self {
            lag,
            revision: StoreRevision::ZERO,
            shown: BTreeMap::new(),
            pending: VecDeque::new(),
            stopping: false,
        }
    }

    pub(super) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    pub(super) fn stop(&mut self) {
        self.stopping = true;
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Enters a change, which shows after the lag and never before an earlier change.
    pub(super) fn enter(&mut self, change: ListChange, now: ClockTime) {
        self.pending.push_back((now.after(self.lag), change));
    }

    /// Shows what is due by now, up to the first change that isn't.
    pub(super) fn advance(&mut self, now: ClockTime) {
        while self.next_due().is_some_and(|shows_at| shows_at <= now) {
            let Some((_, change)) = self.pending.pop_front() else { return };
            self.show(change);
        }
    }

    /// When the next change shows.
    pub(super) fn next_due(&self) -> Option<ClockTime> {
        self.pending.front().map(|(shows_at, _)| *shows_at)
    }

    pub(super) fn revision(&self) -> StoreRevision {
        self.revision
    }

    pub(super) fn listed(&self) -> Vec<InstanceEntry> {
        self.shown.values().cloned().collect()
    }

    fn show(&mut self, change: ListChange) {
        let changed = match change {
            ListChange::Set(entry) => self.show_entry(entry),
            ListChange::Remove(instance) => self.shown.remove(&instance).is_some(),
            ListChange::MarkLeaving(instance) => self.show_leaving(&instance),
        };
        if changed {
            self.revision += StoreRevision(1);
        }
    }

    fn show_entry(&mut self, entry: InstanceEntry) -> bool {
        let before = self.shown.insert(entry.instance.clone(), entry.clone());
        before != Some(entry)
    }

    fn show_leaving(&mut self, instance: &InstanceName) -> bool {
        let Some(entry) = self.shown.get_mut(instance) else { return false };
        let was = std::mem::replace(&mut entry.state, InstanceState::Leaving);
        was != InstanceState::Leaving
    }
}
