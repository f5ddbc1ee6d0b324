//! Requesting, raising and closing grants in the store.

use std::sync::Arc;
use std::time::Duration;

use sagespool_ledger::{PrepaidRecord, prepaid_key};
use sagespool_link::within;
use sagespool_log::log_event;
use sagespool_platform::{StoreError, UpdateChoice, update_object};
use sagespool_types::{ClockTime, StoreRevision, TokenCount};
use smol::{Task, Timer};

use super::account::{AccountState, CachedRecord, lock};
use super::{BudgetPool, BudgetRequest};

/// Attempts to write one record before a request is refused. Writes of other instances conflict.
const MAX_TRIES: u32 = 8;
/// Pause between two tries, times the number of tries so far: a write takes about 4 ms.
const RETRY_PAUSE: Duration = Duration::from_millis(3);

/// The result of requesting a larger grant.
pub(super) enum GrantOutcome {
    Granted,
    /// The amount that the record and the unspent part of this run's grant cover.
    Short(TokenCount),
}

impl BudgetPool {
    /// [`request_grant`](Self::request_grant) with a timeout, which counts as an unavailable store.
    pub(super) async fn request_grant_in_time(
        &self,
        account: &AccountState,
        budget: &BudgetRequest,
        missing: TokenCount,
        instances: usize,
        limit: Duration,
    ) -> Result<GrantOutcome, StoreError> {
        let grant = self.request_grant(account, budget, missing, instances);
        within(limit, grant).await.unwrap_or(Err(StoreError::Unavailable))
    }

    /// Requests a grant that covers `missing` more tokens, and reserves them.
    async fn request_grant(
        &self,
        account: &AccountState,
        budget: &BudgetRequest,
        missing: TokenCount,
        instances: usize,
    ) -> Result<GrantOutcome, StoreError> {
        // One writer per account: the grant that it gets may cover the waiting requests too.
        let mut cached = account.record.lock().await;
        let key = prepaid_key(&account.branch);
        for tries in 0..MAX_TRIES {
            if missing > TokenCount::ZERO
                && lock(&account.balance).reserve(missing, ClockTime::now())
            {
                return Ok(GrantOutcome::Granted);
            }
            let is_fresh = cached.is_none();
            if is_fresh {
                *cached = Some(self.read_record(&key).await?);
            }
            let Some(read) = cached.clone() else {
                continue;
            };
            let mut record = read.value;
            record.set_total(budget.version, budget.prepaid);
            record.close_earlier_runs(self.run, &self.instance);
            account.note_holders(&record);
            let present = record.granted(self.run);
            let now = ClockTime::now();
            let policy = self.supply_policy().per_instance(instances);
            let wanted = {
                let mut balance = lock(&account.balance);
                balance.observe_record(&record);
                balance.grant_to_request(&record, present, missing, policy, now)
            };
            let Some(wanted) = wanted else {
                if is_fresh {
                    let min_grant = lock(&account.balance).min_grant();
                    return Ok(GrantOutcome::Short(
                        (record.free() + present).saturating_sub(min_grant),
                    ));
                }
                // The cached record may be stale: other instances may have returned tokens.
                *cached = None;
                continue;
            };
            record.set_granted(self.run, &self.instance, wanted);
            let supply = lock(&account.balance).supply_in_grant(wanted, missing);
            record.set_supply(self.run, supply);
            *cached = None;
            match self.store.put(&key, read.version, &record).await {
                Ok(version) => {
                    lock(&account.balance).set_acknowledged(wanted);
                    self.log_grant(account, &record, wanted, version);
                    *cached = Some(CachedRecord { version, value: record });
                    if missing == TokenCount::ZERO {
                        return Ok(GrantOutcome::Granted);
                    }
                }
                Err(StoreError::Conflict { .. } | StoreError::Uncertain) => {
                    Timer::after(RETRY_PAUSE.mul_f64(fastrand::f64() * f64::from(tries + 1))).await;
                }
                Err(error) => return Err(error),
            }
        }
        Err(StoreError::Unavailable)
    }

    async fn read_record(&self, key: &str) -> Result<CachedRecord, StoreError> {
        let found = self.store.get::<PrepaidRecord>(key).await?;
        Ok(match found {
            Some(object) => CachedRecord { version: object.version, value: object.value },
            None => CachedRecord { version: StoreRevision::ZERO, value: PrepaidRecord::default() },
        })
    }

    fn log_grant(
        &self,
        account: &AccountState,
        record: &PrepaidRecord,
        granted: TokenCount,
        version: StoreRevision,
    ) {
        log_event!(
            info,
            "grant-acknowledged",
            branch = account.branch,
            granted = granted,
            book_free = record.free(),
            prepaid = record.prepaid,
            closed = record.closed,
            given_up = record.given_up,
            holders = record.holders.len(),
            revision = version,
        );
    }

    /// Closes this run's grants in the records with the amounts spent. For a graceful stop.
    pub(crate) async fn close_all(self: &Arc<Self>, limit: Duration) {
        let accounts: Vec<Arc<AccountState>> = lock(&self.accounts).values().cloned().collect();
        let closing = accounts.into_iter().map(|account| {
            let pool = self.clone();
            smol::spawn(async move { pool.close(&account, limit).await })
        });
        let closing: Vec<Task<()>> = closing.collect();
        for task in closing {
            task.await;
        }
    }

    async fn close(&self, account: &AccountState, limit: Duration) {
        let spent = lock(&account.balance).min_grant();
        lock(&account.balance).lower_grant_to(spent);
        let key = prepaid_key(&account.branch);
        let close = |record: &mut PrepaidRecord| {
            if !record.holders.contains_key(&self.run) {
                return UpdateChoice::Keep;
            }
            record.close(self.run, spent);
            UpdateChoice::Write
        };
        match update_object(&self.store, &key, limit, close).await {
            Ok(_) => log_event!(info, "grant-closed", branch = account.branch, spent = spent),
            Err(error) => log_event!(warn, "grant-left", branch = account.branch, error = error),
        }
    }
}
