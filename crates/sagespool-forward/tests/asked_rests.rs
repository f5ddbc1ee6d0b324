//! Upstreams that ask an instance for rest, again and again, among limits and cold times.

use std::time::Duration;

use quickcheck::quickcheck;
use sagespool_forward::{SenderSelector, UpstreamThrottle, WarmupPolicy, WarmupProfile};
use sagespool_types::{ClockTime, SendRate, UpstreamName};

const TERMS: WarmupPolicy = WarmupPolicy { overage: 1.5, slack: 5.0 };
const LONGEST: Duration = Duration::from_secs(600);

fn name() -> UpstreamName {
    "i-1".parse().expect("a name")
}

fn panel() -> SenderSelector {
    SenderSelector::alone("gateway-1".parse().expect("a name"))
}

quickcheck! {
    /// Guards against a rest that is cut short by a shorter one, by a limit or by cold times, and against
    /// a request that leaves though its upstream asked for rest while it waited.
    fn rest_kept_whole(steps: Vec<(u8, u16)>) -> bool {
        let (name, panel) = (name(), panel());
        let mut guard = UpstreamThrottle::new(TERMS);
        let traits = WarmupProfile { span: Duration::from_secs(3), per_second: 6.6 };
        let mut now = ClockTime::from_millis(1_000);
        let mut asked: Vec<(ClockTime, ClockTime)> = Vec::new();
        for (what, amount) in steps {
            let amount = Duration::from_millis(u64::from(amount) / 4);
            match what % 6 {
                0 => {
                    guard.note_backoff(&name, amount, now);
                    asked.push((now, now.after(amount)));
                }
                1 => drop(guard.note_rate_limit(&name, SendRate::new(100.0), now, now)),
                2 => drop(guard.note_rate_limit(&name, None, now, now)),
                3 => drop(guard.note_cold(&name, amount, now)),
                4 => guard.sweep(|_| false, now),
                _ => now = now.after(amount),
            }
            let until = asked.iter().map(|(_, until)| *until).max().unwrap_or_default();
            let rests = now < until;
            if rests && guard.admits(&name, Some(&traits), &panel, now) {
                return false;
            }
            let turn = guard.next_send_delay(&name, &panel, now);
            if rests && turn.is_none_or(|turn| now.after(turn) < until) {
                return false;
            }
            let since = |chosen: ClockTime| {
                let mut current = asked.iter().filter(|(_, until)| now < *until);
                current.all(|(at, _)| *at > chosen) && rests
            };
            let chosen = ClockTime::from_millis(999);
            if since(chosen) && !guard.blocks_dispatch(&name, chosen, now) {
                return false;
            }
        }
        true
    }

    /// Guards against rests for ever.
    fn rest_ends(millis: u64) -> bool {
        let (name, panel, now) = (name(), panel(), ClockTime::from_millis(1_000));
        let mut guard = UpstreamThrottle::new(TERMS);
        guard.note_backoff(&name, Duration::from_millis(millis), now);
        guard.admits(&name, None, &panel, now.after(LONGEST)) && guard.backoff_count(now.after(LONGEST)) == 0
    }
}
