//! Limits the requests and buffered bytes of an entry, by rank.

use pollenshed_state::{
    config::{Rank, RankPolicy},
    time::Instant,
    units::{ByteSize, Percent},
};

use super::{Refusal, RefusalReason, runs::retry_after_ms};

/// Period over which the peak use of a rank is measured. The peaks of the current and the last
/// period count.
const PEAK_PERIOD_MS: u64 = 5_000;
/// Delay before a retry, before jitter.
const RETRY_AFTER_BASE_MS: u64 = 500;

/// Admits requests to an entry so that no rank can fill it.
///
/// The entry does not queue and cannot revoke an admission, so a share that another rank borrowed
/// returns only as that rank's requests end. Of each rank's minimum share, a quarter is therefore
/// always reserved, and half is reserved against less urgent ranks. If twice the recent peak use of
/// a rank is more than that, this amount is reserved, up to the whole share. The rest goes to the
/// ranks in order of arrival.
#[derive(Debug)]
pub struct EntryAdmission {
    requests: RankLimiter,
    bytes: RankLimiter,
}

/// Limit on one quantity that the ranks share.
#[derive(Debug)]
struct RankLimiter {
    max: u64,
    share: [u64; 3],
    used: [u64; 3],
    peak: [u64; 3],
    last_peak: [u64; 3],
    period: u64,
}

impl EntryAdmission {
    /// Creates a limiter of requests and of the bytes that they hold. A rank without a policy has
    /// no minimum share; shares that sum to more than 100% are scaled down.
    pub fn new(max_requests: u64, max_bytes: ByteSize, ranks: &[RankPolicy]) -> EntryAdmission {
        let mut admission = EntryAdmission {
            requests: RankLimiter::new(max_requests),
            bytes: RankLimiter::new(max_bytes.0),
        };
        admission.set_ranks(ranks);
        admission
    }

    /// Replaces the shares. Admitted requests stay admitted.
    pub fn set_ranks(&mut self, ranks: &[RankPolicy]) {
        let share = |rank: Rank| {
            ranks.iter().find(|p| p.rank == rank).map_or(0, |p| p.min_share_percent.0.min(100))
        };
        let shares = Rank::ALL.map(share);
        let sum = Percent(shares.iter().sum::<u64>().max(100));
        self.requests.set_shares(shares, sum);
        self.bytes.set_shares(shares, sum);
    }

    /// Admits a request that holds `bytes`, or refuses it. Each admitted request must be ended by
    /// `finish` with all bytes admitted for it. `random` jitters the delay before a retry.
    pub fn admit(
        &mut self,
        rank: Rank,
        bytes: ByteSize,
        now: Instant,
        random: u64,
    ) -> Result<(), Refusal> {
        let rank = rank.index();
        if !self.requests.has_room(rank, 1, now) || !self.bytes.has_room(rank, bytes.0, now) {
            let retry_after_ms = retry_after_ms(RETRY_AFTER_BASE_MS, random);
            return Err(Refusal { reason: RefusalReason::Overloaded, retry_after_ms });
        }
        self.requests.acquire(rank, 1);
        self.bytes.acquire(rank, bytes.0);
        Ok(())
    }

    /// Admits more bytes for an admitted request. Returns false if there is no room.
    pub fn admit_bytes(&mut self, rank: Rank, bytes: ByteSize, now: Instant) -> bool {
        let is_allowed = self.bytes.has_room(rank.index(), bytes.0, now);
        if is_allowed {
            self.bytes.acquire(rank.index(), bytes.0);
        }
        is_allowed
    }

    /// Ends a request that holds `bytes`.
    pub fn finish(&mut self, rank: Rank, bytes: ByteSize) {
        self.requests.release(rank.index(), 1);
        self.bytes.release(rank.index(), bytes.0);
    }

    /// Returns the admitted requests by rank.
    pub fn requests(&self) -> [u64; 3] {
        self.requests.used
    }

    /// Returns the held bytes by rank.
    pub fn bytes(&self) -> [ByteSize; 3] {
        self.bytes.used.map(ByteSize)
    }
}

impl RankLimiter {
    fn new(max: u64) -> RankLimiter {
        RankLimiter { max, share: [0; 3], used: [0; 3], peak: [0; 3], last_peak: [0; 3], period: 0 }
    }

    fn set_shares(&mut self, shares: [u64; 3], sum: Percent) {
        self.share = shares.map(|share| (self.max as f64 * share as f64 / sum.0 as f64) as u64);
    }

    /// Returns whether `amount` more leaves the reservations of the other ranks free. A rank's own
    /// quarter of its share needs only free room.
    fn has_room(&mut self, rank: usize, amount: u64, now: Instant) -> bool {
        self.advance(now);
        let free = self.max.saturating_sub(self.used.iter().sum());
        if amount > free {
            return false;
        }
        let reserved: u64 = (0..3)
            .filter(|other| *other != rank)
            .map(|other| self.reserved_from(other, rank).saturating_sub(self.used[other]))
            .sum();
        let is_own = self.used[rank].saturating_add(amount) <= self.share[rank] / 4;
        is_own || amount.saturating_add(reserved) <= free
    }

    /// Returns how much of the share of the rank `owner` is reserved against the rank `borrower`.
    fn reserved_from(&self, owner: usize, borrower: usize) -> u64 {
        let always_reserved =
            if owner < borrower { self.share[owner] / 2 } else { self.share[owner] / 4 };
        let recent_peak = self.peak[owner].max(self.last_peak[owner]);
        recent_peak.saturating_mul(2).clamp(always_reserved, self.share[owner])
    }

    /// Starts a new peak period if the current one has passed.
    fn advance(&mut self, now: Instant) {
        let period = now.as_ms() / PEAK_PERIOD_MS;
        if period <= self.period {
            return;
        }
        self.last_peak = if period == self.period + 1 { self.peak } else { self.used };
        self.peak = self.used;
        self.period = period;
    }

    fn acquire(&mut self, rank: usize, amount: u64) {
        self.used[rank] += amount;
        self.peak[rank] = self.peak[rank].max(self.used[rank]);
    }

    fn release(&mut self, rank: usize, amount: u64) {
        self.used[rank] = self.used[rank].saturating_sub(amount);
    }
}
