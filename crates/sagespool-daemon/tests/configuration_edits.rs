//! Operators' edits of the configuration, and which members have applied them.

#![allow(clippy::unwrap_used)]

mod operator;

use operator::{EAST, OperatorHarness, WEST, configuration};
use sagespool_operations::OutcomeState;
use sagespool_types::TokenCount;

/// A change is accepted while one sidecar is paused. The answer lists it as not known to have applied
/// the change. After it resumes, all members have applied the change.
#[test]
fn not_in_force() {
    smol::block_on(async {
        let harness = OperatorHarness::start().await;
        let sidecar = harness.member_index("engines-1-sidecar");
        harness.pause(sidecar);
        let output = harness.send_line(WEST, "set class normal limit running 500");
        assert_eq!(output.states(), [OutcomeState::Done], "{output:?}");
        let in_force = output.command().in_force.unwrap();
        assert_eq!(in_force.entries.as_ref().unwrap().members.len(), 2);
        let not_known: Vec<String> =
            in_force.not_known().map(|other| other.member.instance.to_string()).collect();
        assert_eq!(not_known, ["engines-1-sidecar"]);
        harness.resume(sidecar);
        harness
            .wait_until("all members have applied it", || {
                let answer = configuration(&harness, EAST, "configuration");
                answer.in_force.not_known().next().is_none()
            })
            .await;
    });
}

#[test]
fn whole_configuration() {
    smol::block_on(async {
        let harness = OperatorHarness::start().await;
        let hash = sagespool_types::SecretHash::of("a new key");
        let created =
            harness.send_line(EAST, &format!("create branch dhofar key-hash {hash} weight 3"));
        assert_eq!(created.states(), [OutcomeState::Done], "{created:?}");
        assert!(created.command().in_force.unwrap().not_known().next().is_none());
        assert_eq!(harness.send_line(WEST, "top-up dhofar 700").states(), [OutcomeState::Done]);
        assert_eq!(harness.account("dhofar").prepaid, TokenCount(700));
        let as_branch = harness.run_as("a new key", &[WEST], &["spend"]);
        assert_eq!(as_branch.fault().code, "not-an-operator");
        let table = [
            (format!("add key first {hash}"), OutcomeState::Refused, "branch `dhofar` has too"),
            ("set frist weight 3".to_owned(), OutcomeState::Refused, "there is no branch `frist`"),
            ("top-up frist 3".to_owned(), OutcomeState::Refused, "there is no branch `frist`"),
            ("hold-back first nope 3".to_owned(), OutcomeState::Refused, "would not be valid"),
            (
                "revoke key desk 425e1928".to_owned(),
                OutcomeState::Refused,
                "last key of an operator",
            ),
            ("hold-back first quick 3".to_owned(), OutcomeState::Done, "accepted"),
            ("hold-back first quick 3".to_owned(), OutcomeState::Already, "was so already"),
            (format!("revoke key dhofar {hash}"), OutcomeState::Done, "accepted"),
        ];
        for (line, state, message) in table {
            let output = harness.send_line(EAST, &line);
            let outcome = &output.outcomes()[0];
            assert_eq!(outcome.state, state, "{line}: {outcome:?}");
            assert!(outcome.message.contains(message), "{line}: {outcome:?}");
        }
        let revoked = harness.run_as("a new key", &[WEST], &["spend"]);
        assert_eq!(revoked.fault().code, "unknown-key");
    });
}
