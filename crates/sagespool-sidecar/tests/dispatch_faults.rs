//! Outcomes of dispatches under failures, with a real dispatcher and a simulated
//! upstream.

#![allow(clippy::unwrap_used)]

mod harness;

use std::sync::Arc;
use std::time::Duration;

use harness::*;
use sagespool_messages::{
    AttachRequest, CancelRequest, DispatchEnd, DispatchRequest, FinishReason, SealRequest,
    SealScope, UpstreamKind,
};
use sagespool_sidecar::{Dispatcher, UpstreamHealth, UpstreamSample};
use sagespool_testkit::{FailureShares, FakeService, RunEnd, ServiceOptions, answer_text};
use sagespool_types::{
    AttemptNumber, ClockTime, ContentDigest, IncarnationId, KeyDigest, RefusalReason, RequestId,
    RunState, StoreRevision, TokenCount, TokenRate,
};
use smol::block_on;

fn service(failures: FailureShares) -> FakeService {
    let name = "portal-1".parse().unwrap();
    let options = ServiceOptions::builder().name(name).failures(failures).restart_after(None);
    FakeService::start(options.build()).unwrap()
}

fn attach(key: u128) -> AttachRequest {
    AttachRequest {
        request: RequestId(99),
        key: KeyDigest(key),
        content: ContentDigest(50),
        time_left: Duration::from_secs(10),
    }
}

/// A refusal as the requester receives it.
#[derive(Debug, PartialEq)]
enum ReceivedRefusal {
    Grant,
    Reason(RefusalReason, RunState),
}

fn refusal_of(end: &DispatchEnd) -> Option<ReceivedRefusal> {
    match end {
        DispatchEnd::GrantUnusable(_) => Some(ReceivedRefusal::Grant),
        DispatchEnd::Refused(notice) => {
            Some(ReceivedRefusal::Reason(notice.reason, notice.run_state))
        }
        _ => None,
    }
}

type RefusalCase = (&'static str, fn(&Arc<Dispatcher>, &mut DispatchRequest), ReceivedRefusal);

fn refusal_cases() -> Vec<RefusalCase> {
    let not_run = |reason| ReceivedRefusal::Reason(reason, RunState::NotRun);
    vec![
        (
            "sealed grant",
            |dispatcher, _| assert!(charges(dispatcher).is_empty()),
            ReceivedRefusal::Grant,
        ),
        (
            "sealed charge",
            |dispatcher, request| {
                let scope = SealScope::Charges(vec![request.reserved.charge.sequence]);
                let seal = SealRequest { grant: GRANT, scope, reporter: IncarnationId(8) };
                dispatcher.charges().seal(&seal, ClockTime::now());
            },
            ReceivedRefusal::Grant,
        ),
        (
            "grant older than the sidecar",
            |_, request| request.reserved.grant_revision = StoreRevision(100),
            ReceivedRefusal::Grant,
        ),
        (
            "addressed to another incarnation",
            |_, request| request.sidecar = IncarnationId(2),
            not_run(RefusalReason::NoUpstream),
        ),
        ("leaving", |dispatcher, _| dispatcher.set_leaving(), not_run(RefusalReason::Leaving)),
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
            "prompt exceeds the reservation",
            |_, request| request.reserved.amount = TokenCount(6),
            not_run(RefusalReason::LimitReached),
        ),
        (
            "another kind of upstream",
            |_, request| request.target = service_call(1).target,
            not_run(RefusalReason::NoUpstream),
        ),
        (
            "key with other content",
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
            ReceivedRefusal::Reason(RefusalReason::OutcomeUnknown, RunState::Unknown),
        ),
    ]
}

// A refused dispatch must not reach the engine. A request that was reported as not
// run, or that is charged to another grant on retry, would run nonetheless.
#[test]
fn refused_dispatches() {
    for (case, alter, expected) in refusal_cases() {
        let engine = engine(|_| {});
        let dispatcher = dispatcher_at(&engine);
        let mut request = completion(1);
        alter(&dispatcher, &mut request);
        let name = request.request.to_string();
        let end = block_on(run(&dispatcher, request)).end;
        assert_eq!(refusal_of(&end), Some(expected), "{case}");
        let runs = engine.run_log().runs();
        assert!(runs.iter().all(|run| run.start.request.as_ref() != Some(&name)), "{case}");
        block_on(dispatcher.wait_until_idle());
    }
}

// A sidecar starts while the store is unreachable. Grants may have been sealed at
// its earlier incarnation, so it must run none, and must refuse with `NotReady`
// rather than report the grant as unusable.
#[test]
fn store_unreachable() {
    let engine = engine(|_| {});
    let dispatcher = unstarted(engine.address(), UpstreamKind::Engine);
    let end = block_on(run(&dispatcher, completion(1))).end;
    let not_ready = ReceivedRefusal::Reason(RefusalReason::NotReady, RunState::NotRun);
    assert_eq!(refusal_of(&end), Some(not_ready));
    assert!(engine.run_log().runs().is_empty());
}

#[test]
fn whole_answer() {
    let engine = engine(|_| {});
    let dispatcher = dispatcher_at(&engine);
    let answer = block_on(run(&dispatcher, completion(1)));
    assert_eq!(answer.text(), answer_text(MODEL, PROMPT, ANSWER_TOKENS));
    let DispatchEnd::Whole { charge, stop: FinishReason::Stop } = answer.end else {
        panic!("{:?}", answer.end);
    };
    assert_eq!(charge.used, TokenCount((PROMPT_TOKENS + ANSWER_TOKENS).into()));
    assert_eq!(charges(&dispatcher), [charge]);
}

// An answer is longer than the reservation. Further tokens have no budget, so
// neither the engine may produce them nor may they be charged.
#[test]
fn reservation_limit() {
    for (case, resume) in [("from the start", 0), ("resumed", 3)] {
        let engine = engine(|_| {});
        let dispatcher = dispatcher_at(&engine);
        let mut request = resumed(completion(1), resume);
        request.reserved.amount = TokenCount(12);
        let answer = block_on(run(&dispatcher, request));
        let DispatchEnd::Whole { charge, stop: FinishReason::Length } = answer.end else {
            panic!("{case}: {:?}", answer.end);
        };
        assert_eq!(charge.used, TokenCount(12), "{case}");
        assert_eq!(answer.first_at, Some(resume), "{case}");
        block_on(dispatcher.wait_until_idle());
        let made = engine.run_log().runs()[0].produced;
        assert_eq!(made, TokenCount(5 - u64::from(resume)), "{case}");
    }
}

// An engine crashes after the first tokens of a request. The entry must learn that
// the engine went down, to detect requests that crash engines, and what ran, so
// that it is not billed twice.
#[test]
fn engine_crash() {
    let engine = slow_engine();
    let dispatcher = dispatcher_at(&engine);
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

// A supervised engine restarts before the sidecar probes it. Its load reports are
// numbered from the beginning again, which must be detected as a crash.
#[test]
fn quick_restart() {
    let engine = slow_engine();
    let dispatcher = dispatcher_at(&engine);
    block_on(async {
        let mut reader = dispatch(&dispatcher, completion(1)).await;
        first_piece(&mut reader).await;
        let mut load = dispatcher.upstream().load().await.unwrap();
        load.number += 1;
        let health = UpstreamHealth::Healthy;
        dispatcher.load().observe(UpstreamSample { health, load: Some(load) });
        engine.crash();
        engine.restart().unwrap();
        let end = read(&mut reader).await.end;
        assert!(matches!(end, DispatchEnd::Broken { ran: Some(_), crashed: true, .. }), "{end:?}");
    });
}

// The engine is down or declines the request. The request certainly did not run,
// can be dispatched elsewhere, and must leave no charge behind.
#[test]
fn certainly_not_run() {
    let down = engine(|_| {});
    down.crash();
    let full = engine(|options| {
        options.capacity = 1;
        options.queue_limit = 0;
        options.token_rate = TokenRate(1);
    });
    let other_model = engine(|options| options.models = vec!["clause-3b".parse().unwrap()]);
    for (case, engine, expected_crash) in
        [("down", down, true), ("full", full, false), ("other model", other_model, false)]
    {
        let dispatcher = dispatcher_at(&engine);
        let filler = dispatcher_at(&engine);
        block_on(async {
            let mut first = dispatch(&filler, completion(9)).await;
            if case == "full" {
                first_piece(&mut first).await;
            }
            let end = run(&dispatcher, completion(1)).await.end;
            let DispatchEnd::Broken { ran: None, crashed, .. } = end else {
                panic!("{case}: {end:?}");
            };
            assert_eq!(crashed, expected_crash, "{case}");
            assert!(charges(&dispatcher).is_empty(), "{case}");
        });
    }
}

// A caller without a key disconnects. No caller can attach to the answer, so
// further tokens would waste the branch's budget and an engine slot.
#[test]
fn requester_gone() {
    let engine = slow_engine();
    let dispatcher = dispatcher_at(&engine);
    block_on(async {
        let mut reader = dispatch(&dispatcher, completion(1)).await;
        first_piece(&mut reader).await;
        drop(reader);
        dispatcher.wait_until_idle().await;
    });
    let run = &engine.run_log().runs()[0];
    assert!(matches!(run.ended, Some((RunEnd::Cancelled | RunEnd::Dropped, _))), "{run:?}");
    assert_eq!(engine.current_load().running, 0);
    let record = &charges(&dispatcher)[0];
    assert_eq!((record.used.0, record.ended), (u64::from(PROMPT_TOKENS) + 1, true));
}

// An entry crashes, and the caller reconnects with its key through another one.
// The answer must be available and complete, and the request must have run once.
#[test]
fn keyed_requester_gone() {
    let engine = engine(|options| options.token_rate = TokenRate(200));
    let dispatcher = dispatcher_at(&engine);
    let answer = block_on(async {
        let mut reader = dispatch(&dispatcher, keyed(1, 5)).await;
        first_piece(&mut reader).await;
        drop(reader);
        dispatcher.wait_until_idle().await;
        read(&mut dispatcher.attach(&attach(5))).await
    });
    assert_eq!(answer.text(), answer_text(MODEL, PROMPT, ANSWER_TOKENS));
    assert!(matches!(answer.end, DispatchEnd::Whole { .. }));
    assert_eq!(engine.run_log().runs().len(), 1);
}

// A second sidecar resumes an answer after the first one's engine failed. Callers
// that attach there must get the whole answer, not only its second part.
#[test]
fn resumed_attach() {
    let engine = engine(|_| {});
    let dispatcher = dispatcher_at(&engine);
    let own = block_on(run(&dispatcher, resumed(keyed(1, 5), 8)));
    assert_eq!(own.first_at, Some(8));
    let attached = block_on(read(&mut dispatcher.attach(&attach(5))));
    assert_eq!(attached.text(), answer_text(MODEL, PROMPT, ANSWER_TOKENS));
}

// An entry cancels a request, with a key or without. The engine must release it,
// and what ran is billed.
#[test]
fn cancelled() {
    for request in [completion(1), keyed(1, 5)] {
        let engine = slow_engine();
        let dispatcher = dispatcher_at(&engine);
        block_on(async {
            let mut reader = dispatch(&dispatcher, request).await;
            first_piece(&mut reader).await;
            let (request, attempt) = (RequestId(1), AttemptNumber(1));
            dispatcher.cancel(&CancelRequest { request, attempt });
            let end = read(&mut reader).await.end;
            assert!(matches!(end, DispatchEnd::Cancelled { ran: Some(_) }), "{end:?}");
            dispatcher.wait_until_idle().await;
        });
        assert_eq!(engine.current_load().running, 0);
    }
}

// Another client cancels the request at the engine, which then closes the stream
// regularly. An incomplete answer must not count as complete.
#[test]
fn cancelled_at_engine() {
    let engine = slow_engine();
    let dispatcher = dispatcher_at(&engine);
    block_on(async {
        let mut reader = dispatch(&dispatcher, completion(1)).await;
        first_piece(&mut reader).await;
        assert!(dispatcher.upstream().cancel(RequestId(1), AttemptNumber(1)).await);
        let end = read(&mut reader).await.end;
        assert!(matches!(end, DispatchEnd::Broken { crashed: false, .. }), "{end:?}");
    });
}

// An engine stops answering, before or after its first token. At the deadline the
// entry must get the end of the attempt and the charge.
#[test]
fn deadline_passes() {
    for frozen in [true, false] {
        let engine = slow_engine();
        engine.set_frozen(frozen);
        let dispatcher = dispatcher_at(&engine);
        let request = DispatchRequest { time_left: Duration::from_millis(200), ..completion(1) };
        let end = block_on(run(&dispatcher, request)).end;
        let DispatchEnd::Cancelled { ran: Some(charge) } = end else { panic!("{end:?}") };
        assert_eq!(charge.used == TokenCount::ZERO, frozen);
        engine.set_frozen(false);
        block_on(dispatcher.wait_until_idle());
        block_on(eventually(|| engine.run_log().running().is_empty()));
    }
}

// An entry loses its stream and sends the dispatch again. A second run would have
// no budget; with a key, the entry must get the known answer instead.
#[test]
fn sent_twice() {
    let engine = engine(|_| {});
    let dispatcher = dispatcher_at(&engine);
    block_on(async {
        let first = run(&dispatcher, keyed(1, 5)).await;
        let again = run(&dispatcher, keyed(1, 5)).await;
        assert_eq!((first.data, first.end), (again.data, again.end));

        run(&dispatcher, completion(2)).await;
        let end = run(&dispatcher, completion(2)).await.end;
        let unknown = ReceivedRefusal::Reason(RefusalReason::OutcomeUnknown, RunState::Unknown);
        assert_eq!(
            refusal_of(&end),
            Some(unknown),
            "it ran, so it must not be reported as not run"
        );
    });
    assert_eq!(engine.run_log().runs().len(), 2);
}

// An entry assumes that its first attempt was lost and sends a second one to the
// same sidecar. Both would run, and cancelling the first, which names only the
// request, would cancel the second. The second must wait for that cancel call.
#[test]
fn superseded_attempt() {
    block_on(async {
        let engine = StalledEngine::start().await;
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
            // Gives a second attempt that does not wait the time to run.
            first_piece(&mut dispatch(&dispatcher, keyed(other, other.into())).await).await;
        }
        engine.allow_cancel.send(()).await.unwrap();
        first_piece(&mut second.await).await;
        let calls = engine.calls();
        let second_at = calls.iter().position(|call| call == "run 2");
        assert!(second_at > calls.iter().position(|call| call == "cancelled 1"), "{calls:?}");
    });
}

// A non-idempotent call runs and its answer is lost. It must not be reported as not
// run, and a second dispatch must be refused, or the call would run twice.
#[test]
fn lost_answer() {
    let service = service(FailureShares { before_running: 0.0, after_running: 1.0 });
    let dispatcher = dispatcher(service.address(), UpstreamKind::Service);
    block_on(async {
        let end = run(&dispatcher, service_call(1)).await.end;
        let DispatchEnd::Broken { ran: Some(charge), crashed: false, .. } = end else {
            panic!("{end:?}");
        };
        assert_eq!(charge.used, TokenCount(30));
        let again = DispatchRequest { attempt: AttemptNumber(2), ..service_call(1) };
        let unknown = ReceivedRefusal::Reason(RefusalReason::OutcomeUnknown, RunState::Unknown);
        assert_eq!(refusal_of(&run(&dispatcher, again).await.end), Some(unknown));
    });
    assert_eq!(service.run_log().runs().len(), 1);
}

// The service is down. The call certainly did not run and may be retried.
#[test]
fn unsent_call() {
    let service = service(FailureShares::default());
    let dispatcher = dispatcher(service.address(), UpstreamKind::Service);
    service.crash();
    let end = block_on(run(&dispatcher, service_call(1))).end;
    assert!(matches!(end, DispatchEnd::Broken { ran: None, crashed: true, .. }), "{end:?}");

    service.restart().unwrap();
    let again = DispatchRequest { attempt: AttemptNumber(2), ..service_call(1) };
    let answer = block_on(run(&dispatcher, again));
    assert!(matches!(answer.end, DispatchEnd::Whole { .. }), "{:?}", answer.end);
    assert_eq!(answer.status, Some(200));
    let expected = sagespool_testkit::service_answer("/letters?kind=clarification", b"Sirs,");
    assert_eq!(answer.text(), expected);
    assert_eq!(charges(&dispatcher)[0].used, TokenCount(30));
}

// A sidecar stops while a request is running. Its entry must get the end and the
// charge at once, to resume elsewhere, and the engine must release the request.
#[test]
fn sidecar_stops() {
    let engine = slow_engine();
    let dispatcher = dispatcher_at(&engine);
    block_on(async {
        let mut reader = dispatch(&dispatcher, completion(1)).await;
        first_piece(&mut reader).await;
        dispatcher.set_leaving();
        assert_eq!(dispatcher.stop_running(), 1);
        let end = read(&mut reader).await.end;
        assert!(matches!(end, DispatchEnd::Broken { ran: Some(_), crashed: false, .. }), "{end:?}");
        dispatcher.wait_until_idle().await;
    });
    assert_eq!(engine.current_load().running, 0);
}
