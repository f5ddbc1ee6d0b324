//! At-most-once as pure decisions: claims, kept answers, quarantine.
