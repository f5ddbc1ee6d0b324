//! A client for operator queries and commands, with the same protocol as `sagespool`.

use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::future::or;
use sagespool_operations::{ErrorReply, LINE_PATH, LineRequest, OperatorAnswer};
use sagespool_types::CommandId;
use trillium_client::Client;

/// Longer than an entry waits for a command to end.
const COMMAND_LIMIT: Duration = Duration::from_secs(15);
/// Longer than an entry waits for replies of members and the store.
const QUERY_LIMIT: Duration = Duration::from_secs(4);

/// Sends command lines with an operator's bearer token.
#[derive(Debug, Clone)]
pub struct OperatorClient {
    client: Client,
    token: String,
}

impl OperatorClient {
    /// Takes the operator's bearer token.
    pub fn new(token: impl Into<String>) -> Self {
        let client = Client::new(trillium_smol::ClientConfig::default()).without_keepalive();
        Self { client, token: token.into() }
    }

    /// Sends a query.
    ///
    /// # Errors
    /// The error code and message, or why there is no answer.
    pub async fn query(&self, entry: SocketAddr, line: &str) -> Result<OperatorAnswer, String> {
        self.send(entry, line, None).await
    }

    /// Sends a command and waits for it to end; a repeat with the same id does not run it twice.
    ///
    /// # Errors
    /// The error code and message, or why there is no answer; the command may still be running.
    pub async fn run_command(
        &self,
        entry: SocketAddr,
        line: &str,
        command: CommandId,
    ) -> Result<OperatorAnswer, String> {
        self.send(entry, line, Some(command)).await
    }

    async fn send(
        &self,
        entry: SocketAddr,
        line: &str,
        command: Option<CommandId>,
    ) -> Result<OperatorAnswer, String> {
        let limit = if command.is_some() { COMMAND_LIMIT } else { QUERY_LIMIT };
        let request = LineRequest { line: line.to_owned(), command, json: None, wait_ms: None };
        let body = serde_json::to_string(&request).expect("a LineRequest is serializable");
        let exchange = async {
            let url = format!("http://{entry}{LINE_PATH}");
            let conn = self.client.post(url.as_str()).with_body(body);
            let conn = conn.with_request_header("authorization", format!("Bearer {}", self.token));
            let mut conn = conn.await.map_err(|error| error.to_string())?;
            let text = conn.response_body().read_string().await;
            text.map_err(|error| error.to_string())
        };
        let late = async {
            smol::Timer::after(limit).await;
            Err("no answer in time".to_owned())
        };
        let text = or(exchange, late).await?;
        serde_json::from_str(&text).map_err(|_| match serde_json::from_str::<ErrorReply>(&text) {
            Ok(reply) => format!("{}: {}", reply.error.code, reply.error.message),
            Err(error) => format!("answer is neither a result nor an error: {error}"),
        })
    }
}
