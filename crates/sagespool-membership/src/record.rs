//! What a view keeps of one member.

use std::net::SocketAddr;
use std::time::Duration;

use sagespool_messages::{MemberInfo, MemberRole, SuspectNote};
use sagespool_types::{ClockTime, InstanceName, derives};

/// Time for which a refutation is believed without further proof.
const REFUTED_TIME: Duration = Duration::from_secs(30);

derives! { record;
    /// An instance as the platform's list shows it.
    pub struct ListedMember {
        /// Its name.
        pub instance: InstanceName,
        /// Its role.
        pub role: MemberRole,
        /// Where its link is reached.
        pub address: SocketAddr,
        /// Whether the list shows it as leaving.
        pub leaving: bool,
    }
}

/// What is believed of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MemberState {
    /// It was heard of, and nobody says otherwise.
    Alive,
    /// It doesn't answer someone; a number above `number` refutes that.
    Suspect { since: ClockTime, number: u64 },
    /// It did not refute the suspicion in time; a number above `number` still does.
    Dead { since: ClockTime, number: u64 },
    /// A newer run of its instance was heard of.
    Replaced { since: ClockTime },
}

/// One incarnation in a view.
#[derive(Debug, Clone)]
pub(crate) struct MemberRecord {
    pub(crate) info: MemberInfo,
    pub(crate) state: MemberState,
    /// When a higher number of it was last heard of, from anyone.
    pub(crate) heard: ClockTime,
    /// When it last spoke to this process.
    pub(crate) direct: Option<ClockTime>,
    /// When it last called this process by itself.
    pub(crate) called: Option<ClockTime>,
    /// The digest of its view when it last spoke to this process.
    pub(crate) digest: Option<u64>,
    /// Calls to it in a row that were not answered.
    pub(crate) missed: u32,
    /// When it last was, or became, unfit to be given work.
    pub(crate) unfit: Option<ClockTime>,
    /// When it last refuted a suspicion.
    pub(crate) refuted: Option<ClockTime>,
    /// Its place in the log of changes.
    pub(crate) changed: u64,
}

impl MemberRecord {
    pub(crate) fn new(info: MemberInfo, now: ClockTime) -> Self {
        Self {
            info,
            state: MemberState::Alive,
            heard: now,
            direct: None,
            called: None,
            digest: None,
            missed: 0,
            unfit: None,
            refuted: None,
            changed: 0,
        }
    }

    /// Alive or suspected: part of the view.
    pub(crate) fn is_present(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect { .. })
    }

    /// Believed dead, or replaced by a newer run.
    pub(crate) fn is_gone(&self) -> bool {
        !self.is_present()
    }

    /// It refuted a suspicion a short while ago: what else is heard against it
    /// is old, and if calls from here fail, only the link from here is broken.
    pub(crate) fn refuted_lately(&self, now: ClockTime) -> bool {
        self.refuted.is_some_and(|at| now.since(at) < REFUTED_TIME)
    }

    /// The number that must be exceeded to be believed alive.
    pub(crate) fn refuted_above(&self) -> u64 {
        match self.state {
            MemberState::Suspect { number, .. } | MemberState::Dead { number, .. } => {
                number.max(self.info.number)
            }
            MemberState::Alive | MemberState::Replaced { .. } => self.info.number,
        }
    }

    /// What to tell others of a member that is suspected or believed dead.
    pub(crate) fn note(&self) -> Option<SuspectNote> {
        match self.state {
            MemberState::Suspect { .. } | MemberState::Dead { .. } => Some(SuspectNote {
                incarnation: self.info.incarnation,
                number: self.refuted_above(),
            }),
            MemberState::Alive | MemberState::Replaced { .. } => None,
        }
    }

    /// False once calls from here fail, though others may still reach it.
    pub(crate) fn is_reachable(&self, missed_limit: u32) -> bool {
        match self.missed {
            0 => true,
            missed => missed < missed_limit && self.direct.is_some(),
        }
    }

    /// Fit to be given work: alive, and calls from here arrive.
    pub(crate) fn is_usable(&self, missed_limit: u32) -> bool {
        self.state == MemberState::Alive && self.is_reachable(missed_limit)
    }
}
