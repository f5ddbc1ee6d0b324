//! Queries to neighbours for newer objects, and notices to them.

use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::FutureExt;
use sagespool_membership::watch_order;
use sagespool_messages::{
    ConfigNotice, ConfigScope, MemberInfo, MemberRole, PeerReply, PeerRequest,
};
use sagespool_types::{ClockTime, StoreRevision};
use smol::Timer;

use crate::{ConfigFollower, FollowerContext};

/// Average time between two queries of a process that has a configuration. These only refresh the
/// age of the last contact with the store; heartbeats and notices report changes.
const POLL_PERIOD: Duration = Duration::from_secs(5);
/// Time between two queries of a process that has no configuration yet.
const START_POLL_PERIOD: Duration = Duration::from_millis(200);
/// Timeout of one part of a reply.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
const NOTICE_TIMEOUT: Duration = Duration::from_secs(1);
/// Neighbours of each role that are notified of a change. With four, 98 % of the processes are
/// notified by someone; heartbeats reach the rest.
const NOTICE_FANOUT: usize = 4;
/// Limit of the parts of one reply; 64 shards of 1 MB need fewer.
const MAX_REPLY_PARTS: usize = 80;
/// Queries per cycle: one to each of the first two watchers, one to a random neighbour.
const POLL_CYCLE: usize = 3;

/// Whether a process of a role holds all objects that a follower needs.
pub(crate) fn can_answer(scope: ConfigScope, role: MemberRole) -> bool {
    scope == ConfigScope::Fleet || role == MemberRole::Entry
}

impl ConfigFollower {
    /// Queries neighbours whenever one has a newer version, and periodically without a hint.
    pub(crate) async fn query_neighbours(&self, context: FollowerContext<'_>) {
        for round in 0.. {
            let hinted = self.wait_for_hint().await;
            let now = ClockTime::now();
            let address = hinted.or_else(|| self.choose_neighbour(&context, round, now));
            if let Some(address) = address {
                self.query(context, address).await;
            }
            self.try_begin(context);
        }
    }

    /// Waits until a member is known to have a newer version, or a periodic query is due.
    async fn wait_for_hint(&self) -> Option<SocketAddr> {
        let period = match self.state().in_force {
            true => POLL_PERIOD.mul_f64(0.5 + fastrand::f64()),
            false => START_POLL_PERIOD,
        };
        let hint_taken = async {
            loop {
                let added = self.hint_added.listen();
                let hint = self.state().take_hint();
                if let Some(hint) = hint {
                    return Some(hint.address);
                }
                added.await;
            }
        };
        let due = async {
            Timer::after(period).await;
            None
        };
        hint_taken.or(due).await
    }

    /// The neighbour for a periodic query.
    fn choose_neighbour(
        &self,
        context: &FollowerContext<'_>,
        round: usize,
        now: ClockTime,
    ) -> Option<SocketAddr> {
        let mut live = context.live(now);
        // The contact age that a sidecar passes on is older by its own query period.
        let has_entry = live.iter().any(|member| member.role == MemberRole::Entry);
        live.retain(|member| {
            let is_best = member.role == MemberRole::Entry || !has_entry;
            is_best && can_answer(self.scope, member.role)
        });
        if !self.state().in_force {
            return choose_newest(&live);
        }
        let own = context.members.own();
        let order = watch_order(&own, &live);
        let watcher = order.get(round % POLL_CYCLE).filter(|_| round % POLL_CYCLE < 2);
        let watcher = watcher.filter(|member| member.incarnation != self.own);
        watcher.map(|member| member.address).or_else(|| fastrand::choice(&live).map(|m| m.address))
    }

    /// Queries a neighbour for all newer objects, part by part.
    async fn query(&self, context: FollowerContext<'_>, address: SocketAddr) {
        let mut query = self.state().replica.query();
        for _ in 0..MAX_REPLY_PARTS {
            let request = PeerRequest::AskConfiguration(query);
            let reply = context.link.request(address, &request, QUERY_TIMEOUT).await;
            let Ok(PeerReply::Configuration(reply)) = reply else {
                return;
            };
            let next = reply.next;
            if let Some(contact) = reply.word {
                self.state().record_peer_contact(contact, self.own, ClockTime::now());
            }
            self.apply(context, |state| state.replica.apply_reply(&query, reply));
            match next {
                Some(next) => query.after = next,
                None => return,
            }
        }
    }

    /// Notifies a few neighbours of a change. Those that lack it query it and notify others.
    pub(crate) fn notify_neighbours(
        &self,
        context: FollowerContext<'_>,
        newest: StoreRevision,
        is_fleet: bool,
    ) {
        let now = ClockTime::now();
        let mut receivers = Vec::new();
        if self.scope == ConfigScope::All {
            receivers.extend(sample(context.members.live(MemberRole::Entry, now)));
        }
        if is_fleet {
            receivers.extend(sample(context.members.live(MemberRole::Sidecar, now)));
        }
        let notice = ConfigNotice { from: context.members.own().address, newest };
        for member in receivers {
            let link = context.link.clone();
            let request = PeerRequest::NoticeConfiguration(notice);
            smol::spawn(async move {
                // The next heartbeat makes up for a lost notice.
                let _ = link.request(member.address, &request, NOTICE_TIMEOUT).await;
            })
            .detach();
        }
    }
}

fn sample(mut members: Vec<MemberInfo>) -> Vec<MemberInfo> {
    fastrand::shuffle(&mut members);
    members.truncate(NOTICE_FANOUT);
    members
}

/// A random member among those with the newest configuration; entries before sidecars.
fn choose_newest(live: &[MemberInfo]) -> Option<SocketAddr> {
    let rank = |member: &MemberInfo| (member.role == MemberRole::Entry, member.config);
    let best = live.iter().map(rank).max()?;
    let best: Vec<_> = live.iter().filter(|member| rank(member) == best).collect();
    fastrand::choice(best).map(|member| member.address)
}
