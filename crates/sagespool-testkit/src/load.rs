//! The load tool's parts: planned calls, callers, and the judgement of what came of them.

mod balancer;
mod book;
mod caller;
mod compare;
mod config_oracle;
mod direct;
mod faults;
mod figures;
mod fleet_notes;
mod home_kill;
mod leaving;
mod operator_line;
mod operator_oracle;
mod operator_watch;
mod oracle;
mod order_oracle;
mod outcome;
mod plan;
mod report;
mod run;
mod scenario;
mod scrape;
mod session;

pub use balancer::EntryBalancer;
pub use book::DepositLog;
pub use caller::LoadCaller;
pub use compare::comparison_table;
pub use config_oracle::{ConfigFigures, ConfigLog, LogVerdict, judge_log};
pub use faults::FAULT_NAMES;
pub use figures::{AnswerFigures, BranchFigures, DeadlineRefusals, GreedEffect, PhaseFigures};
pub use fleet_notes::{FleetNotes, LeavingSpan};
pub use home_kill::HomeKill;
pub use leaving::{LeavingVerdict, judge_leaving};
pub use operator_line::OperatorClient;
pub use operator_oracle::{AnswerFacts, AnswerVerdict, judge_answers};
pub use operator_watch::{AnswerSample, ask_around};
pub use oracle::{OracleInput, OracleVerdict, judge};
pub use order_oracle::{OrderVerdict, judge_orders};
pub use outcome::{CallOutcome, CallRecord, SendRecord};
pub use plan::{BranchTraffic, CallKind, PlanBuilder, PlannedCall, TrafficMix, plan_calls};
pub use report::{ControlRates, LatencyFigures, LoadReport};
pub use run::{run_balanced, run_calls};
pub use scenario::{
    EngineTraits, FleetSize, GREEDY_BRANCH, LoadPhase, SCENARIO_NAMES, ScenarioOptions,
    ScenarioPlan, TimedPhase, TrafficTraits, check_names, course_calls, lay_out, run_scenario,
    scenario_plan,
};
pub use session::{StoreTraffic, conclude, first_deposits, note_usage, traffic_of};
