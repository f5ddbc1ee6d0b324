//! Reporting charges to the holders of their grants.

use std::sync::Arc;
use std::time::Duration;

use sagespool_messages::{ChargeReport, PeerReply, PeerRequest};
use sagespool_types::{ClockTime, IncarnationId};
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
            smol::spawn(async move { send(&state, to, report).await }).detach();
        }
    }
}

/// Reports everything until it is durable.
pub(super) async fn flush(state: &Arc<SidecarState>) {
    while state.dispatcher.charges().unsettled() > 0 {
        let reports = state.dispatcher.charges().flush(ClockTime::now());
        let sends = reports.into_iter().map(|(to, report)| {
            let state = Arc::clone(state);
            smol::spawn(async move { send(&state, to, report).await })
        });
        for send in sends.collect::<Vec<_>>() {
            send.await;
        }
        if state.dispatcher.charges().unsettled() > 0 {
            Timer::after(FLUSH_PERIOD).await;
        }
    }
}

/// One report. Whatever goes wrong, its charges fall due again.
async fn send(state: &SidecarState, to: IncarnationId, report: ChargeReport) {
    let Some(holder) = state.members.find(to) else { return };
    let request = PeerRequest::ReportCharges(report);
    let answer = state.link().ask(holder.address, &request, REPORT_LIMIT).await;
    if let Ok(PeerReply::ChargesDurable(durable)) = answer {
        state.dispatcher.charges().durable(&durable, ClockTime::now());
    }
}
