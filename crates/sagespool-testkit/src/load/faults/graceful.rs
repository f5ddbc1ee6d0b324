//! Stops a process as the platform does, and starts it again.

use std::net::SocketAddr;
use std::time::Duration;

use sagespool_types::ClockTime;
use trillium_client::Client;

use super::context::FaultContext;
use crate::fleet::{ProcessEventKind, check_ready};

const POLL_PERIOD: Duration = Duration::from_millis(20);
/// Time besides the configured stop limit, in which a process returns its grants.
const GRANT_RETURN_LIMIT: Duration = Duration::from_secs(20);
const READY_LIMIT: Duration = Duration::from_secs(20);
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Terminates a process, marks it as leaving in the instance list if `is_listed`, and waits for its
/// exit; false if it does not exit in time, or with a failure status.
pub(super) async fn stop(context: &FaultContext, index: usize, is_listed: bool) -> bool {
    let limit = {
        let mut fleet = context.fleet().await;
        fleet.record_process_event(index, ProcessEventKind::Stopping);
        let member = &fleet.members[index];
        if let Some(process) = &member.process {
            let _ = process.terminate();
        }
        if is_listed {
            fleet.list.mark_leaving(&member.instance);
        }
        fleet.options.stop_limit + GRANT_RETURN_LIMIT
    };
    wait_ended(context, index, limit).await
}

/// Waits for the exit of a process; false if it does not exit in time, or with a failure status.
pub(super) async fn wait_ended(context: &FaultContext, index: usize, limit: Duration) -> bool {
    let deadline = ClockTime::now().after(limit);
    loop {
        {
            let mut fleet = context.fleet().await;
            let member = &mut fleet.members[index];
            let Some(process) = &member.process else { return false };
            if let Ok(Some(status)) = process.try_wait() {
                member.process = None;
                let instance = member.instance.clone();
                fleet.record_process_event(index, ProcessEventKind::Ended);
                if !status.success() {
                    context.fault_log.add_finding(format!("unclean stop: {instance} {status}"));
                }
                return status.success();
            }
        }
        if ClockTime::now() >= deadline {
            let instance = context.fleet().await.members[index].instance.clone();
            context.fault_log.add_finding(format!(
                "unclean stop: {instance} still running after the time limit"
            ));
            return false;
        }
        smol::Timer::after(POLL_PERIOD).await;
    }
}

/// Marks a process as live in the instance list, starts it and waits until it is ready.
pub(super) async fn start(context: &FaultContext, index: usize) {
    let address = {
        let mut fleet = context.fleet().await;
        fleet.mark_live(index);
        if let Err(report) = fleet.start_member(index) {
            context.fault_log.add_finding(format!("process not started: {report}"));
        }
        fleet.members[index].http
    };
    let deadline = ClockTime::now().after(READY_LIMIT);
    while !is_ready(address).await {
        if ClockTime::now() >= deadline {
            let instance = context.fleet().await.members[index].instance.clone();
            context.fault_log.add_finding(format!("not ready after restart: {instance}"));
            return;
        }
        smol::Timer::after(POLL_PERIOD).await;
    }
    context.fault_log.count_restart();
}

async fn is_ready(address: SocketAddr) -> bool {
    let client = Client::new(trillium_smol::ClientConfig::default()).without_keepalive();
    check_ready(&client, address, PROBE_TIMEOUT).await.is_ok()
}
