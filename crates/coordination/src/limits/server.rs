//! Slots of one backend server.

use pollenshed_state::{ids::ServiceName, time::Instant};

use super::{CacheState, LoadReport, Occupancy, SchedulerPolicy, ServerSpec, ServerState, WorkId};

/// Time after which a report that claims every slot for others still allows one request, so that
/// the owner's own experience can confirm or refute it.
const FULL_CLAIM_GRACE_MS: u64 = 2_000;
/// Unobstructed answers after which one more reported slot is not believed.
const ANSWERS_PER_DOUBTED_SLOT: u64 = 4;
/// Ratio of recent to usual latency above which the limit shrinks.
const SLOW_RATIO: f64 = 2.0;
/// Factor by which a slow answer shrinks the limit.
const SHRINK: f64 = 0.8;
/// Slots that the limit grows by with each answer of usual latency.
const GROWTH_SLOTS: f64 = 0.1;
/// Time between two reductions, so that one burst of slow answers counts once.
const SHRINK_PAUSE_MS: u64 = 200;
/// Weights of a new sample in the recent and in the usual latency.
const RECENT_WEIGHT: f64 = 0.3;
const USUAL_WEIGHT: f64 = 0.02;

#[derive(Debug, Clone, Copy, Default)]
struct Latency {
    recent_us: f64,
    usual_us: f64,
}

/// Slot count, adaptive limit and state of a backend server.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) service: ServiceName,
    pub(super) slots: u64,
    /// Own requests that hold a slot, including abandoned ones.
    pub(super) in_use: u64,
    /// Request that runs alone, because its content is suspected to crash servers.
    pub(super) alone: Option<WorkId>,
    pub(super) draining: bool,
    pub(super) down: bool,
    pub(super) removed: bool,
    reported_draining: bool,
    limit: f64,
    ramp_since: Option<Instant>,
    unknown_until: Option<Instant>,
    /// Requests of former owners, and when their slots count as free.
    pub(super) inherited: Option<(u64, Instant)>,
    report: Option<(LoadReport, Instant)>,
    full_since: Option<Instant>,
    peak_since_report: u64,
    doubted: u64,
    unobstructed: u64,
    latency: [Latency; 3],
    shrunk_at: Option<Instant>,
}

impl Server {
    pub(super) fn new(
        spec: &ServerSpec,
        occupancy: Occupancy,
        cache_state: CacheState,
        now: Instant,
    ) -> Server {
        Server {
            service: spec.service.clone(),
            slots: spec.slots.0,
            in_use: 0,
            alone: None,
            draining: false,
            down: false,
            removed: false,
            reported_draining: false,
            limit: spec.slots.0 as f64,
            ramp_since: (cache_state == CacheState::Cold).then_some(now),
            unknown_until: match occupancy {
                Occupancy::Empty => None,
                Occupancy::UnknownUntil(until) => Some(until),
            },
            inherited: None,
            report: None,
            full_since: None,
            peak_since_report: 0,
            doubted: 0,
            unobstructed: 0,
            latency: [Latency::default(); 3],
            shrunk_at: None,
        }
    }

    pub(super) fn is_usable(&self) -> bool {
        !(self.down || self.draining || self.reported_draining || self.removed)
    }

    pub(super) fn is_cold(&self, now: Instant, policy: &SchedulerPolicy) -> bool {
        self.ramp_since.is_some_and(|since| now.since_ms(since) < policy.ramp_ms)
    }

    pub(super) fn state(&self, now: Instant, policy: &SchedulerPolicy) -> ServerState {
        if self.down {
            ServerState::Down
        } else if self.draining || self.reported_draining || self.removed {
            ServerState::Draining
        } else if self.is_cold(now, policy) {
            ServerState::Cold
        } else {
            ServerState::Ok
        }
    }

    /// Returns the time until which all slots count as in use for lack of a report.
    pub(super) fn blind_until(&self, now: Instant, policy: &SchedulerPolicy) -> Option<Instant> {
        let until = self.unknown_until.filter(|until| *until > now)?;
        self.fresh_report(now, policy).is_none().then_some(until)
    }

    /// Returns how many own requests the server may run now; never more than its slots.
    pub(super) fn limit(&self, now: Instant, policy: &SchedulerPolicy) -> u64 {
        if !self.is_usable() {
            return 0;
        }
        // A report may show requests of former owners or not: they may not have arrived yet. So both
        // count, though some of them twice.
        let left = self.unclaimed(now, policy).saturating_sub(self.inherited_now(now));
        self.own_limit(now, policy).min(left)
    }

    /// Returns how many requests of former owners may hold slots.
    pub(super) fn inherited_now(&self, now: Instant) -> u64 {
        self.inherited.filter(|(_, until)| *until > now).map_or(0, |(running, _)| running)
    }

    /// Returns the limit by own experience and ramp alone.
    fn own_limit(&self, now: Instant, policy: &SchedulerPolicy) -> u64 {
        let mut limit = (self.limit as u64).clamp(1, self.slots.max(1));
        if let Some(since) = self.ramp_since.filter(|_| self.is_cold(now, policy)) {
            let extra = self.slots.saturating_sub(1);
            limit =
                limit.min(1 + extra.saturating_mul(now.since_ms(since)) / policy.ramp_ms.max(1));
        }
        limit.min(self.slots)
    }

    /// Returns the slots that no report and no unknown earlier owner claims.
    fn unclaimed(&self, now: Instant, policy: &SchedulerPolicy) -> u64 {
        let takeover = self.unknown_until.is_some_and(|until| until > now);
        let Some(report) = self.fresh_report(now, policy) else {
            return if takeover { 0 } else { self.slots };
        };
        let claimed = self.claimed(report);
        if takeover {
            return self.slots.saturating_sub(claimed);
        }
        let left = self.slots.saturating_sub(claimed.saturating_sub(self.doubted));
        let is_doubtful =
            self.full_since.is_some_and(|since| now.since_ms(since) >= FULL_CLAIM_GRACE_MS);
        if is_doubtful { left.max(1) } else { left }
    }

    fn fresh_report(&self, now: Instant, policy: &SchedulerPolicy) -> Option<LoadReport> {
        self.report
            .filter(|(_, at)| now.since_ms(*at) <= policy.report_ttl_ms)
            .map(|(report, _)| report)
    }

    /// Returns the slots that a report takes away: requests beyond the owner's own and slots that
    /// the server says it does not have. The highest own count since the last report applies,
    /// because a report lags.
    fn claimed(&self, report: LoadReport) -> u64 {
        let own = self.peak_since_report.max(self.in_use);
        let others = report.in_use.saturating_sub(own);
        others.saturating_add(self.slots.saturating_sub(report.slots))
    }

    pub(super) fn report(&mut self, report: LoadReport, now: Instant) {
        let claimed = self.claimed(report);
        if claimed == 0 {
            self.doubted = 0;
        }
        if claimed < self.slots {
            self.full_since = None;
        } else if self.full_since.is_none() {
            self.full_since = Some(now);
        }
        self.reported_draining = report.draining;
        self.report = Some((report, now));
        self.peak_since_report = self.in_use;
    }

    pub(super) fn mark_up(&mut self, now: Instant) {
        if self.down {
            self.down = false;
            self.ramp_since = Some(now);
            self.latency = [Latency::default(); 3];
        }
    }

    pub(super) fn start(&mut self) {
        self.in_use += 1;
        self.peak_since_report = self.peak_since_report.max(self.in_use);
    }

    pub(super) fn end(&mut self, id: WorkId) {
        self.in_use = self.in_use.saturating_sub(1);
        if self.alone == Some(id) {
            self.alone = None;
        }
    }

    /// Learns from an answer: slow ones shrink the limit, others let it grow and refute reports.
    ///
    /// The usual latency follows the recent one slowly, so a lasting change of the workload does not
    /// hold the limit down for good.
    pub(super) fn answered(&mut self, rank: usize, latency_us: u64, now: Instant) {
        let sample = latency_us.max(1) as f64;
        let latency = &mut self.latency[rank];
        if latency.usual_us == 0.0 {
            *latency = Latency { recent_us: sample, usual_us: sample };
        }
        latency.recent_us += RECENT_WEIGHT * (sample - latency.recent_us);
        latency.usual_us += USUAL_WEIGHT * (sample - latency.usual_us);
        if latency.recent_us > SLOW_RATIO * latency.usual_us {
            self.shrink(now);
            return;
        }
        self.limit = (self.limit + GROWTH_SLOTS).min(self.slots as f64);
        self.unobstructed += 1;
        if self.unobstructed >= ANSWERS_PER_DOUBTED_SLOT {
            self.unobstructed = 0;
            self.doubted = (self.doubted + 1).min(self.slots);
        }
    }

    /// A shed answer proves that the slots were in use, so reports are believed again.
    pub(super) fn shed(&mut self, now: Instant) {
        self.doubted = 0;
        self.unobstructed = 0;
        self.full_since = self.full_since.map(|_| now);
        self.shrink(now);
    }

    fn shrink(&mut self, now: Instant) {
        if self.shrunk_at.is_none_or(|at| now.since_ms(at) >= SHRINK_PAUSE_MS) {
            self.limit = (self.limit * SHRINK).max(1.0);
            self.shrunk_at = Some(now);
        }
    }

    /// Takes over changed declarations of a server that was known before.
    pub(super) fn update(&mut self, spec: &ServerSpec, occupancy: Occupancy) {
        if self.removed {
            self.removed = false;
            // It may be older than what others dispatched meanwhile.
            self.report = None;
            if let Occupancy::UnknownUntil(until) = occupancy {
                self.unknown_until = Some(until);
            }
        }
        self.slots = spec.slots.0;
        self.limit = self.limit.min(spec.slots.0 as f64).max(1.0);
        self.service = spec.service.clone();
    }
}
