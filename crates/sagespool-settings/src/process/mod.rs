//! The settings file of one process.

mod common;
mod entry;
mod file;
mod gateway;
mod sidecar;

pub use common::{
    HttpSettings, LinkSettings, LogSettings, PlatformSettings, ProcessSettings, RoleSettings,
    check_process,
};
pub use entry::{
    BudgetChoice, EntrySettings, LedgerSettings, PolicySettings, QueueSettings, RoutingChoice,
};
pub use file::{SettingsError, check_files, load_process};
pub use gateway::{
    DirectSettings, GatewaySettings, GrantSettings, InForceSettings, LimitSettings, RelaySettings,
    RetrySettings, WarmupSettings, check_direct, is_direct, load_direct,
};
pub use sidecar::{AnswerSettings, SidecarSettings, UpstreamSettings};
