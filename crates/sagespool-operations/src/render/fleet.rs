//! Running requests, upstreams, members and quarantined requests as tables.

use super::{column_table, show_option, show_time};
use crate::{
    MemberRow, MembersAnswer, QuarantineAnswer, QuarantineRow, RunningAnswer, RunningRow,
    UpstreamRow, UpstreamsAnswer,
};

pub(super) fn render_running(answer: &RunningAnswer) -> String {
    let header = ["request", "attempt", "branch", "class", "upstream", "for ms", "tokens"];
    let mut text = column_table(&header, &[1, 5, 6], answer.rows.iter().map(show_running));
    for instance in &answer.cut {
        text.push_str(&format!("\n{instance} runs more requests than it listed"));
    }
    text
}

fn show_running(row: &RunningRow) -> Vec<String> {
    let upstream_or_instance =
        row.upstream.as_ref().map_or(row.instance.as_str(), |upstream| upstream.as_str());
    vec![
        row.request.to_string(),
        row.attempt.to_string(),
        row.branch.to_string(),
        row.class.to_string(),
        upstream_or_instance.to_owned(),
        row.running_ms.to_string(),
        row.used.to_string(),
    ]
}

pub(super) fn render_upstreams(answer: &UpstreamsAnswer) -> String {
    let header = [
        "upstream",
        "service",
        "centre",
        "state",
        "in flight",
        "running",
        "waiting",
        "capacity",
        "tokens/s",
        "models",
    ];
    column_table(&header, &[4, 5, 6, 7, 8], answer.rows.iter().map(show_upstream))
}

fn show_upstream(row: &UpstreamRow) -> Vec<String> {
    let models: Vec<&str> = row.models.iter().map(|model| model.as_str()).collect();
    vec![
        row.upstream.to_string(),
        row.service.to_string(),
        row.centre.to_string(),
        row.state.to_string(),
        show_option(row.in_flight),
        row.running.to_string(),
        row.waiting.to_string(),
        row.capacity.to_string(),
        row.tokens_per_second.to_string(),
        models.join(" "),
    ]
}

pub(super) fn render_members(answer: &MembersAnswer) -> String {
    let header = [
        "instance",
        "role",
        "centre",
        "state",
        "configuration",
        "up s",
        "in flight",
        "incarnation",
    ];
    column_table(&header, &[4, 5, 6], answer.rows.iter().map(show_member))
}

fn show_member(row: &MemberRow) -> Vec<String> {
    let state = match (row.leaving, row.up_ms) {
        (true, _) => "leaving",
        (false, None) => "silent",
        (false, Some(_)) => "live",
    };
    vec![
        row.member.instance.to_string(),
        row.member.role.to_string(),
        row.centre.to_string(),
        state.to_owned(),
        row.config.to_string(),
        show_option(row.up_ms.map(|millis| millis / 1000)),
        show_option(row.in_flight),
        row.member.incarnation.to_string(),
    ]
}

pub(super) fn render_quarantine(answer: &QuarantineAnswer) -> String {
    let Some(rows) = &answer.rows else {
        return "quarantined requests unknown: the store could not be read".to_owned();
    };
    if rows.is_empty() {
        return "no request is quarantined".to_owned();
    }
    let header = ["content", "since", "crashes", "upstreams"];
    column_table(&header, &[2], rows.iter().map(show_quarantine))
}

fn show_quarantine(row: &QuarantineRow) -> Vec<String> {
    let mut upstreams: Vec<&str> =
        row.crashes.iter().map(|crash| crash.upstream.as_str()).collect();
    upstreams.dedup();
    vec![
        row.content.to_string(),
        show_time(row.since),
        row.crashes.len().to_string(),
        upstreams.join(" "),
    ]
}
