//! Ids are serialized as hexadecimal text in JSON and as bytes in postcard.

#![allow(clippy::unwrap_used)]

use quickcheck::quickcheck;
use sagespool_types::{ContentDigest, GrantId, IncarnationId, KeyDigest, RequestId};
use serde::Serialize;
use serde::de::DeserializeOwned;

fn round_trips<T: Serialize + DeserializeOwned + PartialEq>(id: &T) -> bool {
    let text = serde_json::to_string(id).unwrap();
    let bytes = postcard::to_allocvec(id).unwrap();
    serde_json::from_str::<T>(&text).unwrap() == *id
        && postcard::from_bytes::<T>(&bytes).unwrap() == *id
}

#[test]
fn text_and_bytes() {
    let request = RequestId(0xc0ffee);
    let text = serde_json::to_string(&request).unwrap();
    assert_eq!(text, "\"00000000000000000000000000c0ffee\"");
    assert_eq!(postcard::to_allocvec(&request).unwrap().len(), 16);

    let grant = GrantId { holder: IncarnationId(0xc0ffee), number: 7 };
    assert_eq!(serde_json::to_string(&grant).unwrap(), "\"0000000000c0ffee-7\"");
    assert_eq!(postcard::to_allocvec(&grant).unwrap().len(), 9);
}

#[test]
fn bad_text() {
    assert!(serde_json::from_str::<RequestId>("\"no id\"").is_err());
    assert!(serde_json::from_str::<GrantId>("\"c0ffee\"").is_err());
    assert!(serde_json::from_str::<KeyDigest>("7").is_err());
}

quickcheck! {
    fn round_trip(one: u64, other: u128, number: u64) -> bool {
        let holder = IncarnationId(one);
        round_trips(&holder)
            && round_trips(&RequestId(other))
            && round_trips(&KeyDigest(other))
            && round_trips(&ContentDigest(other))
            && round_trips(&GrantId { holder, number })
    }
}
