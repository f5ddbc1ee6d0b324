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

/// The length at which the seeds with several threads showed their fault.
const THREADED_LENGTH: Duration = Duration::from_secs(12);
/// Threads of each process with which they did.
const THREADS: usize = 3;

/// Seeds that showed a fault where processes have several threads, and its cause.
const THREADED_SEEDS: [(u64, &str); 2] = [(413, CUT_ANSWER), (439, CUT_ANSWER)];
const CUT_ANSWER: &str = "a stream broken off by its upstream reached its caller without the \
                          events before the break: the HTTP library dropped what it hadn't written";

#[test]
fn kept_seeds() {
    for (seed, cause) in KEPT_SEEDS {
        play(seed, cause, LENGTH, None);
    }
}

/// A caller sees its stream's connection close without an event, though its upstream sent four to
/// seven. With several threads, events and break are there together when the gateway writes to the
/// caller. `docs/incidents/cut-streams.md`; `cut_answers` in sagespool-gateway shows the cause on
/// each run.
#[test]
fn threaded_seeds() {
    for (seed, cause) in THREADED_SEEDS {
        play(seed, cause, THREADED_LENGTH, Some(THREADS));
    }
}

fn play(seed: u64, cause: &str, length: Duration, threads: Option<usize>) {
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
        panic!("{report}\nkept for: {cause}\nlogs: {}", directory.keep().display());
    }
}
