//! The load tool: planned calls, callers, fault scripts, and oracles that check the outcome.

mod balancer;
mod caller;
mod compare;
mod config_oracle;
mod deposit_log;
mod direct;
mod fault_log;
mod faults;
mod home_kill;
mod leaving;
mod operator_client;
mod operator_oracle;
mod operator_sampler;
mod oracle;
mod order_oracle;
mod outcome;
mod plan;
mod report;
mod run;
mod scenario;
mod scrape;
mod session;
mod stats;

pub use balancer::EntryBalancer;
pub use caller::LoadCaller;
pub use compare::comparison_table;
pub use config_oracle::{ConfigLog, ConfigStats, LogVerdict, judge_log};
pub use deposit_log::DepositLog;
pub use fault_log::{FaultLog, LeavingSpan};
pub use faults::FAULT_NAMES;
pub use home_kill::HomeKill;
pub use leaving::{LeavingVerdict, judge_leaving};
pub use operator_client::OperatorClient;
pub use operator_oracle::{AnswerFacts, AnswerVerdict, judge_answers};
pub use operator_sampler::{AnswerSample, sample_answers};
pub use oracle::{OracleInput, OracleVerdict, judge};
pub use order_oracle::{OrderVerdict, judge_orders};
pub use outcome::{CallOutcome, CallRecord, SendRecord};
pub use plan::{BranchTraffic, CallKind, PlanBuilder, PlannedCall, TrafficMix, plan_calls};
pub use report::{ControlRates, LatencyStats, LoadReport};
pub use run::{run_balanced, run_calls};
pub use scenario::{
    EngineSpec, FleetSize, GREEDY_BRANCH, LoadPhase, SCENARIO_NAMES, ScenarioOptions, ScenarioPlan,
    TimedPhase, TrafficProfile, check_names, phase_calls, run_scenario, scenario_plan,
    schedule_phases,
};
pub use session::{StoreTraffic, add_process_usage, first_deposits, stop_and_judge, traffic_of};
pub use stats::{AnswerStats, BranchStats, DeadlineRefusals, GreedEffect, PhaseStats};
