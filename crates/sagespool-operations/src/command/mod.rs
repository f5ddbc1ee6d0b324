//! Operators' commands, their outcomes and their stored records.

mod floor;
mod item;
mod outcome;
mod record;

pub use floor::{
    COMMAND_FLOOR_KEY, CommandFloor, PrunePlan, command_id_time, new_command_id, plan_pruning,
};
pub use item::{CommandItem, OperatorCommand, TargetName};
pub use outcome::{ItemOutcome, OutcomeState};
pub use record::{
    BegunItem, COMMANDS_PREFIX, CancelOutcome, CancelRecord, CommandExecutor, CommandRecord,
    CommandState, ItemRecord, NextItem, command_key,
};
