//! Parameters of the scheduler.

use pollenshed_state::{
    config::{Rank, RankPolicy},
    units::{ByteSize, Percent},
};

/// Limits that apply to each service of a [`Scheduler`](super::Scheduler).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SchedulerPolicy {
    /// Share of each service's slots that a rank keeps under contention, indexed by
    /// [`Rank::index`]. Shares that sum to more than 100% are scaled down.
    pub min_shares: [Percent; 3],
    /// Slots of each service that a rank beyond its share may not use while a more urgent rank is
    /// active, which means that one of its requests started in the last seconds.
    ///
    /// Running requests are never interrupted, so without reserved slots a request of the more
    /// urgent rank waits until a less urgent one ends. The cost is that these slots stay idle
    /// during a flood of less urgent requests.
    pub reserved_slots: u64,
    /// Maximum number of queued requests of one service.
    pub max_queued: usize,
    /// Maximum memory of the queued requests of one service, bodies and overhead included.
    pub max_queued_bytes: ByteSize,
    /// Time over which the limit of a cold server rises from one slot to all its slots.
    pub ramp_ms: u64,
    /// Age after which a load report is ignored.
    pub report_ttl_ms: u64,
    /// Time for which the quarantine remembers suspected or refused content.
    pub quarantine_ms: u64,
}

impl Default for SchedulerPolicy {
    fn default() -> SchedulerPolicy {
        SchedulerPolicy {
            min_shares: [Percent(50), Percent(25), Percent(10)],
            reserved_slots: 0,
            max_queued: 4_096,
            max_queued_bytes: ByteSize(64 * 1024 * 1024),
            ramp_ms: 10_000,
            report_ttl_ms: 2_000,
            quarantine_ms: 600_000,
        }
    }
}

impl SchedulerPolicy {
    /// Returns the default policy with the minimum shares of the given ranks. A rank that is
    /// missing has no minimum share.
    pub fn with_ranks(ranks: &[RankPolicy]) -> SchedulerPolicy {
        let share = |rank: Rank| {
            ranks.iter().find(|p| p.rank == rank).map_or(Percent(0), |p| p.min_share_percent)
        };
        SchedulerPolicy { min_shares: Rank::ALL.map(share), ..SchedulerPolicy::default() }
    }

    /// Returns each rank's share as a fraction, scaled so that they sum to at most 1.
    pub(super) fn shares(&self) -> [f64; 3] {
        let shares = self.min_shares.map(Percent::fraction);
        let sum: f64 = shares.iter().sum();
        shares.map(|share| share / sum.max(1.0))
    }
}
