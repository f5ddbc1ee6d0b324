//! Attaches to the run or the kept answer of an idempotency key at a sidecar.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use sagespool_messages::{
    AttachRequest, DispatchEnd, DispatchEvent, KeyState, PeerRequest, RefusalNotice,
};
use sagespool_types::{ClockTime, IncarnationId, RefusalReason, RunState, TokenCount};

use super::lifecycle::RunEnd;
use super::{AnswerEvent, RequestSpec};
use crate::state::EntryState;

/// Outcome of an attach.
pub(super) enum AttachEnd {
    /// The request has ended.
    Ended(RunEnd),
    /// The key's state has changed: query the home again.
    Retry,
}

fn refused(reason: RefusalReason, run_state: RunState, message: &str) -> AttachEnd {
    AttachEnd::Ended(RunEnd::refused(reason, run_state, message))
}

/// Forwards the answer of a known key instead of running the request a second time.
pub(super) async fn attach(
    state: &Arc<EntryState>,
    spec: &RequestSpec,
    answers: &Sender<AnswerEvent>,
    known: KeyState,
) -> AttachEnd {
    match known {
        KeyState::Pending => AttachEnd::Retry,
        KeyState::OtherContent => refused(
            RefusalReason::KeyReused,
            RunState::NotRun,
            "the idempotency key was already used with a different request",
        ),
        KeyState::Unknown { .. } => refused(
            RefusalReason::OutcomeUnknown,
            RunState::Unknown,
            "a request with this key ran or may have run, and its answer is not available; it is not run again",
        ),
        KeyState::At { sidecar, content, .. } => {
            if content != spec.content {
                return refused(
                    RefusalReason::KeyReused,
                    RunState::NotRun,
                    "the idempotency key was already used with a different request",
                );
            }
            attach_at(state, spec, answers, sidecar).await
        }
    }
}

async fn attach_at(
    state: &Arc<EntryState>,
    spec: &RequestSpec,
    answers: &Sender<AnswerEvent>,
    sidecar: IncarnationId,
) -> AttachEnd {
    let (Some(member), Some(key)) = (state.members.find(sidecar), spec.key) else {
        return AttachEnd::Retry;
    };
    let time_left = spec.time_left(ClockTime::now());
    if time_left.is_zero() {
        return refused(
            RefusalReason::DeadlineExceeded,
            RunState::Unknown,
            "the deadline passed while the request with this key was still running",
        );
    }
    let request = AttachRequest { request: spec.request, key, content: spec.content, time_left };
    let opened =
        state.link().open_stream(member.address, &PeerRequest::Attach(request), time_left).await;
    let Ok(mut stream) = opened else {
        return AttachEnd::Retry;
    };
    let mut passed = false;
    loop {
        let limit = spec.time_left(ClockTime::now()) + Duration::from_millis(500);
        let next = futures_lite::future::or(async { stream.next().await }, async {
            smol::Timer::after(limit).await;
            None
        })
        .await;
        let Some(Ok(event)) = next else {
            if passed || spec.time_left(ClockTime::now()).is_zero() {
                return refused(
                    RefusalReason::OutcomeUnknown,
                    RunState::Unknown,
                    "the answer of the running request was interrupted; retry with the same key",
                );
            }
            return AttachEnd::Retry;
        };
        let sent = match event {
            DispatchEvent::Started | DispatchEvent::CacheNews(_) | DispatchEvent::Beside(_) => true,
            DispatchEvent::Head { status, headers } => {
                passed = true;
                answers.send(AnswerEvent::Head { status, headers }).await.is_ok()
            }
            DispatchEvent::Piece { tokens, data, .. } => {
                passed = true;
                answers.send(AnswerEvent::Piece { tokens, data }).await.is_ok()
            }
            DispatchEvent::End(end) => return attach_end(end, passed),
        };
        if !sent {
            return refused(
                RefusalReason::OutcomeUnknown,
                RunState::Unknown,
                "the caller disconnected",
            );
        }
    }
}

fn attach_end(end: DispatchEnd, passed: bool) -> AttachEnd {
    match end {
        DispatchEnd::Whole { charge, stop } => {
            AttachEnd::Ended(RunEnd::Whole { billed: charge.used, stop })
        }
        DispatchEnd::Refused(notice) if notice.reason == RefusalReason::NotReady && !passed => {
            AttachEnd::Retry
        }
        DispatchEnd::Refused(notice) => AttachEnd::Ended(RunEnd::Refused {
            notice: RefusalNotice { run_state: RunState::Unknown, ..notice },
            billed: TokenCount::ZERO,
        }),
        DispatchEnd::Broken { .. } | DispatchEnd::GrantUnusable(_) if !passed => AttachEnd::Retry,
        _ => refused(
            RefusalReason::OutcomeUnknown,
            RunState::Unknown,
            "the running request with this key was interrupted; retry with the same key",
        ),
    }
}
