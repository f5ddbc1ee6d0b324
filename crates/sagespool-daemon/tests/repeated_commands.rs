//! Commands that are repeated, taken over, cancelled or pruned: each takes effect at most once.

#![allow(clippy::unwrap_used)]

mod operator;

use operator::{
    EAST, OperatorHarness, WEST, clear_store_faults, delay_store, new_id, update_book, weight,
    write_unfinished_record,
};
use sagespool_operations::{AnswerBody, COMMAND_FLOOR_KEY, CommandFloor, OutcomeState};
use sagespool_settings::{branch_object_key, branch_shard};
use sagespool_testkit::StoreFaults;
use sagespool_types::{BranchName, CommandId, ConfigVersion, StoreRevision, TokenCount};

/// The store loses half of its responses after the writes took effect, and an operator sends each
/// top-up through both entries at once, and again later. Each is added once.
#[test]
fn lost_answers() {
    smol::block_on(async {
        let harness = OperatorHarness::start().await;
        let faults = StoreFaults::builder().lose_answer_share(0.5).build();
        harness.fleet.store.set_faults(faults);
        let commands: Vec<CommandId> = (0..6).map(|_| new_id()).collect();
        for command in &commands {
            let east = harness.start_command(EAST, *command, "top-up second 10");
            let west = harness.start_command(WEST, *command, "top-up second 10");
            for output in [east.await, west.await] {
                assert_eq!(output.states(), [OutcomeState::Done], "{output:?}");
            }
        }
        clear_store_faults(&harness);
        for command in &commands {
            let again = harness.send_command(WEST, *command, "top-up second 10");
            assert_eq!(again.states(), [OutcomeState::Done]);
            assert!(again.command().repeated);
        }
        assert_eq!(harness.account("second").prepaid, TokenCount(200_060));
        let other = harness.send_command(EAST, commands[0], "top-up second 11");
        assert_eq!(other.fault().code, "id-in-use");
    });
}

/// An entry dies during a command. The operator sends the command again through another entry:
/// completed items aren't repeated, and the others are done.
#[test]
fn dead_executor() {
    smol::block_on(async {
        let mut harness = OperatorHarness::start().await;
        delay_store(&harness, 150);
        let (command, line) = (new_id(), "top-up first 1, second 1, dry 1, desk 1");
        let first = harness.start_command(EAST, command, line);
        harness
            .wait_until("the first item has its outcome", || {
                harness
                    .command_record(command)
                    .is_some_and(|record| record.items[0].outcome.is_some())
            })
            .await;
        harness.kill(EAST);
        assert_eq!(first.await.code, Some(3));
        clear_store_faults(&harness);
        let again = harness.send_command(WEST, command, line);
        assert_eq!(again.states(), [OutcomeState::Done; 4], "{again:?}");
        assert!(harness.command_record(command).unwrap().executor.turn > 0);
        let prepaid =
            ["first", "second", "dry", "desk"].map(|name| harness.account(name).prepaid.0);
        assert_eq!(prepaid, [1_000_001, 200_001, 501, 10_001]);
    });
}

/// An entry is paused during an edit. Another entry takes the command over and completes it, and a
/// second operator changes the same field after that. The first entry resumes: it must not undo the
/// later change.
#[test]
fn paused_executor() {
    smol::block_on(async {
        let harness = OperatorHarness::start().await;
        delay_store(&harness, 200);
        let (command, line) = (new_id(), "set first weight 5");
        let paused = harness.start_command(EAST, command, line);
        harness
            .wait_until("the command is recorded", || harness.command_record(command).is_some())
            .await;
        harness.pause(EAST);
        clear_store_faults(&harness);
        let taken_over = harness.send_command(WEST, command, line);
        assert_eq!(taken_over.states(), [OutcomeState::Done], "{taken_over:?}");
        let later = harness.send_line(WEST, "set first weight 7");
        assert_eq!(later.states(), [OutcomeState::Done], "{later:?}");
        harness.resume(EAST);
        let resumed = paused.await;
        assert_eq!(resumed.states(), [OutcomeState::Done], "{resumed:?}");
        assert_eq!(weight(&harness, "first"), 7);
        let (key, version) = (
            branch_object_key(branch_shard(&"first".parse().unwrap())),
            later.outcomes()[0].version,
        );
        let held = harness.fleet.store.object(&key).unwrap();
        assert_eq!(Some(ConfigVersion(held.version.0)), version);
    });
}

/// An entry dies after its edit took effect and before it recorded the outcome, and a second operator
/// changes the field. The first operator repeats the command: it must not undo the second change. An
/// edit that the dead entry certainly didn't make is made.
#[test]
fn left_edits() {
    smol::block_on(async {
        let harness = OperatorHarness::start().await;
        let (made, line) = (new_id(), "set first weight 5");
        write_unfinished_record(&harness, made, line, None).await;
        assert_eq!(harness.send_line(WEST, line).states(), [OutcomeState::Done]);
        assert_eq!(harness.send_line(WEST, "set first weight 7").states(), [OutcomeState::Done]);
        let again = harness.send_command(EAST, made, line);
        assert_eq!(again.states(), [OutcomeState::Unknown], "{again:?}");
        assert_eq!(weight(&harness, "first"), 7);

        let (not_made, line) = (new_id(), "set second weight 5");
        write_unfinished_record(&harness, not_made, line, None).await;
        assert_eq!(harness.send_command(EAST, not_made, line).states(), [OutcomeState::Done]);
        assert_eq!(weight(&harness, "second"), 5);
    });
}

/// An entry dies after its top-up took effect. So many later top-ups follow that the book no longer
/// lists it. Repeated, it must not be added twice; one that certainly wasn't added is added.
#[test]
fn left_top_ups() {
    smol::block_on(async {
        let harness = OperatorHarness::start().await;
        let branch: BranchName = "second".parse().unwrap();
        let newest = harness.account("second").commands.last().unwrap().command;
        let (made, line) = (new_id(), "top-up second 1000");
        write_unfinished_record(&harness, made, line, Some(newest)).await;
        update_book(&harness, "second", |book| {
            book.top_up(made, &branch, TokenCount(1000));
            for later in 1..=40 {
                book.top_up(CommandId(later), &branch, TokenCount(1));
            }
        })
        .await;
        let again = harness.send_command(EAST, made, line);
        assert_eq!(again.states(), [OutcomeState::Unknown], "{again:?}");
        assert_eq!(harness.account("second").prepaid, TokenCount(201_040));

        let (not_made, line) = (new_id(), "top-up second 500");
        write_unfinished_record(&harness, not_made, line, Some(CommandId(40))).await;
        update_book(&harness, "second", |book| {
            book.top_up(CommandId(41), &branch, TokenCount(1));
        })
        .await;
        assert_eq!(harness.send_command(EAST, not_made, line).states(), [OutcomeState::Done]);
        assert_eq!(harness.account("second").prepaid, TokenCount(201_541));
    });
}

/// A top-up is repeated long after it was done, when its record has been pruned. It is refused, like
/// any other command with an id as old; newer ones are done.
#[test]
fn forgotten_command() {
    smol::block_on(async {
        let harness = OperatorHarness::start().await;
        let old = new_id();
        let floor = CommandFloor { highest: old };
        harness.fleet.objects.put(COMMAND_FLOOR_KEY, StoreRevision::ZERO, &floor).await.unwrap();
        let output = harness.send_command(EAST, old, "top-up first 5");
        assert_eq!(output.states(), [OutcomeState::Refused], "{output:?}");
        assert_eq!(harness.account("first").prepaid, TokenCount(1_000_000));
        let new = CommandId(old.0 + 1);
        assert_eq!(
            harness.send_command(EAST, new, "top-up first 5").states(),
            [OutcomeState::Done]
        );
        let ahead = CommandId(u128::MAX);
        assert_eq!(
            harness.send_command(EAST, ahead, "top-up first 5").fault().code,
            "id-from-the-future"
        );
    });
}

/// An operator cancels a long command through another entry. Items that haven't begun aren't done,
/// and the state of each item is correct.
#[test]
fn cancelled_command() {
    smol::block_on(async {
        let harness = OperatorHarness::start().await;
        delay_store(&harness, 150);
        let (command, line) = (new_id(), "top-up first 1, second 1, dry 1, desk 1");
        let given = harness.start_command(EAST, command, line);
        harness
            .wait_until("the first item has its outcome", || {
                harness
                    .command_record(command)
                    .is_some_and(|record| record.items[0].outcome.is_some())
            })
            .await;
        let cancelled = harness.send_line(WEST, &format!("cancel {command}"));
        assert_eq!(cancelled.states(), [OutcomeState::Done], "{cancelled:?}");
        let states = given.await.states();
        clear_store_faults(&harness);
        assert_eq!(states[0], OutcomeState::Done);
        assert_eq!(states[3], OutcomeState::Cancelled);
        let before = [1_000_000, 200_000, 500, 10_000];
        for (index, branch) in ["first", "second", "dry", "desk"].into_iter().enumerate() {
            let added = harness.account(branch).prepaid.0 - before[index];
            assert_eq!(added == 1, states[index] == OutcomeState::Done, "{branch}: {states:?}");
        }
        let late = harness.send_line(EAST, &format!("cancel {command}"));
        assert_eq!(late.states(), [OutcomeState::Refused]);
        let AnswerBody::Commands(list) = harness.send_line(EAST, "commands").answer().answer else {
            panic!()
        };
        let row = list.rows.unwrap().into_iter().find(|row| row.command == command).unwrap();
        assert!(row.cancelled && row.ended == 4);
    });
}

/// The first entry in the operator's list is down. The next one answers, and a command isn't done
/// twice.
#[test]
fn next_entry() {
    smol::block_on(async {
        let mut harness = OperatorHarness::start().await;
        harness.kill(EAST);
        let output = harness.run(&[EAST, WEST], &["top-up first 9"]);
        assert_eq!(output.states(), [OutcomeState::Done], "{output:?}");
        assert_eq!(harness.account("first").prepaid, TokenCount(1_000_009));
        let alone = harness.send_line(EAST, "members");
        assert_eq!((alone.code, alone.fault().code.as_str()), (Some(3), "no-answer"));
    });
}
