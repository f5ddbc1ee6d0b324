//! Structured logs: one line of key=value pairs for each event.
