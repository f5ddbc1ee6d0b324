//! Calls to a fake server, each on a new connection.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::Value;
use smol::Timer;
use trillium_client::{Client, Method};

/// Status, headers and JSON body of an answer; the body is null if it is not JSON.
#[derive(Debug)]
pub struct CallAnswer {
    pub status: u16,
    pub headers: trillium_client::Headers,
    pub body: Value,
}

/// Makes one call; an error means that the connection broke before the answer.
pub async fn try_call(
    address: SocketAddr,
    method: Method,
    target: &str,
    body: impl Into<Vec<u8>>,
) -> Result<CallAnswer, trillium_client::Error> {
    let client = Client::new(trillium_smol::ClientConfig::default()).without_keepalive();
    let url = format!("http://{address}{target}");
    let mut conn = client.build_conn(method, url.as_str()).with_body(body.into());
    (&mut conn).await?;
    let text = conn.response_body().read_string().await?;
    let status = conn.status().expect("a call that succeeded has a status") as u16;
    let body = serde_json::from_str(&text).unwrap_or(Value::Null);
    Ok(CallAnswer { status, headers: conn.response_headers().clone(), body })
}

/// Makes one call that must be answered.
pub async fn call(
    address: SocketAddr,
    method: Method,
    target: &str,
    body: impl Into<Vec<u8>>,
) -> CallAnswer {
    try_call(address, method, target, body).await.expect("the call is answered")
}

/// Waits until a condition holds; panics after 30 s.
pub async fn until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < Duration::from_secs(30), "timed out waiting until {what}");
        Timer::after(Duration::from_millis(2)).await;
    }
}
