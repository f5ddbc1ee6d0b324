//! Sizes, versions and rates.

use std::fmt;
use std::iter::Sum;
use std::ops::{Add, AddAssign};
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseFault;

macro_rules! sizes {
    ($($(#[$doc:meta])* $name:ident($inner:ty), $wanted:literal;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// None of it.
            pub const ZERO: Self = Self(0);

            /// The difference, or zero where the other is larger.
            pub fn less(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                *self = *self + other;
            }
        }

        impl Sum for $name {
            fn sum<I: Iterator<Item = Self>>(items: I) -> Self {
                items.fold(Self::ZERO, Add::add)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseFault;

            fn from_str(text: &str) -> Result<Self, ParseFault> {
                text.parse().map(Self).map_err(|_| ParseFault::new($wanted, text, "a whole number"))
            }
        }
    )*};
}

sizes! {
    /// A number of tokens, the unit of every budget. Sums saturate.
    TokenCount(u64), "a number of tokens";
    /// A number of bytes.
    ByteCount(u64), "a number of bytes";
    /// The store's revision at which an object last changed; grows over the whole store.
    StoreRevision(u64), "a store revision";
    /// A version of the fleet's configuration: the store's revision of the object that holds it.
    ConfigVersion(u64), "a configuration version";
    /// One of the fixed number of books that the branches are spread over.
    BookNumber(u64), "a book number";
    /// Requests a second.
    RequestRate(u64), "a number of requests a second";
    /// Tokens a second.
    TokenRate(u64), "a number of tokens a second";
}
