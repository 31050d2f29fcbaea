//! How long work takes on the machine of a backend server, as the server states it.
//!
//! Machines that are shared are slow for some hundred milliseconds at a time. A statement is news of
//! a moment, so it counts less the older it is, and not for the whole of a long run. See
//! docs/design/uneven-load.md.

use pollenshed_state::time::Instant;

use super::place::Candidate;
use crate::membership::hash::mix;

/// Time for which a statement counts.
const NEWS_TTL_MS: f64 = 600.0;

/// Part of the time up to [`NEWS_TTL_MS`] for which a machine is expected to go on as stated. A
/// statement falls anywhere in that time, so half of it has passed on average.
const EXPECTED_SHARE: f64 = 0.5;

/// Part of the expected time by which the cost of a server may exceed the lowest one for the server to
/// count as nearly as good as the best.
const NEAR_COST_RATIO: f64 = 0.25;

/// Bounds of the stated factor, so that a mistaken statement does not exclude a server.
const FACTOR_RANGE: (f64, f64) = (0.5, 8.0);

/// Latest statement of a server.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StatedPace {
    latest: Option<(f64, Instant)>,
    /// Since when all statements, each in time after the one before, say that work takes longer than
    /// usual, or all that it doesn't.
    same_since: Option<Instant>,
}

impl StatedPace {
    /// Records that work takes `percent` of the usual time.
    pub(super) fn record(&mut self, percent: u32, now: Instant) {
        let is_recent = |at: Instant| (now.since_ms(at) as f64) < NEWS_TTL_MS;
        let before = self.latest.filter(|(_, at)| is_recent(*at)).map(|(factor, _)| factor > 1.0);
        let factor = (f64::from(percent) / 100.0).clamp(FACTOR_RANGE.0, FACTOR_RANGE.1);
        self.latest = Some((factor, now));
        if before != Some(factor > 1.0) {
            self.same_since = Some(now);
        }
    }

    /// Returns whether the server states its pace at all, in news or not.
    pub(super) fn is_stated(&self) -> bool {
        self.latest.is_some()
    }

    /// Returns whether a statement counts that says that work takes longer or shorter than usual.
    pub(super) fn has_news(&self, now: Instant) -> bool {
        self.latest
            .is_some_and(|(factor, at)| factor != 1.0 && (now.since_ms(at) as f64) < NEWS_TTL_MS)
    }

    /// Returns whether a statement counts that says that work takes longer than usual.
    pub(super) fn is_slow(&self, now: Instant) -> bool {
        self.has_news(now) && self.latest.is_some_and(|(factor, _)| factor > 1.0)
    }

    /// Returns the factor by which a run that begins now and usually takes `run_ms` is longer: the
    /// stated one while it lasts, and 1 for the rest of the run. Exactly 1 without a statement that
    /// counts.
    pub(super) fn factor(&self, run_ms: f64, now: Instant) -> f64 {
        let Some((factor, at)) = self.latest.filter(|_| self.has_news(now)) else { return 1.0 };
        let lasts_ms = EXPECTED_SHARE * (NEWS_TTL_MS - now.since_ms(at) as f64);
        if run_ms * factor <= lasts_ms {
            return factor;
        }
        1.0 + (1.0 - 1.0 / factor) * lasts_ms / run_ms
    }

    /// Returns the factor by which a run of `ran_ms` that has just ended was longer than usual: as
    /// stated now for as long as the server has stated so, or longer if it is expected to have been
    /// in that state before.
    pub(super) fn explained_factor(&self, ran_ms: f64, now: Instant) -> f64 {
        let Some((factor, _)) = self.latest.filter(|_| self.has_news(now)) else { return 1.0 };
        let stated_ms = self.same_since.map_or(0, |since| now.since_ms(since)) as f64;
        let lasted_ms = ran_ms.min(stated_ms.max(EXPECTED_SHARE * NEWS_TTL_MS));
        ran_ms / (ran_ms - (1.0 - 1.0 / factor) * lasted_ms)
    }
}

/// Puts the better one of two random candidates first, of those that are nearly as good as the best
/// and that `is_near` accepts. Instances that hear the same news at the same time would otherwise all
/// choose the same server. `candidates` are sorted by their cost.
pub(super) fn put_better_of_two_first(
    candidates: &mut [Candidate],
    is_near: impl Fn(&Candidate) -> bool,
    seed: u64,
) {
    let Some(best) = candidates.first() else { return };
    let max_cost_ms = best.cost_ms + NEAR_COST_RATIO * best.total_ms;
    let is_free = best.wait_ms == 0.0;
    let is_good = |c: &Candidate| c.cost_ms <= max_cost_ms && (c.wait_ms == 0.0) == is_free;
    let good: Vec<usize> = (0..candidates.len())
        .filter(|index| is_good(&candidates[*index]) && is_near(&candidates[*index]))
        .collect();
    if good.is_empty() {
        return;
    }
    let draw = |seed: u64| good[(mix(seed) % good.len() as u64) as usize];
    let better = draw(seed).min(draw(seed.rotate_left(32)));
    candidates[..=better].rotate_right(1);
}
