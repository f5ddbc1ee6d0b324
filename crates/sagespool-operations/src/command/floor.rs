//! Ids of commands, and forgetting old commands without ever doing one twice.
//!
//! The store keeps a bounded number of commands. An id begins with its time,
//! so that the lowest ids are forgotten first, and the floor, an object of its
//! own, says up to which id some have been. An id at or below the floor that
//! has no record may be one that was done and forgotten: it is refused, never
//! done again. No clock is trusted for that: a clock that is wrong makes ids
//! that are forgotten early, or refused, not ids that are done twice.

use sagespool_types::{CommandId, WallTime, derives};

/// The key of the floor's object.
pub const COMMAND_FLOOR_KEY: &str = "command-floor";

/// Bits of an id below its time.
const RANDOM_BITS: u32 = 80;

/// A new id.
pub fn new_command_id(now: WallTime) -> CommandId {
    let random = CommandId::random().0 & ((1 << RANDOM_BITS) - 1);
    CommandId((u128::from(now.0) << RANDOM_BITS) | random)
}

/// The time that an id begins with.
pub fn command_id_time(command: CommandId) -> WallTime {
    WallTime((command.0 >> RANDOM_BITS) as u64)
}

derives! { record;
    /// Up to which id commands may have been forgotten.
    #[derive(Copy, Eq)]
    pub struct CommandFloor {
        /// The highest id that was forgotten.
        pub highest: CommandId,
    }
}

impl Default for CommandFloor {
    fn default() -> Self {
        Self { highest: CommandId(0) }
    }
}

impl CommandFloor {
    /// True if a command without a record may have been done and forgotten.
    pub fn covers(&self, command: CommandId) -> bool {
        self.highest.0 > 0 && command <= self.highest
    }

    /// Raises the floor; false if it is as high already.
    pub fn raise(&mut self, to: CommandId) -> bool {
        let raised = to > self.highest;
        self.highest = self.highest.max(to);
        raised
    }
}

/// Which commands to forget.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrunePlan {
    /// The floor to write first, so that none of them can be done again.
    pub floor: CommandId,
    /// The commands to delete then.
    pub commands: Vec<CommandId>,
}

/// The lowest ids beyond `most`, if there are any.
pub fn plan_pruning(mut present: Vec<CommandId>, most: usize) -> Option<PrunePlan> {
    present.sort_unstable();
    let surplus = present.len().checked_sub(most)?;
    present.truncate(surplus);
    let floor = *present.last()?;
    Some(PrunePlan { floor, commands: present })
}
