//! Heartbeats, incarnations, leaving and configuration versions as pure decisions.
