//! The settings of membership.

use std::time::Duration;

use bon::Builder;

/// How often to gossip, with how many, and when silence means death.
///
/// A fleet of at most `mesh_limit` members is a *mesh*: each hears from each
/// every `mesh_period`. A larger one *gossips* with `fanout` neighbours every
/// `gossip_period`, which keeps a node's traffic independent of the fleet's size.
#[derive(Debug, Clone, PartialEq, Builder)]
pub struct MembershipPolicy {
    /// The largest fleet in which everyone hears from everyone.
    #[builder(default = 24)]
    pub mesh_limit: usize,
    /// Time between two rounds in a mesh.
    #[builder(default = Duration::from_millis(500))]
    pub mesh_period: Duration,
    /// Time between two rounds in a larger fleet.
    #[builder(default = Duration::from_secs(3))]
    pub gossip_period: Duration,
    /// Neighbours that a member of a larger fleet sends to each round.
    #[builder(default = 3)]
    pub fanout: usize,
    /// How long a neighbour is kept; a new one costs a handshake.
    #[builder(default = Duration::from_secs(120))]
    pub neighbour_life: Duration,
    /// Silence in a mesh after which a member is suspected.
    #[builder(default = Duration::from_millis(1500))]
    pub suspect_after: Duration,
    /// Time in which a suspected member of a mesh may refute it.
    #[builder(default = Duration::from_secs(1))]
    pub mesh_refute: Duration,
    /// Time in which a suspected member of a larger fleet may refute it.
    #[builder(default = Duration::from_secs(3))]
    pub gossip_refute: Duration,
    /// Unanswered calls in a row that raise a suspicion.
    #[builder(default = 2)]
    pub missed_limit: u32,
    /// Time between two calls to a member that did not answer.
    #[builder(default = Duration::from_millis(500))]
    pub retry_gap: Duration,
    /// Time between two calls to members believed dead, to find that a partition healed.
    #[builder(default = Duration::from_secs(2))]
    pub dead_gap: Duration,
    /// Time for which a dead or replaced incarnation is remembered.
    #[builder(default = Duration::from_secs(6 * 3600))]
    pub forget_after: Duration,
    /// Most bytes of news in a heartbeat, so that it fits a datagram.
    #[builder(default = 900)]
    pub news_bytes: usize,
    /// Most bytes of members in a heartbeat that repairs a gap.
    #[builder(default = 16 * 1024)]
    pub repair_bytes: usize,
    /// Time between two repairs that this process begins once its view has settled.
    #[builder(default = Duration::from_secs(20))]
    pub repair_gap: Duration,
    /// Time between two extra rounds for urgent news in a larger fleet, on average.
    #[builder(default = Duration::from_secs(4))]
    pub urgent_gap: Duration,
    /// Extra rounds that may follow each other at once.
    #[builder(default = 4)]
    pub urgent_burst: u32,
    /// Watched members that are called each round besides the neighbours.
    #[builder(default = 1)]
    pub watched_each_round: usize,
    /// Time without discoveries after which the view counts as complete.
    #[builder(default = Duration::from_secs(5))]
    pub settle_after: Duration,
    /// A gap between calls of `due` that shows that this process itself was paused.
    #[builder(default = Duration::from_millis(1200))]
    pub stall_limit: Duration,
    /// Most incarnations remembered, dead ones included.
    #[builder(default = 65_536)]
    pub most_members: usize,
}

impl Default for MembershipPolicy {
    fn default() -> Self {
        Self::builder().build()
    }
}
