//! Checked settings of a process and the fleet's configuration schema.
//!
//! Settings are one JSON file a process ([`check_process`], [`load_process`]);
//! the configuration is objects in the platform's store ([`check_fleet`],
//! [`check_branches`]), indexed by [`FleetConfiguration`] for the lookups of
//! a request's way. Every check finds every fault at once.
//!
//! ```
//! let faults = sagespool_settings::check_process(r#"{"role": "entri", "stop_limit": 5}"#)
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
    BRANCH_SHARDS, BranchEntry, BranchObject, BranchRule, CONFIGURATION_PREFIX, ClassEntry,
    ClassHoldback, FLEET_OBJECT_KEY, FleetConfiguration, FleetObject, LimitEntry, ModelEntry,
    RouteRule, ServiceEntry, branch_object_key, branch_object_shard, branch_shard, check_branches,
    check_fleet, read_branches, read_fleet, split_branches,
};
pub use fault::{SettingsFault, SettingsFaults};
pub use process::{
    AnswerSettings, BudgetChoice, DirectSettings, EntrySettings, GatewaySettings, GrantSettings,
    HttpSettings, InForceSettings, LedgerSettings, LimitSettings, LinkSettings, LogSettings,
    PlatformSettings, PolicySettings, ProcessSettings, QueueSettings, RelaySettings, RetrySettings,
    RoleSettings, RoutingChoice, SettingsError, SidecarSettings, UpstreamSettings, WarmupSettings,
    check_direct, check_files, check_process, is_direct, load_direct, load_process,
};
pub use sagespool_log::LogLevel;
pub use secret::SecretText;
