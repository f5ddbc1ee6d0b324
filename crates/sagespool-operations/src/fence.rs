//! The stored object with the fencing number of the orders to one upstream.
//!
//! Operators may send orders through different entries at the same time, and an
//! order may be delayed. Each order takes the upstream's next number by a
//! conditional update, and the sidecar or the engine rejects a number lower
//! than one it has seen. The object also records whether the upstream is
//! drained, so that a restarted sidecar can read it.

use std::collections::BTreeMap;

use sagespool_messages::EngineOrder;
use sagespool_types::{CommandId, FenceNumber, UpstreamName, derives};

/// Key prefix of the upstreams' objects; no other object has it.
pub const FENCES_PREFIX: &str = "fences/";

/// Limit on recorded subjects per upstream. Beyond it, some orders are reported as superseded although
/// they are not.
const MAX_SUBJECTS: usize = 256;

/// The store key of an upstream's object.
pub fn fence_key(upstream: &UpstreamName) -> String {
    format!("{FENCES_PREFIX}{upstream}")
}

derives! { value;
    /// One execution of one item of a command.
    pub struct FenceHolder {
        /// The command.
        pub command: CommandId,
        /// The item's index in the command.
        pub item: usize,
        /// The executor's turn ([`crate::CommandExecutor::turn`]). After a take-over the order gets a
        /// new number, so that a delayed order of the earlier executor is rejected.
        pub turn: u32,
        /// How often the item has taken a new number in this turn.
        pub renewal: u32,
    }
}

impl FenceHolder {
    /// True if both are the same item of the same command, in any turn.
    pub fn is_same_item(&self, other: &Self) -> bool {
        (self.command, self.item) == (other.command, other.item)
    }
}

derives! { record;
    /// The newest orders to one upstream.
    pub struct FenceRecord {
        /// The newest order's number.
        pub number: FenceNumber,
        /// The item that the newest number was assigned to.
        pub holder: FenceHolder,
        /// Whether the upstream is drained according to the newest drain or undrain order.
        #[serde(default)]
        pub drained: bool,
        /// The number of the newest order on each subject: `drain`, `model sage`, …
        #[serde(default)]
        pub subjects: BTreeMap<String, FenceNumber>,
    }
}

/// The subject of an order. Orders on different subjects don't supersede each other.
fn subject_of(order: &EngineOrder) -> String {
    match order {
        EngineOrder::Drain(_) => "drain".to_owned(),
        EngineOrder::LoadModel(model) | EngineOrder::UnloadModel(model) => format!("model {model}"),
        EngineOrder::LoadAdapter { model, adapter } => format!("adapter {model} {adapter}"),
    }
}

impl FenceRecord {
    /// The record with one more order. `None` if the holder has the newest number already, because the
    /// reply to its earlier write was lost: nothing is to be written.
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
        while subjects.len() > MAX_SUBJECTS {
            subjects.pop_first();
        }
        Some(Self { number, holder, drained, subjects })
    }

    /// Whether an order with this number is the newest on its subject. If only orders on other subjects
    /// came later, it may be sent again with a new number.
    pub fn is_newest(&self, order: &EngineOrder, number: FenceNumber) -> bool {
        self.subjects.get(&subject_of(order)) == Some(&number)
    }
}
