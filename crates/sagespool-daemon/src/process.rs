//! Runs one process, from loading its settings to its graceful stop.

use std::fs;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use sagespool_entry::EntryRole;
use sagespool_gateway::{GatewayRole, RelayRole, WireDialect};
use sagespool_log::{flush_log, log_event, start_log, start_log_queued};
use sagespool_settings::{
    GatewayOrRelaySettings, GatewaySettings, ProcessSettings, RoleSettings, is_gateway_or_relay,
    load_gateway_or_relay, load_process_settings,
};
use sagespool_sidecar::SidecarRole;

/// Exit code: the settings are invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Exit code: the process couldn't start.
pub const EXIT_START_FAILED: u8 = 1;
/// Exit code: requests were cut off at the stop, or state couldn't be written or returned.
const EXIT_UNCLEAN_STOP: u8 = 3;

/// A running entry or sidecar.
enum RunningRole {
    Entry(EntryRole),
    Sidecar(SidecarRole),
}

/// Runs a process from its settings file until a signal or an operator stops it. Returns its exit code.
pub fn run(path: &Path) -> ExitCode {
    if is_gateway_or_relay_file(path) {
        return run_gateway_or_relay(path);
    }
    let settings = match load_process_settings(path) {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("{report:?}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    start_log(settings.log.level);
    // Not smol's `block_on`: it would drive the reactor alternately with the executor's thread, so that
    // each event would wake this thread and then the thread that handles the event.
    futures_lite::future::block_on(run_role(settings))
}

/// Whether a settings file is for a gateway or a relay. False for an unreadable file: loading it
/// reports the error.
fn is_gateway_or_relay_file(path: &Path) -> bool {
    fs::read_to_string(path).is_ok_and(|text| is_gateway_or_relay(&text))
}

/// Runs a gateway or a relay until a signal stops it.
fn run_gateway_or_relay(path: &Path) -> ExitCode {
    let settings = match load_gateway_or_relay(path) {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("{report:?}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    let level = match &settings {
        GatewayOrRelaySettings::Gateway(gateway) => gateway.log.level,
        GatewayOrRelaySettings::Relay(relay) => relay.log.level,
    };
    if let Err(error) = start_log_queued(level) {
        eprintln!("can't start the log: {error}");
        return ExitCode::from(EXIT_START_FAILED);
    }
    let signals = match Signals::new([Signal::Term, Signal::Int, Signal::Hup]) {
        Ok(signals) => signals,
        Err(error) => {
            log_event!(error, "signals-unavailable", error = error);
            return ExitCode::from(EXIT_START_FAILED);
        }
    };
    let dialect = sagespool_adapter::wire_dialect();
    let code = futures_lite::future::block_on(async {
        match settings {
            GatewayOrRelaySettings::Gateway(gateway) => {
                serve_gateway(*gateway, dialect, signals, path).await
            }
            GatewayOrRelaySettings::Relay(relay) => {
                let _role = RelayRole::start(relay, dialect.store);
                wait_for_stop(signals, |_| {}, path).await;
                log_event!(info, "relay-stopped");
                ExitCode::SUCCESS
            }
        }
    });
    flush_log();
    code
}

async fn serve_gateway(
    settings: GatewaySettings,
    dialect: WireDialect,
    signals: Signals,
    path: &Path,
) -> ExitCode {
    let stop_limit = settings.stop_limit;
    let role = match GatewayRole::start(settings, dialect) {
        Ok(role) => role,
        Err(report) => {
            let help = report.current_context().help();
            log_event!(error, "start-failed", detail = format!("{report:?}"), help = help);
            return ExitCode::from(EXIT_START_FAILED);
        }
    };
    let reload = |settings| match settings {
        GatewayOrRelaySettings::Gateway(gateway) => role.reload(&gateway),
        GatewayOrRelaySettings::Relay(_) => {
            log_event!(
                error,
                "settings-kept",
                detail = "the role can't change from gateway to relay by a reload"
            );
        }
    };
    wait_for_stop(signals, reload, path).await;
    log_event!(info, "stop-asked", by = "signal", limit_ms = stop_limit.as_millis());
    let report = role.stop(stop_limit).await;
    if report.cut == 0 { ExitCode::SUCCESS } else { ExitCode::from(EXIT_UNCLEAN_STOP) }
}

/// Waits for SIGTERM or SIGINT. On SIGHUP the settings are reloaded; with an invalid file the current
/// settings stay.
async fn wait_for_stop(mut signals: Signals, reload: impl Fn(GatewayOrRelaySettings), path: &Path) {
    while let Some(Ok(Signal::Hup)) = signals.next().await {
        match load_gateway_or_relay(path) {
            Ok(settings) => reload(settings),
            Err(report) => {
                log_event!(error, "settings-kept", detail = format!("{report:?}"));
            }
        }
    }
}

async fn run_role(settings: ProcessSettings) -> ExitCode {
    // Signal handlers are installed before anything starts, so that no signal is missed.
    let signals = Signals::new([Signal::Term, Signal::Int]);
    let mut signals = match signals {
        Ok(signals) => signals,
        Err(error) => {
            log_event!(error, "signals-unavailable", error = error);
            return ExitCode::from(EXIT_START_FAILED);
        }
    };
    let stop_limit = settings.stop_limit;
    let role = match start_role(settings) {
        Ok(role) => role,
        Err(detail) => {
            log_event!(error, "start-failed", detail = detail);
            return ExitCode::from(EXIT_START_FAILED);
        }
    };
    let reason = futures_lite::future::or(
        async {
            signals.next().await;
            "signal"
        },
        async {
            leave_requested(&role).await;
            "told-to-leave"
        },
    )
    .await;
    log_event!(info, "stop-asked", by = reason, limit_ms = stop_limit.as_millis());
    let clean = stop_role(role, stop_limit).await;
    if clean { ExitCode::SUCCESS } else { ExitCode::from(EXIT_UNCLEAN_STOP) }
}

fn start_role(settings: ProcessSettings) -> Result<RunningRole, String> {
    match settings.role.clone() {
        RoleSettings::Entry(entry) => {
            let started = EntryRole::start(settings, entry);
            started.map(RunningRole::Entry).map_err(|report| format!("{report:?}"))
        }
        RoleSettings::Sidecar(sidecar) => {
            let started = SidecarRole::start(settings, sidecar);
            started.map(RunningRole::Sidecar).map_err(|report| format!("{report:?}"))
        }
    }
}

/// Resolves when the platform removes the instance, or an operator stops the process.
async fn leave_requested(role: &RunningRole) {
    match role {
        RunningRole::Entry(entry) => entry.leave_requested().await,
        RunningRole::Sidecar(sidecar) => sidecar.leave_requested().await,
    }
}

/// Stops a role gracefully. Returns whether all requests completed and all state was written or
/// returned.
async fn stop_role(role: RunningRole, limit: Duration) -> bool {
    match role {
        RunningRole::Entry(entry) => {
            let report = entry.stop(limit).await;
            report.cut == 0 && report.unwritten_books == 0
        }
        RunningRole::Sidecar(sidecar) => {
            let report = sidecar.stop(limit).await;
            report.cut == 0 && report.unsettled == 0
        }
    }
}
