//! Where faults are collected.

use std::cell::RefCell;

use crate::{ValidationError, ValidationErrors};

/// The faults found so far.
#[derive(Default)]
pub(crate) struct FaultLog(RefCell<Vec<ValidationError>>);

impl FaultLog {
    pub fn note(&self, fault: ValidationError) {
        self.0.borrow_mut().push(fault);
    }

    /// The value if no fault was noted.
    pub fn outcome<T>(self, value: Option<T>) -> Result<T, ValidationErrors> {
        let faults = self.0.into_inner();
        match value {
            Some(value) if faults.is_empty() => Ok(value),
            _ => Err(ValidationErrors { faults }),
        }
    }
}
