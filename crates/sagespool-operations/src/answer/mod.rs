//! Typed answers, serialized as JSON or rendered as tables.

mod basis;
mod commands;
mod configuration;
mod fleet;
mod history;
mod spend;

pub use basis::{AnswerBasis, MemberLabel, SilentMember, StoreBasis};
pub use commands::{CommandAnswer, CommandSummary, CommandsAnswer, ItemAnswer};
pub use configuration::{
    ConfigMember, ConfigObjectRow, ConfigRollout, ConfigurationAnswer, RequiredVersions,
    RoleRollout, ShownSection, config_rollout,
};
pub use fleet::{
    MemberRow, MembersAnswer, QuarantineAnswer, QuarantineRow, RunningAnswer, RunningRow,
    UpstreamRow, UpstreamState, UpstreamsAnswer,
};
pub use history::{HistoryAnswer, HistoryFact, HistoryNote, HistorySource};
pub use spend::{BookFigures, GrantInDoubt, SpendAnswer, SpendRow};

use sagespool_types::derives;

use crate::VerbHelp;

derives! { record;
    /// An answer and its sources.
    pub struct OperatorAnswer {
        /// Its sources.
        pub basis: AnswerBasis,
        /// The answer.
        pub answer: AnswerBody,
    }
}

derives! { record;
    /// The answer to one kind of line.
    #[serde(tag = "kind", rename_all = "kebab-case")]
    pub enum AnswerBody {
        /// To `spend`.
        Spend(SpendAnswer),
        /// To `running`.
        Running(RunningAnswer),
        /// To `upstreams`.
        Upstreams(UpstreamsAnswer),
        /// To `members`.
        Members(MembersAnswer),
        /// To `configuration`.
        Configuration(ConfigurationAnswer),
        /// To `request` and `key`.
        History(HistoryAnswer),
        /// To `quarantine`.
        Quarantine(QuarantineAnswer),
        /// To `commands`.
        Commands(CommandsAnswer),
        /// To `command`, and to every command.
        Command(CommandAnswer),
        /// To `help`.
        Help(HelpAnswer),
    }
}

derives! { record;
    /// The syntax of lines.
    pub struct HelpAnswer {
        /// One entry per verb.
        pub lines: Vec<HelpLine>,
    }
}

derives! { record;
    /// The syntax of one kind of line.
    pub struct HelpLine {
        /// The syntax.
        pub usage: String,
        /// What it does.
        pub summary: String,
    }
}

impl HelpAnswer {
    /// The help for a verb, or for all if `word` is `None`.
    pub fn about(word: Option<&str>) -> Self {
        let line = |help: VerbHelp| HelpLine {
            usage: help.usage.to_owned(),
            summary: help.summary.to_owned(),
        };
        Self { lines: crate::verb_help(word).into_iter().map(line).collect() }
    }
}
