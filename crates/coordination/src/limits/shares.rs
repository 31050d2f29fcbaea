//! Enforces the minimum shares of the ranks over time.

use pollenshed_state::time::Instant;

/// Longest time for which a waiting rank accumulates credit. Without a bound, a rank whose requests
/// could not run for long would take all slots afterwards.
const MAX_CREDIT_US: f64 = 10_000_000.0;

/// Time after its last start for which a rank counts as active.
const ACTIVE_MS: u64 = 5_000;

/// Credit of each rank in slot-microseconds of one service.
///
/// A server has 3 or 4 slots, so a share such as 10% cannot be kept at each instant, only over
/// time. A rank with queued requests earns its share of all slots, less the slots that it has
/// borrowed. A rank without debt that runs no more than its share takes the next free slot, and its
/// credit pays for that run. Runs on borrowed slots are not charged, so a rank does not owe
/// anything later for having used idle capacity.
#[derive(Debug, Default)]
pub(super) struct Shares {
    credit_us: [f64; 3],
    /// Running requests that cost credit.
    charged: [u64; 3],
    /// Running requests on borrowed slots.
    uncharged: [u64; 3],
    /// Runs up to which a rank counts as within its share: the share in slots rounded down, plus
    /// one so that a fraction of a slot can be reached on average.
    max_running: [u64; 3],
    last_start: [Option<Instant>; 3],
    updated: Instant,
}

impl Shares {
    /// Updates the credits for the time since the last call, during which `backlogged` and `slots`
    /// applied.
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
            let earned = (share - self.uncharged[rank] as f64).max(0.0) * elapsed_us;
            let spent = self.charged[rank] as f64 * elapsed_us;
            let max = if backlogged[rank] { share * MAX_CREDIT_US } else { 0.0 };
            self.credit_us[rank] = (self.credit_us[rank] + earned - spent).min(max);
        }
    }

    /// Returns the ranks in the order in which they get the next free slot: those within their
    /// share before the others, the most urgent first in both groups.
    pub(super) fn rank_order(&self) -> [usize; 3] {
        let mut order = [0, 1, 2];
        order.sort_by_key(|rank| !self.is_within_share(*rank));
        order
    }

    /// Counts a started run. Returns whether it costs credit.
    pub(super) fn start(&mut self, rank: usize) -> bool {
        let charged = self.is_within_share(rank);
        let running = if charged { &mut self.charged } else { &mut self.uncharged };
        running[rank] += 1;
        self.last_start[rank] = Some(self.updated);
        charged
    }

    /// Counts an ended run; `charged` is what `start` returned.
    pub(super) fn end(&mut self, rank: usize, charged: bool) {
        let running = if charged { &mut self.charged } else { &mut self.uncharged };
        running[rank] = running[rank].saturating_sub(1);
    }

    /// Returns whether a start of the rank would borrow a slot while a more urgent rank is active.
    pub(super) fn would_borrow(&self, rank: usize) -> bool {
        let is_active = |started: &Option<Instant>| {
            started.is_some_and(|at| self.updated.since_ms(at) < ACTIVE_MS)
        };
        !self.is_within_share(rank) && self.last_start[..rank].iter().any(is_active)
    }

    fn is_within_share(&self, rank: usize) -> bool {
        let running = self.charged[rank] + self.uncharged[rank];
        self.credit_us[rank] >= 0.0 && running < self.max_running[rank]
    }
}
