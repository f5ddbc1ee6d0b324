//! Stand-ins of the platform, fault proxy, example fleet and load tool.
