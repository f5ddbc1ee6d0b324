//! Encoded sizes of messages between processes, without the link's frame of 5 bytes.
//!
//!     cargo run --release --locked -p sagespool-messages --example message_sizes

#![allow(clippy::unwrap_used, reason = "an example may panic on failure")]

use std::time::Duration;

use sagespool_messages::{
    ChargeRecord, ChargeReport, ChargesDurable, ClaimReply, ClaimRequest, CoverReply, CoverRequest,
    FinishReport, FinishState, Heartbeat, LoadReport, MemberInfo, MemberRole, PeerReply,
    PeerRequest, ReserveReply, ReserveRequest, ReservedCharge, ServedUpstream, UpstreamKind,
};
use sagespool_types::{
    AttemptNumber, ChargeId, ConfigVersion, ContentDigest, GrantId, IncarnationId,
    InstanceCapacity, KeyDigest, LoadPressure, RequestId, SequenceNumber, StoreRevision,
    TokenCount,
};
use serde::Serialize;

const HOLDER: IncarnationId = IncarnationId(u64::MAX);
const REQUEST: RequestId = RequestId(u128::MAX);
const KEY: KeyDigest = KeyDigest(u128::MAX);
const CONTENT: ContentDigest = ContentDigest(u128::MAX);
const TIME_LEFT: Duration = Duration::from_secs(10);

fn charge(sequence: u64) -> ChargeId {
    ChargeId { grant: GrantId { holder: HOLDER, number: 300 }, sequence: SequenceNumber(sequence) }
}

fn record(sequence: u64) -> ChargeRecord {
    ChargeRecord {
        charge: charge(sequence),
        branch: "ruwi-bids".parse().unwrap(),
        request: REQUEST,
        key: Some(KEY),
        attempt: AttemptNumber(1),
        used: TokenCount(400),
        ended: true,
        whole: true,
    }
}

fn reserve() -> ReserveRequest {
    ReserveRequest {
        request: REQUEST,
        entry: HOLDER,
        branch: "ruwi-bids".parse().unwrap(),
        service: "sage-core".parse().unwrap(),
        class: "interactive".parse().unwrap(),
        key: Some(KEY),
        content: CONTENT,
        non_idempotent: false,
        amount: TokenCount(600),
        time_left: TIME_LEFT,
    }
}

fn claim() -> ClaimRequest {
    ClaimRequest {
        request: REQUEST,
        branch: "ruwi-bids".parse().unwrap(),
        key: KEY,
        content: CONTENT,
        charge: charge(1000),
        attempt: AttemptNumber(1),
        sidecar: HOLDER,
        upstream: "sage-core-7".parse().unwrap(),
        durable: true,
        time_left: TIME_LEFT,
    }
}

fn finish() -> FinishReport {
    FinishReport {
        request: REQUEST,
        branch: "ruwi-bids".parse().unwrap(),
        charge: charge(1000),
        state: FinishState::Ran(record(1000)),
        key: Some(KEY),
        rerun_tokens: TokenCount::ZERO,
    }
}

fn member() -> MemberInfo {
    MemberInfo {
        instance: "rusayl-sidecar-1207".parse().unwrap(),
        incarnation: HOLDER,
        number: 1_700_000_000_000,
        role: MemberRole::Sidecar,
        region: "muscat".parse().unwrap(),
        centre: "rusayl".parse().unwrap(),
        address: "10.20.30.40:7000".parse().unwrap(),
        leaving: false,
        config: ConfigVersion(40_000),
        started_at: Some(StoreRevision(9_000_000)),
        serves: Some(ServedUpstream {
            upstream: "sage-core-7".parse().unwrap(),
            kind: UpstreamKind::Engine,
            service: "sage-core".parse().unwrap(),
            models: vec!["sage-large".parse().unwrap()],
            capacity: 64,
            healthy: true,
            load: LoadReport::default(),
        }),
        capacity: InstanceCapacity(9),
    }
}

fn heartbeat(others: usize) -> Heartbeat {
    Heartbeat {
        from: member(),
        others: vec![member(); others],
        view_digest: u64::MAX,
        suspects: Vec::new(),
        slices: Vec::new(),
    }
}

fn report(charges: u64) -> ChargeReport {
    ChargeReport { sidecar: HOLDER, charges: (0..charges).map(|at| record(1000 + at)).collect() }
}

fn durable(charges: u64) -> ChargesDurable {
    ChargesDurable { charges: (0..charges).map(|at| charge(1000 + at)).collect() }
}

fn cover() -> CoverRequest {
    CoverRequest {
        leaver: HOLDER,
        number: 1000,
        slots: 4,
        pressure: LoadPressure(2500),
        out_share: 340,
    }
}

fn show(name: &str, message: &impl Serialize) {
    println!("{name}: {} bytes", postcard::to_allocvec(message).unwrap().len());
}

fn main() {
    for others in [0, 1, 10] {
        let name = format!("heartbeat with {others} others");
        show(&name, &PeerRequest::Heartbeat(heartbeat(others)));
    }
    show("reserve", &PeerRequest::Reserve(reserve()));
    let reserved = ReservedCharge {
        charge: charge(1000),
        grant_revision: StoreRevision(9_000_000),
        amount: TokenCount(600),
    };
    show("reserve, reply", &PeerReply::Reserve(ReserveReply::Reserved(reserved)));
    show("claim", &PeerRequest::Claim(claim()));
    show("claim, reply", &PeerReply::Claim(ClaimReply::Durable));
    show("finish", &PeerRequest::Finish(finish()));
    show("finish, reply", &PeerReply::Done);
    show("question for cover", &PeerRequest::AskCover(cover()));
    let promised = CoverReply::Promised { slots: 4, lease: Duration::from_secs(3) };
    show("question for cover, reply", &PeerReply::Cover(promised));
    for charges in [1, 10, 100] {
        let name = format!("report of {charges} charges");
        show(&name, &PeerRequest::ReportCharges(report(charges)));
        show(&format!("{name}, reply"), &PeerReply::ChargesDurable(durable(charges)));
    }
}
