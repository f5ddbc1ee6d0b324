//! Who watches the store for changes of the configuration.
//!
//! The first few in the rendezvous order of each data centre watch, by each process's own view;
//! the others have changes from their neighbours. Views differ, so for a while more or fewer than
//! that may watch: more cost the store calls, fewer are found out by [`WatchPlace::is_to_watch`].

use std::time::Duration;

use bon::Builder;
use sagespool_messages::{MemberInfo, MemberRole};

use crate::home::{hash_of, weight};

/// The subject of the order; the branch in the order of homes has this place.
const SUBJECT_HASH: u64 = 0x636f_6e66_6967_7572;

/// How many watch, and when others take over.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
pub struct WatchPolicy {
    /// Watchers of a data centre. Two, so that one that is paused or cut off delays nobody.
    #[builder(default = 2)]
    pub watchers: usize,
    /// Silence of the store after which the next in order watch. Longer than a watcher's round and
    /// the time between two questions to it together.
    #[builder(default = Duration::from_secs(15))]
    pub silence_limit: Duration,
    /// What each further generation waits longer.
    #[builder(default = Duration::from_secs(2))]
    pub generation_step: Duration,
    /// Time after the start in which a process that has heard of nobody doesn't watch yet.
    #[builder(default = Duration::from_millis(500))]
    pub start_grace: Duration,
}

impl Default for WatchPolicy {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// The members of the own data centre in the order in which they watch: entries before sidecars,
/// since entries need all objects and sidecars only one. `live` are the others that can be reached.
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

/// A process's place in the watch order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WatchPlace {
    /// 0 for those that watch; each further generation takes over when all before it are silent.
    pub generation: u32,
}

impl WatchPlace {
    /// The place of the own process in an order from [`watch_order`]; nothing if it isn't in it,
    /// since it is leaving.
    pub fn of(own: &MemberInfo, order: &[MemberInfo], policy: &WatchPolicy) -> Option<Self> {
        let rank = order.iter().position(|member| member.incarnation == own.incarnation)?;
        let entries = order.iter().filter(|member| member.role == MemberRole::Entry).count();
        // A sidecar watches one object, so where there is an entry, it doesn't stand in for one.
        let (before, rank) = match own.role {
            MemberRole::Entry => (0, rank),
            MemberRole::Sidecar => (entries.div_ceil(policy.watchers), rank - entries),
        };
        Some(Self { generation: (before + rank / policy.watchers) as u32 })
    }

    /// Whether to watch, if no other process is known to have had a word of the store for `silent`.
    ///
    /// Guards against watchers that are alive and can't reach the store themselves: nobody would
    /// bring changes, and their neighbours would take the silence for calm. It shows as a growing
    /// age of the store's newest word. Generations take over one after the other, so that those
    /// that can reach the store are found without all of a data centre trying at once.
    pub fn is_to_watch(self, silent: Duration, policy: &WatchPolicy) -> bool {
        match self.generation {
            0 => true,
            later => silent > policy.silence_limit + policy.generation_step * (later - 1),
        }
    }

    /// The time between two tries while the store doesn't answer: while it is down all
    /// generations try, and in sum no more often than a few of the first.
    pub fn retry_pause(self, base: Duration) -> Duration {
        base * (self.generation + 1)
    }
}
