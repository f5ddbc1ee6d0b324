//! Applying an edit to a stored configuration object.

use sagespool_settings::{
    BranchObject, FleetObject, ValidationErrors, check_branches, check_fleet,
};
use serde::Serialize;
use serde_json::Value;

use super::{ConfigEdit, FieldChange, branch, changes_between, fleet};
use crate::nearest_of;

/// Why an edit can't be applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EditError {
    /// The reason, for the operator.
    pub message: String,
    /// The known name closest to one that was not found.
    pub nearest: Option<String>,
}

impl EditError {
    pub(super) fn new(message: impl Into<String>) -> Self {
        Self { message: message.into(), nearest: None }
    }

    pub(super) fn unknown(kind: &str, name: &str, known: &[&str]) -> Self {
        let message = format!("there is no {kind} `{name}`");
        Self { message, nearest: nearest_of(name, known) }
    }

    fn invalid(what: &str, errors: &ValidationErrors) -> Self {
        Self::new(format!("{what}: {errors}"))
    }
}

/// An object after an edit.
#[derive(Debug, Clone, PartialEq)]
pub struct EditedObject {
    /// Its value; it conforms to the schema.
    pub value: Value,
    /// The changed fields; empty if the object had the requested values already.
    pub changes: Vec<FieldChange>,
}

impl ConfigEdit {
    /// Applies the edit to the present value of its object; `None` if the object doesn't exist.
    ///
    /// The result is checked against the schema. Checks that involve several objects are in
    /// [`sagespool_settings::FleetConfiguration::check_change`].
    ///
    /// # Errors
    /// If the present value is invalid, the edit doesn't apply to it, or the result is invalid.
    pub fn apply(&self, present: Option<&Value>) -> Result<EditedObject, EditError> {
        match self {
            Self::Branch { branch, change } => {
                let object = present.map_or(Ok(BranchObject::default()), check_branches);
                let object = object.map_err(|errors| present_invalid(&errors))?;
                apply_checked(&object, check_branches, |object| {
                    branch::apply(object, branch, change)
                })
            }
            Self::Class { class, change } => {
                apply_checked(&present_fleet(present)?, check_fleet, |object| {
                    fleet::apply_class(object, class, change)
                })
            }
            Self::Service { service, change } => {
                apply_checked(&present_fleet(present)?, check_fleet, |object| {
                    fleet::apply_service(object, service, change)
                })
            }
        }
    }
}

fn present_fleet(present: Option<&Value>) -> Result<FleetObject, EditError> {
    let present = present.ok_or_else(|| {
        EditError::new("the store has no object with the fleet's classes and services yet")
    })?;
    check_fleet(present).map_err(|errors| present_invalid(&errors))
}

/// Serializes both states before the comparison, so that a field that the stored object omits and one
/// with its default value compare as equal.
fn apply_checked<T: Clone + Serialize>(
    present: &T,
    check: fn(&Value) -> Result<T, ValidationErrors>,
    change: impl FnOnce(&mut T) -> Result<(), EditError>,
) -> Result<EditedObject, EditError> {
    let mut object = present.clone();
    change(&mut object)?;
    let value = to_value(&object);
    check(&value).map_err(|errors| edited_invalid(&errors))?;
    let changes = changes_between(&to_value(present), &value);
    Ok(EditedObject { value, changes })
}

fn to_value(object: &impl Serialize) -> Value {
    serde_json::to_value(object).expect("an object of the configuration is plain data")
}

fn present_invalid(errors: &ValidationErrors) -> EditError {
    EditError::invalid("the stored object is not valid; correct it in the store first", errors)
}

fn edited_invalid(errors: &ValidationErrors) -> EditError {
    EditError::invalid("the result would not be valid", errors)
}
