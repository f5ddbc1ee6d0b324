//! The tree by which changes of the store spread through a data centre.
//!
//! Two instances watch the store. Up to sixteen others query these two, and the rest query the
//! sixteen, so that no instance sends a change to more than eight others in a data centre of up to
//! 146 instances. All instances compute the same tree from the members that they know, without
//! communication. One that knows other members may query the wrong instance, which responds all the
//! same.

use std::cmp::Reverse;
use std::time::Duration;

use sagespool_types::{IncarnationId, InstanceCapacity};

use crate::FeedTiming;
use crate::feed::REPLY_TIMEOUT;
use crate::prefix_cache::mix;

/// Instances of a data centre that watch the store.
const STORE_FOLLOWERS: usize = 2;
/// Instances that query the same one. A change of the configuration is a message of up to 100 kB for
/// each of them, and the smallest machines send 2 MB a second.
const MAX_READERS: usize = 8;
/// Instances that query a follower of the store.
const FIRST_LEVEL: usize = STORE_FOLLOWERS * MAX_READERS;
/// Factor on the poll wait of an instance that others query, so that its copy is younger than what
/// they tolerate.
const INNER_WAIT_FACTOR: f64 = 0.5;

/// An instance of a data centre, as a source of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeedPeer {
    /// Its run.
    pub id: IncarnationId,
    /// The work that it can carry. Those that can carry more are closer to the store.
    pub capacity: InstanceCapacity,
}

/// An instance's place among the instances of its data centre.
#[derive(Debug)]
pub struct FeedTree {
    /// All instances: followers of the store, then the first level, then the second.
    ranked: Vec<IncarnationId>,
    /// The own position in `ranked`.
    rank: usize,
}

impl FeedTree {
    /// The place of an instance among its neighbours.
    ///
    /// Guards against distribution by small machines. With followers chosen by their runs alone, two
    /// machines with a tenth of a core each served 33 readers, which got no reply in time and turned
    /// to the store at once.
    pub fn new(own: FeedPeer, neighbours: &[FeedPeer]) -> Self {
        let mut peers: Vec<FeedPeer> = neighbours.to_vec();
        peers.push(own);
        peers.sort_by_key(|peer| (Reverse(peer.capacity), mix(peer.id.0)));
        let ranked: Vec<IncarnationId> = peers.into_iter().map(|peer| peer.id).collect();
        let rank = ranked.iter().position(|id| *id == own.id).unwrap_or_default();
        Self { ranked, rank }
    }

    /// The neighbours to query, the preferred one first; none for a follower of the store.
    pub fn sources(&self) -> Vec<IncarnationId> {
        if self.rank < STORE_FOLLOWERS {
            return Vec::new();
        }
        let inner = self.rank - STORE_FOLLOWERS;
        let positions = match inner.checked_sub(FIRST_LEVEL) {
            None => {
                let preferred = inner % STORE_FOLLOWERS;
                [preferred, STORE_FOLLOWERS - 1 - preferred]
            }
            // The strongest instances are used first. The substitutes are among the others.
            Some(outer) => {
                let group = outer / MAX_READERS;
                let substitute = group + FIRST_LEVEL / 2;
                [group, substitute].map(|group| STORE_FOLLOWERS + group % FIRST_LEVEL)
            }
        };
        positions.into_iter().filter_map(|position| self.ranked.get(position).copied()).collect()
    }

    /// Whether the tree has a second level.
    fn is_deep(&self) -> bool {
        self.ranked.len() > STORE_FOLLOWERS + FIRST_LEVEL
    }

    /// How long the store may hold a watch. In a deep tree the copy ages on its way through the first
    /// level too.
    pub fn watch_wait(&self, timing: FeedTiming) -> Duration {
        if !self.is_deep() {
            return timing.watch_wait;
        }
        let inner = timing.poll_wait.mul_f64(INNER_WAIT_FACTOR) + REPLY_TIMEOUT;
        let share = timing.watch_wait.as_secs_f64() / timing.max_age.as_secs_f64();
        timing.max_age.saturating_sub(inner).mul_f64(share)
    }

    /// How long a neighbour may hold a query.
    pub fn poll_wait(&self, timing: FeedTiming) -> Duration {
        let is_inner = self.rank < STORE_FOLLOWERS + FIRST_LEVEL;
        match self.is_deep() && is_inner {
            true => timing.poll_wait.mul_f64(INNER_WAIT_FACTOR),
            false => timing.poll_wait,
        }
    }
}
