//! Objects whose fields are read by name.

use std::cell::RefCell;

use serde_json::{Map, Value};

use crate::ValidationError;
use crate::check::words::{field_path, nearest_of, quote_all};
use crate::check::{CheckNode, FaultLog};

/// An object whose fields are read by name.
pub(crate) struct ObjectNode<'a> {
    pub(super) fields: &'a Map<String, Value>,
    pub(super) path: String,
    pub(super) faults: &'a FaultLog,
    pub(super) known: RefCell<Vec<&'static str>>,
}

impl<'a> ObjectNode<'a> {
    pub fn field(&self, name: &'static str) -> Option<CheckNode<'a>> {
        self.know(&[name]);
        let value = self.fields.get(name)?;
        Some(CheckNode { value, path: field_path(&self.path, name), faults: self.faults })
    }

    /// An object among the fields whose other fields are read elsewhere.
    pub fn peek(&self, name: &str) -> Option<ObjectNode<'a>> {
        let fields = self.fields.get(name)?.as_object()?;
        let path = field_path(&self.path, name);
        Some(ObjectNode { fields, path, faults: self.faults, known: RefCell::default() })
    }

    /// Fields that are allowed here, though not read.
    pub fn know(&self, names: &[&'static str]) {
        self.known.borrow_mut().extend(names);
    }

    pub fn required<T>(
        &self,
        name: &'static str,
        read: impl FnOnce(CheckNode<'a>) -> Option<T>,
    ) -> Option<T> {
        match self.field(name) {
            Some(node) => read(node),
            None => self.fault_at(name, "nothing", "this field is required"),
        }
    }

    /// `Some(None)` if the field isn't there.
    pub fn optional<T>(
        &self,
        name: &'static str,
        read: impl FnOnce(CheckNode<'a>) -> Option<T>,
    ) -> Option<Option<T>> {
        match self.field(name) {
            Some(node) => read(node).map(Some),
            None => Some(None),
        }
    }

    pub fn or<T>(
        &self,
        name: &'static str,
        default: T,
        read: impl FnOnce(CheckNode<'a>) -> Option<T>,
    ) -> Option<T> {
        match self.field(name) {
            Some(node) => read(node),
            None => Some(default),
        }
    }

    /// Notes a fault of a field, whether it is there or not.
    pub fn fault_at<T>(
        &self,
        name: &str,
        found: impl Into<String>,
        allowed: impl Into<String>,
    ) -> Option<T> {
        let path = field_path(&self.path, name);
        let (found, allowed) = (found.into(), allowed.into());
        self.faults.note(ValidationError { path, found, allowed, nearest: None });
        None
    }

    /// Notes a fault further down, at a path from this object.
    pub fn fault_below(&self, at: &str, found: String, allowed: String) {
        let path = format!("{}.{at}", self.path);
        self.faults.note(ValidationError { path, found, allowed, nearest: None });
    }

    /// Notes a fault if a field's word isn't one of the known ones.
    pub fn note_unless_word(&self, name: &str, word: &str, words: &[&str]) {
        if words.contains(&word) {
            return;
        }
        self.faults.note(ValidationError {
            path: field_path(&self.path, name),
            found: format!("{word:?}"),
            allowed: format!("one of {}", quote_all(words)),
            nearest: nearest_of(word, words),
        });
    }

    /// An unknown field's value isn't shown: it may be a secret under a misspelt name.
    pub(super) fn note_unknown(&self) {
        let known = self.known.borrow();
        for name in self.fields.keys().filter(|name| !known.contains(&name.as_str())) {
            self.faults.note(ValidationError {
                path: field_path(&self.path, name),
                found: "an unknown field".to_owned(),
                allowed: format!("the fields {}", quote_all(&known)),
                nearest: nearest_of(name, &known),
            });
        }
    }
}
