//! Upstreams that repeatedly request backoff from an instance, with rate limits and cold periods in
//! between.

use std::time::Duration;

use quickcheck::quickcheck;
use sagespool_forward::{SenderSelector, UpstreamThrottle, WarmupPolicy, WarmupProfile};
use sagespool_types::{ClockTime, SendRate, UpstreamName};

const POLICY: WarmupPolicy = WarmupPolicy { overage: 1.5, slack: 5.0 };
const MAX_BACKOFF: Duration = Duration::from_secs(600);

fn name() -> UpstreamName {
    "i-1".parse().expect("valid name")
}

fn selector() -> SenderSelector {
    SenderSelector::alone("gateway-1".parse().expect("valid name"))
}

quickcheck! {
    /// Guards against a backoff that is cut short by a shorter one, a rate limit or a cold period,
    /// and against dispatch of a request whose upstream requested backoff while the request waited.
    fn backoff_observed(steps: Vec<(u8, u16)>) -> bool {
        let (name, selector) = (name(), selector());
        let mut throttle = UpstreamThrottle::new(POLICY);
        let profile = WarmupProfile { span: Duration::from_secs(3), per_second: 6.6 };
        let mut now = ClockTime::from_millis(1_000);
        let mut backoffs: Vec<(ClockTime, ClockTime)> = Vec::new();
        for (event, amount) in steps {
            let amount = Duration::from_millis(u64::from(amount) / 4);
            match event % 6 {
                0 => {
                    throttle.note_backoff(&name, amount, now);
                    backoffs.push((now, now.after(amount)));
                }
                1 => drop(throttle.note_rate_limit(&name, SendRate::new(100.0), now, now)),
                2 => drop(throttle.note_rate_limit(&name, None, now, now)),
                3 => drop(throttle.note_cold(&name, amount, now)),
                4 => throttle.sweep(|_| false, now),
                _ => now = now.after(amount),
            }
            let until = backoffs.iter().map(|(_, until)| *until).max().unwrap_or_default();
            let backs_off = now < until;
            if backs_off && throttle.admits(&name, Some(&profile), &selector, now) {
                return false;
            }
            let delay = throttle.next_send_delay(&name, &selector, now);
            if backs_off && delay.is_none_or(|delay| now.after(delay) < until) {
                return false;
            }
            let since = |chosen_at: ClockTime| {
                let mut current = backoffs.iter().filter(|(_, until)| now < *until);
                current.all(|(at, _)| *at > chosen_at) && backs_off
            };
            let chosen_at = ClockTime::from_millis(999);
            if since(chosen_at) && !throttle.blocks_dispatch(&name, chosen_at, now) {
                return false;
            }
        }
        true
    }

    /// Guards against an unbounded backoff.
    fn backoff_bounded(millis: u64) -> bool {
        let (name, selector, now) = (name(), selector(), ClockTime::from_millis(1_000));
        let mut throttle = UpstreamThrottle::new(POLICY);
        throttle.note_backoff(&name, Duration::from_millis(millis), now);
        throttle.admits(&name, None, &selector, now.after(MAX_BACKOFF))
            && throttle.backoff_count(now.after(MAX_BACKOFF)) == 0
    }
}
