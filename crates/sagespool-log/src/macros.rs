//! The logging macro.

/// Logs one event: its level, its name, then `key = value` pairs with `Display` values.
///
/// Values are only formatted if the level is enabled.
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

/// Maps a lower-case level name to its [`LogLevel`](crate::LogLevel).
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
