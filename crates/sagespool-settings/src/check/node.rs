//! One value of a document, and objects.

use std::cell::RefCell;

use serde_json::Value;

use crate::ValidationError;
use crate::check::words::{field_path, show_kind, show_value};
use crate::check::{FaultLog, ObjectNode};

/// One value of the document and where it stands.
#[derive(Clone)]
pub(crate) struct CheckNode<'a> {
    pub(super) value: &'a Value,
    pub(super) path: String,
    pub(super) faults: &'a FaultLog,
}

impl<'a> CheckNode<'a> {
    pub fn root(value: &'a Value, faults: &'a FaultLog) -> Self {
        Self { value, path: "$".to_owned(), faults }
    }

    /// Notes a fault that shows the value, cut to a readable length.
    pub fn fault<T>(&self, allowed: impl Into<String>) -> Option<T> {
        self.fault_with(show_value(self.value), allowed, None)
    }

    pub fn fault_with<T>(
        &self,
        found: impl Into<String>,
        allowed: impl Into<String>,
        nearest: Option<String>,
    ) -> Option<T> {
        let (found, allowed) = (found.into(), allowed.into());
        self.faults.note(ValidationError { path: self.path.clone(), found, allowed, nearest });
        None
    }

    /// An object. Fields that `read` didn't ask for are faults.
    pub fn object<T>(self, read: impl FnOnce(&ObjectNode<'a>) -> Option<T>) -> Option<T> {
        let Value::Object(fields) = self.value else {
            return self.fault_with(show_kind(self.value), "an object", None);
        };
        let object =
            ObjectNode { fields, path: self.path, faults: self.faults, known: RefCell::default() };
        let value = read(&object);
        object.note_unknown();
        value
    }

    /// An object whose fields have names of the operator's choice.
    pub fn entries<T>(self, read: impl Fn(&str, CheckNode<'a>) -> Option<T>) -> Option<Vec<T>> {
        let Value::Object(fields) = self.value else {
            return self.fault_with(show_kind(self.value), "an object", None);
        };
        let read_one = |(name, value): (&String, &'a Value)| {
            let path = field_path(&self.path, name);
            read(name, CheckNode { value, path, faults: self.faults })
        };
        let items: Vec<Option<T>> = fields.iter().map(read_one).collect();
        items.into_iter().collect()
    }
}
