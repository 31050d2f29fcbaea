//! Minimum shares of the ranks, kept over time.

use pollenshed_state::time::Instant;

/// Longest time for which an unserved rank accumulates credit, so that a rank that could not be
/// placed for long does not take all slots afterwards.
const MAX_CREDIT_US: f64 = 10_000_000.0;

/// Time after its last start for which a rank counts as active.
const ACTIVE_MS: u64 = 5_000;

/// Credit of each rank in slot-microseconds of one service.
///
/// A server has 3 or 4 slots, so a share such as 10% cannot hold at each instant. A rank with queued
/// work earns its share of all slots, less what its lent slots already give it. A rank without debt
/// that runs no more than its share takes the next free slot, and that run is charged. Runs on lent
/// slots are not charged, so using idle capacity is not paid back later.
#[derive(Debug, Default)]
pub(super) struct Shares {
    credit_us: [f64; 3],
    charged: [u64; 3],
    lent: [u64; 3],
    /// Runs up to which a rank counts as inside its share: its whole slots and one more, so that
    /// fractions of a slot can be made up for.
    max_running: [u64; 3],
    started: [Option<Instant>; 3],
    updated: Instant,
}

impl Shares {
    /// Accounts for the time since the last call, during which `backlogged` and `slots` held.
    pub(super) fn advance(
        &mut self,
        now: Instant,
        backlogged: [bool; 3],
        slots: u64,
        shares: [f64; 3],
    ) {
        let elapsed_us = now.since_us(self.updated) as f64;
        self.updated = self.updated.max(now);
        for rank in 0..3 {
            let share = shares[rank] * slots as f64;
            self.max_running[rank] = if share > 0.0 { share as u64 + 1 } else { 0 };
            let earned = (share - self.lent[rank] as f64).max(0.0) * elapsed_us;
            let spent = self.charged[rank] as f64 * elapsed_us;
            let max = if backlogged[rank] { share * MAX_CREDIT_US } else { 0.0 };
            self.credit_us[rank] = (self.credit_us[rank] + earned - spent).min(max);
        }
    }

    /// Returns the ranks in the order in which they take the next free slot: those inside their
    /// share before the others, the most urgent first in both groups.
    pub(super) fn order(&self) -> [usize; 3] {
        let mut order = [0, 1, 2];
        order.sort_by_key(|rank| !self.is_due(*rank));
        order
    }

    /// Counts a started run. Returns whether it is charged.
    pub(super) fn start(&mut self, rank: usize) -> bool {
        let charged = self.is_due(rank);
        let running = if charged { &mut self.charged } else { &mut self.lent };
        running[rank] += 1;
        self.started[rank] = Some(self.updated);
        charged
    }

    /// Counts an ended run; `charged` is what `start` returned.
    pub(super) fn end(&mut self, rank: usize, charged: bool) {
        let running = if charged { &mut self.charged } else { &mut self.lent };
        running[rank] = running[rank].saturating_sub(1);
    }

    /// Returns whether the rank would start on a lent slot while a more urgent rank is active.
    pub(super) fn is_borrower(&self, rank: usize) -> bool {
        let is_active = |started: &Option<Instant>| {
            started.is_some_and(|at| self.updated.since_ms(at) < ACTIVE_MS)
        };
        !self.is_due(rank) && self.started[..rank].iter().any(is_active)
    }

    fn is_due(&self, rank: usize) -> bool {
        let running = self.charged[rank] + self.lent[rank];
        self.credit_us[rank] >= 0.0 && running < self.max_running[rank]
    }
}
