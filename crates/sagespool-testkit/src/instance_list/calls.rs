//! The call of the instance list: from an HTTP request to an answer.

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
use crate::call_query::{CallQuery, QueryFault};
use crate::http_reply::HttpReply;

/// A call that asks for longer is answered after this time.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

#[derive(Serialize)]
struct ListBody {
    revision: StoreRevision,
    instances: Vec<InstanceEntry>,
}

/// The routes of the list.
pub(super) fn router(list: &Arc<SharedList>) -> Router {
    let list = list.clone();
    Router::new().get("/instances", move |mut conn: Conn| {
        let list = list.clone();
        async move {
            let query = CallQuery::parse(conn.querystring());
            let answer = async move { list_instances(&list, &query).await };
            match conn.cancel_on_disconnect(answer).await {
                Some(Ok(reply)) => reply.send(conn),
                Some(Err(fault)) => HttpReply::fault(Status::BadRequest, fault).send(conn),
                None => conn,
            }
        }
    })
}

async fn list_instances(list: &SharedList, query: &CallQuery) -> Result<HttpReply, QueryFault> {
    let Some(after) = query.number::<StoreRevision>("after")? else {
        return Ok(list_now(list));
    };
    let wait = Duration::from_millis(query.required("wait_ms")?).min(LONGEST_WAIT);
    wait_for_change(list, after, wait).await;
    Ok(list_now(list))
}

fn list_now(list: &SharedList) -> HttpReply {
    let mut state = list.state();
    state.advance(ClockTime::now());
    let body = ListBody { revision: state.revision(), instances: state.listed() };
    HttpReply::json(Status::Ok, &body)
}

/// Returns once the list shows a change after a revision, or after this time.
async fn wait_for_change(list: &SharedList, after: StoreRevision, wait: Duration) {
    let until = ClockTime::now().after(wait);
    loop {
        // Listens before looking, so that a change between the two wakes it.
        let changed = list.changed.listen();
        let now = ClockTime::now();
        let Some(pause) = pause_before_look(&mut list.state(), after, until, now) else { return };
        let passed = async {
            Timer::after(pause).await;
        };
        changed.or(passed).await;
    }
}

/// How long to wait before looking again; none when there is something to answer.
fn pause_before_look(
    state: &mut ListState,
    after: StoreRevision,
    until: ClockTime,
    now: ClockTime,
) -> Option<Duration> {
    state.advance(now);
    if state.revision() > after || state.is_stopping() || now >= until {
        return None;
    }
    let look_at = state.next_due().map_or(until, |due| due.min(until));
    Some(look_at.since(now))
}
