//! The soak of gateways and relays, briefly: real processes, faults from outside in overlapping
//! series, and the promises checked from what callers and upstreams see.

use std::time::Duration;

use sagespool_soak::{SoakOptions, run_soak};

/// Long enough for a dozen faults that overlap.
const LENGTH: Duration = Duration::from_secs(8);

/// Seeds that showed a fault, and its cause.
const KEPT_SEEDS: [(u64, &str); 1] = [(
    1,
    "a gateway stopped while a request waited at a silent upstream: its connection ended without an \
     answer, though it had run",
)];

#[test]
fn kept_seeds() {
    for (seed, cause) in KEPT_SEEDS {
        let directory = tempfile::tempdir().expect("a directory for logs");
        let options = SoakOptions::builder()
            .seed(seed)
            .length(LENGTH)
            .daemon(env!("CARGO_BIN_EXE_sagespoold").into())
            .directory(directory.path().to_owned())
            .build();
        let report = smol::block_on(run_soak(&options));
        if !report.violations.is_empty() {
            panic!("{report}\nkept for: {cause}\nlogs: {}", directory.keep().display());
        }
    }
}
