//! Verbs (the first word of a line) and their help.

use super::LineReader;
use crate::LineError;

/// The first word of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LineVerb {
    Spend,
    Running,
    Upstreams,
    Members,
    Configuration,
    Request,
    Key,
    Quarantine,
    Commands,
    Command,
    Help,
    Create,
    TopUp,
    Set,
    HoldBack,
    NonIdempotent,
    Idempotent,
    Add,
    Revoke,
    Drain,
    Undrain,
    Stop,
    Load,
    Unload,
    Release,
    Lift,
    Cancel,
}

/// Help for a query or a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VerbHelp {
    /// The verb.
    pub word: &'static str,
    /// Its syntax.
    pub usage: &'static str,
    /// What it does.
    pub summary: &'static str,
}

const fn verb_entry(
    word: &'static str,
    verb: LineVerb,
    usage: &'static str,
    summary: &'static str,
) -> (LineVerb, VerbHelp) {
    (verb, VerbHelp { word, usage, summary })
}

/// Every query, then every command.
const VERBS: [(LineVerb, VerbHelp); 27] = [
    verb_entry(
        "spend",
        LineVerb::Spend,
        "spend [BRANCH[, BRANCH]…]",
        "shows the spend of branches, as lower and upper bounds",
    ),
    verb_entry(
        "running",
        LineVerb::Running,
        "running [BRANCH]",
        "lists running requests and their upstreams",
    ),
    verb_entry("upstreams", LineVerb::Upstreams, "upstreams", "lists the upstreams and their load"),
    verb_entry("members", LineVerb::Members, "members", "lists the processes of the fleet"),
    verb_entry(
        "configuration",
        LineVerb::Configuration,
        "configuration [branch NAME | class NAME | service NAME]",
        "shows the configuration, its versions and the processes that have applied it",
    ),
    verb_entry(
        "request",
        LineVerb::Request,
        "request ID",
        "shows what is recorded about a request",
    ),
    verb_entry(
        "key",
        LineVerb::Key,
        "key BRANCH KEY",
        "shows what is recorded about a caller's idempotency key",
    ),
    verb_entry("quarantine", LineVerb::Quarantine, "quarantine", "lists the quarantined requests"),
    verb_entry(
        "commands",
        LineVerb::Commands,
        "commands",
        "lists the newest commands, finished or not",
    ),
    verb_entry(
        "command",
        LineVerb::Command,
        "command ID",
        "shows a command and the outcomes of its items",
    ),
    verb_entry("help", LineVerb::Help, "help [WORD]", "shows this list, or the help for one verb"),
    verb_entry(
        "create",
        LineVerb::Create,
        "create branch NAME key-hash HASH [key-hash HASH]… [operator] [weight N] [running N] [rate N] \
         [if version V]",
        "creates a branch; top it up next",
    ),
    verb_entry(
        "top-up",
        LineVerb::TopUp,
        "top-up BRANCH TOKENS[, BRANCH TOKENS]…",
        "adds prepaid tokens",
    ),
    verb_entry(
        "set",
        LineVerb::Set,
        "set BRANCH weight N | set [branch|class|service] NAME limit running|rate N|none | \
         set class NAME priority N [if version V]",
        "sets a weight, a priority or a limit",
    ),
    verb_entry(
        "hold-back",
        LineVerb::HoldBack,
        "hold-back BRANCH CLASS TOKENS [if version V]",
        "holds back tokens of a branch for one class; 0 removes the holdback",
    ),
    verb_entry(
        "non-idempotent",
        LineVerb::NonIdempotent,
        "non-idempotent SERVICE METHOD|any PATH [for BRANCH] [if version V]",
        "declares calls that must never run twice",
    ),
    verb_entry(
        "idempotent",
        LineVerb::Idempotent,
        "idempotent SERVICE METHOD|any PATH [for BRANCH] [if version V]",
        "withdraws such a declaration",
    ),
    verb_entry(
        "add",
        LineVerb::Add,
        "add key BRANCH HASH [if version V]",
        "adds a key to a branch",
    ),
    verb_entry(
        "revoke",
        LineVerb::Revoke,
        "revoke key BRANCH HASH [if version V]",
        "removes a key from a branch; the first 8 digits of its hash suffice if they are unique",
    ),
    verb_entry(
        "drain",
        LineVerb::Drain,
        "drain UPSTREAM|INSTANCE[, …]…",
        "drains upstreams: they get no new requests, and running ones finish",
    ),
    verb_entry(
        "undrain",
        LineVerb::Undrain,
        "undrain UPSTREAM|INSTANCE[, …]…",
        "ends the drain of upstreams",
    ),
    verb_entry("stop", LineVerb::Stop, "stop INSTANCE[, INSTANCE]…", "stops processes gracefully"),
    verb_entry(
        "load",
        LineVerb::Load,
        "load MODEL [adapter NAME] on UPSTREAM[, UPSTREAM]…",
        "loads a model, or an adapter of one, on engines",
    ),
    verb_entry(
        "unload",
        LineVerb::Unload,
        "unload MODEL on UPSTREAM[, UPSTREAM]…",
        "unloads a model from engines",
    ),
    verb_entry(
        "release",
        LineVerb::Release,
        "release BRANCH GRANT[, BRANCH GRANT]…",
        "releases tokens in doubt; use it only if no unaccounted request has run",
    ),
    verb_entry(
        "lift",
        LineVerb::Lift,
        "lift CONTENT[, CONTENT]…",
        "lifts the quarantine of requests",
    ),
    verb_entry(
        "cancel",
        LineVerb::Cancel,
        "cancel COMMAND",
        "cancels the items of a command that have not started",
    ),
];

/// The help for every query and command, or for the one with this verb.
pub fn verb_help(word: Option<&str>) -> Vec<VerbHelp> {
    let all = VERBS.iter().map(|(_, help)| *help);
    all.filter(|help| word.is_none_or(|word| help.word == word)).collect()
}

/// Reads the first word. Later errors show the usage of this verb.
pub(super) fn read_verb(reader: &mut LineReader) -> Result<LineVerb, LineError> {
    let index = reader.one_of("a query or a command", &verb_indices())?;
    let (verb, help) = VERBS[index];
    reader.set_usage(help.usage);
    Ok(verb)
}

/// Reads the name of a verb.
pub(super) fn read_help_word(reader: &mut LineReader) -> Result<String, LineError> {
    let index = reader.one_of("a query or a command", &verb_indices())?;
    Ok(VERBS[index].1.word.to_owned())
}

fn verb_indices() -> Vec<(&'static str, usize)> {
    VERBS.iter().enumerate().map(|(index, (_, help))| (help.word, index)).collect()
}
