//! Counts, versions and integer rates.

use std::iter::Sum;
use std::ops::{Add, AddAssign};

use crate::derives::integer_newtypes;

integer_newtypes! {
    /// A number of tokens, the unit of all budgets. Sums saturate.
    TokenCount(u64), "a number of tokens";
    /// A number of bytes.
    ByteCount(u64), "a number of bytes";
    /// A revision of the store, such as that of an object's last change. It increases with each
    /// change of any object.
    StoreRevision(u64), "a store revision";
    /// A version of the fleet's configuration: the store's revision of its object.
    ConfigVersion(u64), "a configuration version";
    /// Start time of an upstream's run by the upstream's clock, in milliseconds since 1970.
    /// Different values mean different runs. Clocks may step back, so a larger value isn't always
    /// the later run.
    UpstreamStartTime(u64), "the time of an upstream's start";
    /// The number of an upstream's write of its own entry, counted from the start of its run. The
    /// store may execute an earlier write after a later one.
    EntrySequence(u64), "the number of an entry's write";
    /// The number of one of the books that the branches are distributed over; the number of books
    /// is fixed.
    BookNumber(u64), "a book number";
    /// The work that an instance can carry, in steps of two: an instance of the next step carries
    /// twice as much. 0 if it is unknown.
    InstanceCapacity(u32), "an instance's capacity";
    /// How much a broken response counts as evidence that its request crashes upstreams, in
    /// thousandths of a crash.
    CrashWeight(u32), "a crash weight in thousandths";
    /// How much of a limit is in use, in thousandths; more than 1000 if the limit is exceeded.
    LoadPressure(u32), "a pressure in thousandths";
    /// A rate in requests per second.
    RequestRate(u64), "a number of requests per second";
    /// A rate in tokens per second.
    TokenRate(u64), "a number of tokens per second";
}

impl LoadPressure {
    /// All of a limit is in use.
    pub const FULL: Self = Self(1000);
}

impl CrashWeight {
    /// The weight of a crash.
    pub const FULL: Self = Self(1000);

    /// A part of the weight, between none and all of it.
    pub fn scaled(self, factor: f64) -> Self {
        Self((f64::from(self.0) * factor.clamp(0.0, 1.0)) as u32)
    }

    /// The weight of a number of crashes, saturating.
    pub fn of_crashes(count: usize) -> Self {
        Self(Self::FULL.0.saturating_mul(u32::try_from(count).unwrap_or(u32::MAX)))
    }
}

macro_rules! impl_saturating_sums {
    ($($name:ident)*) => {$(
        impl $name {
            /// The value 0.
            pub const ZERO: Self = Self(0);

            /// The difference; zero if `other` is larger.
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

impl_saturating_sums! { TokenCount ByteCount StoreRevision ConfigVersion BookNumber RequestRate TokenRate CrashWeight }
