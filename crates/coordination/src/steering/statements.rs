//! What a backend server states of itself in its answers.
//!
//! A server knows its own state before the store lists it and when no instance can reach the store,
//! so its answers count beside its announcements. The statements are kept in one place for both
//! ways of choosing a server. See docs/platform.md, "What servers state of themselves".

use std::collections::HashMap;

use pollenshed_state::{
    ids::{BackendServerName, RegionName, ServiceName},
    time::Instant,
    units::RequestRate,
};

use super::{fleet::Fleet, rate_limit::RateLimit, stated_pace::StatedPace};
use crate::membership::hash::mix;

/// Time for which the load that a server reported is used.
const REPORTED_LOAD_TTL_MS: u64 = 300;

/// Time for which the statements of a removed server are kept for the return of its record. A server
/// serves for some seconds after its removal, and an outage of the store can remove and return it.
const FORMER_TTL_MS: u64 = 600_000;

/// Maximum number of removed servers whose statements are kept.
const MAX_FORMER: usize = 4_096;

/// Longest rest that a server gets, so that a mistaken statement does not lose it for good.
pub const MAX_REST_MS: u64 = 300_000;

/// Share of its rest by which instances come back to a server later, at most. They were told at
/// about the same time and would return at once otherwise.
const RETURN_SPREAD_RATIO: f64 = 0.1;

/// Longest time by which instances come back to a server later.
const MAX_RETURN_SPREAD_MS: f64 = 500.0;

/// Longest time by which callers are told to come back later than the first server.
const MAX_CALLER_SPREAD_MS: u64 = 3_000;

/// What one answer of a backend server states.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Statement {
    /// Start time of the run of the server that gave the answer, as in its
    /// [`ServerRecord`](pollenshed_state::routes::ServerRecord).
    pub started_at_ms: u64,
    /// The server leaves. It takes no statement back; only a later run of it is used again.
    pub is_leaving: bool,
    /// Time for which the server, which turned the request away, wants no further ones from this
    /// instance.
    pub rest_ms: Option<u64>,
    /// Requests that run or wait at the server.
    pub load: Option<u32>,
    /// How long work takes on the server's machine at this moment, in percent of the usual time.
    pub run_time_percent: Option<u32>,
    /// Requests that the server takes from all instances together. `None` lifts an earlier limit.
    pub limit: Option<RequestRate>,
}

/// What a statement changed in the state of its server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StatementChange {
    /// The server has stated for the first time that it leaves.
    pub is_leaving: bool,
    /// The server rests for longer than was known.
    pub rest: bool,
    /// The limit in force is another one.
    pub limit: bool,
}

/// What one server has stated.
#[derive(Debug, Clone, Default)]
pub(super) struct Statements {
    /// Limit of the requests of all instances.
    pub(super) rate_limit: RateLimit,
    /// How long work takes on its machine.
    pub(super) pace: StatedPace,
    load: Option<(u32, Instant)>,
    /// Start time of the latest run that stated that it leaves.
    leaving_run_ms: Option<u64>,
    rest: Option<Rest>,
}

/// A time for which a server wants no requests.
#[derive(Debug, Clone, Copy)]
struct Rest {
    /// Start time of the run that asked for it.
    run_ms: u64,
    until: Instant,
}

impl Statements {
    fn record(&mut self, statement: &Statement, now: Instant) -> StatementChange {
        if let Some(load) = statement.load {
            self.load = Some((load, now));
        }
        if let Some(percent) = statement.run_time_percent {
            self.pace.record(percent, now);
        }
        let leaving_before = self.leaving_run_ms;
        if statement.is_leaving {
            self.leaving_run_ms = leaving_before.max(Some(statement.started_at_ms));
        }
        let rest_before = self.rest;
        if let Some(rest_ms) = statement.rest_ms {
            self.extend_rest(statement.started_at_ms, rest_ms, now);
        }
        let limit_before = self.rate_limit.in_force(now).map(|(rate, _)| rate);
        self.rate_limit.record_statement(statement.limit, now);
        StatementChange {
            is_leaving: leaving_before != self.leaving_run_ms,
            rest: rest_before.map(|rest| rest.until) != self.rest.map(|rest| rest.until),
            limit: limit_before != statement.limit,
        }
    }

    /// Records that the run that started at `run_ms` wants no requests for `rest_ms`. A shorter time
    /// than the one that is known changes nothing.
    fn extend_rest(&mut self, run_ms: u64, rest_ms: u64, now: Instant) {
        let rest_ms = rest_ms.min(MAX_REST_MS);
        let most_ms = (rest_ms as f64 * RETURN_SPREAD_RATIO).min(MAX_RETURN_SPREAD_MS);
        let random = (mix(now.as_us()) % 1_000) as f64 / 1_000.0;
        let until = now.plus_ms(rest_ms).plus_us((most_ms * random * 1_000.0) as u64);
        let is_longer = |known: Rest| (run_ms, until) > (known.run_ms, known.until);
        if rest_ms > 0 && self.rest.is_none_or(is_longer) {
            self.rest = Some(Rest { run_ms, until });
        }
    }

    /// Returns how long the run that started at `started_at_ms` still wants no requests, or 0.
    pub(super) fn rest_left_ms(&self, started_at_ms: u64, now: Instant) -> u64 {
        let rest = self.rest.filter(|rest| rest.run_ms >= started_at_ms);
        rest.map_or(0, |rest| rest.until.since_us(now).div_ceil(1_000))
    }

    /// Returns whether anything that was stated still holds when the record of the server returns.
    fn outlasts_the_record(&self, now: Instant) -> bool {
        self.leaving_run_ms.is_some() || self.rest.is_some_and(|rest| now < rest.until)
    }

    /// Returns whether the run that started at `started_at_ms`, or a later one, stated that it
    /// leaves. Announcements of an earlier run may arrive after that.
    pub(super) fn is_leaving(&self, started_at_ms: u64) -> bool {
        self.leaving_run_ms.is_some_and(|run_ms| run_ms >= started_at_ms)
    }

    /// Returns the load that the server reported a moment ago, or 0.
    pub(super) fn load(&self, now: Instant) -> u32 {
        let fresh = self.load.filter(|(_, at)| now.since_ms(*at) < REPORTED_LOAD_TTL_MS);
        fresh.map_or(0, |(load, _)| load)
    }
}

/// Statements of servers that were removed, in case their records return.
#[derive(Debug, Clone, Default)]
pub(super) struct FormerStatements {
    by_name: HashMap<BackendServerName, (Instant, Statements)>,
}

impl FormerStatements {
    /// Keeps the statements of a server that is removed.
    pub(super) fn keep(&mut self, name: BackendServerName, statements: Statements, now: Instant) {
        if !statements.outlasts_the_record(now) {
            return;
        }
        self.by_name.retain(|_, (at, _)| now.since_ms(*at) < FORMER_TTL_MS);
        if self.by_name.len() >= MAX_FORMER
            && let Some(oldest) = self.by_name.iter().min_by_key(|(_, (at, _))| *at)
        {
            let oldest = oldest.0.clone();
            self.by_name.remove(&oldest);
        }
        self.by_name.insert(name, (now, statements));
    }

    /// Returns the statements of a server whose record returns.
    pub(super) fn take(&mut self, name: &BackendServerName, now: Instant) -> Statements {
        let kept = self.by_name.remove(name);
        let fresh = kept.filter(|(at, _)| now.since_ms(*at) < FORMER_TTL_MS);
        fresh.map(|(_, statements)| statements).unwrap_or_default()
    }
}

impl Fleet {
    /// Returns whether a server may be sent a request now, as far as it has said. It may have changed
    /// while the request waited for a connection.
    pub fn takes_requests(&self, name: &BackendServerName, now: Instant) -> bool {
        self.servers.get(name).is_some_and(|server| server.is_ready() && !server.is_resting(now))
    }

    /// Returns the servers of a service that have said that they take no requests now.
    pub fn declining_servers<'a>(
        &'a self,
        service: &ServiceName,
        now: Instant,
    ) -> impl Iterator<Item = &'a BackendServerName> {
        let names = self.by_service.get(service).into_iter().flatten();
        names.filter(move |name| !self.takes_requests(name, now))
    }

    /// Returns after what time a caller should come back if all servers that may run its request
    /// rest, or `None` if one of them does not. It is after the end of the first rest, and another
    /// time for each `jitter_seed`.
    pub fn return_after_ms(
        &self,
        service: &ServiceName,
        home_regions: &[RegionName],
        jitter_seed: u64,
        now: Instant,
    ) -> Option<u64> {
        let names = self.by_service.get(service).into_iter().flatten();
        let servers = names.filter_map(|name| self.servers.get(name));
        let usable = servers.filter(|s| self.may_run(s, home_regions) && !s.is_paused(now));
        let rest_ms = usable.map(|s| s.rest_left_ms(now)).min().filter(|rest_ms| *rest_ms > 0)?;
        Some(rest_ms + mix(jitter_seed) % (rest_ms / 2).clamp(1, MAX_CALLER_SPREAD_MS))
    }

    /// Records what an answer of a server states. Returns what it changed.
    pub fn record_statement(
        &mut self,
        name: &BackendServerName,
        statement: &Statement,
        now: Instant,
    ) -> StatementChange {
        let server = self.servers.get_mut(name);
        server.map_or_else(StatementChange::default, |s| s.statements.record(statement, now))
    }
}
