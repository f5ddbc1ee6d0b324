//! Commands as the store keeps them: done once, however often and through whomever they are given.

#![allow(clippy::unwrap_used)]

use sagespool_messages::EngineOrder;
use sagespool_operations::{
    CancelOutcome, CancelRecord, CommandFloor, CommandRecord, CommandState, FenceHolder,
    FenceRecord, ItemOutcome, LoadLease, OperatorLine, OutcomeState, command_id_time,
    new_command_id, parse_line, plan_pruning,
};
use sagespool_types::{
    CommandId, ConfigVersion, FenceNumber, IncarnationId, StoreRevision, WallTime,
};

const FIRST: IncarnationId = IncarnationId(1);
const SECOND: IncarnationId = IncarnationId(2);

fn record(line: &str) -> CommandRecord {
    let Ok(OperatorLine::Command(command)) = parse_line(line) else { panic!("{line}") };
    let by = "desk".parse().unwrap();
    CommandRecord::new(CommandId(7), line, &by, command, FIRST, WallTime(1000))
}

fn done() -> ItemOutcome {
    ItemOutcome::new(OutcomeState::Done, "done")
}

fn cancel() -> CancelRecord {
    CancelRecord { command: CommandId(8), at: WallTime(2000) }
}

fn states(record: &CommandRecord) -> Vec<Option<OutcomeState>> {
    record.items.iter().map(|item| item.outcome.as_ref().map(|outcome| outcome.state)).collect()
}

#[test]
fn items_in_order() {
    let mut record = record("top-up a 1, b 2");
    let first = record.next_item().unwrap();
    assert_eq!((first.index, first.item.to_string()), (0, "top-up a 1".to_owned()));
    assert_eq!(first.begun_after, None);
    record.set_outcome(0, done());
    record.set_outcome(0, ItemOutcome::new(OutcomeState::Failed, "a later word doesn't count"));
    assert_eq!(record.next_item().unwrap().index, 1);
    assert_eq!(record.state(), CommandState::Running);
    record.set_outcome(1, done());
    assert_eq!(record.next_item(), None);
    assert_eq!(record.state(), CommandState::Ended);
    assert_eq!(states(&record), [Some(OutcomeState::Done); 2]);
}

/// An entry dies in the middle of a command. The one that takes it up may not assume that the item at
/// which the first stood wasn't done; of the later ones it may.
#[test]
fn taken_over() {
    let mut record = record("top-up a 1, b 2, c 3");
    record.set_outcome(0, done());
    let before = record.executor;
    let executor = record.take_over(SECOND, StoreRevision(40));
    assert_eq!((executor.incarnation, executor.turn), (SECOND, before.turn + 1));
    assert_eq!(record.next_item().unwrap().begun_after, Some(StoreRevision(40)));
    // The same entry may take it up again after it gave up: the turn tells the two apart. Since when the
    // item may have been begun is the first one's to say.
    assert_ne!(record.take_over(SECOND, StoreRevision(50)), executor);
    assert_eq!(record.next_item().unwrap().begun_after, Some(StoreRevision(40)));
    record.set_outcome(1, done());
    assert_eq!(record.next_item().unwrap().begun_after, None);
}

/// A command is cancelled while an entry that died may have done its second item: only the third is
/// said to be cancelled.
#[test]
fn cancelled_rest() {
    let mut fresh = record("top-up a 1, b 2");
    fresh.cancel_remaining();
    assert_eq!(states(&fresh), [None; 2]);
    assert_eq!(fresh.request_cancel(cancel()), CancelOutcome::Noted);
    assert_eq!(fresh.request_cancel(cancel()), CancelOutcome::Already);
    fresh.cancel_remaining();
    assert_eq!(states(&fresh), [Some(OutcomeState::Cancelled); 2]);
    assert_eq!(fresh.request_cancel(cancel()), CancelOutcome::Ended);

    let mut taken = record("top-up a 1, b 2, c 3");
    taken.set_outcome(0, done());
    taken.take_over(SECOND, StoreRevision(40));
    taken.request_cancel(cancel());
    taken.cancel_remaining();
    let wanted = [OutcomeState::Done, OutcomeState::Unknown, OutcomeState::Cancelled];
    assert_eq!(states(&taken), wanted.map(Some));
}

#[test]
fn same_command() {
    let record = record("top-up a 1");
    let (desk, other) = ("desk".parse().unwrap(), "other".parse().unwrap());
    assert!(record.is_same("top-up a 1", &desk));
    assert!(!record.is_same("top-up a 2", &desk));
    assert!(!record.is_same("top-up a 1", &other));
}

/// Two edits of one object in one command, conditional on the version that the operator saw: the first
/// one's own change must not look like another operator's to the second.
#[test]
fn own_versions() {
    let mut record =
        record("set a weight 2, a limit running 3, class lookup priority 1 if version 5");
    assert_eq!(record.seen, Some(ConfigVersion(5)));
    let sagespool_operations::CommandItem::Edit(edit) = &record.items[0].item else { panic!() };
    let object = edit.object_key();
    assert_eq!(record.own_version(&object), None);
    let outcome =
        ItemOutcome::builder().state(OutcomeState::Done).message("").version(ConfigVersion(9));
    record.set_outcome(0, outcome.build());
    assert_eq!(record.own_version(&object), Some(ConfigVersion(9)));
    assert_eq!(record.own_version("configuration/fleet"), None);
}

#[test]
fn record_text() {
    let mut record = record("load sage on engine-1, engine-2");
    record.set_outcome(0, done());
    record.request_cancel(cancel());
    let text = serde_json::to_string(&record).unwrap();
    assert_eq!(serde_json::from_str::<CommandRecord>(&text).unwrap(), record);
}

#[test]
fn ids_by_time() {
    let (early, late) = (new_command_id(WallTime(1000)), new_command_id(WallTime(1001)));
    assert!(early < late);
    assert_eq!(command_id_time(early), WallTime(1000));
    assert_ne!(new_command_id(WallTime(1000)), early);
}

/// A top-up whose answer was lost is given again a week later, when its record was forgotten. It must
/// not be applied a second time.
#[test]
fn forgotten_commands() {
    let present: Vec<CommandId> = [5, 3, 9, 7].map(CommandId).to_vec();
    assert_eq!(plan_pruning(present.clone(), 4), None);
    let plan = plan_pruning(present, 2).unwrap();
    assert_eq!(plan.commands, [CommandId(3), CommandId(5)]);
    assert_eq!(plan.floor, CommandId(5));

    let mut floor = CommandFloor::default();
    assert!(!floor.covers(CommandId(0)));
    assert!(floor.raise(plan.floor));
    assert!(!floor.raise(CommandId(4)));
    assert!(plan.commands.iter().all(|command| floor.covers(*command)));
    // One that was never recorded is refused with them: nobody can tell.
    assert!(floor.covers(CommandId(4)));
    assert!(!floor.covers(CommandId(6)));
}

/// Two operators order one engine through different entries; each order gets a number of its own, and
/// the same order, whose answer was lost, keeps its.
#[test]
fn fenced_orders() {
    let holder =
        |command, turn| FenceHolder { command: CommandId(command), item: 0, turn, renewal: 0 };
    let load = EngineOrder::LoadModel("sage".parse().unwrap());
    let (drain, undrain) = (EngineOrder::Drain(true), EngineOrder::Drain(false));
    let first = FenceRecord::with_order(None, holder(1, 0), &drain).unwrap();
    assert_eq!((first.number, first.drained), (FenceNumber(1), true));
    assert_eq!(FenceRecord::with_order(Some(&first), holder(1, 0), &drain), None);
    let second = FenceRecord::with_order(Some(&first), holder(2, 0), &load).unwrap();
    assert_eq!((second.number, second.drained), (FenceNumber(2), true));
    // Overtaken by an order about something else, the drain stands; a later one takes its place.
    assert!(second.is_newest(&drain, first.number));
    let third = FenceRecord::with_order(Some(&second), holder(1, 1), &undrain).unwrap();
    assert_eq!((third.number, third.drained), (FenceNumber(3), false));
    assert!(!third.is_newest(&drain, first.number));
    assert!(third.is_newest(&load, second.number));
    let unload = EngineOrder::UnloadModel("sage".parse().unwrap());
    let fourth = FenceRecord::with_order(Some(&third), holder(4, 0), &unload).unwrap();
    assert!(!fourth.is_newest(&load, second.number));
}

/// Two operators load models at once through different entries: one after the other. An entry that dies
/// with the turn doesn't stop all loads for good.
#[test]
fn load_turns() {
    let holder =
        |command, turn| FenceHolder { command: CommandId(command), item: 0, turn, renewal: 0 };
    let mut turn = LoadLease::default();
    assert!(turn.try_acquire(holder(1, 0), WallTime(1000)));
    assert!(
        turn.try_acquire(holder(1, 1), WallTime(1000)),
        "taken up anew, it is still the item's"
    );
    assert!(!turn.try_acquire(holder(2, 0), WallTime(60_000)));
    assert!(!turn.release(holder(2, 0)) && !turn.release(holder(1, 0)));
    assert!(turn.try_acquire(holder(2, 0), WallTime(121_000)));
    assert!(!turn.release(holder(1, 1)), "passed over, it doesn't end the other's turn");
    assert!(turn.release(holder(2, 0)));
    assert!(turn.try_acquire(holder(3, 0), WallTime(121_001)));
}
