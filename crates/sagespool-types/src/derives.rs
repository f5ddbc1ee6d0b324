//! Derive sets and trait implementations that many types of the workspace share.

/// Adds one of the workspace's common derive sets to a type.
///
/// `value` is for small `Copy` types that are used as keys, `record` for owned
/// data that is compared, cloned and serialized.
///
/// ```
/// sagespool_types::derives! { record;
///     /// A pair of numbers.
///     pub struct NumberPair {
///         /// The first.
///         pub first: u32,
///     }
/// }
/// assert_eq!(NumberPair { first: 1 }, NumberPair { first: 1 }.clone());
/// ```
#[macro_export]
macro_rules! derives {
    (value; $($item:tt)*) => {
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash,
            ::serde::Serialize, ::serde::Deserialize,
        )]
        $($item)*
    };
    (record; $($item:tt)*) => {
        #[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
        $($item)*
    };
}

/// Implements the conversions from and to `String` by `FromStr` and `Display`.
///
/// With `#[serde(try_from = "String", into = "String")]`, as on
/// [`SecretHash`](crate::SecretHash), the type is serialized as its text. Its `FromStr` must
/// have [`ParseError`](crate::ParseError) as its error.
#[macro_export]
macro_rules! string_conversions {
    ($name:ident) => {
        impl TryFrom<String> for $name {
            type Error = $crate::ParseError;

            fn try_from(text: String) -> Result<Self, $crate::ParseError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(value: $name) -> String {
                value.to_string()
            }
        }
    };
}

/// Defines newtypes of integers: ordered as integers, displayed as decimal digits, and serialized
/// as numbers.
macro_rules! integer_newtypes {
    ($($(#[$doc:meta])* $name:ident($inner:ty), $wanted:literal;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(f)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::ParseError;

            fn from_str(text: &str) -> Result<Self, $crate::ParseError> {
                let error = |_| $crate::ParseError::new($wanted, text, "a whole number");
                text.parse().map(Self).map_err(error)
            }
        }
    )*};
}

pub(crate) use integer_newtypes;
