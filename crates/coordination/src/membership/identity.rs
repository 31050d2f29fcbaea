//! The own record, and what to do about another process of the same name.
//!
//! When this process hears of another incarnation of its name, that process may be its dead
//! predecessor (it must be overtaken) or a successor that was started while this process was cut off
//! or paused (this process must give way). A first sighting can be stale, so it is always overtaken.
//! If the same incarnation then answers with a higher generation than it had, it saw a generation that
//! this process took, so it ran after that. The stamps then decide: the process that started later
//! stays.

use pollenshed_state::{ids::Incarnation, time::Instant};

use super::record::MemberRecord;

/// The last two times at which this process overtook one incarnation.
#[derive(Debug, Clone, Copy)]
struct Overtaken {
    incarnation: Incarnation,
    last: Instant,
    before_last: Option<Instant>,
}

/// The own record with what is needed to order it after other incarnations of the name.
#[derive(Debug, Clone)]
pub(super) struct Identity {
    pub(super) record: MemberRecord,
    pub(super) superseded: bool,
    overtaken: Option<Overtaken>,
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
        let earlier = self.overtaken.filter(|o| o.incarnation == other.incarnation);
        let before_last = earlier.map(|o| o.last);
        self.overtaken = Some(Overtaken { incarnation: other.incarnation, last: now, before_last });
        true
    }

    /// Returns whether `other` answered an own raise, so that it is alive, and started later.
    ///
    /// A generation equal to the own one answers the raise before the last.
    fn started_before(&self, other: &MemberRecord) -> bool {
        let Some(overtaken) = self.overtaken else { return false };
        let is_tie = other.generation == self.record.generation;
        let answered = if is_tie { overtaken.before_last } else { Some(overtaken.last) };
        overtaken.incarnation == other.incarnation
            && answered.is_some_and(|raised_at| raised_at.as_ms() > other.stamp_ms)
    }
}
