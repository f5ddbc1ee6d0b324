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
