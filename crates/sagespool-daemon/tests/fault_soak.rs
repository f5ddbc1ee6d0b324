//! Short soaks of gateways and relays: real processes, overlapping injected faults, and guarantees
//! checked on what callers and upstreams observe.

use std::path::Path;
use std::time::Duration;

use sagespool_soak::{SoakOptions, run_soak};
use tempfile::TempDir;

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

/// Seed with kills of all processes, beside foreign entries in the store.
const RESTART_SEED: u64 = 680_002;
const RESTART_CAUSE: &str =
    "no gateway became ready again after all processes were killed beside a foreign entry";

/// Guards against service that doesn't come back after a restart of all processes. See
/// `docs/incidents/slow-recovery.md`.
#[test]
fn restarted_fleet() {
    let directory = tempfile::tempdir().expect("a directory for logs");
    let mut options = soak_options(RESTART_SEED, LENGTH, directory.path());
    (options.restarts, options.foreign_entries) = (true, true);
    run_options(&options, RESTART_CAUSE, directory);
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
    let mut options = soak_options(seed, length, directory.path());
    options.threads = threads;
    run_options(&options, cause, directory);
}

fn soak_options(seed: u64, length: Duration, directory: &Path) -> SoakOptions {
    SoakOptions::builder()
        .seed(seed)
        .length(length)
        .daemon(env!("CARGO_BIN_EXE_sagespoold").into())
        .directory(directory.to_owned())
        .build()
}

fn run_options(options: &SoakOptions, cause: &str, directory: TempDir) {
    let report = smol::block_on(run_soak(options));
    if !report.violations.is_empty() {
        panic!("{report}\nregression seed for: {cause}\nlogs: {}", directory.keep().display());
    }
}
