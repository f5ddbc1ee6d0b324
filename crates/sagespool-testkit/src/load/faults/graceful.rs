//! Stopping a process as the platform does, and starting it again.

use std::net::SocketAddr;
use std::time::Duration;

use sagespool_types::ClockTime;
use trillium_client::Client;

use super::stage::FaultStage;
use crate::fleet::{ProcessEventKind, check_ready};

const LOOK_PERIOD: Duration = Duration::from_millis(20);
/// Beyond the time that settings give a stop: for what it hands back.
const HAND_BACK_LIMIT: Duration = Duration::from_secs(20);
const READY_LIMIT: Duration = Duration::from_secs(20);
const PROBE_LIMIT: Duration = Duration::from_millis(500);

/// Asks a process to end, tells the instance list, which lags, and waits until it has ended; false
/// if it doesn't, or not cleanly.
pub(super) async fn stop(stage: &FaultStage, place: usize, is_listed: bool) -> bool {
    let limit = {
        let mut fleet = stage.fleet().await;
        fleet.record_process_event(place, ProcessEventKind::Stopping);
        let member = &fleet.members[place];
        if let Some(process) = &member.process {
            let _ = process.terminate();
        }
        if is_listed {
            fleet.list.mark_leaving(&member.instance);
        }
        fleet.options.stop_limit + HAND_BACK_LIMIT
    };
    wait_ended(stage, place, limit).await
}

/// Waits until a process has ended; false if it doesn't, or not cleanly.
pub(super) async fn wait_ended(stage: &FaultStage, place: usize, limit: Duration) -> bool {
    let deadline = ClockTime::now().after(limit);
    loop {
        {
            let mut fleet = stage.fleet().await;
            let member = &mut fleet.members[place];
            let Some(process) = &member.process else { return false };
            if let Ok(Some(status)) = process.try_wait() {
                member.process = None;
                let instance = member.instance.clone();
                fleet.record_process_event(place, ProcessEventKind::Ended);
                if !status.success() {
                    stage.notes.find(format!("unclean stop: {instance} {status}"));
                }
                return status.success();
            }
        }
        if ClockTime::now() >= deadline {
            let instance = stage.fleet().await.members[place].instance.clone();
            stage.notes.find(format!("unclean stop: {instance} still runs"));
            return false;
        }
        smol::Timer::after(LOOK_PERIOD).await;
    }
}

/// Starts a process again, as live in the instance list, and waits until it is ready.
pub(super) async fn start(stage: &FaultStage, place: usize) {
    let address = {
        let mut fleet = stage.fleet().await;
        fleet.mark_live(place);
        if let Err(report) = fleet.start_member(place) {
            stage.notes.find(format!("not started: {report}"));
        }
        fleet.members[place].http
    };
    let deadline = ClockTime::now().after(READY_LIMIT);
    while !is_ready(address).await {
        if ClockTime::now() >= deadline {
            let instance = stage.fleet().await.members[place].instance.clone();
            stage.notes.find(format!("not ready again: {instance}"));
            return;
        }
        smol::Timer::after(LOOK_PERIOD).await;
    }
    stage.notes.restarted();
}

async fn is_ready(address: SocketAddr) -> bool {
    let client = Client::new(trillium_smol::ClientConfig::default()).without_keepalive();
    check_ready(&client, address, PROBE_LIMIT).await.is_ok()
}
