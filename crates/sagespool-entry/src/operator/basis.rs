//! Builder of an answer's basis: the members and the store revision it was made from.

use sagespool_operations::{AnswerBasis, MemberLabel, SilentMember, StoreBasis};
use sagespool_platform::StoreError;
use sagespool_types::{StoreRevision, WallTime};

use super::status_query::MemberReplies;
use crate::state::EntryState;

/// Collects an answer's basis while the answer is built.
pub(super) struct BasisBuilder {
    from: WallTime,
    store: StoreBasis,
    answered: Vec<MemberLabel>,
    silent: Vec<SilentMember>,
    notes: Vec<String>,
}

impl BasisBuilder {
    /// An empty basis that starts now.
    pub fn new() -> Self {
        Self {
            from: WallTime::now(),
            store: StoreBasis::NotAsked,
            answered: Vec::new(),
            silent: Vec::new(),
            notes: Vec::new(),
        }
    }

    /// Notes that the store is about to be read. `revision` was seen before, so the coming read
    /// can't be older.
    pub fn note_store_read(&mut self, revision: StoreRevision) {
        if matches!(self.store, StoreBasis::NotAsked) {
            self.store = StoreBasis::Read { revision };
        }
    }

    /// Notes a failed read of the store.
    pub fn note_store_error(&mut self, error: &StoreError) {
        self.store = StoreBasis::Silent { why: error.to_string() };
    }

    /// Adds a round of status queries.
    pub fn add_replies(&mut self, replies: &MemberReplies) {
        self.add_round(replies.answered(), &replies.silent);
    }

    /// Adds the members that replied to a round of queries and those that did not. A member counts
    /// as answered only if it replied in every round.
    pub fn add_round(
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

    /// Adds a remark on how to read the figures.
    pub fn note(&mut self, note: impl Into<String>) {
        self.notes.push(note.into());
    }

    /// Finishes the basis.
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
