//! Checked settings of a process and the fleet's configuration schema.
//!
//! Settings are one JSON file a process ([`parse_process_settings`], [`load_process_settings`]);
//! the configuration is objects in the platform's store ([`check_fleet`],
//! [`check_branches`]), indexed by [`FleetConfiguration`] for the lookups of
//! a request's way. Every check finds every fault at once.
//!
//! ```
//! let faults = sagespool_settings::parse_process_settings(r#"{"role": "entri", "stop_limit": 5}"#)
//!     .expect_err("there is a lot missing");
//! assert!(faults.to_string().contains("$.role: found \"entri\"; allowed: one of `entry`, `sidecar`"));
//! assert!(faults.to_string().contains("did you mean `stop_limit_ms`?"));
//! ```

mod check;
mod configuration;
mod document;
mod fault;
mod process;
mod secret;

pub use configuration::{
    BRANCH_SHARDS, BranchConfig, BranchObject, BranchRule, CONFIGURATION_PREFIX, ClassConfig,
    ClassHoldback, FLEET_OBJECT_KEY, FleetConfiguration, FleetObject, LimitConfig, ModelConfig,
    RouteRule, ServiceConfig, branch_object_key, branch_object_shard, branch_shard, check_branches,
    check_fleet, parse_branches, parse_fleet, split_branches,
};
pub use fault::{ValidationError, ValidationErrors};
pub use process::{
    AnswerSettings, BudgetStrategy, EntrySettings, GatewayOrRelaySettings, GatewaySettings,
    GrantSettings, HttpSettings, LedgerSettings, LinkSettings, LogSettings, PlatformSettings,
    PolicySettings, ProcessSettings, PropagationSettings, QueueSettings, RelaySettings,
    ResourceSettings, RetrySettings, RoleSettings, RoutingStrategy, SettingsError, SidecarSettings,
    UpstreamSettings, WarmupSettings, check_files, is_gateway_or_relay, load_gateway_or_relay,
    load_process_settings, parse_gateway_or_relay, parse_process_settings,
};
pub use sagespool_log::LogLevel;
pub use secret::SecretText;
