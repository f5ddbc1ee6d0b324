//! The sidecar role: the last check before a request runs, and the witness of what ran.
