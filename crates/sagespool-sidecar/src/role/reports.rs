//! Reports charges to the holders of their grants.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use sagespool_ledger::{BookRecord, book_key, book_of};
use sagespool_messages::{ChargeReport, ChargesDurable, PeerReply, PeerRequest};
use sagespool_types::{BookNumber, ClockTime, IncarnationId};
use smol::Timer;

use super::state::SidecarState;

/// How often due reports are sent.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// How often all charges are reported while the sidecar stops.
const FLUSH_INTERVAL: Duration = Duration::from_millis(500);

/// For a holder's reply, which needs no store access.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends reports as they become due, for the lifetime of the process.
pub(super) async fn send_reports(state: Arc<SidecarState>) {
    loop {
        Timer::after(REPORT_INTERVAL).await;
        for (to, report) in state.dispatcher.charges().due_reports(ClockTime::now()) {
            let state = Arc::clone(&state);
            smol::spawn(async move { send(&state, to, report, BookFallback::IfHolderGone).await })
                .detach();
        }
    }
}

/// Reports all charges until they are durable.
pub(super) async fn flush_charges(state: &Arc<SidecarState>) {
    while state.dispatcher.charges().unsettled_count() > 0 {
        let reports = state.dispatcher.charges().all_reports(ClockTime::now());
        let sends = reports.into_iter().map(|(to, report)| {
            let state = Arc::clone(state);
            smol::spawn(async move { send(&state, to, report, BookFallback::Always).await })
        });
        for send in sends.collect::<Vec<_>>() {
            send.await;
        }
        if state.dispatcher.charges().unsettled_count() > 0 {
            Timer::after(FLUSH_INTERVAL).await;
        }
    }
}

/// When to look up charges in the books if their holder does not reply.
#[derive(Clone, Copy, PartialEq, Eq)]
enum BookFallback {
    /// Only if the holder is gone; otherwise the report is repeated later.
    IfHolderGone,
    /// Even if the holder may reply later, because this process is stopping.
    Always,
}

/// Sends one report. If that fails, its charges become due again.
async fn send(
    state: &SidecarState,
    to: IncarnationId,
    report: ChargeReport,
    fallback: BookFallback,
) {
    let gone = state.members.is_gone(to, ClockTime::now());
    match report_to_holder(state, to, &report).await {
        Some(durable) => state.dispatcher.charges().mark_durable(&durable, ClockTime::now()),
        None if gone || fallback == BookFallback::Always => settle_from_books(state, &report).await,
        None => {}
    }
}

/// Reports to the holder and returns the charges that it has made durable; `None` without a reply.
///
/// No report is sent if another incarnation has the holder's address. A restarted holder would
/// reply without records of its predecessor's charges. They would never become durable, and a stop
/// would time out and report them as lost, so they are looked up in the books.
async fn report_to_holder(
    state: &SidecarState,
    to: IncarnationId,
    report: &ChargeReport,
) -> Option<ChargesDurable> {
    let address = state.members.find(to)?.address;
    let mut members = state.members.members().into_iter();
    if members.any(|member| member.address == address && member.incarnation != to) {
        return None;
    }
    let request = PeerRequest::ReportCharges(report.clone());
    match state.link().request(address, &request, REPORT_TIMEOUT).await {
        Ok(PeerReply::ChargesDurable(durable)) => Some(durable),
        _ => None,
    }
}

/// Looks up in the books which charges are settled, for a holder that does not reply. One that
/// stopped gracefully has settled them and is gone. The grant existed when its charge ran, so a
/// book without the grant shows that it was closed, with all its charges settled.
async fn settle_from_books(state: &SidecarState, report: &ChargeReport) {
    let books: BTreeSet<BookNumber> =
        report.charges.iter().map(|record| book_of(&record.branch)).collect();
    for book in books {
        let Ok(stored) = state.objects.get::<BookRecord>(&book_key(book)).await else {
            return;
        };
        let record = stored.map(|stored| stored.value).unwrap_or_default();
        let own = report.charges.iter().filter(|charge| book_of(&charge.branch) == book);
        let settled = own.filter(|charge| record.is_settled(&charge.branch, &charge.charge));
        let charges = settled.map(|charge| charge.charge).collect();
        state.dispatcher.charges().mark_durable(&ChargesDurable { charges }, ClockTime::now());
    }
}
