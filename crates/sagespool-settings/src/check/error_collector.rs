//! Collects the validation errors of one document.

use std::cell::RefCell;

use crate::{ValidationError, ValidationErrors};

/// The errors found so far.
#[derive(Default)]
pub(crate) struct ErrorCollector(RefCell<Vec<ValidationError>>);

impl ErrorCollector {
    pub fn push(&self, error: ValidationError) {
        self.0.borrow_mut().push(error);
    }

    /// The value if no error was recorded, else all errors.
    pub fn into_result<T>(self, value: Option<T>) -> Result<T, ValidationErrors> {
        let errors = self.0.into_inner();
        match value {
            Some(value) if errors.is_empty() => Ok(value),
            _ => Err(ValidationErrors { errors }),
        }
    }
}
