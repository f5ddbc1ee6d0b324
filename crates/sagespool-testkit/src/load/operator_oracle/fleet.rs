//! Checks answers to `running`, `upstreams`, `members` and `configuration`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sagespool_messages::MemberRole;
use sagespool_operations::{
    ConfigurationAnswer, MemberRow, MembersAnswer, RunningAnswer, RunningRow, UpstreamRow,
    UpstreamState, UpstreamsAnswer,
};
use sagespool_settings::CONFIGURATION_PREFIX;
use sagespool_types::{ClockTime, InstanceName, UpstreamName};

use super::{AnswerFacts, AnswerVerdict, revision_at};
use crate::RunRecord;
use crate::fleet::ProcessEventKind;
use crate::load::{AnswerSample, CallOutcome, LeavingSpan};

/// Time after its complete answer in which a request may still be listed as running.
const END_GRACE: Duration = Duration::from_secs(2);
/// Maximum age of an upstream's load report: its own lag plus the delay to the entry.
const REPORT_AGE: Duration = Duration::from_secs(6);
/// Time within which an upstream that begins to leave must be shown as leaving.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);
/// A process measures its uptime from shortly after its start.
const START_GRACE: Duration = Duration::from_millis(500);

/// False for baseline calls, which go directly to the engines and not through a sidecar.
fn is_routed(run: &RunRecord) -> bool {
    let marker = run.start.marker.as_ref();
    run.start.request.is_some() && marker.is_some_and(|marker| marker.branch.as_str() != "direct")
}

/// Routed runs at an upstream that were running throughout the query.
fn runs_throughout<'a>(
    facts: &'a AnswerFacts,
    sample: &AnswerSample,
    upstream: &UpstreamName,
) -> Vec<&'a RunRecord> {
    let runs = facts.runs.iter().filter(|run| {
        run.start.upstream == *upstream
            && is_routed(run)
            && run.running_at(sample.before)
            && run.running_at(sample.after)
    });
    runs.collect()
}

pub(super) fn judge_running(
    sample: &AnswerSample,
    answer: &RunningAnswer,
    facts: &AnswerFacts,
    verdict: &mut AnswerVerdict,
) {
    for row in &answer.rows {
        judge_running_row(sample, row, facts, verdict);
    }
    let listed: BTreeSet<(&UpstreamName, String)> = answer
        .rows
        .iter()
        .filter_map(|row| Some((row.upstream.as_ref()?, row.request.to_string())))
        .collect();
    let answered = sample.answer.basis.answered.iter();
    let whole = answered
        .filter(|label| label.role == MemberRole::Sidecar && !answer.cut.contains(&label.instance));
    for label in whole {
        let Some(upstream) = facts.upstreams.get(&label.instance) else { continue };
        for run in runs_throughout(facts, sample, upstream) {
            let request = run.start.request.clone().unwrap_or_default();
            let is_listed = listed.contains(&(upstream, request.clone()));
            verdict.check(sample, is_listed, || {
                format!("{request} was running at {upstream}; its sidecar did not list it")
            });
        }
    }
}

fn judge_running_row(
    sample: &AnswerSample,
    row: &RunningRow,
    facts: &AnswerFacts,
    verdict: &mut AnswerVerdict,
) {
    let request = row.request.to_string();
    let sends =
        facts.records.iter().flat_map(|record| record.sends.iter().map(move |send| (record, send)));
    let mut own = sends.filter(|(_, send)| send.request.as_ref() == Some(&request));
    // The request id of a send is unknown if its connection broke before the response head.
    if let Some((record, send)) = own.next() {
        verdict.check(sample, *record.call.branch() == row.branch, || {
            format!("{request} listed with branch {}, sent by another", row.branch)
        });
        let is_whole = matches!(send.outcome, CallOutcome::Whole { .. });
        let is_over = is_whole && send.ended.after(END_GRACE) < sample.before;
        verdict.check(sample, !is_over && send.sent <= sample.after, || {
            format!(
                "{request} listed as running; sent at {} ms, ended at {} ms",
                send.sent.0 / 1000,
                send.ended.0 / 1000
            )
        });
    }
    let runs = facts.runs.iter().filter(|run| {
        run.start.request.as_ref() == Some(&request)
            && Some(&run.start.upstream) == row.upstream.as_ref()
            && run.start.attempt == Some(row.attempt)
    });
    for run in runs {
        let most = run.used_at(sample.after).most + run.start.resumed_from;
        verdict.check(sample, row.used <= most, || {
            format!("{request} listed with {} tokens used; at most {most}", row.used)
        });
    }
}

/// The maximum number of concurrent runs at an upstream within a time span.
fn max_concurrent_runs(
    facts: &AnswerFacts,
    upstream: &UpstreamName,
    from: ClockTime,
    to: ClockTime,
) -> u32 {
    let runs = facts.runs.iter().filter(|run| {
        run.start.upstream == *upstream
            && run.started_at <= to
            && run.ended.is_none_or(|(_, ended)| ended >= from)
    });
    let mut steps: Vec<(ClockTime, i32)> = Vec::new();
    for run in runs {
        steps.push((run.started_at.max(from), 1));
        if let Some((_, ended)) = run.ended {
            steps.push((ended.after(Duration::from_micros(1)), -1));
        }
    }
    steps.sort();
    let mut present = 0;
    let counts = steps.iter().map(|(_, change)| {
        present += change;
        present
    });
    counts.max().unwrap_or(0).max(0) as u32
}

pub(super) fn judge_upstreams(
    sample: &AnswerSample,
    answer: &UpstreamsAnswer,
    facts: &AnswerFacts,
    verdict: &mut AnswerVerdict,
) {
    for row in answer.rows.iter().filter(|row| row.state != UpstreamState::Silent) {
        judge_upstream(sample, row, facts, verdict);
        judge_upstream_state(sample, row, facts, verdict);
    }
}

fn judge_upstream(
    sample: &AnswerSample,
    row: &UpstreamRow,
    facts: &AnswerFacts,
    verdict: &mut AnswerVerdict,
) {
    let upstream = &row.upstream;
    let expected = facts.upstreams.get(&row.sidecar.instance);
    verdict.check(sample, expected == Some(upstream), || {
        format!("{upstream} listed with sidecar {}; not its sidecar", row.sidecar.instance)
    });
    let throughout = runs_throughout(facts, sample, upstream).len() as u32;
    verdict.check(sample, row.in_flight.is_none_or(|reported| reported >= throughout), || {
        format!("{upstream} listed with {:?} in flight; {throughout} were running", row.in_flight)
    });
    let from = ClockTime(sample.before.0.saturating_sub(REPORT_AGE.as_micros() as u64));
    let most = max_concurrent_runs(facts, upstream, from, sample.after);
    verdict.check(sample, row.running <= most, || {
        format!("{upstream} listed with {} running; at most {most} at once", row.running)
    });
}

fn judge_upstream_state(
    sample: &AnswerSample,
    row: &UpstreamRow,
    facts: &AnswerFacts,
    verdict: &mut AnswerVerdict,
) {
    let spans: Vec<LeavingSpan> =
        facts.fault_log.spans().into_iter().filter(|span| span.upstream == row.upstream).collect();
    let detail = |state: &str| format!("{} listed as {state}: {spans:?}", row.upstream);
    match row.state {
        UpstreamState::Serving => {
            let is_within = |span: &LeavingSpan| {
                sample.before > span.began.after(LEAVING_LIMIT)
                    && span.ended.is_none_or(|ended| sample.after < ended)
            };
            verdict.check(sample, !spans.iter().any(is_within), || detail("serving"));
        }
        UpstreamState::Drained | UpstreamState::Leaving => {
            let has_begun = spans.iter().any(|span| span.began <= sample.after);
            verdict.check(sample, has_begun, || detail("leaving or drained"));
        }
        UpstreamState::Unhealthy | UpstreamState::Silent => {}
    }
}

pub(super) fn judge_members(
    sample: &AnswerSample,
    answer: &MembersAnswer,
    facts: &AnswerFacts,
    verdict: &mut AnswerVerdict,
) {
    let mut answered: BTreeMap<&InstanceName, u32> = BTreeMap::new();
    for row in &answer.rows {
        judge_member(sample, row, facts, verdict);
        if row.up_ms.is_some() {
            *answered.entry(&row.member.instance).or_default() += 1;
        }
    }
    for (instance, runs) in answered {
        verdict.check(sample, runs == 1, || format!("{runs} incarnations of {instance} answered"));
    }
}

fn judge_member(
    sample: &AnswerSample,
    row: &MemberRow,
    facts: &AnswerFacts,
    verdict: &mut AnswerVerdict,
) {
    let instance = &row.member.instance;
    let own = || facts.process_events.iter().filter(|event| event.instance == *instance);
    if row.leaving {
        let was_stopped =
            own().any(|event| event.kind != ProcessEventKind::Started && event.at <= sample.after);
        verdict.check(sample, was_stopped, || format!("{instance} listed as leaving; not stopped"));
    }
    let Some(up_ms) = row.up_ms else { return };
    let starts = own().filter(|event| event.kind == ProcessEventKind::Started);
    let last =
        own().filter(|event| event.kind != ProcessEventKind::Stopping && event.at <= sample.before);
    let is_down = last.max_by_key(|event| event.at).is_none_or(|event| {
        event.kind == ProcessEventKind::Ended
            && !starts.clone().any(|start| start.at > event.at && start.at <= sample.after)
    });
    verdict.check(sample, !is_down, || format!("{instance} listed as answering; it was down"));
    let first = starts.clone().map(|start| start.at).min();
    let longest = first.map(|first| sample.after.since(first) + START_GRACE);
    let reported = Duration::from_millis(up_ms);
    verdict.check(sample, longest.is_some_and(|longest| reported <= longest), || {
        format!("{instance} listed with an uptime of {up_ms} ms; longer than since its first start")
    });
}

pub(super) fn judge_configuration(
    sample: &AnswerSample,
    answer: &ConfigurationAnswer,
    facts: &AnswerFacts,
    verdict: &mut AnswerVerdict,
) {
    for object in answer.objects.iter().flatten() {
        let least = revision_at(facts, sample.before, |key| key == object.key);
        let most = revision_at(facts, sample.after, |key| key == object.key);
        let is_true = least <= object.version && object.version <= most;
        verdict.check(sample, is_true, || {
            format!("{} listed with version {}; {least} to {most}", object.key, object.version)
        });
    }
    let newest = revision_at(facts, sample.after, |key| key.starts_with(CONFIGURATION_PREFIX));
    let rows = answer.in_force.entries.iter().chain(&answer.in_force.sidecars);
    let reported =
        rows.map(|row| row.version.0).chain(answer.entry_version.map(|version| version.0));
    for version in reported {
        verdict.check(sample, version <= newest.0, || {
            format!("version {version} listed as in force; the newest is {newest}")
        });
    }
}
