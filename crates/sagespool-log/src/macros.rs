//! The macro that code logs with.

/// Logs one event: a level, the event's name, then pairs whose values are `Display`.
///
/// Values are only formatted if the level is logged.
///
/// ```
/// use sagespool_log::log_event;
///
/// let request = 7;
/// log_event!(info, "request-ended", request = request, class = "lookup");
/// log_event!(warn, "store-unreachable");
/// ```
#[macro_export]
macro_rules! log_event {
    ($level:ident, $event:expr $(, $key:ident = $value:expr)* $(,)?) => {{
        let level = $crate::log_level!($level);
        if $crate::is_enabled(level) {
            #[allow(unused_mut)]
            let mut line = $crate::EventLine::new($event);
            $(line.push(stringify!($key), &$value);)*
            $crate::write_event(level, &line);
        }
    }};
}

/// The [`LogLevel`](crate::LogLevel) of a level's name.
#[doc(hidden)]
#[macro_export]
macro_rules! log_level {
    (error) => {
        $crate::LogLevel::Error
    };
    (warn) => {
        $crate::LogLevel::Warn
    };
    (info) => {
        $crate::LogLevel::Info
    };
    (debug) => {
        $crate::LogLevel::Debug
    };
}
