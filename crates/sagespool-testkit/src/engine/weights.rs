//! Execution of orders: served models and the download of their weights.

use std::time::Duration;

use futures_lite::future;
use smol::Timer;
use trillium::Status;
use trillium_client::Client;
use trillium_smol::{ClientConfig, SmolRuntime};

use super::http::EngineCall;
use super::orders::EngineOrder;
use crate::fault_gate::ServerDown;

const MAX_FETCH_ATTEMPTS: u32 = 1000;
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);

impl EngineCall {
    /// Executes an order; a load continues in the background.
    pub(super) fn execute(&self, order: EngineOrder) -> Result<(), ServerDown> {
        match order {
            EngineOrder::LoadModel(model) => self.start_load(model.clone(), model),
            EngineOrder::LoadAdapter(name) => {
                let served = format!("{}.{}", name.model, name.adapter);
                self.start_load(served, name.adapter)
            }
            EngineOrder::UnloadModel(model) => {
                self.engine.with_batch(self.start, |batch, faults, now| {
                    batch.loading.retain(|loading| *loading != model);
                    batch.models.retain(|served| *served != model);
                    batch.record_load(faults, now);
                })
            }
            EngineOrder::SetRole(role) => {
                self.engine.with_batch(self.start, |batch, faults, now| {
                    batch.role = role;
                    batch.record_load(faults, now);
                })
            }
        }
    }

    /// Starts a load in the background; the model appears in the load report when it is done.
    fn start_load(&self, served: String, weights: String) -> Result<(), ServerDown> {
        let is_new = self.engine.with_batch(self.start, |batch, _, _| {
            let known = batch.models.contains(&served) || batch.loading.contains(&served);
            if !known {
                batch.loading.push(served.clone());
            }
            !known
        })?;
        if is_new {
            let call = self.clone();
            SmolRuntime::default().spawn(async move { call.load_weights(served, weights).await });
        }
        Ok(())
    }

    async fn load_weights(self, served: String, weights: String) {
        let loaded = async {
            self.fetch_weights(&weights).await;
            Timer::after(self.engine.options.load_time).await;
            true
        };
        let ended = async {
            self.engine.gate.wait_end(self.start).await;
            false
        };
        if !future::or(loaded, ended).await {
            return;
        }
        let _ = self.engine.with_batch(self.start, |batch, faults, now| {
            // An unload order received during the load takes precedence.
            let is_wanted = batch.loading.contains(&served);
            batch.loading.retain(|loading| *loading != served);
            if is_wanted {
                batch.models.push(served);
                batch.record_load(faults, now);
            }
        });
    }

    /// Requests the weights from the weight store until they are delivered.
    async fn fetch_weights(&self, weights: &str) {
        let Some(store) = self.engine.options.weight_store else {
            return;
        };
        let client = Client::new(ClientConfig::default());
        for _ in 0..MAX_FETCH_ATTEMPTS {
            let sent = client.get(format!("http://{store}/weights/{weights}")).await;
            let Ok(answer) = sent else {
                Timer::after(DEFAULT_RETRY_AFTER).await;
                continue;
            };
            if answer.status() == Some(Status::Ok) {
                return;
            }
            let retry_after = answer.response_headers().get_str("retry-after-ms");
            let retry_after = retry_after.and_then(|text| text.parse().ok());
            Timer::after(retry_after.map_or(DEFAULT_RETRY_AFTER, Duration::from_millis)).await;
        }
    }
}
