//! Reading or discarding the bodies of callers' requests.

use std::time::Duration;

use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming};
use sagespool_forward::PlanIndex;
use sagespool_link::within;
use sagespool_types::ByteCount;

use crate::admission::RequestPermit;
use crate::refusal::Refusal;

/// How long the remaining body of a refused request is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads and discards the remaining body of a refused request. Closing a connection with unread
/// data resets it, and the caller could lose the refusal.
pub(crate) fn discard(mut body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    let remaining = async move { while let Some(Ok(_)) = body.frame().await {} };
    smol::spawn(within(DISCARD_TIMEOUT, remaining)).detach();
}

/// The declared length of a request's body; 0 for a chunked body, which is accounted for as it
/// arrives.
pub(crate) fn declared_length(body: &Incoming) -> ByteCount {
    ByteCount(body.size_hint().exact().unwrap_or(0))
}

/// Reads a request's body within a time limit.
pub(crate) async fn read_body(
    index: &PlanIndex,
    body: Incoming,
    permit: &mut RequestPermit,
    limit: Duration,
) -> Result<Bytes, Refusal> {
    let max_bytes = usize::try_from(index.plan().limits.body_bytes.0).unwrap_or(usize::MAX);
    let collected = within(limit, collect_body(body, permit, max_bytes)).await;
    collected.unwrap_or(Err(Refusal::BodyTooSlow))
}

async fn collect_body(
    mut body: Incoming,
    permit: &mut RequestPermit,
    max_bytes: usize,
) -> Result<Bytes, Refusal> {
    let declared = body.size_hint().exact();
    if declared.is_some_and(|length| length > max_bytes as u64) {
        return Err(Refusal::BodyTooLarge);
    }
    let mut whole = BytesMut::with_capacity(declared.unwrap_or(0) as usize);
    while let Some(frame) = body.frame().await {
        // The connection is broken, so this response won't be delivered.
        let frame = frame.map_err(|_| Refusal::BodyTooSlow)?;
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        if whole.len() + bytes.len() > max_bytes {
            return Err(Refusal::BodyTooLarge);
        }
        if declared.is_none() {
            permit.count_body(bytes.len())?;
        }
        whole.extend_from_slice(&bytes);
    }
    Ok(whole.freeze())
}
