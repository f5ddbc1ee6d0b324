//! Gathering what an answer rests on.

use sagespool_operations::{AnswerBasis, MemberLabel, SilentMember, StoreBasis};
use sagespool_platform::StoreError;
use sagespool_types::{StoreRevision, WallTime};

use super::ask::MemberReplies;
use crate::state::EntryState;

/// What an answer rests on, while it is put together.
pub(super) struct BasisDraft {
    from: WallTime,
    store: StoreBasis,
    answered: Vec<MemberLabel>,
    silent: Vec<SilentMember>,
    notes: Vec<String>,
}

impl BasisDraft {
    /// Nothing asked yet.
    pub fn begin() -> Self {
        Self {
            from: WallTime::now(),
            store: StoreBasis::NotAsked,
            answered: Vec::new(),
            silent: Vec::new(),
            notes: Vec::new(),
        }
    }

    /// The store is about to be read. A revision that it has told before is one that the coming read
    /// can't be older than.
    pub fn store_stands_at(&mut self, revision: StoreRevision) {
        if matches!(self.store, StoreBasis::NotAsked) {
            self.store = StoreBasis::Read { revision };
        }
    }

    /// The store couldn't be read.
    pub fn store_silent(&mut self, error: &StoreError) {
        self.store = StoreBasis::Silent { why: error.to_string() };
    }

    /// Takes in a round of questions about state.
    pub fn take_replies(&mut self, replies: &MemberReplies) {
        self.take_round(replies.answered(), &replies.silent);
    }

    /// Takes in who answered a round of questions and who didn't. A member counts as having answered
    /// only if it answered every round.
    pub fn take_round(
        &mut self,
        answered: impl Iterator<Item = MemberLabel>,
        silent: &[SilentMember],
    ) {
        for silent in silent {
            self.answered.retain(|member| *member != silent.member);
            if !self.is_silent(&silent.member) {
                self.silent.push(silent.clone());
            }
        }
        for member in answered {
            if !self.is_silent(&member) && !self.answered.contains(&member) {
                self.answered.push(member);
            }
        }
    }

    fn is_silent(&self, member: &MemberLabel) -> bool {
        self.silent.iter().any(|silent| silent.member == *member)
    }

    /// Adds what a reader has to know of the figures.
    pub fn note(&mut self, note: impl Into<String>) {
        self.notes.push(note.into());
    }

    /// What the answer rests on.
    pub fn finish(mut self, state: &EntryState) -> AnswerBasis {
        self.answered.sort();
        self.silent.sort_by(|a, b| a.member.cmp(&b.member));
        AnswerBasis {
            entry: MemberLabel::of(&state.members.own()),
            from: self.from,
            to: WallTime::now(),
            store: self.store,
            answered: self.answered,
            silent: self.silent,
            notes: self.notes,
        }
    }
}
