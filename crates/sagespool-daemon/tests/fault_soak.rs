//! Short soaks of gateways and relays: real processes, overlapping injected faults, and guarantees
//! checked on what callers and upstreams observe.

use std::time::Duration;

use sagespool_soak::{SoakOptions, run_soak};

/// Long enough for a dozen overlapping faults.
const LENGTH: Duration = Duration::from_secs(8);

/// Seeds that reproduced a bug, and its cause.
const REGRESSION_SEEDS: [(u64, &str); 1] = [(
    1,
    "a gateway stopped while a request waited at a silent upstream: its connection ended without an \
     answer, though it had run",
)];

/// Length at which the seeds with several threads reproduced their bug.
const THREADED_LENGTH: Duration = Duration::from_secs(12);
/// Executor threads of each process at which they reproduced it.
const THREADS: usize = 3;

/// Seeds that reproduced a bug in processes with several threads, and its cause.
const THREADED_SEEDS: [(u64, &str); 2] = [(413, CUT_STREAM), (439, CUT_STREAM)];
const CUT_STREAM: &str = "a stream broken off by its upstream reached its caller without the \
                          events before the break: the HTTP library dropped what it hadn't written";

#[test]
fn regression_seeds() {
    for (seed, cause) in REGRESSION_SEEDS {
        run_seed(seed, cause, LENGTH, None);
    }
}

/// Guards against streams whose connection closes without the events that the upstream sent before it
/// broke off (four to seven of them). With several threads, events and break can be ready together
/// when the gateway writes to the caller. See `docs/incidents/cut-streams.md`; `cut_answers` in
/// sagespool-gateway reproduces the cause on each run.
#[test]
fn threaded_seeds() {
    for (seed, cause) in THREADED_SEEDS {
        run_seed(seed, cause, THREADED_LENGTH, Some(THREADS));
    }
}

fn run_seed(seed: u64, cause: &str, length: Duration, threads: Option<usize>) {
    let directory = tempfile::tempdir().expect("a directory for logs");
    let options = SoakOptions::builder()
        .seed(seed)
        .length(length)
        .daemon(env!("CARGO_BIN_EXE_sagespoold").into())
        .directory(directory.path().to_owned())
        .maybe_threads(threads)
        .build();
    let report = smol::block_on(run_soak(&options));
    if !report.violations.is_empty() {
        panic!("{report}\nregression seed for: {cause}\nlogs: {}", directory.keep().display());
    }
}
