//! `sagespool LINE`: sends queries and commands to a fleet.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use error_stack::Report;
use gumdrop::Options;
use sagespool_operations::{
    AnswerBody, CommandState, HelpAnswer, LineError, LineRequest, OperatorAnswer, OperatorError,
    OperatorLine, OperatorQuery, nearest_of, new_command_id, parse_line, render_answer,
};
use sagespool_types::{ClockTime, CommandId, ParseError, WallTime};

use crate::arguments::{CommandUsage, read_arguments};
use crate::error::CommandError;
use crate::line_client::{LineClient, LineOutcome};
use crate::prompt;
use crate::{EXIT_USAGE, LOCAL_COMMANDS};

/// Exit code if a command was refused, or an item of it failed.
const EXIT_FAILURE: u8 = 1;
/// Exit code if no entry answered; whether a command was accepted is unknown.
const EXIT_NO_ANSWER: u8 = 3;

const DEFAULT_WAIT_SECONDS: u64 = 60;
/// The longest wait of one request; while the command still runs, the request is repeated.
const MAX_REQUEST_WAIT: Duration = Duration::from_secs(10);

const USAGE: CommandUsage = CommandUsage {
    synopsis: "sagespool [OPTIONS] [LINE]\n       sagespool check --help\n       sagespool certificates --help",
    help: "`sagespool --help` lists the options",
};

/// Sends queries and commands to a sagespool fleet: a line of the operator language goes to any entry.
/// Without a line it starts a prompt (`exit` ends it), or runs the lines of a file on standard input.
///
/// Examples:
/// $ sagespool help
/// $ sagespool --entry 127.0.0.1:8101 --token KEY members
/// $ sagespool 'spend ruwi-bids, sohar-hub'
/// $ sagespool 'top-up ruwi-bids 500_000'
/// $ sagespool --json upstreams
/// $ sagespool --command 01a23846c0f2b8aaa80b29b62b43082a 'top-up ruwi-bids 500_000'
///
/// Exit codes:
///   0  answered; every item of a command succeeded
///   1  refused, or an item of the command failed or has an unknown result
///   2  the line or the options are wrong; nothing was done
///   3  no entry answered; whether a command was accepted is unknown
#[derive(Debug, Options)]
struct OperateOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print the version")]
    version: bool,
    #[options(free, help = "the line: `help` lists them")]
    line: Vec<String>,
    #[options(
        meta = "IP:PORT",
        parse(try_from_str = "parse_entry"),
        help = "an entry; several are tried in turn (default: SAGESPOOL_ENTRY, separated by commas)"
    )]
    entry: Vec<SocketAddr>,
    #[options(meta = "KEY", help = "the operator's key (default: SAGESPOOL_TOKEN)")]
    token: Option<String>,
    #[options(no_short, help = "print answers as JSON, for programs")]
    json: bool,
    #[options(
        no_short,
        meta = "ID",
        help = "the id of a command, to repeat it (default: a new id)"
    )]
    command: Option<CommandId>,
    #[options(
        no_short,
        meta = "SECONDS",
        parse(try_from_str = "parse_wait"),
        help = "how long to wait for a command to end (default: 60)"
    )]
    wait: Option<u64>,
}

const ENTRY_ENV: &str = "SAGESPOOL_ENTRY";
const TOKEN_ENV: &str = "SAGESPOOL_TOKEN";

/// Runs the line of the arguments, or those from standard input; returns the exit code.
pub fn run(arguments: &[String]) -> Result<ExitCode, Report<CommandError>> {
    let Some(options) = read_arguments::<OperateOptions>(&USAGE, arguments)? else {
        return Ok(ExitCode::SUCCESS);
    };
    if options.version {
        println!("sagespool {}", env!("CARGO_PKG_VERSION"));
        return Ok(ExitCode::SUCCESS);
    }
    if options.line.is_empty() {
        return prompt::run(|line| run_line(&options, line));
    }
    run_line(&options, &options.line.join(" ")).map(ExitCode::from)
}

/// Runs one line; 0 on success.
fn run_line(options: &OperateOptions, line: &str) -> Result<u8, Report<CommandError>> {
    // Parse errors are reported locally, without a connection to an entry.
    let parsed = match parse_line(line) {
        Ok(parsed) => parsed,
        Err(error) => {
            show_operator_error(options, &suggest_local(error).into());
            return Ok(EXIT_USAGE);
        }
    };
    if let OperatorLine::Query(OperatorQuery::Help { word }) = &parsed {
        show_help(options, word.as_deref());
        return Ok(0);
    }
    let client = LineClient::new(entries(options)?, token(options)?);
    let is_command = matches!(parsed, OperatorLine::Command(_));
    let command =
        is_command.then(|| options.command.unwrap_or_else(|| new_command_id(WallTime::now())));
    let wait = Duration::from_secs(options.wait.unwrap_or(DEFAULT_WAIT_SECONDS));
    let outcome = smol::block_on(send(&client, line, command, wait));
    Ok(show_outcome(options, command, outcome))
}

/// Suggests a local command for an unknown first word.
fn suggest_local(mut error: LineError) -> LineError {
    let first = error.line.split_whitespace().next().unwrap_or_default();
    if error.at.start == 0 && error.nearest.is_none() {
        error.nearest = nearest_of(first, &LOCAL_COMMANDS);
    }
    error
}

fn parse_entry(text: &str) -> Result<SocketAddr, ParseError> {
    text.parse().map_err(|_| ParseError::new("an entry", text, "IP:PORT, as 127.0.0.1:8101"))
}

fn parse_wait(text: &str) -> Result<u64, ParseError> {
    text.parse().map_err(|_| ParseError::new("a number of seconds", text, "a whole number"))
}

fn entries(options: &OperateOptions) -> Result<Vec<SocketAddr>, Report<CommandError>> {
    if !options.entry.is_empty() {
        return Ok(options.entry.clone());
    }
    let text = std::env::var(ENTRY_ENV).unwrap_or_default();
    let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
    let entries: Result<Vec<SocketAddr>, _> = parts.map(parse_entry).collect();
    let entries = entries.map_err(|error| {
        let message = format!("{ENTRY_ENV} names no entry: {error}");
        Report::new(CommandError::Options { message, nearest: None, help: USAGE.help })
    })?;
    if entries.is_empty() {
        return Err(Report::new(CommandError::Usage {
            message: "no entry is given",
            help: "give `--entry IP:PORT`, or set SAGESPOOL_ENTRY",
        }));
    }
    Ok(entries)
}

fn token(options: &OperateOptions) -> Result<String, Report<CommandError>> {
    let given = options.token.clone().or_else(|| std::env::var(TOKEN_ENV).ok());
    given.filter(|token| !token.is_empty()).ok_or_else(|| {
        Report::new(CommandError::Usage {
            message: "the operator's key is missing",
            help: "set SAGESPOOL_TOKEN, or give `--token KEY`",
        })
    })
}

/// Sends the line until it is answered; a command until it has ended or the wait is over. Repeating a
/// command is safe because its id stays the same.
async fn send(
    client: &LineClient,
    line: &str,
    command: Option<CommandId>,
    wait: Duration,
) -> LineOutcome {
    let deadline = ClockTime::now().after(wait);
    loop {
        let remaining = deadline.since(ClockTime::now());
        let request = LineRequest {
            line: line.to_owned(),
            command,
            json: Some(true),
            wait_ms: command.map(|_| remaining.min(MAX_REQUEST_WAIT).as_millis() as u64),
        };
        let outcome = client.send(&request).await;
        let is_running_command =
            matches!(&outcome, LineOutcome::Answer(answer) if is_running(answer));
        if command.is_none() || !is_running_command || ClockTime::now() >= deadline {
            return outcome;
        }
    }
}

fn is_running(answer: &OperatorAnswer) -> bool {
    matches!(&answer.answer, AnswerBody::Command(command) if command.state == CommandState::Running)
}

fn show_outcome(options: &OperateOptions, command: Option<CommandId>, outcome: LineOutcome) -> u8 {
    match outcome {
        LineOutcome::Answer(answer) => {
            show_answer(options, &answer);
            let is_success = match &answer.answer {
                AnswerBody::Command(answer) if command.is_some() => answer.is_success(),
                _ => true,
            };
            if is_success { 0 } else { EXIT_FAILURE }
        }
        LineOutcome::Refused(error) => {
            show_operator_error(options, &error);
            show_retry_hint(command, error.may_be_under_way);
            if error.line.is_some() { EXIT_USAGE } else { EXIT_FAILURE }
        }
        LineOutcome::NoAnswer { tried, may_have_arrived } => {
            let message = format!("no entry answered\n  {}", tried.join("\n  "));
            let help = "check the addresses, or try another entry";
            show_operator_error(options, &OperatorError::new("no-answer", message, help));
            show_retry_hint(command, may_have_arrived);
            EXIT_NO_ANSWER
        }
    }
}

fn show_retry_hint(command: Option<CommandId>, may_be_under_way: bool) {
    if let Some(command) = command.filter(|_| may_be_under_way) {
        eprintln!("the command may be running: repeat it with `--command {command}`");
    }
}

fn show_answer(options: &OperateOptions, answer: &OperatorAnswer) {
    if options.json {
        let text = serde_json::to_string_pretty(answer).expect("an answer is plain data");
        println!("{text}");
    } else {
        println!("{}", render_answer(answer));
    }
}

fn show_operator_error(options: &OperateOptions, error: &OperatorError) {
    if options.json {
        let value = serde_json::json!({"error": error});
        println!("{value:#}");
    } else if error.line.is_some() {
        eprintln!("error: {error}");
    } else {
        eprintln!("error[{}]: {error}", error.code);
    }
}

/// Help needs no fleet, so its JSON has no `basis` member.
fn show_help(options: &OperateOptions, word: Option<&str>) {
    let answer = HelpAnswer::about(word);
    if options.json {
        let value = serde_json::json!({"answer": AnswerBody::Help(answer)});
        println!("{value:#}");
        return;
    }
    for line in answer.lines {
        println!("{}\n    {}", line.usage, line.summary);
    }
    if word.is_none() {
        println!("\n`sagespool --help` lists the options; docs/OPERATORS.md describes each line");
    }
}
