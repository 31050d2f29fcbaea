//! What instances tell each other about limits of workspaces.

use pollenshed_state::ids::InstanceName;

use super::exchange::SLOTS;
use crate::membership::hash::stable_hash;

/// Key of an instance in messages, the same in all instances and runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceKey(pub u32);

impl InstanceKey {
    /// Returns the key of a name.
    pub fn of(name: &InstanceName) -> InstanceKey {
        InstanceKey(short_hash(b"instance", name.as_str()))
    }
}

/// Key of a workspace in messages, the same in all instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkspaceKey(pub u32);

impl WorkspaceKey {
    /// Returns the two slots whose keepers give out permits for the workspace. With two, half of
    /// what is pledged stays in use when a keeper is lost.
    pub fn slots(self) -> [usize; 2] {
        let first = self.0 as usize % SLOTS;
        [first, (first + SLOTS / 2) % SLOTS]
    }
}

pub(super) fn short_hash(kind: &[u8], name: &str) -> u32 {
    (stable_hash(&[kind, name.as_bytes()]) >> 32) as u32
}

/// A moment on the clock of a keeper. A pledge lasts from there, so that a message which was under
/// way for long is worth nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mark {
    /// Run of the keeper.
    pub run: u32,
    /// Time since the keeper's start.
    pub at_ms: u64,
}

/// The part of its own share of a limit that an instance does not pledge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Kept {
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// Sixteenths of the share.
    pub parts: u8,
}

/// Gives the share of an instance in the limits of a slot to the slot's keeper for a while, except
/// what is kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pledge {
    /// Instance that pledges.
    pub from: InstanceKey,
    /// The slot.
    pub slot: u32,
    /// Start of the pledge, which lasts [`LAPSE_MS`](super::LAPSE_MS) from there. `None` asks for a
    /// mark and pledges nothing.
    pub mark: Option<Mark>,
    /// Number of instances among which the limits are divided.
    pub divisor: u32,
    /// Workspaces whose share is not pledged as a whole.
    pub kept: Vec<Kept>,
}

/// Answer of a keeper to a pledge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ack {
    /// The keeper.
    pub from: InstanceKey,
    /// The slot.
    pub slot: u32,
    /// The moment of the answer.
    pub mark: Mark,
    /// Start of the pledge that the keeper holds. It will not use an earlier one.
    pub held_ms: Option<u64>,
    /// Whether the keeper stops and will never use a pledge again.
    pub released: bool,
}

/// Number of a question. It starts again after [`AskNumber::COUNT`], so that it takes few bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AskNumber(pub u32);

impl AskNumber {
    /// Numbers until they start again. One half of them lasts for more than a minute, longer than
    /// messages are under way.
    pub const COUNT: u32 = 1 << 14;

    pub(super) fn next(self) -> AskNumber {
        AskNumber((self.0 + 1) % AskNumber::COUNT)
    }

    /// Returns whether this number was given after `other`.
    pub(super) fn is_after(self, other: AskNumber) -> bool {
        let distance = self.0.wrapping_sub(other.0) % AskNumber::COUNT;
        (1..AskNumber::COUNT / 2).contains(&distance)
    }
}

/// Asks a keeper for permits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ask {
    /// Run of the instance that asks.
    pub run: u32,
    /// Number of the question in that run.
    pub number: AskNumber,
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// Slot of the keeper.
    pub slot: u32,
    /// Number of permits that the instance can use.
    pub want: u32,
    /// Number of earlier permits for which no request ran.
    pub returned: u32,
}

/// Permits for single requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Number of the question.
    pub number: AskNumber,
    /// Number of permits. They last a short time from the question on.
    pub granted: u32,
    /// Time until the keeper expects to have a permit again, if it gave fewer than wanted.
    pub room_ms: u32,
}

/// A message between two instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LimitMessage {
    /// To a keeper.
    Pledge(Pledge),
    /// From a keeper.
    Ack(Ack),
    /// To a keeper.
    Ask(Ask),
    /// From a keeper.
    Grant(Grant),
}
