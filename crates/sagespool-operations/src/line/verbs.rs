//! The first word of a line.

use super::LineReader;
use crate::LineError;

/// What a line begins with.
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

/// A query or a command, for the help.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VerbHelp {
    /// Its first word.
    pub word: &'static str,
    /// How it is written.
    pub usage: &'static str,
    /// What it does.
    pub summary: &'static str,
}

const fn entry(
    word: &'static str,
    verb: LineVerb,
    usage: &'static str,
    summary: &'static str,
) -> (LineVerb, VerbHelp) {
    (verb, VerbHelp { word, usage, summary })
}

/// Every query, then every command.
const VERBS: [(LineVerb, VerbHelp); 27] = [
    entry(
        "spend",
        LineVerb::Spend,
        "spend [BRANCH[, BRANCH]…]",
        "what branches have spent, as bounds that are true",
    ),
    entry("running", LineVerb::Running, "running [BRANCH]", "the requests that run, and where"),
    entry("upstreams", LineVerb::Upstreams, "upstreams", "the upstreams and their load"),
    entry("members", LineVerb::Members, "members", "the processes of the fleet"),
    entry(
        "configuration",
        LineVerb::Configuration,
        "configuration [branch NAME | class NAME | service NAME]",
        "the configuration, its versions, and where it is in force",
    ),
    entry("request", LineVerb::Request, "request ID", "what is known of a request"),
    entry("key", LineVerb::Key, "key BRANCH KEY", "what is known of a caller's idempotency key"),
    entry("quarantine", LineVerb::Quarantine, "quarantine", "the requests that are stopped"),
    entry("commands", LineVerb::Commands, "commands", "the newest commands, finished or not"),
    entry("command", LineVerb::Command, "command ID", "one command and its items' outcomes"),
    entry("help", LineVerb::Help, "help [WORD]", "this list, or one line of it"),
    entry(
        "create",
        LineVerb::Create,
        "create branch NAME key-hash HASH [key-hash HASH]… [operator] [weight N] [running N] [rate N] \
         [if version V]",
        "a new branch; top it up next",
    ),
    entry(
        "top-up",
        LineVerb::TopUp,
        "top-up BRANCH TOKENS[, BRANCH TOKENS]…",
        "adds prepaid tokens",
    ),
    entry(
        "set",
        LineVerb::Set,
        "set BRANCH weight N | set [branch|class|service] NAME limit running|rate N|none | \
         set class NAME priority N [if version V]",
        "a weight, a priority or a limit",
    ),
    entry(
        "hold-back",
        LineVerb::HoldBack,
        "hold-back BRANCH CLASS TOKENS [if version V]",
        "keeps tokens of a branch for one class; 0 keeps none",
    ),
    entry(
        "non-idempotent",
        LineVerb::NonIdempotent,
        "non-idempotent SERVICE METHOD|any PATH [for BRANCH] [if version V]",
        "declares calls that may never run twice",
    ),
    entry(
        "idempotent",
        LineVerb::Idempotent,
        "idempotent SERVICE METHOD|any PATH [for BRANCH] [if version V]",
        "takes such a declaration back",
    ),
    entry("add", LineVerb::Add, "add key BRANCH HASH [if version V]", "one more key of a branch"),
    entry(
        "revoke",
        LineVerb::Revoke,
        "revoke key BRANCH HASH [if version V]",
        "takes a key from a branch; the hash's first 8 digits may do",
    ),
    entry(
        "drain",
        LineVerb::Drain,
        "drain UPSTREAM|INSTANCE[, …]…",
        "gives an upstream no new work; what runs ends",
    ),
    entry("undrain", LineVerb::Undrain, "undrain UPSTREAM|INSTANCE[, …]…", "gives it work again"),
    entry("stop", LineVerb::Stop, "stop INSTANCE[, INSTANCE]…", "stops processes gracefully"),
    entry(
        "load",
        LineVerb::Load,
        "load MODEL [adapter NAME] on UPSTREAM[, UPSTREAM]…",
        "loads a model, or an adapter of one, on engines",
    ),
    entry(
        "unload",
        LineVerb::Unload,
        "unload MODEL on UPSTREAM[, UPSTREAM]…",
        "takes a model off engines",
    ),
    entry(
        "release",
        LineVerb::Release,
        "release BRANCH GRANT[, BRANCH GRANT]…",
        "frees tokens in doubt: you vouch that nothing unaccounted ran",
    ),
    entry("lift", LineVerb::Lift, "lift CONTENT[, CONTENT]…", "lets a stopped request run again"),
    entry(
        "cancel",
        LineVerb::Cancel,
        "cancel COMMAND",
        "stops a command's items that haven't begun",
    ),
];

/// Every query and command, or those with a word.
pub fn verb_help(word: Option<&str>) -> Vec<VerbHelp> {
    let all = VERBS.iter().map(|(_, help)| *help);
    all.filter(|help| word.is_none_or(|word| help.word == word)).collect()
}

/// Reads the first word; from then on faults show how its line is written.
pub(super) fn read_verb(reader: &mut LineReader) -> Result<LineVerb, LineError> {
    let place = reader.one_of("a query or a command", &places())?;
    let (verb, help) = VERBS[place];
    reader.set_usage(help.usage);
    Ok(verb)
}

/// Reads a word that must be the first of some line.
pub(super) fn read_help_word(reader: &mut LineReader) -> Result<String, LineError> {
    let place = reader.one_of("a query or a command", &places())?;
    Ok(VERBS[place].1.word.to_owned())
}

fn places() -> Vec<(&'static str, usize)> {
    VERBS.iter().enumerate().map(|(place, (_, help))| (help.word, place)).collect()
}
