//! Forwarding of streamed responses, and resuming them at another upstream.

use std::future::Future;

use async_channel::{Sender, bounded};
use futures_lite::future::or;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use sagespool_forward::{EventSplitter, SendOutcome};
use sagespool_http::ReadAllowance;
use sagespool_link::within;
use sagespool_types::{ByteCount, ClockTime};

use crate::admission::ReceivedMemory;
use crate::attempt::{OpenResponse, PlacementGuard, ResponseFraming, may_be_cut, send_once};
use crate::attempt_end::{AttemptFailure, LossCause};
use crate::body::{BodyChunk, ResponseBody};
use crate::context::RequestContext;
use crate::hop_by_hop::strip_hop_by_hop;
use crate::metrics::Outcome;
use crate::pipeline::{attempt_timeout, closes_connection, may_retry};
use crate::received::MAX_EVENT;
use crate::refusal::Refusal;

/// Chunks buffered for the caller's connection. Beyond these, a slow caller causes backpressure on
/// its upstream instead of using this process's memory.
const BUFFERED_CHUNKS: usize = 8;
/// The connection broke, or the stream ended within an event.
const BROKEN_STREAM: AttemptFailure = AttemptFailure::Lost(LossCause::WithinStream);
/// An event, or the number of events, is larger than it may be.
const OVERSIZED_STREAM: AttemptFailure = AttemptFailure::Lost(LossCause::Oversized);

/// Responds with a stream whose events are forwarded by a task of its own.
///
/// The head is returned only with the first event. hyper writes the head together with the first
/// data, so a stream that breaks before would reach the caller as a closed connection without a
/// response.
pub(crate) async fn start_stream(
    mut context: RequestContext,
    mut response: OpenResponse,
) -> Response<ResponseBody> {
    context.may_have_run = true;
    let mut head = response.head.clone();
    strip_hop_by_hop(&mut head.headers);
    response.placement.note_first_event(ClockTime::now());
    context.log.status = head.status.as_u16();
    let (sender, chunks) = bounded(BUFFERED_CHUNKS);
    let state = context.state.clone();
    let relay = smol::spawn(async move {
        or(relay_all(context, response, sender), state.abort.wait()).await;
    });
    match chunks.recv().await {
        Ok(first) => Response::from_parts(head, ResponseBody::stream(first, chunks, relay)),
        // The relay task ended without an event and has logged the cause.
        Err(_) => Refusal::Failed.response(),
    }
}

/// Forwards events until the stream is complete or aborted, resuming it at other upstreams.
async fn relay_all(
    mut context: RequestContext,
    mut response: OpenResponse,
    sender: Sender<BodyChunk>,
) {
    loop {
        let failure = match relay_one(&mut context, response, &sender).await {
            Ok(()) => {
                context.log.conclude(Outcome::Answered, context.log.status, "");
                match context.log.events {
                    0 => context.clear_content_crashes(ClockTime::now()),
                    _ => context.clear_crashes(ClockTime::now()),
                }
                // Settle the charge before the caller receives the end of the stream.
                drop(context.request.reservation.take());
                let _ = sender.send(BodyChunk::End).await;
                return;
            }
            Err(AttemptFailure::CallerGone) => return,
            Err(failure) => failure,
        };
        context.settle_failure(failure);
        response = match go_on(&mut context, failure).await {
            Some(response) => response,
            None => {
                conclude_cut(&mut context, failure.as_str());
                return;
            }
        };
    }
}

/// Records an aborted stream. Before its first event the caller gets an error response instead.
fn conclude_cut(context: &mut RequestContext, detail: &str) {
    let began = context.log.events > 0;
    let status = if began { context.log.status } else { Refusal::Failed.status().as_u16() };
    context.log.conclude(Outcome::Cut, status, detail);
}

/// Sends the request to another upstream, to resume after the last forwarded event.
async fn go_on(context: &mut RequestContext, mut failure: AttemptFailure) -> Option<OpenResponse> {
    while context.request.route.resumable && may_retry(context, failure, ClockTime::now()) {
        let timeout = attempt_timeout(context, ClockTime::now());
        match send_once(context, timeout).await {
            Ok(mut response) if response.head.status.is_success() => {
                response.placement.note_first_event(ClockTime::now());
                return Some(response);
            }
            Ok(response) => {
                response.placement.finish(SendOutcome::Failed, ClockTime::now());
                failure = AttemptFailure::Lost(LossCause::FailureStatus);
            }
            Err(next) => failure = next,
        }
    }
    None
}

async fn relay_one(
    context: &mut RequestContext,
    response: OpenResponse,
    sender: &Sender<BodyChunk>,
) -> Result<(), AttemptFailure> {
    let OpenResponse { head, mut body, framing, connection, placement } = response;
    let events_before = context.log.events;
    let mut splitter = EventSplitter::default();
    let allowance = &connection.allowance;
    let end = relay_body(context, &mut body, &mut splitter, &placement, allowance, sender).await;
    let is_oversized =
        end.is_err_and(|failure| failure == BROKEN_STREAM) && allowance.is_exhausted();
    let end = if is_oversized { Err(OVERSIZED_STREAM) } else { end };
    context.log.partial = splitter.remainder().len();
    let has_events = context.log.events > events_before;
    let is_broken = end.is_ok()
        && (!is_complete(framing, &splitter, has_events)
            || may_be_cut(&context.state, framing, &connection, &placement.attempt().upstream)
                .await);
    let end = if is_broken { Err(BROKEN_STREAM) } else { end };
    let now = ClockTime::now();
    match end {
        Ok(()) => {
            if !closes_connection(&head) {
                context.state.pool.keep(&placement.attempt().upstream.name, connection, now);
            }
            placement.finish(SendOutcome::Answered, now);
        }
        Err(failure) => context.end_attempt(placement, failure, now).await,
    }
    end
}

async fn relay_body(
    context: &mut RequestContext,
    body: &mut Incoming,
    splitter: &mut EventSplitter,
    placement: &PlacementGuard,
    allowance: &ReadAllowance,
    sender: &Sender<BodyChunk>,
) -> Result<(), AttemptFailure> {
    let mut memory = ReceivedMemory::new(&context.state.limiter);
    allowance.set(MAX_EVENT);
    loop {
        let Some(frame) = in_time(context, body.frame()).await else {
            return Err(AttemptFailure::Overrun);
        };
        let bytes = match frame {
            None => return Ok(()),
            Some(Err(_)) => return Err(BROKEN_STREAM),
            Some(Ok(frame)) => match frame.into_data() {
                Ok(bytes) => bytes,
                // Trailers aren't forwarded.
                Err(_) => continue,
            },
        };
        placement.note_progress(ClockTime::now());
        let whole = splitter.push(&bytes);
        if !memory.cover(ByteCount(splitter.remainder().len() as u64)) {
            return Err(OVERSIZED_STREAM);
        }
        if whole.count == 0 {
            continue;
        }
        allowance.set(MAX_EVENT);
        if context.exceeds_declared_events(whole.count) {
            return Err(OVERSIZED_STREAM);
        }
        if context.log.events == 0 {
            context.note_origin(&placement.attempt().upstream).await;
        }
        context.log.first.get_or_insert_with(ClockTime::now);
        context.charge_events(whole.count);
        context.last_event = whole.last_id.or(context.last_event);
        let chunk = BodyChunk::Data(whole.bytes.into());
        match in_time(context, sender.send(chunk)).await {
            None => return Err(AttemptFailure::Overrun),
            Some(Err(_)) => return Err(AttemptFailure::CallerGone),
            Some(Ok(())) => {}
        }
    }
}

/// Whether a stream whose body has ended without an error is complete.
///
/// Without a length and chunks, the connection of an upstream that crashed closes like that of one
/// that has finished. A stream that ends within an event has broken off whatever its framing.
fn is_complete(framing: ResponseFraming, splitter: &EventSplitter, has_events: bool) -> bool {
    splitter.remainder().is_empty() && (has_events || framing != ResponseFraming::UntilClose)
}

/// Awaits a step until the request's deadline; `None` after it.
async fn in_time<T>(context: &RequestContext, step: impl Future<Output = T>) -> Option<T> {
    within(context.time_left(ClockTime::now()), step).await
}
