//! The public face of a view: one lock around it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use sagespool_messages::{Heartbeat, MemberInfo, MemberRole};
use sagespool_types::{BranchName, ClockTime, IncarnationId};

use crate::home::home_order;
use crate::policy::MembershipPolicy;
use crate::record::ListedMember;
use crate::view::MemberView;

/// What changed in a view after some point.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberChanges {
    /// To be handed to the next call of [`MemberTable::changes_since`].
    pub number: u64,
    /// Members that are new, or whose description, load or configuration changed.
    pub updated: Vec<MemberInfo>,
    /// Members believed dead, or replaced by a newer run of their instance.
    pub gone: Vec<IncarnationId>,
}

/// One process's view of the fleet.
///
/// No promise to callers rests on it. A member that is wrongly believed dead,
/// or two entries that both think they are home of a branch, cost time and
/// store calls; budgets, claims and leaving upstreams are guarded by the store
/// and by the sidecars.
#[derive(Debug)]
pub struct MemberTable {
    view: Mutex<MemberView>,
}

impl MemberTable {
    /// A view that knows only its own process. Give `own.number` the value of
    /// [`crate::initial_heartbeat_number`]; `seed` drives the choice of neighbours.
    pub fn new(own: MemberInfo, policy: MembershipPolicy, seed: u64) -> Self {
        Self { view: Mutex::new(MemberView::new(own, policy, seed)) }
    }

    fn view(&self) -> MutexGuard<'_, MemberView> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the own description. `number` rises by itself, instance and
    /// incarnation stay, and `leaving` is never taken back. A change that
    /// every member should know (leaving, health, models, capacity) makes the
    /// next call of [`Self::due_heartbeats`] a round.
    pub fn update_own(&self, change: impl FnOnce(&mut MemberInfo)) {
        self.view().update_own(change);
    }

    /// The own description.
    pub fn own(&self) -> MemberInfo {
        self.view().own.clone()
    }

    /// The heartbeats to send now, each to an address. To be called every
    /// 100 ms or so; a longer pause than the policy's `stall_limit` is taken
    /// for a pause of this process, and all its peers get their time anew.
    pub fn due_heartbeats(&self, now: ClockTime) -> Vec<(SocketAddr, Heartbeat)> {
        self.view().due(now)
    }

    /// Takes in a peer's heartbeat and returns the answer to it.
    pub fn handle_heartbeat(&self, beat: &Heartbeat, now: ClockTime) -> Heartbeat {
        self.view().received(beat, now)
    }

    /// Takes in the answer to a heartbeat sent to `address`.
    pub fn handle_reply(&self, address: SocketAddr, beat: &Heartbeat, now: ClockTime) {
        self.view().answered(address, beat, now);
    }

    /// A heartbeat, or any other request, to `address` was not answered.
    pub fn record_call_failure(&self, address: SocketAddr, now: ClockTime) {
        let mut view = self.view();
        view.advance(now);
        view.missed(address, now);
    }

    /// Takes in the instance list: addresses to try, and who is leaving. True
    /// if the own instance is to leave. The list lags, so it neither adds nor
    /// removes a member.
    ///
    /// It names instances, not runs of their processes: one that is started
    /// again finds the word about its predecessor still there, and would end as
    /// soon as it began. So a run that the list has never shown otherwise waits
    /// for as long as a list may lag before it takes the word for its own; it
    /// takes no work meanwhile, see `is_listed_leaving`.
    pub fn apply_instance_list(&self, instances: &[ListedMember], now: ClockTime) -> bool {
        let addresses: BTreeSet<_> = instances.iter().map(|listed| listed.address).collect();
        let leaving = instances.iter().filter(|listed| listed.leaving);
        let leaving: BTreeSet<_> = leaving.map(|listed| listed.instance.clone()).collect();
        let mut view = self.view();
        let own_leaving = leaving.contains(&view.own.instance);
        view.seeds.listed(&addresses, now);
        view.list_leaving(leaving, now);
        view.is_to_leave(own_leaving, now)
    }

    /// Whether the instance list shows the own instance as leaving.
    pub fn is_listed_leaving(&self) -> bool {
        let view = self.view();
        view.listed_leaving.contains(&view.own.instance)
    }

    /// Addresses to try from the settings; they are never dropped.
    pub fn add_seeds(&self, addresses: &[SocketAddr], now: ClockTime) {
        self.view().seeds.settings(addresses, now);
    }

    /// Members whose load this process wants to know in a fleet too large for
    /// everyone's load to reach everyone: each round calls the next of them.
    pub fn watch(&self, members: Vec<IncarnationId>) {
        self.view().rounds.watched = members;
    }

    /// Everyone not believed gone, this process included.
    pub fn members(&self) -> Vec<MemberInfo> {
        let view = self.view();
        let others = view.present.iter().filter_map(|incarnation| view.records.get(incarnation));
        let others = others.map(|record| &record.info);
        others.chain([&view.own]).map(|info| view.shown(info)).collect()
    }

    /// Members of a role that are fit to be given work: not suspected, and
    /// reached from here. Leaving ones are among them, marked; this process
    /// itself is not.
    pub fn live(&self, role: MemberRole, now: ClockTime) -> Vec<MemberInfo> {
        let mut view = self.view();
        view.advance(now);
        let limit = view.policy.missed_limit;
        let others = view.present.iter().filter_map(|incarnation| view.records.get(incarnation));
        others
            .filter(|record| record.info.role == role && record.is_usable(limit))
            .map(|record| view.shown(&record.info))
            .collect()
    }

    /// A member by its incarnation, also if it is believed gone.
    pub fn find(&self, incarnation: IncarnationId) -> Option<MemberInfo> {
        let view = self.view();
        if incarnation == view.own.incarnation {
            return Some(view.shown(&view.own));
        }
        view.records.get(&incarnation).map(|record| view.shown(&record.info))
    }

    /// True if an incarnation is believed dead, was replaced by a newer run of
    /// its instance, or is unknown to a view that has settled. A belief: it
    /// says that recovery may be tried, never that the process does nothing.
    pub fn is_gone(&self, incarnation: IncarnationId, now: ClockTime) -> bool {
        let mut view = self.view();
        view.advance(now);
        if incarnation == view.own.incarnation {
            return false;
        }
        match view.records.get(&incarnation) {
            Some(record) => record.is_gone(),
            None => view.rounds.settled,
        }
    }

    /// True once this view has been quiet for long enough to count as complete.
    pub fn is_settled(&self) -> bool {
        self.view().rounds.settled
    }

    /// The entry that is home of a branch, by what this process sees: one of
    /// its own region that isn't leaving. Nothing if there is none.
    pub fn home_of(&self, branch: &BranchName, now: ClockTime) -> Option<MemberInfo> {
        self.homes_of(branch, 1, now).pop()
    }

    /// The home of a branch and those next in order, at most `most`.
    pub fn homes_of(&self, branch: &BranchName, most: usize, now: ClockTime) -> Vec<MemberInfo> {
        let mut view = self.view();
        view.advance(now);
        let order = home_order(view.homes(), branch, most);
        let own = view.own.incarnation;
        let info_of = |incarnation| match incarnation == own {
            true => Some(&view.own),
            false => view.records.get(&incarnation).map(|record| &record.info),
        };
        order.into_iter().filter_map(info_of).cloned().collect()
    }

    /// Since when this process has been home of a branch, as far as it can know:
    /// no entry before it in the branch's order was fit since, and nobody
    /// doubted this process. Nothing if it isn't home now. What an earlier home
    /// was told of the branch's keys isn't known here.
    pub fn home_since(&self, branch: &BranchName, now: ClockTime) -> Option<ClockTime> {
        let mut view = self.view();
        view.advance(now);
        view.home_since(branch, now)
    }

    /// Since when no other process can have taken a branch's requests in this
    /// one's place without its knowledge: no entry was lost, suspected, leaving
    /// or out of reach since. Nothing while there are entries of other regions,
    /// which have homes of their own.
    pub fn exclusive_since(&self, now: ClockTime) -> Option<ClockTime> {
        let mut view = self.view();
        view.advance(now);
        view.exclusive_since(now)
    }

    /// What changed after `number`, 0 for everything.
    pub fn changes_since(&self, number: u64) -> MemberChanges {
        let view = self.view();
        let (number, changed) = view.changed_since(number);
        let (gone, updated): (Vec<_>, Vec<_>) =
            changed.into_iter().partition(|record| record.is_gone());
        MemberChanges {
            number,
            updated: updated.into_iter().map(|record| view.shown(&record.info)).collect(),
            gone: gone.into_iter().map(|record| record.info.incarnation).collect(),
        }
    }
}
