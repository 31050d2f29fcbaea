//! What an instance has pledged to the keeper of one slot.

use pollenshed_state::time::Instant;

use super::{
    exchange::LAPSE_MS,
    messages::{Ack, InstanceKey, Kept, Mark, WorkspaceKey},
};

/// Sixteenths of a share that make up the whole.
pub(super) const ALL_PARTS: u8 = 16;

/// Addition to the time for which an instance holds to a pledge, since clocks of two machines run
/// at slightly different speeds.
const CLOCK_MARGIN_MS: u64 = 20;

/// Sixteenths of a share by which a need has to change for an early pledge.
const EARLY_PARTS: u8 = 8;

#[derive(Debug, Clone)]
struct GivenPledge {
    mark: Mark,
    until: Instant,
    kept: Vec<Kept>,
}

impl GivenPledge {
    fn kept_parts(&self, workspace: WorkspaceKey) -> u8 {
        let kept = self.kept.iter().find(|kept| kept.workspace == workspace);
        kept.map_or(0, |kept| kept.parts)
    }
}

/// What an instance has pledged to the keeper of one slot.
#[derive(Debug, Clone, Default)]
pub(super) struct Pledger {
    keeper: Option<InstanceKey>,
    /// Latest mark of the keeper, and when it arrived. The keeper made it earlier.
    mark: Option<(Mark, Instant)>,
    given: Vec<GivenPledge>,
    sent_at: Option<Instant>,
    /// Whether a keeper has answered this run that it holds nothing of the instance.
    was_cleared: bool,
}

impl Pledger {
    /// Sets the instance that is the keeper of the slot now.
    pub(super) fn set_keeper(&mut self, keeper: Option<InstanceKey>) {
        if self.keeper != keeper {
            self.keeper = keeper;
            self.mark = None;
            self.sent_at = None;
        }
    }

    /// Returns whether it is time for the next message to the keeper.
    pub(super) fn is_due(&self, period_ms: u64, now: Instant) -> bool {
        self.keeper.is_some() && self.sent_at.is_none_or(|at| now.since_ms(at) >= period_ms)
    }

    /// Pledges all but `kept` and returns the mark from which the pledge lasts, and what is kept.
    /// Nothing is pledged while an earlier keeper may still use what it has, and only one thing
    /// from the same mark, since the keeper could not tell which one is the later.
    pub(super) fn give(&mut self, kept: Vec<Kept>, now: Instant) -> Option<(Mark, Vec<Kept>)> {
        let (mark, received_at) = self.mark?;
        let until = received_at.plus_ms(LAPSE_MS + CLOCK_MARGIN_MS);
        self.expire(now);
        if until <= now || self.given.iter().any(|given| given.mark.run != mark.run) {
            return None;
        }
        if let Some(same) = self.given.iter().find(|given| given.mark == mark) {
            return Some((mark, same.kept.clone()));
        }
        self.given.push(GivenPledge { mark, until, kept: kept.clone() });
        Some((mark, kept))
    }

    /// Records that a message was sent to the keeper.
    pub(super) fn record_sent(&mut self, now: Instant) {
        self.sent_at = Some(now);
    }

    /// Returns whether what the instance has use for differs by [`EARLY_PARTS`] from what it keeps.
    pub(super) fn differs(&self, wanted: &[Kept]) -> bool {
        let Some(last) = self.given.last() else { return false };
        let parts = wanted.iter().map(|kept| (kept.parts, last.kept_parts(kept.workspace)));
        let gone =
            last.kept.iter().filter(|kept| !wanted.iter().any(|w| w.workspace == kept.workspace));
        let mut parts = parts.chain(gone.map(|kept| (0, kept.parts)));
        parts.any(|(wanted, kept)| wanted.abs_diff(kept) >= EARLY_PARTS)
    }

    /// Applies an answer and returns whether it is the first one of the keeper.
    pub(super) fn record_ack(&mut self, ack: &Ack, now: Instant) -> bool {
        let holds = |given: &GivenPledge| {
            given.mark.run != ack.mark.run
                || !ack.released && ack.held_ms.is_none_or(|held_ms| given.mark.at_ms >= held_ms)
        };
        self.given.retain(holds);
        if self.keeper != Some(ack.from) || ack.released {
            return false;
        }
        self.was_cleared |= ack.held_ms.is_none();
        let known = self.mark.map(|(mark, _)| mark);
        let is_newer =
            known.is_none_or(|mark| mark.run != ack.mark.run || mark.at_ms < ack.mark.at_ms);
        if is_newer {
            self.mark = Some((ack.mark, now));
        }
        known.is_none()
    }

    pub(super) fn was_cleared(&self) -> bool {
        self.was_cleared
    }

    pub(super) fn has_given_nothing(&self) -> bool {
        self.given.is_empty()
    }

    pub(super) fn expire(&mut self, now: Instant) {
        self.given.retain(|given| now < given.until);
    }

    /// Returns how many sixteenths of the share of a workspace are not pledged.
    pub(super) fn kept_parts(&self, workspace: WorkspaceKey, now: Instant) -> u8 {
        let in_force = self.given.iter().filter(|given| now < given.until);
        in_force.map(|given| given.kept_parts(workspace)).min().unwrap_or(ALL_PARTS)
    }
}
