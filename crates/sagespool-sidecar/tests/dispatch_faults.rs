//! What becomes of a dispatch when something fails, at a real dispatcher
//! beside a stand-in of its upstream.

#![allow(clippy::unwrap_used)]

mod bench;

use std::sync::Arc;
use std::time::Duration;

use bench::*;
use sagespool_messages::{
    AttachRequest, CancelRequest, DispatchEnd, DispatchRequest, FinishReason, SealRequest,
    SealScope, UpstreamKind,
};
use sagespool_sidecar::{Dispatcher, UpstreamHealth, UpstreamSample};
use sagespool_testkit::{FailureShares, RunEnd, ServiceOptions, ServiceStand, answer_text};
use sagespool_types::{
    AttemptNumber, ClockTime, ContentDigest, IncarnationId, KeyDigest, RefusalReason, RequestId,
    RunState, StoreRevision, TokenCount, TokenRate,
};
use smol::block_on;

fn service(failures: FailureShares) -> ServiceStand {
    let name = "portal-1".parse().unwrap();
    let options = ServiceOptions::builder().name(name).failures(failures).restart_after(None);
    ServiceStand::start(options.build()).unwrap()
}

fn attach(key: u128) -> AttachRequest {
    AttachRequest {
        request: RequestId(99),
        key: KeyDigest(key),
        content: ContentDigest(50),
        time_left: Duration::from_secs(10),
    }
}

/// How a refusal reads: that the grant is of no use, or a reason.
#[derive(Debug, PartialEq)]
enum ToldRefusal {
    Grant,
    Reason(RefusalReason, RunState),
}

fn told(end: &DispatchEnd) -> Option<ToldRefusal> {
    match end {
        DispatchEnd::GrantUnusable(_) => Some(ToldRefusal::Grant),
        DispatchEnd::Refused(notice) => Some(ToldRefusal::Reason(notice.reason, notice.run_state)),
        _ => None,
    }
}

type RefusalCase = (&'static str, fn(&Arc<Dispatcher>, &mut DispatchRequest), ToldRefusal);

fn refusal_cases() -> Vec<RefusalCase> {
    let not_run = |reason| ToldRefusal::Reason(reason, RunState::NotRun);
    vec![
        (
            "sealed grant",
            |dispatcher, _| assert!(charges(dispatcher).is_empty()),
            ToldRefusal::Grant,
        ),
        (
            "sealed charge",
            |dispatcher, request| {
                let scope = SealScope::Charges(vec![request.reserved.charge.sequence]);
                let seal = SealRequest { grant: GRANT, scope, reporter: IncarnationId(8) };
                dispatcher.charges().seal(&seal, ClockTime::now());
            },
            ToldRefusal::Grant,
        ),
        (
            "grant older than the sidecar",
            |_, request| request.reserved.grant_revision = StoreRevision(100),
            ToldRefusal::Grant,
        ),
        (
            "another incarnation meant",
            |_, request| request.sidecar = IncarnationId(2),
            not_run(RefusalReason::NoUpstream),
        ),
        ("leaving", |dispatcher, _| dispatcher.leave(), not_run(RefusalReason::Leaving)),
        (
            "drained",
            |dispatcher, _| dispatcher.load().set_drained(true),
            not_run(RefusalReason::Leaving),
        ),
        (
            "deadline passed",
            |_, request| request.time_left = Duration::ZERO,
            not_run(RefusalReason::DeadlineExceeded),
        ),
        (
            "prompt over the reservation",
            |_, request| request.reserved.amount = TokenCount(6),
            not_run(RefusalReason::LimitReached),
        ),
        (
            "call of another kind",
            |_, request| request.target = letter(1).target,
            not_run(RefusalReason::NoUpstream),
        ),
        (
            "key of other content",
            |dispatcher, request| {
                block_on(run(dispatcher, keyed(9, 5)));
                request.key = Some(KeyDigest(5));
                request.content = ContentDigest(51);
            },
            not_run(RefusalReason::KeyReused),
        ),
        (
            "key of another request",
            |dispatcher, request| {
                block_on(run(dispatcher, keyed(9, 5)));
                request.key = Some(KeyDigest(5));
            },
            ToldRefusal::Reason(RefusalReason::OutcomeUnknown, RunState::Unknown),
        ),
    ]
}

// Whatever is wrong with a dispatch, the engine must not see it: what was
// told as not run, or will be paid from another grant, would run all the same.
#[test]
fn refused_dispatches() {
    for (case, spoil, wanted) in refusal_cases() {
        let engine = engine(|_| {});
        let dispatcher = beside(&engine);
        let mut request = completion(1);
        spoil(&dispatcher, &mut request);
        let name = request.request.to_string();
        let end = block_on(run(&dispatcher, request)).end;
        assert_eq!(told(&end), Some(wanted), "{case}");
        let runs = engine.witness().runs();
        assert!(runs.iter().all(|run| run.start.request.as_ref() != Some(&name)), "{case}");
        block_on(dispatcher.finished());
    }
}

// A sidecar has started while the store is out of reach. It can't tell which
// grants its predecessor saw sealed, so it runs none, and says that it isn't
// ready rather than that the grant is bad.
#[test]
fn store_unreached() {
    let engine = engine(|_| {});
    let dispatcher = unstarted(engine.address(), UpstreamKind::Engine);
    let end = block_on(run(&dispatcher, completion(1))).end;
    let not_ready = ToldRefusal::Reason(RefusalReason::NotReady, RunState::NotRun);
    assert_eq!(told(&end), Some(not_ready));
    assert!(engine.witness().runs().is_empty());
}

#[test]
fn whole_answer() {
    let engine = engine(|_| {});
    let dispatcher = beside(&engine);
    let answer = block_on(run(&dispatcher, completion(1)));
    assert_eq!(answer.text(), answer_text(MODEL, PROMPT, ANSWER_TOKENS));
    let DispatchEnd::Whole { charge, stop: FinishReason::Stop } = answer.end else {
        panic!("{:?}", answer.end);
    };
    assert_eq!(charge.used, TokenCount((PROMPT_TOKENS + ANSWER_TOKENS).into()));
    assert_eq!(charges(&dispatcher), [charge]);
}

// An answer is longer than what its branch could reserve. Each token beyond
// would be spend without budget, at the engine as in the bill.
#[test]
fn reservation_cut() {
    for (case, resume) in [("from the start", 0), ("resumed", 3)] {
        let engine = engine(|_| {});
        let dispatcher = beside(&engine);
        let mut request = resumed(completion(1), resume);
        request.reserved.amount = TokenCount(12);
        let answer = block_on(run(&dispatcher, request));
        let DispatchEnd::Whole { charge, stop: FinishReason::Length } = answer.end else {
            panic!("{case}: {:?}", answer.end);
        };
        assert_eq!(charge.used, TokenCount(12), "{case}");
        assert_eq!(answer.first_at, Some(resume), "{case}");
        block_on(dispatcher.finished());
        let made = engine.witness().runs()[0].produced;
        assert_eq!(made, TokenCount(5 - u64::from(resume)), "{case}");
    }
}

// An engine dies under a request that has its first tokens. The entry has to
// hear that the engine went down, so that it can tell a request that kills
// engines from bad luck, and what ran, so that it is not billed twice.
#[test]
fn engine_crash() {
    let engine = slow_engine();
    let dispatcher = beside(&engine);
    block_on(async {
        let mut reader = dispatch(&dispatcher, completion(1)).await;
        first_piece(&mut reader).await;
        engine.crash();
        let end = read(&mut reader).await.end;
        let DispatchEnd::Broken { ran: Some(charge), crashed: true, .. } = end else {
            panic!("{end:?}");
        };
        assert_eq!(charge.used, TokenCount(u64::from(PROMPT_TOKENS) + 1));
        assert!(charge.ended && !charge.whole);
        assert!(!dispatcher.load().is_healthy());
    });
}

// An engine that supervises itself is back before anyone asks whether it is
// down. Its load counts from the beginning again, which gives it away.
#[test]
fn quick_restart() {
    let engine = slow_engine();
    let dispatcher = beside(&engine);
    block_on(async {
        let mut reader = dispatch(&dispatcher, completion(1)).await;
        first_piece(&mut reader).await;
        let mut load = dispatcher.upstream().load().await.unwrap();
        load.number += 1;
        let health = UpstreamHealth::Well;
        dispatcher.load().observe(UpstreamSample { health, load: Some(load) });
        engine.crash();
        engine.restart().unwrap();
        let end = read(&mut reader).await.end;
        assert!(matches!(end, DispatchEnd::Broken { ran: Some(_), crashed: true, .. }), "{end:?}");
    });
}

// The engine is down, or takes nothing on: the request surely did not run, may
// go elsewhere, and leaves no charge that anyone would wait for.
#[test]
fn surely_not_run() {
    let down = engine(|_| {});
    down.crash();
    let full = engine(|options| {
        options.capacity = 1;
        options.queue_limit = 0;
        options.token_rate = TokenRate(1);
    });
    let other_model = engine(|options| options.models = vec!["clause-3b".parse().unwrap()]);
    for (case, engine, wanted_crash) in
        [("down", down, true), ("full", full, false), ("other model", other_model, false)]
    {
        let dispatcher = beside(&engine);
        let filler = beside(&engine);
        block_on(async {
            let mut first = dispatch(&filler, completion(9)).await;
            if case == "full" {
                first_piece(&mut first).await;
            }
            let end = run(&dispatcher, completion(1)).await.end;
            let DispatchEnd::Broken { ran: None, crashed, .. } = end else {
                panic!("{case}: {end:?}");
            };
            assert_eq!(crashed, wanted_crash, "{case}");
            assert!(charges(&dispatcher).is_empty(), "{case}");
        });
    }
}

// A caller without a key closes its page. Nobody can come back for the answer,
// so each token more is its branch's money and another branch's slot.
#[test]
fn asker_gone() {
    let engine = slow_engine();
    let dispatcher = beside(&engine);
    block_on(async {
        let mut reader = dispatch(&dispatcher, completion(1)).await;
        first_piece(&mut reader).await;
        drop(reader);
        dispatcher.finished().await;
    });
    let run = &engine.witness().runs()[0];
    assert!(matches!(run.ended, Some((RunEnd::Cancelled | RunEnd::Dropped, _))), "{run:?}");
    assert_eq!(engine.load_now().running, 0);
    let record = &charges(&dispatcher)[0];
    assert_eq!((record.used.0, record.ended), (u64::from(PROMPT_TOKENS) + 1, true));
}

// A caller's entry dies, and the caller comes back with its key through
// another one. The answer must be there, whole, and have run once.
#[test]
fn keyed_asker_gone() {
    let engine = engine(|options| options.token_rate = TokenRate(200));
    let dispatcher = beside(&engine);
    let answer = block_on(async {
        let mut reader = dispatch(&dispatcher, keyed(1, 5)).await;
        first_piece(&mut reader).await;
        drop(reader);
        dispatcher.finished().await;
        read(&mut dispatcher.attach(&attach(5))).await
    });
    assert_eq!(answer.text(), answer_text(MODEL, PROMPT, ANSWER_TOKENS));
    assert!(matches!(answer.end, DispatchEnd::Whole { .. }));
    assert_eq!(engine.witness().runs().len(), 1);
}

// A second sidecar goes on where the first one's engine broke off. Who attaches
// there wants the whole answer, not the second half.
#[test]
fn resumed_attach() {
    let engine = engine(|_| {});
    let dispatcher = beside(&engine);
    let own = block_on(run(&dispatcher, resumed(keyed(1, 5), 8)));
    assert_eq!(own.first_at, Some(8));
    let attached = block_on(read(&mut dispatcher.attach(&attach(5))));
    assert_eq!(attached.text(), answer_text(MODEL, PROMPT, ANSWER_TOKENS));
}

// An entry gives a request up, with a key or without: the engine must be free
// of it, and what ran is billed.
#[test]
fn cancelled() {
    for request in [completion(1), keyed(1, 5)] {
        let engine = slow_engine();
        let dispatcher = beside(&engine);
        block_on(async {
            let mut reader = dispatch(&dispatcher, request).await;
            first_piece(&mut reader).await;
            let (request, attempt) = (RequestId(1), AttemptNumber(1));
            dispatcher.cancel(&CancelRequest { request, attempt });
            let end = read(&mut reader).await.end;
            assert!(matches!(end, DispatchEnd::Cancelled { ran: Some(_) }), "{end:?}");
            dispatcher.finished().await;
        });
        assert_eq!(engine.load_now().running, 0);
    }
}

// Someone else cancels the request at the engine, which then closes the stream
// in good order. Passed on as an end, half an answer would count as whole.
#[test]
fn cancelled_at_engine() {
    let engine = slow_engine();
    let dispatcher = beside(&engine);
    block_on(async {
        let mut reader = dispatch(&dispatcher, completion(1)).await;
        first_piece(&mut reader).await;
        assert!(dispatcher.upstream().cancel(RequestId(1), AttemptNumber(1)).await);
        let end = read(&mut reader).await.end;
        assert!(matches!(end, DispatchEnd::Broken { crashed: false, .. }), "{end:?}");
    });
}

// An engine stops answering, before or after its first token. At the deadline
// the entry must hear of it, and of what ran.
#[test]
fn deadline_passes() {
    for frozen in [true, false] {
        let engine = slow_engine();
        engine.freeze(frozen);
        let dispatcher = beside(&engine);
        let request = DispatchRequest { time_left: Duration::from_millis(200), ..completion(1) };
        let end = block_on(run(&dispatcher, request)).end;
        let DispatchEnd::Cancelled { ran: Some(charge) } = end else { panic!("{end:?}") };
        assert_eq!(charge.used == TokenCount::ZERO, frozen);
        engine.freeze(false);
        block_on(dispatcher.finished());
        block_on(eventually(|| engine.witness().running().is_empty()));
    }
}

// An entry loses its stream and sends the dispatch again. A second run would
// be paid by nobody; with a key, the entry gets the running answer instead.
#[test]
fn sent_twice() {
    let engine = engine(|_| {});
    let dispatcher = beside(&engine);
    block_on(async {
        let first = run(&dispatcher, keyed(1, 5)).await;
        let again = run(&dispatcher, keyed(1, 5)).await;
        assert_eq!((first.data, first.end), (again.data, again.end));

        run(&dispatcher, completion(2)).await;
        let end = run(&dispatcher, completion(2)).await.end;
        let unknown = ToldRefusal::Reason(RefusalReason::OutcomeUnknown, RunState::Unknown);
        assert_eq!(told(&end), Some(unknown), "it ran, so it can't be called not run");
    });
    assert_eq!(engine.witness().runs().len(), 2);
}

// An entry believes its first attempt lost and sends a second to the same
// sidecar. Both would run; and the cancel of the first, which names only the
// request, would end the second. So the second waits for that cancel.
#[test]
fn superseded_attempt() {
    block_on(async {
        let engine = HeldEngine::start().await;
        let dispatcher = dispatcher(engine.address, UpstreamKind::Engine);
        let mut first = dispatch(&dispatcher, completion(1)).await;
        first_piece(&mut first).await;
        let second = DispatchRequest { attempt: AttemptNumber(2), ..completion(1) };
        let second = {
            let dispatcher = dispatcher.clone();
            smol::spawn(async move { dispatch(&dispatcher, second).await })
        };
        let end = read(&mut first).await.end;
        assert!(matches!(end, DispatchEnd::Cancelled { ran: Some(_) }), "{end:?}");
        for other in 2..5 {
            // While others run, the second would have the time to.
            first_piece(&mut dispatch(&dispatcher, keyed(other, other.into())).await).await;
        }
        engine.let_cancel.send(()).await.unwrap();
        first_piece(&mut second.await).await;
        let asked = engine.asked();
        let second_at = asked.iter().position(|note| note == "run 2");
        assert!(second_at > asked.iter().position(|note| note == "cancelled 1"), "{asked:?}");
    });
}

// A clarification letter goes out and the answer is lost on its way. "Not run"
// would bring a second letter to the ministry; so would a second dispatch.
#[test]
fn lost_letter() {
    let service = service(FailureShares { before_running: 0.0, after_running: 1.0 });
    let dispatcher = dispatcher(service.address(), UpstreamKind::Service);
    block_on(async {
        let end = run(&dispatcher, letter(1)).await.end;
        let DispatchEnd::Broken { ran: Some(charge), crashed: false, .. } = end else {
            panic!("{end:?}");
        };
        assert_eq!(charge.used, TokenCount(30));
        let again = DispatchRequest { attempt: AttemptNumber(2), ..letter(1) };
        let unknown = ToldRefusal::Reason(RefusalReason::OutcomeUnknown, RunState::Unknown);
        assert_eq!(told(&run(&dispatcher, again).await.end), Some(unknown));
    });
    assert_eq!(service.witness().runs().len(), 1);
}

// The service is down: the letter surely did not go out, and may go elsewhere.
#[test]
fn unsent_letter() {
    let service = service(FailureShares::default());
    let dispatcher = dispatcher(service.address(), UpstreamKind::Service);
    service.crash();
    let end = block_on(run(&dispatcher, letter(1))).end;
    assert!(matches!(end, DispatchEnd::Broken { ran: None, crashed: true, .. }), "{end:?}");

    service.restart().unwrap();
    let again = DispatchRequest { attempt: AttemptNumber(2), ..letter(1) };
    let answer = block_on(run(&dispatcher, again));
    assert!(matches!(answer.end, DispatchEnd::Whole { .. }), "{:?}", answer.end);
    assert_eq!(answer.status, Some(200));
    let wanted = sagespool_testkit::service_answer("/letters?kind=clarification", b"Sirs,");
    assert_eq!(answer.text(), wanted);
    assert_eq!(charges(&dispatcher)[0].used, TokenCount(30));
}

// A sidecar must end while a request still runs. Its entry has to hear so at
// once and what ran, to go on elsewhere, and the engine has to be free.
#[test]
fn sidecar_stops() {
    let engine = slow_engine();
    let dispatcher = beside(&engine);
    block_on(async {
        let mut reader = dispatch(&dispatcher, completion(1)).await;
        first_piece(&mut reader).await;
        dispatcher.leave();
        assert_eq!(dispatcher.stop_running(), 1);
        let end = read(&mut reader).await.end;
        assert!(matches!(end, DispatchEnd::Broken { ran: Some(_), crashed: false, .. }), "{end:?}");
        dispatcher.finished().await;
    });
    assert_eq!(engine.load_now().running, 0);
}
