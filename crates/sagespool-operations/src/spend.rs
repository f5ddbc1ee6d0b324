//! What a branch has spent at one moment, as bounds that are true.
//!
//! The moment is that of one read of the branch's book. The read alone says
//! that the spend is at least what is settled, and at most that and all that
//! is granted or in doubt. What holders of grants say narrows it, but each
//! speaks of another moment than the read's, and a charge may be settled in
//! between: added up, it would count twice. Two facts make a sum that is true:
//!
//! - What a grant has used only grows. A holder's word taken *before* the read
//!   bounds it at the read from below; one taken *after* the read, with what is
//!   held for running requests, from above.
//! - It is counted for each grant by itself. What the book has settled under a
//!   grant and what its holder has used are two views of the same charges, so
//!   the greater of the two counts, never their sum. A grant that the book
//!   doesn't list is closed: the branch's settled sum has it already.
//!
//! Of a grant that is sealed or in doubt its holder's word doesn't count:
//! others settle it. Of one whose holder doesn't answer, all of it may be
//! spent.

use std::collections::HashMap;

use sagespool_ledger::{BookRecord, GrantRecord, SpendBounds};
use sagespool_messages::{GrantUse, StatusReply};
use sagespool_types::{BranchName, GrantId, IncarnationId, TokenCount, derives};

derives! { value;
    /// Bounds of a number of tokens.
    pub struct TokenRange {
        /// At least so many.
        pub least: TokenCount,
        /// At most so many; nothing if that isn't known.
        pub most: Option<TokenCount>,
    }
}

impl TokenRange {
    /// A number that is known exactly.
    pub fn exactly(tokens: TokenCount) -> Self {
        Self { least: tokens, most: Some(tokens) }
    }

    /// At least so many, and no upper bound.
    pub fn at_least(tokens: TokenCount) -> Self {
        Self { least: tokens, most: None }
    }
}

/// What the holders of grants said of them, in one round of questions.
#[derive(Debug, Clone, Default)]
pub struct HolderUsage {
    answered: HashMap<IncarnationId, HashMap<GrantId, GrantUse>>,
}

impl HolderUsage {
    /// The words in these answers that concern a branch.
    ///
    /// A process speaks of its own grants only: an answer from another run of it at the same address
    /// says nothing of them.
    pub fn of<'a>(branch: &BranchName, replies: impl IntoIterator<Item = &'a StatusReply>) -> Self {
        let mut answered: HashMap<IncarnationId, HashMap<GrantId, GrantUse>> = HashMap::new();
        for reply in replies {
            let held = answered.entry(reply.from).or_default();
            let spend = reply.spend.iter().filter(|status| status.branch == *branch);
            for usage in spend.flat_map(|status| &status.grants) {
                if usage.grant.holder == reply.from {
                    held.insert(usage.grant, usage.clone());
                }
            }
        }
        Self { answered }
    }

    fn answered(&self, holder: IncarnationId) -> bool {
        self.answered.contains_key(&holder)
    }

    fn word(&self, grant: &GrantId) -> Option<&GrantUse> {
        self.answered.get(&grant.holder)?.get(grant)
    }

    fn used_in_all(&self) -> TokenCount {
        self.answered.values().flat_map(HashMap::values).map(|word| word.used).sum()
    }
}

/// What is known of a branch's spend at the read of its book.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SpendEstimate {
    /// What the book alone says, exactly.
    pub book: SpendBounds,
    /// The spend.
    pub spent: TokenRange,
    /// Held for running requests under the grants that the book lists, when their holders were asked
    /// after the read.
    pub reserved: TokenRange,
}

impl SpendEstimate {
    /// Combines a read of the book with what the holders said before and after it.
    pub fn combine(
        book: &BookRecord,
        branch: &BranchName,
        before: &HolderUsage,
        after: &HolderUsage,
    ) -> Self {
        let bounds = book.spend(branch).unwrap_or_default();
        let Some(account) = book.branches.get(branch) else {
            let none = TokenRange::exactly(TokenCount::ZERO);
            return Self { book: bounds, spent: none, reserved: none };
        };
        let (mut least, mut most) = (account.settled, account.settled);
        let mut held = TokenRange::exactly(TokenCount::ZERO);
        for (grant, record) in &account.grants {
            let is_told = !record.is_unaccounted();
            least += at_least(record, before.word(grant).filter(|_| is_told));
            let after_word = after.word(grant).filter(|_| is_told);
            most += at_most(record, after_word);
            held = add_held(held, record, after_word, is_told && after.answered(grant.holder));
        }
        let spent = TokenRange { least, most: Some(most) };
        Self { book: bounds, spent, reserved: held }
    }

    /// What is known while the book can't be read: the spend is at least what the holders that answer
    /// have used under the grants that they hold.
    pub fn without_book(words: &HolderUsage) -> TokenRange {
        TokenRange::at_least(words.used_in_all())
    }
}

fn at_least(record: &GrantRecord, word: Option<&GrantUse>) -> TokenCount {
    if record.is_unaccounted() {
        return record.settled + record.known_use();
    }
    record.settled.max(word.map_or(TokenCount::ZERO, |word| word.used))
}

fn at_most(record: &GrantRecord, word: Option<&GrantUse>) -> TokenCount {
    let Some(word) = word else { return record.amount };
    (word.used + word.reserved).max(record.settled).min(record.amount)
}

fn add_held(
    held: TokenRange,
    record: &GrantRecord,
    word: Option<&GrantUse>,
    answered: bool,
) -> TokenRange {
    let (least, most) = match word {
        Some(word) => (word.reserved, word.reserved),
        // Its holder answered and lists it no more: it was closed, and nothing runs under it.
        None if answered => (TokenCount::ZERO, TokenCount::ZERO),
        None => (TokenCount::ZERO, record.unsettled_amount()),
    };
    TokenRange { least: held.least + least, most: held.most.map(|sum| sum + most) }
}
