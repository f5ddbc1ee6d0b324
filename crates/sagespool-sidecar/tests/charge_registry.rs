//! The charge registry: which charges are opened, listed by a seal and reported.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use quickcheck::quickcheck;
use sagespool_messages::{ChargesDurable, ReservedCharge, SealRequest, SealScope};
use sagespool_sidecar::{
    ChargeOutcome, ChargeRefusal, ChargeRegistry, ChargeRequest, ReportPolicy,
};
use sagespool_types::{
    AttemptNumber, ChargeId, ClockTime, GrantId, IncarnationId, RequestId, SequenceNumber,
    StoreRevision, TokenCount,
};

const HOLDER: IncarnationId = IncarnationId(7);
const SUCCESSOR: IncarnationId = IncarnationId(8);
const GRANT: GrantId = GrantId { holder: HOLDER, number: 1 };
const NOW: ClockTime = ClockTime::from_millis(1000);

fn started_registry() -> ChargeRegistry {
    let registry = ChargeRegistry::new(IncarnationId(1), ReportPolicy::default());
    registry.set_started_at(StoreRevision(100));
    registry
}

fn charge(sequence: u64) -> ChargeId {
    ChargeId { grant: GRANT, sequence: SequenceNumber(sequence) }
}

fn request(sequence: u64, attempt: u32) -> ChargeRequest {
    ChargeRequest {
        reserved: ReservedCharge {
            charge: charge(sequence),
            grant_revision: StoreRevision(101),
            amount: TokenCount(50),
        },
        branch: "ruwi-bids".parse().unwrap(),
        request: RequestId(sequence.into()),
        key: None,
        attempt: AttemptNumber(attempt),
        non_idempotent: false,
    }
}

fn seal(scope: SealScope) -> SealRequest {
    SealRequest { grant: GRANT, scope, reporter: SUCCESSOR }
}

fn run(registry: &ChargeRegistry, sequence: u64, used: u64) {
    registry.open(&request(sequence, 1), NOW).unwrap();
    registry.update_used(charge(sequence), AttemptNumber(1), TokenCount(used));
    end(registry, sequence, false);
}

fn end(registry: &ChargeRegistry, sequence: u64, end_delivered: bool) {
    let outcome = ChargeOutcome { whole: true, end_delivered };
    registry.end_attempt(charge(sequence), AttemptNumber(1), outcome, NOW).unwrap();
}

fn after(millis: u64) -> ClockTime {
    NOW.after(Duration::from_millis(millis))
}

// A sidecar restarts while a home settles the grant of a crashed holder. The
// earlier incarnation may have run charges of the grant or answered a seal, and
// those records are lost. If the new one ran charges of the grant, the home would
// return tokens that are then spent, and the branch would exceed its budget.
#[test]
fn older_grants() {
    let registry = ChargeRegistry::new(IncarnationId(1), ReportPolicy::default());
    assert_eq!(registry.open(&request(1, 1), NOW), Err(ChargeRefusal::NotStarted));

    registry.set_started_at(StoreRevision(101));
    let refusal = registry.open(&request(1, 1), NOW).unwrap_err();
    let (granted, started) = (StoreRevision(101), StoreRevision(101));
    assert_eq!(refusal, ChargeRefusal::GrantTooOld { granted, started });

    registry.set_started_at(StoreRevision(5));
    assert_eq!(registry.started_at(), Some(StoreRevision(101)), "the first revision stays");
}

// A home crashes, and its successor seals the grant here and returns the charges
// that are not listed. An entry that was only paused then dispatches a charge of
// the grant. Running it would spend tokens that the successor has granted again.
#[test]
fn sealed_grant() {
    let registry = started_registry();
    run(&registry, 1, 20);
    registry.open(&request(2, 1), NOW).unwrap();
    registry.update_used(charge(2), AttemptNumber(1), TokenCount(11));

    let reply = registry.seal(&seal(SealScope::WholeGrant), NOW);
    let listed: Vec<_> = reply.charges.iter().map(|record| (record.used.0, record.ended)).collect();
    assert_eq!(listed, [(20, true), (11, false)]);
    assert_eq!(reply.started_at, Some(StoreRevision(100)));
    assert_eq!(registry.open(&request(3, 1), NOW), Err(ChargeRefusal::GrantSealed));
    assert_eq!(registry.open(&request(2, 2), NOW), Err(ChargeRefusal::GrantSealed));

    let unseen = started_registry();
    unseen.seal(&seal(SealScope::WholeGrant), NOW);
    unseen.evict_idle(after(1_000_000_000));
    assert_eq!(
        unseen.open(&request(3, 1), NOW),
        Err(ChargeRefusal::GrantSealed),
        "a seal is permanent"
    );
}

// An entry is suspected to have crashed while it is paused. Its home seals only
// the charges of that entry; other entries continue under the same grant.
#[test]
fn sealed_charges() {
    let registry = started_registry();
    let scope = SealScope::Charges(vec![SequenceNumber(1), SequenceNumber(2)]);
    registry.open(&request(2, 1), NOW).unwrap();
    assert_eq!(registry.seal(&seal(scope), NOW).charges.len(), 1);

    assert_eq!(registry.open(&request(1, 1), NOW), Err(ChargeRefusal::ChargeSealed));
    assert_eq!(registry.open(&request(3, 1), NOW), Ok(()));
}

// A dispatch arrives late, after a later attempt ran here, or after the charge was
// settled and its record dropped. Running it would use the engine twice for one
// charge.
#[test]
fn repeated_charge() {
    let registry = started_registry();
    run(&registry, 1, 5);
    let before = |attempt| Err(ChargeRefusal::AlreadyRun { attempt });
    assert_eq!(registry.open(&request(1, 1), NOW), before(Some(AttemptNumber(1))));
    assert_eq!(registry.open(&request(1, 2), NOW), Ok(()), "a later attempt may follow");
    assert_eq!(registry.open(&request(1, 1), NOW), before(Some(AttemptNumber(2))));

    run(&registry, 2, 5);
    registry.mark_durable(&ChargesDurable { charges: vec![charge(2)] }, NOW);
    assert_eq!(registry.open(&request(2, 2), NOW), before(None));
}

// A non-idempotent request has no key. Its entry loses the stream, wrongly treats
// the request as idempotent and dispatches attempt 2. The request must not run
// twice.
#[test]
fn non_idempotent_retry() {
    let registry = started_registry();
    let non_idempotent = |attempt| ChargeRequest { non_idempotent: true, ..request(1, attempt) };
    registry.open(&non_idempotent(1), NOW).unwrap();
    let refusal = ChargeRefusal::AlreadyRun { attempt: Some(AttemptNumber(1)) };
    assert_eq!(registry.open(&non_idempotent(2), NOW), Err(refusal));

    registry.withdraw(charge(1), AttemptNumber(1), NOW);
    assert_eq!(registry.open(&non_idempotent(2), NOW), Ok(()), "it did not run");
}

// The holder's replies are lost, or it writes its books late. A charge that is
// dropped before it is durable would never be billed.
#[test]
fn repeated_reports() {
    let registry = started_registry();
    run(&registry, 1, 20);
    registry.open(&request(2, 1), NOW).unwrap();
    assert!(registry.due_reports(after(249)).is_empty());

    let reports = registry.due_reports(after(250));
    assert_eq!(reports.len(), 1);
    let (to, report) = &reports[0];
    assert_eq!((*to, report.charges.len()), (HOLDER, 1), "running charges are not reported");
    assert!(registry.due_reports(after(251)).is_empty(), "not repeated at once");
    assert_eq!(registry.due_reports(after(2250)).len(), 1);
    assert!(registry.due_reports(after(4250)).is_empty(), "the delay doubles");
    assert_eq!(registry.unsettled_count(), 1);

    registry.mark_durable(&ChargesDurable { charges: vec![charge(1), charge(9)] }, NOW);
    assert_eq!(registry.unsettled_count(), 0);
    assert!(registry.due_reports(after(1_000_000)).is_empty());
}

// An entry crashes after it has received the end of an answer, before it reports to the home. The
// home would hold the reservation until the request is overdue and refuse other requests, so the
// sidecar must report the charge as well.
#[test]
fn delivered_end() {
    let registry = started_registry();
    registry.open(&request(1, 1), NOW).unwrap();
    end(&registry, 1, true);
    assert!(registry.due_reports(after(5999)).is_empty(), "the home settles first");
    let reports = registry.due_reports(after(6000));
    assert_eq!((reports.len(), reports[0].1.charges.len()), (1, 1));
}

// The holder of a grant crashes before charges were reported. Its successor seals
// the grant and must get the reports, or the charges stay in doubt.
#[test]
fn reports_to_successor() {
    let registry = started_registry();
    run(&registry, 1, 20);
    registry.due_reports(after(250));
    registry.seal(&seal(SealScope::WholeGrant), after(300));
    let reports = registry.due_reports(after(550));
    assert_eq!(reports.len(), 1);
    assert_eq!(reports[0].0, SUCCESSOR);
}

// A seal lists an attempt that is still connecting, and the upstream then refuses
// the connection. If the record were removed, the home that sealed would never
// get the end of the attempt.
#[test]
fn withdrawn_when_sealed() {
    let registry = started_registry();
    registry.open(&request(1, 1), NOW).unwrap();
    registry.open(&request(2, 1), NOW).unwrap();
    registry.withdraw(charge(2), AttemptNumber(1), NOW);
    assert_eq!(registry.seal(&seal(SealScope::WholeGrant), NOW).charges.len(), 1);

    registry.withdraw(charge(1), AttemptNumber(1), NOW);
    let reports = registry.due_reports(after(250));
    let record = &reports[0].1.charges[0];
    assert_eq!((record.used, record.ended), (TokenCount::ZERO, true));
}

quickcheck! {
    // In any order of opens and a seal, each charge is either listed by the seal
    // or refused afterwards.
    fn listed_or_refused(sequences: Vec<u8>, sealed_after: usize) -> bool {
        let registry = started_registry();
        let split = sealed_after % (sequences.len() + 1);
        let (before, later) = sequences.split_at(split);
        for sequence in before {
            let _ = registry.open(&request((*sequence).into(), 1), NOW);
        }
        let reply = registry.seal(&seal(SealScope::WholeGrant), NOW);
        let is_listed = |sequence: &u8| {
            reply.charges.iter().any(|record| record.charge == charge((*sequence).into()))
        };
        let none_starts = later.iter().all(|s| registry.open(&request((*s).into(), 2), NOW).is_err());
        before.iter().all(is_listed) && none_starts
    }
}
