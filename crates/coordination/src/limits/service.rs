//! Queues, shares and measured rates of one service.

use std::collections::{BTreeMap, BTreeSet};

use pollenshed_state::{
    ids::{BackendServerName, CallerName},
    time::Instant,
};

use super::{WorkId, queue::FairQueue, shares::Shares};

/// Service time assumed before the first answer.
const INITIAL_SERVICE_US: f64 = 100_000.0;
/// Weight of a new sample in the mean service time.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Time without an answer after which the mean service time counts half. Without this decay, a mean
/// above all deadlines would make the owner refuse all requests, and no answer would correct it.
const SERVICE_HALF_LIFE_US: f64 = 1_000_000.0;
/// Time constant of the exponential average of the arrival rate.
const ARRIVAL_TIME_CONSTANT_US: f64 = 2_000_000.0;

/// Exponential moving average of the time for which a request holds a slot.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ServiceTime {
    mean_us: f64,
    sampled_at: Instant,
}

impl ServiceTime {
    pub(super) fn record(&mut self, sample_us: u64, now: Instant) {
        let sample = sample_us.max(1) as f64;
        if self.mean_us == 0.0 {
            self.mean_us = sample;
        }
        self.mean_us += SAMPLE_WEIGHT * (sample - self.mean_us);
        self.sampled_at = now;
    }

    /// Returns the mean, halved for each half-life since the last answer; 0 before the first
    /// answer.
    pub(super) fn decayed_us(&self, now: Instant) -> f64 {
        if self.mean_us == 0.0 {
            return 0.0;
        }
        self.mean_us * 0.5f64.powf(now.since_us(self.sampled_at) as f64 / SERVICE_HALF_LIFE_US)
    }

    /// Returns the mean without decay, for rates; an assumed time before the first answer.
    pub(super) fn undecayed_us(&self) -> f64 {
        if self.mean_us == 0.0 { INITIAL_SERVICE_US } else { self.mean_us }
    }
}

/// Arrival rate of requests from the owner's failure domain.
#[derive(Debug, Default)]
pub(super) struct ArrivalRate {
    rate_per_us: f64,
    updated: Instant,
}

impl ArrivalRate {
    pub(super) fn record(&mut self, now: Instant) {
        self.rate_per_us = self.rate_per_us(now) + 1.0 / ARRIVAL_TIME_CONSTANT_US;
        self.updated = self.updated.max(now);
    }

    fn rate_per_us(&self, now: Instant) -> f64 {
        self.rate_per_us * (-(now.since_us(self.updated) as f64) / ARRIVAL_TIME_CONSTANT_US).exp()
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
    /// Suspects, and requests that could not run on any free server. They left their fair queue
    /// when they reached its head, so as not to block it. Keyed by rank and sequence number;
    /// limited by `MAX_PARKED`.
    pub(super) parked: BTreeMap<(usize, u64), WorkId>,
    pub(super) parked_bytes: u64,
    pub(super) shares: Shares,
    pub(super) rank_service_time: [ServiceTime; 3],
    pub(super) service_time: ServiceTime,
    pub(super) local_arrivals: ArrivalRate,
}

impl Service {
    pub(super) fn queued(&self) -> usize {
        self.ranks.iter().map(FairQueue::len).sum::<usize>() + self.parked.len()
    }

    pub(super) fn held_bytes(&self) -> u64 {
        self.ranks.iter().map(FairQueue::held_bytes).sum::<u64>() + self.parked_bytes
    }

    pub(super) fn backlogged(&self) -> [bool; 3] {
        [0, 1, 2].map(|rank| self.ranks[rank].len() > 0)
    }

    /// Returns the mean service time of the rank, or of all ranks if the rank has had no answer.
    pub(super) fn rank_us(&self, rank: usize, now: Instant) -> f64 {
        let rank_us = self.rank_service_time[rank].decayed_us(now);
        if rank_us > 0.0 { rank_us } else { self.service_time.decayed_us(now) }
    }

    /// Estimates the time until a new request of the caller starts, if `slots` stay available.
    ///
    /// The rank waits either for all more urgent requests or for its own minimum share of the
    /// slots, whichever is faster. Within the rank, only requests that are served before the
    /// caller's next turn count, so that a flood from one caller does not get the requests of
    /// others refused.
    pub(super) fn wait_us(
        &self,
        rank: usize,
        caller: &CallerName,
        slots: u64,
        shares: [f64; 3],
        now: Instant,
    ) -> f64 {
        let slots = slots.max(1) as f64;
        let own = (self.ranks[rank].requests_ahead_of(caller) + 1) as f64 * self.rank_us(rank, now);
        let more_urgent: f64 =
            (0..rank).map(|r| self.ranks[r].len() as f64 * self.rank_us(r, now)).sum();
        let less_urgent_share: f64 =
            (rank + 1..3).filter(|r| self.ranks[*r].len() > 0).map(|r| shares[r]).sum();
        let by_priority = (more_urgent + own) / (slots * (1.0 - less_urgent_share).max(0.01));
        let by_share = own / (slots * shares[rank].max(1e-6));
        by_priority.min(by_share)
    }
}
