//! One gateway under pressure, and the gateways that it asks.

use std::time::Duration;

use sagespool_messages::{CoverDenial, CoverReply, CoverRequest};
use sagespool_rotation::{
    CoverPeer, GatewayLoad, PressureGauge, PressureSource, ReturnCause, RotationAction,
    RotationChange, RotationPolicy, RotationState,
};
use sagespool_types::{ClockTime, IncarnationId, InstanceCapacity, LoadPressure};

const POLICY: RotationPolicy =
    RotationPolicy { lease: Duration::from_secs(3), hold: Duration::from_secs(3) };
const IDLE: LoadPressure = LoadPressure(100);
const FULL: LoadPressure = LoadPressure(1500);
const TICK_MS: u64 = 200;

fn at(ms: u64) -> ClockTime {
    ClockTime::from_millis(100_000 + ms)
}

fn peer(id: u64, capacity: u32) -> CoverPeer {
    CoverPeer { id: IncarnationId(id), capacity: InstanceCapacity(capacity) }
}

/// A data centre of gateways whose messages arrive at once.
struct Centre {
    gateways: Vec<(CoverPeer, RotationState, LoadPressure)>,
    changes: Vec<(u64, IncarnationId, RotationChange)>,
    silent: Vec<IncarnationId>,
}

impl Centre {
    fn new(capacities: &[u32]) -> Self {
        let peers =
            capacities.iter().enumerate().map(|(id, capacity)| peer(id as u64 + 1, *capacity));
        let start = ClockTime::default();
        let state = |own: CoverPeer| (own, RotationState::new(POLICY, own, start), IDLE);
        Self { gateways: peers.map(state).collect(), changes: Vec::new(), silent: Vec::new() }
    }

    fn press(&mut self, id: u64, pressure: LoadPressure) {
        self.gateways[id as usize - 1].2 = pressure;
    }

    fn run(&mut self, from_ms: u64, until_ms: u64) {
        for ms in (from_ms..until_ms).step_by(TICK_MS as usize) {
            for index in 0..self.gateways.len() {
                let peers: Vec<_> = self.gateways.iter().map(|gateway| gateway.0).collect();
                let (_, state, pressure) = &mut self.gateways[index];
                let (actions, change) = state.decide(*pressure, true, &peers, at(ms));
                self.apply(index, actions, change, ms);
            }
        }
    }

    fn apply(
        &mut self,
        index: usize,
        actions: Vec<RotationAction>,
        change: Option<RotationChange>,
        ms: u64,
    ) {
        let id = self.gateways[index].0.id;
        self.changes.extend(change.map(|change| (ms, id, change)));
        for action in actions {
            match action {
                RotationAction::Ask(to, request) => {
                    let reply = (!self.silent.contains(&to)).then(|| self.ask(to, request, ms));
                    let (_, state, pressure) = &mut self.gateways[index];
                    let step = state.handle_reply(request.number, reply, *pressure, at(ms));
                    self.apply(index, step.0, step.1, ms);
                }
                RotationAction::Release(to, release) => {
                    self.gateways[to.0 as usize - 1].1.handle_release(release);
                }
            }
        }
    }

    fn ask(&mut self, to: IncarnationId, request: CoverRequest, ms: u64) -> CoverReply {
        let (_, state, pressure) = &mut self.gateways[to.0 as usize - 1];
        state.handle_request(request, *pressure, true, at(ms))
    }

    fn out(&self, ms: u64) -> Vec<u64> {
        let out = self.gateways.iter().filter(|gateway| gateway.1.out_since(at(ms)).is_some());
        out.map(|gateway| gateway.0.id.0).collect()
    }
}

#[test]
fn one_pressed() {
    let mut centre = Centre::new(&[4, 4, 4, 8, 8]);
    centre.press(1, FULL);
    centre.run(0, 1000);
    assert_eq!(centre.out(1000), [1]);
    let change = centre.changes[0].2;
    assert_eq!(change, RotationChange::Left { covers: 2 });
    // The strong ones promise first.
    let promised: Vec<_> =
        centre.gateways.iter().map(|gateway| gateway.1.promised(at(1000))).collect();
    assert_eq!((promised[1], promised[2]), (0, 0));
    assert_eq!(promised[3] + promised[4], 5);
}

#[test]
fn all_pressed() {
    let mut centre = Centre::new(&[4, 4, 4, 4, 8, 8]);
    (1..=6).for_each(|id| centre.press(id, FULL));
    centre.run(0, 10_000);
    assert!(centre.out(10_000).is_empty());
    let left = |change: &RotationChange| matches!(change, RotationChange::Left { .. });
    assert!(!centre.changes.iter().any(|(_, _, change)| left(change)), "{:?}", centre.changes);
}

#[test]
fn strong_one_stays() {
    let mut centre = Centre::new(&[4, 4, 4, 4, 8]);
    centre.press(5, FULL);
    centre.run(0, 5000);
    assert!(centre.out(5000).is_empty());
}

#[test]
fn most_pressed() {
    let mut centre = Centre::new(&[4, 4, 4, 4, 4, 8, 8]);
    (1..=5).for_each(|id| centre.press(id, FULL));
    centre.run(0, 2000);
    // Two unpressed gateways have eight slots: enough for one leaver.
    assert_eq!(centre.out(2000).len(), 1);
}

#[test]
fn returns_when_eased() {
    let mut centre = Centre::new(&[4, 4, 4, 8, 8]);
    centre.press(1, FULL);
    centre.run(0, 1000);
    centre.press(1, IDLE);
    centre.run(1000, 5000);
    assert!(centre.out(5000).is_empty());
    let (ms, _, change) = *centre.changes.last().expect("it returned");
    let RotationChange::Returned { cause: ReturnCause::Eased, out_for } = change else {
        panic!("{change:?}");
    };
    assert!(out_for >= POLICY.hold && out_for <= POLICY.hold + Duration::from_millis(2 * TICK_MS));
    assert!(ms < 4000);
    assert!(centre.gateways.iter().all(|gateway| gateway.1.promised(at(5000)) == 0));
}

#[test]
fn relapse_holds_longer() {
    let mut centre = Centre::new(&[4, 4, 4, 8, 8]);
    let mut spans = Vec::new();
    // Its callers are back a second after its return, and gone a second after it has left.
    for ms in (0..60_000).step_by(TICK_MS as usize) {
        let is_out = centre.out(ms) == [1];
        centre.press(1, if is_out { IDLE } else { FULL });
        centre.run(ms, ms + TICK_MS);
    }
    for (_, _, change) in &centre.changes {
        if let RotationChange::Returned { out_for, .. } = change {
            spans.push(out_for.as_secs());
        }
    }
    assert!(spans.starts_with(&[3, 6, 12]), "{spans:?}");
    assert!(spans.len() <= 7, "{spans:?}");
}

#[test]
fn cover_gone() {
    // Guards against a gateway that stays out after those that stayed in for it were lost.
    let mut centre = Centre::new(&[4, 4, 4, 8, 8]);
    centre.press(1, FULL);
    centre.run(0, 1000);
    assert_eq!(centre.out(1000), [1]);
    centre.silent = vec![IncarnationId(4), IncarnationId(5)];
    centre.run(1000, 1000 + POLICY.lease.as_millis() as u64);
    let returned = centre.changes.iter().any(|(_, id, change)| {
        *id == IncarnationId(1) && matches!(change, RotationChange::Returned { .. })
    });
    assert!(returned, "{:?}", centre.changes);
}

#[test]
fn takes_turns() {
    let mut centre = Centre::new(&[4, 4, 8, 8]);
    centre.press(1, FULL);
    centre.run(0, 8000);
    assert_eq!(centre.out(8000), [1], "nobody else waits");
    centre.press(2, FULL);
    centre.run(8000, 16_000);
    let second = centre.changes.iter().any(|(_, id, change)| {
        *id == IncarnationId(2) && matches!(change, RotationChange::Left { .. })
    });
    assert!(second, "{:?}", centre.changes);
}

#[test]
fn late_release() {
    // Guards against a release that overtakes nothing any more and frees a promise that was renewed.
    let start = ClockTime::default();
    let mut state = RotationState::new(POLICY, peer(1, 4), start);
    let request = |number| CoverRequest {
        leaver: IncarnationId(2),
        number,
        slots: 4,
        pressure: FULL,
        out_share: 0,
    };
    let promised = CoverReply::Promised { slots: 4, lease: POLICY.lease };
    assert_eq!(state.handle_request(request(1), IDLE, true, at(0)), promised);
    assert_eq!(state.handle_request(request(2), IDLE, true, at(100)), promised);
    let release = sagespool_messages::CoverRelease { leaver: IncarnationId(2), number: 1 };
    state.handle_release(release);
    let other = CoverRequest { leaver: IncarnationId(3), ..request(1) };
    let reply = state.handle_request(other, IDLE, true, at(200));
    assert_eq!(reply, CoverReply::Denied(CoverDenial::NoSlot));
}

#[test]
fn forgotten_promise() {
    // Guards against a restarted gateway that promises slots which it had promised before.
    let mut state = RotationState::new(POLICY, peer(1, 4), at(0));
    let request = CoverRequest {
        leaver: IncarnationId(2),
        number: 1,
        slots: 4,
        pressure: FULL,
        out_share: 0,
    };
    let denied = CoverReply::Denied(CoverDenial::Starting);
    assert_eq!(state.handle_request(request, IDLE, true, at(2900)), denied);
    let peers = [peer(2, 4), peer(3, 4), peer(4, 4)];
    for ms in (0..2900).step_by(TICK_MS as usize) {
        assert!(state.decide(FULL, true, &peers, at(ms)).0.is_empty());
    }
}

#[test]
fn fullest_resource() {
    let mut gauge = PressureGauge::default();
    let load = GatewayLoad {
        link_wait: Duration::from_millis(75),
        processor_wait: Duration::from_millis(20),
        memory: 0.4,
        connections: 0.1,
        latency_target: Some(Duration::from_millis(150)),
    };
    gauge.add(GatewayLoad { latency_target: load.latency_target, ..GatewayLoad::default() });
    gauge.add(load);
    assert_eq!(gauge.pressure().1, PressureSource::Link);
    assert!(gauge.pressure().0 <= LoadPressure(1000), "one sample is no pressure");
    gauge.add(load);
    assert!(gauge.pressure().0 >= LoadPressure(1400));
    let no_routes = GatewayLoad { latency_target: None, memory: 0.19, ..load };
    (0..20).for_each(|_| gauge.add(no_routes));
    assert!(gauge.pressure().0 <= LoadPressure(201));
}

#[test]
fn late_promise() {
    // Guards against a gateway that counts on a promise after its giver's lease has ended.
    let mut state = RotationState::new(POLICY, peer(1, 4), ClockTime::default());
    let peers = [peer(2, 4), peer(3, 4)];
    state.decide(FULL, true, &peers, at(0));
    let (asked, _) = state.decide(FULL, true, &peers, at(200));
    let promised = |slots| Some(CoverReply::Promised { slots, lease: POLICY.lease });
    for action in asked {
        let RotationAction::Ask(_, request) = action else { panic!("{action:?}") };
        state.handle_reply(request.number, promised(request.slots), FULL, at(210));
    }
    let (renewals, _) = state.decide(FULL, true, &peers, at(1300));
    for action in renewals {
        let RotationAction::Ask(_, request) = action else { panic!("{action:?}") };
        state.handle_reply(request.number, promised(request.slots), FULL, at(3100));
    }
    assert!(state.out_since(at(4200)).is_some());
    assert!(state.out_since(at(4300)).is_none());
}

#[test]
fn full_memory() {
    // Guards against a gateway that closes connections for want of memory and isn't pressed: the connection
    // that doesn't fit isn't counted.
    let full = GatewayLoad { memory: 0.98, ..GatewayLoad::default() };
    let mut gauge = PressureGauge::default();
    (0..8).for_each(|_| gauge.add(full));
    assert!(gauge.pressure().0 >= LoadPressure(1000));
    assert_eq!(gauge.pressure().1, PressureSource::Memory);
    let mut gauge = PressureGauge::default();
    (0..8).for_each(|_| gauge.add(GatewayLoad { memory: 0.9, ..full }));
    assert!(gauge.pressure().0 < LoadPressure(1000));
}
