//! State of one backend server: slots in use, adaptive limit and load reports.

use pollenshed_state::{ids::ServiceName, time::Instant};

use super::{CacheState, LoadReport, Occupancy, SchedulerPolicy, ServerSpec, ServerState, WorkId};

/// Time for which reports may leave the owner no slot. After that it runs one request at a time,
/// whose answers show whether the reports are right.
const FULL_REPORT_GRACE_MS: u64 = 2_000;
/// Answers of normal latency after which one more slot that the report takes away is used all the
/// same.
const ANSWERS_PER_DISCOUNTED_SLOT: u64 = 4;
/// Ratio of recent to baseline latency above which the limit shrinks.
const MAX_LATENCY_RATIO: f64 = 2.0;
/// Factor by which a slow or shed answer shrinks the limit.
const SHRINK_FACTOR: f64 = 0.8;
/// Slots by which each answer of normal latency raises the limit.
const GROWTH_SLOTS_PER_ANSWER: f64 = 0.1;
/// Shortest time between two reductions, so that a burst of slow answers counts once.
const MIN_SHRINK_INTERVAL_MS: u64 = 200;
/// Weight of a new sample in the recent latency.
const RECENT_WEIGHT: f64 = 0.3;
/// Weight of a new sample in the baseline latency.
const BASELINE_WEIGHT: f64 = 0.02;

/// Moving averages of the latency of one rank.
#[derive(Debug, Clone, Copy, Default)]
struct Latency {
    recent_us: f64,
    baseline_us: f64,
}

/// State of a backend server at its owner.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) service: ServiceName,
    pub(super) slots: u64,
    /// Slots that this owner's requests hold, including abandoned ones.
    pub(super) in_use: u64,
    /// Suspect that runs alone here, so that a crash has only one possible cause.
    pub(super) lone_run: Option<WorkId>,
    pub(super) draining: bool,
    pub(super) down: bool,
    pub(super) removed: bool,
    reported_draining: bool,
    /// Adaptive limit, from latencies and shed answers.
    limit: f64,
    ramp_since: Option<Instant>,
    /// Time until which requests of an earlier owner, whose number is unknown, may run here.
    unknown_until: Option<Instant>,
    /// Requests of former owners, and when their slots count as free.
    pub(super) inherited: Option<(u64, Instant)>,
    report: Option<(LoadReport, Instant)>,
    /// Time since which all reports have left this owner no slot; a shed answer restarts it.
    full_report_since: Option<Instant>,
    /// Highest `in_use` since the last report.
    peak_since_report: u64,
    /// Slots that are used although the report takes them away.
    discounted_slots: u64,
    /// Answers of normal latency that count towards the next discounted slot.
    normal_answers: u64,
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
            lone_run: None,
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
            full_report_since: None,
            peak_since_report: 0,
            discounted_slots: 0,
            normal_answers: 0,
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

    /// Returns the time until which all slots count as in use because there is no fresh report on
    /// an earlier owner's requests.
    pub(super) fn occupancy_unknown_until(
        &self,
        now: Instant,
        policy: &SchedulerPolicy,
    ) -> Option<Instant> {
        let until = self.unknown_until.filter(|until| *until > now)?;
        self.fresh_report(now, policy).is_none().then_some(until)
    }

    /// Returns how many of this owner's requests the server may run now; never more than its slots.
    pub(super) fn limit(&self, now: Instant, policy: &SchedulerPolicy) -> u64 {
        if !self.is_usable() {
            return 0;
        }
        // A report may or may not include the requests of former owners, because some may not have
        // reached the server yet. Both are subtracted, so some requests may count twice.
        let slots_left = self.slots_left(now, policy).saturating_sub(self.inherited_now(now));
        self.adaptive_limit(now, policy).min(slots_left)
    }

    /// Returns how many slots the requests of former owners may hold.
    pub(super) fn inherited_now(&self, now: Instant) -> u64 {
        self.inherited.filter(|(_, until)| *until > now).map_or(0, |(running, _)| running)
    }

    /// Returns the limit from latencies, shed answers and the ramp, without load reports.
    fn adaptive_limit(&self, now: Instant, policy: &SchedulerPolicy) -> u64 {
        let mut limit = (self.limit as u64).clamp(1, self.slots.max(1));
        if let Some(since) = self.ramp_since.filter(|_| self.is_cold(now, policy)) {
            let extra = self.slots.saturating_sub(1);
            limit =
                limit.min(1 + extra.saturating_mul(now.since_ms(since)) / policy.ramp_ms.max(1));
        }
        limit.min(self.slots)
    }

    /// Returns the slots that neither a report nor the unknown requests of an earlier owner take.
    fn slots_left(&self, now: Instant, policy: &SchedulerPolicy) -> u64 {
        let is_unknown = self.unknown_until.is_some_and(|until| until > now);
        let Some(report) = self.fresh_report(now, policy) else {
            return if is_unknown { 0 } else { self.slots };
        };
        let unavailable = self.reported_unavailable(report);
        if is_unknown {
            return self.slots.saturating_sub(unavailable);
        }
        let slots_left =
            self.slots.saturating_sub(unavailable.saturating_sub(self.discounted_slots));
        let is_grace_over =
            self.full_report_since.is_some_and(|since| now.since_ms(since) >= FULL_REPORT_GRACE_MS);
        if is_grace_over { slots_left.max(1) } else { slots_left }
    }

    fn fresh_report(&self, now: Instant, policy: &SchedulerPolicy) -> Option<LoadReport> {
        self.report
            .filter(|(_, at)| now.since_ms(*at) <= policy.report_ttl_ms)
            .map(|(report, _)| report)
    }

    /// Returns the slots that a report takes away: requests beyond this owner's, and configured
    /// slots that the server does not have. A report lags, so it is compared with the highest
    /// number of this owner's requests since the last report.
    fn reported_unavailable(&self, report: LoadReport) -> u64 {
        let own = self.peak_since_report.max(self.in_use);
        let others = report.in_use.saturating_sub(own);
        others.saturating_add(self.slots.saturating_sub(report.slots))
    }

    pub(super) fn apply_report(&mut self, report: LoadReport, now: Instant) {
        let unavailable = self.reported_unavailable(report);
        if unavailable == 0 {
            self.discounted_slots = 0;
        }
        if unavailable < self.slots {
            self.full_report_since = None;
        } else if self.full_report_since.is_none() {
            self.full_report_since = Some(now);
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
        if self.lone_run == Some(id) {
            self.lone_run = None;
        }
    }

    /// Adapts the limit to an answer: slow ones shrink it, others raise it and discount reports.
    ///
    /// The baseline slowly follows the recent latency, so a lasting change of the workload does not
    /// keep the limit down for good.
    pub(super) fn record_answer(&mut self, rank: usize, latency_us: u64, now: Instant) {
        let sample_us = latency_us.max(1) as f64;
        let latency = &mut self.latency[rank];
        if latency.baseline_us == 0.0 {
            *latency = Latency { recent_us: sample_us, baseline_us: sample_us };
        }
        latency.recent_us += RECENT_WEIGHT * (sample_us - latency.recent_us);
        latency.baseline_us += BASELINE_WEIGHT * (sample_us - latency.baseline_us);
        if latency.recent_us > MAX_LATENCY_RATIO * latency.baseline_us {
            self.shrink(now);
            return;
        }
        self.limit = (self.limit + GROWTH_SLOTS_PER_ANSWER).min(self.slots as f64);
        self.normal_answers += 1;
        if self.normal_answers >= ANSWERS_PER_DISCOUNTED_SLOT {
            self.normal_answers = 0;
            self.discounted_slots = (self.discounted_slots + 1).min(self.slots);
        }
    }

    /// Shrinks the limit. A shed answer proves that the slots were in use, so reports count in full
    /// again.
    pub(super) fn record_shed(&mut self, now: Instant) {
        self.discounted_slots = 0;
        self.normal_answers = 0;
        self.full_report_since = self.full_report_since.map(|_| now);
        self.shrink(now);
    }

    fn shrink(&mut self, now: Instant) {
        if self.shrunk_at.is_none_or(|at| now.since_ms(at) >= MIN_SHRINK_INTERVAL_MS) {
            self.limit = (self.limit * SHRINK_FACTOR).max(1.0);
            self.shrunk_at = Some(now);
        }
    }

    /// Applies a changed specification to a known server.
    pub(super) fn update(&mut self, spec: &ServerSpec, occupancy: Occupancy) {
        if self.removed {
            self.removed = false;
            // Other owners may have dispatched requests since this report.
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
