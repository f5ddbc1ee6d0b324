//! Budgets that are configured as one total for each client account.
//!
//! The total comes from the configuration, and only the spending instance observes a request. A
//! [`PrepaidRecord`] is the store object of one account: it records how much each instance may
//! spend. A [`PrepaidBalance`] is the state of one instance: it spends only what an acknowledged
//! write to the record granted it, or what another instance lent it out of such a grant. So the sum
//! over all instances never exceeds the total, in any partition and over any restart.
//!
//! The grant of an instance that dies stays in the record and counts as spent, since the spent part
//! of it can't be established. Grants are therefore only as large as an instance needs while the
//! store is unavailable.

mod balance;
mod record;

pub use balance::{GrantPolicy, PrepaidBalance};
pub use record::{HolderRecord, PrepaidRecord, prepaid_key};
