//! HTTP handler of the instance list.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use sagespool_types::{ClockTime, StoreRevision};
use serde::Serialize;
use smol::Timer;
use trillium::{Conn, Status};
use trillium_router::Router;

use super::SharedList;
use super::state::{InstanceEntry, ListState};
use crate::call_query::{CallQuery, QueryError};
use crate::http_reply::HttpReply;

/// Longest time that a call waits for a change, also if `wait_ms` is higher.
const MAX_WAIT: Duration = Duration::from_secs(60);

#[derive(Serialize)]
struct ListBody {
    revision: StoreRevision,
    instances: Vec<InstanceEntry>,
}

/// The routes of the instance list.
pub(super) fn router(list: &Arc<SharedList>) -> Router {
    let list = list.clone();
    Router::new().get("/instances", move |mut conn: Conn| {
        let list = list.clone();
        async move {
            let query = CallQuery::parse(conn.querystring());
            let answer = async move { list_instances(&list, &query).await };
            match conn.cancel_on_disconnect(answer).await {
                Some(Ok(reply)) => reply.send(conn),
                Some(Err(error)) => HttpReply::error(Status::BadRequest, error).send(conn),
                None => conn,
            }
        }
    })
}

async fn list_instances(list: &SharedList, query: &CallQuery) -> Result<HttpReply, QueryError> {
    let Some(after) = query.number::<StoreRevision>("after")? else {
        return Ok(list_now(list));
    };
    let wait = Duration::from_millis(query.required("wait_ms")?).min(MAX_WAIT);
    wait_for_change(list, after, wait).await;
    Ok(list_now(list))
}

fn list_now(list: &SharedList) -> HttpReply {
    let mut state = list.state();
    state.advance(ClockTime::now());
    let body = ListBody { revision: state.revision(), instances: state.listed() };
    HttpReply::json(Status::Ok, &body)
}

/// Returns when a change after a revision is visible, or after this time.
async fn wait_for_change(list: &SharedList, after: StoreRevision, wait: Duration) {
    let until = ClockTime::now().after(wait);
    loop {
        // Listens before checking, so that a change in between is not missed.
        let changed = list.changed.listen();
        let now = ClockTime::now();
        let Some(pause) = time_to_next_check(&mut list.state(), after, until, now) else { return };
        let passed = async {
            Timer::after(pause).await;
        };
        changed.or(passed).await;
    }
}

/// The time to wait before the next check; none if the call can be answered.
fn time_to_next_check(
    state: &mut ListState,
    after: StoreRevision,
    until: ClockTime,
    now: ClockTime,
) -> Option<Duration> {
    state.advance(now);
    if state.revision() > after || state.is_stopping() || now >= until {
        return None;
    }
    let wake_at = state.next_due().map_or(until, |due| due.min(until));
    Some(wake_at.since(now))
}
