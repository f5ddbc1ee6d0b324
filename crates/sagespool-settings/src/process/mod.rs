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
    GatewaySettings, GrantSettings, RetrySettings, check_gateway, is_gateway, load_gateway,
};
pub use sidecar::{AnswerSettings, SidecarSettings, UpstreamSettings};
