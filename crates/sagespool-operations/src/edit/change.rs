//! Differences between two states of an object.

use std::fmt;

use sagespool_types::derives;
use serde_json::{Map, Value};

derives! { record;
    /// A changed field with its values before and after.
    pub struct FieldChange {
        /// Its path: `branches.ruwi-bids.weight`.
        pub path: String,
        /// Its value before; `None` if it was absent.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub before: Option<Value>,
        /// Its value after; `None` if it was removed.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub after: Option<Value>,
    }
}

impl FieldChange {
    /// True if the field is at `path` or below it.
    pub fn is_within(&self, path: &str) -> bool {
        let rest = self.path.strip_prefix(path);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
    }
}

impl fmt::Display for FieldChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let show = |value: &Option<Value>| match value {
            Some(value) => value.to_string(),
            None => "none".to_owned(),
        };
        write!(f, "{}: {} -> {}", self.path, show(&self.before), show(&self.after))
    }
}

/// Lists every field that differs. Lists whose items all have a `name` are compared item by item under
/// these names, other lists as a whole.
pub fn changes_between(before: &Value, after: &Value) -> Vec<FieldChange> {
    let mut changes = Vec::new();
    compare("", Some(before), Some(after), &mut changes);
    changes
}

fn compare(
    path: &str,
    before: Option<&Value>,
    after: Option<&Value>,
    changes: &mut Vec<FieldChange>,
) {
    if before == after {
        return;
    }
    if let (Some(old), Some(new)) = (before.and_then(fields_of), after.and_then(fields_of)) {
        return compare_fields(path, &old, &new, changes);
    }
    let change =
        FieldChange { path: path.to_owned(), before: before.cloned(), after: after.cloned() };
    changes.push(change);
}

fn compare_fields(
    path: &str,
    before: &Map<String, Value>,
    after: &Map<String, Value>,
    changes: &mut Vec<FieldChange>,
) {
    let added = after.keys().filter(|name| !before.contains_key(*name));
    for name in before.keys().chain(added) {
        let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
        compare(&path, before.get(name), after.get(name), changes);
    }
}

/// The fields of an object, or the items of a list keyed by their names.
fn fields_of(value: &Value) -> Option<Map<String, Value>> {
    match value {
        Value::Object(fields) => Some(fields.clone()),
        Value::Array(items) => items.iter().map(name_and_item).collect(),
        _ => None,
    }
}

fn name_and_item(item: &Value) -> Option<(String, Value)> {
    let name = item.get("name")?.as_str()?;
    Some((name.to_owned(), item.clone()))
}
