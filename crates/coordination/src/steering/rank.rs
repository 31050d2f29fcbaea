//! Chooses the backend server of a request from an order that all instances compute alike.
//!
//! This answers the load of a region with many instances. Each of them sees an object so seldom
//! that it learns nothing about the servers from its own requests, and a load that it hears from
//! its peers is over by the time it arrives. In the first seconds hundreds of objects need a home
//! before any instance has heard from another.
//!
//! Servers are ranked for each object by weighted rendezvous hashing, so the first server of the
//! order needs no agreement, survives restarts and changes for few objects when servers come and
//! go. One instance of the region assigns all requests of an object. It counts them exactly and
//! learns from the end of each. If that instance does not answer, the order alone decides. See
//! docs/platform.md, "Large regions".

use pollenshed_state::{
    ids::{BackendServerName, InstanceName},
    time::Instant,
};

use super::{
    fleet::{Fleet, ServerKey, server_key},
    place::{Candidate, MAX_HOME_FAILURE_RATE, MAX_HOME_SLOWDOWN, refuse, send},
    request::{Choice, ColdLimits, RefusalReason, Request},
    room::SlotLimit,
    server::Server,
};
use crate::membership::hash::{mix, stable_hash};

/// Servers of an object's order that are considered for a request.
const MAX_RANKED: usize = 8;

/// Weight of a server in this instance's region, relative to one in another region. A region with
/// few servers still leaves a part of its objects to others.
const OWN_REGION_WEIGHT: f64 = 6.0;

/// The same for requests with large bodies, which cost more on the links between regions.
const OWN_REGION_WEIGHT_LARGE_BODY: f64 = 24.0;

/// Pause between two further servers for the requests of one object. Each of them costs first runs,
/// and the last one takes part in the load only after its first run.
const WIDENING_PAUSE_MS: u64 = 1_000;

/// Further servers that an instance may give to objects for each request that it assigns. First runs
/// beyond a few make servers drop objects, and the requests for those need first runs as well.
const WIDENINGS_PER_REQUEST: f64 = 0.03;

/// Further servers that an instance may give to objects at once.
const MAX_WIDENINGS_AT_ONCE: f64 = 2.0;

/// Number of objects above which records of further servers are dropped that are out of date.
const MAX_WIDENED: usize = 4_096;

/// Returns the rank of an instance as the one that assigns the requests of an object. The highest
/// of the live instances of a region does.
pub fn assigner_rank(object: u64, instance: &InstanceName) -> u64 {
    mix(object ^ stable_hash(&[b"assigner", instance.as_str().as_bytes()]))
}

/// Paces the further servers that an instance gives to objects, over all objects.
#[derive(Debug, Clone)]
pub(super) struct WideningBudget {
    /// Number of further servers that may be given now.
    left: f64,
}

impl Default for WideningBudget {
    fn default() -> WideningBudget {
        WideningBudget { left: MAX_WIDENINGS_AT_ONCE }
    }
}

impl WideningBudget {
    fn record_request(&mut self) {
        self.left = (self.left + WIDENINGS_PER_REQUEST).min(MAX_WIDENINGS_AT_ONCE);
    }
}

/// A usable server in the order of an object.
struct Ranked<'a> {
    name: &'a BackendServerName,
    /// Whether the server should not be a home: it fails, is slow or suspect.
    is_unfit: bool,
    /// Position in the order; lower is better.
    order: f64,
}

impl Fleet {
    /// Chooses one of the servers whose load `limit` allows, see [`Fleet::choose_ranked`].
    pub(super) fn place_ranked(
        &mut self,
        request: &Request<'_>,
        cold: &ColdLimits<'_>,
        limit: SlotLimit,
        now: Instant,
    ) -> Choice {
        self.widening_budget.record_request();
        let candidates = self.ranked_candidates(request, cold, MAX_RANKED, now);
        let candidates = match candidates {
            Some(few) if few.is_empty() => self.ranked_candidates(request, cold, usize::MAX, now),
            candidates => candidates,
        };
        let Some(candidates) = candidates else {
            return self.refuse_unusable(request, now);
        };
        let in_time = |c: &&Candidate| c.is_in_time(request, limit);
        let is_free = |c: &&Candidate| c.wait_ms == 0.0;
        let feasible = |c: &&Candidate| c.is_feasible(request, limit);
        let is_warm = |c: &&Candidate| c.is_home || c.is_warm_non_home;
        let by_cost = |a: &&Candidate, b: &&Candidate| a.cost_ms.total_cmp(&b.cost_ms);
        let home = || candidates.iter().find(|c| c.is_home);
        let warm_elsewhere = || candidates.iter().filter(|c| c.is_warm_non_home);
        let chosen = home()
            .filter(is_free)
            .filter(in_time)
            .or_else(|| candidates.iter().filter(is_warm).filter(in_time).min_by(by_cost))
            .or_else(|| home().filter(is_free).filter(feasible))
            .or_else(|| warm_elsewhere().filter(is_free).filter(feasible).min_by(by_cost));
        if let Some(chosen) = chosen {
            return send(chosen);
        }
        let further = candidates.iter().filter(is_free).filter(feasible).filter(|c| !c.is_limited);
        let further = further.clone().find(|c| self.may_widen(request, &c.name, now));
        if let Some(further) = further {
            self.record_widening(request, &further.name, now);
            return send(further);
        }
        let mut free = candidates.iter().filter(is_free).filter(feasible).filter(|c| !c.is_limited);
        if let Some(reserved) = free.next().filter(|_| limit.takes_any_free) {
            return send(reserved);
        }
        match candidates.iter().min_by(by_cost) {
            Some(best) if best.wait_ms > 0.0 || !is_free(&best) => {
                refuse(RefusalReason::Busy, best.wait_ms, request.jitter_seed)
            }
            Some(best) if feasible(&best) => {
                refuse(RefusalReason::Busy, 300.0, request.jitter_seed)
            }
            Some(_) => refuse(RefusalReason::TooLate, 300.0, request.jitter_seed),
            None => refuse(RefusalReason::Busy, 400.0, request.jitter_seed),
        }
    }

    /// Returns the name of a server that another instance assigned to a request, unless it is known
    /// here that the server must not run the request.
    pub fn allowed_server(
        &self,
        key: ServerKey,
        request: &Request<'_>,
        now: Instant,
    ) -> Option<BackendServerName> {
        let server = self.server_by_key(key)?;
        let is_allowed = server.record.service == *request.service
            && self.may_run(server, request.home_regions)
            && !server.is_resting(now)
            && !request.tried.contains(&server.record.name);
        is_allowed.then(|| server.record.name.clone())
    }

    /// Returns the first usable servers in the order of the request's object, at most `max`, that
    /// have room in their queue. Returns `None` if no server of the service is usable.
    fn ranked_candidates(
        &self,
        request: &Request<'_>,
        cold: &ColdLimits<'_>,
        max: usize,
        now: Instant,
    ) -> Option<Vec<Candidate>> {
        let ranked = self.ranked(request, max, now);
        if ranked.is_empty() {
            return None;
        }
        let own_region = self.regions.get(&self.failure_domain);
        let usable: Vec<_> = ranked
            .into_iter()
            .filter_map(|ranked| {
                let server = self.servers.get(ranked.name)?;
                if !server.is_cold(now) {
                    return Some((ranked.name, f64::INFINITY));
                }
                let may_send = own_region == Some(&server.region) && server.cold_rate.allows(now);
                let share = may_send.then(|| cold.share_per_s(ranked.name)).flatten()?;
                Some((ranked.name, share))
            })
            .collect();
        let home = usable.first().map(|(name, _)| (*name).clone());
        let candidates = usable
            .into_iter()
            .filter(|(name, _)| self.limit_allows_assignment(name, now))
            .filter_map(|(name, share)| {
                self.candidate(request, name.clone(), share, home.as_ref(), now)
            });
        Some(candidates.collect())
    }

    /// Returns the first servers that may run the request in the order of its object, at most
    /// `max`, those that are fit to be a home first.
    fn ranked(&self, request: &Request<'_>, max: usize, now: Instant) -> Vec<Ranked<'_>> {
        let Some(names) = self.by_service.get(request.service) else { return Vec::new() };
        // Requests without an object are spread over all servers.
        let object = request.object_key.unwrap_or_else(|| mix(request.jitter_seed));
        let mut max_failure_rate = None;
        let mut ranked: Vec<Ranked<'_>> = Vec::with_capacity(max.min(names.len()) + 1);
        for name in names {
            let Some(server) = self.servers.get(name) else { continue };
            if request.tried.contains(name) || !self.is_usable(server, request, now) {
                continue;
            }
            let failure_rate = server.failure_rate(now);
            let fails = failure_rate > MAX_HOME_FAILURE_RATE
                && failure_rate
                    > *max_failure_rate
                        .get_or_insert_with(|| self.max_home_failure_rate(request.service, now));
            let entry = Ranked {
                name,
                is_unfit: fails || server.is_suspect() || server.slowdown() > MAX_HOME_SLOWDOWN,
                order: self.order(object, server, request),
            };
            let is_before =
                |a: &Ranked<'_>, b: &Ranked<'_>| (a.is_unfit, a.order) < (b.is_unfit, b.order);
            if ranked.len() >= max && ranked.last().is_some_and(|last| !is_before(&entry, last)) {
                continue;
            }
            let at = ranked.partition_point(|known| is_before(known, &entry));
            ranked.insert(at, entry);
            ranked.truncate(max);
        }
        let has_unsuspected =
            ranked.iter().any(|r| self.servers.get(r.name).is_some_and(|s| !s.is_suspect()));
        if has_unsuspected && request.at_most_once {
            ranked.retain(|r| self.servers.get(r.name).is_some_and(|s| !s.is_suspect()));
        }
        ranked
    }

    /// Returns the position of a server in the order of an object, by weighted rendezvous hashing:
    /// the chance of a server to be the first is proportional to its weight.
    fn order(&self, object: u64, server: &Server, request: &Request<'_>) -> f64 {
        let hash = mix(object ^ server.rank_hash);
        // The upper 53 bits, as a number between 0 and 1 that is never 0.
        let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
        let is_near = self.regions.get(&self.failure_domain) == Some(&server.region);
        let locality = match (is_near, request.has_large_body) {
            (false, _) => 1.0,
            (true, false) => OWN_REGION_WEIGHT,
            (true, true) => OWN_REGION_WEIGHT_LARGE_BODY,
        };
        -uniform.ln() / (f64::from(server.record.slots) * locality)
    }

    /// Returns whether requests of the object may get this further server, which is not warm for
    /// it.
    fn may_widen(&self, request: &Request<'_>, name: &BackendServerName, now: Instant) -> bool {
        let Some(object) = request.object_key else { return true };
        let has_budget = self.widening_budget.left >= 1.0;
        match self.widened.get(&object) {
            Some((_, server)) if *server == server_key(name) => true,
            Some((at, _)) => has_budget && now.since_ms(*at) >= WIDENING_PAUSE_MS,
            None => has_budget,
        }
    }

    fn record_widening(&mut self, request: &Request<'_>, name: &BackendServerName, now: Instant) {
        let Some(object) = request.object_key else { return };
        let server = server_key(name);
        if self.widened.get(&object).is_some_and(|(_, known)| *known == server) {
            return;
        }
        self.widening_budget.left -= 1.0;
        if self.widened.len() >= MAX_WIDENED {
            self.widened.retain(|_, (at, _)| now.since_ms(*at) < WIDENING_PAUSE_MS);
        }
        self.widened.insert(object, (now, server));
    }
}
