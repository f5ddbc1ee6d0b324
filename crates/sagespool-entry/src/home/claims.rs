//! Claims: group commits to the store before a non-idempotent request runs.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use async_channel::Sender;
use sagespool_claims::{ClaimOutcome, ClaimWish, ClaimsRecord, claim_key, claim_shard};
use sagespool_log::log_event;
use sagespool_messages::{ClaimReply, ClaimRequest, KeyState, RefusalNotice};
use sagespool_platform::{StoreError, StoredObject};
use sagespool_types::{ClockTime, RefusalReason, RunState, StoreRevision, WallTime};

use crate::state::EntryState;

const CONFLICT_TRIES: u32 = 20;
/// How long the first claim of a batch waits for others to share its write.
const BATCH_DELAY: Duration = Duration::from_millis(2);

/// A claim that waits for its batch.
struct WaitingClaim {
    wish: ClaimWish,
    reply: Sender<Result<ClaimOutcome, StoreError>>,
}

#[derive(Default)]
struct ClaimShard {
    waiting: Vec<WaitingClaim>,
    writing: bool,
}

/// The claims that wait for a write, by shard of the store.
#[derive(Default)]
pub(crate) struct ClaimWriter {
    shards: Mutex<HashMap<u64, ClaimShard>>,
}

impl ClaimWriter {
    /// Adds a claim; true if the caller has to write the shard.
    fn add(&self, shard: u64, claim: WaitingClaim) -> bool {
        let mut shards = self.shards.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = shards.entry(shard).or_default();
        entry.waiting.push(claim);
        !std::mem::replace(&mut entry.writing, true)
    }

    /// Takes the batch to write next; none ends the writing of the shard.
    fn take(&self, shard: u64) -> Vec<WaitingClaim> {
        let mut shards = self.shards.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = shards.entry(shard).or_default();
        let batch = std::mem::take(&mut entry.waiting);
        entry.writing = !batch.is_empty();
        batch
    }
}

/// Places a keyed request at its sidecar: in the home's memory, and first in the store if it may
/// never run twice.
pub async fn claim(state: &EntryState, request: &ClaimRequest) -> ClaimReply {
    let now = ClockTime::now();
    if request.durable {
        let reply = claim_durably(state, request).await;
        if reply != ClaimReply::Durable {
            return reply;
        }
    }
    state.keys.place(request.key, request.request, request.sidecar, now);
    ClaimReply::Durable
}

async fn claim_durably(state: &EntryState, request: &ClaimRequest) -> ClaimReply {
    let (reply, answer) = async_channel::bounded(1);
    let shard = claim_shard(request.key);
    let first = state.claims.add(shard, WaitingClaim { wish: wish_of(request), reply });
    if first {
        write_shard(state, shard).await;
    }
    // The writer may be another request's task that was dropped with its caller: its batch is then
    // gone and the channel closed, which is told apart from a store that is away only in words.
    let limit = request.time_left;
    let outcome = futures_lite::future::or(async { answer.recv().await.ok() }, async {
        smol::Timer::after(limit).await;
        None
    })
    .await;
    match outcome {
        Some(Ok(outcome)) => reply_of(request, outcome),
        Some(Err(error)) => ClaimReply::Refused(unreachable_notice(&error.to_string())),
        None => ClaimReply::Refused(unreachable_notice("the deadline passed before it was durable")),
    }
}

fn wish_of(request: &ClaimRequest) -> ClaimWish {
    ClaimWish {
        key: request.key,
        request: request.request,
        content: request.content,
        sidecar: request.sidecar,
        attempt: request.attempt,
    }
}

/// True as it stands: only a durable claim is followed by a dispatch, so a request refused here
/// has not run and won't.
fn unreachable_notice(detail: &str) -> RefusalNotice {
    RefusalNotice {
        reason: RefusalReason::ClaimUnreachable,
        run_state: RunState::NotRun,
        message: format!("the claim that keeps the request from running twice can't be stored: {detail}"),
        retry_after: Some(Duration::from_secs(5)),
    }
}

fn reply_of(request: &ClaimRequest, outcome: ClaimOutcome) -> ClaimReply {
    match outcome {
        ClaimOutcome::Claimed | ClaimOutcome::AlreadyMine => ClaimReply::Durable,
        ClaimOutcome::Taken(entry) if entry.content != request.content => {
            ClaimReply::Known(KeyState::OtherContent)
        }
        ClaimOutcome::Taken(entry) => ClaimReply::Known(KeyState::At {
            sidecar: entry.sidecar,
            request: entry.request,
            content: entry.content,
        }),
        ClaimOutcome::Full => ClaimReply::Refused(RefusalNotice {
            reason: RefusalReason::Overloaded,
            run_state: RunState::NotRun,
            message: "the record of claims is full; it empties as claims expire".into(),
            retry_after: Some(Duration::from_secs(60)),
        }),
    }
}

/// Writes batches of a shard until none waits.
async fn write_shard(state: &EntryState, shard: u64) {
    loop {
        smol::Timer::after(BATCH_DELAY).await;
        let batch = state.claims.take(shard);
        if batch.is_empty() {
            return;
        }
        let outcomes = write_batch(state, shard, &batch).await;
        for (waiting, outcome) in batch.iter().zip(outcomes) {
            // The asker may have gone; its claim stands, and a retry finds it.
            let _ = waiting.reply.try_send(outcome);
        }
    }
}

/// One conditional update for a batch. After an answer that was lost the record is read again; a
/// claim that took effect is found there by its request's id.
async fn write_batch(
    state: &EntryState,
    shard: u64,
    batch: &[WaitingClaim],
) -> Vec<Result<ClaimOutcome, StoreError>> {
    let key = claim_key(shard);
    let mut last = StoreError::Unavailable;
    for _ in 0..CONFLICT_TRIES {
        let stored = match state.objects.get::<ClaimsRecord>(&key).await {
            Ok(stored) => stored.unwrap_or(StoredObject { version: StoreRevision::ZERO, value: ClaimsRecord::default() }),
            Err(error) => {
                last = error;
                break;
            }
        };
        let mut record = stored.value;
        let outcomes: Vec<ClaimOutcome> = batch
            .iter()
            .map(|waiting| record.claim(&waiting.wish, WallTime::now(), state.key_retention()))
            .collect();
        if !outcomes.iter().any(|outcome| matches!(outcome, ClaimOutcome::Claimed)) {
            return outcomes.into_iter().map(Ok).collect();
        }
        match state.objects.put(&key, stored.version, &record).await {
            Ok(_) => return outcomes.into_iter().map(Ok).collect(),
            Err(error) => {
                log_event!(info, "claims-again", shard = shard, error = error);
                let again = matches!(error, StoreError::Conflict { .. } | StoreError::Uncertain);
                last = error;
                if !again {
                    break;
                }
            }
        }
    }
    batch.iter().map(|_| Err(last.clone())).collect()
}
