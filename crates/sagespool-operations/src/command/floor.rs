//! Command ids, and pruning of old command records without executing a command twice.
//!
//! The store keeps a bounded number of command records. An id begins with its
//! time, so that the lowest ids are pruned first. The floor, an object of its
//! own, holds the highest pruned id. An id at or below the floor without a
//! record may belong to a command that was executed and pruned: it is refused
//! and never executed again. This doesn't depend on clocks: a wrong clock
//! makes ids that are pruned early or refused, not ids that are executed twice.

use sagespool_types::{CommandId, WallTime, derives};

/// The store key of the floor.
pub const COMMAND_FLOOR_KEY: &str = "command-floor";

/// Random bits of an id, below its time.
const RANDOM_BITS: u32 = 80;

/// Creates an id with the given time and a random part.
pub fn new_command_id(now: WallTime) -> CommandId {
    let random = CommandId::random().0 & ((1 << RANDOM_BITS) - 1);
    CommandId((u128::from(now.0) << RANDOM_BITS) | random)
}

/// The time in an id.
pub fn command_id_time(command: CommandId) -> WallTime {
    WallTime((command.0 >> RANDOM_BITS) as u64)
}

derives! { record;
    /// The id up to which command records may have been pruned.
    #[derive(Copy, Eq)]
    pub struct CommandFloor {
        /// The highest pruned id.
        pub highest: CommandId,
    }
}

impl Default for CommandFloor {
    fn default() -> Self {
        Self { highest: CommandId(0) }
    }
}

impl CommandFloor {
    /// True if a command without a record may have been executed and pruned.
    pub fn covers(&self, command: CommandId) -> bool {
        self.highest.0 > 0 && command <= self.highest
    }

    /// Raises the floor; false if it is at least as high already.
    pub fn raise(&mut self, to: CommandId) -> bool {
        let raised = to > self.highest;
        self.highest = self.highest.max(to);
        raised
    }
}

/// Which command records to prune.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrunePlan {
    /// The floor to write first, so that none of the commands can be executed again.
    pub floor: CommandId,
    /// The commands whose records to delete after that.
    pub commands: Vec<CommandId>,
}

/// Plans to prune the lowest ids until `max_kept` remain; `None` if there are no more than that.
pub fn plan_pruning(mut present: Vec<CommandId>, max_kept: usize) -> Option<PrunePlan> {
    present.sort_unstable();
    let surplus = present.len().checked_sub(max_kept)?;
    present.truncate(surplus);
    let floor = *present.last()?;
    Some(PrunePlan { floor, commands: present })
}
