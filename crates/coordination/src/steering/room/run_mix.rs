//! The mean time of the runs for which a request waits at a busy server.

use std::collections::HashMap;

use pollenshed_state::time::Instant;

/// Weight of a run in the mean.
const RUN_WEIGHT: f64 = 0.1;

/// Time after its last run in which a kind counts as one of the service.
const KIND_TTL_MS: u64 = 10_000;

/// Maximum number of kinds that are kept.
const MAX_KINDS: usize = 64;

/// Mean time of the runs of a service. A request that waits does so for runs of all kinds, which
/// may take many times as long as its own.
#[derive(Debug, Clone, Default)]
pub(super) struct RunMix {
    mean_ms: Option<f64>,
    /// When a run of each kind last ended.
    kinds: HashMap<u64, Instant>,
}

impl RunMix {
    pub(super) fn record(&mut self, kind: u64, ran_ms: f64, now: Instant) {
        let mean_ms = self.mean_ms.get_or_insert(ran_ms);
        *mean_ms += RUN_WEIGHT * (ran_ms - *mean_ms);
        if self.kinds.len() >= MAX_KINDS {
            self.kinds.retain(|_, at| now.since_ms(*at) < KIND_TTL_MS);
        }
        if self.kinds.len() < MAX_KINDS || self.kinds.contains_key(&kind) {
            self.kinds.insert(kind, now);
        }
    }

    pub(super) fn mean_ms(&self, now: Instant) -> Option<f64> {
        let recent = self.kinds.values().filter(|at| now.since_ms(**at) < KIND_TTL_MS);
        self.mean_ms.filter(|_| recent.count() > 1)
    }
}
