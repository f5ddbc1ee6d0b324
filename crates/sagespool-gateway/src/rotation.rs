//! Whether this gateway takes new callers: measures its load, asks neighbours, answers them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use sagespool_log::log_event;
use sagespool_messages::{
    CoverDenial, CoverReply, CoverRequest, MemberRole, PeerReply, PeerRequest,
};
use sagespool_rotation::{
    CoverPeer, GatewayLoad, PressureGauge, PressureSource, ReturnCause, RotationAction,
    RotationChange, RotationPolicy, RotationState, RotationStep,
};
use sagespool_settings::RotationSettings;
use sagespool_types::{ClockTime, IncarnationId, LoadPressure};
use smol::Timer;

use crate::state::GatewayState;

const SAMPLE_PERIOD: Duration = Duration::from_millis(100);
const COVER_TIMEOUT: Duration = Duration::from_millis(500);
/// The load balancer checks once a second and removes an instance after two failed checks. A connection that
/// is closed earlier comes back here.
const NOTICE_TIME: Duration = Duration::from_millis(2600);

/// The part of a gateway that takes callers, or not.
pub(crate) struct CallerRotation {
    /// `None` if the settings name no rotation.
    state: Option<Mutex<RotationState>>,
    gauge: Mutex<PressureGauge>,
    /// Since when an operator keeps it out.
    kept_out: Mutex<Option<ClockTime>>,
}

/// What operators see of the rotation.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RotationStatus {
    pub(crate) pressure: LoadPressure,
    pub(crate) source: PressureSource,
    /// How long it has been out of rotation; `None` if it takes new callers.
    pub(crate) out_for: Option<Duration>,
    /// Slots promised to others.
    pub(crate) promised: u32,
    /// The share of the recent time that it was out, in thousandths.
    pub(crate) out_share: u32,
}

impl CallerRotation {
    pub(crate) fn new(settings: Option<RotationSettings>, own: CoverPeer) -> Self {
        let now = lease_clock();
        let kept_out = settings.filter(|settings| settings.keep_out).map(|_| now);
        let state = settings.map(|RotationSettings { lease, hold, .. }| {
            Mutex::new(RotationState::new(RotationPolicy { lease, hold }, own, now))
        });
        Self { state, gauge: Mutex::default(), kept_out: Mutex::new(kept_out) }
    }

    /// Applies reloaded settings: whether an operator keeps the gateway out.
    pub(crate) fn reload(&self, settings: Option<RotationSettings>) {
        let keep_out = settings.is_some_and(|settings| settings.keep_out);
        let mut kept_out = self.kept_out();
        if keep_out == kept_out.is_some() {
            return;
        }
        *kept_out = keep_out.then(lease_clock);
        log_event!(info, "rotation-kept-out", kept_out = keep_out);
    }

    fn kept_out(&self) -> MutexGuard<'_, Option<ClockTime>> {
        self.kept_out.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether an operator keeps the gateway out.
    pub(crate) fn is_kept_out(&self) -> bool {
        self.kept_out().is_some()
    }

    /// Since when the load balancer is told to send no new callers.
    fn out_since(&self, now: ClockTime) -> Option<ClockTime> {
        let left = self.state().and_then(|state| state.out_since(now));
        self.kept_out().into_iter().chain(left).min()
    }

    fn state(&self) -> Option<MutexGuard<'_, RotationState>> {
        let state = self.state.as_ref()?;
        Some(state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn gauge(&self) -> MutexGuard<'_, PressureGauge> {
        self.gauge.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the gateway has left the rotation, or is kept out.
    pub(crate) fn is_out(&self) -> bool {
        self.out_since(lease_clock()).is_some()
    }

    /// Whether connections are to close after their current response: new ones go elsewhere by now.
    pub(crate) fn closes_connections(&self) -> bool {
        let now = lease_clock();
        self.out_since(now).is_some_and(|since| now.since(since) >= NOTICE_TIME)
    }

    pub(crate) fn status(&self) -> RotationStatus {
        let now = lease_clock();
        let (pressure, source) = self.gauge().pressure();
        let out_for = self.out_since(now).map(|since| now.since(since));
        let Some(state) = self.state() else {
            return RotationStatus { pressure, source, out_for, ..RotationStatus::default() };
        };
        RotationStatus {
            pressure,
            source,
            out_for,
            promised: state.promised(now),
            out_share: state.out_share(now),
        }
    }
}

/// The time since the machine's start, which goes on while the machine is suspended. Guards against a gateway
/// that wakes and counts on promises which have ended meanwhile.
fn lease_clock() -> ClockTime {
    let time = clock_gettime(ClockId::Boottime);
    ClockTime(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000)
}

/// Measures the load and decides, until cancelled.
pub(crate) async fn run_rotation(state: Arc<GatewayState>) {
    loop {
        Timer::after(SAMPLE_PERIOD).await;
        let load = gateway_load(&state, ClockTime::now());
        let rotation = &state.rotation;
        rotation.gauge().add(load);
        let (pressure, _) = rotation.gauge().pressure();
        let peers = match pressure >= LoadPressure::FULL {
            true => cover_peers(&state),
            false => Vec::new(),
        };
        let is_ready = state.can_serve() && !rotation.is_kept_out();
        let Some(step) =
            rotation.state().map(|mut own| own.decide(pressure, is_ready, &peers, lease_clock()))
        else {
            return;
        };
        apply(&state, step);
    }
}

/// The other gateways of the data centre.
fn cover_peers(state: &GatewayState) -> Vec<CoverPeer> {
    let members = &state.fleet.members;
    let live = members.live_in(&state.settings.centre, MemberRole::Entry, ClockTime::now());
    let staying = live.into_iter().filter(|member| !member.leaving);
    staying.map(|member| CoverPeer { id: member.incarnation, capacity: member.capacity }).collect()
}

fn gateway_load(state: &GatewayState, now: ClockTime) -> GatewayLoad {
    let usage = state.limiter.usage(now);
    let share = |part: f64, whole: f64| if whole > 0.0 { part / whole } else { 0.0 };
    GatewayLoad {
        link_wait: usage.link_wait,
        processor_wait: usage.processor_wait,
        memory: share(usage.held.0 as f64, usage.accept_limit.0 as f64),
        connections: share(usage.connections as f64, usage.connection_limit as f64),
        latency_target: state.plan().and_then(|index| index.tightest_target()),
    }
}

fn apply(state: &Arc<GatewayState>, (actions, change): RotationStep) {
    if let Some(change) = change {
        log_change(state, change);
    }
    for action in actions {
        let state = state.clone();
        smol::spawn(async move {
            match action {
                RotationAction::Ask(peer, request) => ask(&state, peer, request).await,
                RotationAction::Release(peer, release) => {
                    call(&state, peer, PeerRequest::ReleaseCover(release)).await;
                }
            }
        })
        .detach();
    }
}

async fn call(
    state: &GatewayState,
    peer: IncarnationId,
    request: PeerRequest,
) -> Option<PeerReply> {
    let member = state.fleet.members.find(peer)?;
    state.fleet.call(member.address, &request, COVER_TIMEOUT).await.ok()
}

async fn ask(state: &Arc<GatewayState>, peer: IncarnationId, request: CoverRequest) {
    let reply = match call(state, peer, PeerRequest::AskCover(request)).await {
        Some(PeerReply::Cover(reply)) => Some(reply),
        Some(_) => Some(CoverReply::Denied(CoverDenial::Off)),
        None => None,
    };
    let (pressure, _) = state.rotation.gauge().pressure();
    let step = state
        .rotation
        .state()
        .map(|mut own| own.handle_reply(request.number, reply, pressure, lease_clock()));
    if let Some(step) = step {
        apply(state, step);
    }
}

/// The reply to another gateway's question.
pub(crate) fn cover_reply(state: &GatewayState, request: CoverRequest) -> CoverReply {
    let (pressure, _) = state.rotation.gauge().pressure();
    let takes_callers = state.can_serve() && !state.rotation.is_kept_out();
    let Some(mut own) = state.rotation.state() else {
        return CoverReply::Denied(CoverDenial::Off);
    };
    let reply = own.handle_request(request, pressure, takes_callers, lease_clock());
    drop(own);
    let (slots, denial) = match reply {
        CoverReply::Promised { slots, .. } => (slots, "-"),
        CoverReply::Denied(denial) => (0, denial.as_str()),
    };
    log_event!(
        info,
        "cover-asked",
        leaver = request.leaver,
        number = request.number,
        wanted = request.slots,
        leaver_pressure = request.pressure,
        out_share = request.out_share,
        pressure = pressure,
        promised = slots,
        denial = denial,
    );
    reply
}

/// Frees promises to another gateway.
pub(crate) fn release_cover(state: &GatewayState, release: sagespool_messages::CoverRelease) {
    if let Some(mut own) = state.rotation.state() {
        own.handle_release(release);
    }
    log_event!(info, "cover-released", leaver = release.leaver, number = release.number);
}

fn log_change(state: &GatewayState, change: RotationChange) {
    let RotationStatus { pressure, source, out_share, .. } = state.rotation.status();
    match change {
        RotationChange::Left { covers } => log_event!(
            info,
            "rotation-left",
            pressure = pressure,
            source = source,
            covers = covers,
            out_share = out_share,
        ),
        RotationChange::Returned { cause, out_for } => {
            state.metrics.observe_out_of_rotation(out_for);
            let (cause, denial) = match cause {
                ReturnCause::Eased => ("eased", None),
                ReturnCause::CoverEnded(denial) => ("cover-ended", denial),
            };
            log_event!(
                info,
                "rotation-returned",
                cause = cause,
                denial = denial.map_or("-", CoverDenial::as_str),
                out_ms = out_for.as_millis(),
                pressure = pressure,
                out_share = out_share,
            );
        }
        RotationChange::Uncovered { denial } => {
            state.metrics.count_uncovered();
            log_event!(
                info,
                "rotation-uncovered",
                pressure = pressure,
                source = source,
                denial = denial.map_or("-", CoverDenial::as_str),
            );
        }
    }
}
