//! Carrying orders out: what an engine serves, and the weights that it fetches for it.

use std::time::Duration;

use futures_lite::future;
use smol::Timer;
use trillium::Status;
use trillium_client::Client;
use trillium_smol::{ClientConfig, SmolRuntime};

use super::http::EngineCall;
use super::orders::EngineOrder;
use crate::fault_gate::StandGone;

const MOST_WEIGHT_TRIES: u32 = 1000;
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);

impl EngineCall {
    /// Does what an order says; a load goes on in the background.
    pub(super) fn carry_out(&self, order: EngineOrder) -> Result<(), StandGone> {
        match order {
            EngineOrder::LoadModel(model) => self.begin_load(model.clone(), model),
            EngineOrder::LoadAdapter(name) => {
                let served = format!("{}.{}", name.model, name.adapter);
                self.begin_load(served, name.adapter)
            }
            EngineOrder::UnloadModel(model) => {
                self.engine.with_batch(self.start, |batch, pace, now| {
                    batch.loading.retain(|loading| *loading != model);
                    batch.models.retain(|served| *served != model);
                    batch.note_load(pace, now);
                })
            }
            EngineOrder::SetRole(role) => self.engine.with_batch(self.start, |batch, pace, now| {
                batch.role = role;
                batch.note_load(pace, now);
            }),
        }
    }

    /// Loads in the background; what is served once it is done shows in the load.
    fn begin_load(&self, served: String, weights: String) -> Result<(), StandGone> {
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
            self.engine.gate.ended(self.start).await;
            false
        };
        if !future::or(loaded, ended).await {
            return;
        }
        let _ = self.engine.with_batch(self.start, |batch, pace, now| {
            // An order to unload that came meanwhile is the newer one.
            let is_wanted = batch.loading.contains(&served);
            batch.loading.retain(|loading| *loading != served);
            if is_wanted {
                batch.models.push(served);
                batch.note_load(pace, now);
            }
        });
    }

    /// Asks the weight store until it gives the weights.
    async fn fetch_weights(&self, weights: &str) {
        let Some(store) = self.engine.options.weight_store else {
            return;
        };
        let client = Client::new(ClientConfig::default());
        for _ in 0..MOST_WEIGHT_TRIES {
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
