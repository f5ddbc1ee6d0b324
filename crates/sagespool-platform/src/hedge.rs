//! Reads that are sent through several processes until one of them responds.

use std::time::Duration;

use futures_lite::StreamExt;
use futures_lite::future::or;
use futures_util::stream::FuturesUnordered;
use smol::Timer;

use crate::fallback::{RawFailure, RawResponse, RawResponseFuture};

/// Makes the calls in order until one of them has a response. The next one starts when a call fails or is
/// rejected, since the platform may turn away some processes only, or when all calls so far haven't ended
/// within `stagger`; these continue. Without another response, the last rejection is returned.
///
/// Only for reads: a call that is dropped may have taken effect.
///
/// # Errors
///
/// The failure of the call that ended last, if all calls fail.
pub async fn first_response(
    calls: Vec<RawResponseFuture>,
    stagger: Duration,
) -> Result<RawResponse, RawFailure> {
    let mut waiting = calls.into_iter();
    let mut running: FuturesUnordered<RawResponseFuture> = waiting.next().into_iter().collect();
    let mut outcome = Err(RawFailure::NotSent);
    while !running.is_empty() {
        let timer = match waiting.len() {
            0 => Timer::never(),
            _ => Timer::after(stagger),
        };
        let late = async {
            timer.await;
            None
        };
        match or(running.next(), late).await {
            Some(Ok(response)) if !response.is_rejected() => return Ok(response),
            Some(Ok(rejected)) => outcome = Ok(rejected),
            Some(Err(error)) if outcome.is_err() => outcome = Err(error),
            Some(Err(_)) | None => {}
        }
        running.extend(waiting.next());
    }
    outcome
}
