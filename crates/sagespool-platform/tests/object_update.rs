//! Read-modify-write with `update_object`.

mod support;

use std::time::Duration;

use sagespool_platform::{StoreError, UpdateChoice, UpdatedObject, update_object};
use sagespool_types::StoreRevision;
use support::PlatformStep::{Answer, HangUp};
use support::{PlatformStep, ScriptedPlatform, done};

const OUTAGE: PlatformStep = Answer(503, "", &[]);
const AT_5: PlatformStep = Answer(200, r#"{"key":"a","version":5,"value":["theirs"]}"#, &[]);
const AT_6: PlatformStep =
    Answer(200, r#"{"key":"a","version":6,"value":["theirs","other"]}"#, &[]);
const AT_6_OURS: PlatformStep =
    Answer(200, r#"{"key":"a","version":6,"value":["theirs","ours"]}"#, &[]);
const CONFLICT: PlatformStep = Answer(409, r#"{"version":6}"#, &[]);

/// Adds "ours" unless it is there already.
fn add_ours(names: &mut Vec<String>) -> UpdateChoice {
    if names.iter().any(|name| name == "ours") {
        return UpdateChoice::Keep;
    }
    names.push("ours".to_owned());
    UpdateChoice::Write
}

async fn update(
    platform: &ScriptedPlatform,
    time_limit: Duration,
) -> Result<UpdatedObject<Vec<String>>, StoreError> {
    update_object(&platform.client(), "a", time_limit, add_ours).await
}

fn updated(version: u64, names: &[&str], written: bool) -> UpdatedObject<Vec<String>> {
    let value = names.iter().map(|name| name.to_string()).collect();
    UpdatedObject { version: StoreRevision(version), value, written }
}

const TIME_LIMIT: Duration = Duration::from_secs(30);

#[test]
fn first_write() {
    smol::block_on(async {
        let absent = Answer(404, "", &[]);
        let platform = ScriptedPlatform::start([absent, done(r#"{"version":1}"#)]);
        assert_eq!(update(&platform, TIME_LIMIT).await, Ok(updated(1, &["ours"], true)));
        assert_eq!(platform.lines(), ["GET /objects/a", "PUT /objects/a?if_version=0"]);
    });
}

#[test]
fn concurrent_write() {
    // Another process writes between the read and the write. Its change must be kept: ours is
    // applied again to the new value.
    smol::block_on(async {
        let platform = ScriptedPlatform::start([AT_5, CONFLICT, AT_6, done(r#"{"version":7}"#)]);
        let expected = updated(7, &["theirs", "other", "ours"], true);
        assert_eq!(update(&platform, TIME_LIMIT).await, Ok(expected));
        let written = &platform.requests()[3];
        assert_eq!(written.line, "PUT /objects/a?if_version=6");
        assert_eq!(written.body, r#"["theirs","other","ours"]"#);
    });
}

#[test]
fn lost_response() {
    // The write takes effect and its response is lost. The next read finds the change, which must
    // not be applied a second time.
    smol::block_on(async {
        let platform = ScriptedPlatform::start([AT_5, HangUp, AT_6_OURS]);
        let expected = updated(6, &["theirs", "ours"], false);
        assert_eq!(update(&platform, TIME_LIMIT).await, Ok(expected));
        assert_eq!(platform.requests().len(), 3);
    });
}

#[test]
fn uncertainty_reported() {
    // The response to a write is lost, and then the store is unavailable: the last attempt had no
    // effect, but the first may have taken effect, or may still do so. Only a read that finds another
    // version, without the change, settles it.
    let cases = [
        (vec![AT_5, HangUp, OUTAGE], StoreError::Uncertain),
        (vec![AT_5, HangUp, AT_5, OUTAGE], StoreError::Uncertain),
        (vec![AT_5, HangUp, AT_5, CONFLICT, OUTAGE], StoreError::Uncertain),
        (vec![AT_5, HangUp, AT_6, OUTAGE], StoreError::Unavailable),
        (vec![AT_5, OUTAGE], StoreError::Unavailable),
        (vec![AT_5, HangUp, Answer(400, "", &[])], StoreError::Uncertain),
    ];
    smol::block_on(async {
        for (steps, expected) in cases {
            let platform = ScriptedPlatform::start(steps.clone());
            assert_eq!(update(&platform, TIME_LIMIT).await, Err(expected), "{steps:?}");
        }
    });
}

#[test]
fn attempts_bounded() {
    // Guards against endless load on the store by processes that keep writing the same object.
    smol::block_on(async {
        let steps = [AT_5, CONFLICT].into_iter().cycle().take(200);
        let platform = ScriptedPlatform::start(steps);
        let conflict = StoreError::Conflict { present: StoreRevision(6) };
        assert_eq!(update(&platform, TIME_LIMIT).await, Err(conflict));
        assert!(platform.requests().len() <= 24, "{}", platform.requests().len());
    });
}

#[test]
fn retry_after_respected() {
    // The store's `retry-after` is longer than the update's time limit: an earlier retry would only
    // keep the store over its rate limit.
    smol::block_on(async {
        let platform = ScriptedPlatform::start([Answer(429, "", &["retry-after-ms: 60000"])]);
        let limited = StoreError::RateLimited { retry_after: Duration::from_secs(60) };
        assert_eq!(update(&platform, TIME_LIMIT).await, Err(limited));
        assert_eq!(platform.requests().len(), 1);
    });
}
