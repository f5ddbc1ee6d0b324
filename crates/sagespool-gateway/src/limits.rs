//! Exchange of upstreams' rate limits between gateways.
//!
//! Few instances send to a rate-limited upstream, and only its responses show the end of the limit,
//! so the other gateways query them. Keeping the limit doesn't depend on this exchange.

use std::sync::Arc;
use std::time::Duration;

use sagespool_forward::RateLimitStatus;
use sagespool_messages::{
    MemberRole, PeerReply, PeerRequest, RateLimitQuery, RateLimitReply, UpstreamRateLimit,
};
use sagespool_types::{ClockTime, SendRate};
use smol::Timer;

use crate::state::GatewayState;

const QUERY_PERIOD: Duration = Duration::from_secs(1);
/// Random gateways queried per round; a change reaches hundreds of gateways within some seconds.
const QUERIED_GATEWAYS: usize = 2;
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// Queries others about limits without a recent update, until cancelled.
pub(crate) async fn query_limits(state: Arc<GatewayState>) {
    loop {
        Timer::after(QUERY_PERIOD.mul_f64(0.75 + fastrand::f64() / 2.0)).await;
        let now = ClockTime::now();
        let upstreams = state.throttle().stale_rate_limits(now);
        if upstreams.is_empty() {
            continue;
        }
        let request = PeerRequest::AskLimits(RateLimitQuery { upstreams });
        for other in state.fleet.others(MemberRole::Entry, now).into_iter().take(QUERIED_GATEWAYS) {
            let queried_at = ClockTime::now();
            let reply = state.fleet.call(other.address, &request, QUERY_TIMEOUT).await;
            if let Ok(PeerReply::Limits(reply)) = reply {
                merge_reply(&state, reply, queried_at, ClockTime::now());
            }
        }
    }
}

/// Applies the limits in a reply. Their ages were measured at some time between the query and now.
/// A limit gets the latest possible time and the end of a limit the earliest.
fn merge_reply(state: &GatewayState, reply: RateLimitReply, queried_at: ClockTime, now: ClockTime) {
    for UpstreamRateLimit { upstream, per_second, age } in reply.words {
        let status = match per_second.map(SendRate::new) {
            Some(None) => continue,
            Some(rate) => RateLimitStatus { rate, at: now.before(age) },
            None => RateLimitStatus { rate: None, at: queried_at.before(age) },
        };
        let change = state.throttle().merge_rate_limit(&upstream, status);
        state.log_limit(&upstream, change, "gateway");
    }
}

/// The reply with this gateway's state of upstreams' limits.
pub(crate) fn limits_reply(
    state: &GatewayState,
    query: &RateLimitQuery,
    now: ClockTime,
) -> RateLimitReply {
    let throttle = state.throttle();
    let known =
        query.upstreams.iter().filter_map(|name| Some((name, throttle.rate_limit_status(name)?)));
    let statuses = known.map(|(name, status)| UpstreamRateLimit {
        upstream: name.clone(),
        per_second: status.rate.map(SendRate::per_second),
        age: now.since(status.at),
    });
    RateLimitReply { words: statuses.collect() }
}
