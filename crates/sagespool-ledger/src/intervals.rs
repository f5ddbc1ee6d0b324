//! Sets of sequence numbers, stored as intervals.

use sagespool_types::{SequenceNumber, derives};

derives! { record;
    /// A set of sequence numbers. Charges are settled nearly in order, so a set of many thousands
    /// takes a handful of intervals.
    #[derive(Default, Eq)]
    #[serde(transparent)]
    pub struct SequenceSet {
        /// First and last number of each interval; disjoint, not adjacent and in order.
        spans: Vec<(u64, u64)>,
    }
}

impl SequenceSet {
    /// Takes a binary search over the intervals.
    pub fn contains(&self, sequence: SequenceNumber) -> bool {
        let place = self.spans.partition_point(|(first, _)| *first <= sequence.0);
        place > 0 && self.spans[place - 1].1 >= sequence.0
    }

    /// Adds a number; false if the set contains it already.
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

    /// Count of the numbers in the set, not of its intervals.
    pub fn len(&self) -> u64 {
        self.spans.iter().map(|(first, last)| last - first + 1).sum()
    }

    /// True if the set contains no number.
    pub fn is_empty(&self) -> bool {
        self.spans.is_empty()
    }

    /// Number of stored intervals.
    pub fn span_count(&self) -> usize {
        self.spans.len()
    }
}
