//! Estimates of how long requests run, for objects that a server remembers and others.

use std::collections::HashMap;

/// Part that a new observation has in an estimate.
const WEIGHT: f64 = 0.15;

/// Run time for an object that the server remembers, relative to one that it does not, as long as
/// none was observed.
const WARM_PART: f64 = 0.5;

/// Run time before anything was observed.
const UNKNOWN_MS: f64 = 500.0;

#[derive(Debug, Clone, Copy, Default)]
struct Estimate {
    warm_ms: Option<f64>,
    cold_ms: Option<f64>,
}

/// Run times by route and service.
#[derive(Debug, Clone, Default)]
pub struct RunTimes {
    by_work: HashMap<u64, Estimate>,
}

impl RunTimes {
    /// Records a run. `work` identifies route and service.
    pub fn observe(&mut self, work: u64, warm: bool, ran_ms: f64) {
        let estimate = self.by_work.entry(work).or_default();
        let slot = if warm { &mut estimate.warm_ms } else { &mut estimate.cold_ms };
        *slot = Some(match *slot {
            Some(known) => known + WEIGHT * (ran_ms - known),
            None => ran_ms,
        });
    }

    /// Returns the expected run time.
    pub fn expected_ms(&self, work: u64, warm: bool) -> f64 {
        let estimate = self.by_work.get(&work).copied().unwrap_or_default();
        match (warm, estimate.warm_ms, estimate.cold_ms) {
            (true, Some(ms), _) | (false, _, Some(ms)) => ms,
            (true, None, Some(cold_ms)) => cold_ms * WARM_PART,
            (false, Some(warm_ms), None) => warm_ms / WARM_PART,
            (_, None, None) => UNKNOWN_MS,
        }
    }

    /// Forgets work that is not in `known`, since routes come and go.
    pub fn retain(&mut self, known: impl Fn(u64) -> bool) {
        self.by_work.retain(|work, _| known(*work));
    }
}
