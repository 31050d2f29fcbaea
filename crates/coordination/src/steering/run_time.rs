//! Run time estimates per route and service, separate for warm runs and first runs.
//!
//! A run is much shorter on a server that is warm for the object, but the instance that sends the
//! request may not know whether the server is. Observed runs are therefore classified by their
//! length.

use std::collections::HashMap;

/// Weight of a new observation in the moving averages.
const ESTIMATE_WEIGHT: f64 = 0.15;

/// Ratio of a warm run to a first run that is assumed until a warm run was observed.
const DEFAULT_WARM_RATIO: f64 = 0.4;

/// Runs shorter than this part of a first run count as warm runs.
const MAX_WARM_RATIO: f64 = 0.6;

/// Runs longer than this multiple of a first run are ignored, because a faulty server caused them.
const MAX_FIRST_RUN_RATIO: f64 = 2.5;

/// An answer sooner than this part of the usual run time means that the request did not run: run
/// times vary much less than that.
const TOO_SOON_RATIO: f64 = 0.25;

/// Uncertainty of a measured run time, since the delays of links and of this process vary.
const TIMING_ERROR_MS: f64 = 20.0;

/// Run time that is assumed for a route without a target until a run was observed.
const DEFAULT_RUN_MS: f64 = 500.0;

#[derive(Debug, Clone, Copy)]
struct Estimate {
    warm_run_ms: Option<f64>,
    first_run_ms: f64,
    has_first_run: bool,
}

/// Run time estimates. The estimate key of a request identifies its route and service.
#[derive(Debug, Clone, Default)]
pub struct RunTimes {
    by_estimate_key: HashMap<u64, Estimate>,
}

impl RunTimes {
    /// Sets the first-run estimate to the route's target unless there is an estimate already, since
    /// operators set targets near what their servers need.
    pub fn set_initial(&mut self, estimate_key: u64, target_ms: Option<u64>) {
        let first_run_ms = target_ms.map_or(DEFAULT_RUN_MS, |ms| ms.max(1) as f64);
        self.by_estimate_key.entry(estimate_key).or_insert(Estimate {
            warm_run_ms: None,
            first_run_ms,
            has_first_run: false,
        });
    }

    /// Updates the estimate of warm runs or of first runs, depending on the length of the run. Runs
    /// without an initial estimate are ignored.
    pub fn observe(&mut self, estimate_key: u64, ran_ms: f64) {
        let Some(estimate) = self.by_estimate_key.get_mut(&estimate_key) else { return };
        if ran_ms < MAX_WARM_RATIO * estimate.first_run_ms {
            let known = estimate.warm_run_ms.unwrap_or(ran_ms);
            estimate.warm_run_ms = Some(known + ESTIMATE_WEIGHT * (ran_ms - known));
        } else if !estimate.has_first_run {
            estimate.first_run_ms = ran_ms.min(MAX_FIRST_RUN_RATIO * estimate.first_run_ms);
            estimate.has_first_run = true;
        } else if ran_ms < MAX_FIRST_RUN_RATIO * estimate.first_run_ms {
            estimate.first_run_ms += ESTIMATE_WEIGHT * (ran_ms - estimate.first_run_ms);
        }
    }

    /// Returns the expected run time in milliseconds. `warm` tells whether the server is warm for
    /// the object of the request.
    pub fn expected_ms(&self, estimate_key: u64, warm: bool) -> f64 {
        let Some(estimate) = self.by_estimate_key.get(&estimate_key) else { return DEFAULT_RUN_MS };
        if warm {
            estimate.warm_run_ms.unwrap_or(estimate.first_run_ms * DEFAULT_WARM_RATIO)
        } else {
            estimate.first_run_ms
        }
    }

    /// Returns whether a request that ended after `ran_ms` ended too early to have run, compared
    /// with the observed runs. Without any observation the answer is `false`.
    pub fn is_too_soon(&self, estimate_key: u64, ran_ms: f64) -> bool {
        let Some(estimate) = self.by_estimate_key.get(&estimate_key) else { return false };
        let seen_ms = estimate.has_first_run.then_some(estimate.first_run_ms);
        estimate
            .warm_run_ms
            .or(seen_ms)
            .is_some_and(|ms| ran_ms + TIMING_ERROR_MS < TOO_SOON_RATIO * ms)
    }

    /// Drops the estimates whose key `is_known` rejects, since routes come and go.
    pub fn retain(&mut self, is_known: impl Fn(u64) -> bool) {
        self.by_estimate_key.retain(|estimate_key, _| is_known(*estimate_key));
    }
}
