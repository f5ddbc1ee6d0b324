//! The contract of the fake plain service.

mod calls;

use std::time::Duration;

use calls::{get, is_pending, run, send, until};
use sagespool_testkit::{
    FailureShares, FakeService, RunEnd, RunMarker, ServiceOptions, service_answer,
};
use serde_json::json;

const HOUR: Duration = Duration::from_secs(3600);

macro_rules! service {
    ($($setting:ident: $value:expr),* $(,)?) => {{
        let options = ServiceOptions::builder()
            .name("portal-1".parse().unwrap())
            $(.$setting($value))*
            .build();
        FakeService::start(options).unwrap()
    }};
}

fn marker(text: &str) -> RunMarker {
    text.parse().expect("a marker")
}

fn ends_of(service: &FakeService, text: &str) -> Vec<Option<RunEnd>> {
    let runs = service.run_log().runs_of(&marker(text));
    runs.iter().map(|run| run.ended.map(|(end, _)| end)).collect()
}

#[test]
fn any_call() {
    let cases = [
        ("GET", "/", ""),
        ("GET", "/bids/7?full=yes", ""),
        ("POST", "/letters", "{\"to\":\"board\"}"),
        ("PUT", "/a/b/c", "text"),
        ("PATCH", "/load/more", "text"),
        ("DELETE", "/healthz", ""),
    ];
    run(async {
        let service = service!();
        for (method, path, body) in cases {
            let answer = send(method, service.address(), path, &[], body).await.unwrap();
            assert_eq!(answer.status, 200, "{method} {path}");
            assert_eq!(answer.body, service_answer(path, body.as_bytes()), "{method} {path}");
        }
        assert_eq!(service.run_log().runs().len(), cases.len());
        let distinct: std::collections::BTreeSet<_> =
            cases.iter().map(|(_, path, body)| service_answer(path, body.as_bytes())).collect();
        assert_eq!(distinct.len(), cases.len(), "each call has a distinct answer");
    });
}

#[test]
fn counted_runs() {
    run(async {
        let service = service!();
        let headers = [("idempotency-key", "k1"), ("x-request-id", "r1"), ("x-attempt", "3")];
        let calls = [("/letters/mark:a/1", "", 2), ("/letters", "to the board mark:a/2", 1)];
        for (path, body, times) in calls {
            for _ in 0..times {
                send("POST", service.address(), path, &headers, body).await.unwrap();
            }
        }
        get(service.address(), "/healthz").await.unwrap();
        get(service.address(), "/load").await.unwrap();
        assert_eq!(service.runs_of_key("k1"), 3);
        assert_eq!(service.runs_of(&marker("mark:a/1")), 2);
        assert_eq!(service.runs_of(&marker("mark:a/2")), 1);
        let runs = service.run_log().runs();
        assert_eq!(runs.len(), 3, "health and load calls are not runs");
        assert_eq!(runs[0].start.request.as_deref(), Some("r1"));
        assert_eq!(runs[0].start.attempt.map(|attempt| attempt.0), Some(3));
    });
}

#[test]
fn failing_calls() {
    // A service fails in two ways that look similar to a router: it fails before it runs the call,
    // or it runs the call and its answer is lost. Only after the first is a retry always safe.
    let before = FailureShares { before_running: 1.0, after_running: 0.0 };
    let after = FailureShares { before_running: 0.0, after_running: 1.0 };
    let cases = [
        ("before it runs", before, Some(500), vec![]),
        ("after it ran", after, None, vec![Some(RunEnd::Unanswered)]),
        ("not at all", FailureShares::default(), Some(200), vec![Some(RunEnd::Finished)]),
    ];
    run(async {
        for (name, failures, status, ends) in cases {
            let service = service!(failures: failures);
            let answer = send("POST", service.address(), "/x", &[], "mark:a/1").await;
            assert_eq!(answer.ok().map(|answer| answer.status), status, "{name}");
            assert_eq!(ends_of(&service, "mark:a/1"), ends, "{name}");
        }
    });
}

#[test]
fn failure_shares() {
    run(async {
        let service = service!(latency: Duration::ZERO);
        service.set_failures(FailureShares { before_running: 0.5, after_running: 0.0 });
        let mut failed = 0;
        for _ in 0..40 {
            let answer = send("POST", service.address(), "/x", &[], "").await.unwrap();
            failed += usize::from(answer.status == 500);
        }
        assert!((1..40).contains(&failed), "some fail: {failed}");
        assert_eq!(service.run_log().runs().len(), 40 - failed);
    });
}

#[test]
fn crash_restart() {
    // A service crashes while it runs a call and another waits. Both connections break, the waiting
    // call never runs, and the port refuses connections until the restart.
    run(async {
        let service = service!(latency: HOUR, capacity: 1);
        let address = service.address();
        let running = send("POST", address, "/x", &[], "mark:a/1");
        let waiting = async {
            until("the first runs", || service.current_load().running == 1).await;
            send("POST", address, "/x", &[], "mark:a/2").await
        };
        let crash = async {
            until("the second waits", || {
                let load = service.current_load();
                (load.running, load.waiting) == (1, 1)
            })
            .await;
            service.crash();
        };
        let both = futures_lite::future::zip(running, waiting);
        let ((running, waiting), ()) = futures_lite::future::zip(both, crash).await;
        assert!(running.is_err() && waiting.is_err(), "their connections break");
        assert!(get(address, "/healthz").await.is_err(), "the port refuses");
        assert_eq!(ends_of(&service, "mark:a/1"), [Some(RunEnd::Crashed)]);
        assert_eq!(ends_of(&service, "mark:a/2"), []);
        service.set_latency(Duration::ZERO);
        service.restart().unwrap();
        assert_eq!(service.address(), address);
        let answer = send("POST", address, "/x", &[], "mark:a/2").await.unwrap();
        assert_eq!(answer.status, 200);
        assert_eq!(ends_of(&service, "mark:a/2"), [Some(RunEnd::Finished)]);
        until("all slots are free", || {
            let load = service.current_load();
            (load.running, load.waiting) == (0, 0)
        })
        .await;
    });
}

#[test]
fn poisonous_call() {
    run(async {
        let restart_after = Some(Duration::from_millis(10));
        let service = service!(restart_after: restart_after);
        for round in 1..=2 {
            let answer = send("POST", service.address(), "/x", &[], "poison mark:a/1").await;
            assert!(answer.is_err(), "round {round}: its connection breaks");
            assert_eq!(ends_of(&service, "mark:a/1"), vec![Some(RunEnd::Crashed); round]);
            until("it has restarted", || service.is_serving()).await;
        }
    });
}

#[test]
fn frozen_service() {
    run(async {
        let service = service!();
        service.set_frozen(true);
        assert!(is_pending(get(service.address(), "/healthz")).await);
        assert!(is_pending(send("POST", service.address(), "/x", &[], "mark:a/1")).await);
        assert_eq!(service.run_log().runs(), []);
        service.set_frozen(false);
        assert_eq!(get(service.address(), "/healthz").await.unwrap().status, 200);
    });
}

#[test]
fn dropped_call() {
    // A call runs to its end even if its caller disconnects.
    run(async {
        let service = service!(latency: Duration::from_millis(100));
        let call = send("POST", service.address(), "/x", &[], "mark:a/1");
        let disconnect = async {
            until("it runs", || service.current_load().running == 1).await;
            Err("disconnected".to_owned())
        };
        futures_lite::future::or(call, disconnect).await.expect_err("the caller disconnects");
        until("it ran", || ends_of(&service, "mark:a/1") == [Some(RunEnd::Finished)]).await;
    });
}

#[test]
fn lagging_load() {
    run(async {
        for (lag, running) in [(Duration::ZERO, 1), (HOUR, 0)] {
            let service = service!(latency: HOUR, load_lag: lag, capacity: 3);
            let call = async {
                let _ = send("POST", service.address(), "/x", &[], "").await;
                json!("the call ended")
            };
            let load_call = async {
                until("it runs", || service.current_load().running == 1).await;
                get(service.address(), "/load").await.unwrap().json()
            };
            let load = futures_lite::future::or(call, load_call).await;
            assert_eq!(load["running"], json!(running), "lag {lag:?}");
            assert_eq!(load["waiting"], json!(0));
            assert_eq!(load["capacity"], json!(3));
        }
    });
}
