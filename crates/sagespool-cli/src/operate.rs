//! `sagespool LINE`: asking and commanding a fleet.

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
use crate::line_client::{LineClient, LineEnd};
use crate::prompt;
use crate::{LOCAL_COMMANDS, USAGE_FAULT};

/// Exit code if a command isn't as wished, or was refused.
const NOT_GOOD: u8 = 1;
/// Exit code if no entry answered: what became of a command isn't known.
const NO_ANSWER: u8 = 3;

const DEFAULT_WAIT_SECONDS: u64 = 60;
/// An entry is asked anew after so long, while a command goes on.
const ROUND_WAIT: Duration = Duration::from_secs(10);

const USAGE: CommandUsage = CommandUsage {
    synopsis: "sagespool [OPTIONS] [LINE]\n       sagespool check --help\n       sagespool certificates --help",
    help: "`sagespool --help` lists the options",
};

/// Asks and commands a sagespool fleet: a line of the operators' language goes to any entry. Without a
/// line there is a prompt (`exit` ends it); lines may also come from a file on the standard input.
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
///   0  answered; every item of a command is as wished
///   1  refused, or an item of the command is not (known to be) as wished
///   2  the line or the options are wrong; nothing was done
///   3  no entry answered; of a command it isn't known whether it was taken
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
        help = "an entry; several are tried in turn (default: SAGESPOOL_ENTRY, parted by commas)"
    )]
    entry: Vec<SocketAddr>,
    #[options(meta = "KEY", help = "the operator's key (default: SAGESPOOL_TOKEN)")]
    token: Option<String>,
    #[options(no_short, help = "print answers as JSON, for programs")]
    json: bool,
    #[options(
        no_short,
        meta = "ID",
        help = "the command's id, to give a command again; else a new one"
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

const ENTRY_VARIABLE: &str = "SAGESPOOL_ENTRY";
const TOKEN_VARIABLE: &str = "SAGESPOOL_TOKEN";

/// Carries out the line, or those that are typed; the exit code says how it went.
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

/// Carries out one line; 0 if all is as wished.
fn run_line(options: &OperateOptions, line: &str) -> Result<u8, Report<CommandError>> {
    // A line that is wrong is told so here: nothing has to be reached for that.
    let parsed = match parse_line(line) {
        Ok(parsed) => parsed,
        Err(fault) => {
            show_fault(options, &suggest_local(fault).into());
            return Ok(USAGE_FAULT);
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
    let end = smol::block_on(send(&client, line, command, wait));
    Ok(show_end(options, command, end))
}

/// A first word that begins no line may be meant for a command that works on files.
fn suggest_local(mut fault: LineError) -> LineError {
    let first = fault.line.split_whitespace().next().unwrap_or_default();
    if fault.at.start == 0 && fault.nearest.is_none() {
        fault.nearest = nearest_of(first, &LOCAL_COMMANDS);
    }
    fault
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
    let text = std::env::var(ENTRY_VARIABLE).unwrap_or_default();
    let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
    let entries: Result<Vec<SocketAddr>, _> = parts.map(parse_entry).collect();
    let entries = entries.map_err(|fault| {
        let message = format!("{ENTRY_VARIABLE} names no entry: {fault}");
        Report::new(CommandError::Options { message, nearest: None, help: USAGE.help })
    })?;
    if entries.is_empty() {
        return Err(Report::new(CommandError::Usage {
            message: "no entry is named",
            help: "give `--entry IP:PORT`, or set SAGESPOOL_ENTRY",
        }));
    }
    Ok(entries)
}

fn token(options: &OperateOptions) -> Result<String, Report<CommandError>> {
    let given = options.token.clone().or_else(|| std::env::var(TOKEN_VARIABLE).ok());
    given.filter(|token| !token.is_empty()).ok_or_else(|| {
        Report::new(CommandError::Usage {
            message: "the operator's key is missing",
            help: "set SAGESPOOL_TOKEN, or give `--token KEY`",
        })
    })
}

/// Sends the line until it is answered; a command until it has ended or the time is up. Giving it again
/// is safe: it has the same id.
async fn send(
    client: &LineClient,
    line: &str,
    command: Option<CommandId>,
    wait: Duration,
) -> LineEnd {
    let deadline = ClockTime::now().after(wait);
    loop {
        let left = deadline.since(ClockTime::now());
        let request = LineRequest {
            line: line.to_owned(),
            command,
            json: Some(true),
            wait_ms: command.map(|_| left.min(ROUND_WAIT).as_millis() as u64),
        };
        let end = client.send(&request).await;
        let goes_on = matches!(&end, LineEnd::Answer(answer) if is_running(answer));
        if command.is_none() || !goes_on || ClockTime::now() >= deadline {
            return end;
        }
    }
}

fn is_running(answer: &OperatorAnswer) -> bool {
    matches!(&answer.answer, AnswerBody::Command(command) if command.state == CommandState::Running)
}

fn show_end(options: &OperateOptions, command: Option<CommandId>, end: LineEnd) -> u8 {
    match end {
        LineEnd::Answer(answer) => {
            show_answer(options, &answer);
            let is_success = match &answer.answer {
                AnswerBody::Command(answer) if command.is_some() => answer.is_success(),
                _ => true,
            };
            if is_success { 0 } else { NOT_GOOD }
        }
        LineEnd::Refused(fault) => {
            show_fault(options, &fault);
            again_hint(command, fault.may_be_under_way);
            if fault.line.is_some() { USAGE_FAULT } else { NOT_GOOD }
        }
        LineEnd::NoAnswer { tried, may_have_come } => {
            let message = format!("no entry answered\n  {}", tried.join("\n  "));
            let help = "check the addresses, or try another entry";
            show_fault(options, &OperatorError::new("no-answer", message, help));
            again_hint(command, may_have_come);
            NO_ANSWER
        }
    }
}

fn again_hint(command: Option<CommandId>, may_be_under_way: bool) {
    if let Some(command) = command.filter(|_| may_be_under_way) {
        eprintln!("the command may be under way: give it again with `--command {command}`");
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

fn show_fault(options: &OperateOptions, fault: &OperatorError) {
    if options.json {
        let value = serde_json::json!({"error": fault});
        println!("{value:#}");
    } else if fault.line.is_some() {
        eprintln!("error: {fault}");
    } else {
        eprintln!("error[{}]: {fault}", fault.code);
    }
}

/// Help needs no fleet, so its answer rests on nothing.
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
        println!(
            "\n`sagespool --help` lists the options; docs/OPERATORS.md says what each line does"
        );
    }
}
