//! Taking a command: recorded first, begun once, found again.

use std::sync::Arc;
use std::time::Duration;

use sagespool_ledger::{BookRecord, book_key, book_of};
use sagespool_operations::{
    AnswerBody, CommandAnswer, CommandItem, CommandRecord, CommandState, LineRequest,
    OperatorCommand, WantedVersions, command_key, id_time, new_command_id,
};
use sagespool_platform::{StoreError, StoredObject};
use sagespool_settings::FLEET_OBJECT_KEY;
use sagespool_types::{BranchName, ClockTime, CommandId, ConfigVersion, StoreRevision, WallTime};
use trillium::Status;

use super::basis::BasisDraft;
use super::desk::ActiveCommand;
use super::{DraftedAnswer, OperatorRefusal, configuration, record, run};
use crate::state::EntryState;

const DEFAULT_WAIT: Duration = Duration::from_secs(10);
const LONGEST_WAIT: Duration = Duration::from_secs(60);
/// A command that another entry carries out is left to it as long as its record changes so often.
const PATIENCE: Duration = Duration::from_secs(3);
const POLL_PAUSE: Duration = Duration::from_millis(150);
/// An id may not lie further ahead: it would be kept beyond all others.
const FURTHEST_AHEAD: Duration = Duration::from_secs(24 * 60 * 60);
/// Tries at a record before the store counts as out of reach.
const RECORD_TRIES: u32 = 5;

/// Takes a command, or finds what became of it.
pub(super) async fn give(
    state: &Arc<EntryState>,
    operator: &BranchName,
    request: &LineRequest,
    wish: OperatorCommand,
) -> Result<DraftedAnswer, OperatorRefusal> {
    let mut draft = BasisDraft::begin();
    let command = request.command.unwrap_or_else(|| new_command_id(WallTime::now()));
    let wait = request.wait_ms.map_or(DEFAULT_WAIT, Duration::from_millis).min(LONGEST_WAIT);
    let deadline = ClockTime::now().after(wait);
    let giving = Giving { state, operator, line: &request.line, command, deadline };
    let (record, repeated) = giving.find_or_begin(wish).await?;
    draft.store_stands_at(state.objects.seen_revision());
    if record.state() == CommandState::Running {
        draft.note("the command goes on; give it again with the same id, or ask `command ID`");
    }
    let mut answer = CommandAnswer::of(&record, repeated);
    if let Some(wanted) = changed_versions(&record) {
        answer.in_force = Some(configuration::force_of(state, wanted, &mut draft).await);
    }
    Ok((AnswerBody::Command(answer), draft))
}

/// The versions that a command's edits gave the configuration, where they concern who.
fn changed_versions(record: &CommandRecord) -> Option<WantedVersions> {
    let mut wanted = WantedVersions::default();
    for item in &record.items {
        let (CommandItem::Edit(edit), Some(outcome)) = (&item.item, &item.outcome) else {
            continue;
        };
        if !outcome.state.is_good() {
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

/// One time of giving a command.
struct Giving<'a> {
    state: &'a Arc<EntryState>,
    operator: &'a BranchName,
    line: &'a str,
    command: CommandId,
    deadline: ClockTime,
}

/// What a look at the store led to.
enum LookEnd {
    /// It is being carried out here, from now on or since before.
    Here(Arc<ActiveCommand>),
    /// It has ended.
    Ended(CommandRecord),
    /// Another entry carries it out.
    Elsewhere(StoredObject<CommandRecord>),
    /// Somebody changed the record meanwhile: look again.
    Again,
}

impl Giving<'_> {
    /// The command's record once it has ended or the time is up, and whether it was given before.
    async fn find_or_begin(
        &self,
        wish: OperatorCommand,
    ) -> Result<(CommandRecord, bool), OperatorRefusal> {
        if let Some(active) = self.state.operator.find(self.command) {
            return self.follow(&active).await.map(|record| (record, true));
        }
        let found = self.read().await?;
        let Some(stored) = found else {
            return self.create(wish).await;
        };
        self.check_same(&stored.value)?;
        self.attend(stored).await.map(|record| (record, true))
    }

    async fn read(&self) -> Result<Option<StoredObject<CommandRecord>>, OperatorRefusal> {
        let read = record::read(self.state, self.command).await;
        read.map_err(|error| record::unreachable(&error))
    }

    /// Guards against an id that two commands share: the second would be told the first one's outcome.
    fn check_same(&self, record: &CommandRecord) -> Result<(), OperatorRefusal> {
        if record.is_same(self.line, self.operator) {
            return Ok(());
        }
        let message = format!("the id {} belongs to another command", self.command);
        let help = "nothing was done; give the line with an id of its own";
        Err(OperatorRefusal::new(Status::Conflict, "id-in-use", message, help))
    }

    /// Follows a command that is carried out here.
    async fn follow(&self, active: &ActiveCommand) -> Result<CommandRecord, OperatorRefusal> {
        self.check_same(&active.record())?;
        active.ended(self.deadline).await;
        Ok(active.record())
    }

    /// Writes the record of a new command and begins it.
    async fn create(
        &self,
        wish: OperatorCommand,
    ) -> Result<(CommandRecord, bool), OperatorRefusal> {
        self.check_time()?;
        if self.state.is_leaving() {
            let message = "this entry is leaving and begins no command";
            let help = "nothing was done; give it to another entry";
            return Err(OperatorRefusal::new(Status::ServiceUnavailable, "leaving", message, help));
        }
        let own = self.state.incarnation;
        let now = WallTime::now();
        let mut record = CommandRecord::new(self.command, self.line, self.operator, wish, own, now);
        mark_accounts(self.state, &mut record).await;
        for _ in 0..RECORD_TRIES {
            match self.put_new(&record).await? {
                LookEnd::Here(active) => {
                    return self.follow(&active).await.map(|record| (record, false));
                }
                LookEnd::Ended(record) => return Ok((record, true)),
                LookEnd::Elsewhere(stored) => {
                    self.check_same(&stored.value)?;
                    return self.attend(stored).await.map(|record| (record, true));
                }
                LookEnd::Again => smol::Timer::after(POLL_PAUSE).await,
            };
        }
        Err(self.uncertain())
    }

    fn check_time(&self) -> Result<(), OperatorRefusal> {
        let furthest = WallTime::now().0.saturating_add(FURTHEST_AHEAD.as_millis() as u64);
        if id_time(self.command).0 <= furthest {
            return Ok(());
        }
        let message = format!("the id {} begins with a time far ahead", self.command);
        let help = "nothing was done; leave the id out, or let `sagespool` choose one";
        Err(OperatorRefusal::new(Status::BadRequest, "id-from-the-future", message, help))
    }

    /// Tries to write a new record. One that is found instead may be this very one, written by a try
    /// whose answer was lost.
    async fn put_new(&self, record: &CommandRecord) -> Result<LookEnd, OperatorRefusal> {
        let key = command_key(self.command);
        match self.state.objects.put(&key, StoreRevision::ZERO, record).await {
            Ok(version) => Ok(self.begin(record.clone(), version)),
            Err(StoreError::Conflict { .. }) => {
                let Some(stored) = self.read().await.map_err(may_be_recorded)? else {
                    return Ok(LookEnd::Again);
                };
                if stored.value == *record {
                    return Ok(self.begin(stored.value, stored.version));
                }
                Ok(LookEnd::Elsewhere(stored))
            }
            Err(StoreError::Uncertain) => Ok(LookEnd::Again),
            Err(error) => Err(record::unreachable(&error)),
        }
    }

    fn begin(&self, record: CommandRecord, version: StoreRevision) -> LookEnd {
        match self.state.operator.begin(&record) {
            Some(active) => {
                run::start(Arc::clone(self.state), Arc::clone(&active), record, version);
                LookEnd::Here(active)
            }
            None => match self.state.operator.find(self.command) {
                Some(active) => LookEnd::Here(active),
                None => LookEnd::Again,
            },
        }
    }

    /// Sees to a command that was recorded before: waits for whoever carries it out, and takes it up if
    /// nobody seems to.
    ///
    /// Taking up is safe at any time: the turn in the record relieves the earlier executor, see
    /// [`run`]. Waiting first only spares the work.
    async fn attend(
        &self,
        stored: StoredObject<CommandRecord>,
    ) -> Result<CommandRecord, OperatorRefusal> {
        let mut stored = stored;
        let mut quiet_since = ClockTime::now();
        loop {
            match self.look(&stored, quiet_since).await? {
                LookEnd::Here(active) => return self.follow(&active).await,
                LookEnd::Ended(record) => return Ok(record),
                LookEnd::Elsewhere(_) | LookEnd::Again => {}
            }
            if ClockTime::now() >= self.deadline {
                return Ok(stored.value);
            }
            smol::Timer::after(POLL_PAUSE).await;
            // A read that fails says nothing: the record may have ended meanwhile.
            let Ok(found) = self.read().await else { continue };
            let Some(found) = found else { return Ok(stored.value) };
            if found.version != stored.version {
                quiet_since = ClockTime::now();
            }
            stored = found;
        }
    }

    async fn look(
        &self,
        stored: &StoredObject<CommandRecord>,
        quiet_since: ClockTime,
    ) -> Result<LookEnd, OperatorRefusal> {
        if let Some(active) = self.state.operator.find(self.command) {
            return Ok(LookEnd::Here(active));
        }
        if stored.value.state() == CommandState::Ended {
            return Ok(LookEnd::Ended(stored.value.clone()));
        }
        let now = ClockTime::now();
        let executor = stored.value.executor.incarnation;
        let is_left = executor == self.state.incarnation
            || self.state.members.is_gone(executor, now)
            || now.since(quiet_since) >= PATIENCE;
        if !is_left || self.state.is_leaving() {
            return Ok(LookEnd::Elsewhere(stored.clone()));
        }
        self.take_over(stored).await
    }

    async fn take_over(
        &self,
        stored: &StoredObject<CommandRecord>,
    ) -> Result<LookEnd, OperatorRefusal> {
        let mut record = stored.value.clone();
        record.take_over(self.state.incarnation, stored.version);
        match self.state.objects.put(&command_key(self.command), stored.version, &record).await {
            Ok(version) => Ok(self.begin(record, version)),
            // Whether it took effect or not, the next look finds a record to take up anew.
            Err(_) => Ok(LookEnd::Again),
        }
    }

    fn uncertain(&self) -> OperatorRefusal {
        let message =
            format!("the store's answers were lost: command {} may be recorded", self.command);
        let help = "give it again with the same id";
        may_be_recorded(OperatorRefusal::new(
            Status::ServiceUnavailable,
            "store-unreachable",
            message,
            help,
        ))
    }
}

fn may_be_recorded(mut refusal: OperatorRefusal) -> OperatorRefusal {
    refusal.fault.may_be_under_way = true;
    refusal
}

/// Notes the newest command of each account that a top-up of this command will change, see
/// [`sagespool_operations::ItemRecord::account_mark`]. Without a mark a top-up is still safe; only a
/// repetition of it may have to be answered with "unknown".
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
