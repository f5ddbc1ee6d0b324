//! A small fleet of real processes, operated through the `sagespool` command.

// Each test file uses a part of this module.
#![allow(dead_code, unused_imports)]

mod helpers;

use std::path::Path;
use std::process::{Command, Output};
use std::time::Duration;

use sagespool_ledger::{BookRecord, BranchAccount, book_key, book_of};
use sagespool_operations::{
    AnswerBody, CommandAnswer, CommandRecord, ErrorReply, ItemOutcome, OperatorAnswer,
    OperatorError, OutcomeState, SpendAnswer, command_key,
};
use sagespool_testkit::fleet::{FleetOptions, RunningFleet, find_binaries, read_deployment};
use sagespool_types::{BranchName, ClockTime, CommandId};
use serde::de::DeserializeOwned;

pub use helpers::*;

/// The operator's API key in `examples/local`.
pub const OPERATOR_TOKEN: &str = "local-desk-development-key";
/// API key of a branch without operator rights in `examples/local`.
pub const CALLER_TOKEN: &str = "local-first-development-key";

/// Timeout of [`OperatorHarness::wait_until`].
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A fleet and the means to send it operators' lines.
pub struct OperatorHarness {
    pub fleet: RunningFleet,
}

/// Exit code and output of `sagespool`.
#[derive(Debug)]
pub struct LineOutput {
    pub code: Option<i32>,
    pub stdout: String,
}

impl LineOutput {
    fn of(output: Output) -> Self {
        Self { code: output.status.code(), stdout: String::from_utf8(output.stdout).unwrap() }
    }

    pub fn answer(&self) -> OperatorAnswer {
        serde_json::from_str(&self.stdout).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }

    pub fn command(&self) -> CommandAnswer {
        match self.answer().answer {
            AnswerBody::Command(answer) => answer,
            other => panic!("not an answer about a command: {other:?}"),
        }
    }

    pub fn spend(&self) -> SpendAnswer {
        match self.answer().answer {
            AnswerBody::Spend(answer) => answer,
            other => panic!("not an answer about spend: {other:?}"),
        }
    }

    pub fn fault(&self) -> OperatorError {
        let reply: ErrorReply =
            serde_json::from_str(&self.stdout).unwrap_or_else(|error| panic!("{error}: {self:?}"));
        reply.error
    }

    /// The outcomes of a completed command, by item.
    pub fn outcomes(&self) -> Vec<ItemOutcome> {
        let items = self.command().items.into_iter();
        items
            .map(|item| item.outcome.unwrap_or_else(|| panic!("not completed: {self:?}")))
            .collect()
    }

    pub fn states(&self) -> Vec<OutcomeState> {
        self.outcomes().into_iter().map(|outcome| outcome.state).collect()
    }
}

impl OperatorHarness {
    /// Starts two entries and two engines, which ignore fencing numbers, in two data centres.
    pub async fn start() -> Self {
        Self::start_linked(false).await
    }

    /// As [`Self::start`], with the fault proxy between all processes.
    pub async fn start_proxied() -> Self {
        Self::start_linked(true).await
    }

    async fn start_linked(proxied: bool) -> Self {
        let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/local");
        let (mut deployment, fleet, branches) = read_deployment(&directory).unwrap();
        for centre in &mut deployment.centres {
            centre.entries = 1;
            centre.upstreams = [("engines".parse().unwrap(), 1)].into();
        }
        let engines = deployment.services.get_mut(&"engines".parse().unwrap()).unwrap();
        engines.honours_fence = false;
        let options = FleetOptions::builder()
            .binaries(find_binaries().unwrap())
            .deployment(deployment)
            .fleet(fleet)
            .branches(branches)
            .proxied(proxied)
            .settle_interval(Duration::from_millis(300))
            .build();
        let harness = Self { fleet: RunningFleet::start(options).await.unwrap() };
        harness
            .wait_until("every entry lists every member", || {
                (0..2).all(|entry| {
                    let members = harness.send_line(entry, "members");
                    let AnswerBody::Members(found) = members.answer().answer else { panic!() };
                    found.rows.len() == 4 && members.answer().basis.silent.is_empty()
                })
            })
            .await;
        harness
    }

    fn program(&self, entries: &[usize], token: &str, arguments: &[&str]) -> Command {
        let mut command = Command::new(&self.fleet.options.binaries.command);
        for entry in entries {
            command.arg("--entry").arg(self.fleet.members[*entry].http.to_string());
        }
        command.args(arguments).env("SAGESPOOL_TOKEN", token);
        command
    }

    /// Runs `sagespool` with the operator's key and JSON output.
    pub fn run(&self, entries: &[usize], arguments: &[&str]) -> LineOutput {
        self.run_as(OPERATOR_TOKEN, entries, arguments)
    }

    pub fn run_as(&self, token: &str, entries: &[usize], arguments: &[&str]) -> LineOutput {
        let mut all = vec!["--json"];
        all.extend_from_slice(arguments);
        LineOutput::of(self.program(entries, token, &all).output().unwrap())
    }

    /// Sends one line to one entry.
    pub fn send_line(&self, entry: usize, line: &str) -> LineOutput {
        self.run(&[entry], &[line])
    }

    /// Sends a command with an id to one entry.
    pub fn send_command(&self, entry: usize, command: CommandId, line: &str) -> LineOutput {
        self.run(&[entry], &["--command", &command.to_string(), line])
    }

    /// Sends a command with an id in a background task.
    pub fn start_command(
        &self,
        entry: usize,
        command: CommandId,
        line: &str,
    ) -> smol::Task<LineOutput> {
        let command = command.to_string();
        let mut program =
            self.program(&[entry], OPERATOR_TOKEN, &["--json", "--command", &command, line]);
        smol::unblock(move || LineOutput::of(program.output().unwrap()))
    }

    /// An object of the store; `None` if it doesn't exist.
    pub fn stored_object<T: DeserializeOwned>(&self, key: &str) -> Option<T> {
        let held = self.fleet.store.object(key)?;
        Some(held.parse().unwrap())
    }

    pub fn command_record(&self, command: CommandId) -> Option<CommandRecord> {
        self.stored_object(&command_key(command))
    }

    pub fn account(&self, branch: &str) -> BranchAccount {
        let branch: BranchName = branch.parse().unwrap();
        let book: BookRecord = self.stored_object(&book_key(book_of(&branch))).unwrap();
        book.branches[&branch].clone()
    }

    /// Waits until a condition holds; panics after [`WAIT_TIMEOUT`].
    pub async fn wait_until(&self, what: &str, mut holds: impl FnMut() -> bool) {
        let deadline = ClockTime::now().after(WAIT_TIMEOUT);
        while !holds() {
            assert!(ClockTime::now() < deadline, "timed out waiting until {what}");
            smol::Timer::after(POLL_INTERVAL).await;
        }
    }

    pub fn pause(&self, member: usize) {
        self.fleet.members[member].process.as_ref().unwrap().pause().unwrap();
    }

    pub fn resume(&self, member: usize) {
        self.fleet.members[member].process.as_ref().unwrap().resume().unwrap();
    }

    pub fn kill(&mut self, member: usize) {
        self.fleet.members[member].process.as_mut().unwrap().kill().unwrap();
    }

    pub fn member_index(&self, instance: &str) -> usize {
        self.fleet.member_index(instance).unwrap()
    }
}
