//! Answers to `spend`.

use sagespool_types::{BranchName, GrantId, StoreRevision, TokenCount, derives};

use crate::TokenRange;

derives! { record;
    /// What branches have spent.
    pub struct SpendAnswer {
        /// One row a branch, each at the moment of its own book's read.
        pub rows: Vec<SpendRow>,
        /// How many branches there are beyond these rows.
        pub left_out: u64,
    }
}

derives! { record;
    /// What one branch has spent.
    pub struct SpendRow {
        /// The branch.
        pub branch: BranchName,
        /// What its book says; nothing if it couldn't be read.
        pub book: Option<BookFigures>,
        /// Held for running requests, when the holders of grants were asked.
        pub running: TokenRange,
        /// The spend at the moment of the book's read: what ended requests have used, whether it is
        /// settled yet or not, and at most what running ones may use.
        pub spent: TokenRange,
        /// The grants that are in doubt.
        #[serde(default)]
        pub in_doubt_grants: Vec<GrantInDoubt>,
    }
}

derives! { record;
    /// What a branch's book says, exactly, at its version.
    pub struct BookFigures {
        /// The book's version: the revision of the store at which it last changed.
        pub version: StoreRevision,
        /// All that was ever prepaid.
        pub prepaid: TokenCount,
        /// Spent and settled.
        pub settled: TokenCount,
        /// Granted to processes that account for it, and not settled.
        pub granted: TokenCount,
        /// Granted and not settled, and nobody can account for it.
        pub in_doubt: TokenCount,
        /// Granted to nobody.
        pub free: TokenCount,
    }
}

derives! { record;
    /// A grant that nobody can account for.
    pub struct GrantInDoubt {
        /// The grant.
        pub grant: GrantId,
        /// What of it isn't settled.
        pub tokens: TokenCount,
    }
}
