//! Validated settings of a process, and the schema of the fleet's configuration.
//!
//! The settings of a process are one JSON file ([`parse_process_settings`], [`load_process_settings`]). The
//! configuration is a set of objects in the platform's store ([`check_fleet`],
//! [`check_branches`]), indexed by [`FleetConfiguration`] for the lookups of the request path.
//! Validation reports every error at once.
//!
//! ```
//! let errors = sagespool_settings::parse_process_settings(r#"{"role": "entri", "stop_limit": 5}"#)
//!     .expect_err("required fields are missing");
//! assert!(errors.to_string().contains("$.role: found \"entri\"; allowed: one of `entry`, `sidecar`"));
//! assert!(errors.to_string().contains("did you mean `stop_limit_ms`?"));
//! ```

mod check;
mod configuration;
mod document;
mod process;
mod secret;
mod validation;

pub use configuration::{
    BRANCH_SHARD_COUNT, BranchConfig, BranchObject, BranchRule, CONFIGURATION_PREFIX, ClassConfig,
    ClassHoldback, FLEET_OBJECT_KEY, FleetConfiguration, FleetObject, LimitConfig, ModelConfig,
    RouteRule, ServiceConfig, branch_object_key, branch_object_shard, branch_shard, check_branches,
    check_fleet, parse_branches, parse_fleet, split_branches,
};
pub use process::{
    AnswerSettings, BudgetStrategy, EntrySettings, GatewayOrRelaySettings, GatewaySettings,
    GrantSettings, HttpSettings, LedgerSettings, LinkSettings, LogSettings, PlatformSettings,
    PolicySettings, ProcessSettings, PropagationSettings, QueueSettings, RelaySettings,
    ResourceSettings, RetrySettings, RoleSettings, RotationSettings, RoutingStrategy,
    SettingsError, SidecarSettings, UpstreamSettings, WarmupSettings, check_files,
    is_gateway_or_relay, load_gateway_or_relay, load_process_settings, parse_gateway_or_relay,
    parse_process_settings,
};
pub use sagespool_log::LogLevel;
pub use secret::SecretText;
pub use validation::{ValidationError, ValidationErrors};
