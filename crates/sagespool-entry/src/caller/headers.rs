//! Request headers of callers: idempotency key, deadline, class, non-idempotent flag.

use std::time::Duration;

use sagespool_settings::{ClassConfig, FleetConfiguration};
use sagespool_types::ClassName;
use trillium::Headers;

use super::CallerError;

const MAX_KEY_LENGTH: usize = 255;

/// The checked headers of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallHeaders {
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// Time from now to the deadline.
    pub time_left: Duration,
    /// The class.
    pub class: ClassName,
    /// The class's priority; lower goes first.
    pub priority: u8,
    /// True if the caller declares that the request must not run twice.
    pub non_idempotent: bool,
}

/// A header's value, if present. A repeated header is an error, since processes in front of or
/// behind this one could read a different value.
pub(super) fn text<'a>(
    headers: &'a Headers,
    name: &'static str,
) -> Result<Option<&'a str>, CallerError> {
    let Some(values) = headers.get_values(name) else {
        return Ok(None);
    };
    if values.len() > 1 {
        let message = format!("the header {name} appears {} times", values.len());
        return Err(CallerError::bad("repeated-header", message, "send it once"));
    }
    let value = values.one().and_then(|value| value.as_str());
    let error =
        || CallerError::bad("header-text", format!("the header {name} is not text"), "ASCII text");
    value.map(|value| Some(value.trim())).ok_or_else(error)
}

/// The idempotency key, if present.
fn read_key(headers: &Headers) -> Result<Option<String>, CallerError> {
    let Some(key) = text(headers, "idempotency-key")? else {
        return Ok(None);
    };
    let fits =
        !key.is_empty() && key.len() <= MAX_KEY_LENGTH && key.chars().all(|c| c.is_ascii_graphic());
    if !fits {
        let message = format!("the idempotency key has {} characters or invalid ones", key.len());
        let help = format!("1 to {MAX_KEY_LENGTH} printable ASCII characters without spaces");
        return Err(CallerError::bad("idempotency-key", message, help));
    }
    Ok(Some(key.to_owned()))
}

fn read_class<'a>(
    headers: &Headers,
    config: &'a FleetConfiguration,
) -> Result<&'a ClassConfig, CallerError> {
    let Some(name) = text(headers, "sagespool-class")? else {
        return Ok(config.default_class());
    };
    let known = || {
        let names: Vec<String> = config.classes().map(|class| class.name.to_string()).collect();
        format!("one of: {}", names.join(", "))
    };
    let error =
        || CallerError::bad("unknown-class", format!("there is no class `{name}`"), known());
    let name: ClassName = name.parse().map_err(|_| error())?;
    config.class(&name).ok_or_else(error)
}

fn read_deadline(headers: &Headers, class: &ClassConfig) -> Result<Duration, CallerError> {
    let Some(given) = text(headers, "sagespool-deadline-ms")? else {
        return Ok(Duration::from_millis(class.deadline_ms));
    };
    let longest = class.longest_deadline_ms;
    let error = || {
        let message = format!("`{given}` is not a deadline of class {}", class.name);
        CallerError::bad("deadline", message, format!("whole milliseconds from 1 to {longest}"))
    };
    let millis: u64 = given.parse().map_err(|_| error())?;
    if millis == 0 || millis > longest {
        return Err(error());
    }
    Ok(Duration::from_millis(millis))
}

fn read_non_idempotent(headers: &Headers) -> Result<bool, CallerError> {
    match text(headers, "sagespool-non-idempotent")? {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(other) => {
            let message = format!("sagespool-non-idempotent is `{other}`");
            Err(CallerError::bad("non-idempotent", message, "`true` or `false`"))
        }
    }
}

/// Checks all request headers that the fleet uses.
///
/// # Errors
/// The first invalid header.
pub fn read_headers(
    headers: &Headers,
    config: &FleetConfiguration,
) -> Result<CallHeaders, CallerError> {
    let key = read_key(headers)?;
    let class = read_class(headers, config)?;
    let time_left = read_deadline(headers, class)?;
    let non_idempotent = read_non_idempotent(headers)?;
    let (class, priority) = (class.name.clone(), class.priority);
    Ok(CallHeaders { key, time_left, class, priority, non_idempotent })
}
