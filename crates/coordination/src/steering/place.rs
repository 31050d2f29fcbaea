//! Chooses the backend server of a request, or refuses it.
//!
//! A request goes to the home of its object while that has a free slot, or to the quickest server that
//! remembers the object, as long as it can be answered there within its target. Otherwise it takes a
//! free slot elsewhere, if even a first run there is in time. A request that
//! can't be answered within its target anywhere takes a free slot or is refused, since a queue of
//! late requests would make those behind it late as well. This answers load above the capacity of
//! the fleet, and objects that one server can't bear.

use std::{cell::LazyCell, fmt};

use pollenshed_state::{
    ids::{BackendServerName, Digest, FailureDomainName, InstanceName, RegionName, ServiceName},
    time::Instant,
};

use super::{
    cold::cold_senders,
    fleet::{Fleet, server_key},
    server::Server,
};
use crate::membership::hash::{mix, next_random, stable_hash};

/// Requests that wait at a server at most; servers shed more than a few.
const MAX_WAITING: u32 = 8;

/// Added time for a server all of whose answers fail.
const FAILURE_PENALTY_MS: f64 = 2_000.0;

/// Part of failed answers, beyond that of the whole service, above which a server is no home. Objects
/// that leave a server which fails no more than the others lose their place for nothing.
const MAX_HOME_FAILURES: f64 = 0.3;

/// Pace above which a server is no home.
const MAX_HOME_PACE: f64 = 2.5;

/// Distance of another failure domain of the region in objects: so many more may live nearer.
const DOMAIN_DISTANCE: f64 = 0.1;

/// Distance of another region in objects.
const REGION_DISTANCE: f64 = 0.4;

/// Bytes of a request and its answer that add an object to the distance of a failure domain.
const DOMAIN_BYTES_PER_OBJECT: f64 = 45_000.0;

/// Bytes of a request and its answer that add an object to the distance of a region.
const REGION_BYTES_PER_OBJECT: f64 = 20_000.0;

/// Part of the slots that may be taken more at a near server than at one to which the links there and
/// back take all the time that a target leaves beside the run.
const LINK_UTILIZATION: f64 = 0.6;

/// Part of the target that the time beside a run is at least, as run times are estimates.
const MIN_SLACK_PART: f64 = 0.1;

/// Objects that a home must have more than another server before one of them moves.
const MOVE_DIFFERENCE: f64 = 2.0;

/// Slots of the server that [`MOVE_DIFFERENCE`] and the distances stand for.
const USUAL_SLOTS: f64 = 3.0;

/// Added time for a server whose slots are all taken, so that free ones go first.
const LOAD_PENALTY_MS: f64 = 20.0;

/// Pause between two such moves of this instance, in a fleet of [`PACED_INSTANCES`].
const MOVE_PAUSE_MS: u64 = 400;

/// Pause between two moves of this instance away from busy servers, in a fleet of
/// [`PACED_INSTANCES`].
const RELIEF_PAUSE_MS: u64 = 250;

/// Instances for which the pauses between moves stand. They are longer in a larger fleet: each move
/// costs a first run, and servers whose first runs make them busy lose further objects.
const PACED_INSTANCES: f64 = 10.0;

/// First runs that a server may take for a request before it is taken for silent.
const PATIENT_RUNS: f64 = 2.0;

/// Pause between two moves of this instance to another region, in a fleet of [`PACED_INSTANCES`]. They
/// change where traffic runs.
const FAR_MOVE_PAUSE_MS: u64 = 2_000;

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
    pub estimate_key: u64,
    /// Object that it concerns.
    pub object_key: Option<u64>,
    /// Regions that may serve it. Empty allows all.
    pub home_regions: &'a [RegionName],
    /// Bytes of the body and, as far as known, of the answer.
    pub bytes: u64,
    /// Time from its arrival until the answer loses value.
    pub target_ms: f64,
    /// What is left of that time.
    pub target_left_ms: f64,
    /// Time left until the request is given up.
    pub left_ms: f64,
    /// A second run does harm.
    pub at_most_once: bool,
    /// Servers that it was sent to.
    pub tried: &'a [BackendServerName],
    /// A random number.
    pub jitter_seed: u64,
}

/// Instances and rates that bound what is sent to cold servers.
#[derive(Debug, Clone, Copy)]
pub struct ColdLimits<'a> {
    /// This instance.
    pub instance: &'a InstanceName,
    /// Live instances of this instance's region, this one included.
    pub region_instances: &'a [InstanceName],
    /// Requests a second that a cold server of the service tolerates from all instances.
    pub rate_per_s: f64,
    /// Requests that a cold server tolerates at once.
    pub burst: f64,
}

impl ColdLimits<'_> {
    /// Returns this instance's share of the rate of a cold server, or `None` if it may not send.
    fn share_per_s(&self, name: &BackendServerName) -> Option<f64> {
        let senders = cold_senders(name, self.region_instances, self.burst);
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
        /// Time after which a server that answers nothing is taken for silent.
        silence_timeout_ms: f64,
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

struct Candidate {
    name: BackendServerName,
    load: u32,
    wait_ms: f64,
    total_ms: f64,
    /// Time after which a server that answers nothing is taken for silent.
    silence_timeout_ms: f64,
    /// Time until the answer, and what the choice costs later requests.
    cost_ms: f64,
    is_home: bool,
    /// It handled the object lately, or the request has none.
    remembers: bool,
    cold_rate_per_s: f64,
}

impl Fleet {
    /// Chooses the server of a request.
    pub fn choose(&mut self, request: &Request<'_>, cold: &ColdLimits<'_>, now: Instant) -> Choice {
        let usable = self.usable(request, cold, now);
        if usable.is_empty() {
            return refuse(RefusalReason::NoServer, 500.0, request.jitter_seed);
        }
        let home =
            request.object_key.and_then(|object| self.home_of(object, request, &usable, now));
        let mut candidates: Vec<Candidate> = usable
            .into_iter()
            .filter_map(|(name, share)| self.candidate(request, name, share, home.as_ref(), now))
            .collect();
        candidates.sort_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
        let in_time = |c: &&Candidate| c.total_ms <= request.target_left_ms;
        let is_free = |c: &&Candidate| c.wait_ms == 0.0;
        let feasible = |c: &&Candidate| c.total_ms * NEEDED_PART <= request.left_ms;
        let home = candidates.iter().find(|c| c.is_home);
        let remembers = |c: &&Candidate| c.remembers;
        let is_warm = |c: &&Candidate| c.is_home || c.remembers;
        let chosen = home
            .filter(is_free)
            .filter(in_time)
            .or_else(|| candidates.iter().filter(is_warm).find(in_time))
            .or_else(|| home.filter(is_free).filter(feasible))
            .or_else(|| candidates.iter().filter(remembers).filter(is_free).find(feasible));
        let chosen = match (chosen, home, request.object_key) {
            (Some(chosen), ..) => Some(chosen),
            // A first run elsewhere makes another server forget an object, so the object moves.
            (None, Some(home), Some(object)) => {
                let next = self.relief(home, &candidates, now).filter(feasible);
                if let Some(next) = next {
                    self.moved_at = Some(now);
                    self.homes.assign(object, server_key(&next.name), now);
                }
                next
            }
            _ => candidates.iter().filter(is_free).find(feasible),
        };
        match (chosen, candidates.first()) {
            (Some(chosen), _) => send(chosen),
            (None, Some(best)) if best.wait_ms > 0.0 => {
                refuse(RefusalReason::Busy, best.wait_ms, request.jitter_seed)
            }
            (None, Some(_)) => refuse(RefusalReason::TooLate, 300.0, request.jitter_seed),
            (None, None) => refuse(RefusalReason::Busy, 400.0, request.jitter_seed),
        }
    }

    /// Returns a server that takes an object over from its busy home: one with a free slot on which
    /// fewer objects live.
    fn relief<'a>(
        &self,
        home: &Candidate,
        candidates: &'a [Candidate],
        now: Instant,
    ) -> Option<&'a Candidate> {
        if !self.may_move(RELIEF_PAUSE_MS, now) {
            return None;
        }
        let objects = |c: &Candidate| self.homes.objects_on(server_key(&c.name));
        candidates
            .iter()
            .filter(|c| c.wait_ms == 0.0 && objects(c) + 1 < objects(home))
            .min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms))
    }

    /// Returns whether the last move of this instance was long enough ago. `pause_ms` stands for a
    /// fleet of [`PACED_INSTANCES`].
    fn may_move(&self, pause_ms: u64, now: Instant) -> bool {
        let fleet_size = (self.instances as f64 / PACED_INSTANCES).max(1.0);
        let pause_ms = pause_ms as f64 * fleet_size;
        self.moved_at.is_none_or(|at| now.since_ms(at) as f64 >= pause_ms)
    }

    /// Returns the servers that may be used, with this instance's share of their rate.
    fn usable(
        &self,
        request: &Request<'_>,
        cold: &ColdLimits<'_>,
        now: Instant,
    ) -> Vec<(BackendServerName, f64)> {
        let Some(names) = self.by_service.get(request.service) else { return Vec::new() };
        let own_region = self.regions.get(&self.failure_domain);
        let servers = names.iter().filter_map(|name| Some((name, self.servers.get(name)?)));
        let mut usable: Vec<_> = servers
            .filter(|(name, server)| {
                !request.tried.contains(name) && self.is_usable(server, request, now)
            })
            .filter_map(|(name, server)| {
                if !server.is_cold(now) {
                    return Some((name, server, f64::INFINITY));
                }
                let near = own_region == Some(&server.region);
                let share =
                    cold.share_per_s(name).filter(|_| near && server.cold_rate.allows(now))?;
                Some((name, server, share))
            })
            .collect();
        let trusted = usable.iter().any(|(_, server, _)| !server.is_suspect());
        if trusted && request.at_most_once {
            usable.retain(|(_, server, _)| !server.is_suspect());
        }
        usable.into_iter().map(|(name, _, share)| (name.clone(), share)).collect()
    }

    fn is_usable(&self, server: &Server, request: &Request<'_>, now: Instant) -> bool {
        server.is_ready()
            && !self.evacuated.contains(&server.record.failure_domain)
            && (request.home_regions.is_empty() || request.home_regions.contains(&server.region))
            && !server.is_paused(now)
            && (!server.is_suspect() || server.own == 0)
    }

    /// Returns the home of an object. An object without a home that can be used gets a new one, and
    /// one whose home has many more objects than another server moves there.
    fn home_of(
        &mut self,
        object: u64,
        request: &Request<'_>,
        usable: &[(BackendServerName, f64)],
        now: Instant,
    ) -> Option<BackendServerName> {
        let known = self.homes.home(object, now).and_then(|key| self.by_key.get(&key)).cloned();
        // Only a server that fails needs to be compared with all others.
        let max_failures = LazyCell::new(|| self.max_home_failures(request.service, now));
        let is_fit = |server: &Server| {
            let failures = server.failure_rate(now);
            (failures <= MAX_HOME_FAILURES || failures <= *max_failures)
                && server.pace() <= MAX_HOME_PACE
        };
        let candidates = usable
            .iter()
            .filter_map(|(name, _)| Some((name, self.servers.get(name)?)))
            .filter(|(_, server)| is_fit(server) && !server.is_suspect());
        let best = candidates
            .map(|(name, server)| (self.crowding(name, server, request), name, server))
            .min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
        let Some((crowding, name, server)) = best else { return known };
        let Some(home) = known else {
            self.homes.assign(object, server_key(name), now);
            return Some(name.clone());
        };
        let current = self.servers.get(&home);
        // A home that was tried by this request or is cold is only avoided for now.
        let stays = current.is_some_and(|home| {
            home.record.service == *request.service
                && self.is_usable(home, request, now)
                && is_fit(home)
        });
        let Some(current) = current.filter(|_| stays) else {
            self.homes.assign(object, server_key(name), now);
            return Some(name.clone());
        };
        let is_far = current.region != server.region;
        let pause_ms = if is_far { FAR_MOVE_PAUSE_MS } else { MOVE_PAUSE_MS };
        if self.may_move(pause_ms, now)
            && crowding + MOVE_DIFFERENCE <= self.crowding(&home, current, request)
        {
            let name = name.clone();
            self.moved_at = Some(now);
            self.homes.assign(object, server_key(&name), now);
            return Some(name);
        }
        Some(home)
    }

    /// Returns the part of failed answers up to which a server of the service is a home.
    fn max_home_failures(&self, service: &ServiceName, now: Instant) -> f64 {
        let Some(names) = self.by_service.get(service) else { return MAX_HOME_FAILURES };
        let servers = names.iter().filter_map(|name| self.servers.get(name));
        let failures: f64 = servers.map(|server| server.failure_rate(now)).sum();
        MAX_HOME_FAILURES + failures / names.len().max(1) as f64
    }

    /// Returns whether a server that shed a request although it has room may be asked once more, as
    /// it fails no more than others of its service: it may remember the object, and another server
    /// would run the request several times as long.
    pub fn may_retry_same_server(&self, name: &BackendServerName, now: Instant) -> bool {
        self.servers.get(name).is_some_and(|server| {
            server.failure_rate(now) <= self.max_home_failures(&server.record.service, now)
        })
    }

    /// Returns how little a server is suited as a home: the objects that live on it for each slot
    /// of an ordinary server, and its distance.
    fn crowding(&self, name: &BackendServerName, server: &Server, request: &Request<'_>) -> f64 {
        let objects = f64::from(self.homes.objects_on(server_key(name)));
        let slots = f64::from(server.record.slots);
        let bytes = request.bytes as f64;
        let distance = if server.record.failure_domain == self.failure_domain {
            0.0
        } else if self.regions.get(&self.failure_domain) == Some(&server.region) {
            DOMAIN_DISTANCE + bytes / DOMAIN_BYTES_PER_OBJECT
        } else {
            REGION_DISTANCE + bytes / REGION_BYTES_PER_OBJECT
        };
        let link_slots =
            USUAL_SLOTS * LINK_UTILIZATION * self.link_part(&server.record.failure_domain, request);
        let link = link_slots / self.object_loads.slots(request.service);
        objects * USUAL_SLOTS / slots + distance + link
    }

    /// Returns the part of the time between the run and the target of a request that the links to a
    /// failure domain and back take, at most 1.
    fn link_part(&self, domain: &FailureDomainName, request: &Request<'_>) -> f64 {
        let warm_ms = self.run_times.expected_ms(request.estimate_key, true);
        let slack_ms = (request.target_ms - warm_ms).max(MIN_SLACK_PART * request.target_ms);
        (2.0 * self.link_delay_ms(domain) / slack_ms).min(1.0)
    }

    fn candidate(
        &self,
        request: &Request<'_>,
        name: BackendServerName,
        cold_rate_per_s: f64,
        home: Option<&BackendServerName>,
        now: Instant,
    ) -> Option<Candidate> {
        let server = self.servers.get(&name)?;
        let load = server.load(now);
        let slots = server.record.slots;
        if load >= slots + MAX_WAITING {
            return None;
        }
        let is_home = home == Some(&name);
        let warm = match request.object_key {
            Some(key) => is_home || server.warm.contains(key),
            None => true,
        };
        let warm_ms = self.run_times.expected_ms(request.estimate_key, true) * server.pace();
        let run_ms = self.run_times.expected_ms(request.estimate_key, warm) * server.pace();
        let wait_ms = if load < slots {
            0.0
        } else {
            f64::from(load - slots + 1) * warm_ms / f64::from(slots)
        };
        let total_ms = wait_ms + run_ms + 2.0 * self.link_delay_ms(&server.record.failure_domain);
        let first_ms = self.run_times.expected_ms(request.estimate_key, false) * server.pace();
        let silence_timeout_ms = total_ms - run_ms + PATIENT_RUNS * first_ms;
        let cost_ms = total_ms
            + (run_ms - warm_ms)
            + server.failure_rate(now) * FAILURE_PENALTY_MS
            + f64::from(load) / f64::from(slots) * LOAD_PENALTY_MS;
        let remembers = warm && !is_home;
        Some(Candidate {
            name,
            load,
            wait_ms,
            total_ms,
            cost_ms,
            silence_timeout_ms,
            is_home,
            remembers,
            cold_rate_per_s,
        })
    }
}

fn send(candidate: &Candidate) -> Choice {
    Choice::Send {
        server: candidate.name.clone(),
        load: candidate.load,
        expected_ms: candidate.total_ms,
        silence_timeout_ms: candidate.silence_timeout_ms,
        waits: candidate.wait_ms > 0.0,
        cold_rate_per_s: candidate.cold_rate_per_s,
    }
}

/// Refuses a request. Callers come back at different times, as they would otherwise meet again.
fn refuse(reason: RefusalReason, wait_ms: f64, jitter_seed: u64) -> Choice {
    let spread = 0.5 + (mix(jitter_seed) % 1_000) as f64 / 1_000.0;
    let retry_after_ms =
        (wait_ms * spread).clamp(RETRY_AFTER_RANGE_MS.0, RETRY_AFTER_RANGE_MS.1) as u64;
    Choice::Refuse { reason, retry_after_ms }
}

/// Identifies an object of a route, alike in all instances.
pub fn object_key(route: &str, key: &str) -> u64 {
    stable_hash(&[b"object", route.as_bytes(), key.as_bytes()])
}

/// Identifies the content of a request, alike in all instances, to recognise one that crashes
/// servers. It is no protection against content that is made to collide.
pub fn content_digest(parts: &[&[u8]]) -> Digest {
    let mut state = stable_hash(parts);
    let mut bytes = [0; 32];
    for chunk in bytes.chunks_mut(8) {
        chunk.copy_from_slice(&next_random(&mut state).to_be_bytes());
    }
    Digest::from_bytes(bytes)
}
