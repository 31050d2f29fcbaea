//! The ramp of one service at one entry.

use std::collections::VecDeque;

use pollenshed_state::{
    config::{Rank, ShiftPolicy},
    ids::FailureDomainName,
    time::Instant,
    units::Percent,
};

use super::{
    counts::Counts,
    position::{Shares, WHOLE_PPM},
};

/// Steps in which a position moves by the cap.
pub const STEPS_PER_INTERVAL: u64 = 20;

/// Largest step in steps of regular spacing. A ramp that was not called for longer makes one regular
/// step, so that a pause is not made up for at once.
const MAX_SPACINGS_PER_STEP: u64 = 2;

/// Smallest part of the traffic that moves only to follow changed headroom.
const MIN_REBALANCED_PPM: u32 = WHOLE_PPM / 10;

/// What a step of a position did, for the log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RampStep {
    /// How much of the traffic moved.
    pub moved_ppm: u32,
    /// How much is still to move.
    pub left_ppm: u32,
}

/// Why a request may not go to a failure domain now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShiftRefusal {
    /// The position gives the failure domain no share.
    NoShare,
    /// The share of the current interval is used up.
    ShareExhausted,
    /// What is left of the share is kept for more urgent ranks.
    KeptForUrgent,
}

/// Position, target and counts of one service at one entry.
#[derive(Debug, Clone)]
pub struct Ramp {
    home: FailureDomainName,
    policy: ShiftPolicy,
    position: Shares,
    target: Shares,
    last_step: Option<Instant>,
    steps: VecDeque<(Instant, u32)>,
    requests: Counts,
    lookups: Counts,
    min_shares: [Percent; 3],
    is_fresh: bool,
}

impl Ramp {
    /// Starts with all traffic in the home failure domain.
    pub fn new(home: FailureDomainName, policy: ShiftPolicy) -> Ramp {
        Ramp {
            home,
            requests: Counts::new(policy.interval_ms),
            lookups: Counts::new(policy.interval_ms),
            policy,
            position: Shares::all_home(),
            target: Shares::all_home(),
            last_step: None,
            steps: VecDeque::new(),
            min_shares: [Percent(0); 3],
            is_fresh: true,
        }
    }

    /// Takes the position of a peer of the same failure domain after a restart.
    ///
    /// It is refused once this entry has counted or moved anything. The first step then waits for
    /// one interval, because the peer may have just used its cap.
    pub fn adopt_position(&mut self, position: Shares, now: Instant) -> bool {
        if !self.is_fresh {
            return false;
        }
        self.is_fresh = false;
        self.position = position;
        self.steps.push_back((now, WHOLE_PPM));
        true
    }

    /// Replaces the policy after a configuration change.
    ///
    /// Counts of an interval of another length are useless, so nothing moves for one new interval.
    pub fn set_policy(&mut self, policy: ShiftPolicy, now: Instant) {
        if policy.interval_ms != self.policy.interval_ms {
            self.requests = Counts::new(policy.interval_ms);
            self.lookups = Counts::new(policy.interval_ms);
            self.steps.push_back((now, WHOLE_PPM));
        }
        self.policy = policy;
    }

    /// Sets the share of the traffic that each rank keeps although more urgent work could use it,
    /// indexed by [`Rank::index`].
    pub fn set_min_shares(&mut self, min_shares: [Percent; 3]) {
        self.min_shares = min_shares;
    }

    /// Sets where the traffic should go. Returns whether that changed.
    ///
    /// Headroom changes all the time. A target that sends the same share away, to the same failure
    /// domains, only in slightly other proportions is ignored, because each move costs warm caches
    /// and a part of the cap.
    pub fn set_target(&mut self, target: Shares) -> bool {
        let is_alike = target.home_ppm() == self.target.home_ppm()
            && target.iter().map(|(d, _)| d).eq(self.target.iter().map(|(d, _)| d))
            && self.target.distance_ppm(&target) < MIN_REBALANCED_PPM;
        if !is_alike {
            self.target = target;
        }
        !is_alike
    }

    /// Returns the home failure domain.
    pub fn home(&self) -> &FailureDomainName {
        &self.home
    }

    /// Returns the shares in force.
    pub fn position(&self) -> &Shares {
        &self.position
    }

    /// Returns the shares to reach.
    pub fn target(&self) -> &Shares {
        &self.target
    }

    /// Returns the share of `domain`, which can be the home failure domain.
    pub fn share_ppm(&self, domain: &FailureDomainName) -> u32 {
        if *domain == self.home { self.position.home_ppm() } else { self.position.ppm_of(domain) }
    }

    /// Returns the failure domain that takes what rounding leaves: the one with the largest share.
    pub fn base_domain(&self) -> &FailureDomainName {
        let mut base = (&self.home, self.position.home_ppm());
        for (domain, share) in self.position.iter() {
            if share > base.1 {
                base = (domain, share);
            }
        }
        base.0
    }

    /// Moves the position by at most one step.
    ///
    /// Call it about [`STEPS_PER_INTERVAL`] times per interval. A late call moves more, up to two
    /// regular steps; after a longer pause the shift takes longer.
    /// `are_receivers_cold` selects the lower cap.
    pub fn step(&mut self, are_receivers_cold: bool, now: Instant) -> RampStep {
        let allowed = self.allowed_step_ppm(are_receivers_cold, now);
        let moved_ppm = self.position.step_towards(&self.target, allowed);
        if moved_ppm > 0 {
            self.is_fresh = false;
            self.last_step = Some(now);
            self.steps.push_back((now, moved_ppm));
        }
        RampStep { moved_ppm, left_ppm: self.position.distance_ppm(&self.target) }
    }

    fn allowed_step_ppm(&mut self, are_receivers_cold: bool, now: Instant) -> u32 {
        let interval_us = self.policy.interval_ms.saturating_mul(1000);
        // A step is forgotten only after the interval, so that both ends of a window count.
        while self.steps.front().is_some_and(|(at, _)| now.since_us(*at) > interval_us) {
            self.steps.pop_front();
        }
        let spacing_us = interval_us.div_ceil(STEPS_PER_INTERVAL);
        let passed_us = self.last_step.map_or(spacing_us, |at| now.since_us(at));
        if passed_us < spacing_us - spacing_us / 4 {
            return 0;
        }
        let warm = self.policy.cap_percent.0;
        let cold = self.policy.cold_cap_percent.0.min(warm);
        let cap_percent = if are_receivers_cold { cold } else { warm }.min(100);
        let cap_ppm = cap_percent as u32 * (WHOLE_PPM / 100);
        let used_ppm = self.steps.iter().fold(0u32, |sum, (_, moved)| sum.saturating_add(*moved));
        // A step as large as the time since the last one keeps the pace when calls come early or late.
        let is_pause = passed_us > MAX_SPACINGS_PER_STEP * spacing_us;
        let counted_us = if is_pause { spacing_us } else { passed_us };
        let step_ppm =
            u128::from(cap_ppm) * u128::from(counted_us) / u128::from(interval_us.max(1));
        (step_ppm as u32).min(cap_ppm.saturating_sub(used_ppm))
    }

    /// Counts a request that arrived. Call it once per request, before [`Ramp::check_request`].
    pub fn record_arrival(&mut self, rank: Rank, now: Instant) {
        self.is_fresh = false;
        self.requests.arrive(rank, now);
    }

    /// Tells whether a request that arrived may go to `domain`.
    ///
    /// `lost_ppm` is the share of failure domains that can't serve now.
    pub fn check_request(
        &mut self,
        domain: &FailureDomainName,
        rank: Rank,
        lost_ppm: u32,
        now: Instant,
    ) -> Result<(), ShiftRefusal> {
        self.check_share(domain, Kind::Request, now)?;
        if self.is_kept_for_urgent(domain, rank, lost_ppm) {
            return Err(ShiftRefusal::KeptForUrgent);
        }
        Ok(())
    }

    /// Returns the mean rate of arrivals over the last interval.
    pub fn arrivals_per_s(&mut self, now: Instant) -> u64 {
        self.requests.expire(now);
        let arrived = self.requests.totals().all_arrived();
        arrived.saturating_mul(1000) / self.policy.interval_ms.max(1)
    }

    /// Counts that a request went to `domain`. Call it only after [`Ramp::check_request`] allowed it.
    pub fn record_sent(&mut self, domain: &FailureDomainName, rank: Rank, now: Instant) {
        self.requests.send(domain, rank, now);
    }

    /// Counts a lookup. Call it once per lookup, before [`Ramp::admit_lookup`].
    pub fn record_lookup(&mut self, now: Instant) {
        self.is_fresh = false;
        self.lookups.arrive(LOOKUP_RANK, now);
    }

    /// Tells whether the answer to a lookup may put entries of `domain` first, and counts it if so.
    pub fn admit_lookup(
        &mut self,
        domain: &FailureDomainName,
        now: Instant,
    ) -> Result<(), ShiftRefusal> {
        self.check_share(domain, Kind::Lookup, now)?;
        self.lookups.send(domain, LOOKUP_RANK, now);
        Ok(())
    }

    fn check_share(
        &mut self,
        domain: &FailureDomainName,
        kind: Kind,
        now: Instant,
    ) -> Result<(), ShiftRefusal> {
        self.requests.expire(now);
        self.lookups.expire(now);
        let share = self.share_ppm(domain);
        if share == 0 {
            return Err(ShiftRefusal::NoShare);
        }
        // Nothing moves while one failure domain has everything. Counts would refuse a request that
        // waited for an owner until its arrival had left the interval.
        if share == WHOLE_PPM {
            return Ok(());
        }
        let sent = self.counts(kind).0.totals().sent_to(domain) + 1;
        let allowed = if domain == self.base_domain() {
            self.allowed_at_base(kind, now)
        } else {
            self.allowed_at(domain, kind, now)
        };
        if sent <= allowed { Ok(()) } else { Err(ShiftRefusal::ShareExhausted) }
    }

    /// Returns the counts of a kind of event and those of the other kind.
    fn counts(&self, kind: Kind) -> (&Counts, &Counts) {
        match kind {
            Kind::Request => (&self.requests, &self.lookups),
            Kind::Lookup => (&self.lookups, &self.requests),
        }
    }

    /// Returns how many events of the interval may go to `domain`, which is not the base. What the
    /// other kind of event has moved there counts against its share.
    fn allowed_at(&self, domain: &FailureDomainName, kind: Kind, now: Instant) -> u64 {
        let (this, other) = self.counts(kind);
        let moved = (other.totals().sent_to(domain), other.sure_arrivals(now));
        part_beside(this.sure_arrivals(now), self.share_ppm(domain), moved)
    }

    /// Returns what the arrivals of the interval leave to the base: all that the others may not get.
    ///
    /// It uses the others' own bounds. With looser ones a request could be too many everywhere.
    fn allowed_at_base(&self, kind: Kind, now: Instant) -> u64 {
        let base = self.base_domain();
        let away = self.position.iter().map(|(domain, _)| domain);
        let others = away.chain([&self.home]).filter(|domain| *domain != base);
        let for_others = others.map(|d| self.allowed_at(d, kind, now)).sum::<u64>();
        self.counts(kind).0.totals().all_arrived().saturating_sub(for_others)
    }

    /// Returns whether more urgent arrivals need what is left of the shares.
    ///
    /// While all failure domains serve, that is the share outside the base, because the base refuses
    /// nobody; otherwise it is everything that can be served.
    fn is_kept_for_urgent(&self, domain: &FailureDomainName, rank: Rank, lost_ppm: u32) -> bool {
        let base = self.base_domain();
        let is_lossless = lost_ppm == 0;
        if is_lossless && domain == base {
            return false;
        }
        let totals = self.requests.totals();
        let is_counted = |d: &FailureDomainName| !is_lossless || d != base;
        let counted = totals.sent.iter().filter(|(d, _)| is_counted(d));
        let sent: u64 = counted.flat_map(|(_, ranks)| &ranks[rank.index()..]).sum();
        let urgent: u64 = totals.arrived[..rank.index()].iter().sum();
        let share = if is_lossless {
            WHOLE_PPM - self.share_ppm(base)
        } else {
            WHOLE_PPM.saturating_sub(lost_ppm)
        };
        let whole = whole_part(totals.all_arrived(), share);
        let counted = totals.sent.iter().filter(|(d, _)| is_counted(d));
        let own: u64 = counted.map(|(_, ranks)| ranks[rank.index()]).sum();
        let min_ppm = self.min_shares[rank.index()].0.min(100) as u32 * (WHOLE_PPM / 100);
        let is_within_own_share = own < whole_part(whole, min_ppm);
        urgent > 0 && urgent + sent + 1 > whole && !is_within_own_share
    }
}

/// Lookups do not tell which operations follow, so all are counted under one rank.
const LOOKUP_RANK: Rank = Rank::Urgent;

#[derive(Clone, Copy)]
enum Kind {
    Request,
    Lookup,
}

/// Returns the share of `count`, rounded down.
fn whole_part(count: u64, share_ppm: u32) -> u64 {
    (u128::from(count) * u128::from(share_ppm) / u128::from(WHOLE_PPM)) as u64
}

/// Returns the largest part of `whole` that, together with the fraction `other` (part, whole), is at
/// most `share_ppm`.
fn part_beside(whole: u64, share_ppm: u32, other: (u64, u64)) -> u64 {
    if other.0 == 0 {
        return whole_part(whole, share_ppm);
    }
    // The products are at most 2^20 times the square of the events of one interval, far below 2^128.
    let [whole, share, part, total] =
        [whole, u64::from(share_ppm), other.0, other.1.max(1)].map(u128::from);
    let one = u128::from(WHOLE_PPM);
    let left = (share * total).saturating_sub(part * one);
    (whole * left / (one * total)) as u64
}
