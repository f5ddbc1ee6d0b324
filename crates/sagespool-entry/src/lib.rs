//! The entry role: callers' HTTP, the home of branches, dispatch to sidecars.
