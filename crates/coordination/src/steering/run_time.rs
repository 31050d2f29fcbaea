//! Estimates of how long requests run, for objects that a server remembers and others.
//!
//! A run is much shorter if its server remembers the object, and the instance that sends it may not
//! know whether it does. So observed runs are sorted by their length.

use std::collections::HashMap;

/// Part that a new observation has in an estimate.
const WEIGHT: f64 = 0.15;

/// Run time for an object that the server remembers, relative to one that it does not, as long as
/// none was observed.
const WARM_PART: f64 = 0.4;

/// Runs shorter than this part of a first run are of objects that the server remembers.
const WARM_BELOW_PART: f64 = 0.6;

/// Runs longer than this many first runs are the fault of the server and no measure.
const MAX_PART: f64 = 2.5;

/// Runs shorter than this part of the usual ones did not happen: their spread is much smaller.
const TOO_SOON_PART: f64 = 0.25;

/// Uncertainty of a measured run time: the delay of a link varies, and so does that of this process.
const TIMING_MS: f64 = 20.0;

/// Run time of a route without a target before anything was observed.
const UNKNOWN_MS: f64 = 500.0;

#[derive(Debug, Clone, Copy)]
struct Estimate {
    warm_ms: Option<f64>,
    first_ms: f64,
    first_seen: bool,
}

/// Run times by route and service.
#[derive(Debug, Clone, Default)]
pub struct RunTimes {
    by_work: HashMap<u64, Estimate>,
}

impl RunTimes {
    /// Takes the target of a route as its run time until one was observed, since operators set
    /// targets near what their servers need. `work` identifies route and service.
    pub fn set_initial(&mut self, work: u64, target_ms: Option<u64>) {
        let first_ms = target_ms.map_or(UNKNOWN_MS, |ms| ms.max(1) as f64);
        self.by_work.entry(work).or_insert(Estimate { warm_ms: None, first_ms, first_seen: false });
    }

    /// Records a run.
    pub fn observe(&mut self, work: u64, ran_ms: f64) {
        let Some(estimate) = self.by_work.get_mut(&work) else { return };
        if ran_ms < WARM_BELOW_PART * estimate.first_ms {
            let known = estimate.warm_ms.unwrap_or(ran_ms);
            estimate.warm_ms = Some(known + WEIGHT * (ran_ms - known));
        } else if !estimate.first_seen {
            estimate.first_ms = ran_ms.min(MAX_PART * estimate.first_ms);
            estimate.first_seen = true;
        } else if ran_ms < MAX_PART * estimate.first_ms {
            estimate.first_ms += WEIGHT * (ran_ms - estimate.first_ms);
        }
    }

    /// Returns the expected run time.
    pub fn expected_ms(&self, work: u64, warm: bool) -> f64 {
        let Some(estimate) = self.by_work.get(&work) else { return UNKNOWN_MS };
        if warm {
            estimate.warm_ms.unwrap_or(estimate.first_ms * WARM_PART)
        } else {
            estimate.first_ms
        }
    }

    /// Returns whether an answer after `ran_ms` would be much sooner than any that was observed.
    pub fn is_too_soon(&self, work: u64, ran_ms: f64) -> bool {
        let Some(estimate) = self.by_work.get(&work) else { return false };
        let seen_ms = estimate.first_seen.then_some(estimate.first_ms);
        estimate.warm_ms.or(seen_ms).is_some_and(|ms| ran_ms + TIMING_MS < TOO_SOON_PART * ms)
    }

    /// Forgets work that is not in `known`, since routes come and go.
    pub fn retain(&mut self, known: impl Fn(u64) -> bool) {
        self.by_work.retain(|work, _| known(*work));
    }
}
