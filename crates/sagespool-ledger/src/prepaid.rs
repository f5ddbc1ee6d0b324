//! Budgets that are declared as one total for each client account.
//!
//! The total stands in the configuration, and nobody beside the spending instances witnesses a
//! request. A [`PrepaidRecord`] is the store's object of one account: who may spend how much. A
//! [`PrepaidBalance`] is one instance's side: it spends only what a write to the book granted it
//! and the store acknowledged, or what another instance lent it out of such a grant. So the sum
//! of all purses never passes the total, in any partition and over any restart.
//!
//! A purse that dies leaves its grant in the book, where it counts as spent: nobody can tell how
//! much of it was. Grants are therefore only as large as a purse needs for the time that the store
//! may be away.

mod book;
mod purse;

pub use book::{HolderRecord, PrepaidRecord, prepaid_key};
pub use purse::{GrantPolicy, PrepaidBalance};
