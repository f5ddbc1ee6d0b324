//! What fault scripts share: the fleet, the time they have, and the deposits they make.

use std::sync::Arc;
use std::time::Duration;

use async_lock::{Mutex, MutexGuard};
use fastrand::Rng;
use sagespool_types::{BranchName, ClockTime, CommandId, TokenCount};

use crate::fleet::{RunningFleet, top_up};
use crate::load::{ConfigLog, DepositLog, FleetNotes, HomeKill, OperatorClient};

/// What the scripts of one run share. Each holds the fleet only for a step at a time.
#[derive(Clone)]
pub struct FaultStage {
    fleet: Arc<Mutex<RunningFleet>>,
    deposits: Arc<Mutex<DepositLog>>,
    config_log: Arc<Mutex<ConfigLog>>,
    /// The home that a script has killed.
    pub home_kill: Arc<Mutex<Option<HomeKill>>>,
    /// When the traffic started.
    pub start: ClockTime,
    /// How long the traffic lasts.
    pub lasting: Duration,
    /// Seed of the script's own choices.
    pub seed: u64,
    /// What the scripts do to processes and upstreams.
    pub notes: FleetNotes,
}

impl FaultStage {
    /// A stage on which scripts act on a fleet.
    pub fn new(
        fleet: Arc<Mutex<RunningFleet>>,
        deposits: Arc<Mutex<DepositLog>>,
        lasting: Duration,
        seed: u64,
    ) -> Self {
        let notes = FleetNotes::default();
        let (config_log, home_kill) = (Arc::default(), Arc::default());
        let start = ClockTime::now();
        Self { fleet, deposits, config_log, home_kill, start, lasting, seed, notes }
    }

    /// The fleet, for one step.
    pub async fn fleet(&self) -> MutexGuard<'_, RunningFleet> {
        self.fleet.lock().await
    }

    /// What the scripts did to the configuration.
    pub async fn config_log(&self) -> MutexGuard<'_, ConfigLog> {
        self.config_log.lock().await
    }

    /// Waits until a share of the traffic's time has passed.
    pub async fn until(&self, share: f64) {
        let due = self.start.after(self.lasting.mul_f64(share));
        let now = ClockTime::now();
        if due > now {
            smol::Timer::after(due.since(now)).await;
        }
    }

    /// The share of the traffic's time that has passed.
    pub fn share_passed(&self) -> f64 {
        ClockTime::now().since(self.start).as_secs_f64() / self.lasting.as_secs_f64()
    }

    /// An operator with the key of the deployment's operators.
    pub async fn operator(&self) -> OperatorClient {
        OperatorClient::new(self.fleet.lock().await.options.operator_token())
    }

    /// Choices of one script, the same for the same seed whatever other scripts do.
    pub fn rng(&self, script: &str) -> Rng {
        let salt: u64 = script.bytes().map(u64::from).sum();
        Rng::with_seed(self.seed.wrapping_mul(31).wrapping_add(salt))
    }

    /// Tops a branch up, noting when the tokens could be spent first.
    pub async fn top_up(&self, branch: &BranchName, amount: TokenCount) {
        let objects = self.fleet.lock().await.objects.clone();
        self.begin_top_up(branch, amount).await;
        let topped = top_up(&objects, branch, amount, CommandId::random()).await;
        if topped.is_ok() {
            self.end_top_up(branch, amount).await;
        }
    }

    /// Notes that a branch is about to be topped up.
    pub async fn begin_top_up(&self, branch: &BranchName, amount: TokenCount) {
        self.deposits.lock().await.begin(branch, amount, ClockTime::now());
    }

    /// Notes that a branch has surely been topped up.
    pub async fn end_top_up(&self, branch: &BranchName, amount: TokenCount) {
        self.deposits.lock().await.note(branch, amount, ClockTime::now());
    }
}
