//! The own record, and how this process reacts to another process with its instance name.
//!
//! When this process hears of another incarnation of its name, that may be its dead predecessor or
//! a successor that was started while this process was cut off or paused. Against a predecessor,
//! this process must take a higher generation. For a successor, it must stop. The first record of
//! another incarnation can be stale, so this process always raises its generation above it. If the
//! same incarnation then has a higher generation than before, it has seen a generation that this
//! process took, so it was running after that raise. The clocks in the records then decide: the
//! process that started later stays.

use pollenshed_state::{ids::Incarnation, time::Instant};

use super::record::MemberRecord;

/// The last two times at which this process raised its generation because of one incarnation.
#[derive(Debug, Clone, Copy)]
struct GenerationRaise {
    incarnation: Incarnation,
    last: Instant,
    before_last: Option<Instant>,
}

/// The own record, with the state that orders it relative to other incarnations of the name.
#[derive(Debug, Clone)]
pub(super) struct Identity {
    pub(super) record: MemberRecord,
    pub(super) superseded: bool,
    last_raise: Option<GenerationRaise>,
}

impl Identity {
    pub(super) fn new(record: MemberRecord) -> Identity {
        Identity { record, superseded: false, last_raise: None }
    }

    /// Handles a record with the own name. Returns whether the own generation was raised.
    pub(super) fn observe(&mut self, other: &MemberRecord, now: Instant) -> bool {
        let is_older = other.generation < self.record.generation;
        if other.incarnation == self.record.incarnation || is_older || self.superseded {
            return false;
        }
        if self.started_before(other) {
            self.superseded = true;
            return false;
        }
        // A generation can reach the end of its range only in a forged record.
        let Some(generation) = other.generation.checked_add(1) else { return false };
        self.record.generation = generation;
        let earlier = self.last_raise.filter(|r| r.incarnation == other.incarnation);
        let before_last = earlier.map(|r| r.last);
        self.last_raise =
            Some(GenerationRaise { incarnation: other.incarnation, last: now, before_last });
        true
    }

    /// Returns whether this process started before `other`, which is known to run because it
    /// reacted to a raise of the own generation.
    ///
    /// A generation equal to the own one is a reaction to the raise before the last.
    fn started_before(&self, other: &MemberRecord) -> bool {
        let Some(raise) = self.last_raise else { return false };
        let is_tie = other.generation == self.record.generation;
        let seen_raise_at = if is_tie { raise.before_last } else { Some(raise.last) };
        raise.incarnation == other.incarnation
            && seen_raise_at.is_some_and(|raised_at| raised_at.as_ms() > other.stamp_ms)
    }
}
