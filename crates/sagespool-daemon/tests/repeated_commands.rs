//! Commands that are given again, taken up or given up: each is done once.

#![allow(clippy::unwrap_used)]

mod desk;

use desk::{DeskFleet, EAST, WEST, change_book, id, leave_record, slow_store, weight, whole_store};
use sagespool_operations::{AnswerBody, COMMAND_FLOOR_KEY, CommandFloor, OutcomeState};
use sagespool_settings::{branch_object_key, branch_shard};
use sagespool_testkit::StoreFaults;
use sagespool_types::{BranchName, CommandId, ConfigVersion, StoreRevision, TokenCount};

/// The store loses half of its answers after the writes took effect, and an impatient operator gives
/// each top-up through both entries at once, and again. Each is added once.
#[test]
fn lost_answers() {
    smol::block_on(async {
        let desk = DeskFleet::start().await;
        let faults = StoreFaults::builder().lose_answer_share(0.5).build();
        desk.fleet.store.set_faults(faults);
        let commands: Vec<CommandId> = (0..6).map(|_| id()).collect();
        for command in &commands {
            let east = desk.begin(EAST, *command, "top-up second 10");
            let west = desk.begin(WEST, *command, "top-up second 10");
            for output in [east.await, west.await] {
                assert_eq!(output.states(), [OutcomeState::Done], "{output:?}");
            }
        }
        whole_store(&desk);
        for command in &commands {
            let again = desk.give(WEST, *command, "top-up second 10");
            assert_eq!(again.states(), [OutcomeState::Done]);
            assert!(again.command().repeated);
        }
        assert_eq!(desk.account("second").prepaid, TokenCount(200_060));
        let other = desk.give(EAST, commands[0], "top-up second 11");
        assert_eq!(other.fault().code, "id-in-use");
    });
}

/// An entry dies in the middle of a command. The operator gives it again through another entry: what was
/// done isn't done twice, and the rest is done.
#[test]
fn dead_executor() {
    smol::block_on(async {
        let mut desk = DeskFleet::start().await;
        slow_store(&desk, 150);
        let (command, line) = (id(), "top-up first 1, second 1, dry 1, desk 1");
        let first = desk.begin(EAST, command, line);
        desk.until("the first item has its outcome", || {
            desk.record(command).is_some_and(|record| record.items[0].outcome.is_some())
        })
        .await;
        desk.kill(EAST);
        assert_eq!(first.await.code, Some(3));
        whole_store(&desk);
        let again = desk.give(WEST, command, line);
        assert_eq!(again.states(), [OutcomeState::Done; 4], "{again:?}");
        assert!(desk.record(command).unwrap().executor.turn > 0);
        let prepaid = ["first", "second", "dry", "desk"].map(|name| desk.account(name).prepaid.0);
        assert_eq!(prepaid, [1_000_001, 200_001, 501, 10_001]);
    });
}

/// An entry is paused while it makes an edit. Another takes the command up and makes it, and a second
/// operator changes the same field after that. The first entry wakes up and goes on: the later change
/// must not be undone.
#[test]
fn paused_executor() {
    smol::block_on(async {
        let desk = DeskFleet::start().await;
        slow_store(&desk, 200);
        let (command, line) = (id(), "set first weight 5");
        let paused = desk.begin(EAST, command, line);
        desk.until("the command is recorded", || desk.record(command).is_some()).await;
        desk.pause(EAST);
        whole_store(&desk);
        let taken_up = desk.give(WEST, command, line);
        assert_eq!(taken_up.states(), [OutcomeState::Done], "{taken_up:?}");
        let later = desk.line(WEST, "set first weight 7");
        assert_eq!(later.states(), [OutcomeState::Done], "{later:?}");
        desk.resume(EAST);
        let woken = paused.await;
        assert_eq!(woken.states(), [OutcomeState::Done], "{woken:?}");
        assert_eq!(weight(&desk, "first"), 7);
        let (key, version) = (
            branch_object_key(branch_shard(&"first".parse().unwrap())),
            later.outcomes()[0].version,
        );
        let held = desk.fleet.store.object(&key).unwrap();
        assert_eq!(Some(ConfigVersion(held.version.0)), version);
    });
}

/// An entry dies after its edit took effect and before it noted that; a second operator changes the field
/// after it. The first operator gives the command again: it must not undo the second one's change. An edit
/// that the dead entry surely didn't make is made.
#[test]
fn left_edits() {
    smol::block_on(async {
        let desk = DeskFleet::start().await;
        let (made, line) = (id(), "set first weight 5");
        leave_record(&desk, made, line, None).await;
        assert_eq!(desk.line(WEST, line).states(), [OutcomeState::Done]);
        assert_eq!(desk.line(WEST, "set first weight 7").states(), [OutcomeState::Done]);
        let again = desk.give(EAST, made, line);
        assert_eq!(again.states(), [OutcomeState::Unknown], "{again:?}");
        assert_eq!(weight(&desk, "first"), 7);

        let (not_made, line) = (id(), "set second weight 5");
        leave_record(&desk, not_made, line, None).await;
        assert_eq!(desk.give(EAST, not_made, line).states(), [OutcomeState::Done]);
        assert_eq!(weight(&desk, "second"), 5);
    });
}

/// An entry dies after its top-up took effect. So many later top-ups follow that the book no longer lists
/// it. Given again, it must not be added twice; one that surely wasn't added is.
#[test]
fn left_top_ups() {
    smol::block_on(async {
        let desk = DeskFleet::start().await;
        let branch: BranchName = "second".parse().unwrap();
        let newest = desk.account("second").commands.last().unwrap().command;
        let (made, line) = (id(), "top-up second 1000");
        leave_record(&desk, made, line, Some(newest)).await;
        change_book(&desk, "second", |book| {
            book.top_up(made, &branch, TokenCount(1000));
            for later in 1..=40 {
                book.top_up(CommandId(later), &branch, TokenCount(1));
            }
        })
        .await;
        let again = desk.give(EAST, made, line);
        assert_eq!(again.states(), [OutcomeState::Unknown], "{again:?}");
        assert_eq!(desk.account("second").prepaid, TokenCount(201_040));

        let (not_made, line) = (id(), "top-up second 500");
        leave_record(&desk, not_made, line, Some(CommandId(40))).await;
        change_book(&desk, "second", |book| {
            book.top_up(CommandId(41), &branch, TokenCount(1));
        })
        .await;
        assert_eq!(desk.give(EAST, not_made, line).states(), [OutcomeState::Done]);
        assert_eq!(desk.account("second").prepaid, TokenCount(201_541));
    });
}

/// A top-up is given again long after it was done, when its record was forgotten. It is refused, and so is
/// any other command with an id so old; new ones are done.
#[test]
fn forgotten_command() {
    smol::block_on(async {
        let desk = DeskFleet::start().await;
        let old = id();
        let floor = CommandFloor { highest: old };
        desk.fleet.objects.put(COMMAND_FLOOR_KEY, StoreRevision::ZERO, &floor).await.unwrap();
        let output = desk.give(EAST, old, "top-up first 5");
        assert_eq!(output.states(), [OutcomeState::Refused], "{output:?}");
        assert_eq!(desk.account("first").prepaid, TokenCount(1_000_000));
        let new = CommandId(old.0 + 1);
        assert_eq!(desk.give(EAST, new, "top-up first 5").states(), [OutcomeState::Done]);
        let ahead = CommandId(u128::MAX);
        assert_eq!(desk.give(EAST, ahead, "top-up first 5").fault().code, "id-from-the-future");
    });
}

/// An operator cancels a long command through another entry. The items that have not begun are not done,
/// and each item says truly whether it was.
#[test]
fn cancelled_command() {
    smol::block_on(async {
        let desk = DeskFleet::start().await;
        slow_store(&desk, 150);
        let (command, line) = (id(), "top-up first 1, second 1, dry 1, desk 1");
        let given = desk.begin(EAST, command, line);
        desk.until("the first item has its outcome", || {
            desk.record(command).is_some_and(|record| record.items[0].outcome.is_some())
        })
        .await;
        let cancelled = desk.line(WEST, &format!("cancel {command}"));
        assert_eq!(cancelled.states(), [OutcomeState::Done], "{cancelled:?}");
        let states = given.await.states();
        whole_store(&desk);
        assert_eq!(states[0], OutcomeState::Done);
        assert_eq!(states[3], OutcomeState::Cancelled);
        let before = [1_000_000, 200_000, 500, 10_000];
        for (place, branch) in ["first", "second", "dry", "desk"].into_iter().enumerate() {
            let added = desk.account(branch).prepaid.0 - before[place];
            assert_eq!(added == 1, states[place] == OutcomeState::Done, "{branch}: {states:?}");
        }
        let late = desk.line(EAST, &format!("cancel {command}"));
        assert_eq!(late.states(), [OutcomeState::Refused]);
        let AnswerBody::Commands(list) = desk.line(EAST, "commands").answer().answer else {
            panic!()
        };
        let row = list.rows.unwrap().into_iter().find(|row| row.command == command).unwrap();
        assert!(row.cancelled && row.ended == 4);
    });
}

/// The first entry that an operator names is gone, or hangs. The next one answers; a command isn't done
/// twice for it.
#[test]
fn next_entry() {
    smol::block_on(async {
        let mut desk = DeskFleet::start().await;
        desk.kill(EAST);
        let output = desk.run(&[EAST, WEST], &["top-up first 9"]);
        assert_eq!(output.states(), [OutcomeState::Done], "{output:?}");
        assert_eq!(desk.account("first").prepaid, TokenCount(1_000_009));
        let alone = desk.line(EAST, "members");
        assert_eq!((alone.code, alone.fault().code.as_str()), (Some(3), "no-answer"));
    });
}
