//! Timing and size limits of the membership protocol.

use std::time::Duration;

use bon::Builder;

/// How often and with how many peers to gossip, and when a silent member counts as dead.
///
/// A fleet of at most `mesh_limit` members is a *mesh*: every member exchanges heartbeats
/// with every other each `mesh_period`. A larger fleet *gossips* with `fanout` neighbours each
/// `gossip_period`, so that a member's traffic doesn't depend on the fleet's size.
#[derive(Debug, Clone, PartialEq, Builder)]
pub struct MembershipPolicy {
    /// The largest fleet that runs as a mesh, in members.
    #[builder(default = 24)]
    pub mesh_limit: usize,
    /// Time between two rounds of a mesh.
    #[builder(default = Duration::from_millis(500))]
    pub mesh_period: Duration,
    /// Time between two rounds of a larger fleet.
    #[builder(default = Duration::from_secs(3))]
    pub gossip_period: Duration,
    /// Neighbours that a member of a larger fleet sends heartbeats to each round.
    #[builder(default = 3)]
    pub fanout: usize,
    /// Time until a neighbour is replaced. A new neighbour costs a handshake.
    #[builder(default = Duration::from_secs(120))]
    pub neighbour_lifetime: Duration,
    /// Time without a heartbeat after which a member of a mesh is suspected.
    #[builder(default = Duration::from_millis(1500))]
    pub suspect_after: Duration,
    /// Time in which a suspected member of a mesh can refute the suspicion.
    #[builder(default = Duration::from_secs(1))]
    pub mesh_refute_timeout: Duration,
    /// Time in which a suspected member of a larger fleet can refute the suspicion.
    #[builder(default = Duration::from_secs(3))]
    pub gossip_refute_timeout: Duration,
    /// Consecutive unanswered calls after which a member is suspected.
    #[builder(default = 2)]
    pub missed_call_limit: u32,
    /// Delay before the first retry of an unanswered call; it doubles with each further failure.
    #[builder(default = Duration::from_millis(500))]
    pub retry_interval: Duration,
    /// Time between two calls to dead members, which detect that a partition has healed.
    #[builder(default = Duration::from_secs(2))]
    pub dead_probe_interval: Duration,
    /// Time for which the record of a dead or replaced incarnation is kept.
    #[builder(default = Duration::from_secs(6 * 3600))]
    pub gone_retention: Duration,
    /// Size limit of the updates in a heartbeat, so that it fits a datagram.
    #[builder(default = 900)]
    pub max_update_bytes: usize,
    /// Size limit of the members sent in one repair of a differing view.
    #[builder(default = 16 * 1024)]
    pub max_repair_bytes: usize,
    /// Time between two repairs that this process starts once its view has settled.
    #[builder(default = Duration::from_secs(20))]
    pub repair_interval: Duration,
    /// Average time between two extra rounds for urgent updates in a larger fleet.
    #[builder(default = Duration::from_secs(4))]
    pub urgent_interval: Duration,
    /// Extra rounds that may follow each other without a wait.
    #[builder(default = 4)]
    pub urgent_burst: u32,
    /// Watched members that are called each round in addition to the neighbours.
    #[builder(default = 1)]
    pub watched_per_round: usize,
    /// Time without discoveries after which the view counts as complete.
    #[builder(default = Duration::from_secs(5))]
    pub settle_after: Duration,
    /// Time between two calls of `due_heartbeats` above which this process counts as paused.
    #[builder(default = Duration::from_millis(1200))]
    pub stall_threshold: Duration,
    /// Limit of stored incarnations, dead ones included.
    #[builder(default = 65_536)]
    pub max_members: usize,
}

impl Default for MembershipPolicy {
    fn default() -> Self {
        Self::builder().build()
    }
}
