//! Chooses the backend server of a request, or refuses it.
//!
//! A server runs a request several times faster if it handled the same object lately, so each
//! object has a home that all instances compute alike. Further servers are used only when the home
//! is so busy that even a slower run elsewhere answers sooner; they then remember the object too.
//! A request that can't be answered within its target takes a free slot or is refused, since a
//! queue of late requests would make those behind it late as well. This answers load above the
//! capacity of the fleet and objects that one server can't bear.

use std::fmt;

use pollenshed_state::{
    ids::{BackendServerName, InstanceName, RegionName, ServiceName},
    time::Instant,
};

use super::{cold::cold_senders, fleet::Fleet, server::Server};
use crate::membership::hash::{hash_of, mix};

/// Servers among which a request with an object chooses.
const CANDIDATES: usize = 4;

/// Requests that wait at a server at most; servers shed more than a few.
const MAX_WAITING: u32 = 8;

/// Added time for a server all of whose answers fail.
const FAILURE_PENALTY_MS: f64 = 2_000.0;

/// Added time for each place that a server has behind the home of the object.
const RANK_PENALTY_MS: f64 = 10.0;

/// Part of the expected time that a request must have left, as estimates vary.
const NEEDED_PART: f64 = 0.8;

/// Bounds of the time after which a refused caller is asked to come back.
const RETRY_AFTER_RANGE_MS: (f64, f64) = (50.0, 3_000.0);

/// A request that needs a backend server.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Service that serves it.
    pub service: &'a ServiceName,
    /// Identifies route and service for estimates.
    pub work: u64,
    /// Object that it concerns.
    pub key: Option<u64>,
    /// Regions that may serve it. Empty allows all.
    pub home_regions: &'a [RegionName],
    /// Time left until the answer loses value.
    pub target_left_ms: f64,
    /// Time left until the request is given up.
    pub left_ms: f64,
    /// A second run does harm.
    pub at_most_once: bool,
    /// Servers that it was sent to.
    pub tried: &'a [BackendServerName],
    /// A random number.
    pub draw: u64,
}

/// Instances and rates that bound what is sent to cold servers.
#[derive(Debug, Clone, Copy)]
pub struct ColdLimits<'a> {
    /// This instance.
    pub instance: &'a InstanceName,
    /// Live instances of this instance's region, this one included.
    pub in_region: &'a [InstanceName],
    /// Requests a second that a cold server of the service tolerates from all instances.
    pub rate_per_s: f64,
    /// Requests that a cold server tolerates at once.
    pub burst: f64,
}

impl ColdLimits<'_> {
    /// Returns this instance's share of the rate of a cold server, or `None` if it may not send.
    fn share_per_s(&self, name: &BackendServerName) -> Option<f64> {
        let senders = cold_senders(name, self.in_region, self.burst);
        senders.contains(&self.instance).then(|| self.rate_per_s / senders.len() as f64)
    }
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// No server of the service may be used.
    NoServer,
    /// All servers are busy for longer than the request can wait.
    Busy,
    /// The time left is too short for any server.
    TooLate,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RefusalReason::NoServer => "no-server",
            RefusalReason::Busy => "busy",
            RefusalReason::TooLate => "too-late",
        })
    }
}

/// What to do with a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// Send it.
    Send {
        /// The server.
        server: BackendServerName,
        /// Requests at the server, as far as known.
        load: u32,
        /// Expected time until the answer.
        expected_ms: f64,
        /// All slots of the server are taken.
        waits: bool,
        /// Share of the rate of a cold server.
        cold_rate_per_s: f64,
    },
    /// Refuse it as not run.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// When a place is likely.
        retry_after_ms: u64,
    },
}

struct Candidate<'a> {
    name: &'a BackendServerName,
    server: &'a Server,
    load: u32,
    wait_ms: f64,
    total_ms: f64,
    cost_ms: f64,
    cold_rate_per_s: f64,
}

impl Fleet {
    /// Chooses the server of a request.
    pub fn choose(&self, request: &Request<'_>, cold: &ColdLimits<'_>, now: Instant) -> Choice {
        let ranked = self.ranked(request, cold, now);
        if ranked.is_empty() {
            return refuse(RefusalReason::NoServer, 500.0, request.draw);
        }
        let candidates: Vec<Candidate<'_>> = ranked
            .into_iter()
            .enumerate()
            .map(|(rank, (name, server, share))| {
                self.candidate(request, rank, name, server, share, now)
            })
            .filter(|c| c.load < c.server.record.slots + MAX_WAITING)
            .collect();
        let best = candidates.iter().min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
        let Some(best) = best else {
            return refuse(RefusalReason::Busy, 400.0, request.draw);
        };
        if best.total_ms <= request.target_left_ms {
            return send(best);
        }
        let free = candidates
            .iter()
            .filter(|c| c.wait_ms == 0.0 && c.total_ms * NEEDED_PART <= request.left_ms)
            .min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
        match free {
            Some(free) => send(free),
            None if best.wait_ms == 0.0 => refuse(RefusalReason::TooLate, 300.0, request.draw),
            None => refuse(RefusalReason::Busy, best.wait_ms, request.draw),
        }
    }

    /// Returns the servers that may be used with this instance's share of their rate, the home of
    /// the object first.
    fn ranked(
        &self,
        request: &Request<'_>,
        cold: &ColdLimits<'_>,
        now: Instant,
    ) -> Vec<(&BackendServerName, &Server, f64)> {
        let Some(names) = self.by_service.get(request.service) else { return Vec::new() };
        let key = request.key.unwrap_or(request.draw);
        let own_region = self.regions.get(&self.failure_domain);
        let mut scored: Vec<_> = names
            .iter()
            .filter(|name| !request.tried.contains(name))
            .filter_map(|name| Some((name, self.servers.get(name)?)))
            .filter(|(_, server)| self.is_usable(server, request, now))
            .filter_map(|(name, server)| {
                if !server.is_cold(now) {
                    return Some((name, server, f64::INFINITY));
                }
                let near = own_region == Some(&server.region);
                let share =
                    cold.share_per_s(name).filter(|_| near && server.cold_rate.allows(now))?;
                Some((name, server, share))
            })
            .map(|(name, server, share)| {
                (mix(hash_of(&[name.as_str().as_bytes()]) ^ key), name, server, share)
            })
            .collect();
        scored.sort_unstable_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(b.1)));
        let trusted = scored.iter().any(|(_, _, server, _)| !server.is_suspect());
        if trusted && request.at_most_once {
            scored.retain(|(_, _, server, _)| !server.is_suspect());
        }
        if let Some((_, _, home, _)) = scored.first() {
            // Servers near the home come next, so that load moves between regions last.
            let region = home.region.clone();
            scored[1..].sort_by_key(|(_, _, server, _)| server.region != region);
        }
        scored.truncate(CANDIDATES);
        scored.into_iter().map(|(_, name, server, share)| (name, server, share)).collect()
    }

    fn is_usable(&self, server: &Server, request: &Request<'_>, now: Instant) -> bool {
        server.is_ready()
            && !self.evacuated.contains(&server.record.failure_domain)
            && (request.home_regions.is_empty() || request.home_regions.contains(&server.region))
            && !server.is_paused(now)
            && (!server.is_suspect() || server.own == 0)
    }

    fn candidate<'a>(
        &self,
        request: &Request<'_>,
        rank: usize,
        name: &'a BackendServerName,
        server: &'a Server,
        cold_rate_per_s: f64,
        now: Instant,
    ) -> Candidate<'a> {
        let load = server.load(now);
        let slots = server.record.slots;
        let warm = request.key.is_some_and(|key| server.warm.contains(key));
        let run_ms =
            self.run_times.expected_ms(request.work, warm || request.key.is_none()) * server.pace();
        let wait_ms = if load < slots {
            0.0
        } else {
            f64::from(load - slots + 1) * run_ms / f64::from(slots)
        };
        let total_ms = wait_ms + run_ms + 2.0 * self.link_ms(&server.record.failure_domain);
        let cost_ms = total_ms
            + server.failure_rate(now) * FAILURE_PENALTY_MS
            + rank as f64 * RANK_PENALTY_MS;
        Candidate { name, server, load, wait_ms, total_ms, cost_ms, cold_rate_per_s }
    }
}

fn send(candidate: &Candidate<'_>) -> Choice {
    Choice::Send {
        server: candidate.name.clone(),
        load: candidate.load,
        expected_ms: candidate.total_ms,
        waits: candidate.wait_ms > 0.0,
        cold_rate_per_s: candidate.cold_rate_per_s,
    }
}

/// Refuses a request. Callers come back at different times, as they would otherwise meet again.
fn refuse(reason: RefusalReason, wait_ms: f64, draw: u64) -> Choice {
    let spread = 0.5 + (mix(draw) % 1_000) as f64 / 1_000.0;
    let retry_after_ms =
        (wait_ms * spread).clamp(RETRY_AFTER_RANGE_MS.0, RETRY_AFTER_RANGE_MS.1) as u64;
    Choice::Refuse { reason, retry_after_ms }
}

/// Identifies an object of a route, alike in all instances.
pub fn object_key(route: &str, key: &str) -> u64 {
    hash_of(&[b"object", route.as_bytes(), key.as_bytes()])
}
