//! The state that a view holds of one member.

use std::net::SocketAddr;
use std::time::Duration;

use sagespool_messages::{MemberInfo, MemberRole, SuspectedMember};
use sagespool_types::{ClockTime, InstanceName, derives};

/// Time after a refutation in which lower numbers are stale and failed calls raise no suspicion.
const REFUTATION_TTL: Duration = Duration::from_secs(30);

derives! { record;
    /// An instance as shown by the platform's instance list.
    pub struct ListedMember {
        /// The instance's name.
        pub instance: InstanceName,
        /// Entry or sidecar.
        pub role: MemberRole,
        /// The address of its link.
        pub address: SocketAddr,
        /// Whether the list shows it as leaving.
        pub leaving: bool,
    }
}

/// The state of a member in this view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MemberState {
    /// No unrefuted suspicion is known.
    Alive,
    /// Some member got no answer from it. A higher number than `number` refutes that.
    Suspect { since: ClockTime, number: u64 },
    /// It didn't refute the suspicion in time. A higher number than `number` still does.
    Dead { since: ClockTime, number: u64 },
    /// A newer run of its instance, or another process at its address, is known.
    Replaced { since: ClockTime },
}

/// What a view stores of one incarnation.
#[derive(Debug, Clone)]
pub(crate) struct MemberRecord {
    pub(crate) info: MemberInfo,
    pub(crate) state: MemberState,
    /// When a higher number of it was last received, from any member.
    pub(crate) last_heard: ClockTime,
    /// When it last sent a call or reply to this process.
    pub(crate) last_contact: Option<ClockTime>,
    /// When it last called this process on its own initiative.
    pub(crate) last_call: Option<ClockTime>,
    /// The digest of its view in its last message to this process.
    pub(crate) view_digest: Option<u64>,
    /// Consecutive unanswered calls to it.
    pub(crate) missed_calls: u32,
    /// When it last was, or became, unfit for work.
    pub(crate) last_unfit: Option<ClockTime>,
    /// When it last refuted a suspicion.
    pub(crate) last_refuted: Option<ClockTime>,
    /// Its position in the change log.
    pub(crate) change_number: u64,
}

impl MemberRecord {
    pub(crate) fn new(info: MemberInfo, now: ClockTime) -> Self {
        Self {
            info,
            state: MemberState::Alive,
            last_heard: now,
            last_contact: None,
            last_call: None,
            view_digest: None,
            missed_calls: 0,
            last_unfit: None,
            last_refuted: None,
            change_number: 0,
        }
    }

    /// True for members of the view: alive or suspected.
    pub(crate) fn is_present(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect { .. })
    }

    /// True if dead or replaced.
    pub(crate) fn is_gone(&self) -> bool {
        !self.is_present()
    }

    /// True if it refuted a suspicion within `REFUTATION_TTL`: other suspicions are stale, and if
    /// calls from here fail, only the link from here is broken.
    pub(crate) fn recently_refuted(&self, now: ClockTime) -> bool {
        self.last_refuted.is_some_and(|at| now.since(at) < REFUTATION_TTL)
    }

    /// The number that a refutation must exceed.
    pub(crate) fn refutation_threshold(&self) -> u64 {
        match self.state {
            MemberState::Suspect { number, .. } | MemberState::Dead { number, .. } => {
                number.max(self.info.number)
            }
            MemberState::Alive | MemberState::Replaced { .. } => self.info.number,
        }
    }

    /// The note to send to others; `None` unless suspected or dead.
    pub(crate) fn suspect_note(&self) -> Option<SuspectedMember> {
        match self.state {
            MemberState::Suspect { .. } | MemberState::Dead { .. } => Some(SuspectedMember {
                incarnation: self.info.incarnation,
                number: self.refutation_threshold(),
            }),
            MemberState::Alive | MemberState::Replaced { .. } => None,
        }
    }

    /// False once calls from here fail, though others may still reach the member.
    pub(crate) fn is_reachable(&self, missed_call_limit: u32) -> bool {
        match self.missed_calls {
            0 => true,
            missed => missed < missed_call_limit && self.last_contact.is_some(),
        }
    }

    /// True if it is fit for work: alive, and calls from here reach it.
    pub(crate) fn is_usable(&self, missed_call_limit: u32) -> bool {
        self.state == MemberState::Alive && self.is_reachable(missed_call_limit)
    }
}
