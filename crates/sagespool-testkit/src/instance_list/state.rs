//! The visible instances and the changes that are not visible yet.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use sagespool_messages::MemberRole;
use sagespool_types::{CentreName, ClockTime, InstanceName, RegionName, StoreRevision, derives};

derives! { value;
    /// The state of an instance in the list.
    #[serde(rename_all = "kebab-case")]
    pub enum InstanceState {
        /// The instance runs.
        Live,
        /// The instance is about to be stopped.
        Leaving,
    }
}

derives! { record;
    /// An instance as it appears in the list.
    pub struct InstanceEntry {
        /// Name of the instance.
        pub instance: InstanceName,
        /// Entry or sidecar.
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

/// A change of the instances.
#[derive(Debug, Clone)]
pub(super) enum ListChange {
    Set(InstanceEntry),
    Remove(InstanceName),
    MarkLeaving(InstanceName),
}

/// The visible list and the pending changes.
#[derive(Debug)]
pub(super) struct ListState {
    lag: Duration,
    revision: StoreRevision,
    visible: BTreeMap<InstanceName, InstanceEntry>,
    pending: VecDeque<(ClockTime, ListChange)>,
    stopping: bool,
}

impl ListState {
    pub(super) fn new(lag: Duration) -> Self {
        Self {
            lag,
            revision: StoreRevision::ZERO,
            visible: BTreeMap::new(),
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

    /// Adds a change. It becomes visible after the lag, and never before an earlier change.
    pub(super) fn add_change(&mut self, change: ListChange, now: ClockTime) {
        self.pending.push_back((now.after(self.lag), change));
    }

    /// Applies the pending changes that are due, in order.
    pub(super) fn advance(&mut self, now: ClockTime) {
        while self.next_due().is_some_and(|visible_at| visible_at <= now) {
            let Some((_, change)) = self.pending.pop_front() else { return };
            self.apply(change);
        }
    }

    /// When the next pending change becomes visible.
    pub(super) fn next_due(&self) -> Option<ClockTime> {
        self.pending.front().map(|(visible_at, _)| *visible_at)
    }

    pub(super) fn revision(&self) -> StoreRevision {
        self.revision
    }

    pub(super) fn listed(&self) -> Vec<InstanceEntry> {
        self.visible.values().cloned().collect()
    }

    fn apply(&mut self, change: ListChange) {
        let changed = match change {
            ListChange::Set(entry) => self.set_entry(entry),
            ListChange::Remove(instance) => self.visible.remove(&instance).is_some(),
            ListChange::MarkLeaving(instance) => self.set_leaving(&instance),
        };
        if changed {
            self.revision += StoreRevision(1);
        }
    }

    fn set_entry(&mut self, entry: InstanceEntry) -> bool {
        let before = self.visible.insert(entry.instance.clone(), entry.clone());
        before != Some(entry)
    }

    fn set_leaving(&mut self, instance: &InstanceName) -> bool {
        let Some(entry) = self.visible.get_mut(instance) else { return false };
        let was = std::mem::replace(&mut entry.state, InstanceState::Leaving);
        was != InstanceState::Leaving
    }
}
