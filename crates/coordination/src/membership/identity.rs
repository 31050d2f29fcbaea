//! The own record, and what to do about another process of the same name.
//!
//! When this process hears of another incarnation of its name, that process may be its dead
//! predecessor (it must be overtaken) or a successor that was started while this process was cut off
//! or paused (this process must give way). A first sighting can be stale, so it is always overtaken.
//! If the same incarnation then overtakes in turn, it must have run after this process did, so it is
//! alive, and the stamps decide: the process that started later stays.

use pollenshed_state::{ids::Incarnation, time::Instant};

use super::record::MemberRecord;

/// The own record with what is needed to order it after other incarnations of the name.
#[derive(Debug, Clone)]
pub(super) struct Identity {
    pub(super) record: MemberRecord,
    pub(super) superseded: bool,
    overtaken: Option<(Incarnation, Instant)>,
}

impl Identity {
    pub(super) fn new(record: MemberRecord) -> Identity {
        Identity { record, superseded: false, overtaken: None }
    }

    /// Judges a record of the own name. Returns whether the own generation was raised.
    pub(super) fn observe(&mut self, other: &MemberRecord, now: Instant) -> bool {
        let is_older = other.generation < self.record.generation;
        if other.incarnation == self.record.incarnation || is_older || self.superseded {
            return false;
        }
        if self.started_before(other) {
            self.superseded = true;
            return false;
        }
        // A generation at the end of its range can only be a forged record.
        let Some(generation) = other.generation.checked_add(1) else { return false };
        self.record.generation = generation;
        self.overtaken = Some((other.incarnation, now));
        true
    }

    /// Returns whether `other` answered an own raise, so that it is alive, and started later.
    fn started_before(&self, other: &MemberRecord) -> bool {
        let Some((incarnation, raised_at)) = self.overtaken else { return false };
        incarnation == other.incarnation
            && other.generation > self.record.generation
            && raised_at.as_ms() > other.stamp_ms
    }
}
