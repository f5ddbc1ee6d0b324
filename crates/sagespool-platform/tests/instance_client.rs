//! Contract of the client of the instance list.

mod support;

use std::time::Duration;

use sagespool_messages::MemberRole;
use sagespool_platform::{
    InstanceClient, InstanceListing, ListedInstance, ListedState, StoreError,
};
use sagespool_types::StoreRevision;
use support::PlatformStep::{Answer, HangUp};
use support::{ScriptedPlatform, done};

const LISTING: &str = r#"{"revision":7,"instances":[
    {"instance":"entry-1","role":"entry","region":"muscat","centre":"ghala",
     "address":"10.0.0.1:7000","state":"live"},
    {"instance":"side-1","role":"sidecar","region":"muscat","centre":"seeb",
     "address":"10.0.0.2:7000","state":"leaving"}]}"#;

#[test]
fn list_and_watch() {
    smol::block_on(async {
        let platform = ScriptedPlatform::start([done(LISTING)]);
        let client = InstanceClient::new(platform.address, None);
        let wait = Duration::from_millis(70);
        let listed = |instance: &str, role, centre: &str, address: &str, state| ListedInstance {
            instance: instance.parse().unwrap(),
            role,
            region: "muscat".parse().unwrap(),
            centre: centre.parse().unwrap(),
            address: address.parse().unwrap(),
            state,
        };
        let listing = InstanceListing {
            revision: StoreRevision(7),
            instances: vec![
                listed("entry-1", MemberRole::Entry, "ghala", "10.0.0.1:7000", ListedState::Live),
                listed(
                    "side-1",
                    MemberRole::Sidecar,
                    "seeb",
                    "10.0.0.2:7000",
                    ListedState::Leaving,
                ),
            ],
        };
        assert_eq!(client.list(None, wait).await.as_ref(), Ok(&listing));
        assert_eq!(client.list(Some(StoreRevision(6)), wait).await.as_ref(), Ok(&listing));
        assert_eq!(platform.lines(), ["GET /instances", "GET /instances?after=6&wait_ms=70"]);
        assert_eq!((client.counters().reads, client.counters().watches), (1, 1));
    });
}

#[test]
fn list_unknown() {
    // An unavailable or invalid list must not be taken for an empty one, which would mean that every
    // instance is gone.
    let cases = [
        (Answer(503, "", &[]), StoreError::Unavailable),
        (HangUp, StoreError::Unavailable),
        (Answer(404, "", &[]), StoreError::Malformed(String::new())),
        (done("{}"), StoreError::Malformed(String::new())),
        (done(r#"{"revision":7,"instances":[{}]}"#), StoreError::Malformed(String::new())),
    ];
    smol::block_on(async {
        for (step, expected) in cases {
            let platform = ScriptedPlatform::start([step.clone()]);
            let client = InstanceClient::new(platform.address, None);
            let error = client.list(None, Duration::ZERO).await.unwrap_err();
            let same_kind = std::mem::discriminant(&error) == std::mem::discriminant(&expected);
            assert!(same_kind, "{step:?}: {error}");
        }
    });
}
