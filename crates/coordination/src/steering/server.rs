//! What an instance knows of one backend server.

use pollenshed_state::{
    ids::RegionName,
    routes::{ServerRecord, ServerState},
    time::Instant,
};

use super::{cold::ColdRate, warmth::WarmKeys};

/// Pause after the first failure of a server; it doubles with each further one.
const FIRST_PAUSE_MS: u64 = 250;

/// Longest pause before a server that failed is tried again.
const MAX_PAUSE_MS: u64 = 2_000;

/// Time within which a second broken answer makes a server suspect.
const BROKEN_WINDOW_MS: u64 = 1_000;

/// Time for which a server's own report of its load is used.
const REPORT_MS: u64 = 300;

/// Time for which a server that shed a request is taken to be full.
const FULL_MS: u64 = 150;

/// Time in which the memory of failed answers halves.
const FAILURE_HALF_LIFE_MS: f64 = 2_500.0;

/// Part that an answer has in the rate of failures and in the pace.
const WEIGHT: f64 = 0.25;

/// Bounds of the pace, so that one odd answer does not exclude a server.
const PACE_RANGE: (f64, f64) = (0.5, 8.0);

/// What an instance knows of one backend server.
#[derive(Debug, Clone)]
pub struct Server {
    /// The latest announcement.
    pub record: ServerRecord,
    /// Region of its failure domain.
    pub region: RegionName,
    /// Objects that it has handled recently.
    pub warm: WarmKeys,
    pub(super) cold_rate: ColdRate,
    pub(super) own: u32,
    pub(super) peers: u32,
    cold_until: Option<Instant>,
    reported: Option<(u32, Instant)>,
    full_until: Option<Instant>,
    failures_in_row: u32,
    paused_until: Option<Instant>,
    last_broken: Option<Instant>,
    misdirected: bool,
    failure_rate: f64,
    failure_at: Instant,
    pace: f64,
    /// When the server answered last.
    pub(super) answered_at: Option<Instant>,
}

impl Server {
    pub(super) fn new(record: ServerRecord, region: RegionName, now: Instant) -> Server {
        let cold_until =
            (record.cold_remaining_ms > 0).then(|| now.plus_ms(record.cold_remaining_ms));
        Server {
            record,
            region,
            warm: WarmKeys::default(),
            cold_rate: ColdRate::default(),
            own: 0,
            peers: 0,
            cold_until,
            reported: None,
            full_until: None,
            failures_in_row: 0,
            paused_until: None,
            last_broken: None,
            misdirected: false,
            failure_rate: 0.0,
            failure_at: now,
            pace: 1.0,
            answered_at: None,
        }
    }

    /// Takes a newer announcement of the same server.
    pub(super) fn announce(&mut self, record: ServerRecord, now: Instant) {
        let restarted = record.started_at_ms != self.record.started_at_ms
            || record.address != self.record.address;
        if restarted {
            self.warm.clear();
            self.paused_until = None;
            self.failures_in_row = 0;
            self.failure_rate = 0.0;
            self.pace = 1.0;
        }
        if restarted || record.sequence != self.record.sequence {
            self.misdirected = false;
            self.cold_until =
                (record.cold_remaining_ms > 0).then(|| now.plus_ms(record.cold_remaining_ms));
        }
        self.record = record;
    }

    /// Returns whether the server takes new requests, as far as its announcement tells.
    pub fn is_ready(&self) -> bool {
        self.record.state == ServerState::Ready && !self.misdirected
    }

    /// Returns whether the server is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Takes the server for cold until `until`, unless it is known to be so for longer.
    pub fn cold_at_least_until(&mut self, until: Instant) {
        self.cold_until = Some(self.cold_until.map_or(until, |known| known.max(until)));
    }

    /// Returns whether the server failed lately and is not to be used now.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Returns whether the server failed and has not answered since.
    pub fn is_suspect(&self) -> bool {
        self.paused_until.is_some()
    }

    /// Returns the requests that run or wait at the server, from all instances.
    pub fn load(&self, now: Instant) -> u32 {
        let counted = self.own + self.peers;
        let reported = match self.reported {
            Some((load, at)) if now.since_ms(at) < REPORT_MS => load,
            _ => 0,
        };
        let full = match self.full_until {
            Some(until) if now < until => self.record.slots + 1,
            _ => 0,
        };
        counted.max(reported).max(full)
    }

    /// Returns the part of the latest answers that failed, from 0 to 1.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        if self.failure_rate == 0.0 {
            return 0.0;
        }
        let age_ms = now.since_ms(self.failure_at) as f64;
        self.failure_rate * 0.5_f64.powf(age_ms / FAILURE_HALF_LIFE_MS)
    }

    /// Returns how much longer requests run here than elsewhere.
    pub fn pace(&self) -> f64 {
        self.pace
    }

    /// Returns whether the server answered anything after `at`.
    pub fn answered_since(&self, at: Instant) -> bool {
        self.answered_at.is_some_and(|answered| answered > at)
    }

    pub(super) fn answered(&mut self, failed: bool, now: Instant) {
        self.answered_at = Some(now);
        self.failures_in_row = 0;
        self.paused_until = None;
        self.judge(failed, now);
    }

    pub(super) fn ran(&mut self, ran_ms: f64, expected_ms: f64) {
        let ratio = (ran_ms / expected_ms.max(1.0)).clamp(PACE_RANGE.0, PACE_RANGE.1);
        self.pace += WEIGHT * (ratio - self.pace);
    }

    pub(super) fn report(&mut self, load: u32, now: Instant) {
        self.reported = Some((load, now));
    }

    /// Records that the server shed a request. `has_free_slots` tells that it said to have free slots.
    pub(super) fn shed(&mut self, has_free_slots: bool, now: Instant) {
        if !has_free_slots {
            self.full_until = Some(now.plus_ms(FULL_MS));
        }
        // A server that sheds although it has room is faulty.
        let seems_free = self.own + self.peers <= self.record.slots;
        self.answered(has_free_slots || seems_free, now);
    }

    pub(super) fn misdirected(&mut self) {
        self.misdirected = true;
    }

    /// Records that the server could not be reached or is silent.
    pub(super) fn unreachable(&mut self, now: Instant) {
        let pause_ms = (FIRST_PAUSE_MS << self.failures_in_row.min(8)).min(MAX_PAUSE_MS);
        self.failures_in_row += 1;
        self.paused_until = Some(now.plus_ms(pause_ms));
        self.warm.clear();
    }

    /// Records that the server broke off an answer. One broken answer may be the fault of the
    /// answer; a second one soon after makes the server suspect.
    pub(super) fn broke_off(&mut self, now: Instant) {
        self.judge(true, now);
        if self.last_broken.is_some_and(|at| now.since_ms(at) < BROKEN_WINDOW_MS) {
            self.unreachable(now);
        }
        self.last_broken = Some(now);
    }

    fn judge(&mut self, failed: bool, now: Instant) {
        let rate = self.failure_rate(now);
        self.failure_rate = rate + WEIGHT * (f64::from(u8::from(failed)) - rate);
        self.failure_at = now;
    }
}
