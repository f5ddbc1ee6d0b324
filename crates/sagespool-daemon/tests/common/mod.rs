//! A small fleet of real processes and helpers for tests on it.

// Each test file uses a part of this module.
#![allow(dead_code, unused_imports)]

mod books;
mod calls;
mod links;
mod members;
mod raw;

use std::future::Future;
use std::ops::{Deref, DerefMut};
use std::time::Duration;

use futures_lite::future;
use sagespool_settings::{parse_branches, parse_fleet};
use sagespool_testkit::StoreFaults;
use sagespool_testkit::fleet::{FleetBinaries, FleetOptions, RunningFleet};
use sagespool_types::{BranchName, SecretHash};
use serde_json::{Value, json};
use smol::Timer;

pub use books::*;
pub use calls::*;
pub use links::*;
pub use members::*;
pub use raw::*;

/// The branch that most tests spend from.
pub const BRANCH: &str = "ruwi";
/// A second branch.
pub const OTHER_BRANCH: &str = "sohar";
/// Service name of the engines.
pub const ENGINES: &str = "engines";
/// The model that the engines serve.
pub const MODEL: &str = "small-model";
/// Limit of `max_tokens` for the model.
pub const MAX_TOKENS: u32 = 1024;
/// Name of the plain service.
pub const LETTERS: &str = "letters";
/// Price of each call of the plain service, in tokens.
pub const LETTER_PRICE: u64 = 3;

/// Longer than any condition that a test waits for takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(25);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Configuration of a small fleet: an entry and an engine in each of two data centres, and one plain
/// service in the first.
#[derive(Debug, Clone)]
pub struct SmallFleet {
    /// Whether all links go through the fault proxy.
    pub proxied: bool,
    /// Prepaid tokens of each of the two branches.
    pub prepaid: u64,
    /// Tokens per second of each request at an engine.
    pub tokens_per_second: u64,
    /// Duration of a call of the plain service.
    pub answer_ms: u64,
    /// Number of engines in each data centre.
    pub engines: u32,
    /// Least severe level in the processes' logs.
    pub log_level: &'static str,
}

impl Default for SmallFleet {
    fn default() -> Self {
        Self {
            proxied: false,
            prepaid: 100_000,
            tokens_per_second: 200,
            answer_ms: 5,
            engines: 1,
            log_level: "info",
        }
    }
}

impl SmallFleet {
    /// Starts the fleet, and waits until it serves callers and all members know each other.
    pub async fn start(self) -> TestFleet {
        let fleet = RunningFleet::start(self.options()).await;
        let fleet = TestFleet { fleet: fleet.expect("the fleet starts") };
        wait_until_joined(&fleet, fleet.members.len()).await;
        fleet
    }

    fn options(&self) -> FleetOptions {
        let daemon = env!("CARGO_BIN_EXE_sagespoold");
        FleetOptions::builder()
            .binaries(FleetBinaries { daemon: daemon.into(), command: daemon.into() })
            .deployment(serde_json::from_value(self.deployment()).expect("the plan is valid"))
            .fleet(parse_fleet(&fleet_object().to_string()).expect("the fleet's object is valid"))
            .branches(parse_branches(&branch_object().to_string()).expect("the branches are valid"))
            .proxied(self.proxied)
            .settle_interval(Duration::from_millis(500))
            .log_level(self.log_level)
            .build()
    }

    fn deployment(&self) -> Value {
        let deposit = |branch: &str| json!({"token": token_of(branch), "prepaid": self.prepaid});
        json!({
            "region": "coast",
            "centres": [
                {"name": "north", "entries": 1, "upstreams": {ENGINES: self.engines, LETTERS: 1}},
                {"name": "south", "entries": 1, "upstreams": {ENGINES: self.engines}},
            ],
            "services": {
                ENGINES: {
                    "capacity": 16,
                    "tokens_per_second": self.tokens_per_second,
                    "models": [MODEL],
                },
                LETTERS: {"capacity": 16, "answer_ms": self.answer_ms},
            },
            "branches": {BRANCH: deposit(BRANCH), OTHER_BRANCH: deposit(OTHER_BRANCH)},
        })
    }
}

fn fleet_object() -> Value {
    json!({
        "classes": [
            {"name": "normal", "priority": 1, "deadline_ms": 20_000, "longest_deadline_ms": 60_000},
        ],
        "default_class": "normal",
        "services": [
            {
                "name": ENGINES,
                "kind": "engine",
                "models": [{"name": MODEL, "bytes_per_token": 4, "most_tokens": MAX_TOKENS}],
            },
            {
                "name": LETTERS,
                "kind": "service",
                "price": LETTER_PRICE,
                "non_idempotent": [{"method": "POST", "path_prefix": "/letters"}],
            },
        ],
        "key_retention_ms": 3_600_000,
        "answer_retention_ms": 600_000,
    })
}

fn branch_object() -> Value {
    let entry = |branch: &str| json!({"key_hashes": [SecretHash::of(&token_of(branch))]});
    json!({"branches": {BRANCH: entry(BRANCH), OTHER_BRANCH: entry(OTHER_BRANCH)}})
}

/// The API key of a branch.
pub fn token_of(branch: &str) -> String {
    format!("{branch}-key-for-tests")
}

/// Parses a branch name.
pub fn branch(name: &str) -> BranchName {
    name.parse().expect("the name is valid")
}

/// A fleet that prints the ends of its processes' logs if the test panics.
pub struct TestFleet {
    fleet: RunningFleet,
}

impl TestFleet {
    /// The member indexes of the entries.
    pub fn entries(&self) -> Vec<usize> {
        self.member_indexes(|fleet, index| fleet.members[index].is_entry())
    }

    /// The member indexes of the sidecars of a service.
    pub fn sidecars(&self, service: &str) -> Vec<usize> {
        self.member_indexes(|fleet, index| {
            let upstream = fleet.members[index].upstream.as_ref();
            upstream.is_some_and(|(_, own)| own.as_str() == service)
        })
    }

    fn member_indexes(&self, fits: impl Fn(&RunningFleet, usize) -> bool) -> Vec<usize> {
        (0..self.fleet.members.len()).filter(|index| fits(&self.fleet, *index)).collect()
    }

    /// Kills a member's process.
    pub fn kill(&mut self, index: usize) {
        let process = self.fleet.members[index].process.take().expect("the process runs");
        process.kill().expect("a child process can be killed");
    }

    /// Suspends or resumes a member's process.
    pub fn pause(&self, index: usize, paused: bool) {
        let process = self.fleet.members[index].process.as_ref().expect("the process runs");
        let signalled = if paused { process.pause() } else { process.resume() };
        signalled.expect("the process runs");
    }

    /// Changes the injected faults of the store.
    pub fn change_store(&self, change: impl FnOnce(&mut StoreFaults)) {
        let mut faults = self.fleet.store.faults();
        change(&mut faults);
        self.fleet.store.set_faults(faults);
    }

    /// Whether every started process still runs.
    pub fn all_run(&self) -> bool {
        let processes = self.fleet.members.iter().filter_map(|member| member.process.as_ref());
        processes.into_iter().all(|process| process.try_wait().is_ok_and(|ended| ended.is_none()))
    }
}

impl Deref for TestFleet {
    type Target = RunningFleet;

    fn deref(&self) -> &RunningFleet {
        &self.fleet
    }
}

impl DerefMut for TestFleet {
    fn deref_mut(&mut self) -> &mut RunningFleet {
        &mut self.fleet
    }
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        for member in &self.fleet.members {
            eprintln!("{}", member.log_tail());
        }
    }
}

/// Runs a test on the current thread.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    smol::block_on(test)
}

/// Waits until a condition holds; panics after [`WAIT_TIMEOUT`].
pub async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let waited = async {
        while !holds() {
            Timer::after(POLL_INTERVAL).await;
        }
    };
    with_timeout(what, waited).await;
}

/// Waits until an asynchronous condition holds; panics after [`WAIT_TIMEOUT`].
pub async fn wait_until_async(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let waited = async {
        while !holds().await {
            Timer::after(POLL_INTERVAL).await;
        }
    };
    with_timeout(what, waited).await;
}

/// Waits for a future; panics after [`WAIT_TIMEOUT`].
pub async fn with_timeout<T>(what: &str, future: impl Future<Output = T>) -> T {
    let limit = async {
        Timer::after(WAIT_TIMEOUT).await;
        panic!("{what} did not happen within {WAIT_TIMEOUT:?}");
    };
    future::or(future, limit).await
}
