//! Queues, shares and observed rates of one service.

use std::collections::{BTreeMap, BTreeSet};

use pollenshed_state::{
    ids::{BackendServerName, CallerName},
    time::Instant,
};

use super::{WorkId, queue::FairQueue, shares::Shares};

/// Service time assumed before the first answer.
const ASSUMED_SERVICE_US: f64 = 100_000.0;
/// Weight of a new sample in the observed service time.
const SERVICE_WEIGHT: f64 = 0.1;
/// Time without an answer after which the observed service time counts half. Without this, an
/// estimate above all deadlines would refuse everything and never be corrected.
const SERVICE_HALF_LIFE_US: f64 = 1_000_000.0;
/// Time over which the arrival rate is averaged.
const ARRIVALS_US: f64 = 2_000_000.0;

/// Running mean of the time that a request holds a slot.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ServiceTime {
    mean_us: f64,
    sampled: Instant,
}

impl ServiceTime {
    pub(super) fn add(&mut self, sample_us: u64, now: Instant) {
        let sample = sample_us.max(1) as f64;
        if self.mean_us == 0.0 {
            self.mean_us = sample;
        }
        self.mean_us += SERVICE_WEIGHT * (sample - self.mean_us);
        self.sampled = now;
    }

    /// Returns the mean, lowered by the time since the last answer.
    pub(super) fn get_us(&self, now: Instant) -> f64 {
        if self.mean_us == 0.0 {
            return 0.0;
        }
        self.mean_us * 0.5f64.powf(now.since_us(self.sampled) as f64 / SERVICE_HALF_LIFE_US)
    }

    /// Returns the mean without regard to its age, for rates.
    pub(super) fn last_us(&self) -> f64 {
        if self.mean_us == 0.0 { ASSUMED_SERVICE_US } else { self.mean_us }
    }
}

/// Rate of the owner's own demand.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    rate_per_us: f64,
    updated: Instant,
}

impl Arrivals {
    pub(super) fn add(&mut self, now: Instant) {
        self.rate_per_us = self.rate_per_us(now) + 1.0 / ARRIVALS_US;
        self.updated = self.updated.max(now);
    }

    fn rate_per_us(&self, now: Instant) -> f64 {
        self.rate_per_us * (-(now.since_us(self.updated) as f64) / ARRIVALS_US).exp()
    }

    pub(super) fn rate_per_s(&self, now: Instant) -> f64 {
        self.rate_per_us(now) * 1e6
    }
}

/// State of one service at an owner.
#[derive(Debug, Default)]
pub(super) struct Service {
    pub(super) servers: BTreeSet<BackendServerName>,
    pub(super) ranks: [FairQueue; 3],
    /// Requests that left their fair queue but may not run on the servers that were free, by rank
    /// and age. They are few, see `MAX_PARKED`.
    pub(super) parked: BTreeMap<(usize, u64), WorkId>,
    pub(super) parked_weight: u64,
    pub(super) shares: Shares,
    pub(super) rank_time: [ServiceTime; 3],
    pub(super) time: ServiceTime,
    pub(super) local: Arrivals,
}

impl Service {
    pub(super) fn queued(&self) -> usize {
        self.ranks.iter().map(FairQueue::len).sum::<usize>() + self.parked.len()
    }

    pub(super) fn weight(&self) -> u64 {
        self.ranks.iter().map(FairQueue::weight).sum::<u64>() + self.parked_weight
    }

    pub(super) fn backlogged(&self) -> [bool; 3] {
        [0, 1, 2].map(|rank| self.ranks[rank].len() > 0)
    }

    /// Returns the usual time of a rank's requests, or of all requests if the rank has had none.
    pub(super) fn rank_us(&self, rank: usize, now: Instant) -> f64 {
        let rank_us = self.rank_time[rank].get_us(now);
        if rank_us > 0.0 { rank_us } else { self.time.get_us(now) }
    }

    /// Estimates the time until a new request of the caller starts, if `slots` stay available.
    ///
    /// The rank waits either for all more urgent work or for its own minimum share of the slots,
    /// whichever is faster. Within the rank only as much counts as is served before the caller's
    /// turn, so that one caller's flood does not get other callers refused.
    pub(super) fn wait_us(
        &self,
        rank: usize,
        caller: &CallerName,
        slots: u64,
        shares: [f64; 3],
        now: Instant,
    ) -> f64 {
        let slots = slots.max(1) as f64;
        let own = (self.ranks[rank].ahead_of(caller) + 1) as f64 * self.rank_us(rank, now);
        let more_urgent: f64 =
            (0..rank).map(|r| self.ranks[r].len() as f64 * self.rank_us(r, now)).sum();
        let lent_down: f64 =
            (rank + 1..3).filter(|r| self.ranks[*r].len() > 0).map(|r| shares[r]).sum();
        let by_priority = (more_urgent + own) / (slots * (1.0 - lent_down).max(0.01));
        let by_share = own / (slots * shares[rank].max(1e-6));
        by_priority.min(by_share)
    }
}
