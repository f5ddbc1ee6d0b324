//! Answers, typed: what programs read, and what tables are made of.

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
    /// An answer, and what it rests on.
    pub struct OperatorAnswer {
        /// What it rests on.
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
    /// How lines are written.
    pub struct HelpAnswer {
        /// One for each kind of line.
        pub lines: Vec<HelpLine>,
    }
}

derives! { record;
    /// How one kind of line is written.
    pub struct HelpLine {
        /// The line.
        pub usage: String,
        /// What it does.
        pub summary: String,
    }
}

impl HelpAnswer {
    /// The lines that begin with a word, or all.
    pub fn about(word: Option<&str>) -> Self {
        let line = |help: VerbHelp| HelpLine {
            usage: help.usage.to_owned(),
            summary: help.summary.to_owned(),
        };
        Self { lines: crate::verb_help(word).into_iter().map(line).collect() }
    }
}
