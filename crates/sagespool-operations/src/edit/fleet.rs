//! Edits of classes and services.

use sagespool_settings::{FleetObject, RouteRule, ServiceConfig};
use sagespool_types::{ClassName, ServiceName};

use super::{ClassChange, EditError, ServiceChange};

/// Applies an edit to a class.
pub(super) fn apply_class(
    object: &mut FleetObject,
    class: &ClassName,
    change: &ClassChange,
) -> Result<(), EditError> {
    let names: Vec<String> = object.classes.iter().map(|class| class.name.to_string()).collect();
    let Some(entry) = object.classes.iter_mut().find(|entry| entry.name == *class) else {
        return Err(unknown("class", class.as_str(), &names));
    };
    match change {
        ClassChange::Priority(priority) => entry.priority = *priority,
        ClassChange::Limit(change) => change.apply(&mut entry.limits),
    }
    Ok(())
}

/// Applies an edit to a service.
pub(super) fn apply_service(
    object: &mut FleetObject,
    service: &ServiceName,
    change: &ServiceChange,
) -> Result<(), EditError> {
    let names: Vec<String> =
        object.services.iter().map(|service| service.name.to_string()).collect();
    let Some(entry) = object.services.iter_mut().find(|entry| entry.name == *service) else {
        return Err(unknown("service", service.as_str(), &names));
    };
    match change {
        ServiceChange::Limit(change) => change.apply(&mut entry.limits),
        ServiceChange::Declare { route, declared } => declare(entry, route, *declared),
    }
    Ok(())
}

fn declare(entry: &mut ServiceConfig, route: &RouteRule, declared: bool) {
    let present = entry.non_idempotent.contains(route);
    match (present, declared) {
        (false, true) => entry.non_idempotent.push(route.clone()),
        (true, false) => entry.non_idempotent.retain(|present| present != route),
        _ => {}
    }
}

fn unknown(kind: &str, name: &str, names: &[String]) -> EditError {
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    EditError::unknown(kind, name, &names)
}
