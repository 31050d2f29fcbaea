//! Chooses the backend server of a request, or refuses it.
//!
//! A request goes to the home of its object if that has a free slot, or else to the fastest server
//! that is warm for the object, as long as the answer is expected within the target. Otherwise it
//! takes a free slot where it is expected to end before its deadline, on a warm server if possible.
//! If there is none, it is refused, since a queue of late requests would make those behind it late
//! as well. This limits the effect of load above the capacity of the fleet, and of objects with
//! more load than one server can run.

use std::cell::LazyCell;

use pollenshed_state::{
    ids::{BackendServerName, Digest, FailureDomainName, RegionName, ServiceName},
    time::Instant,
};

use super::{
    fleet::{Fleet, server_key},
    request::{Choice, ColdLimits, RefusalReason, Request},
    room::SlotLimit,
    server::Server,
    stated_pace,
};
use crate::membership::hash::{mix, next_random, stable_hash};

/// Largest number of requests that wait at a server. Servers shed requests beyond a few.
const MAX_WAITING: u32 = 8;

/// Cost in time of a server all of whose answers fail. It is scaled by the failure rate.
const FAILURE_PENALTY_MS: f64 = 2_000.0;

/// Failure rate, beyond the average of the service, above which a server can't be a home. An object
/// that leaves a server which fails no more than the others costs a first run for nothing.
pub(super) const MAX_HOME_FAILURE_RATE: f64 = 0.3;

/// Slowdown above which a server can't be a home.
pub(super) const MAX_HOME_SLOWDOWN: f64 = 2.5;

/// Cost, in objects, of a home in another failure domain of the region, in addition to the bytes
/// and the links. A server of this instance's failure domain may be the home of that many more
/// objects.
const OTHER_DOMAIN_DISTANCE: f64 = 0.1;

/// Cost, in objects, of a home in another region, in addition to the bytes and the links.
const OTHER_REGION_DISTANCE: f64 = 0.4;

/// Bytes of a request and its answer that raise the cost of another failure domain by one object.
const OTHER_DOMAIN_BYTES_PER_OBJECT: f64 = 45_000.0;

/// Bytes of a request and its answer that raise the cost of another region by one object.
const OTHER_REGION_BYTES_PER_OBJECT: f64 = 20_000.0;

/// Share of its slots by which a near server may be busier than a distant one, if the round trip to
/// the distant one takes all the time that the target leaves beside the run.
const MAX_LINK_COST_RATIO: f64 = 0.6;

/// Lower bound of the time that a target leaves beside the run, relative to the target. It is there
/// because run times are estimates.
const MIN_SLACK_RATIO: f64 = 0.1;

/// Number of objects by which the cost of a home must exceed that of another server before an
/// object moves there.
const MIN_MOVE_GAIN: f64 = 2.0;

/// Number of objects by which the servers of the region that was drawn for a new object may exceed
/// those of another one. Beyond it, the draw has misjudged the load of the regions.
const MAX_REGION_EXCESS: f64 = 2.0;

/// Slots of the server for which [`MIN_MOVE_GAIN`] and the costs in objects are given.
pub(super) const REFERENCE_SLOTS: f64 = 3.0;

/// Cost in time of a server whose slots are all taken, so that free slots are used first. It is
/// scaled by the load.
const LOAD_PENALTY_MS: f64 = 20.0;

/// Pause between two moves of this instance within a region from homes with too many objects, in a
/// fleet of [`REFERENCE_INSTANCES`].
const MOVE_PAUSE_MS: u64 = 400;

/// Pause between two moves of this instance from busy homes, in a fleet of [`REFERENCE_INSTANCES`].
const BUSY_MOVE_PAUSE_MS: u64 = 250;

/// Number of instances for which the pauses between moves are given. Pauses are longer with more
/// instances: each move costs a first run, and servers that are busy with first runs lose further
/// objects.
const REFERENCE_INSTANCES: f64 = 10.0;

/// Time, in first runs, that a server may take for a run before it counts as silent.
const SILENCE_RUNS: f64 = 2.0;

/// Pause between two moves of this instance to another region, in a fleet of
/// [`REFERENCE_INSTANCES`]. Such moves shift traffic between regions.
const OTHER_REGION_MOVE_PAUSE_MS: u64 = 2_000;

/// Share of the expected time that a request must have left until its deadline. It is below 1
/// because estimates vary.
const MIN_LEFT_RATIO: f64 = 0.8;

/// Rest of a server up to which it stays the home of its objects. A move costs a first run.
const MAX_HOME_REST_MS: u64 = 1_000;

/// Bounds of the time after which a refused caller is asked to retry.
const RETRY_AFTER_RANGE_MS: (f64, f64) = (50.0, 3_000.0);

pub(super) struct Candidate {
    pub(super) name: BackendServerName,
    load: u32,
    slots: u32,
    pub(super) wait_ms: f64,
    pub(super) total_ms: f64,
    silence_timeout_ms: f64,
    /// Expected time until the answer, plus penalties for a first run, failures and load.
    pub(super) cost_ms: f64,
    pub(super) is_home: bool,
    /// The server is not the home but warm for the object, or the request has no object.
    pub(super) is_warm_non_home: bool,
    cold_rate_per_s: f64,
    /// The server limits its requests, so that those of other servers' objects should not use it.
    pub(super) is_limited: bool,
    /// The server states how long work takes on its machine.
    states_pace: bool,
}

impl Candidate {
    /// Returns whether the server may get the request and is expected to answer within the target
    /// and before the deadline.
    pub(super) fn is_in_time(&self, request: &Request<'_>, limit: SlotLimit) -> bool {
        self.total_ms <= request.target_left_ms.min(request.left_ms)
            && limit.allows(self.load, self.slots)
    }

    /// Returns whether the server may get the request and can answer before the deadline.
    pub(super) fn is_feasible(&self, request: &Request<'_>, limit: SlotLimit) -> bool {
        self.total_ms * MIN_LEFT_RATIO <= request.left_ms && limit.allows(self.load, self.slots)
    }
}

impl Fleet {
    /// Chooses one of the servers whose load `limit` allows, see [`Fleet::choose`].
    pub(super) fn place(
        &mut self,
        request: &Request<'_>,
        cold: &ColdLimits<'_>,
        limit: SlotLimit,
        now: Instant,
    ) -> Choice {
        let usable = self.usable(request, cold, now);
        if usable.is_empty() {
            return self.refuse_unusable(request, now);
        }
        let home =
            request.object_key.and_then(|object| self.home_of(object, request, &usable, now));
        let mut candidates: Vec<Candidate> = usable
            .into_iter()
            .filter(|(name, _)| self.limit_allows(name, now))
            .filter_map(|(name, share)| self.candidate(request, name, share, home.as_ref(), now))
            .collect();
        candidates.sort_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
        if request.object_key.is_none() && candidates.iter().any(|c| c.states_pace) {
            let region = |c: &Candidate| self.servers.get(&c.name).map(|server| &server.region);
            let best_region = candidates.first().and_then(region);
            let is_near = |c: &Candidate| region(c) == best_region;
            stated_pace::put_better_of_two_first(&mut candidates, is_near, request.jitter_seed);
        }
        let in_time = |c: &&Candidate| c.is_in_time(request, limit);
        let is_free = |c: &&Candidate| c.wait_ms == 0.0;
        let feasible = |c: &&Candidate| c.is_feasible(request, limit);
        let home = candidates.iter().find(|c| c.is_home);
        let is_warm_non_home = |c: &&Candidate| c.is_warm_non_home;
        let is_warm = |c: &&Candidate| c.is_home || c.is_warm_non_home;
        let takes_others = |c: &&Candidate| !c.is_limited || request.object_key.is_none();
        let chosen = home
            .filter(is_free)
            .filter(in_time)
            .or_else(|| candidates.iter().filter(is_warm).find(in_time))
            .or_else(|| home.filter(is_free).filter(feasible))
            .or_else(|| candidates.iter().filter(is_warm_non_home).filter(is_free).find(feasible));
        let chosen = match (chosen, home, request.object_key) {
            (Some(chosen), ..) => Some(chosen),
            // A first run elsewhere makes that server drop another object, so this object moves
            // there.
            (None, Some(home), Some(object)) => {
                let target = self.relocation_target(home, &candidates, now).filter(feasible);
                if let Some(target) = target {
                    self.moved_at = Some(now);
                    self.homes.assign(object, server_key(&target.name), now);
                }
                target.or_else(|| {
                    let mut free = candidates.iter().filter(is_free).filter(takes_others);
                    free.find(feasible).filter(|_| limit.takes_any_free)
                })
            }
            _ => candidates.iter().filter(is_free).filter(takes_others).find(feasible),
        };
        match (chosen, candidates.first()) {
            (Some(chosen), _) => send(chosen),
            (None, Some(best)) if best.wait_ms > 0.0 => {
                refuse(RefusalReason::Busy, best.wait_ms, request.jitter_seed)
            }
            // It is free, but the object may not move there yet.
            (None, Some(best)) if feasible(&best) => {
                refuse(RefusalReason::Busy, 300.0, request.jitter_seed)
            }
            (None, Some(_)) => refuse(RefusalReason::TooLate, 300.0, request.jitter_seed),
            (None, None) => refuse(RefusalReason::Busy, 400.0, request.jitter_seed),
        }
    }

    /// Returns the best server to which an object can move from its busy home: one that has a free
    /// slot and is the home of fewer objects. Returns `None` during the pause between two moves.
    fn relocation_target<'a>(
        &self,
        home: &Candidate,
        candidates: &'a [Candidate],
        now: Instant,
    ) -> Option<&'a Candidate> {
        if !self.may_move(BUSY_MOVE_PAUSE_MS, now) {
            return None;
        }
        let objects = |c: &Candidate| self.homes.objects_on(server_key(&c.name));
        let region = |c: &Candidate| self.servers.get(&c.name).map(|server| &server.region);
        let may_change_region = self.may_move(OTHER_REGION_MOVE_PAUSE_MS, now);
        candidates
            .iter()
            .filter(|c| c.wait_ms == 0.0 && !c.is_limited && objects(c) + 1 < objects(home))
            .filter(|c| may_change_region || region(c) == region(home))
            .min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms))
    }

    /// Returns whether the last move of this instance was long enough ago. `pause_ms` is the pause
    /// for a fleet of [`REFERENCE_INSTANCES`].
    fn may_move(&self, pause_ms: u64, now: Instant) -> bool {
        let pause_factor = (self.instance_count as f64 / REFERENCE_INSTANCES).max(1.0);
        let pause_ms = pause_ms as f64 * pause_factor;
        self.moved_at.is_none_or(|at| now.since_ms(at) as f64 >= pause_ms)
    }

    /// Returns the servers that may run the request, with this instance's share of their rate,
    /// which is infinite unless the server is cold.
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
                let is_own_region = own_region == Some(&server.region);
                let share = cold
                    .share_per_s(name)
                    .filter(|_| is_own_region && server.cold_rate.allows(now))?;
                Some((name, server, share))
            })
            .collect();
        let has_unsuspected = usable.iter().any(|(_, server, _)| !server.is_suspect());
        if has_unsuspected && request.at_most_once {
            usable.retain(|(_, server, _)| !server.is_suspect());
        }
        usable.into_iter().map(|(name, _, share)| (name.clone(), share)).collect()
    }

    /// Returns whether operators and the server itself allow the server to run the request.
    pub(super) fn may_run(&self, server: &Server, home_regions: &[RegionName]) -> bool {
        server.is_ready()
            && !self.evacuated.contains(&server.record.failure_domain)
            && (home_regions.is_empty() || home_regions.contains(&server.region))
    }

    pub(super) fn is_usable(&self, server: &Server, request: &Request<'_>, now: Instant) -> bool {
        self.may_run(server, request.home_regions)
            && !server.is_paused(now)
            && !server.is_resting(now)
            && (!server.is_suspect() || server.own_requests.max(server.assigned_requests) == 0)
    }

    fn rests_shortly(&self, server: &Server, request: &Request<'_>, now: Instant) -> bool {
        let rest_ms = server.rest_left_ms(now);
        self.may_run(server, request.home_regions) && rest_ms > 0 && rest_ms <= MAX_HOME_REST_MS
    }

    /// Refuses a request for which no server is usable. If all of them rest, the caller is told
    /// when the first one is back.
    pub(super) fn refuse_unusable(&self, request: &Request<'_>, now: Instant) -> Choice {
        let return_after_ms =
            self.return_after_ms(request.service, request.home_regions, request.jitter_seed, now);
        match return_after_ms {
            Some(retry_after_ms) => Choice::Refuse { reason: RefusalReason::Busy, retry_after_ms },
            None => refuse(RefusalReason::NoServer, 500.0, request.jitter_seed),
        }
    }

    /// Returns the home of an object. An object without a usable home is assigned to a new one. An
    /// object whose home costs much more than another server moves there.
    fn home_of(
        &mut self,
        object: u64,
        request: &Request<'_>,
        usable: &[(BackendServerName, f64)],
        now: Instant,
    ) -> Option<BackendServerName> {
        let known = self.homes.home(object, now).and_then(|key| self.by_key.get(&key)).cloned();
        // The average of the service is only needed for a server that fails.
        let max_failure_rate = LazyCell::new(|| self.max_home_failure_rate(request.service, now));
        let is_fit = |server: &Server| {
            let failure_rate = server.failure_rate(now);
            (failure_rate <= MAX_HOME_FAILURE_RATE || failure_rate <= *max_failure_rate)
                && server.slowdown() <= MAX_HOME_SLOWDOWN
        };
        let fit: Vec<_> = usable
            .iter()
            .filter_map(|(name, _)| Some((name, self.servers.get(name)?)))
            .filter(|(_, server)| is_fit(server) && !server.is_suspect())
            .collect();
        let current = known.as_ref().and_then(|home| Some((home, self.servers.get(home)?)));
        // Having been tried by this request, being cold or a short rest is no reason to replace a
        // home.
        let stays = current.filter(|(_, home)| {
            home.record.service == *request.service
                && (self.is_usable(home, request, now) || self.rests_shortly(home, request, now))
                && is_fit(home)
        });
        let Some((home, current)) = stays else {
            // A home that has to be replaced leaves its requests in their region.
            let region = match current {
                Some((_, home)) => Some(home.region.clone()),
                None => {
                    self.draw_region(object, request, fit.iter().map(|(_, server)| *server), now)
                }
            };
            let new_home = region.and_then(|region| {
                let cost =
                    |name: &_, server: &_| self.new_home_cost(name, server, &region, request, now);
                best_home(&fit, object, cost)
            });
            let Some((_, name, _)) = new_home else { return known };
            self.homes.assign(object, server_key(name), now);
            return Some(name.clone());
        };
        let best =
            best_home(&fit, object, |name, server| self.home_cost(name, server, request, now));
        let Some((cost, name, server)) = best else { return known };
        let is_other_region = current.region != server.region;
        let pause_ms = if is_other_region { OTHER_REGION_MOVE_PAUSE_MS } else { MOVE_PAUSE_MS };
        if self.may_move(pause_ms, now)
            && cost + MIN_MOVE_GAIN <= self.home_cost(home, current, request, now)
        {
            let name = name.clone();
            self.moved_at = Some(now);
            self.homes.assign(object, server_key(&name), now);
            return Some(name);
        }
        known
    }

    /// Returns the failure rate up to which a server of the service can be a home.
    pub(super) fn max_home_failure_rate(&self, service: &ServiceName, now: Instant) -> f64 {
        let Some(names) = self.by_service.get(service) else { return MAX_HOME_FAILURE_RATE };
        let servers = names.iter().filter_map(|name| self.servers.get(name));
        let total_rate: f64 = servers.map(|server| server.failure_rate(now)).sum();
        MAX_HOME_FAILURE_RATE + total_rate / names.len().max(1) as f64
    }

    /// Returns whether a request may be sent again to a server that shed it although it has free
    /// slots: the server must not fail much more often than others of its service. It may be warm
    /// for the object, and a first run on another server would take several times as long.
    pub fn may_retry_same_server(&self, name: &BackendServerName, now: Instant) -> bool {
        self.servers.get(name).is_some_and(|server| {
            server.failure_rate(now) <= self.max_home_failure_rate(&server.record.service, now)
        })
    }

    /// Returns the cost of a server as the home of the request's object: the number of objects that
    /// have their home there, scaled to [`REFERENCE_SLOTS`], plus the cost of its distance.
    fn home_cost(
        &self,
        name: &BackendServerName,
        server: &Server,
        request: &Request<'_>,
        now: Instant,
    ) -> f64 {
        self.scaled_objects(name, server, request, now) + self.distance_cost(server, request)
    }

    /// Returns the cost of a server as the first home of the request's object, which prefers the
    /// servers of `region`. The choice of the region has taken the distance to it into account.
    fn new_home_cost(
        &self,
        name: &BackendServerName,
        server: &Server,
        region: &RegionName,
        request: &Request<'_>,
        now: Instant,
    ) -> f64 {
        let is_near = self.regions.get(&self.failure_domain) == Some(&server.region);
        let objects = self.scaled_objects(name, server, request, now);
        match (server.region == *region, is_near) {
            (true, false) => objects - MAX_REGION_EXCESS,
            (true, true) => objects + self.distance_cost(server, request) - MAX_REGION_EXCESS,
            (false, _) => objects + self.distance_cost(server, request),
        }
    }

    /// Returns the number of objects that have their home on a server, scaled to
    /// [`REFERENCE_SLOTS`]. A server that limits its requests counts with the slots that it can use.
    pub(super) fn scaled_objects(
        &self,
        name: &BackendServerName,
        server: &Server,
        request: &Request<'_>,
        now: Instant,
    ) -> f64 {
        let objects = f64::from(self.homes.objects_on(server_key(name)));
        let run_ms = self.run_times.expected_ms(request.estimate_key, true);
        let slots = server.statements.rate_limit.usable_slots(server.record.slots, run_ms, now);
        objects * REFERENCE_SLOTS / slots
    }

    /// Returns the cost of the distance to a server, in objects.
    pub(super) fn distance_cost(&self, server: &Server, request: &Request<'_>) -> f64 {
        let bytes = request.bytes as f64;
        let distance = if server.record.failure_domain == self.failure_domain {
            0.0
        } else if self.regions.get(&self.failure_domain) == Some(&server.region) {
            OTHER_DOMAIN_DISTANCE + bytes / OTHER_DOMAIN_BYTES_PER_OBJECT
        } else {
            OTHER_REGION_DISTANCE + bytes / OTHER_REGION_BYTES_PER_OBJECT
        };
        let link_slots = REFERENCE_SLOTS
            * MAX_LINK_COST_RATIO
            * self.link_slack_ratio(&server.record.failure_domain, request);
        distance + link_slots / self.object_loads.slots(request.service)
    }

    /// Returns the share of the time that the target leaves beside a warm run which the round trip
    /// to a failure domain takes, at most 1.
    fn link_slack_ratio(&self, domain: &FailureDomainName, request: &Request<'_>) -> f64 {
        let warm_ms = self.run_times.expected_ms(request.estimate_key, true);
        let slack_ms = (request.target_ms - warm_ms).max(MIN_SLACK_RATIO * request.target_ms);
        (2.0 * self.link_delay_ms(domain) / slack_ms).min(1.0)
    }

    /// Estimates the times and the cost of running a request on a server. Returns `None` if too
    /// many requests wait there.
    pub(super) fn candidate(
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
        if load >= slots.saturating_add(MAX_WAITING) {
            return None;
        }
        let is_home = home == Some(&name);
        let warm = match request.object_key {
            Some(key) => is_home || server.warm.contains(key),
            None => true,
        };
        let expected_ms = |warm| {
            let usual_ms =
                self.run_times.expected_ms(request.estimate_key, warm) * server.slowdown();
            usual_ms * server.statements.pace.factor(usual_ms, now)
        };
        let warm_ms = expected_ms(true);
        let run_ms = expected_ms(warm);
        let wait_ms = if load < slots {
            0.0
        } else {
            let mean_ms = self.rooms.mean_run_ms(request.service, now);
            let ended_ms = mean_ms.map_or(warm_ms, |mean_ms| mean_ms * server.slowdown());
            f64::from(load - slots + 1) * ended_ms / f64::from(slots)
        };
        let total_ms = wait_ms + run_ms + 2.0 * self.link_delay_ms(&server.record.failure_domain);
        let first_ms = expected_ms(false);
        let silence_timeout_ms = total_ms - run_ms + SILENCE_RUNS * first_ms;
        let cost_ms = total_ms
            + (run_ms - warm_ms)
            + server.failure_rate(now) * FAILURE_PENALTY_MS
            + f64::from(load) / f64::from(slots) * LOAD_PENALTY_MS;
        let is_warm_non_home = warm && !is_home;
        Some(Candidate {
            name,
            load,
            slots,
            wait_ms,
            total_ms,
            cost_ms,
            silence_timeout_ms,
            is_home,
            is_warm_non_home,
            cold_rate_per_s,
            is_limited: server.statements.rate_limit.in_force(now).is_some(),
            states_pace: server.statements.pace.is_stated(),
        })
    }
}

/// Returns the server with the lowest cost, with its cost. Of several, it is the first in an order
/// that is the same in all instances and another one for each object. Instances that place objects
/// before they have heard of each other then use all servers, and the same one for an object.
fn best_home<'a>(
    servers: &[(&'a BackendServerName, &'a Server)],
    object: u64,
    cost: impl Fn(&BackendServerName, &Server) -> f64,
) -> Option<(f64, &'a BackendServerName, &'a Server)> {
    let costs = servers.iter().map(|(name, server)| (cost(name, server), *name, *server));
    let order = |server: &Server| mix(object ^ server.rank_hash);
    costs.min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| order(a.2).cmp(&order(b.2))))
}

pub(super) fn send(candidate: &Candidate) -> Choice {
    Choice::Send {
        server: candidate.name.clone(),
        load: candidate.load,
        expected_ms: candidate.total_ms,
        silence_timeout_ms: candidate.silence_timeout_ms,
        waits: candidate.wait_ms > 0.0,
        cold_rate_per_s: candidate.cold_rate_per_s,
    }
}

/// Refuses a request. The retry times of callers are spread, as they would otherwise all retry at
/// once.
pub(super) fn refuse(reason: RefusalReason, wait_ms: f64, jitter_seed: u64) -> Choice {
    let jitter = 0.5 + (mix(jitter_seed) % 1_000) as f64 / 1_000.0;
    let retry_after_ms =
        (wait_ms * jitter).clamp(RETRY_AFTER_RANGE_MS.0, RETRY_AFTER_RANGE_MS.1) as u64;
    Choice::Refuse { reason, retry_after_ms }
}

/// Returns the key of an object of a route, the same in all instances.
pub fn object_key(route: &str, key: &str) -> u64 {
    stable_hash(&[b"object", route.as_bytes(), key.as_bytes()])
}

/// Returns the key of a workspace, the same in all instances.
pub fn workspace_key(name: &str) -> u64 {
    stable_hash(&[b"workspace", name.as_bytes()])
}

/// Returns a digest of the content of a request, the same in all instances, by which requests that
/// crash servers are recognised. It does not protect against content that is made to collide.
pub fn content_digest(parts: &[&[u8]]) -> Digest {
    let mut state = stable_hash(parts);
    let mut bytes = [0; 32];
    for chunk in bytes.chunks_mut(8) {
        chunk.copy_from_slice(&next_random(&mut state).to_be_bytes());
    }
    Digest::from_bytes(bytes)
}
