//! Typed messages between the processes of the fleet, over QUIC.
