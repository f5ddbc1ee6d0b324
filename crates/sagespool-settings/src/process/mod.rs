//! The settings files of processes.

mod common;
mod entry;
mod file;
mod gateway;
mod sidecar;

pub use common::{
    HttpSettings, LinkSettings, LogSettings, PlatformSettings, ProcessSettings, RoleSettings,
    parse_process_settings,
};
pub use entry::{
    BudgetStrategy, EntrySettings, LedgerSettings, PolicySettings, QueueSettings, RoutingStrategy,
};
pub use file::{SettingsError, check_files, load_process_settings};
pub use gateway::{
    GatewayOrRelaySettings, GatewaySettings, GrantSettings, PropagationSettings, RelaySettings,
    ResourceSettings, RetrySettings, RotationSettings, WarmupSettings, is_gateway_or_relay,
    load_gateway_or_relay, parse_gateway_or_relay,
};
pub use sidecar::{AnswerSettings, SidecarSettings, UpstreamSettings};
