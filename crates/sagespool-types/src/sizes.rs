//! Sizes, versions and rates.

use std::iter::Sum;
use std::ops::{Add, AddAssign};

use crate::derives::whole_numbers;

whole_numbers! {
    /// A number of tokens, the unit of every budget. Sums saturate.
    TokenCount(u64), "a number of tokens";
    /// A number of bytes.
    ByteCount(u64), "a number of bytes";
    /// The store's revision at which an object last changed; grows over the whole store.
    StoreRevision(u64), "a store revision";
    /// A version of the fleet's configuration: the store's revision of the object that holds it.
    ConfigVersion(u64), "a configuration version";
    /// When a run of an upstream began, by the upstream's own clock, in milliseconds since 1970.
    /// Two that differ are two runs; clocks step, so the larger one isn't always the later.
    UpstreamStartTime(u64), "the time of an upstream's start";
    /// One of the fixed number of books that the branches are spread over.
    BookNumber(u64), "a book number";
    /// Requests a second.
    RequestRate(u64), "a number of requests a second";
    /// Tokens a second.
    TokenRate(u64), "a number of tokens a second";
}

macro_rules! sizes {
    ($($name:ident)*) => {$(
        impl $name {
            /// None of it.
            pub const ZERO: Self = Self(0);

            /// The difference, or zero where the other is larger.
            pub fn saturating_sub(self, other: Self) -> Self {
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
    )*};
}

sizes! { TokenCount ByteCount StoreRevision ConfigVersion BookNumber RequestRate TokenRate }
