//! Choice of the next request to dispatch, and of its server.

use pollenshed_state::{
    ids::{BackendServerName, ServiceName},
    time::Instant,
};

use super::{
    Assignment, RefusalReason, Scheduler, StartDecision, Work, WorkId, scheduler::Run,
    server::Server,
};

/// Maximum number of parked requests of a service. Each call of `next` scans all of them.
const MAX_PARKED: usize = 32;
/// Minimum time left to the deadline for a dispatch, as a ratio of the mean service time. A ratio
/// of 1 would refuse requests that run faster than the mean.
const MIN_TIME_LEFT_RATIO: f64 = 0.5;
/// The same ratio while other requests of the service and rank are queued. Without a margin above
/// the mean, a long queue serves its requests just before their deadlines, and each request that
/// misses its deadline wastes a slot.
const MIN_TIME_LEFT_RATIO_IN_QUEUE: f64 = 1.5;

/// Result of looking at the heads of the queues.
enum Step {
    Assigned(Assignment),
    /// A request was parked or refused, so the queues have new heads.
    QueueChanged,
    NothingToStart,
}

impl Scheduler {
    /// Returns the next request to dispatch now. Call it until it returns `None`.
    ///
    /// It also refuses requests that cannot finish before their deadline or may not run on any
    /// server; the next `expire` returns them.
    pub fn next(&mut self, now: Instant) -> Option<Assignment> {
        self.release_abandoned(now);
        let services: Vec<ServiceName> = self
            .services
            .iter()
            .filter(|(_, state)| state.queued() > 0)
            .map(|(name, _)| name.clone())
            .collect();
        services.iter().find_map(|service| self.next_for_service(service, now))
    }

    fn next_for_service(&mut self, service: &ServiceName, now: Instant) -> Option<Assignment> {
        self.advance_shares(service, now);
        loop {
            let mut free = self.free_servers(service, now);
            if let Some(assignment) = self.try_parked(service, &mut free, now) {
                return Some(assignment);
            }
            if free.is_empty() {
                return None;
            }
            match self.try_queues(service, &free, now) {
                Step::Assigned(assignment) => return Some(assignment),
                Step::QueueChanged => {}
                Step::NothingToStart => return None,
            }
        }
    }

    /// Returns the service's servers with a free slot, the least loaded first.
    fn free_servers(&self, service: &ServiceName, now: Instant) -> Vec<BackendServerName> {
        let Some(state) = self.services.get(service) else { return Vec::new() };
        let mut free: Vec<_> = state
            .servers
            .iter()
            .filter_map(|name| {
                let server = self.servers.get(name)?;
                let limit = server.limit(now, &self.policy);
                let is_free = server.lone_run.is_none() && server.in_use < limit;
                is_free.then(|| (server.in_use * 1000 / limit, name.clone()))
            })
            .collect();
        free.sort();
        free.into_iter().map(|(_, name)| name).collect()
    }

    fn free_slots(&self, service: &ServiceName, now: Instant) -> u64 {
        let Some(state) = self.services.get(service) else { return 0 };
        let servers = state.servers.iter().filter_map(|name| self.servers.get(name));
        servers
            .filter(|server| server.lone_run.is_none())
            .map(|server| server.limit(now, &self.policy).saturating_sub(server.in_use))
            .sum()
    }

    /// Assigns a parked request if one can run. For the first suspect that cannot, it removes a
    /// server from `free`, so that this server becomes empty.
    fn try_parked(
        &mut self,
        service: &ServiceName,
        free: &mut Vec<BackendServerName>,
        now: Instant,
    ) -> Option<Assignment> {
        let ids: Vec<WorkId> = self.services.get(service)?.parked.values().copied().collect();
        let mut may_hold_server = !self.has_lone_run(service);
        for id in ids {
            let Some(work) = self.queued.get(&id).map(|queued| &queued.work) else { continue };
            if let Err(reason) = self.check_start(work, now) {
                self.refuse(id, reason, now);
            } else if self.quarantine.is_suspect(&work.content, now) {
                if !may_hold_server {
                    continue;
                }
                let Some(server) = self.least_used_for_suspect(work, now) else { continue };
                if self.servers.get(&server).is_some_and(|s| s.in_use == 0) {
                    return self.start(id, server, true, now);
                }
                may_hold_server = false;
                free.retain(|name| *name != server);
            } else if let Some(server) = self.server_for(work, free, now) {
                return self.start(id, server, false, now);
            }
        }
        None
    }

    /// Tries the first request of each rank, in the order of `Shares::rank_order`, until one is
    /// assigned, parked or refused.
    fn try_queues(
        &mut self,
        service: &ServiceName,
        free: &[BackendServerName],
        now: Instant,
    ) -> Step {
        let Some(state) = self.services.get(service) else { return Step::NothingToStart };
        let can_lend = self.free_slots(service, now) > self.policy.reserved_slots;
        for rank in state.shares.rank_order() {
            if !can_lend && self.services.get(service).is_some_and(|s| s.shares.would_borrow(rank))
            {
                continue;
            }
            let Some(id) = self.services.get(service).and_then(|s| s.ranks[rank].head()) else {
                continue;
            };
            let Some(work) = self.queued.get(&id).map(|queued| &queued.work) else { continue };
            if let Err(reason) = self.check_start(work, now) {
                self.refuse(id, reason, now);
                return Step::QueueChanged;
            }
            let is_suspect = self.quarantine.is_suspect(&work.content, now);
            if !is_suspect && let Some(server) = self.server_for(work, free, now) {
                return self
                    .start(id, server, false, now)
                    .map_or(Step::NothingToStart, Step::Assigned);
            }
            if self.services.get(service).is_some_and(|s| s.parked.len() < MAX_PARKED) {
                self.park(id, now);
                return Step::QueueChanged;
            }
            if is_suspect {
                self.refuse(id, RefusalReason::Quarantined, now);
                return Step::QueueChanged;
            }
        }
        Step::NothingToStart
    }

    /// Checks that the request can finish in time and that a server may run it.
    fn check_start(&self, work: &Work, now: Instant) -> Result<(), RefusalReason> {
        let rank = work.rank.index();
        let needed_us = self.services.get(&work.service).map_or(0.0, |state| {
            let others_wait = state.ranks[rank].len() > 1;
            let ratio =
                if others_wait { MIN_TIME_LEFT_RATIO_IN_QUEUE } else { MIN_TIME_LEFT_RATIO };
            state.rank_service_time[rank].decayed_us(now) * ratio
        });
        if now.plus_us(needed_us as u64) >= work.deadline {
            return Err(RefusalReason::Deadline);
        }
        if self.quarantine.is_refused(&work.content, now) {
            return Err(RefusalReason::Quarantined);
        }
        self.check_servers(work, now)
    }

    /// Returns the first free server on which the request may start.
    fn server_for(
        &self,
        work: &Work,
        free: &[BackendServerName],
        now: Instant,
    ) -> Option<BackendServerName> {
        free.iter()
            .find(|name| {
                !work.excluded.contains(*name)
                    && self.quarantine.start_decision(&work.content, name, now)
                        == StartDecision::Allowed
            })
            .cloned()
    }

    /// Returns the server with the fewest requests on which a suspect may start, if any.
    fn least_used_for_suspect(&self, work: &Work, now: Instant) -> Option<BackendServerName> {
        let state = self.services.get(&work.service)?;
        let may_run = |name: &&BackendServerName| {
            self.servers.get(*name).is_some_and(|s| s.limit(now, &self.policy) > 0)
                && !work.excluded.contains(*name)
                && self.quarantine.start_decision(&work.content, name, now)
                    == StartDecision::AllowedAlone
        };
        let in_use = |name: &&BackendServerName| self.servers.get(*name).map_or(0, |s| s.in_use);
        state.servers.iter().filter(may_run).min_by_key(in_use).cloned()
    }

    /// Returns whether a suspect runs alone on a server of the service.
    fn has_lone_run(&self, service: &ServiceName) -> bool {
        let is_alone = |server: &Server| server.lone_run.is_some();
        self.services.get(service).is_some_and(|state| {
            state.servers.iter().any(|name| self.servers.get(name).is_some_and(is_alone))
        })
    }

    /// Moves a request from its fair queue to the parked requests.
    fn park(&mut self, id: WorkId, now: Instant) {
        let Some(mut queued) = self.remove_queued(id, true, now) else { return };
        if let Some(state) = self.services.get_mut(&queued.work.service) {
            state.parked.insert((queued.work.rank.index(), queued.seq), id);
            state.parked_bytes += queued.held_bytes();
        }
        queued.is_parked = true;
        self.deadlines.insert((queued.work.deadline, id));
        self.queued.insert(id, queued);
    }

    fn start(
        &mut self,
        id: WorkId,
        name: BackendServerName,
        is_alone: bool,
        now: Instant,
    ) -> Option<Assignment> {
        let work = self.remove_queued(id, true, now)?.work;
        let rank = work.rank.index();
        let is_charged = self.services.get_mut(&work.service)?.shares.start(rank);
        let server = self.servers.get_mut(&name)?;
        server.start();
        if is_alone {
            server.lone_run = Some(id);
        }
        self.quarantine.record_start(work.content, &name);
        let run = Run {
            server: name.clone(),
            service: work.service,
            rank,
            content: work.content,
            deadline: work.deadline,
            is_charged,
            is_abandoned: false,
            is_crash_recorded: false,
        };
        self.running.insert(id, run);
        Some(Assignment { id, server: name })
    }
}
