//! Checked settings of a process and the fleet's configuration schema.
