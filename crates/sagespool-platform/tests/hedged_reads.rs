//! Reads that are sent through several processes.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::future::{pending, ready};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use sagespool_platform::{RawFailure, RawResponse, RawResponseFuture, first_response};

/// Longer than any test runs.
const NEVER: Duration = Duration::from_secs(3600);
const STAGGER: Duration = Duration::from_millis(5);

fn response(status: u16) -> RawResponse {
    RawResponse { status, body: None }
}

fn ended(result: Result<RawResponse, RawFailure>) -> RawResponseFuture {
    Box::pin(ready(result))
}

/// Guards against a frozen process that takes the whole timeout of a read through it.
#[test]
fn silent_process() {
    let calls = vec![Box::pin(pending()) as RawResponseFuture, ended(Ok(response(200)))];
    assert_eq!(smol::block_on(first_response(calls, STAGGER)), Ok(response(200)));
}

/// A process that fails is replaced at once, without the wait for a silent one.
#[test]
fn failed_process() {
    let calls = vec![ended(Err(RawFailure::Unanswered)), ended(Ok(response(404)))];
    assert_eq!(smol::block_on(first_response(calls, NEVER)), Ok(response(404)));
}

/// A late response counts although processes that were asked after it have failed.
#[test]
fn late_response() {
    let late = Box::pin(async {
        smol::Timer::after(STAGGER * 4).await;
        Ok(response(200))
    });
    let calls = vec![late as RawResponseFuture, ended(Err(RawFailure::NotSent))];
    assert_eq!(smol::block_on(first_response(calls, STAGGER)), Ok(response(200)));
}

/// Guards against each read being made by several processes, which multiplies the store's calls.
#[test]
fn single_call() {
    let started = Arc::new(AtomicUsize::new(0));
    let calls = (0..3).map(|_| -> RawResponseFuture {
        let started = started.clone();
        Box::pin(async move {
            started.fetch_add(1, Ordering::Relaxed);
            Ok(response(200))
        })
    });
    smol::block_on(first_response(calls.collect(), NEVER)).unwrap();
    assert_eq!(started.load(Ordering::Relaxed), 1);
}

/// Guards against a process that the store turns away, and whose rejection is taken for the store's word
/// while the next process is served.
#[test]
fn rejected_process() {
    for status in [429, 503] {
        let calls = vec![ended(Ok(response(status))), ended(Ok(response(200)))];
        assert_eq!(smol::block_on(first_response(calls, NEVER)), Ok(response(200)));
        let calls = vec![ended(Ok(response(status))), ended(Err(RawFailure::Lost))];
        assert_eq!(smol::block_on(first_response(calls, NEVER)), Ok(response(status)));
    }
}

/// Without a response the last failure is returned.
#[test]
fn all_fail() {
    let calls = vec![ended(Err(RawFailure::Lost)), ended(Err(RawFailure::Unanswered))];
    assert_eq!(smol::block_on(first_response(calls, NEVER)), Err(RawFailure::Unanswered));
    assert_eq!(smol::block_on(first_response(Vec::new(), NEVER)), Err(RawFailure::NotSent));
}
