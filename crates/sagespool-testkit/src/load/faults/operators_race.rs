//! Operators send conflicting commands through different entries while some answers are lost.
//!
//! The stored objects must show that of two edits of one version one is applied and the other gets
//! a conflict, and that a command repeated with the same id is applied once.

use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::future::or;
use sagespool_ledger::{BookRecord, book_key, book_of};
use sagespool_operations::{AnswerBody, ItemOutcome, OperatorAnswer, OutcomeState, new_command_id};
use sagespool_settings::{BranchObject, branch_object_key, branch_shard};
use sagespool_types::{BranchName, CommandId, TokenCount, WallTime};

use super::context::FaultContext;
use super::store;
use crate::load::OperatorClient;

const LOST_SHARE: f64 = 0.2;
/// Time after which some operators abort a request and repeat it through another entry.
const EARLY_ABORT: Duration = Duration::from_millis(80);
const MAX_ATTEMPTS: usize = 30;
const TRY_PAUSE: Duration = Duration::from_millis(100);
const PAUSE: Duration = Duration::from_millis(200);
/// Difference between the weights of the two edits of a round, which identifies the winner.
const WEIGHT_STEP: u32 = 400;
/// Each top-up is a distinct power of two, so that the sum shows which were applied, and how often.
const MAX_TOP_UPS: u32 = 24;

/// Runs rounds of two edits and one top-up during the traffic.
pub(super) async fn operators_race(context: &FaultContext) {
    let mut rng = context.rng("operators-race");
    context.until(0.05).await;
    store::set_lost_answers(&*context.fleet().await, LOST_SHARE);
    let branch: BranchName = "first".parse().expect("the name is valid");
    let before = prepaid(context, &branch).await;
    let mut top_ups = Vec::new();
    let mut round = 0;
    while context.share_passed() < 0.85 && round < MAX_TOP_UPS {
        let offset = rng.usize(0..3);
        race_edits(context, &branch, round + 1, offset).await;
        top_ups.push(repeat_top_up(context, &branch, TokenCount(1 << round), offset).await);
        round += 1;
        smol::Timer::after(PAUSE).await;
    }
    store::set_lost_answers(&*context.fleet().await, 0.0);
    let added = prepaid(context, &branch).await.saturating_sub(before);
    judge_top_ups(context, &top_ups, added);
}

async fn prepaid(context: &FaultContext, branch: &BranchName) -> TokenCount {
    let object = context.fleet().await.store.object(&book_key(book_of(branch)));
    let book: Option<BookRecord> = object.and_then(|object| object.parse().ok());
    let account = book.and_then(|book| book.branches.get(branch).cloned());
    account.map_or(TokenCount::ZERO, |account| account.prepaid)
}

/// The branch's stored weight, and the number of writes to its object.
async fn weight(context: &FaultContext, branch: &BranchName) -> (u32, usize) {
    let key = branch_object_key(branch_shard(branch));
    let fleet = context.fleet().await;
    let object: Option<BranchObject> =
        fleet.store.object(&key).and_then(|object| object.parse().ok());
    let weight = object.and_then(|object| object.branches.get(branch).map(|entry| entry.weight));
    let writes = fleet.store.writes().iter().filter(|write| *write.key == *key).count();
    (weight.unwrap_or_default(), writes)
}

/// Sends a command through one entry after the other until it has ended. With `aborts_early` the
/// first two requests are aborted early, as if their answers were lost.
async fn run_until_ended(
    operator: OperatorClient,
    entries: Vec<SocketAddr>,
    line: String,
    command: CommandId,
    aborts_early: bool,
) -> Option<ItemOutcome> {
    for number in 0..MAX_ATTEMPTS {
        let entry = entries[number % entries.len()];
        let command_run = operator.run_command(entry, &line, command);
        let answer = match aborts_early && number < 2 {
            true => or(async { Some(command_run.await) }, none_after(EARLY_ABORT)).await,
            false => Some(command_run.await),
        };
        if let Some(outcome) = answer.and_then(Result::ok).and_then(outcome_of) {
            return Some(outcome);
        }
        smol::Timer::after(TRY_PAUSE).await;
    }
    None
}

async fn none_after<T>(after: Duration) -> Option<T> {
    smol::Timer::after(after).await;
    None
}

fn outcome_of(answer: OperatorAnswer) -> Option<ItemOutcome> {
    let AnswerBody::Command(command) = answer.answer else { return None };
    command.items.into_iter().next()?.outcome
}

fn new_id() -> CommandId {
    new_command_id(WallTime::now())
}

/// The entries, rotated to begin at an index.
async fn entries_from(context: &FaultContext, index: usize) -> Vec<SocketAddr> {
    let mut entries = context.fleet().await.entry_addresses();
    let count = entries.len();
    entries.rotate_left(index % count);
    entries
}

/// The version that an operator sees, from the first entry that answers.
async fn seen_version(context: &FaultContext, branch: &BranchName, index: usize) -> Option<u64> {
    let operator = context.operator().await;
    for entry in entries_from(context, index).await {
        let line = format!("configuration branch {branch}");
        if let Ok(answer) = operator.query(entry, &line).await
            && let AnswerBody::Configuration(found) = answer.answer
            && let Some(shown) = found.shown
        {
            return Some(shown.version.0);
        }
    }
    None
}

/// Two operators set the weight, both conditional on the same version.
async fn race_edits(context: &FaultContext, branch: &BranchName, round: u32, index: usize) {
    let Some(version) = seen_version(context, branch, index).await else { return };
    let (_, writes_before) = weight(context, branch).await;
    let wanted = [round, round + WEIGHT_STEP];
    let mut edits = Vec::new();
    for (number, new_weight) in wanted.into_iter().enumerate() {
        let line = format!("set {branch} weight {new_weight} if version {version}");
        let entries = entries_from(context, index + number).await;
        let operator = context.operator().await;
        edits.push(smol::spawn(run_until_ended(operator, entries, line, new_id(), number == 1)));
    }
    let mut outcomes = Vec::new();
    for race in edits {
        outcomes.push(race.await);
    }
    let (present, writes) = weight(context, branch).await;
    let race = EditRace { wanted, outcomes, present, writes: writes - writes_before };
    context.fault_log.count_race();
    if let Some(fault) = race.fault() {
        context
            .fault_log
            .record_race_fault(format!("edits of version {version}: {fault}: {race:?}"));
    }
}

/// The outcomes of two concurrent edits.
#[derive(Debug)]
struct EditRace {
    wanted: [u32; 2],
    outcomes: Vec<Option<ItemOutcome>>,
    present: u32,
    writes: usize,
}

impl EditRace {
    fn states(&self) -> Vec<Option<OutcomeState>> {
        let states = self.outcomes.iter();
        states.map(|outcome| outcome.as_ref().map(|outcome| outcome.state)).collect()
    }

    /// The first violated rule; none if the outcomes are consistent.
    fn fault(&self) -> Option<&'static str> {
        let states = self.states();
        let winners: Vec<usize> =
            (0..2).filter(|index| states[*index] == Some(OutcomeState::Done)).collect();
        if self.writes > 1 {
            return Some("more than one write was applied");
        }
        if winners.len() > 1 {
            return Some("both operators got success");
        }
        if let [winner] = winners[..] {
            if self.present != self.wanted[winner] || self.writes != 1 {
                return Some("the successful edit is not in the store");
            }
            let loser = self.outcomes[1 - winner].as_ref();
            let reported = loser.is_some_and(|outcome| outcome.state == OutcomeState::Conflict);
            let is_open = loser.is_none_or(|outcome| outcome.state == OutcomeState::Unknown);
            return (!reported && !is_open).then_some("the other operator got no conflict");
        }
        let denied = |state: &Option<OutcomeState>| {
            matches!(state, Some(OutcomeState::Conflict | OutcomeState::Failed))
        };
        let all_denied = states.iter().all(denied);
        (all_denied && self.writes > 0).then_some("a rejected edit was applied")
    }
}

/// A top-up that was sent several times, and the state in each answer.
struct RepeatedTopUp {
    amount: TokenCount,
    reported: Vec<Option<OutcomeState>>,
}

/// Sends one top-up through three entries concurrently, with the same id.
async fn repeat_top_up(
    context: &FaultContext,
    branch: &BranchName,
    amount: TokenCount,
    index: usize,
) -> RepeatedTopUp {
    let command = new_id();
    context.begin_top_up(branch, amount).await;
    let mut sends = Vec::new();
    for number in 0..3 {
        let line = format!("top-up {branch} {amount}");
        let entries = entries_from(context, index + number).await;
        let operator = context.operator().await;
        sends.push(smol::spawn(run_until_ended(operator, entries, line, command, number == 2)));
    }
    let mut reported = Vec::new();
    for send in sends {
        reported.push(send.await.map(|outcome| outcome.state));
    }
    if reported.iter().flatten().any(|state| state.is_success()) {
        context.end_top_up(branch, amount).await;
    }
    RepeatedTopUp { amount, reported }
}

/// Checks the sum, in which each amount is one bit: a top-up with a success is in it once, and a
/// rejected one is not.
fn judge_top_ups(context: &FaultContext, top_ups: &[RepeatedTopUp], added: TokenCount) {
    let all: u64 = top_ups.iter().map(|top_up| top_up.amount.0).sum();
    context.fault_log.count_race();
    if added.0 > all {
        context.fault_log.record_race_fault(format!("top-ups of {all} tokens added {added}"));
        return;
    }
    for top_up in top_ups {
        let is_applied = added.0 & top_up.amount.0 != 0;
        let is_done = top_up.reported.iter().flatten().any(|state| state.is_success());
        let is_denied = top_up.reported.iter().flatten().any(|state| {
            matches!(state, OutcomeState::Failed | OutcomeState::Refused | OutcomeState::Conflict)
        });
        if (is_done && !is_applied) || (is_denied && is_applied) {
            let reported = &top_up.reported;
            context.fault_log.record_race_fault(format!(
                "top-up of {} tokens: answers {reported:?}",
                top_up.amount
            ));
        }
    }
}
