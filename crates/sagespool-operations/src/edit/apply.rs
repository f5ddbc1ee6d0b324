//! Making an edit on an object as it is in the store.

use sagespool_settings::{
    BranchObject, FleetObject, ValidationErrors, check_branches, check_fleet,
};
use serde::Serialize;
use serde_json::Value;

use super::{ConfigEdit, FieldChange, branch, changes_between, fleet};
use crate::nearest_of;

/// Why an edit can't be made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EditError {
    /// Why, for a person.
    pub message: String,
    /// The known name that may have been meant.
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

    fn faulty(what: &str, faults: &ValidationErrors) -> Self {
        Self::new(format!("{what}: {faults}"))
    }
}

/// An object after an edit.
#[derive(Debug, Clone, PartialEq)]
pub struct EditedObject {
    /// Its value, checked by the schema.
    pub value: Value,
    /// What the edit changed; nothing if it was so already.
    pub changes: Vec<FieldChange>,
}

impl ConfigEdit {
    /// Makes the edit on the present value of its object; nothing for an object that isn't there.
    ///
    /// The result is checked by the schema before anybody can accept it. What one object alone doesn't
    /// show is checked by [`sagespool_settings::FleetConfiguration::check_change`].
    ///
    /// # Errors
    /// If the present value isn't valid, the edit can't be made on it, or its result isn't valid.
    pub fn apply(&self, present: Option<&Value>) -> Result<EditedObject, EditError> {
        match self {
            Self::Branch { branch, change } => {
                let object = present.map_or(Ok(BranchObject::default()), check_branches);
                let object = object.map_err(|faults| present_faulty(&faults))?;
                edited(&object, check_branches, |object| branch::apply(object, branch, change))
            }
            Self::Class { class, change } => {
                edited(&present_fleet(present)?, check_fleet, |object| {
                    fleet::apply_class(object, class, change)
                })
            }
            Self::Service { service, change } => {
                edited(&present_fleet(present)?, check_fleet, |object| {
                    fleet::apply_service(object, service, change)
                })
            }
        }
    }
}

fn present_fleet(present: Option<&Value>) -> Result<FleetObject, EditError> {
    let present = present.ok_or_else(|| EditError::new("the fleet has no classes yet"))?;
    check_fleet(present).map_err(|faults| present_faulty(&faults))
}

/// Both states are written anew before they are compared: a field that the store leaves to its default
/// has not changed.
fn edited<T: Clone + Serialize>(
    present: &T,
    check: fn(&Value) -> Result<T, ValidationErrors>,
    change: impl FnOnce(&mut T) -> Result<(), EditError>,
) -> Result<EditedObject, EditError> {
    let mut object = present.clone();
    change(&mut object)?;
    let value = to_value(&object);
    check(&value).map_err(|faults| edited_faulty(&faults))?;
    let changes = changes_between(&to_value(present), &value);
    Ok(EditedObject { value, changes })
}

fn to_value(object: &impl Serialize) -> Value {
    serde_json::to_value(object).expect("an object of the configuration is plain data")
}

fn present_faulty(faults: &ValidationErrors) -> EditError {
    EditError::faulty("the object in the store isn't valid; mend it there first", faults)
}

fn edited_faulty(faults: &ValidationErrors) -> EditError {
    EditError::faulty("the result would not be valid", faults)
}
