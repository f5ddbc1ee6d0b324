//! Answers to `spend`.

use sagespool_types::{BranchName, GrantId, StoreRevision, TokenCount, derives};

use crate::TokenRange;

derives! { record;
    /// The spend of branches.
    pub struct SpendAnswer {
        /// One row per branch, each as of the read of its own book.
        pub rows: Vec<SpendRow>,
        /// Number of branches that are not in the rows.
        pub left_out: u64,
    }
}

derives! { record;
    /// The spend of one branch.
    pub struct SpendRow {
        /// The branch.
        pub branch: BranchName,
        /// The figures of its book; `None` if the book could not be read.
        pub book: Option<BookFigures>,
        /// Reservations of running requests when the holders of grants were queried.
        pub running: TokenRange,
        /// Bounds of the spend at the read of the book: what ended requests have used, settled or not;
        /// the upper bound includes what running requests may use.
        pub spent: TokenRange,
        /// The grants that are in doubt.
        #[serde(default)]
        pub in_doubt_grants: Vec<GrantInDoubt>,
    }
}

derives! { record;
    /// The figures of a branch's book, exact at its version.
    pub struct BookFigures {
        /// The book's version: the store revision of its last change.
        pub version: StoreRevision,
        /// Total of all top-ups.
        pub prepaid: TokenCount,
        /// Spent and settled.
        pub settled: TokenCount,
        /// Granted and not settled; the holders account for it.
        pub granted: TokenCount,
        /// Granted and not settled; no holder accounts for it.
        pub in_doubt: TokenCount,
        /// Not granted.
        pub free: TokenCount,
    }
}

derives! { record;
    /// A grant that no holder accounts for.
    pub struct GrantInDoubt {
        /// The grant.
        pub grant: GrantId,
        /// Its amount that is neither settled nor known to be used.
        pub tokens: TokenCount,
    }
}
