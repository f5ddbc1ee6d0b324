//! Claims on idempotency keys: batched writes to the store before a non-idempotent request runs.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::Sender;
use sagespool_claims::{
    BatchPolicy, ClaimBatch, ClaimEntry, ClaimIntent, ClaimVerdict, ClaimsRecord, FencedClaim,
    claim_key, claim_refusal, claim_shard, claimed_key_state, earlier_run,
};
use sagespool_log::log_event;
use sagespool_messages::{
    ClaimReply, ClaimRequest, KeyRequest, KeyState, PeerReply, PeerRequest, RefusalNotice,
};
use sagespool_platform::{StoreError, StoredObject};
use sagespool_types::{
    ClockTime, KeyDigest, RefusalReason, RequestId, RunState, StoreRevision, WallTime,
};

use crate::state::EntryState;

const MAX_CONFLICT_TRIES: u32 = 20;
/// How often a claim held by another request is replaced, each time on the reply of another
/// sidecar.
const MAX_REPLACE_TRIES: u32 = 3;
const FENCE_TIMEOUT: Duration = Duration::from_secs(1);
const RETRY_AFTER: Duration = Duration::from_secs(5);
/// The longest sleep of the writer while claims wait for an unreachable store.
const WRITER_STEP: Duration = Duration::from_millis(50);

/// The pending claims of one shard, and the channel of the caller that waits for each.
struct ClaimShard {
    batch: ClaimBatch,
    waiters: HashMap<RequestId, Sender<ClaimVerdict>>,
    writing: bool,
}

impl ClaimShard {
    fn new(retention: Duration) -> Self {
        let policy = BatchPolicy::builder().retention(retention).build();
        Self { batch: ClaimBatch::new(policy), waiters: HashMap::new(), writing: false }
    }

    fn send_verdicts(&mut self, results: Vec<sagespool_claims::ClaimResult>) {
        for result in results {
            if let Some(waiter) = self.waiters.remove(&result.intent.request) {
                // If the waiting task is gone, its claim stays and a retry finds it.
                let _ = waiter.try_send(result.verdict);
            }
        }
    }
}

/// The claims that wait for a write, by shard.
#[derive(Default)]
pub(crate) struct ClaimWriter {
    shards: Mutex<HashMap<u64, ClaimShard>>,
}

impl ClaimWriter {
    fn shards(&self) -> MutexGuard<'_, HashMap<u64, ClaimShard>> {
        self.shards.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Places a keyed request at its sidecar: in the home's memory, after a claim in the store if the
/// request is non-idempotent.
pub async fn claim(state: &Arc<EntryState>, request: &ClaimRequest) -> ClaimReply {
    if request.durable {
        let reply = claim_durably(state, request).await;
        if reply != ClaimReply::Durable {
            return reply;
        }
    }
    place(state, request)
}

fn place(state: &EntryState, request: &ClaimRequest) -> ClaimReply {
    let now = ClockTime::now();
    if state.keys.assign_sidecar(request.key, request.request, request.sidecar, now) {
        return ClaimReply::Durable;
    }
    if let Some(known) = state.keys.find(request.key, now) {
        return ClaimReply::Known(known);
    }
    // The home that made the reservation is unreachable, and this entry acts in its place.
    state.keys.begin(request.key, request.request, request.content, now);
    state.keys.assign_sidecar(request.key, request.request, request.sidecar, now);
    ClaimReply::Durable
}

async fn claim_durably(state: &Arc<EntryState>, request: &ClaimRequest) -> ClaimReply {
    let mut intent = ClaimIntent::of(request, state.incarnation);
    for _ in 0..MAX_REPLACE_TRIES {
        match submit_claim(state, intent.clone()).await {
            ClaimVerdict::Durable => return ClaimReply::Durable,
            ClaimVerdict::Taken(entry) => match query_claimant(state, request, &entry).await {
                ClaimantReply::NeverRan(fenced) => intent = intent.replacing(fenced),
                ClaimantReply::Known(known) => return ClaimReply::Known(known),
            },
            verdict => return ClaimReply::Refused(refusal(state, request.key, &verdict)),
        }
    }
    ClaimReply::Known(KeyState::Pending)
}

fn refusal(state: &EntryState, key: KeyDigest, verdict: &ClaimVerdict) -> RefusalNotice {
    let shards = state.claims.shards();
    let absent_at = shards.get(&claim_shard(key)).and_then(|shard| shard.batch.absent_at(key));
    drop(shards);
    let earlier = earlier_run(absent_at, state.members.exclusive_since(ClockTime::now()));
    let notice = claim_refusal(verdict, earlier, RETRY_AFTER);
    notice.unwrap_or_else(|| RefusalNotice {
        reason: RefusalReason::ClaimUnreachable,
        run_state: RunState::Unknown,
        message: "the claim on the idempotency key could not be written or ruled out".into(),
        retry_after: Some(RETRY_AFTER),
    })
}

/// The reply of the sidecar that holds a conflicting claim.
enum ClaimantReply {
    NeverRan(FencedClaim),
    Known(KeyState),
}

/// Queries the sidecar that a claim names. If the same incarnation never received the key, it
/// refuses the claim's request from now on, so the claim may be replaced. Without that reply the
/// claim stays.
async fn query_claimant(
    state: &EntryState,
    request: &ClaimRequest,
    entry: &ClaimEntry,
) -> ClaimantReply {
    let unknown = || ClaimantReply::Known(claimed_key_state(entry, request.content, None));
    let Some(member) = state.members.find(entry.sidecar) else {
        return unknown();
    };
    let service = member.serves.as_ref().map(|serves| serves.service.clone());
    let Some(service) = service else {
        return unknown();
    };
    let key_request = KeyRequest { service, key: request.key, fence: Some(entry.request) };
    let reply = state
        .link()
        .request(member.address, &PeerRequest::FindKey(key_request), FENCE_TIMEOUT)
        .await;
    let Ok(PeerReply::Key(reply)) = reply else {
        return unknown();
    };
    if reply.sidecar != entry.sidecar {
        return unknown();
    }
    match reply.known {
        None => {
            ClaimantReply::NeverRan(FencedClaim { request: entry.request, sidecar: entry.sidecar })
        }
        known => ClaimantReply::Known(claimed_key_state(entry, request.content, known)),
    }
}

/// Whether the store shows that a non-idempotent request may have run under a key. Every sidecar
/// that ran it may have been replaced, so that no process has it in memory. A refusal with run
/// state `not-run` would then lead the caller to send the request again under another key.
pub(super) async fn may_be_claimed(state: &EntryState, key: KeyDigest) -> bool {
    match state.objects.get::<ClaimsRecord>(&claim_key(claim_shard(key))).await {
        Ok(Some(stored)) => stored.value.is_claimed(key),
        Ok(None) => false,
        Err(_) => true,
    }
}

/// Queues a claim for the shard's writer and waits for the verdict.
async fn submit_claim(state: &Arc<EntryState>, intent: ClaimIntent) -> ClaimVerdict {
    let (waiter, result) = async_channel::bounded(1);
    let shard = claim_shard(intent.key);
    let start = {
        let mut shards = state.claims.shards();
        let entry = shards.entry(shard).or_insert_with(|| ClaimShard::new(state.key_retention()));
        entry.waiters.insert(intent.request, waiter);
        entry.batch.add(intent, ClockTime::now());
        !std::mem::replace(&mut entry.writing, true)
    };
    if start {
        smol::spawn(write_shard(Arc::clone(state), shard)).detach();
    }
    result.recv().await.unwrap_or(ClaimVerdict::Expired)
}

/// Writes a shard's batches until no claim is pending.
async fn write_shard(state: Arc<EntryState>, shard: u64) {
    loop {
        let step = {
            let mut shards = state.claims.shards();
            let Some(entry) = shards.get_mut(&shard) else {
                return;
            };
            let now = ClockTime::now();
            let expired = entry.batch.expire(now);
            entry.send_verdicts(expired);
            if entry.batch.is_empty() {
                entry.writing = false;
                return;
            }
            match entry.batch.due_at() {
                Some(due) if due <= now => {
                    entry.batch.begin_write(now);
                    None
                }
                Some(due) => Some(due.since(now).min(WRITER_STEP)),
                None => Some(WRITER_STEP),
            }
        };
        match step {
            Some(wait) => {
                smol::Timer::after(wait).await;
            }
            None => write_batch(&state, shard).await,
        }
    }
}

/// Writes a batch with one conditional update. If the reply to a write is lost, the record is read
/// again; a claim that took effect is recognized by its request id.
async fn write_batch(state: &EntryState, shard: u64) {
    let outcome = store_batch(state, shard).await;
    let mut shards = state.claims.shards();
    let Some(entry) = shards.get_mut(&shard) else {
        return;
    };
    match outcome {
        Ok(record) => {
            let results = entry.batch.complete_write(record, ClockTime::now());
            entry.send_verdicts(results);
        }
        Err(error) => {
            log_event!(warn, "claim-write-failed", shard = shard, error = error);
            entry.batch.record_failure(ClockTime::now());
        }
    }
}

async fn store_batch(state: &EntryState, shard: u64) -> Result<ClaimsRecord, StoreError> {
    let key = claim_key(shard);
    for _ in 0..MAX_CONFLICT_TRIES {
        let stored = state.objects.get::<ClaimsRecord>(&key).await?;
        let empty =
            || StoredObject { version: StoreRevision::ZERO, value: ClaimsRecord::default() };
        let StoredObject { version, value: mut record } = stored.unwrap_or_else(empty);
        let changed = {
            let shards = state.claims.shards();
            shards.get(&shard).is_some_and(|entry| entry.batch.apply(&mut record, WallTime::now()))
        };
        if !changed {
            return Ok(record);
        }
        match state.objects.put(&key, version, &record).await {
            Ok(_) => return Ok(record),
            Err(StoreError::Conflict { .. } | StoreError::Uncertain) => {}
            Err(error) => return Err(error),
        }
    }
    Err(StoreError::Unavailable)
}
