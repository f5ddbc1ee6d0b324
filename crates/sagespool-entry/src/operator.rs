//! HTTP interface for operators.
//!
//! `POST /operator/line` accepts one line of the operators' language. Queries combine the members'
//! replies with the store's state. Commands are recorded in the store before they are executed, so
//! that one that is repeated, through whichever entry, is executed once. See
//! `docs/design/OPERATIONS.md`.

mod access;
mod active;
mod basis;
mod command;
mod configuration;
mod edit;
mod execute;
mod fleet;
mod history;
mod leave;
mod load_turn;
mod order_send;
mod order_target;
mod orders;
mod prune;
mod record;
mod run;
mod spend;
mod status_query;
mod store_change;
mod store_items;

use std::sync::Arc;

use sagespool_log::log_event;
use sagespool_operations::{
    AnswerBody, ErrorReply, HelpAnswer, LINE_PATH, LineRequest, OperatorAnswer, OperatorError,
    OperatorLine, OperatorQuery, parse_line, render_answer,
};
use sagespool_types::BranchName;
use trillium::{Conn, KnownHeaderName, Status};

use crate::state::EntryState;
use access::{check_operator, read_request};
use basis::BasisBuilder;

pub(crate) use active::CommandRegistry;
pub(crate) use leave::leave;

/// The refusal of an operator's request.
#[derive(Debug, Clone, PartialEq)]
struct OperatorRefusal {
    status: Status,
    fault: Box<OperatorError>,
}

impl OperatorRefusal {
    fn new(
        status: Status,
        code: &str,
        message: impl Into<String>,
        help: impl Into<String>,
    ) -> Self {
        Self { status, fault: Box::new(OperatorError::new(code, message, help)) }
    }
}

impl From<sagespool_operations::LineError> for OperatorRefusal {
    fn from(fault: sagespool_operations::LineError) -> Self {
        Self { status: Status::BadRequest, fault: Box::new(fault.into()) }
    }
}

/// An answer and the builder of its basis.
type AnswerWithBasis = (AnswerBody, BasisBuilder);

/// Answers an operator's request.
pub(crate) async fn route(state: Arc<EntryState>, mut conn: Conn) -> Conn {
    match answer(&state, &mut conn).await {
        Ok((answer, true)) => {
            let text = serde_json::to_string(&answer).expect("an answer is plain data");
            respond(conn, Status::Ok, "application/json", text)
        }
        Ok((answer, false)) => {
            let text = format!("{}\n", render_answer(&answer));
            respond(conn, Status::Ok, "text/plain; charset=utf-8", text)
        }
        Err(refusal) => {
            let reply = ErrorReply { error: *refusal.fault };
            let text = serde_json::to_string(&reply).expect("a fault is plain data");
            respond(conn, refusal.status, "application/json", text)
        }
    }
}

fn respond(conn: Conn, status: Status, content_type: &'static str, text: String) -> Conn {
    conn.with_response_header(KnownHeaderName::ContentType, content_type)
        .with_status(status)
        .with_body(text)
        .halt()
}

/// The answer, and whether JSON is requested.
async fn answer(
    state: &Arc<EntryState>,
    conn: &mut Conn,
) -> Result<(OperatorAnswer, bool), OperatorRefusal> {
    if conn.path() != LINE_PATH {
        let message = format!("no such path: {}", conn.path());
        let help = format!("POST {LINE_PATH}; see docs/OPERATORS.md");
        return Err(OperatorRefusal::new(Status::NotFound, "unknown-path", message, help));
    }
    let operator =
        check_operator(state, conn).inspect_err(|_| state.metrics.count_rejected_caller())?;
    let request = read_request(conn).await?;
    let line = parse_line(&request.line)?;
    let (answer, basis) = match line {
        OperatorLine::Query(query) => answer_query(state, &request.line, query).await?,
        OperatorLine::Command(parsed) => {
            command::submit(state, &operator, &request, parsed).await?
        }
    };
    log_answer(&operator, &request, &answer);
    let answer = OperatorAnswer { basis: basis.finish(state), answer };
    Ok((answer, request.json.unwrap_or(true)))
}

fn log_answer(operator: &BranchName, request: &LineRequest, answer: &AnswerBody) {
    if let AnswerBody::Command(answer) = answer {
        log_event!(
            info,
            "operator-command",
            operator = operator,
            command = answer.command,
            state = answer.state,
            line = request.line
        );
    }
}

async fn answer_query(
    state: &Arc<EntryState>,
    line: &str,
    query: OperatorQuery,
) -> Result<AnswerWithBasis, OperatorRefusal> {
    match query {
        OperatorQuery::Spend { branches } => spend::answer(state, line, &branches).await,
        OperatorQuery::Running { branch } => fleet::running(state, line, branch).await,
        OperatorQuery::Upstreams => Ok(fleet::upstreams(state).await),
        OperatorQuery::Members => Ok(fleet::members(state).await),
        OperatorQuery::Configuration { place } => {
            configuration::answer(state, line, place.as_ref()).await
        }
        OperatorQuery::Request { request } => Ok(history::of_request(state, request).await),
        OperatorQuery::Key { branch, key } => Ok(history::of_key(state, &branch, &key).await),
        OperatorQuery::Quarantine => Ok(fleet::quarantine(state).await),
        OperatorQuery::Commands => Ok(record::list(state).await),
        OperatorQuery::Command { command } => record::show(state, line, command).await,
        OperatorQuery::Help { word } => {
            Ok((AnswerBody::Help(HelpAnswer::about(word.as_deref())), BasisBuilder::new()))
        }
    }
}

/// Whether the configuration in force here has a branch; also true while there is none.
fn is_known(state: &EntryState, branch: &BranchName) -> bool {
    state.config.current().is_none_or(|config| config.branch(branch).is_some())
}

/// An error that marks an unknown branch in the line and suggests the nearest name.
fn unknown_branch(state: &EntryState, line: &str, branch: &BranchName) -> OperatorRefusal {
    let config = state.config.current();
    let names: Vec<&str> =
        config.iter().flat_map(|config| config.branches()).map(|(name, _)| name.as_str()).collect();
    let message = format!("there is no branch `{branch}`");
    sagespool_operations::LineError::at_word(line, branch.as_str(), message, &names).into()
}
