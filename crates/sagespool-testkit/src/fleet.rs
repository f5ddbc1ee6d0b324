//! A whole fleet on loopback: fakes of the platform and upstreams, and real daemon processes.

mod binaries;
mod certificates;
mod deployment;
mod member;
mod options;
mod process_events;
mod readiness;
mod running;
mod settings_file;

pub use binaries::{FleetBinaries, find_binaries};
pub use certificates::CertificateSet;
pub use deployment::{BranchDeposit, CentrePlan, DeploymentPlan, ServicePlan, read_deployment};
pub use member::FleetMember;
pub use options::{EngineTuning, FleetError, FleetOptions};
pub use process_events::{ProcessEvent, ProcessEventKind};
pub(crate) use readiness::check_ready;
pub use running::{RunningFleet, top_up};
