//! The witness's book: what may start, what is listed, what is reported.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use quickcheck::quickcheck;
use sagespool_messages::{ChargesDurable, ReservedCharge, SealRequest, SealScope};
use sagespool_sidecar::{ChargeBook, ChargeEnding, ChargeRefusal, ChargeWish, ReportPolicy};
use sagespool_types::{
    AttemptNumber, ChargeId, ClockTime, GrantId, IncarnationId, RequestId, SequenceNumber,
    StoreRevision, TokenCount,
};

const HOLDER: IncarnationId = IncarnationId(7);
const HEIR: IncarnationId = IncarnationId(8);
const GRANT: GrantId = GrantId { holder: HOLDER, number: 1 };
const NOW: ClockTime = ClockTime::from_millis(1000);

fn started_book() -> ChargeBook {
    let book = ChargeBook::new(IncarnationId(1), ReportPolicy::default());
    book.started(StoreRevision(100));
    book
}

fn charge(sequence: u64) -> ChargeId {
    ChargeId { grant: GRANT, sequence: SequenceNumber(sequence) }
}

fn wish(sequence: u64, attempt: u32) -> ChargeWish {
    ChargeWish {
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
    SealRequest { grant: GRANT, scope, reporter: HEIR }
}

fn run(book: &ChargeBook, sequence: u64, used: u64) {
    book.open(&wish(sequence, 1), NOW).unwrap();
    book.update(charge(sequence), AttemptNumber(1), TokenCount(used));
    end(book, sequence, false);
}

fn end(book: &ChargeBook, sequence: u64, heard: bool) {
    let ending = ChargeEnding { whole: true, heard };
    book.end(charge(sequence), AttemptNumber(1), ending, NOW).unwrap();
}

fn after(millis: u64) -> ClockTime {
    NOW.after(Duration::from_millis(millis))
}

// A sidecar restarts while a home settles a dead holder's grant. Its
// predecessor may have run charges of the grant, or answered a seal; the new
// incarnation knows of neither. If it ran the grant's charges, the home would
// give tokens back that are then spent: the branch goes over its budget.
#[test]
fn older_grants() {
    let book = ChargeBook::new(IncarnationId(1), ReportPolicy::default());
    assert_eq!(book.open(&wish(1, 1), NOW), Err(ChargeRefusal::NotStarted));

    book.started(StoreRevision(101));
    let refusal = book.open(&wish(1, 1), NOW).unwrap_err();
    let (granted, started) = (StoreRevision(101), StoreRevision(101));
    assert_eq!(refusal, ChargeRefusal::GrantTooOld { granted, started });

    book.started(StoreRevision(5));
    assert_eq!(book.started_at(), Some(StoreRevision(101)), "the first revision stays");
}

// A home dies, its heir seals the grant here and gives back what isn't listed.
// Then the dead home's entry, only paused, sends a charge of it. Running it
// would spend tokens that the heir has granted anew.
#[test]
fn sealed_grant() {
    let book = started_book();
    run(&book, 1, 20);
    book.open(&wish(2, 1), NOW).unwrap();
    book.update(charge(2), AttemptNumber(1), TokenCount(11));

    let reply = book.seal(&seal(SealScope::WholeGrant), NOW);
    let listed: Vec<_> = reply.charges.iter().map(|record| (record.used.0, record.ended)).collect();
    assert_eq!(listed, [(20, true), (11, false)]);
    assert_eq!(reply.started_at, Some(StoreRevision(100)));
    assert_eq!(book.open(&wish(3, 1), NOW), Err(ChargeRefusal::GrantSealed));
    assert_eq!(book.open(&wish(2, 2), NOW), Err(ChargeRefusal::GrantSealed));

    let unseen = started_book();
    unseen.seal(&seal(SealScope::WholeGrant), NOW);
    unseen.forget_idle(after(1_000_000_000));
    assert_eq!(unseen.open(&wish(3, 1), NOW), Err(ChargeRefusal::GrantSealed), "for ever");
}

// An entry is believed dead while paused. Its home asks the sidecars about its
// charges only; other entries go on under the same grant.
#[test]
fn sealed_charges() {
    let book = started_book();
    let scope = SealScope::Charges(vec![SequenceNumber(1), SequenceNumber(2)]);
    book.open(&wish(2, 1), NOW).unwrap();
    assert_eq!(book.seal(&seal(scope), NOW).charges.len(), 1);

    assert_eq!(book.open(&wish(1, 1), NOW), Err(ChargeRefusal::ChargeSealed));
    assert_eq!(book.open(&wish(3, 1), NOW), Ok(()));
}

// A dispatch is delivered late, after a second attempt was made elsewhere and
// came back here, or after the charge was settled and forgotten. Running it
// again would use the engine twice for one charge.
#[test]
fn repeated_charge() {
    let book = started_book();
    run(&book, 1, 5);
    let before = |attempt| Err(ChargeRefusal::RunBefore { attempt });
    assert_eq!(book.open(&wish(1, 1), NOW), before(Some(AttemptNumber(1))));
    assert_eq!(book.open(&wish(1, 2), NOW), Ok(()), "a later attempt may follow");
    assert_eq!(book.open(&wish(1, 1), NOW), before(Some(AttemptNumber(2))));

    run(&book, 2, 5);
    book.durable(&ChargesDurable { charges: vec![charge(2)] }, NOW);
    assert_eq!(book.open(&wish(2, 2), NOW), before(None));
}

// A non-idempotent request has no key. Its entry loses the stream, wrongly
// takes it for idempotent and sends attempt 2: a letter would go out twice.
#[test]
fn one_run() {
    let book = started_book();
    let letter = |attempt| ChargeWish { non_idempotent: true, ..wish(1, attempt) };
    book.open(&letter(1), NOW).unwrap();
    let refusal = ChargeRefusal::RunBefore { attempt: Some(AttemptNumber(1)) };
    assert_eq!(book.open(&letter(2), NOW), Err(refusal));

    book.withdraw(charge(1), AttemptNumber(1), NOW);
    assert_eq!(book.open(&letter(2), NOW), Ok(()), "it surely did not run");
}

// The holder's answers are lost, or it writes its books late. A charge that
// is forgotten before the store has it would never be billed.
#[test]
fn reports_repeat() {
    let book = started_book();
    run(&book, 1, 20);
    book.open(&wish(2, 1), NOW).unwrap();
    assert!(book.due(after(249)).is_empty());

    let reports = book.due(after(250));
    assert_eq!(reports.len(), 1);
    let (to, report) = &reports[0];
    assert_eq!((*to, report.charges.len()), (HOLDER, 1), "running charges aren't reported");
    assert!(book.due(after(251)).is_empty(), "not at once again");
    assert_eq!(book.due(after(2250)).len(), 1);
    assert!(book.due(after(4250)).is_empty(), "ever more seldom");
    assert_eq!(book.unsettled(), 1);

    book.durable(&ChargesDurable { charges: vec![charge(1), charge(9)] }, NOW);
    assert_eq!(book.unsettled(), 0);
    assert!(book.due(after(1_000_000)).is_empty());
}

// An entry dies with the word of a charge's end. Its home would hold the reservation until the
// request is overdue, and refuse others for it: the sidecar's own report comes all the same.
#[test]
fn heard_end() {
    let book = started_book();
    book.open(&wish(1, 1), NOW).unwrap();
    end(&book, 1, true);
    assert!(book.due(after(5999)).is_empty(), "the home settles first");
    let reports = book.due(after(6000));
    assert_eq!((reports.len(), reports[0].1.charges.len()), (1, 1));
}

// The holder of a grant dies with charges unreported. Its heir seals the grant
// and must hear of them, or they stay in doubt for ever.
#[test]
fn heir_hears() {
    let book = started_book();
    run(&book, 1, 20);
    book.due(after(250));
    book.seal(&seal(SealScope::WholeGrant), after(300));
    let reports = book.due(after(550));
    assert_eq!(reports.len(), 1);
    assert_eq!(reports[0].0, HEIR);
}

// A seal lists an attempt that is still connecting. The upstream refuses the
// connection, so it did not run. If its record vanished, whoever sealed would
// wait for its end for ever.
#[test]
fn withdrawn_when_sealed() {
    let book = started_book();
    book.open(&wish(1, 1), NOW).unwrap();
    book.open(&wish(2, 1), NOW).unwrap();
    book.withdraw(charge(2), AttemptNumber(1), NOW);
    assert_eq!(book.seal(&seal(SealScope::WholeGrant), NOW).charges.len(), 1);

    book.withdraw(charge(1), AttemptNumber(1), NOW);
    let reports = book.due(after(250));
    let record = &reports[0].1.charges[0];
    assert_eq!((record.used, record.ended), (TokenCount::ZERO, true));
}

quickcheck! {
    // Whatever order opens and a seal come in, each charge is either listed by
    // the seal or refused from then on: there is no third way to spend.
    fn listed_or_refused(sequences: Vec<u8>, sealed_after: usize) -> bool {
        let book = started_book();
        let place = sealed_after % (sequences.len() + 1);
        let (before, later) = sequences.split_at(place);
        for sequence in before {
            let _ = book.open(&wish((*sequence).into(), 1), NOW);
        }
        let reply = book.seal(&seal(SealScope::WholeGrant), NOW);
        let is_listed = |sequence: &u8| {
            reply.charges.iter().any(|record| record.charge == charge((*sequence).into()))
        };
        let none_starts = later.iter().all(|s| book.open(&wish((*s).into(), 2), NOW).is_err());
        before.iter().all(is_listed) && none_starts
    }
}
