//! The store's object that numbers the orders to one upstream.
//!
//! Operators race each other through different entries, and an order may be
//! held up on its way. Each order takes the next number of its upstream by a
//! conditional update, and the sidecar, or the engine, refuses a lower number
//! than it has seen. The object also keeps whether the upstream is drained, so
//! that a sidecar that starts anew can find it there.

use std::collections::BTreeMap;

use sagespool_messages::EngineOrder;
use sagespool_types::{CommandId, FenceNumber, UpstreamName, derives};

/// Every upstream's object, and nothing else, has a key that begins so.
pub const FENCES_PREFIX: &str = "fences/";

/// Things that are kept apart; of more, some orders are told to be overtaken without need.
const MOST_SUBJECTS: usize = 256;

/// The key of an upstream's object.
pub fn fence_key(upstream: &UpstreamName) -> String {
    format!("{FENCES_PREFIX}{upstream}")
}

derives! { value;
    /// One item of one command, in one turn of carrying it out.
    pub struct FenceHolder {
        /// The command.
        pub command: CommandId,
        /// The item's place.
        pub item: usize,
        /// The turn: a command that is taken up anew takes a new number, so that what its earlier
        /// executor still has under way is refused.
        pub turn: u32,
        /// How often the item has taken a number anew in this turn.
        pub renewal: u32,
    }
}

impl FenceHolder {
    /// True if it is the same item, in whichever turn.
    pub fn is_same_item(&self, other: &Self) -> bool {
        (self.command, self.item) == (other.command, other.item)
    }
}

derives! { record;
    /// The newest orders to one upstream.
    pub struct FenceRecord {
        /// The newest order's number.
        pub number: FenceNumber,
        /// Whose it is.
        pub holder: FenceHolder,
        /// Whether the newest order to drain, or to drain no more, says that the upstream is drained.
        #[serde(default)]
        pub drained: bool,
        /// The number of the newest order about each thing: `drain`, `model sage`, …
        #[serde(default)]
        pub subjects: BTreeMap<String, FenceNumber>,
    }
}

/// What an order is about: two orders about different things don't stand against each other.
fn subject_of(order: &EngineOrder) -> String {
    match order {
        EngineOrder::Drain(_) => "drain".to_owned(),
        EngineOrder::LoadModel(model) | EngineOrder::UnloadModel(model) => format!("model {model}"),
        EngineOrder::LoadAdapter { model, adapter } => format!("adapter {model} {adapter}"),
    }
}

impl FenceRecord {
    /// The record after one more order. The same holder again, since the answer of its write was
    /// lost, gets the number that it has: `None`, nothing to write.
    pub fn with_order(
        present: Option<&Self>,
        holder: FenceHolder,
        order: &EngineOrder,
    ) -> Option<FenceRecord> {
        if present.is_some_and(|record| record.holder == holder) {
            return None;
        }
        let number = present.map_or(FenceNumber(0), |record| record.number).next();
        let drained = match order {
            EngineOrder::Drain(on) => *on,
            _ => present.is_some_and(|record| record.drained),
        };
        let mut subjects = present.map(|record| record.subjects.clone()).unwrap_or_default();
        subjects.insert(subject_of(order), number);
        while subjects.len() > MOST_SUBJECTS {
            subjects.pop_first();
        }
        Some(Self { number, holder, drained, subjects })
    }

    /// Whether an order with that number still is the newest about its thing. Overtaken only by orders
    /// about others, it may be given again with a new number.
    pub fn is_newest(&self, order: &EngineOrder, number: FenceNumber) -> bool {
        self.subjects.get(&subject_of(order)) == Some(&number)
    }
}
