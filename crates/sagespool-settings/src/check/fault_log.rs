//! Where faults are collected.

use std::cell::RefCell;

use crate::{SettingsFault, SettingsFaults};

/// The faults found so far.
#[derive(Default)]
pub(crate) struct FaultLog(RefCell<Vec<SettingsFault>>);

impl FaultLog {
    pub fn note(&self, fault: SettingsFault) {
        self.0.borrow_mut().push(fault);
    }

    /// The value if no fault was noted.
    pub fn outcome<T>(self, value: Option<T>) -> Result<T, SettingsFaults> {
        let faults = self.0.into_inner();
        match value {
            Some(value) if faults.is_empty() => Ok(value),
            _ => Err(SettingsFaults { faults }),
        }
    }
}
