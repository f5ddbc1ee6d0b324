//! Submission of commands: record first, start once, and find repeated ones.

use std::sync::Arc;
use std::time::Duration;

use sagespool_ledger::{BookRecord, book_key, book_of};
use sagespool_operations::{
    AnswerBody, CommandAnswer, CommandItem, CommandRecord, CommandState, LineRequest,
    OperatorCommand, RequiredVersions, command_id_time, command_key, new_command_id,
};
use sagespool_platform::{StoreError, StoredObject};
use sagespool_settings::FLEET_OBJECT_KEY;
use sagespool_types::{BranchName, ClockTime, CommandId, ConfigVersion, StoreRevision, WallTime};
use trillium::Status;

use super::active::ActiveCommand;
use super::basis::BasisBuilder;
use super::{AnswerWithBasis, OperatorRefusal, configuration, record, run};
use crate::state::EntryState;

const DEFAULT_WAIT: Duration = Duration::from_secs(10);
const MAX_WAIT: Duration = Duration::from_secs(60);
/// How long another entry's command record may stay unchanged before this entry takes the command
/// over.
const EXECUTOR_TIMEOUT: Duration = Duration::from_secs(3);
const POLL_INTERVAL: Duration = Duration::from_millis(150);
/// How far in the future a command id's time may lie; an id beyond would outlive all others in
/// pruning.
const MAX_ID_AHEAD: Duration = Duration::from_secs(24 * 60 * 60);
/// Attempts to write a record before the store is taken for unreachable.
const MAX_RECORD_TRIES: u32 = 5;

/// Submits a command, or returns the state of the same command submitted before.
pub(super) async fn submit(
    state: &Arc<EntryState>,
    operator: &BranchName,
    request: &LineRequest,
    parsed: OperatorCommand,
) -> Result<AnswerWithBasis, OperatorRefusal> {
    let mut basis = BasisBuilder::new();
    let command = request.command.unwrap_or_else(|| new_command_id(WallTime::now()));
    let wait = request.wait_ms.map_or(DEFAULT_WAIT, Duration::from_millis).min(MAX_WAIT);
    let deadline = ClockTime::now().after(wait);
    let submission = CommandSubmission { state, operator, line: &request.line, command, deadline };
    let (record, repeated) = submission.find_or_create(parsed).await?;
    basis.note_store_read(state.objects.seen_revision());
    if record.state() == CommandState::Running {
        basis.note(
            "the command is still running; send it again with the same id, or query `command ID`",
        );
    }
    let mut answer = CommandAnswer::of(&record, repeated);
    if let Some(wanted) = changed_versions(&record) {
        answer.in_force = Some(configuration::wait_in_force(state, wanted, &mut basis).await);
    }
    Ok((AnswerBody::Command(answer), basis))
}

/// The configuration versions that a command's edits created, by the role that has to apply them.
fn changed_versions(record: &CommandRecord) -> Option<RequiredVersions> {
    let mut wanted = RequiredVersions::default();
    for item in &record.items {
        let (CommandItem::Edit(edit), Some(outcome)) = (&item.item, &item.outcome) else {
            continue;
        };
        if !outcome.state.is_success() {
            continue;
        }
        wanted.entries = wanted.entries.max(outcome.version);
        if edit.object_key() == FLEET_OBJECT_KEY {
            wanted.sidecars = wanted.sidecars.max(outcome.version);
        }
    }
    let any: Option<ConfigVersion> = wanted.entries.or(wanted.sidecars);
    any.map(|_| wanted)
}

/// One submission of a command.
struct CommandSubmission<'a> {
    state: &'a Arc<EntryState>,
    operator: &'a BranchName,
    line: &'a str,
    command: CommandId,
    deadline: ClockTime,
}

/// Result of checking a command's record.
enum SubmissionState {
    /// It runs on this entry.
    Here(Arc<ActiveCommand>),
    /// It has ended.
    Ended(CommandRecord),
    /// Another entry executes it.
    Elsewhere(StoredObject<CommandRecord>),
    /// The record has changed meanwhile: check again.
    Retry,
}

impl CommandSubmission<'_> {
    /// The command's record once it has ended or the time is up, and whether it was submitted
    /// before.
    async fn find_or_create(
        &self,
        parsed: OperatorCommand,
    ) -> Result<(CommandRecord, bool), OperatorRefusal> {
        if let Some(active) = self.state.commands.find(self.command) {
            return self.follow(&active).await.map(|record| (record, true));
        }
        let found = self.read().await?;
        let Some(stored) = found else {
            return self.create(parsed).await;
        };
        self.check_same(&stored.value)?;
        self.wait_or_take_over(stored).await.map(|record| (record, true))
    }

    async fn read(&self) -> Result<Option<StoredObject<CommandRecord>>, OperatorRefusal> {
        let read = record::read(self.state, self.command).await;
        read.map_err(|error| record::unreachable(&error))
    }

    /// Guards against two commands with the same id: the second would receive the first one's
    /// outcome.
    fn check_same(&self, record: &CommandRecord) -> Result<(), OperatorRefusal> {
        if record.is_same(self.line, self.operator) {
            return Ok(());
        }
        let message = format!("the id {} belongs to another command", self.command);
        let help = "nothing was done; send the line with a new id";
        Err(OperatorRefusal::new(Status::Conflict, "id-in-use", message, help))
    }

    /// Waits for a command that runs on this entry.
    async fn follow(&self, active: &ActiveCommand) -> Result<CommandRecord, OperatorRefusal> {
        self.check_same(&active.record())?;
        active.ended(self.deadline).await;
        Ok(active.record())
    }

    /// Records and starts a new command.
    async fn create(
        &self,
        parsed: OperatorCommand,
    ) -> Result<(CommandRecord, bool), OperatorRefusal> {
        self.check_time()?;
        if self.state.is_leaving() {
            let message = "this entry is leaving and starts no commands";
            let help = "nothing was done; send it to another entry";
            return Err(OperatorRefusal::new(Status::ServiceUnavailable, "leaving", message, help));
        }
        let own = self.state.incarnation;
        let now = WallTime::now();
        let mut record =
            CommandRecord::new(self.command, self.line, self.operator, parsed, own, now);
        mark_accounts(self.state, &mut record).await;
        for _ in 0..MAX_RECORD_TRIES {
            match self.put_new(&record).await? {
                SubmissionState::Here(active) => {
                    return self.follow(&active).await.map(|record| (record, false));
                }
                SubmissionState::Ended(record) => return Ok((record, true)),
                SubmissionState::Elsewhere(stored) => {
                    self.check_same(&stored.value)?;
                    return self.wait_or_take_over(stored).await.map(|record| (record, true));
                }
                SubmissionState::Retry => smol::Timer::after(POLL_INTERVAL).await,
            };
        }
        Err(self.uncertain())
    }

    fn check_time(&self) -> Result<(), OperatorRefusal> {
        let latest = WallTime::now().0.saturating_add(MAX_ID_AHEAD.as_millis() as u64);
        if command_id_time(self.command).0 <= latest {
            return Ok(());
        }
        let message = format!("the id {} begins with a time too far in the future", self.command);
        let help = "nothing was done; omit the id, or let `sagespool` generate one";
        Err(OperatorRefusal::new(Status::BadRequest, "id-from-the-future", message, help))
    }

    /// Tries to write a new record. If one is found instead, it may be this very record, from an
    /// earlier try whose reply was lost.
    async fn put_new(&self, record: &CommandRecord) -> Result<SubmissionState, OperatorRefusal> {
        let key = command_key(self.command);
        match self.state.objects.put(&key, StoreRevision::ZERO, record).await {
            Ok(version) => Ok(self.begin(record.clone(), version)),
            Err(StoreError::Conflict { .. }) => {
                let Some(stored) = self.read().await.map_err(mark_possibly_recorded)? else {
                    return Ok(SubmissionState::Retry);
                };
                if stored.value == *record {
                    return Ok(self.begin(stored.value, stored.version));
                }
                Ok(SubmissionState::Elsewhere(stored))
            }
            Err(StoreError::Uncertain) => Ok(SubmissionState::Retry),
            Err(error) => Err(record::unreachable(&error)),
        }
    }

    fn begin(&self, record: CommandRecord, version: StoreRevision) -> SubmissionState {
        match self.state.commands.begin(&record) {
            Some(active) => {
                run::start(Arc::clone(self.state), Arc::clone(&active), record, version);
                SubmissionState::Here(active)
            }
            None => match self.state.commands.find(self.command) {
                Some(active) => SubmissionState::Here(active),
                None => SubmissionState::Retry,
            },
        }
    }

    /// Waits for the executor of a recorded command, and takes the command over if it seems to have
    /// no executor.
    ///
    /// A takeover is safe at any time, since the turn in the record supersedes the earlier
    /// executor, see [`run`]. Waiting first only avoids duplicate work.
    async fn wait_or_take_over(
        &self,
        stored: StoredObject<CommandRecord>,
    ) -> Result<CommandRecord, OperatorRefusal> {
        let mut stored = stored;
        let mut unchanged_since = ClockTime::now();
        loop {
            match self.check_record(&stored, unchanged_since).await? {
                SubmissionState::Here(active) => return self.follow(&active).await,
                SubmissionState::Ended(record) => return Ok(record),
                SubmissionState::Elsewhere(_) | SubmissionState::Retry => {}
            }
            if ClockTime::now() >= self.deadline {
                return Ok(stored.value);
            }
            smol::Timer::after(POLL_INTERVAL).await;
            // After a failed read the state is unknown: the record may have ended meanwhile.
            let Ok(found) = self.read().await else { continue };
            let Some(found) = found else { return Ok(stored.value) };
            if found.version != stored.version {
                unchanged_since = ClockTime::now();
            }
            stored = found;
        }
    }

    async fn check_record(
        &self,
        stored: &StoredObject<CommandRecord>,
        unchanged_since: ClockTime,
    ) -> Result<SubmissionState, OperatorRefusal> {
        if let Some(active) = self.state.commands.find(self.command) {
            return Ok(SubmissionState::Here(active));
        }
        if stored.value.state() == CommandState::Ended {
            return Ok(SubmissionState::Ended(stored.value.clone()));
        }
        let now = ClockTime::now();
        let executor = stored.value.executor.incarnation;
        let is_abandoned = executor == self.state.incarnation
            || self.state.members.is_gone(executor, now)
            || now.since(unchanged_since) >= EXECUTOR_TIMEOUT;
        if !is_abandoned || self.state.is_leaving() {
            return Ok(SubmissionState::Elsewhere(stored.clone()));
        }
        self.take_over(stored).await
    }

    async fn take_over(
        &self,
        stored: &StoredObject<CommandRecord>,
    ) -> Result<SubmissionState, OperatorRefusal> {
        let mut record = stored.value.clone();
        record.take_over(self.state.incarnation, stored.version);
        match self.state.objects.put(&command_key(self.command), stored.version, &record).await {
            Ok(version) => Ok(self.begin(record, version)),
            // Whether or not it took effect, the next check finds a record to take over.
            Err(_) => Ok(SubmissionState::Retry),
        }
    }

    fn uncertain(&self) -> OperatorRefusal {
        let message =
            format!("the store's replies were lost: command {} may be recorded", self.command);
        let help = "send it again with the same id";
        mark_possibly_recorded(OperatorRefusal::new(
            Status::ServiceUnavailable,
            "store-unreachable",
            message,
            help,
        ))
    }
}

fn mark_possibly_recorded(mut refusal: OperatorRefusal) -> OperatorRefusal {
    refusal.fault.may_be_under_way = true;
    refusal
}

/// Stores in the record the newest command of each account that a top-up of this command will
/// change, see [`sagespool_operations::ItemRecord::account_mark`]. Without a mark a top-up is still
/// safe, but a repetition of it may have to report "unknown".
async fn mark_accounts(state: &EntryState, record: &mut CommandRecord) {
    for item in &mut record.items {
        let CommandItem::TopUp { branch, .. } = &item.item else { continue };
        let Ok(Some(book)) = state.objects.get::<BookRecord>(&book_key(book_of(branch))).await
        else {
            continue;
        };
        let account = book.value.branches.get(branch);
        item.account_mark =
            account.and_then(|account| account.commands.last()).map(|applied| applied.command);
    }
}
