//! Cost of claims: size and time by the number of claims in a record, and store
//! writes per claim by the rate of claims.
//!
//! `cargo run --release -p sagespool-claims --example claim_bench`

use std::time::{Duration, Instant};

use sagespool_claims::{
    BatchPolicy, CLAIM_SHARDS, ClaimBatch, ClaimIntent, ClaimsRecord, DETAIL_RETENTION, claim_shard,
};
use sagespool_types::{
    AttemptNumber, ClockTime, ContentDigest, IncarnationId, KeyDigest, RequestId, WallTime,
};

const DAY: Duration = Duration::from_secs(24 * 3600);
const START: WallTime = WallTime(1_700_000_000_000);
/// Time that the store takes for a read and a write together.
const STORE_TIME: Duration = Duration::from_millis(10);
const RUN_SECONDS: u64 = 20;

fn main() {
    for (fresh, aged) in [(0, 0), (100, 0), (1000, 0), (5000, 0), (100, 10_000), (100, 60_000)] {
        measure_record(fresh, aged);
    }
    for homes in [1, 10] {
        for rate in [5, 20, 100, 500, 2000] {
            measure_writes(rate, homes);
        }
    }
}

fn intent() -> ClaimIntent {
    ClaimIntent {
        key: KeyDigest(fastrand::u128(..)),
        request: RequestId::random(),
        content: ContentDigest(fastrand::u128(..)),
        sidecar: IncarnationId::random(),
        attempt: AttemptNumber(1),
        home: IncarnationId(1),
        replaces: None,
        time_left: Duration::from_secs(10),
    }
}

fn fill(record: &mut ClaimsRecord, count: usize, at: WallTime) {
    for _ in 0..count {
        let intent = intent();
        let entry = sagespool_claims::ClaimEntry {
            request: intent.request,
            content: intent.content,
            sidecar: intent.sidecar,
            attempt: intent.attempt,
            at,
        };
        record.claims.insert(intent.key, entry);
    }
}

fn measure_record(fresh: usize, aged: usize) {
    let mut record = ClaimsRecord::default();
    fill(&mut record, aged, START);
    let now = WallTime(START.0 + 2 * DETAIL_RETENTION.as_millis() as u64);
    record.claim(&intent(), now, DAY);
    fill(&mut record, fresh, now);
    let timer = Instant::now();
    let bytes = serde_json::to_vec(&record).map_or(0, |bytes| bytes.len());
    let write = timer.elapsed().as_micros();
    let estimate = record.estimated_bytes();
    let tries = 200;
    let timer = Instant::now();
    for _ in 0..tries {
        record.claim(&intent(), now, DAY);
    }
    let claim = timer.elapsed().as_micros() as f64 / f64::from(tries);
    println!(
        "record fresh={fresh} aged={aged} bytes={bytes} estimate={estimate} \
         claim_us={claim:.1} encode_us={write}",
    );
}

/// Simulates claims that arrive at a constant rate at random homes and shards. Each home has a
/// batch per shard, and each write takes [`STORE_TIME`].
fn measure_writes(rate: u64, homes: usize) {
    let policy = BatchPolicy::default();
    let shards = CLAIM_SHARDS as usize;
    let mut batches: Vec<_> =
        (0..homes * shards).map(|_| (ClaimBatch::new(policy.clone()), None)).collect();
    let mut writes = 0_u64;
    let mut waits = Vec::new();
    let mut arrived: Vec<Vec<ClockTime>> = vec![Vec::new(); homes * shards];
    for millis in 0..RUN_SECONDS * 1000 {
        let now = ClockTime::from_millis(millis);
        let before = millis * rate / 1000;
        for _ in before..(millis + 1) * rate / 1000 {
            let intent = intent();
            let index = fastrand::usize(..homes) * shards + claim_shard(intent.key) as usize;
            batches[index].0.add(intent, now);
            arrived[index].push(now);
        }
        for (index, (batch, ends)) in batches.iter_mut().enumerate() {
            if ends.is_some_and(|ends| ends <= now) {
                *ends = None;
                let completed = batch.complete_write(ClaimsRecord::default(), now).len();
                waits.extend(arrived[index].drain(..completed).map(|at| now.since(at)));
            }
            if batch.due_at().is_some_and(|due| due <= now) && batch.begin_write(now) {
                writes += 1;
                *ends = Some(now.after(STORE_TIME));
            }
        }
    }
    waits.sort();
    let claims = waits.len().max(1);
    let median = waits.get(claims / 2).copied().unwrap_or_default();
    println!(
        "writes claims_s={rate} homes={homes} writes_s={:.1} writes_claim={:.2} wait_ms={}",
        writes as f64 / RUN_SECONDS as f64,
        writes as f64 / claims as f64,
        median.as_millis(),
    );
}
