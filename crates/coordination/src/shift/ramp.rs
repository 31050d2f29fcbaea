//! The ramp that moves the traffic of one service at one entry.

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

/// Number of steps per interval in which the position moves by the cap.
pub const STEPS_PER_INTERVAL: u64 = 20;

/// Longest time since the last step that still counts in full, in regular step spacings. After a
/// longer pause the ramp makes one regular step, so that it doesn't catch up all at once.
const MAX_SPACINGS_PER_STEP: u64 = 2;

/// Smallest change of the target that the ramp follows if only the proportions of headroom have
/// changed.
const MIN_REBALANCE_PPM: u32 = WHOLE_PPM / 10;

/// Result of one step of the position, for the log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RampStep {
    /// Share of the traffic that moved.
    pub moved_ppm: u32,
    /// Share of the traffic that still has to move to reach the target.
    pub left_ppm: u32,
}

/// Why a request may not go to a failure domain now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShiftRefusal {
    /// The failure domain has no share in the position.
    NoShare,
    /// The share of the failure domain is used up for the current interval.
    ShareExhausted,
    /// The rest of the share is reserved for more urgent ranks.
    ReservedForUrgent,
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
    is_unused: bool,
}

impl Ramp {
    /// Returns a ramp with all traffic in the home failure domain.
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
            is_unused: true,
        }
    }

    /// Adopts the position of a peer in the same failure domain after a restart of this entry.
    ///
    /// Returns `false` without effect if this entry has already counted or moved any traffic. The
    /// first step after an adoption waits for one interval, because the peer may have just used its
    /// cap.
    pub fn adopt_position(&mut self, position: Shares, now: Instant) -> bool {
        if !self.is_unused {
            return false;
        }
        self.is_unused = false;
        self.position = position;
        self.steps.push_back((now, WHOLE_PPM));
        true
    }

    /// Replaces the policy after a configuration change.
    ///
    /// Counts of an interval of another length can't be used. So if the length changes, no step is
    /// made for one new interval.
    pub fn set_policy(&mut self, policy: ShiftPolicy, now: Instant) {
        if policy.interval_ms != self.policy.interval_ms {
            self.requests = Counts::new(policy.interval_ms);
            self.lookups = Counts::new(policy.interval_ms);
            self.steps.push_back((now, WHOLE_PPM));
        }
        self.policy = policy;
    }

    /// Sets the part of the available share that each rank keeps even if more urgent requests could
    /// use it, indexed by [`Rank::index`].
    pub fn set_min_shares(&mut self, min_shares: [Percent; 3]) {
        self.min_shares = min_shares;
    }

    /// Sets the shares to reach. Returns whether the target changed.
    ///
    /// Headroom changes all the time. A target with the same home share and the same remote failure
    /// domains, in only slightly different proportions, is ignored, because each move costs warm
    /// caches and a part of the cap.
    pub fn set_target(&mut self, target: Shares) -> bool {
        let is_nearly_equal = target.home_ppm() == self.target.home_ppm()
            && target.iter().map(|(d, _)| d).eq(self.target.iter().map(|(d, _)| d))
            && self.target.distance_ppm(&target) < MIN_REBALANCE_PPM;
        if !is_nearly_equal {
            self.target = target;
        }
        !is_nearly_equal
    }

    /// Returns the home failure domain.
    pub fn home(&self) -> &FailureDomainName {
        &self.home
    }

    /// Returns the current shares.
    pub fn position(&self) -> &Shares {
        &self.position
    }

    /// Returns the shares to reach.
    pub fn target(&self) -> &Shares {
        &self.target
    }

    /// Returns the share of any failure domain, including the home one.
    pub fn share_ppm(&self, domain: &FailureDomainName) -> u32 {
        if *domain == self.home { self.position.home_ppm() } else { self.position.ppm_of(domain) }
    }

    /// Returns the base: the failure domain with the largest share, which takes the requests that
    /// rounding leaves.
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
    /// Call it about [`STEPS_PER_INTERVAL`] times per interval. A late call moves more traffic, up
    /// to two regular steps; longer pauses delay the shift. `are_receivers_cold` selects the lower
    /// cap.
    pub fn step(&mut self, are_receivers_cold: bool, now: Instant) -> RampStep {
        let allowed = self.allowed_step_ppm(are_receivers_cold, now);
        let moved_ppm = self.position.step_towards(&self.target, allowed);
        if moved_ppm > 0 {
            self.is_unused = false;
            self.last_step = Some(now);
            self.steps.push_back((now, moved_ppm));
        }
        RampStep { moved_ppm, left_ppm: self.position.distance_ppm(&self.target) }
    }

    fn allowed_step_ppm(&mut self, are_receivers_cold: bool, now: Instant) -> u32 {
        let interval_us = self.policy.interval_ms.saturating_mul(1000);
        // A step exactly one interval ago still counts, so the cap holds for windows with both ends
        // included.
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
        // Steps proportional to the time since the last one keep the rate when calls come early or
        // late.
        let is_pause = passed_us > MAX_SPACINGS_PER_STEP * spacing_us;
        let counted_us = if is_pause { spacing_us } else { passed_us };
        let step_ppm =
            u128::from(cap_ppm) * u128::from(counted_us) / u128::from(interval_us.max(1));
        (step_ppm as u32).min(cap_ppm.saturating_sub(used_ppm))
    }

    /// Counts a request that arrived. Call it once per request, before [`Ramp::check_request`].
    pub fn record_arrival(&mut self, rank: Rank, now: Instant) {
        self.is_unused = false;
        self.requests.record_arrival(rank, now);
    }

    /// Checks whether a request that arrived may go to `domain`.
    ///
    /// `lost_ppm` is the sum of the shares of failure domains that can't serve now.
    pub fn check_request(
        &mut self,
        domain: &FailureDomainName,
        rank: Rank,
        lost_ppm: u32,
        now: Instant,
    ) -> Result<(), ShiftRefusal> {
        self.check_remaining_share(domain, EventKind::Request, now)?;
        if self.is_reserved_for_urgent(domain, rank, lost_ppm) {
            return Err(ShiftRefusal::ReservedForUrgent);
        }
        Ok(())
    }

    /// Returns the mean rate of request arrivals over the last interval.
    pub fn arrivals_per_s(&mut self, now: Instant) -> u64 {
        self.requests.expire(now);
        let arrived = self.requests.totals().total_arrived();
        arrived.saturating_mul(1000) / self.policy.interval_ms.max(1)
    }

    /// Counts that a request went to `domain`. Call it only after [`Ramp::check_request`] allowed
    /// it.
    pub fn record_sent(&mut self, domain: &FailureDomainName, rank: Rank, now: Instant) {
        self.requests.record_sent(domain, rank, now);
    }

    /// Counts a lookup. Call it once per lookup, before [`Ramp::admit_lookup`].
    pub fn record_lookup(&mut self, now: Instant) {
        self.is_unused = false;
        self.lookups.record_arrival(LOOKUP_RANK, now);
    }

    /// Checks whether the answer to a lookup may name entries of `domain` first, and counts the
    /// answer if so.
    pub fn admit_lookup(
        &mut self,
        domain: &FailureDomainName,
        now: Instant,
    ) -> Result<(), ShiftRefusal> {
        self.check_remaining_share(domain, EventKind::Lookup, now)?;
        self.lookups.record_sent(domain, LOOKUP_RANK, now);
        Ok(())
    }

    fn check_remaining_share(
        &mut self,
        domain: &FailureDomainName,
        kind: EventKind,
        now: Instant,
    ) -> Result<(), ShiftRefusal> {
        self.requests.expire(now);
        self.lookups.expire(now);
        let share = self.share_ppm(domain);
        if share == 0 {
            return Err(ShiftRefusal::NoShare);
        }
        // While one failure domain has the whole share, no traffic is split. Checking the counts
        // would refuse a request that waited for an owner until its arrival had left the interval.
        if share == WHOLE_PPM {
            return Ok(());
        }
        let sent = self.counts(kind).0.totals().sent_to(domain) + 1;
        let allowed = if domain == self.base_domain() {
            self.base_allowance(kind, now)
        } else {
            self.domain_allowance(domain, kind, now)
        };
        if sent <= allowed { Ok(()) } else { Err(ShiftRefusal::ShareExhausted) }
    }

    /// Returns the counts of `kind` and those of the other kind.
    fn counts(&self, kind: EventKind) -> (&Counts, &Counts) {
        match kind {
            EventKind::Request => (&self.requests, &self.lookups),
            EventKind::Lookup => (&self.lookups, &self.requests),
        }
    }

    /// Returns how many events of the interval may go to `domain`, which is not the base. Events of
    /// the other kind that went there count against its share.
    fn domain_allowance(&self, domain: &FailureDomainName, kind: EventKind, now: Instant) -> u64 {
        let (this, other) = self.counts(kind);
        let moved = (other.totals().sent_to(domain), other.whole_slice_arrivals(now));
        largest_part_within_share(this.whole_slice_arrivals(now), self.share_ppm(domain), moved)
    }

    /// Returns how many events of the interval may go to the base: the arrivals minus the events
    /// that may go to the other failure domains.
    ///
    /// It subtracts exactly the limits that the others are held to. If it subtracted more, there
    /// could be a request that no failure domain may take.
    fn base_allowance(&self, kind: EventKind, now: Instant) -> u64 {
        let base = self.base_domain();
        let remote = self.position.iter().map(|(domain, _)| domain);
        let others = remote.chain([&self.home]).filter(|domain| *domain != base);
        let for_others = others.map(|d| self.domain_allowance(d, kind, now)).sum::<u64>();
        self.counts(kind).0.totals().total_arrived().saturating_sub(for_others)
    }

    /// Returns whether more urgent arrivals need the rest of the available share.
    ///
    /// While all failure domains serve, the available share is the one outside the base, because
    /// the base refuses no requests; otherwise it is the whole share that can be served.
    fn is_reserved_for_urgent(
        &self,
        domain: &FailureDomainName,
        rank: Rank,
        lost_ppm: u32,
    ) -> bool {
        let base = self.base_domain();
        let all_can_serve = lost_ppm == 0;
        if all_can_serve && domain == base {
            return false;
        }
        let totals = self.requests.totals();
        let is_counted = |d: &FailureDomainName| !all_can_serve || d != base;
        let counted = totals.sent.iter().filter(|(d, _)| is_counted(d));
        let sent: u64 = counted.flat_map(|(_, ranks)| &ranks[rank.index()..]).sum();
        let urgent_arrivals: u64 = totals.arrived[..rank.index()].iter().sum();
        let share = if all_can_serve {
            WHOLE_PPM - self.share_ppm(base)
        } else {
            WHOLE_PPM.saturating_sub(lost_ppm)
        };
        let available = rounded_share(totals.total_arrived(), share);
        let counted = totals.sent.iter().filter(|(d, _)| is_counted(d));
        let own: u64 = counted.map(|(_, ranks)| ranks[rank.index()]).sum();
        let min_ppm = self.min_shares[rank.index()].0.min(100) as u32 * (WHOLE_PPM / 100);
        let is_below_min_share = own < rounded_share(available, min_ppm);
        urgent_arrivals > 0 && urgent_arrivals + sent + 1 > available && !is_below_min_share
    }
}

/// Rank that all lookups are counted under, because a lookup doesn't tell which operations follow.
const LOOKUP_RANK: Rank = Rank::Urgent;

#[derive(Clone, Copy)]
enum EventKind {
    Request,
    Lookup,
}

/// Returns `share_ppm` of `count`, rounded down.
fn rounded_share(count: u64, share_ppm: u32) -> u64 {
    (u128::from(count) * u128::from(share_ppm) / u128::from(WHOLE_PPM)) as u64
}

/// Returns the largest part of `whole` whose fraction, added to the fraction `other` (part, whole),
/// doesn't exceed `share_ppm`.
fn largest_part_within_share(whole: u64, share_ppm: u32, other: (u64, u64)) -> u64 {
    if other.0 == 0 {
        return rounded_share(whole, share_ppm);
    }
    // The products are at most 2^20 times the square of the events of one interval, far below
    // 2^128.
    let [whole, share, part, total] =
        [whole, u64::from(share_ppm), other.0, other.1.max(1)].map(u128::from);
    let full_ppm = u128::from(WHOLE_PPM);
    let left = (share * total).saturating_sub(part * full_ppm);
    (whole * left / (full_ppm * total)) as u64
}
