//! Which gateways of a data centre take new callers, as pure decisions.
//!
//! A gateway under pressure leaves the load balancer's rotation while its neighbours promise to stay in
//! ([`RotationState`]). These promises keep fewer than half of a data centre's gateways out,
//! whatever each believes of the others. [`PressureGauge`] tells how close a gateway is to its limits.
//!
//! This crate does no I/O. Times are arguments; they must come from a clock that goes on while the machine
//! is suspended.

mod history;
mod ledger;
mod policy;
mod pressure;
mod state;

pub use policy::{COVER_SLOTS, NEEDED_SLOTS, RotationPolicy};
pub use pressure::{GatewayLoad, PressureGauge, PressureSource};
pub use state::{
    CoverPeer, ReturnCause, RotationAction, RotationChange, RotationState, RotationStep,
};
