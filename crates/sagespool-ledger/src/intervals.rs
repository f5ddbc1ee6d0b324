//! Sets of sequence numbers, kept as intervals.

use sagespool_types::{SequenceNumber, derives};

derives! { record;
    /// A set of sequence numbers. Charges are settled nearly in order, so a set of many thousands is
    /// a handful of intervals.
    #[derive(Default, Eq)]
    #[serde(transparent)]
    pub struct SequenceSet {
        /// First and last of each interval, apart and in order.
        spans: Vec<(u64, u64)>,
    }
}

impl SequenceSet {
    /// True if the number is in the set.
    pub fn contains(&self, sequence: SequenceNumber) -> bool {
        let place = self.spans.partition_point(|(first, _)| *first <= sequence.0);
        place > 0 && self.spans[place - 1].1 >= sequence.0
    }

    /// Adds a number; false if it was in the set.
    pub fn insert(&mut self, sequence: SequenceNumber) -> bool {
        if self.contains(sequence) {
            return false;
        }
        let number = sequence.0;
        let place = self.spans.partition_point(|(first, _)| *first <= number);
        let joins_before = place > 0 && self.spans[place - 1].1 + 1 == number;
        let joins_after = place < self.spans.len() && self.spans[place].0 == number + 1;
        match (joins_before, joins_after) {
            (true, true) => {
                self.spans[place - 1].1 = self.spans[place].1;
                self.spans.remove(place);
            }
            (true, false) => self.spans[place - 1].1 = number,
            (false, true) => self.spans[place].0 = number,
            (false, false) => self.spans.insert(place, (number, number)),
        }
        true
    }

    /// How many numbers are in the set.
    pub fn len(&self) -> u64 {
        self.spans.iter().map(|(first, last)| last - first + 1).sum()
    }

    /// True if no number is in the set.
    pub fn is_empty(&self) -> bool {
        self.spans.is_empty()
    }

    /// How many intervals the set takes.
    pub fn span_count(&self) -> usize {
        self.spans.len()
    }
}
