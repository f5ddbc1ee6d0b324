//! Budgets as pure decisions: books, grants, reservations, charges.
