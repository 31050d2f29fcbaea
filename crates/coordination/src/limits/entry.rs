//! Limits of an entry on requests and buffered bytes, by rank.

use pollenshed_state::{
    config::{Rank, RankPolicy},
    time::Instant,
    units::{ByteSize, Percent},
};

use super::{Refusal, RefusalReason, runs::retry_after_ms};

/// Period over which the highest use of a rank is remembered, once as current and once as last.
const PEAK_PERIOD_MS: u64 = 5_000;
/// Base of the time before a resend.
const RETRY_AFTER_MS: u64 = 500;

/// Admits requests to an entry so that no rank can fill it.
///
/// Requests are not queued here and places cannot be taken back, so a share that is lent returns
/// only as the borrowers' requests end. Of each rank's minimum share, a quarter is therefore never
/// lent, and half is never lent to a less urgent rank. Beyond that a rank keeps twice what it
/// lately used, up to its whole share. The rest goes to whoever asks first.
#[derive(Debug)]
pub struct EntryAdmission {
    requests: Resource,
    bytes: Resource,
}

#[derive(Debug)]
struct Resource {
    max: u64,
    share: [u64; 3],
    used: [u64; 3],
    peak: [u64; 3],
    last_peak: [u64; 3],
    period: u64,
}

impl EntryAdmission {
    /// Creates a limiter of requests and of bytes held for them. A rank without a policy has no
    /// minimum share; shares that sum to more than 100% are scaled down.
    pub fn new(max_requests: u64, max_bytes: ByteSize, ranks: &[RankPolicy]) -> EntryAdmission {
        let mut admission = EntryAdmission {
            requests: Resource::new(max_requests),
            bytes: Resource::new(max_bytes.0),
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
    /// `finish` with all bytes that it was granted.
    pub fn admit(
        &mut self,
        rank: Rank,
        bytes: ByteSize,
        now: Instant,
        random: u64,
    ) -> Result<(), Refusal> {
        let rank = rank.index();
        if !self.requests.allows(rank, 1, now) || !self.bytes.allows(rank, bytes.0, now) {
            let retry_after_ms = retry_after_ms(RETRY_AFTER_MS, random);
            return Err(Refusal { reason: RefusalReason::Overloaded, retry_after_ms });
        }
        self.requests.take(rank, 1);
        self.bytes.take(rank, bytes.0);
        Ok(())
    }

    /// Grants more bytes to an admitted request. Returns false if there is no room.
    pub fn admit_bytes(&mut self, rank: Rank, bytes: ByteSize, now: Instant) -> bool {
        let is_allowed = self.bytes.allows(rank.index(), bytes.0, now);
        if is_allowed {
            self.bytes.take(rank.index(), bytes.0);
        }
        is_allowed
    }

    /// Ends a request that holds `bytes`.
    pub fn finish(&mut self, rank: Rank, bytes: ByteSize) {
        self.requests.give_back(rank.index(), 1);
        self.bytes.give_back(rank.index(), bytes.0);
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

impl Resource {
    fn new(max: u64) -> Resource {
        Resource { max, share: [0; 3], used: [0; 3], peak: [0; 3], last_peak: [0; 3], period: 0 }
    }

    fn set_shares(&mut self, shares: [u64; 3], sum: Percent) {
        self.share = shares.map(|share| (self.max as f64 * share as f64 / sum.0 as f64) as u64);
    }

    /// Returns whether `amount` more leaves the other ranks what they keep.
    fn allows(&mut self, rank: usize, amount: u64, now: Instant) -> bool {
        self.advance(now);
        let free = self.max.saturating_sub(self.used.iter().sum());
        if amount > free {
            return false;
        }
        let kept: u64 = (0..3)
            .filter(|other| *other != rank)
            .map(|other| self.kept_from(other, rank).saturating_sub(self.used[other]))
            .sum();
        let is_own = self.used[rank].saturating_add(amount) <= self.share[rank] / 4;
        is_own || amount.saturating_add(kept) <= free
    }

    /// Returns how much of the share of `owner` the rank `borrower` may not use.
    fn kept_from(&self, owner: usize, borrower: usize) -> u64 {
        let never_lent =
            if owner < borrower { self.share[owner] / 2 } else { self.share[owner] / 4 };
        let lately_used = self.peak[owner].max(self.last_peak[owner]);
        lately_used.saturating_mul(2).clamp(never_lent, self.share[owner])
    }

    fn advance(&mut self, now: Instant) {
        let period = now.as_ms() / PEAK_PERIOD_MS;
        if period <= self.period {
            return;
        }
        self.last_peak = if period == self.period + 1 { self.peak } else { self.used };
        self.peak = self.used;
        self.period = period;
    }

    fn take(&mut self, rank: usize, amount: u64) {
        self.used[rank] += amount;
        self.peak[rank] = self.peak[rank].max(self.used[rank]);
    }

    fn give_back(&mut self, rank: usize, amount: u64) {
        self.used[rank] = self.used[rank].saturating_sub(amount);
    }
}
