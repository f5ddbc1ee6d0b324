//! Read, change, conditional write.

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

/// Adds "ours" once, by its name.
fn add_ours(names: &mut Vec<String>) -> UpdateChoice {
    if names.iter().any(|name| name == "ours") {
        return UpdateChoice::Keep;
    }
    names.push("ours".to_owned());
    UpdateChoice::Write
}

async fn update(
    platform: &ScriptedPlatform,
    limit: Duration,
) -> Result<UpdatedObject<Vec<String>>, StoreError> {
    update_object(&platform.client(), "a", limit, add_ours).await
}

fn updated(version: u64, names: &[&str], written: bool) -> UpdatedObject<Vec<String>> {
    let value = names.iter().map(|name| name.to_string()).collect();
    UpdatedObject { version: StoreRevision(version), value, written }
}

const PATIENCE: Duration = Duration::from_secs(30);

#[test]
fn first_write() {
    smol::block_on(async {
        let absent = Answer(404, "", &[]);
        let platform = ScriptedPlatform::start([absent, done(r#"{"version":1}"#)]);
        assert_eq!(update(&platform, PATIENCE).await, Ok(updated(1, &["ours"], true)));
        assert_eq!(platform.lines(), ["GET /objects/a", "PUT /objects/a?if_version=0"]);
    });
}

#[test]
fn raced_write() {
    // Another process writes between the read and the write. Its change must
    // survive: ours is made again on top of it.
    smol::block_on(async {
        let platform = ScriptedPlatform::start([AT_5, CONFLICT, AT_6, done(r#"{"version":7}"#)]);
        let expected = updated(7, &["theirs", "other", "ours"], true);
        assert_eq!(update(&platform, PATIENCE).await, Ok(expected));
        let written = &platform.requests()[3];
        assert_eq!(written.line, "PUT /objects/a?if_version=6");
        assert_eq!(written.body, r#"["theirs","other","ours"]"#);
    });
}

#[test]
fn lost_answer() {
    // The write takes effect and its answer is lost. Reading again finds the
    // change; it must be taken for done, and not be made a second time.
    smol::block_on(async {
        let platform = ScriptedPlatform::start([AT_5, HangUp, AT_6_OURS]);
        let expected = updated(6, &["theirs", "ours"], false);
        assert_eq!(update(&platform, PATIENCE).await, Ok(expected));
        assert_eq!(platform.requests().len(), 3);
    });
}

#[test]
fn doubt_reported() {
    // A write's answer is lost, and then the store is out of service: nothing was
    // done by the last try, but the first may have taken effect, or may yet. Only
    // a read that finds another version, without the change, ends the doubt.
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
            assert_eq!(update(&platform, PATIENCE).await, Err(expected), "{steps:?}");
        }
    });
}

#[test]
fn tries_bounded() {
    // Processes that race for one object for ever must not wear the store out.
    smol::block_on(async {
        let steps = [AT_5, CONFLICT].into_iter().cycle().take(200);
        let platform = ScriptedPlatform::start(steps);
        let conflict = StoreError::Conflict { present: StoreRevision(6) };
        assert_eq!(update(&platform, PATIENCE).await, Err(conflict));
        assert!(platform.requests().len() <= 24, "{}", platform.requests().len());
    });
}

#[test]
fn rate_respected() {
    // The store says when to come back, later than the update may take: coming
    // back sooner would only keep it over its rate.
    smol::block_on(async {
        let platform = ScriptedPlatform::start([Answer(429, "", &["retry-after-ms: 60000"])]);
        let limited = StoreError::RateLimited { retry_after: Duration::from_secs(60) };
        assert_eq!(update(&platform, PATIENCE).await, Err(limited));
        assert_eq!(platform.requests().len(), 1);
    });
}
