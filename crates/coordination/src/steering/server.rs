//! The state of one backend server as an instance knows it.

use pollenshed_state::{
    ids::RegionName,
    routes::{ServerRecord, ServerState},
    time::Instant,
};

use super::{cold::ColdRate, statements::Statements, warmth::WarmKeys};
use crate::membership::hash::stable_hash;

/// Time for which a server gets no requests after its first failure. It doubles with each further
/// consecutive failure.
const FIRST_PAUSE_MS: u64 = 250;

/// Longest time for which a failed server gets no requests.
const MAX_PAUSE_MS: u64 = 2_000;

/// Time within which a second incomplete answer makes a server suspect.
const BROKEN_ANSWER_WINDOW_MS: u64 = 1_000;

/// Time for which a server that shed a request counts as full.
const FULL_AFTER_SHED_MS: u64 = 150;

/// Half-life of the failure rate.
const FAILURE_HALF_LIFE_MS: f64 = 2_500.0;

/// Weight of a new answer in the failure rate and in the slowdown.
const ANSWER_WEIGHT: f64 = 0.25;

/// Bounds of the slowdown that is taken from one answer, so that an outlier does not exclude a
/// server.
const SLOWDOWN_RANGE: (f64, f64) = (0.5, 8.0);

/// The state of one backend server as an instance knows it.
#[derive(Debug, Clone)]
pub struct Server {
    /// The latest announcement.
    pub record: ServerRecord,
    /// Region of its failure domain.
    pub region: RegionName,
    /// Objects for which the server is warm, as far as this instance knows.
    pub warm: WarmKeys,
    pub(super) cold_rate: ColdRate,
    /// What the server stated of itself.
    pub(super) statements: Statements,
    /// Requests of this instance that run or wait at the server.
    pub(super) own_requests: u32,
    /// Requests of other instances that run or wait at the server.
    pub(super) peer_requests: u32,
    /// Requests of any instance that this instance assigned to the server.
    pub(super) assigned_requests: u32,
    /// Hash of the name, which ranks servers for objects.
    pub(super) rank_hash: u64,
    cold_until: Option<Instant>,
    full_until: Option<Instant>,
    consecutive_failures: u32,
    paused_until: Option<Instant>,
    last_broken_answer_at: Option<Instant>,
    /// Another server was found at the announced address.
    is_other_server: bool,
    failure_rate: f64,
    failure_rate_at: Instant,
    slowdown: f64,
    /// When the server last sent a complete answer or shed a request.
    pub(super) answered_at: Option<Instant>,
}

impl Server {
    pub(super) fn new(
        record: ServerRecord,
        region: RegionName,
        statements: Statements,
        now: Instant,
    ) -> Server {
        let cold_until =
            (record.cold_remaining_ms > 0).then(|| now.plus_ms(record.cold_remaining_ms));
        let rank_hash = stable_hash(&[b"rank", record.name.as_str().as_bytes()]);
        Server {
            record,
            region,
            warm: WarmKeys::default(),
            cold_rate: ColdRate::default(),
            statements,
            own_requests: 0,
            peer_requests: 0,
            assigned_requests: 0,
            rank_hash,
            cold_until,
            full_until: None,
            consecutive_failures: 0,
            paused_until: None,
            last_broken_answer_at: None,
            is_other_server: false,
            failure_rate: 0.0,
            failure_rate_at: now,
            slowdown: 1.0,
            answered_at: None,
        }
    }

    /// Applies a newer announcement of the same server.
    pub(super) fn announce(&mut self, record: ServerRecord, now: Instant) {
        let restarted = record.started_at_ms != self.record.started_at_ms
            || record.address != self.record.address;
        if restarted {
            self.warm.clear();
            self.paused_until = None;
            self.consecutive_failures = 0;
            self.failure_rate = 0.0;
            self.slowdown = 1.0;
        }
        if restarted || record.sequence != self.record.sequence {
            self.is_other_server = false;
            self.cold_until =
                (record.cold_remaining_ms > 0).then(|| now.plus_ms(record.cold_remaining_ms));
        }
        self.record = record;
    }

    /// Returns whether the server accepts new requests: its latest announcement says that it is
    /// ready, no other server was found at its address since, and no answer said that it leaves.
    pub fn is_ready(&self) -> bool {
        self.record.state == ServerState::Ready
            && !self.is_other_server
            && !self.statements.is_leaving(self.record.started_at_ms)
    }

    /// Returns whether the server has asked to be left alone for a time that is not over.
    pub fn is_resting(&self, now: Instant) -> bool {
        self.rest_left_ms(now) > 0
    }

    /// Returns how long the server still wants to be left alone, or 0.
    pub fn rest_left_ms(&self, now: Instant) -> u64 {
        self.statements.rest_left_ms(self.record.started_at_ms, now)
    }

    /// Returns whether the server stated a moment ago that work takes longer on its machine than
    /// usual.
    pub fn has_slow_machine(&self, now: Instant) -> bool {
        self.statements.pace.is_slow(now)
    }

    /// Returns whether the server has started recently and tolerates few requests for now.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Treats the server as cold until `until`, or longer if it is known to be.
    pub fn extend_cold_until(&mut self, until: Instant) {
        self.cold_until = Some(self.cold_until.map_or(until, |known| known.max(until)));
    }

    /// Returns whether the server failed recently and gets no requests for now.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Returns whether the server failed and has not answered since, so that it is suspect.
    pub fn is_suspect(&self) -> bool {
        self.paused_until.is_some()
    }

    /// Returns the number of requests of all instances that run or wait at the server: the highest
    /// of the counts of the instances, the requests that this instance assigned, the server's own
    /// report and, after it shed a request, one more than its slots.
    pub fn load(&self, now: Instant) -> u32 {
        let counted = (self.own_requests + self.peer_requests).max(self.assigned_requests);
        let full = match self.full_until {
            Some(until) if now < until => self.record.slots.saturating_add(1),
            _ => 0,
        };
        counted.max(self.statements.load(now)).max(full)
    }

    /// Returns the share of recent answers that failed, from 0 to 1, as a decaying average.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        if self.failure_rate == 0.0 {
            return 0.0;
        }
        let age_ms = now.since_ms(self.failure_rate_at) as f64;
        self.failure_rate * 0.5_f64.powf(age_ms / FAILURE_HALF_LIFE_MS)
    }

    /// Returns the factor by which requests run longer here than expected: 1 is as expected.
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Returns whether the server answered any request after `at`.
    pub fn answered_since(&self, at: Instant) -> bool {
        self.answered_at.is_some_and(|answered| answered > at)
    }

    /// Records an answer or a refusal, which ends a pause. `failed` tells whether it counts as a
    /// failure of the server.
    pub(super) fn record_answer(&mut self, failed: bool, now: Instant) {
        self.answered_at = Some(now);
        self.consecutive_failures = 0;
        self.paused_until = None;
        self.record_result(failed, now);
    }

    /// Updates the slowdown from a run of `ran_ms` that was expected to take `expected_ms`.
    pub(super) fn record_run(&mut self, ran_ms: f64, expected_ms: f64) {
        let ratio = (ran_ms / expected_ms.max(1.0)).clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
        self.slowdown += ANSWER_WEIGHT * (ratio - self.slowdown);
    }

    /// Records that the server shed a request. `has_free_slots` tells whether it reported free
    /// slots.
    pub(super) fn record_shed(&mut self, has_free_slots: bool, now: Instant) {
        if !has_free_slots {
            self.full_until = Some(now.plus_ms(FULL_AFTER_SHED_MS));
        }
        // A server that sheds requests although it has free slots is faulty.
        let seems_free = self.own_requests + self.peer_requests <= self.record.slots;
        self.record_answer(has_free_slots || seems_free, now);
    }

    /// Records that another server was found at the announced address.
    pub(super) fn record_other_server(&mut self) {
        self.is_other_server = true;
    }

    /// Records that the server could not be reached or did not answer, and pauses it.
    pub(super) fn record_unreachable(&mut self, now: Instant) {
        let pause_ms = (FIRST_PAUSE_MS << self.consecutive_failures.min(8)).min(MAX_PAUSE_MS);
        self.consecutive_failures += 1;
        self.paused_until = Some(now.plus_ms(pause_ms));
        self.warm.clear();
    }

    /// Records that the connection ended before an answer was complete. A single incomplete answer
    /// may be due to the request; a second one soon after makes the server suspect.
    pub(super) fn record_broken_answer(&mut self, now: Instant) {
        self.record_result(true, now);
        if self.last_broken_answer_at.is_some_and(|at| now.since_ms(at) < BROKEN_ANSWER_WINDOW_MS) {
            self.record_unreachable(now);
        }
        self.last_broken_answer_at = Some(now);
    }

    /// Updates the failure rate.
    fn record_result(&mut self, failed: bool, now: Instant) {
        let rate = self.failure_rate(now);
        self.failure_rate = rate + ANSWER_WEIGHT * (f64::from(u8::from(failed)) - rate);
        self.failure_rate_at = now;
    }
}
