//! Upstreams for the tests.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::time::Duration;

use sagespool_forward::UpstreamRecord;
use sagespool_types::{CentreName, EntrySequence};

/// The data centre of the upstreams.
pub fn centre() -> CentreName {
    "east".parse().unwrap()
}

/// A ready upstream of a plain service.
pub fn upstream(name: &str) -> UpstreamRecord {
    UpstreamRecord {
        name: name.parse().unwrap(),
        born: None,
        sequence: EntrySequence(1),
        service: "plain".parse().unwrap(),
        version: "v1".to_owned().into(),
        address: "127.0.0.1:9000".parse().unwrap(),
        centre: centre(),
        slots: 6,
        leaving: false,
        cold_left: Duration::ZERO,
    }
}
