//! Operators release tokens in doubt and lift quarantined contents.

#![allow(clippy::unwrap_used)]

mod operator;

use std::collections::BTreeSet;

use operator::{EAST, OperatorHarness, WEST, new_id, update_book};
use sagespool_claims::{CrashNote, QUARANTINE_KEY, QuarantineRecord};
use sagespool_ledger::GrantRecord;
use sagespool_operations::{AnswerBody, OutcomeState};
use sagespool_types::{
    AttemptNumber, BranchName, ContentDigest, CrashWeight, GrantId, IncarnationId, RequestId,
    StoreRevision, TokenCount, WallTime,
};

/// Tokens are in doubt because a sidecar was lost. They count as spent, the answer to `spend` lists
/// their grant, and an operator releases them exactly once, even if the command is repeated.
#[test]
fn released_tokens() {
    smol::block_on(async {
        let harness = OperatorHarness::start().await;
        let branch: BranchName = "second".parse().unwrap();
        let grant = GrantId { holder: IncarnationId(0xdead), number: 4 };
        let lost: GrantRecord = serde_json::from_value(serde_json::json!({
            "amount": 900, "settled": 100, "charges": [[0, 3]], "asked_at": 1,
            "sealed_by": IncarnationId(1), "in_doubt": true
        }))
        .unwrap();
        update_book(&harness, "second", |book| {
            let account = book.branches.get_mut(&branch).unwrap();
            account.grants.insert(grant, lost.clone());
        })
        .await;
        let row = harness.send_line(WEST, "spend second").spend().rows.remove(0);
        let book = row.book.unwrap();
        assert_eq!((book.in_doubt, book.settled), (TokenCount(800), TokenCount(100)));
        assert_eq!(book.free, TokenCount(199_100));
        assert_eq!((row.spent.least, row.spent.most), (TokenCount(100), Some(TokenCount(900))));
        assert_eq!(row.in_doubt_grants[0].grant, grant);
        let command = new_id();
        let line = format!("release second {grant}");
        for entry in [EAST, WEST] {
            let output = harness.send_command(entry, command, &line);
            assert_eq!(output.outcomes()[0].tokens, Some(TokenCount(800)), "{output:?}");
        }
        let free =
            harness.send_line(EAST, "spend second").spend().rows.remove(0).book.unwrap().free;
        assert_eq!(free, TokenCount(199_900));
        assert_eq!(harness.send_line(EAST, &line).states(), [OutcomeState::Refused]);
    });
}

#[test]
fn lifted_content() {
    smol::block_on(async {
        let harness = OperatorHarness::start().await;
        let content = ContentDigest(0xabc);
        let mut record = QuarantineRecord::default();
        let note = |number| CrashNote {
            request: RequestId(number),
            attempt: AttemptNumber(1),
            upstream: "engines-1".parse().unwrap(),
            weight: CrashWeight::FULL,
            company: BTreeSet::new(),
        };
        record.stop(content, &[note(1), note(2)].into(), WallTime(5));
        harness.fleet.objects.put(QUARANTINE_KEY, StoreRevision::ZERO, &record).await.unwrap();
        let stopped = || {
            let AnswerBody::Quarantine(answer) =
                harness.send_line(WEST, "quarantine").answer().answer
            else {
                panic!()
            };
            answer.rows.unwrap()
        };
        assert_eq!(stopped()[0].content, content);
        let line = format!("lift {content}, {}", ContentDigest(0xdef));
        let output = harness.send_line(EAST, &line);
        assert_eq!(output.states(), [OutcomeState::Done, OutcomeState::Refused], "{output:?}");
        assert!(stopped().is_empty());
        assert_eq!(harness.send_line(WEST, &line).states()[0], OutcomeState::Already);
    });
}
