//! Stored commands: each is executed once, however often and through whichever entry it is submitted.

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
    record.set_outcome(0, ItemOutcome::new(OutcomeState::Failed, "a later outcome is ignored"));
    assert_eq!(record.next_item().unwrap().index, 1);
    assert_eq!(record.state(), CommandState::Running);
    record.set_outcome(1, done());
    assert_eq!(record.next_item(), None);
    assert_eq!(record.state(), CommandState::Ended);
    assert_eq!(states(&record), [Some(OutcomeState::Done); 2]);
}

/// An entry stops in the middle of a command. The entry that takes over must assume that the first item
/// without an outcome may have been started, and that the later ones were not.
#[test]
fn taken_over() {
    let mut record = record("top-up a 1, b 2, c 3");
    record.set_outcome(0, done());
    let before = record.executor;
    let executor = record.take_over(SECOND, StoreRevision(40));
    assert_eq!((executor.incarnation, executor.turn), (SECOND, before.turn + 1));
    assert_eq!(record.next_item().unwrap().begun_after, Some(StoreRevision(40)));
    // The same entry may take over again after it stopped executing: the turn differs. The revision after
    // which the item may have been started stays that of the first take-over.
    assert_ne!(record.take_over(SECOND, StoreRevision(50)), executor);
    assert_eq!(record.next_item().unwrap().begun_after, Some(StoreRevision(40)));
    record.set_outcome(1, done());
    assert_eq!(record.next_item().unwrap().begun_after, None);
}

/// A command is cancelled while an entry that stopped may have executed its second item: only the third
/// gets the state `cancelled`.
#[test]
fn cancelled_remaining_items() {
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

/// Two edits of one object in one command, conditional on the version that the operator saw: the change
/// by the first edit must not count as a conflict for the second.
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
fn record_serialization() {
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

/// The reply to a top-up is lost, and the top-up is submitted again a week later, after its record was
/// pruned. It must not be applied a second time.
#[test]
fn pruned_commands() {
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
    // An id that was never recorded is refused too, since it can't be told from a pruned one.
    assert!(floor.covers(CommandId(4)));
    assert!(!floor.covers(CommandId(6)));
}

/// Two operators send orders to one engine through different entries: each order gets its own number. An
/// order that is sent again because its reply was lost keeps its number.
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
    // An order on another subject doesn't supersede the drain; a later undrain does.
    assert!(second.is_newest(&drain, first.number));
    let third = FenceRecord::with_order(Some(&second), holder(1, 1), &undrain).unwrap();
    assert_eq!((third.number, third.drained), (FenceNumber(3), false));
    assert!(!third.is_newest(&drain, first.number));
    assert!(third.is_newest(&load, second.number));
    let unload = EngineOrder::UnloadModel("sage".parse().unwrap());
    let fourth = FenceRecord::with_order(Some(&third), holder(4, 0), &unload).unwrap();
    assert!(!fourth.is_newest(&load, second.number));
}

/// Two operators load models through different entries at the same time: the loads run one after the
/// other. The lease of an entry that stopped expires, so that it doesn't block all loads.
#[test]
fn load_leases() {
    let holder =
        |command, turn| FenceHolder { command: CommandId(command), item: 0, turn, renewal: 0 };
    let mut lease = LoadLease::default();
    assert!(lease.try_acquire(holder(1, 0), WallTime(1000)));
    assert!(
        lease.try_acquire(holder(1, 1), WallTime(1000)),
        "a later turn of the same item renews it"
    );
    assert!(!lease.try_acquire(holder(2, 0), WallTime(60_000)));
    assert!(!lease.release(holder(2, 0)) && !lease.release(holder(1, 0)));
    assert!(lease.try_acquire(holder(2, 0), WallTime(121_000)));
    assert!(!lease.release(holder(1, 1)), "an expired holder must not release the new lease");
    assert!(lease.release(holder(2, 0)));
    assert!(lease.try_acquire(holder(3, 0), WallTime(121_001)));
}
