//! A state as it was some time ago.

use std::collections::VecDeque;
use std::time::Duration;

use sagespool_types::ClockTime;

/// The states of the last while, the oldest of which is what others see.
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
    /// Begins with a state that is seen at once.
    pub(crate) fn new(lag: Duration, state: T) -> Self {
        let first = NumberedState { since: ClockTime(0), number: 0, state };
        Self { lag, number: 0, states: VecDeque::from([first]) }
    }

    /// Notes the present state.
    pub(crate) fn note(&mut self, state: T, now: ClockTime) {
        self.forget_old(now);
        if self.states.back().is_some_and(|last| last.state == state) {
            return;
        }
        self.number += 1;
        self.states.push_back(NumberedState { since: now, number: self.number, state });
    }

    /// The state as it was a lag ago, and its number.
    pub(crate) fn seen(&mut self, now: ClockTime) -> (u64, T) {
        self.forget_old(now);
        let first = self.states.front().expect("the newest state that is seen is kept");
        (first.number, first.state.clone())
    }

    fn forget_old(&mut self, now: ClockTime) {
        while self.states.get(1).is_some_and(|second| second.since.after(self.lag) <= now) {
            self.states.pop_front();
        }
    }
}
