//! JSON values with their position in the document.

use std::cell::RefCell;

use serde_json::Value;

use crate::ValidationError;
use crate::check::text::{field_path, show_kind, show_value};
use crate::check::{ErrorCollector, ObjectNode};

/// A value of the document and its JSON path.
#[derive(Clone)]
pub(crate) struct ValueNode<'a> {
    pub(super) value: &'a Value,
    pub(super) path: String,
    pub(super) errors: &'a ErrorCollector,
}

impl<'a> ValueNode<'a> {
    pub fn root(value: &'a Value, errors: &'a ErrorCollector) -> Self {
        Self { value, path: "$".to_owned(), errors }
    }

    /// Records an error that shows the value, truncated if it is long.
    pub fn reject<T>(&self, allowed: impl Into<String>) -> Option<T> {
        self.reject_with(show_value(self.value), allowed, None)
    }

    pub fn reject_with<T>(
        &self,
        found: impl Into<String>,
        allowed: impl Into<String>,
        nearest: Option<String>,
    ) -> Option<T> {
        let (found, allowed) = (found.into(), allowed.into());
        self.errors.push(ValidationError { path: self.path.clone(), found, allowed, nearest });
        None
    }

    /// Reads an object. Fields that `read` didn't access are errors.
    pub fn object<T>(self, read: impl FnOnce(&ObjectNode<'a>) -> Option<T>) -> Option<T> {
        let Value::Object(fields) = self.value else {
            return self.reject_with(show_kind(self.value), "an object", None);
        };
        let object =
            ObjectNode { fields, path: self.path, errors: self.errors, known: RefCell::default() };
        let value = read(&object);
        object.reject_unknown_fields();
        value
    }

    /// Reads an object whose field names are data, such as branch names.
    pub fn entries<T>(self, read: impl Fn(&str, ValueNode<'a>) -> Option<T>) -> Option<Vec<T>> {
        let Value::Object(fields) = self.value else {
            return self.reject_with(show_kind(self.value), "an object", None);
        };
        let read_one = |(name, value): (&String, &'a Value)| {
            let path = field_path(&self.path, name);
            read(name, ValueNode { value, path, errors: self.errors })
        };
        let items: Vec<Option<T>> = fields.iter().map(read_one).collect();
        items.into_iter().collect()
    }
}
