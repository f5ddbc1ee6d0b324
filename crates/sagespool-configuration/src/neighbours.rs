//! Asking neighbours for what is newer, and telling them that there is something.

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

/// Between two questions of a process that has a configuration, on average; only for the age of the
/// store's word, since heartbeats and notices tell of changes.
const POLL_PERIOD: Duration = Duration::from_secs(5);
/// Between two questions of a process that has none yet.
const START_POLL_PERIOD: Duration = Duration::from_millis(200);
/// How long a neighbour may take over one part of its answer.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
const NOTICE_TIMEOUT: Duration = Duration::from_secs(1);
/// Neighbours of each role that are told of a change at once. With four, all but two in a hundred
/// are told by someone; heartbeats tell the rest.
const NOTICE_FANOUT: usize = 4;
/// Parts of one answer; 64 shards of 1 MB come in fewer.
const MAX_REPLY_PARTS: usize = 80;
/// Of so many questions one goes to each of the two first watchers, one to anybody.
const POLL_CYCLE: usize = 3;

/// Whether a process of a role has all that a follower needs.
pub(crate) fn can_answer(scope: ConfigScope, role: MemberRole) -> bool {
    scope == ConfigScope::Fleet || role == MemberRole::Entry
}

impl ConfigFollower {
    /// Asks neighbours whenever one has something newer, and now and then without a cause.
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

    /// Waits until someone is known to have something newer, or a question is due.
    async fn wait_for_hint(&self) -> Option<SocketAddr> {
        let period = match self.state().in_force {
            true => POLL_PERIOD.mul_f64(0.5 + fastrand::f64()),
            false => START_POLL_PERIOD,
        };
        let told = async {
            loop {
                let hinted = self.hint_added.listen();
                let hint = self.state().take_hint();
                if let Some(hint) = hint {
                    return Some(hint.address);
                }
                hinted.await;
            }
        };
        let due = async {
            Timer::after(period).await;
            None
        };
        told.or(due).await
    }

    /// Whom to ask without a cause.
    fn choose_neighbour(
        &self,
        context: &FollowerContext<'_>,
        round: usize,
        now: ClockTime,
    ) -> Option<SocketAddr> {
        let mut live = context.live(now);
        // What a sidecar passes on of the store is older by its own period between two questions.
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

    /// Asks a neighbour for all that is newer, part by part.
    async fn query(&self, context: FollowerContext<'_>, address: SocketAddr) {
        let mut ask = self.state().replica.query();
        for _ in 0..MAX_REPLY_PARTS {
            let request = PeerRequest::AskConfiguration(ask);
            let reply = context.link.ask(address, &request, QUERY_TIMEOUT).await;
            let Ok(PeerReply::Configuration(reply)) = reply else {
                return;
            };
            let next = reply.next;
            if let Some(word) = reply.word {
                self.state().record_peer_contact(word, self.own, ClockTime::now());
            }
            self.apply(context, |state| state.replica.apply_reply(&ask, reply));
            match next {
                Some(next) => ask.after = next,
                None => return,
            }
        }
    }

    /// Tells a few neighbours of a change; whoever lacks it asks for it, and passes it on in turn.
    pub(crate) fn notify_neighbours(
        &self,
        context: FollowerContext<'_>,
        newest: StoreRevision,
        is_fleet: bool,
    ) {
        let now = ClockTime::now();
        let mut told = Vec::new();
        if self.scope == ConfigScope::All {
            told.extend(sample(context.members.live(MemberRole::Entry, now)));
        }
        if is_fleet {
            told.extend(sample(context.members.live(MemberRole::Sidecar, now)));
        }
        let notice = ConfigNotice { from: context.members.own().address, newest };
        for member in told {
            let link = context.link.clone();
            let request = PeerRequest::NoticeConfiguration(notice);
            smol::spawn(async move {
                // A notice that is lost is made up for by the next heartbeat.
                let _ = link.ask(member.address, &request, NOTICE_TIMEOUT).await;
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

/// One of the members with the newest configuration, entries before sidecars.
fn choose_newest(live: &[MemberInfo]) -> Option<SocketAddr> {
    let rank = |member: &MemberInfo| (member.role == MemberRole::Entry, member.config);
    let best = live.iter().map(rank).max()?;
    let best: Vec<_> = live.iter().filter(|member| rank(member) == best).collect();
    fastrand::choice(best).map(|member| member.address)
}
