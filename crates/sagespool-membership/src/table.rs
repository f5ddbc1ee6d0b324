//! The public interface of a view, guarded by one lock.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use sagespool_messages::{Heartbeat, MemberInfo, MemberRole};
use sagespool_types::{BranchName, CentreName, ClockTime, IncarnationId};

use crate::home::home_order;
use crate::policy::MembershipPolicy;
use crate::record::ListedMember;
use crate::view::MemberView;

/// The changes of a view after a position of its change log.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberChanges {
    /// The log's newest position, for the next call of [`MemberTable::changes_since`].
    pub position: u64,
    /// Members that are new, or whose description, load or configuration changed.
    pub updated: Vec<MemberInfo>,
    /// Members that are dead, or replaced by a newer run of their instance.
    pub gone: Vec<IncarnationId>,
}

/// One process's view of the fleet.
///
/// The view is advisory: a member that is wrongly taken for dead, or two entries that both act
/// as home of a branch, cost time and store calls. Budgets, claims and leaving upstreams are
/// guarded by the store and by the sidecars.
#[derive(Debug)]
pub struct MemberTable {
    view: Mutex<MemberView>,
}

impl MemberTable {
    /// A view that holds only its own process. `own.number` has to come from
    /// [`crate::initial_heartbeat_number`]; `seed` drives the random choice of neighbours.
    pub fn new(own: MemberInfo, policy: MembershipPolicy, seed: u64) -> Self {
        Self { view: Mutex::new(MemberView::new(own, policy, seed)) }
    }

    fn view(&self) -> MutexGuard<'_, MemberView> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the own description. `number` is raised automatically, instance and incarnation
    /// can't change, and `leaving` can't be unset. A change that every member needs (leaving,
    /// health, models, capacity) makes the next call of [`Self::due_heartbeats`] start a round.
    pub fn update_own(&self, change: impl FnOnce(&mut MemberInfo)) {
        self.view().update_own(change);
    }

    /// The own description, without the instance list's leaving state.
    pub fn own(&self) -> MemberInfo {
        self.view().own.clone()
    }

    /// The heartbeats to send now, each with its address. To be called about every 100 ms; a
    /// longer interval than the policy's `stall_threshold` counts as a pause of this process and
    /// restarts the timeouts of all peers.
    pub fn due_heartbeats(&self, now: ClockTime) -> Vec<(SocketAddr, Heartbeat)> {
        self.view().due_heartbeats(now)
    }

    /// Handles a peer's heartbeat and returns the reply to it.
    pub fn handle_heartbeat(&self, heartbeat: &Heartbeat, now: ClockTime) -> Heartbeat {
        self.view().handle_heartbeat(heartbeat, now)
    }

    /// Handles the reply to a heartbeat sent to `address`.
    pub fn handle_reply(&self, address: SocketAddr, heartbeat: &Heartbeat, now: ClockTime) {
        self.view().handle_reply(address, heartbeat, now);
    }

    /// Records that a heartbeat, or any other request, to `address` was not answered.
    pub fn record_call_failure(&self, address: SocketAddr, now: ClockTime) {
        let mut view = self.view();
        view.advance(now);
        view.record_missed_call(address, now);
    }

    /// Applies the platform's instance list: seed addresses, and leaving instances. True if this
    /// process has to leave. The list lags, so it neither adds nor removes a member.
    ///
    /// The list names instances, not runs of their processes. After a restart it may still show
    /// the instance as leaving, which refers to the earlier run, and the new run would stop as
    /// soon as it started. So a run that was never listed otherwise waits for the longest lag of
    /// the list before it leaves; meanwhile it accepts no work, see `is_listed_leaving`.
    pub fn apply_instance_list(&self, instances: &[ListedMember], now: ClockTime) -> bool {
        let addresses: BTreeSet<_> = instances.iter().map(|listed| listed.address).collect();
        let leaving = instances.iter().filter(|listed| listed.leaving);
        let leaving: BTreeSet<_> = leaving.map(|listed| listed.instance.clone()).collect();
        let mut view = self.view();
        let own_leaving = leaving.contains(&view.own.instance);
        view.seeds.set_listed(&addresses, now);
        view.set_listed_leaving(leaving, now);
        view.should_leave(own_leaving, now)
    }

    /// Whether the instance list shows the own instance as leaving.
    pub fn is_listed_leaving(&self) -> bool {
        let view = self.view();
        view.listed_leaving.contains(&view.own.instance)
    }

    /// Adds seed addresses from the settings, which are never removed.
    pub fn add_seeds(&self, addresses: &[SocketAddr], now: ClockTime) {
        self.view().seeds.add_configured(addresses, now);
    }

    /// Sets the members whose load this process needs in a fleet too large for gossip to carry
    /// every load. Each round calls the next of them.
    pub fn set_watched(&self, members: Vec<IncarnationId>) {
        self.view().rounds.watched = members;
    }

    /// Whether no other member is known that isn't gone.
    pub fn is_alone(&self) -> bool {
        self.view().present.is_empty()
    }

    /// All members that aren't gone, this process included.
    pub fn members(&self) -> Vec<MemberInfo> {
        let view = self.view();
        let others = view.present.iter().filter_map(|incarnation| view.records.get(incarnation));
        let others = others.map(|record| &record.info);
        others.chain([&view.own]).map(|info| view.effective_info(info)).collect()
    }

    /// The number of entries that branches' homes are chosen from.
    pub fn home_count(&self) -> usize {
        self.view().homes().len()
    }

    /// Members of a role that are fit for work: not suspected, and reachable from here. Leaving
    /// members are included and marked; this process is not.
    pub fn live(&self, role: MemberRole, now: ClockTime) -> Vec<MemberInfo> {
        self.live_where(|info| info.role == role, now)
    }

    /// Members of a role in one data centre, otherwise like [`Self::live`].
    pub fn live_in(
        &self,
        centre: &CentreName,
        role: MemberRole,
        now: ClockTime,
    ) -> Vec<MemberInfo> {
        self.live_where(|info| info.role == role && info.centre == *centre, now)
    }

    fn live_where(
        &self,
        is_wanted: impl Fn(&MemberInfo) -> bool,
        now: ClockTime,
    ) -> Vec<MemberInfo> {
        let mut view = self.view();
        view.advance(now);
        let limit = view.policy.missed_call_limit;
        let others = view.present.iter().filter_map(|incarnation| view.records.get(incarnation));
        others
            .filter(|record| is_wanted(&record.info) && record.is_usable(limit))
            .map(|record| view.effective_info(&record.info))
            .collect()
    }

    /// A member by its incarnation, also if it is gone.
    pub fn find(&self, incarnation: IncarnationId) -> Option<MemberInfo> {
        let view = self.view();
        if incarnation == view.own.incarnation {
            return Some(view.effective_info(&view.own));
        }
        view.records.get(&incarnation).map(|record| view.effective_info(&record.info))
    }

    /// True if an incarnation is dead, was replaced by a newer run of its instance, or is
    /// unknown to a settled view. It allows recovery to be tried; it doesn't prove that the
    /// process has stopped.
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

    /// True once the view counts as complete.
    pub fn is_settled(&self) -> bool {
        self.view().rounds.settled
    }

    /// The home of a branch in this view: an entry of the own region that isn't leaving.
    /// `None` if there is no such entry.
    pub fn home_of(&self, branch: &BranchName, now: ClockTime) -> Option<MemberInfo> {
        self.homes_of(branch, 1, now).pop()
    }

    /// The first `limit` entries in a branch's rendezvous order, the home first.
    pub fn homes_of(&self, branch: &BranchName, limit: usize, now: ClockTime) -> Vec<MemberInfo> {
        self.homes_of_subject(branch.as_str(), limit, now)
    }

    /// The first `limit` entries in the rendezvous order of anything that has a name.
    pub fn homes_of_subject(&self, subject: &str, limit: usize, now: ClockTime) -> Vec<MemberInfo> {
        let mut view = self.view();
        view.advance(now);
        let order = home_order(view.homes(), subject, limit);
        let own = view.own.incarnation;
        let info_of = |incarnation| match incarnation == own {
            true => Some(&view.own),
            false => view.records.get(&incarnation).map(|record| &record.info),
        };
        order.into_iter().filter_map(info_of).cloned().collect()
    }

    /// The first `limit` reachable sidecars of the own region in the rendezvous order of anything that
    /// has a name.
    pub fn sidecars_of_subject(
        &self,
        subject: &str,
        limit: usize,
        now: ClockTime,
    ) -> Vec<MemberInfo> {
        let mut view = self.view();
        view.advance(now);
        let order = home_order(&view.sidecars(), subject, limit);
        let records = order.into_iter().filter_map(|incarnation| view.records.get(&incarnation));
        records.map(|record| record.info.clone()).collect()
    }

    /// Since when this process has been home of a branch: since then no entry before it in the
    /// branch's order was fit for work, and this process was neither suspected nor paused. `None`
    /// if it isn't home now. Keys of the branch that an earlier home received aren't known here.
    pub fn home_since(&self, branch: &BranchName, now: ClockTime) -> Option<ClockTime> {
        let mut view = self.view();
        view.advance(now);
        view.home_since(branch, now)
    }

    /// Since when no other process can have handled a branch's requests without this one
    /// noticing: since then no entry was lost, suspected, leaving or unreachable. `None` while
    /// there are entries of other regions, which have homes of their own.
    pub fn exclusive_since(&self, now: ClockTime) -> Option<ClockTime> {
        let mut view = self.view();
        view.advance(now);
        view.exclusive_since(now)
    }

    /// All changes after a position of the change log; 0 for all members.
    pub fn changes_since(&self, position: u64) -> MemberChanges {
        let view = self.view();
        let (position, changed) = view.changed_since(position);
        let (gone, updated): (Vec<_>, Vec<_>) =
            changed.into_iter().partition(|record| record.is_gone());
        MemberChanges {
            position,
            updated: updated.into_iter().map(|record| view.effective_info(&record.info)).collect(),
            gone: gone.into_iter().map(|record| record.info.incarnation).collect(),
        }
    }
}
