//! Lists.

use std::ops::RangeInclusive;

use serde_json::Value;

use crate::ValidationError;
use crate::check::words::show_kind;
use crate::check::{CheckNode, ObjectNode};

impl<'a> CheckNode<'a> {
    pub fn list<T>(self, read: impl Fn(CheckNode<'a>) -> Option<T>) -> Option<Vec<T>> {
        self.items(read)?.into_iter().collect()
    }

    /// A list in which nothing stands twice.
    pub fn list_of_unique<T: PartialEq>(
        self,
        read: impl Fn(CheckNode<'a>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let items = self.items(read)?;
        let unique = self.note_repeated(&items, T::eq);
        let items: Option<Vec<T>> = items.into_iter().collect();
        items.filter(|_| unique)
    }

    /// A list of objects with names, none twice.
    pub fn named_list<T>(
        self,
        sizes: RangeInclusive<usize>,
        read: impl Fn(&ObjectNode<'a>) -> Option<T>,
        name_of: impl Fn(&T) -> &str,
    ) -> Option<Vec<T>> {
        let items = self.items(|node| node.object(&read))?;
        let unique = self.note_repeated(&items, |one, other| name_of(one) == name_of(other));
        if !sizes.contains(&items.len()) {
            let allowed = format!("from {} to {}", sizes.start(), sizes.end());
            return self.fault_with(format!("{} entries", items.len()), allowed, None);
        }
        let items: Option<Vec<T>> = items.into_iter().collect();
        items.filter(|_| unique)
    }

    /// The items of a list, `None` for each with a fault.
    fn items<T>(&self, read: impl Fn(CheckNode<'a>) -> Option<T>) -> Option<Vec<Option<T>>> {
        let Value::Array(items) = self.value else {
            return self.fault_with(show_kind(self.value), "a list", None);
        };
        let read_one = |(index, value): (usize, &'a Value)| {
            let path = format!("{}[{index}]", self.path);
            read(CheckNode { value, path, faults: self.faults })
        };
        Some(items.iter().enumerate().map(read_one).collect())
    }

    /// Notes each item that equals an earlier one; true if there is none.
    fn note_repeated<T>(&self, items: &[Option<T>], same: impl Fn(&T, &T) -> bool) -> bool {
        let mut unique = true;
        for (index, item) in items.iter().enumerate() {
            let Some(item) = item else { continue };
            if items[..index].iter().flatten().any(|earlier| same(earlier, item)) {
                let path = format!("{}[{index}]", self.path);
                let found = "the same again".to_owned();
                let allowed = "each only once".to_owned();
                self.faults.note(ValidationError { path, found, allowed, nearest: None });
                unique = false;
            }
        }
        unique
    }
}
