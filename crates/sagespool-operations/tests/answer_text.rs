//! Answers as rendered text and as JSON.

#![allow(clippy::unwrap_used)]

use sagespool_messages::{MemberInfo, MemberRole};
use sagespool_operations::{
    AnswerBasis, AnswerBody, BookFigures, CommandAnswer, CommandState, CommandSummary,
    CommandsAnswer, ConfigMember, ConfigRollout, GrantInDoubt, HelpAnswer, ItemAnswer, ItemOutcome,
    MemberLabel, OperatorAnswer, OutcomeState, RequiredVersions, RoleRollout, SilentMember,
    SpendAnswer, SpendRow, StoreBasis, TokenRange, config_rollout, render_answer,
};
use sagespool_types::{
    CommandId, ConfigVersion, IncarnationId, InstanceCapacity, StoreRevision, TokenCount, WallTime,
};

fn label(instance: &str, role: MemberRole) -> MemberLabel {
    MemberLabel { instance: instance.parse().unwrap(), incarnation: IncarnationId(1), role }
}

fn basis() -> AnswerBasis {
    let entry = label("entry-1", MemberRole::Entry);
    let member = label("entry-2", MemberRole::Entry);
    AnswerBasis {
        entry: entry.clone(),
        from: WallTime(1_700_000_000_000),
        to: WallTime(1_700_000_000_012),
        store: StoreBasis::Read { revision: StoreRevision(812) },
        answered: vec![entry],
        silent: vec![SilentMember { member, why: "no answer within 1 s".to_owned() }],
        notes: vec!["a note".to_owned()],
    }
}

fn spend() -> OperatorAnswer {
    let book = BookFigures {
        version: StoreRevision(800),
        prepaid: TokenCount(120_000),
        settled: TokenCount(41_200),
        granted: TokenCount(20_000),
        in_doubt: TokenCount(700),
        free: TokenCount(58_100),
    };
    let known = SpendRow {
        branch: "ruwi-bids".parse().unwrap(),
        book: Some(book),
        running: TokenRange::exactly(TokenCount(3000)),
        spent: TokenRange { least: TokenCount(41_650), most: Some(TokenCount(44_900)) },
        in_doubt_grants: vec![GrantInDoubt {
            grant: "00c0ffee00c0ffee-7".parse().unwrap(),
            tokens: TokenCount(700),
        }],
    };
    let unknown = SpendRow {
        branch: "sohar".parse().unwrap(),
        book: None,
        running: TokenRange::at_least(TokenCount(0)),
        spent: TokenRange::at_least(TokenCount(12)),
        in_doubt_grants: Vec::new(),
    };
    let answer = SpendAnswer { rows: vec![known, unknown], left_out: 3 };
    OperatorAnswer { basis: basis(), answer: AnswerBody::Spend(answer) }
}

#[test]
fn spend_table() {
    let text = render_answer(&spend());
    let wanted = "\
branch     prepaid  settled  granted  in doubt   free    running           spent
ruwi-bids   120000    41200    20000       700  58100       3000  41650 to 44900
sohar            -        -        -         -      -  0 or more      12 or more
in doubt: 700 of ruwi-bids under grant 00c0ffee00c0ffee-7
3 more branches; name the ones to show

compiled by entry entry-1 from 2023-11-14T22:13:20.000Z within 12 ms
store read at revision 812
answered: 1 of 2 members
no answer: entry entry-2 (no answer within 1 s)
note: a note";
    assert_eq!(text, wanted, "\n{text}");
}

#[test]
fn json_answer() {
    let answer = spend();
    let value = serde_json::to_value(&answer).unwrap();
    assert_eq!(value["answer"]["kind"], "spend");
    assert_eq!(value["answer"]["rows"][0]["spent"]["least"], 41_650);
    assert_eq!(value["basis"]["store"]["read"]["revision"], 812);
    assert_eq!(serde_json::from_value::<OperatorAnswer>(value).unwrap(), answer);
}

#[test]
fn command_text() {
    let item = |text: &str, outcome| ItemAnswer { item: text.to_owned(), outcome };
    let refused = ItemOutcome::builder()
        .state(OutcomeState::Refused)
        .message("there is no branch `b`")
        .nearest("bb".to_owned())
        .build();
    let answer = CommandAnswer {
        command: CommandId(7),
        line: "top-up a 1, b 2, c 3".to_owned(),
        by: "desk".parse().unwrap(),
        at: WallTime(1),
        state: sagespool_operations::CommandState::Running,
        repeated: true,
        cancelled: false,
        items: vec![
            item("top-up a 1", Some(ItemOutcome::new(OutcomeState::Done, "1 added"))),
            item("top-up b 2", Some(refused)),
            item("top-up c 3", None),
        ],
        in_force: Some(ConfigRollout {
            entries: Some(RoleRollout {
                version: ConfigVersion(9),
                members: vec![label("entry-1", MemberRole::Entry)],
                not_known: vec![ConfigMember {
                    member: label("entry-2", MemberRole::Entry),
                    version: ConfigVersion(8),
                }],
            }),
            sidecars: None,
        }),
    };
    assert!(!answer.is_success());
    let text =
        render_answer(&OperatorAnswer { basis: basis(), answer: AnswerBody::Command(answer) });
    let wanted = "\
command 00000000000000000000000000000007: running, submitted before
top-up a 1: done, 1 added
top-up b 2: refused, there is no branch `b`; did you mean `bb`?
top-up c 3: not finished yet
version 9 is applied at 1 of 2 entries
not reported as applied: entry entry-2 (at version 8)
";
    assert!(text.starts_with(wanted), "\n{text}");
}

/// A command has ended and one of its two items was refused: the list shows that only one succeeded.
#[test]
fn command_list() {
    let row = CommandSummary {
        command: CommandId(7),
        line: "top-up a 1, b 2".to_owned(),
        by: "desk".parse().unwrap(),
        at: WallTime(1_700_000_000_000),
        state: CommandState::Ended,
        cancelled: false,
        ended: 2,
        good: 1,
        items: 2,
    };
    let answer = AnswerBody::Commands(CommandsAnswer { rows: Some(vec![row]) });
    let text = render_answer(&OperatorAnswer { basis: basis(), answer });
    let words: Vec<_> =
        text.lines().map(|line| line.split_whitespace().collect::<Vec<_>>()).collect();
    assert_eq!(words[0], ["command", "at", "by", "state", "items", "succeeded", "line"]);
    assert_eq!(words[1][3..], ["ended", "2", "of", "2", "1", "top-up", "a", "1,", "b", "2"]);
}

/// Guards against reporting a change of classes as applied at a sidecar that hasn't applied it. That
/// happens if the sidecar's version is compared with the version of the newest branch object, which
/// sidecars don't follow.
#[test]
fn rollout_by_role() {
    let member = |instance: &str, role, config| MemberInfo {
        instance: instance.parse().unwrap(),
        incarnation: IncarnationId(1),
        number: 1,
        role,
        region: "muscat".parse().unwrap(),
        centre: "ghala".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        leaving: false,
        config: ConfigVersion(config),
        started_at: None,
        serves: None,
        capacity: InstanceCapacity::default(),
    };
    let members = [
        member("entry-1", MemberRole::Entry, 9),
        member("entry-2", MemberRole::Entry, 8),
        member("sidecar-1", MemberRole::Sidecar, 7),
        member("sidecar-2", MemberRole::Sidecar, 6),
    ];
    let versions = |entries, sidecars: Option<u64>| RequiredVersions {
        entries: Some(ConfigVersion(entries)),
        sidecars: sidecars.map(ConfigVersion),
    };
    let names = |found: &ConfigRollout| {
        found.not_known().map(|other| other.member.instance.to_string()).collect::<Vec<_>>()
    };
    let all = config_rollout(versions(9, Some(7)), &members);
    assert_eq!(names(&all), ["entry-2", "sidecar-2"]);
    let branch_only = config_rollout(versions(8, None), &members);
    assert!(names(&branch_only).is_empty() && branch_only.sidecars.is_none());
}

#[test]
fn help_text() {
    let answer = AnswerBody::Help(HelpAnswer::about(Some("drain")));
    let text = render_answer(&OperatorAnswer { basis: basis(), answer });
    assert!(text.starts_with("drain UPSTREAM|INSTANCE"), "{text}");
    assert_eq!(text.lines().count(), 2);
}
