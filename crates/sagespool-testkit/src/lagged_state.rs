//! A state that becomes visible after a lag.

use std::collections::VecDeque;
use std::time::Duration;

use sagespool_types::ClockTime;

/// The states within the lag, oldest first; the first one is visible.
pub(crate) struct LaggedState<T> {
    lag: Duration,
    number: u64,
    states: VecDeque<NumberedState<T>>,
}

#[derive(Clone)]
struct NumberedState<T> {
    since: ClockTime,
    number: u64,
    state: T,
}

impl<T: Clone + PartialEq> LaggedState<T> {
    /// Starts with a state that is visible at once.
    pub(crate) fn new(lag: Duration, state: T) -> Self {
        let first = NumberedState { since: ClockTime(0), number: 0, state };
        Self { lag, number: 0, states: VecDeque::from([first]) }
    }

    /// Records the current state; it becomes visible after the lag.
    pub(crate) fn record(&mut self, state: T, now: ClockTime) {
        self.drop_expired(now);
        if self.states.back().is_some_and(|last| last.state == state) {
            return;
        }
        self.number += 1;
        self.states.push_back(NumberedState { since: now, number: self.number, state });
    }

    /// The state as it was one lag ago, with its sequence number.
    pub(crate) fn visible(&mut self, now: ClockTime) -> (u64, T) {
        self.drop_expired(now);
        let first = self.states.front().expect("the newest visible state is kept");
        (first.number, first.state.clone())
    }

    fn drop_expired(&mut self, now: ClockTime) {
        while self.states.get(1).is_some_and(|second| second.since.after(self.lag) <= now) {
            self.states.pop_front();
        }
    }
}
