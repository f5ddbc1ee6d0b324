//! Baseline: calls sent directly to the fake engines, to compare the fleet's latency with.

use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::AsyncReadExt;
use sagespool_types::ClockTime;
use serde_json::json;
use trillium_client::Client;

use super::{CallKind, PlannedCall};

/// Latencies of one direct answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DirectTimes {
    /// Time to the first bytes of the body; none for an empty body.
    pub first_token: Option<Duration>,
    /// Time to the end of the answer.
    pub whole: Duration,
}

/// Sends completions directly to the engines, round-robin, at their planned times. Calls of
/// services and calls that fail are left out of the result.
pub async fn run_direct(calls: Vec<PlannedCall>, engines: Vec<SocketAddr>) -> Vec<DirectTimes> {
    let config = trillium_smol::ClientConfig::default().with_nodelay(true);
    let client = Client::new(config).without_keepalive();
    let start = ClockTime::now();
    let mut tasks = Vec::with_capacity(calls.len());
    for (number, call) in calls.into_iter().enumerate() {
        let due = start.after(call.at);
        let now = ClockTime::now();
        if due > now {
            smol::Timer::after(due.since(now)).await;
        }
        let (client, engine) = (client.clone(), engines[number % engines.len()]);
        tasks.push(smol::spawn(async move { send(&client, &call, engine).await }));
    }
    let mut times = Vec::with_capacity(tasks.len());
    for task in tasks {
        times.extend(task.await);
    }
    times
}

async fn send(client: &Client, call: &PlannedCall, engine: SocketAddr) -> Option<DirectTimes> {
    let CallKind::Completion { model, prompt, max_tokens, .. } = &call.kind else {
        return None;
    };
    let body = json!({
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
        "stream": true,
    });
    let sent = ClockTime::now();
    let mut conn = client
        .post(format!("http://{engine}/v1/chat/completions").as_str())
        .with_request_header("x-request-id", format!("direct-{}", call.marker.number))
        .with_body(body.to_string())
        .await
        .ok()?;
    let mut first_token = None;
    let mut buffer = vec![0; 16 * 1024];
    let mut answer = conn.response_body();
    loop {
        let read = answer.read(&mut buffer).await.ok()?;
        if read == 0 {
            break;
        }
        first_token.get_or_insert_with(|| ClockTime::now().since(sent));
    }
    Some(DirectTimes { first_token, whole: ClockTime::now().since(sent) })
}
