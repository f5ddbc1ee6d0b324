//! Requests that crash upstreams: reported to every entry and recorded in the store.

use std::sync::Arc;
use std::time::Duration;

use sagespool_claims::{CrashVerdict, QUARANTINE_KEY, QuarantineRecord, StopOutcome};
use sagespool_log::log_event;
use sagespool_messages::{CrashReport, MemberRole, PeerRequest};
use sagespool_platform::{UpdateChoice, update_object};
use sagespool_types::{ClockTime, ContentDigest, WallTime};

use crate::state::EntryState;

const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_STORE_TRIES: u32 = 8;
const STORE_TIMEOUT: Duration = Duration::from_secs(5);
const WATCH_WAIT: Duration = Duration::from_secs(20);
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Records a crash and reports it to every other entry before the request is retried. Otherwise a
/// caller that resends the request through another entry could crash one more upstream.
pub(crate) async fn broadcast_crash(state: &Arc<EntryState>, report: &CrashReport) {
    record_crash(state, report);
    let others = state.members.live(MemberRole::Entry, ClockTime::now());
    let mut reports = Vec::new();
    for member in others {
        if member.incarnation == state.incarnation {
            continue;
        }
        let (link, request) = (state.link().clone(), PeerRequest::ReportCrash(report.clone()));
        reports.push(smol::spawn(async move {
            link.request(member.address, &request, REPORT_TIMEOUT).await
        }));
    }
    for answer in reports {
        if let Err(error) = answer.await {
            log_event!(warn, "crash-report-failed", content = report.content, error = error);
        }
    }
}

/// Records a crash that this entry observed or that another entry reported.
pub(crate) fn record_crash(state: &Arc<EntryState>, report: &CrashReport) {
    let verdict = state.crashes.record(report, ClockTime::now());
    log_event!(
        warn,
        "upstream-crash",
        content = report.content,
        upstream = report.upstream,
        attempt = report.attempt,
        verdict = format!("{verdict:?}")
    );
    if verdict == CrashVerdict::Stopped {
        smol::spawn(store_verdicts(Arc::clone(state))).detach();
    }
}

/// Clears a suspect content whose run completed: it was only in flight when its upstream crashed.
pub(crate) fn clear_suspect(state: &Arc<EntryState>, content: ContentDigest) {
    if !state.crashes.is_suspect(content) {
        return;
    }
    log_event!(info, "suspect-cleared", content = content);
    if state.crashes.record_success(content) {
        smol::spawn(lift_verdict(Arc::clone(state), content)).detach();
    }
}

async fn lift_verdict(state: Arc<EntryState>, content: ContentDigest) {
    let lift = |record: &mut QuarantineRecord| match record.lift(content, WallTime::now()) {
        true => UpdateChoice::Write,
        false => UpdateChoice::Keep,
    };
    if let Err(error) = update_object(&state.objects, QUARANTINE_KEY, STORE_TIMEOUT, lift).await {
        log_event!(warn, "quarantine-lift-failed", content = content, error = error);
    }
}

/// Writes quarantine verdicts to the store, so that they outlive every entry.
async fn store_verdicts(state: Arc<EntryState>) {
    for _ in 0..MAX_STORE_TRIES {
        let stored = update_object(
            &state.objects,
            QUARANTINE_KEY,
            STORE_TIMEOUT,
            |record: &mut QuarantineRecord| {
                let mut changed = false;
                for (content, crashes) in state.crashes.unsaved() {
                    changed |=
                        record.stop(content, &crashes, WallTime::now()) != StopOutcome::Lifted;
                }
                if changed { UpdateChoice::Write } else { UpdateChoice::Keep }
            },
        )
        .await;
        match stored {
            Ok(updated) => {
                state.crashes.apply_record(&updated.value, ClockTime::now());
                return;
            }
            Err(error) => log_event!(warn, "quarantine-write-failed", error = error),
        }
        smol::Timer::after(RETRY_PAUSE).await;
    }
}

/// Watches the quarantine record in the store: contents that other entries or earlier processes
/// quarantined, and those that an operator released.
pub(crate) async fn run_crash_watch(state: Arc<EntryState>) {
    loop {
        let Ok(listing) = state.objects.list::<QuarantineRecord>(QUARANTINE_KEY).await else {
            smol::Timer::after(RETRY_PAUSE).await;
            continue;
        };
        for (_, stored) in &listing.items {
            state.crashes.apply_record(&stored.value, ClockTime::now());
        }
        let mut after = listing.revision;
        loop {
            let changes =
                state.objects.watch::<QuarantineRecord>(QUARANTINE_KEY, after, WATCH_WAIT).await;
            let Ok(changes) = changes else {
                smol::Timer::after(RETRY_PAUSE).await;
                break;
            };
            after = changes.revision;
            for record in changes.changes.iter().filter_map(|change| change.value.as_ref()) {
                state.crashes.apply_record(record, ClockTime::now());
            }
        }
    }
}
