//! Reporting charges to the holders of their grants.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use sagespool_ledger::{BookRecord, book_key, book_of};
use sagespool_messages::{ChargeReport, ChargesDurable, PeerReply, PeerRequest};
use sagespool_types::{BookNumber, ClockTime, IncarnationId};
use smol::Timer;

use super::state::SidecarState;

/// How often reports are looked for that are due.
const REPORT_PERIOD: Duration = Duration::from_millis(250);

/// How often everything is reported while the sidecar stops.
const FLUSH_PERIOD: Duration = Duration::from_millis(500);

/// For a holder's answer, which it gives from memory.
const REPORT_LIMIT: Duration = Duration::from_secs(2);

/// Sends reports as they fall due, for the process's whole life.
pub(super) async fn send_reports(state: Arc<SidecarState>) {
    loop {
        Timer::after(REPORT_PERIOD).await;
        for (to, report) in state.dispatcher.charges().due(ClockTime::now()) {
            let state = Arc::clone(&state);
            smol::spawn(async move { send(&state, to, report, Holder::MayAnswer).await }).detach();
        }
    }
}

/// Reports everything until it is durable.
pub(super) async fn flush(state: &Arc<SidecarState>) {
    while state.dispatcher.charges().unsettled() > 0 {
        let reports = state.dispatcher.charges().flush(ClockTime::now());
        let sends = reports.into_iter().map(|(to, report)| {
            let state = Arc::clone(state);
            smol::spawn(async move { send(&state, to, report, Holder::LastChance).await })
        });
        for send in sends.collect::<Vec<_>>() {
            send.await;
        }
        if state.dispatcher.charges().unsettled() > 0 {
            Timer::after(FLUSH_PERIOD).await;
        }
    }
}

/// Whether a holder that doesn't answer is asked again later.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Holder {
    /// It is.
    MayAnswer,
    /// This process stops, so the books have to say it now.
    LastChance,
}

/// One report. Whatever goes wrong, its charges fall due again.
async fn send(state: &SidecarState, to: IncarnationId, report: ChargeReport, holder: Holder) {
    let gone = state.members.is_gone(to, ClockTime::now());
    match ask_holder(state, to, &report).await {
        Some(durable) => state.dispatcher.charges().durable(&durable, ClockTime::now()),
        None if gone || holder == Holder::LastChance => look_up(state, &report).await,
        None => {}
    }
}

/// The holder's word on which charges are durable; nothing if it can't be had.
///
/// Guards against a holder that was restarted at its address: the new run would answer, and know
/// nothing of the old one's charges. They would never be durable, and a stop would wait for them in
/// vain and report them lost. So it isn't asked, and the books are.
async fn ask_holder(
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
    match state.link().ask(address, &request, REPORT_LIMIT).await {
        Ok(PeerReply::ChargesDurable(durable)) => Some(durable),
        _ => None,
    }
}

/// Looks in the books themselves for what has become of charges whose holder can't be asked: one
/// that stopped gracefully has settled them and is gone. A grant that a charge ran under existed
/// then, so that a book read now without it shows that the grant was closed, with every charge of
/// it settled.
async fn look_up(state: &SidecarState, report: &ChargeReport) {
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
        state.dispatcher.charges().durable(&ChargesDurable { charges }, ClockTime::now());
    }
}
