//! `sagespool LINE`: asking and commanding a fleet.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use error_stack::Report;
use gumdrop::Options;
use sagespool_operations::{
    AnswerBody, CommandState, HelpAnswer, LineRequest, OperatorAnswer, OperatorFault, OperatorLine,
    OperatorQuery, new_command_id, parse_line, render_answer, verb_help,
};
use sagespool_types::{ClockTime, CommandId, WallTime};

use crate::USAGE_FAULT;
use crate::error::CommandError;
use crate::line_client::{LineClient, LineEnd};
use crate::prompt;

/// Exit code if a command isn't as wished, or was refused.
const NOT_GOOD: u8 = 1;
/// Exit code if no entry answered: what became of a command isn't known.
const NO_ANSWER: u8 = 3;

const DEFAULT_WAIT_SECONDS: u64 = 60;
/// An entry is asked anew after so long, while a command goes on.
const ROUND_WAIT: Duration = Duration::from_secs(10);

/// Asks and commands a sagespool fleet.
///
/// `sagespool --entry 127.0.0.1:8101 'spend ruwi-bids'` sends one line; without a line there is a
/// prompt. `sagespool help` lists the lines; `sagespool check` and `sagespool certificates` work on
/// files, see their `--help`.
#[derive(Debug, Options)]
pub struct OperateOptions {
    #[options(help = "print this help")]
    help: bool,
    /// Print the version and end.
    #[options(no_short, help = "print the version")]
    pub version: bool,
    #[options(free, help = "the line: `help` lists them")]
    line: Vec<String>,
    #[options(
        meta = "IP:PORT",
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
    #[options(no_short, meta = "SECONDS", help = "how long to wait for a command to end")]
    wait: Option<u64>,
}

const ENTRY_VARIABLE: &str = "SAGESPOOL_ENTRY";
const TOKEN_VARIABLE: &str = "SAGESPOOL_TOKEN";

/// Carries out the line, or those that are typed; the exit code says how it went.
pub fn run(options: &OperateOptions) -> Result<ExitCode, Report<CommandError>> {
    if options.line.is_empty() {
        return prompt::run(|line| run_line(options, line));
    }
    run_line(options, &options.line.join(" ")).map(ExitCode::from)
}

/// Carries out one line; 0 if all is as wished.
fn run_line(options: &OperateOptions, line: &str) -> Result<u8, Report<CommandError>> {
    // A line that is wrong is told so here: nothing has to be reached for that.
    let parsed = match parse_line(line) {
        Ok(parsed) => parsed,
        Err(fault) => {
            show_fault(options, &fault.into());
            return Ok(USAGE_FAULT);
        }
    };
    if let OperatorLine::Query(OperatorQuery::Help { word }) = &parsed {
        show_help(word.as_deref());
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

fn entries(options: &OperateOptions) -> Result<Vec<SocketAddr>, Report<CommandError>> {
    if !options.entry.is_empty() {
        return Ok(options.entry.clone());
    }
    let missing = || {
        Report::new(CommandError::Usage {
            message: "no entry is named, or one that isn't IP:PORT",
            help: "give `--entry IP:PORT`, or set SAGESPOOL_ENTRY",
        })
    };
    let text = std::env::var(ENTRY_VARIABLE).map_err(|_| missing())?;
    let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
    let entries: Result<Vec<SocketAddr>, _> = parts.map(str::parse).collect();
    entries.ok().filter(|entries| !entries.is_empty()).ok_or_else(missing)
}

fn token(options: &OperateOptions) -> Result<String, Report<CommandError>> {
    let given = options.token.clone().or_else(|| std::env::var(TOKEN_VARIABLE).ok());
    given.ok_or_else(|| {
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
            let is_good = match &answer.answer {
                AnswerBody::Command(answer) if command.is_some() => answer.is_good(),
                _ => true,
            };
            if is_good { 0 } else { NOT_GOOD }
        }
        LineEnd::Refused(fault) => {
            show_fault(options, &fault);
            again_hint(command, fault.may_be_under_way);
            if fault.line.is_some() { USAGE_FAULT } else { NOT_GOOD }
        }
        LineEnd::NoAnswer { tried, may_have_come } => {
            let message = format!("no entry answered\n  {}", tried.join("\n  "));
            let help = "check the addresses, or try another entry";
            show_fault(options, &OperatorFault::new("no-answer", message, help));
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

fn show_fault(options: &OperateOptions, fault: &OperatorFault) {
    if options.json {
        let value = serde_json::json!({"error": fault});
        println!("{value:#}");
    } else {
        eprintln!("error: {fault}");
    }
}

fn show_help(word: Option<&str>) {
    for line in HelpAnswer::about(word).lines {
        println!("{}\n    {}", line.usage, line.summary);
    }
    if word.is_none() {
        println!("\n{} kinds of lines; docs/OPERATORS.md has examples", verb_help(None).len());
    }
}
