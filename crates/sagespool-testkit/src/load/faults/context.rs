//! State that fault scripts share: the fleet, the time of the traffic, and logs of their actions.

use std::sync::Arc;
use std::time::Duration;

use async_lock::{Mutex, MutexGuard};
use fastrand::Rng;
use sagespool_types::{BranchName, ClockTime, CommandId, TokenCount};

use crate::fleet::{RunningFleet, top_up};
use crate::load::{ConfigLog, DepositLog, FaultLog, HomeKill, OperatorClient};

/// Shared state of the scripts of one run. Scripts lock the fleet only for a step at a time.
#[derive(Clone)]
pub struct FaultContext {
    fleet: Arc<Mutex<RunningFleet>>,
    deposits: Arc<Mutex<DepositLog>>,
    config_log: Arc<Mutex<ConfigLog>>,
    /// The home that a script killed; set once its grants are settled or the watch timed out.
    pub home_kill: Arc<Mutex<Option<HomeKill>>>,
    /// When the traffic started.
    pub start: ClockTime,
    /// How long the traffic lasts.
    pub duration: Duration,
    /// Seed of the scripts' random choices.
    pub seed: u64,
    /// Actions of the scripts on processes and upstreams.
    pub fault_log: FaultLog,
}

impl FaultContext {
    /// The traffic starts now and lasts for `duration`.
    pub fn new(
        fleet: Arc<Mutex<RunningFleet>>,
        deposits: Arc<Mutex<DepositLog>>,
        duration: Duration,
        seed: u64,
    ) -> Self {
        let fault_log = FaultLog::default();
        let (config_log, home_kill) = (Arc::default(), Arc::default());
        let start = ClockTime::now();
        Self { fleet, deposits, config_log, home_kill, start, duration, seed, fault_log }
    }

    /// Locks the fleet for one step.
    pub async fn fleet(&self) -> MutexGuard<'_, RunningFleet> {
        self.fleet.lock().await
    }

    /// Locks the log of configuration changes.
    pub async fn config_log(&self) -> MutexGuard<'_, ConfigLog> {
        self.config_log.lock().await
    }

    /// Waits until a share of the traffic's time has passed.
    pub async fn until(&self, share: f64) {
        let due = self.start.after(self.duration.mul_f64(share));
        let now = ClockTime::now();
        if due > now {
            smol::Timer::after(due.since(now)).await;
        }
    }

    /// The share of the traffic's time that has passed.
    pub fn share_passed(&self) -> f64 {
        ClockTime::now().since(self.start).as_secs_f64() / self.duration.as_secs_f64()
    }

    /// A client with the bearer token of the deployment's operators.
    pub async fn operator(&self) -> OperatorClient {
        OperatorClient::new(self.fleet.lock().await.options.operator_token())
    }

    /// Random choices of one script, independent of other scripts' choices.
    pub fn rng(&self, script: &str) -> Rng {
        let salt: u64 = script.bytes().map(u64::from).sum();
        Rng::with_seed(self.seed.wrapping_mul(31).wrapping_add(salt))
    }

    /// Tops up a branch, and records from when the tokens could be spent.
    pub async fn top_up(&self, branch: &BranchName, amount: TokenCount) {
        let objects = self.fleet.lock().await.objects.clone();
        self.begin_top_up(branch, amount).await;
        let result = top_up(&objects, branch, amount, CommandId::random()).await;
        if result.is_ok() {
            self.end_top_up(branch, amount).await;
        }
    }

    /// Records the start of a top-up.
    pub async fn begin_top_up(&self, branch: &BranchName, amount: TokenCount) {
        self.deposits.lock().await.note_started(branch, amount, ClockTime::now());
    }

    /// Records that a top-up was confirmed.
    pub async fn end_top_up(&self, branch: &BranchName, amount: TokenCount) {
        self.deposits.lock().await.note(branch, amount, ClockTime::now());
    }
}
