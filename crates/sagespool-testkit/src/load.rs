//! The load tool's parts: planned calls, callers, and the judgement of what came of them.

mod book;
mod caller;
mod oracle;
mod outcome;
mod plan;
mod report;
mod run;

pub use book::DepositLog;
pub use caller::LoadCaller;
pub use oracle::{OracleInput, OracleVerdict, judge};
pub use outcome::{CallOutcome, CallRecord, SendRecord};
pub use plan::{BranchTraffic, CallKind, PlanBuilder, PlannedCall, TrafficMix, plan_calls};
pub use report::{LatencyFigures, LoadReport};
pub use run::run_calls;
