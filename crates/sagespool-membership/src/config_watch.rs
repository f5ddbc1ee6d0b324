//! Which members watch the store for configuration changes.
//!
//! The first few members in each data centre's rendezvous order watch, by each process's own
//! view; the others get changes from their neighbours. Views differ, so temporarily more or
//! fewer members may watch. More cost the store extra calls; too few are detected by
//! [`WatchRank::should_watch`].

use std::time::Duration;

use bon::Builder;
use sagespool_messages::{MemberInfo, MemberRole};

use crate::home::{hash_of, weight};

/// Takes the place of the branch's hash in the rendezvous order of homes.
const SUBJECT_HASH: u64 = 0x636f_6e66_6967_7572;

/// How many members watch, and when others take over.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
pub struct WatchPolicy {
    /// Watchers per data centre. Two, so that one that is paused or cut off causes no delay.
    #[builder(default = 2)]
    pub watchers: usize,
    /// Time without contact with the store after which the next tier watches. Longer than a
    /// watcher's long poll and the time between two queries to it together.
    #[builder(default = Duration::from_secs(15))]
    pub silence_limit: Duration,
    /// Additional wait of each further tier.
    #[builder(default = Duration::from_secs(2))]
    pub tier_step: Duration,
    /// Time after the start in which a process without known members doesn't watch yet.
    #[builder(default = Duration::from_millis(500))]
    pub start_grace: Duration,
}

impl Default for WatchPolicy {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// The members of the own data centre in the order in which they watch. Entries precede
/// sidecars, since entries need all objects and sidecars only one. `live` holds the other
/// reachable members.
pub fn watch_order(own: &MemberInfo, live: &[MemberInfo]) -> Vec<MemberInfo> {
    let others = live.iter().filter(|member| member.instance != own.instance);
    let near = |member: &&MemberInfo| member.region == own.region && member.centre == own.centre;
    let fit = |member: &&MemberInfo| !member.leaving;
    let mut order: Vec<MemberInfo> =
        others.chain([own]).filter(near).filter(fit).cloned().collect();
    order.sort_by_cached_key(|member| {
        let is_sidecar = member.role == MemberRole::Sidecar;
        let weight = weight(hash_of(&member.instance), SUBJECT_HASH);
        (is_sidecar, std::cmp::Reverse(weight), member.instance.clone())
    });
    order
}

/// A process's rank in the watch order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WatchRank {
    /// 0 for the regular watchers; each further tier takes over when all before it fail.
    pub tier: u32,
}

impl WatchRank {
    /// The rank of the own process in an order from [`watch_order`]; `None` if it isn't part of
    /// it because it is leaving.
    pub fn of(own: &MemberInfo, order: &[MemberInfo], policy: &WatchPolicy) -> Option<Self> {
        let position = order.iter().position(|member| member.incarnation == own.incarnation)?;
        let entries = order.iter().filter(|member| member.role == MemberRole::Entry).count();
        // A sidecar watches one object only, so it doesn't stand in for an entry.
        let (before, position) = match own.role {
            MemberRole::Entry => (0, position),
            MemberRole::Sidecar => (entries.div_ceil(policy.watchers), position - entries),
        };
        Some(Self { tier: (before + position / policy.watchers) as u32 })
    }

    /// Whether to watch, given the time since any other process is known to have reached the
    /// store.
    ///
    /// Guards against watchers that are alive and can't reach the store: no changes would arrive,
    /// and their neighbours couldn't distinguish that from a store without changes. The age of the
    /// last known contact with the store then grows. Tiers take over one after the other, so that
    /// a member with access to the store is found without all of a data centre trying at once.
    pub fn should_watch(self, silent: Duration, policy: &WatchPolicy) -> bool {
        match self.tier {
            0 => true,
            later => silent > policy.silence_limit + policy.tier_step * (later - 1),
        }
    }

    /// The retry delay while the store doesn't answer. All tiers try while it is down; the delay
    /// keeps their total rate at that of a few members of the first tier.
    pub fn retry_delay(self, base: Duration) -> Duration {
        base * (self.tier + 1)
    }
}
