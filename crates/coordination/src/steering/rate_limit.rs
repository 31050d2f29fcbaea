//! The rate of requests that a backend server in need accepts.
//!
//! A server in need states in its answers how many requests a second it takes from all instances
//! together. Each instance counts what it has sent in a sliding window, tells its peers, and adds
//! what they told. A request beyond the limit is not sent: it would make the server slower for all
//! that are there already.
//!
//! What an instance has sent in the last moments its peers do not know yet. If the limit has room again,
//! all of them see it, so each may use only its part of the room in a *turn*, the time in which its
//! peers hear of it. See docs/platform.md, "Servers that limit their requests".

use std::{cmp::Reverse, collections::VecDeque};

use pollenshed_state::{
    ids::{BackendServerName, InstanceName},
    time::Instant,
    units::RequestRate,
};

use super::fleet::{Fleet, ServerKey, server_key};
use crate::membership::hash::mix;

/// Length of the sliding window in which requests are counted.
const WINDOW_MS: u64 = 4_000;

/// Requests in a window beyond the limit, since requests do not come evenly.
const BURST: f64 = 2.0;

/// Length of a turn: two heartbeats and the way between regions.
const TURN_MS: u64 = 600;

/// Requests in a window that a server bears for a moment, relative to its limit.
const TOLERANCE_RATIO: f64 = 1.5;

/// Requests in a window that a server bears for a moment in addition to that.
const TOLERANCE_REQUESTS: f64 = 5.0;

/// Part of the room that all instances together may use in one turn, on average.
const ROOM_PER_TURN: f64 = 0.5;

/// Time after its latest answer for which a limit holds. It is longer than a request runs, so that a
/// server which gets few requests is not taken for one that has lifted its limit.
const LIMIT_TTL_MS: u64 = 10_000;

/// Part of the limit that an instance of a large region may use. It does not know what its peers
/// send, and the few instances that assign the objects of a server share its limit.
const LARGE_REGION_SHARE: f64 = 0.25;

/// Lower bound of the slots that a server can use within its limit, relative to its slots, so that
/// the cost of an object there stays finite.
const MIN_USABLE_RATIO: f64 = 0.01;

/// Maximum number of limits that a heartbeat carries.
const MAX_TOLD: usize = 100;

/// What an instance tells its peers of a server that limits its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitReport {
    /// The server.
    pub server: ServerKey,
    /// Limit that the server stated.
    pub rate: RequestRate,
    /// Age of the answer that stated it.
    pub age_ms: u64,
    /// Requests that the instance has sent to the server in the last four seconds.
    pub sent: u32,
}

/// The limit of one server and the requests that count towards it.
#[derive(Debug, Clone, Default)]
pub(super) struct RateLimit {
    /// The latest statement of the server, `None` for an answer without a limit.
    stated: Option<(Instant, Option<RequestRate>)>,
    /// When this instance sent or assigned requests in the current window.
    sent_at: VecDeque<Instant>,
    /// Requests that peers reported for their windows.
    peer_sent: u32,
}

impl RateLimit {
    /// Returns the limit in force, and when the server last stated it.
    pub(super) fn in_force(&self, now: Instant) -> Option<(RequestRate, Instant)> {
        let (at, rate) = self.stated?;
        (now.since_ms(at) < LIMIT_TTL_MS).then_some(rate?).map(|rate| (rate, at))
    }

    /// Returns whether a further request keeps `senders.share` of the limit. One request in a window is
    /// always allowed, so that the server can lift its limit.
    pub(super) fn allows(&self, senders: &LimitSenders, now: Instant) -> bool {
        let Some((rate, _)) = self.in_force(now) else { return true };
        let allowed = ((rate.requests_in_ms(WINDOW_MS) + BURST) * senders.share).max(1.0);
        let sent = self.own_sent(now) + self.peer_sent;
        if f64::from(sent + 1) > allowed {
            return false;
        }
        if senders.count <= 1 {
            return true;
        }
        // Even if all others have sent a request that is not known here yet, the server bears it.
        let tolerated = rate.requests_in_ms(WINDOW_MS) * TOLERANCE_RATIO + TOLERANCE_REQUESTS;
        let most_sent = f64::from(sent) + senders.count as f64;
        if self.own_sent_within(TURN_MS, now) == 0 && most_sent <= tolerated * senders.share {
            return true;
        }
        let (turn, turn_age_ms) = senders.turn(now);
        let sent_in_turn = self.own_sent_within(turn_age_ms + 1, now);
        let room = allowed - f64::from(sent - sent_in_turn);
        let part = room * ROOM_PER_TURN / senders.count as f64;
        // A part of less than one request is a chance to send one.
        let draw = (mix(senders.seed ^ turn) % 1_000) as f64 / 1_000.0;
        let most_in_turn = part.floor() + f64::from(u8::from(draw < part.fract()));
        f64::from(sent_in_turn + 1) <= most_in_turn
    }

    /// Returns the slots that the server can use within its limit, of `slots`, if a run takes `run_ms`.
    pub(super) fn usable_slots(&self, slots: u32, run_ms: f64, now: Instant) -> f64 {
        let slots = f64::from(slots);
        match self.in_force(now) {
            Some((rate, _)) => {
                slots.min(rate.requests_in_ms(run_ms as u64)).max(MIN_USABLE_RATIO * slots)
            }
            None => slots,
        }
    }

    /// Records that a request was sent or assigned.
    pub(super) fn record_sent(&mut self, now: Instant) {
        while self.sent_at.front().is_some_and(|at| now.since_ms(*at) >= WINDOW_MS) {
            self.sent_at.pop_front();
        }
        self.sent_at.push_back(now);
    }

    /// Records what the server stated at `at`, unless a later statement is known.
    pub(super) fn record_statement(&mut self, rate: Option<RequestRate>, at: Instant) {
        if self.stated.is_none_or(|(known_at, _)| at >= known_at) {
            self.stated = Some((at, rate));
        }
    }

    fn own_sent(&self, now: Instant) -> u32 {
        self.own_sent_within(WINDOW_MS, now)
    }

    fn own_sent_within(&self, age_ms: u64, now: Instant) -> u32 {
        self.sent_at.iter().filter(|at| now.since_ms(**at) < age_ms).count() as u32
    }
}

/// The instances that share a limit.
#[derive(Debug, Clone, Copy)]
pub(super) struct LimitSenders {
    /// Part of the limit that this instance and those that it hears from may use.
    pub(super) share: f64,
    /// Number of these instances.
    pub(super) count: usize,
    /// Tells the draws and turns of this instance for the server from those of others.
    pub(super) seed: u64,
}

impl LimitSenders {
    /// Returns the number of the current turn of this instance and how long it has lasted, in
    /// milliseconds. Turns begin at other moments in each instance.
    fn turn(&self, now: Instant) -> (u64, u64) {
        let shifted_ms = now.as_ms() + self.seed % TURN_MS;
        (shifted_ms / TURN_MS, shifted_ms % TURN_MS)
    }
}

/// The latest reports of a peer.
#[derive(Debug, Clone)]
pub(super) struct PeerReports {
    at: Instant,
    reports: Vec<LimitReport>,
}

impl Fleet {
    /// Returns whether a further request to a server keeps its limit.
    pub(super) fn limit_allows(&self, name: &BackendServerName, now: Instant) -> bool {
        let Some(server) = self.servers.get(name) else { return true };
        let senders = LimitSenders {
            share: 1.0,
            count: self.instance_count,
            seed: mix(self.seed ^ server.rank_hash),
        };
        server.statements.rate_limit.allows(&senders, now)
    }

    /// Returns whether an assigning instance of a large region, which does not hear what others assign,
    /// keeps the limit of a server with a further request.
    pub(super) fn limit_allows_assignment(&self, name: &BackendServerName, now: Instant) -> bool {
        let senders = LimitSenders { share: LARGE_REGION_SHARE, count: 1, seed: 0 };
        let server = self.servers.get(name);
        server.is_none_or(|server| server.statements.rate_limit.allows(&senders, now))
    }

    /// Counts a request towards the limit of its server. The instance that decides where to send a
    /// request counts it.
    pub fn count_towards_limit(&mut self, name: &BackendServerName, now: Instant) {
        if let Some(server) = self.servers.get_mut(name) {
            server.statements.rate_limit.record_sent(now);
        }
    }

    /// Returns the limits in force and the requests that this instance counted, for its peers.
    pub fn limit_reports(&self, now: Instant) -> Vec<LimitReport> {
        let limited = self.servers.iter().filter_map(|(name, server)| {
            let (rate, at) = server.statements.rate_limit.in_force(now)?;
            let sent = server.statements.rate_limit.own_sent(now);
            Some(LimitReport { server: server_key(name), rate, age_ms: now.since_ms(at), sent })
        });
        let mut reports: Vec<_> = limited.collect();
        reports.sort_by_key(|report| (Reverse(report.sent), report.age_ms));
        reports.truncate(MAX_TOLD);
        reports
    }

    /// Replaces the limits and counts that a peer reported by newer ones.
    pub fn set_peer_limits(
        &mut self,
        peer: &InstanceName,
        reports: Vec<LimitReport>,
        now: Instant,
    ) {
        for report in &reports {
            let Some(server) = self.server_by_key_mut(report.server) else { continue };
            let stated_ms = now.as_ms().saturating_sub(report.age_ms);
            server
                .statements
                .rate_limit
                .record_statement(Some(report.rate), Instant::from_ms(stated_ms));
            server.statements.rate_limit.peer_sent =
                server.statements.rate_limit.peer_sent.saturating_add(report.sent);
        }
        if let Some(old) = self.peer_reports.insert(peer.clone(), PeerReports { at: now, reports })
        {
            self.subtract_reports(&old);
        }
    }

    /// Drops the counts of peers that reported none for as long as requests count.
    pub fn expire_peer_limits(&mut self, now: Instant) {
        let is_expired = |peer: &PeerReports| now.since_ms(peer.at) >= WINDOW_MS;
        for expired in self.peer_reports.extract_if(|_, peer| is_expired(peer)).collect::<Vec<_>>()
        {
            self.subtract_reports(&expired.1);
        }
    }

    fn subtract_reports(&mut self, peer: &PeerReports) {
        for report in &peer.reports {
            let Some(server) = self.server_by_key_mut(report.server) else { continue };
            server.statements.rate_limit.peer_sent =
                server.statements.rate_limit.peer_sent.saturating_sub(report.sent);
        }
    }
}
