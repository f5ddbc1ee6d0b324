//! Reads JSON arrays.

use std::ops::RangeInclusive;

use serde_json::Value;

use crate::ValidationError;
use crate::check::text::show_kind;
use crate::check::{ObjectNode, ValueNode};

impl<'a> ValueNode<'a> {
    pub fn list<T>(self, read: impl Fn(ValueNode<'a>) -> Option<T>) -> Option<Vec<T>> {
        self.items(read)?.into_iter().collect()
    }

    /// A list in which each item occurs once.
    pub fn unique_list<T: PartialEq>(
        self,
        read: impl Fn(ValueNode<'a>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let items = self.items(read)?;
        let unique = self.reject_duplicates(&items, T::eq);
        let items: Option<Vec<T>> = items.into_iter().collect();
        items.filter(|_| unique)
    }

    /// A list of objects with unique names, of a length within `sizes`.
    pub fn named_list<T>(
        self,
        sizes: RangeInclusive<usize>,
        read: impl Fn(&ObjectNode<'a>) -> Option<T>,
        name_of: impl Fn(&T) -> &str,
    ) -> Option<Vec<T>> {
        let items = self.items(|node| node.object(&read))?;
        let unique = self.reject_duplicates(&items, |left, right| name_of(left) == name_of(right));
        if !sizes.contains(&items.len()) {
            let allowed = format!("from {} to {}", sizes.start(), sizes.end());
            return self.reject_with(format!("{} entries", items.len()), allowed, None);
        }
        let items: Option<Vec<T>> = items.into_iter().collect();
        items.filter(|_| unique)
    }

    /// The items of a list, `None` for each invalid one.
    fn items<T>(&self, read: impl Fn(ValueNode<'a>) -> Option<T>) -> Option<Vec<Option<T>>> {
        let Value::Array(items) = self.value else {
            return self.reject_with(show_kind(self.value), "a list", None);
        };
        let read_one = |(index, value): (usize, &'a Value)| {
            let path = format!("{}[{index}]", self.path);
            read(ValueNode { value, path, errors: self.errors })
        };
        Some(items.iter().enumerate().map(read_one).collect())
    }

    /// Records an error for each item that equals an earlier one; true if there is none.
    fn reject_duplicates<T>(&self, items: &[Option<T>], same: impl Fn(&T, &T) -> bool) -> bool {
        let mut unique = true;
        for (index, item) in items.iter().enumerate() {
            let Some(item) = item else { continue };
            if items[..index].iter().flatten().any(|earlier| same(earlier, item)) {
                let path = format!("{}[{index}]", self.path);
                let found = "a duplicate entry".to_owned();
                let allowed = "each entry only once".to_owned();
                self.errors.push(ValidationError { path, found, allowed, nearest: None });
                unique = false;
            }
        }
        unique
    }
}
