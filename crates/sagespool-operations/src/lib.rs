//! The operator language: queries, commands and their answers, without I/O.
//!
//! [`parse_line`] parses a line into an [`OperatorQuery`] or an
//! [`OperatorCommand`]; errors have a position and suggest the closest known
//! word. An [`OperatorAnswer`] is typed data with its sources, serialized as
//! JSON for programs and rendered as tables for people ([`render_answer`]).
//! The logic behind the answers is here too: the bounds of a branch's spend
//! ([`SpendEstimate`]), the edits of configuration objects ([`ConfigEdit`]),
//! and the records that make commands idempotent ([`CommandRecord`],
//! [`CommandFloor`], [`FenceRecord`]).

mod answer;
mod command;
mod edit;
mod fence;
mod line;
mod load_lease;
mod query;
mod render;
mod spend;
mod wire;

pub use answer::{
    AnswerBasis, AnswerBody, BookFigures, CommandAnswer, CommandSummary, CommandsAnswer,
    ConfigMember, ConfigObjectRow, ConfigRollout, ConfigurationAnswer, GrantInDoubt, HelpAnswer,
    HelpLine, HistoryAnswer, HistoryFact, HistoryNote, HistorySource, ItemAnswer, MemberLabel,
    MemberRow, MembersAnswer, OperatorAnswer, QuarantineAnswer, QuarantineRow, RequiredVersions,
    RoleRollout, RunningAnswer, RunningRow, ShownSection, SilentMember, SpendAnswer, SpendRow,
    StoreBasis, UpstreamRow, UpstreamState, UpstreamsAnswer, config_rollout,
};
pub use command::{
    BegunItem, COMMAND_FLOOR_KEY, COMMANDS_PREFIX, CancelOutcome, CancelRecord, CommandExecutor,
    CommandFloor, CommandItem, CommandRecord, CommandState, ItemOutcome, ItemRecord, NextItem,
    OperatorCommand, OutcomeState, PrunePlan, TargetName, command_id_time, command_key,
    new_command_id, plan_pruning,
};
pub use edit::{
    BranchChange, ClassChange, ConfigEdit, EditError, EditedObject, FieldChange, HashPrefix,
    LimitChange, LimitKind, ServiceChange, changes_between,
};
pub use fence::{FENCES_PREFIX, FenceHolder, FenceRecord, fence_key};
pub use line::{LineError, LineSpan, OperatorLine, VerbHelp, nearest_of, parse_line, verb_help};
pub use load_lease::{LOAD_LEASE_KEY, LoadLease};
pub use query::{ConfigSection, OperatorQuery};
pub use render::render_answer;
pub use spend::{HolderUsage, SpendEstimate, TokenRange};
pub use wire::{ErrorReply, LINE_PATH, LineRequest, OperatorError};
