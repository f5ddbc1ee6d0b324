//! Reads the fields of a JSON object by name.

use std::cell::RefCell;

use serde_json::{Map, Value};

use crate::ValidationError;
use crate::check::text::{field_path, nearest_of, quote_names};
use crate::check::{ErrorCollector, ValueNode};

/// A JSON object. Tracks which fields were accessed, to reject the others as unknown.
pub(crate) struct ObjectNode<'a> {
    pub(super) fields: &'a Map<String, Value>,
    pub(super) path: String,
    pub(super) errors: &'a ErrorCollector,
    pub(super) known: RefCell<Vec<&'static str>>,
}

impl<'a> ObjectNode<'a> {
    pub fn field(&self, name: &'static str) -> Option<ValueNode<'a>> {
        self.allow(&[name]);
        let value = self.fields.get(name)?;
        Some(ValueNode { value, path: field_path(&self.path, name), errors: self.errors })
    }

    /// An object field whose unknown fields are rejected by another reader; `None` if it isn't an
    /// object.
    pub fn peek_object(&self, name: &str) -> Option<ObjectNode<'a>> {
        let fields = self.fields.get(name)?.as_object()?;
        let path = field_path(&self.path, name);
        Some(ObjectNode { fields, path, errors: self.errors, known: RefCell::default() })
    }

    /// Accepts fields that aren't read here.
    pub fn allow(&self, names: &[&'static str]) {
        self.known.borrow_mut().extend(names);
    }

    pub fn required<T>(
        &self,
        name: &'static str,
        read: impl FnOnce(ValueNode<'a>) -> Option<T>,
    ) -> Option<T> {
        match self.field(name) {
            Some(node) => read(node),
            None => self.reject_field(name, "nothing", "this field is required"),
        }
    }

    /// `Some(None)` if the field is absent.
    pub fn optional<T>(
        &self,
        name: &'static str,
        read: impl FnOnce(ValueNode<'a>) -> Option<T>,
    ) -> Option<Option<T>> {
        match self.field(name) {
            Some(node) => read(node).map(Some),
            None => Some(None),
        }
    }

    pub fn or_default<T>(
        &self,
        name: &'static str,
        default: T,
        read: impl FnOnce(ValueNode<'a>) -> Option<T>,
    ) -> Option<T> {
        match self.field(name) {
            Some(node) => read(node),
            None => Some(default),
        }
    }

    /// Records an error for a field, whether it is present or not.
    pub fn reject_field<T>(
        &self,
        name: &str,
        found: impl Into<String>,
        allowed: impl Into<String>,
    ) -> Option<T> {
        let path = field_path(&self.path, name);
        let (found, allowed) = (found.into(), allowed.into());
        self.errors.push(ValidationError { path, found, allowed, nearest: None });
        None
    }

    /// Records an error at a path relative to this object.
    pub fn reject_below(&self, subpath: &str, found: String, allowed: String) {
        let path = format!("{}.{subpath}", self.path);
        self.errors.push(ValidationError { path, found, allowed, nearest: None });
    }

    /// Records an error if `value`, the field's content, isn't one of `names`.
    pub fn reject_unless_known(&self, name: &str, value: &str, names: &[&str]) {
        if names.contains(&value) {
            return;
        }
        self.errors.push(ValidationError {
            path: field_path(&self.path, name),
            found: format!("{value:?}"),
            allowed: format!("one of {}", quote_names(names)),
            nearest: nearest_of(value, names),
        });
    }

    /// Doesn't show the value of an unknown field: it can be a secret under a misspelt name.
    pub(super) fn reject_unknown_fields(&self) {
        let known = self.known.borrow();
        for name in self.fields.keys().filter(|name| !known.contains(&name.as_str())) {
            self.errors.push(ValidationError {
                path: field_path(&self.path, name),
                found: "an unknown field".to_owned(),
                allowed: format!("the fields {}", quote_names(&known)),
                nearest: nearest_of(name, &known),
            });
        }
    }
}
