//! Ids and sequence numbers that processes assign without coordination.

use std::fmt;
use std::str::FromStr;

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::ParseError;
use crate::binary::id_serde;
use crate::derives::integer_newtypes;

macro_rules! hex_ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty, $width:literal), $wanted:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);

        impl $name {
            /// A new random id.
            pub fn random() -> Self {
                let bytes: [u8; size_of::<$inner>()] = std::array::from_fn(|_| fastrand::u8(..));
                Self(<$inner>::from_le_bytes(bytes))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{:0", $width, "x}"), self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                let error = || ParseError::new($wanted, text, "hexadecimal digits");
                if text.is_empty() || text.starts_with('+') {
                    return Err(error());
                }
                <$inner>::from_str_radix(text, 16).map(Self).map_err(|_| error())
            }
        }

        id_serde!($name($inner));
    )*};
}

hex_ids! {
    /// One run of one process; a restart gives another incarnation.
    IncarnationId(u64, "16"), "an incarnation id";
    /// One request of a caller, chosen by the entry that accepted it.
    RequestId(u128, "32"), "a request id";
    /// One command of an operator, chosen by its sender, so that a repeated command has effect once.
    CommandId(u128, "32"), "a command id";
}

integer_newtypes! {
    /// The number of a charge within its grant, counted from 0.
    SequenceNumber(u64), "a sequence number";
    /// The number of an attempt at a request, counted from 1.
    AttemptNumber(u32), "an attempt number";
    /// A fencing number; an order with a lower one than seen before is stale.
    FenceNumber(u64), "a fencing number";
}

macro_rules! impl_next {
    ($($name:ident)*) => {$(
        impl $name {
            /// The next number, saturating.
            pub fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }
    )*};
}

impl_next! { SequenceNumber AttemptNumber FenceNumber }

/// A grant: an amount of a branch's budget that one incarnation may spend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GrantId {
    /// The incarnation that requested the grant. Only it may spend from the grant.
    pub holder: IncarnationId,
    /// The holder's sequence number of the grant, so that an id is never reused.
    pub number: u64,
}

impl fmt::Display for GrantId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.holder, self.number)
    }
}

impl FromStr for GrantId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error =
            || ParseError::new("a grant id", text, "HOLDER-NUMBER, as `00c0ffee00c0ffee-7`");
        let (holder, number) = text.split_once('-').ok_or_else(error)?;
        let holder = holder.parse().map_err(|_| error())?;
        let number = number.parse().map_err(|_| error())?;
        Ok(Self { holder, number })
    }
}

impl Serialize for GrantId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return serializer.collect_str(self);
        }
        (self.holder, self.number).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for GrantId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            return text.parse().map_err(D::Error::custom);
        }
        let (holder, number) = Deserialize::deserialize(deserializer)?;
        Ok(Self { holder, number })
    }
}

/// A charge: one request paid from one grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChargeId {
    /// The grant that pays.
    pub grant: GrantId,
    /// The number of the charge within the grant.
    pub sequence: SequenceNumber,
}

impl fmt::Display for ChargeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.grant, self.sequence)
    }
}

impl FromStr for ChargeId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = || ParseError::new("a charge id", text, "GRANT/SEQUENCE");
        let (grant, sequence) = text.split_once('/').ok_or_else(error)?;
        let grant = grant.parse().map_err(|_| error())?;
        let sequence = sequence.parse().map_err(|_| error())?;
        Ok(Self { grant, sequence })
    }
}
