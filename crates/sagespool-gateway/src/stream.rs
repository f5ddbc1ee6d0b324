//! Forwarding of streamed responses, and resuming them at another upstream.

use std::future::Future;

use async_channel::{Sender, bounded};
use futures_lite::future::or;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Bytes, Incoming};
use sagespool_forward::{EventSplitter, SendOutcome};
use sagespool_link::within;
use sagespool_types::ClockTime;

use crate::attempt::{OpenAnswer, SendFailure, SendPlace, send_once};
use crate::body::{AnswerBody, BodyPiece};
use crate::flight::Flight;
use crate::hop::strip_hop;
use crate::metrics::Outcome;
use crate::pipeline::{may_send_again, says_close, send_patience};
use crate::refusal::Refusal;

/// Chunks buffered for the caller's connection. Beyond these, a slow caller causes backpressure on
/// its upstream instead of using this process's memory.
const PIECES_AHEAD: usize = 8;

/// How the stream of one upstream ended.
enum StreamEnd {
    /// Complete.
    Whole,
    /// The connection broke.
    Broken,
    /// The request's deadline passed.
    TimeOver,
    /// The caller disconnected.
    CallerGone,
}

/// Responds with a stream whose events are forwarded by a task of its own.
///
/// The head is returned only with the first event. hyper writes the head together with the first
/// data, so a stream that breaks before would reach the caller as a closed connection without a
/// response.
pub(crate) async fn start_stream(
    mut flight: Flight,
    mut answer: OpenAnswer,
) -> Response<AnswerBody> {
    flight.may_have_run = true;
    let mut head = answer.head.clone();
    strip_hop(&mut head.headers);
    answer.place.began(ClockTime::now());
    flight.record.status = head.status.as_u16();
    let (sender, pieces) = bounded(PIECES_AHEAD);
    let state = flight.state.clone();
    let relay = smol::spawn(async move {
        or(relay_all(flight, answer, sender), state.over.wait()).await;
    });
    match pieces.recv().await {
        Ok(first) => Response::from_parts(head, AnswerBody::stream(first, pieces, relay)),
        // The relay task ended without an event and has logged the cause.
        Err(_) => Refusal::Failed.response(),
    }
}

/// Forwards events until the stream is complete or aborted, resuming it at other upstreams.
async fn relay_all(mut flight: Flight, mut answer: OpenAnswer, sender: Sender<BodyPiece>) {
    loop {
        let end = relay_one(&mut flight, answer, &sender).await;
        let failure = match end {
            StreamEnd::Whole => {
                flight.record.conclude(Outcome::Answered, flight.record.status, "");
                flight.clear_crashes();
                // Settle the charge before the caller receives the end of the stream.
                drop(flight.request.reservation.take());
                let _ = sender.send(BodyPiece::End).await;
                return;
            }
            StreamEnd::CallerGone => return,
            StreamEnd::TimeOver => {
                conclude_cut(&mut flight, "timed-out");
                return;
            }
            StreamEnd::Broken => SendFailure::Lost("stream-broken"),
        };
        answer = match go_on(&mut flight, failure).await {
            Some(answer) => answer,
            None => {
                conclude_cut(&mut flight, failure.as_str());
                return;
            }
        };
    }
}

/// Records an aborted stream. Before its first event the caller gets an error response instead.
fn conclude_cut(flight: &mut Flight, detail: &str) {
    let began = flight.record.events > 0;
    let status = if began { flight.record.status } else { Refusal::Failed.status().as_u16() };
    flight.record.conclude(Outcome::Cut, status, detail);
}

/// Sends the request to another upstream, to resume after the last forwarded event.
async fn go_on(flight: &mut Flight, mut failure: SendFailure) -> Option<OpenAnswer> {
    while flight.request.route.resumable && may_send_again(flight, failure, ClockTime::now()) {
        let timeout = send_patience(flight, ClockTime::now());
        match send_once(flight, timeout).await {
            Ok(mut answer) if answer.head.status.is_success() => {
                answer.place.began(ClockTime::now());
                return Some(answer);
            }
            Ok(answer) => {
                answer.place.finish(SendOutcome::Failed, ClockTime::now());
                failure = SendFailure::Lost("failure-status");
            }
            Err(next) => failure = next,
        }
    }
    None
}

async fn relay_one(
    flight: &mut Flight,
    answer: OpenAnswer,
    sender: &Sender<BodyPiece>,
) -> StreamEnd {
    let OpenAnswer { head, mut body, connection, place } = answer;
    let end = relay_body(flight, &mut body, &place, sender).await;
    let now = ClockTime::now();
    match end {
        StreamEnd::Whole => {
            if !says_close(&head) {
                flight.state.pool.keep(&place.ticket().upstream.name, connection, now);
            }
            place.finish(SendOutcome::Answered, now);
        }
        StreamEnd::Broken => place.finish(SendOutcome::Broken, now),
        StreamEnd::TimeOver | StreamEnd::CallerGone => place.finish(SendOutcome::Cancelled, now),
    }
    end
}

async fn relay_body(
    flight: &mut Flight,
    body: &mut Incoming,
    place: &SendPlace,
    sender: &Sender<BodyPiece>,
) -> StreamEnd {
    let mut cutter = EventSplitter::default();
    loop {
        let Some(frame) = in_time(flight, body.frame()).await else {
            return StreamEnd::TimeOver;
        };
        let bytes = match frame {
            None => return finish_stream(flight, &mut cutter, sender).await,
            Some(Err(_)) => return StreamEnd::Broken,
            Some(Ok(frame)) => match frame.into_data() {
                Ok(bytes) => bytes,
                // Trailers aren't forwarded.
                Err(_) => continue,
            },
        };
        place.heard(ClockTime::now());
        let whole = cutter.push(&bytes);
        if whole.count == 0 {
            continue;
        }
        flight.record.first.get_or_insert_with(ClockTime::now);
        flight.charge_events(whole.count);
        flight.last_event = whole.last_id.or(flight.last_event);
        let piece = BodyPiece::Data(whole.bytes.into());
        match in_time(flight, sender.send(piece)).await {
            None => return StreamEnd::TimeOver,
            Some(Err(_)) => return StreamEnd::CallerGone,
            Some(Ok(())) => {}
        }
    }
}

/// Forwards the data after the last complete event; the upstream ended its stream there.
async fn finish_stream(
    flight: &mut Flight,
    cutter: &mut EventSplitter,
    sender: &Sender<BodyPiece>,
) -> StreamEnd {
    let rest = cutter.take_remainder();
    if rest.is_empty() {
        return StreamEnd::Whole;
    }
    flight.charge_events(1);
    match in_time(flight, sender.send(BodyPiece::Data(Bytes::from(rest)))).await {
        None => StreamEnd::TimeOver,
        Some(Err(_)) => StreamEnd::CallerGone,
        Some(Ok(())) => StreamEnd::Whole,
    }
}

/// Awaits a step until the request's deadline; `None` after it.
async fn in_time<T>(flight: &Flight, step: impl Future<Output = T>) -> Option<T> {
    within(flight.time_left(ClockTime::now()), step).await
}
