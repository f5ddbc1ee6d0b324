//! The derive sets that most types of the workspace share.

/// Gives a type one of the workspace's common derive sets.
///
/// `value` is for small copyable values that serve as keys, `record` for
/// owned data that is compared, cloned and serialized.
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

/// Lets a type that has `Display` and `FromStr` stand as its text in a JSON document.
///
/// The type says so to serde by `#[serde(try_from = "String", into = "String")]`, as
/// [`GrantId`](crate::GrantId) does; its `FromStr` has [`ParseError`](crate::ParseError) as its
/// error.
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

/// Newtypes of a whole number: compared as it, written as its digits, in documents a number.
macro_rules! whole_numbers {
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
                let fault = |_| $crate::ParseError::new($wanted, text, "a whole number");
                text.parse().map(Self).map_err(fault)
            }
        }
    )*};
}

pub(crate) use whole_numbers;
