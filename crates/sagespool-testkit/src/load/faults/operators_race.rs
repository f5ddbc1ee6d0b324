//! Operators command against each other through different entries, while some answers are lost.
//!
//! Judged from the store's objects: of two edits on one version one wins and the other is told so,
//! and a command that is given again and again is done once.

use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::future::or;
use sagespool_ledger::{BookRecord, book_key, book_of};
use sagespool_operations::{AnswerBody, ItemOutcome, OperatorAnswer, OutcomeState, new_command_id};
use sagespool_settings::{BranchObject, branch_object_key, branch_shard};
use sagespool_types::{BranchName, CommandId, TokenCount, WallTime};

use super::stage::FaultStage;
use super::store;
use crate::load::OperatorClient;

const LOST_SHARE: f64 = 0.2;
/// Some operators give up after this, and come back through another entry.
const GIVE_UP: Duration = Duration::from_millis(80);
const MOST_TRIES: usize = 30;
const TRY_PAUSE: Duration = Duration::from_millis(100);
const PAUSE: Duration = Duration::from_millis(200);
/// Weights of the two edits of a round are told apart by this.
const WEIGHT_STEP: u32 = 400;
/// Each top-up has a bit of its own, so that the sum says which were done, and how often.
const MOST_TOP_UPS: u32 = 24;

/// Rounds of two edits and one top-up, for as long as the traffic lasts.
pub(super) async fn operators_race(stage: &FaultStage) {
    let mut rng = stage.rng("operators-race");
    stage.until(0.05).await;
    store::set_lost_answers(&*stage.fleet().await, LOST_SHARE);
    let branch: BranchName = "first".parse().expect("the name is valid");
    let before = prepaid(stage, &branch).await;
    let mut top_ups = Vec::new();
    let mut round = 0;
    while stage.share_passed() < 0.85 && round < MOST_TOP_UPS {
        let places = rng.usize(0..3);
        race_edits(stage, &branch, round + 1, places).await;
        top_ups.push(repeat_top_up(stage, &branch, TokenCount(1 << round), places).await);
        round += 1;
        smol::Timer::after(PAUSE).await;
    }
    store::set_lost_answers(&*stage.fleet().await, 0.0);
    let added = prepaid(stage, &branch).await.saturating_sub(before);
    judge_top_ups(stage, &top_ups, added);
}

async fn prepaid(stage: &FaultStage, branch: &BranchName) -> TokenCount {
    let object = stage.fleet().await.store.object(&book_key(book_of(branch)));
    let book: Option<BookRecord> = object.and_then(|object| object.parse().ok());
    let account = book.and_then(|book| book.branches.get(branch).cloned());
    account.map_or(TokenCount::ZERO, |account| account.prepaid)
}

/// The branch's weight, and how often its object was written.
async fn weight(stage: &FaultStage, branch: &BranchName) -> (u32, usize) {
    let key = branch_object_key(branch_shard(branch));
    let fleet = stage.fleet().await;
    let object: Option<BranchObject> =
        fleet.store.object(&key).and_then(|object| object.parse().ok());
    let weight = object.and_then(|object| object.branches.get(branch).map(|entry| entry.weight));
    let writes = fleet.store.writes().iter().filter(|write| *write.key == *key).count();
    (weight.unwrap_or_default(), writes)
}

/// Gives a command through one entry after the other until it has ended. With `gives_up` the first
/// answers are not waited for, as if they were lost.
async fn insist(
    operator: OperatorClient,
    entries: Vec<SocketAddr>,
    line: String,
    command: CommandId,
    gives_up: bool,
) -> Option<ItemOutcome> {
    for number in 0..MOST_TRIES {
        let entry = entries[number % entries.len()];
        let asked = operator.give(entry, &line, command);
        let answer = match gives_up && number < 2 {
            true => or(async { Some(asked.await) }, lost(GIVE_UP)).await,
            false => Some(asked.await),
        };
        if let Some(outcome) = answer.and_then(Result::ok).and_then(outcome_of) {
            return Some(outcome);
        }
        smol::Timer::after(TRY_PAUSE).await;
    }
    None
}

async fn lost<T>(after: Duration) -> Option<T> {
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

/// The entries, beginning with another one.
async fn entries_from(stage: &FaultStage, place: usize) -> Vec<SocketAddr> {
    let mut entries = stage.fleet().await.entry_addresses();
    let count = entries.len();
    entries.rotate_left(place % count);
    entries
}

/// The version that an operator sees; asked again while answers of the store are lost.
async fn seen_version(stage: &FaultStage, branch: &BranchName, place: usize) -> Option<u64> {
    let operator = stage.operator().await;
    for entry in entries_from(stage, place).await {
        let line = format!("configuration branch {branch}");
        if let Ok(answer) = operator.ask(entry, &line).await
            && let AnswerBody::Configuration(found) = answer.answer
            && let Some(shown) = found.shown
        {
            return Some(shown.version.0);
        }
    }
    None
}

/// Two operators set one weight on the version that both saw.
async fn race_edits(stage: &FaultStage, branch: &BranchName, round: u32, place: usize) {
    let Some(version) = seen_version(stage, branch, place).await else { return };
    let (_, writes_before) = weight(stage, branch).await;
    let wanted = [round, round + WEIGHT_STEP];
    let mut racing = Vec::new();
    for (number, wish) in wanted.into_iter().enumerate() {
        let line = format!("set {branch} weight {wish} if version {version}");
        let entries = entries_from(stage, place + number).await;
        let operator = stage.operator().await;
        racing.push(smol::spawn(insist(operator, entries, line, new_id(), number == 1)));
    }
    let mut outcomes = Vec::new();
    for race in racing {
        outcomes.push(race.await);
    }
    let (present, writes) = weight(stage, branch).await;
    let race = EditRace { wanted, outcomes, present, writes: writes - writes_before };
    stage.notes.raced();
    if let Some(fault) = race.fault() {
        stage.notes.race_fault(format!("edits on version {version}: {fault}: {race:?}"));
    }
}

/// What came of two edits.
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

    /// What is wrong with it, if anything is.
    fn fault(&self) -> Option<&'static str> {
        let states = self.states();
        let winners: Vec<usize> =
            (0..2).filter(|place| states[*place] == Some(OutcomeState::Done)).collect();
        if self.writes > 1 {
            return Some("both took effect");
        }
        if winners.len() > 1 {
            return Some("both were told that they won");
        }
        if let [winner] = winners[..] {
            if self.present != self.wanted[winner] || self.writes != 1 {
                return Some("the winner's edit isn't in force");
            }
            let loser = self.outcomes[1 - winner].as_ref();
            let told = loser.is_some_and(|outcome| outcome.state == OutcomeState::Conflict);
            let is_open = loser.is_none_or(|outcome| outcome.state == OutcomeState::Unknown);
            return (!told && !is_open).then_some("the loser wasn't told of a conflict");
        }
        let denied = |state: &Option<OutcomeState>| {
            matches!(state, Some(OutcomeState::Conflict | OutcomeState::Failed))
        };
        let all_denied = states.iter().all(denied);
        (all_denied && self.writes > 0).then_some("an edit that was denied took effect")
    }
}

/// A top-up that was given several times, and what its operator was told.
struct RepeatedTopUp {
    amount: TokenCount,
    told: Vec<Option<OutcomeState>>,
}

/// One top-up is given through every entry at the same time, with the same id.
async fn repeat_top_up(
    stage: &FaultStage,
    branch: &BranchName,
    amount: TokenCount,
    place: usize,
) -> RepeatedTopUp {
    let command = new_id();
    stage.begin_top_up(branch, amount).await;
    let mut giving = Vec::new();
    for number in 0..3 {
        let line = format!("top-up {branch} {amount}");
        let entries = entries_from(stage, place + number).await;
        let operator = stage.operator().await;
        giving.push(smol::spawn(insist(operator, entries, line, command, number == 2)));
    }
    let mut told = Vec::new();
    for given in giving {
        told.push(given.await.map(|outcome| outcome.state));
    }
    if told.iter().flatten().any(|state| state.is_success()) {
        stage.end_top_up(branch, amount).await;
    }
    RepeatedTopUp { amount, told }
}

/// Amounts are bits: each that was told to be done stands in the sum once, and one that was told not
/// to be done doesn't.
fn judge_top_ups(stage: &FaultStage, top_ups: &[RepeatedTopUp], added: TokenCount) {
    let all: u64 = top_ups.iter().map(|top_up| top_up.amount.0).sum();
    stage.notes.raced();
    if added.0 > all {
        stage.notes.race_fault(format!("top-ups of {all} added {added}"));
        return;
    }
    for top_up in top_ups {
        let is_there = added.0 & top_up.amount.0 != 0;
        let is_done = top_up.told.iter().flatten().any(|state| state.is_success());
        let is_denied = top_up.told.iter().flatten().any(|state| {
            matches!(state, OutcomeState::Failed | OutcomeState::Refused | OutcomeState::Conflict)
        });
        if (is_done && !is_there) || (is_denied && is_there) {
            let told = &top_up.told;
            stage.notes.race_fault(format!("top-up of {}: told {told:?}", top_up.amount));
        }
    }
}
